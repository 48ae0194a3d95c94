//! Nanoseconds a decision, against waiting requests, organisations, replicas and instances.
//!
//! Each is measured alone by the wall clock; what keeps the size steady is not counted.

use std::hint::black_box;
use std::time::{Duration, Instant as WallClock};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use kingcupfield_decisions::concurrency::ConcurrencyLimit;
use kingcupfield_decisions::holder::Holder;
use kingcupfield_decisions::id::{InstanceId, RequestId, UpstreamId};
use kingcupfield_decisions::ownership::{owner, ranked};
use kingcupfield_decisions::prefixes::PrefixCache;
use kingcupfield_decisions::slots::{RequestOutcome, Reservation, SlotQueue, ToHolder, ToOwner};
use kingcupfield_decisions::work::Work;
use tokio::time::Instant;

const SIZES: [usize; 4] = [10, 100, 1_000, 10_000];
const RUNNING: u32 = 16;
const TIERS: usize = 4;

/// A replica with a steady number of waiting reservations.
struct Crowd {
    queue: SlotQueue,
    now: Instant,
    from: InstanceId,
    organisations: usize,
    requests: usize,
    running: Vec<RequestId>,
}

impl Crowd {
    fn new(waiting: usize, organisations: usize) -> Self {
        let now = Instant::now();
        let limit = ConcurrencyLimit::new()
            .with_max(RUNNING)
            .with_start(RUNNING);
        let mut crowd = Self {
            queue: SlotQueue::new("drafting-1".into(), None, now)
                .with_limit(limit)
                .with_max_waiting(20_000),
            now,
            from: "entry-1".into(),
            organisations,
            requests: 0,
            running: Vec::new(),
        };
        for _ in 0..waiting + RUNNING as usize {
            let message = crowd.next();
            crowd.send(message);
        }
        crowd
    }

    fn next(&mut self) -> ToOwner {
        self.requests += 1;
        let i = self.requests;
        ToOwner::Reserve(Reservation {
            request: format!("entry-1-1700000000000-{i}").into(),
            holder: InstanceId::clone(&self.from),
            organisation: format!("organisation-{}", i * 7 % self.organisations).into(),
            weight: 1 + (i % 3) as u32,
            rank: (i % TIERS) as u8,
            work: Work::new(100 + (i as u64 * 37) % 900, 50 + (i as u64 * 13) % 200),
            prefixes: (0..8).map(|p| (i % 50 * 8 + p) as u64).collect(),
            time_left: Duration::from_mins(10),
            asked: 1,
        })
    }

    fn send(&mut self, message: ToOwner) {
        for send in self.queue.on_message(self.now, &self.from, message) {
            if let ToHolder::Grant { request, .. } = send.message {
                self.running.push(request);
            }
        }
    }

    fn finish_first(&mut self) -> ToOwner {
        let request = self.running.remove(0);
        let outcome = RequestOutcome {
            whole: true,
            first_token: Some(Duration::from_millis(100)),
            between_tokens: Some(Duration::from_millis(20)),
            work: Work::new(100, 50),
        };
        ToOwner::Finished { request, outcome }
    }

    /// Reserves with a steady number waiting.
    fn time_reserve(&mut self, rounds: u64) -> Duration {
        let mut total = Duration::ZERO;
        for _ in 0..rounds {
            let message = self.next();
            let ToOwner::Reserve(reservation) = &message else {
                continue;
            };
            let request = RequestId::clone(&reservation.request);
            let start = WallClock::now();
            let sends = self.queue.on_message(self.now, &self.from, message);
            total += start.elapsed();
            black_box(sends);
            self.send(ToOwner::Withdraw { request });
        }
        total
    }

    /// Ends the request that ran longest, which grants its slot to the next.
    fn time_grant(&mut self, rounds: u64) -> Duration {
        let mut total = Duration::ZERO;
        for _ in 0..rounds {
            let message = self.finish_first();
            let start = WallClock::now();
            let sends = self.queue.on_message(self.now, &self.from, message);
            total += start.elapsed();
            for send in sends {
                if let ToHolder::Grant { request, .. } = send.message {
                    self.running.push(request);
                }
            }
            let message = self.next();
            self.send(message);
        }
        total
    }
}

fn waiting(criterion: &mut Criterion) {
    for (name, time) in [
        ("reserve", Crowd::time_reserve as fn(&mut Crowd, u64) -> _),
        ("finish_and_grant", Crowd::time_grant),
    ] {
        let mut group = criterion.benchmark_group(format!("{name}/waiting"));
        for size in SIZES {
            let mut crowd = Crowd::new(size, 100);
            group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
                bencher.iter_custom(|rounds| time(&mut crowd, rounds));
            });
        }
        group.finish();
        let mut group = criterion.benchmark_group(format!("{name}/organisations"));
        for size in SIZES {
            let mut crowd = Crowd::new(10_000, size);
            group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
                bencher.iter_custom(|rounds| time(&mut crowd, rounds));
            });
        }
        group.finish();
    }
}

fn tick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("tick/waiting");
    for size in SIZES {
        let mut crowd = Crowd::new(size, 100);
        let now = crowd.now;
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| black_box(crowd.queue.on_tick(now)));
        });
    }
    group.finish();
}

fn ownership(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("owner/instances");
    for size in [7, 66, 330] {
        let live: Vec<InstanceId> = (0..size).map(|i| format!("entry-{i}").into()).collect();
        group.bench_function(BenchmarkId::new("owner", size), |bencher| {
            bencher.iter(|| owner(black_box("drafting-17"), &live));
        });
        group.bench_function(BenchmarkId::new("ranked", size), |bencher| {
            bencher.iter(|| ranked(black_box("drafting-17"), &live));
        });
    }
    group.finish();
}

fn holder(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("holder_renew/replicas");
    for size in [10, 100, 600] {
        let now = Instant::now();
        let mut holder = Holder::new("entry-1".into(), 1);
        for i in 0..size {
            let upstreams: [UpstreamId; 1] = [format!("drafting-{i}").into()];
            let mut crowd = Crowd::new(0, 1);
            crowd.requests = i;
            if let ToOwner::Reserve(reservation) = crowd.next() {
                holder.reserve(now, reservation, &upstreams);
            }
        }
        let mut at = now;
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| {
                at += Duration::from_millis(150);
                black_box(holder.on_tick(at))
            });
        });
    }
    group.finish();
}

fn prefixes(criterion: &mut Criterion) {
    let mut cache = PrefixCache::new();
    let chain = |i: u64| -> Vec<u64> { (i * 16..i * 16 + 16).collect() };
    for i in 0..256 {
        cache.on_grant(&chain(i));
    }
    let mut i = 0;
    criterion.bench_function("prefixes/cached_16_of_4096", |bencher| {
        bencher.iter(|| {
            i = (i + 1) % 256;
            cache.cached(black_box(&chain(i)))
        });
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = waiting, tick, ownership, holder, prefixes
}
criterion_main!(benches);
