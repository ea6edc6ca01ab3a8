//! Cancels single attempts, and removes the unsent attempts whose server or fill source is draining
//! or gone.

use super::command;
use super::stream::Stream;
use super::{UpstreamConnection, UpstreamEvent};
use crate::limits::Limits;
use crate::net::BufferedSocket;
use crate::request_table::{AttemptId, RequestTable};
use edge_routing::{Micros, Outcome, ServerId};

/// An attempt whose whole command is still in the output buffer, because the socket accepts no
/// bytes.
struct UnwrittenAttempt {
    attempt: AttemptId,
    /// Whether the output buffer contains nothing else.
    is_only_output: bool,
}

impl UpstreamConnection {
    /// Removes an attempt from the queue or the output buffer and reports it as cancelled. Returns
    /// `false` if some of the attempt is written, if the output buffer contains anything besides
    /// the attempt, or if the attempt is not on this connection.
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

    /// Cancels an attempt. An attempt that can be dequeued (see [`dequeue`](Self::dequeue)) is
    /// removed and reported at once. For any other attempt on this connection, an `abort` is sent
    /// to the server, and the attempt is reported once the `abort` has had time to arrive. Returns
    /// `false` if the output buffer has no space for the `abort`, in which case the connection must
    /// be closed. An attempt that is not on this connection is ignored.
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
            // While a body waits for memory, the server is not read and may well have answered.
            if !self.body_waits_for_memory {
                self.liveness
                    .record_unanswered_cancellation(now, sent.sent_at);
            }
        }
        let abort_end_offset = socket.bytes_written + socket.output.len() as u64;
        *stream = Stream::cancelled(now, attempt, abort_end_offset);
        true
    }

    /// Returns when `flush` must be called to report the next cancellation. Considers only
    /// unreported cancellations whose `abort` is written. Returns `None` if there is no such
    /// cancellation.
    pub fn next_cancellation_report_at(&self, limits: &Limits) -> Option<Micros> {
        let earliest = self
            .streams
            .values()
            .filter_map(Stream::abort_written_at)
            .min();
        earliest.map(|abort_written_at| abort_written_at + limits.cancellation_report_delay_us)
    }

    /// Removes the attempts of which no byte is written and which would be sent to `server` or
    /// filled from it, and reports them as not sent. Returns `false` if such an attempt can't be
    /// removed because the output buffer contains more than its command. The connection must then
    /// be closed, so that the attempt is not written.
    pub fn drain_server(
        &mut self,
        server: ServerId,
        socket: &mut BufferedSocket,
        request_table: &RequestTable,
        events: &mut Vec<UpstreamEvent>,
    ) -> bool {
        let destination = self.server;
        let uses_server = |attempt: AttemptId| {
            let fill = request_table
                .attempt_spec(attempt)
                .and_then(|(_, spec)| spec.fill);
            destination == server || fill.is_some_and(|fill| fill.source == server)
        };
        self.queue.retain(|attempt| {
            let is_removed = uses_server(*attempt);
            if is_removed {
                events.push(UpstreamEvent::attempt_ended(*attempt, Outcome::NotSent));
            }
            !is_removed
        });
        let Some(unwritten) = self.unwritten_attempt(socket) else {
            return true;
        };
        if !uses_server(unwritten.attempt) {
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

    /// Clears the output buffer, which contains only this attempt, and removes the attempt's stream
    /// without a report.
    fn remove_unwritten(&mut self, attempt: AttemptId, socket: &mut BufferedSocket) {
        socket.output.clear();
        self.streams.retain(|_, stream| !stream.is_attempt(attempt));
    }
}
