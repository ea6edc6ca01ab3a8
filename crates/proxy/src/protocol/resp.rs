//! RESP arrays of bulk strings, the protocol of the cache servers.
//!
//! An array is `*COUNT`, CR LF, then its strings; a string is `$LENGTH`, CR LF, its bytes, CR LF.
//! Other RESP types are not used.

use super::line::LineBuffer;
use super::{Parser, ProtocolError};

/// The most strings in an array. Requests and answers have four at most.
const ARRAY_LIMIT: usize = 8;
/// The longest line that announces an array or a string, in bytes, its end with it.
const LINE_LIMIT: usize = 32;
const LINE_END: &[u8] = b"\r\n";

/// The strings of one array.
pub type Array = Vec<Vec<u8>>;

/// What is being received.
#[derive(Clone, Copy)]
enum State {
    /// The line that announces an array.
    ArrayHeader,
    /// The line that announces the next string of an array that lacks `missing` strings.
    StringHeader { missing: usize },
    /// The bytes of a string and its line end, in an array that lacks `missing` strings, this one
    /// among them.
    StringContent { missing: usize, length: usize },
}

/// Reads arrays of bulk strings.
pub struct ArrayParser {
    string_limit: usize,
    state: State,
    line: LineBuffer,
    /// The whole strings of the array that is being received.
    strings: Array,
    /// The string that is being received.
    partial_string: Vec<u8>,
}

impl ArrayParser {
    /// A reader of arrays. The limit on each string is in bytes.
    pub fn new(string_limit: usize) -> Self {
        ArrayParser {
            string_limit,
            state: State::ArrayHeader,
            line: LineBuffer::new(LINE_LIMIT),
            strings: Vec::new(),
            partial_string: Vec::new(),
        }
    }

    /// Whether an array is partially received.
    pub fn has_partial_input(&self) -> bool {
        !matches!(self.state, State::ArrayHeader) || !self.line.is_empty()
    }

    /// The first string of the array that is partially received.
    pub fn first(&self) -> Option<&[u8]> {
        self.strings.first().map(Vec::as_slice)
    }

    /// Parses one step: how many bytes are consumed, and the array if it is whole.
    fn step(&mut self, input: &[u8]) -> Result<(usize, Option<Array>), ProtocolError> {
        match self.state {
            State::StringHeader { missing: 0 } => {
                self.state = State::ArrayHeader;
                Ok((0, Some(std::mem::take(&mut self.strings))))
            }
            State::ArrayHeader => {
                let progress = self.line.take(input)?;
                if let Some(line) = progress.line {
                    let missing = read_length(&line, b'*', ARRAY_LIMIT, "a RESP array")?;
                    self.state = State::StringHeader { missing };
                }
                Ok((progress.consumed, None))
            }
            State::StringHeader { missing } => {
                let progress = self.line.take(input)?;
                if let Some(line) = progress.line {
                    let length = read_length(&line, b'$', self.string_limit, "a RESP string")?;
                    self.state = State::StringContent { missing, length };
                }
                Ok((progress.consumed, None))
            }
            State::StringContent { missing, length } => {
                let consumed = self.take_content(input, missing, length)?;
                Ok((consumed, None))
            }
        }
    }

    /// Takes bytes of a string and of its line end: how many are consumed.
    fn take_content(
        &mut self,
        input: &[u8],
        missing: usize,
        length: usize,
    ) -> Result<usize, ProtocolError> {
        let wanted = length + LINE_END.len() - self.partial_string.len();
        let consumed = wanted.min(input.len());
        self.partial_string.extend_from_slice(&input[..consumed]);
        if consumed == wanted {
            if !self.partial_string.ends_with(LINE_END) {
                return Err(ProtocolError::Malformed(
                    "the end of a RESP string (expected CR LF)",
                ));
            }
            self.partial_string.truncate(length);
            self.strings.push(std::mem::take(&mut self.partial_string));
            self.state = State::StringHeader {
                missing: missing - 1,
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
            let is_whole = matches!(self.state, State::StringHeader { missing: 0 });
            if position == input.len() && !is_whole {
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

/// The number in a line that announces an array or a string: a mark, then decimal digits.
fn read_length(
    line: &[u8],
    mark: u8,
    limit: usize,
    what: &'static str,
) -> Result<usize, ProtocolError> {
    let malformed = || ProtocolError::Malformed(what);
    let digits = line.strip_prefix(&[mark]).ok_or_else(malformed)?;
    if !digits.iter().all(u8::is_ascii_digit) {
        return Err(malformed());
    }
    let length = std::str::from_utf8(digits)
        .ok()
        .and_then(|text| text.parse::<usize>().ok())
        .ok_or_else(malformed)?;
    // Checked before any memory is taken for it: a peer may announce any length.
    if length > limit {
        return Err(ProtocolError::TooLong(what));
    }
    Ok(length)
}

/// Writes an array of bulk strings.
pub fn write_array(out: &mut Vec<u8>, strings: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", strings.len()).as_bytes());
    for string in strings {
        out.extend_from_slice(format!("${}\r\n", string.len()).as_bytes());
        out.extend_from_slice(string);
        out.extend_from_slice(LINE_END);
    }
}

/// The value of a field in a list `name=value,name=value`, by the first of its name.
pub fn field<'a>(fields: &'a [u8], name: &str) -> Option<&'a str> {
    let fields = std::str::from_utf8(fields).ok()?;
    fields.split(',').find_map(|field| {
        let (field_name, value) = field.split_once('=')?;
        (field_name == name).then_some(value)
    })
}
