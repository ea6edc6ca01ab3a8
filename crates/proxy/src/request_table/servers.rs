//! The servers that discovery lists, with the wire id, address and lifecycle state of each.

use edge_routing::{Endpoint, EndpointListMode, EndpointState, ServerId};
use fnv::FnvHasher;
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddr;

/// An entry of the endpoint list, as discovery delivers it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// The entry in the router's form.
    pub endpoint: Endpoint,
    /// Id of the server in the wire protocols.
    pub wire_id: String,
    /// Address on which the server listens.
    pub address: SocketAddr,
}

/// Returns the router's id of a server: the FNV-1a hash (64 bits) of its wire id. The id is the
/// same at every proxy, because the router computes its order of servers from it.
pub fn server_id(wire_id: &str) -> ServerId {
    let mut hasher = FnvHasher::default();
    hasher.write(wire_id.as_bytes());
    hasher.finish()
}

/// The wire id and address of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerAddress<'a> {
    /// Id of the server in the wire protocols.
    pub wire_id: &'a str,
    /// Address on which the server listens.
    pub address: SocketAddr,
}

struct KnownServer {
    wire_id: String,
    address: SocketAddr,
    state: EndpointState,
}

/// The servers that are ready or draining. A server that is gone is removed, because new servers
/// with new ids are added all day long.
#[derive(Default)]
pub(super) struct ServerDirectory {
    servers: BTreeMap<ServerId, KnownServer>,
}

impl ServerDirectory {
    /// Applies a snapshot of the endpoint list or a change to it. A server that a snapshot does not
    /// list is gone. Returns the servers that stop being ready with this update, and so accept no
    /// more work. Servers missing from a snapshot come first, then the others in the order of the
    /// entries.
    pub(super) fn update(
        &mut self,
        mode: EndpointListMode,
        entries: &[ListedServer],
    ) -> Vec<ServerId> {
        let mut no_longer_ready = Vec::new();
        if mode == EndpointListMode::Snapshot {
            for id in self.missing_from(entries) {
                no_longer_ready.extend(self.set_state(id, EndpointState::Gone));
            }
        }
        for entry in entries {
            log::info!(
                "cache server {} (#{:016x}) at {} is listed as {:?}",
                entry.wire_id,
                entry.endpoint.id,
                entry.address,
                entry.endpoint.state
            );
            no_longer_ready.extend(self.apply_entry(entry));
        }
        self.servers
            .retain(|_, server| server.state != EndpointState::Gone);
        no_longer_ready
    }

    fn missing_from(&self, entries: &[ListedServer]) -> Vec<ServerId> {
        let is_listed = |id: &ServerId| entries.iter().any(|entry| entry.endpoint.id == *id);
        self.servers
            .keys()
            .filter(|id| !is_listed(id))
            .copied()
            .collect()
    }

    /// Applies one entry. A server new to the directory counts as previously ready, so that it is
    /// also returned if its first entry says that it is draining.
    fn apply_entry(&mut self, entry: &ListedServer) -> Option<ServerId> {
        let id = entry.endpoint.id;
        let server = self.servers.entry(id).or_insert_with(|| KnownServer {
            wire_id: entry.wire_id.clone(),
            address: entry.address,
            state: EndpointState::Ready,
        });
        server.address = entry.address;
        self.set_state(id, entry.endpoint.state)
    }

    /// Sets the state of a server. Returns the server's id if the server was ready and no longer
    /// is.
    fn set_state(&mut self, id: ServerId, state: EndpointState) -> Option<ServerId> {
        let server = self.servers.get_mut(&id)?;
        let before = std::mem::replace(&mut server.state, state);
        let stopped_being_ready = before == EndpointState::Ready && state != EndpointState::Ready;
        stopped_being_ready.then_some(id)
    }

    /// Returns whether any server is ready.
    pub(super) fn has_ready_server(&self) -> bool {
        self.servers
            .values()
            .any(|server| server.state == EndpointState::Ready)
    }

    /// Returns whether a server is ready.
    pub(super) fn is_ready(&self, id: ServerId) -> bool {
        self.servers
            .get(&id)
            .is_some_and(|server| server.state == EndpointState::Ready)
    }

    /// Returns the wire id and address of a server, or `None` if the server is gone.
    pub(super) fn server_address(&self, id: ServerId) -> Option<ServerAddress<'_>> {
        let server = self.servers.get(&id)?;
        Some(ServerAddress {
            wire_id: &server.wire_id,
            address: server.address,
        })
    }

    /// Returns the wire id of a server, or `None` if the server is gone.
    pub(super) fn wire_id_of(&self, id: ServerId) -> Option<&str> {
        let server = self.servers.get(&id)?;
        Some(server.wire_id.as_str())
    }
}
