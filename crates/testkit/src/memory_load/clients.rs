//! The clients of a load: ordinary ones, and those of a mix.

use super::mixes::{ClientEnd, ClientMix};
use crate::fastcgi_client::FastCgiClient;
use crate::sample_deployment::{object_key, READ_CLASS};
use edge_proxy::protocol::fastcgi::{self, record_type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Number of ordinary clients.
const ORDINARY_CLIENTS: u64 = 8;
/// Pause of an ordinary client between two requests.
const ORDINARY_PAUSE: Duration = Duration::from_millis(200);
/// If a connection ends this soon after a request is sent, the request may have crossed its close.
const CROSSING_TIME: Duration = Duration::from_millis(50);
/// Pause of a client that could not connect.
const CONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Time for which a client waits for each answer.
const BUDGET_MS: &str = "6000";
/// Size of the part that is stated, in KB.
const PART_SIZE_KB: &str = "1600";

/// The answers to the requests of ordinary clients.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerCounts {
    /// Answered with content.
    pub served: u64,
    /// Rejected, so that a further try does no harm.
    pub rejected: u64,
    /// Answered otherwise.
    pub failed: u64,
    /// The connection ended without an answer.
    pub unanswered: u64,
}

#[derive(Default)]
struct SharedCounts {
    stopped: AtomicBool,
    next_id: AtomicU64,
    connections: AtomicU64,
    served: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
    unanswered: AtomicU64,
}

/// What a group of clients did.
pub(super) struct GroupCounts {
    pub(super) answers: AnswerCounts,
    pub(super) connections: u64,
}

/// Running clients, each on a thread of its own.
pub(super) struct ClientGroup {
    counts: Arc<SharedCounts>,
    threads: Vec<JoinHandle<()>>,
}

impl ClientGroup {
    /// Starts clients that request one object after the other.
    pub(super) fn start_ordinary(proxy: SocketAddr) -> Self {
        Self::start(ORDINARY_CLIENTS, 1, move |counts| {
            run_ordinary_client(proxy, counts);
        })
    }

    /// Starts the clients of a mix. With the ordinary ones they hold no more than a third of the
    /// sockets.
    pub(super) fn start_mix(proxy: SocketAddr, mix: &ClientMix, sockets: u64) -> Self {
        let clients = (sockets / 3).saturating_sub(ORDINARY_CLIENTS);
        let mix = *mix;
        Self::start(clients, 1 << 32, move |counts| {
            run_hostile_client(proxy, &mix, counts)
        })
    }

    fn start(
        clients: u64,
        first_id: u64,
        run: impl Fn(&SharedCounts) + Clone + Send + 'static,
    ) -> Self {
        let counts = Arc::new(SharedCounts::default());
        counts.next_id.store(first_id, Relaxed);
        let spawn = |_| {
            let (counts, run) = (counts.clone(), run.clone());
            thread::spawn(move || {
                while !counts.stopped.load(Relaxed) {
                    run(&counts);
                }
            })
        };
        let threads = (0..clients).map(spawn).collect();
        ClientGroup { counts, threads }
    }

    /// Stops the clients and waits until they have ended.
    pub(super) fn stop(self) -> GroupCounts {
        self.counts.stopped.store(true, Relaxed);
        for thread in self.threads {
            // A client that panicked has no further answers to count.
            let _ = thread.join();
        }
        let counts = &self.counts;
        GroupCounts {
            answers: AnswerCounts {
                served: counts.served.load(Relaxed),
                rejected: counts.rejected.load(Relaxed),
                failed: counts.failed.load(Relaxed),
                unanswered: counts.unanswered.load(Relaxed),
            },
            connections: counts.connections.load(Relaxed),
        }
    }
}

/// Encodes a request for a new object.
fn encode_request(counts: &SharedCounts, request_id: u16, body: &[u8]) -> Vec<u8> {
    let id = object_key(counts.next_id.fetch_add(1, Relaxed));
    let params = [
        ("HTTP_REQUEST_ID", id.as_str()),
        ("HTTP_RESOURCE_KEY", &id),
        ("HTTP_BUDGET_MS", BUDGET_MS),
        ("HTTP_FOOTPRINT_KB", PART_SIZE_KB),
    ];
    let path = format!("/invoke/{READ_CLASS}");
    FastCgiClient::encode_request(request_id, &path, &params, body)
}

/// Requests objects on one connection until it ends or the clients are stopped.
fn run_ordinary_client(proxy: SocketAddr, counts: &SharedCounts) {
    let Ok(mut client) = FastCgiClient::connect(proxy) else {
        return thread::sleep(CONNECT_PAUSE);
    };
    while !counts.stopped.load(Relaxed) {
        let request = encode_request(counts, 1, b"");
        let sent_at = Instant::now();
        let answer = client.send(&request).and_then(|()| client.next_response());
        let count = match &answer {
            Ok((_, Some(response))) if response.status == 200 => &counts.served,
            Ok((_, Some(response))) if response.status == 503 => &counts.rejected,
            Ok((_, None)) => &counts.rejected,
            Ok(_) => &counts.failed,
            // The request crossed the close of an idle connection, and is sent again.
            Err(_) if sent_at.elapsed() < CROSSING_TIME => return,
            Err(_) => &counts.unanswered,
        };
        count.fetch_add(1, Relaxed);
        if answer.is_err() {
            return;
        }
        thread::sleep(ORDINARY_PAUSE);
    }
}

/// Connects, sends the requests of a mix, stays and closes.
fn run_hostile_client(proxy: SocketAddr, mix: &ClientMix, counts: &SharedCounts) {
    let Ok(mut socket) = TcpStream::connect(proxy) else {
        return thread::sleep(CONNECT_PAUSE);
    };
    counts.connections.fetch_add(1, Relaxed);
    let leaves_at = Instant::now() + mix.stay;
    if socket.set_write_timeout(Some(mix.stay)).is_err() {
        return;
    }
    if socket.write_all(&hostile_message(mix, counts)).is_err() {
        return;
    }
    let mut chunk = [0; 16 << 10];
    while !counts.stopped.load(Relaxed) {
        let left = leaves_at.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        if mix.end == ClientEnd::ReadsNothing {
            thread::sleep(left.min(CONNECT_PAUSE));
            continue;
        }
        let is_set = socket.set_read_timeout(Some(left.min(Duration::from_millis(100))));
        if is_set.is_err() || matches!(socket.read(&mut chunk), Ok(0)) {
            return;
        }
    }
}

/// Returns everything that a client of a mix sends.
fn hostile_message(mix: &ClientMix, counts: &SharedCounts) -> Vec<u8> {
    let body = vec![7; mix.body_bytes];
    let mut message = Vec::new();
    for request_id in 1..=mix.requests {
        message.extend(encode_request(counts, request_id, &body));
    }
    match mix.end {
        ClientEnd::NeverEnds => {
            message.truncate(message.len() - crate::fastcgi_client::END_OF_INPUT_BYTES)
        }
        ClientEnd::TakesBack => {
            for request_id in 1..=mix.requests {
                fastcgi::write_record(&mut message, record_type::ABORT_REQUEST, request_id, &[]);
            }
        }
        ClientEnd::Reads | ClientEnd::ReadsNothing => {}
    }
    message
}
