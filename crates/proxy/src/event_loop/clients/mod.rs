//! Client connections of both listeners, and how long they may stay open without progress.

mod eviction;
mod fastcgi;
#[cfg(test)]
mod tests;

use super::close_reason::CloseReason;
use super::timer::TimerEvent;
use super::EventLoop;
use crate::net::{SlabKey, WriteStall};
use edge_routing::Micros;
use eviction::EvictionClass;

/// Activity of one client connection.
pub(super) struct ClientActivity {
    /// Start of the connection's current inactivity timeout, in microseconds. The timeout restarts
    /// whenever the connection is found busy, when a request begins to arrive, and when a lingering
    /// close begins.
    pub(super) timeout_start: Micros,
    /// Whether a request was partially received at the last update.
    has_partial_request: bool,
    /// Whether the client accepts the bytes of its answers.
    pub(super) write_stall: WriteStall,
}

impl ClientActivity {
    pub(super) fn new(now: Micros) -> Self {
        ClientActivity {
            timeout_start: now,
            has_partial_request: false,
            write_stall: WriteStall::default(),
        }
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
