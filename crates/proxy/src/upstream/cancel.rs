//! Cancels single attempts, and removes all unwritten attempts that involve a server.

use super::command;
use super::stream::Stream;
use super::{UpstreamConnection, UpstreamEvent};
use crate::limits::Limits;
use crate::net::BufferedSocket;
use crate::request_table::{AttemptId, RequestTable};
use edge_routing::{Micros, Outcome, ServerId};

/// An attempt in the output buffer of which no byte is written. This occurs when the server accepts
/// no bytes at the moment.
struct UnwrittenAttempt {
    attempt: AttemptId,
    /// Whether the output buffer contains nothing else.
    is_only_output: bool,
}

impl UpstreamConnection {
    /// Removes an attempt from the queue or the output buffer and reports it as cancelled. Returns
    /// `false` if some of the attempt is written, or if it can't be removed from the output buffer.
    pub fn dequeue(
        &mut self,
        attempt: AttemptId,
        socket: &mut BufferedSocket,
        events: &mut Vec<UpstreamEvent>,
    ) -> bool {
        let position = self.queue.iter().position(|queued| *queued == attempt);
        if let Some(position) = position {
            self.queue.remove(position);
        } else if self.is_removable(attempt, socket) {
            self.remove_unwritten(attempt, socket);
        } else {
            return false;
        }
        events.push(UpstreamEvent::attempt_ended(attempt, Outcome::Cancelled));
        true
    }

    /// Cancels an attempt. An attempt of which nothing is written is removed and reported at once.
    /// For any other, the server is sent an `abort`, and the attempt is reported once the `abort`
    /// has had time to arrive. Returns `false` if the output buffer has no space for the `abort`,
    /// in which case the connection must be closed. An attempt that is not on the connection is
    /// ignored.
    pub fn cancel(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        socket: &mut BufferedSocket,
        events: &mut Vec<UpstreamEvent>,
    ) -> bool {
        if self.dequeue(attempt, socket, events) {
            return true;
        }
        let mut streams = self.streams.iter_mut();
        let Some((id, stream)) = streams.find(|(_, stream)| stream.is_attempt(attempt)) else {
            return true;
        };
        let abort = command::encode_abort(id);
        if socket.output.free_space() < abort.len() {
            return false;
        }
        socket.output.push(&abort);
        if let Stream::Attempt(sent) = stream {
            self.liveness
                .record_unanswered_cancellation(now, sent.sent_at);
        }
        let abort_end_offset = socket.bytes_written + socket.output.len() as u64;
        *stream = Stream::cancelled(now, attempt, abort_end_offset);
        true
    }

    /// Returns when `flush` must be called to report the next cancellation. Cancellations whose
    /// `abort` is not written yet are not considered. Returns `None` if there are no others.
    pub fn next_cancellation_report_at(&self, limits: &Limits) -> Option<Micros> {
        let earliest = self
            .streams
            .values()
            .filter_map(Stream::abort_written_at)
            .min();
        earliest.map(|abort_written_at| abort_written_at + limits.cancellation_report_delay_us)
    }

    /// Removes the attempts of which no byte is written and which would be sent to `server` or
    /// filled from it, and reports them as not sent. Returns `false` if the connection must be
    /// closed because that is the only way to keep one of these attempts from being written.
    pub fn drain_server(
        &mut self,
        server: ServerId,
        socket: &mut BufferedSocket,
        request_table: &RequestTable,
        events: &mut Vec<UpstreamEvent>,
    ) -> bool {
        let destination = self.server;
        let involves_server = |attempt: AttemptId| {
            let fill = request_table
                .attempt_spec(attempt)
                .and_then(|(_, spec)| spec.fill);
            destination == server || fill.is_some_and(|fill| fill.source == server)
        };
        self.queue.retain(|attempt| {
            let removed = involves_server(*attempt);
            if removed {
                events.push(UpstreamEvent::attempt_ended(*attempt, Outcome::NotSent));
            }
            !removed
        });
        let Some(unwritten) = self.unwritten_attempt(socket) else {
            return true;
        };
        if !involves_server(unwritten.attempt) {
            return true;
        }
        if unwritten.is_only_output {
            self.remove_unwritten(unwritten.attempt, socket);
            events.push(UpstreamEvent::attempt_ended(
                unwritten.attempt,
                Outcome::NotSent,
            ));
        }
        unwritten.is_only_output
    }

    /// Returns whether an attempt can be removed from the output buffer as if it had never been
    /// added.
    fn is_removable(&self, attempt: AttemptId, socket: &BufferedSocket) -> bool {
        self.unwritten_attempt(socket)
            .is_some_and(|unwritten| unwritten.attempt == attempt && unwritten.is_only_output)
    }

    /// Returns the attempt whose complete command is at the front of the output buffer, if there is
    /// one. There is at most one, because `flush` adds an attempt only when the buffer is empty.
    fn unwritten_attempt(&self, socket: &BufferedSocket) -> Option<UnwrittenAttempt> {
        if !socket.is_connected || socket.output.is_empty() {
            return None;
        }
        let output_end = socket.bytes_written + socket.output.len() as u64;
        self.streams.values().find_map(|stream| match stream {
            Stream::Attempt(sent) if sent.command_byte_range.start == socket.bytes_written => {
                Some(UnwrittenAttempt {
                    attempt: sent.attempt,
                    is_only_output: sent.command_byte_range.end == output_end,
                })
            }
            _ => None,
        })
    }

    /// Clears the output buffer, which contains only this attempt, and closes the attempt's stream.
    fn remove_unwritten(&mut self, attempt: AttemptId, socket: &mut BufferedSocket) {
        socket.output.clear();
        self.streams.retain(|_, stream| !stream.is_attempt(attempt));
    }
}
