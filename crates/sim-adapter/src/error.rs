//! Errors that stop the adapter.

use edge_routing::SettingsError;
use edge_settings::json::ReadError;
use edge_settings::SettingsReadError;
use std::io;

/// The reason why the adapter stops before the end of its input.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// A line of the input is invalid.
    #[error("line {number}: {source}")]
    Line {
        /// Number of the line, counted from 1.
        number: u64,
        /// Why the line is invalid.
        source: LineError,
    },
    /// The input cannot be read, or is not UTF-8.
    #[error("line {number}: failed to read standard input: {source}")]
    Input {
        /// Number of the line, counted from 1.
        number: u64,
        /// The read error.
        source: io::Error,
    },
    /// The output cannot be written.
    #[error("failed to write the reply to standard output: {0}")]
    Output(io::Error),
}

/// The reason why a line of the input is invalid.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The line is not JSON.
    #[error("not JSON: {0}")]
    NotJson(ReadError),
    /// The line is not an object with a valid `event_type` and instance id.
    #[error("not an object with a valid 'event_type' and 'i': {0}")]
    InvalidEnvelope(ReadError),
    /// A key is missing, or its value has the wrong type.
    #[error("{event_type}: {source}")]
    Field {
        /// Type of the message.
        event_type: String,
        /// The error, which names the key.
        source: ReadError,
    },
    /// An event does not name its instance.
    #[error("{event_type}: missing field `i`")]
    MissingInstance {
        /// Type of the message.
        event_type: String,
    },
    /// The line is outside a batch, which only a `Clock` message begins.
    #[error("message outside a batch: a 'Clock' message must come first")]
    NoOpenBatch,
    /// The settings of an instance cannot be read.
    #[error("Born: setup: {0}")]
    SettingsRead(#[from] SettingsReadError),
    /// The settings of an instance can be read but are invalid.
    #[error("Born: setup: {0}")]
    Settings(#[from] SettingsError),
}
