//! Estimates that follow a stream of samples: averages and a quantile.

/// An exponential moving average.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MovingAverage {
    value: f64,
    step: f64,
}

impl MovingAverage {
    /// Starts at `initial`; each sample has the weight `step`, from 0 to 1.
    pub(crate) fn new(initial: f64, step: f64) -> Self {
        MovingAverage {
            value: initial,
            step,
        }
    }

    /// Takes a sample in.
    pub(crate) fn add(&mut self, sample: f64) {
        self.value += self.step * (sample - self.value);
    }

    /// The average.
    pub(crate) fn value(&self) -> f64 {
        self.value
    }
}

/// A mean that weighs its first samples equally and later ones by a fixed step: it forgets its
/// initial value with the first sample.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LearnedMean {
    value: f64,
    samples: f64,
    least_step: f64,
}

impl LearnedMean {
    /// Holds `initial` until the first sample; no sample weighs less than `least_step`, from 0 to
    /// 1.
    pub(crate) fn new(initial: f64, least_step: f64) -> Self {
        LearnedMean {
            value: initial,
            samples: 0.0,
            least_step,
        }
    }

    /// Takes a sample in.
    pub(crate) fn add(&mut self, sample: f64) {
        self.samples += 1.0;
        self.value += (sample - self.value) * self.least_step.max(1.0 / self.samples);
    }

    /// The mean.
    pub(crate) fn value(&self) -> f64 {
        self.value
    }
}

/// An estimate of a quantile of positive samples: it grows with each sample above it and shrinks
/// with each one below, at rates that balance at the wanted quantile.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuantileEstimate {
    value: f64,
    step: f64,
    share_above: f64,
}

impl QuantileEstimate {
    /// Starts at `initial`, moves by the factor `step` at most, and settles where the share
    /// `share_above` of the samples, from 0 to 1, is above it.
    pub(crate) fn new(initial: f64, step: f64, share_above: f64) -> Self {
        QuantileEstimate {
            value: initial,
            step,
            share_above,
        }
    }

    /// Takes in whether a sample was above the estimate.
    pub(crate) fn add(&mut self, above: bool) {
        self.value *= 1.0 + self.step * (f64::from(u8::from(above)) - self.share_above);
    }

    /// The estimate.
    pub(crate) fn value(&self) -> f64 {
        self.value
    }
}
