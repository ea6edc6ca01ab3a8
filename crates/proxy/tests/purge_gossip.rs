//! Purge gossip between proxies: encoding and decoding of datagrams.

use edge_proxy::discovery::purge_gossip::{decode, encode, Purge};

/// A purge must arrive at other proxies as it was sent. One that is too long for a datagram is not
/// sent, and a malformed datagram must not count as a purge.
#[test]
fn datagrams_decode_to_what_was_encoded_and_are_bounded_in_length() {
    let object = Purge {
        object: Some("0a".into()),
        purge_group: 0,
        purged_at: 7,
    };
    assert_eq!(
        decode(encode(&object).unwrap().as_bytes()),
        Some(object.clone())
    );
    let group = Purge {
        object: None,
        purge_group: 9,
        purged_at: 8,
    };
    assert_eq!(
        decode(encode(&group).unwrap().as_bytes()),
        Some(group.clone())
    );
    let too_long = Purge {
        object: Some("a".repeat(250)),
        purge_group: 0,
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
