//! The trace of a request: its attempts from first to last and its ending, for one line in the log.

use super::log_rate::LogRateLimiter;
use super::request::{Answer, PendingRequest};
use super::servers::ServerDirectory;
use edge_routing::{FillResult, Micros, Outcome, ServerId};
use std::fmt::{self, Write};

/// An attempt that has ended. Times in microseconds of the loop's clock.
#[derive(Clone, Copy, Debug)]
pub struct TraceEvent {
    /// The cache server.
    pub server: ServerId,
    /// The source of its fill; the server itself: no fill.
    pub source: Option<ServerId>,
    /// When the attempt was started.
    pub started_at: Micros,
    /// When it ended.
    pub ended_at: Micros,
    /// How it ended.
    pub outcome: Outcome,
    /// How the answer was made.
    pub fill_result: FillResult,
    /// Time to the first byte of the fill, in microseconds; 0: no fill, or unknown.
    pub fill_ttfb_us: Micros,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnding {
    /// A cache server served it.
    Served,
    /// It was rejected.
    Rejected,
    /// It failed.
    Failed,
    /// The client disconnected before the answer.
    ClientDisconnected,
}

impl From<&Answer> for RequestEnding {
    fn from(answer: &Answer) -> Self {
        match answer {
            Answer::Served(_) => RequestEnding::Served,
            Answer::Rejected { .. } => RequestEnding::Rejected,
            Answer::Failed => RequestEnding::Failed,
        }
    }
}

impl fmt::Display for RequestEnding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            RequestEnding::Served => "served",
            RequestEnding::Rejected => "rejected",
            RequestEnding::Failed => "failed",
            RequestEnding::ClientDisconnected => "client disconnected",
        })
    }
}

#[derive(Clone, Copy, Debug)]
struct TraceEnd {
    at: Micros,
    ending: RequestEnding,
}

/// The ended attempts of a request and how the request ended. The router's limit on attempts bounds
/// its length.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    admitted_at: Micros,
    attempts: Vec<TraceEvent>,
    end: Option<TraceEnd>,
}

impl RequestTrace {
    /// The trace of a request that was admitted at this time.
    pub fn new(admitted_at: Micros) -> Self {
        RequestTrace {
            admitted_at,
            attempts: Vec::new(),
            end: None,
        }
    }

    /// Records an attempt that has ended.
    pub fn attempt_ended(&mut self, attempt: TraceEvent) {
        self.attempts.push(attempt);
    }

    /// Records how the request ended, though an attempt may still be in flight.
    pub fn end(&mut self, now: Micros, ending: RequestEnding) {
        self.end = Some(TraceEnd { at: now, ending });
    }

    /// Whether the request was served by its first attempt, in the first half of its time: nothing
    /// worth a log line.
    pub fn is_smooth(&self, deadline: Micros) -> bool {
        let half_time = self.admitted_at + deadline.saturating_sub(self.admitted_at) / 2;
        let served_in_half_time = self
            .end
            .is_some_and(|end| end.ending == RequestEnding::Served && end.at <= half_time);
        self.attempts.len() == 1 && served_in_half_time
    }

    /// The whole trace in one line, times in milliseconds since the admission. `wire_id_of` gives
    /// the id of a server that is still listed; any other is shown by its number.
    pub fn line<'a>(&self, wire_id_of: impl Fn(ServerId) -> Option<&'a str>) -> String {
        let mut line = String::new();
        if let Some(end) = self.end {
            let after_ms = self.ms_since_admission(end.at);
            // Writing into a string can't fail, here and below.
            let _ = write!(line, "{} after {after_ms:.1} ms", end.ending);
        }
        for attempt in &self.attempts {
            self.write_attempt(&mut line, attempt, &wire_id_of);
        }
        line
    }

    fn write_attempt<'a>(
        &self,
        line: &mut String,
        attempt: &TraceEvent,
        wire_id_of: &impl Fn(ServerId) -> Option<&'a str>,
    ) {
        let name =
            |id: ServerId| wire_id_of(id).map_or_else(|| format!("#{id:016x}"), str::to_owned);
        let started_ms = self.ms_since_admission(attempt.started_at);
        let ended_ms = self.ms_since_admission(attempt.ended_at);
        let server = name(attempt.server);
        let _ = write!(line, "; {started_ms:.1} to {ended_ms:.1}: {server}");
        if let Some(source) = attempt.source.filter(|source| *source != attempt.server) {
            let _ = write!(line, " from {}", name(source));
        }
        let _ = write!(line, " {:?}", attempt.outcome);
        if attempt.fill_result != FillResult::Unknown {
            let _ = write!(line, " {:?}", attempt.fill_result);
        }
        if attempt.fill_ttfb_us > 0 {
            let _ = write!(line, " ttfb {:.1}", as_ms(attempt.fill_ttfb_us));
        }
    }

    fn ms_since_admission(&self, at: Micros) -> f64 {
        as_ms(at.saturating_sub(self.admitted_at))
    }
}

fn as_ms(duration_us: Micros) -> f64 {
    duration_us as f64 / 1e3
}

/// Writes the traces of requests that did not go smoothly: on-call follows a request by its id.
pub(super) struct TraceLog {
    limiter: LogRateLimiter,
}

impl TraceLog {
    pub(super) fn new(lines_per_second: u32) -> Self {
        TraceLog {
            limiter: LogRateLimiter::new(lines_per_second),
        }
    }

    /// Logs a request that is complete, unless it went smoothly or too many lines were written this
    /// second.
    pub(super) fn write(
        &mut self,
        now: Micros,
        pending: &PendingRequest,
        servers: &ServerDirectory,
    ) {
        // Suppressed lines are counted only where they would have been written.
        if pending.trace.is_smooth(pending.deadline) || !log::log_enabled!(log::Level::Info) {
            return;
        }
        let Some(suppressed) = self.limiter.take(now) else {
            return;
        };
        let request = &pending.request;
        let budget_ms = request.remaining_us / 1000;
        let line = pending.trace.line(|id| servers.wire_id_of(id));
        log::info!(
            "request {} {}/{} {} KB, {budget_ms} ms: {line}{suppressed}",
            request.id,
            request.object,
            request.part,
            request.size_kb
        );
    }
}
