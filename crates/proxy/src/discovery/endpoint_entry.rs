//! An entry of the endpoint list. The event bus sends entries as JSON, and Consul's service
//! metadata uses the same key names.

use crate::request_table::{server_id, ListedServer};
use edge_routing::{Endpoint, EndpointState};
use edge_settings::json::WholeNumber;
use serde::de::Error;
use serde::{Deserialize, Deserializer};
use std::net::SocketAddr;

/// An entry of the endpoint list in its JSON form.
#[derive(Debug, Deserialize)]
pub(super) struct EndpointEntry {
    /// The server's id, as text.
    #[serde(rename = "uid")]
    pub wire_id: String,
    /// The address on which the server listens.
    #[serde(rename = "endpoint")]
    pub address: SocketAddr,
    /// `ready`, `draining` or `gone`.
    #[serde(deserialize_with = "endpoint_state")]
    pub state: EndpointState,
    #[serde(rename = "az")]
    pub zone: Option<String>,
    #[serde(rename = "pod_group")]
    pub cell: Option<WholeNumber>,
    #[serde(rename = "model")]
    pub kind: Option<String>,
    #[serde(rename = "capacity_hint")]
    pub weight: Option<f64>,
    /// Unix time of the server's last start, in milliseconds. 0 if the start was long ago.
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
