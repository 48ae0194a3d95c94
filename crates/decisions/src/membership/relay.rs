//! Handles membership messages: heartbeats, relayed claims and their answers.

use std::sync::Arc;

use tokio::time::Instant;

use crate::id::InstanceId;

use super::message::{Claim, Envelope, Health, LeavingUpstream, MembershipMessage};
use super::peer::ListState;
use super::{
    BRIDGES_PER_ZONE, MAX_CLAIMS_PER_HEARTBEAT, Membership, WATCHED_NEIGHBOURS, ring_neighbours,
};

impl Membership {
    /// Processes a message from a peer and returns the messages to send.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: &InstanceId,
        message: &MembershipMessage,
    ) -> Vec<Envelope> {
        let out = match message {
            MembershipMessage::Heartbeat {
                own,
                answer,
                seen,
                leaving_upstreams,
            } => {
                let mut out = self.on_heartbeat(now, from, own, *answer);
                for claim in seen.iter().take(MAX_CLAIMS_PER_HEARTBEAT) {
                    out.extend(self.on_claim(now, from, claim));
                }
                let reports = self.upstreams.on_peer_reports(now, leaving_upstreams);
                out.extend(self.relay_leaving_upstreams(reports));
                out
            }
            MembershipMessage::Suspect(claim)
            | MembershipMessage::Leaving(claim)
            | MembershipMessage::Alive(claim) => self.on_claim(now, from, claim),
            MembershipMessage::LeavingUpstream(report) => {
                let reports = self
                    .upstreams
                    .on_peer_reports(now, std::slice::from_ref(report));
                self.relay_leaving_upstreams(reports)
            }
        };
        self.update_live_instances();
        out
    }

    /// Processes the sender's claim about itself and, if asked, answers with a heartbeat.
    fn on_heartbeat(
        &mut self,
        now: Instant,
        from: &InstanceId,
        own: &Claim,
        answer: bool,
    ) -> Vec<Envelope> {
        if own.instance != *from || own.instance == self.own_id {
            return Vec::new();
        }
        let mut out = self.on_claim(now, from, own);
        let Ok(i) = self.position(from) else {
            return out;
        };
        let peer = &mut self.peers[i];
        if peer.incarnation == own.incarnation {
            peer.last_heard_at = now;
        }
        if peer.health != Health::Live {
            // The peer is alive, but considered suspected or dead at its current revision. Only a
            // claim of its own with a higher revision can correct that everywhere.
            out.push(Envelope {
                to: Arc::clone(from),
                message: MembershipMessage::Suspect(peer.claim()),
            });
        }
        if answer {
            out.push(Envelope {
                to: Arc::clone(from),
                message: self.heartbeat_message(false),
            });
        }
        out
    }

    /// Merges a claim about another instance and relays it if it was new.
    fn on_claim(&mut self, now: Instant, from: &InstanceId, claim: &Claim) -> Vec<Envelope> {
        if claim.instance == self.own_id {
            return self.on_own_claim(claim);
        }
        let is_gone = claim.health == Health::Dead || claim.leaving;
        if is_gone && self.position(&claim.instance).is_err() {
            // Already forgotten. Adding it again would keep the claim circulating for ever.
            return Vec::new();
        }
        let Some(peer) = self.find_or_insert_peer(now, &claim.instance, &claim.zone) else {
            return Vec::new();
        };
        if !peer.merge_claim(claim, now) {
            return Vec::new();
        }
        let claim = peer.claim();
        let message = if claim.leaving {
            MembershipMessage::Leaving(claim)
        } else if claim.health == Health::Live {
            MembershipMessage::Alive(claim)
        } else {
            MembershipMessage::Suspect(claim)
        };
        self.relay(&message, Some(from))
    }

    /// Handles a claim of a peer about this instance: refutes it, or notes that a successor runs.
    fn on_own_claim(&mut self, claim: &Claim) -> Vec<Envelope> {
        if claim.incarnation > self.incarnation {
            self.superseded = true;
            return Vec::new();
        }
        let is_current = claim.incarnation == self.incarnation;
        if claim.health == Health::Live || (is_current && claim.revision < self.revision) {
            return Vec::new();
        }
        if is_current {
            self.revision = claim.revision.saturating_add(1);
        }
        let own = self.own_claim();
        self.relay(&MembershipMessage::Alive(own), None)
    }

    /// Instances that changes are relayed to: in this zone those at ring distances that are powers
    /// of two, and from the first instances of a zone, the first ones of each other zone.
    pub fn relay_targets(&self) -> Vec<InstanceId> {
        let mut to = self.zone_neighbours();
        to.extend(self.bridge_targets());
        to
    }

    /// Addresses a message to all relay targets but `except`.
    pub(super) fn relay(
        &self,
        message: &MembershipMessage,
        except: Option<&InstanceId>,
    ) -> Vec<Envelope> {
        self.relay_targets()
            .into_iter()
            .filter(|to| Some(to) != except)
            .map(|to| Envelope {
                to,
                message: message.clone(),
            })
            .collect()
    }

    /// Addresses each report to all relay targets.
    pub(super) fn relay_leaving_upstreams(&self, reports: Vec<LeavingUpstream>) -> Vec<Envelope> {
        reports
            .into_iter()
            .flat_map(|report| self.relay(&MembershipMessage::LeavingUpstream(report), None))
            .collect()
    }

    /// Instances that this one sends heartbeats to and expects answers from.
    pub(super) fn watched_instances(&self) -> Vec<InstanceId> {
        let mut watched = self.zone_neighbours();
        watched.truncate(WATCHED_NEIGHBOURS);
        watched.extend(self.bridge_targets());
        watched
    }

    /// Instances of this zone at ring distances that are powers of two, the nearest first.
    fn zone_neighbours(&self) -> Vec<InstanceId> {
        let mut ring = self
            .peers
            .iter()
            .filter(|p| p.zone == self.zone && p.health != Health::Dead)
            .map(|p| &p.id)
            .collect::<Vec<_>>();
        let rank = ring.partition_point(|id| **id < self.own_id);
        ring.insert(rank, &self.own_id);
        ring_neighbours(rank, ring.len())
            .map(|i| Arc::clone(ring[i]))
            .collect()
    }

    /// First instances of each other zone if this is one of the first in its own, else none.
    fn bridge_targets(&self) -> Vec<InstanceId> {
        if self.rank().is_none_or(|rank| rank >= BRIDGES_PER_ZONE) {
            return Vec::new();
        }
        self.views
            .iter()
            .filter(|v| v.zone != self.zone)
            .flat_map(|v| {
                v.live_instances
                    .iter()
                    .take(BRIDGES_PER_ZONE)
                    .map(Arc::clone)
            })
            .collect()
    }

    /// Claim of this instance about itself.
    pub(super) fn own_claim(&self) -> Claim {
        Claim {
            instance: Arc::clone(&self.own_id),
            zone: Arc::clone(&self.zone),
            incarnation: self.incarnation,
            revision: self.revision,
            health: Health::Live,
            leaving: self.leaving,
        }
    }

    /// Addresses a heartbeat to each watched instance.
    pub(super) fn heartbeats(&mut self) -> Vec<Envelope> {
        let watched = self.watched_instances();
        self.heartbeat_count = self.heartbeat_count.wrapping_add(1);
        let message = self.heartbeat_message(true);
        watched
            .into_iter()
            .map(|to| Envelope {
                to,
                message: message.clone(),
            })
            .collect()
    }

    /// Returns a heartbeat to one instance that is considered dead although it is listed, in
    /// rotation. Bridges also probe instances of other zones.
    pub(super) fn dead_peer_probe(&self) -> Option<Envelope> {
        let is_bridge = self.rank().is_some_and(|rank| rank < BRIDGES_PER_ZONE);
        let dead = self
            .peers
            .iter()
            .filter(|p| p.health == Health::Dead && p.listed != ListState::Absent)
            .filter(|p| is_bridge || p.zone == self.zone)
            .collect::<Vec<_>>();
        let chosen = dead.get(self.heartbeat_count % dead.len().max(1))?;
        Some(Envelope {
            to: Arc::clone(&chosen.id),
            message: self.heartbeat_message(true),
        })
    }

    /// Heartbeat of this instance, which asks for a reply if `answer` is set.
    fn heartbeat_message(&self, answer: bool) -> MembershipMessage {
        MembershipMessage::Heartbeat {
            own: self.own_claim(),
            answer,
            // A reply carries no claims about others: it only shows that its sender is alive.
            seen: if answer {
                self.next_claims()
            } else {
                Vec::new()
            },
            leaving_upstreams: self.upstreams.reports(),
        }
    }

    /// A few claims in rotation, half of them on problematic peers: they make up for lost messages.
    fn next_claims(&self) -> Vec<Claim> {
        let seen_peers = || self.peers.iter().filter(|p| p.incarnation > 0);
        let (healthy, problematic): (Vec<_>, Vec<_>) =
            seen_peers().partition(|p| p.health == Health::Live && !p.leaving);
        let half = MAX_CLAIMS_PER_HEARTBEAT / 2;
        let start = self.heartbeat_count * half;
        let rotate = |list: Vec<&super::Peer>, count: usize| {
            let count = count.min(list.len());
            (start..start + count)
                .map(|i| list[i % list.len()].claim())
                .collect::<Vec<_>>()
        };
        let mut claims = rotate(problematic, half);
        claims.extend(rotate(healthy, MAX_CLAIMS_PER_HEARTBEAT - half));
        claims
    }
}
