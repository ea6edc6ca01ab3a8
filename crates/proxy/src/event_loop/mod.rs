//! The event loop, which connects sockets, timers and signals with the request table.
//!
//! A single thread waits for socket readiness, handles the ready sockets, and then handles the
//! timers that are due. After each socket and each timer it executes the commands that the request
//! table has issued, so that the decisions of the request table take effect in order.
//!
//! | Task | Module |
//! | --- | --- |
//! | Binding sockets, replaying stored purges and earlier events | `startup` |
//! | Accepting client connections, pausing and resuming | `acceptor` |
//! | The connection table: opening and closing connections | `connections` |
//! | Handling readiness of a connection: reading and writing | `readiness` |
//! | Timers | `timer` |
//! | Client connections: FastCGI, eviction | `clients` |
//! | The memory budget | `memory` |
//! | Interconnect clients, notifications to peer CDNs | `interconnect`, `notifications` |
//! | Connections to cache servers | `upstreams` |
//! | Sources of the endpoint list and of purges | `event_bus`, `consul`, `purge_gossip` |
//! | SIGTERM | `signals`, `shutdown` |
//! | SIGHUP | `signals`, `reload` |

mod acceptor;
mod clients;
mod close_reason;
mod connections;
mod consul;
mod event_bus;
mod interconnect;
mod memory;
mod notifications;
mod purge_gossip;
mod readiness;
mod reload;
mod shutdown;
mod signals;
mod startup;
mod timer;
mod tokens;
mod upstreams;

pub use signals::{ControlHandle, Signals};
pub use startup::StartError;

use crate::invariants::Invariant;
use crate::limits::Limits;
use crate::memory::MemoryBudget;
use crate::net::{Clock, Poller, Readiness, Slab, SlabKey, TimerQueue};
use crate::request_table::{Answer, AnswerTarget, Command, RequestTable};
use acceptor::{Acceptor, Acceptors, ListenerKind};
use connections::Connection;
use consul::ConsulPoller;
use edge_routing::Micros;
use event_bus::EventBusSubscription;
use interconnect::Interconnect;
use memory::RouterMemory;
use purge_gossip::PurgeGossip;
use reload::Reload;
use shutdown::Shutdown;
use std::io;
use std::net::SocketAddr;
use timer::TimerEvent;
use upstreams::UpstreamConnections;

/// Number of commands executed between two readings of the clock.
const COMMANDS_PER_CLOCK_READING: usize = 16;
/// Longest duration of a poller wait that found sockets ready from the beginning. A longer wait
/// began with no socket ready.
const MAX_IMMEDIATE_WAIT_US: Micros = 1_000;
/// Longest wait for readiness when no timer is due earlier.
const MAX_WAIT_US: Micros = 1_000_000;

/// A running proxy. Owns every socket and timer.
pub struct EventLoop {
    clock: Clock,
    limits: Limits,
    request_table: RequestTable,
    poller: Poller,
    timers: TimerQueue<TimerEvent>,
    connections: Slab<Connection>,
    /// Earliest time at which the sockets that the poller reports in this turn can have become
    /// ready.
    earliest_ready_at: Micros,
    signals: Signals,
    shutdown: Shutdown,
    reload: Reload,
    acceptors: Acceptors,
    memory: MemoryBudget,
    router_memory: RouterMemory,
    /// Number of client connections, including those in a lingering close.
    client_connections: usize,
    upstream_connections: UpstreamConnections,
    event_bus: EventBusSubscription,
    consul: Option<ConsulPoller>,
    purge_gossip: Option<PurgeGossip>,
    interconnect: Option<Interconnect>,
}

impl EventLoop {
    /// Returns the address on which FastCGI clients connect, or `None` after the grace period of a
    /// shutdown.
    pub fn fastcgi_address(&self) -> Option<SocketAddr> {
        self.acceptors.fastcgi.as_ref().and_then(Acceptor::address)
    }

    /// Returns the address on which peer CDNs connect, or `None` if no interconnect is configured.
    pub fn interconnect_address(&self) -> Option<SocketAddr> {
        self.acceptors
            .interconnect
            .as_ref()
            .and_then(Acceptor::address)
    }

    /// Returns a handle with which another thread can trigger what SIGTERM and SIGHUP trigger.
    ///
    /// # Errors
    ///
    /// Returns an error if the sockets that carry the signals cannot be duplicated.
    pub fn control_handle(&self) -> io::Result<ControlHandle> {
        self.signals.control_handle()
    }

    /// Serves requests until SIGTERM arrives and every admitted request is answered.
    ///
    /// # Errors
    ///
    /// Returns an error if waiting for readiness fails.
    pub fn run(&mut self) -> io::Result<()> {
        let mut ready = Vec::new();
        while !self.is_shut_down() {
            let wait_began_at = self.clock.now();
            self.poller.wait(self.wait_us(wait_began_at), &mut ready)?;
            let wait_ended_at = self.clock.now();
            if wait_ended_at > wait_began_at + MAX_IMMEDIATE_WAIT_US {
                self.earliest_ready_at = wait_ended_at;
            }
            let mut now = wait_ended_at;
            for event in ready.drain(..) {
                self.handle_poll_event(now, event);
                now = self.clock.now();
            }
            self.handle_due_timers(now);
            self.update_table_memory(now);
            self.resume_connections_waiting_for_memory(now);
            // A socket that becomes ready during this turn is reported immediately by the next
            // wait. A wait that blocked reports only sockets that became ready when it returned.
            self.earliest_ready_at = wait_ended_at;
        }
        self.check_all_requests_settled();
        self.log_summary();
        Ok(())
    }

    /// Returns how long the poller may wait: until the next timer is due, at most `MAX_WAIT_US`, and
    /// less while connections wait for memory.
    fn wait_us(&self, now: Micros) -> Micros {
        let until_next_timer_us = self
            .timers
            .next_due()
            .map_or(MAX_WAIT_US, |at| at.saturating_sub(now));
        let longest_us = if self.upstream_connections.is_any_waiting_for_memory() {
            self.limits.memory_retry_interval_us
        } else {
            MAX_WAIT_US
        };
        until_next_timer_us.min(longest_us)
    }

    /// Dispatches a readiness event by its token.
    fn handle_poll_event(&mut self, now: Micros, event: Readiness) {
        match event.token {
            tokens::FASTCGI_LISTENER => self.accept_clients(now, ListenerKind::FastCgi),
            tokens::INTERCONNECT_LISTENER => self.accept_clients(now, ListenerKind::Interconnect),
            tokens::SIGTERM => self.begin_shutdown(now),
            tokens::SIGHUP => self.reload(now),
            tokens::PURGE_GOSSIP => self.receive_purge_gossip(now),
            token => self.handle_readiness(now, SlabKey::from_u64(token), event),
        }
        self.execute_commands(now);
        self.advertise_readiness(now);
    }

    /// Handles the timers that are due at `due_by`. The first timer is handled with `due_by` as the
    /// current time. For each further timer the clock is read again. A timer that is set meanwhile
    /// for a later time than `due_by` is handled in a later turn.
    fn handle_due_timers(&mut self, due_by: Micros) {
        let mut is_first = true;
        while let Some(timer) = self.timers.pop_due(due_by) {
            let was_first = std::mem::replace(&mut is_first, false);
            let now = if was_first { due_by } else { self.clock.now() };
            self.handle_timer(now, timer);
            self.execute_commands(now);
        }
    }

    /// Executes the commands that the request table has issued, and the commands that result from
    /// executing them. The clock is read again at intervals, because a long list of commands takes
    /// noticeable time.
    fn execute_commands(&mut self, mut now: Micros) {
        loop {
            let commands = self.request_table.take_commands();
            if commands.is_empty() {
                return;
            }
            for (index, command) in commands.into_iter().enumerate() {
                if index > 0 && index % COMMANDS_PER_CLOCK_READING == 0 {
                    now = self.clock.now();
                }
                self.execute_command(now, command);
            }
        }
    }

    fn execute_command(&mut self, now: Micros, command: Command) {
        match command {
            Command::SendAttempt(attempt) => self.send_attempt(now, attempt),
            Command::CancelAttempt(attempt, server) => self.cancel_attempt(now, attempt, server),
            Command::DequeueAttempt(attempt, server) => self.dequeue_attempt(now, attempt, server),
            Command::SendAnswer(target, answer) => self.deliver_answer(now, target, answer),
            Command::SetTimer(at, timer) => {
                self.timers.schedule(at, TimerEvent::Request(timer));
            }
            Command::Probe(server) => self.probe(now, server),
            Command::DrainServer(server) => self.drain_server(now, server),
        }
    }

    /// Sends a client the final answer to a request, and closes the connection gracefully if no
    /// further answer will follow on it.
    fn deliver_answer(&mut self, now: Micros, target: AnswerTarget, answer: Answer) {
        self.send_answer(now, target, answer);
        if let Err(reason) = self.write(now, target.connection) {
            self.close_gracefully(now, target.connection, reason);
        }
        self.update_client_activity(now, target.connection);
    }

    /// Returns whether the proxy reports itself as ready for requests.
    fn is_ready(&self) -> bool {
        self.request_table.has_ready_server() && !self.shutdown.is_requested()
    }

    /// Checks that at the end of the program every admitted request was answered or its client has
    /// disconnected.
    fn check_all_requests_settled(&self) {
        let invariants = &self.request_table.invariants;
        for id in self.request_table.unsettled_request_ids() {
            invariants.check(Invariant::EndOnlyIfAnswered, false, id);
        }
        let is_settled = self.request_table.unsettled_request_ids().next().is_none();
        invariants.check(Invariant::EndOnlyIfAnswered, is_settled, "all requests");
    }

    fn log_summary(&self) {
        let counters = self.request_table.counters;
        log::info!(
            "shutdown complete: {} requests admitted, {} served, {} rejected, {} failed, {} with \
             a disconnected client, {} attempts sent",
            counters.admitted,
            counters.served,
            counters.rejected,
            counters.failed,
            counters.disconnected,
            counters.attempts
        );
        log::info!("{}", self.request_table.invariants);
        log::info!("{}", self.memory);
    }
}
