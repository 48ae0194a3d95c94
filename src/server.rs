//! Serves a router over HTTP/1.1 and h2c with limits on connections and headers.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use hyper::body::Incoming;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use kingcupfield_entry::accept_queue::AcceptQueue;
use kingcupfield_transfer::account::Account;
use kingcupfield_transfer::caller_io::CallerIo;
use kingcupfield_transfer::connections::{CallerConnection, CallerConnections};
use kingcupfield_transfer::listener::listen;
use kingcupfield_transfer::machine::Machine;
use kingcupfield_transfer::tracked_body::TrackedBody;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::sleep;
use tower::ServiceExt;

use crate::error::{Error, Result};

/// Headers that take longer to arrive end the connection.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a connection that has sent nothing yet is kept when the server stops: a request that
/// follows its connection is here within a round trip between regions.
const FIRST_BYTE_WITHIN: Duration = Duration::from_secs(1);

/// Largest head of a request; a larger one is answered 431.
const HEADER_LIMIT: usize = 32 * 1024;

/// Concurrent streams of one h2c connection.
const MAX_STREAMS: u32 = 256;

/// Most connections at a time, on any machine; more wait in the listen queue.
pub const MAX_CONNECTIONS: usize = 4096;

/// Bytes that the kernel buffers for each connection before they are read.
const RECEIVE_BUFFER_BYTES: u32 = 32 * 1024;

/// Pause after a failed accept, e.g. for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A listener that has its port.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    local: SocketAddr,
    limits: Limits,
}

/// What all connections together may take.
#[derive(Debug, Clone)]
struct Limits {
    connections: Arc<CallerConnections>,
    memory: Account,
}

impl Limits {
    fn new(machine: Machine, memory: Account) -> Self {
        let max = machine.caller_connections().min(MAX_CONNECTIONS);
        Self {
            connections: Arc::new(CallerConnections::new(max)),
            memory,
        }
    }
}

impl Server {
    /// Binds `address`.
    pub fn bind(address: SocketAddr) -> Result<Self> {
        let wrap = |e| Error::io(format!("listen on {address}"), e);
        let listener = listen(address, RECEIVE_BUFFER_BYTES).map_err(wrap)?;
        let local = listener.local_addr().map_err(wrap)?;
        let machine = Machine::read();
        let limits = Limits::new(machine, Account::new(machine.caller_bytes()));
        Ok(Self {
            listener,
            local,
            limits,
        })
    }

    /// Sets the machine's limits and the account of the memory for callers.
    pub fn with_limits(mut self, machine: Machine, memory: Account) -> Self {
        self.limits = Limits::new(machine, memory);
        self
    }

    /// The address with the port that the system chose.
    pub fn local(&self) -> SocketAddr {
        self.local
    }

    /// Serves `router` until `stop` turns true, then until the last connection has ended.
    pub async fn run(self, router: Router, stop: watch::Receiver<bool>) {
        let max = self.limits.connections.max();
        let permits = Arc::new(Semaphore::new(max));
        tokio::select! {
            () = self.accept(&router, &permits, &stop) => {}
            () = stopped(stop.clone()) => {}
        }
        self.accept_queued(&router, &permits, &stop).await;
        // Each connection has its permit from when it was accepted, and none comes any more.
        let all = permits.acquire_many(max as u32).await;
        drop(all.expect("never closed"));
    }

    /// Accepts connections for ever.
    async fn accept(
        &self,
        router: &Router,
        permits: &Arc<Semaphore>,
        stop: &watch::Receiver<bool>,
    ) {
        loop {
            while !self.limits.connections.make_room() {
                sleep(ACCEPT_PAUSE).await;
            }
            let permit = permits.clone().acquire_owned().await;
            let permit = permit.expect("never closed");
            match self.listener.accept().await {
                Ok((socket, _)) => {
                    spawn(socket, router.clone(), stop.clone(), &self.limits, permit);
                }
                Err(e) => {
                    log::warn!(
                        "event=accept_failed reason={}",
                        crate::logging::quote_value(e)
                    );
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Accepts what is in the listen queue, then closes it.
    ///
    /// What connects between the last look and the close is reset all the same: by then the
    /// balancer has to send elsewhere.
    async fn accept_queued(
        self,
        router: &Router,
        permits: &Arc<Semaphore>,
        stop: &watch::Receiver<bool>,
    ) {
        if let Err(e) = self.try_accept_queued(router, permits, stop).await {
            log::warn!("event=queue_cut reason={}", crate::logging::quote_value(e));
        }
    }

    async fn try_accept_queued(
        self,
        router: &Router,
        permits: &Arc<Semaphore>,
        stop: &watch::Receiver<bool>,
    ) -> io::Result<()> {
        let queue = AcceptQueue::new(self.listener)?;
        for _ in 0..self.limits.connections.max() {
            let permit = permits.clone().acquire_owned().await;
            let permit = permit.expect("never closed");
            let Some(socket) = queue.next()? else {
                break;
            };
            spawn(socket, router.clone(), stop.clone(), &self.limits, permit);
        }
        Ok(())
    }
}

fn spawn(
    socket: TcpStream,
    router: Router,
    stop: watch::Receiver<bool>,
    limits: &Limits,
    permit: OwnedSemaphorePermit,
) {
    let limits = limits.clone();
    tokio::spawn(async move {
        let caller = limits.connections.add();
        serve(socket, router, stop, &caller, limits.memory).await;
        if let Some(reason) = limits.connections.remove(&caller) {
            log::debug!("event=connection_closed reason={}", reason.as_str());
        }
        drop(permit);
    });
}

/// Serves one connection to its end, or to its last answer once `stop` turns true.
async fn serve(
    socket: TcpStream,
    router: Router,
    stop: watch::Receiver<bool>,
    caller: &Arc<CallerConnection>,
    memory: Account,
) {
    socket.set_nodelay(true).ok();
    let has_sent = tokio::select! {
        has_sent = sends(&socket, stop.clone()) => has_sent,
        () = caller.closing() => false,
    };
    if !has_sent {
        return;
    }
    let requests = Arc::clone(caller);
    let service = hyper::service::service_fn(move |mut req: hyper::Request<Incoming>| {
        let router = router.clone();
        let progress = Arc::new(requests.begin_request());
        req.extensions_mut().insert(Arc::clone(&progress));
        // An idle connection has no room for a request's state.
        Box::pin(async move {
            let rsp = router.oneshot(req.map(Body::new)).await;
            progress.on_arrived();
            let rsp = rsp.unwrap_or_else(|e| match e {});
            Ok::<_, Infallible>(rsp.map(|body| TrackedBody::new(body, progress)))
        })
    });
    let socket = CallerIo::new(socket, Arc::clone(caller), memory, HEADER_TIMEOUT);
    let builder = builder();
    let mut connection = pin!(builder.serve_connection(TokioIo::new(socket), service));
    // The connection goes first, so that it takes what has arrived before it is told: it is closed
    // at once when it has read nothing.
    let ended = tokio::select! {
        biased;
        ended = connection.as_mut() => Some(ended),
        () = caller.closing() => {
            if caller.is_between_requests() {
                return;
            }
            None
        }
        () = stopped(stop) => None,
    };
    let ended = if let Some(ended) = ended {
        ended
    } else {
        connection.as_mut().graceful_shutdown();
        connection.await
    };
    if let Err(e) = ended {
        log::debug!(
            "event=connection_failed reason={}",
            crate::logging::quote_value(e)
        );
    }
}

fn builder() -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(HEADER_LIMIT);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(HEADER_LIMIT as u32);
    builder
}

/// Waits for the first byte; false if the server stops and none comes.
///
/// A connection is no request, but one may be on its way on it. Its caller would see the
/// connection end without an answer, and could not tell whether the request ran.
async fn sends(socket: &TcpStream, stop: watch::Receiver<bool>) -> bool {
    let given_up = async {
        stopped(stop).await;
        sleep(FIRST_BYTE_WITHIN).await;
    };
    let mut first = [0];
    tokio::select! {
        biased;
        peeked = socket.peek(&mut first) => peeked.is_ok_and(|len| len > 0),
        () = given_up => false,
    }
}

/// Waits until `stop` turns true, or until nobody is left who could turn it.
async fn stopped(mut stop: watch::Receiver<bool>) {
    stop.wait_for(|stop| *stop).await.ok();
}
