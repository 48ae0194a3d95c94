//! What a request that waits for a place may get, by the table in force.

use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::dispatch::Job;
use kingcupfield_decisions::regions::Regions;
use rand::RngExt as _;
use tokio::time::Instant;

use super::RequestContext;
use super::refusing::{check_end, check_regions, unavailable};
use crate::admission::resolve;
use crate::node::{Node, Place, Target};
use crate::refusal::Refusal;
use crate::table::regions;

/// Callers leave a stream, also before its first event, after two seconds, four times the objective
/// or eight times the longest pause, whichever is longest.
const PATIENCE: Duration = Duration::from_secs(2);

const PATIENCE_OBJECTIVES: f64 = 4.0;

const PATIENCE_PAUSES: f64 = 8.0;

/// A request that got no place is given up at this part of its caller's patience: the other half is
/// left for the one time that a caller comes back, when the burst has passed, and less waits in vain
/// meanwhile.
const GIVE_UP_AT: f64 = 0.5;

/// The rest of a stream that broke off is given up while its caller still waits, so that the end of
/// the stream arrives.
const BEFORE_PATIENCE_ENDS: f64 = 0.8;

impl RequestContext {
    /// The replica of a place, unless it has gone or the request may no longer be served there.
    pub(super) fn target(&self, node: &Node, place: &Place) -> Option<Rc<Target>> {
        let target = node.target(&place.upstream)?;
        let region = node.region_of(&target.published.zone);
        self.regions().allows(&region).then_some(target)
    }

    /// Where it may be served.
    pub(super) fn regions(&self) -> Regions {
        regions(&self.route, self.organisation.as_deref())
    }

    /// Ends when a newer table binds the request to other regions than those it waits for.
    pub(super) async fn bound_elsewhere(&self, node: &Node) {
        let mut version = node.version.subscribe();
        while version.changed().await.is_ok() {
            let table = node.table();
            let found = table.and_then(|t| resolve(&t, &self.head, &self.meta).ok());
            let now = found.map(|(route, organisation)| regions(&route, organisation.as_deref()));
            if now.is_some_and(|now| now != self.regions()) {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// When its whole answer must have come: its caller leaves then, or the process ends.
    fn ends_by(&self, node: &Node) -> Instant {
        let deadline = Instant::now() + self.time_left(node);
        node.answers_by
            .get()
            .map_or(deadline, |end| end.min(deadline))
    }

    pub(super) fn job(&self, node: &Node) -> Job {
        let stream = self.route.kind.is_stream();
        let objective = self.route.objective;
        let patience = if stream {
            PATIENCE
                .max(objective.mul_f64(PATIENCE_OBJECTIVES))
                .max(self.route.longest_pause.mul_f64(PATIENCE_PAUSES))
        } else {
            self.route.timeout
        };
        let waits = patience.min(self.meta.timeout.unwrap_or(patience));
        let own_rank = self.organisation.as_ref().and_then(|o| o.rank);
        Job {
            id: node.new_job(),
            rank: (own_rank.unwrap_or(self.route.rank), self.route.rank),
            received: self.received,
            due: self.received + objective,
            deadline: self.ends_by(node),
            give_up: self.received + waits.mul_f64(GIVE_UP_AT),
            service: self.service.clone(),
            regions: self.regions(),
            prompt: f64::from(self.meta.prompt_tokens.unwrap_or(0)),
            output: self.meta.estimated_output_tokens(),
            longest_pause: if stream {
                self.route.longest_pause
            } else {
                Duration::ZERO
            },
            tried: self.tried.clone(),
            salt: rand::rng().random(),
        }
    }

    /// A request that waited is sent by what holds now: its key or route may be gone, and the process
    /// may end before the request could.
    pub(super) fn recheck(&mut self, node: &Node) -> Result<(), Refusal> {
        let result = self.check_again(node);
        if result.is_err() && self.runs == 0 {
            self.uncharge(node);
        }
        result
    }

    fn check_again(&mut self, node: &Node) -> Result<(), Refusal> {
        let Some(table) = node.table() else {
            return Ok(());
        };
        let (route, organisation) = resolve(&table, &self.head, &self.meta)?;
        if self.runs == 0 {
            check_regions(&route, organisation.as_deref())?;
            if !route.targets.iter().any(|(s, _)| *s == self.service) {
                return Err(unavailable("the route leads to other services now"));
            }
            check_end(node, &self.service, &self.meta)?;
        }
        self.route = route;
        self.organisation = organisation;
        Ok(())
    }

    /// A place for the rest of a stream that broke off, by what holds now.
    pub async fn place_for_resume(&mut self, node: &Rc<Node>) -> Option<(Place, Rc<Target>)> {
        self.follow_table(node);
        let now = Instant::now();
        let mut job = self.job(node);
        job.rank = (0, 0);
        job.due = now + self.route.longest_pause;
        job.give_up = now + PATIENCE.mul_f64(BEFORE_PATIENCE_ENDS);
        let place = node.place(job).await.ok()?;
        self.follow_table(node);
        let target = self.target(node, &place)?;
        Some((place, target))
    }

    /// Goes by the newest table. A stream whose route or key is no longer there ends by the rules
    /// under which it began.
    fn follow_table(&mut self, node: &Node) {
        let _ = self.check_again(node);
    }
}
