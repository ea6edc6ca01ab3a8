//! Assembles lines from input that may be split at any position.

use super::ProtocolError;

/// Buffer for one partially received line at a time. A line ends with LF or CR LF.
#[derive(Clone, Debug)]
pub(super) struct LineBuffer {
    partial: Vec<u8>,
    limit_bytes: usize,
}

/// Result of passing input to a [`LineBuffer`].
pub(super) struct LineProgress {
    /// Number of input bytes that were consumed.
    pub consumed: usize,
    /// The line without its line end, or `None` if it is not complete yet.
    pub line: Option<Vec<u8>>,
}

impl LineBuffer {
    /// Creates a buffer for lines of at most `limit_bytes` bytes, including the line end.
    pub(super) fn new(limit_bytes: usize) -> Self {
        LineBuffer {
            partial: Vec::new(),
            limit_bytes,
        }
    }

    /// Returns whether the buffer holds no part of a line.
    pub(super) fn is_empty(&self) -> bool {
        self.partial.is_empty()
    }

    /// Returns the received part of a line that is not complete yet.
    pub(super) fn partial(&self) -> &[u8] {
        &self.partial
    }

    /// Returns the number of bytes allocated for a part of a line.
    pub(super) fn allocated_bytes(&self) -> usize {
        self.partial.capacity()
    }

    /// Consumes input up to the end of the line, or all of the input if it has no line end.
    ///
    /// # Errors
    ///
    /// Returns an error if the line is longer than the limit.
    pub(super) fn take(&mut self, input: &[u8]) -> Result<LineProgress, ProtocolError> {
        let line_feed = input.iter().position(|byte| *byte == b'\n');
        let consumed = line_feed.map_or(input.len(), |position| position + 1);
        if self.partial.len() + consumed > self.limit_bytes {
            return Err(ProtocolError::TooLong("a line"));
        }
        let text = &input[..line_feed.unwrap_or(input.len())];
        self.partial.extend_from_slice(text);
        let line = line_feed.map(|_| self.finish());
        Ok(LineProgress { consumed, line })
    }

    fn finish(&mut self) -> Vec<u8> {
        let mut line = std::mem::take(&mut self.partial);
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        line
    }
}
