//! Which connection is closed when there are too many.

use std::time::Duration;

use kingcupfield_transfer::account::Account;
use kingcupfield_transfer::connections::CallerConnections;
use kingcupfield_transfer::machine::Machine;
use tokio::time::{advance, timeout};

const LATER: Duration = Duration::from_secs(2);

/// Guards against a request in progress, or a caller that waits between requests, that is cut off for a silent one.
#[tokio::test(start_paused = true)]
async fn the_one_without_progress_for_longest_is_closed() {
    let account = Account::new(1_000_000);
    let connections = CallerConnections::new(4);
    let (serving, kept, silent, sending) = (
        connections.add(),
        connections.add(),
        connections.add(),
        connections.add(),
    );
    let request = serving.begin_request();
    request.on_arrived();
    drop(kept.begin_request());
    let earlier = kept.begin_request();
    earlier.on_arrived();
    drop(earlier);
    assert!(!connections.make_room());
    let closed = timeout(Duration::ZERO, silent.closing()).await;
    assert!(closed.is_err(), "all are new");
    advance(LATER).await;
    sending.on_read(&account, 10).expect("a small head");
    assert!(!connections.make_room());
    silent.closing().await;
    connections.remove(&silent);
    assert!(connections.make_room());
    connections.add();
    assert!(!connections.make_room());
    kept.closing().await;
    for busy in [&serving, &sending] {
        let closed = timeout(Duration::ZERO, busy.closing()).await;
        assert!(closed.is_err(), "{busy:?}");
    }
}

/// Guards against a machine whose limits are misread, and against descriptors that all go to callers.
#[test]
fn the_lowest_limit_of_the_kernel_counts() {
    let limits = "Limit                     Soft Limit           Hard Limit           Units\n\
        Max data size             50331648             unlimited            bytes\n\
        Max open files            4100                 1048576              files\n\
        Max address space         unlimited            unlimited            bytes\n";
    let meminfo = "MemTotal:       24641536 kB\nMemFree:        1 kB\n";
    let machine = Machine::parse(limits, meminfo);
    assert_eq!(machine.memory_bytes, 50_331_648);
    assert_eq!(machine.descriptors, 4100);
    assert_eq!(machine.caller_connections(), 307);
    let large = Machine {
        memory_bytes: 1 << 32,
        ..machine
    };
    assert_eq!(large.caller_connections(), 2925);
    let unlimited = Machine::parse("", meminfo);
    assert_eq!(unlimited.memory_bytes, 24_641_536 * 1024);
}
