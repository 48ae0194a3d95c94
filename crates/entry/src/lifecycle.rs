//! The life of a process: start, signals, and an end that cuts nothing.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::{Instant, interval, sleep};

use crate::adapter::{DirectoryClient, ProtocolAdapter};
use crate::log::{self, Priority};
use crate::node::{Node, Stage};
use crate::settings::Settings;
use crate::shutdown::Stop;
use crate::{directory, gossip, reload, server};

/// How often waiting requests are looked at.
const WAITING_TICK: Duration = Duration::from_millis(20);

/// How often idle connections are looked at.
const HOUSEKEEPING: Duration = Duration::from_secs(1);

/// Runs an instance until it is told to stop.
///
/// `path` is the file that the settings came from; it may change meanwhile.
pub fn run(
    cfg: Settings,
    path: PathBuf,
    protocol: Rc<dyn ProtocolAdapter>,
    directory_client: Rc<dyn DirectoryClient>,
) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    let node = local.block_on(&runtime, live(cfg, path, protocol, directory_client))?;
    let taken = node.taken.get();
    node.stage.send_replace(Stage::Ended);
    // Requests and streams that are dropped now say so in the log.
    drop(local);
    node.log
        .line(Priority::High, format_args!("event=ended taken={taken}"));
    node.log.close();
    Ok(())
}

async fn live(
    cfg: Settings,
    path: PathBuf,
    protocol: Rc<dyn ProtocolAdapter>,
    directory_client: Rc<dyn DirectoryClient>,
) -> std::io::Result<Rc<Node>> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let hup = signal(SignalKind::hangup())?;
    let callers = TcpListener::bind(cfg.listen).await?;
    let ready = TcpListener::bind(cfg.ready_listen).await?;
    let peers = TcpListener::bind(cfg.peer_listen).await?;
    let datagrams = UdpSocket::bind((cfg.address(), cfg.peer_port)).await?;
    let node = Node::new(cfg, protocol, directory_client);
    node.log.line(
        Priority::High,
        format_args!(
            "event=start instance={} listen={} ready_listen={} peer_listen={}",
            node.settings().instance,
            callers.local_addr()?,
            ready.local_addr()?,
            peers.local_addr()?
        ),
    );
    let spawn = tokio::task::spawn_local::<std::pin::Pin<Box<dyn Future<Output = ()>>>>;
    let accepting = spawn(Box::pin(server::serve(Rc::clone(&node), callers)));
    spawn(Box::pin(server::serve_ready(Rc::clone(&node), ready)));
    spawn(Box::pin(server::serve_peers(Rc::clone(&node), peers)));
    spawn(Box::pin(gossip::run(
        Rc::clone(&node),
        datagrams,
        incarnation(),
    )));
    spawn(Box::pin(directory::run(Rc::clone(&node))));
    spawn(Box::pin(watch_waiting(Rc::clone(&node))));
    spawn(Box::pin(keep_house(Rc::clone(&node))));
    spawn(Box::pin(flush_log(Rc::clone(&node))));
    spawn(Box::pin(reload::run(Rc::clone(&node), path, hup)));
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Stop::new(&node)
        .close()
        .await
        .shut(accepting)
        .await
        .end()
        .await;
    Ok(node)
}

/// Grows with each start of a machine's process.
fn incarnation() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    now.as_micros() as u64
}

/// Gives up waiting requests in time, and tries again to place those for which a replica was left
/// alone for a while.
async fn watch_waiting(node: Rc<Node>) {
    loop {
        if node.dispatch.borrow().waiting() == 0 {
            node.waiting.notified().await;
        }
        sleep(WAITING_TICK).await;
        node.give_up();
        node.pump();
    }
}

async fn keep_house(node: Rc<Node>) {
    let mut ticks = interval(HOUSEKEEPING);
    loop {
        ticks.tick().await;
        let now = Instant::now();
        // How late news comes depends on how many instances are heard.
        node.refresh_replicas();
        for target in node.targets() {
            target.pool.reap(now);
        }
        if let Some(slept) = node.clock.woke() {
            node.log.line(
                Priority::High,
                format_args!("event=woke suspended_ms={}", slept.as_millis()),
            );
            node.reread.notify_one();
        }
    }
}

async fn flush_log(node: Rc<Node>) {
    let mut ticks = interval(log::FLUSH_INTERVAL);
    loop {
        ticks.tick().await;
        node.metrics.count_dropped_lines(node.log.flush());
    }
}
