//! Which entries of the directory an instance asks another one for.

use kingcupfield_decisions::directory_sync::{Announced, Known};
use yare::parameterized;

struct Case {
    /// Revisions of small and large entries that are known.
    known: (u64, u64),
    asks_for_large: bool,
    /// Revisions of small and of all entries that a peer announces.
    announced: (u64, u64),
    is_split: bool,
    is_behind: bool,
    /// Revision after which small entries are asked for.
    after: u64,
}

/// Guards against small changes that wait for a table: the peer that has them was not asked, as it
/// lacked the table as well.
#[parameterized(
    nothing_new = { Case { known: (9, 9), asks_for_large: true, announced: (9, 9), is_split: true, is_behind: false, after: 9 } },
    a_small_change = { Case { known: (9, 5), asks_for_large: true, announced: (10, 5), is_split: true, is_behind: true, after: 9 } },
    the_table = { Case { known: (9, 5), asks_for_large: true, announced: (9, 9), is_split: true, is_behind: true, after: 9 } },
    the_table_is_on_its_way = { Case { known: (9, 5), asks_for_large: false, announced: (9, 9), is_split: true, is_behind: false, after: 9 } },
    a_change_while_it_is = { Case { known: (9, 5), asks_for_large: false, announced: (10, 10), is_split: true, is_behind: true, after: 9 } },
    less_than_is_known = { Case { known: (9, 5), asks_for_large: true, announced: (7, 5), is_split: true, is_behind: false, after: 9 } },
    an_earlier_build = { Case { known: (9, 5), asks_for_large: true, announced: (8, 8), is_split: false, is_behind: true, after: 5 } },
)]
fn a_peer_is_asked_for_what_is_missing(case: Case) {
    let known = Known {
        small_upto: case.known.0,
        large_upto: case.known.1,
        asks_for_large: case.asks_for_large,
    };
    let announced = Announced {
        small_upto: case.announced.0,
        upto: case.announced.1,
        is_split: case.is_split,
    };
    assert_eq!(known.is_behind(announced), case.is_behind);
    assert_eq!(known.small_upto_for(announced), case.after);
}
