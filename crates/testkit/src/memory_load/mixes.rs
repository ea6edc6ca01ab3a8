//! The mixes of clients and answers.

use super::server::ServerAnswers;
use std::time::Duration;

/// Size of the largest object.
const LARGE_ANSWER_BYTES: usize = 240_000;
/// Size of a small object.
const SMALL_ANSWER_BYTES: usize = 2_000;
/// Rate of one transfer from a cache server.
const TRANSFER_BYTES_PER_S: usize = 310_000;
/// Size of a body just below the limit of one request.
const LARGE_BODY_BYTES: usize = 47_000;

/// What a client does after it has sent its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientEnd {
    /// It reads what comes.
    Reads,
    /// It reads nothing.
    ReadsNothing,
    /// It takes all requests back at once and reads what comes.
    TakesBack,
    /// It leaves out the end of the last body, so that this request is never complete.
    NeverEnds,
}

/// A mix: clients that each connect, send requests at once, stay for a time, close, and begin again.
#[derive(Clone, Copy, Debug)]
pub struct ClientMix {
    /// The name of the mix.
    pub name: &'static str,
    /// Requests that a client sends at once.
    pub requests: u16,
    /// Size of the body of each request.
    pub body_bytes: usize,
    /// Size of the body of each answer.
    pub answer_bytes: usize,
    /// Whether the cache servers accept no bytes after the first ones.
    pub servers_stall: bool,
    /// How long a client stays.
    pub stay: Duration,
    /// What the client does after its requests.
    pub end: ClientEnd,
}

impl ClientMix {
    pub(super) fn server_answers(&self) -> ServerAnswers {
        ServerAnswers {
            body_bytes: self.answer_bytes,
            bytes_per_s: TRANSFER_BYTES_PER_S,
            stalls: self.servers_stall,
        }
    }
}

const BASE: ClientMix = ClientMix {
    name: "",
    requests: 8,
    body_bytes: LARGE_BODY_BYTES,
    answer_bytes: LARGE_ANSWER_BYTES,
    servers_stall: false,
    stay: Duration::from_millis(300),
    end: ClientEnd::Reads,
};

/// The mixes that are known to need much memory, each of another kind.
pub const MIXES: [ClientMix; 10] = [
    ClientMix {
        name: "bodies and large answers, leaves after 0.3 s",
        ..BASE
    },
    ClientMix {
        name: "bodies and large answers, leaves at once",
        stay: Duration::from_millis(20),
        ..BASE
    },
    ClientMix {
        name: "bodies and large answers, waits 6 s",
        stay: Duration::from_secs(6),
        ..BASE
    },
    ClientMix {
        name: "bodies and small answers, leaves after 0.3 s",
        answer_bytes: SMALL_ANSWER_BYTES,
        ..BASE
    },
    ClientMix {
        name: "no bodies and large answers, waits 6 s",
        requests: 32,
        body_bytes: 0,
        stay: Duration::from_secs(6),
        ..BASE
    },
    ClientMix {
        name: "small bodies, 32 requests, leaves after 0.3 s",
        requests: 32,
        body_bytes: 1_500,
        answer_bytes: 60_000,
        ..BASE
    },
    ClientMix {
        name: "bodies and large answers that it does not read, 3 s",
        stay: Duration::from_secs(3),
        end: ClientEnd::ReadsNothing,
        ..BASE
    },
    ClientMix {
        name: "32 requests with bodies taken back at once",
        requests: 32,
        end: ClientEnd::TakesBack,
        ..BASE
    },
    ClientMix {
        name: "bodies, the last of which never ends, 3 s",
        stay: Duration::from_secs(3),
        end: ClientEnd::NeverEnds,
        ..BASE
    },
    ClientMix {
        name: "bodies to servers that stop reading, 3 s",
        servers_stall: true,
        stay: Duration::from_secs(3),
        ..BASE
    },
];
