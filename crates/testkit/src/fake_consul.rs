//! A fake Consul agent, which serves the health and catalogue endpoints of one service and supports
//! blocking queries.

use crate::fake_cache::FakeCacheServer;
use crate::http_client::read_head;
use crate::sample_deployment::{CACHE_KIND, CAPACITY_HINT, LOCAL_ZONE};
use crate::{listen, ANY_LOOPBACK_PORT};
use serde_json::{json, Value};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Longest time that a blocking query waits for a change.
const BLOCKING_QUERY_TIMEOUT: Duration = Duration::from_secs(5);

/// A registered instance of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsulInstance {
    /// Id of the instance.
    pub id: &'static str,
    /// Address on which the instance listens.
    pub address: SocketAddr,
    /// Zone, as in the instance's metadata.
    pub zone: &'static str,
    /// Server kind, as in the instance's metadata.
    pub kind: &'static str,
    /// Status of the instance's health check: `passing`, `warning` or `critical`.
    pub check_status: &'static str,
}

impl ConsulInstance {
    /// Returns an instance for a cache server in the proxy's zone.
    pub fn for_cache(server: &FakeCacheServer, check_status: &'static str) -> Self {
        ConsulInstance {
            id: server.id,
            address: server.address,
            zone: LOCAL_ZONE,
            kind: CACHE_KIND,
            check_status,
        }
    }

    fn health_entry(&self) -> Value {
        json!({
            "Node": {"Address": self.address.ip().to_string()},
            "Service": {
                "ID": self.id,
                "Address": "",
                "Port": self.address.port(),
                "Meta": {
                    "az": self.zone,
                    "model": self.kind,
                    "capacity_hint": CAPACITY_HINT.to_string(),
                },
            },
            "Checks": [{"Status": self.check_status}],
        })
    }

    fn catalogue_entry(&self) -> Value {
        json!({"ServiceID": self.id})
    }
}

struct State {
    /// Index of the state, which each change increments. A blocking query names the last index that
    /// its client knows.
    index: u64,
    instances: Vec<ConsulInstance>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A Consul agent for one service. Clones are handles to the same agent.
#[derive(Clone)]
pub struct FakeConsul {
    /// Address on which the agent listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl FakeConsul {
    /// Starts an agent without registered instances.
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                index: 1,
                instances: Vec::new(),
            }),
            changed: Condvar::new(),
        });
        let serving = shared.clone();
        let address = listen(ANY_LOOPBACK_PORT, move |socket| serve(&serving, socket))?;
        Ok(FakeConsul { address, shared })
    }

    /// Replaces the registered instances.
    pub fn register(&self, instances: &[ConsulInstance]) {
        let mut state = self.shared.lock();
        state.index += 1;
        state.instances = instances.to_vec();
        self.shared.changed.notify_all();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the state's index is larger than `known_index`, or until
    /// [`BLOCKING_QUERY_TIMEOUT`] has passed.
    fn wait_for_change(&self, known_index: u64) -> MutexGuard<'_, State> {
        let waited =
            self.changed
                .wait_timeout_while(self.lock(), BLOCKING_QUERY_TIMEOUT, |state| {
                    state.index <= known_index
                });
        waited.unwrap_or_else(PoisonError::into_inner).0
    }
}

/// Answers one query and closes the connection.
fn serve(shared: &Shared, mut socket: TcpStream) -> io::Result<()> {
    let head = read_head(&mut socket)?;
    let target = head.split(' ').nth(1).unwrap_or("");
    let known_index = target
        .split_once("index=")
        .and_then(|(_, rest)| rest.split('&').next()?.parse().ok())
        .unwrap_or(0);
    let entry = if target.starts_with("/v1/catalog/") {
        ConsulInstance::catalogue_entry
    } else {
        ConsulInstance::health_entry
    };
    let state = shared.wait_for_change(known_index);
    let body: Value = state.instances.iter().map(entry).collect();
    let (index, body) = (state.index, body.to_string());
    drop(state);
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Consul-Index: {index}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    socket.write_all((head + &body).as_bytes())
}
