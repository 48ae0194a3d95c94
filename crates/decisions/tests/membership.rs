//! What instances know of each other while some crash, pause, leave or are cut off.

use std::sync::Arc;
use std::time::Duration;

use kingcupfield_decisions::id::InstanceId;
use kingcupfield_decisions::membership::{
    Claim, DEAD_AFTER, HEARTBEAT_INTERVAL, Health, InstanceStatus, LeavingUpstream, Membership,
    MembershipMessage, PLATFORM_READERS_PER_ZONE, SUSPECT_AFTER,
};
use kingcupfield_decisions::values::{Instance, Instances, Role, State};
use tokio::time::Instant;
use yare::parameterized;

const STEP: Duration = Duration::from_millis(50);

fn id(zone: &str, n: usize) -> InstanceId {
    format!("{zone}-{n:03}").into()
}

fn row(instance: &str, role: Role, zone: &str, state: State) -> Instance {
    Instance {
        instance: instance.into(),
        role,
        availability_zone: zone.into(),
        region: "r".into(),
        address: "127.0.0.1:1".into(),
        rpc_address: None,
        service: None,
        generation: None,
        state,
    }
}

/// Instances whose messages arrive one step after they were sent, unless one side is cut or down.
struct Fleet {
    now: Instant,
    members: Vec<(InstanceId, Membership)>,
    mail: Vec<(InstanceId, InstanceId, MembershipMessage)>,
    down: Vec<InstanceId>,
    cut: Vec<InstanceId>,
    sent: usize,
}

impl Fleet {
    fn new(zones: &[(&str, usize)]) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            now,
            members: Vec::new(),
            mail: Vec::new(),
            down: Vec::new(),
            cut: Vec::new(),
            sent: 0,
        };
        for (zone, count) in zones {
            for n in 0..*count {
                let id = id(zone, n);
                let membership = Membership::new(Arc::clone(&id), 1, (*zone).into(), now);
                fleet.members.push((id, membership));
            }
        }
        let list = fleet.list(|_| State::Live);
        fleet.publish(1, &list);
        fleet.run(Duration::from_secs(3));
        fleet
    }

    fn list<F>(&self, state: F) -> Instances
    where
        F: Fn(&str) -> State,
    {
        let mut rows = self
            .members
            .iter()
            .map(|(id, _)| row(id, Role::Entry, id.split('-').next().unwrap(), state(id)))
            .collect::<Vec<_>>();
        rows.push(row("u1", Role::Upstream, "a", state("u1")));
        Instances { instances: rows }
    }

    fn publish(&mut self, version: u64, list: &Instances) {
        for i in 0..self.members.len() {
            let now = self.now;
            let sends = self.members[i].1.on_instance_list(now, version, list);
            self.post(i, sends);
        }
    }

    fn post(&mut self, from: usize, sends: Vec<kingcupfield_decisions::membership::Envelope>) {
        let from = Arc::clone(&self.members[from].0);
        self.sent += sends.len();
        let mail = sends
            .into_iter()
            .map(|s| (Arc::clone(&from), s.to, s.message));
        self.mail.extend(mail);
    }

    fn of(&mut self, id: &str) -> &mut Membership {
        let (_, membership) = self.members.iter_mut().find(|(m, _)| **m == *id).unwrap();
        membership
    }

    fn step(&mut self) {
        self.now += STEP;
        for (from, to, message) in std::mem::take(&mut self.mail) {
            let apart = self.cut.contains(&from) != self.cut.contains(&to);
            if apart || self.down.contains(&to) || self.down.contains(&from) {
                continue;
            }
            let Some(i) = self.members.iter().position(|(m, _)| *m == to) else {
                continue;
            };
            let sends = self.members[i].1.on_message(self.now, &from, &message);
            self.post(i, sends);
        }
        for i in 0..self.members.len() {
            if !self.down.contains(&self.members[i].0) {
                let sends = self.members[i].1.on_tick(self.now);
                self.post(i, sends);
            }
        }
    }

    fn run(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / STEP.as_millis() {
            self.step();
        }
    }

    /// Steps until every instance that is up agrees; panics after a minute of virtual time.
    fn until<F>(&mut self, holds: F) -> Duration
    where
        F: Fn(&Membership) -> bool,
    {
        let start = self.now;
        while !self
            .members
            .iter()
            .all(|(m, s)| self.down.contains(m) || holds(s))
        {
            self.step();
            assert!(self.now - start < Duration::from_mins(1), "never agreed");
        }
        self.now - start
    }
}

/// A process is killed while the list still names it. Callers whose requests wait at its queues
/// would wait for the list; peers must notice within seconds.
#[parameterized(one_zone = { 7 }, target_size = { 66 })]
fn a_dead_instance_is_noticed_by_its_whole_zone(size: usize) {
    let mut fleet = Fleet::new(&[("a", size)]);
    let dead = id("a", 3);
    fleet.down.push(Arc::clone(&dead));
    let took = fleet.until(|m| m.status(&dead) == Some(InstanceStatus::Dead));
    assert!(
        took <= SUSPECT_AFTER + DEAD_AFTER + HEARTBEAT_INTERVAL + STEP * 8,
        "{took:?}"
    );
    fleet.run(Duration::from_secs(5));
    for (m, membership) in &fleet.members {
        let wrong = fleet
            .members
            .iter()
            .find(|(p, _)| *p != dead && membership.status(p) != Some(InstanceStatus::Live));
        assert!(
            *m == dead || wrong.is_none(),
            "{m} holds {:?} dead",
            wrong.map(|w| &w.0)
        );
    }
}

/// A process is stopped for five seconds and wakes: the others held it dead, and to it all the
/// others look silent. It must come back by itself and must not declare its zone dead.
#[test]
fn a_paused_instance_comes_back_and_blames_nobody() {
    let mut fleet = Fleet::new(&[("a", 5)]);
    let paused = id("a", 2);
    fleet.down.push(Arc::clone(&paused));
    fleet.until(|m| m.status(&paused) == Some(InstanceStatus::Dead));
    fleet.run(Duration::from_secs(5));
    fleet.down.clear();
    fleet.step();
    assert_eq!(
        fleet.of("a-002").live_instances("a").len(),
        5,
        "it blames nobody"
    );
    let took = fleet.until(|m| m.live_instances("a").len() == 5);
    assert!(took < Duration::from_secs(5), "{took:?}");
}

/// An instance is killed and started anew under its name. It is another one: keys and slots of
/// its former life must not be taken for its own.
#[test]
fn a_restarted_instance_has_a_new_incarnation_everywhere() {
    let mut fleet = Fleet::new(&[("a", 7)]);
    let now = fleet.now;
    let restarted = id("a", 3);
    *fleet.of("a-003") = Membership::new(Arc::clone(&restarted), 2, "a".into(), now);
    let list = fleet.list(|_| State::Live);
    fleet.publish(2, &list);
    fleet.until(|m| m.incarnation("a-003") == Some(2));
    fleet.run(Duration::from_secs(5));
    assert!(
        fleet
            .members
            .iter()
            .all(|(_, m)| m.live_instances("a").len() == 7)
    );
    let claim = Claim {
        instance: restarted,
        zone: "a".into(),
        incarnation: 3,
        revision: 0,
        health: Health::Live,
        leaving: false,
    };
    fleet
        .of("a-003")
        .on_message(now, &id("a", 1), &MembershipMessage::Alive(claim));
    assert!(fleet.of("a-003").is_superseded());
}

/// The platform restarts and serves an empty or shortened list. The instances still hear each
/// other, so nothing may change for callers.
#[parameterized(empty = { 0 }, one_left = { 1 })]
fn a_list_that_lost_instances_changes_nothing(left: usize) {
    let mut fleet = Fleet::new(&[("a", 5)]);
    let mut list = fleet.list(|_| State::Live);
    list.instances.truncate(left);
    fleet.publish(2, &list);
    fleet.run(Duration::from_secs(10));
    assert!(
        fleet
            .members
            .iter()
            .all(|(_, m)| m.live_instances("a").len() == 5)
    );
}

/// The list is stale and still names an instance that is long gone.
#[test]
fn a_stale_list_does_not_revive_the_dead() {
    let mut fleet = Fleet::new(&[("a", 5)]);
    let dead = id("a", 1);
    fleet.down.push(Arc::clone(&dead));
    fleet.until(|m| m.status(&dead) == Some(InstanceStatus::Dead));
    let list = fleet.list(|_| State::Live);
    fleet.publish(2, &list);
    fleet.run(Duration::from_secs(10));
    let up = fleet.members.iter().filter(|(m, _)| *m != dead);
    assert!(
        up.into_iter()
            .all(|(_, m)| m.live_instances("a").len() == 4)
    );
}

/// A zone is cut from the others for a while. Each side goes on with its own instances, and after
/// the cut both find together without the list's help, and without losing anybody of its own.
#[test]
fn zones_go_on_alone_when_cut_and_find_together_again() {
    let mut fleet = Fleet::new(&[("a", 3), ("b", 2), ("c", 2)]);
    fleet.cut = vec![id("a", 0), id("a", 1), id("a", 2)];
    fleet.run(Duration::from_secs(20));
    assert!(
        fleet.of("a-000").live_instances("a").len() == 3
            && fleet.of("b-000").live_instances("b").len() == 2
    );
    assert!(
        fleet.of("a-000").live_instances("b").is_empty(),
        "nobody of zone b is heard"
    );
    assert_eq!(fleet.of("b-000").live_instances("c").len(), 2);
    fleet.cut.clear();
    let zones = [("a", 3), ("b", 2), ("c", 2)];
    let joined = |m: &Membership| zones.iter().all(|(z, n)| m.live_instances(z).len() == *n);
    while !fleet.members.iter().all(|(_, m)| joined(m)) {
        fleet.step();
        // The other side held these dead; a call that waits on one of them must not be given up.
        for (id, membership) in &fleet.members {
            let (zone, count) = zones.iter().find(|(z, _)| id.starts_with(z)).unwrap();
            assert_eq!(
                membership.live_instances(zone).len(),
                *count,
                "{id} lost its own zone"
            );
        }
    }
}

/// An instance is told to stop while load runs. Its peers must send it no new reservations though
/// the list still calls it live, and a late message must not bring it back.
#[test]
fn a_leaving_word_reaches_everybody_and_stays() {
    let mut fleet = Fleet::new(&[("a", 66)]);
    let sends = fleet.members[7].1.leave();
    fleet.post(7, sends);
    let took = fleet.until(|m| m.status("a-007") == Some(InstanceStatus::Leaving));
    assert!(took <= Duration::from_secs(1), "{took:?}");
    let list = fleet.list(|_| State::Live);
    fleet.publish(2, &list);
    fleet.run(Duration::from_secs(5));
    assert!(
        fleet
            .members
            .iter()
            .all(|(_, m)| m.live_instances("a").len() == 65)
    );
    assert!(!fleet.of("a-007").reads_platform());
}

/// The platform is down and a replica says by itself that it leaves. Every instance must hear
/// it, and the stale list must not send it new work until a later one shows it back.
#[test]
fn an_upstreams_own_word_spreads_and_ends_with_a_later_list() {
    let mut fleet = Fleet::new(&[("a", 7), ("b", 2)]);
    let now = fleet.now;
    let sends = fleet.members[3].1.on_upstream_leaving(now, &"u1".into());
    fleet.post(3, sends);
    let took = fleet.until(|m| m.leaving_upstreams().len() == 1);
    assert!(took <= Duration::from_secs(3), "{took:?}");
    for (version, state, leaving) in [
        (2, State::Live, 1),
        (3, State::Leaving, 1),
        (4, State::Live, 0),
    ] {
        let list = fleet.list(|i| if i == "u1" { state } else { State::Live });
        fleet.publish(version, &list);
        fleet.run(Duration::from_secs(1));
        let agreed = fleet
            .members
            .iter()
            .all(|(_, m)| m.leaving_upstreams().len() == leaving);
        assert!(agreed, "version {version}");
    }
    let late = MembershipMessage::LeavingUpstream(LeavingUpstream {
        upstream: "u1".into(),
        seen_at: 1,
    });
    let now = fleet.now;
    fleet.of("a-000").on_message(now, &id("a", 1), &late);
    assert!(
        fleet.of("a-000").leaving_upstreams().is_empty(),
        "a late word revives nothing"
    );
}

/// A replica's leaving word is never confirmed, as the platform was down while it restarted.
#[test]
fn an_unconfirmed_leaving_word_ends() {
    let mut fleet = Fleet::new(&[("a", 3)]);
    let now = fleet.now;
    let sends = fleet.members[0].1.on_upstream_leaving(now, &"u1".into());
    fleet.post(0, sends);
    fleet.run(Duration::from_mins(9));
    assert!(
        fleet
            .members
            .iter()
            .all(|(_, m)| m.leaving_upstreams().len() == 1)
    );
    fleet.run(Duration::from_mins(2));
    assert!(
        fleet
            .members
            .iter()
            .all(|(_, m)| m.leaving_upstreams().is_empty())
    );
}

#[test]
fn a_few_instances_read_the_platform_and_messages_stay_few() {
    let mut fleet = Fleet::new(&[("a", 66)]);
    let readers = fleet
        .members
        .iter()
        .filter(|(_, m)| m.reads_platform())
        .count();
    assert_eq!(readers, PLATFORM_READERS_PER_ZONE);
    fleet.sent = 0;
    fleet.run(Duration::from_secs(10));
    let each = fleet.sent as f64 / 660.0;
    assert!(each < 13.0, "{each} messages a second for each instance");
}

#[test]
fn unknown_instances_cannot_fill_the_memory() {
    let now = Instant::now();
    let mut membership = Membership::new("a-000".into(), 1, "a".into(), now);
    for n in 0..5000 {
        let from = id("a", n + 1);
        let own = Claim {
            instance: Arc::clone(&from),
            zone: "a".into(),
            incarnation: 1,
            revision: 0,
            health: Health::Live,
            leaving: false,
        };
        membership.on_message(now, &from, &MembershipMessage::Alive(own));
    }
    assert_eq!(membership.live_instances("a").len(), 1025);
}

#[parameterized(
    empty = { "" },
    unknown = { r#"{"shout":1}"# },
    no_claim = { r#"{"suspect":{}}"# },
    extra = { r#"{"alive":{"instance":"a","zone":"z","incarnation":1,"word":0,"health":"live","leaving":false,"x":1}}"# },
    negative = { r#"{"alive":{"instance":"a","zone":"z","incarnation":-1,"word":0,"health":"live","leaving":false}}"# },
    huge = { r#"{"alive":{"instance":"a","zone":"z","incarnation":1,"word":99999999999999999999,"health":"live","leaving":false}}"# },
    health = { r#"{"alive":{"instance":"a","zone":"z","incarnation":1,"word":0,"health":"well","leaving":false}}"# },
    cut = { r#"{"heartbeat":{"own":{"instance""# },
)]
fn malformed_messages_are_refused_by_the_decoder(text: &str) {
    assert!(serde_json::from_str::<MembershipMessage>(text).is_err());
}
