//! A client for the proxy's FastCGI interface, which web servers use.

use crate::sample_deployment::WRITE_CLASS;
use crate::{Response, READ_CHUNK_BYTES, TEST_TIMEOUT};
use edge_proxy::protocol::fastcgi::{self, record_type, RecordParser, RecordPart};
use edge_proxy::protocol::Parser;
use rustix::net::sockopt;
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};

/// Path at which the proxy answers health checks.
pub const HEALTH_CHECK_PATH: &str = "/_health";

/// Body of the writes that [`FastCgiClient::request_object`] sends.
pub const WRITE_BODY: &[u8] = b"a comment";

/// Idempotency key of the writes that [`FastCgiClient::request_object`] sends.
pub const IDEMPOTENCY_KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

/// Length of the empty STDIN record at the end of an encoded request. The request is incomplete
/// without this record.
pub const END_OF_INPUT_BYTES: usize = 8;

/// A FastCGI connection to the proxy.
pub struct FastCgiClient {
    socket: TcpStream,
    record_parser: RecordParser,
    input: Vec<u8>,
    /// The output of each unfinished request so far, by request id.
    partial_responses: HashMap<u16, Vec<u8>>,
}

impl FastCgiClient {
    /// Connects to the proxy. Reads fail after [`TEST_TIMEOUT`]. Small messages are sent at once.
    pub fn connect(proxy: SocketAddr) -> io::Result<Self> {
        let socket = TcpStream::connect(proxy)?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(TEST_TIMEOUT))?;
        Ok(FastCgiClient {
            socket,
            record_parser: RecordParser::default(),
            input: Vec::new(),
            partial_responses: HashMap::new(),
        })
    }

    /// Bounds the bytes that the kernel receives ahead of the client, about.
    pub fn limit_receive_buffer(&self, bytes: usize) -> io::Result<()> {
        Ok(sockopt::set_socket_recv_buffer_size(&self.socket, bytes)?)
    }

    /// Encodes a request that asks the proxy to keep the connection open after the response.
    pub fn encode_request(
        request_id: u16,
        path: &str,
        params: &[(&str, &str)],
        body: &[u8],
    ) -> Vec<u8> {
        Self::encode_request_with_flags(request_id, fastcgi::KEEP_CONN, path, params, body)
    }

    /// Encodes a BEGIN_REQUEST record with the given flags.
    pub fn encode_begin_request(request_id: u16, flags: u8) -> Vec<u8> {
        let [role_high, role_low] = fastcgi::RESPONDER.to_be_bytes();
        let begin = [role_high, role_low, flags, 0, 0, 0, 0, 0];
        let mut out = Vec::new();
        fastcgi::write_record(&mut out, record_type::BEGIN_REQUEST, request_id, &begin);
        out
    }

    /// Encodes a request with the given flags in its BEGIN_REQUEST record.
    pub fn encode_request_with_flags(
        request_id: u16,
        flags: u8,
        path: &str,
        params: &[(&str, &str)],
        body: &[u8],
    ) -> Vec<u8> {
        let mut encoded_params = Vec::new();
        fastcgi::write_pair(&mut encoded_params, "SCRIPT_NAME", path);
        for (name, value) in params {
            fastcgi::write_pair(&mut encoded_params, name, value);
        }
        let mut out = Self::encode_begin_request(request_id, flags);
        fastcgi::write_record(&mut out, record_type::PARAMS, request_id, &encoded_params);
        fastcgi::write_record(&mut out, record_type::PARAMS, request_id, &[]);
        if !body.is_empty() {
            fastcgi::write_record(&mut out, record_type::STDIN, request_id, body);
        }
        fastcgi::write_record(&mut out, record_type::STDIN, request_id, &[]);
        out
    }

    /// Sends raw bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes)
    }

    /// Requests an object. Requests of [`WRITE_CLASS`] carry [`WRITE_BODY`] and
    /// [`IDEMPOTENCY_KEY`].
    pub fn request_object(
        &mut self,
        request_id: u16,
        class: &str,
        object_key: &str,
        budget_ms: u64,
    ) -> io::Result<()> {
        static NEXT_TRACE_ID: AtomicU64 = AtomicU64::new(1);
        let trace_id = format!("{:016x}", NEXT_TRACE_ID.fetch_add(1, Ordering::Relaxed));
        let budget_ms = budget_ms.to_string();
        let mut params = vec![
            ("HTTP_REQUEST_ID", trace_id.as_str()),
            ("HTTP_RESOURCE_KEY", object_key),
            ("HTTP_BUDGET_MS", &budget_ms),
            ("HTTP_FOOTPRINT_KB", "40"),
        ];
        let mut body: &[u8] = b"";
        if class == WRITE_CLASS {
            params.push(("HTTP_ONCE_KEY", IDEMPOTENCY_KEY));
            body = WRITE_BODY;
        }
        let path = format!("/invoke/{class}");
        self.send(&Self::encode_request(request_id, &path, &params, body))
    }

    /// Sends a health check.
    pub fn request_health_check(&mut self, request_id: u16) -> io::Result<()> {
        self.send(&Self::encode_request(
            request_id,
            HEALTH_CHECK_PATH,
            &[],
            b"",
        ))
    }

    /// Sends the abort of a request.
    pub fn abort(&mut self, request_id: u16) -> io::Result<()> {
        let mut out = Vec::new();
        fastcgi::write_record(&mut out, record_type::ABORT_REQUEST, request_id, &[]);
        self.send(&out)
    }

    /// Waits until any request ends. Returns its id and its response, which is None if the request
    /// ended without output, as an aborted request does.
    pub fn next_response(&mut self) -> io::Result<(u16, Option<Response>)> {
        loop {
            let Some(part) = self.next_record_part()? else {
                continue;
            };
            let request_id = part.header.request_id;
            match part.header.record_type {
                record_type::STDOUT => self
                    .partial_responses
                    .entry(request_id)
                    .or_default()
                    .extend(part.content),
                record_type::END_REQUEST if part.is_last() => {
                    let output = self.partial_responses.remove(&request_id);
                    let response = output.map(|bytes| parse_cgi_response(&bytes)).transpose()?;
                    return Ok((request_id, response));
                }
                _ => {}
            }
        }
    }

    /// Waits for a management record. Returns its type and its content. Other records are dropped.
    pub fn next_management_record(&mut self) -> io::Result<(u8, Vec<u8>)> {
        let mut content = Vec::new();
        loop {
            let Some(part) = self.next_record_part()? else {
                continue;
            };
            if part.header.request_id == fastcgi::NULL_REQUEST_ID {
                content.extend_from_slice(&part.content);
                if part.is_last() {
                    return Ok((part.header.record_type, content));
                }
            }
        }
    }

    /// Returns the next part of a record in the input. If there is none, reads more input and
    /// returns `None`.
    fn next_record_part(&mut self) -> io::Result<Option<RecordPart>> {
        let (consumed, part) = self
            .record_parser
            .parse(&self.input)
            .map_err(|error| invalid_data(error.to_string()))?;
        self.input.drain(..consumed);
        if part.is_none() {
            self.read_more()?;
        }
        Ok(part)
    }

    fn read_more(&mut self) -> io::Result<()> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        match self.socket.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            length => {
                self.input.extend_from_slice(&chunk[..length]);
                Ok(())
            }
        }
    }
}

fn invalid_data(message: impl Into<String>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message.into())
}

/// Parses a CGI response, which consists of a head with a `Status` header, an empty line and the
/// body.
fn parse_cgi_response(bytes: &[u8]) -> io::Result<Response> {
    let head_length = bytes
        .windows(4)
        .position(|window| window == b"\r\n\r\n")
        .ok_or_else(|| invalid_data("CGI response has no empty line after its head"))?;
    let head = String::from_utf8_lossy(&bytes[..head_length]).into_owned();
    let headers: Vec<_> = head
        .lines()
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
        .collect();
    let status = headers
        .iter()
        .find(|(name, _)| name == "status")
        .and_then(|(_, value)| value.split(' ').next()?.parse().ok())
        .ok_or_else(|| invalid_data("CGI response has no valid Status header"))?;
    Ok(Response {
        status,
        headers,
        body: bytes[head_length + 4..].to_vec(),
        has_surplus_bytes: false,
    })
}
