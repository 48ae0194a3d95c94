//! Greeting, relaying and answering.

use std::sync::Arc;

use tokio::time::Instant;

use crate::id::InstanceId;

use super::message::{Claim, Envelope, Health, LeavingUpstream, MembershipMessage};
use super::peer::Listed;
use super::{BRIDGES_PER_ZONE, MAX_CLAIMS_PER_HEARTBEAT, Membership, WATCHED_NEIGHBOURS, fingers};

impl Membership {
    /// Takes a message of a peer.
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
                let news = self.upstreams.on_news(now, leaving_upstreams);
                out.extend(self.tell_upstreams(news));
                out
            }
            MembershipMessage::Suspect(claim)
            | MembershipMessage::Leaving(claim)
            | MembershipMessage::Alive(claim) => self.on_claim(now, from, claim),
            MembershipMessage::LeavingUpstream(news) => {
                let news = self.upstreams.on_news(now, std::slice::from_ref(news));
                self.tell_upstreams(news)
            }
        };
        self.refresh();
        out
    }

    fn on_heartbeat(
        &mut self,
        now: Instant,
        from: &InstanceId,
        own: &Claim,
        answer: bool,
    ) -> Vec<Envelope> {
        if own.instance != *from || own.instance == self.me {
            return Vec::new();
        }
        let mut out = self.on_claim(now, from, own);
        let Ok(i) = self.position(from) else {
            return out;
        };
        let peer = &mut self.peers[i];
        if peer.incarnation == own.incarnation {
            peer.heard = now;
        }
        if peer.health != Health::Live {
            // It lives but others hold it suspected or dead under this word; only a higher word
            // of its own can end that everywhere.
            out.push(Envelope {
                to: Arc::clone(from),
                message: MembershipMessage::Suspect(peer.claim()),
            });
        }
        if answer {
            out.push(Envelope {
                to: Arc::clone(from),
                message: self.heartbeat(false),
            });
        }
        out
    }

    fn on_claim(&mut self, now: Instant, from: &InstanceId, claim: &Claim) -> Vec<Envelope> {
        if claim.instance == self.me {
            return self.on_own_claim(claim);
        }
        let gone = claim.health == Health::Dead || claim.leaving;
        if gone && self.position(&claim.instance).is_err() {
            // Forgotten already; taking it in again would keep it going round for ever.
            return Vec::new();
        }
        let Some(peer) = self.ensure(now, &claim.instance, &claim.zone) else {
            return Vec::new();
        };
        if !peer.join(claim, now) {
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
        self.tell(&message, Some(from))
    }

    /// Somebody speaks about this instance.
    fn on_own_claim(&mut self, claim: &Claim) -> Vec<Envelope> {
        if claim.incarnation > self.incarnation {
            self.superseded = true;
            return Vec::new();
        }
        let current = claim.incarnation == self.incarnation;
        if claim.health == Health::Live || (current && claim.revision < self.word) {
            return Vec::new();
        }
        if current {
            self.word = claim.revision.saturating_add(1);
        }
        let own = self.own_claim();
        self.tell(&MembershipMessage::Alive(own), None)
    }

    /// Neighbours that hear news at once: the zone's at powers of two, and for the first
    /// instances of a zone the first ones of each other zone.
    pub fn relay_targets(&self) -> Vec<InstanceId> {
        let mut to = self.zone_fingers();
        to.extend(self.bridged());
        to
    }

    pub(super) fn tell(
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

    pub(super) fn tell_upstreams(&self, news: Vec<LeavingUpstream>) -> Vec<Envelope> {
        news.into_iter()
            .flat_map(|n| self.tell(&MembershipMessage::LeavingUpstream(n), None))
            .collect()
    }

    /// Instances that this one watches.
    pub(super) fn watched(&self) -> Vec<InstanceId> {
        let mut watched = self.zone_fingers();
        watched.truncate(WATCHED_NEIGHBOURS);
        watched.extend(self.bridged());
        watched
    }

    fn zone_fingers(&self) -> Vec<InstanceId> {
        let mut ring = self
            .peers
            .iter()
            .filter(|p| p.zone == self.zone && p.health != Health::Dead)
            .map(|p| &p.id)
            .collect::<Vec<_>>();
        let rank = ring.partition_point(|id| **id < self.me);
        ring.insert(rank, &self.me);
        fingers(rank, ring.len())
            .map(|i| Arc::clone(ring[i]))
            .collect()
    }

    fn bridged(&self) -> Vec<InstanceId> {
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

    pub(super) fn own_claim(&self) -> Claim {
        Claim {
            instance: Arc::clone(&self.me),
            zone: Arc::clone(&self.zone),
            incarnation: self.incarnation,
            revision: self.word,
            health: Health::Live,
            leaving: self.leaving,
        }
    }

    pub(super) fn greet(&mut self) -> Vec<Envelope> {
        let watched = self.watched();
        self.turn = self.turn.wrapping_add(1);
        let message = self.heartbeat(true);
        watched
            .into_iter()
            .map(|to| Envelope {
                to,
                message: message.clone(),
            })
            .collect()
    }

    /// Greets one instance that is dead here though the list names it.
    pub(super) fn probe(&self) -> Option<Envelope> {
        let bridge = self.rank().is_some_and(|rank| rank < BRIDGES_PER_ZONE);
        let dead = self
            .peers
            .iter()
            .filter(|p| p.health == Health::Dead && p.listed != Listed::Absent)
            .filter(|p| bridge || p.zone == self.zone)
            .collect::<Vec<_>>();
        let chosen = dead.get(self.turn % dead.len().max(1))?;
        Some(Envelope {
            to: Arc::clone(&chosen.id),
            message: self.heartbeat(true),
        })
    }

    fn heartbeat(&self, answer: bool) -> MembershipMessage {
        MembershipMessage::Heartbeat {
            own: self.own_claim(),
            answer,
            // An answer only says that its sender lives.
            seen: if answer { self.seen() } else { Vec::new() },
            leaving_upstreams: self.upstreams.news(),
        }
    }

    /// A few claims in turn, the unhealthy ones first: they mend what a lost message left behind.
    fn seen(&self) -> Vec<Claim> {
        let known = || self.peers.iter().filter(|p| p.incarnation > 0);
        let (healthy, others): (Vec<_>, Vec<_>) =
            known().partition(|p| p.health == Health::Live && !p.leaving);
        let half = MAX_CLAIMS_PER_HEARTBEAT / 2;
        let start = self.turn * half;
        let turn = |list: Vec<&super::Peer>, count: usize| {
            let count = count.min(list.len());
            (start..start + count)
                .map(|i| list[i % list.len()].claim())
                .collect::<Vec<_>>()
        };
        let mut seen = turn(others, half);
        seen.extend(turn(healthy, MAX_CLAIMS_PER_HEARTBEAT - half));
        seen
    }
}
