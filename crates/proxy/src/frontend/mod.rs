//! Front ends: each translates between the protocol of its clients and the requests and answers of
//! the request table.
//!
//! - [`fastcgi`]: the web servers of the platform's front, over FastCGI 1.0.
//! - [`interconnect`]: peer CDNs and the clients they redirect here, over HTTP/1.1 (CDNI).

pub mod fastcgi;
pub mod interconnect;
