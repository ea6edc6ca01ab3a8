//! One connection of a web server: requests by stream, and the answers to them.

use super::Order;
use crate::deployment::{class, SIZE_KB};
use crate::violation::Rule;
use crate::world::{object_key, SharedWorld};
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

const CHUNK_BYTES: usize = 16 * 1024;
const JUNK_RECORD_BYTES: usize = 2_000;

/// How an answer came out.
pub(super) struct Response {
    pub(super) status: u16,
    pub(super) body: Vec<u8>,
}

pub(super) enum Ending {
    Answered(Response),
    /// The connection ended.
    Closed,
}

pub(super) struct Connection {
    writer: Mutex<OwnedWriteHalf>,
    pub(super) open: RefCell<HashMap<u16, oneshot::Sender<Ending>>>,
    next_stream: Cell<u16>,
    pub(super) closed: Cell<bool>,
    pub(super) answered: Cell<u64>,
    pub(super) last_used: Cell<Instant>,
    /// Streams whose request has ended.
    ended: RefCell<HashSet<u16>>,
    world: SharedWorld,
    proxy: usize,
}

impl Connection {
    pub(super) fn start(socket: TcpStream, world: &SharedWorld, proxy: usize) -> Rc<Self> {
        // Small requests must not wait for the acknowledgement of earlier ones.
        let _ = socket.set_nodelay(true);
        let (reader, writer) = socket.into_split();
        let connection = Rc::new(Connection {
            writer: Mutex::new(writer),
            open: RefCell::default(),
            next_stream: Cell::new(1),
            closed: Cell::new(false),
            answered: Cell::new(0),
            last_used: Cell::new(Instant::now()),
            ended: RefCell::default(),
            world: world.clone(),
            proxy,
        });
        let reading = Rc::downgrade(&connection);
        tokio::task::spawn_local(async move {
            // However it ends, nothing more comes on it.
            let _ = read_answers(reader, &reading).await;
            if let Some(connection) = reading.upgrade() {
                connection.closed.set(true);
                for (_, waiting) in connection.open.borrow_mut().drain() {
                    let _ = waiting.send(Ending::Closed);
                }
            }
        });
        connection
    }

    pub(super) fn encode(&self, order: &Order) -> (u16, Vec<u8>) {
        let stream = self.next_stream.get();
        self.next_stream.set(stream.checked_add(1).unwrap_or(1));
        let budget = order.budget_ms.to_string();
        let (size, group) = (SIZE_KB.to_string(), order.group.to_string());
        let (key, once) = (object_key(order.object), order.id.repeat(2));
        let mut params = vec![
            ("HTTP_REQUEST_ID", order.id.as_str()),
            ("HTTP_BUDGET_MS", &budget),
            ("HTTP_RESOURCE_KEY", &key),
            ("HTTP_X_LOT", &group),
            ("HTTP_FOOTPRINT_KB", &size),
        ];
        if order.class == class::KEYED {
            params.push(("HTTP_ONCE_KEY", &once));
        }
        let path = format!("/invoke/{}", order.class);
        let bytes = FastCgiClient::encode_request(stream, &path, &params, b"");
        (stream, bytes)
    }

    pub(super) async fn send(
        &self,
        stream: u16,
        bytes: &[u8],
    ) -> io::Result<oneshot::Receiver<Ending>> {
        let (sender, answer) = oneshot::channel();
        if self.closed.get() {
            return Err(io::ErrorKind::NotConnected.into());
        }
        self.open.borrow_mut().insert(stream, sender);
        self.last_used.set(Instant::now());
        self.writer.lock().await.write_all(bytes).await?;
        Ok(answer)
    }

    pub(super) async fn abort(&self, stream: u16, junk_records: usize) {
        let mut bytes = Vec::new();
        // Other input may stand before the cancellation.
        let junk = [0; JUNK_RECORD_BYTES];
        for _ in 0..junk_records {
            fastcgi::write_record(&mut bytes, record_type::DATA, stream, &junk);
        }
        fastcgi::write_record(&mut bytes, record_type::ABORT_REQUEST, stream, &[]);
        // A connection that is over has nothing to cancel.
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
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = reader.read(&mut chunk).await?;
        let Some(connection) = connection.upgrade().filter(|_| length > 0) else {
            return Ok(());
        };
        let mut input = &chunk[..length];
        while !input.is_empty() {
            let (taken, record) = records.parse(input).map_err(io::Error::other)?;
            input = &input[taken..];
            let Some(record) = record else { continue };
            match record.record_type {
                record_type::STDOUT => partial.entry(record.id).or_default().extend(record.content),
                record_type::END_REQUEST => {
                    let bytes = partial.remove(&record.id).unwrap_or_default();
                    connection.take_answer(record.id, record.content.get(4).copied(), &bytes);
                }
                _ => {}
            }
        }
    }
}

impl Connection {
    fn take_answer(&self, stream: u16, protocol_status: Option<u8>, bytes: &[u8]) {
        if !self.ended.borrow_mut().insert(stream) {
            let detail = format!("stream {stream} of a connection");
            let mut world = self.world.borrow_mut();
            world.report(Rule::OneAnswer, Some(self.proxy), detail);
        }
        let Some(waiting) = self.open.borrow_mut().remove(&stream) else {
            return;
        };
        self.answered.set(self.answered.get() + 1);
        self.last_used.set(Instant::now());
        let response = if protocol_status == Some(fastcgi::OVERLOADED) {
            Response {
                status: 503,
                body: Vec::new(),
            }
        } else {
            parse_response(bytes)
        };
        // The client may have left.
        let _ = waiting.send(Ending::Answered(response));
    }
}

/// The status and the body of a CGI response; status 0 where it can't be read.
fn parse_response(bytes: &[u8]) -> Response {
    let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    let Some(head_end) = head_end else {
        return Response {
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
    Response {
        status: status.unwrap_or(200),
        body: bytes[head_end + 4..].to_vec(),
    }
}
