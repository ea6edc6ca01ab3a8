//! The sample deployment that the fakes and the fixture share. As in `examples/config.json`, it has
//! one location with cache servers and a hub with the origin. It also has a peer CDN.

use serde_json::{json, Value};
use std::net::SocketAddr;

/// Class of read requests, which are idempotent and served by cache servers.
pub const READ_CLASS: &str = "photo";
/// Class of write requests, which carry an idempotency key and are served by the origin.
pub const WRITE_CLASS: &str = "post";

/// Zone of the proxy and of the cache servers.
pub const LOCAL_ZONE: &str = "here";
/// Zone of the origin.
pub const HUB_ZONE: &str = "hub";
/// Server kind of cache servers, as in messages.
pub const CACHE_KIND: &str = "cache";
/// Server kind of the origin, as in messages.
pub const ORIGIN_KIND: &str = "origin";
/// Capacity of every server in the endpoint list and in Consul.
pub const CAPACITY_HINT: u64 = 8;

/// Provider id of the proxy's CDN.
pub const PROXY_PROVIDER: &str = "AS64500:0";
/// Provider id of the peer CDN.
pub const PEER_PROVIDER: &str = "AS64501:0";
/// Base of the URLs in the responses of the proxy's interconnect interface.
pub const INTERCONNECT_BASE_URL: &str = "http://cdn.example";
/// Path on which the peer CDN accepts footprint notifications.
pub const PEER_NOTIFICATIONS_PATH: &str = "/notices";
/// Path on which the peer CDN accepts triggers.
pub const PEER_TRIGGERS_PATH: &str = "/triggers";

/// Returns the `settings` object of the proxy's configuration.
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

/// Returns the interconnect configuration of a proxy without peer CDNs.
pub fn interconnect_config() -> Value {
    json!({
        "listen": "127.0.0.1:0",
        "provider": PROXY_PROVIDER,
        "base": INTERCONNECT_BASE_URL,
        "footprint": ["127.0.0.0/8"],
        "neighbours": [],
    })
}

/// Returns the interconnect configuration of a proxy with one peer CDN.
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

/// Returns the key of the object with a number.
pub fn object_key(number: u64) -> String {
    format!("{number:016x}")
}

/// Returns the URL by which peer CDNs refer to an object.
pub fn content_url(object_key: &str) -> String {
    format!("{INTERCONNECT_BASE_URL}/content/{READ_CLASS}/{object_key}")
}

/// Returns the path of a URL from the proxy's interconnect interface, or None if the URL does not
/// begin with [`INTERCONNECT_BASE_URL`].
pub fn interconnect_path(url: &str) -> Option<&str> {
    url.strip_prefix(INTERCONNECT_BASE_URL)
}

/// Returns the body of a request from the peer CDN to purge an object.
pub fn purge_trigger(object_key: &str) -> Value {
    json!({
        "trigger": {"type": "purge", "content.urls": [content_url(object_key)]},
        "cdn-path": [PEER_PROVIDER],
    })
}

/// Returns the body of a request from the peer CDN to redirect a client that requests a URL.
pub fn redirection_request(client_ip: &str, url: &str) -> Value {
    json!({
        "http": {"c-ip": client_ip, "cs-uri": url, "cs-method": "GET"},
        "cdn-path": [PEER_PROVIDER],
    })
}
