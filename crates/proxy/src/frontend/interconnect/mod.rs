//! The CDNI front: interconnection with peer CDNs over HTTP/1.1.
//!
//! Terms are those of RFC 7336: an upstream CDN (uCDN) delegates delivery to a downstream CDN
//! (dCDN). This network is either to its peers. [`InterconnectFrontend`] answers what needs no
//! cache server: trigger commands (RFC 8007), footprint and capabilities advertisements (RFC 8008)
//! and redirection requests (RFC 7975). Requests for content become the request table's and go
//! through the same decisions as all others.
//!
//! - `frontend`: the state of the interconnection; what a message leads to.
//! - `route`: which interface a request is for.
//! - `identity`: this network and its peers, and loop detection.
//! - `content`: requests for content.
//! - [`footprint`]: footprint advertisements, sent and received.
//! - `redirect`: where the clients of a uCDN are redirected.
//! - `triggers`: trigger commands and their status resources.
//! - `notification`: payloads for peers.
//! - `response`, `session`: HTTP responses and connections.

mod content;
pub mod footprint;
mod frontend;
mod identity;
mod notification;
mod redirect;
mod response;
mod route;
mod session;
mod triggers;

pub use content::ContentPath;
pub use frontend::{Effect, HandledRequest, InterconnectFrontend, InterconnectReply};
pub use identity::{Identity, PeerCdn, ServedClass};
pub use notification::Notification;
pub use response::{response, Response, MEDIA};
pub use session::Session;
