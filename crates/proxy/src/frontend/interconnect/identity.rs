//! This CDN and its peer CDNs, as configured.

use super::footprint::Ipv4Network;
use edge_routing::Micros;
use serde_json::Value;
use std::net::SocketAddr;

/// A peer CDN, which is a uCDN or a dCDN of this CDN.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerCdn {
    /// CDN Provider ID of the peer CDN (RFC 8006).
    pub provider: String,
    /// Address at which the peer CDN listens.
    pub address: SocketAddr,
    /// Path of its trigger interface.
    pub trigger_path: String,
    /// Path at which it receives the footprint advertisements of this CDN.
    pub advertisement_path: String,
    /// Base of the URLs to which clients in its footprint are redirected.
    pub content_base_url: String,
}

/// A class whose objects may be requested through the interconnection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServedClass {
    /// Name of the class.
    pub name: String,
    /// Time that clients wait for the complete answer to a request.
    pub client_timeout_us: Micros,
}

/// Identity of this CDN in the interconnection.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    /// CDN Provider ID of this CDN (RFC 8006).
    pub provider: String,
    /// Base of the URLs of this CDN.
    pub base_url: String,
    /// Footprint of this CDN, which consists of the networks whose clients it serves.
    pub footprint: Vec<Ipv4Network>,
    /// Peer CDNs with which this CDN exchanges messages.
    pub peers: Vec<PeerCdn>,
    /// Classes whose objects peer CDNs and their clients may request.
    pub classes: Vec<ServedClass>,
}

impl Identity {
    /// Returns the peer CDN with this CDN Provider ID.
    pub(super) fn peer(&self, provider: &str) -> Option<&PeerCdn> {
        self.peers.iter().find(|peer| peer.provider == provider)
    }

    /// Returns the time that clients wait for objects of a class, or `None` if its objects may not
    /// be requested through the interconnection.
    pub(super) fn client_timeout_us(&self, class: &str) -> Option<Micros> {
        let served = self.classes.iter().find(|served| served.name == class)?;
        Some(served.client_timeout_us)
    }

    /// Returns whether a message has already passed through this CDN, which means that it is in a
    /// loop (RFC 8007, section 4.6).
    pub(super) fn is_loop(&self, cdn_path: &[Value]) -> bool {
        cdn_path_contains(cdn_path, &self.provider)
    }
}

/// Returns whether a `cdn-path` contains this CDN Provider ID. A `cdn-path` is the list of the CDNs
/// through which a message has passed.
pub(super) fn cdn_path_contains(cdn_path: &[Value], provider: &str) -> bool {
    cdn_path.iter().any(|passed| passed == provider)
}
