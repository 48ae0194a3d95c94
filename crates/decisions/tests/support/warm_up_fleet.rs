//! Instances and replicas of a plain service, some of which are slow, fail or fall silent for a while.
//!
//! There is no network and no clock of its own: a seed decides the requests, and which digests are late
//! or lost.

use std::collections::VecDeque;
use std::time::Duration;

use kingcupfield_decisions::dispatch::{Dispatcher, Job, JobId, Outcome, Replica};
use kingcupfield_decisions::id::UpstreamId;
use kingcupfield_decisions::scheduling::{SchedulingOptions, WarmUpOptions};
use kingcupfield_decisions::warm_up::PaceReport;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::plain_service;

const STEP_MS: u64 = 5;

/// Processing time of a request at full speed.
const SERVICE_MS: f64 = 100.0;

/// Time after which a caller counts its answer as late.
pub const OBJECTIVE_MS: u64 = 400;

/// Unix milliseconds at the start of a simulation.
const EPOCH_MS: u64 = 1_000_000;

/// What happens to a replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    /// Takes this many times as long.
    Slow(f64),
    Failing,
    /// Answers nothing until the end.
    Silent,
    Unreachable,
}

/// A time in which something is wrong with a replica.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    pub replica: usize,
    pub kind: Kind,
    pub from_ms: u64,
    pub to_ms: u64,
    /// Whether it begins with a start of the replica.
    pub restarts: bool,
}

/// What a simulation consists of.
#[derive(Debug, Clone)]
pub struct Plan {
    pub instances: usize,
    pub replicas: usize,
    pub slots: u32,
    pub requests_per_s: f64,
    pub faults: Vec<Fault>,
    /// Replicas that are always slower by this factor.
    pub always_slow: (usize, f64),
    /// Longest delay of a digest and the share that is lost.
    pub digests: (u64, f64),
    /// When the first half of the instances restarts.
    pub half_restarts_at_ms: Option<u64>,
    pub warm_up: bool,
}

impl Plan {
    /// Seven instances and six replicas with two slots, which are busy by half.
    pub fn new(faults: &[Fault]) -> Self {
        Self {
            instances: 7,
            replicas: 6,
            slots: 2,
            requests_per_s: 60.0,
            faults: faults.to_vec(),
            always_slow: (0, 1.0),
            digests: (STEP_MS, 0.0),
            half_restarts_at_ms: None,
            warm_up: true,
        }
    }
}

/// Loads and bounds of one instance on their way to another.
#[derive(Debug)]
struct Digest {
    at_ms: u64,
    sequence: u64,
    from: usize,
    to: usize,
    loads: Vec<(UpstreamId, u32)>,
    paces: Vec<(UpstreamId, u64, PaceReport)>,
}

type Sent = (Vec<(UpstreamId, u32)>, Vec<(UpstreamId, u64, PaceReport)>);

#[derive(Debug)]
struct Instance {
    dispatcher: Dispatcher,
    /// Sequence and loads of the last digest of each instance.
    heard: Vec<(u64, Vec<(UpstreamId, u32)>)>,
    last_sent: Sent,
}

#[derive(Debug)]
struct Server {
    published: Replica,
    queue: VecDeque<(usize, JobId)>,
    /// End, instance and request.
    running: Vec<(f64, usize, JobId)>,
}

/// A request that was sent or is waiting.
#[derive(Debug)]
struct Request {
    at_ms: u64,
    end_ms: Option<u64>,
}

/// What a simulation shows.
#[derive(Debug, Default)]
pub struct Record {
    /// Time and replica of each request that was sent.
    pub sent: Vec<(u64, usize)>,
    /// Time of each request and whether it was late.
    pub requests: Vec<(u64, bool)>,
    /// Most requests at each replica in each step.
    pub in_flight: Vec<(u64, usize, u32)>,
}

impl Record {
    /// Requests that were sent to a replica within a time.
    pub fn work(&self, replica: usize, from_ms: u64, to_ms: u64) -> f64 {
        let hits = self.sent.iter();
        hits.filter(|(at, r)| *r == replica && (from_ms..to_ms).contains(at))
            .count() as f64
    }

    /// Share of the requests of a time that were late.
    pub fn late(&self, from_ms: u64, to_ms: u64) -> f64 {
        let of_time = || {
            self.requests
                .iter()
                .filter(|(at, _)| (from_ms..to_ms).contains(at))
        };
        of_time().filter(|(_, late)| *late).count() as f64 / of_time().count().max(1) as f64
    }

    /// Share of the time in which a replica had more requests in flight than `bound`.
    pub fn exceeded(&self, replica: usize, bound: u32, from_ms: u64, to_ms: u64) -> f64 {
        let of_time = || {
            let all = self.in_flight.iter();
            all.filter(|(at, r, _)| *r == replica && (from_ms..to_ms).contains(at))
        };
        of_time().filter(|(_, _, n)| *n > bound).count() as f64 / of_time().count().max(1) as f64
    }
}

/// A running simulation.
#[derive(Debug)]
pub struct Fleet {
    plan: Plan,
    start: Instant,
    now_ms: u64,
    rng: ChaCha8Rng,
    instances: Vec<Instance>,
    servers: Vec<Server>,
    digests: Vec<Digest>,
    sequence: u64,
    requests: Vec<Request>,
    record: Record,
}

impl Fleet {
    /// Runs a plan until `end_ms`.
    pub fn run(plan: &Plan, seed: u64, end_ms: u64) -> Record {
        let start = Instant::now();
        let servers: Vec<Server> = (0..plan.replicas)
            .map(|r| Server {
                published: Replica {
                    slots: plan.slots,
                    ..plain_service::replica(&format!("r-{r}"), EPOCH_MS - 600_000)
                },
                queue: VecDeque::new(),
                running: Vec::new(),
            })
            .collect();
        let mut fleet = Self {
            start,
            now_ms: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            instances: Vec::new(),
            servers,
            digests: Vec::new(),
            sequence: 0,
            requests: Vec::new(),
            record: Record::default(),
            plan: plan.clone(),
        };
        for i in 0..fleet.plan.instances {
            let instance = fleet.new_instance(i);
            fleet.instances.push(instance);
        }
        while fleet.now_ms < end_ms {
            fleet.step();
        }
        let late = |r: &Request| r.end_ms.is_none_or(|end| end > r.at_ms + OBJECTIVE_MS);
        fleet.record.requests = fleet.requests.iter().map(|r| (r.at_ms, late(r))).collect();
        fleet.record
    }

    fn new_instance(&self, i: usize) -> Instance {
        let mut dispatcher = Dispatcher::new().with_address(i as u32 + 1);
        dispatcher.set_options(SchedulingOptions {
            warm_up: self
                .plan
                .warm_up
                .then_some(WarmUpOptions { slow_ratio: 2.0 }),
            ..SchedulingOptions::default()
        });
        dispatcher.set_unix_time(self.now(), EPOCH_MS + self.now_ms);
        let members = (1..=self.plan.instances as u32).collect();
        dispatcher.update_members(self.now(), Some(members));
        let replicas: Vec<Replica> = self.servers.iter().map(|s| s.published.clone()).collect();
        dispatcher.update_replicas(self.now(), &replicas);
        Instance {
            dispatcher,
            heard: vec![(0, Vec::new()); self.plan.instances],
            last_sent: Sent::default(),
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.begin_faults();
        self.receive_requests();
        self.deliver_digests();
        self.serve();
        self.assign();
        self.send_digests();
        for (r, s) in self.servers.iter().enumerate() {
            let n = (s.running.len() + s.queue.len()) as u32;
            self.record.in_flight.push((self.now_ms, r, n));
        }
    }

    fn begin_faults(&mut self) {
        let now = self.now();
        for fault in self.plan.faults.clone() {
            if fault.restarts && fault.from_ms == self.now_ms {
                let s = &mut self.servers[fault.replica];
                s.published.incarnation = EPOCH_MS + self.now_ms;
                let lost: Vec<(usize, JobId)> = s.queue.drain(..).collect();
                let cut = s.running.drain(..).map(|(_, i, job)| (i, job)).chain(lost);
                for (i, job) in cut.collect::<Vec<_>>() {
                    self.finish(fault.replica, i, job, Outcome::Failed);
                }
                let published = self.servers[fault.replica].published.clone();
                for i in &mut self.instances {
                    i.dispatcher.update_replica(now, &published);
                }
            }
        }
        if self.plan.half_restarts_at_ms == Some(self.now_ms) {
            for i in 0..self.plan.instances / 2 {
                self.instances[i] = self.new_instance(i);
                for s in &mut self.servers {
                    s.queue.retain(|(of, _)| *of != i);
                    s.running.retain(|(_, of, _)| *of != i);
                }
            }
        }
    }

    fn receive_requests(&mut self) {
        let share = self.plan.requests_per_s * STEP_MS as f64 / 1e3;
        let count = share as u32 + u32::from(self.rng.random_bool(share.fract()));
        for _ in 0..count {
            let id = self.requests.len() as JobId;
            let job = plain_service::job(id, self.now());
            self.requests.push(Request {
                at_ms: self.now_ms,
                end_ms: None,
            });
            let i = self.rng.random_range(0..self.plan.instances);
            self.instances[i].dispatcher.enqueue(job);
        }
    }

    fn fault(&self, replica: usize) -> Option<Kind> {
        let mut faults = self.plan.faults.iter();
        let holds =
            |f: &&Fault| f.replica == replica && (f.from_ms..f.to_ms).contains(&self.now_ms);
        faults.find(holds).map(|f| f.kind)
    }

    fn serve(&mut self) {
        for r in 0..self.servers.len() {
            let fault = self.fault(r);
            if fault == Some(Kind::Silent) {
                continue;
            }
            let now_ms = self.now_ms as f64;
            let running = std::mem::take(&mut self.servers[r].running);
            let (done, rest) = running.into_iter().partition(|(end, ..)| *end <= now_ms);
            self.servers[r].running = rest;
            for (_, i, job) in done {
                let outcome = match fault {
                    Some(Kind::Failing) => Outcome::Failed,
                    _ => Outcome::Served,
                };
                self.finish(r, i, job, outcome);
            }
            let always = if r < self.plan.always_slow.0 {
                self.plan.always_slow.1
            } else {
                1.0
            };
            let factor = match fault {
                Some(Kind::Slow(factor)) => factor,
                Some(Kind::Failing) => 0.1,
                _ => 1.0,
            };
            while self.servers[r].running.len() < self.servers[r].published.slots as usize {
                let Some((i, job)) = self.servers[r].queue.pop_front() else {
                    break;
                };
                let noise = self.rng.random_range(0.9..1.1);
                let end = now_ms + SERVICE_MS * always * factor * noise;
                self.servers[r].running.push((end, i, job));
            }
        }
    }

    fn finish(&mut self, replica: usize, instance: usize, job: JobId, outcome: Outcome) {
        let now = self.now();
        let id = self.servers[replica].published.id.clone();
        let dispatcher = &mut self.instances[instance].dispatcher;
        dispatcher.on_end(now, &id, job, outcome);
        if outcome == Outcome::Served {
            self.requests[job as usize].end_ms = Some(self.now_ms);
        }
        if outcome == Outcome::Unreachable {
            let retry = plain_service::job(job, now);
            let tried_replicas = vec![id];
            dispatcher.enqueue(Job {
                tried_replicas,
                ..retry
            });
        }
    }

    fn assign(&mut self) {
        let now = self.now();
        for i in 0..self.instances.len() {
            let dispatcher = &mut self.instances[i].dispatcher;
            if self.now_ms.is_multiple_of(100) {
                dispatcher.update_room(now);
            }
            dispatcher.take_timed_out(now);
            for assignment in dispatcher.assign(now) {
                let mut servers = self.servers.iter();
                let r = servers.position(|s| s.published.id == assignment.upstream);
                let r = r.expect("a published replica");
                self.record.sent.push((self.now_ms, r));
                if self.fault(r) == Some(Kind::Unreachable) {
                    self.finish(r, i, assignment.job, Outcome::Unreachable);
                } else {
                    self.servers[r].queue.push_back((i, assignment.job));
                }
            }
        }
    }

    fn send_digests(&mut self) {
        let now = self.now();
        for from in 0..self.instances.len() {
            let instance = &mut self.instances[from];
            let d = &instance.dispatcher;
            let loads = d.own_load().map(|(id, n, _)| (id.clone(), n)).collect();
            let paces = d.own_pace_reports(now);
            let paces = paces.map(|(id, start, report)| (id.clone(), start, report));
            let state: Sent = (loads, paces.collect());
            if state == instance.last_sent && !self.now_ms.is_multiple_of(1000) {
                continue;
            }
            instance.last_sent = state.clone();
            self.sequence += 1;
            for to in (0..self.plan.instances).filter(|to| *to != from) {
                let (delay, loss) = self.plan.digests;
                if self.rng.random_bool(loss) {
                    continue;
                }
                self.digests.push(Digest {
                    at_ms: self.now_ms + self.rng.random_range(STEP_MS..=delay),
                    sequence: self.sequence,
                    from,
                    to,
                    loads: state.0.clone(),
                    paces: state.1.clone(),
                });
            }
        }
    }

    fn deliver_digests(&mut self) {
        let now = self.now();
        let now_ms = self.now_ms;
        let due: Vec<Digest> = self.digests.extract_if(.., |d| d.at_ms <= now_ms).collect();
        for d in due {
            let to = &mut self.instances[d.to];
            if d.sequence < to.heard[d.from].0 {
                continue;
            }
            to.heard[d.from] = (d.sequence, d.loads);
            for s in &self.servers {
                let id = &s.published.id;
                let loads = to.heard.iter().flat_map(|(_, loads)| loads);
                let total = loads.filter(|(r, _)| r == id).map(|(_, n)| n).sum();
                to.dispatcher.update_remote_load(id, total, 0.0);
            }
            for (id, incarnation, report) in &d.paces {
                to.dispatcher
                    .on_peer_pace_report(now, id, *incarnation, *report);
            }
        }
    }
}
