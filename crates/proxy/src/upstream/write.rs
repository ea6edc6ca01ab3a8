//! Writing: moves queued attempts into the output buffer and reports cancellations that have
//! settled.

use super::command;
use super::stream::{SentAttempt, Stream};
use super::{UpstreamConnection, UpstreamEvent};
use crate::limits::Limits;
use crate::net::{BufferedSocket, IoProgress};
use crate::request_table::{AttemptId, RequestTable};
use edge_routing::{Micros, Outcome};

/// What the start of an attempt depends on.
struct WriteContext<'a> {
    now: Micros,
    request_table: &'a RequestTable,
    limits: &'a Limits,
}

impl UpstreamConnection {
    /// Writes what the socket takes, starts queued attempts and reports settled cancellations.
    /// Attempts that must not begin any more are reported as not sent. False if the connection is
    /// broken, takes nothing more or can't be read any more, and must be closed.
    pub fn flush(
        &mut self,
        now: Micros,
        conn: &mut BufferedSocket,
        request_table: &RequestTable,
        limits: &Limits,
        events: &mut Vec<UpstreamEvent>,
    ) -> bool {
        let context = WriteContext {
            now,
            request_table,
            limits,
        };
        if conn.write() == IoProgress::Broken {
            return false;
        }
        if self.start_queued(&context, conn, events) == IoProgress::Broken {
            return false;
        }
        self.report_settled_cancellations(&context, conn.bytes_written, events);
        // What follows an answer that stopped short would be taken for its rest, and after one that
        // never ends nothing follows: the connection is of no further use, also to all else that is
        // open on it.
        let stopped_short = self
            .partial_answer_deadline(limits)
            .is_some_and(|deadline| deadline <= now);
        if stopped_short {
            return false;
        }
        // A server that takes no bytes would keep attempts cancelled here from ever being reported.
        self.liveness.note_output(now, conn);
        !self.liveness.is_write_stalled(now, limits)
    }

    /// Starts queued attempts while the socket takes them. One at a time: what is in the queue can
    /// still be cancelled or withdrawn, what is in the output buffer has begun.
    fn start_queued(
        &mut self,
        context: &WriteContext,
        conn: &mut BufferedSocket,
        events: &mut Vec<UpstreamEvent>,
    ) -> IoProgress {
        while conn.is_connected && conn.output.is_empty() {
            let Some(attempt) = self.queue.pop_front() else {
                break;
            };
            if !self.start(context, attempt, conn) {
                events.push(UpstreamEvent::ended(attempt, Outcome::NotSent));
            }
            if conn.write() == IoProgress::Broken {
                return IoProgress::Broken;
            }
        }
        IoProgress::Advanced
    }

    /// Puts an attempt's command into the empty output buffer and opens its stream. False if the
    /// attempt is over, must not begin so late, can't be encoded or is larger than the buffer.
    fn start(
        &mut self,
        context: &WriteContext,
        attempt: AttemptId,
        conn: &mut BufferedSocket,
    ) -> bool {
        let clear = context.request_table.clear_to_send(context.now, attempt);
        let Some((request, spec)) = clear else {
            return false;
        };
        let command = command::encode_fetch(context.now, request, spec, context.request_table);
        let Some(command) = command else {
            return false;
        };
        if command.len() > context.limits.output_buffer_bytes {
            return false;
        }
        let start = conn.bytes_written;
        conn.output.push(&command);
        let sent = SentAttempt {
            attempt,
            sent_at: context.now,
            command: start..start + command.len() as u64,
            max_age_us: spec.max_age_us,
            follows_cancelled: self.cancelled_recently(&request.id),
        };
        self.streams
            .insert(request.id.clone(), Stream::Attempt(sent));
        true
    }

    /// Reports cancellations whose `abort` was written `Limits::cancel_settle_delay_us` ago. It needs
    /// that time to arrive: a further attempt at a nearer server must not overtake it.
    fn report_settled_cancellations(
        &mut self,
        context: &WriteContext,
        bytes_written: u64,
        events: &mut Vec<UpstreamEvent>,
    ) {
        let settle_us = context.limits.cancel_settle_delay_us;
        for stream in self.streams.values_mut() {
            let settled = stream.take_settled_cancellation(context.now, bytes_written, settle_us);
            events.extend(settled.map(|attempt| UpstreamEvent::ended(attempt, Outcome::Cancelled)));
        }
    }
}
