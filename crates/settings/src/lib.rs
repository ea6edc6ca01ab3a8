//! Reads the settings of a deployment from JSON into [`edge_routing::Settings`]. The settings
//! object is part of the proxy's configuration file, and of the `Born` message by which the
//! simulator starts an instance in the simulator adapter.
//!
//! `document` mirrors the JSON and alone defines its key names. `convert` fills in defaults and
//! translates keywords. [`json`] holds helpers that other crates also use to read JSON documents.

mod convert;
mod document;
pub mod json;

use document::SettingsDocument;
use edge_routing::Settings;
use json::{Object, ReadError};
use serde_json::Value;

/// The reason why settings cannot be read. Every message names the invalid or missing key.
#[derive(Debug, thiserror::Error)]
pub enum SettingsReadError {
    /// A key is missing, or its value has the wrong type.
    #[error(transparent)]
    Field(#[from] ReadError),
    /// The list entry for a class or zone has the wrong type.
    #[error("field '{path}' has the wrong type")]
    WrongType {
        /// Path of the entry, such as `family-info.in-pieces[1]`.
        path: String,
    },
}

/// Reads the settings object. Checks types only; [`Settings::validate`] checks the values.
pub fn from_json(value: &Value) -> Result<Settings, SettingsReadError> {
    let Object(document): Object<SettingsDocument> = json::read(value)?;
    convert::settings(document)
}
