//! Incremental parser for HTTP messages. It does not buffer bodies: it returns each piece as it
//! arrives, so memory use does not depend on the length of a body.

use super::Head;
use crate::protocol::line::LineBuffer;
use crate::protocol::{Parser, ProtocolError};

/// Maximum number of headers in a message.
const MAX_HEADERS: usize = 64;

const MALFORMED_BODY_LENGTH: ProtocolError = ProtocolError::Malformed(
    "an HTTP body's length (expected one Content-Length or chunked coding)",
);
const BODY_TOO_LONG: ProtocolError = ProtocolError::TooLong("an HTTP body");

/// A piece of a message. A message consists of one head, any number of body pieces and one end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Start line and headers.
    Head(Head),
    /// Some bytes of the body.
    Body(Vec<u8>),
    /// The end of the message.
    End,
}

/// The part of the message that is expected next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The start line, a header, or the empty line after the headers.
    Head,
    /// A body of known length, with the number of bytes that are still to be received.
    SizedBody(usize),
    /// The line with the size of the next chunk (RFC 9112, section 7.1).
    ChunkSize,
    /// The data of a chunk, with the number of bytes that are still to be received.
    ChunkData(usize),
    /// The line end after the data of a chunk.
    ChunkEnd,
    /// A trailer after the last chunk, or the empty line after the trailers.
    Trailers,
    /// A body that ends when the connection is closed.
    UntilClose,
    /// Nothing. The message is complete, and the next call returns its end.
    Complete,
}

/// Incremental parser for either requests or responses.
#[derive(Clone, Debug)]
pub struct MessageParser {
    reads_responses: bool,
    head_limit_bytes: usize,
    body_limit_bytes: usize,
    state: State,
    line_buffer: LineBuffer,
    /// The head that is being received, or `None` before its start line.
    partial_head: Option<Head>,
    /// Length of the lines of that head so far.
    head_bytes: usize,
    /// Sum of the chunk sizes that the body has announced so far.
    announced_chunk_bytes: usize,
}

impl MessageParser {
    /// Creates a parser for requests with limits on the length of each head and each body. The
    /// limit of the head also applies to each line of a chunked body.
    pub fn requests(head_limit_bytes: usize, body_limit_bytes: usize) -> Self {
        MessageParser {
            reads_responses: false,
            head_limit_bytes,
            body_limit_bytes,
            state: State::Head,
            line_buffer: LineBuffer::new(head_limit_bytes),
            partial_head: None,
            head_bytes: 0,
            announced_chunk_bytes: 0,
        }
    }

    /// Creates a parser for responses with limits on the length of each head and each body. For
    /// streams, `body_limit_bytes` is `usize::MAX`.
    pub fn responses(head_limit_bytes: usize, body_limit_bytes: usize) -> Self {
        MessageParser {
            reads_responses: true,
            ..Self::requests(head_limit_bytes, body_limit_bytes)
        }
    }

    /// Returns the number of bytes allocated for a head or a line that is partially received.
    pub fn allocated_bytes(&self) -> usize {
        let head_bytes = self.partial_head.as_ref().map_or(0, Head::allocated_bytes);
        self.line_buffer.allocated_bytes() + head_bytes
    }

    /// Resets the state for the next message and returns the end of this one.
    fn finish(&mut self) -> Piece {
        self.state = State::Head;
        self.announced_chunk_bytes = 0;
        Piece::End
    }

    /// Consumes bytes of the body. Returns the number of consumed bytes and the piece of the body,
    /// or `None` if a line is expected next.
    fn take_body(&mut self, input: &[u8]) -> Option<(usize, Piece)> {
        let consumed = match self.state {
            State::SizedBody(remaining) | State::ChunkData(remaining) => remaining.min(input.len()),
            State::UntilClose => input.len(),
            _ => return None,
        };
        self.state = match self.state {
            State::SizedBody(remaining) if remaining == consumed => State::Complete,
            State::SizedBody(remaining) => State::SizedBody(remaining - consumed),
            State::ChunkData(remaining) if remaining == consumed => State::ChunkEnd,
            State::ChunkData(remaining) => State::ChunkData(remaining - consumed),
            other => other,
        };
        Some((consumed, Piece::Body(input[..consumed].to_vec())))
    }

    /// Handles a complete line. Returns a piece of the message if the line completes one.
    fn handle_line(&mut self, line: Vec<u8>) -> Result<Option<Piece>, ProtocolError> {
        match self.state {
            State::Head => {
                let Some(head) = self.handle_head_line(line)? else {
                    return Ok(None);
                };
                self.state = self.state_after_head(&head)?;
                return Ok(Some(Piece::Head(head)));
            }
            State::ChunkSize => self.state = self.state_after_chunk_size(&line)?,
            State::ChunkEnd if line.is_empty() => self.state = State::ChunkSize,
            State::Trailers if line.is_empty() => return Ok(Some(self.finish())),
            State::Trailers => {}
            _ => {
                return Err(ProtocolError::Malformed(
                    "the line end after an HTTP chunk (expected CR LF)",
                ))
            }
        }
        Ok(None)
    }

    /// Handles a line of the head. Returns the head if the line is the empty line that ends it.
    fn handle_head_line(&mut self, line: Vec<u8>) -> Result<Option<Head>, ProtocolError> {
        self.head_bytes += line.len();
        if self.head_bytes > self.head_limit_bytes {
            return Err(ProtocolError::TooLong("the head of an HTTP message"));
        }
        let line = String::from_utf8(line)
            .map_err(|_| ProtocolError::Malformed("an HTTP head (expected UTF-8)"))?;
        let Some(head) = &mut self.partial_head else {
            // Empty lines before the start line are ignored (RFC 9112, section 2.2).
            if !line.is_empty() {
                self.partial_head = Some(self.parse_start_line(line)?);
            }
            return Ok(None);
        };
        if line.is_empty() {
            self.head_bytes = 0;
            return Ok(self.partial_head.take());
        }
        if head.headers.len() >= MAX_HEADERS {
            return Err(ProtocolError::TooLong(
                "the list of headers of an HTTP message",
            ));
        }
        head.headers.push(parse_header(&line)?);
        Ok(None)
    }

    fn parse_start_line(&self, line: String) -> Result<Head, ProtocolError> {
        let head = Head {
            start_line: line,
            headers: Vec::new(),
        };
        if self.reads_responses && head.status().is_none() {
            return Err(ProtocolError::Malformed(
                "the start line of an HTTP response (expected a status line)",
            ));
        }
        if !self.reads_responses && head.method_and_target().is_none() {
            return Err(ProtocolError::Malformed(
                "the start line of an HTTP request (expected a request line)",
            ));
        }
        Ok(head)
    }

    /// Returns the state after a head, which depends on how the end of the body is determined (RFC
    /// 9112, section 6.3).
    fn state_after_head(&self, head: &Head) -> Result<State, ProtocolError> {
        let length = head.header("content-length");
        let coding = head.header("transfer-encoding");
        let lengths = head
            .headers
            .iter()
            .filter(|(name, _)| name == "content-length")
            .count();
        // A message with two indications of its length allows request smuggling, because two
        // recipients may disagree about where it ends.
        if lengths > 1 || length.is_some() && coding.is_some() {
            return Err(MALFORMED_BODY_LENGTH);
        }
        if let Some(coding) = coding {
            let is_chunked = coding.eq_ignore_ascii_case("chunked");
            return is_chunked
                .then_some(State::ChunkSize)
                .ok_or(MALFORMED_BODY_LENGTH);
        }
        if let Some(length) = length {
            return self.state_after_content_length(length);
        }
        let has_no_body = matches!(head.status(), Some(100..200 | 204 | 304));
        Ok(if self.reads_responses && !has_no_body {
            State::UntilClose
        } else {
            State::Complete
        })
    }

    /// Returns the state after a head with a `Content-Length` header. The length may consist only
    /// of decimal digits, without a sign.
    fn state_after_content_length(&self, length: &str) -> Result<State, ProtocolError> {
        if !length.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(MALFORMED_BODY_LENGTH);
        }
        match length.parse().map_err(|_| MALFORMED_BODY_LENGTH)? {
            0 => Ok(State::Complete),
            length if length > self.body_limit_bytes => Err(BODY_TOO_LONG),
            length => Ok(State::SizedBody(length)),
        }
    }

    /// Returns the state after a line with the size of a chunk. Chunk extensions are ignored.
    fn state_after_chunk_size(&mut self, line: &[u8]) -> Result<State, ProtocolError> {
        let line = std::str::from_utf8(line).unwrap_or("");
        let digits = line.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(digits, 16)
            .ok()
            .filter(|_| !digits.starts_with('+'))
            .ok_or(ProtocolError::Malformed(
                "the size of an HTTP chunk (expected hexadecimal digits)",
            ))?;
        self.announced_chunk_bytes = self.announced_chunk_bytes.saturating_add(size);
        if self.announced_chunk_bytes > self.body_limit_bytes {
            return Err(BODY_TOO_LONG);
        }
        Ok(match size {
            0 => State::Trailers,
            size => State::ChunkData(size),
        })
    }
}

/// Parses a header line. Returns the name in lower case and the value (RFC 9112, section 5).
fn parse_header(line: &str) -> Result<(String, String), ProtocolError> {
    match line.split_once(':') {
        Some((name, value)) if !name.is_empty() && !name.contains([' ', '\t']) => {
            Ok((name.to_ascii_lowercase(), value.trim().to_owned()))
        }
        _ => Err(ProtocolError::Malformed(
            "an HTTP header (expected a name, a colon and a value)",
        )),
    }
}

impl Parser for MessageParser {
    type Item = Piece;

    fn parse(&mut self, input: &[u8]) -> Result<(usize, Option<Piece>), ProtocolError> {
        if self.state == State::Complete {
            return Ok((0, Some(self.finish())));
        }
        let mut position = 0;
        while position < input.len() {
            let rest = &input[position..];
            if let Some((consumed, piece)) = self.take_body(rest) {
                return Ok((position + consumed, Some(piece)));
            }
            let progress = self.line_buffer.take(rest)?;
            position += progress.consumed;
            let Some(line) = progress.line else {
                break;
            };
            if let Some(piece) = self.handle_line(line)? {
                return Ok((position, Some(piece)));
            }
        }
        Ok((position, None))
    }
}
