//! HTTP responses.

use crate::request_table::{Answer, Content};
use edge_routing::Micros;
use serde_json::Value;

/// The media type of all CDNI payloads (RFC 7736); the type of the payload follows.
pub const MEDIA: &str = "application/cdni; ptype=";

const MICROS_PER_SECOND: Micros = 1_000_000;

/// A response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// Its status code.
    pub status: u16,
    /// Headers besides those of the connection and of the body's length.
    pub headers: Vec<(&'static str, String)>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Response {
    /// A response that has a status and nothing else.
    pub fn bare(status: u16) -> Self {
        Response {
            status,
            ..Response::default()
        }
    }

    /// A CDNI payload of a type. Caches must not store it, as the state that it describes changes.
    pub fn payload(status: u16, ptype: &str, value: &Value) -> Self {
        Response {
            status,
            headers: vec![
                ("Content-Type", format!("{MEDIA}{ptype}")),
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

/// The response for an answer of the request table; `late` means that the client has given up by
/// now.
pub fn response(answer: Answer, late: bool) -> Response {
    match answer {
        Answer::Served(Content::Object { bytes, tag }) => object(bytes, tag),
        Answer::Served(Content::NotModified) => Response::bare(304),
        Answer::Rejected { retry_after_us } => rejection(retry_after_us),
        Answer::Failed if late => Response::bare(504),
        Answer::Failed => Response::bare(502),
    }
}

fn object(bytes: Vec<u8>, tag: Option<String>) -> Response {
    let response = Response {
        status: 200,
        headers: Vec::new(),
        body: bytes,
    };
    let response = response.with_header("Content-Type", "application/octet-stream".to_owned());
    match tag {
        Some(tag) => response.with_header("ETag", format!("\"{tag}\"")),
        None => response,
    }
}

/// A rejection. `Retry-After` counts whole seconds (RFC 9110, section 10.2.3), and 0 would ask for
/// a retry at once.
fn rejection(retry_after_us: Option<Micros>) -> Response {
    let wait_us = retry_after_us.unwrap_or(0);
    let wait_s = wait_us.div_ceil(MICROS_PER_SECOND).max(1);
    Response::bare(503).with_header("Retry-After", wait_s.to_string())
}
