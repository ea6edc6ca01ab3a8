//! The commands that fake and scripted cache servers receive from the proxy.

use crate::unix_ms;
use edge_proxy::memory::ByteQueue;
use edge_proxy::protocol::resp;
use std::ops::RangeInclusive;

/// Number of strings in a command: the name, the id and, for `fetch`, the fields and the body.
pub const COMMAND_STRINGS: RangeInclusive<usize> = 2..=4;

/// A command that a fake or scripted cache server received from the proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedCommand {
    /// When the command was received, as a Unix time in milliseconds.
    pub received_at_ms: u64,
    /// Name of the command: `fetch`, `abort` or the name of a probe.
    pub name: String,
    /// Id of the request that the command belongs to.
    pub request_id: String,
    /// The command's fields in their encoded form.
    pub fields: String,
    /// Body of a write. Empty for other commands.
    pub body: Vec<u8>,
}

impl ReceivedCommand {
    /// Creates a command from a RESP array. Missing elements become empty values.
    pub(crate) fn from_array(array: &resp::Array) -> Self {
        let bytes = |index: usize| {
            let string = array.strings.get(index);
            string.map(ByteQueue::to_vec).unwrap_or_default()
        };
        let text = |index: usize| String::from_utf8_lossy(&bytes(index)).into_owned();
        ReceivedCommand {
            received_at_ms: unix_ms(),
            name: text(0),
            request_id: text(1),
            fields: text(2),
            body: bytes(3),
        }
    }

    /// Returns the value of a field, or None if the command has no such field.
    pub fn field(&self, name: &str) -> Option<&str> {
        resp::field_value(self.fields.as_bytes(), name)
    }

    /// Returns whether the command requests an object.
    pub fn is_fetch(&self) -> bool {
        self.name == "fetch"
    }

    /// Returns the key of the requested object, or None if the command has none.
    pub fn object_key(&self) -> Option<&str> {
        self.field("key")
    }

    /// Returns the key under which a fake cache server stores the requested part of the object.
    pub(crate) fn copy_key(&self) -> String {
        let key = self.object_key().unwrap_or("");
        let part = self.field("part").unwrap_or("");
        format!("{key}/{part}")
    }

    /// Returns the largest age in milliseconds of a copy that may serve the request, or None if
    /// there is no limit. A `maxage` of 0 means no limit.
    pub(crate) fn max_age_ms(&self) -> Option<u64> {
        let max_age_ms = self.field("maxage")?.parse().ok()?;
        Some(max_age_ms).filter(|max_age_ms| *max_age_ms > 0)
    }
}
