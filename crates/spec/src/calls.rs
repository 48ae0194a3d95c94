//! Many non-idempotent calls around the kill of an instance, each driven through the real issuer,
//! witness and receiving instance as far as it came before the kill.

use std::time::Duration;

use kingcupfield_decisions::idempotency::{
    CallAttempt, IssuerReply, KeyIssuer, KeyOutcome, Permission, Receiver, ReceiverStep,
    StoredResponse, UseDecision, Witness, WitnessId,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

/// Entry instances of a firm today.
const INSTANCES: u32 = 7;

/// Calls arrive evenly over this time, the kill comes in its middle.
const WINDOW: Duration = Duration::from_secs(10);

/// Time from the permission to the witness and back, inside a zone.
const WITNESS_ROUND: Duration = Duration::from_millis(2);

/// How a call may run.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Mean time that a call waits for a slot.
    pub wait: Duration,
    /// Mean time that a call runs.
    pub run: Duration,
}

/// What became of the calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ends {
    /// Calls in the window.
    pub calls: u32,
    /// Calls whose issuer was killed before they had their answer.
    pub hit: u32,
    /// Of these, told "not run".
    pub not_run: u32,
    /// Of these, told "unknown".
    pub unknown: u32,
    /// Calls that ran twice.
    pub doubled: u32,
}

/// How far one call had come when its issuer was killed.
#[derive(Debug, Clone, Copy)]
struct Progress {
    arrived: bool,
    asked: bool,
    permitted: bool,
    dispatched: bool,
    finished: bool,
}

fn exponential(rng: &mut ChaCha8Rng, mean: Duration) -> Duration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    mean.mul_f64(-uniform.ln())
}

fn progress(rng: &mut ChaCha8Rng, load: Load) -> Progress {
    let kill = WINDOW / 2;
    let arrival = WINDOW.mul_f64(rng.random_range(0.0..1.0));
    let asks = arrival + exponential(rng, load.wait);
    let dispatch = asks + WITNESS_ROUND;
    let finish = dispatch + exponential(rng, load.run);
    Progress {
        arrived: arrival < kill,
        asked: asks < kill,
        permitted: asks + WITNESS_ROUND / 2 < kill,
        dispatched: dispatch < kill,
        finished: finish < kill,
    }
}

/// Sends `calls` calls with keys issued here, with or without a witness.
pub fn issued_keys(calls: u32, load: Load, with_witness: bool, seed: u64) -> Ends {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut ends = Ends {
        calls,
        ..Ends::default()
    };
    for _ in 0..calls {
        let progress = progress(&mut rng, load);
        let killed = rng.random_range(0..INSTANCES) == 0;
        if !killed || progress.finished {
            continue;
        }
        ends.hit += 1;
        match end_of(progress, with_witness) {
            KeyOutcome::NotRun(_) => ends.not_run += 1,
            KeyOutcome::Unknown { .. } => ends.unknown += 1,
            KeyOutcome::Ran { .. } => {}
        }
    }
    ends
}

/// Drives one call to where it was at the kill, then lets its receiving instance find out.
fn end_of(progress: Progress, with_witness: bool) -> KeyOutcome {
    let now = Instant::now();
    let mut keys = KeyIssuer::new("issuer".into(), 1, now);
    let mut witness = Witness::new(1);
    let name = with_witness.then(|| WitnessId {
        instance: "witness".into(),
        incarnation: 1,
    });
    let key = keys.issue(now, "org".into(), name);
    let call = CallAttempt {
        id: "call".into(),
        hash: 1,
        deadline: now + WINDOW,
    };
    if progress.arrived {
        assert_eq!(keys.on_use(now, &key, call), UseDecision::First);
    }
    if progress.asked
        && let Permission::AskWitness { message, .. } =
            keys.request_permission(now, key.sequence, &"replica".into())
        && progress.permitted
    {
        let answer = witness.on_message(now, &message);
        keys.on_witness_reply(key.sequence, Some(&answer))
            .expect("the first question");
    }
    if progress.dispatched {
        keys.dispatch(now, key.sequence)
            .expect("permitted and in time");
    }
    if progress.finished {
        let answer = StoredResponse {
            status: 201,
            content_type: None,
            body: Vec::new(),
        };
        let ended = keys.finish(key.sequence, Some(answer));
        return ended.expect("it was running");
    }
    let mut receiver = Receiver::start(key, None).receiver;
    let mut step = receiver.on_unreachable();
    loop {
        step = match step {
            Some(ReceiverStep::Close { message, .. }) => {
                receiver.on_witness_reply(witness.on_message(now, &message))
            }
            Some(ReceiverStep::Answer(outcome)) => return outcome,
            _ => receiver.on_issuer_reply(IssuerReply::NotHere),
        };
    }
}

/// Sends `calls` calls with keys that callers choose and that are hashed to an owner: whoever a
/// receiving instance takes for the owner dispatches, and a caller without an answer tries again.
pub fn hashed_keys(calls: u32, load: Load, seed: u64) -> Ends {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut ends = Ends {
        calls,
        ..Ends::default()
    };
    for _ in 0..calls {
        let progress = progress(&mut rng, load);
        let killed = rng.random_range(0..INSTANCES) == 0;
        if killed && !progress.finished {
            ends.hit += 1;
            // The next owner knows nothing of the first dispatch.
            ends.doubled += u32::from(progress.dispatched);
        }
    }
    ends
}
