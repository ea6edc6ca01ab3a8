//! The share of requests that is admitted. It increases by addition and decreases by
//! multiplication.

/// A share from 0 to 1 that starts at 1 and never falls below a minimum.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdaptiveShare {
    share: f64,
    min_share: f64,
}

impl AdaptiveShare {
    /// Creates a share of 1 that never falls below `min_share`.
    pub(crate) fn new(min_share: f64) -> Self {
        AdaptiveShare {
            share: 1.0,
            min_share,
        }
    }

    /// Returns whether a request is admitted, given a uniform random number from 0 to 1.
    pub(crate) fn admits(&self, uniform: f64) -> bool {
        uniform < self.share
    }

    /// Adds `step` to the share.
    pub(crate) fn raise(&mut self, step: f64) {
        self.share = (self.share + step).min(1.0);
    }

    /// Multiplies the share by `factor`, which is below 1.
    pub(crate) fn lower(&mut self, factor: f64) {
        self.share = (self.share * factor).max(self.min_share);
    }
}
