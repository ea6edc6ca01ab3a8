//! Which objects and groups were purged, and when.

use crate::estimate::hash;
use crate::settings::Micros;
use std::collections::BTreeMap;

/// Keeps the keys of groups apart from those of objects.
const GROUP_SALT: u64 = 0x94d0_49bb_1331_11eb;

/// The last purge of an object or a group.
struct Purge {
    at: Micros,
    /// The servers drop nothing by themselves, so the purge is never forgotten.
    permanent: bool,
}

/// The purges of objects and groups. When it is full, the oldest ones that are not permanent are
/// dropped.
pub(crate) struct PurgeTable {
    capacity: usize,
    /// By hash of the object or of the group.
    purges: BTreeMap<u64, Purge>,
    last_group_purge: Option<Micros>,
}

fn group_key(group: u64) -> u64 {
    hash::finalize(group ^ GROUP_SALT)
}

impl PurgeTable {
    /// An empty table for `capacity` purges; permanent ones may be more.
    pub(crate) fn new(capacity: usize) -> Self {
        PurgeTable {
            capacity,
            purges: BTreeMap::new(),
            last_group_purge: None,
        }
    }

    /// Records the purge of an object, or of a whole group if there is none, that took place at
    /// `at`.
    pub(crate) fn record(
        &mut self,
        now: Micros,
        object: Option<&str>,
        group: u64,
        at: Micros,
        permanent: bool,
    ) {
        if object.is_none() {
            self.last_group_purge = Some(now);
        }
        let key = object.map_or(group_key(group), hash::text);
        let purge = self.purges.entry(key).or_insert(Purge {
            at,
            permanent: false,
        });
        purge.at = purge.at.max(at);
        purge.permanent |= permanent;
        if self.purges.len() > self.capacity {
            self.drop_oldest();
        }
    }

    /// The purges that servers were notified of turn out to lie further back. The times of permanent
    /// ones are this router's own.
    pub(crate) fn move_back(&mut self, by_us: Micros) {
        let notified = self.purges.values_mut().filter(|purge| !purge.permanent);
        for purge in notified {
            purge.at = purge.at.saturating_sub(by_us);
        }
    }

    fn drop_oldest(&mut self) {
        let temporary = self.purges.values().filter(|purge| !purge.permanent);
        let oldest = temporary.map(|purge| purge.at).min();
        self.purges
            .retain(|_, purge| purge.permanent || Some(purge.at) > oldest);
    }

    /// Time, 1 at the least, since the object with this hash or its group was last purged; none:
    /// never.
    pub(crate) fn since_purge_us(&self, now: Micros, object: u64, group: u64) -> Option<Micros> {
        let object_purge = self.purges.get(&object).map(|purge| purge.at);
        let last_purge = object_purge.max(self.last_purge_of_group(group));
        last_purge.map(|at| now.saturating_sub(at).max(1))
    }

    /// Whether this group was purged as a whole at most `within_us` before `now`.
    pub(crate) fn group_purged(&self, group: u64, now: Micros, within_us: Micros) -> bool {
        let purged_at = self.last_purge_of_group(group);
        purged_at.is_some_and(|at| now <= at + within_us)
    }

    fn last_purge_of_group(&self, group: u64) -> Option<Micros> {
        self.purges.get(&group_key(group)).map(|purge| purge.at)
    }

    /// Whether the router was notified at most `within_us` before `now` that any group was purged.
    pub(crate) fn any_group_purged(&self, now: Micros, within_us: Micros) -> bool {
        let notified_at = self.last_group_purge;
        notified_at.is_some_and(|at| now <= at + within_us)
    }
}
