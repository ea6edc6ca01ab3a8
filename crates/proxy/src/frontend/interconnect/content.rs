//! Requests for content. Their URLs have the form
//! `/content/CLASS/OBJECT/PART?kb=SIZE&lot=GROUP`, where the part and the query are optional.

use super::Identity;
use crate::protocol::http::Head;
use crate::request_table::ClientRequest;

const CONTENT_PREFIX: &str = "/content/";
/// Number of hexadecimal digits in the key of an object.
const OBJECT_KEY_DIGITS: usize = 16;
/// Multiplier that maps consecutive numbers to request ids. Because it is odd, ids repeat only
/// after 2^64 requests. It is 2^64 divided by the golden ratio, which spreads the ids evenly.
const REQUEST_ID_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The content that the path of a URL names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContentPath<'a> {
    /// Name of the class.
    pub class: &'a str,
    /// Key of the object, 16 hexadecimal digits in lower case.
    pub object: &'a str,
    /// Part of the object, or 0 if the path names none.
    pub part: u64,
}

impl<'a> ContentPath<'a> {
    /// Parses a URL, which may be absolute and may have a query. Returns `None` if its path names
    /// no content.
    pub fn parse(url: &'a str) -> Option<Self> {
        let path = path_and_query(url).split('?').next()?;
        let mut segments = path.strip_prefix(CONTENT_PREFIX)?.split('/');
        let class = segments.next()?;
        let object = segments.next()?;
        let part = match segments.next() {
            Some(part) => part.parse().ok()?,
            None => 0,
        };
        let is_content = is_class_name(class) && is_object_key(object) && segments.next().is_none();
        is_content.then_some(ContentPath {
            class,
            object,
            part,
        })
    }
}

/// Returns the path and the query of a URL, which may be absolute.
pub(super) fn path_and_query(url: &str) -> &str {
    let authority_and_path = url
        .strip_prefix("http://")
        .or_else(|| url.strip_prefix("https://"));
    match authority_and_path {
        Some(rest) => rest.find('/').map_or("/", |slash| &rest[slash..]),
        None => url,
    }
}

fn is_object_key(text: &str) -> bool {
    let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    text.len() == OBJECT_KEY_DIGITS && text.bytes().all(is_digit)
}

fn is_class_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !text.is_empty() && text.bytes().all(allowed)
}

/// Generates ids for requests for content. The ids have 16 hexadecimal digits, like the ids that
/// FastCGI clients send.
pub(super) struct RequestIds {
    seed: u64,
    issued_count: u64,
}

impl RequestIds {
    pub(super) fn new(seed: u64) -> Self {
        RequestIds {
            seed,
            issued_count: 0,
        }
    }

    fn next_id(&mut self) -> String {
        self.issued_count += 1;
        let offset = self.issued_count.wrapping_mul(REQUEST_ID_MULTIPLIER);
        format!("{:016x}", self.seed.wrapping_add(offset))
    }
}

/// Returns the client request for a content URL. Returns `None` if the URL names no content, or if
/// the objects of its class may not be requested through the interconnect.
///
/// Invalid values in the query are ignored rather than rejected, because another CDN wrote the URL
/// to which it redirected the client. An invalid tag in the header is ignored as well.
pub(super) fn client_request(
    identity: &Identity,
    ids: &mut RequestIds,
    head: &Head,
    target: &str,
) -> Option<ClientRequest> {
    let content = ContentPath::parse(target)?;
    let remaining_us = identity.client_timeout_us(content.class)?;
    Some(ClientRequest {
        id: ids.next_id(),
        class: content.class.to_owned(),
        object: content.object.to_owned(),
        part: content.part,
        purge_group: purge_group(target),
        size_kb: size_kb(target),
        remaining_us,
        client_copy_tag: client_copy_tag(head),
        ..ClientRequest::default()
    })
}

fn query_value<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Returns the purge group that the query names, or 0 if it names none or the value is invalid.
fn purge_group(target: &str) -> u64 {
    query_value(target, "lot")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

/// Returns the size that the query names, or 0 if it names none or the value is invalid.
fn size_kb(target: &str) -> f64 {
    query_value(target, "kb")
        .and_then(|value| value.parse().ok())
        .filter(|size_kb: &f64| size_kb.is_finite() && *size_kb >= 0.0)
        .unwrap_or(0.0)
}

/// Returns the tag of the copy that the client holds, from the `If-None-Match` header (RFC 9110,
/// section 13.1.2). Weak tags are treated as strong tags. Returns `None` if the header is missing
/// or is not a single tag of ASCII letters and digits.
fn client_copy_tag(head: &Head) -> Option<String> {
    let tag = head
        .header("if-none-match")?
        .trim_start_matches("W/")
        .trim_matches('"');
    let is_tag = !tag.is_empty() && tag.bytes().all(|byte| byte.is_ascii_alphanumeric());
    is_tag.then(|| tag.to_owned())
}
