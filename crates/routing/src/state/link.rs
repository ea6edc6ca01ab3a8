//! The location's one link, by which all fills come.

use crate::estimate::{FleetLoad, MovingAverage, TransferPace};

/// What was seen of the location's link.
pub(crate) struct LinkState {
    /// Pace of recent fills from any source, which shows the link's capacity.
    pub(crate) pace: TransferPace,
    /// Fills that seem to be in flight.
    pub(crate) in_flight: FleetLoad,
    /// Share of attempts that find no copy in the cache, from 0 to 1.
    pub(crate) miss_share: MovingAverage,
}

impl LinkState {
    /// Nothing was seen yet; starts with these estimates.
    pub(crate) fn new(pace: TransferPace, in_flight: FleetLoad, miss_share: MovingAverage) -> Self {
        LinkState {
            pace,
            in_flight,
            miss_share,
        }
    }

    /// Counts an attempt that was sent as a fill, by its chance to need one.
    pub(crate) fn attempt_sent(&mut self) {
        self.in_flight.add(self.miss_share.value());
    }

    /// Corrects the count of fills in flight.
    pub(crate) fn sweep(&mut self, fills: usize) {
        self.in_flight.set(fills as f64);
        self.in_flight.sample();
    }
}
