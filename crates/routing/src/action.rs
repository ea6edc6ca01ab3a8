//! What a router wants done.

use crate::event::{RequestId, ServerId};
use crate::settings::Micros;

/// How a miss is filled, and what is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fill {
    /// Where from; the server itself: no fill.
    pub source: ServerId,
    /// Rank at which the copy is kept, 1 to 3; 0: not kept.
    pub retention_rank: u8,
    /// Oldest copy that will do; none: the class's freshness lifetime.
    pub max_age_us: Option<Micros>,
    /// Wait for a fill that is under way (collapsed forwarding).
    pub coalesce: bool,
    /// The source gives only what it has cached.
    pub only_if_cached: bool,
    /// The parent keeps no copy.
    pub bypass_parent: bool,
    /// Renew an ageing copy in the background.
    pub background_refresh: bool,
}

/// What a router wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Forward a request to a server.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Time-out; none: until the client gives up.
        timeout_us: Option<Micros>,
        /// How a miss is filled; none: only what the server has cached.
        fill: Option<Fill>,
        /// It must not begin later: then it counts as if it had never been sent.
        send_by: Option<Micros>,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Which attempt, counted from 0.
        attempt: u32,
    },
    /// Final answer: rejected; retrying is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When to retry; none: no advice.
        retry_after_us: Option<Micros>,
    },
    /// Final answer: failed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Wake the router.
    SetTimer {
        /// When.
        at: Micros,
        /// Comes back with [`Event::Timer`](crate::Event::Timer).
        tag: u64,
    },
    /// Ask a server for its load.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Watch the endpoint list from now on.
    WatchEndpoints,
    /// A line for the operators' log.
    Log {
        /// The line.
        line: String,
    },
}

impl Action {
    /// Wake the router at this time, with this tag.
    pub(crate) fn set_timer(at: Micros, tag: u64) -> Self {
        Action::SetTimer { at, tag }
    }

    /// The final answer that a request is rejected, with this advice when to retry.
    pub(crate) fn reject(request: RequestId, retry_after_us: Option<Micros>) -> Self {
        Action::Reject {
            request,
            retry_after_us,
        }
    }
}
