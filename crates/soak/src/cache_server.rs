//! Simulates cache servers and the origin. They store copies, remove purged copies after a delay,
//! respect the maximum age in a request, and can be made to misbehave.

use crate::deployment::{self, class, PURGE_COMPLETION_MS};
use crate::world::{AttemptRecord, SharedRunState};
use edge_proxy::memory::ByteQueue;
use edge_proxy::protocol::resp::{self, ArrayParser};
use edge_proxy::protocol::Parser;
use edge_testkit::COMMAND_STRINGS;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::sync::Mutex;

/// How a server behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behavior {
    /// The server answers every request.
    #[default]
    Normal,
    /// The server accepts requests and answers none.
    Hangs,
    /// The server rejects every request.
    Overloaded,
    /// Some answers of the server are malformed.
    MalformedAnswers,
}

const MAX_MESSAGE_BYTES: usize = 1 << 20;
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// The size of the padding that follows the object and the time of creation in the body of an
/// answer.
const BODY_PADDING_BYTES: usize = 512;

struct ServerState {
    behavior: Behavior,
    random: fastrand::Rng,
    /// When the stored copy of each object was created, in Unix milliseconds.
    copies: HashMap<u64, u64>,
    aborted_ids: HashSet<String>,
}

/// A simulated cache server, or the origin, at a fixed address. In the endpoint list, a new server
/// with another id may take over the address of a cache server.
#[derive(Clone)]
pub struct CacheServer {
    address_index: usize,
    run_state: SharedRunState,
    state: Rc<RefCell<ServerState>>,
}

/// A fetch command from a proxy.
struct Fetch {
    id: String,
    class: String,
    object: u64,
    /// The purge group of the object, from the record of the request; 0 if there is no record.
    purge_group: u64,
    fill_source: Option<String>,
    max_age_ms: Option<u64>,
}

impl CacheServer {
    /// Starts a server that listens on the address of an index. Index 0 is the origin.
    pub async fn start(run_state: &SharedRunState, address_index: usize) -> io::Result<Self> {
        let (slot, seed) = {
            let run_state = run_state.borrow();
            (run_state.slot, run_state.plan.seed)
        };
        let listener = crate::listen(deployment::server_address(slot, address_index)).await?;
        let server = CacheServer {
            address_index,
            run_state: run_state.clone(),
            state: Rc::new(RefCell::new(ServerState {
                behavior: Behavior::Normal,
                random: fastrand::Rng::with_seed(seed ^ (address_index as u64 + 1) << 32),
                copies: HashMap::new(),
                aborted_ids: HashSet::new(),
            })),
        };
        let server_task = server.clone();
        tokio::task::spawn_local(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let server = server_task.clone();
                tokio::task::spawn_local(async move {
                    // Errors are ignored. A read error or invalid input ends the reading from this
                    // connection; answers that are being prepared are still sent if possible.
                    let _ = server.serve(socket).await;
                });
            }
        });
        Ok(server)
    }

    /// Sets how the server behaves for requests that arrive from now on.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.state.borrow_mut().behavior = behavior;
    }

    /// Empties the cache and sets the behavior to normal, as a restart of the server's process
    /// would. Does not close connections, and answers that are being prepared are still sent.
    pub fn restart(&self) {
        let mut state = self.state.borrow_mut();
        state.behavior = Behavior::Normal;
        state.copies.clear();
    }

    async fn serve(&self, socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let (mut reader, writer) = socket.into_split();
        let writer = Rc::new(Mutex::new(writer));
        let mut arrays = ArrayParser::new(COMMAND_STRINGS, MAX_MESSAGE_BYTES);
        let mut chunk = vec![0; READ_BUFFER_BYTES];
        loop {
            let length = reader.read(&mut chunk).await?;
            if length == 0 {
                return Ok(());
            }
            let mut input = &chunk[..length];
            while !input.is_empty() {
                let (taken, array) = arrays.parse(input).map_err(io::Error::other)?;
                input = &input[taken..];
                if let Some(array) = array {
                    self.handle_command(&array, &writer);
                }
            }
        }
    }

    fn handle_command(&self, array: &resp::Array, writer: &Rc<Mutex<OwnedWriteHalf>>) {
        let text = |index: usize| {
            let string = array.strings.get(index);
            let bytes = string.map(ByteQueue::to_vec).unwrap_or_default();
            String::from_utf8_lossy(&bytes).into_owned()
        };
        let (command, id, fields) = (text(0), text(1), text(2));
        match command.as_str() {
            "fetch" => self.handle_fetch(id, &fields, writer),
            "abort" => {
                self.state.borrow_mut().aborted_ids.insert(id);
            }
            _ => {}
        }
    }

    fn handle_fetch(&self, id: String, fields: &str, writer: &Rc<Mutex<OwnedWriteHalf>>) {
        let field = |name: &str| resp::field_value(fields.as_bytes(), name);
        let number = |name: &str| field(name).and_then(|text| text.parse::<u64>().ok());
        let object = field("key").and_then(|key| u64::from_str_radix(key, 16).ok());
        let object = object.unwrap_or(0);
        let purge_group = self
            .run_state
            .borrow()
            .requests
            .get(&id)
            .map_or(0, |request| request.purge_group);
        let fetch = Fetch {
            id,
            class: field("class").unwrap_or("").to_owned(),
            object,
            purge_group,
            fill_source: field("src").map(str::to_owned),
            max_age_ms: number("maxage").filter(|max_age_ms| *max_age_ms > 0),
        };
        let behavior = self.state.borrow().behavior;
        // Requests that are not reads run at the origin.
        let cannot_reach_origin =
            fetch.class != class::READ && self.address_index != 0 && fetch.fill_source.is_none();
        let was_started = behavior != Behavior::Overloaded && !cannot_reach_origin;
        self.record_attempt(&fetch, number("wait").unwrap_or(0), was_started);
        let (server, writer) = (self.clone(), writer.clone());
        self.state.borrow_mut().aborted_ids.remove(&fetch.id);
        tokio::task::spawn_local(
            async move { server.answer_fetch(fetch, behavior, &writer).await },
        );
    }

    fn record_attempt(&self, fetch: &Fetch, wait_ms: u64, was_started: bool) {
        let mut run_state = self.run_state.borrow_mut();
        let record = AttemptRecord {
            request_id: fetch.id.clone(),
            server_index: run_state.server_at_address(self.address_index),
            fill_source: fetch.fill_source.clone(),
            arrived_ms: run_state.now_ms(),
            wait_ms,
            was_started,
        };
        run_state.counts.attempts += 1;
        run_state.attempts.push(record);
    }

    async fn answer_fetch(&self, fetch: Fetch, behavior: Behavior, writer: &Mutex<OwnedWriteHalf>) {
        match behavior {
            Behavior::Hangs => return,
            Behavior::Overloaded => return send(writer, &encode(&fetch.id, "503", "-", b"")).await,
            Behavior::Normal | Behavior::MalformedAnswers => {}
        }
        let Some(copy) = self.copy_for(&fetch) else {
            return send(writer, &encode(&fetch.id, "404", "how=not_there", b"")).await;
        };
        let duration_ms = self.state.borrow_mut().random.u64(copy.duration_ms.clone());
        tokio::time::sleep(Duration::from_millis(duration_ms)).await;
        if self.state.borrow_mut().aborted_ids.remove(&fetch.id) {
            return;
        }
        let answer = encode_copy(&fetch, &copy, duration_ms);
        let is_malformed =
            behavior == Behavior::MalformedAnswers && self.state.borrow_mut().random.bool();
        if !is_malformed {
            return send(writer, &answer).await;
        }
        let malformation = self.state.borrow_mut().random.u32(0..5);
        match malformation {
            // Invalid syntax.
            0 => send(writer, b"*4\r\n$-7\r\nnoise").await,
            // A truncated answer.
            1 => send(writer, &answer[..answer.len() / 2]).await,
            // The same answer twice.
            2 => {
                send(writer, &answer).await;
                tokio::time::sleep(Duration::from_millis(duration_ms)).await;
                send(writer, &answer).await;
            }
            // An answer to an unknown request, with a time of creation that is out of range.
            3 => {
                let (id, fields) = ("00000000000000ff", "how=local,made=18446744073709551615");
                send(writer, &encode(id, "200", fields, b"x")).await;
                send(writer, &answer).await;
            }
            // An answer whose announced body never arrives.
            _ => {
                send(
                    writer,
                    b"*4\r\n$16\r\n0123456789abcdef\r\n$3\r\n200\r\n$1\r\n-\r\n$3000000000\r\n",
                )
                .await
            }
        }
    }

    /// Returns the copy with which to answer a request, and fills it first if necessary. Returns
    /// `None` for a cache miss without a fill source, and for a request that must run at the origin
    /// but names no fill source through which a cache server reaches the origin.
    fn copy_for(&self, fetch: &Fetch) -> Option<CachedCopy> {
        let run_state = self.run_state.borrow();
        let now_unix_ms = run_state.now_unix_ms();
        let mut state = self.state.borrow_mut();
        let is_origin = self.address_index == 0;
        if fetch.class != class::READ {
            // Requests that are not reads are executed at the origin.
            return (is_origin || fetch.fill_source.is_some()).then_some(CachedCopy {
                created_unix_ms: now_unix_ms,
                how: "pulled_far",
                duration_ms: 10..60,
            });
        }
        if is_origin {
            return Some(CachedCopy {
                created_unix_ms: now_unix_ms,
                how: "local",
                duration_ms: 10..40,
            });
        }
        let stored_copy = state
            .copies
            .get(&fetch.object)
            .copied()
            .filter(|created_unix_ms| {
                let is_purged = run_state.purges.iter().any(|purge| {
                    let is_purge_target = match purge.object {
                        Some(object) => object == fetch.object,
                        None => purge.purge_group == fetch.purge_group,
                    };
                    // Each server removes purged copies after its own delay. The slowest ones take
                    // the whole `PURGE_COMPLETION_MS`.
                    let delay_ms = PURGE_COMPLETION_MS * (self.address_index as u64 % 4) / 3;
                    is_purge_target
                        && *created_unix_ms < purge.purged_unix_ms
                        && now_unix_ms >= purge.purged_unix_ms + delay_ms.min(PURGE_COMPLETION_MS)
                });
                let is_too_old = fetch
                    .max_age_ms
                    .is_some_and(|max_age_ms| created_unix_ms + max_age_ms < now_unix_ms);
                !is_purged && !is_too_old
            });
        if let Some(created_unix_ms) = stored_copy {
            return Some(CachedCopy {
                created_unix_ms,
                how: "local",
                duration_ms: 3..25,
            });
        }
        fetch.fill_source.as_ref()?;
        state.copies.insert(fetch.object, now_unix_ms);
        Some(CachedCopy {
            created_unix_ms: now_unix_ms,
            how: "pulled_far",
            duration_ms: 15..80,
        })
    }
}

struct CachedCopy {
    created_unix_ms: u64,
    /// How the server got the copy, in the words of the protocol: `local` if the server had it, and
    /// `pulled_far` if it came from the origin.
    how: &'static str,
    duration_ms: std::ops::Range<u64>,
}

/// Returns the body of an answer with a copy of an object.
pub fn copy_body(object: u64, created_unix_ms: u64) -> String {
    format!(
        "{object:016x}@{created_unix_ms}{}",
        ".".repeat(BODY_PADDING_BYTES)
    )
}

fn encode_copy(fetch: &Fetch, copy: &CachedCopy, duration_ms: u64) -> Vec<u8> {
    let created = copy.created_unix_ms;
    let fields = format!(
        "how={},ttfb={},made={created},etag={created:016x}",
        copy.how,
        duration_ms / 2
    );
    let body = copy_body(fetch.object, created);
    encode(&fetch.id, "200", &fields, body.as_bytes())
}

fn encode(id: &str, status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    let items = [id.as_bytes(), status.as_bytes(), fields.as_bytes(), body];
    resp::write_array(&mut out, &items);
    out
}

async fn send(writer: &Mutex<OwnedWriteHalf>, bytes: &[u8]) {
    // Errors are ignored: the proxy may have closed the connection in the meantime.
    let _ = writer.lock().await.write_all(bytes).await;
}
