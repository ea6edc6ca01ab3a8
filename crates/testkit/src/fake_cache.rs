//! Fake cache servers: they keep copies, honour the age limit of a request, and record every
//! command.

use crate::received_command::ReceivedCommand;
use crate::{listen, ANY_LOOPBACK_PORT, MAX_MESSAGE_BYTES, READ_CHUNK_BYTES, TEST_TIMEOUT};
use edge_proxy::protocol::{resp, Parser};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// How a cache server treats the requests to come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Behavior {
    /// Delay of each response.
    pub response_delay_ms: u64,
    /// Bytes that each response body holds in addition to the object's name and time.
    pub padding_bytes: usize,
    /// Sends no response.
    pub unresponsive: bool,
    /// Serves copies older than the request allows, and claims that they are new.
    pub ignores_max_age: bool,
}

impl Behavior {
    /// Responds after a delay.
    pub fn delayed(response_delay_ms: u64) -> Self {
        Behavior {
            response_delay_ms,
            ..Behavior::default()
        }
    }

    /// Responds with large bodies.
    pub fn padded(padding_bytes: usize) -> Self {
        Behavior {
            padding_bytes,
            ..Behavior::default()
        }
    }

    /// Does not respond.
    pub fn unresponsive() -> Self {
        Behavior {
            unresponsive: true,
            ..Behavior::default()
        }
    }

    /// Serves stale copies as if they were new.
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
    /// When the kept copy of each part left the origin.
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
    /// Its id in the server list.
    pub id: &'static str,
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl FakeCacheServer {
    /// Starts a server on a port of its own.
    pub fn start(id: &'static str) -> io::Result<Self> {
        Self::start_at(id, ANY_LOOPBACK_PORT)
    }

    /// Starts a server at an address.
    pub fn start_at(id: &'static str, address: &str) -> io::Result<Self> {
        let shared = Arc::<Shared>::default();
        let serving = shared.clone();
        let address = listen(address, move |socket| {
            let server = FakeCacheServer {
                id,
                address: socket.local_addr().ok()?,
                shared: serving.clone(),
            };
            server.state().accepted_connections += 1;
            let served = server.serve(socket);
            server.state().closed_connections += 1;
            served
        })?;
        Ok(FakeCacheServer {
            id,
            address,
            shared,
        })
    }

    /// The same server under another id: one that has taken over the address.
    pub fn successor_at_same_address(&self, id: &'static str) -> Self {
        FakeCacheServer { id, ..self.clone() }
    }

    /// Changes how it treats the requests to come.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.state().behavior = behavior;
    }

    /// Number of connections that it has accepted.
    pub fn accepted_connections(&self) -> usize {
        self.state().accepted_connections
    }

    /// Number of connections to it that are open.
    pub fn open_connections(&self) -> usize {
        let state = self.state();
        state.accepted_connections - state.closed_connections
    }

    /// Every command that it has received.
    pub fn received(&self) -> Vec<ReceivedCommand> {
        self.state().received.clone()
    }

    /// Waits until it has received a command that matches; none has come within [`TEST_TIMEOUT`] if
    /// this returns `None`.
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

    /// Waits until it has received any fetch, like [`Self::wait_for_command`].
    pub fn wait_for_fetch(&self) -> Option<ReceivedCommand> {
        self.wait_for_command(ReceivedCommand::is_fetch)
    }

    /// Waits until it has received a command for an object, like [`Self::wait_for_command`].
    pub fn wait_for_request_of(&self, object_key: &str) -> Option<ReceivedCommand> {
        self.wait_for_command(|command| command.object_key() == Some(object_key))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves a connection until it closes or sends what is no command.
    fn serve(&self, mut socket: TcpStream) -> Option<()> {
        let mut arrays = resp::ArrayParser::new(MAX_MESSAGE_BYTES);
        let mut chunk = [0; READ_CHUNK_BYTES];
        loop {
            let length = socket.read(&mut chunk).ok().filter(|length| *length > 0)?;
            let mut input = &chunk[..length];
            while !input.is_empty() {
                let (consumed, array) = arrays.parse(input).ok()?;
                input = &input[consumed..];
                if let Some(array) = array {
                    self.handle(ReceivedCommand::from_array(&array), &socket);
                }
            }
        }
    }

    /// Records a command and responds to it as the current behavior says.
    fn handle(&self, command: ReceivedCommand, socket: &TcpStream) {
        let mut state = self.state();
        state.received.push(command.clone());
        self.shared.command_received.notify_all();
        let behavior = state.behavior;
        if !command.is_fetch() || behavior.unresponsive {
            return;
        }
        let copy = state.copy_for(&command);
        drop(state);
        let Ok(mut socket) = socket.try_clone() else {
            return;
        };
        let mut respond = move || {
            thread::sleep(Duration::from_millis(behavior.response_delay_ms));
            // A proxy that has closed the connection meanwhile wants no response.
            let _ = socket.write_all(&encode_response(&command, copy, behavior));
        };
        if behavior.response_delay_ms > 0 {
            thread::spawn(respond);
        } else {
            respond();
        }
    }
}

/// The copy that a response brings.
#[derive(Clone, Copy)]
struct ServedCopy {
    created_at_ms: u64,
    /// Whether the server had it, and did not fetch it for this request.
    was_cached: bool,
}

impl State {
    /// The copy for a request: the kept one if it is new enough, else one that is created now.
    fn copy_for(&mut self, command: &ReceivedCommand) -> ServedCopy {
        let part_name = command.part_name();
        let is_fresh = |created_at_ms: &u64| {
            self.behavior.ignores_max_age
                || command
                    .max_age_ms()
                    .is_none_or(|max_age_ms| created_at_ms + max_age_ms >= command.received_at_ms)
        };
        let cached = self.copies_created_at_ms.get(&part_name).copied();
        let cached = cached.filter(is_fresh);
        let created_at_ms = cached.unwrap_or(command.received_at_ms);
        self.copies_created_at_ms.insert(part_name, created_at_ms);
        ServedCopy {
            created_at_ms,
            was_cached: cached.is_some(),
        }
    }
}

fn encode_response(command: &ReceivedCommand, copy: ServedCopy, behavior: Behavior) -> Vec<u8> {
    let created_at_ms = copy.created_at_ms;
    let claimed_ms = if behavior.ignores_max_age {
        command.received_at_ms
    } else {
        created_at_ms
    };
    let source = if copy.was_cached { "local" } else { "pulled" };
    let fields = format!("how={source},ttfb=1,made={claimed_ms},etag=t{created_at_ms}");
    let padding = ".".repeat(behavior.padding_bytes);
    let body = format!("{padding}{}@{created_at_ms}", command.part_name());
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
