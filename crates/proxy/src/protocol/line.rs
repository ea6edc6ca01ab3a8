//! Lines that arrive in pieces.

use super::ProtocolError;

/// Collects the bytes of one line after the other. A line ends by LF or CR LF.
#[derive(Clone, Debug)]
pub(super) struct LineBuffer {
    partial: Vec<u8>,
    limit: usize,
}

/// What came of taking bytes for a line.
pub(super) struct LineProgress {
    /// Bytes of the input that are consumed.
    pub consumed: usize,
    /// The line without its end, if it is whole.
    pub line: Option<Vec<u8>>,
}

impl LineBuffer {
    /// A buffer for lines of at most `limit` bytes, their line feed with them.
    pub(super) fn new(limit: usize) -> Self {
        LineBuffer {
            partial: Vec::new(),
            limit,
        }
    }

    /// Whether no line is partially received.
    pub(super) fn is_empty(&self) -> bool {
        self.partial.is_empty()
    }

    /// Takes bytes up to the end of the line, or all of the input if it has no line end.
    pub(super) fn take(&mut self, input: &[u8]) -> Result<LineProgress, ProtocolError> {
        let line_feed = input.iter().position(|byte| *byte == b'\n');
        let consumed = line_feed.map_or(input.len(), |position| position + 1);
        if self.partial.len() + consumed > self.limit {
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
