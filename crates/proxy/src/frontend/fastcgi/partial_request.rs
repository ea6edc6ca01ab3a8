//! A request that is partially received: its parameter stream and its body.

use crate::limits::Limits;
use crate::memory::ByteQueue;
use crate::protocol::append_received;
use crate::protocol::fastcgi::RecordPart;
use thiserror::Error;

/// Error for a stream of a request that exceeds its limit. It is found when the stream's next record
/// announces its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum OversizedStream {
    /// The parameter stream is too long.
    #[error("its parameters have more than {limit_bytes} bytes")]
    Parameters {
        /// The limit on the parameter stream.
        limit_bytes: usize,
    },
    /// The body is too long.
    #[error("its body has more than {limit_bytes} bytes")]
    Body {
        /// The limit on the body.
        limit_bytes: usize,
    },
}

/// A request that is partially received.
#[derive(Default)]
pub(super) struct PartialRequest {
    /// Whether the client asked to keep the connection open after the answer.
    pub(super) keep_connection: bool,
    /// Received bytes of the parameter stream.
    pub(super) parameters: Vec<u8>,
    parameters_complete: bool,
    /// Received bytes of the body.
    pub(super) body: ByteQueue,
}

impl PartialRequest {
    pub(super) fn new(keep_connection: bool) -> Self {
        PartialRequest {
            keep_connection,
            ..PartialRequest::default()
        }
    }

    /// Returns the number of bytes allocated for the streams.
    pub(super) fn allocated_bytes(&self) -> usize {
        self.parameters.capacity() + self.body.allocated_bytes()
    }

    /// Receives a part of a PARAMS record. An empty record ends the parameter stream.
    pub(super) fn receive_parameters(
        &mut self,
        part: &RecordPart,
        limits: &Limits,
    ) -> Result<(), OversizedStream> {
        self.parameters_complete = part.header.content_bytes == 0;
        let limit_bytes = limits.params_bytes;
        let final_bytes = self.parameters.len() + announced_bytes(part);
        if final_bytes > limit_bytes {
            return Err(OversizedStream::Parameters { limit_bytes });
        }
        append_received(&mut self.parameters, &part.content, final_bytes);
        Ok(())
    }

    /// Receives a part of a STDIN record. An empty record ends the body. Returns whether the request
    /// is complete. A body before the end of the parameter stream is ignored.
    pub(super) fn receive_body(
        &mut self,
        part: &RecordPart,
        limits: &Limits,
    ) -> Result<bool, OversizedStream> {
        if !self.parameters_complete {
            return Ok(false);
        }
        let limit_bytes = limits.body_bytes;
        if self.body.len() + announced_bytes(part) > limit_bytes {
            return Err(OversizedStream::Body { limit_bytes });
        }
        self.body.push_part(&part.content, announced_bytes(part));
        Ok(part.header.content_bytes == 0)
    }
}

/// Returns the length of a part of a record and of the announced rest of the record.
fn announced_bytes(part: &RecordPart) -> usize {
    part.content.len() + part.remaining_bytes
}
