//! Encodes answers as CGI responses (RFC 3875, section 6). A CGI response consists of a `Status`
//! header, further headers, an empty line and the body.

use crate::memory::ByteQueue;
use crate::request_table::{Answer, Content};
use edge_routing::Micros;

const MICROS_PER_MILLISECOND: Micros = 1000;

/// Returns the CGI response for the final answer to a request.
pub(super) fn cgi_response(answer: Answer) -> ByteQueue {
    match answer {
        Answer::Served(Content::Object { bytes, .. }) => object(bytes),
        Answer::Served(Content::NotModified) => without_body("200 OK", "X-Unchanged: 1\r\n"),
        Answer::Rejected { retry_after_us } => rejection(retry_after_us),
        Answer::Failed => failure(),
    }
}

/// Returns the CGI response for a request that failed.
pub(super) fn failure() -> ByteQueue {
    status_only("502 Bad Gateway")
}

/// Returns a CGI response that has only a status. `status` consists of the code and the reason
/// phrase, as in `200 OK`.
pub(super) fn status_only(status: &str) -> ByteQueue {
    without_body(status, "")
}

fn object(bytes: ByteQueue) -> ByteQueue {
    let head = format!(
        "Status: 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: {}\r\n\r\n",
        bytes.len()
    );
    let mut response = ByteQueue::from(head.into_bytes());
    response.append(bytes);
    response
}

fn rejection(retry_after_us: Option<Micros>) -> ByteQueue {
    let back_off = match retry_after_us {
        Some(wait_us) => format!(
            "Back-Off-Ms: {}\r\n",
            wait_us.div_ceil(MICROS_PER_MILLISECOND)
        ),
        None => String::new(),
    };
    without_body("503 Service Unavailable", &back_off)
}

/// Returns a response with an empty body. `headers` consists of complete lines with line ends.
fn without_body(status: &str, headers: &str) -> ByteQueue {
    format!("Status: {status}\r\n{headers}Content-Length: 0\r\n\r\n")
        .into_bytes()
        .into()
}
