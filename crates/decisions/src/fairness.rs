//! Order of waiting reservations: strict by tier, weighted fair between organisations inside a tier.
//!
//! Load pattern: one organisation or a few long jobs fill the queue. In order of arrival the
//! others would wait behind all of it; counted by requests, one that sends translations would get
//! a hundred times the share of one that asks for order states. So each organisation is charged
//! by cost (start-time fair queueing), by weight, and corrected when the real cost is known.
//!
//! A request is long if it costs at least eight times what a twentieth or more of the recent
//! arrivals of its tier and above cost. The queue tells which are long; how many slots they may
//! hold is [`max_long_slots`].

mod mix;
mod tier;

use std::collections::VecDeque;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

pub use self::tier::SizeClass;
use self::tier::{Arrival, TierQueue, cost};
use crate::id::{OrganisationId, Rank, RequestId, Tokens};
use crate::slots::Reservation;
use crate::work::Work;

/// Slots kept free of long requests while short ones come: one in this many.
///
/// A short request then waits for a short one to end, not for a long one a hundred times longer.
/// One in 8 makes short ones wait; one in 2 serves more but refused higher tiers out of order in
/// the scenarios (see the design note).
pub const SHORT_SLOTS_ONE_IN: u32 = 4;

/// Of `limit` slots, how many long requests may hold.
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
    /// Tokens of the whole prompt, cached or not.
    pub prompt: Tokens,
    /// When its caller no longer wants the answer, by the owner's clock.
    pub deadline: Instant,
    /// Whether it counts as long.
    pub size: SizeClass,
}

/// Entry with its place in the order of arrival.
#[derive(Debug, Clone)]
struct Place {
    arrival: Arrival,
    entry: Box<Entry>,
}

/// Where a request's entry is.
#[derive(Debug, Clone, Copy)]
struct Index {
    hash: u64,
    arrival: Arrival,
}

/// What an organisation is charged for, to be corrected when the request ends.
#[derive(Debug, Clone)]
pub struct Charge {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Its weight.
    pub weight: u32,
    /// Rank of the tier.
    pub rank: Rank,
    /// Cost that was charged.
    pub cost: u64,
}

/// Waiting reservations of one replica.
#[derive(Debug, Clone, Default)]
pub struct FairQueue {
    tiers: Vec<TierQueue>,
    places: VecDeque<Place>,
    index: Vec<Index>,
    arrivals: Arrival,
}

impl FairQueue {
    /// Makes an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Waiting reservations.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Whether the request waits here.
    pub fn contains(&self, request: &RequestId) -> bool {
        self.find(request).is_some()
    }

    /// Work that waits in `rank` and above.
    pub fn work_at_or_above(&self, rank: Rank) -> Work {
        let mut sum = Work::default();
        for tier in self.tiers.iter().take_while(|tier| tier.rank <= rank) {
            sum.prefill += tier.work.prefill;
            sum.decode += tier.work.decode;
        }
        sum
    }

    /// Reservations that wait in `rank` and above.
    pub fn len_above(&self, rank: Rank) -> usize {
        let above = self.tiers.iter().take_while(|tier| tier.rank <= rank);
        above.map(|tier| tier.len).sum()
    }

    /// Queues a reservation with its whole `prompt` that must end before `deadline`; its expected
    /// work counts only what is not cached.
    pub fn push(&mut self, reservation: Reservation, prompt: Tokens, deadline: Instant) {
        let size = self.size(&reservation);
        let arrival = self.arrivals;
        self.arrivals += 1;
        let hash = hash(&reservation.request);
        let at = self.index.partition_point(|index| index.hash < hash);
        self.index.insert(at, Index { hash, arrival });
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
        self.places.push_back(Place { arrival, entry });
    }

    /// Takes out the next reservation and charges its organisation; a long one only if `long`.
    ///
    /// A long one that may not run yet holds back the tiers below: its slot is about to be free.
    pub fn pop_next(&mut self, long: bool) -> Option<Box<Entry>> {
        let tier = self.tiers.iter().find(|tier| tier.len > 0)?;
        let arrival = tier.next(long)?;
        self.take(arrival, true)
    }

    /// Takes the request out without a charge.
    pub fn remove(&mut self, request: &RequestId) -> Option<Box<Entry>> {
        let arrival = self.find(request)?;
        self.take(arrival, false)
    }

    /// Takes out the latest reservation of the most greedy organisation in the lowest tier.
    ///
    /// By arrival alone, a flood of one organisation would push the others' requests out.
    pub fn evict(&mut self) -> Option<Box<Entry>> {
        let tier = self.tiers.iter().rev().find(|tier| tier.len > 0)?;
        let arrival = tier.last()?;
        self.take(arrival, false)
    }

    /// Takes out all reservations for which `unwanted` is true.
    pub fn remove_if<F>(&mut self, unwanted: F) -> Vec<Entry>
    where
        F: Fn(&Entry) -> bool,
    {
        let gone: Vec<Arrival> = self
            .places
            .iter()
            .filter(|place| unwanted(&place.entry))
            .map(|place| place.arrival)
            .collect();
        let taken = gone
            .into_iter()
            .filter_map(|arrival| self.take(arrival, false));
        taken.map(|entry| *entry).collect()
    }

    /// Charges the difference between the expected and the real cost of a request that ended.
    pub fn settle(&mut self, charge: &Charge, real: Work) {
        let tier = self.tier_mut(charge.rank);
        tier.settle(&charge.organisation, charge.weight, charge.cost, cost(real));
    }

    /// What the organisation of `reservation` was charged when it was granted.
    pub fn charge(reservation: &Reservation) -> Charge {
        Charge {
            organisation: OrganisationId::clone(&reservation.organisation),
            weight: reservation.weight,
            rank: reservation.rank,
            cost: cost(reservation.work),
        }
    }

    fn size(&mut self, reservation: &Reservation) -> SizeClass {
        let (rank, cost) = (reservation.rank, cost(reservation.work));
        self.tier_mut(rank).mix.add(cost);
        let mut above = self.tiers.iter().take_while(|tier| tier.rank <= rank);
        if above.any(|tier| tier.mix.is_long(cost)) {
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
        let places = &self.places;
        places
            .binary_search_by_key(&arrival, |place| place.arrival)
            .ok()
    }

    fn entry(&self, arrival: Arrival) -> Option<&Entry> {
        self.position(arrival).map(|at| &*self.places[at].entry)
    }

    fn find(&self, request: &RequestId) -> Option<Arrival> {
        let hash = hash(request);
        let from = self.index.partition_point(|index| index.hash < hash);
        let same = self.index[from..].iter().take_while(|i| i.hash == hash);
        same.map(|index| index.arrival).find(|arrival| {
            let entry = self.entry(*arrival);
            entry.is_some_and(|entry| entry.reservation.request == *request)
        })
    }

    fn take(&mut self, arrival: Arrival, granted: bool) -> Option<Box<Entry>> {
        let at = self.position(arrival)?;
        let entry = self.places.remove(at)?.entry;
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
