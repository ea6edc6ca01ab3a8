//! Exponential backoff with jitter for a discovery source that failed. Jitter keeps proxies that
//! lost the source at the same time from reconnecting at the same time.

use edge_routing::Micros;
use fastrand::Rng;

/// The maximum number of times that the minimum delay is doubled.
const MAX_DOUBLINGS: u32 = 16;

/// Delays that grow with the number of consecutive failures, with jitter.
pub struct Backoff {
    min_delay_us: Micros,
    max_delay_us: Micros,
    failures: u32,
    random: Rng,
}

impl Backoff {
    /// Creates a backoff with delays between half of `min_delay_us` and `max_delay_us`. Equal seeds
    /// give equal delays.
    pub fn new(min_delay_us: Micros, max_delay_us: Micros, seed: u64) -> Self {
        Backoff {
            min_delay_us,
            max_delay_us,
            failures: 0,
            random: Rng::with_seed(seed),
        }
    }

    /// Counts one more failure. Returns how long to wait before the next try.
    pub fn next_delay_us(&mut self) -> Micros {
        let doubled_us = self.min_delay_us << self.failures.min(MAX_DOUBLINGS);
        let upper_bound_us = doubled_us.min(self.max_delay_us);
        self.failures = self.failures.saturating_add(1);
        self.random.u64(upper_bound_us / 2..=upper_bound_us)
    }

    /// Resets the delays to the minimum, after the source has responded.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
