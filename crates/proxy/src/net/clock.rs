//! Unix time in microseconds that never steps back.

use crate::sys;
use std::time::Instant;

/// The system's Unix clock at the start, advanced by its monotonic clock. Deadlines and the ages of
/// purges share this scale, and a step of the system's clock moves neither.
#[derive(Clone, Copy)]
pub struct Clock {
    unix_us: u64,
    start: Instant,
}

impl Clock {
    /// A clock that starts at the system's Unix time.
    pub fn start() -> Self {
        Clock {
            unix_us: sys::unix_time_us(),
            start: Instant::now(),
        }
    }

    /// Unix time in microseconds.
    pub fn now(&self) -> u64 {
        self.unix_us + self.start.elapsed().as_micros() as u64
    }
}
