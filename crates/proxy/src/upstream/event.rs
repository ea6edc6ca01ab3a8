//! What a connection reports to the event loop.

use crate::request_table::{AttemptId, AttemptResult};
use edge_routing::{LoadReport, Micros, Outcome};

/// What a connection reports. Every attempt that was enqueued ends with exactly one `AttemptEnded`.
#[derive(Debug, PartialEq)]
pub enum UpstreamEvent {
    /// An attempt ended.
    AttemptEnded(AttemptId, AttemptResult),
    /// A probe ended: its outcome, the round trip in microseconds, and the reported load.
    ProbeEnded(Outcome, Micros, Option<LoadReport>),
}

impl UpstreamEvent {
    /// The end of an attempt of which nothing but the outcome is known.
    pub(super) fn ended(attempt: AttemptId, outcome: Outcome) -> Self {
        UpstreamEvent::AttemptEnded(attempt, outcome.into())
    }

    /// Whether the request may continue with another attempt after this event.
    pub fn is_not_final(&self) -> bool {
        matches!(self, UpstreamEvent::AttemptEnded(_, result) if result.outcome != Outcome::Ok)
    }
}
