//! A ring buffer of bytes. Each connection has one for each direction.

use std::io::{self, Read, Write};

/// A bounded ring buffer of bytes.
///
/// Memory is allocated for the first byte and grows with the stored data, so that hundreds of
/// connections that send little can each have a large capacity.
pub struct RingBuffer {
    bytes: Vec<u8>,
    capacity: usize,
    /// Index of the first stored byte.
    head: usize,
    len: usize,
}

impl RingBuffer {
    /// The smallest allocation, in bytes, unless the capacity is smaller.
    pub const MIN_ALLOCATION_BYTES: usize = 1 << 10;

    /// Creates a buffer that stores at most `capacity` bytes. A capacity of 0 counts as 1.
    pub fn new(capacity: usize) -> Self {
        RingBuffer {
            bytes: Vec::new(),
            capacity: capacity.max(1),
            head: 0,
            len: 0,
        }
    }

    /// Returns the number of stored bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the buffer stores no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Frees the memory of the buffer if it is empty, so that idle connections hold no memory.
    pub fn release_memory(&mut self) {
        if self.len == 0 {
            self.bytes = Vec::new();
            self.head = 0;
        }
    }

    /// Drops all stored bytes.
    pub fn clear(&mut self) {
        self.consume(self.len);
    }

    /// Returns the number of allocated bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Returns how many more bytes fit.
    pub fn free_space(&self) -> usize {
        self.capacity - self.len
    }

    /// Returns the longest contiguous run of stored bytes from the front.
    pub fn readable(&self) -> &[u8] {
        &self.bytes[self.head..(self.head + self.len).min(self.bytes.len())]
    }

    /// Drops up to `count` stored bytes from the front.
    pub fn consume(&mut self, count: usize) {
        let count = count.min(self.len);
        self.len -= count;
        self.head = if self.len == 0 {
            0
        } else {
            (self.head + count) % self.bytes.len()
        };
    }

    /// Allocates memory for a total of `min_bytes` bytes, up to the capacity.
    fn grow(&mut self, min_bytes: usize) {
        if min_bytes <= self.bytes.len() {
            return;
        }
        let size = min_bytes
            .next_power_of_two()
            .max(Self::MIN_ALLOCATION_BYTES)
            .min(self.capacity);
        let mut bytes = vec![0; size];
        let front = self.readable();
        let wrapped = self.len - front.len();
        bytes[..front.len()].copy_from_slice(front);
        bytes[front.len()..self.len].copy_from_slice(&self.bytes[..wrapped]);
        self.bytes = bytes;
        self.head = 0;
    }

    /// Returns the longest contiguous run of allocated bytes that are free.
    fn writable(&mut self) -> &mut [u8] {
        let size = self.bytes.len();
        let tail = (self.head + self.len) % size;
        let end = if self.len > 0 && tail <= self.head {
            self.head
        } else {
            size
        };
        &mut self.bytes[tail..end]
    }

    /// Stores as many of `bytes` as fit. Returns how many were stored.
    pub fn push(&mut self, mut bytes: &[u8]) -> usize {
        let before = self.len;
        self.grow((self.len + bytes.len()).min(self.capacity));
        while !bytes.is_empty() && self.free_space() > 0 {
            let free = self.writable();
            let count = free.len().min(bytes.len());
            free[..count].copy_from_slice(&bytes[..count]);
            self.len += count;
            bytes = &bytes[count..];
        }
        self.len - before
    }

    /// Reads once from `source` into the free space. Returns the number of bytes read, which is 0
    /// at the end of the stream or if the buffer is full.
    pub fn read_from(&mut self, source: &mut impl Read) -> io::Result<usize> {
        if self.free_space() == 0 {
            return Ok(0);
        }
        // The amount of available input is unknown, and a small allocation would only cause more
        // reads.
        self.grow(self.capacity);
        let count = source.read(self.writable())?;
        self.len += count;
        Ok(count)
    }

    /// Writes once from the front of the buffer to `sink`. Returns how many bytes were written.
    pub fn write_to(&mut self, sink: &mut impl Write) -> io::Result<usize> {
        let count = sink.write(self.readable())?;
        self.consume(count);
        Ok(count)
    }
}
