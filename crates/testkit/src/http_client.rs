//! An HTTP client for the proxy's interconnect interface, which peer CDNs use.

use crate::{Response, MAX_MESSAGE_BYTES, READ_CHUNK_BYTES, TEST_TIMEOUT};
use edge_proxy::protocol::http::{write_message, Head, MessageParser, Piece};
use edge_proxy::protocol::Parser;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Largest message head that a client or fake accepts.
pub(crate) const MAX_HEAD_BYTES: usize = 1 << 16;

/// Sends one request on a new connection and returns the response. The request asks the server to
/// close the connection after the response.
pub fn request(server: SocketAddr, method: &str, target: &str, body: &str) -> io::Result<Response> {
    let mut out = Vec::new();
    let request_line = format!("{method} {target} HTTP/1.1");
    let headers = [("Host", "localhost"), ("Connection", "close")];
    write_message(&mut out, &request_line, &headers, body.as_bytes());
    exchange(server, &out)
}

/// Sends raw bytes on a new connection and reads one response. Reads until the server closes the
/// connection, to detect bytes after the response.
pub fn exchange(server: SocketAddr, bytes: &[u8]) -> io::Result<Response> {
    let mut socket = TcpStream::connect(server)?;
    socket.set_read_timeout(Some(TEST_TIMEOUT))?;
    socket.write_all(bytes)?;
    let mut parser = MessageParser::responses(MAX_HEAD_BYTES, MAX_MESSAGE_BYTES);
    let message = read_message(&mut socket, &mut parser, ReadUntil::ConnectionCloses)?;
    let status = message
        .head
        .status()
        .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "HTTP response has no status"))?;
    Ok(Response {
        status,
        headers: message.head.headers,
        body: message.body,
        has_surplus_bytes: message.has_surplus_bytes,
    })
}

/// Where [`read_message`] stops reading.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadUntil {
    /// At the end of the message.
    MessageEnds,
    /// At the end of the connection, to detect bytes after the message.
    ConnectionCloses,
}

/// A complete HTTP message.
pub(crate) struct Message {
    pub(crate) head: Head,
    pub(crate) body: Vec<u8>,
    /// Whether bytes followed the end of the message.
    pub(crate) has_surplus_bytes: bool,
}

/// Reads one message. Returns an error if the connection closes before the message is complete.
pub(crate) fn read_message(
    socket: &mut TcpStream,
    parser: &mut MessageParser,
    until: ReadUntil,
) -> io::Result<Message> {
    let mut message = PartialMessage::default();
    let mut input = Vec::new();
    loop {
        let (consumed, piece) = parser
            .parse(&input)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))?;
        input.drain(..consumed);
        if let Some(piece) = piece {
            message.add(piece);
            continue;
        }
        if message.is_complete && until == ReadUntil::MessageEnds {
            return message.finish();
        }
        let mut chunk = [0; READ_CHUNK_BYTES];
        let length = socket.read(&mut chunk)?;
        if length == 0 {
            return message.finish();
        }
        message.has_surplus_bytes |= message.is_complete;
        input.extend_from_slice(&chunk[..length]);
    }
}

/// The parts of a message that have been read so far.
#[derive(Default)]
struct PartialMessage {
    head: Option<Head>,
    body: Vec<u8>,
    is_complete: bool,
    has_surplus_bytes: bool,
}

impl PartialMessage {
    fn add(&mut self, piece: Piece) {
        match piece {
            _ if self.is_complete => self.has_surplus_bytes = true,
            Piece::Head(head) => self.head = Some(head),
            Piece::Body(bytes) => self.body.extend(bytes),
            Piece::End => self.is_complete = true,
        }
    }

    /// Returns the message, or an error if it is incomplete.
    fn finish(self) -> io::Result<Message> {
        let head = self.head.filter(|_| self.is_complete);
        Ok(Message {
            head: head.ok_or(io::ErrorKind::UnexpectedEof)?,
            body: self.body,
            has_surplus_bytes: self.has_surplus_bytes,
        })
    }
}

/// Reads the head of an HTTP request, and no byte after it.
pub(crate) fn read_head(socket: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        socket.read_exact(&mut byte)?;
        head.extend(byte);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}
