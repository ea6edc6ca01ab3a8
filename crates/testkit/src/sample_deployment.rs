//! The deployment that the fakes belong to: one location with cache servers and a hub with the
//! origin, as in `examples/config.json`, and a peer CDN.

use serde_json::{json, Value};
use std::net::SocketAddr;

/// Class of the requests that read an object. They are idempotent and caches serve them.
pub const READ_CLASS: &str = "photo";
/// Class of the requests that write. They carry an idempotency key and go to the origin.
pub const WRITE_CLASS: &str = "post";

/// Zone of the proxy and of the cache servers.
pub const LOCAL_ZONE: &str = "here";
/// Zone of the origin.
pub const HUB_ZONE: &str = "hub";
/// Kind of a cache server, as it is on the wire.
pub const CACHE_KIND: &str = "cache";
/// Kind of the origin, as it is on the wire.
pub const ORIGIN_KIND: &str = "origin";
/// Capacity that every server announces.
pub const CAPACITY_HINT: u64 = 8;

/// Provider id of the proxy's CDN.
pub const PROXY_PROVIDER: &str = "AS64500:0";
/// Provider id of the peer CDN.
pub const PEER_PROVIDER: &str = "AS64501:0";
/// Base of the URLs that the proxy's interconnect interface gives out.
pub const INTERCONNECT_BASE_URL: &str = "http://cdn.example";
/// Path at which the peer CDN accepts footprint notifications.
pub const PEER_NOTIFICATIONS_PATH: &str = "/notices";
/// Path at which the peer CDN accepts triggers.
pub const PEER_TRIGGERS_PATH: &str = "/triggers";

/// The proxy's `settings`.
pub fn sample_settings() -> Value {
    json!({
        "categories": [
            {
                "name": READ_CLASS, "aim-us": 300_000, "deadline-us": 2_500_000, "repeat": "pure",
                "worth": 1.0,
            },
            {
                "name": WRITE_CLASS, "aim-us": 700_000, "deadline-us": 3_000_000, "repeat": "token",
                "dedup-scope": "all", "window-us": 3_000_000, "worth": 3.0,
            },
        ],
        "family-info": {
            "in-pieces": [false, false], "never-kept": [false, true], "good-for-us": [8_000_000, 0],
            "may-pass-by": true, "can-join": true, "mid-kind": -1, "source-kind": 1,
            "seats-by-zone": [0, 1], "attached-to": [0, 0], "one-flow-kb-per-s": 4000,
            "purge-takes-us": 6_000_000, "purge-slack-us": 300_000, "note-level": "all",
        },
        "kinds": [CACHE_KIND, ORIGIN_KIND],
        "localities": [HUB_ZONE, LOCAL_ZONE],
        "zone": LOCAL_ZONE,
        "weights": "rough",
        "limits": {"try-limit": 6, "cancel": true, "max-retry-after-us": 2_000_000},
        "rules": {
            "drain-grace-us": 1_000_000, "cold-share": 0.2, "ramp-time-us": 9_000_000,
            "fall-multiple": 2.5, "tip-after-us": 3_000_000,
        },
    })
}

/// The interconnect configuration of a proxy without peers.
pub fn interconnect_config() -> Value {
    json!({
        "listen": "127.0.0.1:0",
        "provider": PROXY_PROVIDER,
        "base": INTERCONNECT_BASE_URL,
        "footprint": ["127.0.0.0/8"],
        "neighbours": [],
    })
}

/// The interconnect configuration of a proxy with one peer.
pub fn interconnect_config_with_peer(peer: SocketAddr) -> Value {
    let mut config = interconnect_config();
    config["neighbours"] = json!([{
        "provider": PEER_PROVIDER,
        "address": peer.to_string(),
        "notices": PEER_NOTIFICATIONS_PATH,
        "triggers": PEER_TRIGGERS_PATH,
        "content": "http://peer.example",
    }]);
    config
}

/// The key of the object with a number.
pub fn object_key(number: u64) -> String {
    format!("{number:016x}")
}

/// The URL under which peer CDNs know an object.
pub fn content_url(object_key: &str) -> String {
    format!("{INTERCONNECT_BASE_URL}/content/{READ_CLASS}/{object_key}")
}

/// The path of a URL that the proxy has given out, or nothing if it is not one of its own.
pub fn interconnect_path(url: &str) -> Option<&str> {
    url.strip_prefix(INTERCONNECT_BASE_URL)
}

/// The body of the peer CDN's request to purge an object.
pub fn purge_trigger(object_key: &str) -> Value {
    json!({
        "trigger": {"type": "purge", "content.urls": [content_url(object_key)]},
        "cdn-path": [PEER_PROVIDER],
    })
}

/// The body of the peer CDN's request to redirect a client that wants a URL.
pub fn redirection_request(client_ip: &str, url: &str) -> Value {
    json!({
        "http": {"c-ip": client_ip, "cs-uri": url, "cs-method": "GET"},
        "cdn-path": [PEER_PROVIDER],
    })
}
