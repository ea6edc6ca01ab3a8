//! Applies the faults of a plan to the cluster.

use super::{sleep_until, Cluster};
use crate::bad_client;
use crate::cache_server::Behavior;
use crate::deployment;
use crate::event_bus::BusMode;
use crate::link::LinkMode;
use crate::plan::{FaultKind, PlannedFault};
use std::time::Duration;
use tokio::time::sleep;

/// The interval between two resets of a link's connections.
const RESET_INTERVAL: Duration = Duration::from_millis(120);
/// The time between the reset of a server's connections and its draining.
const DRAIN_DELAY_AFTER_RESET: Duration = Duration::from_millis(250);

impl Cluster {
    /// Waits for the beginning of a fault, applies it, and takes it back at its end.
    pub(super) async fn apply(self, fault: PlannedFault) {
        sleep_until(&self.run_state, fault.from_ms).await;
        let until_fault_ends = || sleep_until(&self.run_state, fault.until_ms);
        match fault.kind {
            FaultKind::Restart { proxy } => self.restart(proxy).await,
            FaultKind::Kill { proxy } => self.kill(proxy).await,
            FaultKind::Reload {
                proxy,
                truncated_for_ms,
            } => self.reload(proxy, truncated_for_ms).await,
            // The fault injector of the process applies these faults.
            FaultKind::SystemCallFault { .. } | FaultKind::ClockStep { .. } => {}
            FaultKind::CacheHang { cache } => {
                self.apply_server_behavior(cache, Behavior::Hangs, &fault)
                    .await;
            }
            FaultKind::AllServersHang => {
                self.set_behavior_of_all_servers(Behavior::Hangs);
                until_fault_ends().await;
                self.set_behavior_of_all_servers(Behavior::Normal);
            }
            FaultKind::CacheOverloaded { cache } => {
                self.apply_server_behavior(cache, Behavior::Overloaded, &fault)
                    .await;
            }
            FaultKind::CacheMalformedAnswers { cache } => {
                self.apply_server_behavior(cache, Behavior::MalformedAnswers, &fault)
                    .await;
            }
            FaultKind::CacheReplaced { cache } => self.replace_cache(cache, &fault).await,
            FaultKind::CacheCrash { cache } => self.crash_cache(cache, &fault).await,
            FaultKind::LinkResets { cache } => {
                while self.run_state.borrow().now_ms() < fault.until_ms {
                    self.links[cache + 1].reset_connections();
                    sleep(RESET_INTERVAL).await;
                }
            }
            FaultKind::LinkStalled { cache } => {
                self.apply_link_mode(cache, LinkMode::Stalled, &fault).await;
            }
            FaultKind::LinkFragmented { cache } => {
                self.apply_link_mode(cache, LinkMode::Fragmented, &fault)
                    .await;
            }
            FaultKind::BusDown => self.apply_bus_mode(BusMode::Down, &fault).await,
            FaultKind::BusSilent => self.apply_bus_mode(BusMode::Silent, &fault).await,
            FaultKind::BusSlow { first_byte_ms } => {
                let slow = BusMode::SlowFirstByte(first_byte_ms);
                self.apply_bus_mode(slow, &fault).await;
            }
            FaultKind::MisbehavingClients { proxy } => {
                self.run_misbehaving_clients(proxy, &fault).await;
            }
            FaultKind::ClientsCancel { proxy } => {
                self.proxies[proxy].control.cancels_most_requests.set(true);
                until_fault_ends().await;
                self.proxies[proxy].control.cancels_most_requests.set(false);
            }
        }
    }

    async fn apply_server_behavior(&self, cache: usize, behavior: Behavior, fault: &PlannedFault) {
        self.servers[cache + 1].set_behavior(behavior);
        sleep_until(&self.run_state, fault.until_ms).await;
        self.servers[cache + 1].set_behavior(Behavior::Normal);
    }

    fn set_behavior_of_all_servers(&self, behavior: Behavior) {
        for server in self.servers.iter() {
            server.set_behavior(behavior);
        }
    }

    async fn apply_link_mode(&self, cache: usize, mode: LinkMode, fault: &PlannedFault) {
        self.links[cache + 1].set_mode(mode);
        sleep_until(&self.run_state, fault.until_ms).await;
        self.links[cache + 1].set_mode(LinkMode::Open);
    }

    async fn apply_bus_mode(&self, mode: BusMode, fault: &PlannedFault) {
        self.bus_mode.send_replace(mode);
        sleep_until(&self.run_state, fault.until_ms).await;
        self.bus_mode.send_replace(BusMode::Working);
    }

    async fn run_misbehaving_clients(&self, proxy: usize, fault: &PlannedFault) {
        let (run_state, slot) = (self.run_state.clone(), self.run_state.borrow().slot);
        let seed = self.run_state.borrow().plan.seed ^ fault.from_ms;
        let address = deployment::proxy_address(slot, proxy);
        let until_ms = fault.until_ms;
        let is_active = move || run_state.borrow().now_ms() < until_ms;
        bad_client::run_clients(address, fastrand::Rng::with_seed(seed), is_active).await;
    }

    /// Replaces a cache server: its connections are reset, it drains, leaves the endpoint list, and
    /// a new server with another id takes over its address.
    async fn replace_cache(&self, cache: usize, fault: &PlannedFault) {
        let address_index = cache + 1;
        self.links[address_index].reset_connections();
        sleep(DRAIN_DELAY_AFTER_RESET).await;
        let old = {
            let mut run_state = self.run_state.borrow_mut();
            let old = run_state.server_at_address(address_index);
            let now_ms = run_state.now_ms();
            run_state.servers[old].state = "draining";
            run_state.servers[old].drained = Some((now_ms, run_state.events.len() + 1));
            run_state.publish_endpoint_entries(&[old]);
            old
        };
        sleep_until(&self.run_state, fault.until_ms).await;
        let mut run_state = self.run_state.borrow_mut();
        run_state.servers[old].state = "gone";
        let now_ms = run_state.now_ms();
        let event_number = run_state.events.len() + 1;
        let new = run_state.add_server(address_index, Some((now_ms, event_number)));
        self.servers[address_index].restart();
        run_state.publish_endpoint_entries(&[old, new]);
    }

    /// Crashes the process of a cache server and starts it again with the same id and an empty
    /// cache.
    async fn crash_cache(&self, cache: usize, fault: &PlannedFault) {
        let address_index = cache + 1;
        self.links[address_index].set_mode(LinkMode::Refusing);
        self.links[address_index].reset_connections();
        sleep_until(&self.run_state, fault.until_ms).await;
        self.links[address_index].set_mode(LinkMode::Open);
        self.servers[address_index].restart();
        let mut run_state = self.run_state.borrow_mut();
        let server = run_state.server_at_address(address_index);
        if run_state.servers[server].state == "ready" {
            let now_ms = run_state.now_ms();
            let event_number = run_state.events.len() + 1;
            run_state.servers[server].started = Some((now_ms, event_number));
            run_state.publish_endpoint_entries(&[server]);
        }
    }
}
