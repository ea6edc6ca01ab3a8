//! Session of a web server's connection, which converts FastCGI records to requests and answers to
//! records.
//!
//! Several requests may be open on a connection at the same time. A request is open while it is
//! received and while it waits for its answer. Then it is removed, and its answer moves to the
//! [`OutgoingQueue`].

use super::outgoing::{OutgoingAnswer, OutgoingQueue};
use super::partial_request::{OversizedStream, PartialRequest};
use super::record_collector::RecordCollector;
use super::request::{Endpoint, Parameters};
use super::response;
use crate::frontend::ClientSession;
use crate::limits::Limits;
use crate::memory::ByteQueue;
use crate::net::SocketBuffer;
use crate::protocol::fastcgi::{self as wire, record_type, RecordParser, RecordPart};
use crate::protocol::{Parser, ProtocolError};
use crate::request_table::{Answer, ClientRequest, RequestKey};
use std::collections::HashMap;

/// Name of the GET_VALUES variable that asks whether the application multiplexes requests on a
/// connection (FastCGI 1.0, section 4.1).
const MULTIPLEXING_VARIABLE: &str = "FCGI_MPXS_CONNS";

/// Event that results from received records. A `u16` in a variant is the FastCGI request id.
#[derive(Debug, PartialEq)]
pub enum SessionEvent {
    /// A complete request. The caller has to call [`Session::request_admitted`] or answer it.
    Request(u16, Box<ClientRequest>),
    /// The client no longer waits for the answer to an admitted request.
    Abort(RequestKey),
    /// The client no longer waits for the answer to a request that was not admitted.
    AbortUnadmitted(u16),
    /// A health check, which asks whether the proxy is ready. The caller has to answer it.
    HealthCheck(u16),
}

impl SessionEvent {
    /// Returns whether the caller has to answer the event.
    pub fn requires_answer(&self) -> bool {
        self.request_id().is_some()
    }

    /// Returns the FastCGI request id if the caller has to answer the event, otherwise `None`.
    pub fn request_id(&self) -> Option<u16> {
        match self {
            SessionEvent::Request(request_id, _) | SessionEvent::HealthCheck(request_id) => {
                Some(*request_id)
            }
            SessionEvent::Abort(_) | SessionEvent::AbortUnadmitted(_) => None,
        }
    }
}

/// A complete request that waits for its answer.
struct PendingRequest {
    keep_connection: bool,
    /// Key in the request table, or `None` while the request is not admitted.
    request_key: Option<RequestKey>,
}

/// A request that is not answered yet.
enum OpenRequest {
    Receiving(PartialRequest),
    AwaitingAnswer(PendingRequest),
}

/// Session of a web server's connection.
#[derive(Default)]
pub struct Session {
    record_parser: RecordParser,
    record_collector: RecordCollector,
    /// Open requests by their FastCGI request ids.
    open_requests: HashMap<u16, OpenRequest>,
    outgoing: OutgoingQueue,
    has_received_request: bool,
}

impl ClientSession for Session {
    fn is_idle(&self) -> bool {
        self.open_requests.is_empty() && self.outgoing.is_empty()
    }

    fn is_busy(&self) -> bool {
        !self.outgoing.is_empty() || self.unanswered_requests() > 0
    }

    fn unanswered_requests(&self) -> usize {
        self.pending_requests().count()
    }

    fn has_partial_input(&self) -> bool {
        self.record_parser.has_partial_input() || self.partial_requests().next().is_some()
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

    fn partial_request_bytes(&self) -> usize {
        self.partial_requests()
            .map(PartialRequest::allocated_bytes)
            .sum()
    }

    fn table_bytes(&self) -> usize {
        self.open_requests.capacity() * size_of::<(u16, OpenRequest)>()
    }

    fn unsent_bytes(&self) -> usize {
        self.outgoing.held_bytes()
    }
}

impl Session {
    /// Consumes the input buffer up to the next event. Returns `None` if the buffered input results
    /// in no further event.
    ///
    /// # Errors
    ///
    /// Returns an error if the input violates the protocol or exceeds a limit. The connection then
    /// has to be closed.
    pub fn read(
        &mut self,
        input: &mut SocketBuffer,
        limits: &Limits,
    ) -> Result<Option<SessionEvent>, ProtocolError> {
        while !input.is_empty() {
            let (consumed, part) = self.record_parser.parse(input.readable())?;
            input.consume(consumed);
            let Some(part) = part else {
                continue;
            };
            if let Some(event) = self.handle_record_part(&part, limits)? {
                return Ok(Some(event));
            }
        }
        Ok(None)
    }

    /// Records that the request table has admitted a request.
    pub fn request_admitted(&mut self, request_id: u16, request_key: RequestKey) {
        if let Some(OpenRequest::AwaitingAnswer(request)) = self.open_requests.get_mut(&request_id)
        {
            request.request_key = Some(request_key);
        }
    }

    /// Queues the final answer to a request. Does nothing if the client has aborted the request.
    pub fn respond(&mut self, request_id: u16, answer: Answer) {
        self.finish_request(request_id, response::cgi_response(answer));
    }

    /// Rejects the requests that are partially received. Their remaining records are ignored.
    pub fn reject_partial_requests(&mut self) {
        let mut rejected = Vec::new();
        self.open_requests
            .retain(|request_id, request| match request {
                OpenRequest::Receiving(request) => {
                    rejected.push((*request_id, request.keep_connection));
                    false
                }
                OpenRequest::AwaitingAnswer(_) => true,
            });
        rejected.sort_unstable();
        for (request_id, keep_connection) in rejected {
            self.end_without_response(request_id, wire::OVERLOADED, keep_connection);
        }
    }

    /// Replaces the content of the answers of which nothing is written yet by failures, where that
    /// frees memory. Returns how many were replaced.
    pub fn fail_unwritten_answers(&mut self) -> usize {
        self.outgoing
            .replace_unwritten(ByteQueue::MIN_BLOCK_BYTES, &response::failure().to_vec())
    }

    /// Queues an answer that has only a status, as in `200 OK`.
    pub fn respond_with_status(&mut self, request_id: u16, status: &str) {
        self.finish_request(request_id, response::status_only(status));
    }

    /// Writes as much of the queued answers as fits into the output buffer.
    pub fn write(&mut self, output: &mut SocketBuffer) {
        self.outgoing.write(output);
    }

    fn pending_requests(&self) -> impl Iterator<Item = &PendingRequest> {
        self.open_requests
            .values()
            .filter_map(|request| match request {
                OpenRequest::AwaitingAnswer(request) => Some(request),
                OpenRequest::Receiving(_) => None,
            })
    }

    fn partial_requests(&self) -> impl Iterator<Item = &PartialRequest> {
        self.open_requests
            .values()
            .filter_map(|request| match request {
                OpenRequest::Receiving(request) => Some(request),
                OpenRequest::AwaitingAnswer(_) => None,
            })
    }

    /// Handles the next part of a record. Every limit is checked against the announced length, so
    /// that a record which exceeds it is rejected at its first part and never kept.
    fn handle_record_part(
        &mut self,
        part: &RecordPart,
        limits: &Limits,
    ) -> Result<Option<SessionEvent>, ProtocolError> {
        // A well-behaved client waits for at most as many answers as it may have unanswered
        // requests, so its queue stays below this limit.
        if part.is_first && self.outgoing.len() >= limits.unsent_answers_per_client {
            return Err(ProtocolError::TooLong(
                "the queue of answers that the client does not read",
            ));
        }
        if part.header.request_id == wire::NULL_REQUEST_ID {
            self.answer_management(part, limits)?;
            return Ok(None);
        }
        match part.header.record_type {
            record_type::BEGIN_REQUEST => self.begin_request(part, limits)?,
            record_type::ABORT_REQUEST if part.is_last() => {
                return Ok(self.abort_request(part.header.request_id))
            }
            record_type::PARAMS => self.receive_parameters(part, limits),
            record_type::STDIN => return self.receive_body(part, limits),
            // Record types that the Responder role does not use. Their content is dropped.
            _ => {}
        }
        Ok(None)
    }

    /// Answers a management record. All types except GET_VALUES are answered as unknown.
    fn answer_management(
        &mut self,
        part: &RecordPart,
        limits: &Limits,
    ) -> Result<(), ProtocolError> {
        let record_type = part.header.record_type;
        if record_type == record_type::GET_VALUES {
            let names = self
                .record_collector
                .collect(part, limits, "a GET_VALUES record")?;
            return names.map_or(Ok(()), |names| self.answer_get_values(&names));
        }
        if part.is_last() {
            let content = [record_type, 0, 0, 0, 0, 0, 0, 0];
            self.outgoing
                .push_management_record(record_type::UNKNOWN_TYPE, &content);
        }
        Ok(())
    }

    /// Answers a GET_VALUES record with the values of the known variables, each once.
    fn answer_get_values(&mut self, names: &[u8]) -> Result<(), ProtocolError> {
        let pairs = wire::read_pairs(names)?;
        let mut values = Vec::new();
        if pairs.iter().any(|(name, _)| name == MULTIPLEXING_VARIABLE) {
            wire::write_pair(&mut values, MULTIPLEXING_VARIABLE, "1");
        }
        self.outgoing
            .push_management_record(record_type::GET_VALUES_RESULT, &values);
        Ok(())
    }

    fn begin_request(&mut self, part: &RecordPart, limits: &Limits) -> Result<(), ProtocolError> {
        let request_id = part.header.request_id;
        if self.open_requests.contains_key(&request_id) {
            return Err(ProtocolError::Malformed(
                "a BEGIN_REQUEST record (its request id is already in use)",
            ));
        }
        let content = self
            .record_collector
            .collect(part, limits, "a BEGIN_REQUEST record")?;
        let Some(content) = content else {
            return Ok(());
        };
        let begin = wire::read_begin_request(&content)?;
        let keep_connection = begin.flags & wire::KEEP_CONN != 0;
        if begin.role != wire::RESPONDER {
            self.end_without_response(request_id, wire::UNKNOWN_ROLE, keep_connection);
        } else if self.open_requests.len() >= limits.requests_per_client {
            self.end_without_response(request_id, wire::OVERLOADED, keep_connection);
        } else {
            let request = PartialRequest::new(keep_connection);
            self.open_requests
                .insert(request_id, OpenRequest::Receiving(request));
        }
        Ok(())
    }

    fn receive_parameters(&mut self, part: &RecordPart, limits: &Limits) {
        let request_id = part.header.request_id;
        // Records of a request that is already answered are ignored, because the client may have
        // sent them before it received the answer.
        let Some(OpenRequest::Receiving(request)) = self.open_requests.get_mut(&request_id) else {
            return;
        };
        if let Err(error) = request.receive_parameters(part, limits) {
            self.reject_oversized_request(request_id, error);
        }
    }

    fn receive_body(
        &mut self,
        part: &RecordPart,
        limits: &Limits,
    ) -> Result<Option<SessionEvent>, ProtocolError> {
        let request_id = part.header.request_id;
        let Some(OpenRequest::Receiving(request)) = self.open_requests.get_mut(&request_id) else {
            return Ok(None);
        };
        match request.receive_body(part, limits) {
            Ok(false) => Ok(None),
            Ok(true) => {
                let request = std::mem::take(request);
                self.handle_request(request_id, request, limits)
            }
            Err(error) => {
                self.reject_oversized_request(request_id, error);
                Ok(None)
            }
        }
    }

    /// Rejects a request of which a stream exceeds its limit. The other requests on the connection
    /// are answered. Then the connection is closed, because the client may send the rest of the
    /// stream for as long as it stays open. Until then, the rest is ignored.
    fn reject_oversized_request(&mut self, request_id: u16, error: OversizedStream) {
        log::debug!("rejecting FastCGI request {request_id}: {error}");
        self.open_requests.remove(&request_id);
        self.end_without_response(request_id, wire::OVERLOADED, false);
    }

    /// Handles a complete request. Answers an invalid one with an error status and returns `None`.
    fn handle_request(
        &mut self,
        request_id: u16,
        request: PartialRequest,
        limits: &Limits,
    ) -> Result<Option<SessionEvent>, ProtocolError> {
        self.has_received_request = true;
        let pending = PendingRequest {
            keep_connection: request.keep_connection,
            request_key: None,
        };
        self.open_requests
            .insert(request_id, OpenRequest::AwaitingAnswer(pending));
        let parameters = Parameters::new(wire::read_pairs(&request.parameters)?);
        let endpoint = parameters.endpoint();
        if endpoint == Endpoint::HealthCheck {
            return Ok(Some(SessionEvent::HealthCheck(request_id)));
        }
        match parameters.build_client_request(request.body, limits) {
            Ok(client_request) => Ok(Some(SessionEvent::Request(
                request_id,
                Box::new(client_request),
            ))),
            Err(error) => {
                log::info!(
                    "rejecting FastCGI request {request_id} with a client error status: {error}"
                );
                let status = match endpoint {
                    Endpoint::Invoke => "400 Bad Request",
                    _ => "404 Not Found",
                };
                self.respond_with_status(request_id, status);
                Ok(None)
            }
        }
    }

    /// Ends a request for which the client no longer waits. Returns `None` if no request with this
    /// id is open.
    fn abort_request(&mut self, request_id: u16) -> Option<SessionEvent> {
        let (keep_connection, request_key) = match self.open_requests.remove(&request_id)? {
            OpenRequest::Receiving(request) => (request.keep_connection, None),
            OpenRequest::AwaitingAnswer(request) => (request.keep_connection, request.request_key),
        };
        self.end_without_response(request_id, wire::REQUEST_COMPLETE, keep_connection);
        Some(match request_key {
            Some(request_key) => SessionEvent::Abort(request_key),
            None => SessionEvent::AbortUnadmitted(request_id),
        })
    }

    fn finish_request(&mut self, request_id: u16, response: ByteQueue) {
        let request = self.open_requests.remove(&request_id);
        self.release_empty_table();
        if let Some(OpenRequest::AwaitingAnswer(request)) = request {
            self.outgoing.push_answer(OutgoingAnswer {
                request_id,
                response,
                protocol_status: wire::REQUEST_COMPLETE,
                keep_connection: request.keep_connection,
            });
        }
    }

    /// Frees the memory of the table of open requests if it is empty, because hundreds of connections
    /// may stay open.
    fn release_empty_table(&mut self) {
        if self.open_requests.is_empty() {
            self.open_requests.shrink_to_fit();
        }
    }

    fn end_without_response(
        &mut self,
        request_id: u16,
        protocol_status: u8,
        keep_connection: bool,
    ) {
        self.outgoing.push_answer(OutgoingAnswer {
            request_id,
            response: ByteQueue::new(),
            protocol_status,
            keep_connection,
        });
    }
}
