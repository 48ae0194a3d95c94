//! Order of waiting reservations: strict by tier, weighted fair between organisations inside a
//! tier.
//!
//! Load pattern: one organisation or a few long jobs fill the queue. In order of arrival the others
//! would wait behind all of it. If requests were counted, an organisation that sends translations
//! would get a hundred times the share of one that queries the state of orders. Each organisation
//! is therefore charged by cost and weight (start-time fair queueing), and the charge is corrected
//! when the actual cost is known.
//!
//! A request is long if at least a twentieth of the recent arrivals of its tier, or of a higher
//! one, cost at most an eighth of it. The queue classifies requests; [`max_long_slots`] limits how
//! many slots long ones may hold.

mod cost_histogram;
mod tier;

use std::collections::VecDeque;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

pub use self::tier::SizeClass;
use self::tier::{Arrival, TierQueue, cost};
use crate::id::{OrganisationId, Rank, RequestId, Tokens};
use crate::slots::Reservation;
use crate::work::Work;

/// One slot in this many is kept free of long requests.
///
/// A short request then waits for another short one to end, not for a long one that takes a hundred
/// times longer. With one in 8, short requests have to wait. One in 2 serves more requests, but
/// refused higher tiers out of order in the scenarios (see the design note).
pub const SHORT_SLOTS_ONE_IN: u32 = 4;

/// Number of slots, out of `limit`, that long requests may hold.
pub fn max_long_slots(limit: u32) -> u32 {
    if limit < 2 {
        return limit;
    }
    limit - (limit / SHORT_SLOTS_ONE_IN).max(1)
}

/// A waiting reservation.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The reservation.
    pub reservation: Reservation,
    /// Tokens of the complete prompt, cached or not.
    pub prompt: Tokens,
    /// Time by the owner's clock after which the caller no longer needs the response.
    pub deadline: Instant,
    /// Whether the request counts as long.
    pub size: SizeClass,
}

/// A waiting entry with its arrival number.
#[derive(Debug, Clone)]
struct QueuedEntry {
    arrival: Arrival,
    entry: Box<Entry>,
}

/// Index record that maps the hash of a request id to the arrival number of its entry.
#[derive(Debug, Clone, Copy)]
struct IndexEntry {
    hash: u64,
    arrival: Arrival,
}

/// The charge of an organisation for a granted request, to be corrected when the request ends.
#[derive(Debug, Clone)]
pub struct Charge {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Weight of the organisation.
    pub weight: u32,
    /// Rank of the tier.
    pub rank: Rank,
    /// Charged cost.
    pub cost: u64,
}

/// Queue of the waiting reservations of one replica.
#[derive(Debug, Clone, Default)]
pub struct FairQueue {
    /// Sorted by rank.
    tiers: Vec<TierQueue>,
    /// Sorted by arrival number.
    entries: VecDeque<QueuedEntry>,
    /// Sorted by hash.
    index: Vec<IndexEntry>,
    next_arrival: Arrival,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting reservations.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no reservation waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether a reservation of the request waits.
    pub fn contains(&self, request: &RequestId) -> bool {
        self.arrival_of(request).is_some()
    }

    /// Sum of the waiting work of tier `rank` and higher ones.
    pub fn work_at_or_above(&self, rank: Rank) -> Work {
        let mut sum = Work::default();
        for tier in self.tiers.iter().take_while(|tier| tier.rank <= rank) {
            sum.prefill += tier.work.prefill;
            sum.decode += tier.work.decode;
        }
        sum
    }

    /// Number of waiting reservations of tier `rank` and higher ones.
    pub fn len_at_or_above(&self, rank: Rank) -> usize {
        let above = self.tiers.iter().take_while(|tier| tier.rank <= rank);
        above.map(|tier| tier.len).sum()
    }

    /// Queues a reservation that must complete before `deadline`. `prompt` is the complete length
    /// of its prompt in tokens; its expected work covers only the part that is not cached.
    pub fn push(&mut self, reservation: Reservation, prompt: Tokens, deadline: Instant) {
        let size = self.classify(&reservation);
        let arrival = self.next_arrival;
        self.next_arrival += 1;
        let hash = hash(&reservation.request);
        let at = self.index.partition_point(|index| index.hash < hash);
        self.index.insert(at, IndexEntry { hash, arrival });
        let work = reservation.work;
        let tier = self.tier_mut(reservation.rank);
        let (organisation, weight) = (&reservation.organisation, reservation.weight);
        tier.push(organisation, weight, size, work, arrival);
        let entry = Box::new(Entry {
            reservation,
            prompt,
            deadline,
            size,
        });
        self.entries.push_back(QueuedEntry { arrival, entry });
    }

    /// Removes the next reservation and charges its organisation. A long one is considered only if
    /// `allow_long` is set.
    ///
    /// A long reservation that may not run yet holds back the tiers below, as its slot is about to
    /// become free.
    pub fn pop_next(&mut self, allow_long: bool) -> Option<Box<Entry>> {
        let tier = self.tiers.iter().find(|tier| tier.len > 0)?;
        let arrival = tier.next(allow_long)?;
        self.remove_arrival(arrival, true)
    }

    /// Removes a request without charging its organisation.
    pub fn remove(&mut self, request: &RequestId) -> Option<Box<Entry>> {
        let arrival = self.arrival_of(request)?;
        self.remove_arrival(arrival, false)
    }

    /// Removes the latest reservation of the organisation with the largest backlog relative to its
    /// weight, in the lowest tier.
    ///
    /// By arrival alone, a flood of one organisation would displace the requests of the others.
    pub fn evict(&mut self) -> Option<Box<Entry>> {
        let tier = self.tiers.iter().rev().find(|tier| tier.len > 0)?;
        let arrival = tier.newest_of_largest_backlog()?;
        self.remove_arrival(arrival, false)
    }

    /// Removes all reservations for which `unwanted` returns `true`.
    pub fn remove_if<F>(&mut self, unwanted: F) -> Vec<Entry>
    where
        F: Fn(&Entry) -> bool,
    {
        let arrivals_to_remove: Vec<Arrival> = self
            .entries
            .iter()
            .filter(|queued| unwanted(&queued.entry))
            .map(|queued| queued.arrival)
            .collect();
        let removed = arrivals_to_remove
            .into_iter()
            .filter_map(|arrival| self.remove_arrival(arrival, false));
        removed.map(|entry| *entry).collect()
    }

    /// Replaces the expected cost of a request that ended by its `real` cost.
    pub fn settle(&mut self, charge: &Charge, real: Work) {
        let tier = self.tier_mut(charge.rank);
        tier.settle(&charge.organisation, charge.weight, charge.cost, cost(real));
    }

    /// Charge for `reservation` at the time of its grant.
    pub fn charge(reservation: &Reservation) -> Charge {
        Charge {
            organisation: OrganisationId::clone(&reservation.organisation),
            weight: reservation.weight,
            rank: reservation.rank,
            cost: cost(reservation.work),
        }
    }

    /// Adds the reservation to the recent arrivals of its tier and classifies it by them.
    fn classify(&mut self, reservation: &Reservation) -> SizeClass {
        let (rank, cost) = (reservation.rank, cost(reservation.work));
        self.tier_mut(rank).recent_costs.add(cost);
        let mut above = self.tiers.iter().take_while(|tier| tier.rank <= rank);
        if above.any(|tier| tier.recent_costs.is_long(cost)) {
            SizeClass::Long
        } else {
            SizeClass::Short
        }
    }

    fn tier_mut(&mut self, rank: Rank) -> &mut TierQueue {
        let at = match self.tiers.binary_search_by_key(&rank, |tier| tier.rank) {
            Ok(at) => at,
            Err(at) => {
                self.tiers.insert(at, TierQueue::new(rank));
                at
            }
        };
        &mut self.tiers[at]
    }

    fn position(&self, arrival: Arrival) -> Option<usize> {
        let entries = &self.entries;
        entries
            .binary_search_by_key(&arrival, |queued| queued.arrival)
            .ok()
    }

    fn entry(&self, arrival: Arrival) -> Option<&Entry> {
        self.position(arrival).map(|at| &*self.entries[at].entry)
    }

    fn arrival_of(&self, request: &RequestId) -> Option<Arrival> {
        let hash = hash(request);
        let from = self.index.partition_point(|index| index.hash < hash);
        let same = self.index[from..].iter().take_while(|i| i.hash == hash);
        same.map(|index| index.arrival).find(|arrival| {
            let entry = self.entry(*arrival);
            entry.is_some_and(|entry| entry.reservation.request == *request)
        })
    }

    /// Removes an entry; `granted` charges its organisation.
    fn remove_arrival(&mut self, arrival: Arrival, granted: bool) -> Option<Box<Entry>> {
        let at = self.position(arrival)?;
        let entry = self.entries.remove(at)?.entry;
        let reservation = &entry.reservation;
        let hash = hash(&reservation.request);
        let from = self.index.partition_point(|index| index.hash < hash);
        let same = self.index[from..].iter().position(|i| i.arrival == arrival);
        if let Some(offset) = same {
            self.index.remove(from + offset);
        }
        let tier = self.tier_mut(reservation.rank);
        tier.remove(
            &reservation.organisation,
            entry.size,
            reservation.work,
            arrival,
            granted,
        );
        Some(entry)
    }
}

fn hash(request: &RequestId) -> u64 {
    xxh3_64(request.as_bytes())
}
