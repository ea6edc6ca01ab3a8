//! Stand-ins for cache servers and the origin: they keep copies, drop purged ones in their own time,
//! honour the age limit of a request, and misbehave on demand.

use crate::deployment::{self, class, PURGE_TAKES_MS};
use crate::world::{FetchRecord, SharedWorld};
use edge_proxy::protocol::resp::{self, ArrayParser};
use edge_proxy::protocol::Parser;
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
    /// It answers.
    #[default]
    Sound,
    /// It takes requests and answers none.
    Hangs,
    /// It turns requests away.
    Full,
    /// Some of its answers are spoilt.
    Spoils,
}

const MESSAGE_BYTES: usize = 1 << 20;
const CHUNK_BYTES: usize = 16 * 1024;
/// Bytes of an answer's body beside its name.
const PADDING_BYTES: usize = 512;

struct State {
    behavior: Behavior,
    random: fastrand::Rng,
    /// When the copy of each object was made, in Unix milliseconds.
    copies: HashMap<u64, u64>,
    aborted: HashSet<String>,
}

/// A server at a place. Its process may be replaced by another, with another id.
#[derive(Clone)]
pub struct CacheServer {
    place: usize,
    world: SharedWorld,
    state: Rc<RefCell<State>>,
}

/// A fetch that came in.
struct Fetch {
    id: String,
    class: String,
    object: u64,
    group: u64,
    source: Option<String>,
    max_age_ms: Option<u64>,
}

impl CacheServer {
    /// Listens at the address of a place.
    pub async fn start(world: &SharedWorld, place: usize) -> io::Result<Self> {
        let (slot, seed) = {
            let world = world.borrow();
            (world.slot, world.plan.seed)
        };
        let listener = crate::listen(deployment::server_address(slot, place)).await?;
        let server = CacheServer {
            place,
            world: world.clone(),
            state: Rc::new(RefCell::new(State {
                behavior: Behavior::Sound,
                random: fastrand::Rng::with_seed(seed ^ (place as u64 + 1) << 32),
                copies: HashMap::new(),
                aborted: HashSet::new(),
            })),
        };
        let serving = server.clone();
        tokio::task::spawn_local(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let server = serving.clone();
                tokio::task::spawn_local(async move {
                    // A connection that breaks ends what is open on it.
                    let _ = server.serve(socket).await;
                });
            }
        });
        Ok(server)
    }

    /// Changes how the server behaves, for requests that come from now on.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.state.borrow_mut().behavior = behavior;
    }

    /// The process starts anew, with nothing in its cache.
    pub fn restart(&self) {
        let mut state = self.state.borrow_mut();
        state.behavior = Behavior::Sound;
        state.copies.clear();
    }

    async fn serve(&self, socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let (mut reader, writer) = socket.into_split();
        let writer = Rc::new(Mutex::new(writer));
        let mut arrays = ArrayParser::new(MESSAGE_BYTES);
        let mut chunk = vec![0; CHUNK_BYTES];
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
                    self.handle(&array, &writer);
                }
            }
        }
    }

    fn handle(&self, array: &[Vec<u8>], writer: &Rc<Mutex<OwnedWriteHalf>>) {
        let text = |index: usize| {
            let bytes = array.get(index).map_or(&[][..], Vec::as_slice);
            String::from_utf8_lossy(bytes).into_owned()
        };
        let (command, id, fields) = (text(0), text(1), text(2));
        match command.as_str() {
            "fetch" => self.handle_fetch(id, &fields, writer),
            "abort" => {
                self.state.borrow_mut().aborted.insert(id);
            }
            _ => {}
        }
    }

    fn handle_fetch(&self, id: String, fields: &str, writer: &Rc<Mutex<OwnedWriteHalf>>) {
        let field = |name: &str| resp::field(fields.as_bytes(), name);
        let number = |name: &str| field(name).and_then(|text| text.parse::<u64>().ok());
        let object = field("key").and_then(|key| u64::from_str_radix(key, 16).ok());
        let object = object.unwrap_or(0);
        let group = self
            .world
            .borrow()
            .requests
            .get(&id)
            .map_or(0, |request| request.group);
        let fetch = Fetch {
            id,
            class: field("class").unwrap_or("").to_owned(),
            object,
            group,
            source: field("src").map(str::to_owned),
            max_age_ms: number("maxage").filter(|max_age_ms| *max_age_ms > 0),
        };
        let behavior = self.state.borrow().behavior;
        let is_miss = fetch.class != class::READ && self.place != 0 && fetch.source.is_none();
        let ran = behavior != Behavior::Full && !is_miss;
        self.record(&fetch, number("wait").unwrap_or(0), ran);
        let (server, writer) = (self.clone(), writer.clone());
        self.state.borrow_mut().aborted.remove(&fetch.id);
        tokio::task::spawn_local(async move { server.answer(fetch, behavior, &writer).await });
    }

    fn record(&self, fetch: &Fetch, wait_ms: u64, ran: bool) {
        let mut world = self.world.borrow_mut();
        let record = FetchRecord {
            request: fetch.id.clone(),
            server: world.server_at(self.place),
            source: fetch.source.clone(),
            at_ms: world.now_ms(),
            wait_ms,
            ran,
        };
        world.counts.fetches += 1;
        world.fetches.push(record);
    }

    async fn answer(&self, fetch: Fetch, behavior: Behavior, writer: &Mutex<OwnedWriteHalf>) {
        match behavior {
            Behavior::Hangs => return,
            Behavior::Full => return send(writer, &encode(&fetch.id, "503", "-", b"")).await,
            Behavior::Sound | Behavior::Spoils => {}
        }
        let Some(copy) = self.copy_for(&fetch) else {
            return send(writer, &encode(&fetch.id, "404", "how=not_there", b"")).await;
        };
        let takes_ms = self.state.borrow_mut().random.u64(copy.takes_ms.clone());
        tokio::time::sleep(Duration::from_millis(takes_ms)).await;
        if self.state.borrow_mut().aborted.remove(&fetch.id) {
            return;
        }
        let answer = encode_copy(&fetch, &copy, takes_ms);
        let spoils = behavior == Behavior::Spoils && self.state.borrow_mut().random.bool();
        if !spoils {
            return send(writer, &answer).await;
        }
        let kind = self.state.borrow_mut().random.u32(0..5);
        match kind {
            0 => send(writer, b"*4\r\n$-7\r\nnoise").await,
            1 => send(writer, &answer[..answer.len() / 2]).await,
            2 => {
                send(writer, &answer).await;
                tokio::time::sleep(Duration::from_millis(takes_ms)).await;
                send(writer, &answer).await;
            }
            3 => {
                let (id, made) = ("00000000000000ff", "how=local,made=18446744073709551615");
                send(writer, &encode(id, "200", made, b"x")).await;
                send(writer, &answer).await;
            }
            _ => {
                send(
                    writer,
                    b"*4\r\n$16\r\n0123456789abcdef\r\n$3\r\n200\r\n$1\r\n-\r\n$3000000000\r\n",
                )
                .await
            }
        }
    }

    /// The copy that a request is answered from, filled if need be; none: a miss.
    fn copy_for(&self, fetch: &Fetch) -> Option<Copy> {
        let world = self.world.borrow();
        let now_unix_ms = world.now_unix_ms();
        let mut state = self.state.borrow_mut();
        let is_origin = self.place == 0;
        if fetch.class != class::READ {
            // It runs at the origin.
            return (is_origin || fetch.source.is_some()).then_some(Copy {
                made_unix_ms: now_unix_ms,
                how: "pulled_far",
                takes_ms: 10..60,
            });
        }
        if is_origin {
            return Some(Copy {
                made_unix_ms: now_unix_ms,
                how: "local",
                takes_ms: 10..40,
            });
        }
        let held = state
            .copies
            .get(&fetch.object)
            .copied()
            .filter(|made_unix_ms| {
                let is_purged = world.purges.iter().any(|purge| {
                    let concerns = match purge.object {
                        Some(object) => object == fetch.object,
                        None => purge.group == fetch.group,
                    };
                    // Each server drops purged copies in its own time, the last ones at the very end.
                    let delay_ms = PURGE_TAKES_MS * (self.place as u64 % 4) / 3;
                    concerns
                        && *made_unix_ms < purge.at_unix_ms
                        && now_unix_ms >= purge.at_unix_ms + delay_ms.min(PURGE_TAKES_MS)
                });
                let is_too_old = fetch
                    .max_age_ms
                    .is_some_and(|max_age_ms| made_unix_ms + max_age_ms < now_unix_ms);
                !is_purged && !is_too_old
            });
        if let Some(made_unix_ms) = held {
            return Some(Copy {
                made_unix_ms,
                how: "local",
                takes_ms: 3..25,
            });
        }
        fetch.source.as_ref()?;
        state.copies.insert(fetch.object, now_unix_ms);
        Some(Copy {
            made_unix_ms: now_unix_ms,
            how: "pulled_far",
            takes_ms: 15..80,
        })
    }
}

struct Copy {
    made_unix_ms: u64,
    how: &'static str,
    takes_ms: std::ops::Range<u64>,
}

/// The body of every answer with a copy.
pub fn copy_body(object: u64, made_unix_ms: u64) -> String {
    format!("{object:016x}@{made_unix_ms}{}", ".".repeat(PADDING_BYTES))
}

fn encode_copy(fetch: &Fetch, copy: &Copy, takes_ms: u64) -> Vec<u8> {
    let made = copy.made_unix_ms;
    let fields = format!(
        "how={},ttfb={},made={made},etag={made:016x}",
        copy.how,
        takes_ms / 2
    );
    let body = copy_body(fetch.object, made);
    encode(&fetch.id, "200", &fields, body.as_bytes())
}

fn encode(id: &str, status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    let items = [id.as_bytes(), status.as_bytes(), fields.as_bytes(), body];
    resp::write_array(&mut out, &items);
    out
}

async fn send(writer: &Mutex<OwnedWriteHalf>, bytes: &[u8]) {
    // The proxy may have closed the connection meanwhile.
    let _ = writer.lock().await.write_all(bytes).await;
}
