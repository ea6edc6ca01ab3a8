//! Which client connections may be ended for which reason, and which one makes room for a new one.

use crate::event_loop::connections::{Connection, ConnectionRole};
use crate::event_loop::EventLoop;
use crate::limits::Limits;
use crate::net::SlabKey;
use edge_routing::Micros;
use std::io;

/// What a client connection does, in the order in which connections make room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionClass {
    /// It is shut down from this side, and may be closed.
    Lingering,
    /// It has sent no request yet.
    NoRequest,
    /// A request is partially received.
    PartialRequest,
    /// All its requests are answered.
    Idle,
    /// It waits for an answer, or one is on its way out.
    Busy,
}

/// When a connection is ended that has been of one class since a given time. None while answers are
/// owed to it.
pub(super) fn idle_deadline(
    class: EvictionClass,
    unanswered_requests: usize,
    since: Micros,
    limits: &Limits,
) -> Option<Micros> {
    let timeout_us = match class {
        EvictionClass::Lingering => limits.lingering_close_us,
        EvictionClass::NoRequest | EvictionClass::PartialRequest => {
            limits.client_request_timeout_us
        }
        EvictionClass::Idle => limits.client_idle_timeout_us,
        EvictionClass::Busy if unanswered_requests > 0 => return None,
        // Its answers are ready, and the client does not take them.
        EvictionClass::Busy => limits.client_write_timeout_us,
    };
    Some(since + timeout_us)
}

impl Connection {
    /// The class of a client connection; none for the others.
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

    /// When a client connection that stays as it is will be ended.
    pub(super) fn idle_deadline(&self, limits: &Limits) -> Option<Micros> {
        let session = self.role.client_session();
        let unanswered = session.map_or(0, |session| session.unanswered());
        idle_deadline(
            self.eviction_class()?,
            unanswered,
            self.activity.since,
            limits,
        )
    }
}

impl EventLoop {
    /// The connection to close for one more client; none where there is room, an error where there
    /// is none to be made.
    ///
    /// Where the table is full, the connection that is least likely to be used again makes room:
    /// many connections that never send a request, or clients that send one and keep the connection
    /// for good, must not shut out all others. A connection that was opened a moment ago is spared,
    /// because its request is on its way, and so is one whose request has arrived but was not read
    /// yet.
    pub(in crate::event_loop) fn make_room_for_client(
        &mut self,
        now: Micros,
    ) -> io::Result<Option<SlabKey>> {
        loop {
            let is_below_limit = self.clients.connections < self.limits.client_connections;
            if is_below_limit && self.has_free_connection_slot() {
                return Ok(None);
            }
            let candidate = self
                .eviction_candidate(now)
                .ok_or(io::ErrorKind::OutOfMemory)?;
            self.read_pending_input(now, candidate);
            let could_not_be_read = self
                .connections
                .get(candidate)
                .is_some_and(|connection| connection.unread_since.is_some());
            if could_not_be_read {
                return Err(io::ErrorKind::OutOfMemory.into());
            }
            // Unless it had sent something, and another one is the candidate now.
            if self.eviction_candidate(now) == Some(candidate) {
                return Ok(Some(candidate));
            }
        }
    }

    /// The client connection that is the first to make room: by class, then the one that has been
    /// in it longest.
    fn eviction_candidate(&self, now: Micros) -> Option<SlabKey> {
        let latest_evictable = now.saturating_sub(self.limits.eviction_immunity_us);
        let rank = |key: SlabKey| {
            let connection = self.connections.get(key)?;
            let class = connection.eviction_class()?;
            let since = connection.activity.since;
            let may_leave = class != EvictionClass::Busy && since <= latest_evictable;
            may_leave.then_some((class, since, key))
        };
        let keys = self.connections.keys();
        let (.., candidate) = keys.into_iter().filter_map(rank).min()?;
        Some(candidate)
    }
}
