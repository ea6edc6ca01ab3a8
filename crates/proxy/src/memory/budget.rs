//! The one account of the memory that the process holds, by kind.

use super::policy::{self, MemoryPolicy};
use std::fmt;

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryKind {
    /// Requests that are partially received, and the input buffers of clients.
    PartialRequests,
    /// Admitted requests with their bodies.
    Requests,
    /// Commands to servers and unparsed input from them, in the buffers of their sockets.
    ServerBuffers,
    /// Answers that are partially received from servers. The whole announced length counts.
    PartialAnswers,
    /// Answers that clients have not received yet, and the output buffers of clients.
    UnsentAnswers,
    /// Connections without their buffers, timers, streams that have ended, and the tables of the
    /// routing module.
    Tables,
}

impl MemoryKind {
    const COUNT: usize = 6;
    const ALL: [(MemoryKind, &'static str); Self::COUNT] = [
        (MemoryKind::PartialRequests, "partially received requests"),
        (MemoryKind::Requests, "requests"),
        (MemoryKind::ServerBuffers, "server buffers"),
        (MemoryKind::PartialAnswers, "partially received answers"),
        (MemoryKind::UnsentAnswers, "unsent answers"),
        (MemoryKind::Tables, "tables"),
    ];
}

/// A number of bytes, and its highest value since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
struct ByteGauge {
    current: usize,
    peak: usize,
}

impl ByteGauge {
    fn replace(&mut self, before: usize, after: usize) {
        self.current = self.current + after - before;
        self.peak = self.peak.max(self.current);
    }
}

impl fmt::Display for ByteGauge {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} bytes (peak {})", self.current, self.peak)
    }
}

/// The bytes that one owner, such as a connection, has in the budget. It must be released before it
/// is dropped.
#[derive(Debug, Default)]
pub struct MemoryShare {
    bytes: [usize; MemoryKind::COUNT],
}

impl MemoryShare {
    /// Returns the bytes of one kind.
    pub fn bytes(&self, kind: MemoryKind) -> usize {
        self.bytes[kind as usize]
    }
}

/// Numbers of entries in tables, whose memory is estimated.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableSizes {
    /// Open connections of any kind.
    pub connections: usize,
    /// Scheduled timers.
    pub timers: usize,
    /// Streams that have ended and are remembered.
    pub ended_streams: usize,
    /// Bytes of the tables of the routing module.
    pub router_bytes: usize,
}

/// What was refused or dropped for lack of memory since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
struct Refusals {
    requests: u64,
    partial_requests: u64,
    delayed_transfers: u64,
    unread_answers: u64,
}

/// The memory of the process, by kind, and its bound.
///
/// Invariant: `total` is the sum of `kinds`, and each kind is the sum of the shares of all owners.
#[derive(Debug)]
pub struct MemoryBudget {
    policy: MemoryPolicy,
    kinds: [ByteGauge; MemoryKind::COUNT],
    total: ByteGauge,
    /// The shares that have a single owner, the event loop: requests and tables.
    own_share: MemoryShare,
    refusals: Refusals,
}

impl MemoryBudget {
    /// Creates the empty budget with a limit on the bytes that are held.
    pub fn new(limit_bytes: usize) -> Self {
        MemoryBudget {
            policy: MemoryPolicy::new(limit_bytes),
            kinds: Default::default(),
            total: ByteGauge::default(),
            own_share: MemoryShare::default(),
            refusals: Refusals::default(),
        }
    }

    /// Returns the bytes that are held in total.
    pub fn held_bytes(&self) -> usize {
        self.total.current
    }

    /// Returns the most bytes that may be held in total.
    pub fn limit_bytes(&self) -> usize {
        self.policy.budget_bytes()
    }

    /// Replaces the bytes of one kind in an owner's share.
    pub fn set(&mut self, share: &mut MemoryShare, kind: MemoryKind, bytes: usize) {
        let before = std::mem::replace(&mut share.bytes[kind as usize], bytes);
        self.kinds[kind as usize].replace(before, bytes);
        self.total.replace(before, bytes);
    }

    /// Takes an owner's share out of the budget.
    pub fn release(&mut self, share: &mut MemoryShare) {
        for (kind, _) in MemoryKind::ALL {
            self.set(share, kind, 0);
        }
    }

    /// Replaces the bytes of the admitted requests.
    pub fn set_requests(&mut self, count: usize, body_bytes: usize) {
        let bytes = count * policy::REQUEST_BYTES + body_bytes;
        self.set_own(MemoryKind::Requests, bytes);
    }

    /// Replaces the bytes of the tables.
    pub fn set_tables(&mut self, sizes: TableSizes) {
        let bytes = sizes.connections * policy::CONNECTION_BYTES
            + sizes.timers * policy::TIMER_BYTES
            + sizes.ended_streams * policy::ENDED_STREAM_BYTES
            + sizes.router_bytes;
        self.set_own(MemoryKind::Tables, bytes);
    }

    fn set_own(&mut self, kind: MemoryKind, bytes: usize) {
        let mut share = std::mem::take(&mut self.own_share);
        self.set(&mut share, kind, bytes);
        self.own_share = share;
    }

    /// Returns whether a complete request may be admitted. Its body, for which `body_bytes` are
    /// allocated, is not counted yet.
    pub fn admits_request(&mut self, body_bytes: usize) -> bool {
        let held_bytes = self.total.current + policy::REQUEST_BYTES + body_bytes;
        let is_admitted = self.policy.allows_request(held_bytes, body_bytes);
        self.refusals.requests += u64::from(!is_admitted);
        is_admitted
    }

    /// Returns the least bytes for which the partially received requests of a connection are rejected
    /// now, or `None` if none are.
    pub fn droppable_partial_request_bytes(&self) -> Option<usize> {
        self.policy
            .droppable_partial_request_bytes(self.total.current)
    }

    /// Counts the partially received requests of a connection that were rejected.
    pub fn count_rejected_partial_requests(&mut self) {
        self.refusals.partial_requests += 1;
    }

    /// Returns whether this many further bytes of any kind fit.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.policy.is_within_budget(self.total.current + bytes)
    }

    /// Returns whether there is room for an answer from a server, or for a command to one. Counts a
    /// delay if there is none.
    pub fn has_room_for_transfer(&mut self, bytes: usize) -> bool {
        let has_room = self.policy.allows_transfer(self.total.current + bytes);
        self.refusals.delayed_transfers += u64::from(!has_room);
        has_room
    }

    /// Counts answers that were dropped because their client does not read them.
    pub fn count_dropped_answers(&mut self, count: usize) {
        self.refusals.unread_answers += count as u64;
    }
}

impl fmt::Display for MemoryBudget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "memory: {} held of {}",
            self.total,
            self.limit_bytes()
        )?;
        for (kind, name) in MemoryKind::ALL {
            write!(formatter, ", {name} {}", self.kinds[kind as usize])?;
        }
        write!(
            formatter,
            "; for lack of memory: {} requests rejected, partially received requests rejected {} \
             times, transfers delayed {} times, {} unread answers dropped",
            self.refusals.requests,
            self.refusals.partial_requests,
            self.refusals.delayed_transfers,
            self.refusals.unread_answers
        )
    }
}
