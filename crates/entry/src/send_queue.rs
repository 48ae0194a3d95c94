//! Datagrams to other instances, sent at a pace that the link carries.
//!
//! Load pattern: a relay sends to a hundred instances within a millisecond. The queue of the link
//! holds fewer datagrams than that and takes tens of milliseconds to send them. What exceeds it is
//! dropped, each time the datagrams that come last, and their receivers believe that the relay, or
//! the instances that it serves, are dead.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{MissedTickBehavior, interval};

/// Most waiting datagrams: what a link of 20 Mbit/s sends in two seconds. Older ones are superseded.
const MAX_WAITING: usize = 4096;

/// Bytes of the headers of a datagram on the link.
const HEADER_BYTES: usize = 42;

/// Share of the link's speed for these datagrams; the rest is for callers' data.
const LINK_SHARE: f64 = 0.5;

/// Interval at which the budget is renewed.
pub const BUDGET_INTERVAL: Duration = Duration::from_millis(20);

/// Why no more datagrams were sent.
#[derive(Debug, PartialEq, Eq)]
pub enum Drained {
    /// None is left.
    All,
    /// The budget is spent.
    OutOfBudget,
    /// The socket takes no more.
    Blocked,
}

/// A datagram and its receiver.
type Datagram = (Rc<[u8]>, SocketAddr);

/// Datagrams that wait until the socket can send them.
#[derive(Debug, Default)]
pub struct SendQueue {
    waiting: RefCell<VecDeque<Datagram>>,
    /// Whether datagrams were left when the last ones were sent.
    is_congested: Cell<bool>,
    wakeup: Notify,
}

impl SendQueue {
    /// Adds a datagram; the oldest one is dropped if too many wait.
    pub fn push(&self, bytes: Rc<[u8]>, to: SocketAddr) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= MAX_WAITING {
            waiting.pop_front();
        }
        waiting.push_back((bytes, to));
        self.wakeup.notify_one();
    }

    /// Adds a datagram that goes before all others; the latest one is dropped if too many wait.
    pub fn push_urgent(&self, bytes: Rc<[u8]>, to: SocketAddr) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= MAX_WAITING {
            waiting.pop_back();
        }
        waiting.push_front((bytes, to));
        self.wakeup.notify_one();
    }

    /// Number of waiting datagrams.
    pub fn len(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Whether datagrams wait that the budget or the socket did not cover. Whoever sends states, of
    /// which each supersedes the one before, waits then: what is queued now would be out of date when
    /// it is sent, and would delay what is newer.
    pub fn is_congested(&self) -> bool {
        self.is_congested.get()
    }

    /// Whether no datagram waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    /// Sends datagrams until none waits, the `budget` in bytes is spent or `send` would block. The last
    /// datagram may overdraw the budget. One that fails is dropped, as a later message supersedes it.
    pub fn drain<F>(&self, budget: &mut i64, send: F) -> Drained
    where
        F: FnMut(&[u8], SocketAddr) -> io::Result<usize>,
    {
        let drained = self.send_waiting(budget, send);
        self.is_congested.set(drained != Drained::All);
        drained
    }

    fn send_waiting<F>(&self, budget: &mut i64, mut send: F) -> Drained
    where
        F: FnMut(&[u8], SocketAddr) -> io::Result<usize>,
    {
        let mut waiting = self.waiting.borrow_mut();
        while let Some((bytes, to)) = waiting.front() {
            if *budget <= 0 {
                return Drained::OutOfBudget;
            }
            let size = i64::try_from(bytes.len() + HEADER_BYTES).unwrap_or(i64::MAX);
            match send(bytes, *to) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Drained::Blocked,
                _ => waiting.pop_front(),
            };
            *budget -= size;
        }
        Drained::All
    }

    /// Sends the waiting datagrams at the pace of a link that carries `link_bytes_per_s`, until the
    /// process ends.
    pub async fn run(&self, socket: &UdpSocket, link_bytes_per_s: f64) {
        let full_budget = link_bytes_per_s * LINK_SHARE * BUDGET_INTERVAL.as_secs_f64();
        let full_budget = full_budget as i64;
        let mut ticks = interval(BUDGET_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut budget = full_budget;
        loop {
            match self.drain(&mut budget, |bytes, to| socket.try_send_to(bytes, to)) {
                Drained::All => self.wakeup.notified().await,
                Drained::OutOfBudget => {
                    ticks.tick().await;
                    budget = full_budget.min(budget + full_budget);
                }
                // An error is left to the next datagram.
                Drained::Blocked => drop(socket.writable().await),
            }
        }
    }
}
