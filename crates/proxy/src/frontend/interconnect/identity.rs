//! This network and its peers, as the configuration names them.

use super::footprint::Network;
use edge_routing::Micros;
use serde_json::Value;
use std::net::SocketAddr;

/// A peer CDN: uCDN or dCDN of this network.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerCdn {
    /// Its CDN Provider ID (RFC 8006).
    pub provider: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The path of its trigger interface.
    pub trigger_path: String,
    /// The path at which it receives our footprint advertisements.
    pub advertisement_path: String,
    /// The base of its content's URLs, for clients in its footprint.
    pub content_base_url: String,
}

/// A class whose objects may be requested over the interconnect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServedClass {
    /// Its name.
    pub name: String,
    /// When clients of its requests give up, in microseconds.
    pub client_timeout_us: Micros,
}

/// How this network presents itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    /// Our CDN Provider ID (RFC 8006).
    pub provider: String,
    /// The base of our URLs.
    pub base_url: String,
    /// The footprint: the networks whose clients we serve.
    pub footprint: Vec<Network>,
    /// The peers that we exchange messages with.
    pub peers: Vec<PeerCdn>,
    /// The classes whose objects may be requested here.
    pub classes: Vec<ServedClass>,
}

impl Identity {
    /// The peer of a CDN Provider ID.
    pub(super) fn peer(&self, provider: &str) -> Option<&PeerCdn> {
        self.peers.iter().find(|peer| peer.provider == provider)
    }

    /// How long clients wait for objects of a class; none if its objects may not be requested here.
    pub(super) fn client_timeout(&self, class: &str) -> Option<Micros> {
        let served = self.classes.iter().find(|served| served.name == class)?;
        Some(served.client_timeout_us)
    }

    /// Loop detection: whether a message has come through this network before (RFC 8007, section
    /// 4.6).
    pub(super) fn is_loop(&self, cdn_path: &[Value]) -> bool {
        has_passed(cdn_path, &self.provider)
    }
}

/// Whether a `cdn-path`, the list of the networks that a message has passed, names a provider.
pub(super) fn has_passed(cdn_path: &[Value], provider: &str) -> bool {
    cdn_path.iter().any(|passed| passed == provider)
}
