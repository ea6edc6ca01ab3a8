//! The event loop: sockets, timers and signals on one side, the request table on the other.
//!
//! One thread waits for readiness, handles what is ready, then the timers that are due. After each
//! of these it executes the commands that the request table has issued meanwhile, so that decisions
//! take effect in the order in which they were made.
//!
//! | What | Where |
//! | --- | --- |
//! | Sockets bound, purges and known events replayed | `startup` |
//! | Clients accepted, and accepting paused | `acceptor` |
//! | The connection table: opening, closing | `connections` |
//! | Readiness of a connection: reading, writing | `readiness` |
//! | Everything that happens at a set time | `timer` |
//! | Client connections: FastCGI, accounting, eviction | `clients` |
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
use crate::net::{Clock, Poller, Readiness, Slab, SlabKey, TimerQueue};
use crate::request_table::{Answer, Command, RequestTable, ResponseTarget};
use acceptor::{Acceptor, Acceptors, ListenerKind};
use clients::ClientAccounting;
use connections::Connection;
use consul::ConsulPoller;
use edge_routing::Micros;
use event_bus::EventBusSubscription;
use interconnect::Interconnect;
use purge_gossip::PurgeGossip;
use reload::Reload;
use shutdown::Shutdown;
use std::io;
use std::net::SocketAddr;
use timer::TimerEvent;
use upstreams::UpstreamConnections;

/// The clock is read again after so many commands.
const COMMANDS_PER_CLOCK_READING: usize = 16;
/// A wait that takes longer than this has found nothing ready at first.
const MIN_WAIT_US: Micros = 1_000;
/// The longest wait for readiness where no timer is near.
const MAX_WAIT_US: Micros = 1_000_000;

/// The proxy as a running program. It owns every socket and timer.
pub struct EventLoop {
    clock: Clock,
    limits: Limits,
    request_table: RequestTable,
    poller: Poller,
    timers: TimerQueue<TimerEvent>,
    connections: Slab<Connection>,
    /// What the poller reports now has been ready since then at the earliest.
    ready_since: Micros,
    signals: Signals,
    shutdown: Shutdown,
    reload: Reload,
    acceptors: Acceptors,
    clients: ClientAccounting,
    upstream_connections: UpstreamConnections,
    event_bus: EventBusSubscription,
    consul: Option<ConsulPoller>,
    purge_gossip: Option<PurgeGossip>,
    interconnect: Option<Interconnect>,
}

impl EventLoop {
    /// Where FastCGI clients connect; none once a shutdown's grace period is over.
    pub fn address(&self) -> Option<SocketAddr> {
        self.acceptors.fastcgi.as_ref().and_then(Acceptor::address)
    }

    /// Where peer CDNs connect; none without an interconnect.
    pub fn interconnect_address(&self) -> Option<SocketAddr> {
        self.acceptors
            .interconnect
            .as_ref()
            .and_then(Acceptor::address)
    }

    /// A handle that does from another thread what the signals do.
    pub fn control(&self) -> io::Result<ControlHandle> {
        self.signals.control_handle()
    }

    /// Serves until SIGTERM, and then until everything that was admitted is answered.
    pub fn run(&mut self) -> io::Result<()> {
        let mut ready = Vec::new();
        while !self.is_shut_down() {
            let waits_since = self.clock.now();
            self.poller.wait(self.wait_us(waits_since), &mut ready)?;
            let reported_at = self.clock.now();
            if reported_at > waits_since + MIN_WAIT_US {
                self.ready_since = reported_at;
            }
            let mut now = reported_at;
            for event in ready.drain(..) {
                self.handle_poll_event(now, event);
                now = self.clock.now();
            }
            self.handle_due_timers(now);
            // What becomes ready in this turn is reported by the next wait, at once. A wait that
            // took its time has reported what became ready just then.
            self.ready_since = reported_at;
        }
        self.check_nothing_is_open();
        self.log_summary();
        Ok(())
    }

    /// How long the poller may wait: until the next timer, within bounds.
    fn wait_us(&self, now: Micros) -> Micros {
        let until_next_timer = self
            .timers
            .next_due()
            .map_or(MAX_WAIT_US, |at| at.saturating_sub(now));
        until_next_timer.min(MAX_WAIT_US)
    }

    /// Dispatches what the poller reports, by its token.
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
        self.announce_readiness(now);
    }

    /// Handles the timers that are due, at the time at which each of them is handled. What they set
    /// anew comes due in the next turn.
    fn handle_due_timers(&mut self, due_by: Micros) {
        let mut is_first = true;
        while let Some(timer) = self.timers.pop_due(due_by) {
            let was_first = std::mem::replace(&mut is_first, false);
            let now = if was_first { due_by } else { self.clock.now() };
            self.handle_timer(now, timer);
            self.execute_commands(now);
        }
    }

    /// Executes the commands of the request table, and those that follow from them. Where there are
    /// many, the last ones come noticeably later than the first.
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
            Command::Respond(target, answer) => self.deliver_answer(now, target, answer),
            Command::SetTimer(at, timer) => {
                self.timers.set(at, TimerEvent::Request(timer));
            }
            Command::Probe(server) => self.probe(now, server),
            Command::DrainServer(server) => self.drain_server(now, server),
        }
    }

    /// Gives a client its final answer, and ends its connection where that was the last one.
    fn deliver_answer(&mut self, now: Micros, target: ResponseTarget, answer: Answer) {
        self.respond(now, target, answer);
        if let Err(reason) = self.write(now, target.connection) {
            self.close_gracefully(now, target.connection, reason);
        }
        self.update_client_activity(now, target.connection);
    }

    /// Whether the proxy reports itself as ready for requests.
    fn is_ready(&self) -> bool {
        self.request_table.has_ready_server() && !self.shutdown.is_requested()
    }

    /// Every request that was admitted has its answer, or lost its client, when the program ends.
    fn check_nothing_is_open(&self) {
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
            "ended: {} requests admitted, {} served, {} rejected, {} failed, {} abandoned by \
             their clients, {} attempts",
            counters.admitted,
            counters.served,
            counters.rejected,
            counters.failed,
            counters.disconnected,
            counters.attempts
        );
        log::info!("{}", self.request_table.invariants);
    }
}
