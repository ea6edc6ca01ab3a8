//! The trace of a request: its attempts in order and how it ended, written as one log line.

use super::log_rate::LogRateLimiter;
use super::request::{Answer, PendingRequest};
use super::servers::ServerDirectory;
use edge_routing::{FillResult, Micros, Outcome, ServerId};
use std::fmt::{self, Write};

/// The trace of an attempt that has ended. Times are in microseconds of the loop's clock.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTrace {
    /// The cache server that the attempt was sent to.
    pub server: ServerId,
    /// The fill source. If it is `server` itself, there was no fill. `None` means that the server
    /// could serve only what it had cached.
    pub source: Option<ServerId>,
    /// When the attempt was started.
    pub started_at: Micros,
    /// When the attempt ended.
    pub ended_at: Micros,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// How the server obtained the answer.
    pub fill_result: FillResult,
    /// Time to first byte of the fill, in microseconds. 0 means no fill, or an unknown time.
    pub fill_ttfb_us: Micros,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnding {
    /// A cache server served the request.
    Served,
    /// The request was rejected.
    Rejected,
    /// The request failed.
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

/// The ended attempts of a request and how the request ended. The length of a trace is bounded by
/// the router's limit on attempts.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    admitted_at: Micros,
    attempts: Vec<AttemptTrace>,
    end: Option<TraceEnd>,
}

impl RequestTrace {
    /// Creates the trace of a request that was admitted at `admitted_at`.
    pub fn new(admitted_at: Micros) -> Self {
        RequestTrace {
            admitted_at,
            attempts: Vec::new(),
            end: None,
        }
    }

    /// Records an attempt that has ended.
    pub fn attempt_ended(&mut self, attempt: AttemptTrace) {
        self.attempts.push(attempt);
    }

    /// Records how the request ended. An attempt may still be in flight at that time.
    pub fn end(&mut self, now: Micros, ending: RequestEnding) {
        self.end = Some(TraceEnd { at: now, ending });
    }

    /// Returns whether the request was served by its first attempt within the first half of the
    /// time until its deadline. Such a request is not worth a log line.
    pub fn is_promptly_served(&self, deadline: Micros) -> bool {
        let half_time = self.admitted_at + deadline.saturating_sub(self.admitted_at) / 2;
        let served_in_half_time = self
            .end
            .is_some_and(|end| end.ending == RequestEnding::Served && end.at <= half_time);
        self.attempts.len() == 1 && served_in_half_time
    }

    /// Returns the whole trace as one line, with times in milliseconds since the admission.
    /// `wire_id_of` returns the wire id of a server that is still listed; any other server is shown
    /// by its router id.
    pub fn to_log_line<'a>(&self, wire_id_of: impl Fn(ServerId) -> Option<&'a str>) -> String {
        let mut line = String::new();
        if let Some(end) = self.end {
            let after_ms = self.ms_since_admission(end.at);
            // Writing to a string can't fail, here and below.
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
        attempt: &AttemptTrace,
        wire_id_of: &impl Fn(ServerId) -> Option<&'a str>,
    ) {
        let display_name =
            |id: ServerId| wire_id_of(id).map_or_else(|| format!("#{id:016x}"), str::to_owned);
        let started_ms = self.ms_since_admission(attempt.started_at);
        let ended_ms = self.ms_since_admission(attempt.ended_at);
        let server = display_name(attempt.server);
        let _ = write!(
            line,
            "; attempt from {started_ms:.1} to {ended_ms:.1} ms at {server}"
        );
        if let Some(source) = attempt.source.filter(|source| *source != attempt.server) {
            let _ = write!(line, ", fill source {}", display_name(source));
        }
        let _ = write!(line, ": {:?}", attempt.outcome);
        if attempt.fill_result != FillResult::Unknown {
            let _ = write!(line, ", {:?}", attempt.fill_result);
        }
        if attempt.fill_ttfb_us > 0 {
            let _ = write!(line, ", fill TTFB {:.1} ms", us_to_ms(attempt.fill_ttfb_us));
        }
    }

    fn ms_since_admission(&self, at: Micros) -> f64 {
        us_to_ms(at.saturating_sub(self.admitted_at))
    }
}

fn us_to_ms(duration_us: Micros) -> f64 {
    duration_us as f64 / 1e3
}

/// Logs the traces of requests that were not promptly served, so that the operators on call can
/// follow a request by its id.
pub(super) struct TraceLog {
    limiter: LogRateLimiter,
}

impl TraceLog {
    pub(super) fn new(lines_per_second: u32) -> Self {
        TraceLog {
            limiter: LogRateLimiter::new(lines_per_second),
        }
    }

    /// Logs the trace of a complete request, unless the request was promptly served or the limit on
    /// lines in this second is reached.
    pub(super) fn write(
        &mut self,
        now: Micros,
        pending: &PendingRequest,
        servers: &ServerDirectory,
    ) {
        // The checks come first so that only lines that would have been written count as
        // suppressed.
        if pending.trace.is_promptly_served(pending.deadline)
            || !log::log_enabled!(log::Level::Info)
        {
            return;
        }
        let Some(suppressed) = self.limiter.try_acquire(now) else {
            return;
        };
        let request = &pending.request;
        let budget_ms = request.remaining_us / 1000;
        let line = pending.trace.to_log_line(|id| servers.wire_id_of(id));
        log::info!(
            "request {} for object {}, part {} ({} KB), due within {budget_ms} ms: \
             {line}{suppressed}",
            request.id,
            request.object,
            request.part,
            request.size_kb
        );
    }
}
