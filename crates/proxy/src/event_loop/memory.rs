//! The memory budget: keeps the account of all connections and tables, and frees memory when it has
//! run out. The order in which that happens is in `memory::policy`.

use super::close_reason::CloseReason;
use super::connections::{Connection, ConnectionRole};
use super::EventLoop;
use crate::memory::{MemoryKind, TableSizes};
use crate::net::SlabKey;
use edge_routing::Micros;
use std::cmp::Reverse;

/// Interval at which the memory of the routing module is read, which goes over all servers.
const ROUTER_MEMORY_INTERVAL_US: Micros = 100_000;

/// The memory of the routing module when it was last read.
#[derive(Clone, Copy, Default)]
pub(super) struct RouterMemory {
    held_bytes: usize,
    next_update_at: Micros,
}

impl EventLoop {
    /// Updates the memory of the buffers and of the session of a connection.
    pub(super) fn update_connection_memory(&mut self, now: Micros, key: SlabKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let input_bytes = connection.transport.input.allocated_bytes();
        let output_bytes = connection.transport.output.allocated_bytes();
        let share = &mut connection.memory_share;
        let mut set = |kind, bytes| self.memory.set(share, kind, bytes);
        let Some(session) = connection.role.client_session() else {
            return set(MemoryKind::ServerBuffers, input_bytes + output_bytes);
        };
        let partial_bytes = session.partial_request_bytes() + input_bytes;
        set(MemoryKind::PartialRequests, partial_bytes);
        let unsent_bytes = session.unsent_bytes() + output_bytes;
        set(MemoryKind::UnsentAnswers, unsent_bytes);
        set(MemoryKind::Tables, session.table_bytes());
        let activity = &mut connection.activity;
        activity.write_stall.update(now, &connection.transport);
    }

    /// Updates the memory of the admitted requests.
    pub(super) fn update_request_memory(&mut self) {
        let requests = &self.request_table;
        self.memory
            .set_requests(requests.pending_requests(), requests.held_body_bytes());
    }

    /// Updates the memory of everything that belongs to no single connection.
    pub(super) fn update_table_memory(&mut self, now: Micros) {
        self.update_request_memory();
        if now >= self.router_memory.next_update_at {
            self.router_memory = RouterMemory {
                held_bytes: self.request_table.router_held_bytes(),
                next_update_at: now + ROUTER_MEMORY_INTERVAL_US,
            };
        }
        self.memory.set_tables(TableSizes {
            connections: self.connections.len(),
            timers: self.timers.len(),
            ended_streams: self.upstream_connections.total_ended_streams(),
            router_bytes: self.router_memory.held_bytes,
        });
    }

    /// Rejects requests that are partially received while memory does not suffice for them, those of
    /// the connection that holds the most first. The connection stays open, because it should not
    /// lose its answers over what others hold, and because a client that has to connect again costs
    /// more than the rest of its rejected requests.
    pub(super) fn enforce_partial_request_limit(&mut self, now: Micros) {
        while let Some(min_bytes) = self.memory.droppable_partial_request_bytes() {
            let Some((held_bytes, largest)) = self.largest_partial_request() else {
                return;
            };
            if held_bytes < min_bytes {
                return;
            }
            log::debug!(
                "{} bytes of memory are held, of at most {}: rejecting the partially received \
                 requests of connection {:x}, which hold {held_bytes}",
                self.memory.held_bytes(),
                self.memory.limit_bytes(),
                largest.to_u64()
            );
            self.memory.count_rejected_partial_requests();
            if !self.reject_partial_requests(now, largest) {
                self.close_gracefully(now, largest, CloseReason::PartialRequestLimit);
            }
        }
    }

    /// Returns the client connection whose partially received requests hold the most bytes, with
    /// these bytes.
    fn largest_partial_request(&self) -> Option<(usize, SlabKey)> {
        let held_bytes = |key: SlabKey| {
            let session = self.connections.get(key)?.role.client_session()?;
            let bytes = session.partial_request_bytes();
            (bytes > 0).then_some((bytes, key))
        };
        let keys = self.connections.keys();
        keys.into_iter().filter_map(held_bytes).max()
    }

    /// Rejects the partially received requests of a FastCGI connection. Returns false for any other
    /// connection: a peer CDN sends one request at a time, which is ended with the connection.
    fn reject_partial_requests(&mut self, now: Micros, key: SlabKey) -> bool {
        let Some(Connection {
            role: ConnectionRole::FastCgiClient(session),
            ..
        }) = self.connections.get_mut(key)
        else {
            return false;
        };
        session.reject_partial_requests();
        // The poller reports a connection that cannot be written as broken.
        let _ = self.write(now, key);
        true
    }

    /// Notes that a connection to a server waits for memory, behind those that wait already.
    pub(super) fn note_if_waiting_for_memory(&mut self, key: SlabKey) {
        let upstream = self.connections.upstream(key);
        if upstream.is_some_and(|(_, upstream)| upstream.waits_for_memory()) {
            self.upstream_connections.add_waiting_for_memory(key);
        }
    }

    /// Lets the connections that wait for memory go on, in the order in which they began to wait, as
    /// far as memory is free. If it is not, frees memory for the next turn.
    pub(super) fn resume_connections_waiting_for_memory(&mut self, now: Micros) {
        for key in self.upstream_connections.take_waiting_for_memory() {
            // A body for which no client waits any more needs no memory.
            let still_waits = self
                .connections
                .upstream(key)
                .is_some_and(|(_, upstream)| upstream.still_waits_for_memory(&self.request_table));
            if !still_waits || !self.upstream_connections.is_any_waiting_for_memory() {
                self.read_available_input(now, key);
            }
            self.note_if_waiting_for_memory(key);
        }
        if self.upstream_connections.is_any_waiting_for_memory() {
            self.drop_unread_answers(now);
        }
    }

    /// Drops the answers of the client that holds the most bytes of those that do not read. Answers
    /// of which nothing is sent yet are replaced by failures. If there are none, and all requests on
    /// the connection are answered, the connection is closed, so that the client can tell that the
    /// answer which it has begun to read is not complete.
    fn drop_unread_answers(&mut self, now: Micros) {
        let unread_bytes = |key: SlabKey| {
            let connection = self.connections.get(key)?;
            let stalled_since = connection.activity.write_stall.since()?;
            let bytes = connection.memory_share.bytes(MemoryKind::UnsentAnswers);
            let is_stalled = stalled_since + self.limits.stalled_reader_us <= now;
            is_stalled.then_some((Reverse(bytes), key))
        };
        let mut stalled: Vec<_> = self
            .connections
            .keys()
            .into_iter()
            .filter_map(unread_bytes)
            .collect();
        stalled.sort_unstable();
        for (_, key) in stalled {
            if self.drop_unread_answers_of(now, key) {
                return;
            }
        }
    }

    /// Drops the answers of a client that does not read. Returns false if that frees no memory.
    fn drop_unread_answers_of(&mut self, now: Micros, key: SlabKey) -> bool {
        let Some(connection) = self.connections.get_mut(key) else {
            return false;
        };
        let replaced = match &mut connection.role {
            ConnectionRole::FastCgiClient(session) => session.fail_unwritten_answers(),
            _ => 0,
        };
        if replaced > 0 {
            log::debug!(
                "memory has run out: replacing {replaced} answers that connection {:x} does not \
                 read by failures",
                key.to_u64()
            );
            self.memory.count_dropped_answers(replaced);
            self.update_connection_memory(now, key);
            return true;
        }
        let session = connection.role.client_session();
        let is_answered = session.is_some_and(|session| session.unanswered_requests() == 0);
        if is_answered {
            self.memory.count_dropped_answers(1);
            self.close(now, key, CloseReason::ClientStalled);
        }
        is_answered
    }
}
