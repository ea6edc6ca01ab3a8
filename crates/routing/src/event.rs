//! The events that a router handles.

use crate::settings::Micros;

/// The id of a cache server, parent or origin in the endpoint list.
pub type ServerId = u64;
/// The number by which the router and its caller identify a client's request. The caller assigns it
/// and never reuses it, unlike an id that a client chooses.
pub type RequestId = u64;

/// The lifecycle state of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The server accepts requests.
    Ready,
    /// The server finishes the requests that it has and accepts no others.
    Draining,
    /// The server no longer exists.
    #[default]
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The server's id.
    pub id: ServerId,
    /// Name of the server's zone.
    pub zone: String,
    /// Number of the server's cell. Servers of a cell share the idempotency keys that they have
    /// received, so a repeat is dropped by whichever server of the cell it reaches.
    pub cell: u64,
    /// Name of the server's kind, which determines its role: a parent if it is
    /// [`Settings::parent_kind`](crate::Settings::parent_kind), the origin if it is
    /// [`Settings::origin_kind`](crate::Settings::origin_kind), otherwise a cache server.
    pub kind: String,
    /// The capacity of the server's link in transfers at full rate. Not used unless
    /// [`Settings::weights_are_capacities`](crate::Settings::weights_are_capacities) is set.
    pub weight: f64,
    /// The server's lifecycle state.
    pub state: EndpointState,
    /// When the server last started, on the router's clock. None if that is unknown, in which case
    /// the server counts as started long ago.
    pub started_at: Option<Micros>,
}

/// How much of the endpoint list an event contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListMode {
    /// The complete list. Servers that are not in it are gone.
    Snapshot,
    /// Changed entries only.
    Delta,
    /// Nothing, because the list could not be fetched. The router requests it again later.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The request's id.
    pub id: RequestId,
    /// Name of the request's class.
    pub class: String,
    /// Name of the tenant, or None if the request has none.
    pub tenant: Option<String>,
    /// Name of the requested object.
    pub object: String,
    /// Number of the requested part of the object.
    pub part: u64,
    /// Number of the purge group that contains the object.
    pub purge_group: u64,
    /// Size of this part in KB; 0 if unknown.
    pub size_kb: f64,
    /// Time until the client stops waiting for the answer.
    pub remaining_us: Micros,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered the request.
    Ok,
    /// The server failed the request, which may have taken effect.
    Error,
    /// The server rejected the request without processing it, or the source rejected the fill.
    Rejected,
    /// No answer arrived in time. The request may have taken effect, or may still do so.
    Timeout,
    /// No connection was established, so the request had no effect.
    ConnectFailed,
    /// The connection broke. The request may have taken effect.
    Reset,
    /// The attempt was cancelled. The request may have taken effect.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// The server has no acceptable copy, and none was filled.
    Miss,
}

impl Outcome {
    /// Returns whether it is certain that the request was not executed and so had no effect.
    pub fn rules_out_execution(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Miss
        )
    }
}

/// Where an answer came from, or why a fill failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillResult {
    /// Not reported.
    Unknown,
    /// From a copy in the cache.
    Hit,
    /// Filled from the source's copy.
    Filled,
    /// Filled from the origin, directly or through a parent.
    FilledFromOrigin,
    /// From a fill in progress that the request waited for.
    Coalesced,
    /// From a copy past its freshness lifetime.
    Stale,
    /// The source rejected the fill.
    SourceRejected,
    /// The source could not be reached, broke the connection or was too slow.
    SourceUnreachable,
    /// The source does not have the object.
    SourceMiss,
    /// All fill slots of the cache server are in use.
    NoFillSlot,
    /// The origin behind the parent failed.
    OriginFailed,
}

impl FillResult {
    /// Returns whether the source of the fill, or the origin behind it, failed.
    pub(crate) fn source_failed(self) -> bool {
        matches!(
            self,
            FillResult::SourceRejected | FillResult::SourceUnreachable | FillResult::OriginFailed
        )
    }
}

/// A server's report of its load. Values that the server does not report are None.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Utilization of the server's cores, from 0 to 1.
    pub cpu_utilization: Option<f64>,
    /// Requests in flight at the server.
    pub in_flight: Option<f64>,
    /// The server's recent share of cache hits, from 0 to 1.
    pub hit_ratio: Option<f64>,
    /// For a cache server, the utilization of the network link of its location. A parent reports
    /// the number of its fetches in flight in this field.
    pub link_utilization: Option<f64>,
}

/// An event that a router handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list, or changes to it.
    EndpointList {
        /// How much of the list `endpoints` contains.
        mode: EndpointListMode,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request, which the router must give one final answer.
    Request(Request),
    /// The streamed answer of an attempt has begun.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// Number of the attempt, counted from 0.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded(AttemptReport),
    /// The client disconnected, so its request needs no answer any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer expired.
    Timer {
        /// The tag that [`Action::SetTimer`](crate::Action::SetTimer) gave the timer.
        tag: u64,
    },
    /// A probe ended.
    ProbeEnded {
        /// The server.
        server: ServerId,
        /// How the probe ended.
        outcome: Outcome,
        /// Time from the sending of the probe to its end.
        took_us: Micros,
        /// The server's load report, or None if it sent none.
        load: Option<LoadReport>,
    },
    /// The times of all server starts and purges that the router knows lie further in the past than
    /// reported, because the router's clock is late by more than was known. Permanent purges are
    /// not affected.
    TimestampsMovedEarlier {
        /// How much earlier these times are, in microseconds.
        by_us: Micros,
    },
    /// An object or a whole purge group was purged.
    Purged {
        /// Name of the object, or None for the whole purge group.
        object: Option<String>,
        /// The purge group. It is ignored if an object is named.
        purge_group: u64,
        /// Time since the purge.
        age_us: Micros,
        /// Whether the purge never expires. Servers are not notified of a permanent purge, so they
        /// keep their purged copies.
        permanent: bool,
    },
}

/// The report that an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptReport {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, counted from 0.
    pub attempt: u32,
    /// The server that the attempt was sent to.
    pub server: ServerId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from the router's decision to send the attempt to the end of the attempt.
    pub took_us: Micros,
    /// Whether the request is settled: it has its final answer, or its client disconnected. The
    /// router then neither starts a further attempt nor gives an answer.
    pub settled: bool,
    /// Where the answer came from, or why the fill failed.
    pub fill_result: FillResult,
    /// Time to first byte of the fill, or 0 if there was no fill or the time is unknown.
    pub fill_ttfb_us: Micros,
    /// The server's load report, or None if it sent none.
    pub load: Option<LoadReport>,
}

impl AttemptReport {
    /// Returns the duration of the attempt in seconds.
    pub(crate) fn took_s(&self) -> f64 {
        self.took_us as f64 / 1e6
    }

    /// Returns whether the attempt was answered from the server's own copy.
    pub(crate) fn is_hit(&self) -> bool {
        self.outcome == Outcome::Ok
            && matches!(self.fill_result, FillResult::Hit | FillResult::Stale)
    }

    /// Returns whether the attempt was answered from a copy that was filled for it.
    pub(crate) fn is_filled(&self) -> bool {
        let filled = [FillResult::Filled, FillResult::FilledFromOrigin];
        self.outcome == Outcome::Ok && filled.contains(&self.fill_result)
    }
}
