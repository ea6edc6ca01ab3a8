//! The servers that discovery lists: wire id, address and lifecycle state of each.

use edge_routing::{Endpoint, EndpointListMode, EndpointState, ServerId};
use fnv::FnvHasher;
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddr;

/// An entry of the endpoint list, as discovery gives it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// The entry that the router gets.
    pub endpoint: Endpoint,
    /// The server's id on the wire.
    pub wire_id: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// The number of a server, from its id on the wire (FNV-1a, 64 bits). It is the same at every
/// proxy: the router's order of servers is hashed from it.
pub fn server_id(wire_id: &str) -> ServerId {
    let mut hasher = FnvHasher::default();
    hasher.write(wire_id.as_bytes());
    hasher.finish()
}

/// How a server is named on the wire, and where it is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerAddress<'a> {
    /// Its id on the wire.
    pub wire_id: &'a str,
    /// Where it listens.
    pub address: SocketAddr,
}

struct KnownServer {
    wire_id: String,
    address: SocketAddr,
    state: EndpointState,
}

/// The servers that are ready or draining. One that is gone is forgotten: new servers come under
/// new ids all day long.
#[derive(Default)]
pub(super) struct ServerDirectory {
    servers: BTreeMap<ServerId, KnownServer>,
}

impl ServerDirectory {
    /// Applies a snapshot of the list or a change to it. Returns the servers that accept no more
    /// work from here on, in the order of the change; a server that a snapshot does not name is
    /// gone.
    pub(super) fn update(
        &mut self,
        mode: EndpointListMode,
        entries: &[ListedServer],
    ) -> Vec<ServerId> {
        let mut withdrawn = Vec::new();
        if mode == EndpointListMode::Snapshot {
            for id in self.missing_from(entries) {
                withdrawn.extend(self.change_state(id, EndpointState::Gone));
            }
        }
        for entry in entries {
            log::info!(
                "cache server {} at {} is {:?}",
                entry.wire_id,
                entry.address,
                entry.endpoint.state
            );
            withdrawn.extend(self.list(entry));
        }
        self.servers
            .retain(|_, server| server.state != EndpointState::Gone);
        withdrawn
    }

    fn missing_from(&self, entries: &[ListedServer]) -> Vec<ServerId> {
        let is_listed = |id: &ServerId| entries.iter().any(|entry| entry.endpoint.id == *id);
        self.servers
            .keys()
            .filter(|id| !is_listed(id))
            .copied()
            .collect()
    }

    /// Takes over one entry. A server new to the directory counts as ready before, so that it is
    /// withdrawn too if its first entry says draining.
    fn list(&mut self, entry: &ListedServer) -> Option<ServerId> {
        let id = entry.endpoint.id;
        let server = self.servers.entry(id).or_insert_with(|| KnownServer {
            wire_id: entry.wire_id.clone(),
            address: entry.address,
            state: EndpointState::Ready,
        });
        server.address = entry.address;
        self.change_state(id, entry.endpoint.state)
    }

    /// Changes a server's state, and returns it if this ends its being ready.
    fn change_state(&mut self, id: ServerId, state: EndpointState) -> Option<ServerId> {
        let server = self.servers.get_mut(&id)?;
        let before = std::mem::replace(&mut server.state, state);
        let was_withdrawn = before == EndpointState::Ready && state != EndpointState::Ready;
        was_withdrawn.then_some(id)
    }

    /// Whether any server is ready.
    pub(super) fn has_ready_server(&self) -> bool {
        self.servers
            .values()
            .any(|server| server.state == EndpointState::Ready)
    }

    /// Whether a server is ready.
    pub(super) fn is_ready(&self, id: ServerId) -> bool {
        self.servers
            .get(&id)
            .is_some_and(|server| server.state == EndpointState::Ready)
    }

    /// Id on the wire and address of a server that is not gone.
    pub(super) fn address_of(&self, id: ServerId) -> Option<ServerAddress<'_>> {
        let server = self.servers.get(&id)?;
        Some(ServerAddress {
            wire_id: &server.wire_id,
            address: server.address,
        })
    }

    /// Id on the wire of a server that is not gone.
    pub(super) fn wire_id_of(&self, id: ServerId) -> Option<&str> {
        let server = self.servers.get(&id)?;
        Some(server.wire_id.as_str())
    }
}
