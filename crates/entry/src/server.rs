//! Connections of callers, of the balancer's readiness checks and of peers.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use kingcupfield_decisions::known::Revision;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::accept_queue::AcceptQueue;
use crate::log::Priority;
use crate::node::{Node, Stage};
use crate::request;
use crate::snapshot::{SNAPSHOT_PATH, Snapshot};

/// Path of the measures, on the address for peers and operators.
const METRICS_PATH: &str = "/metrics";

/// Idle time before a table is known.
const FIRST_IDLE: Duration = Duration::from_secs(15);

/// How long a connection that was accepted by a closing instance may take to bring its request.
const LATE_REQUEST: Duration = Duration::from_secs(1);

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// An open connection of a caller, counted until all is written.
#[derive(Debug)]
struct Open(Rc<Node>);

impl Open {
    fn new(node: &Rc<Node>) -> Self {
        node.connections.send_modify(|open| *open += 1);
        Self(Rc::clone(node))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.connections.send_modify(|open| *open -= 1);
    }
}

/// Answers callers, and takes connections until the instance listens no more.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let mut stage = node.stage.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => take(&node, stream),
                // Out of descriptors: those that are open end sooner or later.
                Err(_) => sleep(ACCEPT_PAUSE).await,
            },
            _ = stage.wait_for(|stage| *stage >= Stage::Shut) => break,
        }
    }
    take_queued(&node, listener);
}

/// Takes the connections that wait in the listener's queue, and closes the listener: a connection
/// that is closed with it is reset, and its caller may have sent a request already.
fn take_queued(node: &Rc<Node>, listener: TcpListener) {
    let result = AcceptQueue::new(listener).and_then(|queue| {
        while let Some(stream) = queue.next()? {
            take(node, stream);
        }
        Ok(())
    });
    if let Err(e) = result {
        // The rest of the queue is reset; its callers may ask another instance.
        node.log
            .line(Priority::High, format_args!("event=queue_cut reason={e:?}"));
    }
}

fn take(node: &Rc<Node>, stream: TcpStream) {
    let open = Open::new(node);
    let connection = connection(Rc::clone(node), stream);
    tokio::task::spawn_local(async move {
        connection.await;
        drop(open);
    });
}

async fn connection(node: Rc<Node>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut stage = node.stage.subscribe();
    // A connection that comes this late is never idle: it has one request, which it brings at once.
    let late = node.stage() >= Stage::Closing;
    let limits = node.table().map(|t| t.limits);
    let idle = limits.map_or(FIRST_IDLE, |l| l.idle_timeout.max(l.head_timeout));
    let head = limits.map_or(16 * 1024, |l| l.head_bytes).max(8 * 1024);
    let service = {
        let node = Rc::clone(&node);
        service_fn(move |req| {
            let node = Rc::clone(&node);
            async move { Ok::<_, Infallible>(request::serve(node, req).await) }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(if late { idle.min(LATE_REQUEST) } else { idle })
        .keep_alive(!late)
        .max_buf_size(head * 2)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    if !late {
        tokio::select! {
            biased;
            // An error means that the caller went away or sent what is no request.
            _ = connection.as_mut() => return,
            _ = stage.wait_for(|stage| *stage >= Stage::Closing) => {}
        }
        connection.as_mut().graceful_shutdown();
    }
    let _ = connection.await;
}

/// Answers the balancer's question whether this instance is ready.
pub async fn serve_ready(node: Rc<Node>, listener: TcpListener) {
    serve_small(node, listener, |node, _| {
        let status = if node.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        request::empty_response(status)
    })
    .await;
}

/// Answers peers and operators.
pub async fn serve_peers(node: Rc<Node>, listener: TcpListener) {
    serve_small(node, listener, |node, req| match req.uri().path() {
        SNAPSHOT_PATH => tell_directory(node, req.uri().query().unwrap_or_default()),
        METRICS_PATH => text(node.metrics.render(node)),
        _ => request::empty_response(StatusCode::NOT_FOUND),
    })
    .await;
}

fn tell_directory(node: &Node, after: &str) -> Response<Full<Bytes>> {
    let after: Revision = after.parse().unwrap_or(0);
    let known = node.known.borrow();
    let changed = known.entries().iter().filter(|e| e.revision > after);
    let snapshot = Snapshot {
        upto: known.upto(),
        store_trouble: node.reader.borrow().in_trouble(),
        entries: changed.cloned().collect(),
    };
    match rmp_serde::to_vec(&snapshot) {
        Ok(bytes) => Response::new(Full::new(bytes.into())),
        Err(_) => request::empty_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn text(text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    let plain = http::HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}

type Answer = fn(&Node, &Request<Incoming>) -> Response<Full<Bytes>>;

async fn serve_small(node: Rc<Node>, listener: TcpListener, answer: Answer) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors: asked again at once, the system would only say so again.
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let node = Rc::clone(&node);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |req| {
                let response = answer(&node, &req);
                async move { Ok::<_, Infallible>(response) }
            });
            // An error means that the other side went away.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
