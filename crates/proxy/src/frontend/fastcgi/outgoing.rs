//! The queue of answers that remain to be written on a connection.
//!
//! Answers are written one after the other. Each is split into records that fit into the free space
//! of the connection's output buffer.

use crate::net::RingBuffer;
use crate::protocol::fastcgi::{self as wire, record_type, HEADER_BYTES};
use std::collections::VecDeque;

/// Length of the record that ends the STDOUT stream plus the END_REQUEST record.
const END_RECORDS_BYTES: usize = HEADER_BYTES + wire::END_REQUEST_RECORD_BYTES;
/// Minimum content of a STDOUT record other than the last one of a response. It keeps the answer to
/// a client that reads slowly from being sent in fragments of a few bytes.
const MIN_STDOUT_CONTENT_BYTES: usize = 1024;

/// An answer to a request.
pub(super) struct OutgoingAnswer {
    /// Id of the FastCGI request.
    pub request_id: u16,
    /// CGI response, or empty if the answer has only a protocol status.
    pub response: Vec<u8>,
    /// Protocol status in the END_REQUEST record.
    pub protocol_status: u8,
    /// Whether the client asked to keep the connection open.
    pub keep_connection: bool,
}

/// An entry of the queue.
enum Outgoing {
    Answer {
        answer: OutgoingAnswer,
        /// Number of response bytes that are already written.
        written_bytes: usize,
    },
    /// An encoded management record.
    Management(Vec<u8>),
}

/// Result of writing the next part of an entry to the output buffer.
enum Progress {
    /// The output buffer has too little free space, and nothing was written.
    OutputFull,
    /// This number of response bytes was written, and more remains.
    Partial(usize),
    /// The entry is now completely written. The number counts the bytes of this step that
    /// `unsent_bytes` includes.
    Complete(usize),
}

/// FIFO queue of answers that remain to be written.
#[derive(Default)]
pub(super) struct OutgoingQueue {
    queue: VecDeque<Outgoing>,
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

    /// Returns the number of bytes of responses and management records that are not yet written.
    pub(super) fn unsent_bytes(&self) -> usize {
        self.unsent_bytes
    }

    /// Returns whether an answer was written after which the client wants the connection closed.
    pub(super) fn close_requested(&self) -> bool {
        self.close_requested
    }

    pub(super) fn push_answer(&mut self, answer: OutgoingAnswer) {
        self.unsent_bytes += answer.response.len();
        self.queue.push_back(Outgoing::Answer {
            answer,
            written_bytes: 0,
        });
    }

    /// Adds a management record, which answers a management record of the client.
    pub(super) fn push_management_record(&mut self, record_type: u8, content: &[u8]) {
        let mut record = Vec::new();
        wire::write_record(&mut record, record_type, wire::NULL_REQUEST_ID, content);
        self.unsent_bytes += record.len();
        self.queue.push_back(Outgoing::Management(record));
    }

    /// Writes as much as fits into the output buffer.
    pub(super) fn write(&mut self, output: &mut RingBuffer) {
        while let Some(first) = self.queue.front_mut() {
            match first.write_next(output) {
                Progress::OutputFull => return,
                Progress::Partial(bytes) => self.unsent_bytes -= bytes,
                Progress::Complete(bytes) => {
                    self.unsent_bytes -= bytes;
                    self.close_requested |= first.closes_connection();
                    self.queue.pop_front();
                }
            }
        }
    }
}

impl Outgoing {
    fn closes_connection(&self) -> bool {
        match self {
            Self::Answer { answer, .. } => !answer.keep_connection,
            Self::Management(_) => false,
        }
    }

    fn write_next(&mut self, output: &mut RingBuffer) -> Progress {
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
                let progress = write_stdout_record(answer, *written_bytes, output);
                if let Progress::Partial(bytes) = progress {
                    *written_bytes += bytes;
                }
                progress
            }
        }
    }
}

fn write_management_record(record: &[u8], output: &mut RingBuffer) -> Progress {
    if output.free_space() < record.len() {
        return Progress::OutputFull;
    }
    output.push(record);
    Progress::Complete(record.len())
}

/// Writes the next STDOUT record of a response, of which `written_bytes` bytes are already written.
fn write_stdout_record(
    answer: &OutgoingAnswer,
    written_bytes: usize,
    output: &mut RingBuffer,
) -> Progress {
    let unsent = &answer.response[written_bytes..];
    let room = output.free_space().saturating_sub(HEADER_BYTES);
    let length = room.min(unsent.len()).min(wire::MAX_CONTENT_BYTES);
    if length < unsent.len().min(MIN_STDOUT_CONTENT_BYTES) {
        return Progress::OutputFull;
    }
    let mut record = Vec::with_capacity(HEADER_BYTES + length);
    wire::write_record(
        &mut record,
        record_type::STDOUT,
        answer.request_id,
        &unsent[..length],
    );
    output.push(&record);
    Progress::Partial(length)
}

fn write_end_records(answer: &OutgoingAnswer, output: &mut RingBuffer) -> Progress {
    if output.free_space() < END_RECORDS_BYTES {
        return Progress::OutputFull;
    }
    let mut records = Vec::with_capacity(END_RECORDS_BYTES);
    // Without a response no STDOUT record was written, so there is no STDOUT stream to end.
    if !answer.response.is_empty() {
        wire::write_record(&mut records, record_type::STDOUT, answer.request_id, &[]);
    }
    wire::write_end_request(&mut records, answer.request_id, answer.protocol_status);
    output.push(&records);
    Progress::Complete(0)
}
