//! Everything that the event loop does at a set time.

use super::notifications::NotificationDelivery;
use super::EventLoop;
use crate::net::SlabKey;
use crate::request_table::RequestTimer;
use edge_routing::Micros;

/// What has a deadline.
#[derive(Clone, Debug)]
pub(super) enum TimerEvent {
    /// The request table asked to be woken.
    Request(RequestTimer),
    /// An outgoing connection must be established by now.
    ConnectTimeout(SlabKey),
    /// A connection to a cache server is checked: cancelled ids that are over, answers or writes
    /// that have stalled.
    CheckUpstream(SlabKey),
    /// The event bus is connected to, or found silent.
    CheckEventBus,
    /// Consul is queried.
    QueryConsul,
    /// The response on a connection to Consul or to a peer CDN must have come by now.
    ResponseTimeout(SlabKey),
    /// A notification is sent to a peer CDN once more.
    RetryNotification(Box<NotificationDelivery>),
    /// The next request on an interconnect connection is read: it waited for the answer to the one
    /// before.
    ResumeInterconnectClient(SlabKey),
    /// A purge is sent to the peer proxies once more.
    RepeatPurgeGossip {
        /// The purge as it goes on the wire.
        datagram: String,
        /// How often it is sent again after this.
        repeats_left: u8,
    },
    /// Purges that could not be written to the purge log are written again.
    RetryPurgeLog,
    /// A client connection is checked: it may hold its place for nothing.
    CheckClient(SlabKey),
    /// Attempts wait for a connection, which could not be opened for a reason of this machine's own.
    RetryParkedAttempts,
    /// A connection could not be read, or the poller not be told what to watch it for. Both are tried
    /// again.
    RetryConnection(SlabKey),
    /// Accepting, which had paused, is tried again.
    RetryAccept,
    /// The configuration, which could not be read, is read again, until the given time.
    RetryReload {
        /// When it is given up.
        give_up_at: Micros,
    },
    /// The grace period after SIGTERM is over.
    EndShutdownGrace,
    /// The process may be killed right after this.
    ShutdownDeadline,
}

impl EventLoop {
    /// Handles a timer that has come due.
    pub(super) fn handle_timer(&mut self, now: Micros, event: TimerEvent) {
        match event {
            TimerEvent::Request(timer) => self.request_table.timer_fired(now, timer),
            TimerEvent::ConnectTimeout(key) => self.close_unless_connected(now, key),
            TimerEvent::CheckUpstream(key) => self.check_upstream(now, key),
            TimerEvent::CheckEventBus => self.check_event_bus(now),
            TimerEvent::QueryConsul => self.query_consul(now),
            TimerEvent::ResponseTimeout(key) => self.close_unanswered(now, key),
            TimerEvent::RetryNotification(delivery) => self.send_notification(now, delivery),
            TimerEvent::ResumeInterconnectClient(key) => self.resume_interconnect_client(now, key),
            TimerEvent::RepeatPurgeGossip {
                datagram,
                repeats_left,
            } => self.gossip_purge(now, datagram, repeats_left),
            TimerEvent::RetryPurgeLog => self.retry_purge_log(now),
            TimerEvent::CheckClient(key) => self.check_client(now, key),
            TimerEvent::RetryParkedAttempts => self.retry_parked_attempts(now),
            TimerEvent::RetryConnection(key) => self.retry_connection(now, key),
            TimerEvent::RetryAccept => self.retry_accept(now),
            TimerEvent::RetryReload { give_up_at } => self.read_configuration(now, give_up_at),
            TimerEvent::EndShutdownGrace => self.end_shutdown_grace(now),
            TimerEvent::ShutdownDeadline => self.reach_shutdown_deadline(now),
        }
    }
}
