//! Purge gossip between proxies: encoding and decoding of datagrams.

use edge_proxy::discovery::purge_gossip::{decode, encode, Purge};
use edge_proxy::request_table::PurgeTarget;

/// A purge must arrive at other proxies as it was sent. One that is too long for a datagram is not
/// sent, and a malformed datagram must not count as a purge.
#[test]
fn datagrams_decode_to_what_was_encoded_and_are_bounded_in_length() {
    let object = Purge {
        target: PurgeTarget::Object("0a".into()),
        purged_at: 7,
    };
    assert_eq!(
        decode(encode(&object).unwrap().as_bytes()),
        Some(object.clone())
    );
    let group = Purge {
        target: PurgeTarget::Group(9),
        purged_at: 8,
    };
    assert_eq!(
        decode(encode(&group).unwrap().as_bytes()),
        Some(group.clone())
    );
    let too_long = Purge {
        target: PurgeTarget::Object("a".repeat(250)),
        purged_at: 1,
    };
    assert_eq!(encode(&too_long), None);
    for malformed in [
        "",
        "purge",
        "purge group x 1",
        "purge group 1 1 1",
        "purge object a -1",
        "hello a b 1",
    ] {
        assert_eq!(
            decode(malformed.as_bytes()),
            None,
            "malformed datagram {malformed:?} was accepted"
        );
    }
}
