//! A connection to a cache server over a pair of sockets, driven by hand.

use edge_proxy::limits::Limits;
use edge_proxy::net::{BufferedSocket, IoProgress, SlabKey};
use edge_proxy::protocol::resp;
use edge_proxy::request_table::{
    server_id, AttemptId, ClientRequest, Command, ListedServer, RequestTable, ResponseTarget,
};
use edge_proxy::upstream::{UpstreamConnection, UpstreamEvent};
use edge_routing::{Endpoint, EndpointListMode, EndpointState, Micros, Outcome, ServerId};
use edge_testkit::sample_settings;
use rustix::net::sockopt;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

/// The time at which each test starts, in microseconds.
pub const NOW: Micros = 1_000_000_000;

/// How an attempt ended.
#[derive(Debug, PartialEq)]
pub struct End {
    pub attempt: AttemptId,
    pub outcome: Outcome,
}

impl End {
    pub fn new(attempt: AttemptId, outcome: Outcome) -> Self {
        End { attempt, outcome }
    }
}

/// The ends that these events report. Any other event fails the test.
fn ends(events: Vec<UpstreamEvent>) -> Vec<End> {
    let end = |event| match event {
        UpstreamEvent::AttemptEnded(attempt, result) => End::new(attempt, result.outcome),
        UpstreamEvent::ProbeEnded(..) => panic!("{event:?}"),
    };
    events.into_iter().map(end).collect()
}

/// A connection to one server, over a pair of sockets.
pub struct Fixture {
    pub request_table: RequestTable,
    pub connection: UpstreamConnection,
    pub socket: BufferedSocket,
    /// The server's end.
    pub server_socket: TcpStream,
    pub limits: Limits,
    pub server: ServerId,
    pub events: Vec<UpstreamEvent>,
    pub now: Micros,
    /// All attempts sent so far, with the ids of their requests.
    sent: Vec<(String, AttemptId)>,
}

impl Fixture {
    /// A connection to a cache server that is up.
    pub fn connected() -> Self {
        Fixture::new("here", "cache", true)
    }

    /// A connection to a cache server that was begun and is not up yet.
    pub fn connecting() -> Self {
        Fixture::new("here", "cache", false)
    }

    /// A connection to a server of this kind in this zone.
    pub fn new(zone: &str, kind: &str, connected: bool) -> Self {
        let limits = Limits::for_machine(1024, 192);
        let settings = edge_settings::from_json(&sample_settings()).unwrap();
        let mut request_table = RequestTable::new(settings, 1, &limits).unwrap();
        let server = server_id("a");
        let listed = listed_server(zone, kind);
        request_table.update_endpoints(NOW, EndpointListMode::Snapshot, vec![listed]);
        let (client_socket, server_socket) = socket_pair();
        let socket = BufferedSocket::new(
            client_socket,
            connected,
            limits.input_buffer_bytes,
            limits.output_buffer_bytes,
        );
        Fixture {
            request_table,
            connection: UpstreamConnection::new(server, &limits, NOW),
            socket: socket.unwrap(),
            server_socket,
            limits,
            server,
            events: Vec::new(),
            now: NOW,
            sent: Vec::new(),
        }
    }

    pub fn send(&mut self, id: &str) -> AttemptId {
        self.send_request(photo_request(id))
    }

    pub fn send_with_body(&mut self, id: &str, body: Vec<u8>) -> AttemptId {
        self.send_request(ClientRequest {
            body,
            ..photo_request(id)
        })
    }

    /// Has the router send an attempt for a request, and enqueues it.
    pub fn send_request(&mut self, request: ClientRequest) -> AttemptId {
        let id = request.id.clone();
        self.end_requests_with(&id);
        self.request_table.take_commands();
        let target = ResponseTarget {
            connection: SlabKey::from_u64(0),
            stream: 0,
        };
        self.request_table.admit(self.now, target, request).unwrap();
        let attempt = self.enqueue_next();
        self.sent.push((id, attempt));
        attempt
    }

    /// The request table admits no two requests of one id at a time, so earlier ones have to be
    /// over.
    fn end_requests_with(&mut self, id: &str) {
        for (_, attempt) in self.sent.iter().filter(|(sent_id, _)| sent_id == id) {
            self.request_table
                .client_disconnected(self.now, attempt.request_key);
            self.request_table
                .attempt_ended(self.now, *attempt, Outcome::Cancelled.into());
        }
    }

    /// The request table learns of a purge of one object.
    pub fn purge_object(&mut self, object: &str, purged_at: Micros) {
        self.request_table
            .handle_purge_event(self.now, Some(object.into()), 0, purged_at);
    }

    /// Enqueues the attempt that the router wants sent, and flushes.
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

    pub fn load_if_available(&self, id: &str) -> Option<usize> {
        self.connection
            .load_if_available(id, &self.request_table, &self.limits)
    }

    pub fn flush(&mut self) -> bool {
        self.connection.flush(
            self.now,
            &mut self.socket,
            &self.request_table,
            &self.limits,
            &mut self.events,
        )
    }

    pub fn cancel(&mut self, attempt: AttemptId) -> bool {
        self.connection
            .cancel(self.now, attempt, &mut self.socket, &mut self.events)
    }

    /// Cancels an attempt and waits until that is settled.
    pub fn cancel_and_settle(&mut self, attempt: AttemptId) {
        assert!(self.cancel(attempt));
        self.flush();
        self.now += self.limits.cancel_settle_us;
        self.flush();
    }

    pub fn drain_server(&mut self) -> bool {
        self.connection.drain_server(
            self.server,
            &mut self.socket,
            &self.request_table,
            &mut self.events,
        )
    }

    /// Closes the connection; the ends that were not taken before.
    pub fn close(mut self, connected: bool) -> Vec<End> {
        self.connection
            .close(connected, self.socket.bytes_written, &mut self.events);
        ends(self.events)
    }

    pub fn take_ends(&mut self) -> Vec<End> {
        ends(std::mem::take(&mut self.events))
    }

    /// The server sends these bytes, and the connection reads them.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.server_socket.write_all(bytes).unwrap();
        while self.socket.read(false) != IoProgress::Advanced {}
        self.connection
            .read(
                self.now,
                &mut self.socket,
                &self.request_table,
                &mut self.events,
            )
            .unwrap();
    }

    /// The server answers with a copy that the origin gave out at this Unix millisecond.
    pub fn receive_copy(&mut self, id: &str, made_ms: u64) -> Vec<End> {
        let fields = format!("how=local,made={made_ms}");
        let mut answer = Vec::new();
        resp::write_array(
            &mut answer,
            &[id.as_bytes(), b"200", fields.as_bytes(), b"x"],
        );
        self.receive(&answer);
        self.take_ends()
    }

    /// What the server has received, read until it holds a word this many times.
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

/// Two connected sockets with little space between them, so that a server which reads nothing is
/// soon noticed: the proxy's end and the server's.
fn socket_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    sockopt::set_socket_recv_buffer_size(&listener, 4096).unwrap();
    let client_socket = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    sockopt::set_socket_send_buffer_size(&client_socket, 4096).unwrap();
    let (server_socket, _) = listener.accept().unwrap();
    (client_socket, server_socket)
}

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
