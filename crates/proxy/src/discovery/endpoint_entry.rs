//! An entry of the endpoint list. The event bus sends entries as JSON, and Consul's service
//! metadata uses the same key names.

use crate::request_table::{server_id, ListedServer};
use edge_routing::{Endpoint, EndpointState};
use edge_settings::json::WholeNumber;
use serde::de::Error;
use serde::{Deserialize, Deserializer};
use std::net::SocketAddr;

/// An entry of the endpoint list as its JSON text has it. Defaults replace missing values when it
/// is converted to a [`ListedServer`].
#[derive(Debug, Deserialize)]
pub(super) struct EndpointEntry {
    /// The server's id in the wire protocols. The proxy's own numeric id is its hash.
    #[serde(rename = "uid")]
    pub wire_id: String,
    /// The address on which the server listens.
    #[serde(rename = "endpoint")]
    pub address: SocketAddr,
    /// `ready`, `draining` or `gone`.
    #[serde(deserialize_with = "endpoint_state")]
    pub state: EndpointState,
    /// Name of the server's zone.
    #[serde(rename = "az")]
    pub zone: Option<String>,
    /// Number of the server's cell, a group of servers that drop repeats of an idempotency key
    /// together.
    #[serde(rename = "pod_group")]
    pub cell: Option<WholeNumber>,
    /// Name of the server's kind, which determines its role: parent, origin or cache server.
    #[serde(rename = "model")]
    pub kind: Option<String>,
    /// Capacity of the server's link in transfers at full rate.
    #[serde(rename = "capacity_hint")]
    pub weight: Option<f64>,
    /// Unix time of the server's last start, in milliseconds. 0 or no value means that the start
    /// was so long ago that the server is no longer warming up.
    #[serde(rename = "boot_ms")]
    pub started_ms: Option<WholeNumber>,
}

fn endpoint_state<'de, D: Deserializer<'de>>(deserializer: D) -> Result<EndpointState, D::Error> {
    let word = String::deserialize(deserializer)?;
    match word.as_str() {
        "ready" => Ok(EndpointState::Ready),
        "draining" => Ok(EndpointState::Draining),
        "gone" => Ok(EndpointState::Gone),
        _ => Err(Error::unknown_variant(
            &word,
            &["ready", "draining", "gone"],
        )),
    }
}

impl From<EndpointEntry> for ListedServer {
    fn from(entry: EndpointEntry) -> Self {
        let started_us = WholeNumber::value_or(entry.started_ms, 0).saturating_mul(1000);
        ListedServer {
            endpoint: Endpoint {
                id: server_id(&entry.wire_id),
                zone: entry.zone.unwrap_or_default(),
                cell: WholeNumber::value_or(entry.cell, 0),
                kind: entry.kind.unwrap_or_default(),
                weight: entry.weight.unwrap_or(1.0),
                state: entry.state,
                started_at: Some(started_us).filter(|started_us| *started_us > 0),
            },
            wire_id: entry.wire_id,
            address: entry.address,
        }
    }
}
