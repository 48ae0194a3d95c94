//! Renders a table as text for operators: order of the tiers, shares and limits of organisations.

use std::fmt::Write;

use kingcupfield_decisions::values::{Organisation, Table};
use tabled::builder::Builder;
use tabled::settings::{Alignment, Style, object::Columns};

use super::share::{TierShare, compute_shares, sorted_tiers};

/// Renders the shares and limits as a text table, followed by one sentence per organisation.
pub fn render(table: &Table) -> String {
    let tiers = sorted_tiers(table);
    let mut text = String::new();
    let tier_names: Vec<_> = tiers.iter().map(|t| t.tier.as_ref()).collect();
    let _ = writeln!(
        text,
        "When capacity is short the tiers are served in this order: {}.\n\
         Inside a tier the waiting organisations share by weight, in the parts below; a part\n\
         that its organisation doesn't use goes to the others. Limits hold for the whole fleet.\n",
        tier_names.join(", then ")
    );
    let mut builder = Builder::default();
    let mut heading = vec!["organisation".to_owned(), "weight".to_owned()];
    heading.extend(tier_names.iter().map(|tier| format!("of {tier}")));
    heading.extend(["requests/s", "tokens/s", "running"].map(str::to_owned));
    builder.push_record(heading);
    for (organisation, shares) in table.organisations.iter().zip(compute_shares(table)) {
        builder.push_record(organisation_record(organisation, &shares.tiers));
    }
    let mut rendered = builder.build();
    rendered.with(Style::psql());
    rendered.modify(Columns::new(1..), Alignment::right());
    let _ = writeln!(text, "{rendered}\n");
    for (organisation, shares) in table.organisations.iter().zip(compute_shares(table)) {
        let _ = writeln!(
            text,
            "{}",
            describe_organisation(organisation, &shares.tiers)
        );
    }
    if !table.emptied_zones.is_empty() {
        let zones = table.emptied_zones.join(", ");
        let _ = writeln!(text, "\nNothing new goes to the replicas of {zones}.");
    }
    text
}

// Builds the row of an organisation: weight, share of each tier, limits.
fn organisation_record(organisation: &Organisation, shares: &[TierShare]) -> Vec<String> {
    let mut cells = vec![
        organisation.organisation.to_string(),
        organisation.weight.to_string(),
    ];
    cells.extend(shares.iter().map(|s| format_percent(s.fraction)));
    let none = || "no limit".to_owned();
    cells.push(organisation.requests_per_s.map_or_else(none, format_rate));
    cells.push(organisation.tokens_per_s.map_or_else(none, format_rate));
    cells.push(
        organisation
            .max_running
            .map_or_else(none, |n| n.to_string()),
    );
    cells
}

// Builds the sentence about an organisation: shares, limits, allowed regions.
fn describe_organisation(organisation: &Organisation, shares: &[TierShare]) -> String {
    let parts: Vec<_> = shares
        .iter()
        .filter(|s| s.fraction.is_some())
        .map(|s| format!("{} of {}", format_percent(s.fraction), s.tier))
        .collect();
    let mut limits = Vec::new();
    if let Some(rate) = organisation.requests_per_s {
        limits.push(format!("{} requests a second", format_rate(rate)));
    }
    if let Some(rate) = organisation.tokens_per_s {
        limits.push(format!("{} tokens a second", format_rate(rate)));
    }
    if let Some(running) = organisation.max_running {
        limits.push(format!("{running} requests running"));
    }
    let limits = match limits.as_slice() {
        [] => "it has no limits".to_owned(),
        items => format!("at most {}", items.join(", ")),
    };
    let regions = match organisation.allowed_regions.as_slice() {
        [] => String::new(),
        items => format!("; it is served in {} alone", items.join(" and ")),
    };
    format!(
        "{} gets {} when everybody waits; {limits}{regions}.",
        organisation.organisation,
        parts.join(", ")
    )
}

/// Formats a fraction (0 to 1) as a percentage; `None`, a tier that is not allowed, as `-`.
pub fn format_percent(fraction: Option<f64>) -> String {
    fraction.map_or_else(
        || "-".to_owned(),
        |fraction| format!("{:.1} %", fraction * 100.0),
    )
}

/// Formats a rate with commas as thousands separators.
fn format_rate(rate: f64) -> String {
    let text = rate.to_string();
    let (integer, fraction) = text.split_once('.').unwrap_or((&text, ""));
    let mut grouped = String::new();
    for (i, digit) in integer.chars().enumerate() {
        if i > 0 && (integer.len() - i).is_multiple_of(3) {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    if !fraction.is_empty() {
        let _ = write!(grouped, ".{fraction}");
    }
    grouped
}
