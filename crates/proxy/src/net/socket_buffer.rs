//! A bounded buffer of bytes. Each connection has one for each direction.

use crate::memory::ByteQueue;
use std::io::{self, Read, Write};

/// A bounded queue of bytes between a socket and the code that reads or writes its messages.
///
/// Memory is allocated for the stored bytes only, so that hundreds of connections that send little
/// can each have a large capacity.
pub struct SocketBuffer {
    bytes: ByteQueue,
    capacity: usize,
}

impl SocketBuffer {
    /// The smallest allocation, in bytes.
    pub const MIN_ALLOCATION_BYTES: usize = ByteQueue::MIN_BLOCK_BYTES;

    /// Creates a buffer that stores at most `capacity` bytes. A capacity of 0 counts as 1.
    pub fn new(capacity: usize) -> Self {
        SocketBuffer {
            bytes: ByteQueue::new(),
            capacity: capacity.max(1),
        }
    }

    /// Returns the number of stored bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether the buffer stores no bytes. It then holds no memory either.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Drops all stored bytes.
    pub fn clear(&mut self) {
        self.bytes.clear();
    }

    /// Returns the number of allocated bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.bytes.allocated_bytes()
    }

    /// Returns how many more bytes fit.
    pub fn free_space(&self) -> usize {
        self.capacity - self.len()
    }

    /// Returns the longest contiguous run of stored bytes from the front.
    pub fn readable(&self) -> &[u8] {
        self.bytes.front()
    }

    /// Drops up to `count` stored bytes from the front.
    pub fn consume(&mut self, count: usize) {
        self.bytes.consume(count);
    }

    /// Stores as many of `bytes` as fit. Returns how many were stored.
    pub fn push(&mut self, bytes: &[u8]) -> usize {
        let count = bytes.len().min(self.free_space());
        self.bytes.push(&bytes[..count]);
        count
    }

    /// Reads once from `source` into the free space. Returns the number of bytes read, which is 0
    /// at the end of the stream or if the buffer is full.
    pub fn read_from(&mut self, source: &mut impl Read) -> io::Result<usize> {
        let free_space = self.free_space();
        if free_space == 0 {
            return Ok(0);
        }
        // The amount of available input is unknown, and a small buffer would only cause more reads.
        self.bytes
            .append_with(free_space, |buffer| source.read(buffer))
    }

    /// Writes once from the front of the buffer to `sink`. Returns how many bytes were written.
    pub fn write_to(&mut self, sink: &mut impl Write) -> io::Result<usize> {
        let count = sink.write(self.readable())?;
        self.consume(count);
        Ok(count)
    }
}
