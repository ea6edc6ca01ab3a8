//! The servers of the endpoint list, with what the router has observed of each.

use super::{DedupLocation, InFlightAttempt};
use crate::estimate::{rendezvous, SharedLoadEstimate, TransferPace};
use crate::event::{Endpoint, EndpointListMode, EndpointState, RequestId, ServerId};
use crate::settings::{Micros, Settings, WarmUp};
use std::collections::{BTreeMap, VecDeque};

/// The role of a server for this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// A cache server of the router's own location.
    Cache,
    /// A parent, which fills cache servers.
    Parent,
    /// The origin server.
    Origin,
}

impl Role {
    /// Returns the role of a server of this kind in the zone with this index. Returns `None` for a
    /// cache server of another location, which takes no requests from this location.
    fn of(kind: &str, zone_index: Option<usize>, settings: &Settings) -> Option<Role> {
        if settings.parent_kind.as_deref() == Some(kind) {
            Some(Role::Parent)
        } else if settings.origin_kind == kind {
            Some(Role::Origin)
        } else {
            (zone_index == Some(settings.own_zone_index)).then_some(Role::Cache)
        }
    }
}

/// A transfer that uses up a part of the slow-start budget of a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Charge {
    /// When the attempt was sent.
    pub(crate) sent_at: Micros,
    /// The transfer time in seconds that is charged. It is an estimate of the time that the
    /// transfer takes if it does not share its link.
    pub(crate) transfer_s: f64,
    /// The request of the attempt.
    pub(crate) request: RequestId,
}

/// A server, with what the router has observed of it.
#[derive(Debug)]
pub(crate) struct ServerState {
    /// The id of the server.
    pub(crate) id: ServerId,
    /// The role of the server for this router.
    pub(crate) role: Role,
    /// The index of the server's zone in the settings. `None` if the settings do not have the zone.
    pub(crate) zone_index: Option<usize>,
    /// The limits that hold for the server while it is warming up.
    pub(crate) warm_up: WarmUp,
    /// The cell of the server. The servers of a cell share the idempotency keys that they have
    /// seen.
    pub(crate) cell: u64,
    /// The weight of the server in the endpoint list, or 1 if that is not a positive finite number.
    pub(crate) weight: f64,
    /// Whether the endpoint list last showed the server as ready, draining or gone.
    pub(crate) lifecycle: EndpointState,
    /// When the process of the server started. `None` if it started so long ago that the server has
    /// its full capacity.
    pub(crate) started_at: Option<Micros>,
    /// Whether the last attempt to connect to the server failed and the server has served nothing
    /// since.
    pub(crate) unreachable: bool,
    /// When the server last recovered: it served a request after it had been unreachable. `None`
    /// if it never recovered.
    pub(crate) recovered_at: Option<Micros>,
    /// The moving average, from 0 to 1, of the share of attempts that failed because of the server.
    pub(crate) failure_rate: f64,
    /// When the current or last ejection of the server ends. 0 if it was never ejected.
    pub(crate) ejected_until: Micros,
    /// The number of ejections since the server last served a request while it was not ejected.
    pub(crate) consecutive_ejections: u32,
    /// Whether a half-open probe is in flight, which is a single request that shows whether the
    /// server works again.
    pub(crate) half_open_probe_in_flight: bool,
    /// When the server last served a request or filled a copy. 0 if it never did.
    pub(crate) last_success_at: Micros,
    /// When a connection to the server last broke. 0 if none did.
    pub(crate) last_reset_at: Micros,
    /// An estimate of the transfers in flight at the server.
    pub(crate) transfers_in_flight: SharedLoadEstimate,
    /// How long recent cache hits at the server took relative to transfers that do not share their
    /// link.
    pub(crate) hit_pace: TransferPace,
    /// How long recent fills from the server took relative to transfers that do not share their
    /// link. Only fills of objects of known size are included.
    pub(crate) fill_pace: TransferPace,
    /// The transfers that were recently charged to the server, oldest first.
    pub(crate) charges: VecDeque<Charge>,
}

impl ServerState {
    /// Returns the share of its capacity, from 0 to 1, that the server is certain to have at a
    /// time. The share grows linearly from the start of the server, or from its last recovery if
    /// that is later.
    pub(crate) fn warm_up_capacity_share(&self, at: Micros) -> f64 {
        let WarmUp {
            initial_share,
            duration_us,
            ..
        } = self.warm_up;
        let since = self.started_at.max(self.recovered_at);
        let age_us = since.map_or(Micros::MAX, |since| at.saturating_sub(since));
        let growth = (1.0 - initial_share) * age_us as f64 / duration_us.max(1) as f64;
        (initial_share + growth).min(1.0)
    }

    /// Returns the zone and the cell of the server.
    pub(crate) fn dedup_location(&self) -> DedupLocation {
        DedupLocation {
            zone_index: self.zone_index,
            cell: Some(self.cell),
        }
    }

    /// Returns whether the server may not have its full capacity yet.
    pub(crate) fn is_warming_up(&self, now: Micros) -> bool {
        self.warm_up_capacity_share(now) < 1.0
    }

    /// Returns the total transfer time in seconds that was charged to the server from `since` on.
    pub(crate) fn charged_transfer_s(&self, since: Micros) -> f64 {
        let charges = self.charges.iter().filter(|charge| charge.sent_at >= since);
        charges.map(|charge| charge.transfer_s).sum()
    }

    /// Removes the charges from before `since`.
    pub(crate) fn drop_charges_before(&mut self, since: Micros) {
        while self
            .charges
            .front()
            .is_some_and(|charge| charge.sent_at < since)
        {
            self.charges.pop_front();
        }
    }
}

/// The server to send a request to, and the fill source for a miss.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Target {
    /// The server to send the request to.
    pub(crate) server: ServerId,
    /// The server that a miss is filled from. `None` if a miss is not filled.
    pub(crate) fill_source: Option<ServerId>,
}

impl Target {
    /// Creates a target from a server and a fill source.
    pub(crate) fn new(server: &ServerState, fill_source: Option<&ServerState>) -> Self {
        Target {
            server: server.id,
            fill_source: fill_source.map(|fill_source| fill_source.id),
        }
    }
}

/// The ready servers in their rendezvous order for a key, which is the same in all routers.
pub(crate) struct RankedServers<'a> {
    /// The cache servers of the location.
    pub(crate) caches: Vec<&'a ServerState>,
    /// The parents.
    pub(crate) parents: Vec<&'a ServerState>,
    /// The first origin, or `None` if no origin is ready.
    pub(crate) origin: Option<&'a ServerState>,
}

/// The servers of the endpoint list, ordered by id.
pub(crate) struct ServerTable {
    servers: BTreeMap<ServerId, ServerState>,
    /// The ids of the ready servers, indexed by [`Role`].
    ready_ids: [Vec<ServerId>; 3],
    /// The number of cache servers of the location, ready or not.
    cache_count: usize,
    initial_pace: TransferPace,
    initial_load: SharedLoadEstimate,
}

impl ServerTable {
    /// Returns the approximate memory of the table in bytes, with the charges of all servers.
    pub(crate) fn held_bytes(&self) -> usize {
        let held_bytes = |server: &ServerState| {
            size_of::<ServerState>() + server.charges.capacity() * size_of::<Charge>()
        };
        self.servers.values().map(held_bytes).sum()
    }

    /// Creates an empty table. `initial_pace` and `initial_load` are the estimates with which the
    /// state of each new server starts.
    pub(crate) fn new(initial_pace: TransferPace, initial_load: SharedLoadEstimate) -> Self {
        ServerTable {
            servers: BTreeMap::new(),
            ready_ids: Default::default(),
            cache_count: 0,
            initial_pace,
            initial_load,
        }
    }

    /// Applies the endpoint list or changes to it. Ignores endpoints without a role.
    pub(crate) fn update(
        &mut self,
        mode: EndpointListMode,
        endpoints: Vec<Endpoint>,
        settings: &Settings,
    ) {
        if mode == EndpointListMode::Snapshot {
            for (id, server) in &mut self.servers {
                if !endpoints.iter().any(|endpoint| endpoint.id == *id) {
                    server.lifecycle = EndpointState::Gone;
                }
            }
        }
        for endpoint in endpoints {
            let zone_index = settings.zone_index(&endpoint.zone);
            if let Some(role) = Role::of(&endpoint.kind, zone_index, settings) {
                self.update_server(self.new_server(&endpoint, role, zone_index, settings));
            }
        }
        // A server that returns to the list has a new id. The entry under the old id is needed only
        // while the server has attempts in flight.
        self.servers.retain(|_, server| {
            server.lifecycle != EndpointState::Gone || server.transfers_in_flight.own() > 0.0
        });
        self.ready_ids = [Role::Cache, Role::Parent, Role::Origin].map(|role| {
            let ready = self.servers.iter().filter(|(_, server)| {
                server.role == role && server.lifecycle == EndpointState::Ready
            });
            ready.map(|(id, _)| *id).collect()
        });
        let servers = self.servers.values();
        self.cache_count = servers.filter(|server| server.role == Role::Cache).count();
    }

    /// Adds a server or updates it to the state in which the endpoint list shows it.
    fn update_server(&mut self, listed: ServerState) {
        let restarted = |server: &ServerState| {
            let ready = listed.lifecycle == EndpointState::Ready;
            ready && server.started_at != listed.started_at
        };
        match self.servers.get_mut(&listed.id) {
            // Observations of the old process do not apply to the new one. The number of transfers
            // in flight and the charges are kept.
            Some(server) if restarted(server) => {
                let transfers_in_flight = server.transfers_in_flight.own();
                let charges = std::mem::take(&mut server.charges);
                *server = ServerState { charges, ..listed };
                server.transfers_in_flight.set_own(transfers_in_flight);
            }
            Some(server) => {
                server.lifecycle = listed.lifecycle;
                server.weight = listed.weight;
            }
            None => {
                self.servers.insert(listed.id, listed);
            }
        }
    }

    /// Creates the state of a server of which nothing has been observed.
    fn new_server(
        &self,
        endpoint: &Endpoint,
        role: Role,
        zone_index: Option<usize>,
        settings: &Settings,
    ) -> ServerState {
        let weight_usable = endpoint.weight.is_finite() && endpoint.weight > 0.0;
        ServerState {
            id: endpoint.id,
            role,
            zone_index,
            warm_up: match role {
                Role::Parent => settings.parent_warm_up(),
                Role::Cache | Role::Origin => settings.cache_warm_up(),
            },
            cell: endpoint.cell,
            weight: if weight_usable { endpoint.weight } else { 1.0 },
            lifecycle: endpoint.state,
            started_at: endpoint.started_at,
            unreachable: false,
            recovered_at: None,
            failure_rate: 0.0,
            ejected_until: 0,
            consecutive_ejections: 0,
            half_open_probe_in_flight: false,
            last_success_at: 0,
            last_reset_at: 0,
            transfers_in_flight: self.initial_load,
            hit_pace: self.initial_pace,
            fill_pace: self.initial_pace,
            charges: VecDeque::new(),
        }
    }

    /// Returns the server with this id, or `None` if it is not in the table.
    pub(crate) fn get(&self, id: ServerId) -> Option<&ServerState> {
        self.servers.get(&id)
    }

    /// Returns whether a server is in the table and available.
    pub(crate) fn is_available(&self, id: ServerId, now: Micros) -> bool {
        self.get(id).is_some_and(|server| server.is_available(now))
    }

    /// Records that an attempt was sent for a request. Charges a transfer of `transfer_s` seconds
    /// to the server and to the fill source.
    pub(crate) fn record_attempt_sent(
        &mut self,
        request: RequestId,
        attempt: &InFlightAttempt,
        transfer_s: f64,
    ) {
        let charge = Charge {
            sent_at: attempt.sent_at,
            transfer_s,
            request,
        };
        for id in attempt.server_and_fill_source() {
            self.modify(id, |server| {
                server.charges.push_back(charge);
                // After an ejection, each attempt is a half-open probe until the server serves one.
                server.half_open_probe_in_flight = server.consecutive_ejections > 0;
            });
        }
        self.modify(attempt.server, |server| {
            server.transfers_in_flight.add_to_own(1.0)
        });
    }

    /// Records that no connection to a server could be established.
    pub(crate) fn record_connection_failure(&mut self, id: ServerId) {
        self.modify(id, |server| server.unreachable = true);
    }

    /// Records that a connection to a server broke. Returns `false` if another connection to the
    /// server was recorded as broken at the same time.
    pub(crate) fn record_connection_reset(&mut self, id: ServerId, now: Micros) -> bool {
        let server = self.servers.get_mut(&id);
        let last = server.map(|server| std::mem::replace(&mut server.last_reset_at, now));
        last != Some(now)
    }

    /// Removes all charges of a request from its fill source, which did not receive the request.
    pub(crate) fn cancel_charge(&mut self, fill_source: ServerId, request: RequestId) {
        self.modify(fill_source, |server| {
            server.charges.retain(|charge| charge.request != request);
        });
    }

    /// Records that an attempt ended. Ends a half-open probe whatever the outcome of the attempt,
    /// because some outcomes say nothing about the server and the probe would never end otherwise.
    pub(crate) fn record_attempt_ended(&mut self, attempt: &InFlightAttempt) {
        self.modify(attempt.server, |server| {
            server.transfers_in_flight.add_to_own(-1.0)
        });
        for id in attempt.server_and_fill_source() {
            self.modify(id, |server| server.half_open_probe_in_flight = false);
        }
    }

    /// Adds the current load of each server to its average over time, and removes the charges from
    /// before `since`.
    pub(crate) fn sample_load_and_drop_charges(&mut self, since: Micros) {
        for server in self.servers.values_mut() {
            server.transfers_in_flight.sample();
            server.drop_charges_before(since);
        }
    }

    /// Moves the start times of all servers earlier by `by_us` microseconds. Used when it turns out
    /// that the servers started earlier than recorded.
    pub(crate) fn move_start_times_earlier(&mut self, by_us: Micros) {
        for server in self.servers.values_mut() {
            if let Some(started_at) = &mut server.started_at {
                *started_at = started_at.saturating_sub(by_us);
            }
        }
    }

    /// Calls `modify` with the server that has this id. Does nothing if the server is not in the
    /// table.
    pub(crate) fn modify(&mut self, id: ServerId, modify: impl FnOnce(&mut ServerState)) {
        if let Some(server) = self.servers.get_mut(&id) {
            modify(server);
        }
    }

    /// Returns the ready servers in the order of their rendezvous scores for a key. If `weighted`,
    /// the scores include the weights of the servers.
    pub(crate) fn ranked(&self, key: u64, weighted: bool) -> RankedServers<'_> {
        let rank = |role: Role| {
            let ready = self.ready_ids[role as usize].iter();
            let servers = ready.filter_map(|id| self.servers.get(id));
            rendezvous::rank(key, servers, |server| {
                (server.id, if weighted { server.weight } else { 1.0 })
            })
        };
        RankedServers {
            caches: rank(Role::Cache),
            parents: rank(Role::Parent),
            origin: rank(Role::Origin).first().copied(),
        }
    }

    /// Returns the number of cache servers of the location, ready or not.
    pub(crate) fn cache_count(&self) -> usize {
        self.cache_count
    }

    /// Returns the zone and the cell of a server. Both are unknown if the server is not in the
    /// table.
    pub(crate) fn dedup_location(&self, id: ServerId) -> DedupLocation {
        self.get(id)
            .map_or(DedupLocation::UNKNOWN, ServerState::dedup_location)
    }

    /// Returns whether a server has served a request or filled a copy after `since`.
    pub(crate) fn succeeded_since(&self, id: ServerId, since: Micros) -> bool {
        self.get(id)
            .is_some_and(|server| server.last_success_at > since)
    }
}
