//! Codecs: incremental parsers and writers of protocols, without any I/O.
//!
//! Every parser takes bytes as they arrive, cut anywhere, and is bounded by limits that are checked
//! before memory is taken for what a peer announces. Unusable input is a typed error, never a
//! panic.
//!
//! - [`fastcgi`]: FastCGI 1.0 records and parameters.
//! - [`http`]: HTTP/1.1 messages (RFC 9112).
//! - [`resp`]: RESP arrays of bulk strings, the protocol of the cache servers.
//! - [`sse`]: server-sent events, the protocol of the event bus.

pub mod fastcgi;
pub mod http;
mod line;
pub mod resp;
pub mod sse;

use thiserror::Error;

/// Why input can't be read. It ends the connection that the input came by.
///
/// The text names the part of the input that is at fault and, where it isn't plain, what was
/// expected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// Longer than the limits allow.
    #[error("{0} is too long")]
    TooLong(&'static str),
    /// Not in the form of the protocol.
    #[error("{0} is malformed")]
    Malformed(&'static str),
}

/// An incremental parser.
pub trait Parser {
    /// What the parser yields.
    type Item;

    /// Parses up to the end of the next item: how many bytes of `input` are consumed, and the item
    /// if it is whole.
    ///
    /// Bytes after the item are left to the next call. Without an item all of `input` is consumed.
    fn parse(&mut self, input: &[u8]) -> Result<(usize, Option<Self::Item>), ProtocolError>;
}
