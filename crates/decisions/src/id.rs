//! Identifiers and units shared by all modules.

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
/// IPv4 address of an entry instance as a number, which identifies it in messages between
/// instances.
pub type InstanceAddress = u32;
/// Name of an organisation, whose limits and weight are in the table.
pub type OrganisationId = Arc<str>;
/// Name of a model or plain service.
pub type ServiceId = Arc<str>;
/// Name of a tier. Its rank, not its name, determines its priority.
pub type TierId = Arc<str>;
/// Identifier of a request: receiving instance, its incarnation and a counter.
pub type RequestId = Arc<str>;

/// Version of a replica's software, as it publishes it. Versions have no order.
pub type SoftwareVersion = Arc<str>;

/// Hash of the name of a replica, service, organisation, zone or software version, used in messages between
/// instances.
pub type NameHash = u32;

/// Hash of `name`, the same at all instances.
pub fn name_hash(name: &str) -> NameHash {
    xxh3_64(name.as_bytes()) as NameHash
}

/// Hash of the attempt id of the caller's attempt that brought the first event of a stream.
pub type StreamKey = u64;

/// Rank of a tier; 0 has the highest priority.
pub type Rank = u8;
/// Distinguishes an instance from its predecessor before a restart; a later one has a larger
/// number.
pub type Incarnation = u64;
/// Version of a published value; it only increases.
pub type Version = u64;
/// Sequence number of a message, chunk or cache event.
pub type Sequence = u64;
/// Hash of a prompt prefix that ends at a block boundary.
pub type PrefixHash = u64;
/// Number of tokens.
pub type Tokens = u64;
