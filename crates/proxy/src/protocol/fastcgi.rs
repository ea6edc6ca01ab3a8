//! FastCGI 1.0, the side of an application in the Responder role.
//!
//! Sections are those of the FastCGI specification 1.0. A connection carries records in both
//! directions; the records of one request share a request id, and those of id 0 concern the
//! connection.

use super::{Parser, ProtocolError};

/// Record types (section 8, `FCGI_BEGIN_REQUEST` and following).
pub mod record_type {
    /// Begins a request: its role and flags.
    pub const BEGIN_REQUEST: u8 = 1;
    /// The web server no longer waits for a request.
    pub const ABORT_REQUEST: u8 = 2;
    /// Ends a request: its protocol status.
    pub const END_REQUEST: u8 = 3;
    /// The stream of a request's CGI parameters.
    pub const PARAMS: u8 = 4;
    /// The stream of a request's body.
    pub const STDIN: u8 = 5;
    /// The stream of a request's CGI response.
    pub const STDOUT: u8 = 6;
    /// A second stream of input, for the Filter role alone.
    pub const DATA: u8 = 8;
    /// Asks for variables of the application.
    pub const GET_VALUES: u8 = 9;
    /// Answers [`GET_VALUES`].
    pub const GET_VALUES_RESULT: u8 = 10;
    /// Answers a management record of an unknown type.
    pub const UNKNOWN_TYPE: u8 = 11;
}

/// The request id of management records, which concern the connection (section 3.3,
/// `FCGI_NULL_REQUEST_ID`).
pub const MANAGEMENT_ID: u16 = 0;

/// The protocol status of a request that is complete (section 5.5).
pub const REQUEST_COMPLETE: u8 = 0;
/// The protocol status of a request that is rejected for lack of capacity (section 5.5).
pub const OVERLOADED: u8 = 2;
/// The protocol status of a request in a role that the application does not know (section 5.5).
pub const UNKNOWN_ROLE: u8 = 3;

/// The role that answers requests (section 6.2).
pub const RESPONDER: u16 = 1;
/// The flag that leaves the connection open after the answer (section 5.1).
pub const KEEP_CONN: u8 = 1;

/// The longest content of a record, in bytes (section 3.3).
pub const MAX_CONTENT_BYTES: usize = 65_535;
/// Bytes of a record's header (section 3.3).
pub const HEADER_BYTES: usize = 8;
/// Bytes of the record that ends a request, its header with them (section 5.5).
pub const END_RECORD_BYTES: usize = HEADER_BYTES + 8;

const VERSION: u8 = 1;

const MALFORMED_PARAMETER: ProtocolError =
    ProtocolError::Malformed("a FastCGI parameter (expected two lengths, then UTF-8 text)");

/// One record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its type, one of [`record_type`] or unknown.
    pub record_type: u8,
    /// The request it belongs to, or [`MANAGEMENT_ID`].
    pub id: u16,
    /// Its content without the padding.
    pub content: Vec<u8>,
}

/// What a record's header tells.
#[derive(Clone, Copy)]
struct Header {
    record_type: u8,
    id: u16,
    content_bytes: usize,
    padding_bytes: usize,
}

/// What is being received. A record is header, content and padding, in this order.
#[derive(Default)]
enum State {
    /// The header.
    #[default]
    Header,
    /// The content, of which these bytes have come.
    Content(Header, Vec<u8>),
    /// The padding, by the bytes that are still to come.
    Padding { record: Record, remaining: usize },
}

/// Reads records. A record's length is bounded by its form, so it needs no limit of its own.
#[derive(Default)]
pub struct RecordParser {
    state: State,
    /// Bytes of the header that is being received.
    header: Vec<u8>,
}

impl RecordParser {
    /// Whether a record is partially received.
    pub fn has_partial_input(&self) -> bool {
        !matches!(self.state, State::Header) || !self.header.is_empty()
    }
}

impl Parser for RecordParser {
    type Item = Record;

    fn parse(&mut self, input: &[u8]) -> Result<(usize, Option<Record>), ProtocolError> {
        let mut rest = input;
        loop {
            match &mut self.state {
                State::Header => {
                    let missing = HEADER_BYTES - self.header.len();
                    self.header
                        .extend_from_slice(take_up_to(&mut rest, missing));
                    let Some(header) = read_header(&self.header)? else {
                        return Ok((input.len(), None));
                    };
                    self.header.clear();
                    self.state = State::Content(header, Vec::new());
                }
                State::Content(header, content) => {
                    let missing = header.content_bytes - content.len();
                    content.extend_from_slice(take_up_to(&mut rest, missing));
                    if content.len() < header.content_bytes {
                        return Ok((input.len(), None));
                    }
                    self.state = State::Padding {
                        remaining: header.padding_bytes,
                        record: Record {
                            record_type: header.record_type,
                            id: header.id,
                            content: std::mem::take(content),
                        },
                    };
                }
                State::Padding { record, remaining } => {
                    *remaining -= take_up_to(&mut rest, *remaining).len();
                    if *remaining > 0 {
                        return Ok((input.len(), None));
                    }
                    let content = std::mem::take(&mut record.content);
                    let record = Record { content, ..*record };
                    self.state = State::Header;
                    return Ok((input.len() - rest.len(), Some(record)));
                }
            }
        }
    }
}

/// Takes `count` bytes from the front of `rest`, or all if it has fewer.
fn take_up_to<'a>(rest: &mut &'a [u8], count: usize) -> &'a [u8] {
    let (taken, left) = rest.split_at(count.min(rest.len()));
    *rest = left;
    taken
}

/// A record's header, if it is whole. The version is checked as soon as it has come.
fn read_header(received: &[u8]) -> Result<Option<Header>, ProtocolError> {
    if received.first().is_some_and(|version| *version != VERSION) {
        return Err(ProtocolError::Malformed(
            "the version of a FastCGI record (expected 1)",
        ));
    }
    Ok(match received {
        [_, record_type, id_high, id_low, length_high, length_low, padding, _reserved] => {
            Some(Header {
                record_type: *record_type,
                id: u16::from_be_bytes([*id_high, *id_low]),
                content_bytes: usize::from(u16::from_be_bytes([*length_high, *length_low])),
                padding_bytes: usize::from(*padding),
            })
        }
        _ => None,
    })
}

/// Writes a record without padding. Longer content than [`MAX_CONTENT_BYTES`] is cut, which callers
/// prevent.
pub fn write_record(out: &mut Vec<u8>, record_type: u8, id: u16, content: &[u8]) {
    let length = content.len().min(MAX_CONTENT_BYTES);
    let [id_high, id_low] = id.to_be_bytes();
    let [length_high, length_low] = (length as u16).to_be_bytes();
    out.extend([
        VERSION,
        record_type,
        id_high,
        id_low,
        length_high,
        length_low,
        0,
        0,
    ]);
    out.extend_from_slice(&content[..length]);
}

/// Writes the record that ends a request with a protocol status, and with 0 as the status of the
/// application.
pub fn write_end(out: &mut Vec<u8>, id: u16, status: u8) {
    write_record(
        out,
        record_type::END_REQUEST,
        id,
        &[0, 0, 0, 0, status, 0, 0, 0],
    );
}

/// The content of a BEGIN_REQUEST record (section 5.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BeginRequest {
    /// The role that the application is asked to play, as [`RESPONDER`].
    pub role: u16,
    /// Flags, as [`KEEP_CONN`].
    pub flags: u8,
}

/// Reads the content of a BEGIN_REQUEST record.
pub fn read_begin(content: &[u8]) -> Result<BeginRequest, ProtocolError> {
    match content {
        [role_high, role_low, flags, _, _, _, _, _] => Ok(BeginRequest {
            role: u16::from_be_bytes([*role_high, *role_low]),
            flags: *flags,
        }),
        _ => Err(ProtocolError::Malformed(
            "a BEGIN_REQUEST record (expected 8 bytes of content)",
        )),
    }
}

/// Names and values of a whole parameter stream (section 3.4).
pub fn read_pairs(mut bytes: &[u8]) -> Result<Vec<(String, String)>, ProtocolError> {
    let mut pairs = Vec::new();
    while !bytes.is_empty() {
        let name_bytes = read_length(&mut bytes)?;
        let value_bytes = read_length(&mut bytes)?;
        let name = read_text(&mut bytes, name_bytes)?;
        let value = read_text(&mut bytes, value_bytes)?;
        pairs.push((name, value));
    }
    Ok(pairs)
}

/// Reads a length: one byte below 128, or four bytes of which the first has its highest bit set.
fn read_length(bytes: &mut &[u8]) -> Result<usize, ProtocolError> {
    let (length, size) = match **bytes {
        [short, ..] if short < 0x80 => (usize::from(short), 1),
        [first, second, third, fourth, ..] => {
            let length = u32::from_be_bytes([first & 0x7f, second, third, fourth]);
            (length as usize, 4)
        }
        _ => return Err(MALFORMED_PARAMETER),
    };
    *bytes = &bytes[size..];
    Ok(length)
}

fn read_text(bytes: &mut &[u8], length: usize) -> Result<String, ProtocolError> {
    let (text, rest) = bytes.split_at_checked(length).ok_or(MALFORMED_PARAMETER)?;
    *bytes = rest;
    String::from_utf8(text.to_vec()).map_err(|_| MALFORMED_PARAMETER)
}

/// Writes a name and its value as part of a parameter stream (section 3.4).
pub fn write_pair(out: &mut Vec<u8>, name: &str, value: &str) {
    write_length(out, name.len());
    write_length(out, value.len());
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(value.as_bytes());
}

fn write_length(out: &mut Vec<u8>, length: usize) {
    match u8::try_from(length) {
        Ok(short) if short < 0x80 => out.push(short),
        _ => out.extend((length as u32 | 0x8000_0000).to_be_bytes()),
    }
}
