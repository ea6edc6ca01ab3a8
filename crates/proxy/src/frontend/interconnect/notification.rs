//! Payloads that are sent to peers without a request of theirs.

use std::net::SocketAddr;

/// A payload on its way to a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Notification {
    /// Where the peer listens.
    pub address: SocketAddr,
    /// The path that it is posted to.
    pub path: String,
    /// The type of the payload, as in its media type.
    pub ptype: &'static str,
    /// The payload, in JSON.
    pub body: String,
}
