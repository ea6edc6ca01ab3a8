//! Request Routing Redirection Interface (RFC 7975): where the clients of a uCDN are redirected.

use super::footprint::{network_of, Network, PeerFootprint};
use super::identity::has_passed;
use super::{ContentPath, Identity, Response};
use serde_json::{json, Value};
use std::net::Ipv4Addr;

/// The type of a redirection response payload.
const PTYPE: &str = "redirection-response";

/// Why there is no redirection (RFC 7975, "Error Responses").
struct RedirectionError {
    code: u16,
    reason: &'static str,
}

impl RedirectionError {
    const fn new(code: u16, reason: &'static str) -> Self {
        RedirectionError { code, reason }
    }
}

const NOT_JSON: RedirectionError = RedirectionError::new(400, "the request is not JSON");
const NO_CDN_PATH: RedirectionError = RedirectionError::new(400, "cdn-path is missing");
const MISSING_FIELD: RedirectionError =
    RedirectionError::new(400, "http, cs-uri or c-ip is missing");
const NOT_IPV4: RedirectionError = RedirectionError::new(400, "c-ip is no IPv4 address");
const UNKNOWN_CONTENT: RedirectionError =
    RedirectionError::new(500, "the URI names no content of ours");
const LOOP_DETECTED: RedirectionError = RedirectionError::new(502, "a loop");
const TOO_MANY_HOPS: RedirectionError = RedirectionError::new(503, "too many hops");
const NO_TARGET: RedirectionError =
    RedirectionError::new(504, "nothing here can serve this client");
const DELIVERY_UNSUPPORTED: RedirectionError =
    RedirectionError::new(505, "content is delivered by GET over http");
const DNS_UNSUPPORTED: RedirectionError =
    RedirectionError::new(506, "redirection by DNS is not supported");

/// A redirection request that can be answered by a redirection.
struct RedirectionRequest<'a> {
    cdn_path: &'a [Value],
    uri: &'a str,
    content: ContentPath<'a>,
    client: Ipv4Addr,
}

/// Where a client is redirected.
struct Target<'a> {
    /// The base of the URLs there.
    base_url: &'a str,
    /// The network for whose clients the redirection holds.
    scope: Network,
}

/// Responds to a redirection request: with our own content where the client lies in our footprint
/// and we can serve, else with that of a peer that has advertised that it reaches the client.
pub(super) fn respond(
    identity: &Identity,
    peer_footprints: &[PeerFootprint],
    ready: bool,
    payload: Option<&Value>,
) -> Response {
    let redirection = payload
        .ok_or(NOT_JSON)
        .and_then(|payload| read_request(identity, payload))
        .and_then(|request| redirect(identity, peer_footprints, ready, &request));
    // Also where there is no redirection the exchange itself went well: what went wrong stands in
    // the payload.
    let payload = redirection.unwrap_or_else(
        |error| json!({"error": {"error-code": error.code, "reason": error.reason}}),
    );
    Response::payload(200, PTYPE, &payload)
}

fn read_request<'a>(
    identity: &Identity,
    payload: &'a Value,
) -> Result<RedirectionRequest<'a>, RedirectionError> {
    let cdn_path = read_cdn_path(identity, payload)?;
    if payload["dns"].is_object() {
        return Err(DNS_UNSUPPORTED);
    }
    let http = &payload["http"];
    let (Some(uri), Some(client)) = (http["cs-uri"].as_str(), http["c-ip"].as_str()) else {
        return Err(MISSING_FIELD);
    };
    let is_get = http["cs-method"]
        .as_str()
        .is_none_or(|method| method == "GET");
    if !is_get || !uri.starts_with("http://") {
        return Err(DELIVERY_UNSUPPORTED);
    }
    let content = ContentPath::read(uri)
        .filter(|content| identity.client_timeout(content.class).is_some())
        .ok_or(UNKNOWN_CONTENT)?;
    Ok(RedirectionRequest {
        cdn_path,
        uri,
        content,
        client: client.parse().map_err(|_| NOT_IPV4)?,
    })
}

/// The networks that a request has passed, if it may be passed on (RFC 7975, "Loop Detection and
/// Prevention").
fn read_cdn_path<'a>(
    identity: &Identity,
    payload: &'a Value,
) -> Result<&'a [Value], RedirectionError> {
    let cdn_path = payload["cdn-path"].as_array().ok_or(NO_CDN_PATH)?;
    if identity.is_loop(cdn_path) {
        return Err(LOOP_DETECTED);
    }
    match payload["max-hops"].as_u64() {
        Some(limit) if cdn_path.len() as u64 > limit => Err(TOO_MANY_HOPS),
        _ => Ok(cdn_path),
    }
}

/// The redirection of a client, as a payload.
fn redirect(
    identity: &Identity,
    peer_footprints: &[PeerFootprint],
    ready: bool,
    request: &RedirectionRequest,
) -> Result<Value, RedirectionError> {
    let own_target = own_target(identity, request).filter(|_| ready);
    let target = own_target
        .or_else(|| peer_target(identity, peer_footprints, request))
        .ok_or(NO_TARGET)?;
    Ok(json!({
        "http": {
            "sc-status": 302,
            "sc-version": "HTTP/1.1",
            "sc-reason": "Found",
            "cs-uri": request.uri,
            "sc-(location)": location(target.base_url, request),
        },
        "scope": {"iprange": target.scope.to_string()},
    }))
}

fn own_target<'a>(identity: &'a Identity, request: &RedirectionRequest) -> Option<Target<'a>> {
    Some(Target {
        base_url: &identity.base_url,
        scope: network_of(&identity.footprint, request.client)?,
    })
}

/// The first peer that reaches the client and that the request has not passed.
fn peer_target<'a>(
    identity: &'a Identity,
    peer_footprints: &[PeerFootprint],
    request: &RedirectionRequest,
) -> Option<Target<'a>> {
    let (provider, scope) = peer_footprints
        .iter()
        .filter(|peer| !has_passed(request.cdn_path, &peer.provider))
        .find_map(|peer| Some((&peer.provider, network_of(&peer.networks, request.client)?)))?;
    Some(Target {
        base_url: &identity.peer(provider)?.content_base_url,
        scope,
    })
}

/// The URL of the requested content elsewhere, with the query of the request.
fn location(base_url: &str, request: &RedirectionRequest) -> String {
    let ContentPath {
        class,
        object,
        part,
    } = request.content;
    let query = match request.uri.split_once('?') {
        Some((_, query)) => format!("?{query}"),
        None => String::new(),
    };
    format!("{base_url}/content/{class}/{object}/{part}{query}")
}
