//! Callers keep their connections to an instance and send one request after the other. When the
//! instance leaves it closes what is idle; a request that is on its way to it at that moment meets
//! a closed connection, and its caller can't tell whether it ran.
//!
//! While the instance leaves, its answers tell callers that the connection ends with them, so that
//! no request is on its way on a kept connection when it is closed.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;
use yare::parameterized;

use crate::fleet::{BETWEEN_REGIONS, Fleet, FleetConfig, key_of};
use crate::relay::Relay;

const CALLERS: u64 = 32;
/// Longest pause of a caller between two requests.
const MAX_PAUSE: Duration = Duration::from_millis(40);
/// Time for callers to be at work before the stop.
const AT_WORK: Duration = Duration::from_millis(500);

/// What a caller met on one connection.
#[derive(Debug, Default)]
struct Kept {
    answered: u32,
    /// The last request was sent and got no whole answer.
    lost: Option<String>,
}

async fn connect(addr: SocketAddr) -> SendRequest<Empty<Bytes>> {
    let socket = TcpStream::connect(addr).await.expect("the relay accepts");
    let (sender, connection) = handshake(TokioIo::new(socket)).await.expect("HTTP/1");
    tokio::spawn(connection);
    sender
}

fn request() -> Request<Empty<Bytes>> {
    Request::get("/v1/requests/none")
        .header("host", "kingcup")
        .header("authorization", format!("Bearer {}", key_of("terminal-a")))
        .body(Empty::new())
        .expect("a request")
}

/// Sends requests on one connection until it is closed.
async fn call_until_closed(addr: SocketAddr, mut rng: ChaCha8Rng) -> Kept {
    let mut sender = connect(addr).await;
    let mut kept = Kept::default();
    while sender.ready().await.is_ok() {
        match sender.send_request(request()).await {
            // It was not sent, as the caller had just heard of the end.
            Err(e) if e.is_canceled() => break,
            Err(e) => {
                kept.lost = Some(e.to_string());
                break;
            }
            Ok(rsp) => match rsp.into_body().collect().await {
                Ok(_) => kept.answered += 1,
                Err(e) => kept.lost = Some(e.to_string()),
            },
        }
        sleep(rng.random_range(Duration::ZERO..MAX_PAUSE)).await;
    }
    kept
}

#[parameterized(
    first = { 91 },
    second = { 92 },
)]
#[test_macro(tokio::test)]
async fn a_request_on_a_kept_connection_is_answered_or_not_sent(seed: u64) {
    let mut fleet = Fleet::start(FleetConfig::small()).await;
    let relay = Relay::start(fleet.entries[0].addr).await;
    relay.set(BETWEEN_REGIONS);
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let rng = ChaCha8Rng::seed_from_u64(seed * 1000 + number);
        callers.spawn(call_until_closed(relay.addr(), rng));
    }
    sleep(AT_WORK).await;
    fleet.entries[0].process.terminate();
    let kept = callers.join_all().await;
    let status = fleet.entries[0].process.ended().await;
    assert!(status.success(), "{status}");
    assert!(kept.iter().all(|kept| kept.answered > 0), "{kept:?}");
    let lost: Vec<&Kept> = kept.iter().filter(|kept| kept.lost.is_some()).collect();
    assert!(
        lost.is_empty(),
        "{} of {CALLERS} lost: {lost:?}",
        lost.len()
    );
}
