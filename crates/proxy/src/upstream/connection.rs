//! A connection, its queue and its open streams, and whether the connection can take an attempt.

use super::answer::{ServerAnswer, ANSWER_STRINGS, BODY_INDEX};
use super::command;
use super::stream::Stream;
use super::timeouts::Liveness;
use super::UpstreamEvent;
use crate::limits::Limits;
use crate::memory::{MemoryBudget, MemoryKind, MemoryShare};
use crate::net::BufferedSocket;
use crate::protocol::resp;
use crate::request_table::{AttemptId, RequestTable};
use edge_routing::{Micros, Outcome, ServerId};
use std::collections::{HashMap, VecDeque};

/// A connection to a cache server, a parent or the origin.
///
/// Invariant: all queued attempts and awaited streams have different ids. Callers preserve this by
/// calling `enqueue` only where `outstanding_count_if_available` returns a number for the id.
pub struct UpstreamConnection {
    /// The server at the other end.
    pub server: ServerId,
    /// Parses the bytes of answers.
    pub(super) answer_parser: resp::ArrayParser,
    /// The last complete answer, if it has a body and it is not known yet what follows it.
    pub(super) unconfirmed_answer: Option<ServerAnswer>,
    /// The memory of answers that are not handled yet.
    pub(super) answer_memory: MemoryShare,
    /// Whether the body of the answer that has begun is not received because memory has run out.
    pub(super) body_waits_for_memory: bool,
    /// Whether the first attempt of the queue is not sent because memory has run out.
    pub(super) command_waits_for_memory: bool,
    /// Attempts of which no byte has been put into the output buffer, oldest first.
    pub(super) queue: VecDeque<AttemptId>,
    /// The open streams and those kept after their end, by id.
    pub(super) streams: HashMap<String, Stream>,
    pub(super) liveness: Liveness,
    /// Whether the connection takes no further attempts and is to be closed once it is idle.
    is_retired: bool,
    probes_sent: u64,
}

impl UpstreamConnection {
    /// Creates the state of a connection that was just opened.
    pub fn new(server: ServerId, limits: &Limits, now: Micros) -> Self {
        let answer_parser =
            resp::ArrayParser::new(ANSWER_STRINGS..=ANSWER_STRINGS, limits.answer_body_bytes)
                .holding_back(BODY_INDEX);
        UpstreamConnection {
            server,
            answer_parser,
            unconfirmed_answer: None,
            answer_memory: MemoryShare::default(),
            body_waits_for_memory: false,
            command_waits_for_memory: false,
            queue: VecDeque::new(),
            streams: HashMap::new(),
            liveness: Liveness::new(limits, now),
            is_retired: false,
            probes_sent: 0,
        }
    }

    /// Returns the number of attempts and probes that are queued or in flight on the connection.
    /// Returns `None` if the connection can't take another attempt with this id.
    pub fn outstanding_count_if_available(
        &self,
        id: &str,
        request_table: &RequestTable,
        limits: &Limits,
    ) -> Option<usize> {
        let awaited = self.streams.values().filter(|stream| stream.is_awaited());
        let outstanding_count = awaited.count() + self.queue.len();
        let is_available = !self.is_retired
            && !self.liveness.is_unresponsive()
            && !self.liveness.is_blocked_by_partial_answer(limits)
            && outstanding_count < limits.attempts_per_connection
            && self.is_id_available(id, request_table);
        is_available.then_some(outstanding_count)
    }

    /// Returns whether answers to a further attempt with this id could be distinguished from all
    /// other answers on the connection. Two clients may use the same id: a second attempt with it
    /// on this connection would receive the answer to the first one, even if both still wait in the
    /// queue.
    fn is_id_available(&self, id: &str, request_table: &RequestTable) -> bool {
        let has_id = |attempt: &AttemptId| {
            request_table
                .attempt_spec(*attempt)
                .is_some_and(|(request, _)| request.id == id)
        };
        let stream = self.streams.get(id);
        stream.is_none_or(Stream::allows_further_attempt) && !self.queue.iter().any(has_id)
    }

    /// Returns whether an attempt with this id was cancelled here and its stream is still kept.
    pub fn has_recent_cancellation(&self, id: &str) -> bool {
        matches!(self.streams.get(id), Some(Stream::Cancelled { .. }))
    }

    /// Returns whether the queue is empty and the ends of all streams are reported.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.streams.values().all(Stream::is_reported)
    }

    /// Returns the number of streams that have ended and are kept to recognize late answers.
    pub fn ended_streams(&self) -> usize {
        let ended = self.streams.values().filter(|stream| stream.is_reported());
        ended.count()
    }

    /// Makes the connection take no further attempts. It is to be closed once it is idle, which
    /// frees the streams that have ended.
    pub fn retire(&mut self) {
        self.is_retired = true;
    }

    /// Returns whether the connection takes no further attempts.
    pub fn is_retired(&self) -> bool {
        self.is_retired
    }

    /// Queues an attempt. `flush` writes the attempt once the connection is established and its
    /// output buffer is empty. An attempt that is cancelled or removed before that never reaches
    /// the server.
    pub fn enqueue(&mut self, attempt: AttemptId) {
        self.queue.push_back(attempt);
    }

    /// Puts a probe into the output buffer. Returns `false` if the connection is not established or
    /// the buffer has too little space.
    pub fn probe(&mut self, now: Micros, socket: &mut BufferedSocket) -> bool {
        let id = format!("probe-{}", self.probes_sent);
        let command = command::encode_stats(&id);
        if !socket.is_connected || socket.output.free_space() < command.len() {
            return false;
        }
        socket.output.push(&command);
        self.probes_sent += 1;
        self.streams.insert(id, Stream::Probe { sent_at: now });
        true
    }

    /// Removes streams that were cancelled or answered more than `Limits::stream_retention_us` ago.
    pub fn remove_expired_streams(&mut self, now: Micros, limits: &Limits) {
        self.streams
            .retain(|_, stream| !stream.is_expired(now, limits.stream_retention_us));
        // A burst of cancellations must not leave a large table behind.
        if self.streams.len() < self.streams.capacity() / 4 {
            self.streams.shrink_to(self.streams.len() * 2);
        }
    }

    /// Returns whether the next answer, or the next command, waits until memory is free.
    pub fn waits_for_memory(&self) -> bool {
        self.body_waits_for_memory || self.command_waits_for_memory
    }

    /// Updates the memory that answers on this connection hold.
    pub(super) fn update_answer_memory(&mut self, memory: &mut MemoryBudget) {
        let unconfirmed = self.unconfirmed_answer.as_ref();
        let unconfirmed_bytes = unconfirmed.map_or(0, ServerAnswer::body_allocated_bytes);
        let bytes = self.answer_parser.held_bytes() + unconfirmed_bytes;
        memory.set(&mut self.answer_memory, MemoryKind::PartialAnswers, bytes);
    }

    /// Takes the answers on a connection that is being closed out of the memory budget.
    pub fn release_memory(&mut self, memory: &mut MemoryBudget) {
        memory.release(&mut self.answer_memory);
    }

    /// Removes and returns all queued attempts. No byte of them has been written.
    pub fn take_queued_attempts(&mut self) -> VecDeque<AttemptId> {
        std::mem::take(&mut self.queue)
    }

    /// Ends a connection that is being closed and reports all attempts and probes that were queued
    /// or open on it. The queue is reported first, and the streams follow in the order of their
    /// ids. `is_connected` says whether the connection was ever established, and `bytes_written` is
    /// the number of bytes written on it.
    ///
    /// An attempt that was not written completely can't have been executed, while the others may
    /// have been executed. Only a connection that was never established shows that its server can't
    /// be reached.
    pub fn close(self, is_connected: bool, bytes_written: u64, events: &mut Vec<UpstreamEvent>) {
        let unsent_outcome = if is_connected {
            Outcome::NotSent
        } else {
            Outcome::ConnectFailed
        };
        for attempt in self.queue {
            events.push(UpstreamEvent::attempt_ended(attempt, unsent_outcome));
        }
        let mut streams: Vec<(String, Stream)> = self.streams.into_iter().collect();
        streams.sort_by(|(id, _), (other_id, _)| id.cmp(other_id));
        for (_, stream) in streams {
            events.extend(stream.event_on_close(bytes_written, unsent_outcome));
        }
    }
}
