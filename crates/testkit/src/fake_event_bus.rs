//! A fake event bus, which streams endpoint lists and purges to the proxy as server-sent events.

use crate::fake_cache::FakeCacheServer;
use crate::http_client::read_head;
use crate::sample_deployment::{CACHE_KIND, CAPACITY_HINT, HUB_ZONE, LOCAL_ZONE, ORIGIN_KIND};
use crate::{listen, ANY_LOOPBACK_PORT, TEST_TIMEOUT};
use serde_json::{json, Value};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Interval at which the bus sends a comment while there are no new events.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The lifecycle states of a server, as in entries of the endpoint list.
pub mod endpoint_state {
    /// The server accepts requests.
    pub const READY: &str = "ready";
    /// The server accepts no new requests.
    pub const DRAINING: &str = "draining";
    /// The server has left the deployment.
    pub const GONE: &str = "gone";
}

/// Returns the endpoint list entry for a cache server in the proxy's zone.
pub fn cache_entry(server: &FakeCacheServer, state: &str) -> Value {
    server_entry(server, LOCAL_ZONE, CACHE_KIND, state)
}

/// Returns the endpoint list entry for the origin.
pub fn origin_entry(server: &FakeCacheServer, state: &str) -> Value {
    server_entry(server, HUB_ZONE, ORIGIN_KIND, state)
}

fn server_entry(server: &FakeCacheServer, zone: &str, kind: &str, state: &str) -> Value {
    endpoint_entry(server.id, server.address, zone, kind, state)
}

/// Returns the endpoint list entry for a server with this id and address.
pub(crate) fn endpoint_entry(
    id: &str,
    address: SocketAddr,
    zone: &str,
    kind: &str,
    state: &str,
) -> Value {
    json!({
        "uid": id,
        "endpoint": address.to_string(),
        "az": zone,
        "model": kind,
        "pod_group": 0,
        "state": state,
        "capacity_hint": CAPACITY_HINT,
        "boot_ms": 0,
    })
}

#[derive(Default)]
struct State {
    events: Vec<Value>,
    /// The number of the last event that each subscriber had already received when it subscribed.
    subscription_offsets: Vec<u64>,
    ended_subscriptions: usize,
    /// Number of times that all subscribers were disconnected.
    disconnect_count: usize,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// An event bus that numbers its events from 1. Clones are handles to the same bus.
#[derive(Clone)]
pub struct FakeEventBus {
    /// Address on which the bus listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl FakeEventBus {
    /// Starts a bus without events.
    pub fn start() -> io::Result<Self> {
        let shared = Arc::<Shared>::default();
        let serving = shared.clone();
        let address = listen(ANY_LOOPBACK_PORT, move |socket| {
            let served = serving.serve(socket);
            serving.update(|state| state.ended_subscriptions += 1);
            served
        })?;
        Ok(FakeEventBus { address, shared })
    }

    /// Publishes the complete endpoint list.
    pub fn publish_endpoint_list(&self, entries: Vec<Value>) {
        self.publish(json!({"topology": {"rev": 1, "all": true, "targets": entries}}));
    }

    /// Publishes the endpoint list entries of servers that have changed.
    pub fn publish_endpoint_changes(&self, entries: Vec<Value>) {
        self.publish(json!({"topology": {"rev": 1, "all": false, "targets": entries}}));
    }

    /// Publishes a purge of all copies of an object that were created before a Unix time in
    /// milliseconds.
    pub fn publish_object_purge(&self, object_key: &str, purged_at_ms: u64) {
        self.publish(json!({"ban": {"url": object_key, "ts": purged_at_ms}}));
    }

    /// Publishes a purge of all copies with a tag that were created before a Unix time in
    /// milliseconds.
    pub fn publish_tag_purge(&self, tag: u64, purged_at_ms: u64) {
        self.publish(json!({"ban": {"tag": tag, "ts": purged_at_ms}}));
    }

    /// Publishes an event under the next event number.
    fn publish(&self, mut event: Value) {
        self.shared.update(|state| {
            event["offset"] = (state.events.len() + 1).into();
            state.events.push(event);
        });
    }

    /// Disconnects all subscribers without waiting until their connections are closed.
    pub fn disconnect_subscribers(&self) {
        self.shared.update(|state| state.disconnect_count += 1);
    }

    /// Disconnects all subscribers and waits until their connections are closed, for at most
    /// [`TEST_TIMEOUT`].
    pub fn disconnect_subscribers_and_wait(&self) {
        self.disconnect_subscribers();
        let shared = &self.shared;
        let waited = shared
            .changed
            .wait_timeout_while(shared.lock(), TEST_TIMEOUT, |state| {
                state.ended_subscriptions < state.subscription_offsets.len()
            });
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }

    /// Returns the number of subscriptions so far, including those that have ended.
    pub fn subscription_count(&self) -> usize {
        self.shared.lock().subscription_offsets.len()
    }

    /// Waits for the subscription with an index, counted from 0. Returns the number of the last
    /// event that the subscriber had already received, or None if there is no such subscription
    /// within [`TEST_TIMEOUT`].
    pub fn wait_for_subscription(&self, index: usize) -> Option<u64> {
        let shared = &self.shared;
        let waited = shared
            .changed
            .wait_timeout_while(shared.lock(), TEST_TIMEOUT, |state| {
                state.subscription_offsets.len() <= index
            });
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        state.subscription_offsets.get(index).copied()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.lock());
        self.changed.notify_all();
    }

    /// Streams events to a subscriber until all subscribers are disconnected.
    fn serve(&self, mut socket: TcpStream) -> io::Result<()> {
        let head = read_head(&mut socket)?.to_lowercase();
        let mut sent_count = head
            .lines()
            .find_map(|line| line.strip_prefix("last-event-id:"))
            .and_then(|value| value.trim().parse().ok())
            .unwrap_or(0usize);
        let mut disconnect_count_before = 0;
        self.update(|state| {
            state.subscription_offsets.push(sent_count as u64);
            disconnect_count_before = state.disconnect_count;
        });
        socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")?;
        loop {
            let waited =
                self.changed
                    .wait_timeout_while(self.lock(), KEEP_ALIVE_INTERVAL, |state| {
                        state.events.len() <= sent_count
                            && state.disconnect_count == disconnect_count_before
                    });
            let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
            if state.disconnect_count != disconnect_count_before {
                return Ok(());
            }
            let out = encode_events(&state.events, sent_count);
            sent_count = state.events.len();
            drop(state);
            socket.write_all(out.as_bytes())?;
        }
    }
}

/// Encodes a comment, which keeps the connection alive, and all events that were not sent yet.
fn encode_events(events: &[Value], already_sent: usize) -> String {
    let mut out = ":\n\n".to_owned();
    for (index, event) in events.iter().enumerate().skip(already_sent) {
        out += &format!("id: {}\ndata: {event}\n\n", index + 1);
    }
    out
}
