//! Load, availability and expected cost of one replica.

use std::time::Duration;

use tokio::time::Instant;

use crate::bounded::bounded_secs;
use crate::cold::{ColdGate, ColdLimit};
use crate::digest_timing;
use crate::dispatch::{Job, JobId, latency::LatencyEstimate, size::PromptCost, speeds::StatedLoad};
use crate::id::{NameHash, RegionId, ServiceId, UpstreamId};
use crate::momentary_speed::MomentarySpeed;
use crate::replica_limit::ReplicaLimit;
use crate::rest::Rest;
use crate::warm_up::WarmUp;

/// Batch steps within which a replica should send something for at least one of its requests: four
/// times what an engine needs for a first token on top of the prompt, which is about 120 ms at 7 ms
/// per step.
const RESPONSE_TIMEOUT_STEPS: f64 = 68.0;

/// Most prompt tokens an engine processes between two events of the other streams: two chunks of
/// 4,096.
const MAX_PROMPT_TOKENS_BETWEEN_EVENTS: f64 = 8_192.0;

/// Cost in milliseconds of a failure share that exceeds the lowest of the service by 1.
const FAILURE_PENALTY_MS: f64 = 2_500.0;

/// Cost in milliseconds of each running stream that a new prompt is likely to stall beyond its
/// longest acceptable gap.
const STALL_PENALTY_PER_STREAM_MS: f64 = 400.0;

/// Share of the longest acceptable gap from which the expected gap counts as a stall.
const STALL_GAP_SHARE: f64 = 0.8;

/// Ratio of the expected gap to the longest acceptable one above which the cost grows no further.
const MAX_STALL_GAP_RATIO: f64 = 3.0;

/// Shortest response, in tokens, presumed when the wait for a slot is estimated.
const MIN_QUEUED_OUTPUT_TOKENS: f64 = 60.0;

/// Factor by which a response may be longer than expected: the estimates are right on average and
/// usually off by half in either direction.
pub(super) const OUTPUT_LENGTH_MARGIN: f64 = 1.5;

/// Factor by which a queued request may wait longer than expected for its slot: response lengths
/// differ from each other by far more than their mean.
const QUEUE_WAIT_MARGIN: f64 = 8.0;

/// A replica that has responded to none of its requests for this long is presumed dead or stuck.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);

/// First backoff after a connection to a replica failed or another replica answered at its address.
/// It doubles with each consecutive failure: a dead replica stays listed for three of its heartbeat
/// intervals, and each attempt costs a caller the time of a connection.
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(1);

/// Delay after the last failure until an unreachable replica is tried again while no other replica
/// of its service accepts work. A longer backoff would then spare nobody a failure.
const LAST_RESORT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Backoff after a peer reported a replica unreachable. Peers repeat the report while it holds.
const PEER_REPORT_BACKOFF: Duration = Duration::from_millis(600);

/// A replica that responded to this instance within this time is kept despite a peer's report.
const RECENT_RESPONSE: Duration = Duration::from_millis(300);

/// Longest backoff of an unreachable replica.
const MAX_UNREACHABLE_BACKOFF: Duration = Duration::from_secs(4);

/// Backoff of a replica that rejected a request for lack of capacity.
const FULL_BACKOFF: Duration = Duration::from_millis(150);

/// Requests sent to an engine beyond its slots. The report of a free slot takes a tenth of a second
/// to reach all instances, during which the slot would idle.
const ENGINE_EXTRA_REQUESTS: u32 = 1;

/// Requests sent to a plain service's replica for each of its slots. Plain requests take tens of
/// milliseconds, so a short queue at the replica costs less than an idle slot.
const PLAIN_REQUESTS_PER_SLOT: u32 = 2;

/// Published properties of a replica, and its distance from this instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Replica {
    /// Unique name of the replica.
    pub id: UpstreamId,
    /// Start time, which tells a restarted replica from its predecessor of the same name.
    pub incarnation: u64,
    /// Service that the replica belongs to.
    pub service: ServiceId,
    /// Name hash of the version of its software.
    pub software_version: NameHash,
    /// Region of its availability zone.
    pub region: RegionId,
    /// Requests that the replica processes concurrently.
    pub slots: u32,
    /// Network round trip plus the price of the transferred bytes, expressed as time.
    pub weighted_round_trip: Duration,
    /// Network round trip alone.
    pub network_round_trip: Duration,
    /// Time until a change of the replica's load is known here; zero in this instance's own zone,
    /// where every change is sent at once.
    pub propagation_delay: Duration,
    /// Whether the replica generates tokens for a batch of requests, unlike a plain service.
    pub is_engine: bool,
    /// Tokens in each event of its streams.
    pub tokens_per_event: u32,
    /// Whether it may receive new requests: it isn't shutting down and its zone isn't drained.
    pub usable: bool,
    /// Whether it is in the same availability zone as this instance.
    pub in_own_zone: bool,
    /// Time until which the replica is cold: started recently, and overloaded by its usual request
    /// rate.
    pub cold_until: Option<Instant>,
    /// Requests it can take while cold; `None` if a cold start needs no limit.
    pub cold_limit: Option<ColdLimit>,
}

/// A request of this instance that was sent to the replica.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) job: JobId,
    /// Prompt tokens the engine has yet to process; 0 after the first event.
    pub(super) pending_prompt_tokens: f64,
    pub(super) dispatched_at: Instant,
    pub(super) has_responded: bool,
    /// Whether no other prompt was being processed at the replica when this request was sent.
    pub(super) prompt_started_at_once: bool,
    /// Extra time allowed for the first event because other requests are ahead of this one.
    pub(super) queueing_allowance: Duration,
    /// Gaps of all streams of the replica until this request was sent.
    pub(super) gaps_before: u64,
    /// Requests at the replica for each of its slots when this one was sent, at least 1.
    pub(super) load_per_slot: f64,
}

/// A replica, the requests running there and what was learned from their responses.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) replica: Replica,
    /// Whether it belongs to the cell of this instance, if it is in its zone.
    pub(super) in_cell: bool,
    pub(super) latency: LatencyEstimate,
    /// Its current speed relative to the learned times.
    pub(super) speed: MomentarySpeed,
    /// Counts in its last response.
    pub(super) stated_load: StatedLoad,
    /// Whether it has stated load figures that can't be used.
    pub(super) stated_invalid_load: bool,
    /// Requests of this instance that run there.
    pub(super) running: Vec<Running>,
    /// Requests of other instances that run there, from their latest reports.
    pub(super) remote_running: u32,
    /// Prompt tokens of these requests that the replica has yet to process.
    pub(super) remote_prompt_tokens: f64,
    /// Time of the last response or event received here.
    pub(super) last_response_at: Option<Instant>,
    /// Time until which no request is sent, after a failure or a rejection.
    pub(super) backoff_until: Option<Instant>,
    /// Time since which the replica has had room for another request; `None` while it is full.
    free_since: Option<Instant>,
    /// Consecutive failures to connect.
    pub(super) connect_failures: u32,
    /// Time of the last failure to connect, seen here or reported by a peer.
    last_connect_failure_at: Option<Instant>,
    /// Counts the requests sent while the replica is cold.
    pub(super) cold_gate: ColdGate,
    /// Limit that the replica named for all instances together.
    pub(super) limit: ReplicaLimit,
    /// Whether the replica has said in a response that it shuts down. The word holds for its incarnation.
    pub(super) said_leaving: bool,
    /// Time for which the replica wants no request of this instance.
    pub(super) rest: Rest,
    /// Whether this instance is the first of its zone to stand in for the designated one.
    pub(super) is_first_stand_in: bool,
    /// Bound on the requests in flight after a start or a recovery.
    pub(super) warm_up: WarmUp,
    /// Times per token since the last sample of the speed for the warm-up, in milliseconds.
    pub(super) recent_gaps_ms: Vec<f64>,
    /// Gaps between events of its streams since it was published.
    pub(super) gap_count: u64,
}

impl Upstream {
    pub(super) fn new(replica: Replica, cold_gate: ColdGate, warm_up: WarmUp) -> Self {
        Self {
            replica,
            in_cell: true,
            latency: LatencyEstimate::default(),
            speed: MomentarySpeed::default(),
            stated_load: StatedLoad::default(),
            stated_invalid_load: false,
            running: Vec::new(),
            remote_running: 0,
            remote_prompt_tokens: 0.0,
            last_response_at: None,
            backoff_until: None,
            free_since: None,
            connect_failures: 0,
            last_connect_failure_at: None,
            cold_gate,
            limit: ReplicaLimit::default(),
            said_leaving: false,
            rest: Rest::default(),
            is_first_stand_in: false,
            warm_up,
            recent_gaps_ms: Vec::new(),
            gap_count: 0,
        }
    }

    /// Sets the load of other instances from their latest reports.
    pub(super) fn set_remote_load(&mut self, running: u32, prompt_tokens: f64) {
        self.remote_running = running;
        self.remote_prompt_tokens = prompt_tokens;
        if !self.has_room() {
            self.free_since = None;
        }
    }

    /// Whether it is in the own zone, but in another cell.
    pub(super) fn is_in_other_cell(&self) -> bool {
        self.replica.in_own_zone && !self.in_cell
    }

    /// Time until a change of its load is known here.
    pub(super) fn propagation_delay(&self) -> Duration {
        if self.is_in_other_cell() {
            return self.replica.propagation_delay.max(digest_timing::HEARTBEAT);
        }
        self.replica.propagation_delay
    }

    /// Whether it is not idle, or something is known of it beyond its publication.
    pub(super) fn is_active(&self, now: Instant) -> bool {
        self.running_total() > 0
            || self.free_since.is_none()
            || self.connect_failures > 0
            || self.said_leaving
            || self.speed.has_unreported()
            || self.limit.own_report(now).is_some()
            || self.warm_up.bound().is_some()
            || self.warm_up.is_reported(now)
    }

    /// Requests that run at the replica according to the instances.
    pub(super) fn reported_running(&self) -> u32 {
        self.running.len() as u32 + self.remote_running
    }

    /// Requests that run at the replica according to the instances and the replica itself. It is used
    /// for costs only: the replica's counts may be false and must not decide whether it gets requests.
    fn running_total(&self) -> u32 {
        self.running.len() as u32 + self.remote_running.max(self.stated_load.others())
    }

    /// Whether another request fits into the slots and the permitted queue of the replica, and below its
    /// in-flight bound.
    pub(super) fn has_room(&self) -> bool {
        self.has_slots() && self.reported_running() < self.warm_up.max_in_flight()
    }

    /// Whether another request fits into the slots and the permitted queue of the replica.
    pub(super) fn has_slots(&self) -> bool {
        let room = if self.replica.is_engine {
            self.replica.slots.saturating_add(ENGINE_EXTRA_REQUESTS)
        } else {
            self.replica.slots.saturating_mul(PLAIN_REQUESTS_PER_SLOT)
        };
        self.reported_running() < room
    }

    /// Whether it may get new requests: neither the directory nor the replica itself says otherwise.
    pub(super) fn is_usable(&self) -> bool {
        self.replica.usable && !self.said_leaving
    }

    /// Whether neither recent failures nor a cold start keep requests of this instance away.
    pub(super) fn accepts_work(&self, now: Instant) -> bool {
        !self.in_backoff(now)
            && !self.is_being_probed()
            && !self.is_unresponsive(now)
            && !self.is_cold_not_designated(now)
            && self.limit.admits(now)
            && !self.rest.holds(now)
    }

    /// Request limit that applies now, `None` unless the replica is cold.
    fn current_cold_limit(&self, now: Instant) -> Option<ColdLimit> {
        let is_cold = self.replica.cold_until.is_some_and(|until| now < until);
        self.replica.cold_limit.filter(|_| is_cold)
    }

    /// Whether the replica is cold and therefore limited.
    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.current_cold_limit(now).is_some()
    }

    /// Whether the replica is cold and another instance is designated for it.
    pub(super) fn is_cold_not_designated(&self, now: Instant) -> bool {
        self.is_cold(now) && !self.cold_gate.is_designated()
    }

    /// Whether the cold start limit, if one applies, permits another request now.
    fn cold_limit_admits(&self, now: Instant) -> bool {
        let limit = self.current_cold_limit(now);
        limit.is_none_or(|limit| self.cold_gate.admits(now, limit.per_instance_limit()))
    }

    /// Whether a request may be sent despite the backoff if no replica accepts work.
    pub(super) fn is_last_resort(&self, now: Instant) -> bool {
        let rested = self
            .last_connect_failure_at
            .is_some_and(|at| now.saturating_duration_since(at) >= LAST_RESORT_RETRY_DELAY);
        let may_try = self.in_backoff(now)
            && !self.is_being_probed()
            && !self.is_unresponsive(now)
            && self.limit.admits(now)
            && !self.rest.holds(now);
        let is_permitted = self.cold_limit_admits(now) && self.pace_admits(now);
        rested && may_try && self.is_usable() && self.has_room() && is_permitted
    }

    /// Records since when the replica has had room; returns whether it can accept another request
    /// now.
    pub(super) fn update_free_since(&mut self, now: Instant) -> bool {
        self.stated_load.expire(now);
        if !self.running.is_empty() {
            self.warm_up.confirm(now);
        }
        self.warm_up.expire(now);
        if !self.has_room() {
            self.free_since = None;
            return false;
        }
        self.free_since.get_or_insert(now);
        self.is_usable()
            && self.accepts_work(now)
            && self.cold_limit_admits(now)
            && self.pace_admits(now)
    }

    /// How long the replica has had room.
    pub(super) fn free_duration(&self, now: Instant) -> Duration {
        self.free_since
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Starts a backoff after a failure to connect.
    pub(super) fn back_off_unreachable(&mut self, now: Instant) {
        let backoff = UNREACHABLE_BACKOFF * 2_u32.saturating_pow(self.connect_failures.min(4));
        self.connect_failures += 1;
        self.last_connect_failure_at = Some(now);
        self.backoff_until = Some(now + backoff.min(MAX_UNREACHABLE_BACKOFF));
    }

    /// Starts a backoff because a peer failed to connect, unless the replica responded here
    /// recently.
    pub(super) fn on_peer_unreachable(&mut self, now: Instant) {
        let recently_responded = self
            .last_response_at
            .is_some_and(|at| now.saturating_duration_since(at) < RECENT_RESPONSE);
        if !recently_responded && !self.in_backoff(now) {
            self.last_connect_failure_at = Some(now);
            self.backoff_until = Some(now + PEER_REPORT_BACKOFF);
        }
    }

    /// Whether a request is probing the replica after failures to connect; only one may do so at a
    /// time.
    pub(super) fn is_being_probed(&self) -> bool {
        self.connect_failures > 0 && !self.running.is_empty()
    }

    /// Starts a backoff after a rejection for lack of capacity.
    pub(super) fn back_off_full(&mut self, now: Instant) {
        self.backoff_until = Some(now + FULL_BACKOFF);
    }

    pub(super) fn in_backoff(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Whether a request is overdue and the replica has sent nothing else within the timeout
    /// either.
    pub(super) fn is_unresponsive(&self, now: Instant) -> bool {
        let slowest_step_ms = self.latency.step_ms() * self.speed.factor(now).max(1.0);
        let slowest_response = bounded_secs(slowest_step_ms * RESPONSE_TIMEOUT_STEPS / 1e3);
        let timeout = RESPONSE_TIMEOUT.max(slowest_response);
        let overdue = self.running.iter().filter(|r| !r.has_responded).any(|r| {
            now.saturating_duration_since(r.dispatched_at) > timeout + r.queueing_allowance
        });
        let quiet = self
            .last_response_at
            .is_none_or(|at| now.saturating_duration_since(at) > timeout);
        overdue && quiet
    }

    /// Whether a slot is free and no prompt is being processed there.
    pub(super) fn starts_prompt_at_once(&self) -> bool {
        self.pending_prompt_tokens() <= 0.0 && self.reported_running() < self.replica.slots
    }

    /// Prompt tokens at the replica that have yet to be processed, of all instances.
    pub(super) fn pending_prompt_tokens(&self) -> f64 {
        self.running
            .iter()
            .map(|r| r.pending_prompt_tokens)
            .sum::<f64>()
            + self.remote_prompt_tokens
    }

    /// Cost in milliseconds: the time to the first byte of the response, and the delay of other
    /// requests.
    pub(super) fn cost_ms(
        &self,
        now: Instant,
        job: &Job,
        prompt_cost: &PromptCost,
        lowest_failure_share: f64,
    ) -> f64 {
        let round_trip_ms = self.replica.weighted_round_trip.as_secs_f64() * 1000.0;
        let failure_penalty_ms =
            (self.latency.failure_share(now) - lowest_failure_share).max(0.0) * FAILURE_PENALTY_MS;
        if !self.replica.is_engine {
            let requests_per_slot =
                f64::from(self.running_total()) / f64::from(self.replica.slots.max(1));
            return round_trip_ms
                + self
                    .speed
                    .expected_ms(now, self.latency.service_ms() * (1.0 + requests_per_slot))
                + failure_penalty_ms;
        }
        let step_ms = self.latency.step_ms();
        let prompt_steps = prompt_cost.prompt_steps(job.size.prompt_tokens)
            + prompt_cost.prompt_steps(self.pending_prompt_tokens());
        let first_token_ms =
            (prompt_cost.first_steps + prompt_steps) * step_ms + self.queue_wait_ms(job);
        let stall_penalty_ms = self.stall_penalty_ms(now, job, prompt_cost);
        round_trip_ms
            + self.speed.expected_ms(now, first_token_ms)
            + failure_penalty_ms
            + stall_penalty_ms
            + self.deadline_overrun_ms(now, job, first_token_ms)
    }

    /// Milliseconds by which the response is expected to exceed its deadline. `first_token_ms` is the
    /// time to the first token at the mean speed.
    fn deadline_overrun_ms(&self, now: Instant, job: &Job, first_token_ms: f64) -> f64 {
        let time_left_ms = job.deadline.saturating_duration_since(now).as_secs_f64() * 1000.0;
        let total_ms = first_token_ms
            + job.size.expected_output_tokens * OUTPUT_LENGTH_MARGIN * self.latency.step_ms();
        (self.speed.expected_ms(now, total_ms) - time_left_ms).max(0.0)
    }

    /// Whether the response is expected to be complete by its deadline if it gets a slot now.
    pub(super) fn finishes_by_deadline(
        &self,
        now: Instant,
        job: &Job,
        prompt_cost: &PromptCost,
    ) -> bool {
        let time_left = job.deadline.saturating_duration_since(now);
        self.expected_ms(now, job, prompt_cost) <= time_left.as_secs_f64() * 1000.0
    }

    /// Milliseconds that the whole response is expected to take if it gets a slot now; 0 for a plain service.
    pub(super) fn expected_ms(&self, now: Instant, job: &Job, prompt_cost: &PromptCost) -> f64 {
        if !self.replica.is_engine {
            return 0.0;
        }
        let usual_ms = self.response_ms(
            job.size.prompt_tokens,
            job.size.expected_output_tokens,
            prompt_cost,
        );
        self.speed.expected_ms(now, usual_ms)
    }

    /// Milliseconds that an engine may need for a response at the mean speed.
    fn response_ms(&self, prompt_tokens: f64, output_tokens: f64, prompt_cost: &PromptCost) -> f64 {
        let steps = prompt_cost.first_steps
            + prompt_cost.prompt_steps(prompt_tokens)
            + output_tokens * OUTPUT_LENGTH_MARGIN;
        steps * self.latency.step_ms()
    }

    /// How long a request may have to queue in the engine before it gets a slot.
    pub(super) fn queueing_allowance(&self, now: Instant, job: &Job) -> Duration {
        let wait_ms = self.speed.expected_ms(now, self.queue_wait_ms(job));
        bounded_secs(wait_ms * QUEUE_WAIT_MARGIN / 1e3)
    }

    /// Milliseconds until a slot is expected to be free for the request at the mean speed; 0 if one is
    /// free now. The running responses are presumed to be as long as the request's own.
    fn queue_wait_ms(&self, job: &Job) -> f64 {
        let excess_requests = (self.running_total() + 1).saturating_sub(self.replica.slots);
        let ms_per_request = job
            .size
            .expected_output_tokens
            .max(MIN_QUEUED_OUTPUT_TOKENS)
            * self.latency.step_ms()
            / f64::from(self.replica.slots.max(1));
        f64::from(excess_requests) * ms_per_request
    }

    /// Cost in milliseconds of the gap that processing the prompt causes in the running streams; 0
    /// below [`STALL_GAP_SHARE`]. The longest acceptable gap of the request is presumed to apply to
    /// all of them.
    fn stall_penalty_ms(&self, now: Instant, job: &Job, prompt_cost: &PromptCost) -> f64 {
        let own_tokens = job.size.prompt_tokens.min(MAX_PROMPT_TOKENS_BETWEEN_EVENTS);
        let pending_tokens = self.pending_prompt_tokens();
        let tokens = (own_tokens + pending_tokens).min(MAX_PROMPT_TOKENS_BETWEEN_EVENTS);
        let slowdown = PromptCost::attention_slowdown(job.size.prompt_tokens.max(pending_tokens));
        let gap_ms = tokens / prompt_cost.tokens_per_step * slowdown * self.latency.step_ms();
        let gap_ms = self.speed.expected_ms(now, gap_ms);
        let max_gap_ms = job.max_event_gap.as_secs_f64() * 1000.0;
        if max_gap_ms <= 0.0 || gap_ms < max_gap_ms * STALL_GAP_SHARE {
            return 0.0;
        }
        let streams = f64::from(self.running_total());
        let excess = (gap_ms / max_gap_ms).min(MAX_STALL_GAP_RATIO);
        STALL_PENALTY_PER_STREAM_MS * streams * excess
    }
}
