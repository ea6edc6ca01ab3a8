//! Consul as the source of the endpoint list. A blocking query of the health API returns the
//! instances with their checks, and a query of the catalogue returns which instances are still
//! registered. The two queries alternate, and each pair of responses produces one endpoint list.

use crate::discovery::endpoint_entry::EndpointEntry;
use crate::limits::Limits;
use crate::protocol::http::{Head, Message, MessageParser, Piece};
use crate::protocol::{Parser, ProtocolError};
use crate::request_table::ListedServer;
use edge_routing::EndpointState;
use edge_settings::json::{read, Object, ReadError, Tolerant, WholeNumber};
use serde::Deserialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Why a response from Consul cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConsulError {
    /// The query ended without a response.
    #[error("Consul did not respond")]
    NoResponse,
    /// The status is not 200.
    #[error("Consul responded with '{status_line}' instead of status 200")]
    Status {
        /// The first line of the response.
        status_line: String,
    },
    /// The body is not JSON.
    #[error("Consul's response is not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The body is not a JSON list.
    #[error("Consul's response is not a list")]
    NotAList,
    /// An item of the list cannot be read.
    #[error("Consul's response has an invalid item: {0}")]
    Item(#[from] ReadError),
    /// A field of an instance is missing or cannot be read.
    #[error("Consul's response: instance '{instance}': field '{key}' is missing or invalid")]
    Field {
        /// The instance's id.
        instance: String,
        /// The key of the field.
        key: &'static str,
    },
}

/// A kind of query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Query {
    /// The instances with their checks. Consul responds when something has changed.
    Health,
    /// All registered instances.
    Catalogue,
}

/// The endpoint list by the responses of Consul, and the next query.
pub struct Consul {
    service: String,
    /// How long Consul may hold a health query until something changes, in seconds.
    wait_s: u64,
    /// Consul's index of the last health response. 0 if the next health query must return at once,
    /// without waiting for a change.
    index: u64,
    next_query: Query,
    /// Instances of the last health response, including those that are draining.
    instances: Vec<ListedServer>,
    /// The endpoint list that was last returned.
    published: Vec<ListedServer>,
}

/// The client side of one query. It collects the response.
pub struct ConsulQuery {
    messages: MessageParser,
    head: Option<Head>,
    body: Vec<u8>,
}

impl ConsulQuery {
    /// Creates a query whose response has not begun.
    pub fn new(limits: &Limits) -> Self {
        ConsulQuery {
            messages: MessageParser::responses(limits.line_bytes, limits.endpoint_list_bytes),
            head: None,
            body: Vec::new(),
        }
    }

    /// Reads bytes that have arrived. Returns the response once it is complete, and None before.
    ///
    /// # Errors
    ///
    /// Returns an error if the response violates the protocol or exceeds a limit.
    pub fn read(&mut self, mut input: &[u8]) -> Result<Option<Message>, ProtocolError> {
        loop {
            let (consumed, piece) = self.messages.parse(input)?;
            input = &input[consumed..];
            match piece {
                None => return Ok(None),
                Some(Piece::Head(head)) => self.head = Some(head),
                Some(Piece::Body(bytes)) => self.body.extend(bytes),
                Some(Piece::End) => {
                    let body = std::mem::take(&mut self.body);
                    return Ok(self.head.take().map(|head| Message { head, body }));
                }
            }
        }
    }
}

impl Consul {
    /// Creates the state for a service whose instances are not known yet. Health queries wait for
    /// at most `wait_s` seconds.
    pub fn new(service: String, wait_s: u64) -> Self {
        Consul {
            service,
            wait_s,
            index: 0,
            next_query: Query::Health,
            instances: Vec::new(),
            published: Vec::new(),
        }
    }

    /// Returns the HTTP request of the next query.
    pub fn next_request(&self, host: &str) -> Vec<u8> {
        let Consul {
            service,
            wait_s,
            index,
            ..
        } = self;
        let target = match (self.next_query, index) {
            (Query::Catalogue, _) => format!("/v1/catalog/service/{service}"),
            (Query::Health, 0) => format!("/v1/health/service/{service}"),
            (Query::Health, _) => {
                format!("/v1/health/service/{service}?index={index}&wait={wait_s}s")
            }
        };
        format!("GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
            .into_bytes()
    }

    /// Handles a failed query. The endpoint list stays unchanged, and the next query is a health
    /// query that returns at once.
    pub fn handle_failure(&mut self) {
        self.index = 0;
        self.next_query = Query::Health;
    }

    /// Handles the response to the last query. Returns the whole endpoint list if it has changed,
    /// and None otherwise.
    ///
    /// # Errors
    ///
    /// Returns an error if the response cannot be used.
    pub fn handle_response(
        &mut self,
        message: &Message,
    ) -> Result<Option<Vec<ListedServer>>, ConsulError> {
        let Message { head, body } = message;
        if head.status() != Some(200) {
            return Err(ConsulError::Status {
                status_line: head.start_line.clone(),
            });
        }
        let value: Value = serde_json::from_slice(body)?;
        if !value.is_array() {
            return Err(ConsulError::NotAList);
        }
        match self.next_query {
            Query::Health => {
                self.handle_health(head, &value)?;
                Ok(None)
            }
            Query::Catalogue => self.handle_catalogue(&value),
        }
    }

    fn handle_health(&mut self, head: &Head, value: &Value) -> Result<(), ConsulError> {
        let index = head
            .header("x-consul-index")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        // Consul's index decreases if Consul was restored or replaced. The next query must then
        // return at once.
        self.index = if index < self.index { 0 } else { index };
        let instances: Vec<Object<HealthInstance>> = read(value)?;
        self.instances = instances
            .into_iter()
            .map(|Object(instance)| instance.into_listed_server())
            .collect::<Result<_, _>>()?;
        self.next_query = Query::Catalogue;
        Ok(())
    }

    fn handle_catalogue(
        &mut self,
        value: &Value,
    ) -> Result<Option<Vec<ListedServer>>, ConsulError> {
        let items: Vec<Tolerant<Object<CatalogueInstance>>> = read(value)?;
        let registered: BTreeSet<String> = items
            .into_iter()
            .filter_map(Tolerant::into_valid)
            .map(|Object(instance)| instance.id)
            .collect();
        self.next_query = Query::Health;
        let is_registered = |server: &&ListedServer| registered.contains(&server.wire_id);
        let mut servers: Vec<ListedServer> = self
            .instances
            .iter()
            .filter(is_registered)
            .cloned()
            .collect();
        // An instance that is still registered but no longer in the health response is draining,
        // because its agent is about to leave.
        let instance_ids: BTreeSet<&str> = self
            .instances
            .iter()
            .map(|server| server.wire_id.as_str())
            .collect();
        let leaving = self
            .published
            .iter()
            .filter(is_registered)
            .filter(|server| !instance_ids.contains(server.wire_id.as_str()));
        servers.extend(leaving.cloned().map(|mut server| {
            server.endpoint.state = EndpointState::Draining;
            server
        }));
        servers.sort_by(|a, b| a.wire_id.cmp(&b.wire_id));
        if servers == self.published {
            return Ok(None);
        }
        self.published.clone_from(&servers);
        Ok(Some(servers))
    }
}

/// An item of a health response.
#[derive(Deserialize)]
struct HealthInstance {
    #[serde(rename = "Node")]
    node: Object<Node>,
    #[serde(rename = "Service")]
    service: Object<Service>,
    #[serde(rename = "Checks")]
    checks: Option<Vec<Tolerant<Object<Check>>>>,
}

#[derive(Deserialize)]
struct Node {
    #[serde(rename = "Address")]
    address: Option<Tolerant<String>>,
}

#[derive(Deserialize)]
struct Service {
    #[serde(rename = "ID")]
    id: String,
    /// The address of the instance. If it is absent or empty, the address of the node is used.
    #[serde(rename = "Address")]
    address: Option<Tolerant<String>>,
    #[serde(rename = "Port")]
    port: Option<WholeNumber>,
    /// The optional keys of an [`EndpointEntry`], with all values as text.
    #[serde(rename = "Meta")]
    metadata: Option<BTreeMap<String, String>>,
}

#[derive(Deserialize)]
struct Check {
    #[serde(rename = "Status")]
    status: String,
}

/// An item of a catalogue response.
#[derive(Deserialize)]
struct CatalogueInstance {
    #[serde(rename = "ServiceID")]
    id: String,
}

impl HealthInstance {
    fn into_listed_server(self) -> Result<ListedServer, ConsulError> {
        let Object(service) = self.service;
        let invalid = |key| ConsulError::Field {
            instance: service.id.clone(),
            key,
        };
        let host = service
            .address
            .and_then(Tolerant::into_valid)
            .filter(|address| !address.is_empty())
            .or(self.node.0.address.and_then(Tolerant::into_valid))
            .ok_or_else(|| invalid("Address"))?;
        let port = service.port.ok_or_else(|| invalid("Port"))?.0;
        let address = format!("{host}:{port}")
            .parse()
            .map_err(|_| invalid("Address"))?;
        let is_draining = self.checks.unwrap_or_default().iter().any(is_critical);
        let metadata = Metadata(service.metadata.unwrap_or_default());
        let entry = EndpointEntry {
            address,
            state: match is_draining {
                true => EndpointState::Draining,
                false => EndpointState::Ready,
            },
            zone: metadata.text("az"),
            cell: metadata.whole_number("pod_group").map_err(invalid)?,
            kind: metadata.text("model"),
            weight: metadata.number("capacity_hint").map_err(invalid)?,
            started_ms: metadata.whole_number("boot_ms").map_err(invalid)?,
            wire_id: service.id.clone(),
        };
        Ok(entry.into())
    }
}

/// Returns whether a check says that the instance must get no new requests. A check that cannot be
/// read does not.
fn is_critical(check: &Tolerant<Object<Check>>) -> bool {
    check
        .as_valid()
        .is_some_and(|Object(check)| matches!(check.status.as_str(), "critical" | "maintenance"))
}

/// The metadata of a service. Its methods return the key at fault as the error.
struct Metadata(BTreeMap<String, String>);

impl Metadata {
    /// Returns the text of a key, or None if the key is absent.
    fn text(&self, key: &str) -> Option<String> {
        self.0.get(key).cloned()
    }

    /// Returns the number of a key, or None if the key is absent or its number is not finite.
    fn number(&self, key: &'static str) -> Result<Option<f64>, &'static str> {
        let Some(text) = self.0.get(key) else {
            return Ok(None);
        };
        let value: f64 = text.parse().map_err(|_| key)?;
        Ok(Some(value).filter(|value| value.is_finite()))
    }

    /// Returns the whole number of a key, or None under the same conditions as
    /// [`number`](Self::number).
    fn whole_number(&self, key: &'static str) -> Result<Option<WholeNumber>, &'static str> {
        match self.number(key)? {
            None => Ok(None),
            Some(value) => WholeNumber::from_f64(value).map(Some).ok_or(key),
        }
    }
}
