//! The plan of one run: which faults occur, and when. A plan is generated from its seed alone, so a
//! seed gives the same plan on every machine.

mod draw;

use edge_proxy::sys::fault::Effect;
use edge_proxy::sys::SystemCall;
use serde::Serialize;

/// The plan of one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plan {
    /// The seed of the plan. The requests are generated from it as well.
    pub seed: u64,
    /// The number of edge proxies.
    #[serde(rename = "proxies")]
    pub proxy_count: usize,
    /// The number of cache servers, without the origin.
    #[serde(rename = "caches")]
    pub cache_count: usize,
    /// When the last request is sent, in milliseconds from the start of the run.
    pub duration_ms: u64,
    /// The longest deadline of any request class, in milliseconds. A process that shuts down for a
    /// restart answers pending requests only for a limited time. If this deadline is longer, the
    /// process has to exit while clients may still wait.
    pub longest_deadline_ms: u64,
    /// Whether the settings allow the proxies to cancel attempts.
    pub cancellation: bool,
    /// The faults in the order in which they begin.
    pub faults: Vec<PlannedFault>,
}

/// A fault that lasts for a limited time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlannedFault {
    /// When the fault begins, in milliseconds from the start of the run.
    pub from_ms: u64,
    /// When the fault ends, in milliseconds from the start of the run.
    pub until_ms: u64,
    /// The kind of fault, with its target.
    pub kind: FaultKind,
}

/// A kind of fault, with its target.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum FaultKind {
    /// An edge proxy gets SIGTERM, exits and is started again.
    Restart {
        /// The index of the proxy.
        proxy: usize,
    },
    /// An edge proxy gets SIGKILL and is started again.
    Kill {
        /// The index of the proxy.
        proxy: usize,
    },
    /// The event bus of an edge proxy moves to another address. SIGHUP makes the proxy read a
    /// configuration file with the new address.
    Reload {
        /// The index of the proxy.
        proxy: usize,
        /// How long the configuration file stays truncated after SIGHUP, in milliseconds.
        /// `None` if the file is complete when the signal arrives.
        truncated_for_ms: Option<u64>,
    },
    /// System calls of an edge proxy fail or transfer fewer bytes than requested.
    SystemCallFault {
        /// The index of the proxy.
        proxy: usize,
        /// The system call that is affected.
        call: SystemCall,
        /// What happens to an affected call.
        effect: Effect,
        /// One in this many calls is affected.
        one_in: u32,
    },
    /// The wall clock of an edge proxy is stepped, and stepped back at the end of the fault.
    ClockStep {
        /// The index of the proxy.
        proxy: usize,
        /// The size of the step in milliseconds. A negative step sets the clock back.
        by_ms: i64,
    },
    /// A cache server accepts requests and answers none of them.
    CacheHang {
        /// The index of the cache server.
        cache: usize,
    },
    /// All cache servers and the origin accept requests and answer none of them.
    AllServersHang,
    /// A cache server rejects all requests.
    CacheOverloaded {
        /// The index of the cache server.
        cache: usize,
    },
    /// Some answers of a cache server are garbled, truncated, sent twice or never complete.
    CacheMalformedAnswers {
        /// The index of the cache server.
        cache: usize,
    },
    /// A cache server drains and leaves the endpoint list. A new server takes over its address.
    CacheReplaced {
        /// The index of the cache server.
        cache: usize,
    },
    /// The process of a cache server crashes and starts again.
    CacheCrash {
        /// The index of the cache server.
        cache: usize,
    },
    /// Connections to a cache server are reset.
    LinkResets {
        /// The index of the cache server.
        cache: usize,
    },
    /// No bytes pass on connections between the proxies and a cache server. New connections are
    /// accepted, but no bytes pass on them either.
    LinkStalled {
        /// The index of the cache server.
        cache: usize,
    },
    /// Bytes between the proxies and a cache server pass late, in small fragments.
    LinkFragmented {
        /// The index of the cache server.
        cache: usize,
    },
    /// The event bus refuses connections and closes those that are open.
    BusDown,
    /// The event bus sends nothing on any connection.
    BusSilent,
    /// The event bus delays the first byte of every new subscription.
    BusSlow {
        /// The delay in milliseconds.
        first_byte_ms: u64,
    },
    /// Clients send malformed input, incomplete requests or too many requests.
    MisbehavingClients {
        /// The index of the proxy.
        proxy: usize,
    },
    /// Most clients cancel their requests before the answer.
    ClientsCancel {
        /// The index of the proxy.
        proxy: usize,
    },
}

impl FaultKind {
    /// Returns the name of the fault kind in the report of a campaign, which runs the plans of a
    /// range of seeds.
    pub fn name(&self) -> &'static str {
        match self {
            FaultKind::Restart { .. } => "restart",
            FaultKind::Kill { .. } => "kill",
            FaultKind::Reload {
                truncated_for_ms, ..
            } => match truncated_for_ms {
                None => "reload",
                Some(_) => "reload-truncated",
            },
            FaultKind::SystemCallFault { .. } => "system-call-fault",
            FaultKind::ClockStep { .. } => "clock-step",
            FaultKind::CacheHang { .. } => "cache-hang",
            FaultKind::AllServersHang => "all-servers-hang",
            FaultKind::CacheOverloaded { .. } => "cache-overloaded",
            FaultKind::CacheMalformedAnswers { .. } => "cache-malformed-answers",
            FaultKind::CacheReplaced { .. } => "cache-replaced",
            FaultKind::CacheCrash { .. } => "cache-crash",
            FaultKind::LinkResets { .. } => "link-resets",
            FaultKind::LinkStalled { .. } => "link-stalled",
            FaultKind::LinkFragmented { .. } => "link-fragmented",
            FaultKind::BusDown => "bus-down",
            FaultKind::BusSilent => "bus-silent",
            FaultKind::BusSlow { .. } => "bus-slow",
            FaultKind::MisbehavingClients { .. } => "misbehaving-clients",
            FaultKind::ClientsCancel { .. } => "clients-cancel",
        }
    }

    /// Returns the index of the proxy if the fault affects a single proxy, otherwise `None`.
    pub fn proxy(&self) -> Option<usize> {
        match self {
            FaultKind::Restart { proxy }
            | FaultKind::Kill { proxy }
            | FaultKind::Reload { proxy, .. }
            | FaultKind::SystemCallFault { proxy, .. }
            | FaultKind::ClockStep { proxy, .. }
            | FaultKind::MisbehavingClients { proxy }
            | FaultKind::ClientsCancel { proxy } => Some(*proxy),
            _ => None,
        }
    }
}

impl PlannedFault {
    /// Returns whether two faults are active at the same time.
    pub fn overlaps(&self, other: &PlannedFault) -> bool {
        self.from_ms < other.until_ms && other.from_ms < self.until_ms
    }
}

impl Plan {
    /// Returns a pair of names for each two faults that overlap in time. The names in a pair are in
    /// alphabetical order.
    pub fn overlapping_pairs(&self) -> Vec<(&'static str, &'static str)> {
        let mut pairs = Vec::new();
        for (index, fault) in self.faults.iter().enumerate() {
            for other in &self.faults[index + 1..] {
                if fault.overlaps(other) {
                    let (a, b) = (fault.kind.name(), other.kind.name());
                    pairs.push((a.min(b), a.max(b)));
                }
            }
        }
        pairs
    }
}
