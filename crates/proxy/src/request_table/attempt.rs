//! One attempt: a request sent to one cache server, with its limits in time and the way in which it
//! ended.

use super::request::{Content, RequestKey};
use super::trace::TraceEvent;
use edge_routing::{AttemptReport, Fill, FillResult, LoadReport, Micros, Outcome, ServerId};

/// An attempt, by its request and its number among that request's attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request.
    pub request_key: RequestKey,
    /// Which of the request's attempts, counted from 0.
    pub number: u32,
}

/// What an upstream connection needs to know to send an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptSpec {
    /// The cache server.
    pub server: ServerId,
    /// How a miss is filled; none: only what the server has cached.
    pub fill: Option<Fill>,
    /// The oldest copy that will do, as an age in microseconds: the router's bound, or that of a
    /// purge that came since, as long as nothing of the attempt is written.
    pub max_age_us: Option<Micros>,
    /// When the attempt is cancelled at the latest.
    pub deadline: Micros,
    /// The attempt must not begin later than this.
    pub send_by: Option<Micros>,
}

/// How an attempt ended, as the upstream connection reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// Its outcome.
    pub outcome: Outcome,
    /// How the answer was made.
    pub fill_result: FillResult,
    /// Time to the first byte of the fill, in microseconds; 0: no fill, or unknown.
    pub fill_ttfb_us: Micros,
    /// The server's report of its load.
    pub load: Option<LoadReport>,
    /// What came with the outcome `Ok`.
    pub content: Option<Content>,
    /// When the origin gave out the copy that it comes from: a stamp of the origin, in Unix
    /// microseconds.
    pub copy_made_us: Option<u64>,
}

impl From<Outcome> for AttemptResult {
    /// The result of an attempt of which no more than the outcome is known.
    fn from(outcome: Outcome) -> Self {
        AttemptResult {
            outcome,
            fill_result: FillResult::Unknown,
            fill_ttfb_us: 0,
            load: None,
            content: None,
            copy_made_us: None,
        }
    }
}

/// What the router decided about the next attempt of a request.
#[derive(Clone, Copy)]
pub(super) struct AttemptOrder {
    pub(super) server: ServerId,
    /// Time-out from now on; none: the request's deadline alone.
    pub(super) timeout_us: Option<Micros>,
    pub(super) fill: Option<Fill>,
    pub(super) send_by: Option<Micros>,
}

/// An attempt that has started and is not reported ended.
#[derive(Clone, Copy)]
pub(super) struct InFlightAttempt {
    pub(super) number: u32,
    started_at: Micros,
    pub(super) spec: AttemptSpec,
    /// Once it is cancelled: the outcome to report when the cancellation is confirmed.
    cancelled_as: Option<Outcome>,
}

impl InFlightAttempt {
    pub(super) fn new(now: Micros, number: u32, deadline: Micros, order: AttemptOrder) -> Self {
        let spec = AttemptSpec {
            server: order.server,
            fill: order.fill,
            max_age_us: order.fill.and_then(|fill| fill.max_age_us),
            deadline,
            send_by: order.send_by,
        };
        InFlightAttempt {
            number,
            started_at: now,
            spec,
            cancelled_as: None,
        }
    }

    pub(super) fn is_cancelled(&self) -> bool {
        self.cancelled_as.is_some()
    }

    /// Marks the attempt as cancelled, to be reported with this outcome. False: it was cancelled
    /// before.
    pub(super) fn cancel(&mut self, outcome: Outcome) -> bool {
        if self.is_cancelled() {
            return false;
        }
        self.cancelled_as = Some(outcome);
        true
    }

    /// Accepts no copy older than this any more.
    pub(super) fn tighten_max_age(&mut self, max_age_us: Micros) {
        let bound = self
            .spec
            .max_age_us
            .map_or(max_age_us, |bound| bound.min(max_age_us));
        self.spec.max_age_us = Some(bound);
    }

    /// The outcome that counts. An answer that was in transit when the attempt was cancelled is
    /// still how it ended; only a confirmed cancellation is reported as what it was cancelled for.
    pub(super) fn effective_outcome(&self, reported: Outcome) -> Outcome {
        match reported {
            Outcome::Cancelled => self.cancelled_as.unwrap_or(reported),
            _ => reported,
        }
    }

    /// The ended attempt for the request's trace.
    pub(super) fn trace_event(&self, now: Micros, result: &AttemptResult) -> TraceEvent {
        TraceEvent {
            server: self.spec.server,
            source: self.spec.fill.map(|fill| fill.source),
            started_at: self.started_at,
            ended_at: now,
            outcome: result.outcome,
            fill_result: result.fill_result,
            fill_ttfb_us: result.fill_ttfb_us,
        }
    }

    /// The ended attempt for the router; `settled`: no answer to the request is owed any more.
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
