//! A connection: its queue, its open streams, and what an attempt needs to know to choose it.

use super::command;
use super::stream::Stream;
use super::timeouts::Liveness;
use super::UpstreamEvent;
use crate::limits::Limits;
use crate::net::BufferedSocket;
use crate::protocol::resp;
use crate::request_table::{AttemptId, RequestTable};
use edge_routing::{Micros, Outcome, ServerId};
use std::collections::{HashMap, VecDeque};

/// A connection to a cache server, a parent or the origin.
///
/// Invariant: no two of its queued attempts and awaited streams have one id. Callers keep it by
/// enqueueing only where `load_if_available` gives a number for the id.
pub struct UpstreamConnection {
    /// The server at the other end.
    pub server: ServerId,
    /// Collects the bytes of answers.
    pub(super) answers: resp::ArrayParser,
    /// Attempts of which nothing has reached the output buffer, oldest first.
    pub(super) queue: VecDeque<AttemptId>,
    /// What is open or remembered, by id.
    pub(super) streams: HashMap<String, Stream>,
    pub(super) liveness: Liveness,
    probes_sent: u64,
}

impl UpstreamConnection {
    /// A connection that was just opened.
    pub fn new(server: ServerId, limits: &Limits, now: Micros) -> Self {
        UpstreamConnection {
            server,
            answers: resp::ArrayParser::new(limits.answer_body_bytes),
            queue: VecDeque::new(),
            streams: HashMap::new(),
            liveness: Liveness::new(limits, now),
            probes_sent: 0,
        }
    }

    /// The number of attempts and probes on the connection, if it can take one more attempt under
    /// this id.
    pub fn load_if_available(
        &self,
        id: &str,
        request_table: &RequestTable,
        limits: &Limits,
    ) -> Option<usize> {
        let awaited = self.streams.values().filter(|stream| stream.is_awaited());
        let load = awaited.count() + self.queue.len();
        let is_available = !self.liveness.is_unresponsive()
            && !self.liveness.is_blocked_by_answer(limits)
            && load < limits.attempts_per_connection
            && self.is_id_free(id, request_table);
        is_available.then_some(load)
    }

    /// Whether a further attempt under this id can be told apart from all that is on the
    /// connection. Two clients may use one id: a second attempt under it here would take the answer
    /// to the first, also where both still wait in the queue.
    fn is_id_free(&self, id: &str, request_table: &RequestTable) -> bool {
        let has_id = |attempt: &AttemptId| {
            request_table
                .attempt_spec(*attempt)
                .is_some_and(|(request, _)| request.id == id)
        };
        let stream = self.streams.get(id);
        stream.is_none_or(Stream::admits_further_attempt) && !self.queue.iter().any(has_id)
    }

    /// Whether an attempt under this id was cancelled here and is still remembered.
    pub fn cancelled_recently(&self, id: &str) -> bool {
        matches!(self.streams.get(id), Some(Stream::Cancelled { .. }))
    }

    /// Whether nothing is queued and the ends of all streams are reported.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.streams.values().all(Stream::is_reported)
    }

    /// Queues an attempt. `flush` writes it once the connection is up and takes it whole, so that
    /// an attempt which is cancelled or withdrawn until then never reaches the server.
    pub fn enqueue(&mut self, attempt: AttemptId) {
        self.queue.push_back(attempt);
    }

    /// Puts a probe into the output buffer. False if the connection is not up or has no space for
    /// it.
    pub fn probe(&mut self, now: Micros, conn: &mut BufferedSocket) -> bool {
        let id = format!("probe-{}", self.probes_sent);
        let command = command::encode_stats(&id);
        if !conn.is_connected || conn.output.free_space() < command.len() {
            return false;
        }
        conn.output.push(&command);
        self.probes_sent += 1;
        self.streams.insert(id, Stream::Probe { sent_at: now });
        true
    }

    /// Forgets streams that were cancelled or answered more than `Limits::stream_retention_us` ago.
    pub fn forget_old_streams(&mut self, now: Micros, limits: &Limits) {
        self.streams
            .retain(|_, stream| !stream.is_forgettable(now, limits.stream_retention_us));
    }

    /// Takes out the attempts of which nothing was written yet.
    pub fn take_queue(&mut self) -> VecDeque<AttemptId> {
        std::mem::take(&mut self.queue)
    }

    /// Ends a connection that is over and reports all that was queued or open on it, the queue
    /// first and the streams in the order of their ids. `connected` tells whether it ever came up,
    /// and `bytes_written` how many bytes it wrote.
    ///
    /// An attempt that was not written whole can't have run; the others may have. Only a connection
    /// that never came up shows that its server can't be reached.
    pub fn close(self, connected: bool, bytes_written: u64, events: &mut Vec<UpstreamEvent>) {
        let unsent = if connected {
            Outcome::NotSent
        } else {
            Outcome::ConnectFailed
        };
        for attempt in self.queue {
            events.push(UpstreamEvent::ended(attempt, unsent));
        }
        let mut streams: Vec<(String, Stream)> = self.streams.into_iter().collect();
        streams.sort_by(|(id, _), (other_id, _)| id.cmp(other_id));
        for (_, stream) in streams {
            events.extend(stream.event_on_close(bytes_written, unsent));
        }
    }
}
