//! The settings that a router starts with: classes, tenants, zones and the limits of the
//! deployment.
//!
//! The settings are plain data, which [`Settings::validate`] checks.

mod validation;

pub use validation::SettingsError;

/// A duration in microseconds, or a time in microseconds on the clock of the router's caller.
/// Durations have names that end in `_us`.
pub type Micros = u64;

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be repeated any number of times.
    Idempotent,
    /// The request carries an idempotency key, by which a group of servers drops repeats for a
    /// limited time.
    IdempotencyKey,
    /// The request must not be executed twice.
    NonIdempotent,
}

/// Which servers drop repeats of a request that carries an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// The servers in the zone of the server that the first attempt was sent to.
    Zone,
    /// The servers in the cell of the server that the first attempt was sent to.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The class's name, as in requests.
    pub name: String,
    /// The latency objective: an answer within this time of the request's arrival has the full
    /// priority weight.
    pub latency_objective_us: Micros,
    /// The latency objective of a request is extended by this multiple of the request's transfer
    /// time, which is the time that the transfer takes if it does not share its link.
    pub objective_extension_per_transfer_time: f64,
    /// Longest time that clients wait for an answer.
    pub deadline_us: Micros,
    /// Weight of one request relative to requests of other classes.
    pub priority_weight: f64,
    /// Share of the priority weight that an answer has after the latency objective.
    pub late_weight: f64,
    /// Whether requests of the class may be repeated.
    pub idempotency: Idempotency,
    /// Which servers recognize and drop repeats, for classes with an idempotency key.
    pub dedup_scope: DedupScope,
    /// How long servers recognize and drop repeats, for classes with an idempotency key.
    pub dedup_window_us: Micros,
    /// Whether the answer is a stream. Once a stream has begun, it is delivered to the client, so
    /// its attempt must no longer be cancelled.
    pub streaming: bool,
    /// Whether objects of the class have several parts, which are requested by their numbers.
    pub multipart: bool,
    /// Whether the request is a write, which is executed at the origin and is never cached.
    pub is_write: bool,
    /// How long a copy is fresh; 0 if it is fresh until it is purged.
    pub freshness_lifetime_us: Micros,
    /// How long a copy may still be served after its freshness lifetime.
    pub stale_grace_us: Micros,
    /// Share of the priority weight that a stale answer has.
    pub stale_weight: f64,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The tenant's name, as in requests.
    pub name: String,
    /// The tenant's quota in requests per second, over all edge proxies.
    pub quota_rps: f64,
}

/// A zone, which is a location with cache servers and edge proxies, or a hub with parents.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// The zone's name, as in the endpoint list.
    pub name: String,
    /// Number of edge proxies in the zone. Each runs one router.
    pub edge_proxy_count: u32,
    /// Index of the zone that is the hub of this one.
    pub hub_zone_index: usize,
    /// Rate of the link that all fills of the zone share, in KB per second. 0 if it is unknown.
    pub link_kb_per_s: f64,
}

/// Which cache servers may be the fill source of another cache server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFill {
    /// No cache server.
    Off,
    /// Cache servers of the same location.
    SameLocation,
    /// Any cache server.
    Any,
}

/// What answers report about where they came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Provenance {
    /// Where each answer came from, and why a fill failed.
    Full,
    /// Only whether the answer was a cache hit.
    HitOnly,
    /// Nothing.
    Off,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// From answers and probe results.
    Answers,
    /// From probe results only.
    Probes,
    /// There are no load reports.
    Off,
}

/// The limits of the deployment that a router must respect.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// How long a draining or departed server may still receive new requests, counted from the time
    /// when the router was notified of the drain or departure.
    pub drain_grace_us: Micros,
    /// Smallest share of its capacity that a cache server has when it starts, from 0 to 1.
    pub warm_up_initial_share: f64,
    /// Longest time until a cache server has its full capacity after its start.
    pub warm_up_us: Micros,
    /// A cache server fails from overload if it receives more than this multiple of its present
    /// capacity for `overload_window_us`.
    pub overload_multiple: f64,
    /// How long the load must exceed `overload_multiple` or `parent_overload_multiple` until the
    /// server fails.
    pub overload_window_us: Micros,
    /// Like `warm_up_initial_share`, for parents.
    pub parent_warm_up_initial_share: f64,
    /// Like `warm_up_us`, for parents.
    pub parent_warm_up_us: Micros,
    /// Like `overload_multiple`, for parents.
    pub parent_overload_multiple: f64,
    /// How long copies from before a purge may still be served, counted from the time when the
    /// router was notified of the purge.
    pub purge_grace_us: Micros,
    /// Time after a purge until all servers have dropped the copies from before the purge without
    /// any action of the router.
    pub purge_completion_us: Micros,
    /// Maximum poll interval, for deployments in which the endpoint list is polled. A router that
    /// has received no update for this long counts as notified of the changes that it has missed.
    pub max_poll_interval_us: Micros,
}

/// All settings that a router starts with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants. The list may be empty.
    pub tenants: Vec<Tenant>,
    /// All zones.
    pub zones: Vec<Zone>,
    /// The router's own zone, as an index into `zones`.
    pub own_zone_index: usize,
    /// The server kind of parents, or None if the deployment has no parents.
    pub parent_kind: Option<String>,
    /// The server kind of the origin.
    pub origin_kind: String,
    /// Whether the endpoint list must be polled. Otherwise updates are pushed.
    pub poll_endpoint_list: bool,
    /// Whether requests may be sent directly to parents and the origin.
    pub direct_requests: bool,
    /// Whether a request may wait for a fill in progress (collapsed forwarding).
    pub coalescing: bool,
    /// Which cache servers may be fill sources of other cache servers.
    pub peer_fill: PeerFill,
    /// What answers report about where they came from.
    pub provenance: Provenance,
    /// Where load reports come from.
    pub load_reports: LoadReportSource,
    /// Whether the weight of a server in the endpoint list is the capacity of its link, as a number
    /// of simultaneous transfers at the maximum rate (`transfer_kb_per_s`).
    pub weights_are_capacities: bool,
    /// Maximum rate of one transfer to a client, in KB per second. 0 if it is unknown.
    pub transfer_kb_per_s: f64,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Whether two attempts of a request may be in flight at the same time (hedged requests).
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether servers may be probed.
    pub probing: bool,
    /// Whether rejections state when clients may retry (Retry-After).
    pub retry_after: bool,
    /// Longest Retry-After that clients follow.
    pub max_retry_after_us: Micros,
    /// If the origin receives this multiple of its capacity, it stops answering for a while. 0 if
    /// it never does.
    pub origin_overload_multiple: f64,
    /// The limits that the router must respect.
    pub rules: Rules,
}

impl DedupScope {
    /// Returns whether servers recognize each other's requests within this scope, given whether they
    /// are known to be in the same zone and in the same cell.
    pub fn covers(self, same_zone: bool, same_cell: bool) -> bool {
        match self {
            DedupScope::All => true,
            DedupScope::Zone => same_zone,
            DedupScope::Cell => same_cell,
        }
    }
}

impl Class {
    /// Returns whether a request that may have been executed can be repeated at any server.
    pub fn is_repeatable_anywhere(&self) -> bool {
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey => self.dedup_scope == DedupScope::All,
            Idempotency::NonIdempotent => false,
        }
    }

    /// Returns how long a copy is fresh, or None if it is fresh until it is purged.
    pub(crate) fn lifetime_us(&self) -> Option<Micros> {
        (self.freshness_lifetime_us > 0).then_some(self.freshness_lifetime_us)
    }
}

/// The limits of a server that is warming up after its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmUp {
    /// Share of its capacity that the server starts with, from 0 to 1.
    pub(crate) initial_share: f64,
    /// Longest time until the server has its full capacity after its start.
    pub(crate) duration_us: Micros,
    /// Multiple of its present capacity at which the server fails from overload.
    pub(crate) overload_multiple: f64,
    /// Number of routers that send requests to the server. Each edge proxy runs one.
    pub(crate) router_count: u32,
}

impl Settings {
    /// Returns the router's own zone.
    pub(crate) fn own_zone(&self) -> &Zone {
        &self.zones[self.own_zone_index]
    }

    /// Returns the index of the zone with this name, or None if there is none.
    pub(crate) fn zone_index(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone.name == name)
    }

    /// Returns the index of the class with this name, or None if there is none.
    pub(crate) fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// Returns the limits of a cache server of the router's own zone that is warming up.
    pub(crate) fn cache_warm_up(&self) -> WarmUp {
        WarmUp {
            initial_share: self.rules.warm_up_initial_share,
            duration_us: self.rules.warm_up_us,
            overload_multiple: self.rules.overload_multiple,
            router_count: self.own_zone().edge_proxy_count,
        }
    }

    /// Returns the limits of a parent that is warming up. The edge proxies of all zones send
    /// requests to it.
    pub(crate) fn parent_warm_up(&self) -> WarmUp {
        WarmUp {
            initial_share: self.rules.parent_warm_up_initial_share,
            duration_us: self.rules.parent_warm_up_us,
            overload_multiple: self.rules.parent_overload_multiple,
            router_count: self.zones.iter().map(|zone| zone.edge_proxy_count).sum(),
        }
    }

    /// Returns the number of other routers in the router's own zone.
    pub(crate) fn other_router_count(&self) -> f64 {
        f64::from(self.own_zone().edge_proxy_count.max(1)) - 1.0
    }

    /// Returns the time in seconds that a transfer of this size takes if it shares no link, or None
    /// if the size or the rate is unknown.
    pub(crate) fn unshared_transfer_s(&self, size_kb: f64) -> Option<f64> {
        let known = self.transfer_kb_per_s > 0.0 && size_kb > 0.0;
        known.then(|| size_kb / self.transfer_kb_per_s)
    }

    /// Returns how many transfers at the maximum rate (`transfer_kb_per_s`) fit into a rate.
    pub(crate) fn full_rate_transfers(&self, rate_kb_per_s: f64) -> f64 {
        rate_kb_per_s / self.transfer_kb_per_s.max(1.0)
    }

    /// Returns the mean rate of the zones' links in KB per second. Links of unknown rate are left
    /// out.
    pub(crate) fn mean_known_link_kb_per_s(&self) -> f64 {
        let known = self.zones.iter().filter(|zone| zone.link_kb_per_s > 0.0);
        let sum: f64 = self.zones.iter().map(|zone| zone.link_kb_per_s).sum();
        sum / known.count().max(1) as f64
    }
}
