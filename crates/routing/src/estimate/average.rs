//! Estimates that are updated with each sample of a stream: two kinds of averages and a quantile.

/// An exponential moving average.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MovingAverage {
    value: f64,
    sample_weight: f64,
}

impl MovingAverage {
    /// Creates an average that starts at `initial`. Each sample has the weight `sample_weight`,
    /// from 0 to 1.
    pub(crate) fn new(initial: f64, sample_weight: f64) -> Self {
        MovingAverage {
            value: initial,
            sample_weight,
        }
    }

    /// Adds a sample.
    pub(crate) fn add(&mut self, sample: f64) {
        self.value += self.sample_weight * (sample - self.value);
    }

    /// Returns the average.
    pub(crate) fn value(&self) -> f64 {
        self.value
    }
}

/// A mean that weights its first samples equally and later samples by a fixed weight. The first
/// sample replaces the initial value.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LearnedMean {
    value: f64,
    sample_count: f64,
    min_sample_weight: f64,
}

impl LearnedMean {
    /// Creates a mean that is `initial` until the first sample. Each sample has at least the weight
    /// `min_sample_weight`, from 0 to 1.
    pub(crate) fn new(initial: f64, min_sample_weight: f64) -> Self {
        LearnedMean {
            value: initial,
            sample_count: 0.0,
            min_sample_weight,
        }
    }

    /// Adds a sample.
    pub(crate) fn add(&mut self, sample: f64) {
        self.sample_count += 1.0;
        self.value += (sample - self.value) * self.min_sample_weight.max(1.0 / self.sample_count);
    }

    /// Returns the mean.
    pub(crate) fn value(&self) -> f64 {
        self.value
    }
}

/// An estimate of a quantile of positive samples. The estimate grows with each sample above it and
/// shrinks with each sample below it. The two rates balance at the wanted quantile.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuantileEstimate {
    value: f64,
    max_relative_step: f64,
    share_above: f64,
}

impl QuantileEstimate {
    /// Creates an estimate that starts at `initial`. A sample changes the estimate by at most
    /// `max_relative_step` times its value. The estimate settles where `share_above` of the
    /// samples, a share from 0 to 1, are above it.
    pub(crate) fn new(initial: f64, max_relative_step: f64, share_above: f64) -> Self {
        QuantileEstimate {
            value: initial,
            max_relative_step,
            share_above,
        }
    }

    /// Adds a sample, given whether it was above the estimate.
    pub(crate) fn add(&mut self, above: bool) {
        self.value *=
            1.0 + self.max_relative_step * (f64::from(u8::from(above)) - self.share_above);
    }

    /// Returns the estimate.
    pub(crate) fn value(&self) -> f64 {
        self.value
    }
}
