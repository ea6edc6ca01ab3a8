//! Notices that a peer accepts no bytes.

use super::connection::BufferedSocket;
use edge_routing::Micros;

/// Since when a socket has accepted no byte although bytes wait to be written. Points in time are
/// in microseconds.
#[derive(Debug, Default)]
pub struct WriteStall {
    wait: Option<WriteWait>,
}

/// Since when the socket has accepted no byte, and how many bytes were written until then.
#[derive(Clone, Copy, Debug)]
struct WriteWait {
    bytes_written: u64,
    since: Micros,
}

impl WriteStall {
    /// Records whether bytes wait to be written, and whether any were written since the last call.
    pub fn update(&mut self, now: Micros, socket: &BufferedSocket) {
        if !socket.is_connected || socket.output.is_empty() {
            self.wait = None;
            return;
        }
        let without_progress = self
            .wait
            .filter(|wait| wait.bytes_written == socket.bytes_written);
        self.wait = Some(without_progress.unwrap_or(WriteWait {
            bytes_written: socket.bytes_written,
            since: now,
        }));
    }

    /// Returns since when the socket has accepted no byte, or `None` if no bytes wait.
    pub fn since(&self) -> Option<Micros> {
        self.wait.map(|wait| wait.since)
    }
}
