//! How much slower transfers ran than they would have run alone.

use super::decay::remaining;
use crate::settings::Micros;

/// Decayed sums over recent transfers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TransferPace {
    half_life_s: f64,
    enough_samples: f64,
    took_s: f64,
    expected_s: f64,
    in_flight: f64,
    samples: f64,
    last_at: Micros,
}

/// What recent transfers showed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PaceSummary {
    /// Time that transfers took, over the time that they would have taken alone.
    pub(crate) stretch: f64,
    /// Transfers in flight meanwhile, on average.
    pub(crate) in_flight: f64,
}

impl TransferPace {
    /// No transfers yet; the pace is known from a decayed number of `enough_samples` transfers.
    pub(crate) fn new(half_life_s: f64, enough_samples: f64) -> Self {
        TransferPace {
            half_life_s,
            enough_samples,
            took_s: 0.0,
            expected_s: 0.0,
            in_flight: 0.0,
            samples: 0.0,
            last_at: 0,
        }
    }

    /// Takes in a transfer that took `took_s` seconds, would have taken `expected_s` seconds alone,
    /// and shared its way with a mean of `in_flight` transfers, itself included.
    pub(crate) fn add(&mut self, now: Micros, took_s: f64, expected_s: f64, in_flight: f64) {
        let kept = remaining(self.last_at, now, self.half_life_s);
        self.took_s = self.took_s * kept + took_s;
        self.expected_s = self.expected_s * kept + expected_s;
        self.in_flight = self.in_flight * kept + in_flight;
        self.samples = self.samples * kept + 1.0;
        self.last_at = now;
    }

    /// Whether there are enough recent samples to go by.
    pub(crate) fn has_enough_samples(&self, now: Micros) -> bool {
        self.samples * remaining(self.last_at, now, self.half_life_s) >= self.enough_samples
    }

    /// What recent transfers showed, once there are enough of them.
    pub(crate) fn summary(&self, now: Micros) -> Option<PaceSummary> {
        self.has_enough_samples(now).then(|| PaceSummary {
            stretch: self.took_s / self.expected_s.max(1e-9),
            in_flight: self.in_flight / self.samples,
        })
    }

    /// When the last transfer was taken in.
    pub(crate) fn last_at(&self) -> Micros {
        self.last_at
    }
}
