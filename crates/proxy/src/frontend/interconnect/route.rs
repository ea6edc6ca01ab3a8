//! Maps the method and the path of a request to an interface.

const HEALTH: &str = "/health";
const CONTENT_PREFIX: &str = "/content/";
const TRIGGERS: &str = "/cdni/triggers";
const TRIGGER_PREFIX: &str = "/cdni/triggers/";
const REDIRECTION: &str = "/cdni/redirect";
const FOOTPRINT: &str = "/cdni/footprint";
const PEER_FOOTPRINT_PREFIX: &str = "/cdni/footprint/";

/// The interface that a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Route<'a> {
    /// A health check, which asks whether the proxy can serve content.
    Health,
    /// A request for content.
    Content,
    /// A trigger command (RFC 8007, section 4.1).
    TriggerCommand,
    /// The collection of all trigger status resources (RFC 8007, section 4.2).
    TriggerCollection,
    /// A trigger status resource or a filtered collection, with its name.
    TriggerStatus(&'a str),
    /// The deletion of a trigger status resource, with its name (RFC 8007, section 4.4).
    TriggerDeletion(&'a str),
    /// A redirection request (RFC 7975).
    Redirection,
    /// A request for the advertisement of this CDN (RFC 8008).
    FootprintAdvertisement,
    /// An advertisement of a peer CDN, with its CDN Provider ID (RFC 8008).
    PeerAdvertisement(&'a str),
    /// The path exists but does not support the method.
    MethodNotAllowed,
    /// The path does not exist, or does not exist for this method.
    NotFound,
}

impl<'a> Route<'a> {
    /// Returns the route for a method and a path without a query.
    pub(super) fn for_request(method: &str, path: &'a str) -> Self {
        match (method, path) {
            ("GET", HEALTH) => Self::Health,
            ("POST", TRIGGERS) => Self::TriggerCommand,
            ("GET", TRIGGERS) => Self::TriggerCollection,
            ("POST", REDIRECTION) => Self::Redirection,
            ("GET", FOOTPRINT) => Self::FootprintAdvertisement,
            (_, HEALTH | TRIGGERS | REDIRECTION | FOOTPRINT) => Self::MethodNotAllowed,
            _ => Self::for_prefixed_path(method, path),
        }
    }

    fn for_prefixed_path(method: &str, path: &'a str) -> Self {
        if method == "GET" && path.starts_with(CONTENT_PREFIX) {
            return Self::Content;
        }
        if let Some(name) = path.strip_prefix(TRIGGER_PREFIX) {
            return match method {
                "GET" => Self::TriggerStatus(name),
                "DELETE" => Self::TriggerDeletion(name),
                _ => Self::NotFound,
            };
        }
        match path.strip_prefix(PEER_FOOTPRINT_PREFIX) {
            Some(provider) if method == "POST" => Self::PeerAdvertisement(provider),
            _ => Self::NotFound,
        }
    }
}
