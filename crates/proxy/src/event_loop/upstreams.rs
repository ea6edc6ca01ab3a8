//! Links to boxes: which connection an attempt takes, and what becomes of it.

use super::{Connection, EventLoop, Kind, Timer};
use crate::net::{BufferedSocket, IoProgress, Readiness, SlabKey};
use crate::request_table::AttemptId;
use crate::upstream::{UpstreamConnection, UpstreamEvent};
use edge_routing::{Micros, Outcome, ServerId};

impl EventLoop {
    pub(super) fn tell(&mut self, now: Micros, server: ServerId, told: Vec<UpstreamEvent>) {
        for t in told {
            match t {
                UpstreamEvent::AttemptEnded(attempt, ended) => {
                    self.request_table.attempt_ended(now, attempt, ended)
                }
                UpstreamEvent::ProbeEnded(outcome, took_us, load) => self
                    .request_table
                    .probe_ended(now, server, outcome, took_us, load),
            }
        }
    }

    pub(super) fn link(
        &mut self,
        key: SlabKey,
    ) -> Option<(&mut BufferedSocket, &mut UpstreamConnection)> {
        match self.connections.get_mut(key)? {
            Connection {
                conn,
                kind: Kind::Box(link),
                ..
            } => Some((conn, link)),
            _ => None,
        }
    }

    pub(super) fn send(&mut self, now: Micros, attempt: AttemptId) {
        let mut best = self.best_link(attempt);
        // Where nothing is open the box may have ended the connection by now: what is written there is lost, and
        // nobody could tell whether it ran.
        while let Some((.., key)) = best.filter(|((_, late, live), _)| !late && *live == 0) {
            self.serve(now, key, Readiness::readable(key.to_u64()));
            if self.connections.get(key).is_some() {
                break;
            }
            best = self.best_link(attempt);
        }
        let Some((_, spec)) = self.request_table.attempt_spec(attempt) else {
            return;
        };
        let server = spec.server;
        let links = self.links.get(&server).map_or(&[][..], Vec::as_slice);
        // One answer that can't be read ends all that is open on its connection: the more of them, the less is
        // lost at once. The next one is begun ahead, so that no attempt waits for it.
        let up = |key: &SlabKey| self.connections.get(*key).is_some_and(|c| c.conn.connected);
        let shared =
            best.is_some_and(|((.., live), _)| live >= self.limits.attempts_before_new_connection);
        let spare = self.connections.free_slots() > self.limits.spare_connections;
        let ahead = shared
            && spare
            && links.len() < self.limits.connections_per_server
            && links.iter().all(up);
        let full = links.len() >= self.limits.connections_per_server;
        // One that leads nowhere any more may stay so for good, and says no word of it.
        let silent = |key: &&SlabKey| match self.connections.get(**key) {
            Some(Connection {
                kind: Kind::Box(link),
                ..
            }) => link.is_unresponsive(),
            _ => false,
        };
        let leaver = links
            .iter()
            .find(silent)
            .copied()
            .filter(|_| best.is_none() && full);
        let fresh = best.is_none() && (!full || leaver.is_some());
        if let Some(leaver) = leaver {
            self.close(now, leaver);
        }
        let key = match best {
            Some((_, key)) => Some(key),
            None if fresh => self.dial(now, server),
            None => None,
        };
        if ahead {
            self.dial(now, server);
        }
        match key.and_then(|key| Some((key, self.link(key)?.1))) {
            Some((key, link)) => {
                link.enqueue(attempt);
                if !self.pump(now, key) {
                    self.close(now, key);
                }
                self.watch(key);
            }
            // Nothing was written: it never ran.
            None => self
                .request_table
                .attempt_ended(now, attempt, Outcome::ConnectFailed.into()),
        }
    }

    /// The connection that an attempt takes: whether it is another one than that on which the request was given
    /// up, whether it is not up yet, and what is open on it.
    fn best_link(&self, attempt: AttemptId) -> Option<((bool, bool, usize), SlabKey)> {
        let (asked, spec) = self.request_table.attempt_spec(attempt)?;
        let id = asked.id.as_str();
        let room = |key: &SlabKey| match self.connections.get(*key) {
            Some(Connection {
                conn,
                kind: Kind::Box(link),
                ..
            }) => Some((
                !link.cancelled_recently(id),
                !conn.connected,
                link.load_if_available(id, &self.request_table, &self.limits)?,
            )),
            _ => None,
        };
        self.links
            .get(&spec.server)?
            .iter()
            .filter_map(|key| Some((room(key)?, *key)))
            .min()
    }

    /// Reads what a box had sent before its connection broke: those answers are answers.
    pub(super) fn read_rest(&mut self, now: Micros, key: SlabKey) {
        for _ in 0..self.limits.reads_after_close {
            let readable = self.connections.get(key).is_some_and(|c| match &c.kind {
                Kind::Box(link) => c.conn.connected && link.is_readable(now, &self.limits),
                _ => false,
            });
            let Some((conn, _)) = self.link(key).filter(|_| readable) else {
                return;
            };
            if conn.read(false) != IoProgress::Advanced || self.read(now, key).is_err() {
                return;
            }
        }
    }

    /// Begins a connection to a box.
    fn dial(&mut self, now: Micros, server: ServerId) -> Option<SlabKey> {
        let (_, endpoint) = self
            .request_table
            .address_of(server)
            .filter(|_| self.has_place())?;
        let key = self.call(
            now,
            endpoint,
            Kind::Box(UpstreamConnection::new(server, &self.limits, now)),
        )?;
        self.links.entry(server).or_default().push(key);
        Some(key)
    }

    pub(super) fn pump(&mut self, now: Micros, key: SlabKey) -> bool {
        let Some(Connection {
            conn,
            kind: Kind::Box(link),
            ..
        }) = self.connections.get_mut(key)
        else {
            return true;
        };
        let (server, mut told) = (link.server, Vec::new());
        let sound = link.flush(now, conn, &self.request_table, &self.limits, &mut told);
        let due = [
            link.next_cancellation_report(&self.limits),
            link.partial_answer_deadline(&self.limits).filter(|_| sound),
        ];
        for at in due.into_iter().flatten() {
            self.timers.set(at, Timer::UpstreamConnection(key));
        }
        if conn.connected && !conn.output.is_empty() {
            self.timers.set(
                now + self.limits.server_write_timeout_us,
                Timer::UpstreamConnection(key),
            );
        }
        // What drains or is gone gets nothing new: once all that it owed has come, its connections are of no use,
        // and where a machine has vanished nobody else would end them.
        let done = link.is_idle() && !self.request_table.accepts_work(server);
        self.tell(now, server, told);
        sound && !done
    }

    pub(super) fn look_at_link(&mut self, now: Micros, key: SlabKey) {
        if !self.pump(now, key) {
            self.close(now, key);
        }
        self.watch(key);
        if let Some(Connection {
            kind: Kind::Box(link),
            ..
        }) = self.connections.get_mut(key)
        {
            link.forget_old_streams(now, &self.limits);
        }
    }

    pub(super) fn give_up(&mut self, now: Micros, attempt: AttemptId, server: ServerId) {
        for key in self.links.get(&server).cloned().unwrap_or_default() {
            let Some((conn, link)) = self.link(key) else {
                continue;
            };
            let mut told = Vec::new();
            let sound = link.cancel(now, attempt, conn, &mut told);
            self.tell(now, server, told);
            self.timers.set(
                now + self.limits.stream_memory_us,
                Timer::UpstreamConnection(key),
            );
            if !sound || !self.pump(now, key) {
                self.close(now, key);
            }
            self.watch(key);
        }
    }

    pub(super) fn unqueue(&mut self, now: Micros, attempt: AttemptId, server: ServerId) {
        for key in self.links.get(&server).cloned().unwrap_or_default() {
            let Some((conn, link)) = self.link(key) else {
                continue;
            };
            let mut told = Vec::new();
            if link.dequeue(attempt, conn, &mut told) {
                return self.tell(now, server, told);
            }
        }
    }

    pub(super) fn withdraw(&mut self, now: Micros, server: ServerId) {
        for key in self.links.values().flatten().copied().collect::<Vec<_>>() {
            let Some(Connection {
                conn,
                kind: Kind::Box(link),
                ..
            }) = self.connections.get_mut(key)
            else {
                continue;
            };
            let (to, mut told) = (link.server, Vec::new());
            let sound = link.drain_server(server, conn, &self.request_table, &mut told);
            let over = !sound || to == server && link.is_idle();
            self.tell(now, to, told);
            if over {
                // Its address may be given to another box.
                self.close(now, key);
            }
        }
    }

    pub(super) fn probe(&mut self, now: Micros, server: ServerId) {
        let key = self
            .links
            .get(&server)
            .and_then(|links| links.first())
            .copied();
        let asked = key
            .and_then(|key| self.link(key))
            .is_some_and(|(conn, link)| link.probe(now, conn));
        match key.filter(|_| asked) {
            Some(key) => {
                self.write(now, key);
            }
            None => self
                .request_table
                .probe_ended(now, server, Outcome::ConnectFailed, 0, None),
        }
    }
}
