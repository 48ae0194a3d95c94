//! What changes for whom between two tables.

use kingcupfield_decisions::id::TierId;
use kingcupfield_decisions::values::Table;
use serde::Serialize;

use super::cells::{COLUMNS, Content, Kind, Row, rows};
use super::share::{Share, Shares, shares};
use super::show::percent;

/// A tier or an organisation for which something changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// `tier`, `organisation` or `emptied_zone`.
    pub kind: &'static str,
    /// Its name.
    pub name: String,
    /// Added, removed or changed.
    pub fate: Fate,
    /// The cells and shares that differ.
    pub differences: Vec<Difference>,
}

/// What happens to a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    /// Only the new table has it.
    Added,
    /// Only the old table has it.
    Removed,
    /// Its cells differ.
    Changed,
    /// Its cells are the same, yet others' changes move its share.
    Affected,
}

/// One cell or share that differs; an empty text means none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Column, or `share of TIER`.
    pub column: String,
    /// Value in the old table.
    pub old: String,
    /// Value in the new table.
    pub new: String,
}

/// Lists the changes, those of the new table first, then the removed rows.
pub fn diff(old: &Table, new: &Table) -> Vec<Change> {
    let (old_rows, new_rows) = (sorted(old), sorted(new));
    let (old_shares, new_shares) = (SortedShares::new(old), SortedShares::new(new));
    let mut changes = Vec::new();
    for row in rows(new) {
        let before = find(&old_rows, &row);
        let mut differences = differing_cells(before, Some(&row));
        let cells_differ = !differences.is_empty();
        if row.kind == Kind::Organisation {
            let name = &row.cells[0];
            differences.extend(differing_shares(old_shares.of(name), new_shares.of(name)));
        }
        let fate = match before {
            None => Fate::Added,
            Some(_) if cells_differ => Fate::Changed,
            Some(_) => Fate::Affected,
        };
        if fate == Fate::Added || !differences.is_empty() {
            changes.push(change(&row, fate, differences));
        }
    }
    for row in rows(old) {
        if find(&new_rows, &row).is_none() {
            let differences = differing_cells(Some(&row), None);
            changes.push(change(&row, Fate::Removed, differences));
        }
    }
    changes
}

fn change(row: &Row, fate: Fate, differences: Vec<Difference>) -> Change {
    Change {
        kind: row.kind.as_str(),
        name: row.cells[0].clone(),
        fate,
        differences,
    }
}

fn sorted(table: &Table) -> Vec<Row> {
    let mut rows = rows(table);
    rows.sort_by(|a, b| key(a).cmp(&key(b)));
    rows
}

fn key(row: &Row) -> (&'static str, &str) {
    (row.kind.as_str(), row.cells[0].as_str())
}

fn find<'a>(sorted: &'a [Row], row: &Row) -> Option<&'a Row> {
    let index = sorted.binary_search_by(|r| key(r).cmp(&key(row))).ok()?;
    Some(&sorted[index])
}

fn differing_cells(old: Option<&Row>, new: Option<&Row>) -> Vec<Difference> {
    let cell = |row: Option<&Row>, i: usize| row.map_or(String::new(), |r| r.cells[i].clone());
    let compare = |(i, column): (usize, super::cells::Column)| {
        let (old, new) = (cell(old, i), cell(new, i));
        if column.name == "name" || old == new {
            return None;
        }
        let (old, new) = match column.content {
            Content::Keys => (short_keys(&old), short_keys(&new)),
            Content::Text | Content::Number | Content::Names => (old, new),
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

// Eight digits tell keys apart and keep a line readable.
fn short_keys(keys: &str) -> String {
    let short = |key: &str| key.chars().take(8).collect::<String>();
    keys.split_whitespace()
        .map(short)
        .collect::<Vec<_>>()
        .join(" ")
}

/// The shares of a table, sorted by organisation.
struct SortedShares(Vec<Shares>);

impl SortedShares {
    fn new(table: &Table) -> Self {
        let mut shares = shares(table);
        shares.sort_by(|a, b| a.organisation.cmp(&b.organisation));
        Self(shares)
    }

    fn of(&self, organisation: &str) -> &[Share] {
        let key = |s: &Shares| s.organisation.as_ref().cmp(organisation);
        let index = self.0.binary_search_by(key);
        index.map_or(&[], |i| self.0[i].tiers.as_slice())
    }
}

fn differing_shares(old: &[Share], new: &[Share]) -> Vec<Difference> {
    let gone = |s: &&Share| !new.iter().any(|n| n.tier == s.tier);
    let tiers = new.iter().chain(old.iter().filter(gone)).map(|s| &s.tier);
    let compare = |tier: &TierId| {
        let part = |shares: &[Share]| shares.iter().find(|s| s.tier == *tier)?.part;
        let (old, new) = (percent(part(old)), percent(part(new)));
        (old != new).then(|| Difference {
            column: format!("share of {tier}"),
            old,
            new,
        })
    };
    tiers.filter_map(compare).collect()
}
