//! Requests for content: URLs `/content/CLASS/OBJECT/PART?kb=SIZE&lot=GROUP`, where the part and
//! the query may be absent.

use super::Identity;
use crate::protocol::http::Head;
use crate::request_table::ClientRequest;

const CONTENT_PREFIX: &str = "/content/";
/// Digits of an object's key.
const OBJECT_DIGITS: usize = 16;
/// An odd multiplier, by which consecutive numbers become ids that never repeat before 2^64 of them
/// (the golden ratio's fraction, which spreads them well).
const ID_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// What the path of a content URL names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContentPath<'a> {
    /// The name of the class.
    pub class: &'a str,
    /// The object: 16 hexadecimal digits in lower case.
    pub object: &'a str,
    /// The part of the object, 0 if the path names none.
    pub part: u64,
}

impl<'a> ContentPath<'a> {
    /// Reads the path of a URL, which may be absolute and have a query.
    pub fn read(url: &'a str) -> Option<Self> {
        let path = url_path(url).split('?').next()?;
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

/// The path and query of a URL, absolute or not.
pub(super) fn url_path(url: &str) -> &str {
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
    text.len() == OBJECT_DIGITS && text.bytes().all(is_digit)
}

fn is_class_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !text.is_empty() && text.bytes().all(allowed)
}

/// Numbers the requests for content and gives each an id: 16 hexadecimal digits, as all others
/// have.
pub(super) struct RequestIds {
    seed: u64,
    issued: u64,
}

impl RequestIds {
    pub(super) fn new(seed: u64) -> Self {
        RequestIds { seed, issued: 0 }
    }

    fn next(&mut self) -> String {
        self.issued += 1;
        let offset = self.issued.wrapping_mul(ID_MULTIPLIER);
        format!("{:016x}", self.seed.wrapping_add(offset))
    }
}

/// The client request for a content URL; none if it names no content of this network.
///
/// Parts of the query and tags that can't be used count as absent: clients were redirected here
/// with a URL that another network wrote.
pub(super) fn client_request(
    identity: &Identity,
    ids: &mut RequestIds,
    head: &Head,
    target: &str,
) -> Option<ClientRequest> {
    let content = ContentPath::read(target)?;
    let remaining_us = identity.client_timeout(content.class)?;
    Some(ClientRequest {
        id: ids.next(),
        class: content.class.to_owned(),
        object: content.object.to_owned(),
        part: content.part,
        purge_group: group(target),
        size_kb: size_kb(target),
        remaining_us,
        client_copy_tag: held_tag(head),
        ..ClientRequest::default()
    })
}

fn query_value<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

fn group(target: &str) -> u64 {
    query_value(target, "lot")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

fn size_kb(target: &str) -> f64 {
    query_value(target, "kb")
        .and_then(|value| value.parse().ok())
        .filter(|size_kb: &f64| size_kb.is_finite() && *size_kb >= 0.0)
        .unwrap_or(0.0)
}

/// The tag of the copy that the client holds (RFC 9110, section 13.1.2). Weak tags are compared as
/// strong ones.
fn held_tag(head: &Head) -> Option<String> {
    let tag = head
        .header("if-none-match")?
        .trim_start_matches("W/")
        .trim_matches('"');
    let is_tag = !tag.is_empty() && tag.bytes().all(|byte| byte.is_ascii_alphanumeric());
    is_tag.then(|| tag.to_owned())
}
