//! The load that a fleet of like senders puts on something, as one of them can guess it.

use super::MovingAverage;

/// What one sender has in flight, now and on average over time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetLoad {
    own: f64,
    mean: MovingAverage,
    others: f64,
}

impl FleetLoad {
    /// Nothing in flight from this sender, and `others` like it. Each sample has the weight `step`,
    /// from 0 to 1, in the average over time.
    pub(crate) fn new(others: f64, step: f64) -> Self {
        FleetLoad {
            own: 0.0,
            mean: MovingAverage::new(0.0, step),
            others,
        }
    }

    /// What this sender has in flight.
    pub(crate) fn own(&self) -> f64 {
        self.own
    }

    /// Sets what this sender has in flight.
    pub(crate) fn set(&mut self, own: f64) {
        self.own = own;
    }

    /// Changes what this sender has in flight, to 0 at the least.
    pub(crate) fn add(&mut self, change: f64) {
        self.own = (self.own + change).max(0.0);
    }

    /// Takes what this sender has in flight into its average; to be called at regular times.
    pub(crate) fn sample(&mut self) {
        self.mean.add(self.own);
    }

    /// What the whole fleet has in flight, if each of the others has this sender's average.
    pub(crate) fn total(&self) -> f64 {
        self.own + self.mean.value() * self.others
    }
}
