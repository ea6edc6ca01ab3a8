//! Unix time in microseconds that never steps back.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

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
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            unix_us: unix.as_micros() as u64,
            start: Instant::now(),
        }
    }

    /// Unix time in microseconds.
    pub fn now(&self) -> u64 {
        self.unix_us + self.start.elapsed().as_micros() as u64
    }
}
