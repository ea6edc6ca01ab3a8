//! How long to wait before a source of discovery is asked again: longer after each failure, and not
//! at the same time as all the other proxies that lost it together.

use edge_routing::Micros;
use fastrand::Rng;

/// Doublings of the shortest wait, at most.
const MAX_DOUBLINGS: u32 = 16;

/// Waits that grow with consecutive failures, with jitter.
pub struct Backoff {
    shortest_us: Micros,
    longest_us: Micros,
    failures: u32,
    random: Rng,
}

impl Backoff {
    /// Waits between half of `shortest_us` and `longest_us`. Equal seeds give equal waits.
    pub fn new(shortest_us: Micros, longest_us: Micros, seed: u64) -> Self {
        Backoff {
            shortest_us,
            longest_us,
            failures: 0,
            random: Rng::with_seed(seed),
        }
    }

    /// How long to wait now, after one more failure.
    pub fn next_us(&mut self) -> Micros {
        let grown = self.shortest_us << self.failures.min(MAX_DOUBLINGS);
        let longest = grown.min(self.longest_us);
        self.failures = self.failures.saturating_add(1);
        self.random.u64(longest / 2..=longest)
    }

    /// The source has answered.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}
