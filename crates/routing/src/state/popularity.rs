//! How often objects and their parts were requested of late.

use super::RequestState;
use crate::estimate::DecayedCounterTable;
use crate::settings::Micros;

/// Decayed request counts of objects and of their parts.
pub(crate) struct Popularity {
    objects: DecayedCounterTable,
    parts: DecayedCounterTable,
}

impl Popularity {
    /// No requests yet; at most `capacity` objects, and as many parts, are counted. See
    /// [`DecayedCounterTable::new`].
    pub(crate) fn new(half_life_s: f64, capacity: usize, first_floor: f64) -> Self {
        Popularity {
            objects: DecayedCounterTable::new(half_life_s, capacity, first_floor),
            parts: DecayedCounterTable::new(half_life_s, capacity, first_floor),
        }
    }

    /// Counts a request and sets the counts of its object and its part there.
    pub(crate) fn count(&mut self, now: Micros, request: &mut RequestState) {
        request.object_count = self.objects.add(request.object, now);
        request.part_count = self.parts.add(request.part, now);
    }

    /// The count of all requests.
    pub(crate) fn total(&self, now: Micros) -> f64 {
        self.objects.total(now)
    }
}
