//! Hash functions that give the same results in all routers, and pseudo-random numbers derived from
//! a seed.

use fnv::FnvHasher;
use std::hash::Hasher;

/// 2^64 divided by the golden ratio, which is also the increment of SplitMix64. Its multiples are
/// spread evenly over the 64-bit integers, so they keep the parts of an object apart.
const GOLDEN_RATIO_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Spreads an integer evenly over all 64 bits with the finalizer of SplitMix64. Maps 0 to 0; use
/// [`of_integer`] where that matters.
pub(crate) fn finalize(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the hash of a string.
pub(crate) fn of_text(text: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(text.as_bytes());
    finalize(hasher.finish())
}

/// Returns the hash of a part of an object, given the hash of the object and the number of the
/// part.
pub(crate) fn of_part(object_hash: u64, part: u64) -> u64 {
    finalize(object_hash.wrapping_add(part.wrapping_mul(GOLDEN_RATIO_INCREMENT)))
}

/// Returns the hash of an integer. Unlike [`finalize`], it does not map 0 to 0.
pub(crate) fn of_integer(value: u64) -> u64 {
    finalize(value.wrapping_add(GOLDEN_RATIO_INCREMENT))
}

/// Returns a pseudo-random number that is uniformly distributed from 0 to 1, both included. It
/// depends only on the seed and the key.
pub(crate) fn uniform_fraction(seed: u64, key: u64) -> f64 {
    finalize(seed ^ finalize(key)) as f64 / u64::MAX as f64
}

/// A stream of pseudo-random numbers. Equal seeds give equal streams.
pub(crate) struct RandomStream {
    state: u64,
}

impl RandomStream {
    /// Makes the stream independent of other uses of the same seed. The value is arbitrary.
    const SEED_SALT: u64 = 0x5bd1_e995;

    /// Creates the stream of a seed.
    pub(crate) fn new(seed: u64) -> Self {
        RandomStream {
            state: finalize(seed ^ Self::SEED_SALT),
        }
    }

    /// Advances to the next number.
    pub(crate) fn advance(&mut self) {
        self.state = of_integer(self.state);
    }

    /// Returns an index below `length`, derived from the current number. `length` must not be 0.
    pub(crate) fn index(&self, length: usize) -> usize {
        (self.state % length as u64) as usize
    }
}
