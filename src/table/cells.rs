//! Rows of text cells, the intermediate form of CSV and JSON files, and their conversion to and
//! from a [`Table`].

use std::fmt::Display;
use std::str::FromStr;
use std::sync::Arc;

use kingcupfield_decisions::configuration::{self, faults};
use kingcupfield_decisions::values::{Organisation, Table, Tier};

use super::Fault;

/// Kind of object that a row describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowKind {
    /// A priority tier.
    Tier,
    /// An organisation with its weight and limits.
    Organisation,
    /// A drained availability zone: its replicas receive no new requests.
    DrainedZone,
}

impl RowKind {
    /// Value of the CSV column `kind`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Tier => "tier",
            Self::Organisation => "organisation",
            Self::DrainedZone => "emptied_zone",
        }
    }
}

/// Data type of the cells in a column.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CellType {
    /// Any text.
    Text,
    /// A number.
    Number,
    /// A list of API key hashes, separated by whitespace in a CSV file.
    Keys,
    /// A list of names, separated by whitespace in a CSV file.
    Names,
}

/// Definition of a table column.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Column {
    /// Heading in a CSV file.
    pub name: &'static str,
    /// Data type of its cells.
    pub cell_type: CellType,
    /// Whether rows of tiers have this column.
    pub in_tier_rows: bool,
    /// Whether rows of organisations have this column.
    pub in_organisation_rows: bool,
}

impl Column {
    const fn new(
        name: &'static str,
        cell_type: CellType,
        in_tier_rows: bool,
        in_organisation_rows: bool,
    ) -> Self {
        Self {
            name,
            cell_type,
            in_tier_rows,
            in_organisation_rows,
        }
    }

    /// Whether a row of `kind` has this column.
    pub fn applies_to(self, kind: RowKind) -> bool {
        match kind {
            RowKind::Tier => self.in_tier_rows,
            RowKind::Organisation => self.in_organisation_rows,
            RowKind::DrainedZone => self.name == "name",
        }
    }
}

/// The columns after `kind`, in the order of a CSV file.
pub const COLUMNS: [Column; 9] = [
    Column::new("name", CellType::Text, true, true),
    Column::new("rank", CellType::Number, true, false),
    Column::new("weight", CellType::Number, true, true),
    Column::new("max_tier", CellType::Text, false, true),
    Column::new("requests_per_s", CellType::Number, false, true),
    Column::new("tokens_per_s", CellType::Number, false, true),
    Column::new("max_running", CellType::Number, false, true),
    Column::new("key_sha256", CellType::Keys, false, true),
    Column::new("allowed_regions", CellType::Names, false, true),
];

/// One row of text cells; a missing cell is an empty string.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Location in the file, for [`Fault::row`]; empty for rows that were not read from a file.
    pub location: String,
    /// Kind of object that the row describes.
    pub kind: RowKind,
    /// One cell per column, in the order of [`COLUMNS`].
    pub cells: [String; COLUMNS.len()],
}

/// The rows of a table file and the faults found while parsing it.
#[derive(Debug, Clone, Default)]
pub struct Sheet {
    /// The rows in the order of the file.
    pub rows: Vec<Row>,
    /// Format faults: unknown columns, values of the wrong type.
    pub faults: Vec<Fault>,
}

/// Result of [`Sheet::check`]; the table may be used only if there are no faults.
#[derive(Debug, Clone)]
pub struct CheckedTable {
    /// The converted table; cells that could not be parsed have default values.
    pub table: Table,
    /// All faults: format faults first, then faults in the values.
    pub faults: Vec<Fault>,
}

impl Sheet {
    /// Converts the rows to a [`Table`] and collects all faults, format faults first.
    pub fn check(&self) -> CheckedTable {
        let mut table = Table::default();
        let mut all_faults = self.faults.clone();
        for row in &self.rows {
            let mut reader = RowReader {
                row,
                faults: &mut all_faults,
            };
            match row.kind {
                RowKind::Tier => table.tiers.push(reader.read_tier()),
                RowKind::Organisation => table.organisations.push(reader.read_organisation()),
                RowKind::DrainedZone => table.emptied_zones.push(reader.read_drained_zone()),
            }
        }
        for fault in faults(&table) {
            let fault = self.locate(fault);
            // A cell that can't be parsed has a default value and was already reported; a fault in
            // that default is no mistake of the operator.
            let position = |f: &Fault| (f.row.clone(), f.column.clone());
            if !all_faults.iter().any(|f| position(f) == position(&fault)) {
                all_faults.push(fault);
            }
        }
        CheckedTable {
            table,
            faults: all_faults,
        }
    }

    /// Converts a fault found by [`kingcupfield_decisions`] into one with a location in the file.
    pub fn locate(&self, fault: configuration::Fault) -> Fault {
        locate_fault(&self.rows, fault)
    }
}

// `configuration::Fault` numbers the rows of each kind from 1; operators need the location in the
// file instead.
fn locate_fault(rows: &[Row], fault: configuration::Fault) -> Fault {
    let row_location = |kind, number: usize| {
        let mut rows_of_kind = rows.iter().filter(|row| row.kind == kind);
        let row = rows_of_kind.nth(number.saturating_sub(1));
        row.map_or_else(|| fault.row.to_string(), |row| row.location.clone())
    };
    Fault {
        row: match fault.row {
            configuration::Row::Tier(number) => row_location(RowKind::Tier, number),
            configuration::Row::Organisation(number) => row_location(RowKind::Organisation, number),
            configuration::Row::DrainedZone(number) => row_location(RowKind::DrainedZone, number),
            other => other.to_string(),
        },
        column: match fault.column {
            "tier" | "organisation" | "emptied_zone" => "name".to_owned(),
            other => other.to_owned(),
        },
        reason: fault.reason,
        expected: fault.expected,
    }
}

/// Converts a table to rows of text cells: tiers, then organisations, then drained zones.
pub fn table_rows(table: &Table) -> Vec<Row> {
    let tiers = table.tiers.iter().map(|tier| Row {
        location: String::new(),
        kind: RowKind::Tier,
        cells: [
            tier.tier.to_string(),
            tier.rank.to_string(),
            tier.weight.to_string(),
            String::new(),
            String::new(),
            String::new(),
            String::new(),
            String::new(),
            String::new(),
        ],
    });
    let organisations = table.organisations.iter().map(|organisation| Row {
        location: String::new(),
        kind: RowKind::Organisation,
        cells: [
            organisation.organisation.to_string(),
            String::new(),
            organisation.weight.to_string(),
            organisation.max_tier.to_string(),
            optional_cell(organisation.requests_per_s),
            optional_cell(organisation.tokens_per_s),
            optional_cell(organisation.max_running),
            organisation.key_sha256.join(" "),
            organisation.allowed_regions.join(" "),
        ],
    });
    let drained_zones = table.emptied_zones.iter().map(|zone| Row {
        location: String::new(),
        kind: RowKind::DrainedZone,
        cells: std::array::from_fn(|index| match index {
            0 => zone.to_string(),
            _ => String::new(),
        }),
    });
    tiers.chain(organisations).chain(drained_zones).collect()
}

// Formats an optional limit; no limit is an empty cell.
fn optional_cell<T>(value: Option<T>) -> String
where
    T: Display,
{
    value.map_or_else(String::new, |v| v.to_string())
}

/// Converts the cells of one row and appends their faults to `faults`.
struct RowReader<'a> {
    row: &'a Row,
    faults: &'a mut Vec<Fault>,
}

impl RowReader<'_> {
    fn read_tier(&mut self) -> Tier {
        self.reject_inapplicable_cells();
        Tier {
            tier: self.read_name("name"),
            rank: self.read_number("rank", "a whole number from 0 (highest) to 255"),
            weight: self.read_number("weight", EXPECTED_WEIGHT),
        }
    }

    fn read_organisation(&mut self) -> Organisation {
        self.reject_inapplicable_cells();
        Organisation {
            organisation: self.read_name("name"),
            weight: self.read_number("weight", EXPECTED_WEIGHT),
            max_tier: self.read_name("max_tier"),
            key_sha256: self.read_key_hashes(),
            allowed_regions: self.read_regions(),
            requests_per_s: self.read_limit("requests_per_s", EXPECTED_RATE),
            tokens_per_s: self.read_limit("tokens_per_s", EXPECTED_RATE),
            max_running: self.read_limit("max_running", "a whole number, or nothing for no limit"),
        }
    }

    fn read_drained_zone(&mut self) -> Arc<str> {
        self.reject_inapplicable_cells();
        self.read_name("name")
    }

    // Returns the text of the cell in the column of that name.
    fn cell(&self, column: &str) -> &str {
        let index = COLUMNS.iter().position(|c| c.name == column);
        index.map_or("", |i| self.row.cells[i].as_str())
    }

    fn push_fault(&mut self, column: &str, reason: String, expected: &str) {
        self.faults.push(Fault {
            row: self.row.location.clone(),
            column: column.to_owned(),
            reason,
            expected: expected.to_owned(),
        });
    }

    // A limit entered in a tier's row would otherwise be dropped silently, and the operator would
    // assume that it is enforced.
    fn reject_inapplicable_cells(&mut self) {
        let kind = self.row.kind;
        for (column, cell) in COLUMNS.iter().zip(&self.row.cells) {
            if !cell.is_empty() && !column.applies_to(kind) {
                let reason = format!("{} rows have no {}", kind.as_str(), column.name);
                self.push_fault(column.name, reason, "an empty cell");
            }
        }
    }

    // Reads a required name; a missing one is a fault.
    fn read_name(&mut self, column: &str) -> Arc<str> {
        let text = Arc::from(self.cell(column));
        if self.cell(column).is_empty() && !self.has_fault(column) {
            self.push_fault(column, "missing".to_owned(), "a name");
        }
        text
    }

    // Reads a required number; returns the default after a fault.
    fn read_number<T>(&mut self, column: &str, expected: &str) -> T
    where
        T: FromStr + Default,
    {
        let cell = self.cell(column).trim().to_owned();
        if cell.is_empty() {
            if !self.has_fault(column) {
                self.push_fault(column, "missing".to_owned(), expected);
            }
            return T::default();
        }
        self.parse_cell(column, &cell, expected).unwrap_or_default()
    }

    // An empty cell means no limit.
    fn read_limit<T>(&mut self, column: &str, expected: &str) -> Option<T>
    where
        T: FromStr,
    {
        let cell = self.cell(column).trim().to_owned();
        if cell.is_empty() {
            return None;
        }
        self.parse_cell(column, &cell, expected)
    }

    fn parse_cell<T>(&mut self, column: &str, cell: &str, expected: &str) -> Option<T>
    where
        T: FromStr,
    {
        let value = cell.parse().ok();
        if value.is_none() {
            self.push_fault(column, format!("can't read {cell:?}"), expected);
        }
        value
    }

    fn read_key_hashes(&self) -> Vec<String> {
        self.cell("key_sha256")
            .split_whitespace()
            .map(str::to_owned)
            .collect()
    }

    fn read_regions(&self) -> Vec<Arc<str>> {
        self.cell("allowed_regions")
            .split_whitespace()
            .map(Arc::from)
            .collect()
    }

    // A cell of the wrong type was already reported while the file was parsed and is empty here; it
    // must not be reported as missing as well.
    fn has_fault(&self, column: &str) -> bool {
        self.faults
            .iter()
            .any(|f| f.row == self.row.location && f.column == column)
    }
}

/// Text of [`Fault::expected`] for a weight.
const EXPECTED_WEIGHT: &str = "a whole number from 1";
/// Text of [`Fault::expected`] for a limit per second.
const EXPECTED_RATE: &str = "a number with a decimal point, or nothing for no limit";
