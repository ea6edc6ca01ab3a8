//! Purges: for how long they limit the age of copies, how they reach peer proxies, and how they
//! survive a restart.

use edge_testkit::fastcgi_client::FastCgiClient;
use edge_testkit::http_client;
use edge_testkit::proxy_fixture::{fetch_object, ProxyFixture};
use edge_testkit::sample_deployment::{object_key, purge_trigger, READ_CLASS};
use edge_testkit::unix_ms;
use serde_json::{json, Value};
use std::net::UdpSocket;

/// Size of the largest datagram between proxies.
const MAX_DATAGRAM_BYTES: usize = 512;

/// Purges an object on behalf of a peer CDN, and returns the HTTP status of the response.
fn purge_by_peer_cdn(proxy: &ProxyFixture, object_key: &str) -> u16 {
    let trigger = purge_trigger(object_key).to_string();
    let address = proxy.interconnect_address;
    http_client::request(address, "POST", "/cdni/triggers", &trigger)
        .unwrap()
        .status
}

/// Fetches an object and returns the creation time of the copy, in milliseconds of Unix time.
fn copy_created_at_ms(client: &mut FastCgiClient, object_key: &str) -> Option<u64> {
    fetch_object(client, READ_CLASS, object_key).copy_created_at_ms()
}

/// A peer CDN sends its purge to one proxy. Without gossip, the other proxies would go on serving
/// purged copies. Datagrams from unknown addresses must not purge anything.
#[test]
fn purge_reaches_the_peer_proxies_and_is_not_accepted_from_strangers() {
    let (purged_by_peer, purged_by_cdn, purged_by_stranger) =
        (object_key(1), object_key(2), object_key(3));
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    let proxy = ProxyFixture::builder()
        .config(|config| {
            config["peer_listen"] = json!("127.0.0.1:0");
            config["peers"] = json!([peer.local_addr().unwrap().to_string()]);
        })
        .start();
    let mut client = proxy.connect();
    let peers_copy_ms = copy_created_at_ms(&mut client, &purged_by_peer);
    let strangers_copy_ms = copy_created_at_ms(&mut client, &purged_by_stranger);
    // Ages are in milliseconds. Within one millisecond, copies from before a purge have the same
    // age as those from after it.
    while unix_ms() <= strangers_copy_ms.unwrap() + 1 {}

    assert_eq!(purge_by_peer_cdn(&proxy, &purged_by_cdn), 201);
    let mut datagram = [0; MAX_DATAGRAM_BYTES];
    let (length, proxy_address) = peer.recv_from(&mut datagram).unwrap();
    let text = std::str::from_utf8(&datagram[..length]).unwrap();
    let expected_start = format!("purge object {purged_by_cdn} ");
    assert!(text.starts_with(&expected_start), "{text}");

    let now_us = unix_ms() * 1000;
    let strangers_purge = format!("purge object {purged_by_stranger} {now_us}");
    stranger
        .send_to(strangers_purge.as_bytes(), proxy_address)
        .unwrap();
    let peers_purge = format!("purge object {purged_by_peer} {now_us}");
    peer.send_to(peers_purge.as_bytes(), proxy_address).unwrap();

    while copy_created_at_ms(&mut client, &purged_by_peer) == peers_copy_ms {}
    assert_eq!(
        copy_created_at_ms(&mut client, &purged_by_stranger),
        strangers_copy_ms,
        "a purge from an unknown address took effect"
    );
    proxy.shut_down();
}

/// Cache servers are not notified of the purges of peer CDNs. A proxy that forgot such a purge at a
/// restart would serve purged copies again.
#[test]
fn purge_by_a_peer_cdn_is_remembered_across_a_restart() {
    let purge_log = std::env::temp_dir().join(format!("edge-proxy-purges-{}", std::process::id()));
    let use_purge_log = |config: &mut Value| config["purges"] = json!(purge_log);

    let proxy = ProxyFixture::builder().config(use_purge_log).start();
    assert_eq!(purge_by_peer_cdn(&proxy, &object_key(1)), 201);
    proxy.shut_down();

    let proxy = ProxyFixture::builder().config(use_purge_log).start();
    let mut client = proxy.connect();
    for (number, is_purged) in [(1, true), (2, false)] {
        let key = object_key(number);
        let response = fetch_object(&mut client, READ_CLASS, &key);
        assert_eq!(response.status, 200);
        let fetch = proxy.caches[0].wait_for_request_of(&key).unwrap();
        let has_age_limit = fetch.field("maxage").is_some();
        assert_eq!(has_age_limit, is_purged, "{}", fetch.fields);
    }
    proxy.shut_down();
    std::fs::remove_file(purge_log).unwrap();
}

/// A fill that is in flight when caches drop their copies may store an older copy afterwards. The
/// age limit of a purge must therefore outlast its completion time.
#[test]
fn purge_limits_the_age_of_copies_even_after_caches_have_dropped_theirs() {
    // Time after a purge within which cache servers drop their copies.
    const PURGE_COMPLETION_US: u64 = 200_000;
    // Longer than that time with the 50 ms that the proxy adds, by more than the clock's step.
    const WAIT_MS: u64 = 260;
    let proxy = ProxyFixture::builder()
        .config(|config| {
            config["settings"]["family-info"]["purge-takes-us"] = PURGE_COMPLETION_US.into();
        })
        .start();
    let mut client = proxy.connect();
    let mut fetch = || fetch_object(&mut client, READ_CLASS, &object_key(1)).status;
    let last_fetch_has_age_limit = || {
        let commands = proxy.caches[0].received();
        let last = commands.last();
        last.is_some_and(|command| command.field("maxage").is_some())
    };
    proxy
        .event_bus
        .publish_object_purge(&object_key(1), unix_ms());
    while !last_fetch_has_age_limit() {
        assert_eq!(fetch(), 200);
    }
    let known_at_ms = unix_ms();

    while unix_ms() <= known_at_ms + WAIT_MS {}

    assert_eq!(fetch(), 200);
    assert!(
        last_fetch_has_age_limit(),
        "the age limit ended although a fill in flight at the purge may have stored an older copy"
    );
    proxy.shut_down();
}
