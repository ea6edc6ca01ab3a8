//! HTTP/1.1 messages (RFC 9112). A message is a head followed by a body, whose end is determined by
//! a length, by the last chunk or by the end of the connection.

mod head;
mod messages;

pub use head::Head;
pub use messages::{MessageParser, Piece};

/// A complete HTTP message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// Start line and headers.
    pub head: Head,
    /// Body without any transfer coding.
    pub body: Vec<u8>,
}

/// Appends a message to `out` and adds a `Content-Length` header to `headers`. `start_line` has no
/// line end.
pub fn write_message(out: &mut Vec<u8>, start_line: &str, headers: &[(&str, &str)], body: &[u8]) {
    out.extend_from_slice(start_line.as_bytes());
    out.extend_from_slice(b"\r\n");
    for (name, value) in headers {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
}
