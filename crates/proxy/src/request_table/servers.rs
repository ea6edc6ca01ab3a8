//! The servers that discovery lists, with the wire id, address and lifecycle state of each.

use edge_routing::{DedupScope, Endpoint, EndpointListMode, EndpointState, ServerId};
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

/// Returns the id of a server within the proxy: the 64-bit FNV-1a hash of its wire id. It is the
/// same at every proxy, so that all routers compute the same order of servers from it.
pub fn server_id(wire_id: &str) -> ServerId {
    hash_of(wire_id)
}

fn hash_of(text: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(text.as_bytes());
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

/// The zone and the cell of a server, which determine the servers that recognize the repetitions
/// of a request that the server has executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DedupLocation {
    /// Hash of the name of the zone.
    zone: u64,
    cell: u64,
}

impl DedupLocation {
    /// Returns whether servers at two locations recognize each other's requests.
    pub(super) fn shares_scope(self, other: DedupLocation, scope: DedupScope) -> bool {
        scope.covers(self.zone == other.zone, self.cell == other.cell)
    }
}

struct KnownServer {
    wire_id: String,
    address: SocketAddr,
    state: EndpointState,
    location: DedupLocation,
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
        let location = DedupLocation {
            zone: hash_of(&entry.endpoint.zone),
            cell: entry.endpoint.cell,
        };
        let server = self.servers.entry(id).or_insert_with(|| KnownServer {
            wire_id: entry.wire_id.clone(),
            address: entry.address,
            state: EndpointState::Ready,
            location,
        });
        server.address = entry.address;
        server.location = location;
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

    /// Returns the zone and the cell of a server, or `None` if the server is gone.
    pub(super) fn dedup_location(&self, id: ServerId) -> Option<DedupLocation> {
        Some(self.servers.get(&id)?.location)
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
