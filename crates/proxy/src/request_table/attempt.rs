//! An attempt to serve a request at one server: its parameters, its time limits, and how it ended.

use super::request::{Content, RequestKey};
use super::servers::DedupLocation;
use super::trace::AttemptTrace;
use edge_routing::{AttemptReport, Fill, FillResult, LoadReport, Micros, Outcome, ServerId};

/// Identifies an attempt by its request and by its number among the attempts of that request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// Key of the request.
    pub request_key: RequestKey,
    /// Number of the attempt within its request, counted from 0.
    pub number: u32,
}

/// The parameters with which an upstream connection sends an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptSpec {
    /// The server that the attempt is sent to. It may be a cache server or the origin.
    pub server: ServerId,
    /// How the server fills a miss. `None` means that it may serve only what it has cached.
    pub fill: Option<Fill>,
    /// Maximum age of an acceptable copy, in microseconds. This is the router's bound, or a lower
    /// one set by a purge that arrived later. A purge does not affect an attempt whose command is
    /// already in the output buffer. With `None`, the freshness lifetime of the class applies.
    pub max_age_us: Option<Micros>,
    /// Time at which the attempt is cancelled if it has not ended before, in microseconds on the
    /// clock of the event loop.
    pub deadline: Micros,
    /// Latest time to send the attempt, in microseconds on the clock of the event loop, or `None`
    /// for no limit.
    pub send_by: Option<Micros>,
}

/// How an attempt ended, as the upstream connection reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// Where the answer came from, or why a fill failed.
    pub fill_result: FillResult,
    /// Time to first byte of the fill, in microseconds. 0 means no fill, or an unknown time.
    pub fill_ttfb_us: Micros,
    /// The server's load report, if the answer carries one.
    pub load: Option<LoadReport>,
    /// The content of the answer. Used only with the outcome `Ok`.
    pub content: Option<Content>,
    /// When the copy in the answer was created, in Unix microseconds. The origin sets this
    /// timestamp when it sends the copy. `None` if the answer carries no timestamp.
    pub copy_created_at_us: Option<u64>,
}

impl From<Outcome> for AttemptResult {
    /// Creates the result of an attempt of which only the outcome is known.
    fn from(outcome: Outcome) -> Self {
        AttemptResult {
            outcome,
            fill_result: FillResult::Unknown,
            fill_ttfb_us: 0,
            load: None,
            content: None,
            copy_created_at_us: None,
        }
    }
}

/// The router's decision about the next attempt of a request.
#[derive(Clone, Copy)]
pub(super) struct RoutingDecision {
    /// The server that the attempt is sent to.
    pub(super) server: ServerId,
    /// Timeout of the attempt, counted from its start. With `None`, only the deadline of the
    /// request applies.
    pub(super) timeout_us: Option<Micros>,
    /// How the server fills a miss. `None` means that it may serve only what it has cached.
    pub(super) fill: Option<Fill>,
    /// Latest time to send the attempt, or `None` for no limit.
    pub(super) send_by: Option<Micros>,
}

/// The first attempt of a request that a server may have executed.
#[derive(Clone, Copy)]
pub(super) struct PossibleExecution {
    /// When the attempt was started, which is no later than it was sent.
    pub(super) started_at: Micros,
    /// Where the server was when the attempt was started. `None` if the server was gone.
    pub(super) location: Option<DedupLocation>,
}

/// An attempt that was started and has not been reported as ended.
#[derive(Clone, Copy)]
pub(super) struct InFlightAttempt {
    pub(super) number: u32,
    started_at: Micros,
    /// Where the server was when the attempt was started. `None` if the server was gone.
    location: Option<DedupLocation>,
    pub(super) spec: AttemptSpec,
    /// The outcome to report when the cancellation of the attempt is confirmed. `None` if the
    /// attempt is not cancelled.
    cancellation_outcome: Option<Outcome>,
}

impl RoutingDecision {
    /// Returns the parameters of the attempt. It ends at `deadline`.
    pub(super) fn to_spec(self, deadline: Micros) -> AttemptSpec {
        AttemptSpec {
            server: self.server,
            fill: self.fill,
            max_age_us: self.fill.and_then(|fill| fill.max_age_us),
            deadline,
            send_by: self.send_by,
        }
    }
}

impl InFlightAttempt {
    pub(super) fn new(
        now: Micros,
        number: u32,
        spec: AttemptSpec,
        location: Option<DedupLocation>,
    ) -> Self {
        InFlightAttempt {
            number,
            started_at: now,
            location,
            spec,
            cancellation_outcome: None,
        }
    }

    /// Returns the attempt as a possible execution of its request.
    pub(super) fn possible_execution(&self) -> PossibleExecution {
        PossibleExecution {
            started_at: self.started_at,
            location: self.location,
        }
    }

    pub(super) fn is_cancelled(&self) -> bool {
        self.cancellation_outcome.is_some()
    }

    /// Marks the attempt as cancelled. A confirmed cancellation is then reported with this outcome.
    /// Returns `false` if the attempt was already cancelled.
    pub(super) fn cancel(&mut self, outcome: Outcome) -> bool {
        if self.is_cancelled() {
            return false;
        }
        self.cancellation_outcome = Some(outcome);
        true
    }

    /// Lowers the maximum age of an acceptable copy to at most `max_age_us`.
    pub(super) fn lower_max_age(&mut self, max_age_us: Micros) {
        let bound = self
            .spec
            .max_age_us
            .map_or(max_age_us, |bound| bound.min(max_age_us));
        self.spec.max_age_us = Some(bound);
    }

    /// Returns the outcome to record if the upstream connection reports the outcome `reported`. A
    /// confirmed cancellation is recorded with the outcome that `cancel` set. Any other outcome is
    /// recorded as reported, for example if the answer was in transit when the attempt was
    /// cancelled.
    pub(super) fn effective_outcome(&self, reported: Outcome) -> Outcome {
        match reported {
            Outcome::Cancelled => self.cancellation_outcome.unwrap_or(reported),
            _ => reported,
        }
    }

    /// Returns the entry for this attempt in the trace of its request. The attempt ended at `now`.
    pub(super) fn attempt_trace(&self, now: Micros, result: &AttemptResult) -> AttemptTrace {
        AttemptTrace {
            server: self.spec.server,
            source: self.spec.fill.map(|fill| fill.source),
            started_at: self.started_at,
            ended_at: now,
            outcome: result.outcome,
            fill_result: result.fill_result,
            fill_ttfb_us: result.fill_ttfb_us,
        }
    }

    /// Returns the report to the router that the attempt ended at `now`. `settled` says whether the
    /// request has its final answer or needs none, because its client disconnected.
    pub(super) fn report(
        &self,
        now: Micros,
        request_key: RequestKey,
        result: &AttemptResult,
        settled: bool,
    ) -> AttemptReport {
        AttemptReport {
            request: request_key.to_u64(),
            attempt: self.number,
            server: self.spec.server,
            outcome: result.outcome,
            took_us: now.saturating_sub(self.started_at),
            settled,
            fill_result: result.fill_result,
            fill_ttfb_us: result.fill_ttfb_us,
            load: result.load,
        }
    }
}
