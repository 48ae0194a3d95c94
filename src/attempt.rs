//! The way of a request from receipt to its one dispatch, the same for completions and plain calls.

use kingcupfield_decisions::id::Tokens;
use tokio::sync::oneshot;
use tokio::time::sleep_until;

use crate::admission::admit;
use crate::error::{Refusal, RefusalKind};
use crate::limits::Admission;
use crate::reply::Head;
use crate::request::{Received, Request, Waiting};
use crate::shared::Shared;
use crate::slots::{Grant, SlotRequest};

/// Upstreams that may fail to connect or turn the request away before it is refused; each time another
/// replica is chosen.
const MAX_NOT_SENT: u32 = 3;

/// Where the answer to the caller goes; closed when the caller went away.
pub type HeadSender = oneshot::Sender<Head>;

/// What a dispatch came to.
#[derive(Debug)]
pub enum Sent {
    /// The request has its end.
    Done,
    /// It has not run: it waits again.
    NotSent(Box<Unsent>),
}

/// A request that waits again, with its caller.
#[derive(Debug)]
pub struct Unsent {
    /// The request.
    pub waiting: Request<Waiting>,
    /// Its caller.
    pub head: HeadSender,
}

/// A kind of request.
pub trait Job {
    /// Tokens to charge to the organisation's limit.
    fn tokens(&self) -> Tokens;

    /// What it needs of a replica.
    fn need(&self) -> SlotRequest;

    /// Sends it to the granted replica, at most once, and answers the caller.
    fn dispatch(
        &self,
        waiting: Request<Waiting>,
        grant: Grant,
        head: HeadSender,
        admission: &mut Admission,
    ) -> impl Future<Output = Sent> + Send;
}

/// Admits a request, waits for its grant and dispatches it.
pub async fn run<J>(shared: &Shared, job: &J, request: Request<Received>, mut head: HeadSender)
where
    J: Job + Sync,
{
    let mut admission = match admit(shared, request.meta(), job.tokens()) {
        Ok(admission) => admission,
        Err(refusal) => {
            let refusal = request.refuse(refusal).into_refusal();
            head.send(Head::Refused(refusal)).ok();
            return;
        }
    };
    let mut waiting = request.admit();
    let mut excluded = Vec::new();
    let mut attempts = 0;
    while attempts < MAX_NOT_SENT {
        let resting = shared.rests.resting();
        let need = job.need().with_excluded([&excluded[..], &resting].concat());
        let grant = match wait(shared, &waiting, need, &mut head).await {
            Waited::Granted(grant) => grant,
            Waited::Refused(refusal) => return refuse(waiting, head, refusal),
            Waited::CallerGone => return waiting.cancelled(),
        };
        // The rest began while the request waited: it waits for another replica.
        if shared.rests.holds(&grant.upstream) {
            continue;
        }
        attempts += 1;
        if !grant.is_valid() {
            continue;
        }
        excluded.push(grant.upstream.clone());
        match job.dispatch(waiting, grant, head, &mut admission).await {
            Sent::Done => return,
            Sent::NotSent(unsent) => Unsent { waiting, head } = *unsent,
        }
    }
    let refusal = Refusal::new(RefusalKind::Unavailable)
        .with_message("no upstream could be connected or took the request");
    refuse(waiting, head, refusal);
}

enum Waited {
    Granted(Grant),
    Refused(Refusal),
    CallerGone,
}

async fn wait(
    shared: &Shared,
    waiting: &Request<Waiting>,
    need: SlotRequest,
    head: &mut HeadSender,
) -> Waited {
    let meta = waiting.meta();
    tokio::select! {
        granted = shared.slots.acquire(meta, need) => match granted {
            Ok(grant) => Waited::Granted(grant),
            Err(refusal) => Waited::Refused(refusal),
        },
        () = sleep_until(meta.deadline) => Waited::Refused(Refusal::new(RefusalKind::Deadline)),
        () = head.closed() => Waited::CallerGone,
    }
}

fn refuse(waiting: Request<Waiting>, head: HeadSender, refusal: Refusal) {
    let refusal = waiting.refuse(refusal).into_refusal();
    head.send(Head::Refused(refusal)).ok();
}
