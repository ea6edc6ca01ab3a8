//! Session of an HTTP connection from a peer CDN or from a client that a peer CDN redirected.

use super::Response;
use crate::frontend::ClientSession;
use crate::net::SocketBuffer;
use crate::protocol::http::{self, Head, Message, MessageParser, Piece};
use crate::protocol::{Parser, ProtocolError};
use crate::request_table::RequestKey;
use edge_routing::Micros;

/// Session of an interconnect connection. Its requests are answered one after the other. While a
/// request is unanswered, the next one stays in the input buffer.
pub struct Session {
    parser: MessageParser,
    /// Head of the request whose body is being received.
    request_head: Option<Head>,
    /// Received bytes of the body.
    request_body: Vec<u8>,
    /// Whether the connection stays open after the response.
    keep_open: bool,
    /// Key of the admitted request that is unanswered, or `None` if there is none.
    pub pending_request_key: Option<RequestKey>,
    /// Unix time in microseconds at which the client of that request stops waiting.
    pub client_deadline: Micros,
    /// Encoded responses that are not completely written.
    outgoing: Vec<u8>,
    /// Number of bytes of `outgoing` that are already written.
    written_bytes: usize,
    has_received_request: bool,
    has_partial_input: bool,
}

/// Returns the reason phrase of a status code (RFC 9110, section 15).
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
        self.pending_request_key.is_none() && self.outgoing.is_empty()
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
        usize::from(self.pending_request_key.is_some())
    }

    fn request_keys(&self) -> Vec<RequestKey> {
        self.pending_request_key.into_iter().collect()
    }

    fn partial_request_bytes(&self) -> usize {
        let head_bytes = self.request_head.as_ref().map_or(0, Head::allocated_bytes);
        self.parser.allocated_bytes() + head_bytes + self.request_body.capacity()
    }

    fn unsent_bytes(&self) -> usize {
        self.outgoing.capacity()
    }
}

impl Session {
    /// Creates the session of a new connection, with limits on the length of each line and of each
    /// request body.
    pub fn new(line_limit_bytes: usize, body_limit_bytes: usize) -> Self {
        Session {
            parser: MessageParser::requests(line_limit_bytes, body_limit_bytes),
            request_head: None,
            request_body: Vec::new(),
            keep_open: true,
            pending_request_key: None,
            client_deadline: 0,
            outgoing: Vec::new(),
            written_bytes: 0,
            has_received_request: false,
            has_partial_input: false,
        }
    }

    /// Consumes the input buffer up to the end of the next request. Returns `None` if no request is
    /// complete, while the previous request is unanswered or its response is not completely
    /// written, and if the connection has to be closed.
    ///
    /// # Errors
    ///
    /// Returns an error if the input violates the protocol or exceeds a limit.
    pub fn read(&mut self, input: &mut SocketBuffer) -> Result<Option<Message>, ProtocolError> {
        while self.keep_open && self.is_idle() {
            let (consumed, piece) = self.parser.parse(input.readable())?;
            input.consume(consumed);
            self.has_partial_input |= consumed > 0;
            match piece {
                Some(Piece::Head(head)) => self.request_head = Some(head),
                Some(Piece::Body(bytes)) => self.request_body.extend(bytes),
                Some(Piece::End) => {
                    if let Some(head) = self.request_head.take() {
                        return Ok(Some(self.finish_request(head)));
                    }
                }
                None if input.is_empty() => break,
                None => {}
            }
        }
        Ok(None)
    }

    /// Queues the response to the request that was read last.
    pub fn respond(&mut self, response: &Response) {
        self.pending_request_key = None;
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

    /// Queues status 400 as the last response, after which the connection has to be closed. This is
    /// for input that violates the protocol.
    pub fn reject_input(&mut self) {
        self.keep_open = false;
        self.respond(&Response::without_body(400));
    }

    /// Writes as much of the queued responses as fits into the output buffer.
    pub fn write(&mut self, output: &mut SocketBuffer) {
        self.written_bytes += output.push(&self.outgoing[self.written_bytes..]);
        if self.written_bytes == self.outgoing.len() {
            self.outgoing = Vec::new();
            self.written_bytes = 0;
        }
    }

    fn finish_request(&mut self, head: Head) -> Message {
        self.has_received_request = true;
        self.has_partial_input = false;
        self.keep_open = head.keeps_connection_open();
        Message {
            head,
            body: std::mem::take(&mut self.request_body),
        }
    }
}
