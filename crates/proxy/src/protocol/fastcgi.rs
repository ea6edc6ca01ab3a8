//! FastCGI 1.0, as an application in the Responder role uses it.
//!
//! Section numbers refer to the FastCGI specification 1.0. A connection carries records in both
//! directions. All records of a request carry its request id. Records with request id 0 are
//! management records, which concern the connection as a whole.

use super::{Parser, ProtocolError};

/// Record types (section 8, `FCGI_BEGIN_REQUEST` and following).
pub mod record_type {
    /// Begins a request and carries its role and flags.
    pub const BEGIN_REQUEST: u8 = 1;
    /// The web server no longer waits for a request.
    pub const ABORT_REQUEST: u8 = 2;
    /// Ends a request and carries its protocol status.
    pub const END_REQUEST: u8 = 3;
    /// The stream of a request's CGI parameters.
    pub const PARAMS: u8 = 4;
    /// The stream of a request's body.
    pub const STDIN: u8 = 5;
    /// The stream of a request's CGI response.
    pub const STDOUT: u8 = 6;
    /// A second input stream, which only the Filter role uses.
    pub const DATA: u8 = 8;
    /// Asks for the values of variables of the application.
    pub const GET_VALUES: u8 = 9;
    /// Answers [`GET_VALUES`].
    pub const GET_VALUES_RESULT: u8 = 10;
    /// Answers a management record of an unknown type.
    pub const UNKNOWN_TYPE: u8 = 11;
}

/// Request id of management records, which concern the connection as a whole (section 3.3,
/// `FCGI_NULL_REQUEST_ID`).
pub const NULL_REQUEST_ID: u16 = 0;

/// Protocol status of a request that is complete (section 5.5).
pub const REQUEST_COMPLETE: u8 = 0;
/// Protocol status of a request that is rejected for lack of capacity (section 5.5).
pub const OVERLOADED: u8 = 2;
/// Protocol status of a request with a role that the application does not support (section 5.5).
pub const UNKNOWN_ROLE: u8 = 3;

/// Role of an application that receives a request and returns a response (section 6.2).
pub const RESPONDER: u16 = 1;
/// Flag by which the web server asks the application to keep the connection open after the
/// response (section 5.1).
pub const KEEP_CONN: u8 = 1;

/// Maximum length of the content of a record (section 3.3).
pub const MAX_CONTENT_BYTES: usize = 65_535;
/// Length of the header of a record (section 3.3).
pub const HEADER_BYTES: usize = 8;
/// Length of an END_REQUEST record, including its header (section 5.5).
pub const END_REQUEST_RECORD_BYTES: usize = HEADER_BYTES + 8;

/// Protocol version in the header of every record.
const VERSION: u8 = 1;

const MALFORMED_PARAMETER: ProtocolError =
    ProtocolError::Malformed("a FastCGI name-value pair (expected two lengths, then UTF-8 text)");

/// The header of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordHeader {
    /// Record type, which is a constant of [`record_type`] or an unknown value.
    pub record_type: u8,
    /// Id of the request that the record belongs to, or [`NULL_REQUEST_ID`].
    pub request_id: u16,
    /// Length of the content without the padding.
    pub content_bytes: usize,
}

/// A part of a record: the content that has arrived since the last part.
///
/// The first part of a record is returned as soon as its header is complete, whether any content
/// has arrived or not. The receiver can thus reject a record before its content arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordPart {
    /// Header of the record.
    pub header: RecordHeader,
    /// Whether this is the first part of the record.
    pub is_first: bool,
    /// Content of this part. It may be empty.
    pub content: Vec<u8>,
    /// Number of content bytes that follow in further parts of the record.
    pub remaining_bytes: usize,
}

impl RecordPart {
    /// Returns whether this is the last part of its record.
    pub fn is_last(&self) -> bool {
        self.remaining_bytes == 0
    }
}

/// What has been received of a record whose header is complete.
#[derive(Clone, Copy)]
struct RecordProgress {
    header: RecordHeader,
    padding_bytes: usize,
    /// Number of content bytes that are still to be received.
    remaining_bytes: usize,
}

/// The part of a record that is expected next. A record consists of a header, content and padding,
/// in this order.
#[derive(Clone, Copy, Default)]
enum State {
    /// The header.
    #[default]
    Header,
    /// Content.
    Content(RecordProgress),
    /// The padding, with the number of bytes that are still to be received.
    Padding(usize),
}

/// Incremental parser for records. It returns the content of a record in parts as it arrives and
/// keeps none of it, so its memory does not depend on the length that a record announces.
#[derive(Default)]
pub struct RecordParser {
    state: State,
    /// Received bytes of the header that is not complete yet.
    header: Vec<u8>,
}

impl RecordParser {
    /// Returns whether a record is partially received.
    pub fn has_partial_input(&self) -> bool {
        !matches!(self.state, State::Header) || !self.header.is_empty()
    }

    /// Removes the available content of a record from the front of `rest` and returns it as a part.
    /// `progress` says what has been received of the record.
    fn take_part(
        &mut self,
        mut progress: RecordProgress,
        is_first: bool,
        rest: &mut &[u8],
    ) -> RecordPart {
        let content = take_up_to(rest, progress.remaining_bytes).to_vec();
        progress.remaining_bytes -= content.len();
        self.state = match (progress.remaining_bytes, progress.padding_bytes) {
            (0, 0) => State::Header,
            (0, padding_bytes) => State::Padding(padding_bytes),
            _ => State::Content(progress),
        };
        RecordPart {
            header: progress.header,
            is_first,
            content,
            remaining_bytes: progress.remaining_bytes,
        }
    }
}

impl Parser for RecordParser {
    type Item = RecordPart;

    fn parse(&mut self, input: &[u8]) -> Result<(usize, Option<RecordPart>), ProtocolError> {
        let mut rest = input;
        loop {
            let (progress, is_first) = match self.state {
                State::Header => {
                    let missing_bytes = HEADER_BYTES - self.header.len();
                    self.header
                        .extend_from_slice(take_up_to(&mut rest, missing_bytes));
                    let Some(progress) = read_header(&self.header)? else {
                        return Ok((input.len(), None));
                    };
                    self.header.clear();
                    (progress, true)
                }
                State::Content(_) if rest.is_empty() => return Ok((input.len(), None)),
                State::Content(progress) => (progress, false),
                State::Padding(remaining_bytes) => {
                    let remaining_bytes =
                        remaining_bytes - take_up_to(&mut rest, remaining_bytes).len();
                    if remaining_bytes > 0 {
                        self.state = State::Padding(remaining_bytes);
                        return Ok((input.len(), None));
                    }
                    self.state = State::Header;
                    continue;
                }
            };
            let part = self.take_part(progress, is_first, &mut rest);
            return Ok((input.len() - rest.len(), Some(part)));
        }
    }
}

/// Removes up to `count` bytes from the front of `rest` and returns them.
fn take_up_to<'a>(rest: &mut &'a [u8], count: usize) -> &'a [u8] {
    let (taken, left) = rest.split_at(count.min(rest.len()));
    *rest = left;
    taken
}

/// Parses the header of a record. Returns `None` if it is not complete yet. The version is checked
/// as soon as its byte has been received.
fn read_header(received: &[u8]) -> Result<Option<RecordProgress>, ProtocolError> {
    if received.first().is_some_and(|version| *version != VERSION) {
        return Err(ProtocolError::Malformed(
            "the version of a FastCGI record (expected 1)",
        ));
    }
    Ok(match received {
        [_, record_type, id_high, id_low, length_high, length_low, padding, _reserved] => {
            let header = RecordHeader {
                record_type: *record_type,
                request_id: u16::from_be_bytes([*id_high, *id_low]),
                content_bytes: usize::from(u16::from_be_bytes([*length_high, *length_low])),
            };
            Some(RecordProgress {
                header,
                padding_bytes: usize::from(*padding),
                remaining_bytes: header.content_bytes,
            })
        }
        _ => None,
    })
}

/// Appends a record without padding to `out`. Content longer than [`MAX_CONTENT_BYTES`] is
/// truncated, so callers have to split it.
pub fn write_record(out: &mut Vec<u8>, record_type: u8, request_id: u16, content: &[u8]) {
    let length = content.len().min(MAX_CONTENT_BYTES);
    out.extend(record_header(record_type, request_id, length as u16));
    out.extend_from_slice(&content[..length]);
}

/// Returns the header of a record without padding.
pub fn record_header(record_type: u8, request_id: u16, content_bytes: u16) -> [u8; HEADER_BYTES] {
    let [id_high, id_low] = request_id.to_be_bytes();
    let [length_high, length_low] = content_bytes.to_be_bytes();
    [
        VERSION,
        record_type,
        id_high,
        id_low,
        length_high,
        length_low,
        0,
        0,
    ]
}

/// Appends an END_REQUEST record with a protocol status to `out`. The application status is always
/// 0.
pub fn write_end_request(out: &mut Vec<u8>, request_id: u16, status: u8) {
    write_record(
        out,
        record_type::END_REQUEST,
        request_id,
        &[0, 0, 0, 0, status, 0, 0, 0],
    );
}

/// The content of a BEGIN_REQUEST record (section 5.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BeginRequest {
    /// Role that the web server asks of the application, such as [`RESPONDER`].
    pub role: u16,
    /// Bit set of flags, such as [`KEEP_CONN`].
    pub flags: u8,
}

/// Parses the content of a BEGIN_REQUEST record.
///
/// # Errors
///
/// Returns an error if the content is not 8 bytes long.
pub fn read_begin_request(content: &[u8]) -> Result<BeginRequest, ProtocolError> {
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

/// Parses a complete parameter stream into pairs of a name and a value (section 3.4).
///
/// # Errors
///
/// Returns an error if a pair is incomplete or is not UTF-8.
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

/// Removes a length from the front of `bytes` and returns it. A length is one byte below 128, or
/// four bytes of which the first has its highest bit set.
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

/// Appends a pair of a name and a value to a parameter stream (section 3.4).
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
