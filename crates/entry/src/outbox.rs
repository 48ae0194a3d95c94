//! News that a relay has gathered and not sent yet, the latest of each instance.

use std::net::Ipv4Addr;

use crate::peers::Digest;

/// Bytes of a datagram that passes links whole.
const DATAGRAM: usize = 1200;

/// News of instances, by their addresses.
pub type Gathered = Vec<(Ipv4Addr, Digest)>;

/// What is to be sent to the zone and beyond it.
#[derive(Debug, Default)]
pub struct Outbox {
    home: Gathered,
    near: Gathered,
    far: Gathered,
}

impl Outbox {
    /// Adds news of an instance of the zone, for all.
    pub fn add_home(&mut self, from: Ipv4Addr, digest: Digest) {
        add(&mut self.home, from, digest.clone());
        self.add_away(from, digest);
    }

    /// Adds news of an instance of the zone that all of the zone have.
    pub fn add_away(&mut self, from: Ipv4Addr, digest: Digest) {
        add(&mut self.near, from, digest.clone());
        add(&mut self.far, from, digest);
    }

    /// Adds news of an instance of another zone, for this one.
    pub fn add_foreign(&mut self, from: Ipv4Addr, digest: Digest) {
        add(&mut self.home, from, digest);
    }

    /// Whether there are news for the zone.
    pub fn has_home(&self) -> bool {
        !self.home.is_empty()
    }

    /// Takes out the news for the zone.
    pub fn take_home(&mut self) -> Gathered {
        std::mem::take(&mut self.home)
    }

    /// Takes out the news for the other zones of the region.
    pub fn take_near(&mut self) -> Gathered {
        std::mem::take(&mut self.near)
    }

    /// Takes out the news for the other regions.
    pub fn take_far(&mut self) -> Gathered {
        std::mem::take(&mut self.far)
    }
}

fn add(gathered: &mut Gathered, from: Ipv4Addr, mut digest: Digest) {
    match gathered.binary_search_by_key(&from, |(a, _)| *a) {
        Ok(at) => {
            let before = &mut gathered[at].1;
            // What only some messages tell is kept.
            if digest.steps.is_empty() && before.incarnation == digest.incarnation {
                digest.steps = std::mem::take(&mut before.steps);
                digest.time_ms = digest.time_ms.or(before.time_ms);
            }
            *before = digest;
        }
        Err(at) => gathered.insert(at, (from, digest)),
    }
}

/// Divides news into datagrams; one without any still tells that the relay lives.
pub fn datagrams(gathered: Gathered) -> Vec<Gathered> {
    let mut datagrams = vec![Gathered::new()];
    let mut bytes = 0;
    for (from, digest) in gathered {
        let size = size(&digest);
        if bytes + size > DATAGRAM && bytes > 0 {
            datagrams.push(Gathered::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(last) = datagrams.last_mut() {
            last.push((from, digest));
        }
    }
    datagrams
}

/// About how many bytes a digest takes.
fn size(digest: &Digest) -> usize {
    let lists = digest.loads.len() * 11 + digest.waiting.len() * 9 + digest.steps.len() * 9;
    48 + lists + digest.unreachable.len() * 5
}
