//! Counts that decay exponentially with time, in a table of bounded size.

use crate::settings::Micros;
use std::collections::HashMap;

/// Returns the factor, from 0 to 1, by which a value decays from `since` to `now`.
pub(crate) fn decay_factor(since: Micros, now: Micros, half_life_s: f64) -> f64 {
    (-(now.saturating_sub(since) as f64) / 1e6 / half_life_s).exp2()
}

/// A count and the time of its last update. The count has not decayed since that time.
#[derive(Clone, Copy, Default)]
struct DecayedCount {
    count: f64,
    updated_at: Micros,
}

impl DecayedCount {
    fn value(self, now: Micros, half_life_s: f64) -> f64 {
        self.count * decay_factor(self.updated_at, now, half_life_s)
    }

    fn add_one(&mut self, now: Micros, half_life_s: f64) {
        self.count = self.value(now, half_life_s) + 1.0;
        self.updated_at = now;
    }
}

/// Decayed counts by key. A full table evicts the keys with the lowest counts.
pub(crate) struct DecayedCounterTable {
    half_life_s: f64,
    capacity: usize,
    initial_eviction_threshold: f64,
    entries: HashMap<u64, DecayedCount>,
    total: DecayedCount,
}

impl DecayedCounterTable {
    /// Creates an empty table for at most `capacity` keys. A table that exceeds its capacity evicts
    /// keys with counts below `initial_eviction_threshold`, and doubles the threshold until the
    /// remaining keys fit.
    pub(crate) fn new(half_life_s: f64, capacity: usize, initial_eviction_threshold: f64) -> Self {
        DecayedCounterTable {
            half_life_s,
            capacity,
            initial_eviction_threshold,
            entries: HashMap::new(),
            total: DecayedCount::default(),
        }
    }

    /// Returns the approximate memory of the table in bytes.
    pub(crate) fn held_bytes(&self) -> usize {
        self.entries.capacity() * size_of::<(u64, DecayedCount)>()
    }

    /// Counts one occurrence of a key. Returns the key's count including this occurrence.
    pub(crate) fn add(&mut self, key: u64, now: Micros) -> f64 {
        let half_life_s = self.half_life_s;
        self.total.add_one(now, half_life_s);
        let entry = self.entries.entry(key).or_default();
        entry.add_one(now, half_life_s);
        let count = entry.count;
        let mut eviction_threshold = self.initial_eviction_threshold;
        while self.entries.len() > self.capacity {
            // Evicts by the count of each entry alone. The iteration order of the hash map is
            // random and must not affect which entries remain.
            self.entries
                .retain(|_, entry| entry.value(now, half_life_s) >= eviction_threshold);
            eviction_threshold *= 2.0;
        }
        count
    }

    /// Returns the count of all occurrences, including those of evicted keys.
    pub(crate) fn total(&self, now: Micros) -> f64 {
        self.total.value(now, self.half_life_s)
    }
}
