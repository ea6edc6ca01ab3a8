//! Collects the content of a record that can only be handled as a whole.

use crate::limits::Limits;
use crate::protocol::fastcgi::RecordPart;
use crate::protocol::{append_received, ProtocolError};

/// The received content of at most one record. The records of a connection follow each other, so one
/// collector serves all of them.
#[derive(Default)]
pub(super) struct RecordCollector {
    content: Vec<u8>,
}

impl RecordCollector {
    /// Adds a part of a record. Returns the content of the record once it is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the announced length exceeds `Limits::collected_record_bytes`. `item`
    /// names the record in the error.
    pub(super) fn collect(
        &mut self,
        part: &RecordPart,
        limits: &Limits,
        item: &'static str,
    ) -> Result<Option<Vec<u8>>, ProtocolError> {
        if part.header.content_bytes > limits.collected_record_bytes {
            return Err(ProtocolError::TooLong(item));
        }
        append_received(&mut self.content, &part.content, part.header.content_bytes);
        Ok(part.is_last().then(|| std::mem::take(&mut self.content)))
    }
}
