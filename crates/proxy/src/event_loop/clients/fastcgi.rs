//! FastCGI clients: passes their requests to the request table, and its answers back to the
//! clients.

use crate::event_loop::connections::ConnectionRole;
use crate::event_loop::EventLoop;
use crate::frontend::fastcgi::SessionEvent;
use crate::frontend::ClientSession;
use crate::invariants::Invariant;
use crate::net::{IoProgress, SlabKey};
use crate::protocol::ProtocolError;
use crate::request_table::{Answer, AnswerTarget, ClientRequest, RequestKey};
use edge_routing::Micros;
use std::collections::VecDeque;

/// Returns the status of the health check, by which a load balancer decides whether to send
/// requests to this proxy.
fn health_status(is_ready: bool) -> &'static str {
    if is_ready {
        "200 OK"
    } else {
        "503 Service Unavailable"
    }
}

impl EventLoop {
    /// Handles the buffered input of a FastCGI connection. A request whose cancellation has already
    /// arrived is not admitted.
    ///
    /// # Errors
    ///
    /// Returns an error if the input violates the protocol.
    pub(in crate::event_loop) fn read_fastcgi_client(
        &mut self,
        mut now: Micros,
        key: SlabKey,
    ) -> Result<(), ProtocolError> {
        let unread_us = self.unread_us(now, key);
        let mut events = VecDeque::new();
        let mut result = self.take_session_events(key, &mut events);
        // The bodies of the requests are not in the session any more.
        self.update_connection_memory(now, key);
        if unread_us > 0 && !events.is_empty() && result.is_ok() {
            match self.read_further_input(key, &mut events) {
                // The client no longer waits for any answer. The connection is closed when the
                // poller reports it next.
                Ok(IoProgress::PeerClosed | IoProgress::Broken) => return Ok(()),
                Ok(_) => {}
                Err(error) => result = Err(error),
            }
        }
        while let Some(event) = events.pop_front() {
            match event {
                SessionEvent::Abort(request_key) => {
                    self.request_table.client_disconnected(now, request_key);
                }
                SessionEvent::AbortUnadmitted(_) => {}
                SessionEvent::HealthCheck(stream) => self.answer_health_check(key, stream),
                SessionEvent::Request(stream, mut request) => {
                    request.remaining_us = request.remaining_us.saturating_sub(unread_us);
                    let requests_behind = events
                        .iter()
                        .filter(|event| event.requires_answer())
                        .count();
                    self.admit_fastcgi_request(now, key, stream, *request, requests_behind);
                }
            }
            // The commands run only after the session has recorded the request as admitted, because
            // a command may answer the request at once.
            self.execute_commands(now);
            if !events.is_empty() {
                now = self.clock.now();
            }
        }
        result
    }

    /// Appends the events in the input buffer to `events`. Removes the requests whose cancellation
    /// is among the events.
    ///
    /// # Errors
    ///
    /// Returns an error if the input violates the protocol.
    fn take_session_events(
        &mut self,
        key: SlabKey,
        events: &mut VecDeque<SessionEvent>,
    ) -> Result<(), ProtocolError> {
        let Some((transport, session)) = self.connections.fastcgi_client_mut(key) else {
            return Ok(());
        };
        while let Some(event) = session.read(&mut transport.input, &self.limits)? {
            if let SessionEvent::AbortUnadmitted(stream) = event {
                events.retain(|earlier| earlier.request_id() != Some(stream));
            } else {
                events.push_back(event);
            }
        }
        Ok(())
    }

    /// Reads the input that has arrived meanwhile and appends its events to `events`. Stops when
    /// nothing more arrives, or after `Limits::max_late_reads` reads.
    ///
    /// # Errors
    ///
    /// Returns an error if the input violates the protocol.
    fn read_further_input(
        &mut self,
        key: SlabKey,
        events: &mut VecDeque<SessionEvent>,
    ) -> Result<IoProgress, ProtocolError> {
        for _ in 0..self.limits.max_late_reads {
            let Some((transport, _)) = self.connections.fastcgi_client_mut(key) else {
                break;
            };
            match transport.read(false) {
                IoProgress::Advanced => self.take_session_events(key, events)?,
                progress => return Ok(progress),
            }
        }
        Ok(IoProgress::Advanced)
    }

    /// Admits a request and returns its key, or `None` if there is no memory for it or the request
    /// table does not admit it. The caller must not call this after the grace period of a shutdown;
    /// an invariant checks this.
    pub(in crate::event_loop) fn admit(
        &mut self,
        now: Micros,
        target: AnswerTarget,
        request: ClientRequest,
    ) -> Option<RequestKey> {
        let may_admit = !self.shutdown.is_grace_over();
        let invariants = &self.request_table.invariants;
        invariants.check(Invariant::AdmitOnlyBeforeGraceEnds, may_admit, &request.id);
        self.update_request_memory();
        if !self.memory.admits_request(request.body.allocated_bytes()) {
            log::debug!("request {}: rejected: memory has run out", request.id);
            return None;
        }
        self.request_table.admit(now, target, request).ok()
    }

    fn answer_health_check(&mut self, key: SlabKey, stream: u16) {
        let status = health_status(self.is_ready());
        if let Some((_, session)) = self.connections.fastcgi_client_mut(key) {
            session.respond_with_status(stream, status);
        }
    }

    /// Passes a request to the request table, or rejects it. `requests_behind` is the number of
    /// requests that were read after it from the same connection and are not yet handled.
    fn admit_fastcgi_request(
        &mut self,
        now: Micros,
        key: SlabKey,
        stream: u16,
        request: ClientRequest,
        requests_behind: usize,
    ) {
        let Some((_, session)) = self.connections.fastcgi_client_mut(key) else {
            return;
        };
        // A client that sends very many requests must leave room for the requests of other clients.
        let client_limit_exceeded = !self.limits.allows_unanswered_requests(
            session.unanswered_requests() - requests_behind,
            self.request_table.is_half_full(),
        );
        let rejected = client_limit_exceeded || self.shutdown.is_grace_over();
        let target = AnswerTarget {
            connection: key,
            stream: u32::from(stream),
        };
        let request_key = if rejected {
            log::debug!(
                "request {}: rejected: limit of requests per client exceeded: \
                 {client_limit_exceeded}, shutting down: {}",
                request.id,
                self.shutdown.is_grace_over()
            );
            None
        } else {
            self.admit(now, target, request)
        };
        let Some((_, session)) = self.connections.fastcgi_client_mut(key) else {
            return;
        };
        match request_key {
            Some(request_key) => session.request_admitted(stream, request_key),
            None => session.respond(
                stream,
                Answer::Rejected {
                    retry_after_us: Some(self.limits.retry_after_us),
                },
            ),
        }
    }

    /// Sends a client the final answer to its request, over the protocol of its connection. If the
    /// content does not fit into the memory budget, the client is told of a failure instead.
    pub(in crate::event_loop) fn send_answer(
        &mut self,
        now: Micros,
        target: AnswerTarget,
        mut answer: Answer,
    ) {
        let content_bytes = answer.content_bytes();
        if content_bytes > 0 && !self.memory.has_room(content_bytes) {
            log::debug!("memory has run out: replacing an answer by a failure");
            answer = Answer::Failed;
        }
        let Some(connection) = self.connections.get_mut(target.connection) else {
            return;
        };
        match &mut connection.role {
            ConnectionRole::FastCgiClient(session) => {
                session.respond(target.stream as u16, answer);
                self.write_fastcgi_client(target.connection);
            }
            ConnectionRole::InterconnectClient(_) => {
                self.answer_interconnect_client(now, target.connection, answer);
            }
            _ => {}
        }
    }

    /// Writes the answers on a FastCGI connection until all are written or the socket accepts no
    /// more.
    pub(in crate::event_loop) fn write_fastcgi_client(&mut self, key: SlabKey) {
        let Some((transport, session)) = self.connections.fastcgi_client_mut(key) else {
            return;
        };
        loop {
            session.write(&mut transport.output);
            if transport.write() != IoProgress::Advanced {
                break;
            }
        }
    }
}
