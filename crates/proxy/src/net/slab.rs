//! A bounded table with generational keys.

use slotmap::{DefaultKey, Key, KeyData, SlotMap};

/// The key of an entry. It carries the generation of the slot, so the key of a removed entry never
/// finds a later entry in the same slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SlabKey(DefaultKey);

impl SlabKey {
    /// Returns the key as a number, for epoll tokens and for the routing module.
    pub fn to_u64(self) -> u64 {
        self.0.data().as_ffi()
    }

    /// Returns the key of a number that [`to_u64`](Self::to_u64) returned. Any other number gives a
    /// key that finds no entry.
    pub fn from_u64(number: u64) -> Self {
        SlabKey(KeyData::from_ffi(number).into())
    }
}

/// A table that holds at most `capacity` entries.
pub struct Slab<T> {
    entries: SlotMap<DefaultKey, T>,
    capacity: usize,
}

impl<T> Slab<T> {
    /// Creates an empty table. It allocates no memory before the first entry is added.
    pub fn new(capacity: usize) -> Self {
        Slab {
            entries: SlotMap::new(),
            capacity,
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns how many more entries fit.
    pub fn free_slots(&self) -> usize {
        self.capacity - self.len()
    }

    /// Returns whether at least half of the capacity is in use.
    pub fn is_half_full(&self) -> bool {
        self.len() * 2 >= self.capacity
    }

    /// Adds an entry and returns its key.
    ///
    /// # Errors
    ///
    /// Returns the entry if the table is full.
    pub fn insert(&mut self, value: T) -> Result<SlabKey, T> {
        if self.free_slots() == 0 {
            return Err(value);
        }
        Ok(SlabKey(self.entries.insert(value)))
    }

    /// Returns the entry of a key, or None if the entry was removed.
    pub fn get(&self, key: SlabKey) -> Option<&T> {
        self.entries.get(key.0)
    }

    /// Returns the entry of a key for modification, or None if the entry was removed.
    pub fn get_mut(&mut self, key: SlabKey) -> Option<&mut T> {
        self.entries.get_mut(key.0)
    }

    /// Removes and returns an entry, or returns None if it was removed before. A later entry may
    /// reuse the slot, but under a different key.
    pub fn remove(&mut self, key: SlabKey) -> Option<T> {
        self.entries.remove(key.0)
    }

    /// Returns all entries, in the order of their slots.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.entries.values()
    }

    /// Returns the keys of all entries, in the order of their slots.
    pub fn keys(&self) -> Vec<SlabKey> {
        self.entries.keys().map(SlabKey).collect()
    }
}
