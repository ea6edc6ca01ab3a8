//! Reads the answers of cache servers.

use crate::event_loop::EventLoop;
use crate::net::{IoProgress, SlabKey};
use crate::protocol::ProtocolError;
use edge_routing::Micros;

impl EventLoop {
    /// Handles the buffered input from a cache server. If the input ends with an answer that has a
    /// body, reads on until it is known what follows the answer.
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
        self.parse_answers(now, key)?;
        for _ in 0..self.limits.max_reads_behind_answer {
            if !self.has_unconfirmed_answer(key) {
                return Ok(());
            }
            let Some((transport, _)) = self.connections.upstream_mut(key) else {
                return Ok(());
            };
            match transport.read(false) {
                IoProgress::Advanced => self.parse_answers(now, key)?,
                IoProgress::Postponed => break,
                // The poller reports the end of a connection again.
                IoProgress::WouldBlock | IoProgress::PeerClosed | IoProgress::Broken => {
                    return self.confirm_last_answer(now, key);
                }
            }
        }
        if self.has_unconfirmed_answer(key) {
            self.schedule_connection_retry(now, key);
        }
        Ok(())
    }

    fn has_unconfirmed_answer(&self, key: SlabKey) -> bool {
        let upstream = self.connections.upstream(key);
        upstream.is_some_and(|(_, upstream)| upstream.has_unconfirmed_answer())
    }

    /// Parses the buffered input from a cache server and reports its results.
    fn parse_answers(&mut self, now: Micros, key: SlabKey) -> Result<(), ProtocolError> {
        let Some((transport, upstream)) = self.connections.upstream_mut(key) else {
            return Ok(());
        };
        let server = upstream.server;
        let mut events = Vec::new();
        let result = upstream.read(now, transport, &self.request_table, &mut events);
        self.report_upstream_events(now, server, events);
        result
    }

    /// Handles the last answer of a connection behind which nothing more has arrived.
    fn confirm_last_answer(&mut self, now: Micros, key: SlabKey) -> Result<(), ProtocolError> {
        let Some((_, upstream)) = self.connections.upstream_mut(key) else {
            return Ok(());
        };
        let server = upstream.server;
        let mut events = Vec::new();
        let result = upstream.confirm_last_answer(now, &self.request_table, &mut events);
        self.report_upstream_events(now, server, events);
        result
    }

    /// Reads the answers that a server sent before its connection broke. They are still used.
    pub(in crate::event_loop) fn read_remaining_answers(&mut self, now: Micros, key: SlabKey) {
        for _ in 0..self.limits.max_reads_after_close {
            if !self.read_remaining_input(now, key) {
                break;
            }
        }
        if let Err(error) = self.confirm_last_answer(now, key) {
            log::warn!(
                "connection {:x}: its last answer is not used: {error}",
                key.to_u64()
            );
        }
    }

    /// Reads once from a connection that is about to be closed. Returns whether more may follow.
    fn read_remaining_input(&mut self, now: Micros, key: SlabKey) -> bool {
        let is_readable = self
            .connections
            .upstream(key)
            .is_some_and(|(transport, upstream)| {
                transport.is_connected && upstream.can_parse_further_input(now, &self.limits)
            });
        let Some((transport, _)) = self.connections.upstream_mut(key).filter(|_| is_readable)
        else {
            return false;
        };
        transport.read(false) == IoProgress::Advanced && self.handle_input(now, key).is_ok()
    }
}
