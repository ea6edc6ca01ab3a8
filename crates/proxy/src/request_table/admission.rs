//! Why a request is not admitted.

use std::error::Error;
use std::fmt;

/// Why a request is not admitted. Nothing of it ran and nothing of it is kept, so the frontend can
/// reject it as safe to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// The bodies of all pending requests would be more bytes than allowed.
    BodyBytesExhausted,
    /// The request's class is retried under an idempotency key, and it has none.
    MissingIdempotencyKey,
    /// A request with this id is pending: a cache server would take the two for one.
    DuplicateId,
    /// As many requests are pending as the table holds.
    TableFull,
}

impl fmt::Display for AdmissionError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            AdmissionError::BodyBytesExhausted => {
                "the bodies of pending requests are too many bytes"
            }
            AdmissionError::MissingIdempotencyKey => "the request's class needs an idempotency key",
            AdmissionError::DuplicateId => "a request with the same id is pending",
            AdmissionError::TableFull => "the request table is full",
        })
    }
}

impl Error for AdmissionError {}
