//! A bounded table whose keys carry a generation.

use slotmap::{DefaultKey, Key, KeyData, SlotMap};

/// Key of an entry. The key of an entry that was removed never finds the next one in its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SlabKey(DefaultKey);

impl SlabKey {
    /// The key as one number, as epoll and the decision module carry it.
    pub fn to_u64(self) -> u64 {
        self.0.data().as_ffi()
    }

    /// The key of a number from [`to_u64`](Self::to_u64). Of any other number: a key that finds
    /// nothing.
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
    /// An empty table. No memory is taken before the first entry.
    pub fn new(capacity: usize) -> Self {
        Slab {
            entries: SlotMap::new(),
            capacity,
        }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// How many entries can still be added.
    pub fn free_slots(&self) -> usize {
        self.capacity - self.len()
    }

    /// Whether at least half of the capacity is in use.
    pub fn is_half_full(&self) -> bool {
        self.len() * 2 >= self.capacity
    }

    /// Adds an entry.
    ///
    /// # Errors
    ///
    /// Gives the entry back if the table is full.
    pub fn insert(&mut self, value: T) -> Result<SlabKey, T> {
        if self.free_slots() == 0 {
            return Err(value);
        }
        Ok(SlabKey(self.entries.insert(value)))
    }

    /// The entry of a key, unless it was removed.
    pub fn get(&self, key: SlabKey) -> Option<&T> {
        self.entries.get(key.0)
    }

    /// As [`get`](Self::get), to change the entry.
    pub fn get_mut(&mut self, key: SlabKey) -> Option<&mut T> {
        self.entries.get_mut(key.0)
    }

    /// Removes an entry. Its slot may be used again, under another key.
    pub fn remove(&mut self, key: SlabKey) -> Option<T> {
        self.entries.remove(key.0)
    }

    /// All entries, in the order of their slots.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.entries.values()
    }

    /// The keys of all entries, in the order of their slots.
    pub fn keys(&self) -> Vec<SlabKey> {
        self.entries.keys().map(SlabKey).collect()
    }
}
