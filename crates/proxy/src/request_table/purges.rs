//! The targets of purges, and the bounded set of permanent purges.

use super::request::ClientRequest;
use edge_routing::{Event, Micros};
use std::collections::BTreeSet;
use std::fmt;

/// What a purge applies to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PurgeTarget {
    /// All objects of the purge group with this number.
    Group(u64),
    /// The object with this key.
    Object(String),
}

impl PurgeTarget {
    /// Returns whether a request is for an object that the purge applies to.
    pub(super) fn applies_to(&self, request: &ClientRequest) -> bool {
        match self {
            PurgeTarget::Object(object) => request.object == *object,
            PurgeTarget::Group(purge_group) => request.purge_group == *purge_group,
        }
    }
}

impl fmt::Display for PurgeTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PurgeTarget::Object(object) => write!(f, "object {object}"),
            PurgeTarget::Group(purge_group) => write!(f, "group {purge_group}"),
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
        // The router ignores the purge group if an object is purged.
        let (object, purge_group) = match self.target {
            PurgeTarget::Object(object) => (Some(object), 0),
            PurgeTarget::Group(purge_group) => (None, purge_group),
        };
        Event::Purged {
            object,
            purge_group,
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
