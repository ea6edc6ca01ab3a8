//! A share of requests that is admitted, and that adapts: raised in steps, lowered by factors.

/// A share from 0 to 1 that starts at 1 and never falls below a least value.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdaptiveShare {
    share: f64,
    least: f64,
}

impl AdaptiveShare {
    /// Starts at 1.
    pub(crate) fn new(least: f64) -> Self {
        AdaptiveShare { share: 1.0, least }
    }

    /// Whether a draw from 0 to 1 belongs to the share.
    pub(crate) fn admits(&self, draw: f64) -> bool {
        draw < self.share
    }

    /// Adds a step.
    pub(crate) fn raise(&mut self, step: f64) {
        self.share = (self.share + step).min(1.0);
    }

    /// Multiplies by a factor below 1.
    pub(crate) fn lower(&mut self, factor: f64) {
        self.share = (self.share * factor).max(self.least);
    }
}
