//! Assigns the owner of a key among the live entry instances of a zone, by rendezvous hashing.
//!
//! Load pattern: instances start and stop all day. With `hash % n`, one departure would move nearly
//! every key to another owner and empty every queue. With rendezvous hashing only the keys of the
//! departed instance move, each to the instance ranked second for it. `xxh3` is used because it has
//! no secret key, so that every instance computes the same ranks from the names alone; nobody gains
//! from choosing names.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::InstanceId;

/// Rank of `instance` for `key`; the instance with the highest rank owns the key.
fn rank(key: &str, instance: &str) -> u64 {
    xxh3_64_with_seed(instance.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Owner of `key` among the `live` instances, or `None` if there are none.
pub fn owner<'a>(key: &str, live: &'a [InstanceId]) -> Option<&'a InstanceId> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    live.iter()
        .max_by_key(|instance| (xxh3_64_with_seed(instance.as_bytes(), seed), *instance))
}

/// The `live` instances in the order in which they would own `key`, the current owner first.
pub fn ranked<'a>(key: &str, live: &'a [InstanceId]) -> Vec<&'a InstanceId> {
    let mut ranked: Vec<_> = live.iter().collect();
    ranked.sort_by_cached_key(|instance| {
        std::cmp::Reverse((rank(key, instance), InstanceId::clone(instance)))
    });
    ranked
}

/// Share of `capacity` that each of `last_known_instances` may use while no owner can be reached.
///
/// It is rounded down, so that the shares of all instances never exceed the capacity in sum.
pub fn fallback_share(capacity: u32, last_known_instances: usize) -> u32 {
    let instances = u32::try_from(last_known_instances).unwrap_or(u32::MAX);
    capacity / instances.max(1)
}

/// Like [`fallback_share`], but gives the remainder of the division to the instances ranked first
/// for `key`.
///
/// With fewer slots than instances, every rounded share would be 0 and a zone without a reachable
/// owner would process nothing; this way each slot is usable by one instance.
pub fn fallback_share_of(
    key: &str,
    instance: &InstanceId,
    capacity: u32,
    last_known: &[InstanceId],
) -> u32 {
    let remainder = capacity as usize % last_known.len().max(1);
    let gets_extra = ranked(key, last_known)
        .into_iter()
        .take(remainder)
        .any(|other| other == instance);
    fallback_share(capacity, last_known.len()) + u32::from(gets_extra)
}
