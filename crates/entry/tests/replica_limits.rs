//! The limit of a replica in a whole fleet whose instances start, stop, freeze and are cut off.
//!
//! The simulation has no sockets and no clock of its own. What instances know of each other and what
//! they send is decided by the real code; a seed decides the requests, the faults and which messages are
//! lost or delayed. `KINGCUP_LIMIT_SEEDS` sets the number of seeds.

use std::net::Ipv4Addr;
use std::time::Duration;

use kingcupfield_decisions::credit::Distance;
use kingcupfield_decisions::dispatch::{Assignment, Dispatcher, JobId, Outcome, Replica};
use kingcupfield_decisions::id::{NameHash, name_hash};
use kingcupfield_decisions::replica_limit::LimitReport;
use kingcupfield_entry::peers::{Digest, Peers, ReplicaLimitReport, Reports};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use yare::parameterized;

#[path = "../../decisions/tests/support/plain_service.rs"]
mod plain_service;

use plain_service::{job, replica};

/// Simulated time per step.
const STEP: Duration = Duration::from_millis(50);

/// Steps between two checks of an instance, as every 100 ms in the program.
const CHECK_STEPS: u64 = 2;

/// Steps between two messages of an instance about itself.
const DIGEST_STEPS: u64 = 20;

/// Time at which the replica begins to name its limit.
const NAMED_AT: Duration = Duration::from_secs(10);

/// Time at which it names none any more.
const ENDED_AT: Duration = Duration::from_mins(1);

/// End of a simulation.
const END: Duration = Duration::from_secs(80);

/// Time after the first naming from which the limit binds.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// Span in which the operators count.
const COUNTED_SPAN: Duration = Duration::from_secs(4);

/// Time for which a restarted or woken instance is excused, and after which one that was told counts.
const EXCUSED: Duration = Duration::from_millis(500);

/// Receivers of a message in a large fleet.
const MAX_RECEIVERS: usize = 24;

/// Receivers of a message that get the list of known instances with it.
const MAX_GREETED: usize = 4;

/// Share of the messages that is lost.
const LOSS: f64 = 0.02;

/// Zones of the fleet.
const ZONES: usize = 3;

/// The replica that names a limit, and one that does not.
const REPLICAS: [&str; 2] = ["limited", "other"];

/// Fleet, limit and faults of a simulation.
#[derive(Debug, Clone, Copy)]
struct Case {
    instances: usize,
    /// Requests a second at each instance.
    requests_per_s: f64,
    /// Limits that the replica names one after the other, for equal times.
    limits: &'static [f64],
    fault: Option<Fault>,
}

/// What happens to instances while the limit holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// Instances are killed one after the other and start again.
    Restarts,
    /// All instances are killed at once and start again.
    RestartOfAll,
    /// Instances announce that they leave, and new ones start in their place.
    Replacement,
    /// Instances freeze for seconds and wake again.
    Freezes,
    /// A zone is cut off from the others for seconds, again and again.
    Cuts,
    /// A zone is cut off, and its instances are restarted behind the cut.
    RestartsBehindCut,
    /// Some instances send nothing to the replica and hear of its limit from others alone.
    FewCallers,
}

/// A request at the limited replica whose response is under way.
struct Running {
    sent: Instant,
    answered: Instant,
    job: JobId,
    upstream: kingcupfield_decisions::id::UpstreamId,
    limit: Option<f64>,
}

struct Instance {
    address: Ipv4Addr,
    zone: usize,
    incarnation: u64,
    seq: u32,
    started: Instant,
    leaving: bool,
    /// Frozen until this time.
    frozen_until: Instant,
    /// Not running until this time.
    down_until: Instant,
    told_at: Option<Instant>,
    peers: Peers,
    dispatcher: Dispatcher,
    running: Vec<Running>,
}

/// A message under way.
struct Message {
    due: Instant,
    from: usize,
    to: usize,
    digest: Digest,
}

/// A request that reached the limited replica.
struct Arrival {
    at: Instant,
    instance: usize,
    incarnation: u64,
    /// Whether its instance was told of the limit and is not excused.
    counts: bool,
}

struct Simulation {
    case: Case,
    rng: ChaCha8Rng,
    start: Instant,
    now: Instant,
    step: u64,
    instances: Vec<Instance>,
    messages: Vec<Message>,
    arrivals: Vec<Arrival>,
    /// Zone that is cut off until a time.
    cut: Option<(usize, Instant)>,
    next_job: JobId,
    refused: usize,
}

/// A replica of the simulation; the limited one is preferred.
fn simulated_replica(id: &str) -> Replica {
    Replica {
        weighted_round_trip: Duration::from_millis(if id == "limited" { 0 } else { 50 }),
        ..replica(id, 1)
    }
}

impl Instance {
    fn new(now: Instant, index: usize, incarnation: u64) -> Self {
        let address = Ipv4Addr::from_bits(0x0a00_0001 + index as u32);
        let zone = index % ZONES;
        let distance = |z: usize| match z {
            z if z == zone => Distance::SameZone,
            _ => Distance::OtherRegion,
        };
        let zones = (0..ZONES).map(|z| (z as NameHash + 1, distance(z)));
        let mut dispatcher = Dispatcher::new().with_address(address.to_bits());
        dispatcher.update_replicas(now, &REPLICAS.map(simulated_replica));
        Self {
            address,
            zone,
            incarnation,
            seq: 0,
            started: now,
            leaving: false,
            frozen_until: now,
            down_until: now,
            told_at: None,
            peers: Peers::new(now, address, true).with_zones(zones),
            dispatcher,
            running: Vec::new(),
        }
    }

    fn is_active(&self, now: Instant) -> bool {
        now >= self.frozen_until && now >= self.down_until
    }

    /// What an instance of the program does at each check.
    fn check(&mut self, now: Instant) {
        self.peers.drop_silent(now);
        self.peers.remove_gone(now);
        let accrues = self.peers.fleet_view(now).accrues_since.is_some();
        let members = self.peers.fleet_members(now);
        self.dispatcher
            .update_fleet(now, members.filter(|_| accrues && !self.leaving));
    }

    /// The state that the instance reports to the others.
    fn digest(&mut self, now: Instant, greeting: bool) -> Digest {
        self.seq += 1;
        let reports = self.dispatcher.own_limit_reports(now);
        let limits = reports.map(|(id, incarnation, report)| {
            ReplicaLimitReport::new(name_hash(id), incarnation, report, now, Duration::ZERO)
        });
        let limits = limits.collect();
        let live = self.peers.all().iter().filter(|p| p.is_live(now));
        let members = live.map(|p| (p.digest.zone, vec![p.address])).collect();
        Digest {
            incarnation: self.incarnation,
            seq: self.seq,
            zone: self.zone as NameHash + 1,
            region: self.zone as NameHash + 1,
            leaving: self.leaving,
            zone_size: self.peers.zone_size() as u16,
            greeting,
            settled: greeting && self.peers.is_settled(now),
            members: if greeting { members } else { Vec::new() },
            reports: Reports {
                limits,
                ..Reports::default()
            },
            ..Digest::default()
        }
    }
}

impl Simulation {
    fn new(case: Case, seed: u64) -> Self {
        let start = Instant::now();
        Self {
            case,
            rng: ChaCha8Rng::seed_from_u64(seed),
            start,
            now: start,
            step: 0,
            instances: (0..case.instances)
                .map(|index| Instance::new(start, index, 1))
                .collect(),
            messages: Vec::new(),
            arrivals: Vec::new(),
            cut: None,
            next_job: 1,
            refused: 0,
        }
    }

    fn run(&mut self) {
        while self.now < self.start + END {
            self.inject_faults();
            self.deliver();
            for index in 0..self.instances.len() {
                if self.instances[index].is_active(self.now) {
                    self.step_instance(index);
                }
            }
            self.now += STEP;
            self.step += 1;
        }
    }

    /// The limit that the replica names at a time.
    fn named(&self, at: Instant) -> Option<f64> {
        let since = at.checked_duration_since(self.start + NAMED_AT)?;
        let limits = self.case.limits;
        let part = ENDED_AT.saturating_sub(NAMED_AT) / limits.len() as u32;
        let index = (since.as_nanos() / part.as_nanos()) as usize;
        limits.get(index).copied()
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let cut = self.cut.filter(|(_, until)| self.now < *until);
        cut.is_some_and(|(zone, _)| (a == zone) != (b == zone))
    }

    fn step_instance(&mut self, index: usize) {
        let now = self.now;
        if (self.step + index as u64).is_multiple_of(CHECK_STEPS) {
            self.instances[index].check(now);
        }
        let is_new = now < self.instances[index].started + Duration::from_secs(2);
        let interval = if is_new { 4 } else { DIGEST_STEPS };
        if (self.step + index as u64).is_multiple_of(interval) {
            self.send_digest(index, is_new || self.step.is_multiple_of(160));
        }
        self.end_requests(index);
        self.send_requests(index);
    }

    fn send_digest(&mut self, index: usize, greeting: bool) {
        let now = self.now;
        let zone = self.instances[index].zone;
        let receivers = self.receivers(index);
        for (nth, to) in receivers.into_iter().enumerate() {
            if self.is_cut(zone, self.instances[to].zone) || self.rng.random_bool(LOSS) {
                continue;
            }
            let delay = Duration::from_millis(self.rng.random_range(1..400));
            let greets = greeting && nth < MAX_GREETED;
            let digest = self.instances[index].digest(now, greets);
            self.messages.push(Message {
                due: now + delay,
                from: index,
                to,
                digest,
            });
        }
    }

    /// Instances that get a message: all others of a small fleet, else some random ones, so that each
    /// hears of each other within half a minute.
    fn receivers(&mut self, index: usize) -> Vec<usize> {
        let count = self.instances.len();
        if count <= MAX_RECEIVERS {
            return (0..count).filter(|to| *to != index).collect();
        }
        let mut receivers: Vec<usize> = (0..MAX_RECEIVERS)
            .map(|_| self.rng.random_range(0..count))
            .filter(|to| *to != index)
            .collect();
        receivers.sort_unstable();
        receivers.dedup();
        receivers
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = |m: &mut Message| m.due <= now;
        let arrived: Vec<Message> = self.messages.extract_if(.., due).collect();
        for message in arrived {
            let from = self.instances[message.from].address;
            let to = &mut self.instances[message.to];
            // A frozen instance reads what has arrived when it wakes.
            if now < to.frozen_until {
                self.messages.push(Message {
                    due: to.frozen_until,
                    ..message
                });
                continue;
            }
            if now < to.down_until {
                continue;
            }
            for report in &message.digest.reports.limits {
                let id = REPLICAS.iter().find(|r| name_hash(r) == report.replica);
                let id = (*id.expect("a known replica")).into();
                to.dispatcher
                    .on_peer_limit_report(&id, report.incarnation, report.received(now));
            }
            let effects = to.peers.on_digest(now, from, message.digest);
            for greeted in effects.greet {
                to.peers.record_greeting(now, greeted);
            }
        }
    }

    fn end_requests(&mut self, index: usize) {
        let now = self.now;
        let instance = &mut self.instances[index];
        let ended = instance.running.extract_if(.., |r| r.answered <= now);
        for r in ended.collect::<Vec<_>>() {
            if &*r.upstream == REPLICAS[0] {
                let report = LimitReport {
                    per_s: r.limit,
                    earliest: r.sent,
                    latest: now,
                };
                instance
                    .dispatcher
                    .on_own_limit_report(&r.upstream, 1, report);
                if r.limit.is_some() {
                    instance.told_at.get_or_insert(now);
                }
            }
            instance
                .dispatcher
                .on_end(now, &r.upstream, r.job, Outcome::Served);
        }
    }

    fn send_requests(&mut self, index: usize) {
        let now = self.now;
        // Every third instance has callers, and the others get them late.
        let has_callers = self.case.fault != Some(Fault::FewCallers)
            || index.is_multiple_of(3)
            || now > self.start + Duration::from_secs(30);
        let demand = self.case.requests_per_s * STEP.as_secs_f64();
        let mut count = demand.floor() as u64 + u64::from(self.rng.random_bool(demand.fract()));
        if !has_callers || self.instances[index].leaving {
            count = 0;
        }
        let first = self.next_job;
        for _ in 0..count {
            let job = job(self.next_job, now);
            self.instances[index].dispatcher.enqueue(job);
            self.next_job += 1;
        }
        let assigned = self.instances[index].dispatcher.assign(now);
        self.refused += count as usize - assigned.len();
        for id in first..self.next_job {
            self.instances[index].dispatcher.cancel(id);
        }
        for assignment in assigned {
            self.start_request(index, assignment);
        }
    }

    fn start_request(&mut self, index: usize, assignment: Assignment) {
        let travel = Duration::from_millis(self.rng.random_range(0..60));
        let work = Duration::from_millis(self.rng.random_range(20..400));
        let at = self.now + travel;
        let limit = self.named(at + work / 2);
        let now = self.now;
        let instance = &mut self.instances[index];
        if &*assignment.upstream == REPLICAS[0] {
            let told = instance.told_at.is_some_and(|t| now >= t + EXCUSED);
            self.arrivals.push(Arrival {
                at,
                instance: index,
                incarnation: instance.incarnation,
                counts: told,
            });
        }
        instance.running.push(Running {
            sent: now,
            answered: at + work + travel,
            job: assignment.job,
            upstream: assignment.upstream,
            limit,
        });
    }

    fn restart(&mut self, index: usize, down: Duration) {
        let incarnation = self.instances[index].incarnation + 1;
        let started = self.now + down;
        self.instances[index] = Instance::new(started, index, incarnation);
        self.instances[index].down_until = started;
    }

    fn inject_faults(&mut self) {
        let Some(fault) = self.case.fault else { return };
        let since = self.now - self.start;
        let in_time = since > Duration::from_secs(14) && since < Duration::from_secs(55);
        if !in_time {
            return;
        }
        let second = self.step.is_multiple_of(20);
        let index = self.rng.random_range(0..self.instances.len());
        let seconds = Duration::from_millis(self.rng.random_range(500..9000));
        match fault {
            Fault::Restarts if second => self.restart(index, Duration::from_millis(300)),
            Fault::RestartOfAll if self.step == 400 || self.step == 640 => {
                for index in 0..self.instances.len() {
                    let down = Duration::from_millis(self.rng.random_range(500..2000));
                    self.restart(index, down);
                }
            }
            Fault::Replacement if second => {
                self.instances[index].leaving = true;
                self.send_digest(index, false);
                self.restart(index, seconds);
            }
            Fault::Freezes if second => self.instances[index].frozen_until = self.now + seconds,
            Fault::Cuts if self.step.is_multiple_of(100) => {
                self.cut = Some((index % ZONES, self.now + seconds));
            }
            Fault::RestartsBehindCut if self.step == 400 => {
                self.cut = Some((1, self.now + Duration::from_secs(20)));
                let zone = (0..self.instances.len()).filter(|i| i % ZONES == 1);
                for index in zone.collect::<Vec<_>>() {
                    self.restart(index, Duration::from_secs(1));
                }
            }
            _ => {}
        }
    }

    /// The largest number of counted requests beyond what is tolerated, in any span while one limit
    /// holds.
    fn excess(&self) -> usize {
        let from = self.start + NAMED_AT + SETTLING_TIME;
        let is_current = |a: &&Arrival| {
            a.at > from && a.counts && a.incarnation <= self.instances[a.instance].incarnation
        };
        let mut counted: Vec<Instant> = self
            .arrivals
            .iter()
            .filter(is_current)
            .map(|a| a.at)
            .collect();
        counted.sort_unstable();
        let in_span = |(i, start): (usize, &Instant)| {
            let end = *start + COUNTED_SPAN;
            let count = counted[i..].iter().take_while(|at| **at < end).count();
            // A lower limit binds as late as the first one: who has not been told keeps the former.
            let before = start.checked_sub(SETTLING_TIME).unwrap_or(*start);
            let limits = [self.named(before), self.named(*start), self.named(end)];
            let limit = limits.into_iter().flatten().fold(0.0, f64::max);
            let tolerated = limit * COUNTED_SPAN.as_secs_f64() * 1.5 + 5.0;
            count.saturating_sub(tolerated as usize)
        };
        let whole = |start: &Instant| *start + COUNTED_SPAN < self.start + ENDED_AT;
        let spans = counted.iter().enumerate().filter(|(_, at)| whole(at));
        spans.map(in_span).max().unwrap_or(0)
    }

    /// Requests that the limited replica got in a part of the simulation.
    fn arrived(&self, from: Duration, to: Duration) -> usize {
        let within = |a: &&Arrival| a.at >= self.start + from && a.at < self.start + to;
        self.arrivals.iter().filter(within).count()
    }
}

/// Number of seeds of each case.
fn seeds() -> u64 {
    let seeds = std::env::var("KINGCUP_LIMIT_SEEDS").ok();
    seeds.and_then(|s| s.parse().ok()).unwrap_or(1)
}

const SMALL: Case = Case {
    instances: 7,
    requests_per_s: 10.0,
    limits: &[1.0],
    fault: None,
};

const LARGE: Case = Case {
    instances: 300,
    requests_per_s: 2.0,
    limits: &[1.0],
    fault: None,
};

/// A replica names a limit for the whole fleet. If each instance kept it for itself, 300 instances would
/// send 300 times the limit; and a fleet that shares it must not pass it when instances start, stop,
/// freeze, are cut off or have heard nothing of it, nor keep to it when it has ended.
#[parameterized(
    calm = { SMALL },
    below_one = { Case { limits: &[0.3], ..SMALL } },
    none_at_all = { Case { limits: &[0.0], ..SMALL } },
    changing = { Case { limits: &[2.3, 0.5, 6.0, 1.0], ..SMALL } },
    high = { Case { limits: &[20.0], ..SMALL } },
    restarts = { Case { fault: Some(Fault::Restarts), ..SMALL } },
    restart_of_all = { Case { fault: Some(Fault::RestartOfAll), ..SMALL } },
    replacement = { Case { fault: Some(Fault::Replacement), ..SMALL } },
    freezes = { Case { fault: Some(Fault::Freezes), ..SMALL } },
    cuts = { Case { fault: Some(Fault::Cuts), ..SMALL } },
    restarts_behind_cut = { Case { fault: Some(Fault::RestartsBehindCut), limits: &[8.0], ..SMALL } },
    few_callers = { Case { fault: Some(Fault::FewCallers), ..SMALL } },
    large = { LARGE },
    large_changing = { Case { limits: &[2.3, 0.5, 6.0, 1.0], ..LARGE } },
    large_restarts = { Case { fault: Some(Fault::Restarts), ..LARGE } },
    large_restart_of_all = { Case { fault: Some(Fault::RestartOfAll), ..LARGE } },
    large_freezes = { Case { fault: Some(Fault::Freezes), ..LARGE } },
    large_cuts = { Case { fault: Some(Fault::Cuts), ..LARGE } },
    large_few_callers = { Case { fault: Some(Fault::FewCallers), ..LARGE } },
)]
fn a_fleet_keeps_the_limit_of_a_replica(case: Case) {
    for seed in 1..=seeds() {
        let mut simulation = Simulation::new(case, seed);
        simulation.run();
        let excess = simulation.excess();
        assert_eq!(excess, 0, "seed {seed}: {excess} requests too many");
        assert_eq!(
            simulation.refused, 0,
            "seed {seed}: refused while another replica is free"
        );
        let while_limited = simulation.arrived(Duration::from_secs(20), ENDED_AT);
        assert!(while_limited > 0, "seed {seed}: the replica is not used");
        let after = simulation.arrived(END.saturating_sub(Duration::from_secs(8)), END);
        let before = simulation.arrived(Duration::from_secs(2), NAMED_AT);
        println!(
            "seed {seed}: excess {excess}, {before} before, {while_limited} limited, {after} after"
        );
        assert!(
            after * 2 > before,
            "seed {seed}: {after} of {before} after the limit has ended"
        );
    }
}
