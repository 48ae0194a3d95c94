//! Which requests are refused because replicas crash of them.
//!
//! Load pattern: a request, or each request with a certain part in its prompt, crashes each replica that
//! begins to answer it. Such requests come to all instances. To every instance each is a new request, and to
//! every replica a first one. Without a memory of what crashed requests have in common, a few of them keep a
//! service down.
//!
//! A crash makes a suspect of everything that the replica was running. A response that is completed later
//! clears the suspects that its request has in common with them, so that only what is never completed and
//! was running in several crashes recurs. Only crashes of requests that were sent after the crash before
//! count, as many replicas that fail together have another cause.
//!
//! What sound requests share may recur as well for a while, beside what crashes the replicas. A request is
//! therefore refused only if it has all recurring suspects of several crashes, so that the cause is among
//! them whichever it is. Those whose responses had been arriving for a while count only if there are no
//! others, as most causes act when a response begins.
//!
//! A quarantine ends by itself. From time to time an instance sends one request of the quarantined kind;
//! if it is completed, the quarantine is over everywhere, and if it crashes the replica, the next one waits
//! for twice as long.

mod evidence;
mod record;

use std::time::Duration;

use tokio::time::Instant;

use crate::fingerprint::Fingerprint;
use crate::id::{InstanceAddress, NameHash};
use crate::stream_records::weight;

use record::Record;

/// Crashes, one after the other and without a completion since the first of them, from which on a suspect
/// that was running in all of them recurs.
pub const CRASHES_TO_RECUR: usize = 3;

/// Time for which a response arrives after which its request is not among those that crash a replica when it
/// begins to answer.
pub const LONG_RESPONSE: Duration = Duration::from_millis(300);

/// Time from the last crash to the first trial of what is quarantined.
pub const FIRST_TRIAL_AFTER: Duration = Duration::from_secs(20);

/// Longest time from a crash to the next trial.
pub const LONGEST_TRIAL_PAUSE: Duration = Duration::from_mins(16);

/// Time after which the next instance may begin a trial if the ones before it have not: longer than a response
/// mostly takes, so that its end is known.
pub const TRIAL_STAGGER: Duration = Duration::from_secs(2);

/// Time from the last crash after which a suspect is forgotten that does not recur.
const SUSPECT_MEMORY: Duration = Duration::from_mins(10);

/// Time from the last crash after which a quarantine is forgotten, if no request has come that could be
/// tried.
const QUARANTINE_MEMORY: Duration = Duration::from_mins(30);

/// Time for which a request on trial may run; afterwards another one is tried.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);

/// Most fingerprints that are remembered: those of 80 crashes of replicas that run a dozen requests each, with
/// four fingerprints a request. The ones whose last crash is longest ago are dropped first.
const MAX_RECORDS: usize = 4096;

/// One crash of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// Name hash of the replica.
    pub replica: NameHash,
    /// Start of the replica in Unix milliseconds, which distinguishes its incarnations.
    pub incarnation: u64,
    /// Time of the crash.
    pub at: Instant,
}

/// What requests that a crashed replica was running have in common with others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspect {
    /// Fingerprint of what they have in common.
    pub fingerprint: Fingerprint,
    /// Time from when the last of these requests was sent to the crash.
    pub ran_for: Duration,
    /// Whether the response to one of them had been arriving for [`LONG_RESPONSE`] before.
    pub has_written: bool,
}

/// A crash and what the replica was running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// The crash.
    pub crash: Crash,
    /// What its requests have in common with others.
    pub suspects: Vec<Suspect>,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quarantine {
    /// What the request has in common with those that crashed replicas.
    pub fingerprint: Fingerprint,
    /// Number of crashes that are remembered of it.
    pub crashes: usize,
    /// When the next trial is due.
    pub trial_at: Instant,
}

impl Quarantine {
    /// Whether an instance may begin the trial. The instances get their turns one after the other, ranked by
    /// a hash, as the first ones may not receive such a request.
    pub fn may_try(
        &self,
        now: Instant,
        own: InstanceAddress,
        others: impl Iterator<Item = InstanceAddress>,
    ) -> bool {
        if now < self.trial_at {
            return false;
        }
        let own_weight = weight(self.fingerprint, own);
        let before = others.filter(|other| weight(self.fingerprint, *other) < own_weight);
        now - self.trial_at >= TRIAL_STAGGER * before.count() as u32
    }
}

/// What is known of crashes and completions at one instance.
#[derive(Debug, Clone, Default)]
pub struct CrashSuspects {
    /// Sorted by fingerprint.
    records: Vec<Record>,
    /// Fingerprints of the records that recur, sorted.
    recurring: Vec<Fingerprint>,
}

impl CrashSuspects {
    /// Creates the state of an instance that knows of no crash.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of fingerprints that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is suspected, so that requests need no check.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records a crash; returns the suspects that recur from now on.
    pub fn on_crash(&mut self, report: &CrashReport) -> Vec<Fingerprint> {
        let mut begun = Vec::new();
        for suspect in &report.suspects {
            let fingerprint = suspect.fingerprint;
            let index = self.search(fingerprint).unwrap_or_else(|index| {
                self.records.insert(index, Record::new(fingerprint));
                index
            });
            self.records[index].on_crash(report.crash, suspect);
            if self.update_recurring(fingerprint) {
                begun.push(fingerprint);
            }
        }
        self.drop_excess();
        begun
    }

    /// Records that a request was completed; returns the suspects that this clears and that other instances
    /// have to know as cleared. Those of single crashes are not among them: after a crash of many replicas that
    /// would be most of what runs.
    pub fn on_completed(&mut self, at: Instant, fingerprints: &[Fingerprint]) -> Vec<Fingerprint> {
        let mut to_tell = Vec::new();
        for fingerprint in fingerprints {
            let Ok(index) = self.search(*fingerprint) else {
                continue;
            };
            let record = &mut self.records[index];
            let was_in_several = record.successive_crashes() > 1;
            if record.on_completed(at) {
                self.update_recurring(*fingerprint);
                if was_in_several {
                    to_tell.push(*fingerprint);
                }
            }
        }
        to_tell
    }

    /// Why a request must not be sent; `None` if it may.
    pub fn quarantine(&self, fingerprints: &[Fingerprint]) -> Option<Quarantine> {
        let all: Vec<&Record> = self.known(&self.recurring).collect();
        let mut of_request = all.clone();
        of_request.retain(|r| fingerprints.contains(&r.fingerprint));
        let main = of_request.iter().max_by_key(|r| r.crashes().len())?;
        if !evidence::suffices(&all, &of_request) {
            return None;
        }
        Some(Quarantine {
            fingerprint: main.fingerprint,
            crashes: main.crashes().len(),
            trial_at: main.trial_at()?,
        })
    }

    /// Whether one more crash might quarantine a request with these fingerprints.
    pub fn is_near_quarantine(&self, fingerprints: &[Fingerprint]) -> bool {
        self.known(fingerprints)
            .any(|record| record.successive_crashes() + 1 >= CRASHES_TO_RECUR)
    }

    /// Begins the trial of what is quarantined, if it is due; returns whether the request may be sent. An
    /// instance begins one only if [`Quarantine::may_try`] says so.
    pub fn begin_trial(&mut self, now: Instant, fingerprint: Fingerprint) -> bool {
        let Ok(index) = self.search(fingerprint) else {
            return true;
        };
        self.records[index].begin_trial(now)
    }

    /// The crashes of which other instances have to know: those with a suspect that was running in several.
    pub fn reports(&self) -> Vec<CrashReport> {
        reports_of(self.records.iter().filter(|r| r.crashes().len() > 1))
    }

    /// All crashes of some suspects. Told together, another instance learns their order, which messages that
    /// take different times would hide.
    pub fn history(&self, suspects: &[Fingerprint]) -> Vec<CrashReport> {
        reports_of(self.known(suspects))
    }

    /// What was cleared since a time, and when it was last completed.
    pub fn cleared_since(&self, since: Instant) -> Vec<(Fingerprint, Instant)> {
        let completed = self.records.iter();
        let completed = completed.filter_map(|r| Some((r.fingerprint, r.completed_at()?)));
        completed.filter(|(_, at)| *at >= since).collect()
    }

    /// The records of those fingerprints that are remembered.
    fn known(&self, fingerprints: &[Fingerprint]) -> impl Iterator<Item = &Record> {
        let indices = fingerprints.iter().filter_map(|f| self.search(*f).ok());
        indices.map(|index| &self.records[index])
    }

    /// Updates the list of what recurs after a change of a record; returns whether it recurs from now on.
    fn update_recurring(&mut self, fingerprint: Fingerprint) -> bool {
        let recurs = self.known(&[fingerprint]).any(Record::recurs);
        match self.recurring.binary_search(&fingerprint) {
            Ok(index) if !recurs => {
                self.recurring.remove(index);
                false
            }
            Err(index) if recurs => {
                self.recurring.insert(index, fingerprint);
                true
            }
            _ => false,
        }
    }

    /// Forgets what has not been heard of for long.
    pub fn expire(&mut self, now: Instant) {
        self.records.retain(|r| {
            let memory = if r.recurs() {
                QUARANTINE_MEMORY
            } else {
                SUSPECT_MEMORY
            };
            now.saturating_duration_since(r.heard_at()) < memory
        });
        let records = &self.records;
        self.recurring
            .retain(|f| records.binary_search_by_key(f, |r| r.fingerprint).is_ok());
    }

    /// Drops the records whose last crash is longest ago, if there are too many.
    fn drop_excess(&mut self) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        let mut heard_at: Vec<Instant> = self.records.iter().map(Record::heard_at).collect();
        let (_, oldest_kept, _) = heard_at.select_nth_unstable(MAX_RECORDS / 4);
        let oldest_kept = *oldest_kept;
        self.records
            .retain(|r| r.heard_at() > oldest_kept || r.recurs());
    }

    fn search(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.records
            .binary_search_by_key(&fingerprint, |r| r.fingerprint)
    }
}

/// The crashes of some records, with what of these was running there.
fn reports_of<'a>(records: impl Iterator<Item = &'a Record>) -> Vec<CrashReport> {
    let mut reports: Vec<CrashReport> = Vec::new();
    for record in records {
        for sighting in record.crashes() {
            let crash = sighting.crash;
            let suspect = Suspect {
                fingerprint: record.fingerprint,
                ran_for: crash.at.saturating_duration_since(sighting.sent_at),
                has_written: record.has_written(),
            };
            let key = |c: &Crash| (c.replica, c.incarnation, c.at);
            match reports.binary_search_by_key(&key(&crash), |r| key(&r.crash)) {
                Ok(index) => reports[index].suspects.push(suspect),
                Err(index) => {
                    let suspects = vec![suspect];
                    reports.insert(index, CrashReport { crash, suspects });
                }
            }
        }
    }
    reports
}

impl Crash {
    /// Time within which reports of one incarnation tell of the same crash: an instance that was frozen sees it
    /// late. A replica that has crashed again after that had started again, and its new start is not known yet.
    const REPORT_SPREAD: Duration = Duration::from_secs(5);

    /// Whether two reports tell of one crash.
    fn is_same(&self, other: &Self) -> bool {
        let distance = self
            .at
            .max(other.at)
            .saturating_duration_since(self.at.min(other.at));
        self.replica == other.replica
            && self.incarnation == other.incarnation
            && distance < Self::REPORT_SPREAD
    }
}
