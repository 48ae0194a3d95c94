//! Fleets of all sizes, in simulated time, before replicas that crash of one part in prompts.
//!
//! The decisions are the real ones; messages between instances take up to 60 ms and may be lost.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use kingcupfield_decisions::crash_suspects::{
    Crash, CrashReport, CrashSuspects, LONG_RESPONSE, Suspect,
};
use kingcupfield_decisions::fingerprint::Fingerprint;
use kingcupfield_decisions::id::NameHash;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use yare::parameterized;

/// The part that crashes replicas.
const BAD_PART: Fingerprint = 1;

/// Parts that sound requests share, from the first of their fingerprints on.
const FIRST_SHARED: Fingerprint = 100;

/// First fingerprint of single requests.
const FIRST_UNIQUE: Fingerprint = 1_000_000;

/// Time from when a request is sent until it crashes its replica.
const CRASH_AFTER_MS: u64 = 150;

/// Time until a response begins.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(120);

/// Time until a replica is back.
const DOWN_MS: u64 = 4_000;

/// Shortest and longest time of a response.
const RESPONSE_MS: std::ops::Range<u64> = 300..2_500;

/// Shortest and longest time of a message between instances.
const MESSAGE_MS: std::ops::Range<u64> = 1..60;

/// Share of the messages that are lost.
const LOSS: f64 = 0.03;

/// When the fleet is cut in two. Requests with the part come from the first second on.
const CUT_MS: std::ops::Range<u64> = 500..6_000;

/// Interval of reminders, and their receivers.
const REMINDER_MS: u64 = 1_000;
const REMINDED: usize = 2;

/// Bounds of the users: requests that may be sent later than this after the fifth crash.
const CRASHES: usize = 5;
const CONTACT_MS: u64 = 4_000;
const MAX_LATE: usize = 3;

/// Smallest share of sound requests that is served once requests with the part have to be stopped. Refusals
/// alone count: what is lost with a replica is not the decision's.
const MIN_SOUND_SHARE: f64 = 0.99;

#[derive(Debug, Clone, Copy)]
struct Case {
    instances: usize,
    replicas: usize,
    /// Sound requests a second.
    sound_per_s: f64,
    /// Requests with the part a second.
    bad_per_s: f64,
    /// Number of parts of which each prompt has one.
    shared_parts: u64,
    /// Replicas that crash together every two seconds for another cause.
    other_crashes: usize,
    /// Whether half of the instances do not hear the other half during [`CUT_MS`].
    is_cut: bool,
}

impl Case {
    /// A fleet of this size with two requests with the part a second, whose prompts share one of 40 parts.
    const fn new(instances: usize, replicas: usize, sound_per_s: f64) -> Self {
        Self {
            instances,
            replicas,
            sound_per_s,
            bad_per_s: 2.0,
            shared_parts: 40,
            other_crashes: 0,
            is_cut: false,
        }
    }

    const fn with_bad_per_s(self, bad_per_s: f64) -> Self {
        Self { bad_per_s, ..self }
    }

    const fn with_shared_parts(self, shared_parts: u64) -> Self {
        Self {
            shared_parts,
            ..self
        }
    }

    const fn with_other_crashes(self, other_crashes: usize) -> Self {
        Self {
            other_crashes,
            ..self
        }
    }

    const fn with_cut(self) -> Self {
        Self {
            is_cut: true,
            ..self
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Sound,
    Bad,
    OtherCrash,
    /// A response is complete: replica, its boot and the request.
    Complete(usize, u64, u64),
    /// A request crashes its replica, which has this boot.
    CrashOf(usize, u64),
    Back(usize),
    Reminder(usize),
    Message(usize, usize),
}

#[derive(Debug, Clone)]
enum Message {
    Crashed(Vec<CrashReport>),
    Completed(Vec<(Fingerprint, Instant)>),
}

/// What became of a request when it was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sent {
    Yes,
    Refused,
    NoReplica,
}

#[derive(Debug)]
struct Running {
    number: u64,
    instance: usize,
    sent_at: Instant,
    fingerprints: Vec<Fingerprint>,
}

#[derive(Debug, Default)]
struct Replica {
    boot: u64,
    is_down: bool,
    running: Vec<Running>,
}

#[derive(Debug, Default)]
struct Record {
    /// Times at which requests with the part were sent, and of the crashes that they caused.
    bad_sent_ms: Vec<u64>,
    crashes_ms: Vec<u64>,
    /// Times of sound requests, and whether each was refused.
    sound: Vec<(u64, bool)>,
    /// Messages that one instance received on average.
    received: f64,
}

struct Fleet {
    case: Case,
    start: Instant,
    now_ms: u64,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_event: u64,
    messages: Vec<Message>,
    suspects: Vec<CrashSuspects>,
    replicas: Vec<Replica>,
    next_request: u64,
    received: usize,
    record: Record,
}

impl Fleet {
    fn new(case: Case, seed: u64) -> Self {
        let replicas = (0..case.replicas).map(|_| Replica::default());
        let mut fleet = Self {
            case,
            start: Instant::now(),
            now_ms: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            next_event: 0,
            messages: Vec::new(),
            suspects: vec![CrashSuspects::new(); case.instances],
            replicas: replicas.collect(),
            next_request: 0,
            received: 0,
            record: Record::default(),
        };
        fleet.at(1, Event::Sound);
        fleet.at(1_000, Event::Bad);
        if case.other_crashes > 0 {
            fleet.at(1_500, Event::OtherCrash);
        }
        for instance in 0..case.instances {
            let first_ms = fleet.rng.random_range(0..REMINDER_MS);
            fleet.at(first_ms, Event::Reminder(instance));
        }
        fleet
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    /// Adds an event in `after_ms`.
    fn at(&mut self, after_ms: u64, event: Event) {
        self.next_event += 1;
        let at_ms = self.now_ms + after_ms;
        self.events.push(Reverse((at_ms, self.next_event, event)));
    }

    fn run(mut self, until_ms: u64) -> Record {
        while let Some(Reverse((at_ms, _, event))) = self.events.pop() {
            if at_ms > until_ms {
                break;
            }
            self.now_ms = at_ms;
            self.handle(&event);
        }
        self.record.received = self.received as f64 / self.case.instances as f64;
        self.record
    }

    fn handle(&mut self, event: &Event) {
        match *event {
            Event::Sound => {
                let sent = self.send(false);
                if sent != Sent::NoReplica {
                    self.record.sound.push((self.now_ms, sent == Sent::Refused));
                }
                let pause = self.pause(self.case.sound_per_s);
                self.at(pause, Event::Sound);
            }
            Event::Bad => {
                if self.send(true) == Sent::Yes {
                    self.record.bad_sent_ms.push(self.now_ms);
                }
                let pause = self.pause(self.case.bad_per_s);
                self.at(pause, Event::Bad);
            }
            Event::OtherCrash => {
                for _ in 0..self.case.other_crashes {
                    let replica = self.rng.random_range(0..self.case.replicas);
                    self.crash(replica);
                }
                self.at(2_000, Event::OtherCrash);
            }
            Event::Complete(replica, boot, number) => self.complete(replica, boot, number),
            Event::CrashOf(replica, boot) => {
                if self.replicas[replica].boot == boot && !self.replicas[replica].is_down {
                    self.record.crashes_ms.push(self.now_ms);
                    self.crash(replica);
                }
            }
            Event::Back(replica) => self.replicas[replica].is_down = false,
            Event::Reminder(instance) => self.remind(instance),
            Event::Message(to, index) => self.receive(to, index),
        }
    }

    /// Repeats what an instance knows to some others.
    fn remind(&mut self, instance: usize) {
        let reports = self.suspects[instance].reports();
        if !reports.is_empty() {
            for _ in 0..REMINDED {
                let to = self.rng.random_range(0..self.case.instances);
                self.tell(instance, to, Message::Crashed(reports.clone()));
            }
        }
        self.at(REMINDER_MS, Event::Reminder(instance));
    }

    fn receive(&mut self, to: usize, index: usize) {
        self.received += 1;
        match self.messages[index].clone() {
            Message::Crashed(reports) => {
                for report in reports {
                    self.suspects[to].on_crash(&report);
                }
            }
            Message::Completed(completed) => {
                for (fingerprint, at) in completed {
                    self.suspects[to].on_completed(at, &[fingerprint]);
                }
            }
        }
    }

    /// Random time between two requests.
    fn pause(&mut self, per_s: f64) -> u64 {
        let uniform: f64 = self.rng.random_range(1e-9..1.0);
        (-uniform.ln() / per_s * 1000.0) as u64
    }

    /// Sends a request from a random instance to a random replica.
    fn send(&mut self, is_bad: bool) -> Sent {
        self.next_request += 1;
        let number = self.next_request;
        let shared = FIRST_SHARED + self.rng.random_range(0..self.case.shared_parts);
        let mut fingerprints = vec![shared, FIRST_UNIQUE + number];
        if is_bad {
            fingerprints.push(BAD_PART);
        }
        let instance = self.rng.random_range(0..self.case.instances);
        let now = self.now();
        if self.suspects[instance].quarantine(&fingerprints).is_some() {
            return Sent::Refused;
        }
        let running = self.replicas.iter().enumerate();
        let running: Vec<usize> = running
            .filter(|(_, r)| !r.is_down)
            .map(|(i, _)| i)
            .collect();
        if running.is_empty() {
            return Sent::NoReplica;
        }
        let replica = running[self.rng.random_range(0..running.len())];
        self.replicas[replica].running.push(Running {
            number,
            instance,
            sent_at: now,
            fingerprints,
        });
        let boot = self.replicas[replica].boot;
        if is_bad {
            self.at(CRASH_AFTER_MS, Event::CrashOf(replica, boot));
        } else {
            let time_ms = self.rng.random_range(RESPONSE_MS);
            self.at(time_ms, Event::Complete(replica, boot, number));
        }
        Sent::Yes
    }

    fn complete(&mut self, replica: usize, boot: u64, number: u64) {
        if self.replicas[replica].boot != boot {
            return;
        }
        let running = &mut self.replicas[replica].running;
        let Some(index) = running.iter().position(|r| r.number == number) else {
            return;
        };
        let done = running.swap_remove(index);
        let now = self.now();
        let cleared = self.suspects[done.instance].on_completed(now, &done.fingerprints);
        if !cleared.is_empty() {
            let completed = cleared.into_iter().map(|f| (f, now)).collect();
            self.tell_all(done.instance, &Message::Completed(completed));
        }
    }

    /// Crashes a replica; each instance with requests there tells the others.
    fn crash(&mut self, replica: usize) {
        if self.replicas[replica].is_down {
            return;
        }
        let now = self.now();
        let crash = Crash {
            replica: replica as NameHash,
            incarnation: self.replicas[replica].boot,
            at: now,
        };
        self.replicas[replica].is_down = true;
        self.replicas[replica].boot += 1;
        let mut broken = std::mem::take(&mut self.replicas[replica].running);
        broken.sort_by_key(|r| r.instance);
        for of_instance in broken.chunk_by(|a, b| a.instance == b.instance) {
            let instance = of_instance[0].instance;
            let mut suspects = Vec::new();
            for request in of_instance {
                let ran_for = now - request.sent_at;
                suspects.extend(request.fingerprints.iter().map(|f| Suspect {
                    fingerprint: *f,
                    ran_for,
                    has_written: ran_for >= FIRST_EVENT_TIME + LONG_RESPONSE,
                }));
            }
            let told: Vec<Fingerprint> = suspects.iter().map(|s| s.fingerprint).collect();
            self.suspects[instance].on_crash(&CrashReport { crash, suspects });
            let history = self.suspects[instance].history(&told);
            self.tell_all(instance, &Message::Crashed(history));
        }
        self.at(DOWN_MS, Event::Back(replica));
    }

    fn tell_all(&mut self, from: usize, message: &Message) {
        for to in (0..self.case.instances).filter(|to| *to != from) {
            self.tell(from, to, message.clone());
        }
    }

    fn tell(&mut self, from: usize, to: usize, message: Message) {
        let is_cut = self.case.is_cut && CUT_MS.contains(&self.now_ms);
        let crosses_cut = from % 2 != to % 2;
        if is_cut && crosses_cut || self.rng.random_bool(LOSS) {
            return;
        }
        let after_ms = self.rng.random_range(MESSAGE_MS);
        self.messages.push(message);
        let index = self.messages.len() - 1;
        self.at(after_ms, Event::Message(to, index));
    }
}

// Guards against a fleet whose size decides how many replicas crash before it refuses what crashes them.
#[parameterized(
    seven = { Case::new(7, 12, 43.0) },
    seven_with_few_parts = { Case::new(7, 12, 43.0).with_shared_parts(1) },
    seven_with_rare_requests = { Case::new(7, 12, 5.0).with_bad_per_s(0.5).with_shared_parts(4) },
    seven_with_many_bad_ones = { Case::new(7, 12, 43.0).with_bad_per_s(20.0).with_shared_parts(4) },
    seven_amid_other_crashes = { Case::new(7, 12, 43.0).with_shared_parts(4).with_other_crashes(2) },
    seven_cut_in_two = { Case::new(7, 12, 43.0).with_cut() },
    seventy_nine = { Case::new(79, 400, 300.0).with_bad_per_s(3.0) },
    seventy_nine_amid_other_crashes = { Case::new(79, 400, 300.0).with_bad_per_s(3.0).with_other_crashes(30) },
    seventy_nine_cut_in_two = { Case::new(79, 400, 300.0).with_bad_per_s(3.0).with_cut() },
    five_hundred_eighty_four = { Case::new(584, 3000, 600.0).with_bad_per_s(3.0).with_shared_parts(150) },
    five_hundred_eighty_four_cut_in_two = { Case::new(584, 3000, 600.0).with_bad_per_s(3.0).with_shared_parts(150).with_cut() },
)]
fn a_part_that_crashes_replicas_is_stopped_in_a_fleet_of_any_size(case: Case) {
    for seed in 0..5 {
        let record = Fleet::new(case, seed).run(16_000);
        // The fifth crash, or the last if there are fewer.
        let counted = record.crashes_ms.iter().take(CRASHES).next_back();
        let mut from = counted.expect("a crash") + CONTACT_MS;
        if case.is_cut {
            // Instances are in touch again when the cut has been over for this long.
            from = from.max(CUT_MS.end + CONTACT_MS);
        }
        let late = record.bad_sent_ms.iter().filter(|at| **at >= from).count();
        let sound: Vec<bool> = record
            .sound
            .iter()
            .filter(|(at, _)| *at >= from)
            .map(|(_, refused)| *refused)
            .collect();
        let refused = sound.iter().filter(|refused| **refused).count();
        let served = 1.0 - refused as f64 / sound.len() as f64;
        println!(
            "{case:?} seed={seed} crashes={} late={late} sound={} refused={refused} messages={:.0}",
            record.crashes_ms.len(),
            sound.len(),
            record.received,
        );
        assert!(late <= MAX_LATE, "{late} late requests, seed {seed}");
        assert!(served >= MIN_SOUND_SHARE, "{served:.3} served, seed {seed}");
    }
}
