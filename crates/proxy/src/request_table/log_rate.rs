//! Limits the log lines per second, so that a flood of bad requests does not fill the log.

use edge_routing::Micros;
use std::fmt;

const MICROS_PER_SECOND: Micros = 1_000_000;

/// Permits a fixed number of lines in each whole second of the clock, and counts the lines that it
/// suppresses.
#[derive(Clone, Debug)]
pub struct LogRateLimiter {
    lines_per_second: u32,
    current_second: u64,
    lines_this_second: u32,
    suppressed: u32,
}

/// The number of lines suppressed since the last permitted line. Its `Display` text is a note to
/// append to a log line, and is empty if no line was suppressed.
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
    /// Creates a limiter that permits this many lines per second.
    pub fn new(lines_per_second: u32) -> Self {
        LogRateLimiter {
            lines_per_second,
            current_second: 0,
            lines_this_second: 0,
            suppressed: 0,
        }
    }

    /// Requests permission to write one line. Returns `None` if the line must not be written; the
    /// line then counts as suppressed.
    pub fn try_acquire(&mut self, now: Micros) -> Option<SuppressedLines> {
        let second = now / MICROS_PER_SECOND;
        if self.current_second != second {
            self.current_second = second;
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
