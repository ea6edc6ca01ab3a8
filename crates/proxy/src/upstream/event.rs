//! The events that a connection reports to the event loop.

use crate::request_table::{AttemptId, AttemptResult};
use edge_routing::{LoadReport, Micros, Outcome};

/// An event on a connection. Every enqueued attempt leads to exactly one `AttemptEnded`.
#[derive(Debug, PartialEq)]
pub enum UpstreamEvent {
    /// An attempt ended, with this result.
    AttemptEnded(AttemptId, AttemptResult),
    /// A probe ended, with this outcome, its round-trip time in microseconds, and the load report
    /// of the server if there is one.
    ProbeEnded(Outcome, Micros, Option<LoadReport>),
}

impl UpstreamEvent {
    /// Creates the event for the end of an attempt of which only the outcome is known.
    pub(super) fn attempt_ended(attempt: AttemptId, outcome: Outcome) -> Self {
        UpstreamEvent::AttemptEnded(attempt, outcome.into())
    }
}
