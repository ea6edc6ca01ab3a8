//! Writes to a server: moves queued attempts into the output buffer, and reports cancelled attempts
//! as ended once the server has had time to receive the `abort`.

use super::command;
use super::stream::{SentAttempt, Stream};
use super::{UpstreamConnection, UpstreamEvent};
use crate::limits::Limits;
use crate::net::{BufferedSocket, IoProgress};
use crate::request_table::{AttemptId, RequestTable};
use edge_routing::{Micros, Outcome};

/// The inputs to the decisions on which attempts are started and which cancellations are reported.
struct WriteContext<'a> {
    now: Micros,
    request_table: &'a RequestTable,
    limits: &'a Limits,
}

impl UpstreamConnection {
    /// Writes what the socket accepts, starts queued attempts and reports cancellations that are
    /// due. Attempts that must not start any more are reported as not sent. Returns `false` if the
    /// connection must be closed because it is broken, a partial answer has not been completed in
    /// time, or the server has accepted no bytes for too long.
    pub fn flush(
        &mut self,
        now: Micros,
        socket: &mut BufferedSocket,
        request_table: &RequestTable,
        limits: &Limits,
        events: &mut Vec<UpstreamEvent>,
    ) -> bool {
        let context = WriteContext {
            now,
            request_table,
            limits,
        };
        if socket.write() == IoProgress::Broken {
            return false;
        }
        if self.start_queued(&context, socket, events) == IoProgress::Broken {
            return false;
        }
        self.report_due_cancellations(&context, socket.bytes_written, events);
        // The remainder of a partial answer is late, or no attempt or probe awaits the answer and
        // it does not end. In the first case, later answers would be parsed as the remainder. In
        // the second case, no other answer can arrive. In both cases, the other requests on the
        // connection can't be answered either.
        let partial_answer_expired = self
            .partial_answer_deadline(limits)
            .is_some_and(|deadline| deadline <= now);
        if partial_answer_expired {
            return false;
        }
        // A cancelled attempt is reported only after its `abort` is written. Without the check for
        // a stalled write, it would never be reported if the server accepts no bytes.
        self.liveness.record_output_state(now, socket);
        !self.liveness.is_write_stalled(now, limits)
    }

    /// Starts queued attempts one at a time, as long as the socket accepts each command completely.
    /// The other attempts stay in the queue, because they can be cancelled or removed there, while
    /// an attempt whose command is in the output buffer has started.
    fn start_queued(
        &mut self,
        context: &WriteContext,
        socket: &mut BufferedSocket,
        events: &mut Vec<UpstreamEvent>,
    ) -> IoProgress {
        while socket.is_connected && socket.output.is_empty() {
            let Some(attempt) = self.queue.pop_front() else {
                break;
            };
            if !self.start(context, attempt, socket) {
                events.push(UpstreamEvent::attempt_ended(attempt, Outcome::NotSent));
            }
            if socket.write() == IoProgress::Broken {
                return IoProgress::Broken;
            }
        }
        IoProgress::Advanced
    }

    /// Puts an attempt's command into the empty output buffer and opens its stream. Returns `false`
    /// if the attempt has ended or is too late to start, or if its command can't be encoded or is
    /// larger than the buffer.
    fn start(
        &mut self,
        context: &WriteContext,
        attempt: AttemptId,
        socket: &mut BufferedSocket,
    ) -> bool {
        let sendable = context.request_table.sendable_attempt(context.now, attempt);
        let Some((request, spec)) = sendable else {
            return false;
        };
        let command = command::encode_fetch(context.now, request, spec, context.request_table);
        let Some(command) = command else {
            return false;
        };
        if command.len() > context.limits.output_buffer_bytes {
            return false;
        }
        let command_start_byte = socket.bytes_written;
        socket.output.push(&command);
        let sent = SentAttempt {
            attempt,
            sent_at: context.now,
            command_byte_range: command_start_byte..command_start_byte + command.len() as u64,
            max_age_us: spec.max_age_us,
            follows_cancellation: self.has_recent_cancellation(&request.id),
        };
        self.streams
            .insert(request.id.clone(), Stream::Attempt(sent));
        true
    }

    /// Reports cancellations whose `abort` was written at least
    /// `Limits::cancellation_report_delay_us` ago. The delay gives the `abort` time to arrive.
    /// Without it, a further attempt at a nearer server could arrive before the `abort`.
    fn report_due_cancellations(
        &mut self,
        context: &WriteContext,
        bytes_written: u64,
        events: &mut Vec<UpstreamEvent>,
    ) {
        let cancellation_report_delay_us = context.limits.cancellation_report_delay_us;
        for stream in self.streams.values_mut() {
            let due = stream.take_due_cancellation(
                context.now,
                bytes_written,
                cancellation_report_delay_us,
            );
            events.extend(
                due.map(|attempt| UpstreamEvent::attempt_ended(attempt, Outcome::Cancelled)),
            );
        }
    }
}
