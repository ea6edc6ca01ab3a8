//! The queue of answers of one connection that are on their way out.
//!
//! Answers leave one after the other, cut into records as room in the connection's output buffer
//! allows.

use crate::net::RingBuffer;
use crate::protocol::fastcgi::{self as wire, record_type, HEADER_BYTES};
use std::collections::VecDeque;

/// Room for the record that ends the STDOUT stream and the one that ends the request.
const END_BYTES: usize = HEADER_BYTES + wire::END_REQUEST_RECORD_BYTES;
/// No STDOUT record has less content than this unless it is the last: a client that reads slowly
/// must not be sent its answer in fragments of a few bytes each.
const MINIMUM_CONTENT_BYTES: usize = 1024;

/// An answer to a request.
pub(super) struct OutgoingAnswer {
    /// The FastCGI request that it answers.
    pub request_id: u16,
    /// The CGI response; empty where there is only a protocol status.
    pub response: Vec<u8>,
    /// The protocol status of END_REQUEST.
    pub protocol_status: u8,
    /// Whether the client wants the connection kept open.
    pub keep_connection: bool,
}

enum Outgoing {
    Answer {
        answer: OutgoingAnswer,
        /// Bytes of the response that are written.
        written: usize,
    },
    /// A whole management record.
    Management(Vec<u8>),
}

/// What came of an attempt to write the next part of the first answer.
enum Progress {
    /// The output buffer has too little room.
    OutputFull,
    /// This many bytes of the response were written.
    Partial(usize),
    /// It is written to its end, the last step with this many bytes of the response.
    Complete(usize),
}

/// The answers on their way out, first in, first out.
#[derive(Default)]
pub(super) struct OutgoingQueue {
    queue: VecDeque<Outgoing>,
    unsent_bytes: usize,
    close_requested: bool,
}

impl OutgoingQueue {
    /// How many answers are not yet written whole.
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Bytes of responses that are not yet written.
    pub(super) fn unsent_bytes(&self) -> usize {
        self.unsent_bytes
    }

    /// Whether an answer is written whose client wants the connection closed after it.
    pub(super) fn close_requested(&self) -> bool {
        self.close_requested
    }

    pub(super) fn push_answer(&mut self, answer: OutgoingAnswer) {
        self.unsent_bytes += answer.response.len();
        self.queue
            .push_back(Outgoing::Answer { answer, written: 0 });
    }

    /// Adds the answer to a management record.
    pub(super) fn push_management(&mut self, record_type: u8, content: &[u8]) {
        let mut record = Vec::new();
        wire::write_record(&mut record, record_type, wire::NULL_REQUEST_ID, content);
        self.unsent_bytes += record.len();
        self.queue.push_back(Outgoing::Management(record));
    }

    /// Moves as much as fits into the output buffer.
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
            Self::Management(record) => write_management(record, output),
            Self::Answer { answer, written } if *written == answer.response.len() => {
                write_end(answer, output)
            }
            Self::Answer { answer, written } => {
                let progress = write_content(answer, *written, output);
                if let Progress::Partial(bytes) = progress {
                    *written += bytes;
                }
                progress
            }
        }
    }
}

fn write_management(record: &[u8], output: &mut RingBuffer) -> Progress {
    if output.free_space() < record.len() {
        return Progress::OutputFull;
    }
    output.push(record);
    Progress::Complete(record.len())
}

/// Writes the next STDOUT record of a response of which `written` bytes are written.
fn write_content(answer: &OutgoingAnswer, written: usize, output: &mut RingBuffer) -> Progress {
    let unsent = &answer.response[written..];
    let room = output.free_space().saturating_sub(HEADER_BYTES);
    let length = room.min(unsent.len()).min(wire::MAX_CONTENT_BYTES);
    if length < unsent.len().min(MINIMUM_CONTENT_BYTES) {
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

fn write_end(answer: &OutgoingAnswer, output: &mut RingBuffer) -> Progress {
    if output.free_space() < END_BYTES {
        return Progress::OutputFull;
    }
    let mut records = Vec::with_capacity(END_BYTES);
    // A stream that was never started needs no end.
    if !answer.response.is_empty() {
        wire::write_record(&mut records, record_type::STDOUT, answer.request_id, &[]);
    }
    wire::write_end_request(&mut records, answer.request_id, answer.protocol_status);
    output.push(&records);
    Progress::Complete(0)
}
