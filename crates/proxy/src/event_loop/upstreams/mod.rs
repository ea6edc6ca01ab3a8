//! Connections to cache servers: writes and checks them, and reports results to the request table.

mod answers;
mod attempts;
mod parked;

use super::close_reason::CloseReason;
use super::timer::TimerEvent;
use super::EventLoop;
use crate::net::{BufferedSocket, SlabKey, TimerKey};
use crate::upstream::{UpstreamConnection, UpstreamEvent, WriteContext};
use edge_routing::{Micros, ServerId};
use parked::ParkedAttempts;
use std::collections::{BTreeMap, VecDeque};

/// The next check of a connection.
struct ScheduledCheck {
    at: Micros,
    timer: TimerKey,
}

/// The open connections to each cache server, oldest first, and the parked attempts.
#[derive(Default)]
pub(super) struct UpstreamConnections {
    by_server: BTreeMap<ServerId, Vec<SlabKey>>,
    /// The next check of each connection that has one. Every flush asks for a check, so without this
    /// table the timers of a busy connection would accumulate.
    checks: BTreeMap<SlabKey, ScheduledCheck>,
    /// The number of ended streams that each connection kept when it was last flushed. Retired
    /// connections, which are about to be closed, are left out.
    ended_streams: BTreeMap<SlabKey, usize>,
    /// The sum of `ended_streams`.
    total_ended_streams: usize,
    parked: ParkedAttempts,
    /// Connections that wait for memory, in the order in which they began to wait.
    waiting_for_memory: VecDeque<SlabKey>,
}

impl UpstreamConnections {
    fn keys_of(&self, server: ServerId) -> &[SlabKey] {
        self.by_server.get(&server).map_or(&[], Vec::as_slice)
    }

    fn all_keys(&self) -> Vec<SlabKey> {
        self.by_server.values().flatten().copied().collect()
    }

    fn add(&mut self, server: ServerId, key: SlabKey) {
        self.by_server.entry(server).or_default().push(key);
    }

    pub(super) fn total_ended_streams(&self) -> usize {
        self.total_ended_streams
    }

    pub(super) fn is_any_waiting_for_memory(&self) -> bool {
        !self.waiting_for_memory.is_empty()
    }

    /// Adds a connection to those that wait for memory, unless it is one of them.
    pub(super) fn add_waiting_for_memory(&mut self, key: SlabKey) {
        if !self.waiting_for_memory.contains(&key) {
            self.waiting_for_memory.push_back(key);
        }
    }

    /// Removes and returns the connections that wait for memory, in their order.
    pub(super) fn take_waiting_for_memory(&mut self) -> VecDeque<SlabKey> {
        std::mem::take(&mut self.waiting_for_memory)
    }

    /// Records how many ended streams a connection keeps.
    fn set_ended_streams(&mut self, key: SlabKey, count: usize) {
        let before = if count > 0 {
            self.ended_streams.insert(key, count)
        } else {
            self.ended_streams.remove(&key)
        };
        self.total_ended_streams = self.total_ended_streams + count - before.unwrap_or(0);
    }

    /// Returns the connection that keeps the most ended streams, or `None` if none keeps any.
    fn with_most_ended_streams(&self) -> Option<SlabKey> {
        let largest = self.ended_streams.iter().max_by_key(|(_, count)| **count);
        largest.map(|(key, _)| *key)
    }

    fn remove(&mut self, server: ServerId, key: SlabKey) {
        self.set_ended_streams(key, 0);
        self.waiting_for_memory.retain(|waiting| *waiting != key);
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
    /// Writes queued attempts, and sets the timers for checking the connection again.
    ///
    /// # Errors
    ///
    /// Returns the reason for closing the connection if it is unusable, or if its server is
    /// draining or gone and no answer is awaited.
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
        let mut context = WriteContext {
            now,
            request_table: &self.request_table,
            limits: &self.limits,
            memory: &mut self.memory,
        };
        let is_usable = upstream.flush(&mut context, transport, &mut events);
        let next_check_at = upstream.next_check_at(&self.limits);
        let is_idle = upstream.is_idle();
        // A server that is draining or gone gets no new attempts. Its connections are closed once
        // all awaited answers have arrived. If its machine has vanished, nothing else would close
        // them.
        let is_drained = is_idle && !self.request_table.is_server_ready(server);
        let is_retired = is_idle && upstream.is_retired();
        self.note_if_waiting_for_memory(key);
        self.report_upstream_events(now, server, events);
        if !is_usable {
            return Err(CloseReason::UpstreamUnusable);
        }
        if is_drained {
            return Err(CloseReason::ServerDrained);
        }
        if is_retired {
            return Err(CloseReason::EndedStreamLimit);
        }
        if let Some(at) = next_check_at {
            self.schedule_upstream_check(key, at);
        }
        self.enforce_ended_stream_limit(now, key);
        Ok(())
    }

    /// Enforces the limit on the ended streams that all connections keep. While it is exceeded, the
    /// connection that keeps the most is retired: it takes no further attempts and is closed once it
    /// is idle. No late answer can arrive on a connection that is closed.
    fn enforce_ended_stream_limit(&mut self, now: Micros, key: SlabKey) {
        let Some((_, upstream)) = self.connections.upstream_mut(key) else {
            return;
        };
        if upstream.is_retired() {
            return;
        }
        let ended_streams = upstream.ended_streams();
        self.upstream_connections
            .set_ended_streams(key, ended_streams);
        while self.upstream_connections.total_ended_streams > self.limits.ended_streams {
            let Some(largest) = self.upstream_connections.with_most_ended_streams() else {
                return;
            };
            log::info!(
                "connections to cache servers keep {} ended streams, over the limit of {}: \
                 replacing connection {:x}, which keeps the most",
                self.upstream_connections.total_ended_streams,
                self.limits.ended_streams,
                largest.to_u64()
            );
            self.upstream_connections.set_ended_streams(largest, 0);
            if let Some((_, upstream)) = self.connections.upstream_mut(largest) {
                upstream.retire();
            }
            // The connection may be idle already.
            self.schedule_upstream_check(largest, now);
        }
    }

    /// Schedules a check of a connection at a time, unless an earlier one is scheduled. Each check
    /// schedules the next one.
    fn schedule_upstream_check(&mut self, key: SlabKey, at: Micros) {
        let checks = &mut self.upstream_connections.checks;
        if checks.get(&key).is_some_and(|check| check.at <= at) {
            return;
        }
        let timer = self.timers.schedule(at, TimerEvent::CheckUpstream(key));
        if let Some(later) = checks.insert(key, ScheduledCheck { at, timer }) {
            self.timers.cancel(later.timer);
        }
    }

    /// Checks a connection when its check is due, and closes it if it is of no further use.
    pub(in crate::event_loop) fn check_upstream(&mut self, now: Micros, key: SlabKey) {
        self.upstream_connections.checks.remove(&key);
        if let Some((_, upstream)) = self.connections.upstream_mut(key) {
            upstream.remove_expired_streams(now, &self.limits);
        }
        if let Err(reason) = self.write(now, key) {
            self.close(now, key, reason);
        }
    }

    /// Reports the end of the attempts on a connection that was removed from the table. If the
    /// connection failed because this machine lacked a resource, its queued attempts are parked
    /// until another connection can be opened.
    pub(in crate::event_loop) fn handle_upstream_closed(
        &mut self,
        now: Micros,
        key: SlabKey,
        transport: &BufferedSocket,
        mut upstream: UpstreamConnection,
        reason: CloseReason,
    ) {
        let server = upstream.server;
        upstream.release_memory(&mut self.memory);
        self.upstream_connections.remove(server, key);
        if let Some(check) = self.upstream_connections.checks.remove(&key) {
            self.timers.cancel(check.timer);
        }
        if reason == CloseReason::LocalFailure {
            for attempt in upstream.take_queued_attempts() {
                self.park_attempt(now, attempt, server, now);
            }
        }
        let mut events = Vec::new();
        if let Err(error) = upstream.confirm_last_answer(now, &self.request_table, &mut events) {
            log::warn!("the last answer of cache server #{server:016x} is not used: {error}");
        }
        upstream.close(transport.is_connected, transport.bytes_written, &mut events);
        self.report_upstream_events(now, server, events);
    }

    /// Reports the results of attempts and probes to the request table.
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
