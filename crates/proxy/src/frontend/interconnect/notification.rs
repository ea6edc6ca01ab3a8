//! Payloads that this CDN sends to peer CDNs on its own initiative.

use std::net::SocketAddr;

/// A payload for a peer CDN.
#[derive(Clone, Debug, PartialEq)]
pub struct Notification {
    /// Address at which the peer CDN listens.
    pub address: SocketAddr,
    /// Path of the POST request.
    pub path: String,
    /// Payload type, which is the `ptype` parameter of the media type.
    pub payload_type: &'static str,
    /// Payload as JSON text.
    pub body: String,
}
