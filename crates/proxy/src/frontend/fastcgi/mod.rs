//! FastCGI frontend: the platform's web servers send requests over FastCGI 1.0 and receive CGI
//! responses.
//!
//! Names, statuses and limits are specified in the section "Clients to edge proxies" of the
//! platform's protocol page.
//!
//! - `session`: one connection with its multiplexed requests.
//! - `partial_request`: a request whose records are still arriving.
//! - `record_collector`: the content of a record that can only be handled as a whole.
//! - `request`: converts the CGI parameters of a request to a
//!   [`ClientRequest`](crate::request_table::ClientRequest).
//! - `response`: encodes answers as CGI responses.
//! - `outgoing`: the queue of answers that remain to be written.

mod outgoing;
mod partial_request;
mod record_collector;
mod request;
mod response;
mod session;

pub use request::{InvalidParameter, Parameter};
pub use session::{Session, SessionEvent};
