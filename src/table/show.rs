//! The table for a reader: who comes first, who gets which share, who is limited to what.

use std::fmt::Write;

use kingcupfield_decisions::values::{Organisation, Table};
use tabled::builder::Builder;
use tabled::settings::{Alignment, Style, object::Columns};

use super::share::{Share, shares, sorted_tiers};

/// Renders the table with a few sentences that explain it.
pub fn show(table: &Table) -> String {
    let tiers = sorted_tiers(table);
    let mut text = String::new();
    let order: Vec<_> = tiers.iter().map(|t| t.tier.as_ref()).collect();
    let _ = writeln!(
        text,
        "When capacity is short the tiers are served in this order: {}.\n\
         Inside a tier the waiting organisations share by weight, in the parts below; a part\n\
         that its organisation doesn't use goes to the others. Limits hold for the whole fleet.\n",
        order.join(", then ")
    );
    let mut builder = Builder::default();
    let mut heading = vec!["organisation".to_owned(), "weight".to_owned()];
    heading.extend(order.iter().map(|tier| format!("of {tier}")));
    heading.extend(["requests/s", "tokens/s", "running"].map(str::to_owned));
    builder.push_record(heading);
    for (organisation, shares) in table.organisations.iter().zip(shares(table)) {
        builder.push_record(record(organisation, &shares.tiers));
    }
    let mut rendered = builder.build();
    rendered.with(Style::psql());
    rendered.modify(Columns::new(1..), Alignment::right());
    let _ = writeln!(text, "{rendered}\n");
    for (organisation, shares) in table.organisations.iter().zip(shares(table)) {
        let _ = writeln!(text, "{}", sentence(organisation, &shares.tiers));
    }
    if !table.emptied_zones.is_empty() {
        let zones = table.emptied_zones.join(", ");
        let _ = writeln!(text, "\nNothing new goes to the replicas of {zones}.");
    }
    text
}

fn record(organisation: &Organisation, shares: &[Share]) -> Vec<String> {
    let mut cells = vec![
        organisation.organisation.to_string(),
        organisation.weight.to_string(),
    ];
    cells.extend(shares.iter().map(|s| percent(s.part)));
    let none = || "no limit".to_owned();
    cells.push(organisation.requests_per_s.map_or_else(none, number));
    cells.push(organisation.tokens_per_s.map_or_else(none, number));
    cells.push(
        organisation
            .max_running
            .map_or_else(none, |n| n.to_string()),
    );
    cells
}

fn sentence(organisation: &Organisation, shares: &[Share]) -> String {
    let parts: Vec<_> = shares
        .iter()
        .filter(|s| s.part.is_some())
        .map(|s| format!("{} of {}", percent(s.part), s.tier))
        .collect();
    let mut limits = Vec::new();
    if let Some(rate) = organisation.requests_per_s {
        limits.push(format!("{} requests a second", number(rate)));
    }
    if let Some(rate) = organisation.tokens_per_s {
        limits.push(format!("{} tokens a second", number(rate)));
    }
    if let Some(running) = organisation.max_running {
        limits.push(format!("{running} requests running"));
    }
    let limits = match limits.as_slice() {
        [] => "it has no limits".to_owned(),
        some => format!("at most {}", some.join(", ")),
    };
    let regions = match organisation.allowed_regions.as_slice() {
        [] => String::new(),
        some => format!("; it is served in {} alone", some.join(" and ")),
    };
    format!(
        "{} gets {} when everybody waits; {limits}{regions}.",
        organisation.organisation,
        parts.join(", ")
    )
}

/// A part as per cent, or a dash when the tier is closed.
pub fn percent(part: Option<f64>) -> String {
    part.map_or_else(|| "-".to_owned(), |p| format!("{:.1} %", p * 100.0))
}

/// A rate with its thousands parted, as people read it.
fn number(rate: f64) -> String {
    let text = rate.to_string();
    let (whole, fraction) = text.split_once('.').unwrap_or((&text, ""));
    let mut grouped = String::new();
    for (i, digit) in whole.chars().enumerate() {
        if i > 0 && (whole.len() - i).is_multiple_of(3) {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    if !fraction.is_empty() {
        let _ = write!(grouped, ".{fraction}");
    }
    grouped
}
