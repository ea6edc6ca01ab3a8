//! The JSON form of the configuration files, with one struct for each object. A key may be absent
//! or null if its type is an `Option`. Keys that are not listed are ignored.

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
    /// A hexadecimal 64-bit number.
    pub seed: Option<String>,
    pub limits: Option<Object<MachineLimits>>,
    pub bus: Option<SocketAddr>,
    pub known: Option<Object<StartupEventsDocument>>,
    #[expect(
        dead_code,
        reason = "The key must be present. edge_settings reads the settings from the JSON value."
    )]
    pub settings: IgnoredAny,
    pub peer_listen: Option<SocketAddr>,
    pub peers: Option<Vec<SocketAddr>>,
}

/// `limits`: the size of the machine.
#[derive(Default, Deserialize)]
pub(super) struct MachineLimits {
    /// Number of file descriptors.
    pub sockets: Option<WholeNumber>,
    pub memory_mb: Option<WholeNumber>,
}

/// `known`: the events that the event bus published before the start of the proxy.
#[derive(Default, Deserialize)]
pub(super) struct StartupEventsDocument {
    /// Number of the last event published before the start.
    pub offset: Option<WholeNumber>,
    #[expect(
        dead_code,
        reason = "The value must be a list. read_event reads each event from the JSON value."
    )]
    pub batch: Option<Vec<IgnoredAny>>,
}

/// The deployment file, by default `deploy/interconnect.json`. It configures the interconnect and
/// Consul.
#[derive(Deserialize)]
pub(super) struct DeploymentDocument {
    /// Read as an [`InterconnectListen`], and as an [`InterconnectFields`] if that has an address.
    pub cdni: Option<Value>,
    pub consul: Option<Object<ConsulFields>>,
}

/// The key of `cdni` that enables the interconnect.
#[derive(Deserialize)]
pub(super) struct InterconnectListen {
    pub listen: Option<SocketAddr>,
}

/// The other keys of `cdni`.
#[derive(Deserialize)]
pub(super) struct InterconnectFields {
    /// This network's CDN Provider ID.
    pub provider: String,
    /// Base URL of this network.
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
