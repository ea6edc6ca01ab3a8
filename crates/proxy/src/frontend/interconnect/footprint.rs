//! Footprint and Capabilities Interface (RFC 8008): which clients a network serves, and how.

use super::{Identity, Notification, Response};
use serde_json::{json, Value};
use std::fmt;
use std::net::Ipv4Addr;

/// The type of an advertisement payload. RFC 8008 leaves the transport open, and with it this name.
pub const PTYPE: &str = "fci-advertisement";

/// The capability to deliver by a protocol (RFC 8008, "Delivery Protocol Capability Object").
const DELIVERY_PROTOCOL: &str = "FCI.DeliveryProtocol";
/// The capability to redirect in a way (RFC 8008, "Redirection Mode Capability Object").
const REDIRECTION_MODE: &str = "FCI.RedirectionMode";
/// The only protocol by which content is delivered here.
const HTTP_1_1: &str = "http/1.1";
/// The only type of footprint that is known here: IPv4 networks (RFC 8006).
const IPV4_CIDR: &str = "ipv4cidr";

/// An IPv4 network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network {
    address: u32,
    prefix_length: u8,
}

impl Network {
    /// Reads `a.b.c.d/n`.
    pub fn read(text: &str) -> Option<Self> {
        let (address, prefix_length) = text.split_once('/')?;
        let prefix_length = prefix_length.parse().ok().filter(|length| *length <= 32)?;
        Some(Network {
            address: address.parse::<Ipv4Addr>().ok()?.into(),
            prefix_length,
        })
    }

    /// Whether an address lies in the network.
    pub fn contains(&self, address: Ipv4Addr) -> bool {
        let host_bits = 32 - u32::from(self.prefix_length);
        // A shift by all 32 bits, for the network of all addresses, has no result.
        let mask = u32::MAX.checked_shl(host_bits).unwrap_or(0);
        (u32::from(address) ^ self.address) & mask == 0
    }
}

impl fmt::Display for Network {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", Ipv4Addr::from(self.address), self.prefix_length)
    }
}

/// What a peer has advertised.
pub(super) struct PeerFootprint {
    /// Its CDN Provider ID.
    pub provider: String,
    /// The networks whose clients it serves by HTTP.
    pub networks: Vec<Network>,
}

/// The first of the networks that an address lies in.
pub(super) fn network_of(networks: &[Network], address: Ipv4Addr) -> Option<Network> {
    networks
        .iter()
        .find(|network| network.contains(address))
        .copied()
}

/// Our advertisement: no capabilities while content can't be served.
fn advertisement(identity: &Identity, ready: bool) -> Value {
    if !ready {
        return json!({"capabilities": []});
    }
    let networks: Vec<_> = identity.footprint.iter().map(Network::to_string).collect();
    let footprints = json!([{"footprint-type": IPV4_CIDR, "footprint-value": networks}]);
    json!({"capabilities": [
        {
            "capability-type": DELIVERY_PROTOCOL,
            "capability-value": {"delivery-protocols": [HTTP_1_1]},
            "footprints": footprints,
        },
        {
            "capability-type": REDIRECTION_MODE,
            "capability-value": {"redirection-modes": ["HTTP-I"]},
            "footprints": footprints,
        },
    ]})
}

/// Our advertisement for the peer that asks for it.
pub(super) fn advertisement_response(identity: &Identity, ready: bool) -> Response {
    Response::payload(200, PTYPE, &advertisement(identity, ready))
}

/// Our advertisement for every peer.
pub(super) fn advertisements(identity: &Identity, ready: bool) -> Vec<Notification> {
    let body = advertisement(identity, ready).to_string();
    let notifications = identity.peers.iter().map(|peer| Notification {
        address: peer.address,
        path: peer.advertisement_path.clone(),
        ptype: PTYPE,
        body: body.clone(),
    });
    notifications.collect()
}

/// The networks whose clients a peer serves by HTTP, by its advertisement; none if that is
/// malformed. Footprints of types that are not known here reach no client.
pub(super) fn read_advertisement(payload: &Value) -> Option<Vec<Network>> {
    let mut networks = Vec::new();
    for capability in payload["capabilities"].as_array()? {
        if !delivers_by_http(capability)? {
            continue;
        }
        let footprints = capability["footprints"].as_array();
        for footprint in footprints.into_iter().flatten() {
            if footprint["footprint-type"] == IPV4_CIDR {
                read_networks(&footprint["footprint-value"], &mut networks)?;
            }
        }
    }
    Some(networks)
}

/// Whether a capability is the delivery by HTTP/1.1; none if it is malformed.
fn delivers_by_http(capability: &Value) -> Option<bool> {
    if capability["capability-type"].as_str()? != DELIVERY_PROTOCOL {
        return Some(false);
    }
    let protocols = capability["capability-value"]["delivery-protocols"].as_array()?;
    Some(protocols.iter().any(|protocol| protocol == HTTP_1_1))
}

fn read_networks(values: &Value, networks: &mut Vec<Network>) -> Option<()> {
    for value in values.as_array()? {
        networks.push(Network::read(value.as_str()?)?);
    }
    Some(())
}
