//! The counters of the request table, for the operators.

use super::request::Answer;

/// Totals since the start of the process. Each admitted request is finally counted in exactly one
/// of `served`, `rejected`, `failed` and `disconnected`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounters {
    /// Admitted requests.
    pub admitted: u64,
    /// Started attempts.
    pub attempts: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests rejected after their admission.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose client disconnected before the answer.
    pub disconnected: u64,
}

impl RequestCounters {
    pub(super) fn count_answer(&mut self, answer: &Answer) {
        match answer {
            Answer::Served(_) => self.served += 1,
            Answer::Rejected { .. } => self.rejected += 1,
            Answer::Failed => self.failed += 1,
        }
    }
}
