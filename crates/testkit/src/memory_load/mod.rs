//! Loads that are made to exhaust the memory of a proxy: mixes of clients and answers, played against
//! a proxy process of a given size, with a few ordinary clients beside them.

mod clients;
mod mixes;
mod server;

pub use mixes::{ClientEnd, ClientMix, MIXES};

use crate::fake_event_bus::{endpoint_entry, endpoint_state, FakeEventBus};
use crate::proxy_process::{ProxyProcess, ProxyProcessError};
use crate::sample_deployment::{sample_settings, CACHE_KIND, HUB_ZONE, LOCAL_ZONE, ORIGIN_KIND};
use clients::{AnswerCounts, ClientGroup};
use serde_json::{json, Value};
use server::LoadServer;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Cache servers of the deployment.
const CACHE_SERVERS: usize = 12;
/// Interval at which the memory of the proxy is read.
const MEMORY_READ_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which the ordinary clients run alone before the others come.
const QUIET_TIME: Duration = Duration::from_millis(300);
/// Latency objective and deadline of requests. It is long, so that the routing module gives up few.
const DEADLINE_US: u64 = 6_000_000;

/// The size of the machine on which a proxy runs.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Memory in MB.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: u64,
}

/// What a proxy did under a load.
#[derive(Clone, Copy, Debug)]
pub struct LoadReport {
    /// The most memory that belonged to the process alone, in KiB.
    pub peak_kib: u64,
    /// The answers that the ordinary clients got.
    pub ordinary: AnswerCounts,
    /// Connections that the other clients opened.
    pub connections: u64,
}

/// Plays a mix against the proxy program for a time.
///
/// # Errors
///
/// Returns an error if the proxy could not be started, or if it ended.
pub fn play(
    program: &Path,
    mix: &ClientMix,
    machine: Machine,
    duration: Duration,
) -> Result<LoadReport, ProxyProcessError> {
    let server = || LoadServer::start(mix.server_answers());
    let caches: Vec<SocketAddr> = (0..CACHE_SERVERS)
        .map(|_| server())
        .collect::<Result<_, _>>()?;
    let origin = server()?;
    let event_bus = FakeEventBus::start()?;
    let config = config(machine, &event_bus, &caches, origin);
    let proxy = ProxyProcess::start(program, &config, None)?;

    let ordinary = ClientGroup::start_ordinary(proxy.fastcgi_address);
    thread::sleep(QUIET_TIME);
    let hostile = ClientGroup::start_mix(proxy.fastcgi_address, mix, machine.sockets);
    let end = Instant::now() + duration;
    let mut peak_kib = 0;
    while Instant::now() < end {
        peak_kib = peak_kib.max(proxy.own_memory_kib()?);
        thread::sleep(MEMORY_READ_INTERVAL);
    }
    let connections = hostile.stop().connections;
    let ordinary = ordinary.stop().answers;
    peak_kib = peak_kib.max(proxy.own_memory_kib()?);
    proxy.terminate()?;
    for figures in ["memory: ", "shutdown complete: "] {
        match proxy.wait_for_log_line(figures) {
            Ok(rest) => log::info!("{}: {figures}{rest}", mix.name),
            Err(error) => log::warn!("{}: {error}", mix.name),
        }
    }
    Ok(LoadReport {
        peak_kib,
        ordinary,
        connections,
    })
}

fn config(
    machine: Machine,
    event_bus: &FakeEventBus,
    caches: &[SocketAddr],
    origin: SocketAddr,
) -> Value {
    let mut endpoints: Vec<Value> = caches
        .iter()
        .enumerate()
        .map(|(index, address)| endpoint(index, *address, LOCAL_ZONE, CACHE_KIND))
        .collect();
    endpoints.push(endpoint(caches.len(), origin, HUB_ZONE, ORIGIN_KIND));
    let mut settings = sample_settings();
    for class in settings["categories"].as_array_mut().into_iter().flatten() {
        class["aim-us"] = DEADLINE_US.into();
        class["deadline-us"] = DEADLINE_US.into();
    }
    json!({
        "listen": "127.0.0.1:0",
        "seed": "1f",
        "bus": event_bus.address.to_string(),
        "known": {"offset": 0, "batch": [
            {"offset": 0, "topology": {"rev": 1, "all": true, "targets": endpoints}},
        ]},
        "limits": {"memory_mb": machine.memory_mb, "sockets": machine.sockets},
        "settings": settings,
    })
}

fn endpoint(index: usize, address: SocketAddr, zone: &str, kind: &str) -> Value {
    let id = format!("s-{index:08x}");
    endpoint_entry(&id, address, zone, kind, endpoint_state::READY)
}
