//! An estimate of how much sharing a link slows transfers down.

use super::decay::decay_factor;
use crate::settings::Micros;

/// Decayed sums over recent transfers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TransferPace {
    half_life_s: f64,
    min_samples: f64,
    took_sum_s: f64,
    expected_sum_s: f64,
    in_flight_sum: f64,
    samples: f64,
    last_sample_at: Micros,
}

/// The averages over recent transfers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PaceSummary {
    /// The time that the transfers took, divided by the time that they take on a link that they do
    /// not share.
    pub(crate) slowdown: f64,
    /// The average number of transfers that were in flight at the same time.
    pub(crate) in_flight: f64,
}

impl TransferPace {
    /// Creates an estimate without any transfers. The estimate has a summary while the decayed
    /// number of transfers is at least `min_samples`.
    pub(crate) fn new(half_life_s: f64, min_samples: f64) -> Self {
        TransferPace {
            half_life_s,
            min_samples,
            took_sum_s: 0.0,
            expected_sum_s: 0.0,
            in_flight_sum: 0.0,
            samples: 0.0,
            last_sample_at: 0,
        }
    }

    /// Adds a transfer that took `took_s` seconds. The transfer takes `expected_s` seconds if it
    /// does not share its link. On average, `in_flight` transfers, including this one, shared the
    /// link.
    pub(crate) fn add(&mut self, now: Micros, took_s: f64, expected_s: f64, in_flight: f64) {
        let decay = decay_factor(self.last_sample_at, now, self.half_life_s);
        self.took_sum_s = self.took_sum_s * decay + took_s;
        self.expected_sum_s = self.expected_sum_s * decay + expected_s;
        self.in_flight_sum = self.in_flight_sum * decay + in_flight;
        self.samples = self.samples * decay + 1.0;
        self.last_sample_at = now;
    }

    /// Returns whether there are enough recent transfers for a summary.
    pub(crate) fn has_enough_samples(&self, now: Micros) -> bool {
        self.samples * decay_factor(self.last_sample_at, now, self.half_life_s) >= self.min_samples
    }

    /// Returns the averages over recent transfers, or `None` if there are too few of them.
    pub(crate) fn summary(&self, now: Micros) -> Option<PaceSummary> {
        self.has_enough_samples(now).then(|| PaceSummary {
            slowdown: self.took_sum_s / self.expected_sum_s.max(1e-9),
            in_flight: self.in_flight_sum / self.samples,
        })
    }

    /// Returns the time at which the last transfer was added, or 0 if none was.
    pub(crate) fn last_sample_at(&self) -> Micros {
        self.last_sample_at
    }
}
