//! Which requests are quarantined after crashes of replicas.

use std::time::Duration;

use kingcupfield_decisions::crash_suspects::{
    CRASHES_TO_RECUR, Crash, CrashReport, CrashSuspects, FIRST_TRIAL_AFTER, LONGEST_TRIAL_PAUSE,
    Suspect, TRIAL_STAGGER,
};
use kingcupfield_decisions::fingerprint::Fingerprint;
use kingcupfield_decisions::id::{InstanceAddress, NameHash};
use tokio::time::Instant;
use yare::parameterized;

const BAD: Fingerprint = 1;
const OTHER: Fingerprint = 2;

/// Time for which requests run until their replica crashes.
const RUN_TIME: Duration = Duration::from_millis(150);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A crash of a replica that ran requests with these fingerprints for [`RUN_TIME`].
fn report(replica: NameHash, at: Instant, fingerprints: &[Fingerprint]) -> CrashReport {
    let suspect = |fingerprint: &Fingerprint| Suspect {
        fingerprint: *fingerprint,
        ran_for: RUN_TIME,
        has_written: false,
    };
    CrashReport {
        crash: Crash {
            replica,
            incarnation: 1,
            at,
        },
        suspects: fingerprints.iter().map(suspect).collect(),
    }
}

fn is_quarantined(suspects: &CrashSuspects, fingerprint: Fingerprint) -> bool {
    suspects.quarantine(&[fingerprint]).is_some()
}

/// Suspects after one crash of a request at each of these times, in milliseconds.
fn after_crashes(start: Instant, at_ms: &[u64]) -> CrashSuspects {
    let mut suspects = CrashSuspects::new();
    for (replica, at_ms) in at_ms.iter().enumerate() {
        suspects.on_crash(&report(replica as NameHash, start + ms(*at_ms), &[BAD]));
    }
    suspects
}

struct CrashCase {
    /// Times of the crashes in milliseconds.
    at_ms: &'static [u64],
    quarantined: bool,
}

// Guards against a request that crashes replicas without end, and against blame for replicas that fail together.
#[parameterized(
    two_crashes = { CrashCase { at_ms: &[0, 300], quarantined: false } },
    three_crashes = { CrashCase { at_ms: &[0, 300, 600], quarantined: true } },
    reported_in_another_order = { CrashCase { at_ms: &[600, 0, 300], quarantined: true } },
    minutes_apart = { CrashCase { at_ms: &[0, 100_000, 200_000], quarantined: true } },
    twenty_at_one_moment = { CrashCase { at_ms: &[0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 1, 1, 1, 1, 2, 2, 3, 3, 4], quarantined: false } },
    requests_that_were_sent_before_the_first_crash = { CrashCase { at_ms: &[0, 30, 60, 90, 120], quarantined: false } },
    many_at_once_that_go_on = { CrashCase { at_ms: &[0, 50, 100, 160, 210, 320], quarantined: true } },
)]
fn requests_that_crash_replicas_one_after_the_other_are_quarantined(case: CrashCase) {
    let start = Instant::now();
    let suspects = after_crashes(start, case.at_ms);

    assert_eq!(is_quarantined(&suspects, BAD), case.quarantined);
    assert!(!is_quarantined(&suspects, OTHER));
}

// Guards against one crash that counts as several because several instances report it.
#[test]
fn reports_of_one_crash_count_once() {
    let start = Instant::now();
    let mut suspects = CrashSuspects::new();
    for delay_ms in [0, 30, 60, 3000] {
        suspects.on_crash(&report(7, start + ms(delay_ms), &[BAD]));
    }
    for at_ms in [1000, 1030] {
        suspects.on_crash(&report(8, start + ms(at_ms), &[BAD, OTHER]));
    }

    assert!(!is_quarantined(&suspects, BAD));
}

// Guards against blaming what sound requests share with those that crash replicas, or what runs beside them.
#[test]
fn a_completion_clears_crashes_before_it() {
    let start = Instant::now();
    let mut suspects = after_crashes(start, &[0, 300]);

    let cleared = suspects.on_completed(start + ms(400), &[BAD, OTHER]);
    suspects.on_crash(&report(3, start + ms(600), &[BAD]));
    let before = suspects.history(&[BAD]);
    suspects.on_crash(&report(4, start + ms(200), &[BAD]));

    assert_eq!(cleared, [BAD]);
    let after = suspects.history(&[BAD]);
    assert_eq!(after, before, "a crash from before the completion");
    assert!(!is_quarantined(&suspects, BAD));
}

// Guards against a quarantine of something sound that goes on after a response has shown that it is sound.
#[test]
fn a_completion_ends_a_quarantine() {
    let start = Instant::now();
    let mut suspects = after_crashes(start, &[0, 300, 600]);
    assert!(is_quarantined(&suspects, BAD));

    suspects.on_completed(start + ms(800), &[BAD]);

    assert!(!is_quarantined(&suspects, BAD));
}

// Guards against a suspicion without end.
#[test]
fn trials_come_after_pauses_that_double_and_a_completion_ends_them() {
    let start = Instant::now();
    let mut suspects = after_crashes(start, &[0, 300, 600]);
    let mut last_crash = start + ms(600);
    let mut pause = FIRST_TRIAL_AFTER;
    for replica in 10..18 {
        let due = last_crash + pause;
        assert!(!suspects.begin_trial(due - ms(1), BAD), "{pause:?}");
        assert!(suspects.begin_trial(due, BAD), "{pause:?}");
        assert!(
            !suspects.begin_trial(due + ms(1), BAD),
            "a second one at once"
        );
        last_crash = due + RUN_TIME;
        suspects.on_crash(&report(replica, last_crash, &[BAD]));
        pause = (pause * 2).min(LONGEST_TRIAL_PAUSE);
    }

    let due = last_crash + pause;
    assert!(suspects.begin_trial(due, BAD));
    suspects.on_completed(due + ms(900), &[BAD]);

    assert!(!is_quarantined(&suspects, BAD));
}

// Guards against trials by all instances at once, and against none because the chosen instance gets no request.
#[test]
fn instances_may_begin_a_trial_one_after_the_other() {
    let start = Instant::now();
    let suspects = after_crashes(start, &[0, 300, 600]);
    let members: Vec<InstanceAddress> = (1..=584).collect();
    let may_try = |after: Duration| {
        let now = start + ms(600) + FIRST_TRIAL_AFTER + after;
        let quarantine = suspects.quarantine(&[BAD]).expect("a quarantine");
        let others = |own| members.iter().copied().filter(move |m| *m != own);
        let may_try = members
            .iter()
            .filter(|own| quarantine.may_try(now, **own, others(**own)));
        may_try.count()
    };

    assert_eq!(may_try(Duration::ZERO), 1);
    assert_eq!(may_try(TRIAL_STAGGER.mul_f64(0.99)), 1);
    assert_eq!(may_try(TRIAL_STAGGER * 9), 10);
    assert_eq!(may_try(TRIAL_STAGGER * 600), 584);
}

// Guards against a trial that is lost with its caller or instance, after which there would be no other.
#[test]
fn a_trial_without_an_end_is_followed_by_another() {
    let start = Instant::now();
    let mut suspects = after_crashes(start, &[0, 300, 600]);
    let due = start + ms(600) + FIRST_TRIAL_AFTER;
    assert!(suspects.begin_trial(due, BAD));

    assert!(suspects.begin_trial(due + Duration::from_secs(30), BAD));
}

// Guards against suspicions that are kept for good when nobody sends such requests any more.
#[test]
fn suspicions_are_forgotten() {
    let start = Instant::now();
    let mut suspects = after_crashes(start, &[0, 300, 600]);
    suspects.on_crash(&report(9, start + ms(600), &[OTHER]));

    suspects.expire(start + Duration::from_mins(11));
    assert!(is_quarantined(&suspects, BAD));
    assert!(!suspects.reports().is_empty());
    suspects.expire(start + Duration::from_mins(31));

    assert!(suspects.is_empty());
}

// Guards against memory that grows with each crash, and against a flood of crashes that ends a quarantine.
#[test]
fn memory_is_bounded_and_keeps_what_is_quarantined() {
    let start = Instant::now();
    let mut suspects = after_crashes(start, &[0, 300, 600]);
    for crash in 0..4_000_u32 {
        let at = start + ms(700 + u64::from(crash));
        let first = u64::from(crash) * 12 + 100;
        let unique: Vec<Fingerprint> = (first..first + 12).collect();
        suspects.on_crash(&report(crash + 10, at, &unique));
    }

    assert!(is_quarantined(&suspects, BAD));
    assert!(suspects.len() <= 4096, "{}", suspects.len());
}

// Guards against an instance that missed single messages and never learns of the crashes.
#[test]
fn recurring_crashes_tell_another_instance_the_same() {
    let start = Instant::now();
    let mut suspects = after_crashes(start, &[0, 300, 600]);
    suspects.on_crash(&report(9, start + ms(900), &[OTHER]));

    let mut other = CrashSuspects::new();
    for report in suspects.reports() {
        other.on_crash(&report);
    }

    assert_eq!(other.quarantine(&[BAD]), suspects.quarantine(&[BAD]));
    assert!(other.quarantine(&[BAD]).is_some());
    assert_eq!(CRASHES_TO_RECUR, 3);
}

// Guards against crashes that are known in another order than they happened, as those of an instance that
// was frozen, which gets all messages at once.
#[test]
fn messages_that_arrive_together_tell_the_order_of_crashes() {
    let start = Instant::now();
    let now = start + ms(4000);
    let mut suspects = CrashSuspects::new();
    // Each message has the crashes before as well, by replica, and the ages that they had when it was sent.
    let messages: [&[(NameHash, u64)]; 3] = [
        &[(9, 10)],
        &[(5, 12), (9, 200)],
        &[(5, 200), (7, 10), (9, 400)],
    ];
    for (replica, age_ms) in messages.into_iter().flatten() {
        suspects.on_crash(&report(*replica, now - ms(*age_ms), &[BAD]));
    }

    assert!(is_quarantined(&suspects, BAD));
}

// Guards against a crash that is not counted because the message about the one before it took longer.
#[test]
fn reports_that_take_longer_do_not_hide_the_order_of_crashes() {
    let start = Instant::now();
    let mut near = CrashSuspects::new();
    let mut far = CrashSuspects::new();
    for replica in 0..3 {
        // Each request is sent at once when the replica before has crashed.
        let crashed_at = start + RUN_TIME * replica;
        let report = report(replica, crashed_at, &[BAD]);
        near.on_crash(&report);
        let delay = ms(100 - u64::from(replica) * 50);
        for mut report in near.history(&[BAD]) {
            report.crash.at += delay;
            far.on_crash(&report);
        }
    }

    assert!(is_quarantined(&near, BAD));
    assert!(is_quarantined(&far, BAD));
}

/// Parts of prompts.
const A: Fingerprint = 11;
const B: Fingerprint = 12;
const C: Fingerprint = 13;
const PART: Fingerprint = 14;

struct EvidenceCase {
    /// What was running in each crash, one after the other.
    crashes: &'static [&'static [Fingerprint]],
    /// Parts whose responses had been arriving for a while before the first crash.
    written: &'static [Fingerprint],
    /// Parts that were completed after the crash with this index.
    completed: &'static [(usize, Fingerprint)],
    refused: &'static [&'static [Fingerprint]],
    served: &'static [&'static [Fingerprint]],
}

// Guards against blaming a part for the harm of its neighbour, and against a part that hides among others.
#[parameterized(
    alone = { EvidenceCase {
        crashes: &[&[PART], &[PART], &[PART]],
        written: &[],
        completed: &[],
        refused: &[&[PART], &[A, PART], &[PART, B]],
        served: &[&[A], &[A, B]],
    } },
    always_beside_the_same_parts = { EvidenceCase {
        crashes: &[&[A, PART, B], &[A, PART, B], &[A, PART, B]],
        written: &[],
        completed: &[],
        refused: &[&[A, PART, B], &[A, PART, B, C]],
        served: &[&[A], &[A, B], &[A, C], &[B]],
    } },
    neighbours_that_are_completed_later = { EvidenceCase {
        crashes: &[&[A, PART, B], &[A, PART, B], &[A, PART, B]],
        written: &[],
        completed: &[(2, A), (2, B)],
        refused: &[&[PART], &[C, PART], &[A, PART, B]],
        served: &[&[A], &[A, B], &[A, C]],
    } },
    neighbours_that_are_completed_between = { EvidenceCase {
        crashes: &[&[A, PART], &[A, PART], &[A, PART], &[A, PART], &[A, PART]],
        written: &[],
        completed: &[(1, A)],
        refused: &[&[PART], &[A, PART]],
        served: &[&[A], &[A, B]],
    } },
    beside_parts_that_differ = { EvidenceCase {
        crashes: &[&[A, PART], &[B, PART], &[C, PART]],
        written: &[],
        completed: &[],
        refused: &[&[PART], &[A, PART]],
        served: &[&[A], &[A, B, C]],
    } },
    requests_that_run_beside_it_at_each_replica = { EvidenceCase {
        crashes: &[&[PART, C], &[PART, C], &[PART, C], &[PART], &[PART]],
        written: &[],
        completed: &[],
        refused: &[&[PART], &[PART, A], &[PART, C]],
        served: &[&[C], &[C, A]],
    } },
    requests_beside_it_that_had_been_answered_for_a_while = { EvidenceCase {
        crashes: &[&[PART, A, B], &[PART, A, B], &[PART, A, B]],
        written: &[A, B],
        completed: &[],
        refused: &[&[PART], &[PART, C], &[A, PART]],
        served: &[&[A], &[A, B], &[A, C]],
    } },
    a_cause_that_acts_late = { EvidenceCase {
        crashes: &[&[PART, A], &[PART, A], &[PART, A]],
        written: &[PART, A],
        completed: &[(2, A)],
        refused: &[&[PART], &[PART, A]],
        served: &[&[A], &[A, B]],
    } },
    a_cause_that_acts_late_beside_parts_that_are_not_completed = { EvidenceCase {
        crashes: &[&[PART, A], &[PART, A], &[PART, A]],
        written: &[PART, A],
        completed: &[],
        refused: &[&[PART, A]],
        served: &[&[A], &[A, B]],
    } },
    another_cause_beside_it = { EvidenceCase {
        crashes: &[&[A, PART], &[A, PART], &[A, PART], &[A]],
        written: &[],
        completed: &[],
        refused: &[&[A, PART]],
        served: &[&[A], &[A, B]],
    } },
    two_causes_at_once = { EvidenceCase {
        crashes: &[&[PART], &[C], &[PART], &[C], &[PART], &[C]],
        written: &[],
        completed: &[],
        refused: &[&[PART], &[C], &[A, C]],
        served: &[&[A]],
    } },
    crashes_of_another_cause = { EvidenceCase {
        crashes: &[&[A, B], &[A, C], &[B, C], &[A, B]],
        written: &[],
        completed: &[(0, A), (1, C), (2, B), (3, A)],
        refused: &[],
        served: &[&[A], &[B], &[C], &[A, B], &[A, C], &[B, C]],
    } },
)]
fn requests_are_refused_if_they_have_the_cause_whichever_it_is(case: EvidenceCase) {
    let start = Instant::now();
    let mut suspects = CrashSuspects::new();
    for (index, running) in case.crashes.iter().enumerate() {
        let at = start + ms(index as u64 * 300);
        let mut report = report(index as NameHash, at, running);
        for suspect in &mut report.suspects {
            suspect.has_written = case.written.contains(&suspect.fingerprint);
        }
        suspects.on_crash(&report);
        for (_, part) in case.completed.iter().filter(|(after, _)| *after == index) {
            suspects.on_completed(at + ms(100), &[*part]);
        }
    }

    for request in case.refused {
        assert!(
            suspects.quarantine(request).is_some(),
            "{request:?} is served"
        );
    }
    for request in case.served {
        assert_eq!(suspects.quarantine(request), None, "{request:?} is refused");
    }
}
