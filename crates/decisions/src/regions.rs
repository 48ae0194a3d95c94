//! The regions in which a request may be served.
//!
//! Load pattern: organisations and routes that are tied to some regions, while these are full, emptied or
//! cut off and others have room. Chosen by load alone, a replica of another region gets the
//! request; kept to one of the two lists, a request leaves the regions of the other.

use std::fmt;
use std::sync::Arc;

use crate::id::RegionId;

/// Regions in which a request may be served: all of them, or the ones that are named.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions(Option<Arc<[RegionId]>>);

impl Regions {
    /// Every region.
    pub fn all() -> Self {
        Self::default()
    }

    /// The named regions; every region if none is named.
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

    /// The regions that both allow, which may be none.
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

    /// Whether no region is left.
    pub fn is_none(&self) -> bool {
        self.0.as_deref().is_some_and(<[RegionId]>::is_empty)
    }

    /// Whether a request may be served in the region.
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
