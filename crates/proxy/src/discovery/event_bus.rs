//! Client of the event bus, which sends numbered purges and endpoint list changes as server-sent
//! events over HTTP.

use crate::discovery::endpoint_entry::EndpointEntry;
use crate::limits::Limits;
use crate::protocol::{http, sse, Parser, ProtocolError};
use crate::request_table::{ListedServer, PurgeTarget};
use edge_routing::{EndpointListMode, Micros};
use edge_settings::json::{read, Object, ReadError, Tolerant, WholeNumber};
use serde::de::IgnoredAny;
use serde::Deserialize;
use serde_json::Value;

/// What an event from the event bus tells.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryEvent {
    /// The whole endpoint list, or changes to it, as the mode says.
    EndpointList(EndpointListMode, Vec<ListedServer>),
    /// An object or a whole purge group was purged.
    Purge {
        /// What is purged.
        target: PurgeTarget,
        /// Unix time of the purge, in microseconds.
        at: Micros,
    },
}

/// An event from the event bus.
#[derive(Clone, Debug, PartialEq)]
pub struct EventBusMessage {
    /// The number of the event.
    pub offset: u64,
    /// The contents of the event, in the order in which they are to be applied. Empty if the proxy
    /// does not know this kind of event.
    pub contents: Vec<DiscoveryEvent>,
}

/// Why an event from the event bus cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum EventReadError {
    /// A key is missing or holds a value of the wrong type.
    #[error(transparent)]
    Field(#[from] ReadError),
    /// A key of the event's endpoint list holds a value of the wrong type.
    #[error("topology: {0}")]
    EndpointList(ReadError),
    /// A key of the event's purge is missing or holds a value of the wrong type.
    #[error("ban: {0}")]
    Purge(ReadError),
    /// The event's purge names no object, and its group is missing or not a whole number.
    #[error("ban: field 'url' is missing, and field 'tag' is missing or not a whole number")]
    PurgeWithoutTarget,
}

/// An event in its JSON form. It may contain an endpoint list, a purge, or both. If it contains
/// neither, its type is unknown to the proxy. Each is read on its own, so that one that cannot be
/// read does not hide the other.
#[derive(Deserialize)]
struct RawEvent {
    offset: WholeNumber,
    topology: Option<IgnoredAny>,
    ban: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct RawEndpointList {
    /// Whether the entries are the whole list. Otherwise they are changes.
    #[serde(rename = "all")]
    is_snapshot: Option<bool>,
    #[serde(rename = "targets")]
    #[expect(
        dead_code,
        reason = "only checked to be a list; read_entry reads each entry from the JSON value"
    )]
    entries: Option<Vec<IgnoredAny>>,
}

#[derive(Deserialize)]
struct RawPurge {
    #[serde(rename = "url")]
    object: Option<String>,
    /// Ignored if an object is named.
    #[serde(rename = "tag")]
    purge_group: Option<Tolerant<WholeNumber>>,
    /// Unix time of the purge, in milliseconds.
    #[serde(rename = "ts")]
    purged_at_ms: WholeNumber,
}

/// Reads an event from its JSON form. If one of its contents cannot be read, the others still
/// count.
///
/// # Errors
///
/// Returns an error if the number of the event or all of its contents cannot be read.
pub fn read_event(value: &Value) -> Result<EventBusMessage, EventReadError> {
    let Object(raw): Object<RawEvent> = read(value)?;
    let list = raw
        .topology
        .map(|IgnoredAny| read_endpoint_list(&value["topology"]));
    let purge = raw.ban.map(|IgnoredAny| read_purge(&value["ban"]));
    let mut message = EventBusMessage {
        offset: raw.offset.0,
        contents: Vec::new(),
    };
    let mut errors = Vec::new();
    for content in [list, purge].into_iter().flatten() {
        match content {
            Ok(content) => message.contents.push(content),
            Err(error) => errors.push(error),
        }
    }
    if message.contents.is_empty() {
        return errors.into_iter().next().map_or(Ok(message), Err);
    }
    for error in errors {
        log::warn!(
            "event bus: a part of event {} cannot be read, only the rest is applied: {error}",
            message.offset
        );
    }
    Ok(message)
}

fn read_endpoint_list(value: &Value) -> Result<DiscoveryEvent, EventReadError> {
    let Object(list): Object<RawEndpointList> =
        read(value).map_err(EventReadError::EndpointList)?;
    let mode = match list.is_snapshot {
        Some(true) => EndpointListMode::Snapshot,
        _ => EndpointListMode::Delta,
    };
    let entries = value["targets"].as_array().into_iter().flatten();
    let servers = entries.filter_map(read_entry).collect();
    Ok(DiscoveryEvent::EndpointList(mode, servers))
}

/// Reads an entry of the endpoint list. Returns None for an entry that cannot be read. Skipping it
/// lets the other entries take effect, such as the draining of a server. In a snapshot, the server
/// of a skipped entry counts as gone.
fn read_entry(value: &Value) -> Option<ListedServer> {
    match read::<Object<EndpointEntry>>(value) {
        Ok(Object(entry)) => Some(entry.into()),
        Err(error) => {
            log::warn!(
                "event bus: skipping an endpoint list entry that cannot be read; if the list is a \
                 snapshot, the server of the entry counts as gone: {error}"
            );
            None
        }
    }
}

fn read_purge(value: &Value) -> Result<DiscoveryEvent, EventReadError> {
    let Object(purge): Object<RawPurge> = read(value).map_err(EventReadError::Purge)?;
    let target = match (purge.object, purge.purge_group) {
        (Some(object), _) => PurgeTarget::Object(object),
        (None, Some(Tolerant::Valid(purge_group))) => PurgeTarget::Group(purge_group.0),
        (None, _) => return Err(EventReadError::PurgeWithoutTarget),
    };
    Ok(DiscoveryEvent::Purge {
        target,
        at: purge.purged_at_ms.0.saturating_mul(1000),
    })
}

/// Returns the HTTP request for all events after the one with number `last_offset`.
pub fn request(host: &str, last_offset: u64) -> Vec<u8> {
    format!(
        "GET /bus/read HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\nCache-Control: no-cache\r\n\
         Last-Event-ID: {last_offset}\r\n\r\n"
    )
    .into_bytes()
}

/// The client side of one connection to the event bus. It reads the response, which continues until
/// the connection ends.
pub struct EventStreamClient {
    http: http::MessageParser,
    events: sse::EventParser,
    last_read_at: Micros,
    has_received_data: bool,
}

impl EventStreamClient {
    /// Creates the client of a connection that is opened at `now`.
    pub fn new(limits: &Limits, now: Micros) -> Self {
        EventStreamClient {
            http: http::MessageParser::responses(limits.line_bytes, usize::MAX),
            events: sse::EventParser::new(limits.endpoint_list_bytes),
            last_read_at: now,
            has_received_data: false,
        }
    }

    /// Returns whether any data has arrived on the connection.
    pub fn has_received_data(&self) -> bool {
        self.has_received_data
    }

    /// Returns when data last arrived, or when the connection was opened if no data has arrived.
    pub fn last_read_at(&self) -> Micros {
        self.last_read_at
    }

    /// Reads bytes that have arrived at `now`. Appends the events that are complete to `messages`,
    /// except those whose number is not above `last_offset` and all numbers in `messages`.
    ///
    /// The caller has to apply the appended events, and to request the events after the last one
    /// that it has applied when it connects again.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream violates the protocol or has ended. The connection must be
    /// closed. The events before the error are in `messages` and still have to be applied.
    pub fn read(
        &mut self,
        now: Micros,
        mut input: &[u8],
        last_offset: u64,
        messages: &mut Vec<EventBusMessage>,
    ) -> Result<(), ProtocolError> {
        self.last_read_at = now;
        self.has_received_data = true;
        loop {
            let (consumed, piece) = self.http.parse(input)?;
            input = &input[consumed..];
            match piece {
                None => return Ok(()),
                Some(http::Piece::Head(head)) if head.status() != Some(200) => {
                    return Err(ProtocolError::Malformed(
                        "the event bus responded with a status other than 200, so its event stream",
                    ));
                }
                Some(http::Piece::Head(_)) => {}
                Some(http::Piece::Body(bytes)) => {
                    self.read_body(&bytes, last_offset, messages)?;
                }
                Some(http::Piece::End) => {
                    return Err(ProtocolError::Malformed(
                        "the event bus ended a response that must not end, so its event stream",
                    ));
                }
            }
        }
    }

    fn read_body(
        &mut self,
        mut bytes: &[u8],
        last_offset: u64,
        messages: &mut Vec<EventBusMessage>,
    ) -> Result<(), ProtocolError> {
        while !bytes.is_empty() {
            let (consumed, event) = self.events.parse(bytes)?;
            bytes = &bytes[consumed..];
            let Some(event) = event else { continue };
            let value = serde_json::from_str(&event.data).map_err(|_| {
                ProtocolError::Malformed("an event from the event bus (expected JSON)")
            })?;
            let last_read = messages
                .last()
                .map_or(last_offset, |message| message.offset);
            match read_event(&value) {
                Ok(message) if message.offset > last_read => messages.push(message),
                // The event bus repeats events after a reconnection. Applying them again would
                // return the endpoint list to an earlier state.
                Ok(_) => {}
                Err(error) => {
                    log::warn!(
                        "event bus: event {} cannot be read, its content is not applied: {error}",
                        value["offset"]
                    )
                }
            }
        }
        Ok(())
    }
}
