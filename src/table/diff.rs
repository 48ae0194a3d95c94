//! Compares two tables: changed cells, and the shares of organisations that change as a result.

use kingcupfield_decisions::id::TierId;
use kingcupfield_decisions::values::Table;
use serde::Serialize;

use super::cells::{COLUMNS, CellType, Row, RowKind, table_rows};
use super::share::{OrganisationShares, TierShare, compute_shares};
use super::show::format_percent;

/// All differences of one tier, organisation or drained zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Kind of the row: `tier`, `organisation` or `emptied_zone`.
    pub kind: &'static str,
    /// Name of the tier, organisation or drained zone.
    pub name: String,
    /// How the row differs between the tables.
    #[serde(rename = "fate")]
    pub change_kind: ChangeKind,
    /// Cells and shares with different values in the two tables.
    pub differences: Vec<Difference>,
}

/// How a row differs between the old and the new table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// The row exists only in the new table.
    Added,
    /// The row exists only in the old table.
    Removed,
    /// The row exists in both tables with different cells.
    Changed,
    /// The cells are equal, but changes to other rows change the organisation's shares.
    Affected,
}

/// Old and new value of one cell or share; an empty string means no value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Name of the column, or `share of TIER` for a share.
    pub column: String,
    /// Value in the old table.
    pub old: String,
    /// Value in the new table.
    pub new: String,
}

/// Compares two tables; rows of the new table come first, then removed rows.
pub fn diff(old: &Table, new: &Table) -> Vec<Change> {
    let (old_rows, new_rows) = (sorted_rows(old), sorted_rows(new));
    let (old_shares, new_shares) = (SortedShares::new(old), SortedShares::new(new));
    let mut changes = Vec::new();
    for row in table_rows(new) {
        let old_row = find_row(&old_rows, &row);
        let mut differences = compare_cells(old_row, Some(&row));
        let cells_differ = !differences.is_empty();
        if row.kind == RowKind::Organisation {
            let name = &row.cells[0];
            differences.extend(compare_shares(old_shares.get(name), new_shares.get(name)));
        }
        let change_kind = match old_row {
            None => ChangeKind::Added,
            Some(_) if cells_differ => ChangeKind::Changed,
            Some(_) => ChangeKind::Affected,
        };
        if change_kind == ChangeKind::Added || !differences.is_empty() {
            changes.push(new_change(&row, change_kind, differences));
        }
    }
    for row in table_rows(old) {
        if find_row(&new_rows, &row).is_none() {
            let differences = compare_cells(Some(&row), None);
            changes.push(new_change(&row, ChangeKind::Removed, differences));
        }
    }
    changes
}

fn new_change(row: &Row, change_kind: ChangeKind, differences: Vec<Difference>) -> Change {
    Change {
        kind: row.kind.as_str(),
        name: row.cells[0].clone(),
        change_kind,
        differences,
    }
}

// Returns the rows sorted by `row_key`, for binary search with `find_row`.
fn sorted_rows(table: &Table) -> Vec<Row> {
    let mut rows = table_rows(table);
    rows.sort_by(|a, b| row_key(a).cmp(&row_key(b)));
    rows
}

// Identifies a row in both tables: kind and name.
fn row_key(row: &Row) -> (&'static str, &str) {
    (row.kind.as_str(), row.cells[0].as_str())
}

// Finds the row with the same kind and name in rows sorted by `row_key`.
fn find_row<'a>(sorted: &'a [Row], row: &Row) -> Option<&'a Row> {
    let index = sorted
        .binary_search_by(|r| row_key(r).cmp(&row_key(row)))
        .ok()?;
    Some(&sorted[index])
}

// Lists the cells that differ; `None` is a row that the table doesn't have.
fn compare_cells(old: Option<&Row>, new: Option<&Row>) -> Vec<Difference> {
    let cell = |row: Option<&Row>, i: usize| row.map_or(String::new(), |r| r.cells[i].clone());
    let compare = |(i, column): (usize, super::cells::Column)| {
        let (old, new) = (cell(old, i), cell(new, i));
        if column.name == "name" || old == new {
            return None;
        }
        let (old, new) = match column.cell_type {
            CellType::Keys => (abbreviate_hashes(&old), abbreviate_hashes(&new)),
            CellType::Text | CellType::Number | CellType::Names => (old, new),
        };
        Some(Difference {
            column: column.name.to_owned(),
            old,
            new,
        })
    };
    let columns = COLUMNS.into_iter().enumerate();
    columns.filter_map(compare).collect()
}

// Eight digits are enough to distinguish key hashes and keep the output lines short.
fn abbreviate_hashes(keys: &str) -> String {
    let abbreviate = |key: &str| key.chars().take(8).collect::<String>();
    keys.split_whitespace()
        .map(abbreviate)
        .collect::<Vec<_>>()
        .join(" ")
}

/// Shares of all organisations of a table, sorted by organisation for binary search.
struct SortedShares(Vec<OrganisationShares>);

impl SortedShares {
    fn new(table: &Table) -> Self {
        let mut shares = compute_shares(table);
        shares.sort_by(|a, b| a.organisation.cmp(&b.organisation));
        Self(shares)
    }

    // Returns the shares of an organisation; empty if the table doesn't have it.
    fn get(&self, organisation: &str) -> &[TierShare] {
        let key = |s: &OrganisationShares| s.organisation.as_ref().cmp(organisation);
        let index = self.0.binary_search_by(key);
        index.map_or(&[], |i| self.0[i].tiers.as_slice())
    }
}

// Lists the tiers in which an organisation's share differs, including removed tiers.
fn compare_shares(old: &[TierShare], new: &[TierShare]) -> Vec<Difference> {
    let is_removed = |s: &&TierShare| !new.iter().any(|n| n.tier == s.tier);
    let tiers = new
        .iter()
        .chain(old.iter().filter(is_removed))
        .map(|s| &s.tier);
    let compare = |tier: &TierId| {
        let fraction = |shares: &[TierShare]| shares.iter().find(|s| s.tier == *tier)?.fraction;
        let (old, new) = (format_percent(fraction(old)), format_percent(fraction(new)));
        (old != new).then(|| Difference {
            column: format!("share of {tier}"),
            old,
            new,
        })
    };
    tiers.filter_map(compare).collect()
}
