//! Messages about crashes of replicas.

use std::time::Duration;

use kingcupfield_decisions::crash_suspects::{Crash, CrashReport, Suspect};
use kingcupfield_decisions::fingerprint::Fingerprint;
use kingcupfield_decisions::id::NameHash;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::age::{millis, time_before};

/// Most bytes of the content of one datagram, so that it is not divided on the link.
const MAX_CONTENT_BYTES: usize = 1100;

/// Encoded size of a crash, and of each suspect in it, in bytes.
const CRASH_BYTES: usize = 26;
const SUSPECT_BYTES: usize = 16;

/// Encoded size of a completed fingerprint in bytes.
const COMPLETED_BYTES: usize = 15;

/// A message about crashes of replicas.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum CrashMessage {
    /// Replicas crashed while they ran these requests.
    Crashed(Vec<CrashNews>),
    /// Requests were completed that have these fingerprints, each with its age in milliseconds.
    Completed(Vec<(Fingerprint, u32)>),
}

/// A crash as one instance tells it to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CrashNews {
    /// Name hash of the replica.
    replica: NameHash,
    /// Start of the replica in Unix milliseconds.
    incarnation: u64,
    /// Milliseconds since the crash.
    age_ms: u32,
    /// What the requests have in common with others that the replica was running for the sender; for how many
    /// milliseconds the latest of them had been running; and whether a response had been arriving for a while.
    suspects: Vec<(Fingerprint, u32, bool)>,
}

impl CrashNews {
    fn new(now: Instant, report: &CrashReport) -> Self {
        let suspects = report.suspects.iter();
        let suspects = suspects.map(|s| (s.fingerprint, millis(s.ran_for), s.has_written));
        Self {
            replica: report.crash.replica,
            incarnation: report.crash.incarnation,
            age_ms: millis(now.saturating_duration_since(report.crash.at)),
            suspects: suspects.collect(),
        }
    }

    /// The report as it counts at an instance that receives the message at `now`.
    pub fn received(self, now: Instant) -> CrashReport {
        let suspects = self.suspects.into_iter();
        let suspects = suspects.map(|(fingerprint, ran_ms, has_written)| Suspect {
            fingerprint,
            has_written,
            ran_for: Duration::from_millis(ran_ms.into()),
        });
        CrashReport {
            crash: Crash {
                replica: self.replica,
                incarnation: self.incarnation,
                at: time_before(now, Duration::from_millis(self.age_ms.into())),
            },
            suspects: suspects.collect(),
        }
    }
}

/// Divides reports of crashes into messages that fit into a datagram.
pub fn crashed_messages(now: Instant, reports: &[CrashReport]) -> Vec<CrashMessage> {
    const MAX_SUSPECTS: usize = (MAX_CONTENT_BYTES - CRASH_BYTES) / SUSPECT_BYTES;
    let mut messages: Vec<Vec<CrashNews>> = Vec::new();
    let mut bytes = MAX_CONTENT_BYTES;
    for report in reports {
        let news = CrashNews::new(now, report);
        for suspects in news.suspects.chunks(MAX_SUSPECTS) {
            let part = CrashNews {
                suspects: suspects.to_vec(),
                ..news
            };
            let part_bytes = CRASH_BYTES + SUSPECT_BYTES * suspects.len();
            bytes += part_bytes;
            if let Some(message) = messages.last_mut().filter(|_| bytes <= MAX_CONTENT_BYTES) {
                message.push(part);
            } else {
                messages.push(vec![part]);
                bytes = part_bytes;
            }
        }
    }
    messages.into_iter().map(CrashMessage::Crashed).collect()
}

/// Divides completed fingerprints, and when they were completed, into messages that fit into a datagram.
pub fn completed_messages(
    now: Instant,
    completed: &[(Fingerprint, Instant)],
) -> impl Iterator<Item = CrashMessage> {
    let parts = completed.chunks(MAX_CONTENT_BYTES / COMPLETED_BYTES);
    parts.map(move |part| {
        let part = part
            .iter()
            .map(|(f, at)| (*f, millis(now.saturating_duration_since(*at))));
        CrashMessage::Completed(part.collect())
    })
}
