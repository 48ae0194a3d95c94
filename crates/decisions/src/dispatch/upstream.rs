//! One replica as the dispatcher sees it: its places, what stands there and what it costs to add.

use std::time::Duration;

use tokio::time::Instant;

use crate::cold::{ColdGate, ColdLimit};
use crate::dispatch::{Job, JobId, pace::Pace, size::Reading};
use crate::id::{RegionId, ServiceId, UpstreamId};

/// Steps within which a replica is expected to bring something to somebody: four times what an
/// engine needs for a first token beside the prompt, about 120 ms at 7 ms a step.
const SILENT_STEPS: f64 = 68.0;

/// Tokens of a prompt that an engine reads between two events of the streams beside it: two
/// chunks of 4,096.
const STALL_TOKENS: f64 = 8_192.0;

/// Milliseconds of a wait that a share of failures of one counts as.
const FAILURE_MS: f64 = 2_500.0;

/// Milliseconds that one stream weighs which is likely to pause beyond its bound by a new prompt.
const STALL_MS: f64 = 400.0;

/// An answer may well be this many times as long as its caller guessed: the guesses are right in the
/// middle and off by half either way as a rule.
const LENGTH_DOUBT: f64 = 1.5;

/// A request that stands behind others gets its turn in this many times the usual time: answers
/// differ in length by far more than their mean.
const TURN_DOUBT: f64 = 8.0;

/// A replica that has answered none of its requests for this long is taken to be dead or stuck.
const SILENT: Duration = Duration::from_millis(900);

/// How long a replica is left alone after a connection to it failed or another one answered in its
/// place. It grows with each failure in a row: a dead replica stays listed for three of its
/// heartbeats, and each try costs a caller the time of a connection.
const UNREACHABLE: Duration = Duration::from_secs(1);

/// When no other replica of its service takes work, an unreachable one is tried again this soon after
/// its last failure: leaving it alone for longer spares nobody anything then.
const LAST_RESORT: Duration = Duration::from_millis(500);

/// How long a replica is left alone on a peer's word, which is repeated while it holds.
const HINTED: Duration = Duration::from_millis(600);

/// A replica that was heard here this lately is not left alone on a peer's word.
const HEARD_HERE: Duration = Duration::from_millis(300);

/// Longest time that an unreachable replica is left alone.
const LONGEST_UNREACHABLE: Duration = Duration::from_secs(4);

/// How long a replica that said that it is full is left alone.
const FULL: Duration = Duration::from_millis(150);

/// Requests that may stand in an engine beyond its slots: news of a free place takes a tenth of a
/// second to come round, in which the place would idle.
const ENGINE_SPARE: u32 = 1;

/// Requests that may stand in a plain service's replica for each of its slots: these serve in
/// tens of milliseconds, so a short queue there costs less than a slot that idles.
const PLAIN_DEPTH: u32 = 2;

/// What is published of a replica.
#[derive(Debug, Clone, PartialEq)]
pub struct Replica {
    /// Its name.
    pub id: UpstreamId,
    /// Its start, which tells two lives of one name apart.
    pub incarnation: u64,
    /// Its service.
    pub service: ServiceId,
    /// Region of its availability zone.
    pub region: RegionId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time of a message there and back.
    pub weighted_round_trip: Duration,
    /// Time of a message there and back without what the way costs the users.
    pub network_round_trip: Duration,
    /// Time in which a change of its load becomes known here; zero in its own zone, where each
    /// change is told at once.
    pub propagation_delay: Duration,
    /// Whether it generates tokens in a batch.
    pub is_engine: bool,
    /// Tokens in one event of its streams.
    pub tokens_per_event: u32,
    /// Whether it may get new work.
    pub usable: bool,
    /// Whether it stands in the zone of this instance.
    pub in_own_zone: bool,
    /// Until when it is cold.
    pub cold_until: Option<Instant>,
    /// What it bears until then; everything if it is not told.
    pub cold_limit: Option<ColdLimit>,
}

#[derive(Debug)]
pub(super) struct Running {
    pub(super) job: JobId,
    /// Prompt tokens still to be read, 0 after the first event.
    pub(super) prompt: f64,
    pub(super) since: Instant,
    pub(super) heard: bool,
    /// Whether no other prompt was being read there when it was sent.
    pub(super) undelayed: bool,
    /// How much longer than usual it may wait for its first event, as it stands behind others.
    pub(super) turn: Duration,
}

/// A replica with what is known of its load.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) replica: Replica,
    pub(super) pace: Pace,
    pub(super) running: Vec<Running>,
    pub(super) elsewhere: u32,
    pub(super) prompt_elsewhere: f64,
    pub(super) heard_at: Option<Instant>,
    pub(super) shunned_until: Option<Instant>,
    /// Since when it has had room.
    free_since: Option<Instant>,
    /// Failures to reach it in a row.
    pub(super) missed: u32,
    /// When it could not be reached last.
    missed_at: Option<Instant>,
    /// What is sent to it while it is cold.
    pub(super) gate: ColdGate,
}

impl Upstream {
    pub(super) fn new(replica: Replica, gate: ColdGate) -> Self {
        Self {
            replica,
            pace: Pace::default(),
            running: Vec::new(),
            elsewhere: 0,
            prompt_elsewhere: 0.0,
            heard_at: None,
            shunned_until: None,
            free_since: None,
            missed: 0,
            missed_at: None,
            gate,
        }
    }

    pub(super) fn total(&self) -> u32 {
        self.running.len() as u32 + self.elsewhere
    }

    /// Whether one more request may stand there.
    pub(super) fn has_room(&self) -> bool {
        let room = if self.replica.is_engine {
            self.replica.slots + ENGINE_SPARE
        } else {
            self.replica.slots * PLAIN_DEPTH
        };
        self.total() < room
    }

    /// Whether nothing that happened there lately keeps requests away.
    pub(super) fn takes_work(&self, now: Instant) -> bool {
        !self.shunned(now) && !self.on_trial() && !self.silent(now) && !self.is_closed(now)
    }

    /// What it bears, while it is cold.
    fn bears(&self, now: Instant) -> Option<ColdLimit> {
        let is_cold = self.replica.cold_until.is_some_and(|until| now < until);
        self.replica.cold_limit.filter(|_| is_cold)
    }

    /// Whether it is cold and bears few requests.
    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.bears(now).is_some()
    }

    /// Whether it is cold and another instance is its keeper.
    pub(super) fn is_closed(&self, now: Instant) -> bool {
        self.is_cold(now) && !self.gate.is_designated()
    }

    /// Whether it bears one more request now.
    fn admits(&self, now: Instant) -> bool {
        let bears = self.bears(now);
        bears.is_none_or(|bears| self.gate.admits(now, bears.per_instance_limit()))
    }

    /// Whether one request may try it though it is left alone, as no other replica takes work.
    pub(super) fn is_last_resort(&self, now: Instant) -> bool {
        let rested = self
            .missed_at
            .is_some_and(|at| now.saturating_duration_since(at) >= LAST_RESORT);
        let may_try = self.shunned(now) && !self.on_trial() && !self.silent(now);
        rested && may_try && self.replica.usable && self.has_room() && self.admits(now)
    }

    /// Notes since when it has room, and returns whether it can take one more request now.
    pub(super) fn note_room(&mut self, now: Instant) -> bool {
        if !self.has_room() {
            self.free_since = None;
            return false;
        }
        self.free_since.get_or_insert(now);
        self.replica.usable && self.takes_work(now) && self.admits(now)
    }

    /// For how long it has had room.
    pub(super) fn free_for(&self, now: Instant) -> Duration {
        self.free_since
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    pub(super) fn shun_unreachable(&mut self, now: Instant) {
        let pause = UNREACHABLE * 2_u32.saturating_pow(self.missed.min(4));
        self.missed += 1;
        self.missed_at = Some(now);
        self.shunned_until = Some(now + pause.min(LONGEST_UNREACHABLE));
    }

    /// Takes a peer's word that it could not be reached, unless it was heard here just now.
    pub(super) fn hint_unreachable(&mut self, now: Instant) {
        let heard = self
            .heard_at
            .is_some_and(|at| now.saturating_duration_since(at) < HEARD_HERE);
        if !heard && !self.shunned(now) {
            self.missed_at = Some(now);
            self.shunned_until = Some(now + HINTED);
        }
    }

    /// Whether it is tried again after it could not be reached: by one request at a time.
    pub(super) fn on_trial(&self) -> bool {
        self.missed > 0 && !self.running.is_empty()
    }

    pub(super) fn shun_full(&mut self, now: Instant) {
        self.shunned_until = Some(now + FULL);
    }

    pub(super) fn shunned(&self, now: Instant) -> bool {
        self.shunned_until.is_some_and(|until| now < until)
    }

    /// Whether requests stand there and none of them has brought anything for long.
    pub(super) fn silent(&self, now: Instant) -> bool {
        let slowest = Duration::from_secs_f64(self.pace.step_ms() * SILENT_STEPS / 1e3);
        let patience = SILENT.max(slowest);
        let waited = self
            .running
            .iter()
            .filter(|r| !r.heard)
            .any(|r| now.saturating_duration_since(r.since) > patience + r.turn);
        let quiet = self
            .heard_at
            .is_none_or(|at| now.saturating_duration_since(at) > patience);
        waited && quiet
    }

    /// Whether it has a free place and no prompt is being read there.
    pub(super) fn reads_nothing(&self) -> bool {
        self.unread() <= 0.0 && self.total() < self.replica.slots
    }

    /// Prompt tokens that are still to be read there.
    fn unread(&self) -> f64 {
        self.running.iter().map(|r| r.prompt).sum::<f64>() + self.prompt_elsewhere
    }

    /// Milliseconds until the first byte of the job's answer, and what it costs the others there.
    pub(super) fn cost_ms(
        &self,
        now: Instant,
        job: &Job,
        reading: &Reading,
        usual_failing: f64,
    ) -> f64 {
        let travel = self.replica.weighted_round_trip.as_secs_f64() * 1000.0;
        let failing = (self.pace.failing(now) - usual_failing).max(0.0) * FAILURE_MS;
        if !self.replica.is_engine {
            let ahead = f64::from(self.total()) / f64::from(self.replica.slots.max(1));
            return travel + self.pace.service_ms() * (1.0 + ahead) + failing;
        }
        let step = self.pace.step_ms();
        let read = reading.prompt_steps(job.prompt_tokens) + reading.prompt_steps(self.unread());
        let first = (reading.first_steps + read) * step + self.queue_ms(job);
        let stall = self.stall_ms(job, reading);
        travel + first + failing + stall + self.late_end_ms(now, job, first)
    }

    /// By how much a long answer would end after its deadline here.
    fn late_end_ms(&self, now: Instant, job: &Job, first: f64) -> f64 {
        let left = job.deadline.saturating_duration_since(now).as_secs_f64() * 1000.0;
        let whole = first + job.expected_output_tokens * LENGTH_DOUBT * self.pace.step_ms();
        (whole - left).max(0.0)
    }

    /// Whether a long answer would end before its deadline, once it has a place here.
    pub(super) fn ends_in_time(&self, now: Instant, job: &Job, reading: &Reading) -> bool {
        let left = job.deadline.saturating_duration_since(now);
        self.could_end(left, job.prompt_tokens, job.expected_output_tokens, reading)
    }

    /// Whether an answer of `output` tokens would end within `left`, once it has a place here.
    pub(super) fn could_end(
        &self,
        left: Duration,
        prompt: f64,
        output: f64,
        reading: &Reading,
    ) -> bool {
        let steps = reading.first_steps + reading.prompt_steps(prompt) + output * LENGTH_DOUBT;
        !self.replica.is_engine || steps * self.pace.step_ms() <= left.as_secs_f64() * 1000.0
    }

    /// How long a request may stand behind others here before its turn.
    pub(super) fn longest_turn(&self, job: &Job) -> Duration {
        Duration::from_secs_f64(self.queue_ms(job) * TURN_DOUBT / 1e3)
    }

    fn queue_ms(&self, job: &Job) -> f64 {
        let over = (self.total() + 1).saturating_sub(self.replica.slots);
        let turn = job.expected_output_tokens.max(60.0) * self.pace.step_ms()
            / f64::from(self.replica.slots.max(1));
        f64::from(over) * turn
    }

    /// What reading the prompt costs the streams that run there, if they pause for too long.
    fn stall_ms(&self, job: &Job, reading: &Reading) -> f64 {
        let chunk = job.prompt_tokens.min(STALL_TOKENS);
        let waiting = self.unread();
        let both = (chunk + waiting).min(STALL_TOKENS);
        let slower = Reading::slower_by(job.prompt_tokens.max(waiting));
        let pause = both / reading.tokens_a_step * slower * self.pace.step_ms();
        let bound = job.max_event_gap.as_secs_f64() * 1000.0;
        if bound <= 0.0 || pause < bound * 0.8 {
            return 0.0;
        }
        let streams = f64::from(self.total());
        let excess = (pause / bound).min(3.0);
        STALL_MS * streams * excess
    }
}
