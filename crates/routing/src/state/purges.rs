//! Which objects and purge groups were purged, and when.

use crate::estimate::hash;
use crate::settings::Micros;
use std::collections::BTreeMap;

/// Separates the keys of purge groups from the keys of objects. Both are hashes in the same table
/// and practically never equal.
const PURGE_GROUP_KEY_SALT: u64 = 0x94d0_49bb_1331_11eb;

/// Memory of a purge in the table. Nodes of the table are at least half full.
const PURGE_BYTES: usize = 2 * size_of::<(u64, Purge)>();

/// The last purge of an object or a purge group.
struct Purge {
    purged_at: Micros,
    /// Whether the servers are not notified of the purge. They then keep their purged copies, so
    /// the router must enforce the purge forever, and the table never evicts it.
    permanent: bool,
}

/// The purges of objects and purge groups. A full table evicts the oldest purges that are not
/// permanent.
pub(crate) struct PurgeTable {
    capacity: usize,
    /// The purges by the hash of the object or of the purge group.
    purges: BTreeMap<u64, Purge>,
    /// When the router was last notified of the purge of a whole purge group.
    last_group_purge_notified_at: Option<Micros>,
}

fn purge_group_key(purge_group: u64) -> u64 {
    hash::finalize(purge_group ^ PURGE_GROUP_KEY_SALT)
}

impl PurgeTable {
    /// Creates an empty table for `capacity` purges. Permanent purges may exceed the capacity.
    pub(crate) fn new(capacity: usize) -> Self {
        PurgeTable {
            capacity,
            purges: BTreeMap::new(),
            last_group_purge_notified_at: None,
        }
    }

    /// Returns the approximate memory of the table in bytes.
    pub(crate) fn held_bytes(&self) -> usize {
        self.purges.len() * PURGE_BYTES
    }

    /// Records a purge that took place at `purged_at`. The router is notified of it at `now`.
    /// Without an object, the whole purge group was purged.
    pub(crate) fn record(
        &mut self,
        now: Micros,
        object: Option<&str>,
        purge_group: u64,
        purged_at: Micros,
        permanent: bool,
    ) {
        if object.is_none() {
            self.last_group_purge_notified_at = Some(now);
        }
        let key = object.map_or(purge_group_key(purge_group), hash::of_text);
        let purge = self.purges.entry(key).or_insert(Purge {
            purged_at,
            permanent: false,
        });
        purge.purged_at = purge.purged_at.max(purged_at);
        purge.permanent |= permanent;
        if self.purges.len() > self.capacity {
            self.evict_oldest();
        }
    }

    /// Moves the times of all purges that are not permanent earlier by `by_us` microseconds. The
    /// servers were notified of these purges too, and the purges turned out to lie further in the
    /// past than recorded. The times of permanent purges come from this router's own clock and need
    /// no correction.
    pub(crate) fn move_purge_times_earlier(&mut self, by_us: Micros) {
        let not_permanent = self.purges.values_mut().filter(|purge| !purge.permanent);
        for purge in not_permanent {
            purge.purged_at = purge.purged_at.saturating_sub(by_us);
        }
    }

    /// Evicts the oldest purge that is not permanent, and all others that have the same time.
    fn evict_oldest(&mut self) {
        let not_permanent = self.purges.values().filter(|purge| !purge.permanent);
        let oldest = not_permanent.map(|purge| purge.purged_at).min();
        self.purges
            .retain(|_, purge| purge.permanent || Some(purge.purged_at) > oldest);
    }

    /// Returns the time, at least 1 microsecond, since the object with this hash or its purge group
    /// was last purged. Returns `None` if the table has no purge of either.
    pub(crate) fn time_since_purge_us(
        &self,
        now: Micros,
        object_hash: u64,
        purge_group: u64,
    ) -> Option<Micros> {
        let object_purged_at = self.purges.get(&object_hash).map(|purge| purge.purged_at);
        let last_purged_at = object_purged_at.max(self.group_purged_at(purge_group));
        last_purged_at.map(|purged_at| now.saturating_sub(purged_at).max(1))
    }

    /// Returns whether this whole purge group was purged at most `within_us` microseconds before
    /// `now`.
    pub(crate) fn group_purged_within(
        &self,
        purge_group: u64,
        now: Micros,
        within_us: Micros,
    ) -> bool {
        let group_purged_at = self.group_purged_at(purge_group);
        group_purged_at.is_some_and(|purged_at| now <= purged_at + within_us)
    }

    fn group_purged_at(&self, purge_group: u64) -> Option<Micros> {
        self.purges
            .get(&purge_group_key(purge_group))
            .map(|purge| purge.purged_at)
    }

    /// Returns whether the router was notified of the purge of any whole purge group at most
    /// `within_us` microseconds before `now`.
    pub(crate) fn any_group_purge_notified_within(&self, now: Micros, within_us: Micros) -> bool {
        let notified_at = self.last_group_purge_notified_at;
        notified_at.is_some_and(|notified_at| now <= notified_at + within_us)
    }
}
