//! Purge gossip: datagrams by which the proxies of one installation pass on the purges that only
//! one of them was notified of. The purge log holds the same text, one purge a line.
//!
//! `purge object OBJECT UNIX_US` or `purge group NUMBER UNIX_US`, in ASCII, with one space between
//! words.

use edge_routing::Micros;

/// The longest datagram that the platform carries, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// A purge of an object, or of a whole group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Purge {
    /// The object; none: all objects of the group.
    pub object: Option<String>,
    /// The group; 0 where an object is named.
    pub group: u64,
    /// Unix time of the purge, in microseconds.
    pub purged_at: Micros,
}

/// A purge as a datagram; none where it would be too long.
pub fn encode(purge: &Purge) -> Option<String> {
    let Purge {
        object,
        group,
        purged_at,
    } = purge;
    let text = match object {
        Some(object) => format!("purge object {object} {purged_at}"),
        None => format!("purge group {group} {purged_at}"),
    };
    (text.len() <= MAX_DATAGRAM_BYTES).then_some(text)
}

/// The purge that a datagram holds; none where it is not a purge.
pub fn decode(datagram: &[u8]) -> Option<Purge> {
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return None;
    }
    let text = std::str::from_utf8(datagram).ok()?;
    let words: Vec<&str> = text.splitn(5, ' ').collect();
    let (object, group, purged_at) = match words[..] {
        ["purge", "object", object, purged_at] => (Some(object.to_owned()), 0, purged_at),
        ["purge", "group", group, purged_at] => (None, group.parse().ok()?, purged_at),
        _ => return None,
    };
    Some(Purge {
        object,
        group,
        purged_at: purged_at.parse().ok()?,
    })
}
