//! Requests that wait for a concurrency slot, and guards of the slots that they hold.

use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::dispatch::{ChoiceDetails, Job, JobId, Outcome};
use kingcupfield_decisions::id::UpstreamId;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Node;

/// Why a waiting request got no concurrency slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotError {
    /// No replica had a free slot in time.
    TimedOut,
    /// No replica can complete the request before this instance shuts down.
    ShuttingDown,
}

/// The replica whose slot a request got, and why the dispatcher chose it.
pub(super) type SlotResult = Result<(UpstreamId, ChoiceDetails), SlotError>;

/// Removes a waiting request from the queue when its caller disconnects.
#[derive(Debug)]
struct WaitGuard {
    node: Rc<Node>,
    job: JobId,
    /// Receives the slot, or the error when the wait has timed out.
    rx: oneshot::Receiver<SlotResult>,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.node
            .slot_waiters
            .borrow_mut()
            .retain(|(id, _)| *id != self.job);
        self.node.dispatch.borrow_mut().cancel(self.job);
        // A slot that was assigned but never received would stay occupied forever.
        if let Ok(Ok((upstream, _))) = self.rx.try_recv() {
            self.node.end_request(&upstream, self.job, Outcome::Unknown);
            self.node.assign_slots();
        }
    }
}

/// A concurrency slot at a replica, held until the request has ended there. Dropping it frees the
/// slot with an unknown outcome.
#[derive(Debug)]
pub struct SlotGuard {
    node: Rc<Node>,
    /// The replica that the slot belongs to.
    pub upstream: UpstreamId,
    /// Why the dispatcher chose this replica.
    pub selection: ChoiceDetails,
    job: JobId,
    ended: bool,
}

impl SlotGuard {
    /// Records that the replica has begun to answer.
    pub fn on_first_event(&self) {
        let mut dispatch = self.node.dispatch.borrow_mut();
        dispatch.on_first_event(Instant::now(), &self.upstream, self.job);
        self.node.state_changed.notify_one();
    }

    /// Records events of the stream, and the time since the previous ones.
    pub fn on_events(&self, events: u32, gap: Duration) {
        let mut dispatch = self.node.dispatch.borrow_mut();
        dispatch.on_events(Instant::now(), &self.upstream, events, gap);
    }

    /// Whether no request of this instance at the replica has received anything for too long.
    pub fn is_replica_stalled(&self) -> bool {
        self.node
            .dispatch
            .borrow()
            .is_unresponsive(Instant::now(), &self.upstream)
    }

    /// Frees the slot and records how the request ended.
    pub fn release(mut self, outcome: Outcome) {
        self.ended = true;
        self.node.end_request(&self.upstream, self.job, outcome);
        self.node.assign_slots();
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.node
                .end_request(&self.upstream, self.job, Outcome::Unknown);
            self.node.assign_slots();
        }
    }
}

impl Node {
    /// Waits until a replica has a free slot for the request.
    pub async fn acquire_slot(self: &Rc<Self>, job: Job) -> Result<SlotGuard, SlotError> {
        let id = job.id;
        let (tx, rx) = oneshot::channel();
        self.slot_waiters.borrow_mut().push((id, tx));
        self.dispatch.borrow_mut().enqueue(job);
        let mut guard = WaitGuard {
            node: Rc::clone(self),
            job: id,
            rx,
        };
        self.assign_slots();
        self.queue_wakeup.notify_one();
        // If the request is urgent, other instances leave free slots to it once they know of it.
        self.state_changed.notify_one();
        let result = (&mut guard.rx).await.unwrap_or(Err(SlotError::TimedOut));
        result.map(|(upstream, selection)| SlotGuard {
            node: Rc::clone(self),
            upstream,
            selection,
            job: id,
            ended: false,
        })
    }

    /// Assigns free slots to waiting requests until either runs out.
    pub fn assign_slots(&self) {
        let now = Instant::now();
        loop {
            let has_idle_connection =
                |id: &UpstreamId| self.target(id).is_some_and(|t| t.pool.has_idle(now));
            let assigned = self
                .dispatch
                .borrow_mut()
                .assign_preferring_connected(now, has_idle_connection);
            if !assigned.is_empty() {
                self.state_changed.notify_one();
            }
            let mut orphaned = Vec::new();
            for assignment in assigned {
                if !self.notify_waiter(
                    assignment.job,
                    Ok((assignment.upstream.clone(), assignment.details)),
                ) {
                    orphaned.push(assignment);
                }
            }
            if orphaned.is_empty() {
                return;
            }
            // These callers disconnected meanwhile, so their slots are free again.
            for assignment in orphaned {
                self.end_request(&assignment.upstream, assignment.job, Outcome::Unknown);
            }
        }
    }

    /// Times out the waiting requests whose maximum wait has passed, and those that can't be completed any more
    /// before this instance shuts down.
    pub fn expire_waiting(&self) {
        let now = Instant::now();
        let mut dispatch = self.dispatch.borrow_mut();
        let timed_out = dispatch.take_timed_out(now);
        let unfinishable = dispatch.take_unfinishable(now);
        drop(dispatch);
        for job in timed_out {
            self.notify_waiter(job, Err(SlotError::TimedOut));
        }
        for job in unfinishable {
            self.notify_waiter(job, Err(SlotError::ShuttingDown));
        }
    }

    /// Sends the result to the request that waits for a slot; returns whether it was still waiting.
    fn notify_waiter(&self, job: JobId, result: SlotResult) -> bool {
        let mut waiters = self.slot_waiters.borrow_mut();
        let Some(index) = waiters.iter().position(|(id, _)| *id == job) else {
            return false;
        };
        let (_, tx) = waiters.swap_remove(index);
        tx.send(result).is_ok()
    }

    /// Reports the end of a request to the dispatcher, which frees its slot.
    fn end_request(&self, upstream: &UpstreamId, job: JobId, outcome: Outcome) {
        self.dispatch
            .borrow_mut()
            .on_end(Instant::now(), upstream, job, outcome);
        self.state_changed.notify_one();
    }
}
