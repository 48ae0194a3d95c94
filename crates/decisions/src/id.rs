//! Names of the things that the decisions speak about.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

/// Name of an entry instance, as published in the list of instances.
pub type InstanceId = Arc<str>;
/// Name of an upstream replica, as published in the list of instances.
pub type UpstreamId = Arc<str>;
/// Name of an availability zone.
pub type ZoneId = Arc<str>;
/// Name of a region, which holds one or more availability zones.
pub type RegionId = Arc<str>;
/// An entry instance by its address, as the instances name each other in messages.
pub type InstanceAddress = u32;
/// Name of an organisation, whose limits and weight stand in the table.
pub type OrganisationId = Arc<str>;
/// Name of a model or plain service.
pub type ServiceId = Arc<str>;
/// Name of a tier; its rank decides.
pub type TierId = Arc<str>;
/// Name of a request: the receiving instance, its incarnation and a counter.
pub type RequestId = Arc<str>;

/// Short name of a replica, an organisation or a zone in messages between instances.
pub type NameHash = u32;

/// The short name of `name`.
pub fn name_hash(name: &str) -> NameHash {
    xxh3_64(name.as_bytes()) as NameHash
}

/// Position of a tier; 0 is the highest.
pub type Rank = u8;
/// Distinguishes the lives of a restarted instance; a later life has a larger number.
pub type Incarnation = u64;
/// Version of a published value; it only grows.
pub type Version = u64;
/// Position in a sequence of messages, chunks or cache events.
pub type Sequence = u64;
/// Hash of a prompt prefix that ends at a block boundary.
pub type PrefixHash = u64;
/// Number of tokens.
pub type Tokens = u64;
