//! Attempts: which connection one takes, when a connection is opened for it, and how it is taken
//! back.

use crate::event_loop::close_reason::CloseReason;
use crate::event_loop::connections::{ConnectError, ConnectionRole};
use crate::event_loop::timer::TimerEvent;
use crate::event_loop::EventLoop;
use crate::net::{Readiness, SlabKey};
use crate::request_table::AttemptId;
use crate::upstream::UpstreamConnection;
use edge_routing::{Micros, Outcome, ServerId};

/// A connection that can take an attempt. The least one, in the order of the fields, is taken.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// False where an earlier attempt of the same request was cancelled on it.
    is_new_to_request: bool,
    is_connecting: bool,
    attempts_in_flight: usize,
    key: SlabKey,
}

impl Candidate {
    /// Whether the server may have closed the connection without its having been noticed yet.
    fn may_be_closed(&self) -> bool {
        !self.is_connecting && self.attempts_in_flight == 0
    }
}

impl EventLoop {
    /// Sends an attempt on the best connection to its server, or on a new one.
    pub(in crate::event_loop) fn send_attempt(&mut self, now: Micros, attempt: AttemptId) {
        self.send_attempt_since(now, attempt, now);
    }

    /// As `send_attempt`, for an attempt that was first tried at `since`.
    pub(super) fn send_attempt_since(&mut self, now: Micros, attempt: AttemptId, since: Micros) {
        let candidate = self.choose_connection(now, attempt);
        let Some((_, spec)) = self.request_table.attempt_spec(attempt) else {
            return;
        };
        let server = spec.server;
        let key = match candidate {
            Some(candidate) => {
                if self.should_connect_ahead(server, candidate) {
                    // The attempt has a connection, so that nothing depends on this one.
                    let _ = self.connect_upstream(now, server);
                }
                Ok(candidate.key)
            }
            None => self.connect_for_attempt(now, server),
        };
        match key {
            Ok(key) => self.enqueue_attempt(now, attempt, key),
            Err(ConnectError::Local(_) | ConnectError::TableFull) => {
                self.park_attempt(now, attempt, server, since);
            }
            // Nothing was written, so the attempt has not run.
            Err(ConnectError::ServerGone | ConnectError::ServerFull) => {
                self.request_table
                    .attempt_ended(now, attempt, Outcome::NotSent.into());
            }
            Err(ConnectError::Peer(_)) => {
                self.request_table
                    .attempt_ended(now, attempt, Outcome::ConnectFailed.into());
            }
        }
    }

    fn enqueue_attempt(&mut self, now: Micros, attempt: AttemptId, key: SlabKey) {
        if let Some((_, upstream)) = self.connections.upstream_mut(key) {
            upstream.enqueue(attempt);
        }
        if let Err(reason) = self.flush_upstream(now, key) {
            self.close(now, key, reason);
        }
        self.update_poll_interest(now, key);
    }

    /// The best connection for an attempt. Where nothing is in flight on it, the server may have
    /// closed it by now: what is written to such a connection is lost, and nobody could tell
    /// whether it ran. So it is read first.
    fn choose_connection(&mut self, now: Micros, attempt: AttemptId) -> Option<Candidate> {
        loop {
            let candidate = self.best_connection(attempt)?;
            if !candidate.may_be_closed() {
                return Some(candidate);
            }
            self.handle_readiness(
                now,
                candidate.key,
                Readiness::readable(candidate.key.to_u64()),
            );
            if self.connections.get(candidate.key).is_some() {
                return Some(candidate);
            }
        }
    }

    fn best_connection(&self, attempt: AttemptId) -> Option<Candidate> {
        let (request, spec) = self.request_table.attempt_spec(attempt)?;
        let request_id = request.id.as_str();
        let candidate = |key: &SlabKey| {
            let (transport, upstream) = self.connections.upstream(*key)?;
            let attempts_in_flight =
                upstream.load_if_available(request_id, &self.request_table, &self.limits)?;
            Some(Candidate {
                is_new_to_request: !upstream.has_recent_cancellation(request_id),
                is_connecting: !transport.connected,
                attempts_in_flight,
                key: *key,
            })
        };
        let keys = self.upstream_connections.of(spec.server);
        keys.iter().filter_map(candidate).min()
    }

    /// Whether a further connection is opened although an attempt has one.
    ///
    /// One answer that can't be read ends everything in flight on its connection: the more
    /// connections, the less is lost at once. The next one is opened ahead of its use, so that no
    /// attempt waits for it.
    fn should_connect_ahead(&self, server: ServerId, candidate: Candidate) -> bool {
        let keys = self.upstream_connections.of(server);
        let is_shared = candidate.attempts_in_flight >= self.limits.attempts_before_new_connection;
        let has_spare_slots = self.connections.free_slots() > self.limits.spare_connections;
        let is_connected = |key: &SlabKey| {
            let connection = self.connections.get(*key);
            connection.is_some_and(|connection| connection.transport.connected)
        };
        is_shared
            && has_spare_slots
            && keys.len() < self.limits.connections_per_server
            && keys.iter().all(is_connected)
    }

    /// Opens a connection for an attempt that found none with room. Where the server has as many as
    /// it may, one that went unresponsive makes room: it may stay so for good without ever being
    /// reported as broken.
    fn connect_for_attempt(
        &mut self,
        now: Micros,
        server: ServerId,
    ) -> Result<SlabKey, ConnectError> {
        let keys = self.upstream_connections.of(server);
        if keys.len() >= self.limits.connections_per_server {
            let is_unresponsive = |key: &SlabKey| {
                let upstream = self.connections.upstream(*key);
                upstream.is_some_and(|(_, upstream)| upstream.is_unresponsive())
            };
            let unresponsive = keys.iter().copied().find(is_unresponsive);
            let unresponsive = unresponsive.ok_or(ConnectError::ServerFull)?;
            self.close(now, unresponsive, CloseReason::Unresponsive);
        }
        self.connect_upstream(now, server)
    }

    /// Begins a connection to a cache server.
    fn connect_upstream(&mut self, now: Micros, server: ServerId) -> Result<SlabKey, ConnectError> {
        if !self.has_free_connection_slot() {
            return Err(ConnectError::TableFull);
        }
        let address = self.request_table.server_address(server);
        let address = address.ok_or(ConnectError::ServerGone)?.address;
        let upstream = UpstreamConnection::new(server, &self.limits, now);
        let key = self.connect_to(now, address, ConnectionRole::Upstream(upstream))?;
        self.upstream_connections.add(server, key);
        Ok(key)
    }

    /// Cancels an attempt, wherever it is queued or in flight.
    pub(in crate::event_loop) fn cancel_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        server: ServerId,
    ) {
        if self.cancel_parked_attempt(now, attempt) {
            return;
        }
        for key in self.upstream_connections.of(server).to_vec() {
            let Some((transport, upstream)) = self.connections.upstream_mut(key) else {
                continue;
            };
            let mut events = Vec::new();
            let is_usable = upstream.cancel(now, attempt, transport, &mut events);
            self.report_upstream_events(now, server, events);
            self.timers.set(
                now + self.limits.stream_memory_us,
                TimerEvent::CheckUpstream(key),
            );
            let flushed = if is_usable {
                self.flush_upstream(now, key)
            } else {
                Err(CloseReason::UpstreamUnusable)
            };
            if let Err(reason) = flushed {
                self.close(now, key, reason);
            }
            self.update_poll_interest(now, key);
        }
    }

    /// Takes back an attempt of which nothing is written yet.
    pub(in crate::event_loop) fn dequeue_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        server: ServerId,
    ) {
        if self.cancel_parked_attempt(now, attempt) {
            return;
        }
        for key in self.upstream_connections.of(server).to_vec() {
            let Some((transport, upstream)) = self.connections.upstream_mut(key) else {
                continue;
            };
            let mut events = Vec::new();
            if upstream.dequeue(attempt, transport, &mut events) {
                return self.report_upstream_events(now, server, events);
            }
        }
    }

    /// Takes back everything not written yet that would go to a server that drains or is gone, or
    /// that another server would fill from it.
    pub(in crate::event_loop) fn drain_server(&mut self, now: Micros, server: ServerId) {
        self.drain_parked_attempts(now, server);
        for key in self.upstream_connections.all() {
            let Some((transport, upstream)) = self.connections.upstream_mut(key) else {
                continue;
            };
            let connected_to = upstream.server;
            let mut events = Vec::new();
            let is_usable =
                upstream.drain_server(server, transport, &self.request_table, &mut events);
            let is_drained = connected_to == server && upstream.is_idle();
            self.report_upstream_events(now, connected_to, events);
            if !is_usable || is_drained {
                // The server's address may be given to another one.
                self.close(now, key, CloseReason::ServerDrained);
            }
        }
    }

    /// Asks a server for its load, on the oldest connection to it.
    pub(in crate::event_loop) fn probe(&mut self, now: Micros, server: ServerId) {
        let key = self.upstream_connections.of(server).first().copied();
        let probed = key.filter(|key| {
            self.connections
                .upstream_mut(*key)
                .is_some_and(|(transport, upstream)| upstream.probe(now, transport))
        });
        match probed {
            Some(key) => {
                // A connection that can't be written shows as broken by itself.
                let _ = self.write(now, key);
            }
            None => {
                self.request_table
                    .probe_ended(now, server, Outcome::ConnectFailed, 0, None);
            }
        }
    }
}
