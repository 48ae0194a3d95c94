//! CSV format of the table, for editing in a spreadsheet.
//!
//! Each tier, organisation and drained zone is one row. Files are written with commas and a byte
//! order mark. Commas, semicolons and tabs are accepted as delimiters when reading, because the
//! delimiter that a spreadsheet writes depends on its locale.

use csv::{ReaderBuilder, StringRecord, Writer};
use kingcupfield_decisions::values::Table;

use super::Fault;
use super::cells::{COLUMNS, Row, RowKind, Sheet, table_rows};

/// Makes spreadsheets on Windows decode the file as UTF-8; without it they assume the local code
/// page and garble names such as `Đà Nẵng`.
const BYTE_ORDER_MARK: &str = "\u{feff}";
/// Heading of the column with the kind of a row; see [`RowKind::as_str`].
const KIND_HEADING: &str = "kind";
/// Delimiters accepted when reading, the preferred one first.
const DELIMITERS: [u8; 3] = *b",;\t";

/// Serializes `table` as CSV with a byte order mark.
pub fn write(table: &Table) -> Result<String, csv::Error> {
    let mut writer = Writer::from_writer(BYTE_ORDER_MARK.as_bytes().to_vec());
    writer.write_record(std::iter::once(KIND_HEADING).chain(COLUMNS.map(|c| c.name)))?;
    for row in table_rows(table) {
        let cells = row.cells.iter().map(String::as_str);
        writer.write_record(std::iter::once(row.kind.as_str()).chain(cells))?;
    }
    let buf = writer
        .into_inner()
        .map_err(csv::IntoInnerError::into_error)?;
    Ok(String::from_utf8_lossy(&buf).into_owned())
}

/// Parses a CSV file into text cells; the error is the parser's message with its position.
pub fn read(buf: &[u8]) -> Result<Sheet, String> {
    let buf = buf.strip_prefix(BYTE_ORDER_MARK.as_bytes()).unwrap_or(buf);
    let mut reader = ReaderBuilder::new()
        .delimiter(detect_delimiter(buf))
        .flexible(true)
        .from_reader(buf);
    let headers = reader.headers().map_err(|e| e.to_string())?.clone();
    let mut sheet = Sheet::default();
    let layout = ColumnLayout::new(&headers, &mut sheet.faults);
    for record in reader.records() {
        let record = record.map_err(|e| e.to_string())?;
        let location = record_location(buf, &record);
        layout.read_row(&record, location, &mut sheet);
    }
    Ok(sheet)
}

// Returns the candidate that occurs most often in the heading line; no column name contains one.
fn detect_delimiter(buf: &[u8]) -> u8 {
    let heading = buf.split(|b| *b == b'\n').next().unwrap_or_default();
    let field_count = |delimiter: u8| heading.split(|b| *b == delimiter).count();
    // On a tie the first of DELIMITERS wins: max_by_key returns the last maximum, and the list is
    // reversed.
    let best = DELIMITERS.into_iter().rev().max_by_key(|d| field_count(*d));
    best.unwrap_or(b',')
}

// Returns the line number of a record. The CSV reader's position is before the empty lines that it
// skips, so these are added; otherwise the reported number would be too low.
fn record_location(buf: &[u8], record: &StringRecord) -> String {
    let Some(position) = record.position() else {
        return String::new();
    };
    let rest = buf.get(position.byte() as usize..).unwrap_or_default();
    let line_breaks = rest.iter().take_while(|b| matches!(b, b'\r' | b'\n'));
    let empty_lines = line_breaks.filter(|b| **b == b'\n').count() as u64;
    format!("line {}", position.line() + empty_lines)
}

/// Index of each known column in a file, from its heading line.
struct ColumnLayout {
    /// Index of the column `kind`; `None` if the file has no such column.
    kind_index: Option<usize>,
    /// Index of each of [`COLUMNS`]; `None` if the file has no such column.
    column_indices: [Option<usize>; COLUMNS.len()],
    /// Number of cells in the heading line.
    heading_count: usize,
}

impl ColumnLayout {
    // Locates the columns; unknown, duplicate and missing ones are added to `faults`.
    fn new(headers: &StringRecord, faults: &mut Vec<Fault>) -> Self {
        let index_of = |name| headers.iter().position(|h| h.trim() == name);
        let layout = Self {
            kind_index: index_of(KIND_HEADING),
            column_indices: COLUMNS.map(|c| index_of(c.name)),
            heading_count: headers.len(),
        };
        let known_headings = || std::iter::once(KIND_HEADING).chain(COLUMNS.map(|c| c.name));
        let expected = known_headings().collect::<Vec<_>>().join(", ");
        for (i, heading) in headers.iter().enumerate() {
            let heading = heading.trim();
            if !known_headings().any(|name| name == heading) {
                faults.push(heading_fault(heading, "unknown column", &expected));
            } else if index_of(heading) != Some(i) {
                faults.push(heading_fault(heading, "column stands twice", &expected));
            }
        }
        for required in [KIND_HEADING, "name", "weight"] {
            if index_of(required).is_none() {
                faults.push(heading_fault(required, "column is missing", &expected));
            }
        }
        layout
    }

    // Appends a record to the rows of `sheet`, or its faults; records with only blank cells are
    // skipped.
    fn read_row(&self, record: &StringRecord, location: String, sheet: &mut Sheet) {
        if record.iter().all(|cell| cell.trim().is_empty()) {
            return;
        }
        let mut push_fault = |column: &str, reason: String, expected: &str| {
            sheet.faults.push(Fault {
                row: location.clone(),
                column: column.to_owned(),
                reason,
                expected: expected.to_owned(),
            });
        };
        if record.len() > self.heading_count {
            let reason = format!(
                "{} cells under {} headings",
                record.len(),
                self.heading_count
            );
            push_fault("", reason, "a cell that holds a delimiter in double quotes");
        }
        let cell = |index: Option<usize>| index.and_then(|i| record.get(i)).unwrap_or_default();
        let kind = match cell(self.kind_index).trim() {
            "tier" => RowKind::Tier,
            "organisation" => RowKind::Organisation,
            "emptied_zone" => RowKind::DrainedZone,
            // If the column `kind` is missing, only that is reported, not every row.
            _ if self.kind_index.is_none() => return,
            other => {
                return push_fault(
                    KIND_HEADING,
                    format!("can't read {other:?}"),
                    "tier, organisation or emptied_zone",
                );
            }
        };
        sheet.rows.push(Row {
            location,
            kind,
            cells: self.column_indices.map(|index| cell(index).to_owned()),
        });
    }
}

fn heading_fault(column: &str, reason: &str, expected: &str) -> Fault {
    Fault {
        row: "line 1".to_owned(),
        column: column.to_owned(),
        reason: reason.to_owned(),
        expected: expected.to_owned(),
    }
}
