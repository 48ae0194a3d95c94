//! A server that is told to stop. A caller has connected and sent its request, and the connection
//! is reset without an answer: the caller can't tell whether its request ran. The request lay in
//! the listen queue, or was still on its way on a connection that was accepted, when the server
//! looked what it had to end and counted it as nothing.

use std::time::Duration;

use axum::Router;
use axum::routing::get;
use kingcupfield::server::Server;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use yare::parameterized;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
/// A server that does not answer or end within this never will.
const PATIENCE: Duration = Duration::from_secs(5);
/// Time for the server to accept what has connected.
const ACCEPTED: Duration = Duration::from_millis(100);

fn run(server: Server, stop: &watch::Sender<bool>) -> JoinHandle<()> {
    let router = Router::new().route("/", get(|| async { "answer" }));
    tokio::spawn(server.run(router, stop.subscribe()))
}

fn bind() -> Server {
    let any = "127.0.0.1:0".parse().expect("an address");
    Server::bind(any).expect("a free port")
}

async fn in_time<F>(what: &str, future: F) -> F::Output
where
    F: Future,
{
    let output = timeout(PATIENCE, future).await;
    output.unwrap_or_else(|_| panic!("never came true: {what}"))
}

/// What comes until the server closes the connection.
async fn rest(mut socket: TcpStream) -> String {
    let mut bytes = Vec::new();
    in_time("the end", socket.read_to_end(&mut bytes))
        .await
        .ok();
    String::from_utf8_lossy(&bytes).into_owned()
}

fn is_whole(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 200") && answer.ends_with("answer")
}

#[tokio::test]
async fn requests_in_the_listen_queue_are_answered() {
    let server = bind();
    let mut sockets = Vec::new();
    for _ in 0..8 {
        let mut socket = TcpStream::connect(server.local()).await.expect("a queue");
        socket.write_all(REQUEST).await.expect("sent");
        sockets.push(socket);
    }
    let stop = watch::Sender::new(true);
    let ended = run(server, &stop);
    for socket in sockets {
        let answer = rest(socket).await;
        assert!(is_whole(&answer), "{answer:?}");
    }
    in_time("the server ends", ended).await.expect("no panic");
}

#[parameterized(
    nothing_came_yet = { 0 },
    a_part_came = { 9 },
)]
#[test_macro(tokio::test)]
async fn a_request_on_its_way_on_an_accepted_connection_is_answered(sent: usize) {
    let server = bind();
    let mut socket = TcpStream::connect(server.local()).await.expect("a queue");
    let stop = watch::Sender::new(false);
    let ended = run(server, &stop);
    socket.write_all(&REQUEST[..sent]).await.expect("sent");
    sleep(ACCEPTED).await;
    stop.send_replace(true);
    sleep(ACCEPTED).await;
    socket.write_all(&REQUEST[sent..]).await.expect("sent");
    let answer = rest(socket).await;
    assert!(is_whole(&answer), "{answer:?}");
    in_time("the server ends", ended).await.expect("no panic");
}

#[tokio::test]
async fn a_connection_that_sends_nothing_does_not_keep_the_server() {
    let server = bind();
    let _socket = TcpStream::connect(server.local()).await.expect("a queue");
    let stop = watch::Sender::new(false);
    let ended = run(server, &stop);
    sleep(ACCEPTED).await;
    stop.send_replace(true);
    in_time("the server ends", ended).await.expect("no panic");
}
