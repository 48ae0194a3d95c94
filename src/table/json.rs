//! JSON format of the table, as published by the platform.
//!
//! Instances ignore unknown fields to stay compatible with newer versions of the platform. Here an
//! unknown field is a fault: a limit with a misspelt name would otherwise not be enforced.

use kingcupfield_decisions::values::Table;
use serde_json::{Map, Value};

use super::Fault;
use super::cells::{COLUMNS, CellType, Column, Row, RowKind, Sheet};

/// Fields of the top-level object, each a list.
const TABLE_FIELDS: [&str; 3] = ["tiers", "organisations", "emptied_zones"];

/// Serializes `table` as indented JSON with a final newline.
pub fn write(table: &Table) -> Result<String, serde_json::Error> {
    let mut text = serde_json::to_string_pretty(table)?;
    text.push('\n');
    Ok(text)
}

/// Parses a JSON table into text cells; the message of a syntax error has its line and column.
pub fn read(buf: &[u8]) -> Result<Sheet, String> {
    let value = serde_json::from_slice(buf).map_err(|e| e.to_string())?;
    let Value::Object(table) = value else {
        return Err("the table is an object with tiers and organisations".to_owned());
    };
    let mut sheet = Sheet::default();
    for field in table.keys() {
        if !TABLE_FIELDS.contains(&field.as_str()) {
            sheet.faults.push(new_fault(
                field.clone(),
                "",
                "unknown field",
                "tiers, organisations and emptied_zones",
            ));
        }
    }
    read_list(&table, "tiers", RowKind::Tier, &mut sheet);
    read_list(&table, "organisations", RowKind::Organisation, &mut sheet);
    if table.contains_key("emptied_zones") {
        read_list(&table, "emptied_zones", RowKind::DrainedZone, &mut sheet);
    }
    Ok(sheet)
}

// Appends the rows of one list to `sheet`. A drained zone is a string, other rows are objects.
fn read_list(table: &Map<String, Value>, name: &str, kind: RowKind, sheet: &mut Sheet) {
    let Some(Value::Array(list)) = table.get(name) else {
        let expected = format!("a list of {name}");
        sheet.faults.push(new_fault(
            name.to_owned(),
            "",
            "missing or no list",
            &expected,
        ));
        return;
    };
    for (i, value) in list.iter().enumerate() {
        let location = format!("{name}[{i}]");
        match value {
            Value::String(name) if kind == RowKind::DrainedZone => {
                let mut cells = COLUMNS.map(|_| String::new());
                cells[0].clone_from(name);
                sheet.rows.push(Row {
                    location,
                    kind,
                    cells,
                });
            }
            Value::Object(object) if kind != RowKind::DrainedZone => {
                read_row(object, location, kind, sheet);
            }
            _ if kind == RowKind::DrainedZone => {
                let expected = expected_value(CellType::Text);
                sheet
                    .faults
                    .push(new_fault(location, "", "no text", expected));
            }
            _ => sheet
                .faults
                .push(new_fault(location, "", "no object", "an object in braces")),
        }
    }
}

// Appends the object's fields as a row to `sheet`; unknown fields and wrong types are faults.
fn read_row(object: &Map<String, Value>, location: String, kind: RowKind, sheet: &mut Sheet) {
    // The name of a row is in the field `tier` or `organisation`.
    let field_name = |column: Column| match column.name {
        "name" => kind.as_str(),
        other => other,
    };
    let known_columns = || COLUMNS.into_iter().filter(|c| c.applies_to(kind));
    for name in object.keys() {
        if !known_columns().any(|c| field_name(c) == name) {
            let expected = known_columns()
                .map(field_name)
                .collect::<Vec<_>>()
                .join(", ");
            sheet.faults.push(new_fault(
                location.clone(),
                name,
                "unknown field",
                &expected,
            ));
        }
    }
    let mut cells = COLUMNS.map(|_| String::new());
    for (cell, column) in cells.iter_mut().zip(COLUMNS) {
        let value = object.get(field_name(column)).unwrap_or(&Value::Null);
        if !column.applies_to(kind) || value.is_null() {
            continue;
        }
        match read_cell(value, column.cell_type) {
            Some(text) => *cell = text,
            None => sheet.faults.push(new_fault(
                location.clone(),
                column.name,
                &format!("can't read {value}"),
                expected_value(column.cell_type),
            )),
        }
    }
    sheet.rows.push(Row {
        location,
        kind,
        cells,
    });
}

// Converts a JSON value to the text of a cell; `None` if it doesn't have the type of the column.
fn read_cell(value: &Value, cell_type: CellType) -> Option<String> {
    match (value, cell_type) {
        (Value::String(text), CellType::Text) => Some(text.clone()),
        (Value::Number(number), CellType::Number) => Some(number.to_string()),
        (Value::Array(texts), CellType::Keys | CellType::Names) => {
            let texts: Option<Vec<_>> = texts.iter().map(Value::as_str).collect();
            Some(texts?.join(" "))
        }
        _ => None,
    }
}

// Text of `Fault::expected` for a value of the wrong type.
fn expected_value(cell_type: CellType) -> &'static str {
    match cell_type {
        CellType::Text => "a text in double quotes",
        CellType::Number => "a number without quotes",
        CellType::Keys | CellType::Names => "a list of texts in double quotes",
    }
}

fn new_fault(row: String, column: &str, reason: &str, expected: &str) -> Fault {
    Fault {
        row,
        column: column.to_owned(),
        reason: reason.to_owned(),
        expected: expected.to_owned(),
    }
}
