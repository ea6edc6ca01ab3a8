//! Reads the answers of cache servers.

use crate::event_loop::EventLoop;
use crate::net::{IoProgress, SlabKey};
use crate::protocol::ProtocolError;
use crate::upstream::ReadContext;
use edge_routing::Micros;

impl EventLoop {
    /// Handles the buffered input from a cache server. Schedules a further read if it could not be
    /// found out what follows the last answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the input violates the protocol. Results that arrived before the error
    /// are reported.
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
        let mut context = ReadContext {
            now,
            request_table: &self.request_table,
            limits: &self.limits,
            memory: &mut self.memory,
            others_wait_for_memory: self.upstream_connections.is_any_waiting_for_memory(),
        };
        let result = upstream.read(&mut context, transport, &mut events);
        if upstream.has_unconfirmed_answer() {
            self.schedule_connection_retry(now, key);
        }
        self.note_if_waiting_for_memory(key);
        self.report_upstream_events(now, server, events);
        result
    }

    /// Reads the answers that a server sent before its connection broke. They are still used.
    pub(in crate::event_loop) fn read_remaining_answers(&mut self, now: Micros, key: SlabKey) {
        if let Some((_, upstream)) = self.connections.upstream_mut(key) {
            upstream.accept_body_at_end(now);
        }
        for _ in 0..self.limits.max_reads_after_close {
            let is_readable =
                self.connections
                    .upstream(key)
                    .is_some_and(|(transport, upstream)| {
                        transport.is_connected
                            && upstream.can_parse_further_input(now, &self.limits)
                    });
            let Some((transport, _)) = self.connections.upstream_mut(key).filter(|_| is_readable)
            else {
                return;
            };
            if transport.read(false) != IoProgress::Advanced || self.handle_input(now, key).is_err()
            {
                return;
            }
        }
    }
}
