//! The shared state of a run: the servers, events and purges of the simulated cluster, and the
//! record of the requests and attempts that clients and servers observed. All times are read from
//! one clock.
//!
//! "Milliseconds of the run" are milliseconds since the start of the run.

use crate::plan::Plan;
use crate::violation::{Rule, Violation};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// The state of a run, shared by all its tasks. They run on one thread.
pub type SharedRunState = Rc<RefCell<RunState>>;

/// An event on the event bus.
#[derive(Clone, Debug)]
pub struct PublishedEvent {
    /// The event as JSON, without its number.
    pub event: Value,
    /// When the event was published, in milliseconds of the run.
    pub published_ms: u64,
}

/// A purge that is announced on the event bus.
#[derive(Clone, Debug)]
pub struct Purge {
    /// The object to purge, or `None` for every object of the purge group.
    pub object: Option<u64>,
    /// The purge group.
    pub purge_group: u64,
    /// When the purge was made, in Unix milliseconds. Copies created before that are purged.
    pub purged_unix_ms: u64,
    /// The number of the purge's event on the bus.
    pub event_number: usize,
    /// When the purge was published, in milliseconds of the run.
    pub published_ms: u64,
}

/// A purge that a proxy accepted through its interconnect. The proxies of a run do not
/// exchange purges, so only this proxy knows of the purge and has to persist it.
#[derive(Clone, Debug)]
pub struct InterconnectPurge {
    /// The index of the proxy.
    pub proxy: usize,
    /// The object to purge.
    pub object: u64,
    /// When the purge was sent to the proxy, in Unix milliseconds. Its time of creation is not
    /// earlier.
    pub sent_unix_ms: u64,
    /// When the proxy acknowledged the purge, in milliseconds of the run.
    pub acknowledged_ms: u64,
}

/// A server of the endpoint list.
#[derive(Clone, Debug)]
pub struct Server {
    /// The id of the server in the endpoint list.
    pub uid: String,
    /// The index of the server's link and address: 0 for the origin, then the cache servers.
    pub address_index: usize,
    /// When the server's list entry changed to draining or gone, in milliseconds of the run, and
    /// the number of that event on the bus. `None` while the server is ready.
    pub drained: Option<(u64, usize)>,
    /// When the server's process started and was published, in milliseconds of the run, and the
    /// number of that event on the bus. `None` for a server that was already warm when the run
    /// began.
    pub started: Option<(u64, usize)>,
    /// The state in the server's list entry.
    pub state: &'static str,
}

/// A request of a client that follows the protocol, unlike those in [`crate::bad_client`].
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The index of the proxy that got the request.
    pub proxy: usize,
    /// The class of the request.
    pub class: &'static str,
    /// The requested object.
    pub object: u64,
    /// The purge group of the object.
    pub purge_group: u64,
    /// When the last byte of the request was written, in milliseconds of the run.
    pub sent_ms: u64,
    /// How long the client waits for the answer, in milliseconds.
    pub budget_ms: u64,
    /// When the client cancelled the request or closed its connection before the answer, in
    /// milliseconds of the run.
    pub cancelled_ms: Option<u64>,
    /// The status of the final answer, and when it arrived, in milliseconds of the run.
    pub answer: Option<(u16, u64)>,
    /// When the copy in the answer was created, in Unix milliseconds. `None` without a valid
    /// answer.
    pub copy_created_unix_ms: Option<u64>,
    /// When the connection ended without an answer, in milliseconds of the run.
    pub connection_closed_ms: Option<u64>,
    /// Whether the client stopped waiting because its time was over.
    pub timed_out: bool,
}

/// An attempt that reached a server.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The id of the request.
    pub request_id: String,
    /// The server, as an index into [`RunState::servers`].
    pub server_index: usize,
    /// The id of the fill source, if the attempt names one.
    pub fill_source: Option<String>,
    /// When the attempt arrived at the server, in milliseconds of the run.
    pub arrived_ms: u64,
    /// How long the proxy waits for the answer according to the attempt, in milliseconds.
    pub wait_ms: u64,
    /// Whether the server started to process the request.
    pub was_started: bool,
}

/// Totals of one run, or of all runs of a campaign, which is a range of seeds.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Requests of clients that follow the protocol.
    pub requests: u64,
    /// Requests that were answered with status 200.
    pub served: u64,
    /// Requests that were answered with status 429 or 503, or with the FastCGI status for overload.
    pub rejected: u64,
    /// Requests that were answered with any other status.
    pub failed: u64,
    /// Requests that their clients cancelled before the answer.
    pub cancelled: u64,
    /// Attempts that reached servers.
    pub attempts: u64,
    /// Invariant checks that the proxies performed.
    pub invariant_checks: u64,
    /// Proxy processes that were started.
    pub processes: u64,
    /// Purges that were published on the event bus.
    pub purges: u64,
    /// Purges that proxies accepted through their interconnect.
    pub interconnect_purges: u64,
    /// How often this test program was not scheduled in time. Attempts and refused requests around
    /// these moments are not judged by their timing.
    pub harness_stalls: u64,
}

/// The state of a run and the record of what was observed in it.
pub struct RunState {
    /// The plan of the run.
    pub plan: Plan,
    /// The number of the run's slot, which is a set of loopback addresses that no other run uses at
    /// the same time.
    pub slot: u8,
    start: Instant,
    start_unix_ms: u64,
    /// The events of the bus in the order of publication. The first event has number 1.
    pub events: Vec<PublishedEvent>,
    /// Notifies the subscriptions of the number of published events.
    pub event_count: watch::Sender<usize>,
    /// The purges that were published on the bus.
    pub purges: Vec<Purge>,
    /// The purges that proxies accepted through their interconnect.
    pub interconnect_purges: Vec<InterconnectPurge>,
    /// All servers that have existed in the run. The origin is the first one.
    pub servers: Vec<Server>,
    /// The requests by request id.
    pub requests: HashMap<String, RequestRecord>,
    /// The attempts in the order of arrival.
    pub attempts: Vec<AttemptRecord>,
    /// Processes that were killed or that aborted as planned: the index of the proxy, and when, in
    /// milliseconds of the run.
    pub abrupt_exits: Vec<(usize, u64)>,
    /// When this test program was found not to have been scheduled in time, in milliseconds of the
    /// run.
    pub harness_stalls_ms: Vec<u64>,
    /// The violations that were reported during the run.
    pub violations: Vec<Violation>,
    /// The totals of the run.
    pub counts: Counts,
    /// For each proxy, the number of events that had been delivered to it and the time of that
    /// delivery in milliseconds of the run, in ascending order.
    pub deliveries: Vec<Vec<(usize, u64)>>,
    next_uid_number: u64,
}

impl RunState {
    /// Creates the state of a run whose servers are all ready.
    pub fn new(plan: Plan, slot: u8) -> Self {
        let (caches, proxies) = (plan.cache_count, plan.proxy_count);
        let mut run_state = RunState {
            plan,
            slot,
            start: Instant::now(),
            start_unix_ms: unix_ms(),
            events: Vec::new(),
            event_count: watch::Sender::new(0),
            purges: Vec::new(),
            interconnect_purges: Vec::new(),
            servers: Vec::new(),
            requests: HashMap::new(),
            attempts: Vec::new(),
            abrupt_exits: Vec::new(),
            harness_stalls_ms: Vec::new(),
            violations: Vec::new(),
            counts: Counts::default(),
            deliveries: vec![Vec::new(); proxies],
            next_uid_number: 1,
        };
        for address_index in 0..=caches {
            run_state.add_server(address_index, None);
        }
        run_state
    }

    /// Returns the time since the start of the run in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Returns the Unix time in milliseconds on the clock of the run, which is never stepped.
    pub fn now_unix_ms(&self) -> u64 {
        self.start_unix_ms + self.now_ms()
    }

    /// Adds a server at an address and returns its index. `started` becomes [`Server::started`].
    /// Running proxies learn of the server when its entry of the endpoint list is published.
    pub fn add_server(&mut self, address_index: usize, started: Option<(u64, usize)>) -> usize {
        let uid = format!("s-{:08x}", self.next_uid_number);
        self.next_uid_number += 1;
        self.servers.push(Server {
            uid,
            address_index,
            drained: None,
            started,
            state: "ready",
        });
        self.servers.len() - 1
    }

    /// Returns the index of the server that uses an address now, or of the origin if none does.
    pub fn server_at_address(&self, address_index: usize) -> usize {
        let is_at_address =
            |server: &Server| server.address_index == address_index && server.state != "gone";
        self.servers.iter().rposition(is_at_address).unwrap_or(0)
    }

    /// Returns the entry of a server in the endpoint list.
    pub fn endpoint_entry(&self, index: usize) -> Value {
        let server = &self.servers[index];
        let is_origin = server.address_index == 0;
        let boot_ms = server
            .started
            .map_or(0, |(at_ms, _)| self.start_unix_ms + at_ms);
        json!({
            "uid": server.uid,
            "endpoint":
                crate::deployment::link_address(self.slot, server.address_index).to_string(),
            "az": if is_origin { "hub" } else { "here" },
            "model": if is_origin { "origin" } else { "cache" },
            "pod_group": 0,
            "state": server.state,
            "capacity_hint": crate::deployment::CACHE_CAPACITY_TRANSFERS,
            "boot_ms": boot_ms,
        })
    }

    /// Publishes an event on the bus.
    pub fn publish(&mut self, event: Value) {
        let published_ms = self.now_ms();
        self.events.push(PublishedEvent {
            event,
            published_ms,
        });
        self.event_count.send_replace(self.events.len());
    }

    /// Records that the first `event_count` events have been delivered to a proxy by now.
    pub fn record_delivery(&mut self, proxy: usize, event_count: usize) {
        let now_ms = self.now_ms();
        let deliveries = &mut self.deliveries[proxy];
        if deliveries
            .last()
            .is_none_or(|(previous, _)| *previous < event_count)
        {
            deliveries.push((event_count, now_ms));
        }
    }

    /// Returns when the event of this number was delivered to a proxy, in milliseconds of the run,
    /// or `None` if it was not.
    pub fn delivery_ms(&self, proxy: usize, event_number: usize) -> Option<u64> {
        let mut deliveries = self.deliveries[proxy].iter();
        let (_, delivered_ms) = deliveries.find(|(events, _)| *events >= event_number)?;
        Some(*delivered_ms)
    }

    /// Publishes the list entries of some servers as a change of the endpoint list.
    pub fn publish_endpoint_entries(&mut self, indices: &[usize]) {
        let targets: Vec<Value> = indices
            .iter()
            .map(|index| self.endpoint_entry(*index))
            .collect();
        let rev = self.events.len() + 1;
        self.publish(json!({"topology": {"rev": rev, "all": false, "targets": targets}}));
    }

    /// Publishes a purge that takes effect now.
    pub fn publish_purge(&mut self, object: Option<u64>, purge_group: u64) {
        let purge = Purge {
            object,
            purge_group,
            purged_unix_ms: self.now_unix_ms(),
            event_number: self.events.len() + 1,
            published_ms: self.now_ms(),
        };
        let ban = match object {
            Some(object) => json!({"url": object_key(object), "ts": purge.purged_unix_ms}),
            None => json!({"tag": purge_group, "ts": purge.purged_unix_ms}),
        };
        self.purges.push(purge);
        self.publish(json!({ "ban": ban }));
    }

    /// Returns the events for the configuration file of a proxy that starts or reloads now: the
    /// whole endpoint list, and the purges that cache servers may not have completed yet.
    pub fn known_events(&self) -> Value {
        let targets: Vec<Value> = (0..self.servers.len())
            .filter(|index| self.servers[*index].state != "gone")
            .map(|index| self.endpoint_entry(index))
            .collect();
        let offset = self.events.len();
        let mut batch = vec![
            json!({"offset": offset, "topology": {"rev": offset, "all": true, "targets": targets}}),
        ];
        let now_ms = self.now_ms();
        for event in &self.events {
            let is_purge_in_progress =
                event.published_ms + crate::deployment::PURGE_COMPLETION_MS >= now_ms;
            if is_purge_in_progress && !event.event["ban"].is_null() {
                let mut event = event.event.clone();
                // Every event of the configuration has the number of the last published event.
                event["offset"] = json!(offset);
                batch.push(event);
            }
        }
        json!({"offset": offset, "batch": batch})
    }

    /// Records that a proxy's process ends now without a chance to answer pending requests.
    pub fn record_abrupt_exit(&mut self, proxy: usize) {
        let now_ms = self.now_ms();
        self.abrupt_exits.push((proxy, now_ms));
    }

    /// Records that a rule is violated now.
    pub fn report(&mut self, rule: Rule, proxy: Option<usize>, detail: impl Into<String>) {
        let violation = Violation {
            rule,
            at_ms: self.now_ms(),
            proxy,
            request: None,
            detail: detail.into(),
        };
        self.violations.push(violation);
    }

    /// Returns whether this test program was not scheduled in time at some moment of an interval or
    /// within 500 ms of it. Attempts and refused requests in such an interval are not judged by
    /// their timing.
    pub fn was_harness_stalled(&self, from_ms: u64, until_ms: u64) -> bool {
        let widened_interval = from_ms.saturating_sub(500)..=until_ms + 500;
        self.harness_stalls_ms
            .iter()
            .any(|at_ms| widened_interval.contains(at_ms))
    }
}

/// Returns the key of an object.
pub fn object_key(object: u64) -> String {
    format!("{object:016x}")
}

fn unix_ms() -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH);
    unix.unwrap_or_default().as_millis() as u64
}
