//! The timers of the event loop, and what it does when one is due.

use super::notifications::NotificationDelivery;
use super::EventLoop;
use crate::net::SlabKey;
use crate::request_table::RequestTimer;
use edge_routing::Micros;

/// What the event loop does when a timer is due.
#[derive(Clone, Debug)]
pub(super) enum TimerEvent {
    /// Pass a timer of the request table, or of the router inside it, back to the request table.
    Request(RequestTimer),
    /// Handle the connect timeout of an outgoing connection, unless it is established.
    ConnectTimeout(SlabKey),
    /// Check a connection to a cache server. This reports the cancelled attempts whose report delay
    /// is over, closes the connection if an answer or a write has stalled or its server is drained,
    /// and removes streams whose retention period is over.
    CheckUpstream(SlabKey),
    /// Connect to the event bus, or reconnect if the connection has been silent for too long.
    CheckEventBus,
    /// Send the next query to Consul.
    QueryConsul,
    /// Close a connection to Consul or to a peer CDN if its response has not arrived.
    ResponseTimeout(SlabKey),
    /// Send a notification to a peer CDN again.
    RetryNotification(Box<NotificationDelivery>),
    /// Read the next request on an interconnect connection, which had to wait for the answer to the
    /// previous request.
    ResumeInterconnectClient(SlabKey),
    /// Send a purge to the peer proxies again.
    RepeatPurgeGossip {
        /// The purge as encoded for the wire.
        datagram: String,
        /// Number of further transmissions after this one.
        repeats_left: u8,
    },
    /// Retry writing the purge log after a write has failed.
    RetryPurgeLog,
    /// Check whether a client connection is past its inactivity deadline.
    CheckClient(SlabKey),
    /// Retry the parked attempts, for which no connection could be opened because the connection
    /// table was full or this machine lacked a resource.
    RetryParkedAttempts,
    /// Register the interest of a connection with the poller again and read its input, after the
    /// registration or a read has failed temporarily.
    RetryConnection(SlabKey),
    /// Resume accepting client connections after a pause.
    RetryAccept,
    /// Read the configuration again after it could not be read.
    RetryReload {
        /// Time after which a further failure is final, in microseconds.
        retry_deadline: Micros,
    },
    /// End the grace period that began with SIGTERM.
    EndShutdownGrace,
    /// Fail all requests that have no answer yet, because the process may be killed soon after this
    /// time.
    ShutdownDeadline,
}

impl EventLoop {
    /// Handles a timer that is due.
    pub(super) fn handle_timer(&mut self, now: Micros, event: TimerEvent) {
        match event {
            TimerEvent::Request(timer) => self.request_table.timer_fired(now, timer),
            TimerEvent::ConnectTimeout(key) => self.handle_connect_timeout(now, key),
            TimerEvent::CheckUpstream(key) => self.check_upstream(now, key),
            TimerEvent::CheckEventBus => self.check_event_bus(now),
            TimerEvent::QueryConsul => self.query_consul(now),
            TimerEvent::ResponseTimeout(key) => self.handle_response_timeout(now, key),
            TimerEvent::RetryNotification(delivery) => self.send_notification(now, delivery),
            TimerEvent::ResumeInterconnectClient(key) => self.resume_interconnect_client(now, key),
            TimerEvent::RepeatPurgeGossip {
                datagram,
                repeats_left,
            } => self.send_purge_gossip(now, datagram, repeats_left),
            TimerEvent::RetryPurgeLog => self.retry_purge_log(now),
            TimerEvent::CheckClient(key) => self.check_client(now, key),
            TimerEvent::RetryParkedAttempts => self.retry_parked_attempts(now),
            TimerEvent::RetryConnection(key) => self.retry_connection(now, key),
            TimerEvent::RetryAccept => self.retry_accept(now),
            TimerEvent::RetryReload { retry_deadline } => self.retry_reload(now, retry_deadline),
            TimerEvent::EndShutdownGrace => self.end_shutdown_grace(now),
            TimerEvent::ShutdownDeadline => self.handle_shutdown_deadline(now),
        }
    }
}
