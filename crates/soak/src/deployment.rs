//! The fleet that a run plays with: addresses, settings and configuration files.

use crate::plan::Plan;
use edge_testkit::sample_deployment::{interconnect_config, sample_settings};
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;

/// The port of every listener: each has an address of its own.
const PORT: u16 = 6565;
/// The port of the interconnect, on the proxy's address.
const INTERCONNECT_PORT: u16 = 6566;

/// Classes of requests.
pub mod class {
    /// May be repeated at will.
    pub const READ: &str = "photo";
    /// Carries an idempotency key.
    pub const KEYED: &str = "post";
    /// Must not run twice.
    pub const ONCE: &str = "payment";
}

/// How long copies from before a purge may stay at a cache server.
pub const PURGE_TAKES_MS: u64 = 3_000;
/// Attempts later than this after the proxy was told may not be answered from a purged copy.
pub const PURGE_SLACK_MS: u64 = 300;
/// Attempts later than this after the proxy was told may not go to a server that drains.
pub const DRAIN_GRACE_MS: u64 = 250;
/// A planned restart waits for deadlines up to this.
pub const MAX_RESTART_DEADLINE_MS: u64 = 3_000;
/// The window in which a server that has just started is overloaded.
pub const OVERLOAD_WINDOW_MS: u64 = 2_000;
/// The share of its capacity that a server has when it starts.
pub const INITIAL_SHARE: f64 = 0.2;
/// How long it takes to have all of it.
pub const WARM_UP_MS: u64 = 6_000;
/// The multiple of its capacity at which a server that warms up is overloaded.
pub const OVERLOAD_MULTIPLE: f64 = 2.5;
/// The transfers that a cache server's link carries at full rate.
pub const CAPACITY: f64 = 4.0;
/// The size of a part.
pub const SIZE_KB: f64 = 400.0;
/// The rate of one transfer.
pub const TRANSFER_KB_PER_S: f64 = 4_000.0;

/// An address of the run in a slot of the campaign. Slots run side by side.
fn address(network: u8, slot: u8, index: usize, port: u16) -> SocketAddr {
    let host = u8::try_from(index + 1).unwrap_or(u8::MAX);
    SocketAddr::from((Ipv4Addr::new(127, network, slot, host), port))
}

/// The address by which a slot is claimed.
pub fn claim_address(slot: u8) -> SocketAddr {
    address(19, slot, 0, PORT)
}

/// Where clients connect to a proxy.
pub fn proxy_address(slot: u8, proxy: usize) -> SocketAddr {
    address(20, slot, proxy, PORT)
}

/// Where peer CDNs connect to a proxy.
pub fn interconnect_address(slot: u8, proxy: usize) -> SocketAddr {
    address(20, slot, proxy, INTERCONNECT_PORT)
}

/// The event bus of a proxy, the first or the second one. Each proxy has addresses of its own.
pub fn bus_address(slot: u8, proxy: usize, second: bool) -> SocketAddr {
    address(if second { 22 } else { 21 }, slot, proxy, PORT)
}

/// The link to a server, which is what the endpoint list names.
pub fn link_address(slot: u8, server: usize) -> SocketAddr {
    address(23, slot, server, PORT)
}

/// A server, behind its link.
pub fn server_address(slot: u8, server: usize) -> SocketAddr {
    address(24, slot, server, PORT)
}

/// The settings of the run.
fn settings(plan: &Plan) -> Value {
    let mut settings = sample_settings();
    settings["categories"] = json!([
        {"name": class::READ, "aim-us": 300_000, "deadline-us": plan.longest_deadline_ms * 1000, "repeat": "pure", "worth": 1.0},
        {"name": class::KEYED, "aim-us": 500_000, "deadline-us": plan.longest_deadline_ms * 1000,
         "repeat": "token", "dedup-scope": "all", "window-us": 2_000_000, "worth": 2.0},
        {"name": class::ONCE, "aim-us": 500_000, "deadline-us": 1_500_000, "repeat": "side_effect",
         "worth": 3.0},
    ]);
    let info = &mut settings["family-info"];
    info["in-pieces"] = json!([false, false, false]);
    info["never-kept"] = json!([false, true, true]);
    info["good-for-us"] = json!([60_000_000, 0, 0]);
    info["usable-after-us"] = json!([0, 0, 0]);
    info["old-copy-worth"] = json!([0.7, 0.7, 0.7]);
    info["seats-by-zone"] = json!([0, plan.proxies]);
    info["one-flow-kb-per-s"] = json!(TRANSFER_KB_PER_S);
    info["purge-takes-us"] = json!(PURGE_TAKES_MS * 1000);
    info["purge-slack-us"] = json!(PURGE_SLACK_MS * 1000);
    settings["limits"]["cancel"] = json!(plan.cancellation);
    settings["weights"] = json!("nominal");
    settings["rules"]["drain-grace-us"] = json!(DRAIN_GRACE_MS * 1000);
    settings["rules"]["cold-share"] = json!(INITIAL_SHARE);
    settings["rules"]["ramp-time-us"] = json!(WARM_UP_MS * 1000);
    settings["rules"]["fall-multiple"] = json!(OVERLOAD_MULTIPLE);
    settings["rules"]["tip-after-us"] = json!(OVERLOAD_WINDOW_MS * 1000);
    settings
}

/// The configuration file of a proxy.
pub fn proxy_config(
    slot: u8,
    proxy: usize,
    plan: &Plan,
    seed: u64,
    on_second_bus: bool,
    known: Value,
) -> Value {
    json!({
        "name": format!("n{proxy}"),
        "listen": proxy_address(slot, proxy).to_string(),
        "seed": format!("{seed:x}"),
        "bus": bus_address(slot, proxy, on_second_bus).to_string(),
        "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 256},
        "known": known,
        "settings": settings(plan),
    })
}

/// The configuration file of a proxy's interconnect, which keeps its purges in a file.
pub fn interconnect_file(slot: u8, proxy: usize, purge_log: &Path) -> Value {
    let mut cdni = interconnect_config();
    cdni["listen"] = json!(interconnect_address(slot, proxy).to_string());
    cdni["purges"] = json!(purge_log);
    json!({"cdni": cdni})
}
