//! The table as JSON, as the platform publishes it.
//!
//! An instance ignores fields that it doesn't know, so that a newer platform can't stop it. Here
//! they are faults: a misspelt limit would otherwise be no limit at all.

use kingcupfield_decisions::values::Table;
use serde_json::{Map, Value};

use super::Fault;
use super::cells::{COLUMNS, Column, Content, Kind, Row, Sheet};

/// Fields of the table.
const LISTS: [&str; 3] = ["tiers", "organisations", "emptied_zones"];

/// Writes `table` as indented JSON.
pub fn write(table: &Table) -> Result<String, serde_json::Error> {
    let mut text = serde_json::to_string_pretty(table)?;
    text.push('\n');
    Ok(text)
}

/// Reads the cells of a JSON table; the error is a text with line and column.
pub fn read(buf: &[u8]) -> Result<Sheet, String> {
    let value = serde_json::from_slice(buf).map_err(|e| e.to_string())?;
    let Value::Object(table) = value else {
        return Err("the table is an object with tiers and organisations".to_owned());
    };
    let mut sheet = Sheet::default();
    for field in table.keys() {
        if !LISTS.contains(&field.as_str()) {
            sheet.faults.push(fault(
                field.clone(),
                "",
                "unknown field",
                "tiers, organisations and emptied_zones",
            ));
        }
    }
    read_list(&table, "tiers", Kind::Tier, &mut sheet);
    read_list(&table, "organisations", Kind::Organisation, &mut sheet);
    if table.contains_key("emptied_zones") {
        read_list(&table, "emptied_zones", Kind::EmptiedZone, &mut sheet);
    }
    Ok(sheet)
}

fn read_list(table: &Map<String, Value>, name: &str, kind: Kind, sheet: &mut Sheet) {
    let Some(Value::Array(list)) = table.get(name) else {
        let expected = format!("a list of {name}");
        sheet
            .faults
            .push(fault(name.to_owned(), "", "missing or no list", &expected));
        return;
    };
    for (i, value) in list.iter().enumerate() {
        let place = format!("{name}[{i}]");
        match value {
            Value::String(name) if kind == Kind::EmptiedZone => {
                let mut cells = COLUMNS.map(|_| String::new());
                cells[0].clone_from(name);
                sheet.rows.push(Row { place, kind, cells });
            }
            Value::Object(object) if kind != Kind::EmptiedZone => {
                read_row(object, place, kind, sheet);
            }
            _ if kind == Kind::EmptiedZone => {
                let expected = wanted(Content::Text);
                sheet.faults.push(fault(place, "", "no text", expected));
            }
            _ => sheet
                .faults
                .push(fault(place, "", "no object", "an object in braces")),
        }
    }
}

fn read_row(object: &Map<String, Value>, place: String, kind: Kind, sheet: &mut Sheet) {
    let field = |column: Column| match column.name {
        "name" => kind.as_str(),
        other => other,
    };
    let known = || COLUMNS.into_iter().filter(|c| c.belongs_to(kind));
    for name in object.keys() {
        if !known().any(|c| field(c) == name) {
            let expected = known().map(field).collect::<Vec<_>>().join(", ");
            sheet
                .faults
                .push(fault(place.clone(), name, "unknown field", &expected));
        }
    }
    let mut cells = COLUMNS.map(|_| String::new());
    for (cell, column) in cells.iter_mut().zip(COLUMNS) {
        let value = object.get(field(column)).unwrap_or(&Value::Null);
        if !column.belongs_to(kind) || value.is_null() {
            continue;
        }
        match read_cell(value, column.content) {
            Some(text) => *cell = text,
            None => sheet.faults.push(fault(
                place.clone(),
                column.name,
                &format!("can't read {value}"),
                wanted(column.content),
            )),
        }
    }
    sheet.rows.push(Row { place, kind, cells });
}

fn read_cell(value: &Value, content: Content) -> Option<String> {
    match (value, content) {
        (Value::String(text), Content::Text) => Some(text.clone()),
        (Value::Number(number), Content::Number) => Some(number.to_string()),
        (Value::Array(texts), Content::Keys | Content::Names) => {
            let texts: Option<Vec<_>> = texts.iter().map(Value::as_str).collect();
            Some(texts?.join(" "))
        }
        _ => None,
    }
}

fn wanted(content: Content) -> &'static str {
    match content {
        Content::Text => "a text in double quotes",
        Content::Number => "a number without quotes",
        Content::Keys | Content::Names => "a list of texts in double quotes",
    }
}

fn fault(row: String, column: &str, reason: &str, expected: &str) -> Fault {
    Fault {
        row,
        column: column.to_owned(),
        reason: reason.to_owned(),
        expected: expected.to_owned(),
    }
}
