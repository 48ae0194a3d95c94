//! What a request in progress takes from a newer table.
//!
//! A request keeps the route that it was admitted on, even if another route of the newer table matches its path: it
//! never gets more permissions than it was admitted with. Of the same route in the newer table it takes the timeout, the
//! regions and whatever restricts it. Before its first send, a request whose route was removed goes on if the route
//! that matches its path now leads to its service, under the restrictions of both; it is refused as not run if its
//! service or API key was withdrawn. Later, it goes on in any case.

use std::rc::Rc;

use super::RequestContext;
use super::refusals::{check_regions, unavailable};
use crate::admission::{authorise, find_route};
use crate::node::Node;
use crate::refusal::Refusal;
use crate::table::{Organisation, Route, Table, allowed_regions};

impl RequestContext {
    /// Updates the terms of a request that has waited. It is refused, and refunded, if no replica has run it and
    /// the table in force doesn't admit it any more.
    pub(super) fn recheck(&mut self, node: &Node) -> Result<(), Refusal> {
        let table = node.table().filter(|t| t.version != self.table_version);
        if let Some(table) = table.filter(|_| self.runs == 0)
            && let Err(refusal) = self.check_admitted(&table)
        {
            self.refund(node);
            return Err(refusal);
        }
        self.update_terms(node);
        Ok(())
    }

    /// Takes over what the table in force changes of the terms.
    pub(super) fn update_terms(&mut self, node: &Node) {
        let Some(table) = node.table().filter(|t| t.version != self.table_version) else {
            return;
        };
        self.table_version = table.version;
        if let Some(newer) = table.same_route(&self.route) {
            self.route = Rc::new(self.route.narrowed_by(newer));
        } else if let Some(newer) = self.successor(&table) {
            self.route = Rc::new(Route {
                timeout: self.route.timeout,
                ..self.route.narrowed_by(newer)
            });
        }
        if let Some(organisation) = self.same_organisation(&table) {
            self.organisation = Some(organisation);
        }
    }

    /// Completes when a newer table withdraws a waiting request, or allows other regions than those that it is
    /// queued for.
    pub(super) async fn terms_changed(&self, node: &Node) {
        let mut version = node.version_tx.subscribe();
        while version.changed().await.is_ok() {
            let Some(table) = node.table() else {
                continue;
            };
            if self.runs == 0 && self.check_admitted(&table).is_err() {
                return;
            }
            let same = table.same_route(&self.route);
            let route = same.or_else(|| self.successor(&table));
            let route = route.unwrap_or(&self.route);
            let organisation = self.same_organisation(&table);
            let organisation = organisation.as_ref().or(self.organisation.as_ref());
            if allowed_regions(route, organisation.map(|o| &**o)) != self.regions() {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Checks whether a table still admits a request that no replica has run.
    fn check_admitted(&self, table: &Table) -> Result<(), Refusal> {
        let route = match table.same_route(&self.route) {
            Some(route) => route,
            None => find_route(table, &self.head)?,
        };
        let organisation = authorise(table, route, &self.meta)?;
        self.check_same_organisation(organisation.as_deref())?;
        check_regions(route, organisation.as_deref())?;
        if route.targets.iter().any(|(s, _)| *s == self.service) {
            return Ok(());
        }
        Err(unavailable(&format!(
            "route {} no longer leads to service {}",
            route.name, self.service
        )))
    }

    /// The route of another table that admits a request that no replica has run, if its own was removed there.
    fn successor<'a>(&self, table: &'a Table) -> Option<&'a Rc<Route>> {
        find_route(table, &self.head)
            .ok()
            .filter(|_| self.runs == 0)
    }

    /// Refuses a request whose API key has gone to another organisation than the one that was charged.
    fn check_same_organisation(&self, organisation: Option<&Organisation>) -> Result<(), Refusal> {
        let charged = self.organisation.as_deref();
        match organisation.zip(charged) {
            Some((newer, charged)) if newer.name != charged.name => {
                Err(unavailable("the API key went to another organisation"))
            }
            _ => Ok(()),
        }
    }

    /// The organisation of the request in another table, if it still holds the API key there.
    fn same_organisation(&self, table: &Table) -> Option<Rc<Organisation>> {
        let key = self.meta.api_key.as_deref()?;
        let own = self.organisation.as_ref()?;
        let newer = table.organisation(key)?;
        (newer.name == own.name).then(|| Rc::clone(newer))
    }
}
