//! Front ends: each translates between the protocol of its clients and the requests and answers of
//! the request table.
//!
//! - [`fastcgi`]: the web servers of the platform's front, over FastCGI 1.0.
//! - [`interconnect`]: peer CDNs and the clients they redirect here, over HTTP/1.1 (CDNI).

pub mod fastcgi;
pub mod interconnect;

use crate::request_table::RequestKey;

/// What the event loop asks of a client connection's session, on either front end.
pub trait ClientSession {
    /// Whether no request is open and no answer on its way out.
    fn is_idle(&self) -> bool;
    /// Whether an answer is owed or on its way out.
    fn is_busy(&self) -> bool;
    /// Whether a request is partially received.
    fn has_partial_input(&self) -> bool;
    /// Whether any request was received whole.
    fn has_received_request(&self) -> bool;
    /// Whether the connection is to be closed and nothing is left to write.
    fn is_finished(&self) -> bool;
    /// How many answers are owed.
    fn unanswered(&self) -> usize;
    /// Keys of the admitted requests that await their answers.
    fn request_keys(&self) -> Vec<RequestKey>;
}
