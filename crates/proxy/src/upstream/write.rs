//! Writes to a server: moves queued attempts into the output buffer, and reports cancelled attempts
//! as ended once the server has had time to receive the `abort`.

use super::command;
use super::stream::{SentAttempt, Stream};
use super::{UpstreamConnection, UpstreamEvent};
use crate::limits::Limits;
use crate::memory::{ByteQueue, MemoryBudget};
use crate::net::{BufferedSocket, IoProgress};
use crate::request_table::{AttemptId, RequestTable};
use edge_routing::{Micros, Outcome};

/// What a connection needs to decide which attempts it starts and which cancellations it reports.
pub struct WriteContext<'a> {
    /// The current time.
    pub now: Micros,
    /// The requests of the attempts.
    pub request_table: &'a RequestTable,
    /// The limits of the proxy.
    pub limits: &'a Limits,
    /// The memory budget.
    pub memory: &'a mut MemoryBudget,
}

/// What became of an attempt that was to be started.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Start {
    /// Its command is in the output buffer.
    Started,
    /// It must not start any more, or its command cannot be encoded.
    NotSent,
    /// There is no memory for its command at this time.
    WaitsForMemory,
}

impl UpstreamConnection {
    /// Writes what the socket accepts, starts queued attempts and reports cancellations that are
    /// due. Attempts that must not start any more are reported as not sent. Returns `false` if the
    /// connection must be closed because it is broken, a partial answer has not been completed in
    /// time, or the server has accepted no bytes for too long.
    pub fn flush(
        &mut self,
        context: &mut WriteContext,
        socket: &mut BufferedSocket,
        events: &mut Vec<UpstreamEvent>,
    ) -> bool {
        // A client may have left since the last read.
        self.discard_unwanted_body(context.request_table);
        self.update_answer_memory(context.memory);
        if socket.write() == IoProgress::Broken {
            return false;
        }
        if self.start_queued(context, socket, events) == IoProgress::Broken {
            return false;
        }
        self.report_due_cancellations(context, socket.bytes_written, events);
        // The remainder of a partial answer is late, or no attempt or probe awaits the answer and
        // it does not end. In the first case, later answers would be parsed as the remainder. In
        // the second case, no other answer can arrive. In both cases, the other requests on the
        // connection can't be answered either.
        let partial_answer_expired = self
            .partial_answer_deadline(context.limits)
            .is_some_and(|deadline| deadline <= context.now);
        if partial_answer_expired {
            return false;
        }
        // A cancelled attempt is reported only after its `abort` is written. Without the check for
        // a stalled write, it would never be reported if the server accepts no bytes.
        self.liveness.record_output_state(context.now, socket);
        !self.liveness.is_write_stalled(context.now, context.limits)
    }

    /// Starts queued attempts one at a time, as long as the socket accepts each command completely.
    /// The other attempts stay in the queue, because they can be cancelled or removed there, while
    /// an attempt whose command is in the output buffer has started.
    fn start_queued(
        &mut self,
        context: &mut WriteContext,
        socket: &mut BufferedSocket,
        events: &mut Vec<UpstreamEvent>,
    ) -> IoProgress {
        self.command_waits_for_memory = false;
        while socket.is_connected && socket.output.is_empty() {
            let Some(attempt) = self.queue.pop_front() else {
                break;
            };
            match self.start(context, attempt, socket) {
                Start::Started => {}
                Start::NotSent => {
                    events.push(UpstreamEvent::attempt_ended(attempt, Outcome::NotSent));
                }
                Start::WaitsForMemory => {
                    self.queue.push_front(attempt);
                    self.command_waits_for_memory = true;
                    break;
                }
            }
            if socket.write() == IoProgress::Broken {
                return IoProgress::Broken;
            }
        }
        IoProgress::Advanced
    }

    /// Puts an attempt's command into the empty output buffer and opens its stream. An attempt is not
    /// sent if it has ended or is too late to start, or if its command can't be encoded or is larger
    /// than the buffer.
    fn start(
        &mut self,
        context: &mut WriteContext,
        attempt: AttemptId,
        socket: &mut BufferedSocket,
    ) -> Start {
        let sendable = context.request_table.sendable_attempt(context.now, attempt);
        let Some((request, spec)) = sendable else {
            return Start::NotSent;
        };
        let command = command::encode_fetch(context.now, request, spec, context.request_table);
        let Some(command) = command else {
            return Start::NotSent;
        };
        if command.len() > context.limits.output_buffer_bytes {
            return Start::NotSent;
        }
        let allocation_bytes = ByteQueue::allocation_for(command.len());
        if !context.memory.has_room_for_transfer(allocation_bytes) {
            return Start::WaitsForMemory;
        }
        let command_start_byte = socket.bytes_written;
        command.write_to(&mut socket.output);
        let sent = SentAttempt {
            attempt,
            sent_at: context.now,
            command_byte_range: command_start_byte..command_start_byte + command.len() as u64,
            max_age_us: spec.max_age_us,
            follows_cancellation: self.has_recent_cancellation(&request.id),
        };
        self.streams
            .insert(request.id.clone(), Stream::Attempt(sent));
        Start::Started
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
