//! Graceful shutdown, from SIGTERM to the end of the process.
//!
//! 1. On SIGTERM (`begin_shutdown`) the proxy reports itself as not ready. It continues to accept
//!    connections and requests for a grace period, because a request that arrives in this period
//!    can still be answered before SIGKILL.
//! 2. At the end of the grace period (`end_shutdown_grace`) the proxy stops accepting connections
//!    and rejects further requests. It closes each client connection once all requests on the
//!    connection are answered.
//! 3. At the shutdown deadline (`handle_shutdown_deadline`) the proxy answers all unsettled
//!    requests as failed, because SIGKILL may follow.
//! 4. Once the last client connection is closed (`is_shut_down`), `run` returns.

use super::acceptor::ListenerKind;
use super::timer::TimerEvent;
use super::EventLoop;
use crate::net::SlabKey;
use edge_routing::Micros;

/// Phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Shutdown {
    /// SIGTERM has not arrived.
    #[default]
    NotRequested,
    /// SIGTERM has arrived. New connections and requests are still accepted.
    Grace,
    /// The grace period is over. No new connections or requests are accepted.
    GraceOver,
}

impl Shutdown {
    /// Returns whether SIGTERM has arrived.
    pub(super) fn is_requested(self) -> bool {
        self != Shutdown::NotRequested
    }

    /// Returns whether the grace period is over, so that new requests are rejected.
    pub(super) fn is_grace_over(self) -> bool {
        self == Shutdown::GraceOver
    }
}

impl EventLoop {
    /// Handles SIGTERM. A second SIGTERM has no effect.
    pub(super) fn begin_shutdown(&mut self, now: Micros) {
        self.signals.terminate.drain();
        if self.shutdown.is_requested() {
            return;
        }
        self.shutdown = Shutdown::Grace;
        log::info!(
            "SIGTERM received: accepting requests for {} ms more, then exiting once all \
             requests are answered",
            self.limits.shutdown_grace_us / 1_000
        );
        log::info!("{}", self.request_table.invariants);
        log::info!("{}", self.memory);
        log::info!(
            "event loop: {} connections, {} timers",
            self.connections.len(),
            self.timers.len()
        );
        self.timers.schedule(
            now + self.limits.shutdown_grace_us,
            TimerEvent::EndShutdownGrace,
        );
        self.timers.schedule(
            now + self.limits.shutdown_deadline_us,
            TimerEvent::ShutdownDeadline,
        );
    }

    /// Ends the grace period. No request is admitted afterwards, because it might still be pending
    /// when the process is killed. Earlier requests are answered, and each client connection is
    /// closed once all requests on the connection are answered.
    pub(super) fn end_shutdown_grace(&mut self, now: Micros) {
        self.accept_clients(now, ListenerKind::FastCgi);
        self.accept_clients(now, ListenerKind::Interconnect);
        let clients: Vec<SlabKey> = self
            .connections
            .keys()
            .into_iter()
            .filter(|key| self.is_client(*key))
            .collect();
        // Input that has arrived by now was sent within the grace period.
        for key in &clients {
            self.read_available_input(now, *key);
        }
        self.shutdown = Shutdown::GraceOver;
        log::info!("shutdown grace period is over: rejecting further requests");
        self.acceptors.close(&self.poller);
        for key in clients {
            if let Err(reason) = self.write(now, key) {
                self.close_gracefully(now, key, reason);
            }
        }
    }

    /// Answers all unsettled requests as failed and closes the FastCGI listener, because the
    /// process may be killed from now on. Connections that are not yet accepted get no answer.
    pub(super) fn handle_shutdown_deadline(&mut self, now: Micros) {
        self.acceptors.fastcgi = None;
        self.request_table.fail_all_unsettled(now);
    }

    /// Returns whether the shutdown is complete and `run` may return. An open client connection
    /// delays it, because the connection awaits an answer or is in a lingering close. Attempts
    /// without a waiting client do not delay it; they end when the process closes their
    /// connections.
    pub(super) fn is_shut_down(&self) -> bool {
        self.shutdown.is_grace_over()
            && self.client_connections == 0
            && self.acceptors.fastcgi.is_none()
    }
}
