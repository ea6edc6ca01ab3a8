//! Why a request is not admitted, and the rule on idempotency keys.

use super::request::ClientRequest;
use edge_routing::{Idempotency, Settings};
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

/// The classes whose requests must have an idempotency key, by name.
pub(super) struct IdempotencyKeyClasses {
    names: Vec<String>,
}

impl IdempotencyKeyClasses {
    pub(super) fn from_settings(settings: &Settings) -> Self {
        let names = settings
            .classes
            .iter()
            .filter(|class| class.idempotency == Idempotency::IdempotencyKey)
            .map(|class| class.name.clone())
            .collect();
        IdempotencyKeyClasses { names }
    }

    /// Whether a request lacks the idempotency key that its class needs.
    pub(super) fn lacks_key(&self, request: &ClientRequest) -> bool {
        request.idempotency_key.is_none() && self.names.contains(&request.class)
    }
}
