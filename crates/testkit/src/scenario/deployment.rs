//! The proxy process and the fakes of the scenario.

use super::ScenarioError;
use crate::fake_cache::{Behavior, FakeCacheServer};
use crate::fake_event_bus::{cache_entry, endpoint_state, origin_entry, FakeEventBus};
use crate::fake_peer_cdn::FakePeerCdn;
use crate::proxy_process::ProxyProcess;
use crate::sample_deployment::{interconnect_config_with_peer, sample_settings, READ_CLASS};
use crate::ReceivedCommand;
use crate::{http_client, Response, TEST_TIMEOUT};
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A proxy with two cache servers, an origin, an event bus and a peer CDN.
pub(super) struct Deployment {
    pub(super) caches: [FakeCacheServer; 2],
    pub(super) origin: FakeCacheServer,
    pub(super) event_bus: FakeEventBus,
    pub(super) peer_cdn: FakePeerCdn,
    pub(super) proxy: ProxyProcess,
    /// Address on which the proxy accepts peer CDNs.
    pub(super) interconnect_address: SocketAddr,
}

/// Returns the configuration of the proxy.
fn proxy_config(event_bus: SocketAddr) -> Value {
    json!({
        "name": "loopback-scenario",
        "listen": "127.0.0.1:0",
        "seed": "1f",
        "bus": event_bus.to_string(),
        "limits": {"memory_mb": 192, "sockets": 1024},
        "settings": sample_settings(),
    })
}

impl Deployment {
    /// Starts the fakes, publishes the endpoint list and starts the proxy.
    pub(super) fn start(proxy_program: &Path) -> Result<Self, ScenarioError> {
        let caches = [
            FakeCacheServer::start("s-0000000a")?,
            FakeCacheServer::start("s-0000000b")?,
        ];
        let origin = FakeCacheServer::start("s-0000000f")?;
        let event_bus = FakeEventBus::start()?;
        event_bus.publish_endpoint_list(vec![
            cache_entry(&caches[0], endpoint_state::READY),
            cache_entry(&caches[1], endpoint_state::READY),
            origin_entry(&origin, endpoint_state::READY),
        ]);
        let peer_cdn = FakePeerCdn::start()?;
        let config = proxy_config(event_bus.address);
        let interconnect = json!({"cdni": interconnect_config_with_peer(peer_cdn.address)});
        let proxy = ProxyProcess::start(proxy_program, &config, Some(&interconnect))?;
        let interconnect_address = proxy.interconnect_address;
        Ok(Deployment {
            caches,
            origin,
            event_bus,
            peer_cdn,
            proxy,
            interconnect_address: interconnect_address.ok_or(ScenarioError::NoInterconnect)?,
        })
    }

    /// Waits until the health check of the interconnect interface succeeds. Returns an error if it
    /// does not within [`TEST_TIMEOUT`].
    pub(super) fn wait_until_ready(&self) -> Result<(), ScenarioError> {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while self.interconnect_request("GET", "/health", "")?.status != 200 {
            if Instant::now() > deadline {
                return Err(ScenarioError::NotReady);
            }
            thread::sleep(HEALTH_CHECK_INTERVAL);
        }
        Ok(())
    }

    /// Sets how both cache servers answer requests that they have not received yet.
    pub(super) fn set_cache_behavior(&self, behavior: Behavior) {
        for cache in &self.caches {
            cache.set_behavior(behavior);
        }
    }

    /// Returns the number of commands that the cache servers have received.
    pub(super) fn cache_command_count(&self) -> usize {
        self.caches.iter().map(|cache| cache.received().len()).sum()
    }

    /// Returns the first cache server that has received a matching command, or None if none has.
    pub(super) fn cache_that_received(
        &self,
        matches: impl Fn(&ReceivedCommand) -> bool,
    ) -> Option<&FakeCacheServer> {
        self.caches
            .iter()
            .find(|cache| cache.received().iter().any(&matches))
    }

    /// Sends a request to the interconnect interface.
    pub(super) fn interconnect_request(
        &self,
        method: &str,
        target: &str,
        body: &str,
    ) -> io::Result<Response> {
        http_client::request(self.interconnect_address, method, target, body)
    }

    /// Fetches an object through the interconnect interface.
    pub(super) fn fetch_content(&self, object_key: &str) -> io::Result<Response> {
        let target = format!("/content/{READ_CLASS}/{object_key}/0?kb=40");
        self.interconnect_request("GET", &target, "")
    }
}
