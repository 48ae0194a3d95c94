//! What changes of the table and gaps in the directory mean for the history of software versions.

use kingcupfield_decisions::id::name_hash;
use tokio::time::Instant;

use super::Node;
use crate::log::Priority;
use crate::table::Table;

impl Node {
    /// Records which routes of resumable streams lead to other services in a newer table, and the longest of
    /// their timeouts.
    pub(super) fn record_moved_routes(&self, newer: &Table) {
        let now = Instant::now();
        let mut versions = self.versions.borrow_mut();
        let timeouts = newer.resumable_routes().map(|r| r.timeout);
        versions.set_longest_timeout(timeouts.max().unwrap_or_default());
        let Some(older) = self.table() else {
            return;
        };
        for route in newer.resumable_routes() {
            let before = older.route_before(route);
            if before.is_none_or(|before| before.has_same_services(route)) {
                continue;
            }
            for (service, _) in &route.targets {
                versions.on_moved_route(now, name_hash(service));
            }
        }
    }

    /// Records that changes of the directory up to now may have been missed.
    pub fn record_missed_changes(&self) {
        self.versions.borrow_mut().on_missed_changes(Instant::now());
        let upto = self.directory.borrow().small_up_to();
        self.history_missed_up_to.set(upto);
        self.log.line(
            Priority::State,
            format_args!("event=version_history_missed upto={upto}"),
        );
    }
}
