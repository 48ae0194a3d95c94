//! Requirements of a request that waits for a slot, derived from the table in force.

use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::dispatch::Job;
use kingcupfield_decisions::fair_order::{JobUsage, OUTPUT_TOKEN_WORK};
use kingcupfield_decisions::id::{NameHash, name_hash};
use kingcupfield_decisions::regions::Regions;
use rand::RngExt as _;
use tokio::time::Instant;

use super::RequestContext;
use crate::node::{Node, SlotGuard, Target};
use crate::stream_origin;
use crate::table::allowed_regions;

/// Shortest time after which callers abandon a stream that sends nothing, also before its first
/// event. They abandon it after this time, four latency objectives or eight times the longest
/// permitted pause between events, whichever is longest.
const MIN_STREAM_PATIENCE: Duration = Duration::from_secs(2);

/// Multiple of the latency objective after which callers abandon a silent stream.
const STREAM_PATIENCE_OBJECTIVES: f64 = 4.0;

/// Multiple of the longest permitted pause after which callers abandon a silent stream.
const STREAM_PATIENCE_PAUSES: f64 = 8.0;

/// Fraction of the caller's patience after which a request without a slot is refused. The other half
/// remains for the caller's single retry, which comes when the burst has passed, and fewer requests
/// wait without success in the meantime.
const MAX_QUEUE_WAIT_FRACTION: f64 = 0.5;

/// Fraction of the caller's patience after which the wait for a slot for the rest of a broken stream
/// ends. It is below 1 so that the end of the stream reaches the caller while it still waits.
const MAX_RESUME_WAIT_FRACTION: f64 = 0.8;

/// Counts the usage of all requests without an organisation.
const NO_ORGANISATION: NameHash = 0;

impl RequestContext {
    /// Returns the replica of an assigned slot, or `None` if the replica is gone, leaves or rests, or
    /// the request may no longer be served in its region.
    pub(super) fn target(&self, node: &Node, slot: &SlotGuard) -> Option<Rc<Target>> {
        let target = node.target(&slot.upstream)?;
        let is_resting = node
            .dispatch
            .borrow()
            .is_resting(Instant::now(), &slot.upstream);
        if is_resting || !node.is_in_use(&target) {
            return None;
        }
        let origin = stream_origin::origin_of(&target.published);
        if self.origin.is_some_and(|needed| needed != origin) {
            return None;
        }
        let region = node.region_of(&target.published.zone);
        self.regions().allows(&region).then_some(target)
    }

    /// Regions in which the request may be served.
    pub(super) fn regions(&self) -> Regions {
        allowed_regions(&self.route, self.organisation.as_deref())
    }

    /// Latest time for the complete response: the request's timeout, or the time by which a process
    /// that shuts down must have sent its last responses, whichever is earlier.
    fn response_deadline(&self, node: &Node) -> Instant {
        let deadline = Instant::now() + self.time_left(node);
        node.response_deadline
            .get()
            .map_or(deadline, |shutdown| shutdown.min(deadline))
    }

    /// Time left until the latest time for the complete response.
    pub fn time_to_deadline(&self, node: &Node) -> Duration {
        self.response_deadline(node)
            .saturating_duration_since(Instant::now())
    }

    /// Describes the request to the dispatcher, which orders it and selects a replica.
    pub(super) fn job(&self, node: &Node) -> Job {
        let stream = self.route.kind.is_stream();
        let objective = self.route.latency_objective;
        let patience = if stream {
            MIN_STREAM_PATIENCE
                .max(objective.mul_f64(STREAM_PATIENCE_OBJECTIVES))
                .max(self.route.max_event_gap.mul_f64(STREAM_PATIENCE_PAUSES))
        } else {
            self.route.timeout
        };
        let patience = patience.min(self.meta.timeout.unwrap_or(patience));
        Job {
            id: node.next_job_id(),
            priority: (
                self.route.rank_for(self.organisation.as_deref()),
                self.route.rank,
            ),
            received_at: self.received,
            slo_deadline: self.received + objective,
            deadline: self.response_deadline(node),
            queue_deadline: self.received + patience.mul_f64(MAX_QUEUE_WAIT_FRACTION),
            service: self.service.clone(),
            software_version: self.origin.map(|origin| origin.version),
            regions: self.regions(),
            size: self.meta.response_size(),
            max_event_gap: if stream {
                self.route.max_event_gap
            } else {
                Duration::ZERO
            },
            tried_replicas: self.tried.clone(),
            may_repeat: self.route.kind.is_retryable() && self.runs + 1 < self.route.max_attempts,
            usage: self.usage(node),
            salt: rand::rng().random(),
        }
    }

    /// What the request counts for its organisation; `None` while requests aren't ordered by usage.
    /// Requests without an organisation count together.
    pub(super) fn usage(&self, node: &Node) -> Option<JobUsage> {
        node.settings().scheduling.fair_order?;
        let organisation = self.organisation.as_deref();
        let output_tokens = self.meta.estimated_output_tokens();
        let tokens = f64::from(self.meta.prompt_tokens.unwrap_or(0));
        let work = tokens + OUTPUT_TOKEN_WORK * output_tokens;
        let table = node.table();
        let default_tokens = table.as_ref().map_or(1, |t| t.default_tokens(organisation));
        Some(JobUsage {
            organisation: organisation.map_or(NO_ORGANISATION, |o| name_hash(&o.name)),
            share: table.map_or(1.0, |t| t.share(organisation)),
            work: if work > 0.0 {
                work
            } else {
                f64::from(default_tokens)
            },
        })
    }

    /// Whether a replica that was not tried has the software version that the request needs.
    pub fn is_version_served(&self, node: &Node) -> bool {
        let dispatch = node.dispatch.borrow();
        self.origin
            .is_none_or(|o| dispatch.serves_version(&self.service, o.version, &self.tried))
    }

    /// Waits for a slot for the rest of a stream that broke off, under the table in force and with the
    /// highest priority. Returns `None` if none is assigned in time or its replica can't be used, or if no replica
    /// can complete the rest before this instance shuts down.
    ///
    /// `relayed_events` is the number of events that the caller has got.
    pub async fn acquire_slot_for_resume(
        &mut self,
        node: &Rc<Node>,
        relayed_events: u32,
    ) -> Option<(SlotGuard, Rc<Target>)> {
        self.update_terms(node);
        let now = Instant::now();
        let mut job = self.job(node);
        let relayed_tokens = relayed_events.saturating_mul(self.tokens_per_event(node));
        job.size = job.size.without_output(f64::from(relayed_tokens));
        job.priority = (0, 0);
        job.slo_deadline = now + self.route.max_event_gap;
        job.queue_deadline = now + MIN_STREAM_PATIENCE.mul_f64(MAX_RESUME_WAIT_FRACTION);
        let slot = node.acquire_slot(job).await.ok()?;
        self.update_terms(node);
        let target = self.target(node, &slot)?;
        Some((slot, target))
    }

    /// Tokens in each event of the service's streams.
    fn tokens_per_event(&self, node: &Node) -> u32 {
        let table = node.table();
        let service = table.as_ref().and_then(|t| t.service(&self.service));
        service.and_then(|s| s.tokens_per_event).unwrap_or(1)
    }
}
