//! Purge gossip: the text of a datagram.

use edge_proxy::discovery::purge_gossip::{decode, encode, Purge};

#[test]
fn datagrams_decode_to_what_was_encoded_and_stay_short() {
    let object = Purge {
        object: Some("0a".into()),
        group: 0,
        purged_at: 7,
    };
    assert_eq!(
        decode(encode(&object).unwrap().as_bytes()),
        Some(object.clone())
    );
    let group = Purge {
        object: None,
        group: 9,
        purged_at: 8,
    };
    assert_eq!(
        decode(encode(&group).unwrap().as_bytes()),
        Some(group.clone())
    );
    let too_long = Purge {
        object: Some("a".repeat(250)),
        group: 0,
        purged_at: 1,
    };
    assert_eq!(encode(&too_long), None);
    for bad in [
        "",
        "purge",
        "purge group x 1",
        "purge group 1 1 1",
        "purge object a -1",
        "hello a b 1",
    ] {
        assert_eq!(decode(bad.as_bytes()), None, "{bad}");
    }
}
