//! Signs that a connection is of no further use: an answer that stopped part way, a server from
//! which nothing comes back, a socket that takes no bytes, input that can't be read.

use super::UpstreamConnection;
use crate::limits::Limits;
use crate::net::BufferedSocket;
use edge_routing::Micros;

/// What a connection has seen of how its server keeps up. Times in microseconds.
pub(super) struct Liveness {
    /// When something that can be read last arrived; at first, when the connection was opened.
    last_received: Micros,
    /// When the answer that has arrived in part began.
    partial_answer_since: Option<Micros>,
    /// A server is taken for unresponsive once nothing has arrived for longer than this.
    unresponsive_after_us: Micros,
    /// Nothing came back for an attempt that was cancelled here: the other side may have vanished
    /// without closing the connection.
    unresponsive: bool,
    /// Present while bytes wait in the output buffer.
    write_wait: Option<WriteWait>,
    /// Something arrived that can't be read: where the next answer begins is not known any more.
    garbled: bool,
}

/// Since when the socket has taken no byte.
#[derive(Clone, Copy)]
struct WriteWait {
    bytes_written: u64,
    since: Micros,
}

impl Liveness {
    /// The state of a connection that was just opened.
    pub(super) fn new(limits: &Limits, now: Micros) -> Self {
        Liveness {
            last_received: now,
            partial_answer_since: None,
            unresponsive_after_us: limits.unresponsive_after_us,
            unresponsive: false,
            write_wait: None,
            garbled: false,
        }
    }

    /// Input arrived that can't be read.
    pub(super) fn received_garbled(&mut self) {
        self.garbled = true;
    }

    /// Input arrived that can be read: the end of an answer or none, and the beginning of the next
    /// one or none.
    pub(super) fn received(&mut self, now: Micros, completed_answer: bool, partial_answer: bool) {
        let began_at = self
            .partial_answer_since
            .filter(|_| !completed_answer)
            .unwrap_or(now);
        self.partial_answer_since = partial_answer.then_some(began_at);
        self.last_received = now;
        self.unresponsive = false;
        self.garbled = false;
    }

    /// An attempt that was sent at this time is cancelled unanswered. A short silence is a pause; a
    /// long one since before the attempt may be the end of the connection.
    pub(super) fn cancelled_unanswered(&mut self, now: Micros, sent_at: Micros) {
        let nothing_since_sent = self.last_received < sent_at;
        let silent_for_long = self.last_received + self.unresponsive_after_us < now;
        self.unresponsive |= nothing_since_sent && silent_for_long;
    }

    /// Whether nothing came back for so long that the connection may lead nowhere.
    pub(super) fn is_unresponsive(&self) -> bool {
        self.unresponsive
    }

    /// Whether an answer has been arriving for so long that nothing more should wait behind it.
    pub(super) fn is_blocked_by_answer(&self, limits: &Limits) -> bool {
        self.partial_answer_since
            .is_some_and(|since| since + limits.unawaited_answer_timeout_us < self.last_received)
    }

    /// When the partial answer, if there is one, has to be whole. Its bytes must not pause for
    /// longer than one limit, and if nobody awaits it, it must not last longer than another in all.
    fn partial_answer_deadline(&self, limits: &Limits, awaited: bool) -> Option<Micros> {
        let since = self.partial_answer_since?;
        let pause_deadline = self.last_received + limits.partial_answer_timeout_us;
        if awaited {
            return Some(pause_deadline);
        }
        Some(pause_deadline.min(since + limits.unawaited_answer_timeout_us))
    }

    /// Notes whether bytes wait to be written, and whether any went out since the last call.
    pub(super) fn note_output(&mut self, now: Micros, conn: &BufferedSocket) {
        if !conn.connected || conn.output.is_empty() {
            self.write_wait = None;
            return;
        }
        let without_progress = self
            .write_wait
            .filter(|wait| wait.bytes_written == conn.bytes_written);
        self.write_wait = Some(without_progress.unwrap_or(WriteWait {
            bytes_written: conn.bytes_written,
            since: now,
        }));
    }

    /// Whether the socket has taken no byte for the time that `limits` allows.
    pub(super) fn is_write_stalled(&self, now: Micros, limits: &Limits) -> bool {
        self.write_wait
            .is_some_and(|wait| now - wait.since >= limits.server_write_timeout_us)
    }
}

impl UpstreamConnection {
    /// When the answer that has arrived in part will have stopped short, or nobody will wait for
    /// its end any more; none: no answer has arrived in part.
    pub fn partial_answer_deadline(&self, limits: &Limits) -> Option<Micros> {
        let id = self
            .answers
            .first_string()
            .and_then(|id| std::str::from_utf8(id).ok());
        let stream = id.and_then(|id| self.streams.get(id));
        let awaited = stream.is_some_and(|stream| stream.is_awaited());
        self.liveness.partial_answer_deadline(limits, awaited)
    }

    /// Whether what arrives next can be read: nothing so far was garbled, and no answer stopped
    /// short.
    pub fn is_readable(&self, now: Micros, limits: &Limits) -> bool {
        let stopped_short = self
            .partial_answer_deadline(limits)
            .is_some_and(|deadline| deadline <= now);
        !self.liveness.garbled && !stopped_short
    }

    /// Whether nothing came back for so long that the connection may lead nowhere, and nobody waits
    /// for it any more.
    pub fn is_unresponsive(&self) -> bool {
        let none_awaited = self.streams.values().all(|stream| !stream.is_awaited());
        self.liveness.is_unresponsive() && none_awaited && self.queue.is_empty()
    }
}
