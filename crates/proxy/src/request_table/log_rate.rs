//! A bound on log lines per second, so that a flood of bad requests does not fill the log.

use edge_routing::Micros;
use std::fmt;

const MICROS_PER_SECOND: Micros = 1_000_000;

/// Lets a fixed number of lines through in each whole second of the clock, and counts those that it
/// suppresses.
#[derive(Clone, Debug)]
pub struct LogRateLimiter {
    lines_per_second: u32,
    second: u64,
    lines_this_second: u32,
    suppressed: u32,
}

/// How many lines were suppressed since the last one that was let through. Shown as a remark to add
/// to a line; empty for none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuppressedLines(pub u32);

impl fmt::Display for SuppressedLines {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => Ok(()),
            lines => write!(formatter, " ({lines} lines suppressed)"),
        }
    }
}

impl LogRateLimiter {
    /// A limiter for this many lines per second.
    pub fn new(lines_per_second: u32) -> Self {
        LogRateLimiter {
            lines_per_second,
            second: 0,
            lines_this_second: 0,
            suppressed: 0,
        }
    }

    /// Asks for one more line. None: it must not be written, and counts as suppressed.
    pub fn take(&mut self, now: Micros) -> Option<SuppressedLines> {
        let second = now / MICROS_PER_SECOND;
        if self.second != second {
            self.second = second;
            self.lines_this_second = 0;
        }
        if self.lines_this_second >= self.lines_per_second {
            self.suppressed = self.suppressed.saturating_add(1);
            return None;
        }
        self.lines_this_second += 1;
        Some(SuppressedLines(std::mem::take(&mut self.suppressed)))
    }
}
