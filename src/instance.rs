//! One entry instance: wires the services, serves, and leaves without cutting a request.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join_all;
use kingcupfield_transfer::account::{Account, Refused};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{interval, sleep};

use crate::admin::{self, Admin};
use crate::error::{Error, Result};
use crate::fleet::Fleet;
use crate::gateway;
use crate::issue;
use crate::kernel::Kernel;
use crate::logging::quote_value;
use crate::metrics::Metrics;
use crate::peer_server::PeerServer;
use crate::peers::{PeerToken, Peers};
use crate::server::Server;
use crate::services::{Services, services};
use crate::settings::Settings;
use crate::shared::Shared;

/// Pause between two contacts at the start.
const GREET_EVERY: Duration = Duration::from_millis(200);

/// How long a leaving instance goes on accepting what the balancer still sends: balancers of both
/// firms check readiness every second and need two misses.
const LINGER: Duration = Duration::from_secs(3);

/// Interval at which the memory held for callers is looked at.
const MEMORY_WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// A running entry instance.
#[derive(Debug)]
pub struct Instance {
    listen: SocketAddr,
    admin_listen: SocketAddr,
    rpc_listen: SocketAddr,
    shared: Shared,
    drain: watch::Sender<bool>,
    ended: JoinHandle<Result<()>>,
}

impl Instance {
    /// Starts an instance; it serves when this returns, and is ready when `/readyz` says so.
    pub async fn start(cfg: &Settings) -> Result<Self> {
        let callers = Server::bind(cfg.listen)?;
        let operators = Server::bind(cfg.admin_listen)?;
        let token = PeerToken::new(&cfg.secret()?);
        let mut kernel = Kernel::new();
        let Services {
            shared,
            peers,
            inbox,
        } = services(cfg, token.clone(), &mut kernel)?;
        let server = PeerServer::start(cfg.rpc_listen, token, inbox, shared.clone()).await?;
        tokio::spawn(greet(cfg.peers.clone(), shared.fleet.clone(), peers));
        let (drain, _) = watch::channel(false);
        let admin = Admin {
            shared: shared.clone(),
            dumps: kernel.dumps(),
            drain: drain.clone(),
        };
        let (listen, admin_listen, rpc_listen) =
            (callers.local(), operators.local(), server.local());
        let stop = Stop::new();
        let machine = cfg.machine();
        log::info!(
            "event=caller_limits memory_bytes={} for_callers_bytes={} descriptors={} connections={}",
            machine.memory_bytes,
            shared.memory.limit(),
            machine.descriptors,
            machine.caller_connections()
        );
        let callers = callers.with_limits(machine, shared.memory.clone());
        tokio::spawn(watch_memory(shared.memory.clone(), shared.metrics.clone()));
        let callers = tokio::spawn(callers.run(gateway::router(shared.clone()), stop.callers()));
        let operators = tokio::spawn(operators.run(admin::router(admin), stop.operators()));
        let life = Life {
            kernel,
            shared: shared.clone(),
            drain: drain.subscribe(),
            stop,
            callers,
            operators,
            server,
        };
        let ended = tokio::spawn(life.run());
        Ok(Self {
            listen,
            admin_listen,
            rpc_listen,
            shared,
            drain,
            ended,
        })
    }

    /// Address for callers.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Address for operators.
    pub fn admin_listen(&self) -> SocketAddr {
        self.admin_listen
    }

    /// Address for other instances.
    pub fn rpc_listen(&self) -> SocketAddr {
        self.rpc_listen
    }

    /// Handles of the instance, for tests and the demonstration.
    pub fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Starts to leave.
    pub fn drain(&self) {
        self.drain.send_replace(true);
    }

    /// Starts to leave when set to true; outlives a borrow of the instance.
    pub fn drainer(&self) -> watch::Sender<bool> {
        self.drain.clone()
    }

    /// Waits until the instance has left, or died.
    pub async fn ended(self) -> Result<()> {
        self.ended.await.unwrap_or_else(|e| {
            Err(Error::Died {
                name: "instance",
                reason: e.to_string(),
            })
        })
    }
}

/// Logs how many requests were refused for want of memory, at most once a second, and updates the metrics.
async fn watch_memory(memory: Account, metrics: Metrics) {
    let mut before = Refused::default();
    let mut ticks = interval(MEMORY_WATCH_INTERVAL);
    loop {
        ticks.tick().await;
        metrics.set_caller_memory(&memory);
        let refused = memory.refused();
        if refused != before {
            log::warn!(
                "event=caller_memory_short evicted={} denied={} held_bytes={} limit_bytes={}",
                refused.evicted - before.evicted,
                refused.denied - before.denied,
                memory.held(),
                memory.limit()
            );
            before = refused;
        }
    }
}

/// Tells the servers to stop, callers first, operators last.
#[derive(Debug)]
struct Stop {
    callers: watch::Sender<bool>,
    operators: watch::Sender<bool>,
}

impl Stop {
    fn new() -> Self {
        Self {
            callers: watch::channel(false).0,
            operators: watch::channel(false).0,
        }
    }

    fn callers(&self) -> watch::Receiver<bool> {
        self.callers.subscribe()
    }

    fn operators(&self) -> watch::Receiver<bool> {
        self.operators.subscribe()
    }
}

struct Life {
    kernel: Kernel,
    shared: Shared,
    drain: watch::Receiver<bool>,
    stop: Stop,
    callers: JoinHandle<()>,
    operators: JoinHandle<()>,
    server: PeerServer,
}

impl Life {
    async fn run(mut self) -> Result<()> {
        tokio::select! {
            e = self.kernel.died() => {
                log::error!("event=service_died reason={}", crate::logging::quote_value(&e));
                return Err(e);
            }
            _ = self.drain.wait_for(|drain| *drain) => {}
            () = self.shared.members.superseded() => {
                log::warn!("event=superseded instance={}", self.shared.instance);
            }
        }
        log::info!("event=leaving instance={}", self.shared.instance);
        self.shared.leaving.store(true, Ordering::Release);
        self.shared.members.leave().await;
        sleep(LINGER).await;
        self.stop.callers.send_replace(true);
        self.callers.await.ok();
        issue::hand_over(&self.shared).await;
        self.server.stop().await;
        self.stop.operators.send_replace(true);
        self.operators.await.ok();
        // The last line: what is cut on the way has been told before it.
        log::info!("event=left instance={}", self.shared.instance);
        Ok(())
    }
}

/// Asks the contacts of the settings for values, until this instance is ready.
///
/// The platform may be down or old at the start; then the peers know better. Each contact is asked on its
/// own, so that one that takes long or never answers does not hold up the others.
async fn greet(contacts: Vec<SocketAddr>, fleet: Fleet, peers: Peers) {
    let turn = GREET_EVERY * u32::try_from(contacts.len()).unwrap_or(u32::MAX);
    let asks = contacts.into_iter().zip(0..).map(|(contact, n)| {
        let (fleet, peers) = (&fleet, &peers);
        async move {
            sleep(GREET_EVERY * n).await;
            while !fleet.is_ready() {
                ask(contact, fleet, peers).await;
                sleep(turn).await;
            }
        }
    });
    join_all(asks).await;
}

/// Asks one contact for values.
async fn ask(contact: SocketAddr, fleet: &Fleet, peers: &Peers) {
    match peers.ask_values(contact, fleet.announcement()).await {
        Ok(values) => {
            for value in &values {
                fleet.on_peer(value);
            }
        }
        Err(e) => log::debug!(
            "event=contact_failed contact={contact} reason={}",
            quote_value(e)
        ),
    }
}
