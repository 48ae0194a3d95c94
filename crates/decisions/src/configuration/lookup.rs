//! Lookups in the values in force, by binary search.

use std::sync::Arc;

use crate::id::Rank;
use crate::values::{Instance, Instances, Organisation, Role, Service, Services, Table, Tier};

use super::Configuration;

impl Configuration {
    /// Table in force.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.table.as_ref().map(|h| Arc::clone(&h.value))
    }

    /// Services in force.
    pub fn services(&self) -> Option<Arc<Services>> {
        self.services.as_ref().map(|h| Arc::clone(&h.value))
    }

    /// List of instances in force.
    pub fn instances(&self) -> Option<Arc<Instances>> {
        self.instances.as_ref().map(|h| Arc::clone(&h.value))
    }
}

/// These lookups require sorted rows, as in values taken from a [`Configuration`].
impl Table {
    /// Organisation with this name.
    pub fn organisation(&self, name: &str) -> Option<&Organisation> {
        self.organisations
            .binary_search_by(|o| (*o.organisation).cmp(name))
            .ok()
            .map(|i| &self.organisations[i])
    }

    /// Key hashes of all organisations in lowercase hexadecimal, for the adapter that compares the
    /// hash of a caller's key in constant time.
    pub fn key_hashes(&self) -> Vec<KeyHash<'_>> {
        let mut hashes = self
            .organisations
            .iter()
            .flat_map(|organisation| {
                organisation.key_sha256.iter().map(|sha256| KeyHash {
                    sha256,
                    organisation,
                })
            })
            .collect::<Vec<_>>();
        hashes.sort_by_key(|h| h.sha256);
        hashes
    }

    /// Tier with this name.
    pub fn tier(&self, name: &str) -> Option<&Tier> {
        self.tiers.iter().find(|t| &*t.tier == name)
    }

    /// Rank of the tier with this name.
    pub fn rank(&self, name: &str) -> Option<Rank> {
        self.tier(name).map(|t| t.rank)
    }

    /// Lowest tier, which applies to requests that name none.
    pub fn lowest_tier(&self) -> Option<&Tier> {
        self.tiers.last()
    }
}

/// Key hash of an organisation.
#[derive(Debug, Clone, Copy)]
pub struct KeyHash<'a> {
    /// SHA-256 of the key, in lowercase hexadecimal.
    pub sha256: &'a str,
    /// Organisation that the key belongs to.
    pub organisation: &'a Organisation,
}

impl Services {
    /// Service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services
            .binary_search_by(|s| (*s.service).cmp(name))
            .ok()
            .map(|i| &self.services[i])
    }
}

impl Service {
    /// Whether a call with this method and path must not be retried.
    ///
    /// A published path covers the paths below it: `POST /bookings` covers `POST /bookings/7`.
    /// A trailing slash or a query does not make a call idempotent.
    pub fn is_non_idempotent(&self, method: &str, path: &str) -> bool {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        self.non_idempotent.iter().any(|call| {
            call.split_once(' ').is_some_and(|(m, published)| {
                let below = path.strip_prefix(published.trim_end_matches('/'));
                m == method && below.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
            })
        })
    }
}

impl Instances {
    /// Instance with this name.
    pub fn instance(&self, name: &str) -> Option<&Instance> {
        self.instances
            .binary_search_by(|i| (*i.instance).cmp(name))
            .ok()
            .map(|i| &self.instances[i])
    }

    /// Entry instances of a zone, sorted by name.
    pub fn entries(&self, zone: &str) -> impl Iterator<Item = &Instance> {
        self.instances
            .iter()
            .filter(move |i| i.role == Role::Entry && &*i.availability_zone == zone)
    }

    /// Upstreams of a pool (one service in one zone), sorted by name.
    pub fn upstreams(&self, service: &str, zone: &str) -> impl Iterator<Item = &Instance> {
        self.instances.iter().filter(move |i| {
            i.role == Role::Upstream
                && i.service.as_deref() == Some(service)
                && &*i.availability_zone == zone
        })
    }
}
