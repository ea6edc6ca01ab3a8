//! RESP arrays of bulk strings, the protocol of the cache servers.
//!
//! An array is encoded as `*COUNT`, CR LF and its strings. A bulk string is encoded as `$LENGTH`,
//! CR LF, its bytes and CR LF. Other RESP types are not supported.

use super::line::{LineBuffer, LineProgress};
use super::{Parser, ProtocolError};
use crate::memory::ByteQueue;
use std::ops::RangeInclusive;

/// Maximum length of a line that holds the length of an array or of a string, including the line
/// end.
const MAX_LENGTH_LINE_BYTES: usize = 32;
/// The line end after each line and each string.
pub const LINE_END: &[u8] = b"\r\n";

/// The first byte of a line that holds the length of an array, and its name in errors.
const ARRAY: LengthLine = LengthLine {
    prefix: b'*',
    item: "a RESP array",
};
/// The first byte of a line that holds the length of a string, and its name in errors.
const STRING: LengthLine = LengthLine {
    prefix: b'$',
    item: "a RESP string",
};

/// A complete array.
#[derive(Debug, Default, PartialEq)]
pub struct Array {
    /// The strings of the array.
    pub strings: Vec<ByteQueue>,
    /// Whether a string was discarded. It is empty, and it must not be taken for the string that was
    /// received.
    pub has_discarded_string: bool,
}

/// The part of the input that is expected next. The array still lacks `missing_strings` strings,
/// including the one that is being received.
#[derive(Clone, Copy)]
enum State {
    /// The line with the number of strings in the array.
    ArrayLength,
    /// The line with the length of the next string.
    StringLength { missing_strings: usize },
    /// The bytes of a string that is held back until the owner of the parser decides on it.
    HeldString {
        missing_strings: usize,
        length_bytes: usize,
    },
    /// Further bytes of a string.
    StringContent {
        missing_strings: usize,
        remaining_bytes: usize,
    },
    /// The line end after a string, of which this many bytes have arrived.
    StringEnd {
        missing_strings: usize,
        received_bytes: usize,
    },
}

/// Incremental parser for arrays of bulk strings.
pub struct ArrayParser {
    string_counts: RangeInclusive<usize>,
    string_limit_bytes: usize,
    /// The index of the string that is held back in each array.
    held_index: Option<usize>,
    state: State,
    line_buffer: LineBuffer,
    /// The array that is being received, with its complete strings.
    array: Array,
    /// Received bytes of the string that is not complete yet.
    partial_string: ByteQueue,
    /// Whether the bytes of the string that is being received are dropped.
    is_discarding: bool,
}

impl ArrayParser {
    /// Creates a parser for arrays with a number of strings in `string_counts`, each of at most
    /// `string_limit_bytes` bytes. An array that announces another number of strings is an error.
    pub fn new(string_counts: RangeInclusive<usize>, string_limit_bytes: usize) -> Self {
        ArrayParser {
            string_counts,
            string_limit_bytes,
            held_index: None,
            state: State::ArrayLength,
            line_buffer: LineBuffer::new(MAX_LENGTH_LINE_BYTES),
            array: Array::default(),
            partial_string: ByteQueue::new(),
            is_discarding: false,
        }
    }

    /// Makes the parser hold back the string with this index in each array, unless it is empty. The
    /// parser then consumes no input until [`accept_held_string`](Self::accept_held_string) or
    /// [`discard_string`](Self::discard_string) is called.
    pub fn holding_back(mut self, index: usize) -> Self {
        self.held_index = Some(index);
        self
    }

    /// Returns whether an array is partially received.
    pub fn has_partial_input(&self) -> bool {
        !matches!(self.state, State::ArrayLength) || !self.line_buffer.is_empty()
    }

    /// Returns the first string of the array that is partially received, or `None` if that string
    /// is not complete yet. Of a string longer than a block, only the beginning is returned.
    pub fn first_string(&self) -> Option<&[u8]> {
        self.array.strings.first().map(ByteQueue::front)
    }

    /// Returns the length of the string that is held back, or `None` if none is.
    pub fn held_string_bytes(&self) -> Option<usize> {
        match self.state {
            State::HeldString { length_bytes, .. } => Some(length_bytes),
            _ => None,
        }
    }

    /// Returns whether a string is being received and kept that is held back at its beginning.
    pub fn is_receiving_held_string(&self) -> bool {
        let is_content = matches!(self.state, State::StringContent { .. });
        is_content && !self.is_discarding && self.held_index == Some(self.array.strings.len())
    }

    /// Receives the string that is held back.
    pub fn accept_held_string(&mut self) {
        if let State::HeldString {
            missing_strings,
            length_bytes,
        } = self.state
        {
            self.state = State::StringContent {
                missing_strings,
                remaining_bytes: length_bytes,
            };
        }
    }

    /// Drops what has been received of the string that is held back or being received, and its
    /// remaining bytes as they arrive.
    pub fn discard_string(&mut self) {
        self.accept_held_string();
        if matches!(self.state, State::StringContent { .. }) {
            self.partial_string.clear();
            self.is_discarding = true;
            self.array.has_discarded_string = true;
        }
    }

    /// Returns the memory of the array that is partially received. The whole announced length of a
    /// string counts, as far as it is kept.
    pub fn held_bytes(&self) -> usize {
        let strings = self.array.strings.iter().map(ByteQueue::allocated_bytes);
        let announced_bytes = match self.state {
            State::StringContent {
                remaining_bytes, ..
            } if !self.is_discarding => {
                ByteQueue::allocation_for(self.partial_string.len() + remaining_bytes)
            }
            _ => self.partial_string.allocated_bytes(),
        };
        strings.sum::<usize>() + announced_bytes
    }

    /// Parses within the current state. Returns the number of consumed bytes, and the array if it
    /// is complete.
    fn step(&mut self, input: &[u8]) -> Result<(usize, Option<Array>), ProtocolError> {
        match self.state {
            State::StringLength { missing_strings: 0 } => {
                self.state = State::ArrayLength;
                Ok((0, Some(std::mem::take(&mut self.array))))
            }
            State::ArrayLength => {
                let progress = self.take_length_line(input, ARRAY)?;
                if let Some(line) = progress.line {
                    let missing_strings = self.parse_array_length(&line)?;
                    self.state = State::StringLength { missing_strings };
                }
                Ok((progress.consumed, None))
            }
            State::StringLength { missing_strings } => {
                let progress = self.take_length_line(input, STRING)?;
                if let Some(line) = progress.line {
                    let length_bytes = STRING.parse(&line, self.string_limit_bytes)?;
                    self.state = self.begin_string(missing_strings, length_bytes);
                }
                Ok((progress.consumed, None))
            }
            State::HeldString { .. } => Ok((0, None)),
            State::StringContent {
                missing_strings,
                remaining_bytes,
            } => {
                let consumed = self.take_content(input, missing_strings, remaining_bytes);
                Ok((consumed, None))
            }
            State::StringEnd {
                missing_strings,
                received_bytes,
            } => {
                let consumed = self.take_string_end(input, missing_strings, received_bytes)?;
                Ok((consumed, None))
            }
        }
    }

    /// Returns the state after the line with the length of a string.
    fn begin_string(&self, missing_strings: usize, length_bytes: usize) -> State {
        if length_bytes > 0 && self.held_index == Some(self.array.strings.len()) {
            return State::HeldString {
                missing_strings,
                length_bytes,
            };
        }
        State::StringContent {
            missing_strings,
            remaining_bytes: length_bytes,
        }
    }

    /// Consumes bytes of a line that holds a length. A line that is not complete is checked as far as
    /// it has arrived, so that malformed input is found at its first byte.
    fn take_length_line(
        &mut self,
        input: &[u8],
        expected: LengthLine,
    ) -> Result<LineProgress, ProtocolError> {
        let progress = self.line_buffer.take(input)?;
        if progress.line.is_none() {
            expected.check_beginning(self.line_buffer.partial())?;
        }
        Ok(progress)
    }

    /// Parses the line with the number of strings in an array.
    fn parse_array_length(&self, line: &[u8]) -> Result<usize, ProtocolError> {
        let string_count = ARRAY.parse(line, *self.string_counts.end())?;
        if string_count < *self.string_counts.start() {
            return Err(ProtocolError::Malformed(
                "a RESP array (it announces too few strings)",
            ));
        }
        Ok(string_count)
    }

    /// Consumes bytes of a string. Returns the number of consumed bytes.
    fn take_content(
        &mut self,
        input: &[u8],
        missing_strings: usize,
        remaining_bytes: usize,
    ) -> usize {
        let consumed = remaining_bytes.min(input.len());
        if !self.is_discarding {
            self.partial_string
                .push_part(&input[..consumed], remaining_bytes);
        }
        self.state = if consumed < remaining_bytes {
            State::StringContent {
                missing_strings,
                remaining_bytes: remaining_bytes - consumed,
            }
        } else {
            State::StringEnd {
                missing_strings,
                received_bytes: 0,
            }
        };
        consumed
    }

    /// Consumes bytes of the line end after a string. Returns the number of consumed bytes.
    fn take_string_end(
        &mut self,
        input: &[u8],
        missing_strings: usize,
        received_bytes: usize,
    ) -> Result<usize, ProtocolError> {
        let expected = &LINE_END[received_bytes..];
        let consumed = expected.len().min(input.len());
        if input[..consumed] != expected[..consumed] {
            return Err(ProtocolError::Malformed(
                "the line end after a RESP string (expected CR LF)",
            ));
        }
        if consumed < expected.len() {
            self.state = State::StringEnd {
                missing_strings,
                received_bytes: received_bytes + consumed,
            };
            return Ok(consumed);
        }
        let string = std::mem::take(&mut self.partial_string);
        self.array.strings.push(string);
        self.is_discarding = false;
        self.state = State::StringLength {
            missing_strings: missing_strings - 1,
        };
        Ok(consumed)
    }
}

impl Parser for ArrayParser {
    type Item = Array;

    fn parse(&mut self, input: &[u8]) -> Result<(usize, Option<Self::Item>), ProtocolError> {
        let mut position = 0;
        loop {
            let is_complete = matches!(self.state, State::StringLength { missing_strings: 0 });
            let is_held = self.held_string_bytes().is_some();
            if is_held || (position == input.len() && !is_complete) {
                return Ok((position, None));
            }
            let (consumed, array) = self.step(&input[position..])?;
            position += consumed;
            if array.is_some() {
                return Ok((position, array));
            }
        }
    }
}

/// The form of a line that holds the length of an array or of a string: a prefix, then decimal
/// digits.
#[derive(Clone, Copy)]
struct LengthLine {
    prefix: u8,
    /// What the line announces, as errors name it.
    item: &'static str,
}

impl LengthLine {
    /// Parses a complete line without its line end. Returns the length.
    fn parse(self, line: &[u8], limit: usize) -> Result<usize, ProtocolError> {
        let malformed = || ProtocolError::Malformed(self.item);
        let digits = self.digits(line).ok_or_else(malformed)?;
        let length = std::str::from_utf8(digits)
            .ok()
            .and_then(|text| text.parse::<usize>().ok())
            .ok_or_else(malformed)?;
        // A peer may announce any length, so the limit is checked before memory is allocated.
        if length > limit {
            return Err(ProtocolError::TooLong(self.item));
        }
        Ok(length)
    }

    /// Checks the received part of a line that is not complete yet. Its last byte may be the CR of
    /// the line end.
    fn check_beginning(self, partial_line: &[u8]) -> Result<(), ProtocolError> {
        let text = partial_line.strip_suffix(b"\r").unwrap_or(partial_line);
        let is_valid = partial_line.is_empty() || self.digits(text).is_some();
        is_valid
            .then_some(())
            .ok_or(ProtocolError::Malformed(self.item))
    }

    /// Returns the text after the prefix, or `None` if the prefix is missing or the text contains
    /// anything but decimal digits.
    fn digits(self, text: &[u8]) -> Option<&[u8]> {
        let digits = text.strip_prefix(&[self.prefix])?;
        digits.iter().all(u8::is_ascii_digit).then_some(digits)
    }
}

/// Appends an array of bulk strings to `out`.
pub fn write_array(out: &mut Vec<u8>, strings: &[&[u8]]) {
    write_array_length(out, strings.len());
    for string in strings {
        write_string(out, string);
    }
}

/// Appends the line with the number of strings in an array to `out`.
pub fn write_array_length(out: &mut Vec<u8>, string_count: usize) {
    out.extend_from_slice(format!("*{string_count}\r\n").as_bytes());
}

/// Appends a bulk string to `out`.
pub fn write_string(out: &mut Vec<u8>, string: &[u8]) {
    write_string_length(out, string.len());
    out.extend_from_slice(string);
    out.extend_from_slice(LINE_END);
}

/// Appends the line with the length of a bulk string to `out`.
pub fn write_string_length(out: &mut Vec<u8>, length_bytes: usize) {
    out.extend_from_slice(format!("${length_bytes}\r\n").as_bytes());
}

/// Returns the value of the first field with this name in a list `name=value,name=value`. Returns
/// `None` if the list has no such field or is not UTF-8.
pub fn field_value<'a>(fields: &'a [u8], name: &str) -> Option<&'a str> {
    let fields = std::str::from_utf8(fields).ok()?;
    fields.split(',').find_map(|field| {
        let (field_name, value) = field.split_once('=')?;
        (field_name == name).then_some(value)
    })
}
