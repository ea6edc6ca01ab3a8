//! CDNI frontend: interconnection with peer CDNs over HTTP/1.1.
//!
//! The terms are those of RFC 7336: an upstream CDN (uCDN) delegates delivery to a downstream CDN
//! (dCDN). This CDN can have either role towards a peer CDN. [`InterconnectFrontend`] answers the
//! requests that need no cache server: trigger commands (RFC 8007), footprint and capabilities
//! advertisements (RFC 8008) and redirection requests (RFC 7975). Requests for content are admitted
//! to the request table and handled like the requests of other clients.
//!
//! - `frontend`: the state of the interconnection, and the handling of messages.
//! - `route`: the interface that a request is for.
//! - `identity`: this CDN and its peers, and loop detection.
//! - `content`: requests for content.
//! - [`footprint`]: footprint advertisements, sent and received.
//! - `redirect`: redirection of the clients of a uCDN.
//! - `triggers`: trigger commands and their status resources.
//! - `notification`: payloads that are sent to peer CDNs.
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
pub use response::{response_to_answer, Response, CDNI_MEDIA_TYPE_PREFIX};
pub use session::Session;
