//! Reads the settings of a deployment from JSON into [`edge_routing::Settings`]. The proxy finds
//! the object in its configuration, the simulator adapter in the message that starts an instance.
//!
//! `document` mirrors the JSON and is the only place that knows its key names, `convert` fills in
//! defaults, and [`json`] holds what other JSON documents of the workspace are read with too.

mod convert;
mod document;
pub mod json;

use document::SettingsDocument;
use edge_routing::Settings;
use json::{Object, ReadError};
use serde_json::Value;

/// Why settings cannot be read. Every variant names the key at fault.
#[derive(Debug, thiserror::Error)]
pub enum SettingsReadError {
    /// A key is missing or holds a value of the wrong type.
    #[error(transparent)]
    Field(#[from] ReadError),
    /// The entry of a list that belongs to a class or zone has the wrong type.
    #[error("field '{path}' has the wrong type")]
    WrongType {
        /// Path of the entry, such as `family-info.in-pieces[1]`.
        path: String,
    },
}

/// Reads the settings object. Whether a router can work with the settings is for
/// [`Settings::validate`] to say.
pub fn from_json(value: &Value) -> Result<Settings, SettingsReadError> {
    let Object(document): Object<SettingsDocument> = json::read(value)?;
    convert::settings(document)
}
