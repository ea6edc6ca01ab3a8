//! Errors in a configuration.

use crate::discovery::event_bus::EventReadError;
use crate::sys::errors;
use edge_routing::SettingsError;
use edge_settings::json::ReadError;
use edge_settings::SettingsReadError;
use std::io;

/// Why a configuration cannot be used. The message names the file, if the configuration comes from
/// one, and the key, if a single key is at fault.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment does not name a configuration file.
    #[error("the environment variable ROUTER_CONFIG is not set to the path of a file")]
    PathNotSet,
    /// A file cannot be read.
    #[error("{path}: cannot read the file: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The error of opening or reading the file.
        source: io::Error,
    },
    /// A file is not JSON.
    #[error("{path}: invalid JSON: {source}")]
    NotJson {
        /// Path of the file.
        path: String,
        /// The syntax error and its position.
        source: serde_json::Error,
    },
    /// The content of a file cannot be used.
    #[error("{path}: {source}")]
    InFile {
        /// Path of the file.
        path: String,
        /// The error in the content.
        source: Box<ConfigError>,
    },
    /// A key is missing or holds a value of the wrong type.
    #[error(transparent)]
    Field(#[from] ReadError),
    /// A key of `cdni`, the configuration of the interconnect, is missing or holds a value of the
    /// wrong type.
    #[error("cdni: {0}")]
    Interconnect(ReadError),
    /// The value of a key has the right type but cannot be used.
    #[error("field '{key}' must be {expected}")]
    Invalid {
        /// Path of the key.
        key: String,
        /// The values that are valid.
        expected: &'static str,
    },
    /// An event to be replayed at startup cannot be read.
    #[error("known: event {index} of 'batch': {source}")]
    StartupEvent {
        /// Index in the list of events.
        index: usize,
        /// The error in the event.
        source: EventReadError,
    },
    /// The settings cannot be read.
    #[error("settings: {0}")]
    SettingsRead(#[from] SettingsReadError),
    /// The settings are not valid for the routing module.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

impl ConfigError {
    /// Returns whether reading the same file again may succeed shortly after. This is so if the
    /// file could not be opened or read temporarily, or if it is truncated because it is being
    /// written.
    pub fn is_transient(&self) -> bool {
        match self {
            ConfigError::Unreadable { source, .. } => errors::is_transient_at_startup(source),
            ConfigError::NotJson { source, .. } => source.is_eof(),
            ConfigError::InFile { source, .. } => source.is_transient(),
            _ => false,
        }
    }
}
