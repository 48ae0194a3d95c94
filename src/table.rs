//! The operators' table as a file: read, checked, shown, compared and turned into a spreadsheet.
//!
//! A table is a JSON value, as the platform publishes it, or a CSV file, as a spreadsheet saves
//! it. Both are read cell by cell through [`Sheet`], so that every fault is found at once.

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

/// One thing wrong with a table, and what would be right.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Where: a line of a CSV file, or a path such as `organisations[2]`.
    pub row: String,
    /// Column or field; empty when the whole row is meant.
    pub column: String,
    /// What is wrong.
    pub reason: String,
    /// What would be right.
    pub expected: String,
}

/// Why a file can't be used as a table at all, or holds faults.
#[derive(Debug, Error)]
pub enum TableError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        source: std::io::Error,
    },
    /// The file's name ends in neither `.json` nor `.csv`.
    #[error("{}: a table's file name ends in .json or .csv", path.display())]
    Extension {
        /// The file.
        path: PathBuf,
    },
    /// The file is not JSON or CSV.
    #[error("{}: {reason}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The parser's reason, with its place.
        reason: String,
    },
    /// The table holds faults, all of them listed.
    #[error("{}: {} faults", path.display(), faults.len())]
    Faults {
        /// The file.
        path: PathBuf,
        /// The faults in the order of the file.
        faults: Vec<Fault>,
    },
}

/// Reads the cells of a `.json` or `.csv` file.
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

/// Reads a table without any fault; with faults the error lists them all.
pub fn read(path: &Path) -> Result<Table, TableError> {
    let checked = read_sheet(path)?.check();
    require_no_faults(path, checked)
}

/// Reads a table whose regions and zones are among those of the instances.
pub fn read_with_instances(path: &Path, instances: &Instances) -> Result<Table, TableError> {
    let sheet = read_sheet(path)?;
    let mut checked = sheet.check();
    let unknown = unknown_locations(&checked.table, instances).into_iter();
    checked.faults.extend(unknown.map(|f| sheet.locate(f)));
    require_no_faults(path, checked)
}

fn require_no_faults(path: &Path, checked: CheckedTable) -> Result<Table, TableError> {
    if checked.faults.is_empty() {
        return Ok(checked.table);
    }
    Err(TableError::Faults {
        path: path.to_owned(),
        faults: checked.faults,
    })
}
