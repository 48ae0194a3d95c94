//! One stream, the two instances that may relay it, and a store in which software versions come and go.
//!
//! Instances read the store late, list it without what came and went in between, start anew, lose messages,
//! and tell each other their history. The caller takes the stream up at either of them, as often as it likes.

use std::time::Duration;

use kingcupfield_decisions::id::{NameHash, StreamKey};
use kingcupfield_decisions::software_versions::{StreamOrigin, VersionHistory};
use kingcupfield_decisions::stream_records::StreamRecords;
use tokio::time::Instant;

use crate::Model;

/// Time that passes at once.
const STEP: Duration = Duration::from_secs(15);

/// Time for which the caller takes the stream up: twice the longest timeout of callers.
const CALLER_TIME: Duration = Duration::from_secs(30);

/// Time for which replicas serve on after their entries were removed.
const TIME_AFTER_REMOVAL: Duration = Duration::from_secs(30);

/// Number of instances.
const INSTANCES: usize = 2;

/// Number of software versions.
const VERSIONS: usize = 2;

const SERVICE: NameHash = 7;
const KEY: StreamKey = 1;

/// A safeguard that is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// Everything as designed.
    Whole,
    /// An instance that knows one version doesn't ask the store.
    AsksNobody,
    /// A list counts as if nothing had come and gone before it.
    TrustsLists,
    /// A version that is gone is forgotten at once.
    ForgetsGoneVersions,
    /// An instance that starts anew believes that it has missed nothing.
    ForgetsItsRestart,
    /// The history of another instance is taken although that one has seen less.
    TakesOldHistories,
    /// A stream that is not recorded is taken for one of the present version.
    Guesses,
}

/// How often something may happen in one world.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Versions that are published or removed.
    pub changes: usize,
    /// Restarts, and lists in place of changes, together.
    pub faults: usize,
    /// Steps of time.
    pub steps: usize,
}

/// What may happen.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// The replicas of a version are published, or removed if they were.
    Change(usize),
    /// An instance reads what has changed.
    Watch(usize),
    /// An instance lists the store.
    List(usize),
    /// An instance is killed and starts anew.
    Restart(usize),
    /// An instance begins the stream at a version.
    Begin(usize, usize),
    /// The announcement of the stream arrives at an instance.
    Announce(usize),
    /// An instance gets the history of the other one.
    GetHistory(usize),
    /// The caller takes the stream up at an instance.
    TakeUp {
        /// The instance.
        at: usize,
        /// Whether the instances reach the store.
        reaches_store: bool,
        /// Whether it reaches the other instance.
        reaches_other: bool,
    },
    /// Time passes.
    Pass,
}

/// What one instance knows.
#[derive(Debug, Clone)]
struct Instance {
    /// Number of changes that it has seen.
    seen: usize,
    /// Versions that it believes to be present.
    present: [bool; VERSIONS],
    /// Number of changes of which it may have missed some.
    missed_up_to: usize,
    history: VersionHistory,
    records: StreamRecords,
    has_listed: bool,
}

impl Instance {
    fn starting(now: Instant) -> Self {
        Self {
            seen: 0,
            present: [false; VERSIONS],
            missed_up_to: 0,
            history: VersionHistory::new(now),
            records: StreamRecords::new(),
            has_listed: false,
        }
    }

    fn set_present(&mut self, now: Instant, version: usize, is_present: bool) {
        if self.present[version] == is_present {
            return;
        }
        self.present[version] = is_present;
        let origin = Some(origin(version));
        let (before, after) = if is_present {
            (None, origin)
        } else {
            (origin, None)
        };
        self.history.on_replica(now, before, after);
    }
}

/// The world of one stream.
#[derive(Debug, Clone)]
pub struct VersionModel {
    variant: Variant,
    bounds: Bounds,
    now: Instant,
    /// The changes of the store: the version that was published or removed.
    changes: Vec<usize>,
    /// When each version was last removed.
    removed_at: [Option<Instant>; VERSIONS],
    instances: [Instance; INSTANCES],
    /// The version at which the stream began, and when.
    begun: Option<(usize, Instant)>,
    /// Whether the stream was announced.
    is_announced: bool,
    /// Whether the stream went on at another version.
    is_mixed: bool,
}

impl VersionModel {
    /// Creates the world in which the first version serves, all have seen it, and the fleet has just started.
    pub fn new(variant: Variant, bounds: Bounds) -> Self {
        let now = Instant::now() + Duration::from_hours(1);
        let mut model = Self {
            variant,
            bounds,
            now,
            changes: vec![0],
            removed_at: [None; VERSIONS],
            instances: std::array::from_fn(|_| Instance::starting(now)),
            begun: None,
            is_announced: false,
            is_mixed: false,
        };
        for at in 0..INSTANCES {
            model.instances[at].history = VersionHistory::new(now).with_first_start();
            model.instances[at].has_listed = true;
            model.watch(at);
        }
        model
    }

    /// Whether the store has a version after so many changes.
    fn has_version(&self, version: usize, changes: usize) -> bool {
        let of_version = self.changes[..changes].iter().filter(|v| **v == version);
        of_version.count() % 2 == 1
    }

    /// Whether replicas of a version serve.
    fn serves(&self, version: usize) -> bool {
        let serves_on =
            self.removed_at[version].is_some_and(|at| self.now < at + TIME_AFTER_REMOVAL);
        serves_on || self.has_version(version, self.changes.len())
    }

    /// An instance reads the changes one by one.
    fn watch(&mut self, at: usize) {
        for seen in self.instances[at].seen..self.changes.len() {
            let version = self.changes[seen];
            let is_present = self.has_version(version, seen + 1);
            self.instances[at].set_present(self.now, version, is_present);
        }
        self.instances[at].seen = self.changes.len();
    }

    /// An instance reads only what is there now.
    fn list(&mut self, at: usize) {
        let changes = self.changes.len();
        for version in 0..VERSIONS {
            let is_present = self.has_version(version, changes);
            self.instances[at].set_present(self.now, version, is_present);
        }
        let instance = &mut self.instances[at];
        instance.seen = changes;
        instance.has_listed = true;
        if self.variant != Variant::TrustsLists {
            instance.history.on_missed_changes(self.now);
            instance.missed_up_to = changes;
        }
    }

    fn restart(&mut self, at: usize) {
        self.instances[at] = Instance::starting(self.now);
        self.list(at);
        if self.variant == Variant::ForgetsItsRestart {
            let mut instance = Instance::starting(self.now);
            instance.history = VersionHistory::new(self.now).with_first_start();
            instance.seen = self.changes.len();
            instance.has_listed = true;
            self.instances[at] = instance;
            for version in 0..VERSIONS {
                let is_present = self.has_version(version, self.changes.len());
                self.instances[at].set_present(self.now, version, is_present);
            }
        }
    }

    fn begin(&mut self, at: usize, version: usize) {
        self.begun = Some((version, self.now));
        let is_sole = self.sole_version(at).is_some();
        let instance = &mut self.instances[at];
        instance.records.begin(self.now, KEY, origin(version));
        self.is_announced = !is_sole;
    }

    fn get_history(&mut self, at: usize) {
        let other = &self.instances[1 - at];
        let report = other.history.report(self.now);
        let covers = other.seen >= self.instances[at].missed_up_to;
        if covers || self.variant == Variant::TakesOldHistories {
            self.instances[at].history.add(self.now, &report);
        }
    }

    fn sole_version(&self, at: usize) -> Option<NameHash> {
        let instance = &self.instances[at];
        if matches!(
            self.variant,
            Variant::ForgetsGoneVersions | Variant::Guesses
        ) {
            let mut present = (0..VERSIONS).filter(|v| instance.present[*v]);
            let version = present.next()?;
            let is_alone = present.next().is_none() || self.variant == Variant::Guesses;
            let is_known = instance.history.is_complete(self.now);
            return (is_alone && is_known).then(|| origin(version).version);
        }
        instance.history.sole_version(self.now, SERVICE)
    }

    /// The origin that an instance concludes from a sole version.
    fn confirmed(&mut self, at: usize, reaches_store: bool) -> Option<NameHash> {
        self.sole_version(at)?;
        if self.variant == Variant::AsksNobody {
            return self.sole_version(at);
        }
        if !reaches_store {
            return None;
        }
        self.watch(at);
        self.sole_version(at)
    }

    /// The version at which an instance goes on with the stream; `None` if it refuses.
    fn find_out(
        &mut self,
        at: usize,
        reaches_store: bool,
        reaches_other: bool,
    ) -> Option<NameHash> {
        let mut answers = vec![at];
        if reaches_other {
            answers.push(1 - at);
        }
        answers.into_iter().find_map(|by| {
            let recorded = self.instances[by].records.origin(KEY);
            recorded
                .map(|origin| origin.version)
                .or_else(|| self.confirmed(by, reaches_store))
        })
    }
}

impl Model for VersionModel {
    type Action = Action;

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.bounds.changes > 0 {
            actions.extend((0..VERSIONS).map(Action::Change));
        }
        if self.bounds.steps > 0 {
            actions.push(Action::Pass);
        }
        let takes_up = self
            .begun
            .is_some_and(|(_, at)| self.now < at + CALLER_TIME);
        for (at, instance) in self.instances.iter().enumerate() {
            if instance.seen < self.changes.len() {
                actions.push(Action::Watch(at));
            }
            if self.bounds.faults > 0 {
                actions.extend([Action::List(at), Action::Restart(at)]);
            }
            if self.begun.is_none() {
                let serves = |v: &usize| instance.present[*v] && self.serves(*v);
                let present = (0..VERSIONS).filter(serves);
                actions.extend(present.map(|v| Action::Begin(at, v)));
            }
            if self.is_announced && instance.records.is_empty() {
                actions.push(Action::Announce(at));
            }
            if !instance.history.is_complete(self.now) {
                actions.push(Action::GetHistory(at));
            }
            if takes_up {
                for (reaches_store, reaches_other) in
                    [(true, true), (true, false), (false, true), (false, false)]
                {
                    actions.push(Action::TakeUp {
                        at,
                        reaches_store,
                        reaches_other,
                    });
                }
            }
        }
        actions
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Change(version) => {
                self.bounds.changes -= 1;
                self.changes.push(*version);
                if !self.has_version(*version, self.changes.len()) {
                    self.removed_at[*version] = Some(self.now);
                }
            }
            Action::Watch(at) => self.watch(*at),
            Action::List(at) => {
                self.bounds.faults -= 1;
                self.list(*at);
            }
            Action::Restart(at) => {
                self.bounds.faults -= 1;
                self.restart(*at);
            }
            Action::Begin(at, version) => self.begin(*at, *version),
            Action::Announce(at) => {
                let (version, _) = self.begun.expect("an announced stream has begun");
                let records = &mut self.instances[*at].records;
                records.learn(self.now, KEY, origin(version));
            }
            Action::GetHistory(at) => self.get_history(*at),
            Action::TakeUp {
                at,
                reaches_store,
                reaches_other,
            } => {
                let (begun, _) = self.begun.expect("only a begun stream is taken up");
                let found = self.find_out(*at, *reaches_store, *reaches_other);
                self.is_mixed |= found.is_some_and(|v| v != origin(begun).version);
            }
            Action::Pass => {
                self.bounds.steps -= 1;
                self.now += STEP;
            }
        }
    }

    fn broken(&self) -> Option<&'static str> {
        self.is_mixed
            .then_some("a stream goes on only at the software version that began it")
    }
}

fn origin(version: usize) -> StreamOrigin {
    StreamOrigin {
        service: SERVICE,
        version: version as NameHash + 1,
    }
}
