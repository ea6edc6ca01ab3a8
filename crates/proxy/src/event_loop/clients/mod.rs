//! Client connections of both listeners: what they hold, and how long one may stay without making
//! progress.

mod eviction;
mod fastcgi;
#[cfg(test)]
mod tests;

use super::close_reason::CloseReason;
use super::connections::{Connection, ConnectionRole};
use super::timer::TimerEvent;
use super::EventLoop;
use crate::frontend::ClientSession;
use crate::net::SlabKey;
use edge_routing::Micros;
use eviction::EvictionClass;

/// What the event loop keeps for one client connection.
pub(super) struct ClientActivity {
    /// When an answer was last awaited or on its way out, or when the connection's present class
    /// began.
    pub(super) since: Micros,
    /// A request was partially received when the connection was last looked at.
    has_partial_request: bool,
    /// This connection's share of `ClientAccounting::unsent_answer_bytes`.
    unsent_answer_bytes: usize,
    /// This connection's share of `ClientAccounting::partial_request_bytes`.
    partial_request_bytes: usize,
}

impl ClientActivity {
    pub(super) fn since(now: Micros) -> Self {
        ClientActivity {
            since: now,
            has_partial_request: false,
            unsent_answer_bytes: 0,
            partial_request_bytes: 0,
        }
    }
}

/// Sums over all client connections, which are bounded by the limits.
#[derive(Default)]
pub(super) struct ClientAccounting {
    /// Client connections, the lingering ones included.
    pub(super) connections: usize,
    /// Bytes of answers that slow clients have not taken yet.
    unsent_answer_bytes: usize,
    /// Bytes of partially received requests.
    partial_request_bytes: usize,
}

impl ClientAccounting {
    fn set_unsent_answer_bytes(&mut self, activity: &mut ClientActivity, bytes: usize) {
        let before = std::mem::replace(&mut activity.unsent_answer_bytes, bytes);
        self.unsent_answer_bytes = self.unsent_answer_bytes + bytes - before;
    }

    fn set_partial_request_bytes(&mut self, activity: &mut ClientActivity, bytes: usize) {
        let before = std::mem::replace(&mut activity.partial_request_bytes, bytes);
        self.partial_request_bytes = self.partial_request_bytes + bytes - before;
    }

    /// Takes a connection out of the sums when it is given up.
    pub(super) fn release(&mut self, activity: &mut ClientActivity) {
        self.set_unsent_answer_bytes(activity, 0);
        self.set_partial_request_bytes(activity, 0);
    }
}

impl EventLoop {
    /// How long the input of a connection may have waited to be read, if that is long enough to
    /// count.
    pub(super) fn unread_us(&self, now: Micros, key: SlabKey) -> Micros {
        let connection = self.connections.get(key);
        let unread_since = connection.and_then(|connection| connection.unread_since);
        let since = unread_since.map_or(self.ready_since, |at| at.min(self.ready_since));
        let unread_us = now.saturating_sub(since);
        if unread_us > self.limits.unread_tolerance_us {
            unread_us
        } else {
            0
        }
    }

    /// Records what a client connection does, after something was read or written on it.
    pub(super) fn update_client_activity(&mut self, now: Micros, key: SlabKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Some(class) = connection.eviction_class() else {
            return;
        };
        let has_partial_request = class == EvictionClass::PartialRequest;
        let had_partial_request = std::mem::replace(
            &mut connection.activity.has_partial_request,
            has_partial_request,
        );
        // A request that arrives a few bytes at a time still began with its first byte.
        let partial_request_begins = has_partial_request && !had_partial_request;
        if class == EvictionClass::Busy || partial_request_begins {
            connection.activity.since = now;
        }
        // Hundreds of clients may send one request and keep their connections: the buffers that
        // each has grown must not add up.
        if class == EvictionClass::Idle {
            connection.transport.input.release_memory();
            connection.transport.output.release_memory();
        }
    }

    /// Accounts for what a FastCGI connection holds of partially received requests. Where all
    /// connections together hold too much, the one that holds the most is ended, or loses its
    /// partially received requests if it is owed answers: what others hold is not its doing.
    pub(super) fn enforce_partial_request_limit(&mut self, now: Micros, key: SlabKey) {
        let Some(Connection {
            role: ConnectionRole::FastCgiClient(session),
            activity,
            ..
        }) = self.connections.get_mut(key)
        else {
            return;
        };
        self.clients
            .set_partial_request_bytes(activity, session.partial_request_bytes());
        while self.clients.partial_request_bytes > self.limits.partial_request_bytes {
            let held = |key: &SlabKey| {
                let connection = self.connections.get(*key)?;
                Some(connection.activity.partial_request_bytes)
            };
            let Some(largest) = self.connections.keys().into_iter().max_by_key(held) else {
                return;
            };
            log::info!("a connection holds the most of too many partially received requests");
            if !self.reject_partial_requests(now, largest) {
                self.close_gracefully(now, largest, CloseReason::PartialRequests);
            }
        }
    }

    /// Rejects the partially received requests of a FastCGI connection that is owed answers to
    /// others. False: it is owed none.
    fn reject_partial_requests(&mut self, now: Micros, key: SlabKey) -> bool {
        let Some(Connection {
            role: ConnectionRole::FastCgiClient(session),
            activity,
            ..
        }) = self.connections.get_mut(key)
        else {
            return false;
        };
        if !session.is_busy() {
            return false;
        }
        session.reject_partial_requests();
        self.clients
            .set_partial_request_bytes(activity, session.partial_request_bytes());
        // A connection that can't be written shows as broken by itself.
        let _ = self.write(now, key);
        true
    }

    /// Ends a client connection that holds its place for nothing. Ordinary clients end theirs
    /// sooner, so that none of their requests can cross this.
    pub(super) fn check_client(&mut self, now: Micros, key: SlabKey) {
        let has_expired = |deadline: Option<Micros>| deadline.is_some_and(|at| at <= now);
        let deadline = self
            .connections
            .get(key)
            .and_then(|connection| connection.idle_deadline(&self.limits));
        if has_expired(deadline) {
            // What it has sent by now still counts.
            self.read_pending_input(now, key);
        }
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        let Some(class) = connection.eviction_class() else {
            return;
        };
        let deadline = connection.idle_deadline(&self.limits);
        if connection.unread_since.is_some() {
            // It could not be read just now, and may hold a request.
            let retry_at = now + self.limits.local_retry_us;
            self.timers.set(retry_at, TimerEvent::CheckClient(key));
        } else if !has_expired(deadline) {
            let next_sweep = now + self.limits.client_sweep_us;
            let next_check = deadline.map_or(next_sweep, |at| at.min(next_sweep));
            self.timers.set(next_check, TimerEvent::CheckClient(key));
        } else if matches!(class, EvictionClass::Busy | EvictionClass::Lingering) {
            // It takes neither its answer nor the end of the connection, and is waited for no
            // longer.
            self.close(now, key, CloseReason::NotRead);
        } else {
            self.close_gracefully(now, key, CloseReason::Idle);
        }
    }
}
