//! Requests that wait for a place, and the places that they hold.

use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::dispatch::{Job, JobId, Outcome, Why};
use kingcupfield_decisions::id::UpstreamId;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Node;

/// Why a waiting request got no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotError {
    /// No replica had room in time.
    TimedOut,
}

pub(super) type Verdict = Result<(UpstreamId, Why), SlotError>;

/// Takes a waiting request out again when its caller goes away.
#[derive(Debug)]
struct Waiting {
    node: Rc<Node>,
    job: JobId,
    rx: oneshot::Receiver<Verdict>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.node
            .waiters
            .borrow_mut()
            .retain(|(id, _)| *id != self.job);
        self.node.dispatch.borrow_mut().withdraw(self.job);
        // A place that was given but not taken would stay occupied for good.
        if let Ok(Ok((upstream, _))) = self.rx.try_recv() {
            self.node.end(&upstream, self.job, Outcome::Unknown);
            self.node.assign_slots();
        }
    }
}

/// A place at a replica, held until the request has ended there.
#[derive(Debug)]
pub struct SlotGuard {
    node: Rc<Node>,
    /// The replica.
    pub upstream: UpstreamId,
    /// What decided for it.
    pub selection: Why,
    job: JobId,
    ended: bool,
}

impl SlotGuard {
    /// Notes that the replica has begun to answer.
    pub fn on_first_event(&self) {
        let mut dispatch = self.node.dispatch.borrow_mut();
        dispatch.on_first(Instant::now(), &self.upstream, self.job);
        self.node.state_changed.notify_one();
    }

    /// Notes events of the stream, and the time since the ones before.
    pub fn on_events(&self, events: u32, gap: Duration) {
        let mut dispatch = self.node.dispatch.borrow_mut();
        dispatch.on_events(Instant::now(), &self.upstream, events, gap);
    }

    /// Whether the replica brings nothing to anybody here.
    pub fn is_replica_stalled(&self) -> bool {
        self.node
            .dispatch
            .borrow()
            .is_silent(Instant::now(), &self.upstream)
    }

    /// Frees the place.
    pub fn release(mut self, outcome: Outcome) {
        self.ended = true;
        self.node.end(&self.upstream, self.job, outcome);
        self.node.assign_slots();
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.node.end(&self.upstream, self.job, Outcome::Unknown);
            self.node.assign_slots();
        }
    }
}

impl Node {
    /// Waits until a replica has a place for the request.
    pub async fn acquire_slot(self: &Rc<Self>, job: Job) -> Result<SlotGuard, SlotError> {
        let id = job.id;
        let (tx, rx) = oneshot::channel();
        self.waiters.borrow_mut().push((id, tx));
        self.dispatch.borrow_mut().enqueue(job);
        let mut waiting = Waiting {
            node: Rc::clone(self),
            job: id,
            rx,
        };
        self.assign_slots();
        self.queue_wakeup.notify_one();
        // The others leave free places to it if it is urgent.
        self.state_changed.notify_one();
        let verdict = (&mut waiting.rx).await.unwrap_or(Err(SlotError::TimedOut));
        verdict.map(|(upstream, why)| SlotGuard {
            node: Rc::clone(self),
            upstream,
            selection: why,
            job: id,
            ended: false,
        })
    }

    /// Gives places to waiting requests, as far as there are any.
    pub fn assign_slots(&self) {
        let now = Instant::now();
        loop {
            let warm = |id: &UpstreamId| self.target(id).is_some_and(|t| t.pool.has_idle(now));
            let placed = self.dispatch.borrow_mut().place_warm(now, warm);
            if !placed.is_empty() {
                self.state_changed.notify_one();
            }
            let mut lost = Vec::new();
            for p in placed {
                if !self.tell(p.job, Ok((p.upstream.clone(), p.why))) {
                    lost.push(p);
                }
            }
            if lost.is_empty() {
                return;
            }
            // Their callers went away meanwhile, so the places are free again.
            for p in lost {
                self.end(&p.upstream, p.job, Outcome::Unknown);
            }
        }
    }

    /// Gives up the waiting requests whose time is over.
    pub fn expire_waiting(&self) {
        let gone = self.dispatch.borrow_mut().give_up(Instant::now());
        for job in gone {
            self.tell(job, Err(SlotError::TimedOut));
        }
    }

    fn tell(&self, job: JobId, verdict: Verdict) -> bool {
        let mut waiters = self.waiters.borrow_mut();
        let Some(at) = waiters.iter().position(|(id, _)| *id == job) else {
            return false;
        };
        let (_, tx) = waiters.swap_remove(at);
        tx.send(verdict).is_ok()
    }

    fn end(&self, upstream: &UpstreamId, job: JobId, outcome: Outcome) {
        self.dispatch
            .borrow_mut()
            .on_end(Instant::now(), upstream, job, outcome);
        self.state_changed.notify_one();
    }
}
