//! The servers of the endpoint list, and what the router has seen of each.

use super::{FirstRun, InFlightAttempt};
use crate::estimate::{rendezvous, FleetLoad, TransferPace};
use crate::event::{Endpoint, EndpointListMode, EndpointState, RequestId, ServerId};
use crate::settings::{Micros, Settings, WarmUp};
use std::collections::{BTreeMap, VecDeque};

/// What a server is to this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// A cache of the router's own location.
    Cache,
    /// A parent, which fills caches.
    Parent,
    /// The origin.
    Origin,
}

impl Role {
    /// The role of a server by its kind and the index of its zone. A cache of another location has
    /// none: it takes no requests of this one.
    fn of(kind: &str, zone: Option<usize>, settings: &Settings) -> Option<Role> {
        if settings.parent_kind.as_deref() == Some(kind) {
            Some(Role::Parent)
        } else if settings.origin_kind == kind {
            Some(Role::Origin)
        } else {
            (zone == Some(settings.own_zone_index)).then_some(Role::Cache)
        }
    }
}

/// Work that was sent to a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Charge {
    /// When.
    pub(crate) at: Micros,
    /// Transfer time of the work in seconds.
    pub(crate) transfer_s: f64,
    /// The request that it was sent for.
    pub(crate) request: RequestId,
}

/// A server, and what the router has seen of it.
#[derive(Debug)]
pub(crate) struct ServerState {
    /// Its id.
    pub(crate) id: ServerId,
    /// What it is to this router.
    pub(crate) role: Role,
    /// Index of its zone in the settings; none: not one of them.
    pub(crate) zone: Option<usize>,
    /// The limits that hold for it after its start.
    pub(crate) warm_up: WarmUp,
    /// Its cell: servers that share which idempotency keys they have seen.
    pub(crate) cell: u64,
    /// Its weight in the endpoint list; 1 if that is not a positive number.
    pub(crate) weight: f64,
    /// Where it is in its life.
    pub(crate) lifecycle: EndpointState,
    /// When its process started; none: long ago.
    pub(crate) started_at: Option<Micros>,
    /// The last connection to it failed, and it has served nothing since.
    pub(crate) unreachable: bool,
    /// When it served a request again after it had been unreachable.
    pub(crate) recovered_at: Option<Micros>,
    /// Moving average of the attempts that failed by its fault, from 0 to 1.
    pub(crate) failure_rate: f64,
    /// It is ejected until then.
    pub(crate) ejected_until: Micros,
    /// Ejections since it last served a request while it was not ejected.
    pub(crate) consecutive_ejections: u32,
    /// A single request finds out whether it works again.
    pub(crate) half_open_probe_in_flight: bool,
    /// When it last served a request or filled a copy.
    pub(crate) last_success_at: Micros,
    /// When a connection to it last broke.
    pub(crate) last_reset_at: Micros,
    /// Transfers in flight at it.
    pub(crate) in_flight: FleetLoad,
    /// Pace of its recent cache hits.
    pub(crate) hits: TransferPace,
    /// Pace of recent fills from it, where the size was known.
    pub(crate) fills: TransferPace,
    /// Work that was sent to it recently, oldest first.
    pub(crate) charges: VecDeque<Charge>,
}

impl ServerState {
    /// Share of its capacity, from 0 to 1, that it is sure to have at a time: it grows in a line
    /// from its start, or from its recovery if it was unreachable.
    pub(crate) fn warm_up_fraction(&self, at: Micros) -> f64 {
        let WarmUp {
            initial_share,
            duration_us,
            ..
        } = self.warm_up;
        let since = self.started_at.max(self.recovered_at);
        let age_us = since.map_or(Micros::MAX, |since| at.saturating_sub(since));
        let grown = (1.0 - initial_share) * age_us as f64 / duration_us.max(1) as f64;
        (initial_share + grown).min(1.0)
    }

    /// Whether it is not sure to have its full capacity yet.
    pub(crate) fn is_warming_up(&self, now: Micros) -> bool {
        self.warm_up_fraction(now) < 1.0
    }

    /// Transfer time in seconds of the work that was sent to it from `since` on.
    pub(crate) fn charged_s(&self, since: Micros) -> f64 {
        let charges = self.charges.iter().filter(|charge| charge.at >= since);
        charges.map(|charge| charge.transfer_s).sum()
    }

    /// Forgets the work that was sent before `since`.
    pub(crate) fn drop_charges_before(&mut self, since: Micros) {
        while self.charges.front().is_some_and(|charge| charge.at < since) {
            self.charges.pop_front();
        }
    }
}

/// A server to send a request to, and the source of its fill if a miss may be filled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Target {
    /// The server.
    pub(crate) server: ServerId,
    /// The source of its fill; none: a miss is not filled.
    pub(crate) source: Option<ServerId>,
}

impl Target {
    /// This server, with this source.
    pub(crate) fn new(server: &ServerState, source: Option<&ServerState>) -> Self {
        Target {
            server: server.id,
            source: source.map(|source| source.id),
        }
    }
}

/// The ready servers in the order that all routers share for a key.
pub(crate) struct RankedServers<'a> {
    /// The caches of the location.
    pub(crate) caches: Vec<&'a ServerState>,
    /// The parents.
    pub(crate) parents: Vec<&'a ServerState>,
    /// The first of the origins, if there is one.
    pub(crate) origin: Option<&'a ServerState>,
}

/// The servers of the endpoint list, in the order of their ids.
pub(crate) struct ServerTable {
    servers: BTreeMap<ServerId, ServerState>,
    /// Ids of the ready servers: caches, parents, origins.
    ready: [Vec<ServerId>; 3],
    /// How many caches there are, ready or not.
    caches: usize,
    no_pace: TransferPace,
    no_load: FleetLoad,
}

impl ServerTable {
    /// An empty table; each new server starts with these estimates.
    pub(crate) fn new(no_pace: TransferPace, no_load: FleetLoad) -> Self {
        ServerTable {
            servers: BTreeMap::new(),
            ready: Default::default(),
            caches: 0,
            no_pace,
            no_load,
        }
    }

    /// Takes in the endpoint list or changes to it; endpoints without a role are ignored.
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
            let zone = settings.zone_index(&endpoint.zone);
            if let Some(role) = Role::of(&endpoint.kind, zone, settings) {
                self.update_server(self.fresh(&endpoint, role, zone, settings));
            }
        }
        // A server that comes back has a new id; the old one is kept only for its attempts in
        // flight.
        self.servers.retain(|_, server| {
            server.lifecycle != EndpointState::Gone || server.in_flight.own() > 0.0
        });
        self.ready = [Role::Cache, Role::Parent, Role::Origin].map(|role| {
            let ready = self.servers.iter().filter(|(_, server)| {
                server.role == role && server.lifecycle == EndpointState::Ready
            });
            ready.map(|(id, _)| *id).collect()
        });
        let servers = self.servers.values();
        self.caches = servers.filter(|server| server.role == Role::Cache).count();
    }

    fn update_server(&mut self, listed: ServerState) {
        let restarted = |server: &ServerState| {
            let ready = listed.lifecycle == EndpointState::Ready;
            ready && server.started_at != listed.started_at
        };
        match self.servers.get_mut(&listed.id) {
            // What was seen of the old process says nothing of the new one, but attempts stay in
            // flight.
            Some(server) if restarted(server) => {
                let in_flight = server.in_flight.own();
                let charges = std::mem::take(&mut server.charges);
                *server = ServerState { charges, ..listed };
                server.in_flight.set(in_flight);
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

    /// A server of which nothing was seen yet.
    fn fresh(
        &self,
        endpoint: &Endpoint,
        role: Role,
        zone: Option<usize>,
        settings: &Settings,
    ) -> ServerState {
        let weight_usable = endpoint.weight.is_finite() && endpoint.weight > 0.0;
        ServerState {
            id: endpoint.id,
            role,
            zone,
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
            in_flight: self.no_load,
            hits: self.no_pace,
            fills: self.no_pace,
            charges: VecDeque::new(),
        }
    }

    /// The server of this id.
    pub(crate) fn get(&self, id: ServerId) -> Option<&ServerState> {
        self.servers.get(&id)
    }

    /// Whether a server is in the table and available.
    pub(crate) fn is_available(&self, id: ServerId, now: Micros) -> bool {
        self.get(id).is_some_and(|server| server.is_available(now))
    }

    /// Records that an attempt was sent for a request; the server and the source of its fill are
    /// charged for a transfer of `transfer_s` seconds.
    pub(crate) fn attempt_sent(
        &mut self,
        request: RequestId,
        attempt: &InFlightAttempt,
        transfer_s: f64,
    ) {
        let charge = Charge {
            at: attempt.sent_at,
            transfer_s,
            request,
        };
        for id in attempt.servers() {
            self.change(id, |server| {
                server.charges.push_back(charge);
                server.half_open_probe_in_flight = server.consecutive_ejections > 0;
            });
        }
        self.change(attempt.server, |server| server.in_flight.add(1.0));
    }

    /// Records that a server could not be reached.
    pub(crate) fn connection_failed(&mut self, id: ServerId) {
        self.change(id, |server| server.unreachable = true);
    }

    /// Records that a connection to a server broke; `false` if one did at this very time already.
    pub(crate) fn connection_reset(&mut self, id: ServerId, now: Micros) -> bool {
        let server = self.servers.get_mut(&id);
        let last = server.map(|server| std::mem::replace(&mut server.last_reset_at, now));
        last != Some(now)
    }

    /// Records that a request was not sent on to the source of its fill.
    pub(crate) fn uncharge(&mut self, source: ServerId, request: RequestId) {
        self.change(source, |server| {
            server.charges.retain(|charge| charge.request != request);
        });
    }

    /// Records that an attempt ended. However it did, a half-open probe is over: else nothing might
    /// ever end it.
    pub(crate) fn attempt_ended(&mut self, attempt: &InFlightAttempt) {
        self.change(attempt.server, |server| server.in_flight.add(-1.0));
        for id in attempt.servers() {
            self.change(id, |server| server.half_open_probe_in_flight = false);
        }
    }

    /// Takes the load of all servers into their averages, and forgets the work that was sent to
    /// them before `since`.
    pub(crate) fn sweep(&mut self, since: Micros) {
        for server in self.servers.values_mut() {
            server.in_flight.sample();
            server.drop_charges_before(since);
        }
    }

    /// The starts of all servers turn out to lie further back.
    pub(crate) fn move_starts_back(&mut self, by_us: Micros) {
        for server in self.servers.values_mut() {
            if let Some(started_at) = &mut server.started_at {
                *started_at = started_at.saturating_sub(by_us);
            }
        }
    }

    /// Changes the server of this id, if there is one.
    pub(crate) fn change(&mut self, id: ServerId, change: impl FnOnce(&mut ServerState)) {
        if let Some(server) = self.servers.get_mut(&id) {
            change(server);
        }
    }

    /// The ready servers in the order of their rendezvous scores for a key, which their weights are
    /// a part of or not.
    pub(crate) fn ranked(&self, key: u64, weighted: bool) -> RankedServers<'_> {
        let rank = |role: Role| {
            let ready = self.ready[role as usize].iter();
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

    /// How many caches of the location there are, ready or not.
    pub(crate) fn caches(&self) -> usize {
        self.caches
    }

    /// An attempt that was sent to a server, as the first that may have taken effect.
    pub(crate) fn first_run(&self, attempt: &InFlightAttempt) -> FirstRun {
        let server = self.get(attempt.server);
        FirstRun {
            sent_at: attempt.sent_at,
            zone: server.and_then(|server| server.zone),
            cell: server.map_or(u64::MAX, |server| server.cell),
        }
    }

    /// Whether a server has served a request or filled a copy after `since`.
    pub(crate) fn succeeded_since(&self, id: ServerId, since: Micros) -> bool {
        self.get(id)
            .is_some_and(|server| server.last_success_at > since)
    }
}
