//! Runs the schedule as an open loop: calls start at their times, however slow responses are.

use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use super::call::CallResult;
use super::tally::Tally;
use super::{Arrival, Arrivals};

/// Maximum number of calls in flight; further calls are counted as not sent.
///
/// Sixteen thousand waiting streams use about a gigabyte of memory in the load generator. A system
/// with more waiting calls has already failed, and the load generator must not exhaust the memory
/// of its own machine.
pub const MAX_IN_FLIGHT: usize = 16_384;

/// Passes every arrival and its scheduled time to `call` at that time and counts the results.
///
/// `progress` is called with the numbers of scheduled and ended calls after each start, and after
/// each end once all calls have started.
pub async fn run<'a, C, F, P>(arrivals: Arrivals<'a>, mut call: C, mut progress: P) -> Tally
where
    C: FnMut(&Arrival<'a>, Instant) -> F,
    F: Future<Output = CallResult> + Send + 'static,
    P: FnMut(u64, u64),
{
    let start = Instant::now();
    let mut tally = Tally::new();
    let mut in_flight = JoinSet::new();
    for arrival in arrivals {
        let scheduled = start + arrival.at;
        wait_until(scheduled, &mut in_flight, &mut tally).await;
        tally.record_arrival(&arrival, scheduled.elapsed());
        if in_flight.len() >= MAX_IN_FLIGHT {
            tally.record_dropped(&arrival);
            continue;
        }
        let (key, future) = (tally.count_key(&arrival), call(&arrival, scheduled));
        in_flight.spawn(async move { (key, future.await) });
        progress(tally.total_scheduled(), tally.total_ended());
    }
    while let Some(joined) = in_flight.join_next().await {
        if let Ok((key, result)) = joined {
            tally.record_end(key, &result);
        }
        progress(tally.total_scheduled(), tally.total_ended());
    }
    tally.with_duration(start.elapsed().max(Duration::from_millis(1)))
}

// Calls in flight, each with the counters for its result.
type InFlightCalls = JoinSet<(super::tally::CountKey, CallResult)>;

// Waits until `scheduled` and counts the calls that end in the meantime.
async fn wait_until(scheduled: Instant, in_flight: &mut InFlightCalls, tally: &mut Tally) {
    loop {
        tokio::select! {
            biased;
            () = sleep_until(scheduled) => return,
            Some(joined) = in_flight.join_next() => {
                if let Ok((key, result)) = joined {
                    tally.record_end(key, &result);
                }
            }
        }
    }
}
