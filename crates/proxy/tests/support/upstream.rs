//! Fixture for the proxy's connection to one server over a pair of sockets. Tests drive both sides.

use edge_proxy::limits::Limits;
use edge_proxy::memory::MemoryBudget;
use edge_proxy::net::{BufferedSocket, IoProgress, SlabKey};
use edge_proxy::protocol::{resp, ProtocolError};
use edge_proxy::request_table::{
    server_id, AnswerTarget, AttemptId, ClientRequest, Command, ListedServer, PurgeTarget,
    RequestTable,
};
use edge_proxy::upstream::{ReadContext, UpstreamConnection, UpstreamEvent, WriteContext};
use edge_routing::{Endpoint, EndpointListMode, EndpointState, Micros, Outcome, ServerId};
use edge_testkit::sample_settings;
use rustix::net::sockopt;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

/// Time at which each test starts, in microseconds.
pub const START_US: Micros = 1_000_000_000;

/// The outcome with which an attempt ended.
#[derive(Debug, PartialEq)]
pub struct AttemptEnd {
    pub attempt: AttemptId,
    pub outcome: Outcome,
}

impl AttemptEnd {
    pub fn new(attempt: AttemptId, outcome: Outcome) -> Self {
        AttemptEnd { attempt, outcome }
    }
}

/// Returns the ends of attempts that the events report. Panics on any other event.
fn attempt_ends(events: Vec<UpstreamEvent>) -> Vec<AttemptEnd> {
    let end = |event| match event {
        UpstreamEvent::AttemptEnded(attempt, result) => AttemptEnd::new(attempt, result.outcome),
        UpstreamEvent::ProbeEnded(..) => {
            panic!("unexpected event instead of the end of an attempt: {event:?}")
        }
    };
    events.into_iter().map(end).collect()
}

/// A connection to one server over a pair of sockets, and the request table whose attempts it
/// sends.
pub struct Fixture {
    pub request_table: RequestTable,
    pub connection: UpstreamConnection,
    pub socket: BufferedSocket,
    /// The server's end of the connection.
    pub server_socket: TcpStream,
    pub limits: Limits,
    pub memory: MemoryBudget,
    pub server: ServerId,
    pub events: Vec<UpstreamEvent>,
    pub now: Micros,
    /// The first attempt of each request that was admitted so far, with the id of the request.
    first_attempts: Vec<(String, AttemptId)>,
}

impl Fixture {
    /// Creates a fixture with an established connection to a cache server.
    pub fn connected() -> Self {
        Fixture::new("here", "cache", true)
    }

    /// Creates a fixture with a connection to a cache server. The connection is not established
    /// yet.
    pub fn connecting() -> Self {
        Fixture::new("here", "cache", false)
    }

    /// Creates a fixture with a connection to a server of the given kind in the given zone.
    pub fn new(zone: &str, kind: &str, is_connected: bool) -> Self {
        // A machine with 1024 file descriptors and 192 MB of memory.
        let limits = Limits::for_machine(1024, 192);
        let settings = edge_settings::from_json(&sample_settings()).unwrap();
        let mut request_table = RequestTable::new(settings, 1, &limits).unwrap();
        let server = server_id("a");
        let listed = listed_server(zone, kind);
        request_table.update_endpoints(START_US, EndpointListMode::Snapshot, vec![listed]);
        let (client_socket, server_socket) = socket_pair();
        let socket = BufferedSocket::new(
            client_socket,
            is_connected,
            limits.input_buffer_bytes,
            limits.output_buffer_bytes,
        );
        Fixture {
            request_table,
            connection: UpstreamConnection::new(server, &limits, START_US),
            socket: socket.unwrap(),
            server_socket,
            memory: MemoryBudget::new(limits.memory_budget_bytes),
            limits,
            server,
            events: Vec::new(),
            now: START_US,
            first_attempts: Vec::new(),
        }
    }

    /// Admits a photo request with the given id, enqueues its attempt and flushes.
    pub fn send(&mut self, id: &str) -> AttemptId {
        self.send_request(photo_request(id))
    }

    /// Admits a photo request with the given id and body, enqueues its attempt and flushes.
    pub fn send_with_body(&mut self, id: &str, body: Vec<u8>) -> AttemptId {
        self.send_request(ClientRequest {
            body: body.into(),
            ..photo_request(id)
        })
    }

    /// Admits a request, enqueues the attempt that the router starts for it, and flushes.
    pub fn send_request(&mut self, request: ClientRequest) -> AttemptId {
        let id = request.id.clone();
        self.end_requests_with_id(&id);
        self.request_table.take_commands();
        let target = AnswerTarget {
            connection: SlabKey::from_u64(0),
            stream: 0,
        };
        self.request_table.admit(self.now, target, request).unwrap();
        let attempt = self.enqueue_next();
        self.first_attempts.push((id, attempt));
        attempt
    }

    /// Ends all earlier requests with an id, because the request table admits no request while
    /// another one with the same id is pending.
    fn end_requests_with_id(&mut self, id: &str) {
        for (_, attempt) in self
            .first_attempts
            .iter()
            .filter(|(request_id, _)| request_id == id)
        {
            self.request_table
                .client_disconnected(self.now, attempt.request_key);
            self.request_table
                .attempt_ended(self.now, *attempt, Outcome::Cancelled.into());
        }
    }

    /// Notifies the request table of a purge of one object.
    pub fn purge_object(&mut self, object: &str, purged_at: Micros) {
        self.request_table.handle_purge_event(
            self.now,
            PurgeTarget::Object(object.into()),
            purged_at,
        );
    }

    /// Takes the commands of the request table, enqueues the attempt of the first send command, and
    /// flushes. Panics if there is no send command.
    pub fn enqueue_next(&mut self) -> AttemptId {
        let sent = |command| match command {
            Command::SendAttempt(attempt) => Some(attempt),
            _ => None,
        };
        let commands = self.request_table.take_commands();
        let attempt = commands.into_iter().find_map(sent).unwrap();
        self.connection.enqueue(attempt);
        self.flush();
        attempt
    }

    /// Returns the number of attempts and probes that are queued or in flight on the connection, or
    /// `None` if it cannot take an attempt of a request with this id.
    pub fn outstanding_count_if_available(&self, request_id: &str) -> Option<usize> {
        self.connection.outstanding_count_if_available(
            request_id,
            &self.request_table,
            &self.limits,
        )
    }

    /// Writes what the connection can write. Returns false if the connection must be closed.
    pub fn flush(&mut self) -> bool {
        let mut context = WriteContext {
            now: self.now,
            request_table: &self.request_table,
            limits: &self.limits,
            memory: &mut self.memory,
        };
        self.connection
            .flush(&mut context, &mut self.socket, &mut self.events)
    }

    /// Cancels an attempt. Returns false if the connection must be closed.
    pub fn cancel(&mut self, attempt: AttemptId) -> bool {
        self.connection
            .cancel(self.now, attempt, &mut self.socket, &mut self.events)
    }

    /// Cancels an attempt and advances the time until the cancellation is reported.
    pub fn cancel_and_settle(&mut self, attempt: AttemptId) {
        assert!(self.cancel(attempt));
        self.flush();
        self.now += self.limits.cancellation_report_delay_us;
        self.flush();
    }

    /// Removes the attempts to the server of which no byte is written, as the proxy does when the
    /// server starts to drain. Returns false if the connection must be closed.
    pub fn drain_server(&mut self) -> bool {
        self.connection.drain_server(
            self.server,
            &mut self.socket,
            &self.request_table,
            &mut self.events,
        )
    }

    /// Closes the connection, which was established before if `is_connected` is true. Returns the
    /// ends of attempts that `take_attempt_ends` has not returned yet.
    pub fn close(mut self, is_connected: bool) -> Vec<AttemptEnd> {
        self.connection
            .close(is_connected, self.socket.bytes_written, &mut self.events);
        attempt_ends(self.events)
    }

    /// Returns the ends of attempts that were reported since the last call.
    pub fn take_attempt_ends(&mut self) -> Vec<AttemptEnd> {
        attempt_ends(std::mem::take(&mut self.events))
    }

    /// Sends bytes from the server, waits until some have arrived, and has the connection read
    /// them.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.try_receive(bytes).unwrap();
    }

    /// Does the same as `receive`, and returns the error if the bytes cannot be parsed.
    pub fn try_receive(&mut self, bytes: &[u8]) -> Result<(), ProtocolError> {
        let max_reads_behind_answer = self.limits.max_reads_behind_answer;
        self.receive_with_reads_behind_answer(bytes, max_reads_behind_answer)
    }

    /// Does the same as `try_receive`, but leaves open whether more has arrived behind the bytes.
    pub fn receive_unconfirmed(&mut self, bytes: &[u8]) -> Result<(), ProtocolError> {
        self.receive_with_reads_behind_answer(bytes, 0)
    }

    fn receive_with_reads_behind_answer(
        &mut self,
        bytes: &[u8],
        max_reads_behind_answer: usize,
    ) -> Result<(), ProtocolError> {
        let limits = Limits {
            max_reads_behind_answer,
            ..self.limits.clone()
        };
        self.server_socket.write_all(bytes).unwrap();
        while self.socket.read(false) != IoProgress::Advanced {}
        let mut context = ReadContext {
            now: self.now,
            request_table: &self.request_table,
            limits: &limits,
            memory: &mut self.memory,
            others_wait_for_memory: false,
        };
        self.connection
            .read(&mut context, &mut self.socket, &mut self.events)
    }

    /// Answers the attempt of a request from the server with a copy that was created at
    /// `created_at_ms`, in Unix milliseconds. Returns the ends of attempts that were reported.
    pub fn receive_copy(&mut self, request_id: &str, created_at_ms: u64) -> Vec<AttemptEnd> {
        let fields = format!("how=local,made={created_at_ms},etag=t1");
        let mut answer = Vec::new();
        resp::write_array(
            &mut answer,
            &[request_id.as_bytes(), b"200", fields.as_bytes(), b"x"],
        );
        self.receive(&answer);
        self.take_attempt_ends()
    }

    /// Reads at the server until the received text contains `word` at least `count` times. Returns
    /// this text.
    pub fn received_by_server(&mut self, word: &str, count: usize) -> String {
        let mut text = String::new();
        let mut bytes = [0; 4096];
        while text.matches(word).count() < count {
            let length = self.server_socket.read(&mut bytes).unwrap();
            text += &String::from_utf8_lossy(&bytes[..length]);
        }
        text
    }
}

/// Returns the endpoint list entry of the server to which the fixture is connected.
fn listed_server(zone: &str, kind: &str) -> ListedServer {
    ListedServer {
        endpoint: Endpoint {
            id: server_id("a"),
            zone: zone.into(),
            cell: 0,
            kind: kind.into(),
            weight: 8.0,
            state: EndpointState::Ready,
            started_at: None,
        },
        wire_id: "a".into(),
        address: ([127, 0, 0, 1], 9).into(),
    }
}

/// Returns two connected sockets, first that of the proxy and then that of the server. Their kernel
/// buffers are small, so that writes soon block when the server reads nothing.
fn socket_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    sockopt::set_socket_recv_buffer_size(&listener, 4096).unwrap();
    let client_socket = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    sockopt::set_socket_send_buffer_size(&client_socket, 4096).unwrap();
    let (server_socket, _) = listener.accept().unwrap();
    (client_socket, server_socket)
}

/// Returns a read request of the class `photo`, which cache servers serve. Its object key is
/// derived from the id.
pub fn photo_request(id: &str) -> ClientRequest {
    ClientRequest {
        id: id.into(),
        class: "photo".into(),
        object: format!("{id}-object"),
        size_kb: 40.0,
        remaining_us: 2_000_000,
        ..ClientRequest::default()
    }
}

/// Returns a write request of the class `post`, which the router sends to the origin. It has an
/// idempotency key.
pub fn post_request(id: &str) -> ClientRequest {
    ClientRequest {
        id: id.into(),
        class: "post".into(),
        object: format!("{id}-object"),
        idempotency_key: Some("1".into()),
        remaining_us: 60_000_000,
        ..ClientRequest::default()
    }
}
