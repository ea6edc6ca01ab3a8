//! Reads messages piece by piece, so that a body of any length needs no memory of its own.

use super::Head;
use crate::protocol::line::LineBuffer;
use crate::protocol::{Parser, ProtocolError};

/// The most headers in a head.
const HEADER_LIMIT: usize = 64;

const MALFORMED_BODY_LENGTH: ProtocolError = ProtocolError::Malformed("an HTTP body's length");
const BODY_TOO_LONG: ProtocolError = ProtocolError::TooLong("an HTTP body");

/// A piece of a message. A message is its head, any number of pieces of its body, and its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Its head.
    Head(Head),
    /// Bytes of its body.
    Body(Vec<u8>),
    /// Its end.
    End,
}

/// What is being received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The start line or the headers, up to the empty line.
    Head,
    /// A body of a known length, by the bytes that are still to come.
    Sized(usize),
    /// The line with the size of a chunk (RFC 9112, section 7.1).
    ChunkSize,
    /// A chunk, by the bytes that are still to come.
    ChunkData(usize),
    /// The line end after a chunk.
    ChunkEnd,
    /// The trailers after the last chunk, up to the empty line.
    Trailers,
    /// A body that ends with the connection.
    UntilClose,
    /// Nothing more: the end of the message is reported next.
    Complete,
}

/// Reads messages.
#[derive(Clone, Debug)]
pub struct MessageParser {
    reads_responses: bool,
    body_limit: usize,
    state: State,
    line: LineBuffer,
    /// The head that is being received; none before its start line.
    partial_head: Option<Head>,
    /// Bytes of the chunks that the body has announced so far.
    chunked_bytes: usize,
}

impl MessageParser {
    /// A reader of requests: limits on lines and bodies are in bytes.
    pub fn requests(line_limit: usize, body_limit: usize) -> Self {
        MessageParser {
            reads_responses: false,
            body_limit,
            state: State::Head,
            line: LineBuffer::new(line_limit),
            partial_head: None,
            chunked_bytes: 0,
        }
    }

    /// A reader of responses: limits on lines and bodies are in bytes. The limit of bodies is
    /// `usize::MAX` for streams.
    pub fn responses(line_limit: usize, body_limit: usize) -> Self {
        MessageParser {
            reads_responses: true,
            ..Self::requests(line_limit, body_limit)
        }
    }

    /// Whether the end of the connection would now be the end of a message, or come between two
    /// messages.
    pub fn may_end(&self) -> bool {
        match self.state {
            State::UntilClose => true,
            State::Head => self.partial_head.is_none(),
            _ => false,
        }
    }

    /// Reports the end of the message and gets ready for the next one.
    fn finish(&mut self) -> Piece {
        self.state = State::Head;
        self.chunked_bytes = 0;
        Piece::End
    }

    /// Takes bytes of the body: how many, and the piece of the body. None if the state awaits a
    /// line.
    fn take_body(&mut self, input: &[u8]) -> Option<(usize, Piece)> {
        let consumed = match self.state {
            State::Sized(remaining) | State::ChunkData(remaining) => remaining.min(input.len()),
            State::UntilClose => input.len(),
            _ => return None,
        };
        self.state = match self.state {
            State::Sized(remaining) if remaining == consumed => State::Complete,
            State::Sized(remaining) => State::Sized(remaining - consumed),
            State::ChunkData(remaining) if remaining == consumed => State::ChunkEnd,
            State::ChunkData(remaining) => State::ChunkData(remaining - consumed),
            other => other,
        };
        Some((consumed, Piece::Body(input[..consumed].to_vec())))
    }

    /// Handles a whole line; a piece of the message if the line ends one.
    fn handle_line(&mut self, line: Vec<u8>) -> Result<Option<Piece>, ProtocolError> {
        match self.state {
            State::Head => {
                let Some(head) = self.handle_head_line(line)? else {
                    return Ok(None);
                };
                self.state = self.body_state(&head)?;
                return Ok(Some(Piece::Head(head)));
            }
            State::ChunkSize => self.state = self.chunk_state(&line)?,
            State::ChunkEnd if line.is_empty() => self.state = State::ChunkSize,
            State::Trailers if line.is_empty() => return Ok(Some(self.finish())),
            State::Trailers => {}
            _ => {
                return Err(ProtocolError::Malformed(
                    "an HTTP chunk's end (expected CR LF)",
                ))
            }
        }
        Ok(None)
    }

    /// Handles a line of the head; the head if the line ends it.
    fn handle_head_line(&mut self, line: Vec<u8>) -> Result<Option<Head>, ProtocolError> {
        let line = String::from_utf8(line)
            .map_err(|_| ProtocolError::Malformed("an HTTP head (expected UTF-8)"))?;
        let Some(head) = &mut self.partial_head else {
            // Empty lines before a message are skipped (RFC 9112, section 2.2).
            if !line.is_empty() {
                self.partial_head = Some(self.read_start_line(line)?);
            }
            return Ok(None);
        };
        if line.is_empty() {
            return Ok(self.partial_head.take());
        }
        if head.headers.len() >= HEADER_LIMIT {
            return Err(ProtocolError::TooLong("an HTTP head"));
        }
        head.headers.push(read_header(&line)?);
        Ok(None)
    }

    fn read_start_line(&self, line: String) -> Result<Head, ProtocolError> {
        let head = Head {
            start: line,
            headers: Vec::new(),
        };
        if self.reads_responses && head.status().is_none() {
            return Err(ProtocolError::Malformed(
                "an HTTP message's first line (expected a status line)",
            ));
        }
        if !self.reads_responses && head.request().is_none() {
            return Err(ProtocolError::Malformed(
                "an HTTP message's first line (expected a request line)",
            ));
        }
        Ok(head)
    }

    /// How the body after a head ends (RFC 9112, section 6.3).
    fn body_state(&self, head: &Head) -> Result<State, ProtocolError> {
        let length = head.header("content-length");
        let coding = head.header("transfer-encoding");
        let lengths = head
            .headers
            .iter()
            .filter(|(name, _)| name == "content-length")
            .count();
        // Two ways to tell where a message ends are how requests are smuggled.
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
            return self.sized_state(length);
        }
        let has_no_body = matches!(head.status(), Some(100..200 | 204 | 304));
        Ok(if self.reads_responses && !has_no_body {
            State::UntilClose
        } else {
            State::Complete
        })
    }

    /// The state that follows a `Content-Length` header: decimal digits alone, no sign.
    fn sized_state(&self, length: &str) -> Result<State, ProtocolError> {
        if !length.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(MALFORMED_BODY_LENGTH);
        }
        match length.parse().map_err(|_| MALFORMED_BODY_LENGTH)? {
            0 => Ok(State::Complete),
            length if length > self.body_limit => Err(BODY_TOO_LONG),
            length => Ok(State::Sized(length)),
        }
    }

    /// The state that follows the line with the size of a chunk. Extensions of the chunk are
    /// skipped.
    fn chunk_state(&mut self, line: &[u8]) -> Result<State, ProtocolError> {
        let line = std::str::from_utf8(line).unwrap_or("");
        let digits = line.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(digits, 16)
            .ok()
            .filter(|_| !digits.starts_with('+'))
            .ok_or(ProtocolError::Malformed(
                "an HTTP chunk's size (expected hexadecimal digits)",
            ))?;
        self.chunked_bytes = self.chunked_bytes.saturating_add(size);
        if self.chunked_bytes > self.body_limit {
            return Err(BODY_TOO_LONG);
        }
        Ok(match size {
            0 => State::Trailers,
            size => State::ChunkData(size),
        })
    }
}

/// A header's name in lower case, and its value (RFC 9112, section 5).
fn read_header(line: &str) -> Result<(String, String), ProtocolError> {
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
            let progress = self.line.take(rest)?;
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
