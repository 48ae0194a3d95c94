//! The limits service: spends leased quotas, and leases those that this instance owns.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use kingcupfield_decisions::id::{InstanceId, OrganisationId, Tokens, ZoneId};
use kingcupfield_decisions::limits::{
    LimitMember, LimitOwner, LimitReached, Quota, ToLimitMember, ToLimitOwner, ZoneShare,
};
use kingcupfield_decisions::ownership::owner;
use kingcupfield_decisions::retries::{RetryBudget, RetryBudgetSpent};
use kingcupfield_decisions::values::Role;
use serde_json::{Value, json};
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::fleet::{Fleet, Snapshot};
use crate::members::{Members, View};
use crate::message::PeerMessage;
use crate::peers::Peers;

/// Name of the service in the kernel.
pub const LIMITS: &str = "limits";

/// How often due asks go out.
const TICK: Duration = Duration::from_millis(100);

/// An owned limit that nobody asked for in this time is forgotten.
const OWNER_IDLE: Duration = Duration::from_secs(30);

/// An admitted request; dropped, it ends and its charge is corrected to what it used.
#[derive(Debug)]
pub struct Admission {
    limits: Limits,
    organisation: OrganisationId,
    charged: Tokens,
    used: Tokens,
}

impl Admission {
    /// Sets what the request used; nothing, unless it ran.
    pub fn set_used(&mut self, used: Tokens) {
        self.used = used;
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        let mut state = self.limits.lock();
        state
            .member
            .finish(&self.organisation, self.charged, self.used);
    }
}

#[derive(Debug)]
struct Owned {
    organisation: OrganisationId,
    owner: LimitOwner,
    asked: Instant,
}

#[derive(Debug)]
struct State {
    member: LimitMember,
    budget: RetryBudget,
    owned: Vec<Owned>,
    part: ZoneShare,
    listed: u32,
    reachable: u32,
    snapshot: Arc<Snapshot>,
    view: Arc<View>,
}

/// Handle of the service; clones share it.
#[derive(Debug, Clone)]
pub struct Limits {
    me: InstanceId,
    zone: ZoneId,
    state: Arc<Mutex<State>>,
}

impl Limits {
    /// Makes the service of instance `me` in `zone`.
    pub fn new(me: InstanceId, zone: ZoneId) -> Self {
        let state = State {
            member: LimitMember::new(ZoneShare::SINGLE_ZONE, 0, 1),
            budget: RetryBudget::new(),
            owned: Vec::new(),
            part: ZoneShare::SINGLE_ZONE,
            listed: 1,
            reachable: 1,
            snapshot: Arc::default(),
            view: Arc::default(),
        };
        Self {
            me,
            zone,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Admits a request that is expected to use `tokens`, or says when to come back.
    pub fn enter(
        &self,
        organisation: &OrganisationId,
        tokens: Tokens,
    ) -> Result<Admission, LimitReached> {
        self.lock()
            .member
            .admit(Instant::now(), organisation, tokens)?;
        Ok(Admission {
            limits: self.clone(),
            organisation: organisation.clone(),
            charged: tokens,
            used: 0,
        })
    }

    /// Admits an attempt of a caller that may be retrying.
    pub fn admit_attempt(
        &self,
        organisation: &OrganisationId,
        attempt: u32,
    ) -> Result<(), RetryBudgetSpent> {
        self.lock()
            .budget
            .admit(Instant::now(), organisation, attempt)
    }

    /// Answers a peer that asks for a quota.
    pub fn on_ask(&self, from: &InstanceId, message: &ToLimitOwner) -> Option<ToLimitMember> {
        self.lock().on_ask(Instant::now(), from, message)
    }

    /// Takes a quota that a peer leased.
    pub fn on_lease(&self, message: &ToLimitMember) {
        self.lock().member.on_message(Instant::now(), message);
    }

    /// State for the dump.
    pub fn dump(&self) -> Value {
        let state = self.lock();
        let running = state.snapshot.table.organisations.iter().filter_map(|o| {
            let running = state.member.running(&o.organisation);
            (running > 0).then(|| json!({"organisation": &*o.organisation, "running": running}))
        });
        let running: Vec<Value> = running.collect();
        let owned: Vec<&str> = state.owned.iter().map(|o| &*o.organisation).collect();
        json!({"zone": state.part.zone, "zones": state.part.zones, "running": running, "owned": owned})
    }

    /// Task of the service: follows fleet and membership, and sends the asks that are due.
    pub async fn run(self, fleet: Fleet, members: Members, peers: Peers) {
        let mut fleet = fleet.watch();
        let mut view = members.watch();
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.on_change(
            fleet.borrow_and_update().clone(),
            view.borrow_and_update().clone(),
        );
        loop {
            tokio::select! {
                _ = ticks.tick() => self.on_tick(&peers),
                Ok(()) = fleet.changed() => {
                    self.on_change(fleet.borrow_and_update().clone(), view.borrow().clone());
                }
                Ok(()) = view.changed() => {
                    self.on_change(fleet.borrow().clone(), view.borrow_and_update().clone());
                }
            }
        }
    }

    fn on_tick(&self, peers: &Peers) {
        let now = Instant::now();
        let mut state = self.lock();
        state
            .owned
            .retain(|o| now.duration_since(o.asked) < OWNER_IDLE);
        for ask in state.member.on_tick(now) {
            let ToLimitOwner::Ask { organisation, .. } = &ask;
            let key = owner_key(organisation);
            let owner = owner(&key, state.view.live(&self.zone)).cloned();
            match owner {
                Some(to) if to != self.me => peers.send(&to, PeerMessage::ToLimitOwner(ask)),
                _ => {
                    let lease = state.on_ask(now, &self.me, &ask);
                    if let Some(lease) = lease {
                        state.member.on_message(now, &lease);
                    }
                }
            }
        }
    }

    fn on_change(&self, snapshot: Arc<Snapshot>, view: Arc<View>) {
        let now = Instant::now();
        let mut state = self.lock();
        let entries = || {
            snapshot
                .instances
                .instances
                .iter()
                .filter(|i| i.role == Role::Entry)
        };
        let mut zones: Vec<&ZoneId> = entries().map(|i| &i.availability_zone).collect();
        zones.sort();
        zones.dedup();
        let mut listed: Vec<InstanceId> = entries()
            .filter(|i| i.availability_zone == self.zone)
            .map(|i| i.instance.clone())
            .collect();
        listed.sort();
        let zone = zones.binary_search(&&self.zone).unwrap_or(0) as u32;
        state.part = ZoneShare {
            zone,
            zones: zones.len().max(1) as u32,
        };
        state.listed = listed.len().max(1) as u32;
        let part = state.part;
        state.member.set_zone(part, &self.me, &listed);
        state.member.set_limits(now, &snapshot.table.organisations);
        state.snapshot = snapshot;
        state.view = view;
        state.refresh_owned(&self.zone);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the limits panics")
    }
}

impl State {
    fn on_ask(
        &mut self,
        now: Instant,
        from: &InstanceId,
        message: &ToLimitOwner,
    ) -> Option<ToLimitMember> {
        let ToLimitOwner::Ask { organisation, .. } = message;
        let quota = self.share_of(organisation)?;
        let at = match self
            .owned
            .binary_search_by(|o| o.organisation.cmp(organisation))
        {
            Ok(at) => at,
            Err(at) => {
                let mut owner = LimitOwner::new(now, quota, self.listed);
                owner.set_instances(self.listed, self.reachable);
                let organisation = organisation.clone();
                self.owned.insert(
                    at,
                    Owned {
                        organisation,
                        owner,
                        asked: now,
                    },
                );
                at
            }
        };
        self.owned[at].asked = now;
        self.owned[at].owner.on_message(now, from, message)
    }

    fn refresh_owned(&mut self, zone: &ZoneId) {
        self.reachable = self.view.live(zone).len() as u32;
        let shares: Vec<Option<Quota>> = self
            .owned
            .iter()
            .map(|o| self.share_of(&o.organisation))
            .collect();
        for (owned, share) in self.owned.iter_mut().zip(shares) {
            owned.owner.set_instances(self.listed, self.reachable);
            owned.owner.set_share(share.unwrap_or_default());
        }
    }

    /// The zone's share of an organisation's limits.
    fn share_of(&self, organisation: &OrganisationId) -> Option<Quota> {
        let row = self.snapshot.table.organisation(organisation)?;
        let fleet = Quota {
            requests_per_s: row.requests_per_s,
            tokens_per_s: row.tokens_per_s,
            running: row.max_running,
        };
        Some(self.part.zone_quota(organisation, &fleet))
    }
}

fn owner_key(organisation: &OrganisationId) -> String {
    format!("limit/{organisation}")
}
