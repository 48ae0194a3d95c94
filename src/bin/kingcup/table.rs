//! `kingcup table`: the operators' table as a file.

use std::path::Path;

use kingcupfield::table::diff::{Change, Difference, Fate, diff};
use kingcupfield::table::share::shares;
use kingcupfield::table::{Fault, TableError, json, read, read_for, sheet, show};
use kingcupfield_decisions::values::Table;
use pico_args::Arguments;
use serde::Serialize;

use crate::args;
use crate::error::CliError;
use crate::output::{self, Form};

/// Runs one of the table's commands.
pub fn run(mut args: Arguments, form: Form) -> Result<(), CliError> {
    let command = args.subcommand()?;
    match command.as_deref() {
        Some("check") => {
            let instances = args::optional_path(&mut args, "--instances")?;
            with_file(args, |file| check(file, instances.as_deref(), form))
        }
        Some("show") => with_file(args, |file| show_shares(file, form)),
        Some("to-csv") => with_file(args, to_csv),
        Some("from-csv") => with_file(args, from_csv),
        Some("diff") => {
            let old = args::path(&mut args, "the old table's file")?;
            let new = args::path(&mut args, "the new table's file")?;
            args::finish(args)?;
            show_diff(&old, &new, form)
        }
        Some(other) => Err(CliError::Usage(format!("unknown table command {other:?}"))),
        None => Err(CliError::Usage("a table command is missing".to_owned())),
    }
}

fn with_file<F>(mut args: Arguments, command: F) -> Result<(), CliError>
where
    F: FnOnce(&Path) -> Result<(), CliError>,
{
    let file = args::path(&mut args, "the table's file")?;
    args::finish(args)?;
    command(&file)
}

/// What `table check` prints for programs.
#[derive(Debug, Serialize)]
struct Verdict<'a> {
    accepted: bool,
    tiers: usize,
    organisations: usize,
    faults: &'a [Fault],
}

/// Reads the table, with the regions and zones of the instances if their file is named.
fn read_checked(file: &Path, instances: Option<&Path>) -> Result<Table, CliError> {
    let Some(path) = instances else {
        return Ok(read(file)?);
    };
    let named = |reason: String| CliError::Instances {
        path: path.to_owned(),
        reason,
    };
    let text = std::fs::read(path).map_err(|e| named(e.to_string()))?;
    let instances = serde_json::from_slice(&text).map_err(|e| named(e.to_string()))?;
    Ok(read_for(file, &instances)?)
}

fn check(file: &Path, instances: Option<&Path>, form: Form) -> Result<(), CliError> {
    match read_checked(file, instances) {
        Ok(table) => {
            let verdict = Verdict {
                accepted: true,
                tiers: table.tiers.len(),
                organisations: table.organisations.len(),
                faults: &[],
            };
            output::print(form, &verdict, |v| {
                let (tiers, organisations) = (v.tiers, v.organisations);
                format!("accepted: {tiers} tiers, {organisations} organisations\n")
            })
        }
        Err(CliError::Table(TableError::Faults { path, faults })) => {
            let verdict = Verdict {
                accepted: false,
                tiers: 0,
                organisations: 0,
                faults: &faults,
            };
            output::print(form, &verdict, |v| {
                v.faults.iter().map(fault_line).collect()
            })?;
            Err(TableError::Faults { path, faults }.into())
        }
        Err(e) => Err(e),
    }
}

fn fault_line(fault: &Fault) -> String {
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

/// Reads a table for a command other than `check`; faults are listed on stderr.
fn read_listing_faults(file: &Path) -> Result<Table, CliError> {
    let result = read(file);
    if let Err(TableError::Faults { faults, .. }) = &result {
        for fault in faults {
            eprint!("{}", fault_line(fault));
        }
    }
    Ok(result?)
}

fn show_shares(file: &Path, form: Form) -> Result<(), CliError> {
    let table = read_listing_faults(file)?;
    output::print(form, &shares(&table), |_| show::show(&table))
}

fn to_csv(file: &Path) -> Result<(), CliError> {
    let table = read_listing_faults(file)?;
    let text = sheet::write(&table).map_err(|e| CliError::Form(e.to_string()))?;
    output::text(&text)
}

fn from_csv(file: &Path) -> Result<(), CliError> {
    let table = read_listing_faults(file)?;
    let text = json::write(&table).map_err(|e| CliError::Form(e.to_string()))?;
    output::text(&text)
}

fn show_diff(old: &Path, new: &Path, form: Form) -> Result<(), CliError> {
    let (old, new) = (read_listing_faults(old)?, read_listing_faults(new)?);
    output::print(form, &diff(&old, &new), |changes| {
        if changes.is_empty() {
            return "nothing changes\n".to_owned();
        }
        changes.iter().map(change_lines).collect()
    })
}

fn change_lines(change: &Change) -> String {
    let fate = match change.fate {
        Fate::Added => "is added",
        Fate::Removed => "is removed",
        Fate::Changed => "changes",
        Fate::Affected => "is affected by the others' changes",
    };
    let Change { kind, name, .. } = change;
    let lines: String = change.differences.iter().map(difference_line).collect();
    format!("{kind} {name} {fate}\n{lines}")
}

fn difference_line(difference: &Difference) -> String {
    let word = |value: &str| match value {
        "" => "none".to_owned(),
        value => value.to_owned(),
    };
    let Difference { column, old, new } = difference;
    format!("  {column}: {} -> {}\n", word(old), word(new))
}
