//! The configuration of a proxy and the events of the event bus, as JSON text.

use crate::unix_ms;

/// An entry of the list of pop caches.
#[derive(Clone, Debug)]
pub struct Server {
    pub uid: String,
    pub address: String,
    pub zone: String,
    pub kind: String,
    pub state: String,
    pub capacity: f64,
    pub boot_ms: u64,
    pub cell: u64,
}

impl Server {
    pub fn ready(uid: &str, address: &str, zone: &str, kind: &str, capacity: f64) -> Server {
        Server {
            uid: uid.into(),
            address: address.into(),
            zone: zone.into(),
            kind: kind.into(),
            state: "ready".into(),
            capacity,
            boot_ms: 0,
            cell: 0,
        }
    }

    pub fn in_cell(&self, cell: u64) -> Server {
        Server {
            cell,
            ..self.clone()
        }
    }

    pub fn with_state(&self, state: &str) -> Server {
        Server {
            state: state.into(),
            ..self.clone()
        }
    }

    pub fn started_now(&self) -> Server {
        Server {
            state: "ready".into(),
            boot_ms: unix_ms(),
            ..self.clone()
        }
    }

    fn json(&self) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"{}\",\"pod_group\":{},\
             \"state\":\"{}\",\"capacity_hint\":{},\"boot_ms\":{}}}",
            self.uid,
            self.address,
            self.zone,
            self.kind,
            self.cell,
            self.state,
            self.capacity,
            self.boot_ms
        )
    }
}

/// An event with a list of pop caches, or changes to it.
pub fn list_event(offset: u64, all: bool, servers: &[Server]) -> String {
    let entries: Vec<String> = servers.iter().map(Server::json).collect();
    format!(
        "{{\"offset\":{offset},\"topology\":{{\"rev\":{offset},\"all\":{all},\"targets\":[{}]}}}}",
        entries.join(",")
    )
}

/// The purge of an object at `ts` (Unix milliseconds).
pub fn purge_event(offset: u64, object: &str, ts: u64) -> String {
    format!("{{\"offset\":{offset},\"ban\":{{\"url\":\"{object}\",\"ts\":{ts}}}}}")
}

/// What differs between the configurations of the cases.
pub struct Config<'a> {
    pub name: &'a str,
    pub listen: &'a str,
    pub seed: u64,
    pub memory_mb: u64,
    pub sockets: u64,
    pub bus: Option<String>,
    pub servers: &'a [Server],
    /// The JSON object of the settings.
    pub settings: String,
}

impl Config<'_> {
    pub fn json(&self) -> String {
        let bus = self
            .bus
            .as_ref()
            .map_or(String::new(), |bus| format!("\"bus\":\"{bus}\","));
        format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"seed\":\"{:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},{bus}\
             \"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,\
             \"known\":{{\"offset\":1,\"batch\":[{}]}},\"settings\":{}}}",
            self.name,
            self.listen,
            self.seed,
            self.memory_mb,
            self.sockets,
            list_event(1, true, self.servers),
            self.settings
        )
    }
}
