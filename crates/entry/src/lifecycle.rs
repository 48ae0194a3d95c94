//! Lifecycle of the process: start, signals and a graceful shutdown.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use kingcupfield_transfer::listener::listen;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Mutex;
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::{Instant, interval, sleep};

use crate::adapter::{DirectoryClient, ProtocolAdapter};
use crate::log::{self, Priority};
use crate::node::{Node, ProcessState};
use crate::settings::Settings;
use crate::shutdown::Shutdown;
use crate::tasks::{self, TaskName};
use crate::{credit, directory, gossip, receiver, reload, server};

/// Interval at which queued requests are checked for expiry and free slots are assigned to them.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Bytes that the kernel buffers for each connection of a caller before they are read.
const RECEIVE_BUFFER_BYTES: u32 = 16 * 1024;

/// Interval at which idle connections are closed and a suspension of the machine is detected.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);

/// Runs an instance until SIGTERM or SIGINT, then shuts it down.
///
/// `path` is the settings file, which is read again on SIGHUP.
pub fn run(
    cfg: Settings,
    path: PathBuf,
    protocol: Rc<dyn ProtocolAdapter>,
    directory_client: Rc<dyn DirectoryClient>,
) -> std::io::Result<()> {
    tasks::record_panics();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    let node = local.block_on(
        &runtime,
        run_until_signal(cfg, path, protocol, directory_client),
    )?;
    let accepted_requests = node.accepted_requests.get();
    node.process_state.send_replace(ProcessState::Ended);
    // Dropping the tasks logs the requests and streams that are cut off.
    drop(local);
    node.log.line(
        Priority::State,
        format_args!("event=ended taken={accepted_requests}"),
    );
    node.log.close();
    Ok(())
}

/// Binds the listeners, starts the tasks and shuts down in order after the first signal.
async fn run_until_signal(
    cfg: Settings,
    path: PathBuf,
    protocol: Rc<dyn ProtocolAdapter>,
    directory_client: Rc<dyn DirectoryClient>,
) -> std::io::Result<Rc<Node>> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let hup = signal(SignalKind::hangup())?;
    let sockets = Sockets::bind(&cfg).await?;
    let node = Node::new(cfg, protocol, directory_client);
    node.log.line(
        Priority::State,
        format_args!(
            "event=start instance={} listen={} ready_listen={} peer_listen={}",
            node.settings().instance,
            sockets.callers.local_addr()?,
            sockets.ready.local_addr()?,
            sockets.peers.local_addr()?
        ),
    );
    node.log_caller_limits();
    let accepting = start_tasks(&node, sockets, path, hup);
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Shutdown::new(&node)
        .close()
        .await
        .shut(accepting)
        .await
        .end()
        .await;
    Ok(node)
}

/// The sockets of an instance.
struct Sockets {
    callers: TcpListener,
    ready: TcpListener,
    peers: TcpListener,
    /// Messages of other instances.
    messages: UdpSocket,
}

impl Sockets {
    async fn bind(cfg: &Settings) -> std::io::Result<Self> {
        Ok(Self {
            callers: listen(cfg.listen, RECEIVE_BUFFER_BYTES)?,
            ready: TcpListener::bind(cfg.ready_listen).await?,
            peers: TcpListener::bind(cfg.peer_listen).await?,
            messages: UdpSocket::bind((cfg.address(), cfg.peer_port)).await?,
        })
    }
}

/// Starts the tasks of an instance; returns the one that accepts connections of callers, which completes after the
/// last one.
fn start_tasks(node: &Rc<Node>, sockets: Sockets, path: PathBuf, hup: Signal) -> JoinHandle<()> {
    let ready = Rc::new(sockets.ready);
    let peers = Rc::new(sockets.peers);
    let received = Rc::new(sockets.messages);
    let sent = Rc::clone(&received);
    let hup = Rc::new(Mutex::new(hup));
    run_always(node, "readiness", move |node| {
        server::serve_readiness(node, Rc::clone(&ready))
    });
    run_always(node, "peers", move |node| {
        server::serve_peers(node, Rc::clone(&peers))
    });
    run_always(node, "receiver", move |node| {
        receiver::receive(node, Rc::clone(&received))
    });
    run_always(node, "sender", move |node| {
        gossip::send_queued(node, Rc::clone(&sent))
    });
    run_always(node, "gossip", |node| gossip::run(node, incarnation()));
    run_always(node, "credit", credit::run);
    run_always(node, "directory", directory::run);
    run_always(node, "queue", check_queue);
    run_always(node, "housekeeping", run_housekeeping);
    run_always(node, "log", flush_log);
    run_always(node, "reload", move |node| {
        reload::run(node, path.clone(), Rc::clone(&hup))
    });
    let callers = sockets.callers;
    tasks::spawn(node, "callers", |node| server::serve_callers(node, callers))
}

/// Starts a task that runs until the process ends.
fn run_always<S, F>(node: &Rc<Node>, name: TaskName, start: S)
where
    S: Fn(Rc<Node>) -> F + 'static,
    F: Future<Output = ()> + 'static,
{
    tokio::task::spawn_local(tasks::supervise(Rc::clone(node), name, start));
}

/// Returns the incarnation number of this process, which is larger than that of any earlier process on
/// the machine: Unix time in microseconds.
fn incarnation() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    now.as_micros() as u64
}

/// Refuses queued requests whose wait has expired, and assigns the slots that no event announces, such
/// as those of a replica whose backoff has ended.
async fn check_queue(node: Rc<Node>) {
    loop {
        if node.dispatch.borrow().waiting_count() == 0 {
            node.queue_wakeup.notified().await;
        }
        sleep(QUEUE_CHECK_INTERVAL).await;
        node.expire_waiting();
        node.assign_slots();
    }
}

/// Closes idle connections and detects suspensions, once per interval.
async fn run_housekeeping(node: Rc<Node>) {
    let mut ticks = interval(HOUSEKEEPING_INTERVAL);
    loop {
        ticks.tick().await;
        let now = Instant::now();
        for target in node.targets() {
            target.pool.close_expired(now);
        }
        node.log_memory_shortage();
        if let Some(suspended) = node.suspend_detector.take_suspension() {
            node.log.line(
                Priority::State,
                format_args!("event=woke suspended_ms={}", suspended.as_millis()),
            );
            node.dispatch.borrow_mut().on_suspension(now, suspended);
            node.resync_wakeup.notify_one();
        }
    }
}

/// Passes collected log lines to the writer thread, once per interval.
async fn flush_log(node: Rc<Node>) {
    let mut ticks = interval(log::FLUSH_INTERVAL);
    loop {
        ticks.tick().await;
        node.metrics.count_dropped_lines(node.log.flush());
    }
}
