//! The waiting reservations of one tier, weighted fair between organisations.

use std::collections::VecDeque;

use super::mix::Mix;
use crate::id::{OrganisationId, Rank};
use crate::work::Work;

/// Number of an entry in order of arrival.
pub(super) type Arrival = u64;

/// Virtual time of a tier, in cost units of weight 1, scaled by [`SCALE`].
pub(super) type Tag = u64;

/// Virtual time units of one cost unit at weight 1; keeps the division by large weights exact enough.
pub(super) const SCALE: u64 = 1024;

/// Organisations that wait for nothing are forgotten beyond this count, once they owe nothing.
const MAX_IDLE: usize = 1024;

/// Whether a reservation is long among those that arrive lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SizeClass {
    /// Common or cheaper.
    Short,
    /// At least eight times as costly as a common short one.
    Long,
}

/// One organisation's waiting reservations, in order of arrival.
#[derive(Debug, Clone)]
pub(super) struct Share {
    pub(super) organisation: OrganisationId,
    pub(super) weight: u32,
    pub(super) tag: Tag,
    short: VecDeque<Arrival>,
    long: VecDeque<Arrival>,
    cost: u64,
}

impl Share {
    fn queue(&self, size: SizeClass) -> &VecDeque<Arrival> {
        match size {
            SizeClass::Short => &self.short,
            SizeClass::Long => &self.long,
        }
    }

    fn queue_mut(&mut self, size: SizeClass) -> &mut VecDeque<Arrival> {
        match size {
            SizeClass::Short => &mut self.short,
            SizeClass::Long => &mut self.long,
        }
    }

    fn is_idle(&self) -> bool {
        self.short.is_empty() && self.long.is_empty()
    }

    /// Waiting cost for each unit of weight, by which the most greedy one is found.
    fn backlog(&self) -> u64 {
        self.cost / u64::from(self.weight.max(1))
    }
}

/// Place of an organisation in the order of service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    tag: Tag,
    organisation: OrganisationId,
}

/// The waiting reservations of one tier.
#[derive(Debug, Clone)]
pub(super) struct TierQueue {
    pub(super) rank: Rank,
    pub(super) work: Work,
    pub(super) len: usize,
    pub(super) mix: Mix,
    now: Tag,
    shares: Vec<Share>,
    short_turns: Vec<Turn>,
    long_turns: Vec<Turn>,
}

impl TierQueue {
    pub(super) fn new(rank: Rank) -> Self {
        Self {
            rank,
            work: Work::default(),
            len: 0,
            mix: Mix::new(),
            now: 0,
            shares: Vec::new(),
            short_turns: Vec::new(),
            long_turns: Vec::new(),
        }
    }

    fn position(&self, organisation: &OrganisationId) -> Result<usize, usize> {
        self.shares
            .binary_search_by(|share| share.organisation.cmp(organisation))
    }

    fn turns_mut(&mut self, size: SizeClass) -> &mut Vec<Turn> {
        match size {
            SizeClass::Short => &mut self.short_turns,
            SizeClass::Long => &mut self.long_turns,
        }
    }

    fn turn(&self, i: usize) -> Turn {
        Turn {
            tag: self.shares[i].tag,
            organisation: OrganisationId::clone(&self.shares[i].organisation),
        }
    }

    fn take_turns(&mut self, i: usize) {
        let turn = self.turn(i);
        for size in [SizeClass::Short, SizeClass::Long] {
            let turns = self.turns_mut(size);
            if let Ok(at) = turns.binary_search(&turn) {
                turns.remove(at);
            }
        }
    }

    fn put_turns(&mut self, i: usize) {
        for size in [SizeClass::Short, SizeClass::Long] {
            if self.shares[i].queue(size).is_empty() {
                continue;
            }
            let turn = self.turn(i);
            let turns = self.turns_mut(size);
            if let Err(at) = turns.binary_search(&turn) {
                turns.insert(at, turn);
            }
        }
    }

    fn share_of(&mut self, organisation: &OrganisationId, weight: u32) -> usize {
        if let Ok(i) = self.position(organisation) {
            return i;
        }
        self.forget_idle();
        let i = self.position(organisation).unwrap_or_else(|free| free);
        self.shares.insert(
            i,
            Share {
                organisation: OrganisationId::clone(organisation),
                weight,
                tag: self.now,
                short: VecDeque::new(),
                long: VecDeque::new(),
                cost: 0,
            },
        );
        i
    }

    /// Drops organisations that wait for nothing and owe nothing, when there are many.
    fn forget_idle(&mut self) {
        if self.shares.len() < MAX_IDLE.max(2 * self.len) {
            return;
        }
        let now = self.now;
        self.shares
            .retain(|share| !share.is_idle() || share.tag > now);
        if self.shares.len() >= MAX_IDLE.max(2 * self.len) {
            self.shares.retain(|share| !share.is_idle());
        }
    }

    /// Queues an entry behind its organisation's others of the same size.
    pub(super) fn push(
        &mut self,
        organisation: &OrganisationId,
        weight: u32,
        size: SizeClass,
        work: Work,
        arrival: Arrival,
    ) {
        let i = self.share_of(organisation, weight);
        self.take_turns(i);
        let now = self.now;
        let share = &mut self.shares[i];
        share.weight = weight;
        if share.is_idle() {
            share.tag = share.tag.max(now);
        }
        share.queue_mut(size).push_back(arrival);
        share.cost += cost(work);
        self.put_turns(i);
        self.count(work, true);
    }

    /// Next entry to be granted; a long one only if `long` allows it.
    pub(super) fn next(&self, long: bool) -> Option<Arrival> {
        let short = self.short_turns.first();
        let other = self.long_turns.first().filter(|_| long);
        let (turn, size) = match (short, other) {
            (Some(short), Some(other)) if other < short => (other, SizeClass::Long),
            (Some(short), _) => (short, SizeClass::Short),
            (None, Some(other)) => (other, SizeClass::Long),
            (None, None) => return None,
        };
        let i = self.position(&turn.organisation).ok()?;
        let share = &self.shares[i];
        let own = if short == other { older(share) } else { size };
        share.queue(own).front().copied()
    }

    /// Latest entry of the organisation that waits for most by its weight.
    pub(super) fn last(&self) -> Option<Arrival> {
        let share = self.shares.iter().max_by_key(|share| share.backlog())?;
        share.long.back().max(share.short.back()).copied()
    }

    /// Takes an entry out; `granted` charges its organisation.
    pub(super) fn remove(
        &mut self,
        organisation: &OrganisationId,
        size: SizeClass,
        work: Work,
        arrival: Arrival,
        granted: bool,
    ) {
        let Ok(i) = self.position(organisation) else {
            return;
        };
        self.take_turns(i);
        let share = &mut self.shares[i];
        let queue = share.queue_mut(size);
        if let Some(at) = queue.iter().position(|other| *other == arrival) {
            queue.remove(at);
            share.cost = share.cost.saturating_sub(cost(work));
        }
        if granted {
            self.now = self.now.max(share.tag);
            share.tag += charge(cost(work), share.weight);
        }
        self.put_turns(i);
        self.count(work, false);
    }

    /// Corrects a charge when the real cost is known.
    pub(super) fn settle(
        &mut self,
        organisation: &OrganisationId,
        weight: u32,
        charged: u64,
        real: u64,
    ) {
        let i = self.share_of(organisation, weight);
        self.take_turns(i);
        let share = &mut self.shares[i];
        share.tag = share.tag.saturating_add(charge(real, weight));
        share.tag = share.tag.saturating_sub(charge(charged, weight));
        self.put_turns(i);
    }

    fn count(&mut self, work: Work, added: bool) {
        if added {
            self.len += 1;
            self.work.prefill += work.prefill;
            self.work.decode += work.decode;
        } else {
            self.len = self.len.saturating_sub(1);
            self.work.prefill = self.work.prefill.saturating_sub(work.prefill);
            self.work.decode = self.work.decode.saturating_sub(work.decode);
        }
    }
}

/// Cost of one entry; never 0, so that each entry moves its organisation's turn.
pub(super) fn cost(work: Work) -> u64 {
    work.cost().max(1)
}

fn charge(cost: u64, weight: u32) -> Tag {
    cost.saturating_mul(SCALE) / u64::from(weight.max(1))
}

/// Size of a share's entry that came first.
fn older(share: &Share) -> SizeClass {
    match (share.short.front(), share.long.front()) {
        (Some(short), Some(long)) if long < short => SizeClass::Long,
        (None, Some(_)) => SizeClass::Long,
        _ => SizeClass::Short,
    }
}
