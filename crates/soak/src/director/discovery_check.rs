//! Checks at the end of a run that the proxies have received the published events.

use super::{Cluster, Proxy};
use crate::client::ProxyPhase;
use crate::plan::{FaultKind, Plan};
use crate::violation::Rule;
use crate::world::RunState;

/// The maximum time from when a proxy is ready or a fault of the bus ends until delivery.
const RECOVERY_DELIVERY_MS: u64 = 1_000;
/// The maximum time from when the bus stops sending until the proxy has connected again.
const SILENCE_DETECTION_MS: u64 = 3_000;
/// The maximum time from publication until delivery on an open subscription.
const SUBSCRIBED_DELIVERY_MS: u64 = 700;

/// What the faults of a plan do to the event bus.
struct BusFaults {
    /// When the proxies can have noticed the end of the last fault, in milliseconds since the start
    /// of the run.
    recovered_ms: u64,
    /// The longest time until the bus responds to a subscription.
    first_byte_delay_ms: u64,
}

impl BusFaults {
    fn of_plan(plan: &Plan) -> Self {
        let mut faults = BusFaults {
            recovered_ms: 0,
            first_byte_delay_ms: 0,
        };
        for fault in &plan.faults {
            match fault.kind {
                FaultKind::BusDown => faults.recovered_ms = faults.recovered_ms.max(fault.until_ms),
                FaultKind::BusSilent => {
                    let detected_ms = fault.from_ms + SILENCE_DETECTION_MS;
                    let noticed_ms = fault.until_ms.max(detected_ms);
                    faults.recovered_ms = faults.recovered_ms.max(noticed_ms);
                }
                FaultKind::BusSlow { first_byte_ms } => {
                    faults.first_byte_delay_ms = faults.first_byte_delay_ms.max(first_byte_ms);
                }
                _ => {}
            }
        }
        faults
    }
}

impl Cluster {
    /// Reports a violation for each proxy that had enough time to receive the published events but
    /// did not receive them.
    pub(super) fn check_discovery(&self) {
        let mut run_state = self.run_state.borrow_mut();
        if !run_state.harness_stalls_ms.is_empty() {
            return;
        }
        let now_ms = run_state.now_ms();
        let bus_faults = BusFaults::of_plan(&run_state.plan);
        let due_events = run_state
            .events
            .iter()
            .filter(|event| event.published_ms + SUBSCRIBED_DELIVERY_MS < now_ms)
            .count();
        for proxy in self.proxies.iter() {
            let delivered = run_state.deliveries[proxy.index]
                .last()
                .map_or(0, |(event_count, _)| *event_count);
            if delivered < due_events && had_time(proxy, &run_state, &bus_faults, now_ms) {
                let detail = format!(
                    "only {delivered} events were delivered to the proxy, \
                     although {due_events} were due"
                );
                run_state.report(Rule::Discovery, Some(proxy.index), detail);
            }
        }
    }
}

/// Returns whether a proxy is serving and had enough time to receive the due events.
fn had_time(proxy: &Proxy, run_state: &RunState, bus_faults: &BusFaults, now_ms: u64) -> bool {
    let delivery_ms = RECOVERY_DELIVERY_MS + bus_faults.first_byte_delay_ms;
    let can_receive_since_ms = bus_faults
        .recovered_ms
        .max(*proxy.subscribed_since_ms.borrow());
    let has_own_fault = run_state.plan.faults.iter().any(|fault| {
        fault.kind.proxy() == Some(proxy.index) && fault.until_ms + delivery_ms > now_ms
    });
    proxy.control.phase.get() == ProxyPhase::Serving
        && can_receive_since_ms + delivery_ms < now_ms
        && !has_own_fault
}
