//! Inactivity deadlines of client connections, and the choice of the connection to evict for a new
//! client.

use crate::event_loop::connections::{Connection, ConnectionRole};
use crate::event_loop::EventLoop;
use crate::limits::Limits;
use crate::net::SlabKey;
use edge_routing::Micros;
use std::io;

/// Activity class of a client connection, in the order in which connections are evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionClass {
    /// The connection is in a lingering close and may be closed at any time.
    Lingering,
    /// The client has not sent a request yet.
    NoRequest,
    /// A request is partially received.
    PartialRequest,
    /// All requests on the connection are answered.
    Idle,
    /// The client awaits an answer, or an answer is being written. Never evicted.
    Busy,
}

/// Returns the time at which an inactive connection is closed, in microseconds. The timeout depends
/// on the class of the connection and starts at `timeout_start`. Returns `None` while requests on
/// the connection are unanswered.
pub(super) fn inactivity_deadline(
    class: EvictionClass,
    unanswered_requests: usize,
    timeout_start: Micros,
    limits: &Limits,
) -> Option<Micros> {
    let timeout_us = match class {
        EvictionClass::Lingering => limits.lingering_close_us,
        EvictionClass::NoRequest | EvictionClass::PartialRequest => {
            limits.client_request_timeout_us
        }
        EvictionClass::Idle => limits.client_idle_timeout_us,
        EvictionClass::Busy if unanswered_requests > 0 => return None,
        // All answers are ready, and the client does not read them.
        EvictionClass::Busy => limits.client_write_timeout_us,
    };
    Some(timeout_start + timeout_us)
}

impl Connection {
    /// Returns the class of a client connection, or `None` for any other connection.
    pub(super) fn eviction_class(&self) -> Option<EvictionClass> {
        if matches!(self.role, ConnectionRole::Lingering { .. }) {
            return Some(EvictionClass::Lingering);
        }
        let session = self.role.client_session()?;
        Some(if session.is_busy() || !self.transport.output.is_empty() {
            EvictionClass::Busy
        } else if session.has_partial_input() || !self.transport.input.is_empty() {
            EvictionClass::PartialRequest
        } else if session.has_received_request() {
            EvictionClass::Idle
        } else {
            EvictionClass::NoRequest
        })
    }

    /// Returns the time at which a client connection is closed if it stays inactive. Returns `None`
    /// while requests on it are unanswered, and for any other connection.
    pub(super) fn inactivity_deadline(&self, limits: &Limits) -> Option<Micros> {
        let session = self.role.client_session();
        let unanswered = session.map_or(0, |session| session.unanswered_requests());
        inactivity_deadline(
            self.eviction_class()?,
            unanswered,
            self.activity.timeout_start,
            limits,
        )
    }
}

impl EventLoop {
    /// Returns the connection to close so that one more client can be accepted, or `None` if there
    /// is a free slot.
    ///
    /// When no slot is free, the connection that is least likely to be used again is evicted.
    /// Connections that never send a request, or that stay open after one request, must not be able
    /// to lock out all other clients. A connection that was opened a moment ago is not evicted,
    /// because its request may be on its way. A connection whose request has arrived but is not
    /// read yet is not evicted either.
    ///
    /// # Errors
    ///
    /// Returns an error of the kind `OutOfMemory` if no connection can be evicted.
    pub(in crate::event_loop) fn make_room_for_client(
        &mut self,
        now: Micros,
    ) -> io::Result<Option<SlabKey>> {
        loop {
            let is_below_limit = self.client_connections < self.limits.client_connections;
            if is_below_limit && self.has_free_connection_slot() {
                return Ok(None);
            }
            let candidate = self
                .eviction_candidate(now)
                .ok_or(io::ErrorKind::OutOfMemory)?;
            self.read_available_input(now, candidate);
            let could_not_be_read = self
                .connections
                .get(candidate)
                .is_some_and(|connection| connection.unread_since.is_some());
            if could_not_be_read {
                return Err(io::ErrorKind::OutOfMemory.into());
            }
            // If input on the candidate was read just now, another connection may be the candidate.
            if self.eviction_candidate(now) == Some(candidate) {
                return Ok(Some(candidate));
            }
        }
    }

    /// Returns the client connection to evict first: the one of the lowest class, and within a
    /// class the one with the earliest start of its timeout. Returns `None` if no connection may be
    /// evicted.
    fn eviction_candidate(&self, now: Micros) -> Option<SlabKey> {
        let latest_evictable_start = now.saturating_sub(self.limits.eviction_grace_us);
        let rank = |key: SlabKey| {
            let connection = self.connections.get(key)?;
            let class = connection.eviction_class()?;
            let timeout_start = connection.activity.timeout_start;
            let is_evictable =
                class != EvictionClass::Busy && timeout_start <= latest_evictable_start;
            is_evictable.then_some((class, timeout_start, key))
        };
        let keys = self.connections.keys();
        let (.., candidate) = keys.into_iter().filter_map(rank).min()?;
        Some(candidate)
    }
}
