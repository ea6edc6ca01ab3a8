//! Frontends: each translates between the protocol of its clients and the requests and answers of
//! the request table.
//!
//! - [`fastcgi`]: the platform's web servers, over FastCGI 1.0.
//! - [`interconnect`]: peer CDNs and the clients that they redirect to this CDN, over HTTP/1.1
//!   (CDNI).

pub mod fastcgi;
pub mod interconnect;

use crate::request_table::RequestKey;

/// State of a client connection that the event loop needs on both frontends.
pub trait ClientSession {
    /// Returns whether no request is open and no answer remains to be written.
    fn is_idle(&self) -> bool;
    /// Returns whether a complete request is unanswered or an answer remains to be written.
    fn is_busy(&self) -> bool;
    /// Returns whether a request is partially received.
    fn has_partial_input(&self) -> bool;
    /// Returns whether at least one complete request was received.
    fn has_received_request(&self) -> bool;
    /// Returns whether the connection has to be closed and nothing remains to be written.
    fn is_finished(&self) -> bool;
    /// Returns the number of complete requests that are unanswered.
    fn unanswered_requests(&self) -> usize;
    /// Returns the request table keys of the admitted requests that are unanswered.
    fn request_keys(&self) -> Vec<RequestKey>;
    /// Returns the number of bytes allocated for requests that are partially received.
    fn partial_request_bytes(&self) -> usize;
    /// Returns the number of bytes allocated for answers that are not completely written to the
    /// output buffer.
    fn unsent_bytes(&self) -> usize;
    /// Returns the number of bytes allocated for the tables of the session.
    fn table_bytes(&self) -> usize {
        0
    }
}
