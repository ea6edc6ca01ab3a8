//! Footprint and Capabilities Interface (RFC 8008): which clients a CDN serves, and how.

use super::{Identity, Notification, Response};
use serde_json::{json, Value};
use std::fmt;
use std::net::Ipv4Addr;

/// Payload type of an advertisement. RFC 8008 does not specify how advertisements are transported,
/// and therefore does not specify this name either.
pub const PAYLOAD_TYPE: &str = "fci-advertisement";

/// Capability to deliver content over a protocol (RFC 8008, "Delivery Protocol Capability Object").
const DELIVERY_PROTOCOL: &str = "FCI.DeliveryProtocol";
/// Capability to redirect clients in a certain mode (RFC 8008, "Redirection Mode Capability
/// Object").
const REDIRECTION_MODE: &str = "FCI.RedirectionMode";
/// The only protocol over which this CDN delivers content.
const HTTP_1_1: &str = "http/1.1";
/// The only supported footprint type, which is a list of IPv4 networks (RFC 8006).
const IPV4_CIDR: &str = "ipv4cidr";

/// An IPv4 network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ipv4Network {
    address: u32,
    prefix_length: u8,
}

impl Ipv4Network {
    /// Parses a network in the form `a.b.c.d/n`. Returns `None` if the text is invalid.
    pub fn parse(text: &str) -> Option<Self> {
        let (address, prefix_length) = text.split_once('/')?;
        let prefix_length = prefix_length.parse().ok().filter(|length| *length <= 32)?;
        Some(Ipv4Network {
            address: address.parse::<Ipv4Addr>().ok()?.into(),
            prefix_length,
        })
    }

    /// Returns whether an address is in the network.
    pub fn contains(&self, address: Ipv4Addr) -> bool {
        let host_bits = 32 - u32::from(self.prefix_length);
        // For prefix length 0 the shift by 32 bits overflows. The mask is then 0, so that the
        // network contains all addresses.
        let mask = u32::MAX.checked_shl(host_bits).unwrap_or(0);
        (u32::from(address) ^ self.address) & mask == 0
    }
}

impl fmt::Display for Ipv4Network {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", Ipv4Addr::from(self.address), self.prefix_length)
    }
}

/// The footprint that a peer CDN has advertised.
pub(super) struct PeerFootprint {
    /// CDN Provider ID of the peer CDN.
    pub provider: String,
    /// Networks whose clients it serves over HTTP.
    pub networks: Vec<Ipv4Network>,
}

/// Returns the first network that contains an address, or `None` if there is none.
pub(super) fn find_network(networks: &[Ipv4Network], address: Ipv4Addr) -> Option<Ipv4Network> {
    networks
        .iter()
        .find(|network| network.contains(address))
        .copied()
}

/// Returns the advertisement of this CDN. It lists no capabilities while the proxy cannot serve
/// content.
fn advertisement(identity: &Identity, is_ready: bool) -> Value {
    if !is_ready {
        return json!({"capabilities": []});
    }
    let networks: Vec<_> = identity
        .footprint
        .iter()
        .map(Ipv4Network::to_string)
        .collect();
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

/// Returns the response to a peer CDN that requests the advertisement of this CDN.
pub(super) fn advertisement_response(identity: &Identity, is_ready: bool) -> Response {
    Response::payload(200, PAYLOAD_TYPE, &advertisement(identity, is_ready))
}

/// Returns notifications that carry the advertisement of this CDN to every peer CDN.
pub(super) fn advertisement_notifications(
    identity: &Identity,
    is_ready: bool,
) -> Vec<Notification> {
    let body = advertisement(identity, is_ready).to_string();
    let notifications = identity.peers.iter().map(|peer| Notification {
        address: peer.address,
        path: peer.advertisement_path.clone(),
        payload_type: PAYLOAD_TYPE,
        body: body.clone(),
    });
    notifications.collect()
}

/// Returns the networks whose clients a peer CDN serves over HTTP according to its advertisement,
/// or `None` if the advertisement is malformed. Footprints of unsupported types are ignored.
pub(super) fn parse_advertisement(payload: &Value) -> Option<Vec<Ipv4Network>> {
    let mut networks = Vec::new();
    for capability in payload["capabilities"].as_array()? {
        if !delivers_by_http(capability)? {
            continue;
        }
        let footprints = capability["footprints"].as_array();
        for footprint in footprints.into_iter().flatten() {
            if footprint["footprint-type"] == IPV4_CIDR {
                parse_networks(&footprint["footprint-value"], &mut networks)?;
            }
        }
    }
    Some(networks)
}

/// Returns whether a capability is the delivery over HTTP/1.1, or `None` if it is malformed.
fn delivers_by_http(capability: &Value) -> Option<bool> {
    if capability["capability-type"].as_str()? != DELIVERY_PROTOCOL {
        return Some(false);
    }
    let protocols = capability["capability-value"]["delivery-protocols"].as_array()?;
    Some(protocols.iter().any(|protocol| protocol == HTTP_1_1))
}

fn parse_networks(values: &Value, networks: &mut Vec<Ipv4Network>) -> Option<()> {
    for value in values.as_array()? {
        networks.push(Ipv4Network::parse(value.as_str()?)?);
    }
    Some(())
}
