//! One connection of a web server: FastCGI records become requests, answers become records.
//!
//! Requests are multiplexed on a connection. Each is a stream that is first received, then awaits
//! its answer; after that it is forgotten here and its answer is in the queue of [`OutgoingQueue`].

use super::outgoing::{OutgoingAnswer, OutgoingQueue};
use super::request::{Endpoint, Parameters};
use super::response;
use crate::frontend::ClientSession;
use crate::limits::Limits;
use crate::net::RingBuffer;
use crate::protocol::fastcgi::{self as wire, record_type, Record, RecordParser};
use crate::protocol::{Parser, ProtocolError};
use crate::request_table::{Answer, ClientRequest, RequestKey};
use std::collections::HashMap;

/// The variable of GET_VALUES that asks whether connections are multiplexed (FastCGI 1.0, section
/// 4.1).
const MULTIPLEXES_CONNECTIONS: &str = "FCGI_MPXS_CONNS";

/// What a connection received. The first field of requests is the FastCGI request id.
#[derive(Debug, PartialEq)]
pub enum SessionEvent {
    /// A request: [`Session::request_admitted`] or an answer must follow.
    Request(u16, ClientRequest),
    /// The client no longer waits for the answer.
    Abort(RequestKey),
    /// The client no longer waits for a request that was not admitted yet.
    AbortUnadmitted(u16),
    /// The question whether the proxy is ready: an answer must follow.
    HealthCheck(u16),
}

impl SessionEvent {
    /// Whether it wants an answer.
    pub fn is_request(&self) -> bool {
        self.stream().is_some()
    }

    /// The stream of what wants an answer.
    pub fn stream(&self) -> Option<u16> {
        match self {
            SessionEvent::Request(stream, _) | SessionEvent::HealthCheck(stream) => Some(*stream),
            SessionEvent::Abort(_) | SessionEvent::AbortUnadmitted(_) => None,
        }
    }
}

/// A request of which not all has been received.
#[derive(Default)]
struct PartialRequest {
    keep_connection: bool,
    parameters: Vec<u8>,
    parameters_complete: bool,
    body: Vec<u8>,
}

/// A request that was received whole.
struct PendingRequest {
    keep_connection: bool,
    /// Its key in the request table; none while it is not admitted.
    request_key: Option<RequestKey>,
}

enum Stream {
    Receiving(PartialRequest),
    AwaitingAnswer(PendingRequest),
}

/// One connection of a web server.
#[derive(Default)]
pub struct Session {
    records: RecordParser,
    /// The open requests, by their FastCGI request ids.
    streams: HashMap<u16, Stream>,
    outgoing: OutgoingQueue,
    has_received_request: bool,
}

impl ClientSession for Session {
    fn is_idle(&self) -> bool {
        self.streams.is_empty() && self.outgoing.is_empty()
    }

    fn is_busy(&self) -> bool {
        !self.outgoing.is_empty() || self.unanswered() > 0
    }

    fn unanswered(&self) -> usize {
        self.pending_requests().count()
    }

    fn has_partial_input(&self) -> bool {
        self.records.has_partial_input() || self.partial_requests().next().is_some()
    }

    fn has_received_request(&self) -> bool {
        self.has_received_request
    }

    fn is_finished(&self) -> bool {
        self.outgoing.close_requested() && self.is_idle()
    }

    fn request_keys(&self) -> Vec<RequestKey> {
        self.pending_requests()
            .filter_map(|request| request.request_key)
            .collect()
    }
}

impl Session {
    /// Bytes held of partially received requests.
    pub fn partial_request_bytes(&self) -> usize {
        self.partial_requests()
            .map(|request| request.parameters.len() + request.body.len())
            .sum()
    }

    /// Bytes of answers that wait to be written.
    pub fn unsent_bytes(&self) -> usize {
        self.outgoing.unsent_bytes()
    }

    /// Reads from the input buffer up to the next event. An error ends the connection.
    pub fn read(
        &mut self,
        input: &mut RingBuffer,
        limits: &Limits,
    ) -> Result<Option<SessionEvent>, ProtocolError> {
        while !input.is_empty() {
            let (consumed, record) = self.records.parse(input.readable())?;
            input.consume(consumed);
            let Some(record) = record else {
                continue;
            };
            if let Some(event) = self.handle_record(record, limits)? {
                return Ok(Some(event));
            }
        }
        Ok(None)
    }

    /// The request table has admitted a request.
    pub fn request_admitted(&mut self, id: u16, request_key: RequestKey) {
        if let Some(Stream::AwaitingAnswer(request)) = self.streams.get_mut(&id) {
            request.request_key = Some(request_key);
        }
    }

    /// The final answer to a request. One that its client aborted gets none.
    pub fn respond(&mut self, id: u16, answer: &Answer) {
        self.finish_request(id, response::cgi_response(answer));
    }

    /// Rejects the requests that are partially received. The rest of them is skipped.
    pub fn reject_partial_requests(&mut self) {
        let mut rejected = Vec::new();
        self.streams.retain(|id, stream| match stream {
            Stream::Receiving(request) => {
                rejected.push((*id, request.keep_connection));
                false
            }
            Stream::AwaitingAnswer(_) => true,
        });
        rejected.sort_unstable();
        for (id, keep_connection) in rejected {
            self.end_without_response(id, wire::OVERLOADED, keep_connection);
        }
    }

    /// An answer that has a status and nothing else, as in "200 OK".
    pub fn respond_with_status(&mut self, id: u16, status: &str) {
        self.finish_request(id, response::status_only(status));
    }

    /// Moves as much of the answers as fits into the output buffer.
    pub fn write(&mut self, output: &mut RingBuffer) {
        self.outgoing.write(output);
    }

    fn pending_requests(&self) -> impl Iterator<Item = &PendingRequest> {
        self.streams.values().filter_map(|stream| match stream {
            Stream::AwaitingAnswer(request) => Some(request),
            Stream::Receiving(_) => None,
        })
    }

    fn partial_requests(&self) -> impl Iterator<Item = &PartialRequest> {
        self.streams.values().filter_map(|stream| match stream {
            Stream::Receiving(request) => Some(request),
            Stream::AwaitingAnswer(_) => None,
        })
    }

    fn handle_record(
        &mut self,
        record: Record,
        limits: &Limits,
    ) -> Result<Option<SessionEvent>, ProtocolError> {
        // Usual clients wait for no more answers than they may have requests open.
        if self.outgoing.len() >= limits.unsent_answers_per_client {
            return Err(ProtocolError::TooLong(
                "the queue of answers that a client does not read",
            ));
        }
        if record.request_id == wire::NULL_REQUEST_ID {
            self.answer_management(&record)?;
            return Ok(None);
        }
        match record.record_type {
            record_type::BEGIN_REQUEST => self.begin_request(&record, limits)?,
            record_type::ABORT_REQUEST => return Ok(self.abort_request(record.request_id)),
            record_type::PARAMS => self.receive_parameters(&record, limits)?,
            record_type::STDIN => return self.receive_body(&record, limits),
            // Streams that are not used here.
            _ => {}
        }
        Ok(None)
    }

    /// Answers GET_VALUES, and any other management record as one of an unknown type.
    fn answer_management(&mut self, record: &Record) -> Result<(), ProtocolError> {
        if record.record_type != record_type::GET_VALUES {
            let content = [record.record_type, 0, 0, 0, 0, 0, 0, 0];
            self.outgoing
                .push_management(record_type::UNKNOWN_TYPE, &content);
            return Ok(());
        }
        let mut values = Vec::new();
        for (name, _) in wire::read_pairs(&record.content)? {
            if name == MULTIPLEXES_CONNECTIONS {
                wire::write_pair(&mut values, &name, "1");
            }
        }
        self.outgoing
            .push_management(record_type::GET_VALUES_RESULT, &values);
        Ok(())
    }

    fn begin_request(&mut self, record: &Record, limits: &Limits) -> Result<(), ProtocolError> {
        if self.streams.contains_key(&record.request_id) {
            return Err(ProtocolError::Malformed("a request id that is in use"));
        }
        let begin = wire::read_begin_request(&record.content)?;
        let keep_connection = begin.flags & wire::KEEP_CONN != 0;
        if begin.role != wire::RESPONDER {
            self.end_without_response(record.request_id, wire::UNKNOWN_ROLE, keep_connection);
        } else if self.streams.len() >= limits.requests_per_client {
            self.end_without_response(record.request_id, wire::OVERLOADED, keep_connection);
        } else {
            let request = PartialRequest {
                keep_connection,
                ..PartialRequest::default()
            };
            self.streams
                .insert(record.request_id, Stream::Receiving(request));
        }
        Ok(())
    }

    fn receive_parameters(
        &mut self,
        record: &Record,
        limits: &Limits,
    ) -> Result<(), ProtocolError> {
        // Records of requests that are over are skipped: they may have been sent before the answer
        // arrived.
        let Some(Stream::Receiving(request)) = self.streams.get_mut(&record.request_id) else {
            return Ok(());
        };
        if request.parameters.len() + record.content.len() > limits.params_bytes {
            return Err(ProtocolError::TooLong("a request's parameters"));
        }
        request.parameters_complete = record.content.is_empty();
        request.parameters.extend_from_slice(&record.content);
        Ok(())
    }

    fn receive_body(
        &mut self,
        record: &Record,
        limits: &Limits,
    ) -> Result<Option<SessionEvent>, ProtocolError> {
        let Some(Stream::Receiving(request)) = self.streams.get_mut(&record.request_id) else {
            return Ok(None);
        };
        if !request.parameters_complete {
            return Ok(None);
        }
        if request.body.len() + record.content.len() > limits.body_bytes {
            return Err(ProtocolError::TooLong("a request's body"));
        }
        request.body.extend_from_slice(&record.content);
        if !record.content.is_empty() {
            return Ok(None);
        }
        let request = std::mem::take(request);
        self.handle_request(record.request_id, request, limits)
    }

    /// Handles a request that was received whole.
    fn handle_request(
        &mut self,
        id: u16,
        request: PartialRequest,
        limits: &Limits,
    ) -> Result<Option<SessionEvent>, ProtocolError> {
        self.has_received_request = true;
        let pending = PendingRequest {
            keep_connection: request.keep_connection,
            request_key: None,
        };
        self.streams.insert(id, Stream::AwaitingAnswer(pending));
        let parameters = Parameters::new(wire::read_pairs(&request.parameters)?);
        let endpoint = parameters.endpoint();
        if endpoint == Endpoint::HealthCheck {
            return Ok(Some(SessionEvent::HealthCheck(id)));
        }
        match parameters.client_request(request.body, limits) {
            Ok(client_request) => Ok(Some(SessionEvent::Request(id, client_request))),
            Err(error) => {
                log::info!("request rejected: {error}");
                let status = match endpoint {
                    Endpoint::Invoke => "400 Bad Request",
                    _ => "404 Not Found",
                };
                self.respond_with_status(id, status);
                Ok(None)
            }
        }
    }

    /// Ends a request that its client no longer waits for; an event if the request table has it.
    fn abort_request(&mut self, id: u16) -> Option<SessionEvent> {
        let (keep_connection, request_key) = match self.streams.remove(&id)? {
            Stream::Receiving(request) => (request.keep_connection, None),
            Stream::AwaitingAnswer(request) => (request.keep_connection, request.request_key),
        };
        self.end_without_response(id, wire::REQUEST_COMPLETE, keep_connection);
        Some(match request_key {
            Some(request_key) => SessionEvent::Abort(request_key),
            None => SessionEvent::AbortUnadmitted(id),
        })
    }

    fn finish_request(&mut self, id: u16, response: Vec<u8>) {
        if let Some(Stream::AwaitingAnswer(request)) = self.streams.remove(&id) {
            self.outgoing.push_answer(OutgoingAnswer {
                request_id: id,
                response,
                protocol_status: wire::REQUEST_COMPLETE,
                keep_connection: request.keep_connection,
            });
        }
    }

    fn end_without_response(&mut self, id: u16, protocol_status: u8, keep_connection: bool) {
        self.outgoing.push_answer(OutgoingAnswer {
            request_id: id,
            response: Vec::new(),
            protocol_status,
            keep_connection,
        });
    }
}
