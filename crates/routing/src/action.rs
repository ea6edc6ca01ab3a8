//! The actions that a router requests from its caller.

use crate::event::{RequestId, ServerId};
use crate::settings::Micros;

/// How a cache server fills a miss, and how it keeps the copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fill {
    /// The server that the copy comes from. The attempt's own server means that a miss is not
    /// filled.
    pub source: ServerId,
    /// Rank at which the copy is kept, from 1 to 3; 0 if it is not kept.
    pub retention_rank: u8,
    /// Largest acceptable age of a copy, or None for the freshness lifetime of the class.
    pub max_age_us: Option<Micros>,
    /// Whether to wait for a fill of the same object in progress (collapsed forwarding).
    pub coalesce: bool,
    /// Whether the source answers only with what it has cached.
    pub only_if_cached: bool,
    /// Whether the parent answers without keeping a copy.
    pub parent_no_store: bool,
    /// Whether to renew an ageing copy in the background.
    pub background_refresh: bool,
}

/// An action that a router requests from its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Forward a request to a server.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Time limit of the attempt, or None to wait until the client stops waiting.
        timeout_us: Option<Micros>,
        /// How a miss is filled, or None if the server may only use what it has cached.
        fill: Option<Fill>,
        /// Latest time to send the attempt, or None for no limit. An attempt that cannot be sent by
        /// then counts as never sent.
        send_by: Option<Micros>,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Number of the attempt, counted from 0.
        attempt: u32,
    },
    /// Give the final answer that the request is rejected and a retry is safe.
    Reject {
        /// The request.
        request: RequestId,
        /// Time after which to retry (Retry-After), or None for no advice.
        retry_after_us: Option<Micros>,
    },
    /// Give the final answer that the request failed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Set a timer, which ends with [`Event::Timer`](crate::Event::Timer).
    SetTimer {
        /// When the timer expires.
        at: Micros,
        /// Tag that the event carries.
        tag: u64,
    },
    /// Request a load report from a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Watch the endpoint list from now on.
    WatchEndpoints,
    /// Write a line to the operators' log.
    Log {
        /// The line.
        line: String,
    },
}

impl Action {
    /// Returns the action that sets a timer.
    pub(crate) fn set_timer(at: Micros, tag: u64) -> Self {
        Action::SetTimer { at, tag }
    }

    /// Returns the final answer that rejects a request. `retry_after_us` is None for no advice.
    pub(crate) fn reject(request: RequestId, retry_after_us: Option<Micros>) -> Self {
        Action::Reject {
            request,
            retry_after_us,
        }
    }
}
