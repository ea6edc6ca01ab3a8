//! Client connections of both listeners: the memory that they hold, and how long they may stay open
//! without progress.

mod eviction;
mod fastcgi;
#[cfg(test)]
mod tests;

use super::close_reason::CloseReason;
use super::connections::{Connection, ConnectionRole};
use super::timer::TimerEvent;
use super::EventLoop;
use crate::frontend::ClientSession;
use crate::net::SlabKey;
use edge_routing::Micros;
use eviction::EvictionClass;
use std::fmt;

/// Activity and memory use of one client connection.
pub(super) struct ClientActivity {
    /// Start of the connection's current inactivity timeout, in microseconds. The timeout restarts
    /// whenever the connection is found busy, when a request begins to arrive, and when a lingering
    /// close begins.
    pub(super) timeout_start: Micros,
    /// Whether a request was partially received at the last update.
    has_partial_request: bool,
    /// Share of this connection in `ClientAccounting::unsent_answers`.
    unsent_answer_bytes: usize,
    /// Share of this connection in `ClientAccounting::partial_requests`.
    partial_request_bytes: usize,
}

impl ClientActivity {
    pub(super) fn new(now: Micros) -> Self {
        ClientActivity {
            timeout_start: now,
            has_partial_request: false,
            unsent_answer_bytes: 0,
            partial_request_bytes: 0,
        }
    }
}

/// A number of bytes, and its highest value since the start of the process.
#[derive(Clone, Copy, Default)]
struct ByteGauge {
    current: usize,
    peak: usize,
}

impl ByteGauge {
    /// Replaces one connection's share of the bytes.
    fn replace_share(&mut self, before: usize, after: usize) {
        self.current = self.current + after - before;
        self.peak = self.peak.max(self.current);
    }
}

impl fmt::Display for ByteGauge {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} bytes (peak {})", self.current, self.peak)
    }
}

/// Totals over all client connections. The limits bound each of them.
#[derive(Default)]
pub(super) struct ClientAccounting {
    /// Number of client connections, including those in a lingering close.
    pub(super) connections: usize,
    /// Memory of answers that clients have not received yet.
    unsent_answers: ByteGauge,
    /// Memory of partially received requests.
    partial_requests: ByteGauge,
}

impl fmt::Display for ClientAccounting {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "clients: {} connections, unsent answers hold {}, partially received requests hold {}",
            self.connections, self.unsent_answers, self.partial_requests
        )
    }
}

impl ClientAccounting {
    fn set_unsent_answer_bytes(&mut self, activity: &mut ClientActivity, bytes: usize) {
        let before = std::mem::replace(&mut activity.unsent_answer_bytes, bytes);
        self.unsent_answers.replace_share(before, bytes);
    }

    fn set_partial_request_bytes(&mut self, activity: &mut ClientActivity, bytes: usize) {
        let before = std::mem::replace(&mut activity.partial_request_bytes, bytes);
        self.partial_requests.replace_share(before, bytes);
    }

    /// Subtracts a connection from the byte totals when it is closed.
    pub(super) fn release(&mut self, activity: &mut ClientActivity) {
        self.set_unsent_answer_bytes(activity, 0);
        self.set_partial_request_bytes(activity, 0);
    }
}

impl EventLoop {
    /// Returns the longest time, in microseconds, for which the input of a connection may have
    /// waited to be read. Returns 0 if the time is within `Limits::unread_tolerance_us`.
    pub(super) fn unread_us(&self, now: Micros, key: SlabKey) -> Micros {
        let connection = self.connections.get(key);
        let unread_since = connection.and_then(|connection| connection.unread_since);
        let readable_since =
            unread_since.map_or(self.earliest_ready_at, |at| at.min(self.earliest_ready_at));
        let unread_us = now.saturating_sub(readable_since);
        if unread_us > self.limits.unread_tolerance_us {
            unread_us
        } else {
            0
        }
    }

    /// Updates the activity of a client connection after a read or a write.
    pub(super) fn update_client_activity(&mut self, now: Micros, key: SlabKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Some(class) = connection.eviction_class() else {
            return;
        };
        let has_partial_request = class == EvictionClass::PartialRequest;
        let had_partial_request = std::mem::replace(
            &mut connection.activity.has_partial_request,
            has_partial_request,
        );
        // The timeout of a partially received request counts from its first byte, even if the
        // request arrives a few bytes at a time.
        let partial_request_begins = has_partial_request && !had_partial_request;
        if class == EvictionClass::Busy || partial_request_begins {
            connection.activity.timeout_start = now;
        }
    }

    /// Updates the bytes that a client connection holds of answers that are not written to the
    /// socket. They include the memory of the output buffer.
    pub(super) fn update_unsent_answer_bytes(&mut self, key: SlabKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Some(session) = connection.role.client_session() else {
            return;
        };
        let bytes = session.unsent_bytes() + connection.transport.output.allocated_bytes();
        self.clients
            .set_unsent_answer_bytes(&mut connection.activity, bytes);
    }

    /// Updates the bytes that a client connection holds of partially received requests, and
    /// enforces the limit on the total of all connections. The bytes include the memory of the
    /// input buffer.
    ///
    /// While the total exceeds the limit, the connection that holds the most bytes is closed. If
    /// that connection still awaits answers, only its partially received requests are rejected,
    /// because the connection should not lose its answers over what others hold.
    pub(super) fn enforce_partial_request_limit(&mut self, now: Micros, key: SlabKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Some(session) = connection.role.client_session() else {
            return;
        };
        let input_bytes = connection.transport.input.allocated_bytes();
        let bytes = session.partial_request_bytes() + input_bytes;
        self.clients
            .set_partial_request_bytes(&mut connection.activity, bytes);
        while self.clients.partial_requests.current > self.limits.partial_request_bytes {
            let held_bytes = |key: &SlabKey| {
                let connection = self.connections.get(*key)?;
                Some(connection.activity.partial_request_bytes)
            };
            let Some(largest) = self.connections.keys().into_iter().max_by_key(held_bytes) else {
                return;
            };
            log::info!(
                "partially received requests hold {} bytes, over the limit of {}: dropping those \
                 of connection {:x}, which holds the most",
                self.clients.partial_requests.current,
                self.limits.partial_request_bytes,
                largest.to_u64()
            );
            if !self.reject_partial_requests(now, largest) {
                self.close_gracefully(now, largest, CloseReason::PartialRequestLimit);
            }
        }
    }

    /// Rejects the partially received requests of a FastCGI connection that awaits answers to other
    /// requests. Returns false, without rejecting any, if the connection awaits no answer.
    fn reject_partial_requests(&mut self, now: Micros, key: SlabKey) -> bool {
        let Some(Connection {
            role: ConnectionRole::FastCgiClient(session),
            activity,
            ..
        }) = self.connections.get_mut(key)
        else {
            return false;
        };
        if !session.is_busy() {
            return false;
        }
        session.reject_partial_requests();
        self.clients
            .set_partial_request_bytes(activity, session.partial_request_bytes());
        // The poller reports a connection that cannot be written as broken.
        let _ = self.write(now, key);
        true
    }

    /// Closes a client connection that is past its inactivity deadline. Ordinary clients close
    /// their idle connections earlier, so that this close does not cross one of their requests.
    pub(super) fn check_client(&mut self, now: Micros, key: SlabKey) {
        let has_expired = |deadline: Option<Micros>| deadline.is_some_and(|at| at <= now);
        let deadline = self
            .connections
            .get(key)
            .and_then(|connection| connection.inactivity_deadline(&self.limits));
        if has_expired(deadline) {
            // Input that has arrived by now can still extend the deadline.
            self.read_available_input(now, key);
        }
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        let Some(class) = connection.eviction_class() else {
            return;
        };
        let deadline = connection.inactivity_deadline(&self.limits);
        if connection.unread_since.is_some() {
            // The connection could not be read at this moment and may have received a request.
            let retry_at = now + self.limits.local_error_retry_interval_us;
            self.timers.schedule(retry_at, TimerEvent::CheckClient(key));
        } else if !has_expired(deadline) {
            let regular_check = now + self.limits.client_check_interval_us;
            let next_check = deadline.map_or(regular_check, |at| at.min(regular_check));
            self.timers
                .schedule(next_check, TimerEvent::CheckClient(key));
        } else if matches!(class, EvictionClass::Busy | EvictionClass::Lingering) {
            // The client has neither read its answer nor closed its half in time.
            self.close(now, key, CloseReason::ClientStalled);
        } else {
            self.close_gracefully(now, key, CloseReason::Idle);
        }
    }
}
