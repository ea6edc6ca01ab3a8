//! Messages from the simulator, and their conversion to [`edge_routing::Event`].
//!
//! Each struct for a message has the name of that message in the simulator's line protocol, and its
//! serde attributes give the key names. Times are in microseconds. Unknown keys are ignored.

use crate::error::LineError;
use edge_routing as routing;
use edge_settings::json::{read_str, Object, Tolerant, WholeNumber};
use serde::de::{Error, Unexpected, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::borrow::Cow;
use std::fmt;

/// The keys that identify the type of a message and its instance.
#[derive(Deserialize)]
pub struct Envelope<'a> {
    /// Name of the message, which is its type.
    #[serde(borrow)]
    pub event_type: Cow<'a, str>,
    /// Id of the instance that the message is for. `Clock` and `End` have none.
    #[serde(rename = "i")]
    pub instance: Option<WholeNumber>,
}

/// The `Clock` message, which begins a batch.
#[derive(Deserialize)]
pub struct Clock {
    /// Time of every event in the batch.
    #[serde(rename = "at-time-us")]
    pub now_us: WholeNumber,
    /// Number of the batch.
    pub round: WholeNumber,
}

/// The `Born` message, which starts an instance.
#[derive(Deserialize)]
pub struct Born {
    /// Seed of the instance's random numbers.
    #[serde(rename = "nonce64")]
    pub seed: WholeNumber,
    /// The instance's settings object.
    pub setup: Value,
}

/// The `PeersKnown` message, which holds the endpoint list or changes to it.
#[derive(Deserialize)]
struct PeersKnown {
    /// 1 or 3 for the complete list, 2 for changed entries only, 0 if the poll for the list failed.
    mode: WholeNumber,
    #[serde(rename = "items")]
    entries: Option<Vec<Object<EndpointListEntry>>>,
}

/// An entry of the endpoint list.
#[derive(Deserialize)]
struct EndpointListEntry {
    #[serde(rename = "store")]
    server: WholeNumber,
    #[serde(rename = "campus")]
    zone: Option<String>,
    #[serde(rename = "group")]
    cell: Option<WholeNumber>,
    #[serde(rename = "shape")]
    kind: Option<String>,
    weight: Option<f64>,
    /// 1 for ready, 2 for draining, 0 for gone.
    state: WholeNumber,
    /// When the server last started; 0 if that was long ago.
    #[serde(rename = "born-us")]
    started_at: Option<WholeNumber>,
}

/// The `Order` message, which is a client's request.
#[derive(Deserialize)]
struct Order {
    #[serde(rename = "request-id")]
    request: WholeNumber,
    #[serde(rename = "grade")]
    class: String,
    #[serde(rename = "owner")]
    tenant: Option<NameOrZero>,
    #[serde(rename = "content-id")]
    object: Option<NameOrZero>,
    #[serde(rename = "segment")]
    part: Option<WholeNumber>,
    #[serde(rename = "purge-group")]
    purge_group: Option<WholeNumber>,
    #[serde(rename = "length-kb")]
    size_kb: Option<f64>,
    /// Time until the client stops waiting. A negative value means that the time has passed.
    #[serde(rename = "remaining-us")]
    remaining_us: f64,
    /// Bit flags, of which [`RETRY_FLAG`] is the only one that is read.
    marks: Option<WholeNumber>,
}

/// The bit in [`Order::marks`] that marks the request as a client's retry.
const RETRY_FLAG: u64 = 2;

/// The `Accepted` message, which reports that a streamed answer has begun.
#[derive(Deserialize)]
struct Accepted {
    #[serde(rename = "request-id")]
    request: WholeNumber,
    #[serde(rename = "go")]
    attempt: Option<WholeNumber>,
}

/// The `Resolved` message, which reports that an attempt ended.
#[derive(Deserialize)]
struct Resolved<'a> {
    #[serde(rename = "request-id")]
    request: WholeNumber,
    #[serde(rename = "go")]
    attempt: Option<WholeNumber>,
    #[serde(rename = "store")]
    server: WholeNumber,
    #[serde(rename = "how", borrow)]
    outcome: Cow<'a, str>,
    #[serde(rename = "took-us")]
    took_us: Option<WholeNumber>,
    settled: Option<bool>,
    #[serde(rename = "note")]
    fill_result: Option<WholeNumber>,
    #[serde(rename = "first-byte-us")]
    fill_ttfb_us: Option<WholeNumber>,
    #[serde(rename = "usage")]
    load: Option<Object<LoadReport>>,
}

/// The `ClientLeft` message, which reports that the client disconnected.
#[derive(Deserialize)]
struct ClientLeft {
    #[serde(rename = "request-id")]
    request: WholeNumber,
}

/// The `Elapsed` message, which reports that a timer expired.
#[derive(Deserialize)]
struct Elapsed {
    #[serde(rename = "ctx")]
    tag: WholeNumber,
}

/// The `CheckResult` message, which reports that a probe ended.
#[derive(Deserialize)]
struct CheckResult<'a> {
    #[serde(rename = "store")]
    server: WholeNumber,
    #[serde(rename = "how", borrow)]
    outcome: Cow<'a, str>,
    #[serde(rename = "took-us")]
    took_us: Option<WholeNumber>,
    #[serde(rename = "usage")]
    load: Option<Object<LoadReport>>,
}

/// The `Invalidated` message, which reports a purge of an object, or of a whole purge group if it
/// names no object.
#[derive(Deserialize)]
struct Invalidated {
    #[serde(rename = "content-id")]
    object: Option<NameOrZero>,
    #[serde(rename = "batch-id")]
    purge_group: Option<WholeNumber>,
    #[serde(rename = "how-old-us")]
    age_us: Option<WholeNumber>,
}

/// A server's load report. Values of the wrong type are ignored, because sites define their own.
#[derive(Deserialize)]
struct LoadReport {
    #[serde(rename = "cpu_share")]
    cpu_utilization: Option<Tolerant<f64>>,
    #[serde(rename = "busy_reqs")]
    in_flight: Option<Tolerant<f64>>,
    #[serde(rename = "x0")]
    hit_ratio: Option<Tolerant<f64>>,
    #[serde(rename = "x1")]
    link_utilization: Option<Tolerant<f64>>,
}

/// A name, or None for the number 0, which the protocol uses for an absent name.
struct NameOrZero(Option<String>);

impl<'de> Deserialize<'de> for NameOrZero {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NameOrZeroVisitor)
    }
}

struct NameOrZeroVisitor;

impl Visitor<'_> for NameOrZeroVisitor {
    type Value = NameOrZero;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a name or 0")
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<NameOrZero, E> {
        Ok(NameOrZero(Some(value.to_owned())))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<NameOrZero, E> {
        match value {
            0 => Ok(NameOrZero(None)),
            _ => Err(E::invalid_value(Unexpected::Unsigned(value), &self)),
        }
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<NameOrZero, E> {
        match value {
            0.0 => Ok(NameOrZero(None)),
            _ => Err(E::invalid_value(Unexpected::Float(value), &self)),
        }
    }
}

/// Reads a line as a message of type `T`. Errors give `event_type` as the name of the message.
pub fn read_message<'a, T: Deserialize<'a>>(
    event_type: &str,
    line: &'a str,
) -> Result<T, LineError> {
    read_str(line).map_err(|source| LineError::Field {
        event_type: event_type.to_owned(),
        source,
    })
}

/// Reads the type of a message and its instance. Returns an error if the line is not JSON, or not
/// an object with valid values for these keys.
pub fn read_envelope(line: &str) -> Result<Envelope<'_>, LineError> {
    match read_str(line) {
        Ok(Object(envelope)) => Ok(envelope),
        Err(error) if error.source.is_data() => Err(LineError::InvalidEnvelope(error)),
        Err(error) => Err(LineError::NotJson(error)),
    }
}

/// Reads an event for a running instance. Returns None if the message type is unknown. `Peer` is
/// treated as unknown, because instances do not send each other messages.
pub fn read_event(event_type: &str, line: &str) -> Result<Option<routing::Event>, LineError> {
    let event = match event_type {
        "PeersKnown" => read_message::<PeersKnown>(event_type, line)?.into(),
        "Order" => read_message::<Order>(event_type, line)?.into(),
        "Accepted" => read_message::<Accepted>(event_type, line)?.into(),
        "Resolved" => read_message::<Resolved>(event_type, line)?.into(),
        "ClientLeft" => read_message::<ClientLeft>(event_type, line)?.into(),
        "Elapsed" => read_message::<Elapsed>(event_type, line)?.into(),
        "CheckResult" => read_message::<CheckResult>(event_type, line)?.into(),
        "Invalidated" => read_message::<Invalidated>(event_type, line)?.into(),
        _ => return Ok(None),
    };
    Ok(Some(event))
}

impl From<PeersKnown> for routing::Event {
    fn from(message: PeersKnown) -> Self {
        let entries = message.entries.unwrap_or_default();
        routing::Event::EndpointList {
            mode: match message.mode.0 {
                1 | 3 => routing::EndpointListMode::Snapshot,
                2 => routing::EndpointListMode::Delta,
                _ => routing::EndpointListMode::Failed,
            },
            endpoints: entries
                .into_iter()
                .map(|Object(entry)| entry.into())
                .collect(),
        }
    }
}

impl From<EndpointListEntry> for routing::Endpoint {
    fn from(entry: EndpointListEntry) -> Self {
        routing::Endpoint {
            id: entry.server.0,
            zone: entry.zone.unwrap_or_default(),
            cell: WholeNumber::value_or(entry.cell, 0),
            kind: entry.kind.unwrap_or_default(),
            weight: entry.weight.unwrap_or(1.0),
            state: match entry.state.0 {
                1 => routing::EndpointState::Ready,
                2 => routing::EndpointState::Draining,
                _ => routing::EndpointState::Gone,
            },
            started_at: Some(WholeNumber::value_or(entry.started_at, 0))
                .filter(|started_at| *started_at > 0),
        }
    }
}

impl From<Order> for routing::Event {
    fn from(message: Order) -> Self {
        routing::Event::Request(routing::Request {
            id: message.request.0,
            class: message.class,
            tenant: message.tenant.and_then(|NameOrZero(name)| name),
            object: message
                .object
                .and_then(|NameOrZero(name)| name)
                .unwrap_or_default(),
            part: WholeNumber::value_or(message.part, 0),
            purge_group: WholeNumber::value_or(message.purge_group, 0),
            size_kb: message.size_kb.unwrap_or(0.0),
            remaining_us: message.remaining_us.max(0.0) as u64,
            is_retry: WholeNumber::value_or(message.marks, 0) & RETRY_FLAG != 0,
        })
    }
}

impl From<Accepted> for routing::Event {
    fn from(message: Accepted) -> Self {
        routing::Event::StreamStarted {
            request: message.request.0,
            attempt: WholeNumber::value_or(message.attempt, 0) as u32,
        }
    }
}

impl From<Resolved<'_>> for routing::Event {
    fn from(message: Resolved<'_>) -> Self {
        routing::Event::AttemptEnded(routing::AttemptReport {
            request: message.request.0,
            attempt: WholeNumber::value_or(message.attempt, 0) as u32,
            server: message.server.0,
            outcome: outcome(&message.outcome),
            took_us: WholeNumber::value_or(message.took_us, 0),
            settled: message.settled.unwrap_or(false),
            fill_result: fill_result(WholeNumber::value_or(message.fill_result, 0)),
            fill_ttfb_us: WholeNumber::value_or(message.fill_ttfb_us, 0),
            load: message.load.map(|Object(report)| report.into()),
        })
    }
}

impl From<ClientLeft> for routing::Event {
    fn from(message: ClientLeft) -> Self {
        routing::Event::ClientDisconnected {
            request: message.request.0,
        }
    }
}

impl From<Elapsed> for routing::Event {
    fn from(message: Elapsed) -> Self {
        routing::Event::Timer { tag: message.tag.0 }
    }
}

impl From<CheckResult<'_>> for routing::Event {
    fn from(message: CheckResult<'_>) -> Self {
        routing::Event::ProbeEnded {
            server: message.server.0,
            outcome: outcome(&message.outcome),
            took_us: WholeNumber::value_or(message.took_us, 0),
            load: message.load.map(|Object(report)| report.into()),
        }
    }
}

impl From<Invalidated> for routing::Event {
    fn from(message: Invalidated) -> Self {
        routing::Event::Purged {
            object: message.object.and_then(|NameOrZero(name)| name),
            purge_group: WholeNumber::value_or(message.purge_group, 0),
            age_us: WholeNumber::value_or(message.age_us, 0),
            permanent: false,
        }
    }
}

impl From<LoadReport> for routing::LoadReport {
    fn from(report: LoadReport) -> Self {
        routing::LoadReport {
            cpu_utilization: report.cpu_utilization.and_then(Tolerant::into_valid),
            in_flight: report.in_flight.and_then(Tolerant::into_valid),
            hit_ratio: report.hit_ratio.and_then(Tolerant::into_valid),
            link_utilization: report.link_utilization.and_then(Tolerant::into_valid),
        }
    }
}

/// Converts the `how` key of a `Resolved` or `CheckResult` message.
fn outcome(how: &str) -> routing::Outcome {
    match how {
        "ok" => routing::Outcome::Ok,
        "full" => routing::Outcome::Rejected,
        "timeout" => routing::Outcome::Timeout,
        "connect_failed" => routing::Outcome::ConnectFailed,
        "reset" => routing::Outcome::Reset,
        "cancelled" => routing::Outcome::Cancelled,
        "moot" => routing::Outcome::NotSent,
        "miss" => routing::Outcome::Miss,
        // An attempt with an unknown outcome may have taken effect, as one with an error may.
        _ => routing::Outcome::Error,
    }
}

/// Converts the `note` key of a `Resolved` message.
fn fill_result(note: u64) -> routing::FillResult {
    match note {
        1 => routing::FillResult::Hit,
        2 => routing::FillResult::Filled,
        3 => routing::FillResult::FilledFromOrigin,
        4 => routing::FillResult::Coalesced,
        5 => routing::FillResult::Stale,
        6 => routing::FillResult::SourceRejected,
        7 => routing::FillResult::SourceUnreachable,
        8 => routing::FillResult::SourceMiss,
        9 => routing::FillResult::NoFillSlot,
        10 => routing::FillResult::OriginFailed,
        _ => routing::FillResult::Unknown,
    }
}
