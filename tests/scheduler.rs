//! Tests of several schedulers that exchange messages in simulated time.

use std::sync::Arc;
use std::time::Duration;

use kingcupfield::error::{Refusal, RefusalKind};
use kingcupfield::fleet::{Fleet, Snapshot};
use kingcupfield::members::{View, ZoneLive};
use kingcupfield::metrics::Metrics;
use kingcupfield::record::Records;
use kingcupfield::request::Meta;
use kingcupfield::scheduler::{ClaimedGrant, Identity, Scheduler, SlotRequest};
use kingcupfield_decisions::configuration::ValueName;
use kingcupfield_decisions::id::{InstanceId, Rank, RequestId, UpstreamId};
use kingcupfield_decisions::slots::{LoadReport, RequestOutcome};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::sync::oneshot;
use tokio::time::Instant;
use yare::parameterized;

const TICK: Duration = Duration::from_millis(50);
const TIERS: [&str; 3] = ["urgent", "normal", "bulk"];

type DecisionReceiver = oneshot::Receiver<Result<ClaimedGrant, Refusal>>;

/// Schedulers with a simulated clock and network. Messages arrive at once; those to a paused
/// instance are lost.
struct Cluster {
    now: Instant,
    nodes: Vec<Node>,
    /// Number of slot requests so far, from which request ids are made.
    acquired: u64,
}

struct Node {
    instance: InstanceId,
    scheduler: Scheduler,
    paused: bool,
}

impl Cluster {
    /// Creates instances `a`, `b`, .. and replicas `r-0`, `r-1`, .. of one service, and runs them
    /// for 1.5 s.
    fn new(instances: usize, replicas: usize) -> Self {
        let now = Instant::now();
        let names: Vec<InstanceId> = (0..instances).map(instance_name).collect();
        let nodes = names.iter().map(|instance| {
            let me = Identity {
                instance: instance.clone(),
                incarnation: 1,
                zone: "z".into(),
                region: "r".into(),
            };
            let rng = ChaCha8Rng::seed_from_u64(7);
            let scheduler = Scheduler::new(me, rng, Records::new(), now);
            Node {
                instance: instance.clone(),
                scheduler,
                paused: false,
            }
        });
        let mut cluster = Self {
            now,
            nodes: nodes.collect(),
            acquired: 0,
        };
        cluster.publish(replicas, &[]);
        cluster.set_live(&names);
        cluster.run(TICK * 30);
        cluster
    }

    /// Publishes an instance list in which the replicas `leaving` are marked as leaving.
    fn publish(&mut self, replicas: usize, leaving: &[&str]) {
        let fleet = snapshot(self.nodes.len(), replicas, leaving);
        for node in &mut self.nodes {
            node.scheduler.on_fleet(self.now, fleet.clone());
        }
        self.deliver();
    }

    /// Publishes a table with the organisation's allowed regions and the drained zones, and two
    /// replicas: `r-0` in zone z of region r and `s-0` in zone y of region s.
    fn publish_placement(&mut self, version: u64, allowed: &[&str], drained: &[&str]) {
        let fleet = snapshot_of_two_regions(self.nodes.len(), version, allowed, drained);
        for node in &mut self.nodes {
            node.scheduler.on_fleet(self.now, fleet.clone());
        }
        self.deliver();
    }

    /// Publishes the set of live instances to all schedulers.
    fn set_live(&mut self, names: &[InstanceId]) {
        let live = vec![ZoneLive {
            zone: "z".into(),
            instances: names.to_vec(),
        }];
        let view = Arc::new(View {
            live,
            ..View::default()
        });
        for node in &mut self.nodes {
            node.scheduler.on_view(self.now, view.clone());
        }
        self.deliver();
    }

    /// Requests a slot through the instance with index `instance`.
    fn acquire(
        &mut self,
        instance: usize,
        rank: Rank,
        time_left: Duration,
    ) -> (RequestId, DecisionReceiver) {
        self.acquired += 1;
        let request: RequestId =
            format!("{}.1.{:x}", self.nodes[instance].instance, self.acquired).into();
        let meta = Meta {
            request: request.clone(),
            organisation: "org".into(),
            weight: 1,
            tier: TIERS[usize::from(rank)].into(),
            rank,
            service: "drafting".into(),
            received: self.now,
            deadline: self.now + time_left,
            attempt: 1,
        };
        let (tx, rx) = oneshot::channel();
        self.nodes[instance].scheduler.acquire(
            self.now,
            Arc::new(meta),
            SlotRequest::completion(100, 50, 1000),
            tx,
        );
        self.deliver();
        (request, rx)
    }

    /// Ends a dispatched request successfully.
    fn finish(&mut self, instance: usize, request: &RequestId) {
        let outcome = RequestOutcome {
            whole: true,
            ..RequestOutcome::default()
        };
        self.nodes[instance]
            .scheduler
            .on_finished(self.now, request, outcome);
        self.deliver();
    }

    /// Advances the clock by `time` and ticks every instance that is not paused.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            for node in self.nodes.iter_mut().filter(|n| !n.paused) {
                node.scheduler.on_tick(self.now);
            }
            self.deliver();
        }
    }

    /// Delivers messages until none is left; messages for a paused instance are lost.
    fn deliver(&mut self) {
        loop {
            let mut in_flight = Vec::new();
            for node in &mut self.nodes {
                let from = node.instance.clone();
                let out = node.scheduler.take_outgoing();
                in_flight.extend(out.into_iter().map(|o| (from.clone(), o)));
            }
            if in_flight.is_empty() {
                return;
            }
            for (from, out) in in_flight {
                let to = self
                    .nodes
                    .iter_mut()
                    .find(|n| n.instance == out.to && !n.paused);
                if let Some(to) = to {
                    to.scheduler.on_peer_message(self.now, &from, out.message);
                }
            }
        }
    }
}

fn instance_name(i: usize) -> InstanceId {
    char::from(b'a' + i as u8).to_string().into()
}

fn tiers() -> Vec<Value> {
    let ranked = TIERS.iter().enumerate();
    ranked
        .map(|(rank, tier)| json!({"tier": tier, "rank": rank, "weight": 1}))
        .collect()
}

/// Returns the instance list's rows of the live instances.
fn entry_instances(instances: usize) -> impl Iterator<Item = Value> {
    (0..instances).map(|i| {
        json!({"instance": &*instance_name(i), "role": "entry", "availability_zone": "z", "region": "r",
               "address": format!("127.0.0.1:{}", 7000 + i), "rpc_address": format!("127.0.0.1:{}", 7100 + i),
               "state": "live"})
    })
}

/// Returns a snapshot with a replica in each of two regions, allowed regions and drained zones.
fn snapshot_of_two_regions(
    instances: usize,
    version: u64,
    allowed: &[&str],
    drained: &[&str],
) -> Arc<Snapshot> {
    let table = json!({
        "tiers": tiers(),
        "organisations": [{"organisation": "org", "weight": 1, "max_tier": "urgent", "allowed_regions": allowed}],
        "emptied_zones": drained,
    });
    let replica = |upstream: &str, zone: &str, region: &str, port: u16| {
        json!({"instance": upstream, "role": "upstream", "availability_zone": zone, "region": region,
               "service": "drafting", "address": format!("127.0.0.1:{port}"), "state": "live"})
    };
    let replicas = [
        replica("r-0", "z", "r", 8000),
        replica("s-0", "y", "s", 8001),
    ];
    let list: Vec<_> = entry_instances(instances).chain(replicas).collect();
    snapshot_of(version, &table, &list)
}

/// Returns the snapshot of a fleet with one service and this table and instance list.
fn snapshot_of(version: u64, table: &Value, instances: &[Value]) -> Arc<Snapshot> {
    let fleet = Fleet::new(Instant::now(), Metrics::new());
    let services = json!({"services": [{"service": "drafting", "kind": "model"}]});
    fleet.offer(ValueName::Table, version, table);
    fleet.offer(ValueName::Services, version, &services);
    fleet.offer(
        ValueName::Instances,
        version,
        &json!({ "instances": instances }),
    );
    assert!(
        fleet.version(ValueName::Instances).is_some(),
        "the list is valid"
    );
    fleet.snapshot()
}

/// Returns a snapshot with replicas in a single zone, some of which are leaving.
fn snapshot(instances: usize, replicas: usize, leaving: &[&str]) -> Arc<Snapshot> {
    let table = json!({
        "tiers": tiers(),
        "organisations": [{"organisation": "org", "weight": 1, "max_tier": "urgent", "key_sha256": []}],
    });
    let upstreams = (0..replicas).map(|i| {
        let upstream = format!("r-{i}");
        let state = if leaving.contains(&upstream.as_str()) {
            "leaving"
        } else {
            "live"
        };
        json!({"instance": upstream, "role": "upstream", "availability_zone": "z", "region": "r",
               "service": "drafting", "address": format!("127.0.0.1:{}", 8000 + i), "state": state})
    });
    let list: Vec<_> = entry_instances(instances).chain(upstreams).collect();
    snapshot_of(1, &table, &list)
}

/// Returns the replica of a grant, or `None` while the request waits; panics on a refusal.
fn granted(decision: &mut DecisionReceiver) -> Option<UpstreamId> {
    match decision.try_recv() {
        Ok(Ok(granted)) => Some(granted.upstream),
        Ok(Err(refusal)) => panic!("refused: {refusal}"),
        Err(_) => None,
    }
}

/// Requests that were granted a slot, and those that still wait.
struct Filled {
    running: Vec<RequestId>,
    waiting: Vec<(RequestId, DecisionReceiver)>,
}

/// Sends `count` requests of tier `rank` to the instance with index `instance`.
fn fill(cluster: &mut Cluster, instance: usize, rank: Rank, count: usize) -> Filled {
    let mut filled = Filled {
        running: Vec::new(),
        waiting: Vec::new(),
    };
    for _ in 0..count {
        let (request, mut decision) = cluster.acquire(instance, rank, Duration::from_mins(5));
        match granted(&mut decision) {
            Some(_) => filled.running.push(request),
            None => filled.waiting.push((request, decision)),
        }
    }
    filled
}

#[test]
fn a_request_is_granted_by_the_owner_wherever_it_came_in() {
    let mut cluster = Cluster::new(3, 2);
    for instance in 0..3 {
        let (request, mut decision) = cluster.acquire(instance, 1, Duration::from_mins(1));
        assert!(granted(&mut decision).is_some(), "instance {instance}");
        cluster.finish(instance, &request);
    }
}

/// Bulk requests of one instance fill an engine, then an urgent request arrives at another
/// instance. It would be served late if the waiting requests of the first instance went first.
#[test]
fn the_higher_tier_of_another_instance_goes_first() {
    let mut cluster = Cluster::new(2, 1);
    let filled = fill(&mut cluster, 0, 2, 40);
    assert!(!filled.waiting.is_empty(), "the engine is full");
    let (_, mut urgent) = cluster.acquire(1, 0, Duration::from_mins(1));
    assert_eq!(granted(&mut urgent), None);
    cluster.finish(0, &filled.running[0]);
    cluster.run(TICK * 2);
    assert!(granted(&mut urgent).is_some());
    let overtaken = filled
        .waiting
        .into_iter()
        .filter_map(|(_, mut d)| granted(&mut d))
        .count();
    assert_eq!(overtaken, 0, "bulk requests that went first");
}

/// A caller disconnects just as its request is granted, so the request is never sent. If the slot
/// were not released, each such caller would reduce the engine's capacity until nothing is served.
#[test]
fn a_slot_granted_to_a_caller_that_went_away_comes_back() {
    let mut cluster = Cluster::new(2, 1);
    let capacity = fill(&mut cluster, 0, 1, 40).running.len();
    let mut cluster = Cluster::new(2, 1);
    for _ in 0..3 * capacity {
        let (request, decision) = cluster.acquire(1, 1, Duration::from_mins(1));
        drop(decision);
        cluster.nodes[1].scheduler.on_cancel(cluster.now, &request);
        cluster.deliver();
    }
    cluster.run(TICK * 4);
    assert!(
        fill(&mut cluster, 0, 1, 40).running.len() >= capacity,
        "slots were lost"
    );
}

/// A replica is marked as leaving. Requests sent to it would run on an engine that is about to
/// stop; they must be sent to another replica, or be refused as not run.
#[test]
fn a_leaving_replica_gets_nothing_more() {
    let mut cluster = Cluster::new(2, 2);
    cluster.publish(2, &["r-0"]);
    for instance in [0, 1, 0, 1] {
        let (_, mut decision) = cluster.acquire(instance, 1, Duration::from_mins(1));
        assert_eq!(granted(&mut decision).as_deref(), Some("r-1"));
    }
    cluster.publish(2, &["r-0", "r-1"]);
    let (_, mut decision) = cluster.acquire(0, 1, Duration::from_mins(1));
    let refusal = decision
        .try_recv()
        .expect("decided")
        .expect_err("nobody is left");
    assert_eq!(refusal.kind, RefusalKind::Unavailable);
}

/// The last replica reports to its owner that it is leaving, before the instance list or a peer
/// does. A request must be refused as not run: if it were reserved at the same replica again and
/// again, it would keep its instance in an endless loop, and no other request would be handled
/// either.
#[test]
fn the_last_replica_that_leaves_by_its_own_word_is_not_chosen_again() {
    let mut cluster = Cluster::new(2, 1);
    let leaving_replica: UpstreamId = "r-0".into();
    let owner = cluster
        .nodes
        .iter()
        .position(|n| n.scheduler.owns(&leaving_replica));
    let report = LoadReport {
        at_ms: 1,
        running: 0,
        waiting: 0,
        kv_used: 0,
        kv_total: 1,
        leaving: true,
    };
    let now = cluster.now;
    let owner = owner.expect("one owns it");
    cluster.nodes[owner]
        .scheduler
        .on_load_report(now, &leaving_replica, report);
    cluster.deliver();
    for instance in [0, 1] {
        let (_, mut decision) = cluster.acquire(instance, 1, Duration::from_mins(1));
        let refusal = decision
            .try_recv()
            .expect("decided")
            .expect_err("nobody is left");
        assert_eq!(
            refusal.kind,
            RefusalKind::Unavailable,
            "instance {instance}"
        );
    }
}

/// The owner of an engine crashes. Requests in its queue would wait until their deadline; once the
/// owner is known to be dead, another instance must own the engine and grant them.
#[test]
fn a_new_owner_grants_what_waited_at_a_dead_one() {
    let mut cluster = Cluster::new(3, 1);
    let owner = cluster
        .nodes
        .iter()
        .position(|n| n.scheduler.owns(&"r-0".into()))
        .expect("one owns it");
    let instance = (owner + 1) % 3;
    cluster.nodes[owner].paused = true;
    let (_, mut decision) = cluster.acquire(instance, 1, Duration::from_mins(1));
    assert_eq!(granted(&mut decision), None, "its owner does not answer");
    let remaining: Vec<InstanceId> = (0..3).filter(|i| *i != owner).map(instance_name).collect();
    cluster.set_live(&remaining);
    cluster.run(Duration::from_secs(2));
    assert!(granted(&mut decision).is_some());
}

/// An urgent request has to be refused because its deadline can't be met, while bulk requests wait.
/// These must be refused too: no request of a lower tier may be served instead of the urgent one.
#[test]
fn before_an_urgent_refusal_the_waiting_bulk_is_refused() {
    let mut cluster = Cluster::new(2, 1);
    fill(&mut cluster, 0, 0, 40);
    let mut bulk = fill(&mut cluster, 1, 2, 3).waiting;
    assert_eq!(bulk.len(), 3, "they wait");
    let (_, mut urgent) = cluster.acquire(0, 0, Duration::from_millis(700));
    cluster.run(Duration::from_secs(1));
    let refusal = urgent.try_recv().expect("decided").expect_err("refused");
    assert_eq!(refusal.kind, RefusalKind::Deadline);
    for (request, decision) in &mut bulk {
        let refusal = decision.try_recv().expect("decided").expect_err("refused");
        assert_eq!(refusal.kind, RefusalKind::Shed, "{request}");
    }
}

/// Placement rules, and the replicas that may serve requests under them.
struct Placement {
    allowed: &'static [&'static str],
    drained: &'static [&'static str],
    /// The replicas that serve six requests.
    reached: &'static [&'static str],
}

/// An organisation is restricted to some regions, or a zone is drained: its requests must not be
/// sent to another replica, even if that one is nearer and has free slots.
#[parameterized(
    bound_away = { Placement { allowed: &["s"], drained: &[], reached: &["s-0"] } },
    bound_home = { Placement { allowed: &["r"], drained: &[], reached: &["r-0"] } },
    home_emptied = { Placement { allowed: &[], drained: &["z"], reached: &["s-0"] } },
)]
fn requests_reach_the_replicas_that_may_serve_them(case: Placement) {
    let mut cluster = Cluster::new(2, 1);
    cluster.publish_placement(2, case.allowed, case.drained);
    cluster.run(TICK * 30);
    let mut reached = Vec::new();
    for n in 0..6 {
        let (_, mut decision) = cluster.acquire(n % 2, 0, Duration::from_mins(5));
        cluster.run(TICK * 4);
        reached.extend(granted(&mut decision).map(|r| r.to_string()));
    }
    reached.sort_unstable();
    reached.dedup();
    assert_eq!(reached, case.reached);
}

/// The organisation's allowed regions have no replica, or only one in a drained zone: the request
/// must be refused, not sent to a replica of another region.
#[parameterized(
    no_replica_there = { Placement { allowed: &["elsewhere"], drained: &[], reached: &[] } },
    emptied_there = { Placement { allowed: &["s"], drained: &["y"], reached: &[] } },
)]
fn a_request_that_no_replica_may_serve_is_refused(case: Placement) {
    let mut cluster = Cluster::new(2, 1);
    cluster.publish_placement(2, case.allowed, case.drained);
    cluster.run(TICK * 30);
    let (_, mut decision) = cluster.acquire(0, 0, Duration::from_mins(5));
    cluster.run(TICK * 4);
    let refusal = decision
        .try_recv()
        .expect("a decision")
        .expect_err("refused");
    assert_eq!(refusal.kind, RefusalKind::Unavailable);
}
