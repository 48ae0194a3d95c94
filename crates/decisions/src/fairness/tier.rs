//! Waiting reservations of one tier, weighted fair between organisations.

use std::collections::VecDeque;

use super::cost_histogram::CostHistogram;
use crate::id::{OrganisationId, Rank};
use crate::work::Work;

/// Arrival number of an entry; increases with each arrival.
pub(super) type Arrival = u64;

/// Virtual time of a tier: cost divided by weight, in units of 1/[`VIRTUAL_TIME_SCALE`].
pub(super) type VirtualTime = u64;

/// Virtual time units per cost unit at weight 1; keeps the division by large weights sufficiently
/// exact.
pub(super) const VIRTUAL_TIME_SCALE: u64 = 1024;

/// Beyond this number, organisations without waiting reservations and outstanding charges are
/// dropped.
const MAX_IDLE_ORGANISATIONS: usize = 1024;

/// Size of a reservation relative to recent arrivals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SizeClass {
    /// Of common cost or cheaper.
    Short,
    /// At least eight times as costly as a common short one.
    Long,
}

/// Waiting reservations of one organisation, in order of arrival.
#[derive(Debug, Clone)]
pub(super) struct OrganisationQueue {
    pub(super) organisation: OrganisationId,
    pub(super) weight: u32,
    /// Virtual start time of the next entry.
    pub(super) start: VirtualTime,
    short: VecDeque<Arrival>,
    long: VecDeque<Arrival>,
    /// Total cost of the waiting entries.
    cost: u64,
}

impl OrganisationQueue {
    fn arrivals(&self, size: SizeClass) -> &VecDeque<Arrival> {
        match size {
            SizeClass::Short => &self.short,
            SizeClass::Long => &self.long,
        }
    }

    fn arrivals_mut(&mut self, size: SizeClass) -> &mut VecDeque<Arrival> {
        match size {
            SizeClass::Short => &mut self.short,
            SizeClass::Long => &mut self.long,
        }
    }

    fn is_idle(&self) -> bool {
        self.short.is_empty() && self.long.is_empty()
    }

    /// Waiting cost per unit of weight; the organisation with the largest value is evicted first.
    fn backlog(&self) -> u64 {
        self.cost / u64::from(self.weight.max(1))
    }
}

/// Position of an organisation in the order of service: the lowest start time comes first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    start: VirtualTime,
    organisation: OrganisationId,
}

/// The waiting reservations of one tier.
#[derive(Debug, Clone)]
pub(super) struct TierQueue {
    pub(super) rank: Rank,
    /// Sum of the work of the waiting entries.
    pub(super) work: Work,
    /// Number of waiting entries.
    pub(super) len: usize,
    /// Costs of recent arrivals.
    pub(super) recent_costs: CostHistogram,
    /// Largest virtual start time of a granted entry.
    virtual_now: VirtualTime,
    /// Sorted by organisation.
    organisations: Vec<OrganisationQueue>,
    /// Organisations with short entries, in order of service.
    short_turns: Vec<Turn>,
    /// Organisations with long entries, in order of service.
    long_turns: Vec<Turn>,
}

impl TierQueue {
    pub(super) fn new(rank: Rank) -> Self {
        Self {
            rank,
            work: Work::default(),
            len: 0,
            recent_costs: CostHistogram::new(),
            virtual_now: 0,
            organisations: Vec::new(),
            short_turns: Vec::new(),
            long_turns: Vec::new(),
        }
    }

    fn position(&self, organisation: &OrganisationId) -> Result<usize, usize> {
        self.organisations
            .binary_search_by(|queue| queue.organisation.cmp(organisation))
    }

    fn turns_mut(&mut self, size: SizeClass) -> &mut Vec<Turn> {
        match size {
            SizeClass::Short => &mut self.short_turns,
            SizeClass::Long => &mut self.long_turns,
        }
    }

    fn turn(&self, i: usize) -> Turn {
        Turn {
            start: self.organisations[i].start,
            organisation: OrganisationId::clone(&self.organisations[i].organisation),
        }
    }

    fn remove_turns(&mut self, i: usize) {
        let turn = self.turn(i);
        for size in [SizeClass::Short, SizeClass::Long] {
            let turns = self.turns_mut(size);
            if let Ok(at) = turns.binary_search(&turn) {
                turns.remove(at);
            }
        }
    }

    fn insert_turns(&mut self, i: usize) {
        for size in [SizeClass::Short, SizeClass::Long] {
            if self.organisations[i].arrivals(size).is_empty() {
                continue;
            }
            let turn = self.turn(i);
            let turns = self.turns_mut(size);
            if let Err(at) = turns.binary_search(&turn) {
                turns.insert(at, turn);
            }
        }
    }

    fn organisation_index(&mut self, organisation: &OrganisationId, weight: u32) -> usize {
        if let Ok(i) = self.position(organisation) {
            return i;
        }
        self.drop_idle();
        let i = self.position(organisation).unwrap_or_else(|free| free);
        self.organisations.insert(
            i,
            OrganisationQueue {
                organisation: OrganisationId::clone(organisation),
                weight,
                start: self.virtual_now,
                short: VecDeque::new(),
                long: VecDeque::new(),
                cost: 0,
            },
        );
        i
    }

    /// Drops organisations without waiting reservations and outstanding charges, if there are many.
    fn drop_idle(&mut self) {
        if self.organisations.len() < MAX_IDLE_ORGANISATIONS.max(2 * self.len) {
            return;
        }
        let now = self.virtual_now;
        self.organisations
            .retain(|queue| !queue.is_idle() || queue.start > now);
        if self.organisations.len() >= MAX_IDLE_ORGANISATIONS.max(2 * self.len) {
            self.organisations.retain(|queue| !queue.is_idle());
        }
    }

    /// Appends an entry to the queue of its organisation and size.
    pub(super) fn push(
        &mut self,
        organisation: &OrganisationId,
        weight: u32,
        size: SizeClass,
        work: Work,
        arrival: Arrival,
    ) {
        let i = self.organisation_index(organisation, weight);
        self.remove_turns(i);
        let now = self.virtual_now;
        let queue = &mut self.organisations[i];
        queue.weight = weight;
        if queue.is_idle() {
            queue.start = queue.start.max(now);
        }
        queue.arrivals_mut(size).push_back(arrival);
        queue.cost += cost(work);
        self.insert_turns(i);
        self.update_totals(work, true);
    }

    /// Arrival number of the next entry to grant; considers long entries only if `allow_long` is set.
    pub(super) fn next(&self, allow_long: bool) -> Option<Arrival> {
        let short = self.short_turns.first();
        let long = self.long_turns.first().filter(|_| allow_long);
        let (turn, size) = match (short, long) {
            (Some(short), Some(long)) if long < short => (long, SizeClass::Long),
            (Some(short), _) => (short, SizeClass::Short),
            (None, Some(long)) => (long, SizeClass::Long),
            (None, None) => return None,
        };
        let i = self.position(&turn.organisation).ok()?;
        let queue = &self.organisations[i];
        let size = if short == long {
            size_of_oldest(queue)
        } else {
            size
        };
        queue.arrivals(size).front().copied()
    }

    /// Arrival number of the latest entry of the organisation with the largest backlog.
    pub(super) fn newest_of_largest_backlog(&self) -> Option<Arrival> {
        let queue = self
            .organisations
            .iter()
            .max_by_key(|queue| queue.backlog())?;
        queue.long.back().max(queue.short.back()).copied()
    }

    /// Removes an entry; `granted` charges its organisation.
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
        self.remove_turns(i);
        let queue = &mut self.organisations[i];
        let arrivals = queue.arrivals_mut(size);
        if let Some(at) = arrivals.iter().position(|other| *other == arrival) {
            arrivals.remove(at);
            queue.cost = queue.cost.saturating_sub(cost(work));
        }
        if granted {
            self.virtual_now = self.virtual_now.max(queue.start);
            queue.start += charge(cost(work), queue.weight);
        }
        self.insert_turns(i);
        self.update_totals(work, false);
    }

    /// Replaces the `charged` cost of a request by its `real` cost.
    pub(super) fn settle(
        &mut self,
        organisation: &OrganisationId,
        weight: u32,
        charged: u64,
        real: u64,
    ) {
        let i = self.organisation_index(organisation, weight);
        self.remove_turns(i);
        let queue = &mut self.organisations[i];
        queue.start = queue.start.saturating_add(charge(real, weight));
        queue.start = queue.start.saturating_sub(charge(charged, weight));
        self.insert_turns(i);
    }

    fn update_totals(&mut self, work: Work, added: bool) {
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

/// Cost of one entry; at least 1, so that each grant advances the virtual time of its organisation.
pub(super) fn cost(work: Work) -> u64 {
    work.cost().max(1)
}

/// Virtual time that an entry of this cost takes.
fn charge(cost: u64, weight: u32) -> VirtualTime {
    cost.saturating_mul(VIRTUAL_TIME_SCALE) / u64::from(weight.max(1))
}

/// Size of the oldest entry of an organisation.
fn size_of_oldest(queue: &OrganisationQueue) -> SizeClass {
    match (queue.short.front(), queue.long.front()) {
        (Some(short), Some(long)) if long < short => SizeClass::Long,
        (None, Some(_)) => SizeClass::Long,
        _ => SizeClass::Short,
    }
}
