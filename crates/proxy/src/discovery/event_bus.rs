//! The event bus: numbered purges and changes of the endpoint list, read as server-sent events over
//! HTTP.

use crate::discovery::endpoint_entry::EndpointEntry;
use crate::limits::Limits;
use crate::protocol::{http, sse, Parser, ProtocolError};
use crate::request_table::ListedServer;
use edge_routing::{EndpointListMode, Micros};
use edge_settings::json::{read, Object, ReadError, Tolerant, WholeNumber};
use serde::de::IgnoredAny;
use serde::Deserialize;
use serde_json::Value;

/// What an event of the bus means.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryEvent {
    /// The endpoint list, or changes to it.
    List(EndpointListMode, Vec<ListedServer>),
    /// An object, or with none a whole group, was purged.
    Purge {
        /// The object.
        object: Option<String>,
        /// The group; 0 where an object is named.
        group: u64,
        /// Unix time of the purge, in microseconds.
        at: Micros,
    },
}

/// An event of the bus.
#[derive(Clone, Debug, PartialEq)]
pub struct EventBusMessage {
    /// Its number.
    pub offset: u64,
    /// What it means; none: a kind of event that is not known here.
    pub event: Option<DiscoveryEvent>,
}

/// Why an event of the bus cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum EventReadError {
    /// A key is missing or holds a value of the wrong type.
    #[error(transparent)]
    Field(#[from] ReadError),
    /// The same, within the purge that the event carries.
    #[error("ban: {0}")]
    Purge(ReadError),
    /// A purge names neither an object nor a group.
    #[error("ban: field 'tag' is missing or not a whole number")]
    PurgeWithoutTarget,
}

/// An event as it stands in JSON. It carries either an endpoint list or a purge.
#[derive(Deserialize)]
struct RawEvent {
    offset: WholeNumber,
    topology: Option<Object<RawEndpointList>>,
    /// Read as a [`RawPurge`] once it is known that there is no list.
    ban: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct RawEndpointList {
    /// The entries are the whole list; otherwise they are changes.
    #[serde(rename = "all")]
    is_snapshot: Option<bool>,
    #[serde(rename = "targets")]
    #[expect(
        dead_code,
        reason = "checked to be a list; read_entry reads its entries where they stand"
    )]
    entries: Option<Vec<IgnoredAny>>,
}

#[derive(Deserialize)]
struct RawPurge {
    #[serde(rename = "url")]
    object: Option<String>,
    /// Not read where an object is named.
    #[serde(rename = "tag")]
    group: Option<Tolerant<WholeNumber>>,
    /// Unix time in milliseconds.
    #[serde(rename = "ts")]
    purged_at_ms: WholeNumber,
}

/// Reads an event.
pub fn read_event(value: &Value) -> Result<EventBusMessage, EventReadError> {
    let Object(raw): Object<RawEvent> = read(value)?;
    let event = match (raw.topology, raw.ban) {
        (Some(Object(list)), _) => Some(endpoint_list(&list, &value["topology"]["targets"])),
        (None, Some(IgnoredAny)) => Some(read_purge(&value["ban"])?),
        (None, None) => None,
    };
    Ok(EventBusMessage {
        offset: raw.offset.0,
        event,
    })
}

fn endpoint_list(list: &RawEndpointList, entries: &Value) -> DiscoveryEvent {
    let mode = match list.is_snapshot {
        Some(true) => EndpointListMode::Snapshot,
        _ => EndpointListMode::Delta,
    };
    let entries = entries.as_array().into_iter().flatten();
    DiscoveryEvent::List(mode, entries.filter_map(read_entry).collect())
}

/// Reads an entry of the endpoint list. One that cannot be read is skipped, so that the drains of
/// the others still take effect.
fn read_entry(value: &Value) -> Option<ListedServer> {
    match read::<Object<EndpointEntry>>(value) {
        Ok(Object(entry)) => Some(entry.into()),
        Err(error) => {
            log::warn!("an entry of the endpoint list is skipped: {error}");
            None
        }
    }
}

fn read_purge(value: &Value) -> Result<DiscoveryEvent, EventReadError> {
    let Object(purge): Object<RawPurge> = read(value).map_err(EventReadError::Purge)?;
    let group = match (&purge.object, purge.group) {
        (Some(_), _) => 0,
        (None, Some(Tolerant::Valid(group))) => group.0,
        (None, _) => return Err(EventReadError::PurgeWithoutTarget),
    };
    Ok(DiscoveryEvent::Purge {
        object: purge.object,
        group,
        at: purge.purged_at_ms.0.saturating_mul(1000),
    })
}

/// The HTTP request for all events after the one with this number.
pub fn request(host: &str, last_offset: u64) -> Vec<u8> {
    format!(
        "GET /bus/read HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\nCache-Control: no-cache\r\n\
         Last-Event-ID: {last_offset}\r\n\r\n"
    )
    .into_bytes()
}

/// The client's side of one connection to the event bus: reads the response, which goes on until
/// the connection ends.
pub struct EventStreamClient {
    http: http::MessageParser,
    events: sse::EventParser,
    last_read: Micros,
    has_answered: bool,
}

impl EventStreamClient {
    /// The client of a connection that begins now.
    pub fn new(limits: &Limits, now: Micros) -> Self {
        EventStreamClient {
            http: http::MessageParser::responses(limits.line_bytes, usize::MAX),
            events: sse::EventParser::new(limits.endpoint_list_bytes),
            last_read: now,
            has_answered: false,
        }
    }

    /// Whether anything has come yet.
    pub fn has_answered(&self) -> bool {
        self.has_answered
    }

    /// When something last arrived.
    pub fn last_read(&self) -> Micros {
        self.last_read
    }

    /// Reads bytes that have arrived. Gives the events that are complete by them and have a number
    /// above `last_offset`, and moves that on. An error ends the connection.
    pub fn read(
        &mut self,
        now: Micros,
        mut input: &[u8],
        last_offset: &mut u64,
    ) -> Result<Vec<EventBusMessage>, ProtocolError> {
        self.last_read = now;
        self.has_answered = true;
        let mut messages = Vec::new();
        loop {
            let (taken, piece) = self.http.parse(input)?;
            input = &input[taken..];
            match piece {
                None => return Ok(messages),
                Some(http::Piece::Head(head)) if head.status() != Some(200) => {
                    return Err(ProtocolError::Malformed("the event bus's answer"));
                }
                Some(http::Piece::Head(_)) => {}
                Some(http::Piece::Body(bytes)) => {
                    self.read_body(&bytes, last_offset, &mut messages)?;
                }
                Some(http::Piece::End) => {
                    return Err(ProtocolError::Malformed(
                        "the end of the event bus's stream",
                    ));
                }
            }
        }
    }

    fn read_body(
        &mut self,
        mut bytes: &[u8],
        last_offset: &mut u64,
        messages: &mut Vec<EventBusMessage>,
    ) -> Result<(), ProtocolError> {
        while !bytes.is_empty() {
            let (taken, event) = self.events.parse(bytes)?;
            bytes = &bytes[taken..];
            let Some(event) = event else { continue };
            let value = serde_json::from_str(&event.data)
                .map_err(|_| ProtocolError::Malformed("an event"))?;
            match read_event(&value) {
                Ok(message) if message.offset > *last_offset => {
                    *last_offset = message.offset;
                    messages.push(message);
                }
                // A repeat after a reconnection: the list must not go back to an earlier state.
                Ok(_) => {}
                Err(error) => log::warn!("an event of the bus is skipped: {error}"),
            }
        }
        Ok(())
    }
}
