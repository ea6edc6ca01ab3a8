//! The configuration as it stands in JSON: one struct for each object. A key may be absent or null
//! if its type is an `Option`. Keys that are not listed are ignored.

use edge_settings::json::{Object, WholeNumber};
use serde::de::IgnoredAny;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The file that `ROUTER_CONFIG` names.
#[derive(Deserialize)]
pub(super) struct ConfigDocument {
    pub name: Option<String>,
    pub listen: SocketAddr,
    /// A hexadecimal number of 64 bits.
    pub seed: Option<String>,
    pub limits: Option<Object<MachineLimits>>,
    pub bus: Option<SocketAddr>,
    pub known: Option<Object<KnownEventsDocument>>,
    #[expect(
        dead_code,
        reason = "checked to be present; edge_settings reads it where it stands"
    )]
    pub settings: IgnoredAny,
    pub peer_listen: Option<SocketAddr>,
    pub peers: Option<Vec<SocketAddr>>,
}

/// `limits`: the size of the machine.
#[derive(Default, Deserialize)]
pub(super) struct MachineLimits {
    /// File descriptors.
    pub sockets: Option<WholeNumber>,
    pub memory_mb: Option<WholeNumber>,
}

/// `known`: the event bus's events up to the start.
#[derive(Default, Deserialize)]
pub(super) struct KnownEventsDocument {
    /// Number of the last event.
    pub offset: Option<WholeNumber>,
    #[expect(
        dead_code,
        reason = "checked to be a list; event_bus::read_event reads its events where they stand"
    )]
    pub batch: Option<Vec<IgnoredAny>>,
}

/// The deployment's own file: `deploy/interconnect.json`.
#[derive(Deserialize)]
pub(super) struct InterconnectDocument {
    /// An [`InterconnectListen`], and where that has an address, an [`InterconnectFields`].
    pub cdni: Option<Value>,
    pub consul: Option<Object<ConsulFields>>,
}

/// The key of `cdni` that turns the interconnect on.
#[derive(Deserialize)]
pub(super) struct InterconnectListen {
    pub listen: Option<SocketAddr>,
}

/// The other keys of `cdni`.
#[derive(Deserialize)]
pub(super) struct InterconnectFields {
    /// This network's CDN Provider ID.
    pub provider: String,
    /// Base of this network's URLs.
    pub base: String,
    /// IPv4 networks, such as `127.0.0.0/8`.
    pub footprint: Option<Vec<String>>,
    #[serde(rename = "neighbours")]
    pub peers: Option<Vec<Object<PeerCdnFields>>>,
    /// Path of the purge log.
    #[serde(rename = "purges")]
    pub purge_log: Option<PathBuf>,
}

/// An entry of `cdni.neighbours`: a peer CDN.
#[derive(Deserialize)]
pub(super) struct PeerCdnFields {
    pub provider: String,
    pub address: SocketAddr,
    pub triggers: Option<String>,
    pub notices: String,
    pub content: String,
}

/// `consul`: Consul as the source of the endpoint list.
#[derive(Deserialize)]
pub(super) struct ConsulFields {
    pub address: Option<SocketAddr>,
    pub service: Option<String>,
}
