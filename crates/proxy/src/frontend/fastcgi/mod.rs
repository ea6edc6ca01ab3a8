//! The platform's front: web servers send requests over FastCGI 1.0 and get CGI responses.
//!
//! The source of names, statuses and limits is the section "Clients to edge proxies" of the
//! platform's protocol page.
//!
//! - `session`: one connection with its multiplexed requests.
//! - `request`: reads the CGI parameters of a request into a
//!   [`ClientRequest`](crate::request_table::ClientRequest).
//! - `response`: writes answers as CGI responses.
//! - `outgoing`: the queue of answers on their way out.

mod outgoing;
mod request;
mod response;
mod session;

pub use request::{InvalidParameter, Parameter};
pub use session::{Session, SessionEvent};
