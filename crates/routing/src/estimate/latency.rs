//! How long the answers of a class of requests take.

use super::{LearnedMean, QuantileEstimate};

/// Usual transfer time of a class, and how far the time of its slowest answers is above that.
pub(crate) struct LatencyEstimate {
    transfer_s: LearnedMean,
    slow_ratio: QuantileEstimate,
    overhead_s: f64,
    least_transfer_s: f64,
}

impl LatencyEstimate {
    /// From estimates of the usual transfer time alone, in seconds, and of the time of slow answers
    /// over their baseline; answers take `overhead_s` seconds besides their transfer.
    pub(crate) fn new(
        transfer_s: LearnedMean,
        slow_ratio: QuantileEstimate,
        overhead_s: f64,
        least_transfer_s: f64,
    ) -> Self {
        LatencyEstimate {
            transfer_s,
            slow_ratio,
            overhead_s,
            least_transfer_s,
        }
    }

    /// Usual transfer time alone, in seconds.
    pub(crate) fn transfer_s(&self) -> f64 {
        self.transfer_s.value()
    }

    /// Learns from a transfer that takes this time alone, in seconds.
    pub(crate) fn learn_transfer(&mut self, transfer_s: f64) {
        self.transfer_s.add(transfer_s);
    }

    /// Learns from an answer of unknown size that took `took_s` seconds and shared its way with
    /// `sharing` transfers, itself included.
    pub(crate) fn learn_shared(&mut self, took_s: f64, sharing: f64) {
        let shared_s = (took_s - self.overhead_s).max(self.least_transfer_s);
        self.learn_transfer(shared_s / sharing);
    }

    /// From when an answer is slow, in seconds, given its own transfer time. The baseline that this
    /// is a multiple of takes the class's usual transfer time in.
    pub(crate) fn slow_s(&self, transfer_s: f64) -> f64 {
        let baseline_s = transfer_s + self.transfer_s.value() + self.overhead_s;
        self.slow_ratio.value() * baseline_s
    }

    /// Learns whether an answer was slow.
    pub(crate) fn learn_slow(&mut self, slow: bool) {
        self.slow_ratio.add(slow);
    }
}
