//! A queue of bytes in blocks, for everything that can be large: the buffers of sockets, the bodies
//! of requests, and answers.

use std::collections::VecDeque;

/// A queue of bytes that is stored in a chain of blocks.
///
/// Each block is freed as soon as its bytes are consumed. The sizes of blocks are powers of two up
/// to [`MAX_BLOCK_BYTES`](Self::MAX_BLOCK_BYTES), so that the memory of a freed block serves any
/// other queue. Contiguous buffers of all sizes would leave gaps in the heap that no later buffer
/// fits into, and the process would hold far more memory than it uses.
#[derive(Debug, Default)]
pub struct ByteQueue {
    /// No block is empty, except that the consumed bytes of the first one are still in it.
    blocks: VecDeque<Vec<u8>>,
    /// Number of consumed bytes at the beginning of the first block.
    consumed: usize,
    len: usize,
    allocated_bytes: usize,
}

impl ByteQueue {
    /// The smallest allocation for a block.
    pub const MIN_BLOCK_BYTES: usize = 1 << 10;
    /// The largest allocation for a block.
    pub const MAX_BLOCK_BYTES: usize = 1 << 15;
    /// Bytes of each allocation that are left to the allocator for its own data, so that two blocks
    /// fit where one of the double size was freed.
    const ALLOCATOR_BYTES: usize = 32;

    /// Creates an empty queue, which allocates no memory.
    pub fn new() -> Self {
        ByteQueue::default()
    }

    /// Returns the number of stored bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue stores no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of bytes allocated for the blocks.
    pub fn allocated_bytes(&self) -> usize {
        self.allocated_bytes
    }

    /// Returns how many bytes fit into a block for which `block_bytes` are allocated.
    pub const fn usable_bytes(block_bytes: usize) -> usize {
        block_bytes - Self::ALLOCATOR_BYTES
    }

    /// Returns the number of bytes that are allocated, at most, for a queue of `len` bytes that were
    /// pushed with [`push_part`](Self::push_part).
    pub fn allocation_for(len: usize) -> usize {
        let full_blocks = len / Self::usable_bytes(Self::MAX_BLOCK_BYTES);
        let rest = len % Self::usable_bytes(Self::MAX_BLOCK_BYTES);
        let last_block = if rest > 0 { Self::block_for(rest) } else { 0 };
        full_blocks * Self::MAX_BLOCK_BYTES + last_block
    }

    /// Appends bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.compact_for(bytes.len());
        // With blocks that double, many small appends lead to few blocks.
        self.push_part(bytes, bytes.len().max(self.allocated_bytes));
    }

    /// Removes the consumed bytes from the only block if it then has room for `bytes` further bytes.
    fn compact_for(&mut self, bytes: usize) {
        let [block] = self.blocks.make_contiguous() else {
            return;
        };
        let room = block.capacity() - block.len();
        if room < bytes && bytes <= room + self.consumed {
            block.drain(..self.consumed);
            self.consumed = 0;
        }
    }

    /// Appends bytes of a message. `remaining_bytes` is the number of bytes of the message that are
    /// still to be appended, including these; it determines the sizes of new blocks.
    pub fn push_part(&mut self, bytes: &[u8], remaining_bytes: usize) {
        let mut rest = bytes;
        while !rest.is_empty() {
            let still_expected = remaining_bytes.saturating_sub(bytes.len() - rest.len());
            let tail = self.tail_with_room(still_expected.max(rest.len()), 1);
            let count = rest.len().min(tail.capacity() - tail.len());
            tail.extend_from_slice(&rest[..count]);
            self.len += count;
            rest = &rest[count..];
        }
    }

    /// Moves all bytes of another queue to the end of this one. No byte is copied, unless the other
    /// queue has been consumed in part.
    pub fn append(&mut self, other: ByteQueue) {
        if other.consumed > 0 {
            for slice in other.slices() {
                self.push(slice);
            }
            return;
        }
        self.len += other.len;
        self.allocated_bytes += other.allocated_bytes;
        self.blocks.extend(other.blocks);
    }

    /// Returns the last block if it has room for at least `min_room` bytes, and otherwise adds one
    /// that fits `expected_bytes`, as far as a block can.
    fn tail_with_room(&mut self, expected_bytes: usize, min_room: usize) -> &mut Vec<u8> {
        let room = self
            .blocks
            .back()
            .map_or(0, |block| block.capacity() - block.len());
        if room < min_room {
            let block_bytes = Self::block_for(expected_bytes);
            let block = Vec::with_capacity(Self::usable_bytes(block_bytes));
            self.allocated_bytes += Self::allocation_of(&block);
            self.blocks.push_back(block);
        }
        let last = self.blocks.len() - 1;
        &mut self.blocks[last]
    }

    /// Lets `read` append up to `max_bytes` bytes to the queue. `read` gets a buffer and returns how
    /// many bytes it has stored at its beginning.
    ///
    /// # Errors
    ///
    /// Returns the error of `read`.
    pub fn append_with<E>(
        &mut self,
        max_bytes: usize,
        read: impl FnOnce(&mut [u8]) -> Result<usize, E>,
    ) -> Result<usize, E> {
        let min_room = max_bytes.min(Self::MIN_BLOCK_BYTES / 2);
        let tail = self.tail_with_room(max_bytes, min_room);
        let start = tail.len();
        let end = tail.capacity().min(start + max_bytes);
        tail.resize(end, 0);
        let result = read(&mut tail[start..]);
        let count = *result.as_ref().unwrap_or(&0);
        tail.truncate(start + count.min(end - start));
        let is_unused = tail.is_empty();
        self.len += tail.len() - start;
        if is_unused {
            self.drop_last_block();
        }
        result
    }

    fn drop_last_block(&mut self) {
        if let Some(block) = self.blocks.pop_back() {
            self.allocated_bytes -= Self::allocation_of(&block);
        }
    }

    /// Returns the longest contiguous run of stored bytes from the front. It is empty only if the
    /// queue is.
    pub fn front(&self) -> &[u8] {
        self.blocks
            .front()
            .map_or(&[], |block| &block[self.consumed..])
    }

    /// Returns the stored bytes as contiguous runs, from the front.
    pub fn slices(&self) -> impl Iterator<Item = &[u8]> {
        let skipped = std::iter::once(self.consumed).chain(std::iter::repeat(0));
        self.blocks
            .iter()
            .zip(skipped)
            .map(|(block, skipped)| &block[skipped..])
    }

    /// Drops up to `count` stored bytes from the front, and frees the blocks that held nothing else.
    pub fn consume(&mut self, count: usize) {
        let mut left = count.min(self.len);
        self.len -= left;
        while left > 0 {
            let in_front = self.front().len();
            if left < in_front {
                self.consumed += left;
                return;
            }
            left -= in_front;
            if let Some(block) = self.blocks.pop_front() {
                self.allocated_bytes -= Self::allocation_of(&block);
            }
            self.consumed = 0;
        }
    }

    /// Drops all stored bytes and frees their memory.
    pub fn clear(&mut self) {
        *self = ByteQueue::default();
    }

    /// Returns a copy of the stored bytes in one contiguous allocation.
    pub fn to_vec(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.len);
        for slice in self.slices() {
            bytes.extend_from_slice(slice);
        }
        bytes
    }

    /// Returns the smallest block that has room for this many bytes, or the largest one.
    fn block_for(bytes: usize) -> usize {
        (bytes.min(Self::MAX_BLOCK_BYTES) + Self::ALLOCATOR_BYTES)
            .next_power_of_two()
            .clamp(Self::MIN_BLOCK_BYTES, Self::MAX_BLOCK_BYTES)
    }

    /// Returns the size of the block that a vector was allocated for.
    fn allocation_of(block: &Vec<u8>) -> usize {
        block.capacity() + Self::ALLOCATOR_BYTES
    }
}

impl Clone for ByteQueue {
    fn clone(&self) -> Self {
        let mut copy = ByteQueue::new();
        let mut remaining_bytes = self.len;
        for slice in self.slices() {
            copy.push_part(slice, remaining_bytes);
            remaining_bytes -= slice.len();
        }
        copy
    }
}

impl From<&[u8]> for ByteQueue {
    fn from(bytes: &[u8]) -> Self {
        let mut queue = ByteQueue::new();
        queue.push(bytes);
        queue
    }
}

impl From<Vec<u8>> for ByteQueue {
    fn from(bytes: Vec<u8>) -> Self {
        bytes.as_slice().into()
    }
}

impl PartialEq for ByteQueue {
    /// Compares the stored bytes. It does not matter how they are split into blocks.
    fn eq(&self, other: &Self) -> bool {
        let bytes = self.slices().flatten();
        self.len == other.len && bytes.eq(other.slices().flatten())
    }
}

impl PartialEq<[u8]> for ByteQueue {
    fn eq(&self, other: &[u8]) -> bool {
        self.len == other.len() && self.slices().flatten().eq(other)
    }
}
