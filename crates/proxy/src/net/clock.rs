//! A monotonic clock that reads Unix time in microseconds.

use crate::sys;
use std::time::Instant;

/// Unix time, read from the system once and advanced by the monotonic clock from then on. Deadlines
/// and the ages of purges are measured on this scale, so that a step of the system clock changes
/// neither.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at_unix_us: u64,
    started_at: Instant,
}

impl Clock {
    /// Starts a clock at the system's current Unix time.
    pub fn start() -> Self {
        Clock {
            started_at_unix_us: sys::unix_time_us(),
            started_at: Instant::now(),
        }
    }

    /// Returns the Unix time in microseconds. Successive values never decrease.
    pub fn now(&self) -> u64 {
        self.started_at_unix_us + self.started_at.elapsed().as_micros() as u64
    }
}
