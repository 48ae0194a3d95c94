//! An instance leaves while bookings under its keys come in at another one all the time. Callers
//! notice nothing: what begins after the leaver has closed runs at its successor. A call that asked
//! the successor before the keys had arrived there was told that it did not run, and its caller had
//! to fetch another key.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::Method;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::caller::{Call, Caller, Reply};
use crate::fleet::{BOOKINGS, Fleet, FleetConfig, key_of};

/// Callers, so many that a booking is always under way.
const CALLERS: usize = 8;
/// Time that a booking takes.
const SERVICE_TIME_MS: &str = "30";
/// Keys that the leaver issues before it leaves.
const KEYS: usize = 1_900;
/// When the bookings begin, shortly before the instance ends.
const AFTER_STOP: Duration = Duration::from_millis(2_500);
/// How long they go on after its end.
const AFTER_END: Duration = Duration::from_millis(500);

/// Books with one key after the other until told to stop.
async fn book(
    addr: SocketAddr,
    keys: Arc<Mutex<Vec<String>>>,
    stop: watch::Receiver<bool>,
) -> Vec<Option<Reply>> {
    let caller = Caller::new();
    let mut replies = Vec::new();
    while !*stop.borrow() {
        let Some(key) = keys.lock().expect("no caller panicked").pop() else {
            break;
        };
        let call = Call::new(Method::POST, BOOKINGS)
            .with_key(&key_of("terminal-a"))
            .with_header("idempotency-key", &key)
            .with_body(b"crane 4");
        replies.push(caller.call(addr, &call).await);
    }
    replies
}

#[tokio::test]
async fn bookings_under_the_keys_of_a_leaver_go_on() {
    let mut cfg = FleetConfig::small();
    cfg.service_args = vec!["--service-time-ms", SERVICE_TIME_MS];
    let mut fleet = Fleet::start(cfg).await;
    let keys = Arc::new(Mutex::new(fleet.issue_keys(KEYS).await));
    fleet.entries[0].process.terminate();
    sleep(AFTER_STOP).await;
    let stop = watch::Sender::new(false);
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        let addr = fleet.entries[1].addr;
        callers.spawn(book(addr, Arc::clone(&keys), stop.subscribe()));
    }
    let status = fleet.entries[0].process.ended().await;
    assert!(status.success(), "{status}");
    sleep(AFTER_END).await;
    stop.send_replace(true);
    let replies = callers.join_all().await.concat();
    let unused = keys.lock().expect("no caller panicked").len();
    assert!(unused > 0, "it did not end while bookings came");
    let refused: Vec<String> = replies
        .iter()
        .filter(|reply| reply.as_ref().is_none_or(|reply| reply.status != 200))
        .map(|reply| {
            reply
                .as_ref()
                .map_or("no answer".to_owned(), |reply| reply.body.clone())
        })
        .collect();
    let shown: Vec<&String> = refused.iter().take(3).collect();
    assert!(
        refused.is_empty(),
        "{} of {} refused: {shown:?}",
        refused.len(),
        replies.len()
    );
}
