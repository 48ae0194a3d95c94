//! Datagrams that wait for the socket.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use kingcupfield_entry::send_queue::{Drained, SendQueue};

fn to(receiver: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, receiver))
}

/// Sends as a socket does whose buffer has room for `room` datagrams; returns the receivers.
fn drain(queue: &SendQueue, room: usize) -> Vec<u16> {
    let mut sent = Vec::new();
    queue.drain(&mut { i64::MAX }, |_, to| {
        if sent.len() == room {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        sent.push(to.port());
        Ok(1)
    });
    sent
}

/// A relay sends to more instances than its socket's buffer has room for. All of them must get the
/// message, or the last ones never hear of the instances that the relay serves.
#[test]
fn a_full_socket_delays_datagrams_and_loses_none() {
    let queue = SendQueue::default();
    for receiver in 1..=200 {
        queue.push(Rc::from([1]), to(receiver));
    }
    assert_eq!(drain(&queue, 90), (1..=90).collect::<Vec<u16>>());
    queue.push_urgent(Rc::from([2]), to(999));
    assert_eq!(drain(&queue, 90)[..2], [999, 91]);
    assert_eq!(drain(&queue, 90).len(), 21);
    assert!(queue.is_empty());
}

/// The link of an instance is down for long. Its waiting messages must not grow without bound, and
/// the latest ones are kept, as they supersede the earlier ones.
#[test]
fn a_blocked_socket_keeps_the_latest_datagrams() {
    let queue = SendQueue::default();
    for receiver in 0..20_000 {
        queue.push(Rc::from([1]), to(receiver));
    }
    assert!(queue.len() <= 4096);
    queue.push_urgent(Rc::from([2]), to(1));
    assert!(queue.len() <= 4096);
    queue.push(Rc::from([1]), to(19_999));
    assert_eq!(drain(&queue, 20_000).last(), Some(&19_999));
}

/// A receiver can't be reached. The others must still get their messages.
#[test]
fn a_failed_datagram_does_not_hold_up_the_others() {
    let queue = SendQueue::default();
    queue.push(Rc::from([1]), to(1));
    queue.push(Rc::from([1]), to(2));
    let mut sent = 0;
    let drained = queue.drain(&mut { i64::MAX }, |_, to| {
        sent += usize::from(to.port() == 2);
        match to.port() {
            1 => Err(io::ErrorKind::ConnectionRefused.into()),
            _ => Ok(1),
        }
    });
    assert!(drained == Drained::All && sent == 1);
}

/// A relay has more to send than its link carries at once, and the network drops what exceeds it.
/// The rest has to wait for the next budget.
#[test]
fn a_burst_is_spread_over_several_budgets() {
    let queue = SendQueue::default();
    for receiver in 0..100 {
        queue.push(Rc::from([0; 1200]), to(receiver));
    }
    let mut rounds = 0;
    while !queue.is_empty() {
        let mut sent_bytes = 0;
        queue.drain(&mut 12_000, |bytes, _| {
            sent_bytes += bytes.len();
            Ok(bytes.len())
        });
        assert!(sent_bytes <= 12_000 + 1200);
        rounds += 1;
    }
    assert!(rounds >= 10);
}

/// A relay has more to send than its link carries for some time. It must be told, or it queues states
/// that are out of date when they are sent, and the newer ones behind them.
#[test]
fn a_queue_that_exceeds_the_budget_is_congested_until_it_is_empty() {
    let queue = SendQueue::default();
    for receiver in 0..10 {
        queue.push(Rc::from([0; 1200]), to(receiver));
    }
    assert!(!queue.is_congested());
    assert_eq!(queue.drain(&mut 6000, |_, _| Ok(1)), Drained::OutOfBudget);
    assert!(queue.is_congested());
    assert_eq!(queue.drain(&mut 60_000, |_, _| Ok(1)), Drained::All);
    assert!(!queue.is_congested());
}
