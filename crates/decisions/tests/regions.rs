//! Regions in which a request may be processed, from the lists of its route and its organisation.

use kingcupfield_decisions::regions::Regions;
use yare::parameterized;

struct Restrictions {
    route: &'static [&'static str],
    organisation: &'static [&'static str],
    /// Which of north, south and west remain.
    allowed: &'static [&'static str],
    displayed: &'static str,
}

fn named(names: &[&str]) -> Regions {
    Regions::named(names.iter().map(|n| (*n).into()))
}

/// Both lists apply; an empty list restricts nothing.
#[parameterized(
    neither = { Restrictions { route: &[], organisation: &[], allowed: &["north", "south", "west"], displayed: "all" } },
    route_alone = { Restrictions { route: &["south"], organisation: &[], allowed: &["south"], displayed: "south" } },
    organisation_alone = { Restrictions { route: &[], organisation: &["west", "north"], allowed: &["north", "west"], displayed: "north,west" } },
    both = { Restrictions { route: &["south", "north"], organisation: &["west", "north", "north"], allowed: &["north"], displayed: "north" } },
    nothing_in_common = { Restrictions { route: &["south"], organisation: &["west"], allowed: &[], displayed: "none" } },
    unknown_region = { Restrictions { route: &["east"], organisation: &[], allowed: &[], displayed: "east" } },
)]
fn both_lists_apply(case: Restrictions) {
    let both = named(case.route).and(&named(case.organisation));
    let remaining: Vec<&str> = ["north", "south", "west"]
        .into_iter()
        .filter(|r| both.allows(r))
        .collect();
    assert_eq!(remaining, case.allowed);
    assert_eq!(both.to_string(), case.displayed);
    assert_eq!(both.is_none(), case.displayed == "none");
}
