//! The two firms of the demonstration, at the sizes of today.

use std::fmt;
use std::str::FromStr;

use kingcupfield_decisions::values::{
    Instance, Organisation, Role, Service, ServiceKind, Services, State, Table, Tier,
};
use serde::Serialize;
use sha2::{Digest, Sha256};

/// Entry instances by zone: seven small ones.
pub(super) const ENTRIES: [usize; 3] = [3, 2, 2];

/// Tiers of both firms, the highest first, with their weights.
const TIERS: [(&str, u32); 3] = [("urgent", 8), ("normal", 3), ("bulk", 1)];

/// A firm whose load is shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Firm {
    /// Harrowgate Maritime Systems: crane schedules and shift bookings.
    Harrowgate,
    /// Lotus Gallery Shops: shop assistance and stock reservations.
    Lotus,
}

/// No firm has that name.
#[derive(Debug, thiserror::Error)]
#[error("expected harrowgate or lotus, found {0:?}")]
pub struct UnknownFirm(String);

impl FromStr for Firm {
    type Err = UnknownFirm;

    fn from_str(name: &str) -> Result<Self, UnknownFirm> {
        match name {
            "harrowgate" => Ok(Self::Harrowgate),
            "lotus" => Ok(Self::Lotus),
            _ => Err(UnknownFirm(name.to_owned())),
        }
    }
}

impl fmt::Display for Firm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Harrowgate => "harrowgate",
            Self::Lotus => "lotus",
        })
    }
}

impl Firm {
    /// The regions, with one availability zone each.
    pub(super) fn zones(self) -> [&'static str; 3] {
        match self {
            Self::Harrowgate => ["north-sea", "baltic", "iberia"],
            Self::Lotus => ["hanoi", "danang", "saigon"],
        }
    }

    /// Name of the model service and its replicas in each zone.
    pub(super) fn model(self) -> (&'static str, usize) {
        match self {
            Self::Harrowgate => ("schedule-drafting", 4),
            Self::Lotus => ("shop-assistant", 3),
        }
    }

    /// Name of the plain service, with one replica in each zone, and its call that must not be
    /// repeated.
    pub(super) fn plain(self) -> (&'static str, &'static str) {
        match self {
            Self::Harrowgate => ("roster-booking", "/shifts"),
            Self::Lotus => ("shop-order", "/reservations"),
        }
    }

    /// The organisations with their weights: a few are large.
    pub(super) fn organisations(self) -> [(&'static str, u32); 5] {
        match self {
            Self::Harrowgate => [
                ("terminal-east", 4),
                ("terminal-west", 3),
                ("feeder-lines", 1),
                ("pilots", 1),
                ("lashing-gangs", 1),
            ],
            Self::Lotus => [
                ("head-office", 4),
                ("history-museum", 3),
                ("silk-museum", 1),
                ("art-museum", 1),
                ("ceramics-museum", 1),
            ],
        }
    }

    /// Beginnings that prompts share: each stands before many of them.
    pub(super) fn preambles(self) -> usize {
        match self {
            Self::Harrowgate => 6,
            Self::Lotus => 12,
        }
    }

    /// Requests a second outside the burst, about half of what the engines can do.
    pub(super) fn rate_per_s(self) -> f64 {
        match self {
            Self::Harrowgate => 90.0,
            Self::Lotus => 60.0,
        }
    }

    /// Tiers of both firms, the highest first.
    pub(super) fn tiers() -> [&'static str; 3] {
        TIERS.map(|(tier, _)| tier)
    }

    /// The operators' table.
    pub(super) fn table(self) -> Table {
        let tier = |(rank, (tier, weight)): (usize, &(&str, u32))| Tier {
            tier: (*tier).into(),
            rank: rank as u8,
            weight: *weight,
        };
        let organisation = |(organisation, weight): (&str, u32)| Organisation {
            organisation: organisation.into(),
            weight,
            max_tier: TIERS[0].0.into(),
            key_sha256: vec![hex::encode(Sha256::digest(key_of(organisation)))],
            requests_per_s: None,
            tokens_per_s: None,
            max_running: None,
            allowed_regions: Vec::new(),
        };
        Table {
            tiers: TIERS.iter().enumerate().map(tier).collect(),
            organisations: self.organisations().into_iter().map(organisation).collect(),
            emptied_zones: Vec::new(),
        }
    }

    /// The published services.
    pub(super) fn services(self) -> Services {
        let (plain, path) = self.plain();
        let service = |service: &str, kind, non_idempotent| Service {
            service: service.into(),
            kind,
            non_idempotent,
            generation: None,
            checks_fencing: false,
        };
        Services {
            services: vec![
                service(self.model().0, ServiceKind::Model, Vec::new()),
                service(plain, ServiceKind::Plain, vec![format!("POST {path}")]),
            ],
        }
    }
}

/// Key of an organisation of the demonstration.
pub(super) fn key_of(organisation: &str) -> String {
    format!("demo-{organisation}")
}

/// A live member of the published list.
pub(super) fn instance(name: &str, role: Role, zone: &str, address: String) -> Instance {
    Instance {
        instance: name.into(),
        role,
        availability_zone: zone.into(),
        region: zone.into(),
        address,
        rpc_address: None,
        service: None,
        generation: None,
        state: State::Live,
    }
}
