//! What goes wrong in one run: drawn from its seed alone, so that a seed gives the same plan on every
//! machine.

mod draw;

use edge_proxy::sys::fault::Effect;
use edge_proxy::sys::SystemCall;
use serde::Serialize;

/// One run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plan {
    /// The seed, which also draws the requests.
    pub seed: u64,
    /// How many edge proxies there are.
    pub proxies: usize,
    /// How many cache servers there are besides the origin.
    pub caches: usize,
    /// When the last request is sent, in milliseconds from the start of the run.
    pub duration_ms: u64,
    /// The longest deadline of a class, in milliseconds. Where it is longer than a restart waits for,
    /// requests are open when a process that was told to end has to.
    pub longest_deadline_ms: u64,
    /// Whether the settings allow attempts to be cancelled.
    pub cancellation: bool,
    /// The troubles, by the time at which they begin.
    pub troubles: Vec<Trouble>,
}

/// Something that goes wrong for a while.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Trouble {
    /// When it begins, in milliseconds from the start of the run.
    pub from_ms: u64,
    /// When it ends.
    pub until_ms: u64,
    /// What it is.
    pub kind: TroubleKind,
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum TroubleKind {
    /// An edge proxy gets SIGTERM, ends, and is started again.
    Restart {
        /// Which one.
        proxy: usize,
    },
    /// An edge proxy gets SIGKILL, and is started again.
    Kill {
        /// Which one.
        proxy: usize,
    },
    /// An edge proxy gets a new configuration with SIGHUP: its event bus moves.
    Reload {
        /// Which one.
        proxy: usize,
        /// The file is half written when the signal comes, and whole so much later.
        torn_for_ms: Option<u64>,
    },
    /// System calls of an edge proxy fail.
    SystemCalls {
        /// Which one.
        proxy: usize,
        /// Which calls.
        call: SystemCall,
        /// How.
        effect: Effect,
        /// One in so many calls.
        one_in: u32,
    },
    /// The wall clock of an edge proxy's machine is stepped.
    ClockStep {
        /// Which one.
        proxy: usize,
        /// By how much, in milliseconds.
        by_ms: i64,
    },
    /// A cache server takes requests and answers none.
    CacheHang {
        /// Which one.
        cache: usize,
    },
    /// All cache servers and the origin take requests and answer none.
    AllHang,
    /// A cache server turns requests away.
    CacheFull {
        /// Which one.
        cache: usize,
    },
    /// Some answers of a cache server are garbled, cut short, given twice or never end.
    CacheSpoils {
        /// Which one.
        cache: usize,
    },
    /// A cache server drains, is gone after a while, and another takes its address.
    CacheReplaced {
        /// Which one.
        cache: usize,
    },
    /// A cache server's process dies, and starts again.
    CacheCrash {
        /// Which one.
        cache: usize,
    },
    /// Connections to a cache server are reset.
    LinkResets {
        /// Which one.
        cache: usize,
    },
    /// Nothing passes on connections to a cache server, and new ones never come up.
    LinkSilent {
        /// Which one.
        cache: usize,
    },
    /// Bytes pass in small pieces, late.
    LinkInPieces {
        /// Which one.
        cache: usize,
    },
    /// The event bus refuses connections and ends those that are open.
    BusDown,
    /// The event bus says nothing.
    BusSilent,
    /// The event bus takes so long until its first byte.
    BusSlow {
        /// How long, in milliseconds.
        first_byte_ms: u64,
    },
    /// Clients that send garbage, half requests or floods.
    BadClients {
        /// At which proxy.
        proxy: usize,
    },
    /// Most clients leave before they have their answer.
    ClientsLeave {
        /// At which proxy.
        proxy: usize,
    },
}

impl TroubleKind {
    /// The name under which the campaign counts it.
    pub fn name(&self) -> &'static str {
        match self {
            TroubleKind::Restart { .. } => "restart",
            TroubleKind::Kill { .. } => "kill",
            TroubleKind::Reload { torn_for_ms, .. } => match torn_for_ms {
                None => "reload",
                Some(_) => "reload-torn",
            },
            TroubleKind::SystemCalls { .. } => "system-calls",
            TroubleKind::ClockStep { .. } => "clock-step",
            TroubleKind::CacheHang { .. } => "cache-hang",
            TroubleKind::AllHang => "all-hang",
            TroubleKind::CacheFull { .. } => "cache-full",
            TroubleKind::CacheSpoils { .. } => "cache-spoils",
            TroubleKind::CacheReplaced { .. } => "cache-replaced",
            TroubleKind::CacheCrash { .. } => "cache-crash",
            TroubleKind::LinkResets { .. } => "link-resets",
            TroubleKind::LinkSilent { .. } => "link-silent",
            TroubleKind::LinkInPieces { .. } => "link-pieces",
            TroubleKind::BusDown => "bus-down",
            TroubleKind::BusSilent => "bus-silent",
            TroubleKind::BusSlow { .. } => "bus-slow",
            TroubleKind::BadClients { .. } => "bad-clients",
            TroubleKind::ClientsLeave { .. } => "clients-leave",
        }
    }

    /// The proxy that it concerns alone.
    pub fn proxy(&self) -> Option<usize> {
        match self {
            TroubleKind::Restart { proxy }
            | TroubleKind::Kill { proxy }
            | TroubleKind::Reload { proxy, .. }
            | TroubleKind::SystemCalls { proxy, .. }
            | TroubleKind::ClockStep { proxy, .. }
            | TroubleKind::BadClients { proxy }
            | TroubleKind::ClientsLeave { proxy } => Some(*proxy),
            _ => None,
        }
    }
}

impl Trouble {
    /// Whether two troubles are there at the same time.
    pub fn overlaps(&self, other: &Trouble) -> bool {
        self.from_ms < other.until_ms && other.from_ms < self.until_ms
    }
}

impl Plan {
    /// The names of the pairs of troubles that overlap in time, each pair in alphabetical order.
    pub fn overlapping_pairs(&self) -> Vec<(&'static str, &'static str)> {
        let mut pairs = Vec::new();
        for (index, trouble) in self.troubles.iter().enumerate() {
            for other in &self.troubles[index + 1..] {
                if trouble.overlaps(other) {
                    let (a, b) = (trouble.kind.name(), other.kind.name());
                    pairs.push((a.min(b), a.max(b)));
                }
            }
        }
        pairs
    }
}
