//! One HTTP connection of a peer or of a client that was redirected here.

use super::Response;
use crate::frontend::ClientSession;
use crate::net::RingBuffer;
use crate::protocol::http::{self, Head, Message, MessageParser, Piece};
use crate::protocol::{Parser, ProtocolError};
use crate::request_table::RequestKey;
use edge_routing::Micros;

/// A connection. Its requests are answered one after the other: while one waits, the next stays in
/// the input buffer.
pub struct Session {
    messages: MessageParser,
    /// The head of the request whose body is being received.
    head: Option<Head>,
    /// The body, as far as it was received.
    body: Vec<u8>,
    /// Whether the connection stays open after the response.
    keep_open: bool,
    /// The key of the request that the request table has admitted.
    pub pending_request: Option<RequestKey>,
    /// When the client of that request gives up, in Unix microseconds.
    pub deadline: Micros,
    outgoing: Vec<u8>,
    /// Bytes of `outgoing` that are written.
    written: usize,
    has_received_request: bool,
    has_partial_input: bool,
}

/// The reason phrase of a status code (RFC 9110, section 15).
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        204 => "No Content",
        304 => "Not Modified",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

impl ClientSession for Session {
    fn is_idle(&self) -> bool {
        self.pending_request.is_none() && self.outgoing.is_empty()
    }

    fn has_partial_input(&self) -> bool {
        self.has_partial_input
    }

    fn has_received_request(&self) -> bool {
        self.has_received_request
    }

    fn is_finished(&self) -> bool {
        !self.keep_open && self.is_idle()
    }

    fn is_busy(&self) -> bool {
        !self.is_idle()
    }

    fn unanswered_requests(&self) -> usize {
        usize::from(self.pending_request.is_some())
    }

    fn request_keys(&self) -> Vec<RequestKey> {
        self.pending_request.into_iter().collect()
    }
}

impl Session {
    /// A connection just accepted: the limits on lines and bodies of its requests are in bytes.
    pub fn new(line_limit: usize, body_limit: usize) -> Self {
        Session {
            messages: MessageParser::requests(line_limit, body_limit),
            head: None,
            body: Vec::new(),
            keep_open: true,
            pending_request: None,
            deadline: 0,
            outgoing: Vec::new(),
            written: 0,
            has_received_request: false,
            has_partial_input: false,
        }
    }

    /// Reads up to the end of the next request, once the one before has its response.
    pub fn read(&mut self, input: &mut RingBuffer) -> Result<Option<Message>, ProtocolError> {
        while self.keep_open && self.is_idle() {
            let (consumed, piece) = self.messages.parse(input.readable())?;
            input.consume(consumed);
            self.has_partial_input |= consumed > 0;
            match piece {
                Some(Piece::Head(head)) => self.head = Some(head),
                Some(Piece::Body(bytes)) => self.body.extend(bytes),
                Some(Piece::End) => {
                    if let Some(head) = self.head.take() {
                        return Ok(Some(self.finish_request(head)));
                    }
                }
                None if input.is_empty() => break,
                None => {}
            }
        }
        Ok(None)
    }

    /// The response to the request that was read last.
    pub fn respond(&mut self, response: &Response) {
        self.pending_request = None;
        let status_line = format!(
            "HTTP/1.1 {} {}",
            response.status,
            reason_phrase(response.status)
        );
        let connection = if self.keep_open {
            "keep-alive"
        } else {
            "close"
        };
        let mut headers: Vec<(&str, &str)> = response
            .headers
            .iter()
            .map(|(name, value)| (*name, value.as_str()))
            .collect();
        headers.push(("Connection", connection));
        http::write_message(&mut self.outgoing, &status_line, &headers, &response.body);
    }

    /// Rejects input that can't be read: the last response says so.
    pub fn reject_input(&mut self) {
        self.keep_open = false;
        self.respond(&Response::bare(400));
    }

    /// Moves as much as fits into the output buffer.
    pub fn write(&mut self, output: &mut RingBuffer) {
        self.written += output.push(&self.outgoing[self.written..]);
        if self.written == self.outgoing.len() {
            self.outgoing.clear();
            self.written = 0;
        }
    }

    fn finish_request(&mut self, head: Head) -> Message {
        self.has_received_request = true;
        self.has_partial_input = false;
        self.keep_open = head.keeps_connection_open();
        Message {
            head,
            body: std::mem::take(&mut self.body),
        }
    }
}
