//! An estimate of the load that several similar senders put on a shared resource.

use super::MovingAverage;

/// The load that one sender has in flight, and an estimate of the load of all senders together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SharedLoadEstimate {
    own: f64,
    own_average: MovingAverage,
    other_sender_count: f64,
}

impl SharedLoadEstimate {
    /// Creates an estimate for a sender that has nothing in flight and shares the resource with
    /// `other_sender_count` similar senders. Each sample has the weight `sample_weight`, from 0 to
    /// 1, in the average over time.
    pub(crate) fn new(other_sender_count: f64, sample_weight: f64) -> Self {
        SharedLoadEstimate {
            own: 0.0,
            own_average: MovingAverage::new(0.0, sample_weight),
            other_sender_count,
        }
    }

    /// Returns the load that this sender has in flight.
    pub(crate) fn own(&self) -> f64 {
        self.own
    }

    /// Sets the load that this sender has in flight.
    pub(crate) fn set_own(&mut self, own: f64) {
        self.own = own;
    }

    /// Adds `change` to the load that this sender has in flight. The result is at least 0.
    pub(crate) fn add_to_own(&mut self, change: f64) {
        self.own = (self.own + change).max(0.0);
    }

    /// Adds the load that this sender has in flight to its average. Must be called at regular
    /// intervals.
    pub(crate) fn sample(&mut self) {
        self.own_average.add(self.own);
    }

    /// Returns the load that all senders have in flight. Assumes that each other sender has the
    /// average load of this sender.
    pub(crate) fn total(&self) -> f64 {
        self.own + self.own_average.value() * self.other_sender_count
    }
}
