//! Counts that decay with time, in a table of bounded size.

use crate::settings::Micros;
use std::collections::HashMap;

/// The part that is left of a value after the time from `since` to `now`.
pub(crate) fn remaining(since: Micros, now: Micros, half_life_s: f64) -> f64 {
    (-(now.saturating_sub(since) as f64) / 1e6 / half_life_s).exp2()
}

/// A count as it was when it last changed.
#[derive(Clone, Copy, Default)]
struct DecayedCount {
    count: f64,
    at: Micros,
}

impl DecayedCount {
    fn value(self, now: Micros, half_life_s: f64) -> f64 {
        self.count * remaining(self.at, now, half_life_s)
    }

    fn add_one(&mut self, now: Micros, half_life_s: f64) {
        self.count = self.value(now, half_life_s) + 1.0;
        self.at = now;
    }
}

/// Decayed counts by key. When the table is full, the keys with the lowest counts are dropped.
pub(crate) struct DecayedCounterTable {
    half_life_s: f64,
    capacity: usize,
    first_floor: f64,
    entries: HashMap<u64, DecayedCount>,
    total: DecayedCount,
}

impl DecayedCounterTable {
    /// An empty table for at most `capacity` keys. Counts below `first_floor` are the first to be
    /// dropped when it is full; the floor is doubled until it fits.
    pub(crate) fn new(half_life_s: f64, capacity: usize, first_floor: f64) -> Self {
        DecayedCounterTable {
            half_life_s,
            capacity,
            first_floor,
            entries: HashMap::new(),
            total: DecayedCount::default(),
        }
    }

    /// Counts one occurrence of a key and returns the key's count, this one included.
    pub(crate) fn add(&mut self, key: u64, now: Micros) -> f64 {
        let half_life_s = self.half_life_s;
        self.total.add_one(now, half_life_s);
        let entry = self.entries.entry(key).or_default();
        entry.add_one(now, half_life_s);
        let count = entry.count;
        let mut floor = self.first_floor;
        while self.entries.len() > self.capacity {
            // Whether an entry stays depends on it alone, never on the order of the table.
            self.entries
                .retain(|_, entry| entry.value(now, half_life_s) >= floor);
            floor *= 2.0;
        }
        count
    }

    /// The count of all occurrences, also of keys that were dropped.
    pub(crate) fn total(&self, now: Micros) -> f64 {
        self.total.value(now, self.half_life_s)
    }
}
