//! A cache server that answers each connection at a limited rate and keeps nothing.

use crate::{listen, ReceivedCommand, ANY_LOOPBACK_PORT, COMMAND_STRINGS, MAX_MESSAGE_BYTES};
use edge_proxy::protocol::{resp, Parser};
use std::collections::HashSet;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{mpsc, Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Number of pieces per second in which an answer is written.
const PIECES_PER_S: usize = 50;
/// Bytes that a stalling server reads on each connection.
const STALL_AFTER_BYTES: usize = 4_096;
const READ_BUFFER_BYTES: usize = 16 << 10;

/// How a server answers.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerAnswers {
    pub(super) body_bytes: usize,
    pub(super) bytes_per_s: usize,
    /// Whether the server reads only the beginning of the input on each connection.
    pub(super) stalls: bool,
}

pub(super) struct LoadServer;

type AbortedIds = Arc<Mutex<HashSet<String>>>;

impl LoadServer {
    /// Starts a server on a free port and returns its address.
    pub(super) fn start(answers: ServerAnswers) -> io::Result<SocketAddr> {
        let body: Arc<[u8]> = vec![b'.'; answers.body_bytes].into();
        listen(ANY_LOOPBACK_PORT, move |socket| {
            serve(socket, answers, body.clone())
        })
    }
}

/// Reads the commands on a connection, and answers them on another thread.
fn serve(mut socket: TcpStream, answers: ServerAnswers, body: Arc<[u8]>) -> Option<()> {
    let aborted_ids = AbortedIds::default();
    let (ids, received_ids) = mpsc::channel::<String>();
    let writer = socket.try_clone().ok()?;
    let writer_aborted_ids = aborted_ids.clone();
    thread::spawn(move || {
        for id in received_ids {
            answer(&writer, &id, answers, &body, &writer_aborted_ids)?;
        }
        Some(())
    });
    let mut parser = resp::ArrayParser::new(COMMAND_STRINGS, MAX_MESSAGE_BYTES);
    let mut chunk = [0; READ_BUFFER_BYTES];
    let mut received_bytes = 0;
    loop {
        if answers.stalls && received_bytes > STALL_AFTER_BYTES {
            thread::sleep(Duration::from_secs(1));
            continue;
        }
        let length = socket.read(&mut chunk).ok().filter(|length| *length > 0)?;
        received_bytes += length;
        let mut input = &chunk[..length];
        while !input.is_empty() {
            let (consumed, array) = parser.parse(input).ok()?;
            input = &input[consumed..];
            let Some(array) = array else {
                continue;
            };
            let command = ReceivedCommand::from_array(&array);
            if command.is_fetch() {
                ids.send(command.request_id).ok()?;
            } else {
                let mut aborted_ids = aborted_ids.lock().unwrap_or_else(PoisonError::into_inner);
                aborted_ids.insert(command.request_id);
            }
        }
    }
}

/// Answers a command at the server's rate, unless it was aborted before.
fn answer(
    mut socket: &TcpStream,
    id: &str,
    answers: ServerAnswers,
    body: &[u8],
    aborted_ids: &AbortedIds,
) -> Option<()> {
    let mut aborted = aborted_ids.lock().unwrap_or_else(PoisonError::into_inner);
    if aborted.remove(id) {
        return Some(());
    }
    drop(aborted);
    let fields = format!("how=local,made={},etag=t1", crate::unix_ms());
    let mut message = Vec::new();
    resp::write_array(
        &mut message,
        &[id.as_bytes(), b"200", fields.as_bytes(), body],
    );
    for piece in message.chunks(answers.bytes_per_s / PIECES_PER_S) {
        socket.write_all(piece).ok()?;
        thread::sleep(Duration::from_millis(1000 / PIECES_PER_S as u64));
    }
    Some(())
}
