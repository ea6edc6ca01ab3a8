//! The simulated cluster of a run: its addresses, settings and configuration files.

use crate::plan::Plan;
use edge_testkit::sample_deployment::{interconnect_config, sample_settings};
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;

/// The port of every listener except interconnects. Each listener has its own address.
const PORT: u16 = 6565;
/// The port of the interconnect, on the proxy's address.
const INTERCONNECT_PORT: u16 = 6566;

/// The classes of requests.
pub mod class {
    /// Requests that may be repeated without limit.
    pub const READ: &str = "photo";
    /// Requests with an idempotency key.
    pub const WITH_IDEMPOTENCY_KEY: &str = "post";
    /// Requests that must not be executed twice.
    pub const NON_IDEMPOTENT: &str = "payment";
}

/// How long after a purge the cache servers may still hold copies from before it.
pub const PURGE_COMPLETION_MS: u64 = 3_000;
/// How long after a proxy has received a purge event its attempts may still be answered from a
/// purged copy.
pub const PURGE_GRACE_MS: u64 = 300;
/// How long after a proxy has received the event that a server drains its attempts may still use
/// this server, as destination or as fill source.
pub const DRAIN_GRACE_MS: u64 = 250;
/// The longest request deadline that a proxy waits for after SIGTERM. Requests with a longer
/// deadline are answered before it.
pub const MAX_RESTART_DEADLINE_MS: u64 = 3_000;
/// The length of the time window in which the requests to a server that is warming up are counted
/// to detect an overload.
pub const OVERLOAD_WINDOW_MS: u64 = 2_000;
/// The share of its full capacity that a server has when it starts.
pub const INITIAL_CAPACITY_SHARE: f64 = 0.2;
/// How long a server that has started is warming up. It then has its full capacity.
pub const WARM_UP_MS: u64 = 6_000;
/// A server that is warming up is overloaded if it receives more requests per window than this
/// multiple of the number that its present capacity can serve.
pub const OVERLOAD_MULTIPLE: f64 = 2.5;
/// The number of transfers that the network link of a cache server carries at full rate.
pub const CACHE_CAPACITY_TRANSFERS: f64 = 4.0;
/// The size of an object.
pub const OBJECT_SIZE_KB: f64 = 400.0;
/// The full rate of a single transfer.
pub const TRANSFER_KB_PER_S: f64 = 4_000.0;

/// Returns a loopback address of a slot, in which a campaign runs one plan at a time. Each slot has
/// its own addresses, so that slots can run in parallel. `network` is the second octet of the
/// address: 19 for the slot lock, 20 for proxies, 21 and 22 for the event bus, 23 for links and 24
/// for servers. `index` is the number of the proxy or server, counted from 0.
fn address(network: u8, slot: u8, index: usize, port: u16) -> SocketAddr {
    let host = u8::try_from(index + 1).unwrap_or(u8::MAX);
    SocketAddr::from((Ipv4Addr::new(127, network, slot, host), port))
}

/// Returns the address that a campaign binds to reserve a slot.
pub fn slot_lock_address(slot: u8) -> SocketAddr {
    address(19, slot, 0, PORT)
}

/// Returns the address on which a proxy accepts clients.
pub fn proxy_address(slot: u8, proxy: usize) -> SocketAddr {
    address(20, slot, proxy, PORT)
}

/// Returns the address on which a proxy accepts connections to its interconnect.
pub fn interconnect_address(slot: u8, proxy: usize) -> SocketAddr {
    address(20, slot, proxy, INTERCONNECT_PORT)
}

/// Returns the first or the second address of a proxy's event bus. Each proxy has its own event
/// bus, which listens on both addresses. A configuration reload moves the proxy to the other one.
pub fn bus_address(slot: u8, proxy: usize, is_second: bool) -> SocketAddr {
    address(if is_second { 22 } else { 21 }, slot, proxy, PORT)
}

/// Returns the address of the simulated network link in front of a server. The endpoint list names
/// this address for the server.
pub fn link_address(slot: u8, server: usize) -> SocketAddr {
    address(23, slot, server, PORT)
}

/// Returns the address of a server behind its link.
pub fn server_address(slot: u8, server: usize) -> SocketAddr {
    address(24, slot, server, PORT)
}

/// Returns the settings document of the run.
fn settings(plan: &Plan) -> Value {
    let mut settings = sample_settings();
    settings["categories"] = json!([
        {"name": class::READ, "aim-us": 300_000, "deadline-us": plan.longest_deadline_ms * 1000,
         "repeat": "pure", "worth": 1.0},
        {"name": class::WITH_IDEMPOTENCY_KEY, "aim-us": 500_000,
         "deadline-us": plan.longest_deadline_ms * 1000, "repeat": "token", "dedup-scope": "all",
         "window-us": 2_000_000, "worth": 2.0},
        {"name": class::NON_IDEMPOTENT, "aim-us": 500_000, "deadline-us": 1_500_000,
         "repeat": "side_effect", "worth": 3.0},
    ]);
    let info = &mut settings["family-info"];
    info["in-pieces"] = json!([false, false, false]);
    info["never-kept"] = json!([false, true, true]);
    info["good-for-us"] = json!([60_000_000, 0, 0]);
    info["usable-after-us"] = json!([0, 0, 0]);
    info["old-copy-worth"] = json!([0.7, 0.7, 0.7]);
    info["seats-by-zone"] = json!([0, plan.proxy_count]);
    info["one-flow-kb-per-s"] = json!(TRANSFER_KB_PER_S);
    info["purge-takes-us"] = json!(PURGE_COMPLETION_MS * 1000);
    info["purge-slack-us"] = json!(PURGE_GRACE_MS * 1000);
    settings["limits"]["cancel"] = json!(plan.cancellation);
    settings["weights"] = json!("nominal");
    settings["rules"]["drain-grace-us"] = json!(DRAIN_GRACE_MS * 1000);
    settings["rules"]["cold-share"] = json!(INITIAL_CAPACITY_SHARE);
    settings["rules"]["ramp-time-us"] = json!(WARM_UP_MS * 1000);
    settings["rules"]["fall-multiple"] = json!(OVERLOAD_MULTIPLE);
    settings["rules"]["tip-after-us"] = json!(OVERLOAD_WINDOW_MS * 1000);
    settings
}

/// Returns the configuration document of a proxy. `known_events` is the state of the event bus that
/// the proxy starts with.
pub fn proxy_config_document(
    slot: u8,
    proxy: usize,
    plan: &Plan,
    seed: u64,
    uses_second_bus: bool,
    known_events: Value,
) -> Value {
    json!({
        "name": format!("n{proxy}"),
        "listen": proxy_address(slot, proxy).to_string(),
        "seed": format!("{seed:x}"),
        "bus": bus_address(slot, proxy, uses_second_bus).to_string(),
        "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 256},
        "known": known_events,
        "settings": settings(plan),
    })
}

/// Returns the configuration document of a proxy's interconnect, which persists its purges in the
/// file `purge_log`.
pub fn interconnect_document(slot: u8, proxy: usize, purge_log: &Path) -> Value {
    let mut cdni = interconnect_config();
    cdni["listen"] = json!(interconnect_address(slot, proxy).to_string());
    cdni["purges"] = json!(purge_log);
    json!({"cdni": cdni})
}
