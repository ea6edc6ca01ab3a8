//! A FastCGI connection of a web server: requests by stream, and the answers to them.

use super::PlannedRequest;
use crate::deployment::{class, OBJECT_SIZE_KB};
use crate::violation::Rule;
use crate::world::{object_key, SharedRunState};
use edge_proxy::protocol::fastcgi::{self, record_type, RecordParser};
use edge_proxy::protocol::Parser;
use edge_testkit::fastcgi_client::FastCgiClient;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io;
use std::rc::Rc;
use std::time::Instant;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{oneshot, Mutex};

const READ_BUFFER_BYTES: usize = 16 * 1024;
const PRECEDING_RECORD_BYTES: usize = 2_000;
/// Offset of the protocol status in the content of an END_REQUEST record (FastCGI 1.0, section 5.5).
const PROTOCOL_STATUS_OFFSET: usize = 4;

/// An answer to a request.
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) body: Vec<u8>,
}

/// How a request ended for a client that waited for the answer.
pub(super) enum RequestOutcome {
    Answered(Answer),
    /// The connection ended before the answer.
    ConnectionClosed,
}

/// A connection with the pending requests on it.
pub(super) struct Connection {
    writer: Mutex<OwnedWriteHalf>,
    pub(super) pending_requests: RefCell<HashMap<u16, oneshot::Sender<RequestOutcome>>>,
    next_stream: Cell<u16>,
    pub(super) closed: Cell<bool>,
    pub(super) answered_count: Cell<u64>,
    pub(super) last_used: Cell<Instant>,
    /// Streams that have received a final answer, to detect a second one.
    ended_streams: RefCell<HashSet<u16>>,
    run_state: SharedRunState,
    proxy: usize,
}

impl Connection {
    pub(super) fn start(socket: TcpStream, run_state: &SharedRunState, proxy: usize) -> Rc<Self> {
        // Disables Nagle's algorithm: small requests must not wait for the acknowledgement of
        // earlier ones.
        let _ = socket.set_nodelay(true);
        let (reader, writer) = socket.into_split();
        let connection = Rc::new(Connection {
            writer: Mutex::new(writer),
            pending_requests: RefCell::default(),
            next_stream: Cell::new(1),
            closed: Cell::new(false),
            answered_count: Cell::new(0),
            last_used: Cell::new(Instant::now()),
            ended_streams: RefCell::default(),
            run_state: run_state.clone(),
            proxy,
        });
        let weak_connection = Rc::downgrade(&connection);
        tokio::task::spawn_local(async move {
            // The result is ignored: no more answers arrive on the connection, however it ended.
            let _ = read_answers(reader, &weak_connection).await;
            if let Some(connection) = weak_connection.upgrade() {
                connection.closed.set(true);
                for (_, outcome_sender) in connection.pending_requests.borrow_mut().drain() {
                    let _ = outcome_sender.send(RequestOutcome::ConnectionClosed);
                }
            }
        });
        connection
    }

    pub(super) fn encode(&self, planned_request: &PlannedRequest) -> (u16, Vec<u8>) {
        let stream = self.next_stream.get();
        self.next_stream.set(stream.checked_add(1).unwrap_or(1));
        let budget = planned_request.budget_ms.to_string();
        let (size, purge_group) = (
            OBJECT_SIZE_KB.to_string(),
            planned_request.purge_group.to_string(),
        );
        let (key, idempotency_key) = (
            object_key(planned_request.object),
            planned_request.id.repeat(2),
        );
        let mut params = vec![
            ("HTTP_REQUEST_ID", planned_request.id.as_str()),
            ("HTTP_BUDGET_MS", &budget),
            ("HTTP_RESOURCE_KEY", &key),
            ("HTTP_X_LOT", &purge_group),
            ("HTTP_FOOTPRINT_KB", &size),
        ];
        if planned_request.class == class::WITH_IDEMPOTENCY_KEY {
            params.push(("HTTP_ONCE_KEY", &idempotency_key));
        }
        let path = format!("/invoke/{}", planned_request.class);
        let bytes = FastCgiClient::encode_request(stream, &path, &params, b"");
        (stream, bytes)
    }

    pub(super) async fn send(
        &self,
        stream: u16,
        bytes: &[u8],
    ) -> io::Result<oneshot::Receiver<RequestOutcome>> {
        let (sender, answer) = oneshot::channel();
        if self.closed.get() {
            return Err(io::ErrorKind::NotConnected.into());
        }
        self.pending_requests.borrow_mut().insert(stream, sender);
        self.last_used.set(Instant::now());
        self.writer.lock().await.write_all(bytes).await?;
        Ok(answer)
    }

    pub(super) async fn abort(&self, stream: u16, preceding_records: usize) {
        let mut bytes = Vec::new();
        // Other input of the request may precede the cancellation.
        let content = [0; PRECEDING_RECORD_BYTES];
        for _ in 0..preceding_records {
            fastcgi::write_record(&mut bytes, record_type::DATA, stream, &content);
        }
        fastcgi::write_record(&mut bytes, record_type::ABORT_REQUEST, stream, &[]);
        // Errors are ignored: there is nothing to cancel on a connection that has ended.
        let _ = self.writer.lock().await.write_all(&bytes).await;
    }

    pub(super) async fn close(&self) {
        self.closed.set(true);
        let _ = self.writer.lock().await.shutdown().await;
    }
}

async fn read_answers(
    mut reader: OwnedReadHalf,
    connection: &std::rc::Weak<Connection>,
) -> io::Result<()> {
    let mut records = RecordParser::default();
    let mut partial: HashMap<u16, Vec<u8>> = HashMap::new();
    let mut end_content = Vec::new();
    let mut chunk = vec![0; READ_BUFFER_BYTES];
    loop {
        let length = reader.read(&mut chunk).await?;
        let Some(connection) = connection.upgrade().filter(|_| length > 0) else {
            return Ok(());
        };
        let mut input = &chunk[..length];
        while !input.is_empty() {
            let (taken, part) = records.parse(input).map_err(io::Error::other)?;
            input = &input[taken..];
            let Some(part) = part else { continue };
            let (request_id, is_last) = (part.header.request_id, part.is_last());
            match part.header.record_type {
                record_type::STDOUT => partial.entry(request_id).or_default().extend(part.content),
                record_type::END_REQUEST => {
                    end_content.extend(part.content);
                    if is_last {
                        let content = std::mem::take(&mut end_content);
                        let bytes = partial.remove(&request_id).unwrap_or_default();
                        let protocol_status = content.get(PROTOCOL_STATUS_OFFSET).copied();
                        connection.deliver_answer(request_id, protocol_status, &bytes);
                    }
                }
                _ => {}
            }
        }
    }
}

impl Connection {
    fn deliver_answer(&self, stream: u16, protocol_status: Option<u8>, bytes: &[u8]) {
        if !self.ended_streams.borrow_mut().insert(stream) {
            let detail = format!("stream {stream} of a connection got a second final answer");
            let mut run_state = self.run_state.borrow_mut();
            run_state.report(Rule::OneAnswer, Some(self.proxy), detail);
        }
        let Some(outcome_sender) = self.pending_requests.borrow_mut().remove(&stream) else {
            return;
        };
        self.answered_count.set(self.answered_count.get() + 1);
        self.last_used.set(Instant::now());
        let answer = if protocol_status == Some(fastcgi::OVERLOADED) {
            Answer {
                status: 503,
                body: Vec::new(),
            }
        } else {
            parse_answer(bytes)
        };
        // Errors are ignored: the client may have cancelled the request.
        let _ = outcome_sender.send(RequestOutcome::Answered(answer));
    }
}

/// Parses the status and the body of an answer, which is a CGI response. The status is 0 if the
/// response has no complete head, and 200 if the head names no status.
fn parse_answer(bytes: &[u8]) -> Answer {
    let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    let Some(head_end) = head_end else {
        return Answer {
            status: 0,
            body: Vec::new(),
        };
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]);
    let status = head.lines().find_map(|line| {
        line.strip_prefix("Status: ")?
            .split(' ')
            .next()?
            .parse()
            .ok()
    });
    Answer {
        status: status.unwrap_or(200),
        body: bytes[head_end + 4..].to_vec(),
    }
}
