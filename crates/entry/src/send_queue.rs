//! Datagrams to other instances that the socket can't take at once.
//!
//! Load pattern: a relay sends to a hundred instances within a millisecond. The socket's buffer holds
//! fewer datagrams than that, and the link drains it in tens of milliseconds. If the rest were
//! dropped, it would be the same instances each time, to which the relay would look dead.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Most waiting datagrams: what a link of 20 Mbit/s sends in two seconds. Older ones are superseded.
const MAX_WAITING: usize = 4096;

/// A datagram and its receiver.
type Datagram = (Rc<[u8]>, SocketAddr);

/// Datagrams that wait until the socket can send them.
#[derive(Debug, Default)]
pub struct SendQueue {
    waiting: RefCell<VecDeque<Datagram>>,
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

    /// Adds a datagram that goes before all others.
    pub fn push_urgent(&self, bytes: Rc<[u8]>, to: SocketAddr) {
        self.waiting.borrow_mut().push_front((bytes, to));
        self.wakeup.notify_one();
    }

    /// Number of waiting datagrams.
    pub fn len(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Whether no datagram waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    /// Sends datagrams until none waits or `send` would block; returns whether none waits. One that
    /// fails otherwise is dropped, as a later message supersedes it.
    pub fn drain<F>(&self, mut send: F) -> bool
    where
        F: FnMut(&[u8], SocketAddr) -> io::Result<usize>,
    {
        let mut waiting = self.waiting.borrow_mut();
        while let Some((bytes, to)) = waiting.front() {
            match send(bytes, *to) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
                _ => waiting.pop_front(),
            };
        }
        true
    }

    /// Sends the waiting datagrams as the socket takes them, until the process ends.
    pub async fn run(&self, socket: &UdpSocket) {
        loop {
            if self.drain(|bytes, to| socket.try_send_to(bytes, to)) {
                self.wakeup.notified().await;
            } else if socket.writable().await.is_err() {
                // The next datagram tries again.
                self.wakeup.notified().await;
            }
        }
    }
}
