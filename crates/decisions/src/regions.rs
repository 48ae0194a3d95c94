//! Regions in which a request may be processed.
//!
//! Load pattern: organisations and routes restricted to some regions, while these are full, drained
//! or unreachable and others have room. If load alone decided, a replica of another region would
//! get the request; if only one of the two lists were applied, the request would leave the regions
//! of the other.

use std::fmt;
use std::sync::Arc;

use crate::id::RegionId;

/// Set of regions in which a request may be processed: all regions, or the named ones.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions(Option<Arc<[RegionId]>>);

impl Regions {
    /// Permits every region.
    pub fn all() -> Self {
        Self::default()
    }

    /// Permits the named regions, or every region if `names` is empty.
    pub fn named<I>(names: I) -> Self
    where
        I: IntoIterator<Item = RegionId>,
    {
        let mut names: Vec<RegionId> = names.into_iter().collect();
        if names.is_empty() {
            return Self::all();
        }
        names.sort_unstable();
        names.dedup();
        Self(Some(names.into()))
    }

    /// Intersection of both sets, which may be empty.
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(own), Some(_)) => {
                let both = own.iter().filter(|r| other.allows(r)).cloned();
                Self(Some(both.collect()))
            }
        }
    }

    /// Whether the set is empty.
    pub fn is_none(&self) -> bool {
        self.0.as_deref().is_some_and(<[RegionId]>::is_empty)
    }

    /// Whether the set contains the region.
    pub fn allows(&self, region: &str) -> bool {
        let Some(names) = &self.0 else {
            return true;
        };
        names.binary_search_by(|r| (**r).cmp(region)).is_ok()
    }
}

impl fmt::Display for Regions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            None => f.write_str("all"),
            Some(names) if names.is_empty() => f.write_str("none"),
            Some(names) => f.write_str(&names.join(",")),
        }
    }
}
