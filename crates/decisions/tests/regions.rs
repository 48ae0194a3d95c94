//! Which regions a request may be served in, by its route and its organisation.

use kingcupfield_decisions::regions::Regions;
use yare::parameterized;

struct Bound {
    route: &'static [&'static str],
    organisation: &'static [&'static str],
    /// Those of north, south and west that are left.
    allowed: &'static [&'static str],
    told: &'static str,
}

fn named(names: &[&str]) -> Regions {
    Regions::named(names.iter().map(|n| (*n).into()))
}

/// Both lists bind; one that names nothing binds nothing.
#[parameterized(
    neither = { Bound { route: &[], organisation: &[], allowed: &["north", "south", "west"], told: "all" } },
    route_alone = { Bound { route: &["south"], organisation: &[], allowed: &["south"], told: "south" } },
    organisation_alone = { Bound { route: &[], organisation: &["west", "north"], allowed: &["north", "west"], told: "north,west" } },
    both = { Bound { route: &["south", "north"], organisation: &["west", "north", "north"], allowed: &["north"], told: "north" } },
    nothing_in_common = { Bound { route: &["south"], organisation: &["west"], allowed: &[], told: "none" } },
    unknown_region = { Bound { route: &["east"], organisation: &[], allowed: &[], told: "east" } },
)]
fn both_lists_bind(case: Bound) {
    let both = named(case.route).and(&named(case.organisation));
    let left: Vec<&str> = ["north", "south", "west"]
        .into_iter()
        .filter(|r| both.allows(r))
        .collect();
    assert_eq!(left, case.allowed);
    assert_eq!(both.to_string(), case.told);
    assert_eq!(both.is_none(), case.told == "none");
}
