//! Clients' connections on the platform's front: who is taken in, who has to leave, what they ask and are answered.

use super::{Connection, EventLoop, Kind, Timer, LISTENER};
use crate::frontend::fastcgi::SessionEvent;
use crate::limits::Limits;
use crate::net::{BufferedSocket, IoProgress, SlabKey};
use crate::protocol::ProtocolError;
use crate::request_table::{Answer, ResponseTarget};
use edge_routing::Micros;
use std::io;

/// What a client's connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    /// It is ended from here, and may be closed.
    Lingering,
    /// It has asked for nothing yet.
    Silent,
    /// A request has come in part.
    Half,
    /// All that it asked for is answered.
    Idle,
    /// It waits for an answer, or one is on its way out.
    Busy,
}

/// When a connection ends that stays what it has been since then; none while answers are owed.
fn leaves_at(standing: Standing, owed: usize, since: Micros, limits: &Limits) -> Option<Micros> {
    let after = match standing {
        Standing::Lingering => limits.lingering_close_us,
        Standing::Silent | Standing::Half => limits.client_request_timeout_us,
        Standing::Idle => limits.client_idle_timeout_us,
        Standing::Busy if owed > 0 => return None,
        // All is said, and the client takes none of it.
        Standing::Busy => limits.client_write_timeout_us,
    };
    Some(since + after)
}

impl EventLoop {
    fn standing(c: &Connection) -> Option<Standing> {
        let (busy, half, asked) = match &c.kind {
            Kind::Client(s) => (s.is_busy(), s.has_partial_input(), s.has_received_request()),
            Kind::Cdni(s) => (
                !s.is_idle(),
                s.has_partial_input(),
                s.has_received_request(),
            ),
            Kind::Lingering(_) => return Some(Standing::Lingering),
            _ => return None,
        };
        Some(
            match (
                busy || !c.conn.output.is_empty(),
                half || !c.conn.input.is_empty(),
                asked,
            ) {
                (true, ..) => Standing::Busy,
                (_, true, _) => Standing::Half,
                (.., true) => Standing::Idle,
                _ => Standing::Silent,
            },
        )
    }

    fn unanswered(c: &Connection) -> usize {
        match &c.kind {
            Kind::Client(s) => s.unanswered(),
            Kind::Cdni(s) => usize::from(s.waiting.is_some()),
            _ => 0,
        }
    }

    /// Who has to leave for one more client, or none; an error where nobody can. Where the table is full, the one
    /// that is likeliest to want nothing any more makes room: a crowd that says nothing, or clients that ask once
    /// and keep their connection for good, must not shut all others out. One that came a moment ago is let be:
    /// its request is on its way.
    /// So is one whose request has come but was not read yet.
    pub(super) fn room_for_client(&mut self, now: Micros) -> io::Result<Option<SlabKey>> {
        loop {
            if self.clients < self.limits.client_connections && self.has_place() {
                return Ok(None);
            }
            let leaver = self.leaver(now).ok_or(io::ErrorKind::OutOfMemory)?;
            self.look_for_input(now, leaver);
            // Unless it was read from and is another one's turn now.
            if self.leaver(now) == Some(leaver) {
                return Ok(Some(leaver));
            }
        }
    }

    /// The client's connection that is the first to make room.
    fn leaver(&self, now: Micros) -> Option<SlabKey> {
        let settled = now.saturating_sub(self.limits.eviction_immunity_us);
        let leaves = |key: &SlabKey| {
            let c = self.connections.get(*key)?;
            let standing = Self::standing(c).filter(|s| *s != Standing::Busy)?;
            Some((standing, c.since)).filter(|(_, since)| *since <= settled)
        };
        let keys = self.connections.keys();
        keys.iter()
            .filter_map(|key| Some((leaves(key)?, *key)))
            .min()
            .map(|(_, key)| key)
    }

    /// Notes what a client's connection is at since when, after something was read or written there.
    pub(super) fn note_client(&mut self, now: Micros, key: SlabKey) {
        let Some(c) = self.connections.get_mut(key) else {
            return;
        };
        let Some(standing) = Self::standing(c) else {
            return;
        };
        let half = standing == Standing::Half;
        // A request that comes in crumbs stays the one that began with the first.
        if standing == Standing::Busy || half && !std::mem::replace(&mut c.half, half) {
            c.since = now;
        }
        c.half = half;
        // Hundreds of clients may ask once and keep their connections: what each has taken must not add up.
        if standing == Standing::Idle {
            c.conn.input.release_memory();
            c.conn.output.release_memory();
        }
    }

    /// RequestCounters what a client's connection holds of requests that have come in part. Where all of them hold too much,
    /// the one that holds the most is ended.
    pub(super) fn bound_half(&mut self, now: Micros, key: SlabKey) {
        let Some(Connection {
            kind: Kind::Client(session),
            half_bytes,
            ..
        }) = self.connections.get_mut(key)
        else {
            return;
        };
        let before = std::mem::replace(half_bytes, session.partial_request_bytes());
        self.half_bytes = self.half_bytes + *half_bytes - before;
        while self.half_bytes > self.limits.partial_request_bytes {
            let held = |key: &SlabKey| self.connections.get(*key).map(|c| c.half_bytes);
            let Some(most) = self.connections.keys().into_iter().max_by_key(held) else {
                return;
            };
            log::info!("a connection is ended: it holds the most of too many requests in part");
            self.end(now, most);
        }
    }

    /// Ends a client's connection that holds its place for nothing. Usual clients end theirs sooner, so none of
    /// their requests can cross this.
    pub(super) fn look_at_client(&mut self, now: Micros, key: SlabKey) {
        let due = |c: &Connection| {
            leaves_at(
                Self::standing(c)?,
                Self::unanswered(c),
                c.since,
                &self.limits,
            )
        };
        if self
            .connections
            .get(key)
            .and_then(due)
            .is_some_and(|due| due <= now)
        {
            self.look_for_input(now, key);
        }
        let Some(c) = self.connections.get_mut(key) else {
            return;
        };
        let Some(standing) = Self::standing(c) else {
            return;
        };
        match leaves_at(standing, Self::unanswered(c), c.since, &self.limits) {
            // One that takes nothing, of what is written or of the end, is not waited for any longer.
            Some(due) if due <= now && matches!(standing, Standing::Busy | Standing::Lingering) => {
                self.close(now, key);
            }
            Some(due) if due <= now => self.end(now, key),
            due => {
                let look = now + self.limits.client_sweep_us;
                self.timers
                    .set(due.map_or(look, |due| due.min(look)), Timer::Client(key));
            }
        }
    }

    pub(super) fn accept(&mut self, now: Micros) {
        while self.listener.is_some() {
            // With no room left, connections wait in the kernel's queue: others end, and these are taken then.
            let room = self.room_for_client(now);
            let Some(listener) = &self.listener else {
                return;
            };
            let taken = room.and_then(|leaver| Ok((listener.accept()?.0, leaver)));
            let (socket, leaver) = match taken {
                Ok(taken) => taken,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted
                    ) =>
                {
                    continue
                }
                Err(e) => {
                    // No place left: the listener would stay readable and the loop spin on it.
                    log::debug!("accepting pauses: {e}");
                    let _ = self.poll.change(listener, LISTENER, false, false);
                    self.accepting = false;
                    return self.accept_later(now);
                }
            };
            let conn = BufferedSocket::new(
                socket,
                true,
                self.limits.input_buffer_bytes,
                self.limits.output_buffer_bytes,
            );
            if let Ok(conn) = conn {
                self.take_in(now, conn, Kind::Client(Default::default()), leaver);
            }
        }
        if let Some(listener) = self.listener.as_ref().filter(|_| !self.accepting) {
            self.accepting = self.poll.change(listener, LISTENER, true, false).is_ok();
        }
    }

    /// Accepts again in a moment. Both fronts may ask for it: were each to set a deadline of its own, every one
    /// of them would set two more while the table stays full.
    pub(super) fn accept_later(&mut self, now: Micros) {
        if !std::mem::replace(&mut self.accepts_later, true) {
            self.timers
                .set(now + self.limits.accept_retry_us, Timer::Accept);
        }
    }

    /// A client's connection, of either front, and who leaves for it.
    pub(super) fn take_in(
        &mut self,
        now: Micros,
        conn: BufferedSocket,
        kind: Kind,
        leaver: Option<SlabKey>,
    ) {
        if let Some(leaver) = leaver {
            self.close(now, leaver);
        }
        if let Some(key) = self.open(now, conn, kind) {
            self.clients += 1;
            self.timers.set(
                now + self.limits.client_request_timeout_us,
                Timer::Client(key),
            );
        }
    }

    /// Takes in what a client's connection asks.
    pub(super) fn read_client(&mut self, now: Micros, key: SlabKey) -> Result<(), ProtocolError> {
        loop {
            let Some(c) = self.connections.get_mut(key) else {
                return Ok(());
            };
            let Kind::Client(session) = &mut c.kind else {
                return Ok(());
            };
            match session.read(&mut c.conn.input, &self.limits)? {
                None => return Ok(()),
                Some(SessionEvent::Abort(request_key)) => {
                    self.request_table.client_disconnected(now, request_key)
                }
                Some(SessionEvent::HealthCheck(stream)) => {
                    let ready = self.request_table.is_ready() && !self.stopping;
                    session.respond_with_status(
                        stream,
                        if ready {
                            "200 OK"
                        } else {
                            "503 Service Unavailable"
                        },
                    );
                }
                Some(SessionEvent::Request(stream, asked)) => {
                    let client = ResponseTarget {
                        connection: key,
                        stream: u32::from(stream),
                    };
                    let slow = self.waiting_answers > self.limits.unsent_answer_bytes;
                    // One client's flood must leave room for the requests of the others.
                    let flood = !self
                        .limits
                        .admits(session.unanswered(), self.request_table.is_half_full());
                    let request_key = if slow || flood || self.grace_over {
                        None
                    } else {
                        self.request_table.admit(now, client, asked).ok()
                    };
                    match request_key {
                        Some(request_key) => session.request_admitted(stream, request_key),
                        None => session.respond(
                            stream,
                            &Answer::Rejected {
                                retry_after_us: Some(self.limits.retry_after_us),
                            },
                        ),
                    }
                }
            }
            // Answers given at once belong to requests that are already known as taken.
            self.settle(now);
        }
    }

    pub(super) fn answer(&mut self, now: Micros, client: ResponseTarget, answer: Answer) {
        let Some(c) = self.connections.get_mut(client.connection) else {
            return;
        };
        match &mut c.kind {
            Kind::Client(session) => {
                session.respond(client.stream as u16, &answer);
                self.write_client(client.connection);
            }
            Kind::Cdni(_) => self.answer_cdni(now, client.connection, answer),
            _ => {}
        }
    }

    pub(super) fn write_client(&mut self, key: SlabKey) {
        let Some(c) = self.connections.get_mut(key) else {
            return;
        };
        let Kind::Client(session) = &mut c.kind else {
            return;
        };
        loop {
            session.write(&mut c.conn.output);
            if c.conn.write() != IoProgress::Advanced {
                break;
            }
        }
        let before = std::mem::replace(&mut c.waiting, session.unsent_bytes());
        self.waiting_answers = self.waiting_answers + c.waiting - before;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn who_holds_a_place_for_nothing_leaves_and_who_is_owed_an_answer_does_not() {
        let limits = Limits::for_machine(256, 32);
        let at = |standing, owed| leaves_at(standing, owed, 7, &limits);
        assert_eq!(at(Standing::Busy, 1), None);
        assert_eq!(
            at(Standing::Busy, 0),
            Some(7 + limits.client_write_timeout_us),
            "it takes no answer"
        );
        // What is owed within three seconds of connecting, and what usual clients end by themselves after four.
        assert!([Standing::Silent, Standing::Half]
            .iter()
            .all(|s| at(*s, 0) < Some(7 + 3_000_000)));
        assert!(at(Standing::Idle, 0) > Some(7 + 4_000_000));
        assert!(Standing::Silent < Standing::Half && Standing::Half < Standing::Idle);
    }
}
