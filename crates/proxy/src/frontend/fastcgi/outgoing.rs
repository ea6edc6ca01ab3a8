//! The queue of answers and management records that remain to be written to a connection.
//!
//! Entries are written to the connection's output buffer one after the other. A response is split
//! into STDOUT records that fit into the free space of the buffer.

use crate::memory::ByteQueue;
use crate::net::SocketBuffer;
use crate::protocol::fastcgi::{self as wire, record_type, HEADER_BYTES};
use std::collections::VecDeque;

/// Length of the records that end an answer: the empty record that ends its STDOUT stream, and the
/// END_REQUEST record. An answer without a response needs only the latter.
const END_RECORDS_BYTES: usize = HEADER_BYTES + wire::END_REQUEST_RECORD_BYTES;
/// Minimum content of a STDOUT record other than the last one of a response. It keeps the answer to
/// a client that reads slowly from being sent in fragments of a few bytes.
const MIN_STDOUT_CONTENT_BYTES: usize = 1024;

/// Number of entries for which an empty queue keeps memory.
const RETAINED_QUEUE_ENTRIES: usize = 4;

/// An answer to a request.
pub(super) struct OutgoingAnswer {
    /// FastCGI id of the request.
    pub request_id: u16,
    /// Rest of the CGI response that is not yet written to the output buffer. Empty from the start
    /// if the answer has only a protocol status.
    pub response: ByteQueue,
    /// Protocol status in the END_REQUEST record.
    pub protocol_status: u8,
    /// Whether the client asked to keep the connection open.
    pub keep_connection: bool,
}

/// An entry of the queue.
enum QueueEntry {
    Answer {
        answer: OutgoingAnswer,
        /// Whether a part of the response is already written to the output buffer.
        has_begun: bool,
    },
    /// An encoded management record.
    Management(Vec<u8>),
}

/// Result of writing the next part of an entry to the output buffer.
enum WriteResult {
    /// The output buffer has too little free space, and nothing was written.
    OutputFull,
    /// A part of the entry was written. More remains to be written.
    Partial,
    /// The last part of the entry was written.
    Complete,
}

/// FIFO queue of answers and management records that remain to be written.
#[derive(Default)]
pub(super) struct OutgoingQueue {
    queue: VecDeque<QueueEntry>,
    /// Memory of the entries.
    held_bytes: usize,
    close_requested: bool,
}

impl OutgoingQueue {
    /// Returns the number of answers and management records that are not completely written.
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the memory of the answers and management records that are not completely written to
    /// the output buffer.
    pub(super) fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns whether the client asked to close the connection after an answer that is now
    /// completely written.
    pub(super) fn close_requested(&self) -> bool {
        self.close_requested
    }

    /// Adds an answer.
    pub(super) fn push_answer(&mut self, answer: OutgoingAnswer) {
        self.push(QueueEntry::Answer {
            answer,
            has_begun: false,
        });
    }

    fn push(&mut self, entry: QueueEntry) {
        self.held_bytes += entry.held_bytes();
        self.queue.push_back(entry);
    }

    /// Replaces the response of each answer of which nothing is written yet, if it is at least
    /// `min_bytes` long, by `replacement`. Returns how many were replaced.
    pub(super) fn replace_unwritten(&mut self, min_bytes: usize, replacement: &[u8]) -> usize {
        let mut replaced = 0;
        for entry in &mut self.queue {
            let before = entry.held_bytes();
            if let QueueEntry::Answer {
                answer,
                has_begun: false,
            } = entry
            {
                if answer.response.len() >= min_bytes {
                    answer.response = replacement.into();
                    replaced += 1;
                }
            }
            self.held_bytes = self.held_bytes + entry.held_bytes() - before;
        }
        replaced
    }

    /// Adds a management record, which answers a management record of the client.
    pub(super) fn push_management_record(&mut self, record_type: u8, content: &[u8]) {
        let mut record = Vec::new();
        wire::write_record(&mut record, record_type, wire::NULL_REQUEST_ID, content);
        self.push(QueueEntry::Management(record));
    }

    /// Writes as much as fits into the output buffer.
    pub(super) fn write(&mut self, output: &mut SocketBuffer) {
        while let Some(first) = self.queue.front_mut() {
            let held_before = first.held_bytes();
            match first.write_next(output) {
                WriteResult::OutputFull => return,
                WriteResult::Partial => {
                    self.held_bytes = self.held_bytes + first.held_bytes() - held_before;
                }
                WriteResult::Complete => {
                    self.held_bytes -= held_before;
                    self.close_requested |= first.closes_connection();
                    self.queue.pop_front();
                }
            }
        }
        // The queue is empty. Hundreds of connections may stay open after a burst of answers, and
        // the memory of their queues must not add up.
        self.queue.shrink_to(RETAINED_QUEUE_ENTRIES);
    }
}

impl QueueEntry {
    /// Returns whether the client asked to close the connection after this entry.
    fn closes_connection(&self) -> bool {
        match self {
            Self::Answer { answer, .. } => !answer.keep_connection,
            Self::Management(_) => false,
        }
    }

    /// Returns the memory of the entry.
    fn held_bytes(&self) -> usize {
        let content_bytes = match self {
            Self::Answer { answer, .. } => answer.response.allocated_bytes(),
            Self::Management(record) => record.capacity(),
        };
        size_of::<Self>() + content_bytes
    }

    /// Writes the next part of the entry.
    fn write_next(&mut self, output: &mut SocketBuffer) -> WriteResult {
        match self {
            Self::Management(record) => write_management_record(record, output),
            Self::Answer { answer, has_begun } if answer.response.is_empty() => write_end_records(
                answer.request_id,
                answer.protocol_status,
                *has_begun,
                output,
            ),
            Self::Answer { answer, has_begun } => {
                let result = write_stdout_record(answer, output);
                *has_begun |= matches!(result, WriteResult::Partial);
                result
            }
        }
    }
}

fn write_management_record(record: &[u8], output: &mut SocketBuffer) -> WriteResult {
    if output.free_space() < record.len() {
        return WriteResult::OutputFull;
    }
    output.push(record);
    WriteResult::Complete
}

/// Moves the next part of a response to the output buffer, as a STDOUT record.
fn write_stdout_record(answer: &mut OutgoingAnswer, output: &mut SocketBuffer) -> WriteResult {
    let response = &mut answer.response;
    let available_bytes = output.free_space().saturating_sub(HEADER_BYTES);
    let length = available_bytes
        .min(response.len())
        .min(wire::MAX_CONTENT_BYTES);
    if length < response.len().min(MIN_STDOUT_CONTENT_BYTES) {
        return WriteResult::OutputFull;
    }
    let header = wire::record_header(record_type::STDOUT, answer.request_id, length as u16);
    output.push(&header);
    let mut missing_bytes = length;
    while missing_bytes > 0 {
        let front = response.front();
        let count = front.len().min(missing_bytes);
        output.push(&front[..count]);
        response.consume(count);
        missing_bytes -= count;
    }
    WriteResult::Partial
}

/// Writes the records that end an answer. `has_stdout` says whether it had a response.
fn write_end_records(
    request_id: u16,
    protocol_status: u8,
    has_stdout: bool,
    output: &mut SocketBuffer,
) -> WriteResult {
    if output.free_space() < END_RECORDS_BYTES {
        return WriteResult::OutputFull;
    }
    let mut records = Vec::with_capacity(END_RECORDS_BYTES);
    // Without a response no STDOUT record was written, so there is no STDOUT stream to end.
    if has_stdout {
        wire::write_record(&mut records, record_type::STDOUT, request_id, &[]);
    }
    wire::write_end_request(&mut records, request_id, protocol_status);
    output.push(&records);
    WriteResult::Complete
}
