//! Fake cache servers, which keep copies and record every command. By default they do not serve a
//! copy that is older than the request allows.

use crate::received_command::{ReceivedCommand, COMMAND_STRINGS};
use crate::{listen, ANY_LOOPBACK_PORT, MAX_MESSAGE_BYTES, READ_CHUNK_BYTES, TEST_TIMEOUT};
use edge_proxy::protocol::{resp, Parser};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// How a fake cache server answers requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Behavior {
    /// Delay of each answer in milliseconds.
    pub answer_delay_ms: u64,
    /// Number of padding bytes in each answer body, before the copy's key and creation time.
    pub padding_bytes: usize,
    /// Whether the server receives requests but sends no answer.
    pub unresponsive: bool,
    /// Whether the server serves copies that are older than the request allows, and reports them as
    /// new.
    pub ignores_max_age: bool,
}

impl Behavior {
    /// Returns the behavior of answering after a delay.
    pub fn delayed(answer_delay_ms: u64) -> Self {
        Behavior {
            answer_delay_ms,
            ..Behavior::default()
        }
    }

    /// Returns the behavior of answering with padded bodies.
    pub fn padded(padding_bytes: usize) -> Self {
        Behavior {
            padding_bytes,
            ..Behavior::default()
        }
    }

    /// Returns the behavior of sending no answer.
    pub fn unresponsive() -> Self {
        Behavior {
            unresponsive: true,
            ..Behavior::default()
        }
    }

    /// Returns the behavior of serving copies of any age as if they were new.
    pub fn ignoring_max_age() -> Self {
        Behavior {
            ignores_max_age: true,
            ..Behavior::default()
        }
    }
}

#[derive(Default)]
struct State {
    behavior: Behavior,
    received: Vec<ReceivedCommand>,
    /// When each stored copy was created, as a Unix time in milliseconds, by copy key.
    copies_created_at_ms: BTreeMap<String, u64>,
    accepted_connections: usize,
    closed_connections: usize,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    command_received: Condvar,
}

/// A fake cache server. Clones are handles to the same server.
#[derive(Clone)]
pub struct FakeCacheServer {
    /// The server's id in the endpoint list.
    pub id: &'static str,
    /// Address on which the server listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl FakeCacheServer {
    /// Starts a server on a free port.
    pub fn start(id: &'static str) -> io::Result<Self> {
        Self::start_at(id, ANY_LOOPBACK_PORT)
    }

    /// Starts a server that listens on an address.
    pub fn start_at(id: &'static str, address: &str) -> io::Result<Self> {
        let shared = Arc::<Shared>::default();
        let shared_with_connections = shared.clone();
        let address = listen(address, move |socket| {
            let server = FakeCacheServer {
                id,
                address: socket.local_addr().ok()?,
                shared: shared_with_connections.clone(),
            };
            server.state().accepted_connections += 1;
            let result = server.serve(socket);
            server.state().closed_connections += 1;
            result
        })?;
        Ok(FakeCacheServer {
            id,
            address,
            shared,
        })
    }

    /// Returns a handle to the same server under another id. It stands for a server that has taken
    /// over this one's address.
    pub fn successor_at_same_address(&self, id: &'static str) -> Self {
        FakeCacheServer { id, ..self.clone() }
    }

    /// Sets how the server answers the requests that it receives from now on.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.state().behavior = behavior;
    }

    /// Returns the number of connections that the server has accepted.
    pub fn accepted_connections(&self) -> usize {
        self.state().accepted_connections
    }

    /// Returns the number of open connections to the server.
    pub fn open_connections(&self) -> usize {
        let state = self.state();
        state.accepted_connections - state.closed_connections
    }

    /// Returns every command that the server has received.
    pub fn received(&self) -> Vec<ReceivedCommand> {
        self.state().received.clone()
    }

    /// Waits until the server has received a matching command, and returns the first such command.
    /// Returns None if none arrives within [`TEST_TIMEOUT`].
    pub fn wait_for_command(
        &self,
        matches: impl Fn(&ReceivedCommand) -> bool,
    ) -> Option<ReceivedCommand> {
        let waited =
            self.shared
                .command_received
                .wait_timeout_while(self.state(), TEST_TIMEOUT, |state| {
                    !state.received.iter().any(&matches)
                });
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        let command = state.received.iter().find(|command| matches(command));
        command.cloned()
    }

    /// Waits until the server has received any fetch; see [`Self::wait_for_command`].
    pub fn wait_for_fetch(&self) -> Option<ReceivedCommand> {
        self.wait_for_command(ReceivedCommand::is_fetch)
    }

    /// Waits until the server has received a command for an object; see [`Self::wait_for_command`].
    pub fn wait_for_request_of(&self, object_key: &str) -> Option<ReceivedCommand> {
        self.wait_for_command(|command| command.object_key() == Some(object_key))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves a connection until the client closes it or sends invalid input.
    fn serve(&self, mut socket: TcpStream) -> Option<()> {
        let writer = Arc::new(Mutex::new(socket.try_clone().ok()?));
        let mut array_parser = resp::ArrayParser::new(COMMAND_STRINGS, MAX_MESSAGE_BYTES);
        let mut chunk = [0; READ_CHUNK_BYTES];
        loop {
            let length = socket.read(&mut chunk).ok().filter(|length| *length > 0)?;
            let mut input = &chunk[..length];
            while !input.is_empty() {
                let (consumed, array) = array_parser.parse(input).ok()?;
                input = &input[consumed..];
                if let Some(array) = array {
                    self.handle(ReceivedCommand::from_array(&array), &writer);
                }
            }
        }
    }

    /// Records a command, and answers a fetch according to the current behavior.
    fn handle(&self, command: ReceivedCommand, writer: &Arc<Mutex<TcpStream>>) {
        let mut state = self.state();
        state.received.push(command.clone());
        self.shared.command_received.notify_all();
        let behavior = state.behavior;
        if !command.is_fetch() || behavior.unresponsive {
            return;
        }
        let copy = state.copy_for(&command);
        drop(state);
        let writer = writer.clone();
        let send_answer = move || {
            thread::sleep(Duration::from_millis(behavior.answer_delay_ms));
            // Answers follow each other, even if the proxy reads them slowly.
            let mut socket = writer.lock().unwrap_or_else(PoisonError::into_inner);
            // A write error means that the proxy has closed the connection and needs no answer.
            let _ = socket.write_all(&encode_answer(&command, copy, behavior));
        };
        if behavior.answer_delay_ms > 0 {
            thread::spawn(send_answer);
        } else {
            send_answer();
        }
    }
}

/// The copy that an answer contains.
#[derive(Clone, Copy)]
struct ServedCopy {
    /// Unix time in milliseconds.
    created_at_ms: u64,
    /// Whether the copy was stored before the request arrived. Otherwise it was filled for the
    /// request.
    was_cached: bool,
}

impl State {
    /// Returns the stored copy if it is new enough for the request. Otherwise stores and returns a
    /// copy that is created at the time of the request.
    fn copy_for(&mut self, command: &ReceivedCommand) -> ServedCopy {
        let copy_key = command.copy_key();
        let is_fresh = |created_at_ms: &u64| {
            self.behavior.ignores_max_age
                || command
                    .max_age_ms()
                    .is_none_or(|max_age_ms| created_at_ms + max_age_ms >= command.received_at_ms)
        };
        let cached = self.copies_created_at_ms.get(&copy_key).copied();
        let cached = cached.filter(is_fresh);
        let created_at_ms = cached.unwrap_or(command.received_at_ms);
        self.copies_created_at_ms.insert(copy_key, created_at_ms);
        ServedCopy {
            created_at_ms,
            was_cached: cached.is_some(),
        }
    }
}

fn encode_answer(command: &ReceivedCommand, copy: ServedCopy, behavior: Behavior) -> Vec<u8> {
    let created_at_ms = copy.created_at_ms;
    let reported_created_at_ms = if behavior.ignores_max_age {
        command.received_at_ms
    } else {
        created_at_ms
    };
    let source = if copy.was_cached { "local" } else { "pulled" };
    let fields = format!("how={source},ttfb=1,made={reported_created_at_ms},etag=t{created_at_ms}");
    let padding = ".".repeat(behavior.padding_bytes);
    let body = format!("{padding}{}@{created_at_ms}", command.copy_key());
    let mut out = Vec::new();
    resp::write_array(
        &mut out,
        &[
            command.request_id.as_bytes(),
            b"200",
            fields.as_bytes(),
            body.as_bytes(),
        ],
    );
    out
}
