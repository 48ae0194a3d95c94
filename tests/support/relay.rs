//! A TCP relay that can refuse, drop and delay, to cut links between processes.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// What a relay does with what passes through it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Passes everything on.
    Open,
    /// Passes everything on after this time.
    #[allow(dead_code, reason = "not every program of tests delays")]
    Delayed(Duration),
    /// Passes on so many bytes a second in each direction of a connection.
    #[allow(dead_code, reason = "not every program of tests has slow links")]
    Slow(u32),
    /// Accepts connections and passes nothing on, as a network partition does.
    Dropping,
    /// Passes on what comes in and nothing that goes back: requests arrive, answers are lost.
    #[allow(dead_code, reason = "not every program of tests loses answers")]
    OneWay,
    /// Closes all connections and every new one at once.
    Refusing,
}

/// A relay before one address; dropping it stops it.
#[derive(Debug)]
pub struct Relay {
    addr: SocketAddr,
    link: watch::Sender<Link>,
    task: AbortHandle,
}

impl Relay {
    /// Starts a relay that passes on to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = TcpListener::bind(any).await.expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let link = watch::Sender::new(Link::Open);
        let rx = link.subscribe();
        let task = tokio::spawn(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                tokio::spawn(relay(inbound, target, rx.clone()));
            }
        });
        Self {
            addr,
            link,
            task: task.abort_handle(),
        }
    }

    /// Address to connect to in place of the target's.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes what happens to connections, old and new.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn relay(inbound: TcpStream, target: SocketAddr, mut rx: watch::Receiver<Link>) {
    let mut refused = rx.clone();
    let both_ways = async {
        rx.wait_for(|link| *link != Link::Dropping).await.ok();
        let Ok(outbound) = TcpStream::connect(target).await else {
            return;
        };
        inbound.set_nodelay(true).ok();
        outbound.set_nodelay(true).ok();
        let (in_read, in_write) = inbound.into_split();
        let (out_read, out_write) = outbound.into_split();
        tokio::join!(
            copy(in_read, out_write, rx.clone(), |link| link
                != Link::Dropping),
            copy(out_read, in_write, rx.clone(), passes_back),
        );
    };
    tokio::select! {
        () = both_ways => {}
        _ = refused.wait_for(|link| *link == Link::Refusing) => {}
    }
}

fn passes_back(link: Link) -> bool {
    !matches!(link, Link::Dropping | Link::OneWay)
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut rx: watch::Receiver<Link>,
    passes: fn(Link) -> bool,
) {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let Ok(count) = from.read(&mut buf).await else {
            return;
        };
        rx.wait_for(|link| passes(*link)).await.ok();
        let link = *rx.borrow();
        match link {
            Link::Delayed(delay) => sleep(delay).await,
            Link::Slow(bytes_per_s) => {
                sleep(Duration::from_secs_f64(
                    count as f64 / f64::from(bytes_per_s),
                ))
                .await;
            }
            Link::Open | Link::Dropping | Link::OneWay | Link::Refusing => {}
        }
        if count == 0 {
            to.shutdown().await.ok();
            return;
        }
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}
