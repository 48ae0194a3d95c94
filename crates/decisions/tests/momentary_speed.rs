//! Replicas whose speed changes in periods of 600 ms, and what they state about it.

use std::collections::VecDeque;
use std::time::Duration;

use kingcupfield_decisions::dispatch::{Dispatcher, Job, JobId, Outcome, Replica, ResponseSize};
use kingcupfield_decisions::id::UpstreamId;
use kingcupfield_decisions::load_figures::LoadFigures;
use kingcupfield_decisions::momentary_speed::{MomentarySpeed, WorkTime};
use kingcupfield_decisions::scheduling::{LoadReportOptions, SchedulingOptions};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use yare::parameterized;

#[path = "support/plain_service.rs"]
mod plain_service;

const HALF_LIFE: Duration = Duration::from_millis(250);
const INSTANCES: usize = 7;
const REPLICAS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const SLOTS: u32 = 2;
const PERIOD_MS: f64 = 600.0;
/// Share of periods in which a replica is slow, and by how much.
const SLOW_SHARE: f64 = 0.25;
const SLOWDOWN: f64 = 5.0;
/// Mean work of a request at full speed: 120 requests per second fill all slots.
const MEAN_WORK_MS: f64 = 100.0;
const REQUESTS_PER_S: f64 = 55.0;
/// Objective of the plain calls of the second deployment.
const OBJECTIVE_MS: f64 = 400.0;
const RUN_MS: f64 = 120_000.0;
const SEEDS: [u64; 4] = [1, 2, 3, 4];
/// Time until the other instances of the zone know of a change.
const MESSAGE_DELAY_MS: f64 = 5.0;

/// What replicas state in their responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stated {
    Nothing,
    True,
    /// The speed at a time before.
    Old(u32),
    /// The speed of another replica.
    OfAnother,
    /// Fast while slow and slow while fast.
    Inverted,
    /// True for 20 s, then inverted.
    InvertedLater,
    /// The largest valid figure while fast.
    HugeWhileFast,
    /// Always that work takes a hundredth of the usual time.
    AlwaysFast,
    /// True figures in every third response.
    EveryThird,
    /// True, but one replica always states the speed of another.
    TrueButOne,
    /// Values that can't be used.
    Malformed,
    /// Counts of full slots and no work time.
    FalseCounts,
}

#[derive(Debug)]
enum Event {
    Arrival,
    /// A response of a replica to a request.
    End(usize, usize),
    /// A message of an instance: its requests at each replica and the figures that it got.
    Message(usize, Vec<u32>, Vec<(UpstreamId, u64, WorkTime)>),
}

/// A replica that serves requests in order of arrival.
#[derive(Debug, Default)]
struct FakeReplica {
    /// Whether it is slow in each period.
    slow: Vec<bool>,
    running: u32,
    queue: VecDeque<usize>,
    responses: u32,
}

impl FakeReplica {
    fn is_slow(&self, at_ms: f64) -> bool {
        self.slow[(at_ms.max(0.0) / PERIOD_MS) as usize % self.slow.len()]
    }

    /// When work that starts at `at_ms` is done.
    fn end_of(&self, mut at_ms: f64, mut work_ms: f64) -> f64 {
        loop {
            let time_per_work = if self.is_slow(at_ms) { SLOWDOWN } else { 1.0 };
            let period_end = ((at_ms / PERIOD_MS).floor() + 1.0) * PERIOD_MS;
            let left_ms = period_end - at_ms;
            if work_ms * time_per_work <= left_ms {
                return at_ms + work_ms * time_per_work;
            }
            work_ms -= left_ms / time_per_work;
            at_ms = period_end;
        }
    }
}

struct Simulation {
    start: Instant,
    now_ms: f64,
    rng: ChaCha8Rng,
    stated: Stated,
    dispatchers: Vec<Dispatcher>,
    replicas: Vec<FakeReplica>,
    /// Instance, arrival and work of each request.
    requests: Vec<(usize, f64, f64)>,
    /// Events that are to come, the latest first.
    events: Vec<(f64, Event)>,
    /// Requests of each instance at each replica, as known to the others.
    loads: Vec<Vec<u32>>,
    /// The same, as last sent.
    sent: Vec<Vec<u32>>,
    late: u32,
}

impl Simulation {
    fn new(seed: u64, stated: Stated, options: SchedulingOptions) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now();
        let published = REPLICAS.map(|id| Replica {
            slots: SLOTS,
            ..plain_service::replica(id, 1)
        });
        let dispatchers = (0..INSTANCES).map(|i| {
            let mut dispatcher = Dispatcher::new().with_address(i as u32 + 1);
            dispatcher.set_options(options);
            dispatcher.update_replicas(start, &published);
            dispatcher
        });
        let replicas = REPLICAS.map(|_| FakeReplica {
            slow: (0..256).map(|_| rng.random_bool(SLOW_SHARE)).collect(),
            ..FakeReplica::default()
        });
        Self {
            start,
            now_ms: 0.0,
            dispatchers: dispatchers.collect(),
            replicas: replicas.into(),
            rng,
            stated,
            requests: Vec::new(),
            events: vec![(0.0, Event::Arrival)],
            loads: vec![vec![0; REPLICAS.len()]; INSTANCES],
            sent: vec![vec![0; REPLICAS.len()]; INSTANCES],
            late: 0,
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now_ms / 1e3)
    }

    fn schedule(&mut self, at_ms: f64, event: Event) {
        let index = self.events.partition_point(|(at, _)| *at > at_ms);
        self.events.insert(index, (at_ms, event));
    }

    /// Runs to the end; returns the share of late requests.
    fn run(mut self) -> f64 {
        while let Some((at_ms, event)) = self.events.pop() {
            self.now_ms = at_ms;
            match event {
                Event::Arrival => self.on_arrival(),
                Event::End(replica, request) => self.on_end(replica, request),
                Event::Message(from, loads, figures) => self.on_message(from, loads, &figures),
            }
        }
        f64::from(self.late) / self.requests.len() as f64
    }

    fn on_arrival(&mut self) {
        let now = self.now();
        let instance = self.rng.random_range(0..INSTANCES);
        let work_ms = MEAN_WORK_MS * self.rng.random_range(0.5..1.5);
        let id = self.requests.len() as JobId;
        self.requests.push((instance, self.now_ms, work_ms));
        self.dispatchers[instance].enqueue(Job {
            queue_deadline: now + Duration::from_millis(1250),
            salt: self.rng.random(),
            ..plain_service::job(id, now)
        });
        self.assign(instance);
        let gap_ms = -self.rng.random_range(f64::EPSILON..1.0).ln() * 1e3 / REQUESTS_PER_S;
        if self.now_ms < RUN_MS {
            self.schedule(self.now_ms + gap_ms, Event::Arrival);
        }
    }

    /// Sends the waiting requests of an instance to replicas, and its state to the other instances.
    fn assign(&mut self, instance: usize) {
        let now = self.now();
        self.late += self.dispatchers[instance].take_timed_out(now).len() as u32;
        for assignment in self.dispatchers[instance].assign(now) {
            let replica = index_of(&assignment.upstream);
            if self.replicas[replica].running < SLOTS {
                self.serve(replica, assignment.job as usize);
            } else {
                let queue = &mut self.replicas[replica].queue;
                queue.push_back(assignment.job as usize);
            }
        }
        let dispatcher = &mut self.dispatchers[instance];
        let mut loads = vec![0; REPLICAS.len()];
        for (id, running, _) in dispatcher.own_load() {
            loads[index_of(id)] = running;
        }
        if loads == self.sent[instance] {
            return;
        }
        self.sent[instance].clone_from(&loads);
        let figures = dispatcher.take_unreported_work_times(now);
        let message = Event::Message(instance, loads, figures);
        self.schedule(self.now_ms + MESSAGE_DELAY_MS, message);
    }

    fn serve(&mut self, replica: usize, request: usize) {
        let r = &mut self.replicas[replica];
        r.running += 1;
        let end_ms = r.end_of(self.now_ms, self.requests[request].2);
        self.schedule(end_ms, Event::End(replica, request));
    }

    fn on_end(&mut self, replica: usize, request: usize) {
        let now = self.now();
        let (instance, arrived_ms, _) = self.requests[request];
        self.replicas[replica].running -= 1;
        if let Some(next) = self.replicas[replica].queue.pop_front() {
            self.serve(replica, next);
        }
        self.replicas[replica].responses += 1;
        let id = REPLICAS[replica].into();
        let figures = self.figures(replica);
        let dispatcher = &mut self.dispatchers[instance];
        if self.stated == Stated::Malformed {
            dispatcher.on_invalid_load(&id, 1);
        } else if let Some(figures) = figures {
            dispatcher.on_load_figures(now, &id, 1, figures);
        }
        dispatcher.on_end(now, &id, request as JobId, Outcome::Served);
        self.late += u32::from(self.now_ms - arrived_ms > OBJECTIVE_MS);
        self.assign(instance);
    }

    /// The header of a response.
    fn figures(&self, replica: usize) -> Option<LoadFigures> {
        let percent = |replica: usize, age_ms: f64| {
            let is_slow = self.replicas[replica].is_slow(self.now_ms - age_ms);
            if is_slow { 500 } else { 100 }
        };
        let r = &self.replicas[replica];
        let true_percent = percent(replica, 0.0);
        let of_another = percent((replica + 1) % REPLICAS.len(), 0.0);
        let work_time_percent = match self.stated {
            Stated::Nothing | Stated::Malformed => return None,
            Stated::EveryThird if !r.responses.is_multiple_of(3) => return None,
            Stated::TrueButOne if replica == 0 => Some(of_another),
            Stated::InvertedLater if self.now_ms > 20_000.0 => Some(600 - true_percent),
            Stated::True | Stated::EveryThird | Stated::TrueButOne | Stated::InvertedLater => {
                Some(true_percent)
            }
            Stated::Old(age_ms) => Some(percent(replica, f64::from(age_ms))),
            Stated::OfAnother => Some(of_another),
            Stated::Inverted => Some(600 - true_percent),
            Stated::HugeWhileFast if true_percent == 100 => Some(10_000),
            Stated::HugeWhileFast => Some(100),
            Stated::AlwaysFast => Some(1),
            Stated::FalseCounts => None,
        };
        let has_false_counts = self.stated == Stated::FalseCounts;
        Some(LoadFigures {
            running: if has_false_counts {
                1_000_000
            } else {
                r.running
            },
            waiting: r.queue.len() as u32,
            slots: SLOTS,
            work_time_percent,
        })
    }

    fn on_message(
        &mut self,
        from: usize,
        loads: Vec<u32>,
        figures: &[(UpstreamId, u64, WorkTime)],
    ) {
        self.loads[from] = loads;
        for to in (0..INSTANCES).filter(|to| *to != from) {
            let dispatcher = &mut self.dispatchers[to];
            for (replica, id) in REPLICAS.iter().enumerate() {
                let others = (0..INSTANCES).filter(|i| *i != to);
                let running = others.map(|i| self.loads[i][replica]).sum();
                dispatcher.update_remote_load(&(*id).into(), running, 0.0);
            }
            for (id, incarnation, figure) in figures {
                dispatcher.on_peer_work_time(id, *incarnation, *figure);
            }
            if dispatcher.waiting_count() > 0 {
                self.assign(to);
            }
        }
    }
}

fn index_of(id: &UpstreamId) -> usize {
    let found = REPLICAS.iter().position(|r| **r == **id);
    found.expect("a known replica")
}

fn options() -> SchedulingOptions {
    SchedulingOptions {
        load_reports: Some(LoadReportOptions {
            half_life: HALF_LIFE,
        }),
        ..SchedulingOptions::default()
    }
}

/// Mean share of late requests over all seeds, without figures and with those that replicas state.
fn late_shares(stated: Stated) -> (f64, f64) {
    let mean = |stated, options| {
        let shares = SEEDS.map(|seed| Simulation::new(seed, stated, options).run());
        shares.iter().sum::<f64>() / shares.len() as f64
    };
    let without = mean(Stated::Nothing, SchedulingOptions::default());
    let with = mean(stated, options());
    println!("late without figures {without:.4}, with {stated:?} {with:.4}");
    (without, with)
}

/// Replicas that are slowed fivefold for a quarter of the time get as much work while they are slow
/// as at other times, and their requests are late. With true figures, a quarter of these is on time.
#[test]
fn true_figures_eliminate_a_quarter_of_the_late_requests() {
    let (without, with) = late_shares(Stated::True);
    assert!(with <= 0.75 * without, "{with} {without}");
}

/// Replicas that state wrong figures, or figures that can't be used, would make requests late that are
/// on time without figures.
#[parameterized(
    option_without_figures = { Stated::Nothing },
    old_by_a_period = { Stated::Old(600) },
    old_by_two_seconds = { Stated::Old(2_000) },
    of_another = { Stated::OfAnother },
    inverted = { Stated::Inverted },
    inverted_later = { Stated::InvertedLater },
    huge_while_fast = { Stated::HugeWhileFast },
    always_fast = { Stated::AlwaysFast },
    every_third = { Stated::EveryThird },
    true_but_one = { Stated::TrueButOne },
    malformed = { Stated::Malformed },
    false_counts = { Stated::FalseCounts },
)]
fn wrong_figures_make_nothing_worse(stated: Stated) {
    let (without, with) = late_shares(stated);
    assert!(with <= without + 0.01, "{with} {without}");
}

/// A replica that is slow, after figures that measured times have confirmed. The newest figure is of
/// `now` + 1 ms.
fn slow_replica(now: Instant) -> MomentarySpeed {
    let mut speed = MomentarySpeed::default();
    speed.set_half_life(Some(HALF_LIFE));
    for round in (0..20).rev() {
        let at = now - Duration::from_millis(100) * round;
        let (percent, measured_ms) = if round % 2 == 0 { (500, 50) } else { (100, 10) };
        speed.on_peer_figure(WorkTime {
            percent,
            stated_at: at,
        });
        speed.usual_time(at, Duration::from_millis(measured_ms), Some(10.0));
    }
    speed.on_own_figure(now + Duration::from_millis(1), 500);
    // With the prior trust alone it would be below 1.2.
    assert!(speed.factor(now + Duration::from_millis(1)) > 1.5);
    speed
}

/// A figure that is kept while its replica is silent would describe a period that has ended, and one
/// that arrives late would replace a newer one.
#[test]
fn the_effect_of_a_figure_ends() {
    let now = Instant::now() + Duration::from_secs(10);
    let mut speed = slow_replica(now);
    let factor = |speed: &MomentarySpeed, ms| speed.factor(now + Duration::from_millis(ms));
    assert!(factor(&speed, 1) > 1.5, "{speed:?}");
    let half = (factor(&speed, 251) - 1.0) / (factor(&speed, 1) - 1.0);
    assert!((half - 0.5).abs() < 1e-6, "{half}");
    assert!(factor(&speed, 3_000) < 1.001);
    speed.on_peer_figure(WorkTime {
        percent: 25,
        stated_at: now,
    });
    assert!(factor(&speed, 1) > 1.5, "{speed:?}");
    // Other instances are told of a figure once, and not of an old one.
    assert!(speed.take_unreported(now).is_some());
    assert!(speed.take_unreported(now).is_none());
    speed.set_half_life(None);
    assert!(factor(&speed, 1) <= 1.0);
}

/// Two engines are slow in turn, and one event of each is measured in a period. A stream that goes by
/// learned times alone would start at the engine that has just become slow.
#[test]
fn streams_start_at_the_engine_that_is_fast_now() {
    let start = Instant::now();
    let engine = |id| Replica {
        is_engine: true,
        ..plain_service::replica(id, 1)
    };
    let mut dispatcher = Dispatcher::new();
    dispatcher.set_options(options());
    dispatcher.update_replicas(start, &[engine("a"), engine("b")]);
    for period in 0..40 {
        let now = start + Duration::from_secs_f64(period as f64 * PERIOD_MS / 1e3);
        let (fast, slow) = if period % 2 == 0 {
            ("a", "b")
        } else {
            ("b", "a")
        };
        for (id, percent) in [(fast, 100), (slow, 500)] {
            let figures = LoadFigures {
                running: 0,
                waiting: 0,
                slots: 4,
                work_time_percent: Some(percent),
            };
            dispatcher.on_load_figures(now, &id.into(), 1, figures);
        }
        dispatcher.enqueue(Job {
            size: ResponseSize {
                prompt_tokens: 1000.0,
                expected_output_tokens: 0.0,
                max_output_tokens: None,
            },
            ..plain_service::job(period, now)
        });
        let chosen = dispatcher.assign(now).remove(0).upstream;
        assert!(period < 20 || *chosen == *fast, "period {period}: {chosen}");
        dispatcher.on_end(now, &chosen, period, Outcome::Unknown);
        for (id, gap_ms) in [(fast, 10), (slow, 50)] {
            let later = now + Duration::from_millis(100);
            dispatcher.on_events(later, &id.into(), 1, Duration::from_millis(gap_ms));
        }
    }
}

/// A replica of another region is full of requests of instances whose counts take 400 ms to arrive.
/// Requests would be sent there as if it were idle; once the counts are due, they alone count.
#[test]
fn counts_of_a_response_hold_until_those_of_other_instances_arrive() {
    let now = Instant::now();
    let replica = |id, propagation_delay| Replica {
        slots: 4,
        propagation_delay,
        ..plain_service::replica(id, 1)
    };
    let far = replica("a", Duration::from_millis(400));
    let mut dispatcher = Dispatcher::new();
    dispatcher.set_options(options());
    dispatcher.update_replicas(now, &[far, replica("b", Duration::from_millis(400))]);
    dispatcher.update_room(now);
    let later = now + Duration::from_secs(1);
    let figures = LoadFigures {
        running: 4,
        waiting: 1,
        slots: 4,
        work_time_percent: None,
    };
    dispatcher.on_load_figures(later, &"a".into(), 2, figures);
    // The counts of another incarnation have no effect.
    dispatcher.enqueue(plain_service::job(1, later));
    assert_eq!(*dispatcher.assign(later).remove(0).upstream, *"a");
    dispatcher.on_end(later, &"a".into(), 1, Outcome::Unknown);
    for (at_ms, others, expected) in [(0, 4, "b"), (399, 4, "b"), (400, 0, "a")] {
        if others > 0 {
            dispatcher.on_load_figures(later, &"a".into(), 1, figures);
        }
        let at = later + Duration::from_millis(at_ms);
        dispatcher.enqueue(plain_service::job(at_ms, at));
        let assigned = dispatcher.assign(at);
        let chosen = assigned.first().map(|a| &*a.upstream);
        assert_eq!(chosen, Some(expected), "after {at_ms} ms");
        dispatcher.on_end(at, &expected.into(), at_ms, Outcome::Unknown);
    }
}

/// An engine of another region has one request of this instance and states false counts. It would get
/// no other request for the 400 ms that the counts of other instances take.
#[test]
fn false_counts_close_no_engine() {
    let start = Instant::now();
    let engine = Replica {
        is_engine: true,
        slots: 4,
        propagation_delay: Duration::from_millis(400),
        ..plain_service::replica("a", 1)
    };
    let mut dispatcher = Dispatcher::new();
    dispatcher.set_options(options());
    dispatcher.update_replicas(start, &[engine]);
    dispatcher.update_room(start);
    let now = start + Duration::from_secs(1);
    dispatcher.enqueue(plain_service::job(1, now));
    assert_eq!(dispatcher.assign(now).len(), 1);
    let figures = LoadFigures {
        running: 1_000_000,
        waiting: 1_000_000,
        slots: 4,
        work_time_percent: None,
    };
    dispatcher.on_load_figures(now, &"a".into(), 1, figures);
    dispatcher.enqueue(plain_service::job(2, now));
    assert_eq!(dispatcher.assign(now).len(), 1);
}

/// Figures that never change can't be compared with measured times. If they gained trust with time, a
/// false one after them would have its full effect.
#[test]
fn constant_figures_gain_no_trust() {
    let mut now = Instant::now();
    let mut speed = MomentarySpeed::default();
    speed.set_half_life(Some(HALF_LIFE));
    for _ in 0..2_000 {
        now += Duration::from_millis(50);
        speed.on_own_figure(now, 100);
        speed.usual_time(now, Duration::from_millis(10), Some(10.0));
    }
    speed.on_own_figure(now + Duration::from_millis(50), 10_000);
    let factor = speed.factor(now + Duration::from_millis(50));
    // A quarter of the greatest deviation.
    assert!(factor <= 2.75 + 1e-6, "{factor}");
}

/// Responses every 5 ms state percentages that vary a little. If each were kept, the figures would cover
/// 80 ms, and the slowness of a call of 400 ms would be taken for that of the replica.
#[parameterized(
    constant = { 0 },
    jittered = { 3 },
)]
fn frequent_figures_cover_a_long_call(jitter_percent: u32) {
    let now = Instant::now() + Duration::from_secs(10);
    let mut speed = slow_replica(now);
    let mut at = now;
    for round in 0..80 {
        at += Duration::from_millis(5);
        speed.on_own_figure(at, 500 + jitter_percent * (round % 5));
    }
    let ratio = speed.factor_over(at, Duration::from_millis(400)) / speed.factor(at);
    assert!(ratio > 0.95, "{ratio}");
}

/// An engine is slow in every fourth period. The learned time would contain slow periods that its
/// figures state as well, so that they would count twice.
#[test]
fn learned_times_are_those_at_the_mean_speed() {
    let start = Instant::now();
    let engine = Replica {
        is_engine: true,
        ..plain_service::replica("a", 1)
    };
    let mut dispatcher = Dispatcher::new();
    dispatcher.set_options(options());
    dispatcher.update_replicas(start, &[engine]);
    for period in 0..200 {
        let now = start + Duration::from_secs_f64(f64::from(period) * PERIOD_MS / 1e3);
        let (percent, gap_ms) = if period % 4 == 3 {
            (500, 50)
        } else {
            (100, 10)
        };
        let figures = LoadFigures {
            running: 0,
            waiting: 0,
            slots: 4,
            work_time_percent: Some(percent),
        };
        dispatcher.on_load_figures(now, &"a".into(), 1, figures);
        let later = now + Duration::from_millis(50);
        dispatcher.on_events(later, &"a".into(), 1, Duration::from_millis(gap_ms));
    }
    let step_ms: Vec<f64> = dispatcher.own_step_times().map(|(_, ms)| ms).collect();
    println!("step {step_ms:?}");
    // Uncorrected, the median is 10 ms; the mean over all periods is 20 ms.
    assert!(step_ms[0] > 14.0 && step_ms[0] < 24.0, "{step_ms:?}");
}

/// Figures of another instance that no replica can state would replace valid ones.
#[parameterized(
    zero = { 0, false },
    least = { 1, true },
    greatest = { 10_000, true },
    above = { 10_001, false },
)]
fn reports_out_of_range_are_ignored(percent: u32, is_valid: bool) {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new();
    dispatcher.set_options(options());
    dispatcher.update_replicas(now, &[plain_service::replica("a", 1)]);
    let stated_at = now;
    dispatcher.on_peer_work_time(&"a".into(), 1, WorkTime { percent, stated_at });
    assert_eq!(dispatcher.work_times(now).count(), usize::from(is_valid));
}

/// Events of 40 tokens arrive 400 ms apart, and the engine becomes slow just before they do. By the speed
/// at their end alone, their tokens would be learned as having taken less than their usual time.
#[test]
fn a_long_gap_is_corrected_by_the_speed_in_all_of_it() {
    let start = Instant::now();
    let engine = Replica {
        is_engine: true,
        tokens_per_event: 40,
        ..plain_service::replica("a", 1)
    };
    let mut dispatcher = Dispatcher::new();
    dispatcher.set_options(options());
    dispatcher.update_replicas(start, &[engine]);
    let figure = |percent, stated_at| WorkTime { percent, stated_at };
    for gap in 0..100 {
        let begin = start + Duration::from_millis(400) * gap;
        for (ms, percent) in [(0, 100), (100, 100), (200, 100), (300, 100), (390, 500)] {
            let at = begin + Duration::from_millis(ms);
            dispatcher.on_peer_work_time(&"a".into(), 1, figure(percent, at));
        }
        let end = begin + Duration::from_millis(400);
        dispatcher.on_events(end, &"a".into(), 1, Duration::from_millis(400));
    }
    let step_ms: Vec<f64> = dispatcher.own_step_times().map(|(_, ms)| ms).collect();
    println!("step {step_ms:?}");
    assert!((step_ms[0] - 10.0).abs() < 1.0, "{step_ms:?}");
}
