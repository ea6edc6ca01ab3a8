//! An estimate of how long the answers to a class of requests take.

use super::{LearnedMean, QuantileEstimate};

/// The typical transfer time of a class, and the ratio of the time of its slowest answers to a
/// baseline. Transfer times are those of a transfer that shares its link with no other.
pub(crate) struct LatencyEstimate {
    typical_transfer_s: LearnedMean,
    slow_ratio: QuantileEstimate,
    overhead_s: f64,
    min_transfer_s: f64,
}

impl LatencyEstimate {
    /// Creates an estimate from the initial typical transfer time in seconds and the initial ratio
    /// of the time of slow answers to their baseline. An answer takes `overhead_s` seconds in
    /// addition to its transfer. A transfer of unknown size takes at least `min_transfer_s`
    /// seconds.
    pub(crate) fn new(
        typical_transfer_s: LearnedMean,
        slow_ratio: QuantileEstimate,
        overhead_s: f64,
        min_transfer_s: f64,
    ) -> Self {
        LatencyEstimate {
            typical_transfer_s,
            slow_ratio,
            overhead_s,
            min_transfer_s,
        }
    }

    /// Returns the typical transfer time in seconds.
    pub(crate) fn typical_transfer_s(&self) -> f64 {
        self.typical_transfer_s.value()
    }

    /// Updates the typical transfer time with a transfer that takes `transfer_s` seconds if it does
    /// not share its link.
    pub(crate) fn record_transfer(&mut self, transfer_s: f64) {
        self.typical_transfer_s.add(transfer_s);
    }

    /// Updates the typical transfer time with an answer of unknown size that took `took_s` seconds.
    /// `sharing_transfers` transfers, including this one, shared the link.
    pub(crate) fn record_shared_transfer(&mut self, took_s: f64, sharing_transfers: f64) {
        let shared_transfer_s = (took_s - self.overhead_s).max(self.min_transfer_s);
        self.record_transfer(shared_transfer_s / sharing_transfers);
    }

    /// Returns the time in seconds from which an answer with this transfer time is slow. The time
    /// is a multiple of a baseline, which includes the typical transfer time of the class.
    pub(crate) fn slow_threshold_s(&self, transfer_s: f64) -> f64 {
        let baseline_s = transfer_s + self.typical_transfer_s.value() + self.overhead_s;
        self.slow_ratio.value() * baseline_s
    }

    /// Updates the threshold of slow answers, given whether an answer was slow.
    pub(crate) fn record_slow(&mut self, slow: bool) {
        self.slow_ratio.add(slow);
    }
}
