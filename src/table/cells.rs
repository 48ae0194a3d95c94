//! Rows of text cells, the common form of both file formats, and their way into a [`Table`].

use std::fmt::Display;
use std::str::FromStr;
use std::sync::Arc;

use kingcupfield_decisions::configuration::{self, faults};
use kingcupfield_decisions::values::{Organisation, Table, Tier};

use super::Fault;

/// What a row describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A tier of importance.
    Tier,
    /// An organisation with its share and limits.
    Organisation,
    /// A zone whose replicas get nothing new.
    EmptiedZone,
}

impl Kind {
    /// The word in the spreadsheet's first column.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Tier => "tier",
            Self::Organisation => "organisation",
            Self::EmptiedZone => "emptied_zone",
        }
    }
}

/// What a column holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Content {
    /// Any text.
    Text,
    /// A number.
    Number,
    /// A list of key hashes, parted by spaces in a spreadsheet.
    Keys,
    /// A list of names, parted by spaces in a spreadsheet.
    Names,
}

/// A column of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Column {
    /// Its heading.
    pub name: &'static str,
    /// What it holds.
    pub content: Content,
    /// Whether a tier has it.
    pub tier: bool,
    /// Whether an organisation has it.
    pub organisation: bool,
}

impl Column {
    const fn new(name: &'static str, content: Content, tier: bool, organisation: bool) -> Self {
        Self {
            name,
            content,
            tier,
            organisation,
        }
    }

    /// Whether a row of `kind` has this column.
    pub fn belongs_to(self, kind: Kind) -> bool {
        match kind {
            Kind::Tier => self.tier,
            Kind::Organisation => self.organisation,
            Kind::EmptiedZone => self.name == "name",
        }
    }
}

/// The columns after `kind`, in the order of the spreadsheet.
pub const COLUMNS: [Column; 9] = [
    Column::new("name", Content::Text, true, true),
    Column::new("rank", Content::Number, true, false),
    Column::new("weight", Content::Number, true, true),
    Column::new("max_tier", Content::Text, false, true),
    Column::new("requests_per_s", Content::Number, false, true),
    Column::new("tokens_per_s", Content::Number, false, true),
    Column::new("max_running", Content::Number, false, true),
    Column::new("key_sha256", Content::Keys, false, true),
    Column::new("allowed_regions", Content::Names, false, true),
];

/// One row as text; an absent or empty cell is an empty string.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Where the row stands in its file.
    pub place: String,
    /// What it describes.
    pub kind: Kind,
    /// One cell for each of [`COLUMNS`].
    pub cells: [String; COLUMNS.len()],
}

/// The cells of a table and the faults found while they were read.
#[derive(Debug, Clone, Default)]
pub struct Sheet {
    /// The rows in the order of the file.
    pub rows: Vec<Row>,
    /// Faults of form: unknown columns, values of the wrong type.
    pub faults: Vec<Fault>,
}

/// A table with all its faults; it is usable only without any.
#[derive(Debug, Clone)]
pub struct Checked {
    /// The table; cells with faults hold a default.
    pub table: Table,
    /// The faults.
    pub faults: Vec<Fault>,
}

impl Sheet {
    /// Reads every cell and lists every fault, those of form first.
    pub fn check(&self) -> Checked {
        let mut table = Table::default();
        let mut found = self.faults.clone();
        for row in &self.rows {
            let mut reader = RowReader {
                row,
                faults: &mut found,
            };
            match row.kind {
                Kind::Tier => table.tiers.push(reader.tier()),
                Kind::Organisation => table.organisations.push(reader.organisation()),
                Kind::EmptiedZone => table.emptied_zones.push(reader.emptied_zone()),
            }
        }
        for fault in faults(&table) {
            let fault = self.placed(fault);
            // A cell that can't be read has a default, whose faults are not the operator's.
            let cell = |f: &Fault| (f.row.clone(), f.column.clone());
            if !found.iter().any(|f| cell(f) == cell(&fault)) {
                found.push(fault);
            }
        }
        Checked {
            table,
            faults: found,
        }
    }

    /// A fault of the decisions with its place in the file.
    pub fn placed(&self, fault: configuration::Fault) -> Fault {
        placed(&self.rows, fault)
    }
}

// The decisions count the rows of each kind from 1; an operator looks for a place in the file.
fn placed(rows: &[Row], fault: configuration::Fault) -> Fault {
    let find = |kind, number: usize| {
        let mut of_kind = rows.iter().filter(|row| row.kind == kind);
        let row = of_kind.nth(number.saturating_sub(1));
        row.map_or_else(|| fault.row.to_string(), |row| row.place.clone())
    };
    Fault {
        row: match fault.row {
            configuration::Row::Tier(number) => find(Kind::Tier, number),
            configuration::Row::Organisation(number) => find(Kind::Organisation, number),
            configuration::Row::DrainedZone(number) => find(Kind::EmptiedZone, number),
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

/// Rows of a table, for a spreadsheet.
pub fn rows(table: &Table) -> Vec<Row> {
    let tiers = table.tiers.iter().map(|tier| Row {
        place: String::new(),
        kind: Kind::Tier,
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
        place: String::new(),
        kind: Kind::Organisation,
        cells: [
            organisation.organisation.to_string(),
            String::new(),
            organisation.weight.to_string(),
            organisation.max_tier.to_string(),
            optional(organisation.requests_per_s),
            optional(organisation.tokens_per_s),
            optional(organisation.max_running),
            organisation.key_sha256.join(" "),
            organisation.allowed_regions.join(" "),
        ],
    });
    let emptied = table.emptied_zones.iter().map(|zone| Row {
        place: String::new(),
        kind: Kind::EmptiedZone,
        cells: std::array::from_fn(|at| match at {
            0 => zone.to_string(),
            _ => String::new(),
        }),
    });
    tiers.chain(organisations).chain(emptied).collect()
}

fn optional<T>(value: Option<T>) -> String
where
    T: Display,
{
    value.map_or_else(String::new, |v| v.to_string())
}

/// Reads the cells of one row and notes their faults.
struct RowReader<'a> {
    row: &'a Row,
    faults: &'a mut Vec<Fault>,
}

impl RowReader<'_> {
    fn tier(&mut self) -> Tier {
        self.forbid_foreign_cells();
        Tier {
            tier: self.name("name"),
            rank: self.number("rank", "a whole number from 0 (highest) to 255"),
            weight: self.number("weight", WEIGHT),
        }
    }

    fn organisation(&mut self) -> Organisation {
        self.forbid_foreign_cells();
        Organisation {
            organisation: self.name("name"),
            weight: self.number("weight", WEIGHT),
            max_tier: self.name("max_tier"),
            key_sha256: self.keys(),
            allowed_regions: self.regions(),
            requests_per_s: self.limit("requests_per_s", RATE),
            tokens_per_s: self.limit("tokens_per_s", RATE),
            max_running: self.limit("max_running", "a whole number, or nothing for no limit"),
        }
    }

    fn emptied_zone(&mut self) -> Arc<str> {
        self.forbid_foreign_cells();
        self.name("name")
    }

    fn cell(&self, column: &str) -> &str {
        let index = COLUMNS.iter().position(|c| c.name == column);
        index.map_or("", |i| self.row.cells[i].as_str())
    }

    fn fault(&mut self, column: &str, reason: String, expected: &str) {
        self.faults.push(Fault {
            row: self.row.place.clone(),
            column: column.to_owned(),
            reason,
            expected: expected.to_owned(),
        });
    }

    // A limit typed into a tier's row would be lost without a word, and the operator would
    // believe it in force.
    fn forbid_foreign_cells(&mut self) {
        let kind = self.row.kind;
        for (column, cell) in COLUMNS.iter().zip(&self.row.cells) {
            if !cell.is_empty() && !column.belongs_to(kind) {
                let reason = format!("{} rows have no {}", kind.as_str(), column.name);
                self.fault(column.name, reason, "an empty cell");
            }
        }
    }

    fn name(&mut self, column: &str) -> Arc<str> {
        let text = Arc::from(self.cell(column));
        if self.cell(column).is_empty() && !self.known_fault(column) {
            self.fault(column, "missing".to_owned(), "a name");
        }
        text
    }

    fn number<T>(&mut self, column: &str, expected: &str) -> T
    where
        T: FromStr + Default,
    {
        let cell = self.cell(column).trim().to_owned();
        if cell.is_empty() {
            if !self.known_fault(column) {
                self.fault(column, "missing".to_owned(), expected);
            }
            return T::default();
        }
        self.parse(column, &cell, expected).unwrap_or_default()
    }

    fn limit<T>(&mut self, column: &str, expected: &str) -> Option<T>
    where
        T: FromStr,
    {
        let cell = self.cell(column).trim().to_owned();
        if cell.is_empty() {
            return None;
        }
        self.parse(column, &cell, expected)
    }

    fn parse<T>(&mut self, column: &str, cell: &str, expected: &str) -> Option<T>
    where
        T: FromStr,
    {
        let value = cell.parse().ok();
        if value.is_none() {
            self.fault(column, format!("can't read {cell:?}"), expected);
        }
        value
    }

    fn keys(&self) -> Vec<String> {
        self.cell("key_sha256")
            .split_whitespace()
            .map(str::to_owned)
            .collect()
    }

    fn regions(&self) -> Vec<Arc<str>> {
        self.cell("allowed_regions")
            .split_whitespace()
            .map(Arc::from)
            .collect()
    }

    // A cell of the wrong type was reported when the file was read and is empty here.
    fn known_fault(&self, column: &str) -> bool {
        self.faults
            .iter()
            .any(|f| f.row == self.row.place && f.column == column)
    }
}

const WEIGHT: &str = "a whole number from 1";
const RATE: &str = "a number with a decimal point, or nothing for no limit";
