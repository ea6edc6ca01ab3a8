//! Connections to cache servers: reading and writing them, and how results reach the request table.

mod attempts;
mod parked;

use super::close_reason::CloseReason;
use super::timer::TimerEvent;
use super::EventLoop;
use crate::net::{BufferedSocket, IoProgress, SlabKey};
use crate::protocol::ProtocolError;
use crate::upstream::{UpstreamConnection, UpstreamEvent};
use edge_routing::{Micros, ServerId};
use parked::ParkedAttempts;
use std::collections::BTreeMap;

/// The open connections to each cache server, oldest first.
#[derive(Default)]
pub(super) struct UpstreamConnections {
    by_server: BTreeMap<ServerId, Vec<SlabKey>>,
    parked: ParkedAttempts,
}

impl UpstreamConnections {
    fn of(&self, server: ServerId) -> &[SlabKey] {
        self.by_server.get(&server).map_or(&[], Vec::as_slice)
    }

    fn all(&self) -> Vec<SlabKey> {
        self.by_server.values().flatten().copied().collect()
    }

    fn add(&mut self, server: ServerId, key: SlabKey) {
        self.by_server.entry(server).or_default().push(key);
    }

    fn remove(&mut self, server: ServerId, key: SlabKey) {
        let Some(keys) = self.by_server.get_mut(&server) else {
            return;
        };
        keys.retain(|other| *other != key);
        if keys.is_empty() {
            self.by_server.remove(&server);
        }
    }
}

impl EventLoop {
    /// Handles what a cache server has sent.
    pub(in crate::event_loop) fn read_upstream(
        &mut self,
        now: Micros,
        key: SlabKey,
    ) -> Result<(), ProtocolError> {
        let Some((transport, upstream)) = self.connections.upstream_mut(key) else {
            return Ok(());
        };
        let server = upstream.server;
        let mut events = Vec::new();
        let result = upstream.read(now, transport, &self.request_table, &mut events);
        if events.iter().any(UpstreamEvent::allows_further_attempt) {
            // The connection remembers such an attempt for a while; the check forgets it.
            self.timers.set(
                now + self.limits.stream_memory_us + 1,
                TimerEvent::CheckUpstream(key),
            );
        }
        self.report_upstream_events(now, server, events);
        result
    }

    /// Reads what a server had sent before its connection broke: those answers still count.
    pub(in crate::event_loop) fn read_remaining_answers(&mut self, now: Micros, key: SlabKey) {
        for _ in 0..self.limits.reads_after_close {
            let is_readable =
                self.connections
                    .upstream(key)
                    .is_some_and(|(transport, upstream)| {
                        transport.connected && upstream.can_parse_further_input(now, &self.limits)
                    });
            let Some((transport, _)) = self.connections.upstream_mut(key).filter(|_| is_readable)
            else {
                return;
            };
            if transport.read(false) != IoProgress::Advanced || self.read(now, key).is_err() {
                return;
            }
        }
    }

    /// Writes queued attempts and sets the timers that follow.
    ///
    /// # Errors
    ///
    /// The connection is to be closed, for this reason.
    pub(in crate::event_loop) fn flush_upstream(
        &mut self,
        now: Micros,
        key: SlabKey,
    ) -> Result<(), CloseReason> {
        let Some((transport, upstream)) = self.connections.upstream_mut(key) else {
            return Ok(());
        };
        let server = upstream.server;
        let mut events = Vec::new();
        let is_usable = upstream.flush(
            now,
            transport,
            &self.request_table,
            &self.limits,
            &mut events,
        );
        let cancelled_over_at = upstream.next_cancellation_report_at(&self.limits);
        let answer_stalls_at = upstream
            .partial_answer_deadline(&self.limits)
            .filter(|_| is_usable);
        let has_output = transport.connected && !transport.output.is_empty();
        let write_stalls_at = has_output.then_some(now + self.limits.server_write_timeout_us);
        for at in [cancelled_over_at, answer_stalls_at, write_stalls_at]
            .into_iter()
            .flatten()
        {
            self.timers.set(at, TimerEvent::CheckUpstream(key));
        }
        // A server that drains or is gone gets nothing new: once all that it owed has come, its
        // connections are of no use, and where its machine has vanished nobody else would end them.
        let is_drained = upstream.is_idle() && !self.request_table.is_server_ready(server);
        self.report_upstream_events(now, server, events);
        if !is_usable {
            return Err(CloseReason::UpstreamUnusable);
        }
        if is_drained {
            return Err(CloseReason::ServerDrained);
        }
        Ok(())
    }

    /// Checks a connection at the time of one of its timers.
    pub(in crate::event_loop) fn check_upstream(&mut self, now: Micros, key: SlabKey) {
        if let Err(reason) = self.flush_upstream(now, key) {
            self.close(now, key, reason);
        }
        self.update_poll_interest(now, key);
        if let Some((_, upstream)) = self.connections.upstream_mut(key) {
            upstream.remove_expired_streams(now, &self.limits);
        }
    }

    /// Reports what was in flight on a connection that is no more in the table. What waited for a
    /// connection that failed by this machine's fault waits for another one.
    pub(in crate::event_loop) fn upstream_closed(
        &mut self,
        now: Micros,
        key: SlabKey,
        transport: &BufferedSocket,
        mut upstream: UpstreamConnection,
        reason: CloseReason,
    ) {
        let server = upstream.server;
        self.upstream_connections.remove(server, key);
        if reason == CloseReason::LocalFailure {
            for attempt in upstream.take_queued_attempts() {
                self.park_attempt(now, attempt, server, now);
            }
        }
        let mut events = Vec::new();
        upstream.close(transport.connected, transport.bytes_written, &mut events);
        self.report_upstream_events(now, server, events);
    }

    /// Tells the request table what became of attempts and probes.
    fn report_upstream_events(
        &mut self,
        now: Micros,
        server: ServerId,
        events: Vec<UpstreamEvent>,
    ) {
        for event in events {
            match event {
                UpstreamEvent::AttemptEnded(attempt, result) => {
                    self.request_table.attempt_ended(now, attempt, result);
                }
                UpstreamEvent::ProbeEnded(outcome, latency_us, load) => {
                    self.request_table
                        .probe_ended(now, server, outcome, latency_us, load);
                }
            }
        }
    }
}
