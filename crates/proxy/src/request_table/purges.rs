//! The targets of purges, and the bounded set of permanent purges.

use super::request::ClientRequest;
use edge_routing::{Event, Micros};
use std::collections::BTreeSet;

/// What a purge applies to: one object, or a whole purge group if `object` is `None`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PurgeTarget {
    pub(super) object: Option<String>,
    pub(super) purge_group: u64,
}

impl PurgeTarget {
    /// Returns whether a request is for an object that the purge applies to.
    pub(super) fn applies_to(&self, request: &ClientRequest) -> bool {
        match &self.object {
            Some(object) => request.object == *object,
            None => request.purge_group == self.purge_group,
        }
    }
}

/// A purge that took place at `purged_at`, in microseconds of the loop's clock.
pub(super) struct Purge {
    pub(super) target: PurgeTarget,
    pub(super) purged_at: Micros,
    /// Whether the purge is enforced for as long as the proxy runs, because the cache servers are
    /// not notified of it.
    pub(super) permanent: bool,
}

impl Purge {
    /// Returns the maximum age of a copy that this purge leaves valid, in microseconds. The result
    /// is at least 1, because 0 would require a copy from the future.
    pub(super) fn max_age_us(&self, now: Micros) -> Micros {
        now.saturating_sub(self.purged_at).max(1)
    }

    pub(super) fn into_event(self, now: Micros) -> Event {
        Event::Purged {
            object: self.target.object,
            purge_group: self.target.purge_group,
            age_us: now.saturating_sub(self.purged_at),
            permanent: self.permanent,
        }
    }
}

/// The targets of all permanent purges, up to a capacity. Another purge of the same target uses no
/// further capacity.
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

    /// Returns how many further targets can be added.
    pub(super) fn remaining_capacity(&self) -> usize {
        self.capacity.saturating_sub(self.targets.len())
    }

    /// Adds a target. Returns `false` if the capacity is used up.
    pub(super) fn insert(&mut self, target: PurgeTarget) -> bool {
        if self.remaining_capacity() == 0 && !self.targets.contains(&target) {
            return false;
        }
        self.targets.insert(target);
        true
    }
}
