//! A ring buffer of bytes: one for each direction of a connection.

use std::io::{self, Read, Write};

/// A bounded ring of bytes.
///
/// Memory is allocated with the first byte and grows with what is stored: hundreds of connections
/// that send little may each be allowed much.
pub struct RingBuffer {
    bytes: Vec<u8>,
    capacity: usize,
    /// Index of the first stored byte.
    head: usize,
    len: usize,
}

impl RingBuffer {
    /// Smallest allocation, in bytes, unless the capacity is below it.
    pub const MIN_ALLOCATION: usize = 1 << 10;

    /// A buffer that stores at most `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        RingBuffer {
            bytes: Vec::new(),
            capacity: capacity.max(1),
            head: 0,
            len: 0,
        }
    }

    /// Number of stored bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no byte is stored.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Frees the memory of an empty buffer, so that many idle connections do not add up.
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

    /// Bytes of memory that are allocated.
    pub fn allocated(&self) -> usize {
        self.bytes.len()
    }

    /// How many more bytes can be stored.
    pub fn free_space(&self) -> usize {
        self.capacity - self.len
    }

    /// The longest contiguous run of stored bytes from the front.
    pub fn readable(&self) -> &[u8] {
        &self.bytes[self.head..(self.head + self.len).min(self.bytes.len())]
    }

    /// Drops up to `count` bytes from the front.
    pub fn consume(&mut self, count: usize) {
        let count = count.min(self.len);
        self.len -= count;
        self.head = if self.len == 0 {
            0
        } else {
            (self.head + count) % self.bytes.len()
        };
    }

    /// Allocates memory for `wanted` bytes in all, within the capacity.
    fn grow(&mut self, wanted: usize) {
        if wanted <= self.bytes.len() {
            return;
        }
        let size = wanted
            .next_power_of_two()
            .max(Self::MIN_ALLOCATION)
            .min(self.capacity);
        let mut bytes = vec![0; size];
        let front = self.readable();
        let wrapped = self.len - front.len();
        bytes[..front.len()].copy_from_slice(front);
        bytes[front.len()..self.len].copy_from_slice(&self.bytes[..wrapped]);
        self.bytes = bytes;
        self.head = 0;
    }

    /// The longest contiguous run of allocated bytes that is free.
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

    /// Stores as many of `bytes` as fit. Returns how many.
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

    /// Reads once into the free part. Returns 0 at the end of the stream, or if nothing fits.
    pub fn read_from(&mut self, from: &mut impl Read) -> io::Result<usize> {
        if self.free_space() == 0 {
            return Ok(0);
        }
        // How much will come is unknown: a small allocation would only mean more reads.
        self.grow(self.capacity);
        let count = from.read(self.writable())?;
        self.len += count;
        Ok(count)
    }

    /// Writes once from the front. Returns how many bytes were written.
    pub fn write_to(&mut self, to: &mut impl Write) -> io::Result<usize> {
        let count = to.write(self.readable())?;
        self.consume(count);
        Ok(count)
    }
}
