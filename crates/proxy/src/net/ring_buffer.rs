//! A ring buffer of bytes: one for each direction of a connection.

use std::io::{self, Read, Write};

/// The least memory that a ring takes, if it may.
const MIN_ALLOCATION: usize = 1 << 10;

/// A bounded ring of bytes. Memory is taken with the first byte, and for what is written as much as it needs: of
/// hundreds of connections that ask for little each may have room for much.
pub struct RingBuffer {
    bytes: Vec<u8>,
    capacity: usize,
    head: usize,
    len: usize,
}

impl RingBuffer {
    /// A ring for so many bytes at most.
    pub fn new(capacity: usize) -> Self {
        RingBuffer {
            bytes: Vec::new(),
            capacity: capacity.max(1),
            head: 0,
            len: 0,
        }
    }

    /// Bytes held.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Gives back the memory of an empty ring: connections that have gone quiet must not add up.
    pub fn release_memory(&mut self) {
        if self.len == 0 {
            self.bytes = Vec::new();
            self.head = 0;
        }
    }

    /// Drops all that is held.
    pub fn clear(&mut self) {
        self.consume(self.len);
    }

    /// Bytes of memory that it has taken.
    pub fn allocated(&self) -> usize {
        self.bytes.len()
    }

    /// Bytes that still fit.
    pub fn free_space(&self) -> usize {
        self.capacity - self.len
    }

    /// The longest run of held bytes from the front.
    pub fn readable(&self) -> &[u8] {
        &self.bytes[self.head..(self.head + self.len).min(self.bytes.len())]
    }

    /// Drops bytes from the front.
    pub fn consume(&mut self, n: usize) {
        let n = n.min(self.len);
        self.len -= n;
        self.head = if self.len == 0 {
            0
        } else {
            (self.head + n) % self.bytes.len()
        };
    }

    /// Makes room for so many bytes in all, as far as it may.
    fn grow(&mut self, wanted: usize) {
        if wanted <= self.bytes.len() {
            return;
        }
        let mut bytes = vec![
            0;
            wanted
                .next_power_of_two()
                .max(MIN_ALLOCATION)
                .min(self.capacity)
        ];
        let front = self.readable().len();
        bytes[..front].copy_from_slice(self.readable());
        bytes[front..self.len].copy_from_slice(&self.bytes[..self.len - front]);
        (self.bytes, self.head) = (bytes, 0);
    }

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

    /// Takes in as many bytes as fit; tells how many.
    pub fn push(&mut self, mut bytes: &[u8]) -> usize {
        let before = self.len;
        self.grow((self.len + bytes.len()).min(self.capacity));
        while !bytes.is_empty() && self.free_space() > 0 {
            let gap = self.writable();
            let n = gap.len().min(bytes.len());
            gap[..n].copy_from_slice(&bytes[..n]);
            self.len += n;
            bytes = &bytes[n..];
        }
        self.len - before
    }

    /// Reads once into the free part; 0 where the other side has ended or nothing fits.
    pub fn read_from(&mut self, from: &mut impl Read) -> io::Result<usize> {
        if self.free_space() == 0 {
            return Ok(0);
        }
        // How much comes is not known before: a small ring would only be read more often.
        self.grow(self.capacity);
        let n = from.read(self.writable())?;
        self.len += n;
        Ok(n)
    }

    /// Writes once from the front.
    pub fn write_to(&mut self, to: &mut impl Write) -> io::Result<usize> {
        let n = to.write(self.readable())?;
        self.consume(n);
        Ok(n)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bytes_come_out_as_they_went_in_around_the_end() {
        let mut ring = RingBuffer::new(5);
        let (mut sent, mut got) = (0u8, Vec::new());
        for step in [3, 1, 4, 2, 5, 1, 3, 5] {
            let bytes: Vec<u8> = (sent..sent + step).collect();
            sent += ring.push(&bytes) as u8;
            assert_eq!(ring.push(&[0; 9][..0]), 0);
            ring.write_to(&mut got).unwrap();
        }
        while !ring.is_empty() {
            ring.write_to(&mut got).unwrap();
        }
        assert_eq!(got, (0..sent).collect::<Vec<_>>());
        assert_eq!((ring.push(&[7; 9]), ring.free_space()), (5, 0));
    }

    #[test]
    fn memory_is_taken_as_it_is_needed_and_given_back() {
        let (mut ring, mut sent, mut got) = (RingBuffer::new(64 << 10), Vec::new(), Vec::new());
        assert_eq!(ring.allocated(), 0);
        for step in [100, 900, 3_000, 20_000, 60_000, 1] {
            let bytes: Vec<u8> = (0..step).map(|n| (n * 7 + step) as u8).collect();
            let taken = ring.push(&bytes);
            sent.extend_from_slice(&bytes[..taken]);
            assert!(
                ring.allocated() <= (2 * ring.len()).max(MIN_ALLOCATION),
                "{} for {}",
                ring.allocated(),
                ring.len()
            );
            // It is moved as it grows while bytes are in it, also around its end.
            got.extend_from_slice(&ring.readable()[..ring.readable().len() / 2]);
            ring.consume(ring.readable().len() / 2);
        }
        while !ring.is_empty() {
            ring.write_to(&mut got).unwrap();
        }
        assert!(got == sent, "in the order in which they came");
        ring.release_memory();
        assert_eq!(ring.allocated(), 0);
    }
}
