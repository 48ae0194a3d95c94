//! Log lines about the limits on what callers may take of the machine.

use super::Node;
use crate::log::Priority;

impl Node {
    /// Logs the limits that hold from the start.
    pub fn log_caller_limits(&self) {
        let machine = self.settings().machine();
        self.log.line(
            Priority::State,
            format_args!(
                "event=caller_limits memory_bytes={} for_callers_bytes={} descriptors={} connections={}",
                machine.memory_bytes,
                self.caller_memory.limit(),
                machine.descriptors,
                self.caller_connections.max(),
            ),
        );
    }

    /// Logs that requests were refused for want of memory since the last call, if there were any.
    pub fn log_memory_shortage(&self) {
        let refused = self.caller_memory.refused();
        let before = self.logged_refusals.replace(refused);
        if refused == before {
            return;
        }
        self.log.line(
            Priority::State,
            format_args!(
                "event=caller_memory_short evicted={} denied={} held_bytes={} limit_bytes={} connections={}",
                refused.evicted - before.evicted,
                refused.denied - before.denied,
                self.caller_memory.held(),
                self.caller_memory.limit(),
                *self.open_connections.borrow(),
            ),
        );
    }

    /// Logs that the table allows larger bodies than there is memory for.
    pub(super) fn check_body_limit(&self, body_bytes: usize) {
        let largest = self.caller_memory.max_body_bytes();
        if body_bytes > largest {
            self.log.line(
                Priority::State,
                format_args!(
                    "event=machine_too_small body_limit_bytes={body_bytes} largest_body_bytes={largest}"
                ),
            );
        }
    }
}
