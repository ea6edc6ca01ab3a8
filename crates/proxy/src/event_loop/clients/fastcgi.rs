//! FastCGI clients: their requests go to the request table, its answers back to them.

use crate::event_loop::connections::{Connection, ConnectionRole};
use crate::event_loop::EventLoop;
use crate::frontend::fastcgi::SessionEvent;
use crate::frontend::ClientSession;
use crate::invariants::Invariant;
use crate::net::{IoProgress, SlabKey};
use crate::protocol::ProtocolError;
use crate::request_table::{Answer, ClientRequest, RequestKey, ResponseTarget};
use edge_routing::Micros;
use std::collections::VecDeque;

/// The status by which a load balancer is told whether to send requests here.
fn health_status(is_ready: bool) -> &'static str {
    if is_ready {
        "200 OK"
    } else {
        "503 Service Unavailable"
    }
}

impl EventLoop {
    /// Handles everything that a FastCGI connection has received. A request whose cancellation has
    /// come too is not admitted.
    pub(in crate::event_loop) fn read_fastcgi_client(
        &mut self,
        mut now: Micros,
        key: SlabKey,
    ) -> Result<(), ProtocolError> {
        let unread_us = self.unread_us(now, key);
        let mut events = VecDeque::new();
        let mut result = self.take_session_events(key, &mut events);
        if unread_us > 0 && !events.is_empty() && result.is_ok() {
            match self.read_on(key, &mut events) {
                // Nobody waits for any of it; the connection is closed with its next report.
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
                    let behind = events.iter().filter(|event| event.is_request()).count();
                    self.admit_fastcgi_request(now, key, stream, request, behind);
                }
            }
            // After the session knows its request as admitted: an answer may be given at once.
            self.execute_commands(now);
            if !events.is_empty() {
                now = self.clock.now();
            }
        }
        result
    }

    /// Takes the events out of what is buffered, without the requests that are cancelled among them.
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
                events.retain(|earlier| earlier.stream() != Some(stream));
            } else {
                events.push_back(event);
            }
        }
        Ok(())
    }

    /// Reads on in what a client has sent meanwhile, as long as more comes.
    fn read_on(
        &mut self,
        key: SlabKey,
        events: &mut VecDeque<SessionEvent>,
    ) -> Result<IoProgress, ProtocolError> {
        for _ in 0..self.limits.late_reads {
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

    /// Admits a request, if there is room for it. That the proxy is not about to end is for the caller
    /// to see to; it is checked here as an invariant.
    pub(in crate::event_loop) fn admit(
        &mut self,
        now: Micros,
        target: ResponseTarget,
        request: ClientRequest,
    ) -> Option<RequestKey> {
        let may_admit = !self.shutdown.is_grace_over();
        let invariants = &self.request_table.invariants;
        invariants.check(Invariant::AdmitOnlyBeforeGraceEnds, may_admit, &request.id);
        self.request_table.admit(now, target, request).ok()
    }

    fn answer_health_check(&mut self, key: SlabKey, stream: u16) {
        let status = health_status(self.is_ready());
        if let Some((_, session)) = self.connections.fastcgi_client_mut(key) {
            session.respond_with_status(stream, status);
        }
    }

    /// Hands a request to the request table, or rejects it. `requests_behind` were read from the same
    /// connection after it.
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
        let clients_are_slow = self.clients.unsent_answer_bytes > self.limits.unsent_answer_bytes;
        // One client's flood must leave room for the requests of the others.
        let exceeds_share = !self.limits.admits(
            session.unanswered() - requests_behind,
            self.request_table.is_half_full(),
        );
        let rejected = clients_are_slow || exceeds_share || self.shutdown.is_grace_over();
        let target = ResponseTarget {
            connection: key,
            stream: u32::from(stream),
        };
        let request_key = if rejected {
            log::debug!(
                "request {}: refused: clients are slow: {clients_are_slow}, over its share: \
                 {exceeds_share}, shutting down: {}",
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
                &Answer::Rejected {
                    retry_after_us: Some(self.limits.retry_after_us),
                },
            ),
        }
    }

    /// Gives a client its final answer, on whichever front end it asked.
    pub(in crate::event_loop) fn respond(
        &mut self,
        now: Micros,
        target: ResponseTarget,
        answer: Answer,
    ) {
        let Some(connection) = self.connections.get_mut(target.connection) else {
            return;
        };
        match &mut connection.role {
            ConnectionRole::FastCgiClient(session) => {
                session.respond(target.stream as u16, &answer);
                self.write_fastcgi_client(target.connection);
            }
            ConnectionRole::InterconnectClient(_) => {
                self.respond_to_interconnect_client(now, target.connection, answer);
            }
            _ => {}
        }
    }

    /// Writes as much of a FastCGI connection's answers as its client takes.
    pub(in crate::event_loop) fn write_fastcgi_client(&mut self, key: SlabKey) {
        let Some(Connection {
            transport,
            role: ConnectionRole::FastCgiClient(session),
            activity,
            ..
        }) = self.connections.get_mut(key)
        else {
            return;
        };
        loop {
            session.write(&mut transport.output);
            if transport.write() != IoProgress::Advanced {
                break;
            }
        }
        self.clients
            .set_unsent_answer_bytes(activity, session.unsent_bytes());
    }
}
