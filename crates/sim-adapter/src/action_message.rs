//! Messages to the simulator.
//!
//! Each variant has the name of its message in the simulator's line protocol, and its serde
//! attributes give the key names. Times are in microseconds. Fields are declared in alphabetical
//! order of their keys, so that replies can be compared byte for byte with recorded ones.

use edge_routing::{Action, Fill};
use serde::Serialize;

/// A message to the simulator, which is one line of a reply.
#[derive(Serialize)]
#[serde(untagged)]
pub enum ActionMessage<'a> {
    /// Starts an attempt without a fill.
    Assign {
        /// Time limit of the attempt, or None to wait until the client stops waiting.
        #[serde(rename = "allow-for-us")]
        timeout_us: Option<u64>,
        event_type: &'static str,
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "request-id")]
        request: u64,
        #[serde(rename = "store")]
        server: u64,
    },
    /// Starts an attempt with a fill.
    ReadThrough {
        /// Time limit of the attempt, or None to wait until the client stops waiting.
        #[serde(rename = "allow-for-us")]
        timeout_us: Option<u64>,
        event_type: &'static str,
        #[serde(rename = "feeder")]
        source: u64,
        /// Bit flags; see [`fill_flags`].
        #[serde(rename = "how")]
        flags: u8,
        /// Largest acceptable age of a copy, or None for the freshness lifetime of the class.
        #[serde(rename = "how-old-us")]
        max_age_us: Option<u64>,
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "request-id")]
        request: u64,
        #[serde(rename = "store")]
        server: u64,
        #[serde(rename = "tier-rank")]
        retention_rank: u8,
    },
    /// Cancels an attempt.
    Retract {
        event_type: &'static str,
        #[serde(rename = "go")]
        attempt: u32,
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "request-id")]
        request: u64,
    },
    /// Gives the final answer that rejects a request.
    PushBack {
        event_type: &'static str,
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "request-id")]
        request: u64,
        /// Time after which to retry, or None for no advice.
        #[serde(rename = "retry-after-us")]
        retry_after_us: Option<u64>,
    },
    /// Gives the final answer that fails a request.
    Abort {
        event_type: &'static str,
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "request-id")]
        request: u64,
    },
    /// Sets a timer.
    After {
        /// When the timer expires.
        #[serde(rename = "at-us")]
        at: u64,
        #[serde(rename = "ctx")]
        tag: u64,
        event_type: &'static str,
        #[serde(rename = "i")]
        instance: u64,
    },
    /// Probes a server.
    SoundOut {
        event_type: &'static str,
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "store")]
        server: u64,
    },
    /// Watches the endpoint list.
    Track {
        event_type: &'static str,
        #[serde(rename = "i")]
        instance: u64,
        want: bool,
    },
    /// Writes a line to the simulator's report.
    Emit {
        event_type: &'static str,
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "msg")]
        line: &'a str,
    },
    /// Ends the reply to a batch.
    Ack {
        event_type: &'static str,
        round: u64,
    },
}

impl<'a> ActionMessage<'a> {
    /// Returns the message for an action of an instance.
    pub fn new(instance: u64, action: &'a Action) -> Self {
        match *action {
            Action::StartAttempt {
                request,
                server,
                timeout_us,
                fill,
                ..
            } => Self::attempt(instance, request, server, timeout_us, fill),
            Action::CancelAttempt { request, attempt } => ActionMessage::Retract {
                event_type: "Retract",
                attempt,
                instance,
                request,
            },
            Action::Reject {
                request,
                retry_after_us,
            } => Self::rejection(instance, request, retry_after_us),
            Action::Fail { request } => ActionMessage::Abort {
                event_type: "Abort",
                instance,
                request,
            },
            Action::SetTimer { at, tag } => ActionMessage::After {
                at,
                tag,
                event_type: "After",
                instance,
            },
            Action::Probe { server } => ActionMessage::SoundOut {
                event_type: "SoundOut",
                instance,
                server,
            },
            Action::WatchEndpoints => ActionMessage::Track {
                event_type: "Track",
                instance,
                want: true,
            },
            Action::Log { ref line } => ActionMessage::Emit {
                event_type: "Emit",
                instance,
                line,
            },
        }
    }

    fn attempt(
        instance: u64,
        request: u64,
        server: u64,
        timeout_us: Option<u64>,
        fill: Option<Fill>,
    ) -> Self {
        match fill {
            None => ActionMessage::Assign {
                timeout_us,
                event_type: "Assign",
                instance,
                request,
                server,
            },
            Some(fill) => ActionMessage::ReadThrough {
                timeout_us,
                event_type: "ReadThrough",
                source: fill.source,
                flags: fill_flags(&fill),
                max_age_us: fill.max_age_us,
                instance,
                request,
                server,
                retention_rank: fill.retention_rank,
            },
        }
    }

    fn rejection(instance: u64, request: u64, retry_after_us: Option<u64>) -> Self {
        ActionMessage::PushBack {
            event_type: "PushBack",
            instance,
            request,
            retry_after_us,
        }
    }

    /// Returns the message that ends the reply to the batch with number `round`.
    pub fn end_of_reply(round: u64) -> Self {
        ActionMessage::Ack {
            event_type: "Ack",
            round,
        }
    }
}

/// Returns the bit flags of the `how` key of a `ReadThrough` message.
fn fill_flags(fill: &Fill) -> u8 {
    u8::from(fill.coalesce)
        + 2 * u8::from(fill.only_if_cached)
        + 4 * u8::from(fill.parent_no_store)
        + 8 * u8::from(fill.background_refresh)
}
