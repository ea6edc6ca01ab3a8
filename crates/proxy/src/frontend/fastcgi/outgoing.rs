//! The queue of answers and management records that remain to be written to a connection.
//!
//! Entries are written to the connection's output buffer one after the other. A response is split
//! into STDOUT records that fit into the free space of the buffer.

use crate::net::RingBuffer;
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
    /// CGI response, or empty if the answer has only a protocol status.
    pub response: Vec<u8>,
    /// Protocol status in the END_REQUEST record.
    pub protocol_status: u8,
    /// Whether the client asked to keep the connection open.
    pub keep_connection: bool,
}

/// An entry of the queue.
enum QueueEntry {
    Answer {
        answer: OutgoingAnswer,
        /// Number of response bytes that are already written to the output buffer.
        written_bytes: usize,
    },
    /// An encoded management record.
    Management(Vec<u8>),
}

/// Result of writing the next part of an entry to the output buffer.
enum WriteResult {
    /// The output buffer has too little free space, and nothing was written.
    OutputFull,
    /// A part of the entry was written, which contains this number of response bytes. More remains
    /// to be written.
    Partial(usize),
    /// The last part of the entry was written. The number of bytes by which this reduces
    /// `OutgoingQueue::unsent_bytes` is the length of a management record, and 0 for an answer,
    /// whose end records are not counted there.
    Complete(usize),
}

/// FIFO queue of answers and management records that remain to be written.
#[derive(Default)]
pub(super) struct OutgoingQueue {
    queue: VecDeque<QueueEntry>,
    /// Number of bytes of responses and management records that are not yet written to the output
    /// buffer.
    unsent_bytes: usize,
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

    /// Returns the number of bytes of responses and management records that are not yet written to
    /// the output buffer.
    pub(super) fn unsent_bytes(&self) -> usize {
        self.unsent_bytes
    }

    /// Returns whether the client asked to close the connection after an answer that is now
    /// completely written.
    pub(super) fn close_requested(&self) -> bool {
        self.close_requested
    }

    /// Adds an answer.
    pub(super) fn push_answer(&mut self, answer: OutgoingAnswer) {
        self.unsent_bytes += answer.response.len();
        self.queue.push_back(QueueEntry::Answer {
            answer,
            written_bytes: 0,
        });
    }

    /// Adds a management record, which answers a management record of the client.
    pub(super) fn push_management_record(&mut self, record_type: u8, content: &[u8]) {
        let mut record = Vec::new();
        wire::write_record(&mut record, record_type, wire::NULL_REQUEST_ID, content);
        self.unsent_bytes += record.len();
        self.queue.push_back(QueueEntry::Management(record));
    }

    /// Writes as much as fits into the output buffer.
    pub(super) fn write(&mut self, output: &mut RingBuffer) {
        while let Some(first) = self.queue.front_mut() {
            match first.write_next(output) {
                WriteResult::OutputFull => return,
                WriteResult::Partial(bytes) => self.unsent_bytes -= bytes,
                WriteResult::Complete(bytes) => {
                    self.unsent_bytes -= bytes;
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

    /// Writes the next part of the entry.
    fn write_next(&mut self, output: &mut RingBuffer) -> WriteResult {
        match self {
            Self::Management(record) => write_management_record(record, output),
            Self::Answer {
                answer,
                written_bytes,
            } if *written_bytes == answer.response.len() => write_end_records(answer, output),
            Self::Answer {
                answer,
                written_bytes,
            } => {
                let result = write_stdout_record(answer, *written_bytes, output);
                if let WriteResult::Partial(bytes) = result {
                    *written_bytes += bytes;
                }
                result
            }
        }
    }
}

fn write_management_record(record: &[u8], output: &mut RingBuffer) -> WriteResult {
    if output.free_space() < record.len() {
        return WriteResult::OutputFull;
    }
    output.push(record);
    WriteResult::Complete(record.len())
}

/// Writes the next STDOUT record of a response, of which `written_bytes` bytes are already written.
fn write_stdout_record(
    answer: &OutgoingAnswer,
    written_bytes: usize,
    output: &mut RingBuffer,
) -> WriteResult {
    let unsent = &answer.response[written_bytes..];
    let available_bytes = output.free_space().saturating_sub(HEADER_BYTES);
    let length = available_bytes
        .min(unsent.len())
        .min(wire::MAX_CONTENT_BYTES);
    if length < unsent.len().min(MIN_STDOUT_CONTENT_BYTES) {
        return WriteResult::OutputFull;
    }
    let mut record = Vec::with_capacity(HEADER_BYTES + length);
    wire::write_record(
        &mut record,
        record_type::STDOUT,
        answer.request_id,
        &unsent[..length],
    );
    output.push(&record);
    WriteResult::Partial(length)
}

/// Writes the records that end an answer.
fn write_end_records(answer: &OutgoingAnswer, output: &mut RingBuffer) -> WriteResult {
    if output.free_space() < END_RECORDS_BYTES {
        return WriteResult::OutputFull;
    }
    let mut records = Vec::with_capacity(END_RECORDS_BYTES);
    // Without a response no STDOUT record was written, so there is no STDOUT stream to end.
    if !answer.response.is_empty() {
        wire::write_record(&mut records, record_type::STDOUT, answer.request_id, &[]);
    }
    wire::write_end_request(&mut records, answer.request_id, answer.protocol_status);
    output.push(&records);
    WriteResult::Complete(0)
}
