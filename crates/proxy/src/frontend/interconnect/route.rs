//! Which interface a request is for, by its method and path.

const HEALTH: &str = "/health";
const CONTENT_PREFIX: &str = "/content/";
const TRIGGERS: &str = "/cdni/triggers";
const TRIGGER_PREFIX: &str = "/cdni/triggers/";
const REDIRECTION: &str = "/cdni/redirect";
const FOOTPRINT: &str = "/cdni/footprint";
const PEER_FOOTPRINT_PREFIX: &str = "/cdni/footprint/";

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Route<'a> {
    /// The question whether content can be served.
    Health,
    /// A request for content.
    Content,
    /// A trigger command (RFC 8007, section 4.1).
    TriggerCommand,
    /// The collection of all trigger status resources (RFC 8007, section 4.2).
    TriggerCollection,
    /// A trigger status resource, or a filtered collection, by its name.
    TriggerStatus(&'a str),
    /// The deletion of a trigger status resource, by its name (RFC 8007, section 4.4).
    TriggerDeletion(&'a str),
    /// A redirection request (RFC 7975).
    Redirection,
    /// The request for our own advertisement (RFC 8008).
    FootprintAdvertisement,
    /// A peer's advertisement, by its CDN Provider ID (RFC 8008).
    PeerAdvertisement(&'a str),
    /// The path exists, but not for this method.
    MethodNotAllowed,
    /// Nothing that exists here.
    NotFound,
}

impl<'a> Route<'a> {
    /// The route of a method and of a path without its query.
    pub(super) fn of(method: &str, path: &'a str) -> Self {
        match (method, path) {
            ("GET", HEALTH) => Self::Health,
            ("POST", TRIGGERS) => Self::TriggerCommand,
            ("GET", TRIGGERS) => Self::TriggerCollection,
            ("POST", REDIRECTION) => Self::Redirection,
            ("GET", FOOTPRINT) => Self::FootprintAdvertisement,
            (_, HEALTH | TRIGGERS | REDIRECTION | FOOTPRINT) => Self::MethodNotAllowed,
            _ => Self::of_prefix(method, path),
        }
    }

    fn of_prefix(method: &str, path: &'a str) -> Self {
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
