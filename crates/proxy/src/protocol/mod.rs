//! Codecs: incremental parsers and encoders for the wire protocols, without any I/O.
//!
//! Every parser accepts bytes as they arrive, split at any position. Lengths that a peer announces
//! are checked against limits before memory is allocated for them. Invalid input results in a typed
//! error, never in a panic.
//!
//! - [`fastcgi`]: FastCGI 1.0 records and parameters.
//! - [`http`]: HTTP/1.1 messages (RFC 9112).
//! - [`resp`]: RESP arrays of bulk strings, the protocol of the cache servers.
//! - [`sse`]: server-sent events, the protocol of the event bus.

pub mod fastcgi;
pub mod http;
mod line;
mod receive_buffer;
pub mod resp;
pub mod sse;

pub(crate) use receive_buffer::append_received;

use thiserror::Error;

/// Error for input that violates a protocol. The connection that delivered the input has to be
/// closed.
///
/// The text names the invalid part of the input and, where that is not obvious, what was expected
/// instead.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// This part of the input is longer than the limits allow.
    #[error("{0} is too long")]
    TooLong(&'static str),
    /// This part of the input does not have the form that the protocol requires.
    #[error("{0} is malformed")]
    Malformed(&'static str),
}

/// An incremental parser, which keeps a partially received item between calls.
pub trait Parser {
    /// Item that the parser produces.
    type Item;

    /// Parses `input` up to the end of the next item. Returns the number of consumed bytes, and the
    /// item if it is complete.
    ///
    /// Bytes after the item are not consumed and have to be passed to the next call. If no item is
    /// complete, all of `input` is consumed, unless the parser holds back a part of the item.
    ///
    /// # Errors
    ///
    /// Returns an error if the input violates the protocol or exceeds a limit.
    fn parse(&mut self, input: &[u8]) -> Result<(usize, Option<Self::Item>), ProtocolError>;
}
