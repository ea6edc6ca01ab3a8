//! Why a configuration cannot be used.

use crate::discovery::event_bus::EventReadError;
use crate::sys::errors;
use edge_routing::SettingsError;
use edge_settings::json::ReadError;
use edge_settings::SettingsReadError;
use std::io;

/// Why a configuration cannot be used. Names the file, where there is one, and the key at fault.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment does not say where the configuration is.
    #[error("the variable ROUTER_CONFIG names no file")]
    NoFile,
    /// A file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The error of the read.
        source: io::Error,
    },
    /// A file is not JSON.
    #[error("{path}: not JSON: {source}")]
    NotJson {
        /// Path of the file.
        path: String,
        /// What is wrong with it, and where.
        source: serde_json::Error,
    },
    /// The content of a file cannot be used.
    #[error("{path}: {source}")]
    InFile {
        /// Path of the file.
        path: String,
        /// What is wrong with its content.
        source: Box<ConfigError>,
    },
    /// A key is missing or holds a value of the wrong type.
    #[error(transparent)]
    Field(#[from] ReadError),
    /// The same, within the object that says how this network presents itself to peer CDNs.
    #[error("cdni: {0}")]
    Interconnect(ReadError),
    /// The value of a key has the right type but cannot be used.
    #[error("field '{key}' must be {expected}")]
    Invalid {
        /// Path of the key.
        key: String,
        /// What it must be.
        expected: &'static str,
    },
    /// An event up to the start cannot be read.
    #[error("known: event {index} of 'batch': {source}")]
    KnownEvent {
        /// Index in the list of events.
        index: usize,
        /// What is wrong with it.
        source: EventReadError,
    },
    /// The settings cannot be read.
    #[error("settings: {0}")]
    SettingsRead(#[from] SettingsReadError),
    /// No router can work with the settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

impl ConfigError {
    /// Whether the same file may be readable in a moment: it could not be opened or read for now, or
    /// ends in the middle, as one does that is being written.
    pub fn may_pass(&self) -> bool {
        match self {
            ConfigError::Unreadable { source, .. } => errors::may_pass_at_start(source),
            ConfigError::NotJson { source, .. } => source.is_eof(),
            ConfigError::InFile { source, .. } => source.may_pass(),
            _ => false,
        }
    }
}
