//! The events that a router handles.

use crate::settings::Micros;

/// A cache server, parent or origin, by the id that the endpoint list gives it.
pub type ServerId = u64;
/// A client's request, by a number that is never used twice.
pub type RequestId = u64;

/// Where a server is in its life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    #[default]
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The server's id.
    pub id: ServerId,
    /// Name of its zone.
    pub zone: String,
    /// Its cell: servers that share which idempotency keys they have seen.
    pub cell: u64,
    /// Its kind.
    pub kind: String,
    /// Its size; see [`Settings::weights_known`](crate::Settings::weights_known).
    pub weight: f64,
    /// Where it is in its life.
    pub state: EndpointState,
    /// When it last started; none: long ago.
    pub started: Option<Micros>,
}

/// How much of the endpoint list an event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListMode {
    /// All of it; a server that is not named is gone.
    Snapshot,
    /// Changed entries only.
    Delta,
    /// The poll for it failed.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Name of its class.
    pub class: String,
    /// Its tenant.
    pub tenant: Option<String>,
    /// The object asked for.
    pub object: String,
    /// Which part of the object.
    pub part: u64,
    /// The object's group, as purges may name it.
    pub group: u64,
    /// Size of this part in KB; 0: unknown.
    pub size_kb: f64,
    /// Time until the client gives up.
    pub remaining_us: Micros,
    /// The client marked it as a retry.
    pub is_retry: bool,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server failed it; it may have run.
    Error,
    /// Rejected unseen, or the source of its fill rejected.
    Rejected,
    /// No answer in time; it may have run or still run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// No copy that will do, and none was filled.
    Miss,
}

impl Outcome {
    /// The request surely had no effect.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Miss
        )
    }
}

/// How an answer was made, or why a fill failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillResult {
    /// Not reported.
    Unknown,
    /// Found in the cache.
    Hit,
    /// Filled from the source's copy.
    Filled,
    /// Filled by way of the origin.
    FilledFromOrigin,
    /// Waited for a fill that was under way.
    Coalesced,
    /// A copy past its freshness lifetime.
    Stale,
    /// The source rejected the fill.
    SourceRejected,
    /// The source was not reached, broke off or was too slow.
    SourceUnreachable,
    /// The source lacks the object.
    SourceMiss,
    /// All slots for fills are taken in the cache server.
    NoFillSlot,
    /// The origin failed behind the parent.
    OriginFailed,
}

impl FillResult {
    /// The source of the fill, or the origin behind it, failed.
    pub(crate) fn source_failed(self) -> bool {
        matches!(
            self,
            FillResult::SourceRejected | FillResult::SourceUnreachable | FillResult::OriginFailed
        )
    }
}

/// A server's report of its load; values that it does not report are absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// How busy its cores are, from 0 to 1.
    pub cpu_utilization: Option<f64>,
    /// Requests in flight at it.
    pub in_flight: Option<f64>,
    /// Its recent share of hits.
    pub hit_ratio: Option<f64>,
    /// Of a cache server: how busy its location's link is. Of a parent: fetches in flight.
    pub link_utilization: Option<f64>,
}

/// What happened, as a router is notified of it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list, or changes to it.
    EndpointList {
        /// How much of it.
        mode: EndpointListMode,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request; the router owes it one final answer.
    Request(Request),
    /// A streamed answer has begun.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// Which attempt, counted from 0.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded(AttemptReport),
    /// The client disconnected: no answer is owed any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer came due.
    Timer {
        /// As given in [`Action::SetTimer`](crate::Action::SetTimer).
        tag: u64,
    },
    /// A probe ended.
    ProbeEnded {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took_us: Micros,
        /// The server's report.
        load: Option<LoadReport>,
    },
    /// The times of purges that are not permanent and of the starts of servers, so far as they came
    /// before, turn out to lie further back on this router's clock.
    TimesMovedBack {
        /// By how much, in microseconds.
        by_us: Micros,
    },
    /// An object, or with no object a whole group, was purged.
    Purged {
        /// The object.
        object: Option<String>,
        /// Its group.
        group: u64,
        /// Time since the purge.
        age_us: Micros,
        /// The servers are not notified of it: they drop nothing by themselves, so it holds for
        /// good.
        permanent: bool,
    },
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptReport {
    /// The request.
    pub request: RequestId,
    /// Which attempt, counted from 0.
    pub attempt: u32,
    /// The server tried.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub took_us: Micros,
    /// The request has its final answer.
    pub settled: bool,
    /// How the answer was made.
    pub fill_result: FillResult,
    /// Time to first byte of the fill.
    pub fill_ttfb_us: Micros,
    /// The server's report.
    pub load: Option<LoadReport>,
}

impl AttemptReport {
    /// Time since it was sent, in seconds.
    pub(crate) fn took_s(&self) -> f64 {
        self.took_us as f64 / 1e6
    }

    /// Served from the server's own copy.
    pub(crate) fn is_hit(&self) -> bool {
        self.outcome == Outcome::Ok
            && matches!(self.fill_result, FillResult::Hit | FillResult::Stale)
    }

    /// Served from a copy that was filled for it.
    pub(crate) fn is_filled(&self) -> bool {
        let filled = [FillResult::Filled, FillResult::FilledFromOrigin];
        self.outcome == Outcome::Ok && filled.contains(&self.fill_result)
    }
}
