//! Graceful shutdown: what happens between SIGTERM and the end of the process.
//!
//! 1. SIGTERM (`begin_shutdown`): the proxy reports itself as not ready. It goes on accepting
//!    connections and requests for a grace period, in which a request still has the time to be
//!    answered before SIGKILL.
//! 2. The grace period ends (`end_shutdown_grace`): nothing more is accepted, further requests are
//!    rejected, and each client connection ends once nothing is owed on it.
//! 3. The shutdown deadline: whatever is still open is answered as failed, because SIGKILL may
//!    follow.
//! 4. The last client connection is gone (`is_shut_down`): `run` returns.

use super::acceptor::ListenerKind;
use super::timer::TimerEvent;
use super::EventLoop;
use crate::net::SlabKey;
use edge_routing::Micros;

/// How far a graceful shutdown has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Shutdown {
    /// No SIGTERM has come.
    #[default]
    NotRequested,
    /// SIGTERM has come; connections and requests are still taken.
    Grace,
    /// The grace period is over: nothing new is taken.
    GraceOver,
}

impl Shutdown {
    /// Whether SIGTERM has come.
    pub(super) fn is_requested(self) -> bool {
        self != Shutdown::NotRequested
    }

    /// Whether new requests are rejected.
    pub(super) fn is_grace_over(self) -> bool {
        self == Shutdown::GraceOver
    }
}

impl EventLoop {
    /// SIGTERM. A second one changes nothing.
    pub(super) fn begin_shutdown(&mut self, now: Micros) {
        self.signals.terminate.drain();
        if self.shutdown.is_requested() {
            return;
        }
        self.shutdown = Shutdown::Grace;
        log::info!("SIGTERM: shutting down once all open requests are answered");
        log::info!("{}", self.request_table.invariants);
        self.timers.set(
            now + self.limits.shutdown_grace_us,
            TimerEvent::EndShutdownGrace,
        );
        self.timers.set(
            now + self.limits.shutdown_deadline_us,
            TimerEvent::ShutdownDeadline,
        );
    }

    /// From here on no request is admitted: one that came now might still be open when the process
    /// is killed. What was requested before is answered, and each client connection ends once
    /// nothing is owed on it.
    pub(super) fn end_shutdown_grace(&mut self, now: Micros) {
        self.accept_clients(now, ListenerKind::FastCgi);
        self.accept_clients(now, ListenerKind::Interconnect);
        let clients: Vec<SlabKey> = self
            .connections
            .keys()
            .into_iter()
            .filter(|key| self.is_client(*key))
            .collect();
        // What has arrived by now was sent within the grace period.
        for key in &clients {
            self.read_pending_input(now, *key);
        }
        self.shutdown = Shutdown::GraceOver;
        log::info!("the grace period is over: nothing more is admitted");
        self.acceptors.close(&self.poller);
        for key in clients {
            if let Err(reason) = self.write(now, key) {
                self.close_gracefully(now, key, reason);
            }
        }
    }

    /// The process may be killed from here on: what is still open is answered as failed, and nothing
    /// that waits to be accepted can be answered.
    pub(super) fn reach_shutdown_deadline(&mut self, now: Micros) {
        self.acceptors.fastcgi = None;
        self.request_table.fail_all_pending(now);
    }

    /// Whether `run` may return. A client connection that is left has an answer coming to it, or
    /// lingers; attempts that nobody waits for end with their connections.
    pub(super) fn is_shut_down(&self) -> bool {
        self.shutdown.is_grace_over()
            && self.clients.connections == 0
            && self.acceptors.fastcgi.is_none()
    }
}
