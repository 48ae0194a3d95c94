//! `kingcup table`: validates, shows, converts and compares files with the operators' table.

use std::path::Path;

use kingcupfield::table::diff::{Change, ChangeKind, Difference, diff};
use kingcupfield::table::share::compute_shares;
use kingcupfield::table::{Fault, TableError, csv, json, read, read_with_instances, show};
use kingcupfield_decisions::values::Table;
use pico_args::Arguments;
use serde::Serialize;

use crate::args;
use crate::error::CliError;
use crate::output::{self, Form};

/// Runs a `kingcup table` subcommand with the remaining arguments.
pub fn run(mut args: Arguments, form: Form) -> Result<(), CliError> {
    let command = args.subcommand()?;
    match command.as_deref() {
        Some("check") => {
            let instances = args::optional_path(&mut args, "--instances")?;
            run_with_file(args, |file| check(file, instances.as_deref(), form))
        }
        Some("show") => run_with_file(args, |file| print_shares(file, form)),
        Some("to-csv") => run_with_file(args, print_as_csv),
        Some("from-csv") => run_with_file(args, print_as_json),
        Some("diff") => {
            let old = args::path(&mut args, "the old table's file")?;
            let new = args::path(&mut args, "the new table's file")?;
            args::finish(args)?;
            print_diff(&old, &new, form)
        }
        Some(other) => Err(CliError::Usage(format!("unknown table command {other:?}"))),
        None => Err(CliError::Usage("a table command is missing".to_owned())),
    }
}

/// Parses a table file's path as the only remaining argument and runs `command` on it.
fn run_with_file<F>(mut args: Arguments, command: F) -> Result<(), CliError>
where
    F: FnOnce(&Path) -> Result<(), CliError>,
{
    let file = args::path(&mut args, "the table's file")?;
    args::finish(args)?;
    command(&file)
}

/// JSON output of `table check --json`.
#[derive(Debug, Serialize)]
struct CheckReport<'a> {
    accepted: bool,
    /// Number of tiers; 0 if the table has faults.
    tiers: usize,
    /// Number of organisations; 0 if the table has faults.
    organisations: usize,
    faults: &'a [Fault],
}

/// Reads and validates a table; with an `instances` file also its regions and zones.
fn read_table(file: &Path, instances: Option<&Path>) -> Result<Table, CliError> {
    let Some(path) = instances else {
        return Ok(read(file)?);
    };
    let instances_error = |reason: String| CliError::Instances {
        path: path.to_owned(),
        reason,
    };
    let text = std::fs::read(path).map_err(|e| instances_error(e.to_string()))?;
    let instances = serde_json::from_slice(&text).map_err(|e| instances_error(e.to_string()))?;
    Ok(read_with_instances(file, &instances)?)
}

/// Validates a table and prints the result; faults are also an error, for the exit code.
fn check(file: &Path, instances: Option<&Path>, form: Form) -> Result<(), CliError> {
    match read_table(file, instances) {
        Ok(table) => {
            let report = CheckReport {
                accepted: true,
                tiers: table.tiers.len(),
                organisations: table.organisations.len(),
                faults: &[],
            };
            output::print(form, &report, |report| {
                let (tiers, organisations) = (report.tiers, report.organisations);
                format!("accepted: {tiers} tiers, {organisations} organisations\n")
            })
        }
        Err(CliError::Table(TableError::Faults { path, faults })) => {
            let report = CheckReport {
                accepted: false,
                tiers: 0,
                organisations: 0,
                faults: &faults,
            };
            output::print(form, &report, |report| {
                report.faults.iter().map(format_fault).collect()
            })?;
            Err(TableError::Faults { path, faults }.into())
        }
        Err(e) => Err(e),
    }
}

/// Formats a fault as one line of output.
fn format_fault(fault: &Fault) -> String {
    let Fault {
        row,
        column,
        reason,
        expected,
    } = fault;
    let column = if column.is_empty() {
        String::new()
    } else {
        format!(", {column}")
    };
    format!("{row}{column}: {reason}; right would be: {expected}\n")
}

/// Reads a table for a command other than `check`, and prints its faults to stderr.
fn read_or_print_faults(file: &Path) -> Result<Table, CliError> {
    let result = read(file);
    if let Err(TableError::Faults { faults, .. }) = &result {
        for fault in faults {
            eprint!("{}", format_fault(fault));
        }
    }
    Ok(result?)
}

/// `table show`: prints the shares of all organisations.
fn print_shares(file: &Path, form: Form) -> Result<(), CliError> {
    let table = read_or_print_faults(file)?;
    output::print(form, &compute_shares(&table), |_| show::render(&table))
}

/// `table to-csv`: prints the table as CSV.
fn print_as_csv(file: &Path) -> Result<(), CliError> {
    let table = read_or_print_faults(file)?;
    let text = csv::write(&table).map_err(|e| CliError::Form(e.to_string()))?;
    output::text(&text)
}

/// `table from-csv`: prints the table as JSON.
fn print_as_json(file: &Path) -> Result<(), CliError> {
    let table = read_or_print_faults(file)?;
    let text = json::write(&table).map_err(|e| CliError::Form(e.to_string()))?;
    output::text(&text)
}

/// `table diff`: prints the differences between two tables.
fn print_diff(old: &Path, new: &Path, form: Form) -> Result<(), CliError> {
    let (old, new) = (read_or_print_faults(old)?, read_or_print_faults(new)?);
    output::print(form, &diff(&old, &new), |changes| {
        if changes.is_empty() {
            return "nothing changes\n".to_owned();
        }
        changes.iter().map(format_change).collect()
    })
}

/// Formats a changed row and its differences, each on a line of its own.
fn format_change(change: &Change) -> String {
    let action = match change.change_kind {
        ChangeKind::Added => "is added",
        ChangeKind::Removed => "is removed",
        ChangeKind::Changed => "changes",
        ChangeKind::Affected => "is affected by the others' changes",
    };
    let Change { kind, name, .. } = change;
    let lines: String = change.differences.iter().map(format_difference).collect();
    format!("{kind} {name} {action}\n{lines}")
}

fn format_difference(difference: &Difference) -> String {
    let value_or_none = |value: &str| match value {
        "" => "none".to_owned(),
        value => value.to_owned(),
    };
    let Difference { column, old, new } = difference;
    format!(
        "  {column}: {} -> {}\n",
        value_or_none(old),
        value_or_none(new)
    )
}
