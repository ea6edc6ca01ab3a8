//! What became of a request, for the log: its attempts from first to last, in one line.

use edge_routing::{FillResult, Micros, Outcome, ServerId};
use std::fmt::Write;

/// An attempt that has ended.
#[derive(Clone, Copy, Debug)]
pub struct TraceEvent {
    /// The box.
    pub server: ServerId,
    /// The source of its fill; the box itself: none.
    pub source: Option<ServerId>,
    /// When the module sent it.
    pub sent: Micros,
    /// When it ended.
    pub ended: Micros,
    /// How it ended.
    pub outcome: Outcome,
    /// How the answer was made.
    pub fill_result: FillResult,
    /// The fill's wait for its first byte.
    pub fill_ttfb_us: Micros,
}

/// The attempts of a request, as many as the module may make, and how it ended.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    asked: Micros,
    steps: Vec<TraceEvent>,
    end: Option<(Micros, &'static str)>,
}

impl RequestTrace {
    /// The trace of a request that came at this time.
    pub fn new(asked: Micros) -> Self {
        RequestTrace {
            asked,
            steps: Vec::new(),
            end: None,
        }
    }

    /// An attempt has ended.
    pub fn step(&mut self, step: TraceEvent) {
        self.steps.push(step);
    }

    /// The request has ended, though an attempt may still be out.
    pub fn end(&mut self, now: Micros, how: &'static str) {
        self.end = Some((now, how));
    }

    /// Served by its first attempt, in the first half of its time: nothing to tell.
    pub fn is_smooth(&self, deadline: Micros) -> bool {
        let half = self.asked + deadline.saturating_sub(self.asked) / 2;
        self.steps.len() == 1
            && self
                .end
                .is_some_and(|(at, how)| how == "served" && at <= half)
    }

    /// All of it in one line; `uid` gives the name of a box that is still listed.
    pub fn line<'a>(&self, uid: impl Fn(ServerId) -> Option<&'a str>) -> String {
        let mut out = String::new();
        let ms = |at: Micros| at.saturating_sub(self.asked) as f64 / 1e3;
        let name = |id: ServerId| uid(id).map_or_else(|| format!("#{id:016x}"), str::to_owned);
        // Writing into a string can't fail.
        if let Some((at, how)) = self.end {
            let _ = write!(out, "{how} after {:.1} ms", ms(at));
        }
        for s in &self.steps {
            let _ = write!(
                out,
                "; {:.1} to {:.1}: {}",
                ms(s.sent),
                ms(s.ended),
                name(s.server)
            );
            if let Some(source) = s.source.filter(|source| *source != s.server) {
                let _ = write!(out, " from {}", name(source));
            }
            let _ = write!(out, " {:?}", s.outcome);
            if s.fill_result != FillResult::Unknown {
                let _ = write!(out, " {:?}", s.fill_result);
            }
            if s.fill_ttfb_us > 0 {
                let _ = write!(out, " waited {:.1}", s.fill_ttfb_us as f64 / 1e3);
            }
        }
        out
    }
}

/// Lines that may be written in a second.
#[derive(Clone, Copy, Debug)]
pub struct LogRateLimiter {
    most: u32,
    second: u64,
    used: u32,
    passed_over: u32,
}

impl LogRateLimiter {
    /// So many lines a second.
    pub fn new(most: u32) -> Self {
        LogRateLimiter {
            most,
            second: 0,
            used: 0,
            passed_over: 0,
        }
    }

    /// Whether one more line may be written; what to add to it where some were not.
    pub fn take(&mut self, now: Micros) -> Option<String> {
        if self.second != now / 1_000_000 {
            (self.second, self.used) = (now / 1_000_000, 0);
        }
        if self.used >= self.most {
            self.passed_over = self.passed_over.saturating_add(1);
            return None;
        }
        self.used += 1;
        let passed_over = std::mem::take(&mut self.passed_over);
        Some(if passed_over > 0 {
            format!(" ({passed_over} lines passed over)")
        } else {
            String::new()
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_tells_every_attempt_and_smooth_requests_have_none() {
        let mut trace = RequestTrace::new(1_000_000);
        let step = TraceEvent {
            server: 1,
            source: Some(2),
            sent: 1_000_500,
            ended: 1_020_000,
            outcome: Outcome::Rejected,
            fill_result: FillResult::SourceUnreachable,
            fill_ttfb_us: 7_500,
        };
        trace.step(step);
        trace.step(TraceEvent {
            server: 3,
            source: Some(3),
            fill_result: FillResult::Unknown,
            fill_ttfb_us: 0,
            ..step
        });
        trace.end(1_030_000, "refused");
        let line = trace.line(|id| (id < 3).then_some("s-1"));
        let first = "0.5 to 20.0: s-1 from s-1 Rejected SourceUnreachable waited 7.5";
        assert_eq!(
            line,
            format!("refused after 30.0 ms; {first}; 0.5 to 20.0: #0000000000000003 Rejected")
        );
        assert!(!trace.is_smooth(2_000_000));
        let mut served = RequestTrace::new(0);
        served.step(step);
        served.end(50, "served");
        assert!(served.is_smooth(100) && !served.is_smooth(99));
    }

    #[test]
    fn a_flood_does_not_fill_the_log() {
        let mut budget = LogRateLimiter::new(2);
        let mut take = |at| budget.take(at);
        let none = Some(String::new());
        assert_eq!(
            [take(0), take(1), take(2), take(999_999)],
            [none.clone(), none.clone(), None, None]
        );
        assert_eq!(
            [take(1_000_000), take(1_000_001)],
            [Some(" (2 lines passed over)".to_owned()), none]
        );
    }
}
