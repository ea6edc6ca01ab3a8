//! Detects connections that are of no further use: an answer that stopped part way, a server that
//! sends nothing, a socket that accepts no bytes, or input that can't be parsed.

use super::UpstreamConnection;
use crate::limits::Limits;
use crate::net::{BufferedSocket, WriteStall};
use edge_routing::Micros;

/// The observed liveness of a server on one connection. Points in time are in microseconds of the
/// loop's clock.
pub(super) struct Liveness {
    /// When valid input last arrived, or when the connection was opened if none has arrived.
    last_input_at: Micros,
    /// When the first bytes of the partially received answer arrived.
    partial_answer_since: Option<Micros>,
    /// The server counts as unresponsive once nothing has arrived for longer than this.
    unresponsive_after_us: Micros,
    /// Set when nothing arrived since before an attempt that was then cancelled. The machine at the
    /// other end may have vanished without closing the connection.
    unresponsive: bool,
    write_stall: WriteStall,
    /// Set when malformed input has arrived. The start of the next answer can't be found after it.
    input_malformed: bool,
}

impl Liveness {
    /// Creates the state of a connection that was just opened.
    pub(super) fn new(limits: &Limits, now: Micros) -> Self {
        Liveness {
            last_input_at: now,
            partial_answer_since: None,
            unresponsive_after_us: limits.unresponsive_after_us,
            unresponsive: false,
            write_stall: WriteStall::default(),
            input_malformed: false,
        }
    }

    /// Records that malformed input arrived.
    pub(super) fn record_malformed_input(&mut self) {
        self.input_malformed = true;
    }

    /// Records that valid input arrived. `completed_answer` says that it contained the end of an
    /// answer, and `partial_answer` that it ended with the beginning of another one.
    pub(super) fn record_input(
        &mut self,
        now: Micros,
        completed_answer: bool,
        partial_answer: bool,
    ) {
        let began_at = self
            .partial_answer_since
            .filter(|_| !completed_answer)
            .unwrap_or(now);
        self.partial_answer_since = partial_answer.then_some(began_at);
        self.last_input_at = now;
        self.unresponsive = false;
        self.input_malformed = false;
    }

    /// Records that an attempt sent at `sent_at` was cancelled without an answer. The connection
    /// counts as unresponsive if nothing has arrived since before the attempt for longer than
    /// `unresponsive_after_us`. A shorter silence may only be a pause.
    pub(super) fn record_unanswered_cancellation(&mut self, now: Micros, sent_at: Micros) {
        let nothing_since_sent = self.last_input_at < sent_at;
        let silent_for_long = self.last_input_at + self.unresponsive_after_us < now;
        self.unresponsive |= nothing_since_sent && silent_for_long;
    }

    /// Returns whether nothing has arrived for so long that the connection may be dead.
    pub(super) fn is_unresponsive(&self) -> bool {
        self.unresponsive
    }

    /// Returns whether the current answer has been arriving for so long that no further attempt
    /// should wait behind it.
    pub(super) fn is_blocked_by_partial_answer(&self, limits: &Limits) -> bool {
        self.partial_answer_since
            .is_some_and(|since| since + limits.unawaited_answer_timeout_us < self.last_input_at)
    }

    /// Returns when the partial answer must be complete, or `None` if there is no partial answer.
    /// Its bytes must not pause for longer than `partial_answer_timeout_us`. If no attempt or probe
    /// awaits the answer, it must also be complete within `unawaited_answer_timeout_us` of its
    /// beginning.
    fn partial_answer_deadline(&self, limits: &Limits, awaited: bool) -> Option<Micros> {
        let since = self.partial_answer_since?;
        let pause_deadline = self.last_input_at + limits.partial_answer_timeout_us;
        if awaited {
            return Some(pause_deadline);
        }
        Some(pause_deadline.min(since + limits.unawaited_answer_timeout_us))
    }

    /// Records whether bytes wait to be written, and whether any were written since the last call.
    pub(super) fn record_output_state(&mut self, now: Micros, socket: &BufferedSocket) {
        self.write_stall.update(now, socket);
    }

    /// Returns when the socket must have accepted a byte, or `None` if no bytes wait to be written.
    fn write_deadline(&self, limits: &Limits) -> Option<Micros> {
        let since = self.write_stall.since()?;
        Some(since + limits.server_write_timeout_us)
    }

    /// Returns whether the socket has accepted no byte for `server_write_timeout_us`.
    pub(super) fn is_write_stalled(&self, now: Micros, limits: &Limits) -> bool {
        self.write_deadline(limits)
            .is_some_and(|deadline| deadline <= now)
    }
}

impl UpstreamConnection {
    /// Returns when the connection has to be flushed again although nothing else happens on it: to
    /// report a cancellation, to close the connection because an answer or a write has stalled, or
    /// to remove a stream whose retention period is over. Returns `None` if there is no such time.
    pub fn next_check_at(&self, limits: &Limits) -> Option<Micros> {
        let stream_expires_at = self
            .streams
            .values()
            .filter_map(|stream| stream.expires_at(limits.stream_retention_us))
            .min();
        [
            self.next_cancellation_report_at(limits),
            self.partial_answer_deadline(limits),
            self.liveness.write_deadline(limits),
            stream_expires_at,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Returns when the partially received answer counts as incomplete, or is no longer waited for
    /// because no attempt or probe awaits it. Returns `None` if no answer is partially received, or
    /// if the rest of it is not read yet because memory has run out.
    pub fn partial_answer_deadline(&self, limits: &Limits) -> Option<Micros> {
        if self.body_waits_for_memory {
            return None;
        }
        let id = self
            .answer_parser
            .first_string()
            .and_then(|id| std::str::from_utf8(id).ok());
        let stream = id.and_then(|id| self.streams.get(id));
        let awaited = stream.is_some_and(|stream| stream.is_awaited());
        self.liveness.partial_answer_deadline(limits, awaited)
    }

    /// Returns whether further input can be parsed: no malformed input has arrived, and no answer
    /// has stopped part way.
    pub fn can_parse_further_input(&self, now: Micros, limits: &Limits) -> bool {
        let partial_answer_expired = self
            .partial_answer_deadline(limits)
            .is_some_and(|deadline| deadline <= now);
        !self.liveness.input_malformed && !partial_answer_expired
    }

    /// Returns whether nothing has arrived for so long that the connection may be dead, and no
    /// attempt or probe uses the connection any more.
    pub fn is_unresponsive(&self) -> bool {
        let none_awaited = self.streams.values().all(|stream| !stream.is_awaited());
        self.liveness.is_unresponsive() && none_awaited && self.queue.is_empty()
    }
}
