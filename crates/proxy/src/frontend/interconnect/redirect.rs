//! Request Routing Redirection Interface (RFC 7975): redirection of the clients of a uCDN.

use super::footprint::{find_network, Ipv4Network, PeerFootprint};
use super::identity::cdn_path_contains;
use super::{ContentPath, Identity, Response};
use serde_json::{json, Value};
use std::net::Ipv4Addr;

/// Payload type of a redirection response.
const PAYLOAD_TYPE: &str = "redirection-response";

/// Error for a request that cannot be redirected (RFC 7975, "Error Responses").
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

/// A valid redirection request.
struct RedirectionRequest<'a> {
    cdn_path: &'a [Value],
    uri: &'a str,
    content: ContentPath<'a>,
    client_address: Ipv4Addr,
}

/// Target of a redirection.
struct Target<'a> {
    /// Base of the URLs at the target.
    base_url: &'a str,
    /// Network for whose clients the redirection is valid.
    scope: Ipv4Network,
}

/// Responds to a redirection request. The client is redirected to this CDN if it is in the
/// footprint of this CDN and the proxy can serve content. Otherwise it is redirected to a peer CDN
/// whose advertised footprint contains the client.
pub(super) fn respond(
    identity: &Identity,
    peer_footprints: &[PeerFootprint],
    is_ready: bool,
    payload: Option<&Value>,
) -> Response {
    let redirection = payload
        .ok_or(NOT_JSON)
        .and_then(|payload| parse_request(identity, payload))
        .and_then(|request| redirect(identity, peer_footprints, is_ready, &request));
    // The status is 200 even if the request cannot be redirected, because the exchange itself
    // succeeded. The payload describes the error.
    let payload = redirection.unwrap_or_else(
        |error| json!({"error": {"error-code": error.code, "reason": error.reason}}),
    );
    Response::payload(200, PAYLOAD_TYPE, &payload)
}

fn parse_request<'a>(
    identity: &Identity,
    payload: &'a Value,
) -> Result<RedirectionRequest<'a>, RedirectionError> {
    let cdn_path = parse_cdn_path(identity, payload)?;
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
    let content = ContentPath::parse(uri)
        .filter(|content| identity.client_timeout_us(content.class).is_some())
        .ok_or(UNKNOWN_CONTENT)?;
    Ok(RedirectionRequest {
        cdn_path,
        uri,
        content,
        client_address: client.parse().map_err(|_| NOT_IPV4)?,
    })
}

/// Returns the CDNs through which a request has passed (RFC 7975, "Loop Detection and Prevention").
///
/// # Errors
///
/// Returns an error if the list is missing, contains this CDN or is longer than the hop limit of
/// the request.
fn parse_cdn_path<'a>(
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

/// Returns the payload that redirects a client.
fn redirect(
    identity: &Identity,
    peer_footprints: &[PeerFootprint],
    is_ready: bool,
    request: &RedirectionRequest,
) -> Result<Value, RedirectionError> {
    let own_target = own_target(identity, request).filter(|_| is_ready);
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
        scope: find_network(&identity.footprint, request.client_address)?,
    })
}

/// Returns the first peer CDN whose footprint contains the client and through which the request has
/// not passed.
fn peer_target<'a>(
    identity: &'a Identity,
    peer_footprints: &[PeerFootprint],
    request: &RedirectionRequest,
) -> Option<Target<'a>> {
    let (provider, scope) = peer_footprints
        .iter()
        .filter(|peer| !cdn_path_contains(request.cdn_path, &peer.provider))
        .find_map(|peer| {
            Some((
                &peer.provider,
                find_network(&peer.networks, request.client_address)?,
            ))
        })?;
    Some(Target {
        base_url: &identity.peer(provider)?.content_base_url,
        scope,
    })
}

/// Returns the URL of the requested content at another base, with the query of the request.
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
