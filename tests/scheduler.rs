//! Schedulers of several instances that exchange their messages in virtual time.

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

type Decided = oneshot::Receiver<Result<ClaimedGrant, Refusal>>;

/// Schedulers whose messages arrive at once, unless an instance is paused.
struct Net {
    now: Instant,
    nodes: Vec<Node>,
    sent: u64,
}

struct Node {
    instance: InstanceId,
    scheduler: Scheduler,
    paused: bool,
}

impl Net {
    /// Instances `a`, `b`, .. before replicas `r-0`, `r-1`, .. of one service.
    fn new(instances: usize, replicas: usize) -> Self {
        let now = Instant::now();
        let names: Vec<InstanceId> = (0..instances).map(name).collect();
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
        let mut net = Self {
            now,
            nodes: nodes.collect(),
            sent: 0,
        };
        net.publish(replicas, &[]);
        net.live(&names);
        net.run(TICK * 30);
        net
    }

    fn publish(&mut self, replicas: usize, leaving: &[&str]) {
        let fleet = snapshot(self.nodes.len(), replicas, leaving);
        for node in &mut self.nodes {
            node.scheduler.on_fleet(self.now, fleet.clone());
        }
        self.deliver();
    }

    /// Publishes a table in which one field of the organisation or of the table itself is set, and a replica
    /// `s-0` of the zone y in the region s beside `r-0`.
    fn publish_placement(&mut self, version: u64, allowed: &[&str], emptied: &[&str]) {
        let fleet = two_regions(self.nodes.len(), version, allowed, emptied);
        for node in &mut self.nodes {
            node.scheduler.on_fleet(self.now, fleet.clone());
        }
        self.deliver();
    }

    fn live(&mut self, names: &[InstanceId]) {
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

    fn acquire(&mut self, at: usize, rank: Rank, time_left: Duration) -> (RequestId, Decided) {
        self.sent += 1;
        let request: RequestId = format!("{}.1.{:x}", self.nodes[at].instance, self.sent).into();
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
        self.nodes[at].scheduler.acquire(
            self.now,
            Arc::new(meta),
            SlotRequest::completion(100, 50, 1000),
            tx,
        );
        self.deliver();
        (request, rx)
    }

    fn finish(&mut self, at: usize, request: &RequestId) {
        let outcome = RequestOutcome {
            whole: true,
            ..RequestOutcome::default()
        };
        self.nodes[at]
            .scheduler
            .on_finished(self.now, request, outcome);
        self.deliver();
    }

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

    /// Delivers until nothing is under way; messages for a paused instance are lost.
    fn deliver(&mut self) {
        loop {
            let mut under_way = Vec::new();
            for node in &mut self.nodes {
                let from = node.instance.clone();
                let out = node.scheduler.take_outgoing();
                under_way.extend(out.into_iter().map(|o| (from.clone(), o)));
            }
            if under_way.is_empty() {
                return;
            }
            for (from, out) in under_way {
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

fn name(i: usize) -> InstanceId {
    char::from(b'a' + i as u8).to_string().into()
}

fn tiers() -> Vec<Value> {
    let ranked = TIERS.iter().enumerate();
    ranked
        .map(|(rank, tier)| json!({"tier": tier, "rank": rank, "weight": 1}))
        .collect()
}

fn entries(instances: usize) -> impl Iterator<Item = Value> {
    (0..instances).map(|i| {
        json!({"instance": &*name(i), "role": "entry", "availability_zone": "z", "region": "r",
               "address": format!("127.0.0.1:{}", 7000 + i), "rpc_address": format!("127.0.0.1:{}", 7100 + i),
               "state": "live"})
    })
}

fn two_regions(
    instances: usize,
    version: u64,
    allowed: &[&str],
    emptied: &[&str],
) -> Arc<Snapshot> {
    let table = json!({
        "tiers": tiers(),
        "organisations": [{"organisation": "org", "weight": 1, "max_tier": "urgent", "allowed_regions": allowed}],
        "emptied_zones": emptied,
    });
    let replica = |upstream: &str, zone: &str, region: &str, port: u16| {
        json!({"instance": upstream, "role": "upstream", "availability_zone": zone, "region": region,
               "service": "drafting", "address": format!("127.0.0.1:{port}"), "state": "live"})
    };
    let replicas = [
        replica("r-0", "z", "r", 8000),
        replica("s-0", "y", "s", 8001),
    ];
    let list: Vec<_> = entries(instances).chain(replicas).collect();
    published(version, &table, &list)
}

fn published(version: u64, table: &Value, instances: &[Value]) -> Arc<Snapshot> {
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
    let list: Vec<_> = entries(instances).chain(upstreams).collect();
    published(1, &table, &list)
}

fn granted(decided: &mut Decided) -> Option<UpstreamId> {
    match decided.try_recv() {
        Ok(Ok(granted)) => Some(granted.upstream),
        Ok(Err(refusal)) => panic!("refused: {refusal}"),
        Err(_) => None,
    }
}

/// Fills all slots from instance `at`; returns who runs and who waits.
struct Filled {
    running: Vec<RequestId>,
    waiting: Vec<(RequestId, Decided)>,
}

fn fill(net: &mut Net, at: usize, rank: Rank, count: usize) -> Filled {
    let mut filled = Filled {
        running: Vec::new(),
        waiting: Vec::new(),
    };
    for _ in 0..count {
        let (request, mut decided) = net.acquire(at, rank, Duration::from_mins(5));
        match granted(&mut decided) {
            Some(_) => filled.running.push(request),
            None => filled.waiting.push((request, decided)),
        }
    }
    filled
}

#[test]
fn a_request_is_granted_by_the_owner_wherever_it_came_in() {
    let mut net = Net::new(3, 2);
    for at in 0..3 {
        let (request, mut decided) = net.acquire(at, 1, Duration::from_mins(1));
        assert!(granted(&mut decided).is_some(), "instance {at}");
        net.finish(at, &request);
    }
}

/// Bulk requests fill an engine through one instance, and an urgent one comes in at another. Its
/// caller notices a late draft if the first instance's own queue goes first.
#[test]
fn the_higher_tier_of_another_instance_goes_first() {
    let mut net = Net::new(2, 1);
    let filled = fill(&mut net, 0, 2, 40);
    assert!(!filled.waiting.is_empty(), "the engine is full");
    let (_, mut urgent) = net.acquire(1, 0, Duration::from_mins(1));
    assert_eq!(granted(&mut urgent), None);
    net.finish(0, &filled.running[0]);
    net.run(TICK * 2);
    assert!(granted(&mut urgent).is_some());
    let overtaken = filled
        .waiting
        .into_iter()
        .filter_map(|(_, mut d)| granted(&mut d))
        .count();
    assert_eq!(overtaken, 0, "bulk requests that went first");
}

/// A caller goes away in the moment in which its grant is decided. Nobody sends the request; if
/// the slot stayed taken, the engine would serve less with each such caller until it served none.
#[test]
fn a_slot_granted_to_a_caller_that_went_away_comes_back() {
    let mut net = Net::new(2, 1);
    let capacity = fill(&mut net, 0, 1, 40).running.len();
    let mut net = Net::new(2, 1);
    for _ in 0..3 * capacity {
        let (request, decided) = net.acquire(1, 1, Duration::from_mins(1));
        drop(decided);
        net.nodes[1].scheduler.on_cancel(net.now, &request);
        net.deliver();
    }
    net.run(TICK * 4);
    assert!(
        fill(&mut net, 0, 1, 40).running.len() >= capacity,
        "slots were lost"
    );
}

/// A replica is marked as leaving while requests wait for it. They would run on an engine that is
/// about to go; they must go to another, or be refused as not run.
#[test]
fn a_leaving_replica_gets_nothing_more() {
    let mut net = Net::new(2, 2);
    net.publish(2, &["r-0"]);
    for at in [0, 1, 0, 1] {
        let (_, mut decided) = net.acquire(at, 1, Duration::from_mins(1));
        assert_eq!(granted(&mut decided).as_deref(), Some("r-1"));
    }
    net.publish(2, &["r-0", "r-1"]);
    let (_, mut decided) = net.acquire(0, 1, Duration::from_mins(1));
    let refusal = decided
        .try_recv()
        .expect("decided")
        .expect_err("nobody is left");
    assert_eq!(refusal.kind, RefusalKind::Unavailable);
}

/// The last replica tells its owner that it leaves before the list or any peer says so. A request
/// must be refused as not run; placed at the same replica again and again it would keep its
/// instance busy for ever, and no other caller would get an answer either.
#[test]
fn the_last_replica_that_leaves_by_its_own_word_is_not_chosen_again() {
    let mut net = Net::new(2, 1);
    let leaver: UpstreamId = "r-0".into();
    let owner = net.nodes.iter().position(|n| n.scheduler.owns(&leaver));
    let report = LoadReport {
        at_ms: 1,
        running: 0,
        waiting: 0,
        kv_used: 0,
        kv_total: 1,
        leaving: true,
    };
    let now = net.now;
    let owner = owner.expect("one owns it");
    net.nodes[owner]
        .scheduler
        .on_load_report(now, &leaver, report);
    net.deliver();
    for at in [0, 1] {
        let (_, mut decided) = net.acquire(at, 1, Duration::from_mins(1));
        let refusal = decided
            .try_recv()
            .expect("decided")
            .expect_err("nobody is left");
        assert_eq!(refusal.kind, RefusalKind::Unavailable, "instance {at}");
    }
}

/// The owner of an engine stops without a word. Requests that wait at its queue would wait until
/// their deadline; once it is known dead another instance owns the engine and grants them.
#[test]
fn a_new_owner_grants_what_waited_at_a_dead_one() {
    let mut net = Net::new(3, 1);
    let owner = net
        .nodes
        .iter()
        .position(|n| n.scheduler.owns(&"r-0".into()))
        .expect("one owns it");
    let at = (owner + 1) % 3;
    net.nodes[owner].paused = true;
    let (_, mut decided) = net.acquire(at, 1, Duration::from_mins(1));
    assert_eq!(granted(&mut decided), None, "its owner does not answer");
    let left: Vec<InstanceId> = (0..3).filter(|i| *i != owner).map(name).collect();
    net.live(&left);
    net.run(Duration::from_secs(2));
    assert!(granted(&mut decided).is_some());
}

/// Bulk requests wait when an urgent one has to be refused, as its deadline can't be met. A caller
/// of the lower tier must not be served in place of what was refused.
#[test]
fn before_an_urgent_refusal_the_waiting_bulk_is_refused() {
    let mut net = Net::new(2, 1);
    fill(&mut net, 0, 0, 40);
    let mut bulk = fill(&mut net, 1, 2, 3).waiting;
    assert_eq!(bulk.len(), 3, "they wait");
    let (_, mut urgent) = net.acquire(0, 0, Duration::from_millis(700));
    net.run(Duration::from_secs(1));
    let refusal = urgent.try_recv().expect("decided").expect_err("refused");
    assert_eq!(refusal.kind, RefusalKind::Deadline);
    for (request, decided) in &mut bulk {
        let refusal = decided.try_recv().expect("decided").expect_err("refused");
        assert_eq!(refusal.kind, RefusalKind::Shed, "{request}");
    }
}

struct Placement {
    allowed: &'static [&'static str],
    emptied: &'static [&'static str],
    /// The replicas that six requests reach.
    reached: &'static [&'static str],
}

/// An organisation is bound to regions, or a zone is emptied: its requests reach no other replica, though
/// that one is nearer and free.
#[parameterized(
    bound_away = { Placement { allowed: &["s"], emptied: &[], reached: &["s-0"] } },
    bound_home = { Placement { allowed: &["r"], emptied: &[], reached: &["r-0"] } },
    home_emptied = { Placement { allowed: &[], emptied: &["z"], reached: &["s-0"] } },
)]
fn requests_reach_the_replicas_that_may_serve_them(case: Placement) {
    let mut net = Net::new(2, 1);
    net.publish_placement(2, case.allowed, case.emptied);
    net.run(TICK * 30);
    let mut reached = Vec::new();
    for n in 0..6 {
        let (_, mut decided) = net.acquire(n % 2, 0, Duration::from_mins(5));
        net.run(TICK * 4);
        reached.extend(granted(&mut decided).map(|r| r.to_string()));
    }
    reached.sort_unstable();
    reached.dedup();
    assert_eq!(reached, case.reached);
}

/// No region that an organisation may use has a replica, or its only zone is emptied: the request is
/// refused and not sent elsewhere.
#[parameterized(
    no_replica_there = { Placement { allowed: &["elsewhere"], emptied: &[], reached: &[] } },
    emptied_there = { Placement { allowed: &["s"], emptied: &["y"], reached: &[] } },
)]
fn a_request_that_no_replica_may_serve_is_refused(case: Placement) {
    let mut net = Net::new(2, 1);
    net.publish_placement(2, case.allowed, case.emptied);
    net.run(TICK * 30);
    let (_, mut decided) = net.acquire(0, 0, Duration::from_mins(5));
    net.run(TICK * 4);
    let refusal = decided
        .try_recv()
        .expect("a decision")
        .expect_err("refused");
    assert_eq!(refusal.kind, RefusalKind::Unavailable);
}
