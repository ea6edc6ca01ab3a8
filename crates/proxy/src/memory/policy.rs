//! What is refused when memory runs out, and in which order.
//!
//! All buffers, tables and connections share one budget, and whatever is free may be used for
//! anything. As the budget fills up, the proxy refuses in this order:
//!
//! 1. Above [`BODY_CEILING`], requests with a body are rejected, because their answers need memory
//!    too. Of those that are only received in part, the requests of the connection that holds the
//!    most are rejected first.
//! 2. Above [`TRANSFER_CEILING`], answers from servers and commands to servers wait on their
//!    connections until memory is free, the oldest first. While one waits, clients that do not read
//!    their answers lose them, the one that holds the most first.
//! 3. Above [`REQUEST_CEILING`], all further requests are rejected.
//!
//! New connections are not refused. A client that has connected may have sent a request already,
//! which is owed an answer, and a connection without a request holds next to nothing.

use edge_routing::Micros;

/// Share of the budget up to which bodies of requests are accepted.
const BODY_CEILING: f64 = 0.75;
/// Share of the budget up to which answers and commands are transferred.
const TRANSFER_CEILING: f64 = 0.9375;
/// Share of the budget up to which requests are admitted.
const REQUEST_CEILING: f64 = 0.96875;
/// Requests up to this size are treated as if they had no body.
const SMALL_REQUEST_BYTES: usize = 4 << 10;
/// Share of the machine's memory that is kept free, because the allocator cannot use all gaps.
const FREE_SHARE: f64 = 0.0625;
/// Memory of the program itself, and of messages from discovery while they are read.
const PROGRAM_BYTES: usize = 3 << 20;
/// The budget is at least this share of the machine's memory, however small the machine is.
const MIN_BUDGET_SHARE: f64 = 0.25;
/// A client counts as not reading once it has accepted no byte for this long. The kernel accepts
/// further bytes only after a client on a slow link has read a large part of those before.
pub const STALLED_READER_US: Micros = 1_000_000;

/// Estimated memory of a connection without its buffers: its session, its tables and its timer.
pub(super) const CONNECTION_BYTES: usize = 2 << 10;
/// Estimated memory of a pending request without its body, in the request table and in the routing
/// module.
pub(super) const REQUEST_BYTES: usize = 1 << 10;
/// Estimated memory of a scheduled timer.
pub(super) const TIMER_BYTES: usize = 128;
/// Estimated memory of an ended stream with its place in the table of a connection.
pub const ENDED_STREAM_BYTES: usize = 256;

/// Returns the budget of a machine with this much memory: the bytes that may be held for everything
/// that the budget accounts for.
pub fn budget_for_machine(memory_bytes: usize) -> usize {
    let usable = (memory_bytes as f64 * (1.0 - FREE_SHARE)) as usize;
    let least = (memory_bytes as f64 * MIN_BUDGET_SHARE) as usize;
    usable.saturating_sub(PROGRAM_BYTES).max(least)
}

/// The decisions on memory, for a budget.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemoryPolicy {
    budget_bytes: usize,
}

impl MemoryPolicy {
    pub(super) fn new(budget_bytes: usize) -> Self {
        MemoryPolicy { budget_bytes }
    }

    /// Returns the budget for everything that is accounted for.
    pub(super) fn budget_bytes(self) -> usize {
        self.budget_bytes
    }

    /// Returns whether a request may be admitted that leads to `held_bytes` in total, of which its
    /// body holds `body_bytes`.
    pub(super) fn allows_request(self, held_bytes: usize, body_bytes: usize) -> bool {
        let ceiling = if body_bytes > SMALL_REQUEST_BYTES {
            BODY_CEILING
        } else {
            REQUEST_CEILING
        };
        held_bytes <= self.share(ceiling)
    }

    /// Returns the least bytes for which the partially received requests of a connection are rejected
    /// if `held_bytes` are held in total, or `None` if none are.
    pub(super) fn droppable_partial_request_bytes(self, held_bytes: usize) -> Option<usize> {
        if held_bytes > self.share(REQUEST_CEILING) {
            Some(1)
        } else if held_bytes > self.share(BODY_CEILING) {
            Some(SMALL_REQUEST_BYTES + 1)
        } else {
            None
        }
    }

    /// Returns whether `held_bytes` in total are within the budget.
    pub(super) fn is_within_budget(self, held_bytes: usize) -> bool {
        held_bytes <= self.budget_bytes
    }

    /// Returns whether an answer, or a command to a server, may lead to `held_bytes` in total.
    pub(super) fn allows_transfer(self, held_bytes: usize) -> bool {
        held_bytes <= self.share(TRANSFER_CEILING)
    }

    fn share(self, share: f64) -> usize {
        (self.budget_bytes as f64 * share) as usize
    }
}
