//! HTTP servers for callers, for the load balancer's readiness checks and for peers.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use kingcupfield_transfer::caller_io::CallerIo;
use kingcupfield_transfer::connections::CallerConnection;
use kingcupfield_transfer::tracked_body::TrackedBody;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::accept_queue::AcceptQueue;
use crate::bulk::PeerBody;
use crate::log::Priority;
use crate::node::{Node, ProcessState};
use crate::request;
use crate::snapshot::{
    self, LARGE_ENTRIES_PATH, LargeEntries, SNAPSHOT_PATH, Snapshot, SnapshotQuery,
};
use crate::stream_origin::{HISTORY_PATH, History};
use crate::tasks;

/// Path of the metrics, on the address for peers and operators.
const METRICS_PATH: &str = "/metrics";

/// Idle timeout of a caller's connection while no table has been received.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest time until a connection accepted by a closing instance must have sent its request head.
const LATE_HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Size limit in bytes of a request head while no table has been received.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;

/// Bytes of a head beside its header fields.
const START_LINE_BYTES: usize = 2 * 1024;

/// Smallest size limit in bytes of a request head.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Counts an open connection of a caller until all its data is written.
#[derive(Debug)]
struct ConnectionGuard {
    node: Rc<Node>,
    connection: Arc<CallerConnection>,
}

impl ConnectionGuard {
    fn new(node: &Rc<Node>) -> Self {
        node.open_connections.send_modify(|open| *open += 1);
        Self {
            node: Rc::clone(node),
            connection: node.caller_connections.add(),
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let node = &self.node;
        if let Some(reason) = node.caller_connections.remove(&self.connection) {
            node.metrics.count_closed_connection(reason.as_str());
        }
        node.open_connections.send_modify(|open| *open -= 1);
    }
}

/// Accepts connections of callers until the stage `Shut`, then those left in the accept queue.
pub async fn serve_callers(node: Rc<Node>, listener: TcpListener) {
    let listener = Rc::new(listener);
    let accepting = Rc::clone(&listener);
    tasks::supervise(Rc::clone(&node), "callers", move |node| {
        accept_callers(node, Rc::clone(&accepting))
    })
    .await;
    match Rc::try_unwrap(listener) {
        Ok(listener) => drain_accept_queue(&node, listener),
        Err(_) => tasks::log_failure(&node, "callers", "the listener is still in use"),
    }
}

/// Accepts connections of callers until the stage `Shut`.
async fn accept_callers(node: Rc<Node>, listener: Rc<TcpListener>) {
    let mut stage = node.process_state.subscribe();
    loop {
        if !node.caller_connections.make_room() {
            // Those that wait are accepted as soon as another connection has ended.
            tokio::select! {
                () = sleep(ACCEPT_RETRY_DELAY) => continue,
                _ = stage.wait_for(|stage| *stage >= ProcessState::Shut) => return,
            }
        }
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => spawn_connection(&node, stream),
                // Out of file descriptors: some become free when open connections end.
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            },
            _ = stage.wait_for(|stage| *stage >= ProcessState::Shut) => return,
        }
    }
}

/// Accepts the connections in the listener's queue, then closes the listener. Connections still in
/// the queue when it closes are reset, although their callers may have sent a request already.
fn drain_accept_queue(node: &Rc<Node>, listener: TcpListener) {
    let result = AcceptQueue::new(listener).and_then(|queue| {
        while let Some(stream) = queue.next()? {
            spawn_connection(node, stream);
        }
        Ok(())
    });
    if let Err(e) = result {
        // The rest of the queue is reset; its callers may retry at another instance.
        node.log
            .line(Priority::High, format_args!("event=queue_cut reason={e:?}"));
    }
}

/// Serves a connection in a task of its own, counted as open until the task ends.
fn spawn_connection(node: &Rc<Node>, stream: TcpStream) {
    let guard = ConnectionGuard::new(node);
    tasks::spawn(node, "connection", |node| async move {
        serve_connection(node, &guard.connection, stream).await;
        drop(guard);
    });
}

/// Serves the requests of one connection. Once the instance is closing, the connection ends after its
/// current request.
async fn serve_connection(node: Rc<Node>, caller: &Arc<CallerConnection>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut stage = node.process_state.subscribe();
    // A connection accepted this late may send one request, at once, and is never kept idle.
    let late = node.process_state() >= ProcessState::Closing;
    let limits = node.table().map(|t| t.limits);
    let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |l| l.idle_timeout.max(l.head_timeout));
    let head_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |l| l.head_timeout);
    let head_bytes = limits
        .map_or(DEFAULT_HEAD_BYTES, |l| l.head_bytes)
        .max(MIN_HEAD_BYTES);
    let service = {
        let (node, caller) = (Rc::clone(&node), Arc::clone(caller));
        service_fn(move |req| {
            let (node, caller) = (Rc::clone(&node), Arc::clone(&caller));
            // An idle connection has no room for a request's state.
            Box::pin(async move {
                let progress = caller.begin_request();
                let response = request::serve(node, &progress, req).await;
                Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, progress)))
            })
        })
    };
    let account = node.caller_memory.clone();
    let stream = CallerIo::new(stream, Arc::clone(caller), account, head_timeout);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(if late {
            idle_timeout.min(LATE_HEAD_TIMEOUT)
        } else {
            idle_timeout
        })
        .keep_alive(!late)
        .max_buf_size(head_bytes + START_LINE_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    if !late {
        tokio::select! {
            biased;
            // An error means that the caller disconnected or sent no valid request.
            _ = connection.as_mut() => return,
            () = caller.closing() => {
                if caller.is_between_requests() {
                    return;
                }
            }
            _ = stage.wait_for(|stage| *stage >= ProcessState::Closing) => {}
        }
        connection.as_mut().graceful_shutdown();
    }
    let _ = connection.await;
}

/// Serves the load balancer's readiness checks: 200 if ready, 503 otherwise.
pub async fn serve_readiness(node: Rc<Node>, listener: Rc<TcpListener>) {
    serve_with(node, listener, async |node: Rc<Node>, _| {
        let status = if node.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        request::empty_response(status).map(BodyExt::boxed_unsync)
    })
    .await;
}

/// Serves peers and operators: the directory snapshot and the metrics.
pub async fn serve_peers(node: Rc<Node>, listener: Rc<TcpListener>) {
    serve_with(node, listener, async |node: Rc<Node>, req| {
        let query = req.uri().query().unwrap_or_default();
        let response = match req.uri().path() {
            SNAPSHOT_PATH => snapshot_response(&node, query),
            LARGE_ENTRIES_PATH => return large_entries_response(&node, query).await,
            HISTORY_PATH => packed_response(&History::new(&node)),
            METRICS_PATH => text_response(node.metrics.render(&node)),
            _ => request::empty_response(StatusCode::NOT_FOUND),
        };
        response.map(BodyExt::boxed_unsync)
    })
    .await;
}

/// Returns the directory entries that the query of the request asks for.
fn snapshot_response(node: &Node, query: &str) -> Response<Full<Bytes>> {
    let store_trouble = node.directory_reader.borrow().store_failed_recently();
    let query = SnapshotQuery::parse(query);
    packed_response(&Snapshot::new(
        &node.directory.borrow(),
        query,
        store_trouble,
    ))
}

/// Returns the large directory entries that changed after the revision `after`, the query of the request;
/// all of them if it is not a number. Refuses if other transfers are in progress for too long.
async fn large_entries_response(node: &Node, after: &str) -> Response<PeerBody> {
    let Some(transfer) = node.bulk_sender.begin().await else {
        let refusal = request::empty_response(StatusCode::SERVICE_UNAVAILABLE);
        return refusal.map(BodyExt::boxed_unsync);
    };
    let Some(bytes) = pack_large_entries(node, after) else {
        let failure = request::empty_response(StatusCode::INTERNAL_SERVER_ERROR);
        return failure.map(BodyExt::boxed_unsync);
    };
    Response::new(transfer.into_body(bytes, node.settings().link_bytes_per_s()))
}

/// Encodes the large directory entries that changed after a revision.
fn pack_large_entries(node: &Node, after: &str) -> Option<Bytes> {
    let view = node.directory.borrow();
    let mut reader = node.directory_reader.borrow_mut();
    let entries = snapshot::large_entries_after(&view, after.parse().unwrap_or(0))
        .map(|entry| reader.large_values.get(entry))
        .collect::<std::io::Result<Vec<_>>>();
    let message = LargeEntries {
        upto: view.large_up_to(),
        entries: entries.ok()?,
    };
    rmp_serde::to_vec(&message).ok().map(Into::into)
}

/// Returns a message as `MessagePack`.
fn packed_response<M>(message: &M) -> Response<Full<Bytes>>
where
    M: Serialize,
{
    match rmp_serde::to_vec(message) {
        Ok(bytes) => Response::new(Full::new(bytes.into())),
        Err(_) => request::empty_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Returns a text in the Prometheus exposition format.
fn text_response(text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    let plain = http::HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}

/// Accepts connections until the process ends and passes each request, whose body is ignored, to `handler`.
async fn serve_with<H>(node: Rc<Node>, listener: Rc<TcpListener>, handler: H)
where
    H: AsyncFn(Rc<Node>, Request<Incoming>) -> Response<PeerBody> + Copy + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors: an immediate retry would fail the same way.
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        tasks::spawn(&node, "peer_connection", move |node| async move {
            let service = service_fn(move |req| {
                let node = Rc::clone(&node);
                async move { Ok::<_, Infallible>(handler(node, req).await) }
            });
            // An error means that the peer disconnected.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
