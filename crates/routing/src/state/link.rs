//! The state of the location's single link, which carries all fills.

use crate::estimate::{MovingAverage, SharedLoadEstimate, TransferPace};

/// What the router has observed of the location's link.
pub(crate) struct LinkState {
    /// The pace of recent fills from all sources. It shows the capacity of the link.
    pub(crate) fill_pace: TransferPace,
    /// An estimate of the fills in flight.
    pub(crate) fills_in_flight: SharedLoadEstimate,
    /// The share, from 0 to 1, of attempts that find no copy in the cache.
    pub(crate) miss_share: MovingAverage,
}

impl LinkState {
    /// Creates the state of a link of which nothing has been observed, with these initial
    /// estimates.
    pub(crate) fn new(
        fill_pace: TransferPace,
        fills_in_flight: SharedLoadEstimate,
        miss_share: MovingAverage,
    ) -> Self {
        LinkState {
            fill_pace,
            fills_in_flight,
            miss_share,
        }
    }

    /// Counts an attempt that was sent as the fraction of a fill that is its chance of a miss.
    pub(crate) fn record_attempt_sent(&mut self) {
        self.fills_in_flight.add_to_own(self.miss_share.value());
    }

    /// Replaces the estimated number of fills in flight by a count, and adds it to the average over
    /// time.
    pub(crate) fn sweep(&mut self, fills: usize) {
        self.fills_in_flight.set_own(fills as f64);
        self.fills_in_flight.sample();
    }
}
