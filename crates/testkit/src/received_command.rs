//! The commands that reach the stand-ins for cache servers.

use crate::unix_ms;
use edge_proxy::protocol::resp;

/// A command of the proxy that has reached a stand-in.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedCommand {
    /// Unix time in milliseconds.
    pub received_at_ms: u64,
    /// `fetch`, `abort` or the name of a probe.
    pub name: String,
    /// Id of the request that it is about.
    pub request_id: String,
    /// Fields as they are on the wire.
    pub fields: String,
    /// Body of a write.
    pub body: Vec<u8>,
}

impl ReceivedCommand {
    /// Reads a command from an array; what it lacks is empty.
    pub(crate) fn from_array(array: &[Vec<u8>]) -> Self {
        let text = |index: usize| {
            array
                .get(index)
                .map(|bytes| String::from_utf8_lossy(bytes).into_owned())
                .unwrap_or_default()
        };
        ReceivedCommand {
            received_at_ms: unix_ms(),
            name: text(0),
            request_id: text(1),
            fields: text(2),
            body: array.get(3).cloned().unwrap_or_default(),
        }
    }

    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        resp::field_value(self.fields.as_bytes(), name)
    }

    /// Whether it requests an object.
    pub fn is_fetch(&self) -> bool {
        self.name == "fetch"
    }

    /// Key of the requested object.
    pub fn object_key(&self) -> Option<&str> {
        self.field("key")
    }

    /// The name under which a copy of the requested part is kept.
    pub(crate) fn part_name(&self) -> String {
        let key = self.object_key().unwrap_or("");
        let part = self.field("part").unwrap_or("");
        format!("{key}/{part}")
    }

    /// Largest age of a copy that may serve the request. Zero means no limit.
    pub(crate) fn max_age_ms(&self) -> Option<u64> {
        let max_age_ms = self.field("maxage")?.parse().ok()?;
        Some(max_age_ms).filter(|max_age_ms| *max_age_ms > 0)
    }
}
