//! The settings that a router starts with: classes, tenants, zones and the limits of the
//! deployment.
//!
//! Plain data. [`Settings::validate`] tells whether a router can work with it.

mod validation;

pub use validation::SettingsError;

/// A time or a duration in microseconds, on the clock of the router's caller.
pub type Micros = u64;

/// How often a request may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated at will.
    Idempotent,
    /// It carries an idempotency key: a group of servers drops repeats for a while.
    IdempotencyKey,
    /// It must not run twice.
    NonIdempotent,
}

/// Which servers drop the repeats of a request that carries an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those in the zone of the server that was tried first.
    Zone,
    /// Those in the cell of the server that was tried first.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name, as requests carry it.
    pub name: String,
    /// An answer within this time earns the full weight.
    pub latency_objective_us: Micros,
    /// The latency objective grows by this many times the request's own transfer time.
    pub objective_per_transfer_time: f64,
    /// When clients give up at the latest.
    pub deadline_us: Micros,
    /// Weight of one request against those of other classes.
    pub priority_weight: f64,
    /// Share of the weight that a late answer earns.
    pub late_weight: f64,
    /// How often it may take effect.
    pub idempotency: Idempotency,
    /// With an idempotency key: which servers drop repeats.
    pub dedup_scope: DedupScope,
    /// With an idempotency key: for how long repeats are dropped.
    pub dedup_window_us: Micros,
    /// The answer is a stream: once it has begun it belongs to the client.
    pub streaming: bool,
    /// Its objects have several parts.
    pub multipart: bool,
    /// It runs at the origin and is never cached.
    pub is_write: bool,
    /// How long a copy is fresh; 0: until it is purged.
    pub freshness_lifetime_us: Micros,
    /// How long past that it may still be served.
    pub stale_grace_us: Micros,
    /// Share of the weight that a stale answer earns.
    pub stale_weight: f64,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name, as requests carry it.
    pub name: String,
    /// Requests per second within its quota, over all edge proxies.
    pub quota_rps: f64,
}

/// A zone: a location with cache servers and edge proxies, or a hub with parents.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Its name, as the endpoint list carries it.
    pub name: String,
    /// How many edge proxies serve it.
    pub edge_proxies: u32,
    /// Index of the zone that is its hub.
    pub hub: usize,
    /// What its one link for fills carries, in KB per second; 0: unknown.
    pub link_kb_per_s: f64,
}

/// Which cache servers may be the source of another one's fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFill {
    /// None.
    Off,
    /// Those of the same location.
    SameLocation,
    /// Any.
    Any,
}

/// What answers tell about where they came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Provenance {
    /// How each answer was made, and why a fill failed.
    Full,
    /// Only whether it was a cache hit.
    HitOnly,
    /// Nothing.
    Off,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// Answers and probe results.
    Answers,
    /// Probe results only.
    Probes,
    /// There are none.
    Off,
}

/// The limits that a router must keep; see the deployment's rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A draining or departed server gets nothing new later than this after the router was
    /// notified.
    pub drain_grace_us: Micros,
    /// A cache server that has just started has this share of its capacity, or more.
    pub warm_up_initial_share: f64,
    /// It is warm after this long at most.
    pub warm_up_us: Micros,
    /// Sent more than this multiple of its present capacity for `overload_window_us`, it collapses.
    pub overload_multiple: f64,
    /// See `overload_multiple`; also holds for parents.
    pub overload_window_us: Micros,
    /// As `warm_up_initial_share`, for parents.
    pub parent_warm_up_initial_share: f64,
    /// As `warm_up_us`, for parents.
    pub parent_warm_up_us: Micros,
    /// As `overload_multiple`, for parents.
    pub parent_overload_multiple: f64,
    /// A purge must be respected from this long after the router was notified.
    pub purge_grace_us: Micros,
    /// After this long the servers have dropped older copies by themselves.
    pub purge_completion_us: Micros,
    /// Where the endpoint list is polled: without an update for this long, a router counts as
    /// notified.
    pub poll_within_us: Micros,
}

/// Everything that a router starts with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// All zones.
    pub zones: Vec<Zone>,
    /// The router's own zone, as an index into `zones`.
    pub zone: usize,
    /// The kind of server that is a parent, if the deployment has any.
    pub parent_kind: Option<String>,
    /// The kind of server that is the origin.
    pub origin_kind: String,
    /// The endpoint list must be polled; otherwise it is pushed.
    pub poll_endpoint_list: bool,
    /// Parents and the origin take requests too.
    pub direct_requests: bool,
    /// A request may wait for a fill that is under way (collapsed forwarding).
    pub coalescing: bool,
    /// Which cache servers may fill others.
    pub peer_fill: PeerFill,
    /// What answers tell about where they came from.
    pub provenance: Provenance,
    /// Where load reports come from.
    pub load_reports: LoadReportSource,
    /// Weights in the endpoint list are link capacities in transfers at full rate.
    pub weights_known: bool,
    /// Rate of one transfer to a client at most, in KB per second; 0: unknown.
    pub transfer_kb_per_s: f64,
    /// Most attempts for a request.
    pub max_attempts: u32,
    /// Two attempts of a request may be in flight together.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Servers may be probed.
    pub probing: bool,
    /// Rejections tell clients when to retry.
    pub retry_after: bool,
    /// The longest such advice that clients follow.
    pub max_retry_after_us: Micros,
    /// The origin stops for a while at this multiple of its capacity; 0: it does not.
    pub origin_overload_multiple: f64,
    /// The limits that the router must keep.
    pub rules: Rules,
}

impl Class {
    /// How long a copy is fresh; none: until it is purged.
    pub(crate) fn lifetime_us(&self) -> Option<Micros> {
        (self.freshness_lifetime_us > 0).then_some(self.freshness_lifetime_us)
    }
}

/// The limits that hold for a server after its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmUp {
    /// Share of its capacity that it starts with, from 0 to 1.
    pub(crate) initial_share: f64,
    /// It is warm after this long at most.
    pub(crate) time_us: Micros,
    /// It collapses at this multiple of its present capacity.
    pub(crate) overload_multiple: f64,
    /// Edge proxies that send to it.
    pub(crate) routers: u32,
}

impl Settings {
    /// The router's own zone.
    pub(crate) fn own_zone(&self) -> &Zone {
        &self.zones[self.zone]
    }

    /// Index of the zone of this name.
    pub(crate) fn zone_index(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone.name == name)
    }

    /// Index of the class of this name.
    pub(crate) fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// The limits for a cache of the router's own zone after its start.
    pub(crate) fn cache_warm_up(&self) -> WarmUp {
        WarmUp {
            initial_share: self.rules.warm_up_initial_share,
            time_us: self.rules.warm_up_us,
            overload_multiple: self.rules.overload_multiple,
            routers: self.own_zone().edge_proxies,
        }
    }

    /// The limits for a parent after its start; all zones send to it.
    pub(crate) fn parent_warm_up(&self) -> WarmUp {
        WarmUp {
            initial_share: self.rules.parent_warm_up_initial_share,
            time_us: self.rules.parent_warm_up_us,
            overload_multiple: self.rules.parent_overload_multiple,
            routers: self.zones.iter().map(|zone| zone.edge_proxies).sum(),
        }
    }

    /// Edge proxies of the router's own zone besides its own.
    pub(crate) fn other_routers(&self) -> f64 {
        f64::from(self.own_zone().edge_proxies.max(1)) - 1.0
    }

    /// Time in seconds that a transfer of this size takes alone; none: the size or the rate is
    /// unknown.
    pub(crate) fn transfer_s(&self, size_kb: f64) -> Option<f64> {
        let known = self.transfer_kb_per_s > 0.0 && size_kb > 0.0;
        known.then(|| size_kb / self.transfer_kb_per_s)
    }

    /// A rate in KB per second as a number of transfers at full rate.
    pub(crate) fn transfers(&self, rate_kb_per_s: f64) -> f64 {
        rate_kb_per_s / self.transfer_kb_per_s.max(1.0)
    }

    /// Mean rate in KB per second of the zones' links, without those that are unknown.
    pub(crate) fn mean_link_kb_per_s(&self) -> f64 {
        let known = self.zones.iter().filter(|zone| zone.link_kb_per_s > 0.0);
        let sum: f64 = self.zones.iter().map(|zone| zone.link_kb_per_s).sum();
        sum / known.count().max(1) as f64
    }
}
