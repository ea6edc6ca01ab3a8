//! Attempts: chooses the connection for an attempt, opens connections, and cancels attempts.

use crate::event_loop::close_reason::CloseReason;
use crate::event_loop::connections::{ConnectError, ConnectionRole};
use crate::event_loop::EventLoop;
use crate::net::{Readiness, SlabKey};
use crate::request_table::AttemptId;
use crate::upstream::UpstreamConnection;
use edge_routing::{Micros, Outcome, ServerId};

/// A connection that can carry an attempt. Candidates are compared field by field, and the smallest
/// one is chosen.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// False if an earlier attempt with the same request id was cancelled on the connection. Such a
    /// connection is preferred, because `false` sorts first.
    has_no_cancelled_attempt: bool,
    is_connecting: bool,
    outstanding_count: usize,
    key: SlabKey,
}

impl Candidate {
    /// Returns whether the server may have closed the connection without the proxy having noticed.
    fn may_be_closed(&self) -> bool {
        !self.is_connecting && self.outstanding_count == 0
    }
}

impl EventLoop {
    /// Sends an attempt on the best connection to its server, or on a new connection.
    pub(in crate::event_loop) fn send_attempt(&mut self, now: Micros, attempt: AttemptId) {
        self.send_attempt_first_tried_at(now, attempt, now);
    }

    /// Sends an attempt like `send_attempt`. `first_tried_at` is the time at which sending the
    /// attempt was first tried.
    pub(super) fn send_attempt_first_tried_at(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        first_tried_at: Micros,
    ) {
        let candidate = self.choose_connection(now, attempt);
        let Some((_, spec)) = self.request_table.attempt_spec(attempt) else {
            return;
        };
        let server = spec.server;
        let key = match candidate {
            Some(candidate) => {
                if self.should_open_spare_connection(server, candidate) {
                    // A failure has no consequence, because the attempt already has a connection.
                    let _ = self.connect_upstream(now, server);
                }
                Ok(candidate.key)
            }
            None => self.connect_for_attempt(now, server),
        };
        match key {
            Ok(key) => self.enqueue_attempt(now, attempt, key),
            Err(ConnectError::Local(_) | ConnectError::TableFull) => {
                self.park_attempt(now, attempt, server, first_tried_at);
            }
            // Nothing was written, so the server cannot have executed the attempt.
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
        if let Err(reason) = self.write(now, key) {
            self.close(now, key, reason);
        }
    }

    /// Returns the best connection for an attempt, or `None` if no connection can carry it.
    ///
    /// A connection with nothing in flight is read first, because the server may have closed it. An
    /// attempt that is written to a closed connection is lost, and the proxy could not determine
    /// whether the attempt was executed.
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
            let outstanding_count = upstream.outstanding_count_if_available(
                request_id,
                &self.request_table,
                &self.limits,
            )?;
            Some(Candidate {
                has_no_cancelled_attempt: !upstream.has_recent_cancellation(request_id),
                is_connecting: !transport.is_connected,
                outstanding_count,
                key: *key,
            })
        };
        let keys = self.upstream_connections.keys_of(spec.server);
        keys.iter().filter_map(candidate).min()
    }

    /// Returns whether to open a further connection to a server although the attempt already has
    /// one.
    ///
    /// An answer that cannot be parsed ends all attempts in flight on its connection, so with more
    /// connections fewer attempts are lost at once. The next connection is opened before it is
    /// needed, so that no attempt waits for it.
    fn should_open_spare_connection(&self, server: ServerId, candidate: Candidate) -> bool {
        let keys = self.upstream_connections.keys_of(server);
        let is_shared = candidate.outstanding_count >= self.limits.attempts_before_new_connection;
        let has_spare_slots = self.connections.free_slots() > self.limits.spare_connections;
        let is_connected = |key: &SlabKey| {
            let connection = self.connections.get(*key);
            connection.is_some_and(|connection| connection.transport.is_connected)
        };
        is_shared
            && has_spare_slots
            && keys.len() < self.limits.connections_per_server
            && keys.iter().all(is_connected)
    }

    /// Opens a connection for an attempt that no existing connection can carry. If the server has
    /// the maximum number of connections, an unresponsive one is closed to make room, because it
    /// may stay unresponsive forever without being reported as broken.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be opened or none can be replaced.
    fn connect_for_attempt(
        &mut self,
        now: Micros,
        server: ServerId,
    ) -> Result<SlabKey, ConnectError> {
        let keys = self.upstream_connections.keys_of(server);
        if keys.len() >= self.limits.connections_per_server {
            let is_unresponsive = |key: &SlabKey| {
                let upstream = self.connections.upstream(*key);
                upstream.is_some_and(|(_, upstream)| upstream.is_unresponsive())
            };
            let unresponsive = keys.iter().copied().find(is_unresponsive);
            let unresponsive = unresponsive.ok_or(ConnectError::ServerFull)?;
            self.close(now, unresponsive, CloseReason::UpstreamUnresponsive);
        }
        self.connect_upstream(now, server)
    }

    /// Opens a connection to a cache server without waiting until it is established.
    ///
    /// # Errors
    ///
    /// Returns an error if the table is full, the server has left the endpoint list, or the
    /// connection cannot be opened.
    fn connect_upstream(&mut self, now: Micros, server: ServerId) -> Result<SlabKey, ConnectError> {
        if !self.has_free_connection_slot() {
            return Err(ConnectError::TableFull);
        }
        let address = self.request_table.server_address(server);
        let address = address.ok_or(ConnectError::ServerGone)?.address;
        let upstream = UpstreamConnection::new(server, &self.limits, now);
        let key = self.connect_to(now, address, ConnectionRole::Upstream(Box::new(upstream)))?;
        self.upstream_connections.add(server, key);
        Ok(key)
    }

    /// Cancels an attempt, whether it is parked, queued or in flight.
    pub(in crate::event_loop) fn cancel_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        server: ServerId,
    ) {
        if self.cancel_parked_attempt(now, attempt) {
            return;
        }
        for key in self.upstream_connections.keys_of(server).to_vec() {
            let Some((transport, upstream)) = self.connections.upstream_mut(key) else {
                continue;
            };
            let mut events = Vec::new();
            let is_usable = upstream.cancel(now, attempt, transport, &mut events);
            self.report_upstream_events(now, server, events);
            let flushed = if is_usable {
                self.write(now, key)
            } else {
                Err(CloseReason::UpstreamUnusable)
            };
            if let Err(reason) = flushed {
                self.close(now, key, reason);
            }
        }
    }

    /// Removes an attempt of which no byte is written yet and reports it as cancelled. An attempt
    /// that is partly or completely written is not affected.
    pub(in crate::event_loop) fn dequeue_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        server: ServerId,
    ) {
        if self.cancel_parked_attempt(now, attempt) {
            return;
        }
        for key in self.upstream_connections.keys_of(server).to_vec() {
            let Some((transport, upstream)) = self.connections.upstream_mut(key) else {
                continue;
            };
            let mut events = Vec::new();
            if upstream.dequeue(attempt, transport, &mut events) {
                return self.report_upstream_events(now, server, events);
            }
        }
    }

    /// Handles a server that is draining or gone. Removes the attempts of which no byte is written
    /// yet and which would be sent to this server or filled from it, and reports them as not sent.
    /// Closes the connections from which such an attempt can't be removed, and the connections to
    /// this server that await no answer.
    pub(in crate::event_loop) fn drain_server(&mut self, now: Micros, server: ServerId) {
        self.drain_parked_attempts(now, server);
        for key in self.upstream_connections.all_keys() {
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
                // An attempt that can't be removed must not be written. The address of a drained
                // server may be reassigned to another server.
                self.close(now, key, CloseReason::ServerDrained);
            }
        }
    }

    /// Sends a probe for the load of a server, on the oldest connection to it. Without a usable
    /// connection the probe ends as failed.
    pub(in crate::event_loop) fn probe(&mut self, now: Micros, server: ServerId) {
        let key = self.upstream_connections.keys_of(server).first().copied();
        let probed = key.filter(|key| {
            self.connections
                .upstream_mut(*key)
                .is_some_and(|(transport, upstream)| upstream.probe(now, transport))
        });
        match probed {
            Some(key) => {
                // The poller reports a connection that cannot be written as broken.
                let _ = self.write(now, key);
            }
            None => {
                self.request_table
                    .probe_ended(now, server, Outcome::ConnectFailed, 0, None);
            }
        }
    }
}
