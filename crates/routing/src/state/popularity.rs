//! How often objects and their parts were requested recently.

use super::RequestState;
use crate::estimate::DecayedCounterTable;
use crate::settings::Micros;

/// The decayed request counts of objects and of their parts.
pub(crate) struct Popularity {
    objects: DecayedCounterTable,
    parts: DecayedCounterTable,
}

impl Popularity {
    /// Returns the approximate memory of the tables in bytes.
    pub(crate) fn held_bytes(&self) -> usize {
        self.objects.held_bytes() + self.parts.held_bytes()
    }

    /// Creates empty tables that count the requests of at most `capacity` objects and `capacity`
    /// parts. See [`DecayedCounterTable::new`] for the eviction from a full table.
    pub(crate) fn new(half_life_s: f64, capacity: usize, initial_eviction_threshold: f64) -> Self {
        Popularity {
            objects: DecayedCounterTable::new(half_life_s, capacity, initial_eviction_threshold),
            parts: DecayedCounterTable::new(half_life_s, capacity, initial_eviction_threshold),
        }
    }

    /// Counts a request and stores the counts of its object and its part in the request.
    pub(crate) fn count_request(&mut self, now: Micros, request: &mut RequestState) {
        request.object_request_count = self.objects.add(request.object_hash, now);
        request.part_request_count = self.parts.add(request.part_hash, now);
    }

    /// Returns the decayed count of all requests.
    pub(crate) fn total_requests(&self, now: Micros) -> f64 {
        self.objects.total(now)
    }
}
