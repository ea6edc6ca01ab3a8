//! A request that is partially received: its parameter stream and its body.

use crate::limits::Limits;
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
    pub(super) body: Vec<u8>,
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
        self.parameters.capacity() + self.body.capacity()
    }

    /// Receives a part of a PARAMS record. An empty record ends the parameter stream.
    pub(super) fn receive_parameters(
        &mut self,
        part: &RecordPart,
        limits: &Limits,
    ) -> Result<(), OversizedStream> {
        self.parameters_complete = part.header.content_bytes == 0;
        let limit_bytes = limits.params_bytes;
        if !append_to_stream(&mut self.parameters, part, limit_bytes) {
            return Err(OversizedStream::Parameters { limit_bytes });
        }
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
        if !append_to_stream(&mut self.body, part, limit_bytes) {
            return Err(OversizedStream::Body { limit_bytes });
        }
        Ok(part.header.content_bytes == 0)
    }
}

/// Appends a part of a record to a stream of a request. Returns `false`, without appending, if the
/// stream would exceed `limit_bytes` with the announced rest of the record.
fn append_to_stream(stream: &mut Vec<u8>, part: &RecordPart, limit_bytes: usize) -> bool {
    let final_bytes = stream.len() + part.content.len() + part.remaining_bytes;
    if final_bytes > limit_bytes {
        return false;
    }
    append_received(stream, &part.content, final_bytes);
    true
}
