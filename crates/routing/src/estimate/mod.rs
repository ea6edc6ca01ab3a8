//! Generic statistics and hash functions. They contain no policy and receive all tuning constants
//! as constructor parameters.

pub(crate) mod average;
pub(crate) mod decay;
pub(crate) mod hash;
pub(crate) mod latency;
pub(crate) mod load;
pub(crate) mod pace;
pub(crate) mod rendezvous;
pub(crate) mod share;

pub(crate) use average::{LearnedMean, MovingAverage, QuantileEstimate};
pub(crate) use decay::DecayedCounterTable;
pub(crate) use hash::RandomStream;
pub(crate) use latency::LatencyEstimate;
pub(crate) use load::SharedLoadEstimate;
pub(crate) use pace::TransferPace;
pub(crate) use share::AdaptiveShare;

#[cfg(test)]
mod tests;
