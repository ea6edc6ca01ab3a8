//! Messages of the simulator: one struct for each, with its key names, and its meaning as an
//! [`edge_routing::Event`]. Times are microseconds. Keys that are not listed are ignored.

use crate::error::LineError;
use edge_routing as routing;
use edge_settings::json::{read_str, Object, Tolerant, WholeNumber};
use serde::de::{Error, Unexpected, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::borrow::Cow;
use std::fmt;

/// What every line has.
#[derive(Deserialize)]
pub struct Envelope<'a> {
    /// Name of the message.
    #[serde(borrow)]
    pub event_type: Cow<'a, str>,
    /// The instance; none for `Clock` and `End`.
    #[serde(rename = "i")]
    pub instance: Option<WholeNumber>,
}

/// `Clock`: begins a batch.
#[derive(Deserialize)]
pub struct Clock {
    /// The time of every event in the batch.
    #[serde(rename = "at-time-us")]
    pub now: WholeNumber,
    /// Number of the batch.
    pub round: WholeNumber,
}

/// `Born`: starts an instance.
#[derive(Deserialize)]
pub struct Born {
    /// Seed for the instance's random numbers.
    #[serde(rename = "nonce64")]
    pub seed: WholeNumber,
    /// The settings object.
    pub setup: Value,
}

/// `PeersKnown`: the endpoint list, or changes to it.
#[derive(Deserialize)]
struct PeersKnown {
    /// 1 or 3: all of the list. 2: changes. 0: the poll failed.
    mode: WholeNumber,
    #[serde(rename = "items")]
    entries: Option<Vec<Object<Entry>>>,
}

/// An entry of the endpoint list.
#[derive(Deserialize)]
struct Entry {
    #[serde(rename = "store")]
    server: WholeNumber,
    #[serde(rename = "campus")]
    zone: Option<String>,
    #[serde(rename = "group")]
    cell: Option<WholeNumber>,
    #[serde(rename = "shape")]
    kind: Option<String>,
    weight: Option<f64>,
    /// 1: ready. 2: draining. 0: gone.
    state: WholeNumber,
    /// 0: long ago.
    #[serde(rename = "born-us")]
    started: Option<WholeNumber>,
}

/// `Order`: a client's request.
#[derive(Deserialize)]
struct Order {
    #[serde(rename = "request-id")]
    request: WholeNumber,
    #[serde(rename = "grade")]
    class: String,
    #[serde(rename = "owner")]
    tenant: Option<Name>,
    #[serde(rename = "content-id")]
    object: Option<Name>,
    #[serde(rename = "segment")]
    part: Option<WholeNumber>,
    #[serde(rename = "purge-group")]
    group: Option<WholeNumber>,
    #[serde(rename = "length-kb")]
    size_kb: Option<f64>,
    /// Negative: the time is up.
    #[serde(rename = "remaining-us")]
    remaining_us: f64,
    /// A sum of bits; see [`RETRY_MARK`].
    marks: Option<WholeNumber>,
}

/// The bit of `marks` that a client's retry has.
const RETRY_MARK: u64 = 2;

/// `Accepted`: a streamed answer has begun.
#[derive(Deserialize)]
struct Accepted {
    #[serde(rename = "request-id")]
    request: WholeNumber,
    #[serde(rename = "go")]
    attempt: Option<WholeNumber>,
}

/// `Resolved`: an attempt has ended.
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

/// `ClientLeft`: the client has disconnected.
#[derive(Deserialize)]
struct ClientLeft {
    #[serde(rename = "request-id")]
    request: WholeNumber,
}

/// `Elapsed`: a timer has come due.
#[derive(Deserialize)]
struct Elapsed {
    #[serde(rename = "ctx")]
    tag: WholeNumber,
}

/// `CheckResult`: a probe has ended.
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

/// `Invalidated`: an object, or with none a whole group, was purged.
#[derive(Deserialize)]
struct Invalidated {
    #[serde(rename = "content-id")]
    object: Option<Name>,
    #[serde(rename = "batch-id")]
    group: Option<WholeNumber>,
    #[serde(rename = "how-old-us")]
    age_us: Option<WholeNumber>,
}

/// A server's load report. Values of another type are ignored: sites define their own.
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

/// A name; the number 0 where there is none.
struct Name(Option<String>);

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NameVisitor)
    }
}

struct NameVisitor;

impl Visitor<'_> for NameVisitor {
    type Value = Name;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a name or 0")
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Name, E> {
        Ok(Name(Some(value.to_owned())))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Name, E> {
        match value {
            0 => Ok(Name(None)),
            _ => Err(E::invalid_value(Unexpected::Unsigned(value), &self)),
        }
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Name, E> {
        match value {
            0.0 => Ok(Name(None)),
            _ => Err(E::invalid_value(Unexpected::Float(value), &self)),
        }
    }
}

/// Reads a line as a message of a known type.
pub fn read<'a, T: Deserialize<'a>>(event_type: &str, line: &'a str) -> Result<T, LineError> {
    read_str(line).map_err(|source| LineError::Field {
        event_type: event_type.to_owned(),
        source,
    })
}

/// Reads what every line has.
pub fn read_envelope(line: &str) -> Result<Envelope<'_>, LineError> {
    match read_str(line) {
        Ok(Object(envelope)) => Ok(envelope),
        Err(error) if error.source.is_data() => Err(LineError::NotAMessage(error)),
        Err(error) => Err(LineError::NotJson(error)),
    }
}

/// Reads an event for an instance that runs; none where the type is unknown. `Peer` is one of
/// these: instances do not send each other messages.
pub fn read_event(event_type: &str, line: &str) -> Result<Option<routing::Event>, LineError> {
    let event = match event_type {
        "PeersKnown" => read::<PeersKnown>(event_type, line)?.into(),
        "Order" => read::<Order>(event_type, line)?.into(),
        "Accepted" => read::<Accepted>(event_type, line)?.into(),
        "Resolved" => read::<Resolved>(event_type, line)?.into(),
        "ClientLeft" => read::<ClientLeft>(event_type, line)?.into(),
        "Elapsed" => read::<Elapsed>(event_type, line)?.into(),
        "CheckResult" => read::<CheckResult>(event_type, line)?.into(),
        "Invalidated" => read::<Invalidated>(event_type, line)?.into(),
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

impl From<Entry> for routing::Endpoint {
    fn from(entry: Entry) -> Self {
        routing::Endpoint {
            id: entry.server.0,
            zone: entry.zone.unwrap_or_default(),
            cell: WholeNumber::or(entry.cell, 0),
            kind: entry.kind.unwrap_or_default(),
            weight: entry.weight.unwrap_or(1.0),
            state: match entry.state.0 {
                1 => routing::EndpointState::Ready,
                2 => routing::EndpointState::Draining,
                _ => routing::EndpointState::Gone,
            },
            started_at: Some(WholeNumber::or(entry.started, 0)).filter(|started| *started > 0),
        }
    }
}

impl From<Order> for routing::Event {
    fn from(message: Order) -> Self {
        routing::Event::Request(routing::Request {
            id: message.request.0,
            class: message.class,
            tenant: message.tenant.and_then(|Name(name)| name),
            object: message
                .object
                .and_then(|Name(name)| name)
                .unwrap_or_default(),
            part: WholeNumber::or(message.part, 0),
            group: WholeNumber::or(message.group, 0),
            size_kb: message.size_kb.unwrap_or(0.0),
            remaining_us: message.remaining_us.max(0.0) as u64,
            is_retry: WholeNumber::or(message.marks, 0) & RETRY_MARK != 0,
        })
    }
}

impl From<Accepted> for routing::Event {
    fn from(message: Accepted) -> Self {
        routing::Event::StreamStarted {
            request: message.request.0,
            attempt: WholeNumber::or(message.attempt, 0) as u32,
        }
    }
}

impl From<Resolved<'_>> for routing::Event {
    fn from(message: Resolved<'_>) -> Self {
        routing::Event::AttemptEnded(routing::AttemptReport {
            request: message.request.0,
            attempt: WholeNumber::or(message.attempt, 0) as u32,
            server: message.server.0,
            outcome: outcome(&message.outcome),
            took_us: WholeNumber::or(message.took_us, 0),
            settled: message.settled.unwrap_or(false),
            fill_result: fill_result(WholeNumber::or(message.fill_result, 0)),
            fill_ttfb_us: WholeNumber::or(message.fill_ttfb_us, 0),
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
            took_us: WholeNumber::or(message.took_us, 0),
            load: message.load.map(|Object(report)| report.into()),
        }
    }
}

impl From<Invalidated> for routing::Event {
    fn from(message: Invalidated) -> Self {
        routing::Event::Purged {
            object: message.object.and_then(|Name(name)| name),
            group: WholeNumber::or(message.group, 0),
            age_us: WholeNumber::or(message.age_us, 0),
            permanent: false,
        }
    }
}

impl From<LoadReport> for routing::LoadReport {
    fn from(report: LoadReport) -> Self {
        routing::LoadReport {
            cpu_utilization: report.cpu_utilization.and_then(Tolerant::valid),
            in_flight: report.in_flight.and_then(Tolerant::valid),
            hit_ratio: report.hit_ratio.and_then(Tolerant::valid),
            link_utilization: report.link_utilization.and_then(Tolerant::valid),
        }
    }
}

fn outcome(word: &str) -> routing::Outcome {
    match word {
        "ok" => routing::Outcome::Ok,
        "full" => routing::Outcome::Rejected,
        "timeout" => routing::Outcome::Timeout,
        "connect_failed" => routing::Outcome::ConnectFailed,
        "reset" => routing::Outcome::Reset,
        "cancelled" => routing::Outcome::Cancelled,
        "moot" => routing::Outcome::NotSent,
        "miss" => routing::Outcome::Miss,
        // An attempt with an outcome that is not known here may have run, as with an error.
        _ => routing::Outcome::Error,
    }
}

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
