//! HTTP responses of the interconnection.

use crate::memory::ByteQueue;
use crate::request_table::{Answer, Content};
use edge_routing::Micros;
use serde_json::Value;

/// Prefix of the media type of CDNI payloads (RFC 7736). The payload type follows it.
pub const CDNI_MEDIA_TYPE_PREFIX: &str = "application/cdni; ptype=";

const MICROS_PER_SECOND: Micros = 1_000_000;

/// An HTTP response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Headers other than `Connection` and `Content-Length`.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Response {
    /// Creates a response that has only a status.
    pub fn without_body(status: u16) -> Self {
        Response {
            status,
            ..Response::default()
        }
    }

    /// Creates a response with a CDNI payload. Caches must not store it, because the state that it
    /// describes changes.
    pub fn payload(status: u16, payload_type: &str, value: &Value) -> Self {
        Response {
            status,
            headers: vec![
                (
                    "Content-Type",
                    format!("{CDNI_MEDIA_TYPE_PREFIX}{payload_type}"),
                ),
                ("Cache-Control", "no-store".to_owned()),
            ],
            body: value.to_string().into_bytes(),
        }
    }

    pub(super) fn with_header(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }
}

/// Returns the response for an answer of the request table. `client_timed_out` states whether the
/// client no longer waits by now.
pub fn response_to_answer(answer: Answer, client_timed_out: bool) -> Response {
    match answer {
        Answer::Served(Content::Object { bytes, tag }) => object(bytes, tag),
        Answer::Served(Content::NotModified) => Response::without_body(304),
        Answer::Rejected { retry_after_us } => rejection(retry_after_us),
        Answer::Failed if client_timed_out => Response::without_body(504),
        Answer::Failed => Response::without_body(502),
    }
}

fn object(bytes: ByteQueue, tag: Option<String>) -> Response {
    let response = Response {
        status: 200,
        headers: Vec::new(),
        body: bytes.to_vec(),
    };
    let response = response.with_header("Content-Type", "application/octet-stream".to_owned());
    match tag {
        Some(tag) => response.with_header("ETag", format!("\"{tag}\"")),
        None => response,
    }
}

/// Returns the response for a rejected request. `Retry-After` is in whole seconds (RFC 9110,
/// section 10.2.3). It is at least 1, because 0 would ask for an immediate retry.
fn rejection(retry_after_us: Option<Micros>) -> Response {
    let wait_us = retry_after_us.unwrap_or(0);
    let wait_s = wait_us.div_ceil(MICROS_PER_SECOND).max(1);
    Response::without_body(503).with_header("Retry-After", wait_s.to_string())
}
