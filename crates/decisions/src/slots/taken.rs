//! The slots of a replica that are granted or run.

use tokio::time::Instant;

use crate::fairness::{Charge, SizeClass};
use crate::id::{InstanceId, RequestId, Sequence, Tokens};
use crate::work::Work;

/// Renewals that must leave a running request out before it counts as ended.
///
/// One may have been sent before the dispatch and come late.
const MISSES: u8 = 2;

/// Stage of a taken slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// Granted; comes back at `until` unless the holder says that it dispatched.
    Granted {
        /// End of the lease by the owner's clock, later than by the holder's.
        until: Instant,
    },
    /// Dispatched; the first token is expected until `due`.
    Silent {
        /// When the owner heard of the dispatch.
        since: Instant,
        /// When the first token is late.
        late: Instant,
        /// When the first token is overdue.
        due: Instant,
    },
    /// The first token came, or the owner knows of the request only by a renewal.
    Flowing {
        /// When the owner heard of the dispatch.
        since: Instant,
    },
}

/// One taken slot.
#[derive(Debug, Clone)]
pub(super) struct Taken {
    pub(super) request: RequestId,
    pub(super) holder: InstanceId,
    pub(super) asked: Sequence,
    pub(super) charge: Option<Charge>,
    pub(super) size: SizeClass,
    pub(super) work: Work,
    /// Tokens of the whole prompt, cached or not.
    pub(super) prompt: Tokens,
    /// Uncached prompt tokens that the first token waits for: its own and those of silent ones
    /// before it.
    pub(super) ahead: Tokens,
    /// The same with whole prompts, which is what they cost if the cache was misjudged.
    pub(super) prompts_ahead: Tokens,
    pub(super) stage: Stage,
    pub(super) missed: u8,
}

/// Taken slots, sorted by request.
#[derive(Debug, Clone, Default)]
pub(super) struct TakenSlots {
    slots: Vec<Taken>,
}

impl TakenSlots {
    pub(super) fn len(&self) -> u32 {
        self.slots.len() as u32
    }

    pub(super) fn long(&self) -> u32 {
        let long = self
            .slots
            .iter()
            .filter(|taken| taken.size == SizeClass::Long);
        long.count() as u32
    }

    pub(super) fn iter(&self) -> std::slice::Iter<'_, Taken> {
        self.slots.iter()
    }

    pub(super) fn get_mut(&mut self, request: &RequestId) -> Option<&mut Taken> {
        let at = self.position(request).ok()?;
        Some(&mut self.slots[at])
    }

    pub(super) fn insert(&mut self, taken: Taken) {
        match self.position(&taken.request) {
            Ok(at) => self.slots[at] = taken,
            Err(at) => self.slots.insert(at, taken),
        }
    }

    pub(super) fn remove(&mut self, request: &RequestId) -> Option<Taken> {
        let at = self.position(request).ok()?;
        Some(self.slots.remove(at))
    }

    /// Takes out all slots for which `unwanted` is true.
    pub(super) fn remove_if<F>(&mut self, unwanted: F) -> Vec<Taken>
    where
        F: Fn(&Taken) -> bool,
    {
        self.slots.extract_if(.., |taken| unwanted(taken)).collect()
    }

    /// Prompt tokens of the requests that are granted or whose first token is awaited.
    pub(super) fn unstarted_prefill(&self) -> Tokens {
        let unstarted = self.slots.iter().filter(|taken| !taken.is_flowing());
        unstarted.map(|taken| taken.work.prefill).sum()
    }

    /// Prompt tokens of the requests whose first token is awaited.
    pub(super) fn silent_prefill(&self) -> Tokens {
        let silent = self.slots.iter().filter(|taken| taken.is_silent());
        silent.map(|taken| taken.work.prefill).sum()
    }

    /// Whether a first token is late.
    pub(super) fn is_late(&self, now: Instant) -> bool {
        let mut stages = self.slots.iter().map(|taken| taken.stage);
        stages.any(|stage| matches!(stage, Stage::Silent { late, .. } if late < now))
    }

    /// Whole prompts of the requests whose first token is awaited.
    pub(super) fn silent_prompts(&self) -> Tokens {
        let silent = self.slots.iter().filter(|taken| taken.is_silent());
        silent.map(|taken| taken.prompt).sum()
    }

    /// Whether a first token is overdue and as long has passed since the last `progress`.
    pub(super) fn is_overdue(&self, now: Instant, progress: Option<Instant>) -> bool {
        let is_overdue = |taken: &Taken| match taken.stage {
            Stage::Silent { since, due, .. } => {
                due < now && progress.is_none_or(|at| at + (due - since) < now)
            }
            Stage::Granted { .. } | Stage::Flowing { .. } => false,
        };
        self.slots.iter().any(is_overdue)
    }

    /// Slots of requests that were dispatched before `moment`.
    pub(super) fn before(&self, moment: Instant) -> u32 {
        let old = self
            .slots
            .iter()
            .filter(|taken| taken.since().is_some_and(|at| at < moment));
        old.count() as u32
    }

    /// Counts a renewal of `holder` that names `running`; takes out what it left out twice.
    pub(super) fn on_renew(&mut self, holder: &InstanceId, running: &[RequestId]) -> Vec<Taken> {
        for taken in self.slots.iter_mut().filter(|t| t.holder == *holder) {
            taken.missed = if running.contains(&taken.request) {
                0
            } else {
                taken.missed + u8::from(taken.is_running())
            };
        }
        self.remove_if(|taken| taken.missed >= MISSES)
    }

    fn position(&self, request: &RequestId) -> Result<usize, usize> {
        self.slots
            .binary_search_by(|taken| taken.request.cmp(request))
    }
}

impl Taken {
    pub(super) fn is_running(&self) -> bool {
        !matches!(self.stage, Stage::Granted { .. })
    }

    pub(super) fn is_flowing(&self) -> bool {
        matches!(self.stage, Stage::Flowing { .. })
    }

    pub(super) fn is_silent(&self) -> bool {
        matches!(self.stage, Stage::Silent { .. })
    }

    /// When the owner heard of the dispatch.
    pub(super) fn since(&self) -> Option<Instant> {
        match self.stage {
            Stage::Granted { .. } => None,
            Stage::Silent { since, .. } | Stage::Flowing { since } => Some(since),
        }
    }
}
