//! RESP arrays of bulk strings, the protocol of the cache servers.
//!
//! An array is encoded as `*COUNT`, CR LF and its strings. A bulk string is encoded as `$LENGTH`,
//! CR LF, its bytes and CR LF. Other RESP types are not supported.

use super::line::{LineBuffer, LineProgress};
use super::{append_received, Parser, ProtocolError};
use std::ops::RangeInclusive;

/// Maximum length of a line that holds the length of an array or of a string, including the line
/// end.
const MAX_LENGTH_LINE_BYTES: usize = 32;
const LINE_END: &[u8] = b"\r\n";

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

/// The strings of one array.
pub type Array = Vec<Vec<u8>>;

/// The part of the input that is expected next.
#[derive(Clone, Copy)]
enum State {
    /// The line with the number of strings in the array.
    ArrayLength,
    /// The line with the length of the next string. The array still lacks `missing_strings`
    /// strings.
    StringLength { missing_strings: usize },
    /// The bytes of a string and the line end after it. The array still lacks `missing_strings`
    /// strings, including this one.
    StringContent {
        missing_strings: usize,
        length_bytes: usize,
    },
}

/// Incremental parser for arrays of bulk strings.
pub struct ArrayParser {
    string_counts: RangeInclusive<usize>,
    string_limit_bytes: usize,
    state: State,
    line_buffer: LineBuffer,
    /// Complete strings of the array that is being received.
    strings: Array,
    /// Received bytes of the string that is not complete yet, including its line end.
    partial_string: Vec<u8>,
}

impl ArrayParser {
    /// Creates a parser for arrays with a number of strings in `string_counts`, each of at most
    /// `string_limit_bytes` bytes. An array that announces another number of strings is an error.
    pub fn new(string_counts: RangeInclusive<usize>, string_limit_bytes: usize) -> Self {
        ArrayParser {
            string_counts,
            string_limit_bytes,
            state: State::ArrayLength,
            line_buffer: LineBuffer::new(MAX_LENGTH_LINE_BYTES),
            strings: Vec::new(),
            partial_string: Vec::new(),
        }
    }

    /// Returns whether an array is partially received.
    pub fn has_partial_input(&self) -> bool {
        !matches!(self.state, State::ArrayLength) || !self.line_buffer.is_empty()
    }

    /// Returns the first string of the array that is partially received, or `None` if that string
    /// is not complete yet.
    pub fn first_string(&self) -> Option<&[u8]> {
        self.strings.first().map(Vec::as_slice)
    }

    /// Parses within the current state. Returns the number of consumed bytes, and the array if it
    /// is complete.
    fn step(&mut self, input: &[u8]) -> Result<(usize, Option<Array>), ProtocolError> {
        match self.state {
            State::StringLength { missing_strings: 0 } => {
                self.state = State::ArrayLength;
                Ok((0, Some(std::mem::take(&mut self.strings))))
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
                    self.state = State::StringContent {
                        missing_strings,
                        length_bytes,
                    };
                }
                Ok((progress.consumed, None))
            }
            State::StringContent {
                missing_strings,
                length_bytes,
            } => {
                let consumed = self.take_content(input, missing_strings, length_bytes)?;
                Ok((consumed, None))
            }
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

    /// Consumes bytes of a string and of the line end after it. Returns the number of consumed
    /// bytes.
    fn take_content(
        &mut self,
        input: &[u8],
        missing_strings: usize,
        length_bytes: usize,
    ) -> Result<usize, ProtocolError> {
        let final_bytes = length_bytes + LINE_END.len();
        let wanted = final_bytes - self.partial_string.len();
        let consumed = wanted.min(input.len());
        append_received(&mut self.partial_string, &input[..consumed], final_bytes);
        if consumed == wanted {
            if !self.partial_string.ends_with(LINE_END) {
                return Err(ProtocolError::Malformed(
                    "the line end after a RESP string (expected CR LF)",
                ));
            }
            self.partial_string.truncate(length_bytes);
            self.strings.push(std::mem::take(&mut self.partial_string));
            self.state = State::StringLength {
                missing_strings: missing_strings - 1,
            };
        }
        Ok(consumed)
    }
}

impl Parser for ArrayParser {
    type Item = Array;

    fn parse(&mut self, input: &[u8]) -> Result<(usize, Option<Self::Item>), ProtocolError> {
        let mut position = 0;
        loop {
            let is_complete = matches!(self.state, State::StringLength { missing_strings: 0 });
            if position == input.len() && !is_complete {
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
    out.extend_from_slice(format!("*{}\r\n", strings.len()).as_bytes());
    for string in strings {
        out.extend_from_slice(format!("${}\r\n", string.len()).as_bytes());
        out.extend_from_slice(string);
        out.extend_from_slice(LINE_END);
    }
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
