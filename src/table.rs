//! Files with the operators' table of tiers, organisations and drained zones: reads, validates,
//! renders, compares and converts them.
//!
//! A table file is JSON, the format that the platform publishes, or CSV, the format of
//! spreadsheets. Both are parsed into the text cells of a [`Sheet`] first, which lets validation
//! report all faults of a file instead of stopping at the first one.

use std::path::{Path, PathBuf};

use kingcupfield_decisions::configuration::unknown_locations;
use kingcupfield_decisions::values::{Instances, Table};
use serde::Serialize;
use thiserror::Error;

pub mod cells;
pub mod csv;
pub mod diff;
pub mod json;
pub mod share;
pub mod show;

pub use cells::{CheckedTable, Sheet};

/// A validation error in a table file, with its location and the valid values.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Location of the row: `line 5` of a CSV file, or a JSON path such as `organisations[2]`.
    pub row: String,
    /// CSV column or JSON field; empty when the fault concerns the entire row.
    pub column: String,
    /// Description of the fault.
    pub reason: String,
    /// Description of the valid values.
    pub expected: String,
}

/// Error while reading a table file.
#[derive(Debug, Error)]
pub enum TableError {
    /// Reading the file failed.
    #[error("{}: {source}", path.display())]
    Read {
        /// Path of the table file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file name extension is neither `.json` nor `.csv`.
    #[error("{}: a table's file name ends in .json or .csv", path.display())]
    Extension {
        /// Path of the table file.
        path: PathBuf,
    },
    /// The content is not valid JSON or CSV.
    #[error("{}: {reason}", path.display())]
    Malformed {
        /// Path of the table file.
        path: PathBuf,
        /// Message of the parser, including the position in the file.
        reason: String,
    },
    /// The file was parsed, but validation found faults.
    #[error("{}: {} faults", path.display(), faults.len())]
    Faults {
        /// Path of the table file.
        path: PathBuf,
        /// All faults: format faults first, then faults in the values.
        faults: Vec<Fault>,
    },
}

/// Parses a `.json` or `.csv` file into text cells and collects its format faults; the values are
/// not validated.
pub fn read_sheet(path: &Path) -> Result<Sheet, TableError> {
    let buf = std::fs::read(path).map_err(|source| TableError::Read {
        path: path.to_owned(),
        source,
    })?;
    let malformed = |reason| TableError::Malformed {
        path: path.to_owned(),
        reason,
    };
    match path.extension().and_then(|e| e.to_str()) {
        Some("json") => json::read(&buf).map_err(malformed),
        Some("csv") => csv::read(&buf).map_err(malformed),
        _ => Err(TableError::Extension {
            path: path.to_owned(),
        }),
    }
}

/// Reads and validates a table file; returns [`TableError::Faults`] with all faults, if any.
pub fn read(path: &Path) -> Result<Table, TableError> {
    let checked = read_sheet(path)?.check();
    require_no_faults(path, checked)
}

/// Like [`read`], and also reports regions and availability zones that no instance is in.
pub fn read_with_instances(path: &Path, instances: &Instances) -> Result<Table, TableError> {
    let sheet = read_sheet(path)?;
    let mut checked = sheet.check();
    let unknown = unknown_locations(&checked.table, instances).into_iter();
    checked.faults.extend(unknown.map(|f| sheet.locate(f)));
    require_no_faults(path, checked)
}

// Returns the table, or an error with its faults.
fn require_no_faults(path: &Path, checked: CheckedTable) -> Result<Table, TableError> {
    if checked.faults.is_empty() {
        return Ok(checked.table);
    }
    Err(TableError::Faults {
        path: path.to_owned(),
        faults: checked.faults,
    })
}
