//! Why the adapter stops.

use edge_routing::SettingsError;
use edge_settings::json::ReadError;
use edge_settings::SettingsReadError;
use std::io;

/// Why the adapter stops before its input ends.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// A line of the input cannot be used.
    #[error("line {number}: {source}")]
    Line {
        /// Number of the line, from 1.
        number: u64,
        /// What is wrong with it.
        source: LineError,
    },
    /// The input cannot be read, or is not UTF-8.
    #[error("line {number}: {source}")]
    Input {
        /// Number of the line, from 1.
        number: u64,
        /// The error of the read.
        source: io::Error,
    },
    /// The output cannot be written.
    #[error("the reply cannot be written: {0}")]
    Output(io::Error),
}

/// Why a line of the input cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// It is not JSON.
    #[error("not JSON: {0}")]
    NotJson(ReadError),
    /// It is not an object with an event type.
    #[error("not a message: {0}")]
    NotAMessage(ReadError),
    /// A field is missing or of the wrong type.
    #[error("{event_type}: {source}")]
    Field {
        /// The line's event type.
        event_type: String,
        /// Names the key.
        source: ReadError,
    },
    /// An event names no instance.
    #[error("{event_type}: missing field `i`")]
    NoInstance {
        /// The line's event type.
        event_type: String,
    },
    /// No batch is open.
    #[error("no 'Clock' line before this one")]
    NoClock,
    /// The settings of an instance cannot be read.
    #[error("Born: setup: {0}")]
    SettingsRead(#[from] SettingsReadError),
    /// No router can work with the settings of an instance.
    #[error("Born: setup: {0}")]
    Settings(#[from] SettingsError),
}
