//! A client of the proxy's HTTP interface, as a peer CDN is one.

use crate::{Response, MAX_MESSAGE_BYTES, READ_CHUNK_BYTES, TEST_TIMEOUT};
use edge_proxy::protocol::http::{write_message, Head, MessageParser, Piece};
use edge_proxy::protocol::Parser;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Largest head of a message.
pub(crate) const MAX_HEAD_BYTES: usize = 1 << 16;

/// Sends one request on a connection of its own, which the server closes after its response.
pub fn request(server: SocketAddr, method: &str, target: &str, body: &str) -> io::Result<Response> {
    let mut out = Vec::new();
    let request_line = format!("{method} {target} HTTP/1.1");
    let headers = [("Host", "localhost"), ("Connection", "close")];
    write_message(&mut out, &request_line, &headers, body.as_bytes());
    exchange(server, &out)
}

/// Sends raw bytes on a connection of its own and reads the one response to them, until the server
/// closes.
pub fn exchange(server: SocketAddr, bytes: &[u8]) -> io::Result<Response> {
    let mut socket = TcpStream::connect(server)?;
    socket.set_read_timeout(Some(TEST_TIMEOUT))?;
    socket.write_all(bytes)?;
    let mut parser = MessageParser::responses(MAX_HEAD_BYTES, MAX_MESSAGE_BYTES);
    let message = read_message(&mut socket, &mut parser, ReadUntil::ConnectionCloses)?;
    let status = message
        .head
        .status()
        .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "a response without a status"))?;
    Ok(Response {
        status,
        headers: message.head.headers,
        body: message.body,
        has_surplus_bytes: message.has_surplus_bytes,
    })
}

/// How far [`read_message`] reads.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadUntil {
    /// Until the message is complete.
    MessageEnds,
    /// Until the other side closes, to see whether anything follows the message.
    ConnectionCloses,
}

/// A complete HTTP message.
pub(crate) struct Message {
    pub(crate) head: Head,
    pub(crate) body: Vec<u8>,
    /// Whether bytes followed the message.
    pub(crate) has_surplus_bytes: bool,
}

/// Reads one message. It is an error if the connection closes before the message is complete.
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

/// What has been read of a message.
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

    fn finish(self) -> io::Result<Message> {
        let head = self.head.filter(|_| self.is_complete);
        Ok(Message {
            head: head.ok_or(io::ErrorKind::UnexpectedEof)?,
            body: self.body,
            has_surplus_bytes: self.has_surplus_bytes,
        })
    }
}

/// Reads the head of an HTTP request, and nothing behind it.
pub(crate) fn read_head(socket: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        socket.read_exact(&mut byte)?;
        head.extend(byte);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}
