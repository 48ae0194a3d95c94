//! Faults of a fake engine.

use serde::{Deserialize, Serialize};

/// What goes wrong in a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamFaultKind {
    /// The connection breaks.
    Break,
    /// A chunk of another request's answer stands in the stream.
    Cross,
    /// A chunk is sent twice.
    Duplicate,
    /// A chunk is left out.
    Skip,
    /// The body ends as if complete, without `[DONE]`.
    EndShort,
}

/// A fault of streams, also of unstreamed answers where that makes sense.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StreamFault {
    /// What goes wrong.
    pub kind: StreamFaultKind,
    /// Chunks that a connection carries before it goes wrong.
    pub after: u64,
    /// Number of connections that it still hits; `None` hits all.
    #[serde(default)]
    pub times: Option<u32>,
}

/// The faults of a fake engine; the default is none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Factor on all times of the engine; 1 is its usual speed.
    pub slowdown: f64,
    /// Nothing moves: requests are accepted and no token comes.
    pub stall: bool,
    /// The load report says that the engine is leaving.
    pub leaving: bool,
    /// New requests are refused with this status and do not run.
    pub status: Option<u16>,
    /// Seconds of rest that these refusals ask for in `Retry-After`.
    pub retry_after_s: Option<f64>,
    /// Fault of streams.
    pub stream: Option<StreamFault>,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            stall: false,
            leaving: false,
            status: None,
            retry_after_s: None,
            stream: None,
        }
    }
}

impl EngineFaults {
    /// The stream fault that hits the connection opened now.
    pub(crate) fn take_stream_fault(&mut self) -> Option<StreamFault> {
        let fault = self.stream.as_mut()?;
        match &mut fault.times {
            Some(0) => return None,
            Some(times) => *times -= 1,
            None => {}
        }
        Some(*fault)
    }
}
