//! Format of purge gossip. The proxies of a deployment send each other datagrams with the purges
//! that only one of them was notified of. The purge log uses the same format, with one purge on
//! each line.
//!
//! A purge is written as `purge object OBJECT UNIX_US` or `purge group NUMBER UNIX_US`, in ASCII,
//! with one space between words.

use crate::request_table::PurgeTarget;
use edge_routing::Micros;

/// The maximum size of a datagram that the platform delivers, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// A purge that the proxies of a deployment tell each other of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Purge {
    /// What is purged.
    pub target: PurgeTarget,
    /// Unix time of the purge, in microseconds.
    pub purged_at: Micros,
}

/// Encodes a purge as a datagram. Returns None if the datagram would exceed [`MAX_DATAGRAM_BYTES`].
pub fn encode(purge: &Purge) -> Option<String> {
    let Purge { target, purged_at } = purge;
    let text = format!("purge {target} {purged_at}");
    (text.len() <= MAX_DATAGRAM_BYTES).then_some(text)
}

/// Decodes a datagram. Returns None if it is not a valid purge.
pub fn decode(datagram: &[u8]) -> Option<Purge> {
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return None;
    }
    let text = std::str::from_utf8(datagram).ok()?;
    let words: Vec<&str> = text.splitn(5, ' ').collect();
    let (target, purged_at) = match words[..] {
        ["purge", "object", object, purged_at] => {
            (PurgeTarget::Object(object.to_owned()), purged_at)
        }
        ["purge", "group", purge_group, purged_at] => {
            (PurgeTarget::Group(purge_group.parse().ok()?), purged_at)
        }
        _ => return None,
    };
    Some(Purge {
        target,
        purged_at: purged_at.parse().ok()?,
    })
}
