//! Entry instances put together from the real state machines.

use std::time::Duration;

use kingcupfield_decisions::holder::{
    DispatchError, Holder, HolderAction, HolderOutput, OwnerEnvelope,
};
use kingcupfield_decisions::id::{InstanceId, Rank, RequestId, ServiceId, Tokens, UpstreamId};
use kingcupfield_decisions::length::LengthPredictor;
use kingcupfield_decisions::ownership::owner;
use kingcupfield_decisions::pace::{DEFAULT_PACE, Pace};
use kingcupfield_decisions::prefixes::{CacheEvent, PrefixCache};
use kingcupfield_decisions::routing::{
    CACHED_SHARE_AT_HOME, Candidate, LinkBudget, RouteRequest, WIDEN_AFTER, choose_replicas,
    home_replica,
};
use kingcupfield_decisions::shedding::{
    Estimate, LevelMember, LevelMessage, LevelOwner, RefusalStep, ToLevelMember, ToLevelOwner,
    can_meet, is_unmeetable,
};
use kingcupfield_decisions::slots::{
    HolderEnvelope, LoadReport, Rejection, ReplicaDigest, RequestOutcome, Reservation, SlotQueue,
    ToHolder, ToOwner,
};
use kingcupfield_decisions::work::Work;
use serde::Serialize;
use tokio::time::Instant;

use crate::plan::{Job, NODES, TIER_WEIGHTS, ZONES};
use crate::world::{Net, Policy, zone_of};

/// Rank of the lowest tier.
const BOTTOM: Rank = TIER_WEIGHTS.len() as Rank - 1;
/// How often an owner tells its zone about its replicas, and the other zones.
const DIGEST_EVERY: Duration = Duration::from_millis(500);
const FAR_DIGEST_EVERY: Duration = Duration::from_secs(2);
/// Bytes of a message besides its JSON body: the envelope of the call and the frame.
const ENVELOPE: u64 = 60;
/// Message between instances.
#[derive(Debug, Serialize)]
pub enum Packet {
    ToOwner {
        upstream: UpstreamId,
        message: ToOwner,
    },
    ToHolder {
        upstream: UpstreamId,
        message: ToHolder,
    },
    ToLevelOwner(ToLevelOwner),
    ToLevelMember(ToLevelMember),
    Digests(Vec<(UpstreamId, ReplicaDigest)>),
}

impl Packet {
    /// Size on the wire.
    pub fn bytes(&self) -> u64 {
        ENVELOPE + serde_json::to_vec(self).map_or(0, |json| json.len() as u64)
    }
}

/// Mechanisms that a row can switch off.
#[derive(Debug, Clone, Copy)]
pub struct Mechanisms {
    pub late_binding: bool,
    pub level: bool,
    pub fairness: bool,
    pub health: bool,
    pub prefixes: bool,
    pub early_refusal: bool,
}

/// Everything on.
pub const ALL: Mechanisms = Mechanisms {
    late_binding: true,
    level: true,
    fairness: true,
    health: true,
    prefixes: true,
    early_refusal: true,
};

#[derive(Debug)]
struct Node {
    holder: Holder,
    queues: Vec<Option<SlotQueue>>,
    owners: Vec<usize>,
    member: LevelMember,
    level: Option<LevelOwner>,
    level_owner: usize,
    digests: Vec<Option<(ReplicaDigest, Instant)>>,
    caches: Vec<PrefixCache>,
    lengths: LengthPredictor,
    link: LinkBudget,
    gone: Vec<usize>,
    /// Requests that may not be refused yet.
    doomed: Vec<usize>,
    told: Option<Instant>,
    told_far: Option<Instant>,
}

/// All instances.
#[derive(Debug)]
pub struct Ours {
    mechanisms: Mechanisms,
    names: Vec<InstanceId>,
    upstreams: Vec<UpstreamId>,
    zones: Vec<usize>,
    generations: Vec<String>,
    service: ServiceId,
    nodes: Vec<Node>,
}

fn number(name: &str) -> usize {
    let digits = name.rsplit('-').next().unwrap_or_default();
    digits.parse().unwrap_or(usize::MAX)
}

/// Node that owns engine 0 when all live, for the faults of owners.
pub fn owner_of_first() -> usize {
    let zone: Vec<InstanceId> = (0..NODES)
        .filter(|n| zone_of(*n) == 0)
        .map(node_name)
        .collect();
    owner(&engine_name(0), &zone).map_or(0, |name| number(name))
}

fn node_name(node: usize) -> InstanceId {
    format!("entry-{node}").into()
}

fn engine_name(engine: usize) -> UpstreamId {
    format!("engine-{engine:02}").into()
}

impl Ours {
    pub fn new(net: &Net, mechanisms: Mechanisms) -> Self {
        let engines = net.engines.len();
        let mut ours = Self {
            mechanisms,
            names: (0..NODES).map(node_name).collect(),
            upstreams: (0..engines).map(engine_name).collect(),
            zones: net.engines.iter().map(|e| e.zone).collect(),
            generations: net
                .engines
                .iter()
                .map(|e| format!("g{}", e.speed))
                .collect(),
            service: "drafting".into(),
            nodes: Vec::new(),
        };
        for node in 0..NODES {
            ours.nodes.push(Node {
                holder: Holder::new(InstanceId::clone(&ours.names[node]), 1)
                    .with_widen_delay(WIDEN_AFTER),
                queues: (0..engines).map(|_| None).collect(),
                owners: vec![usize::MAX; engines],
                member: LevelMember::new(BOTTOM),
                level: None,
                level_owner: usize::MAX,
                digests: vec![None; engines],
                caches: vec![PrefixCache::new(); engines],
                lengths: LengthPredictor::new(),
                link: LinkBudget::new(kingcupfield_decisions::routing::LINK_BYTES_PER_S),
                gone: Vec::new(),
                doomed: Vec::new(),
                told: None,
                told_far: None,
            });
            ours.elect(net, node);
        }
        ours
    }

    fn live(&self, node: usize, zone: usize) -> Vec<InstanceId> {
        let gone = &self.nodes[node].gone;
        let live = (0..NODES).filter(|n| zone_of(*n) == zone && !gone.contains(n));
        live.map(|n| InstanceId::clone(&self.names[n])).collect()
    }

    /// Works out who owns what; takes and gives up queues. Returns the replicas whose owner changed.
    fn elect(&mut self, net: &Net, node: usize) -> Vec<usize> {
        let mut changed = Vec::new();
        let live: Vec<Vec<InstanceId>> = (0..ZONES).map(|zone| self.live(node, zone)).collect();
        for engine in 0..self.upstreams.len() {
            let zone = &live[self.zones[engine]];
            let new = owner(&self.upstreams[engine], zone).map_or(usize::MAX, |name| number(name));
            if self.nodes[node].owners[engine] == new {
                continue;
            }
            self.nodes[node].owners[engine] = new;
            changed.push(engine);
            let queue = (new == node).then(|| {
                let generation = self.generations[engine].clone();
                let upstream = UpstreamId::clone(&self.upstreams[engine]);
                SlotQueue::new(upstream, Some(generation), net.now).with_zone_size(zone.len())
            });
            self.nodes[node].queues[engine] = queue;
        }
        let zone = &live[zone_of(node)];
        let new = owner("pool", zone).map_or(usize::MAX, |name| number(name));
        if self.nodes[node].level_owner != new {
            self.nodes[node].level_owner = new;
            self.nodes[node].level = (new == node).then(|| LevelOwner::new(BOTTOM));
        }
        if let Some(level) = &mut self.nodes[node].level {
            level.set_members(net.now, zone.clone());
        }
        changed
    }

    fn pace(&self, node: usize, engine: usize) -> Pace {
        let digest = self.nodes[node].digests[engine];
        digest
            .and_then(|(digest, _)| digest.pace)
            .unwrap_or(DEFAULT_PACE)
    }

    fn work(&self, node: usize, job: &Job) -> Work {
        let lengths = &self.nodes[node].lengths;
        let most = Some(job.decode * 2);
        let decode = lengths.predict(&job.organisation, &self.service, job.prompt, most);
        Work::new(job.prompt, decode)
    }

    /// Time from dispatch to the end at the fastest replica of the zone with nothing cached.
    fn service_time(&self, node: usize, job: &Job) -> Duration {
        let work = self.work(node, job);
        let own = (0..self.upstreams.len()).filter(|e| self.zones[*e] == zone_of(node));
        let cached = Work::new(work.prefill / 4, work.decode);
        own.map(|e| self.pace(node, e).service_time(cached))
            .min()
            .unwrap_or_default()
    }

    fn candidates(&self, net: &Net, node: usize, job: &Job) -> Vec<Candidate> {
        let own: Vec<UpstreamId> = (0..self.upstreams.len())
            .filter(|e| self.zones[*e] == zone_of(node))
            .map(|e| UpstreamId::clone(&self.upstreams[e]))
            .collect();
        let home = home_replica(job.prefixes[0], &own);
        let known = &self.nodes[node];
        let make = |engine: usize| {
            let upstream = UpstreamId::clone(&self.upstreams[engine]);
            let blocks = known.caches[engine].cached(&job.prefixes) as Tokens;
            let mut cached = job.prompt * blocks / job.prefixes.len() as Tokens;
            if home == Some(&upstream) {
                cached = cached.max((job.prompt as f64 * CACHED_SHARE_AT_HOME) as Tokens);
            }
            let digest = known.digests[engine];
            let near = self.zones[engine] == zone_of(node);
            Candidate {
                upstream,
                owner: InstanceId::clone(&self.names[known.owners[engine].min(NODES - 1)]),
                zone: format!("zone-{}", self.zones[engine]).into(),
                digest: digest.map(|(digest, _)| digest),
                digest_age: digest.map_or(Duration::MAX, |(_, at)| net.now - at),
                cached_tokens: if self.mechanisms.prefixes { cached } else { 0 },
                pace: self.pace(node, engine),
                round_trip: Duration::from_millis(if near { 1 } else { 30 }),
            }
        };
        let owned = |engine: &usize| known.owners[*engine] != usize::MAX;
        (0..self.upstreams.len()).filter(owned).map(make).collect()
    }

    fn reservation(&self, net: &Net, node: usize, job: &Job) -> Reservation {
        let fair = self.mechanisms.fairness;
        let work = self.work(node, job);
        let left = job.deadline.saturating_duration_since(net.now);
        Reservation {
            request: RequestId::clone(&job.request),
            holder: InstanceId::clone(&self.names[node]),
            organisation: if fair {
                job.organisation.clone()
            } else {
                "all".into()
            },
            weight: 1,
            rank: job.rank,
            work,
            prefixes: if self.mechanisms.prefixes {
                job.prefixes.clone()
            } else {
                Vec::new()
            },
            time_left: if self.mechanisms.early_refusal {
                left
            } else {
                left * 100
            },
            asked: 0,
        }
    }

    fn place(&mut self, net: &mut Net, node: usize, n: usize) {
        let job = &net.jobs[n];
        let request = RouteRequest {
            rank: job.rank,
            zone: format!("zone-{}", zone_of(node)).into(),
            time_left: job.deadline.saturating_duration_since(net.now),
            work: self.work(node, job),
            bytes: (job.prompt + job.decode) * 5,
        };
        let candidates = self.candidates(net, node, job);
        let reservation = self.reservation(net, node, job);
        let link = &mut self.nodes[node].link;
        let choice = choose_replicas(net.now, &request, &candidates, BOTTOM, link, &mut net.rng);
        let places = if self.mechanisms.late_binding {
            &choice.upstreams[..]
        } else {
            choice.split().0
        };
        let reply = self.nodes[node]
            .holder
            .reserve(net.now, reservation, places);
        self.carry_out(net, node, reply);
    }

    fn carry_out(&mut self, net: &mut Net, node: usize, reply: HolderOutput) {
        self.ask(net, node, reply.messages);
        for action in reply.actions {
            match action {
                HolderAction::Dispatch { request, .. } => self.dispatch(net, node, &request),
                HolderAction::Refuse { request, why, .. } => {
                    self.give_up(net, node, number(&request), why);
                }
            }
        }
    }

    fn ask(&mut self, net: &mut Net, node: usize, asks: Vec<OwnerEnvelope>) {
        for OwnerEnvelope { upstream, message } in asks {
            let to = self.nodes[node].owners[number(&upstream)];
            if to != usize::MAX {
                net.send(node, to, Packet::ToOwner { upstream, message });
            }
        }
    }

    fn answer(net: &mut Net, node: usize, sends: Vec<HolderEnvelope>) {
        for HolderEnvelope {
            to,
            upstream,
            message,
        } in sends
        {
            net.send(node, number(&to), Packet::ToHolder { upstream, message });
        }
    }

    fn dispatch(&mut self, net: &mut Net, node: usize, request: &RequestId) {
        let n = number(request);
        match self.nodes[node].holder.dispatch(net.now, request) {
            Ok(dispatch) => {
                let engine = number(&dispatch.upstream);
                self.nodes[node]
                    .member
                    .remove_waiting(request, net.jobs[n].rank);
                self.nodes[node].caches[engine].on_grant(&net.jobs[n].prefixes);
                net.dispatch(n, engine);
                self.ask(net, node, dispatch.messages);
            }
            Err(DispatchError::Lapsed { messages }) => self.ask(net, node, messages),
            Err(DispatchError::NotGranted) => {}
        }
    }

    /// The request will not be served; it is refused as soon as no lower tier is served instead.
    fn give_up(&mut self, net: &mut Net, node: usize, n: usize, why: Rejection) {
        let (request, rank) = (RequestId::clone(&net.jobs[n].request), net.jobs[n].rank);
        let asks = self.nodes[node].holder.withdraw(&request);
        self.ask(net, node, asks);
        self.nodes[node].member.remove_waiting(&request, rank);
        if why == Rejection::Shed || !self.mechanisms.level {
            net.refuse(n);
            return;
        }
        self.nodes[node].doomed.push(n);
        self.refuse_doomed(net, node);
    }

    fn refuse_doomed(&mut self, net: &mut Net, node: usize) {
        let mut doomed = std::mem::take(&mut self.nodes[node].doomed);
        doomed.sort_by_key(|n| std::cmp::Reverse(net.jobs[*n].rank));
        doomed.retain(|n| {
            loop {
                match self.nodes[node]
                    .member
                    .request_refusal(net.now, net.jobs[*n].rank)
                {
                    RefusalStep::EvictFirst(request) => self.evict(net, node, &request),
                    RefusalStep::RaiseFirst => return true,
                    RefusalStep::Allowed => {
                        net.refuse(*n);
                        return false;
                    }
                }
            }
        });
        self.nodes[node].doomed = doomed;
        self.tell_level(net, node);
    }

    fn evict(&mut self, net: &mut Net, node: usize, request: &RequestId) {
        let n = number(request);
        self.nodes[node]
            .member
            .remove_waiting(request, net.jobs[n].rank);
        let asks = self.nodes[node].holder.withdraw(request);
        self.ask(net, node, asks);
        net.refuse(n);
    }

    fn tell_level(&mut self, net: &mut Net, node: usize) {
        let to = self.nodes[node].level_owner;
        for message in self.nodes[node].member.take_outgoing() {
            if to != usize::MAX {
                net.send(node, to, Packet::ToLevelOwner(message));
            }
        }
    }

    fn tell_members(net: &mut Net, node: usize, sends: Vec<LevelMessage>) {
        for LevelMessage { to, message } in sends {
            net.send(node, number(&to), Packet::ToLevelMember(message));
        }
    }

    fn obey_level(&mut self, net: &mut Net, node: usize) {
        let lowest = self.nodes[node].member.lowest_rank(net.now);
        for engine in 0..self.upstreams.len() {
            let queue = self.nodes[node].queues[engine].as_mut();
            let sends = queue.map(|queue| queue.set_lowest_rank(net.now, lowest));
            Self::answer(net, node, sends.unwrap_or_default());
        }
    }

    /// Refuses what cannot end in time any more, before it is dispatched.
    fn give_up_late(&mut self, net: &mut Net, node: usize) {
        if !self.mechanisms.early_refusal {
            return;
        }
        let waiting = self.nodes[node].holder.waiting();
        let waiting: Vec<usize> = waiting.iter().map(|r| number(&r.request)).collect();
        for n in waiting {
            let left = net.jobs[n].deadline.saturating_duration_since(net.now);
            let service = self.service_time(node, &net.jobs[n]);
            if !can_meet(
                left,
                Estimate {
                    wait: Duration::ZERO,
                    service,
                },
            ) {
                self.give_up(net, node, n, Rejection::Late);
            }
        }
    }

    fn tell_digests(&mut self, net: &mut Net, node: usize) {
        let due = |at: Option<Instant>, every| at.is_none_or(|at| net.now >= at + every);
        let near = due(self.nodes[node].told, DIGEST_EVERY);
        let far = due(self.nodes[node].told_far, FAR_DIGEST_EVERY);
        if !near {
            return;
        }
        self.nodes[node].told = Some(net.now);
        if far {
            self.nodes[node].told_far = Some(net.now);
        }
        let queues = self.nodes[node].queues.iter().flatten();
        let digests: Vec<(UpstreamId, ReplicaDigest)> = queues
            .map(|q| (UpstreamId::clone(q.upstream()), q.digest(net.now)))
            .collect();
        for to in (0..NODES).filter(|to| far || zone_of(*to) == zone_of(node)) {
            if !digests.is_empty() && !self.nodes[node].gone.contains(&to) {
                net.send(node, to, Packet::Digests(digests.clone()));
            }
        }
    }

    /// Median pace of each generation, by which its replicas are judged.
    fn judge(&mut self, node: usize) {
        let known = &mut self.nodes[node];
        for engine in 0..known.queues.len() {
            let alike = (0..known.queues.len())
                .filter(|e| self.generations[*e] == self.generations[engine]);
            let mut paces: Vec<Pace> = alike
                .filter_map(|e| known.digests[e].and_then(|(d, _)| d.pace))
                .collect();
            if paces.len() < 2 {
                continue;
            }
            paces.sort_by_key(|pace| pace.decode);
            let median = paces[(paces.len() - 1) / 2];
            if let Some(queue) = &mut known.queues[engine] {
                queue.set_usual_pace(Some(median));
            }
        }
    }

    fn finish(&mut self, net: &mut Net, n: usize, whole: bool) {
        let (job, fate, node) = (&net.jobs[n], &net.fates[n], net.jobs[n].node);
        let first = fate
            .first_token
            .zip(fate.sent_at)
            .map(|(first, sent)| first - sent);
        let decoding = fate
            .ended
            .zip(fate.first_token)
            .map(|(end, first)| end - first);
        let outcome = RequestOutcome {
            whole: true,
            first_token: first.filter(|_| whole),
            between_tokens: decoding.map(|took| took / job.decode as u32),
            work: Work::new(fate.prefill, if whole { job.decode } else { 0 }),
        };
        if whole {
            let lengths = &mut self.nodes[node].lengths;
            lengths.on_answer(&job.organisation, &self.service, job.prompt, job.decode);
        }
        let request = RequestId::clone(&job.request);
        let reply = self.nodes[node]
            .holder
            .on_finished(net.now, &request, outcome);
        self.carry_out(net, node, reply);
    }
}

impl Policy for Ours {
    fn on_arrive(&mut self, net: &mut Net, job: usize) {
        let n = job;
        let (node, rank) = (net.jobs[n].node, net.jobs[n].rank);
        if !self.nodes[node].member.admits(net.now, rank) {
            net.refuse(n);
            return;
        }
        let service = self.service_time(node, &net.jobs[n]);
        let left = net.jobs[n].deadline.saturating_duration_since(net.now);
        if is_unmeetable(
            left,
            Estimate {
                wait: Duration::ZERO,
                service,
            },
        ) && self.mechanisms.early_refusal
        {
            net.refuse(n);
            return;
        }
        let request = RequestId::clone(&net.jobs[n].request);
        self.nodes[node].member.add_waiting(&request, rank);
        self.place(net, node, n);
    }

    fn on_started(&mut self, net: &mut Net, job: usize) {
        let n = job;
        let (job, fate) = (&net.jobs[n], &net.fates[n]);
        let took = fate
            .first_token
            .zip(fate.sent_at)
            .map_or(Duration::ZERO, |(a, b)| a - b);
        let asks = self.nodes[job.node].holder.on_started(&job.request, took);
        self.ask(net, net.jobs[n].node, asks);
    }

    fn on_ended(&mut self, net: &mut Net, job: usize) {
        let n = job;
        self.finish(net, n, true);
    }

    fn on_deadline(&mut self, net: &mut Net, job: usize) {
        let n = job;
        let node = net.jobs[n].node;
        if net.fates[n].sent_at.is_some() {
            net.cancel(n);
            self.finish(net, n, false);
        } else if self.nodes[node].doomed.contains(&n) {
            self.nodes[node].doomed.retain(|doomed| *doomed != n);
            net.refuse(n);
        } else {
            self.give_up(net, node, n, Rejection::Late);
        }
    }

    fn on_tick(&mut self, net: &mut Net, node: usize) {
        let reply = self.nodes[node].holder.on_tick(net.now);
        self.carry_out(net, node, reply);
        for engine in 0..self.upstreams.len() {
            let queue = self.nodes[node].queues[engine].as_mut();
            let sends = queue.map(|queue| queue.on_tick(net.now));
            Self::answer(net, node, sends.unwrap_or_default());
        }
        let level = self.nodes[node].level.as_mut();
        let sends = level.map(|level| level.on_tick(net.now));
        Self::tell_members(net, node, sends.unwrap_or_default());
        self.give_up_late(net, node);
        self.refuse_doomed(net, node);
        self.obey_level(net, node);
        self.tell_digests(net, node);
        if self.mechanisms.health {
            self.judge(node);
        }
    }

    fn on_packet(&mut self, net: &mut Net, to: usize, from: usize, packet: Packet) {
        let node = to;
        match packet {
            Packet::ToOwner { upstream, message } => {
                let from = InstanceId::clone(&self.names[from]);
                let queue = self.nodes[node].queues[number(&upstream)].as_mut();
                let sends = queue.map(|queue| queue.on_message(net.now, &from, message));
                Self::answer(net, node, sends.unwrap_or_default());
            }
            Packet::ToHolder { upstream, message } => {
                let reply = self.nodes[node]
                    .holder
                    .on_message(net.now, &upstream, message);
                self.carry_out(net, node, reply);
            }
            Packet::ToLevelOwner(message) => {
                let from = InstanceId::clone(&self.names[from]);
                let level = self.nodes[node].level.as_mut();
                let sends = level.map(|level| level.on_message(net.now, &from, &message));
                Self::tell_members(net, node, sends.unwrap_or_default());
            }
            Packet::ToLevelMember(message) => {
                for request in self.nodes[node].member.on_message(net.now, &message) {
                    self.evict(net, node, &request);
                }
                self.obey_level(net, node);
                self.tell_level(net, node);
                self.refuse_doomed(net, node);
            }
            Packet::Digests(digests) => {
                for (upstream, digest) in digests {
                    self.nodes[node].digests[number(&upstream)] = Some((digest, net.now));
                }
            }
        }
    }

    fn on_report(&mut self, net: &mut Net) {
        for node in 0..NODES {
            for engine in 0..self.upstreams.len() {
                let Some((at, running, waiting)) =
                    net.reported(engine).filter(|_| !net.is_down(node))
                else {
                    continue;
                };
                let report = LoadReport {
                    at_ms: (at - net.start).as_millis() as u64,
                    running: running as u32,
                    waiting: waiting as u32,
                    kv_used: 0,
                    kv_total: 0,
                    leaving: false,
                };
                let queue = self.nodes[node].queues[engine].as_mut();
                let sends = queue.map(|queue| queue.on_load_report(net.now, report));
                Self::answer(net, node, sends.unwrap_or_default());
            }
        }
    }

    fn on_cache_events(&mut self, net: &mut Net, engine: usize, events: &[CacheEvent]) {
        for node in (0..NODES).filter(|node| !net.is_down(*node)) {
            if let Some(queue) = &mut self.nodes[node].queues[engine] {
                for event in events {
                    queue.on_cache_event(*event);
                }
            }
        }
    }

    fn on_noticed(&mut self, net: &mut Net, node: usize, gone: bool) {
        let faulty = node;
        for node in 0..NODES {
            if node != faulty {
                self.nodes[node].gone = if gone { vec![faulty] } else { Vec::new() };
            }
            for engine in self.elect(net, node) {
                let upstream = UpstreamId::clone(&self.upstreams[engine]);
                let asks = self.nodes[node].holder.on_owner_changed(net.now, &upstream);
                self.ask(net, node, asks);
            }
            for engine in 0..self.upstreams.len() {
                let faulty = InstanceId::clone(&self.names[faulty]);
                let queue = self.nodes[node].queues[engine].as_mut().filter(|_| gone);
                let sends = queue.map(|queue| queue.on_holder_dead(net.now, &faulty));
                Self::answer(net, node, sends.unwrap_or_default());
            }
        }
    }
}
