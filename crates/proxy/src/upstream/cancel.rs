//! Taking attempts back: cancellation of one, and withdrawal of all that concern a server.

use super::command;
use super::stream::Stream;
use super::{UpstreamConnection, UpstreamEvent};
use crate::limits::Limits;
use crate::net::BufferedSocket;
use crate::request_table::{AttemptId, RequestTable};
use edge_routing::{Micros, Outcome, ServerId};

/// An attempt in the output buffer with no byte written, which happens where the server takes
/// nothing at the moment.
struct UnwrittenAttempt {
    attempt: AttemptId,
    /// Whether the output buffer holds nothing else.
    is_alone: bool,
}

impl UpstreamConnection {
    /// Takes an attempt out of the queue or the output buffer and reports it cancelled. False if
    /// something of it is written, or it can't be taken out of the output buffer.
    pub fn dequeue(
        &mut self,
        attempt: AttemptId,
        conn: &mut BufferedSocket,
        events: &mut Vec<UpstreamEvent>,
    ) -> bool {
        let position = self.queue.iter().position(|queued| *queued == attempt);
        if let Some(position) = position {
            self.queue.remove(position);
        } else if self.is_removable(attempt, conn) {
            self.remove_unwritten(attempt, conn);
        } else {
            return false;
        }
        events.push(UpstreamEvent::ended(attempt, Outcome::Cancelled));
        true
    }

    /// Cancels an attempt: takes it out of the queue, or sends the server an `abort` and reports
    /// the attempt once that has arrived. False if the connection has no space even for the `abort`
    /// and must be closed. An attempt that is not on the connection is ignored.
    pub fn cancel(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        conn: &mut BufferedSocket,
        events: &mut Vec<UpstreamEvent>,
    ) -> bool {
        if self.dequeue(attempt, conn, events) {
            return true;
        }
        let mut streams = self.streams.iter_mut();
        let Some((id, stream)) = streams.find(|(_, stream)| stream.is_attempt(attempt)) else {
            return true;
        };
        let abort = command::encode_abort(id);
        if conn.output.free_space() < abort.len() {
            return false;
        }
        conn.output.push(&abort);
        if let Stream::Attempt(sent) = stream {
            self.liveness.cancelled_unanswered(now, sent.sent_at);
        }
        let abort_end = conn.bytes_written + conn.output.len() as u64;
        *stream = Stream::cancelled(now, attempt, abort_end);
        true
    }

    /// When the next cancellation is due to be reported by `flush`. Cancellations whose `abort` is
    /// not written yet don't count.
    pub fn next_cancellation_report(&self, limits: &Limits) -> Option<Micros> {
        let earliest = self
            .streams
            .values()
            .filter_map(Stream::abort_written_at)
            .min();
        earliest.map(|written_at| written_at + limits.cancel_settle_delay_us)
    }

    /// Takes back the attempts of which nothing is written and which would go to this server or be
    /// filled from it, and reports them as not sent. False if one of them can be kept from being
    /// written only by closing the connection.
    pub fn drain_server(
        &mut self,
        server: ServerId,
        conn: &mut BufferedSocket,
        request_table: &RequestTable,
        events: &mut Vec<UpstreamEvent>,
    ) -> bool {
        let destination = self.server;
        let concerns_server = |attempt: AttemptId| {
            let fill = request_table
                .attempt_spec(attempt)
                .and_then(|(_, spec)| spec.fill);
            destination == server || fill.is_some_and(|fill| fill.source == server)
        };
        self.queue.retain(|attempt| {
            let withdrawn = concerns_server(*attempt);
            if withdrawn {
                events.push(UpstreamEvent::ended(*attempt, Outcome::NotSent));
            }
            !withdrawn
        });
        let Some(unwritten) = self.unwritten_attempt(conn) else {
            return true;
        };
        if !concerns_server(unwritten.attempt) {
            return true;
        }
        if unwritten.is_alone {
            self.remove_unwritten(unwritten.attempt, conn);
            events.push(UpstreamEvent::ended(unwritten.attempt, Outcome::NotSent));
        }
        unwritten.is_alone
    }

    /// Whether an attempt can be taken out of the output buffer as if it had never been there.
    fn is_removable(&self, attempt: AttemptId, conn: &BufferedSocket) -> bool {
        self.unwritten_attempt(conn)
            .is_some_and(|unwritten| unwritten.attempt == attempt && unwritten.is_alone)
    }

    /// The attempt whose command lies whole at the front of the output buffer. There is one at the
    /// most, as `flush` hands over the next one only when the buffer is empty.
    fn unwritten_attempt(&self, conn: &BufferedSocket) -> Option<UnwrittenAttempt> {
        if !conn.is_connected || conn.output.is_empty() {
            return None;
        }
        let output_end = conn.bytes_written + conn.output.len() as u64;
        self.streams.values().find_map(|stream| match stream {
            Stream::Attempt(sent) if sent.command.start == conn.bytes_written => {
                Some(UnwrittenAttempt {
                    attempt: sent.attempt,
                    is_alone: sent.command.end == output_end,
                })
            }
            _ => None,
        })
    }

    /// Empties the output buffer, which holds this attempt alone, and closes its stream.
    fn remove_unwritten(&mut self, attempt: AttemptId, conn: &mut BufferedSocket) {
        conn.output.clear();
        self.streams.retain(|_, stream| !stream.is_attempt(attempt));
    }
}
