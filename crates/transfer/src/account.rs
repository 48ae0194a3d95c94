//! Account of the memory that a process holds for its callers, shared by all that hold some.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use kingcupfield_decisions::caller_memory::{CallerMemory, EntryId, OutOfMemory};
use kingcupfield_decisions::id::Rank;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::caller_body::BUFFER_BYTES;

/// The account of one process; clones share it.
#[derive(Debug, Clone)]
pub struct Account(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    memory: CallerMemory,
    /// Tells requests that they give way, sorted by entry.
    evictions: Vec<(EntryId, watch::Sender<bool>)>,
    /// Requests that gave way, and those that were refused because nothing did.
    refused: Refused,
}

/// Numbers of requests that were refused for want of memory.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Refused {
    /// Requests that gave way to another one.
    pub evicted: u64,
    /// Requests to which nothing gave way.
    pub denied: u64,
}

impl Account {
    /// Creates an account in which at most `limit` bytes are held.
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Mutex::new(State {
            memory: CallerMemory::new(limit),
            evictions: Vec::new(),
            refused: Refused::default(),
        })))
    }

    /// Opens the entry of a request that begins to arrive.
    pub fn open(&self, rank: Rank) -> Hold {
        let (tx, evicted) = watch::channel(false);
        let mut state = self.lock();
        let id = state.memory.open(Instant::now(), rank);
        state.evictions.push((id, tx));
        Hold(Claim {
            account: self.clone(),
            id,
            evicted,
        })
    }

    /// Makes bytes that count until their last copy is dropped, also beyond the limit. They give way to nothing.
    pub fn hold_bytes(&self, data: Vec<u8>) -> Bytes {
        let hold = self.open(Rank::MIN);
        {
            let mut state = self.lock();
            state.memory.on_send(hold.0.id);
            state.memory.force(hold.0.id, data.capacity());
        }
        hold.into_bytes(data)
    }

    /// Bytes that are held.
    pub fn held(&self) -> usize {
        self.lock().memory.held()
    }

    /// Most bytes that may be held.
    pub fn limit(&self) -> usize {
        self.lock().memory.limit()
    }

    /// Size in bytes of the largest body for which there is memory while nothing else is held.
    pub fn max_body_bytes(&self) -> usize {
        let max_bytes = self.lock().memory.max_request_bytes();
        max_bytes.saturating_sub(BUFFER_BYTES)
    }

    /// Numbers of requests that were refused for want of memory, since the start.
    pub fn refused(&self) -> Refused {
        self.lock().refused
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn evict(&mut self, id: EntryId) {
        if let Some(tx) = self.take_eviction(id) {
            tx.send_replace(true);
            self.refused.evicted += 1;
        }
    }

    fn take_eviction(&mut self, id: EntryId) -> Option<watch::Sender<bool>> {
        let at = self.evictions.binary_search_by_key(&id, |(id, _)| *id);
        at.ok().map(|at| self.evictions.remove(at).1)
    }
}

/// Entry of one request; it is closed when dropped.
#[derive(Debug)]
pub struct Hold(Claim);

impl Hold {
    /// Counts `bytes` more, for which other requests may give way. Fails without a change if there is too
    /// little memory.
    pub fn grow(&self, bytes: usize) -> Result<(), OutOfMemory> {
        let mut state = self.0.account.lock();
        match state.memory.grow(Instant::now(), self.0.id, bytes) {
            Ok(yielding) => {
                for id in yielding {
                    state.evict(id);
                }
                Ok(())
            }
            Err(e) => {
                state.refused.denied += 1;
                Err(e)
            }
        }
    }

    /// Counts `bytes` fewer.
    pub fn shrink(&self, bytes: usize) {
        self.0.account.lock().memory.shrink(self.0.id, bytes);
    }

    /// Counts no more than `bytes`.
    pub fn shrink_to(&self, bytes: usize) {
        self.0.account.lock().memory.shrink_to(self.0.id, bytes);
    }

    /// Notes that the request has arrived completely.
    pub fn on_complete(&self) {
        self.0.account.lock().memory.on_complete(self.0.id);
    }

    /// Makes bytes that count until their last copy is dropped; their memory is counted already.
    pub(crate) fn into_bytes(self, data: Vec<u8>) -> Bytes {
        Bytes::from_owner(HeldBytes { data, _hold: self })
    }

    /// A view of the entry for what decides whether the request is sent.
    pub fn claim(&self) -> Claim {
        self.0.clone()
    }

    /// Turns true if the request gives way, and ends with the entry.
    pub fn subscribe(&self) -> watch::Receiver<bool> {
        self.0.evicted.clone()
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut state = self.0.account.lock();
        state.memory.close(self.0.id);
        state.take_eviction(self.0.id);
    }
}

/// Memory that counts in an account.
struct HeldBytes {
    data: Vec<u8>,
    _hold: Hold,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// The right of a request to be sent, unless it gives way before. Its bytes may be dropped earlier or later.
#[derive(Debug, Clone)]
pub struct Claim {
    account: Account,
    id: EntryId,
    evicted: watch::Receiver<bool>,
}

impl Claim {
    /// Notes that the request is about to be sent. Returns false if it has given way before, and must not be
    /// sent.
    pub fn on_send(&self) -> bool {
        !*self.evicted.borrow() && self.account.lock().memory.on_send(self.id)
    }

    /// Completes when the request gives way to another one.
    pub async fn evicted(&mut self) {
        if self.evicted.wait_for(|evicted| *evicted).await.is_err() {
            // The entry was closed without an eviction.
            std::future::pending::<()>().await;
        }
    }
}
