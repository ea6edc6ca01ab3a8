//! Purges: what one applies to, and the bounded set of those that are permanent.

use super::request::ClientRequest;
use edge_routing::{Event, Micros};
use std::collections::BTreeSet;

/// What a purge applies to: one object, or with none a whole group.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PurgeTarget {
    pub(super) object: Option<String>,
    pub(super) group: u64,
}

impl PurgeTarget {
    /// Whether a request asks for something that was purged.
    pub(super) fn concerns(&self, request: &ClientRequest) -> bool {
        match &self.object {
            Some(object) => request.object == *object,
            None => request.group == self.group,
        }
    }
}

/// A purge that took place at a time, in microseconds of the loop's clock.
pub(super) struct Purge {
    pub(super) target: PurgeTarget,
    pub(super) purged_at: Micros,
    /// The cache servers hear nothing of it, so the proxy enforces it for as long as it runs.
    pub(super) permanent: bool,
}

impl Purge {
    /// The oldest copy that this purge leaves valid, as an age; never 0, which would ask for a copy
    /// from the future.
    pub(super) fn max_age_us(&self, now: Micros) -> Micros {
        now.saturating_sub(self.purged_at).max(1)
    }

    pub(super) fn into_event(self, now: Micros) -> Event {
        Event::Purged {
            object: self.target.object,
            group: self.target.group,
            age_us: now.saturating_sub(self.purged_at),
            permanent: self.permanent,
        }
    }
}

/// The targets of all permanent purges, up to a capacity. A purge of the same target takes no
/// further room.
pub(super) struct PermanentPurges {
    targets: BTreeSet<PurgeTarget>,
    capacity: usize,
}

impl PermanentPurges {
    pub(super) fn new(capacity: usize) -> Self {
        PermanentPurges {
            targets: BTreeSet::new(),
            capacity,
        }
    }

    /// How many further targets can be added.
    pub(super) fn remaining_capacity(&self) -> usize {
        self.capacity.saturating_sub(self.targets.len())
    }

    /// Adds a target. False: there is no room for it.
    pub(super) fn insert(&mut self, target: PurgeTarget) -> bool {
        if self.remaining_capacity() == 0 && !self.targets.contains(&target) {
            return false;
        }
        self.targets.insert(target);
        true
    }
}
