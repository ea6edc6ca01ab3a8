//! Hashes that all routers share, and the pseudo-random numbers derived from a seed.

use fnv::FnvHasher;
use std::hash::Hasher;

/// Step of a Weyl sequence: 2^64 divided by the golden ratio.
const GOLDEN_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Spreads an integer evenly over all 64 bits (the finalizer of SplitMix64).
pub(crate) fn finalize(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Hash of a text.
pub(crate) fn text(text: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(text.as_bytes());
    finalize(hasher.finish())
}

/// Hash of the part of an object, given the object's hash.
pub(crate) fn part(object: u64, part: u64) -> u64 {
    finalize(object.wrapping_add(part.wrapping_mul(GOLDEN_STEP)))
}

/// Hash of an integer; unlike that of `finalize` alone, the hash of 0 is not 0.
pub(crate) fn integer(value: u64) -> u64 {
    finalize(value.wrapping_add(GOLDEN_STEP))
}

/// A number from 0 to 1 that depends on the seed and the key alone.
pub(crate) fn fraction(seed: u64, key: u64) -> f64 {
    finalize(seed ^ finalize(key)) as f64 / u64::MAX as f64
}

/// A stream of pseudo-random numbers; equal seeds give equal streams.
pub(crate) struct RandomStream {
    state: u64,
}

impl RandomStream {
    /// Keeps the stream apart from other uses of the same seed.
    const SALT: u64 = 0x5bd1_e995;

    /// The stream that belongs to a seed.
    pub(crate) fn new(seed: u64) -> Self {
        RandomStream {
            state: finalize(seed ^ Self::SALT),
        }
    }

    /// Moves on to the next number.
    pub(crate) fn advance(&mut self) {
        self.state = integer(self.state);
    }

    /// An index below `length`, which must not be 0, from the present number.
    pub(crate) fn index(&self, length: usize) -> usize {
        (self.state % length as u64) as usize
    }
}
