//! The reasons for not admitting a request.

use std::error::Error;
use std::fmt;

/// The reason why a request is not admitted. No part of the request was executed and the table
/// keeps nothing of it, so the frontend can reject the request as safe to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// The request's class is retried under an idempotency key, and the request has none.
    MissingIdempotencyKey,
    /// A request with the same id is pending. A cache server would confuse the two.
    DuplicateId,
    /// The number of pending requests has reached the capacity of the table.
    TableFull,
}

impl fmt::Display for AdmissionError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            AdmissionError::MissingIdempotencyKey => {
                "the request class needs an idempotency key, and the request has none"
            }
            AdmissionError::DuplicateId => "another request with the same id is pending",
            AdmissionError::TableFull => "the request table has no free slot",
        })
    }
}

impl Error for AdmissionError {}
