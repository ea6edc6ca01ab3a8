//! The connection table: the role of each connection, and how connections are opened and closed.

use super::clients::ClientActivity;
use super::close_reason::CloseReason;
use super::notifications::NotificationDelivery;
use super::timer::TimerEvent;
use super::EventLoop;
use crate::discovery::consul::ConsulQuery;
use crate::discovery::event_bus::EventStreamClient;
use crate::frontend::{fastcgi, interconnect, ClientSession};
use crate::invariants::Invariant;
use crate::memory::MemoryShare;
use crate::net::{connect, BufferedSocket, Slab, SlabKey};
use crate::sys::errors;
use crate::upstream::UpstreamConnection;
use edge_routing::Micros;
use std::io;
use std::net::SocketAddr;

/// Role of a connection, with the state of its protocol.
pub(super) enum ConnectionRole {
    /// Connection from a web server that sends requests over FastCGI.
    FastCgiClient(fastcgi::Session),
    /// Connection to the interconnect listener, from a peer CDN or from a client that a peer CDN
    /// redirected here.
    InterconnectClient(Box<interconnect::Session>),
    /// Client connection in a lingering close. Its writing half is shut down, and its input is read
    /// and discarded until the client closes its half too.
    Lingering {
        /// Number of bytes read and discarded so far.
        discarded_bytes: usize,
    },
    /// Connection to a server of the endpoint list, which may be a cache server or the origin.
    Upstream(Box<UpstreamConnection>),
    /// Connection to the event bus.
    EventBus(EventStreamClient),
    /// Connection to Consul for a single query.
    Consul(ConsulQuery),
    /// Connection to a peer CDN for a single notification.
    Notification(Box<NotificationDelivery>),
}

impl ConnectionRole {
    /// Returns whether the connection was accepted from a client.
    pub(super) fn is_client(&self) -> bool {
        let is_lingering = matches!(self, ConnectionRole::Lingering { .. });
        is_lingering || self.client_session().is_some()
    }

    /// Returns the name of the role for log lines.
    fn name(&self) -> &'static str {
        match self {
            ConnectionRole::FastCgiClient(_) => "client connection",
            ConnectionRole::InterconnectClient(_) => "interconnect connection",
            ConnectionRole::Lingering { .. } => "lingering connection",
            ConnectionRole::Upstream(_) => "upstream connection",
            ConnectionRole::EventBus(_) => "event bus connection",
            ConnectionRole::Consul(_) => "Consul connection",
            ConnectionRole::Notification(_) => "notification connection",
        }
    }

    /// Returns the session of a client to which output can still be sent, or `None` for a lingering
    /// or an outgoing connection.
    pub(super) fn client_session(&self) -> Option<&dyn ClientSession> {
        match self {
            ConnectionRole::FastCgiClient(session) => Some(session),
            ConnectionRole::InterconnectClient(session) => Some(session.as_ref()),
            _ => None,
        }
    }
}

/// Error that prevents a connection from being opened.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    /// The connection table is full.
    #[error("the connection table is full")]
    TableFull,
    /// The proxy already has the maximum number of connections to the server.
    #[error("the proxy already has the maximum number of connections to the server")]
    ServerFull,
    /// The server is no longer in the endpoint list.
    #[error("the server is no longer in the endpoint list")]
    ServerGone,
    /// This machine temporarily lacks a file descriptor, memory, a port or a route. The error does
    /// not indicate a fault of the peer.
    #[error("this machine lacks a resource for the connection: {0}")]
    Local(io::Error),
    /// The peer cannot be reached.
    #[error(transparent)]
    Peer(io::Error),
}

impl From<io::Error> for ConnectError {
    fn from(error: io::Error) -> Self {
        if errors::is_local_resource_error(&error) {
            ConnectError::Local(error)
        } else {
            ConnectError::Peer(error)
        }
    }
}

/// An entry of the connection table.
pub(super) struct Connection {
    pub(super) transport: BufferedSocket,
    pub(super) role: ConnectionRole,
    /// Activity of a client connection. Unused for other connections.
    pub(super) activity: ClientActivity,
    /// The memory of the buffers and of the session of a client.
    pub(super) memory_share: MemoryShare,
    /// Whether a retry is scheduled, because the connection could not be read or registered with
    /// the poller.
    retry_scheduled: bool,
    /// Since when the socket may contain input that the proxy could not read, in microseconds. Set
    /// if accepting the connection, registering it with the poller or reading it failed for a
    /// temporary reason, and cleared by the next successful read.
    pub(super) unread_since: Option<Micros>,
}

impl Slab<Connection> {
    /// Returns the transport and the protocol state of an upstream connection, or `None` if the key
    /// does not belong to one.
    pub(super) fn upstream(&self, key: SlabKey) -> Option<(&BufferedSocket, &UpstreamConnection)> {
        let connection = self.get(key)?;
        match &connection.role {
            ConnectionRole::Upstream(upstream) => Some((&connection.transport, upstream.as_ref())),
            _ => None,
        }
    }

    /// Returns the same as `upstream`, mutably.
    pub(super) fn upstream_mut(
        &mut self,
        key: SlabKey,
    ) -> Option<(&mut BufferedSocket, &mut UpstreamConnection)> {
        let connection = self.get_mut(key)?;
        match &mut connection.role {
            ConnectionRole::Upstream(upstream) => {
                Some((&mut connection.transport, upstream.as_mut()))
            }
            _ => None,
        }
    }

    /// Returns the transport and the session of a FastCGI client, or `None` if the key does not
    /// belong to one.
    pub(super) fn fastcgi_client_mut(
        &mut self,
        key: SlabKey,
    ) -> Option<(&mut BufferedSocket, &mut fastcgi::Session)> {
        let connection = self.get_mut(key)?;
        match &mut connection.role {
            ConnectionRole::FastCgiClient(session) => Some((&mut connection.transport, session)),
            _ => None,
        }
    }

    /// Returns the transport and the session of an interconnect client, or `None` if the key does
    /// not belong to one.
    pub(super) fn interconnect_client_mut(
        &mut self,
        key: SlabKey,
    ) -> Option<(&mut BufferedSocket, &mut interconnect::Session)> {
        let connection = self.get_mut(key)?;
        match &mut connection.role {
            ConnectionRole::InterconnectClient(session) => {
                Some((&mut connection.transport, session))
            }
            _ => None,
        }
    }
}

impl EventLoop {
    /// Adds a connection to the table and registers it with the poller.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectError::TableFull`] if the table has no free slot.
    pub(super) fn open_connection(
        &mut self,
        now: Micros,
        transport: BufferedSocket,
        role: ConnectionRole,
    ) -> Result<SlabKey, ConnectError> {
        let connection = Connection {
            transport,
            role,
            activity: ClientActivity::new(now),
            memory_share: MemoryShare::default(),
            retry_scheduled: false,
            unread_since: None,
        };
        let key = self.connections.insert(connection);
        let key = key.map_err(|_| ConnectError::TableFull)?;
        self.update_poll_interest(now, key);
        Ok(key)
    }

    /// Returns whether the table has a free slot for a connection other than the one to the event
    /// bus. While that connection is down, one slot is reserved for it, because without it the
    /// proxy would learn of no drain and no purge.
    pub(super) fn has_free_connection_slot(&self) -> bool {
        let event_bus_is_down =
            self.reload.config.event_bus.is_some() && self.event_bus.connection.is_none();
        let reserved = usize::from(event_bus_is_down);
        self.connections.free_slots() > reserved
    }

    /// Opens an outgoing connection without waiting until it is established, and sets the timer for
    /// its connect timeout.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be opened or the table is full.
    pub(super) fn connect_to(
        &mut self,
        now: Micros,
        address: SocketAddr,
        role: ConnectionRole,
    ) -> Result<SlabKey, ConnectError> {
        let connected = connect(address).and_then(|socket| {
            BufferedSocket::new(
                socket,
                false,
                self.limits.input_buffer_bytes,
                self.limits.output_buffer_bytes,
            )
        });
        let transport = connected.map_err(|e| {
            log::warn!("cannot connect to {address}: {e}");
            ConnectError::from(e)
        })?;
        let key = self.open_connection(now, transport, role)?;
        self.timers.schedule(
            now + self.limits.connect_timeout_us,
            TimerEvent::ConnectTimeout(key),
        );
        Ok(key)
    }

    /// Closes an outgoing connection that was not established within the connect timeout. A
    /// connection to the event bus may stay open instead while the proxy opens a second one.
    pub(super) fn handle_connect_timeout(&mut self, now: Micros, key: SlabKey) {
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        if connection.transport.is_connected {
            return;
        }
        match connection.role {
            ConnectionRole::EventBus(_) => self.handle_event_bus_connect_timeout(now, key),
            // The connection may have been established without the proxy noticing, because reading
            // it or registering it with the poller failed on this machine.
            _ if connection.retry_scheduled => self.close(now, key, CloseReason::LocalFailure),
            _ => self.close(now, key, CloseReason::ConnectTimeout),
        }
    }

    /// Closes a connection to Consul or to a peer CDN whose response has not arrived in time.
    pub(super) fn handle_response_timeout(&mut self, now: Micros, key: SlabKey) {
        let awaits_response = self.connections.get(key).is_some_and(|connection| {
            matches!(
                connection.role,
                ConnectionRole::Consul(_) | ConnectionRole::Notification(_)
            )
        });
        if awaits_response {
            self.close(now, key, CloseReason::ResponseTimeout);
        }
    }

    pub(super) fn is_client(&self, key: SlabKey) -> bool {
        self.connections
            .get(key)
            .is_some_and(|connection| connection.role.is_client())
    }

    /// Updates the events for which a connection is registered with the poller. A failed update is
    /// retried after a short wait, because otherwise the connection might never be read or written
    /// again.
    pub(super) fn update_poll_interest(&mut self, now: Micros, key: SlabKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Err(e) = connection.transport.watch(&self.poller, key.to_u64()) else {
            return;
        };
        log::debug!(
            "cannot register connection {:x} with the poller, retrying in {} ms: {e}",
            key.to_u64(),
            self.limits.local_error_retry_interval_us / 1_000
        );
        self.schedule_connection_retry(now, key);
    }

    /// Schedules a retry for a connection that could not be read or registered with the poller. The
    /// connection may have unread input, so it is not treated as idle until it is read.
    pub(super) fn schedule_connection_retry(&mut self, now: Micros, key: SlabKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.unread_since.get_or_insert(now);
        if !std::mem::replace(&mut connection.retry_scheduled, true) {
            let at = now + self.limits.local_error_retry_interval_us;
            self.timers.schedule(at, TimerEvent::RetryConnection(key));
        }
    }

    /// Registers a connection with the poller again, and reads it. Only a read clears
    /// `unread_since`. If the connection has no input, the poller would not trigger a read, and a
    /// shutdown would wait for the connection because it would not be treated as idle.
    pub(super) fn retry_connection(&mut self, now: Micros, key: SlabKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.retry_scheduled = false;
        self.update_poll_interest(now, key);
        self.read_available_input(now, key);
    }

    /// Closes a connection from this side. A client connection gets a lingering close, because
    /// closing it while bytes are unread or still arriving would reset the connection, and output
    /// that the client has not yet received would be lost.
    pub(super) fn close_gracefully(&mut self, now: Micros, key: SlabKey, reason: CloseReason) {
        // Writes the answers that are ready, as far as the socket accepts them without blocking.
        // The proxy does not wait for a client that does not read its answers.
        self.write_fastcgi_client(key);
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.transport.write();
        if connection.role.client_session().is_none()
            || connection.transport.shut_down_writes().is_err()
        {
            return self.close(now, key, reason);
        }
        connection.transport.input.clear();
        self.memory.release(&mut connection.memory_share);
        connection.activity.timeout_start = now;
        let lingering = ConnectionRole::Lingering { discarded_bytes: 0 };
        let role = std::mem::replace(&mut connection.role, lingering);
        self.log_close(key, &role, reason);
        self.report_client_disconnected(now, &role);
        self.timers.schedule(
            now + self.limits.lingering_close_us,
            TimerEvent::CheckClient(key),
        );
        self.update_poll_interest(now, key);
    }

    /// Closes a connection at once.
    pub(super) fn close(&mut self, now: Micros, key: SlabKey, reason: CloseReason) {
        self.read_remaining_answers(now, key);
        let Some(Connection {
            transport,
            role,
            mut memory_share,
            ..
        }) = self.connections.remove(key)
        else {
            return;
        };
        self.memory.release(&mut memory_share);
        self.log_close(key, &role, reason);
        match role {
            ConnectionRole::FastCgiClient(_)
            | ConnectionRole::InterconnectClient(_)
            | ConnectionRole::Lingering { .. } => {
                self.client_connections -= 1;
                self.report_client_disconnected(now, &role);
            }
            ConnectionRole::Upstream(upstream) => {
                self.handle_upstream_closed(now, key, &transport, *upstream, reason)
            }
            ConnectionRole::Notification(delivery) => {
                self.handle_notification_attempt_end(now, delivery)
            }
            ConnectionRole::Consul(_) => self.handle_consul_response(now, None),
            ConnectionRole::EventBus(_) => self.handle_event_bus_closed(now, key),
        }
    }

    /// Logs why a connection is closed. Checks that a client connection has no unanswered requests,
    /// unless the client itself has caused the close.
    fn log_close(&self, key: SlabKey, role: &ConnectionRole, reason: CloseReason) {
        log::debug!("closing {} {:x}: {reason}", role.name(), key.to_u64());
        let Some(session) = role.client_session() else {
            return;
        };
        let is_close_allowed = session.unanswered_requests() == 0 || reason.is_caused_by_peer();
        self.request_table.invariants.check(
            Invariant::CloseOnlyIfAnswered,
            is_close_allowed,
            format_args!("{}: {reason}", self.request_ids(session)),
        );
    }

    /// Returns the ids of the requests for which a client awaits answers, separated by commas.
    fn request_ids(&self, session: &dyn ClientSession) -> String {
        let keys = session.request_keys();
        let ids = keys
            .iter()
            .filter_map(|key| self.request_table.request_id(*key));
        ids.collect::<Vec<_>>().join(", ")
    }

    /// Notifies the request table that the client of a connection no longer waits for any answer.
    fn report_client_disconnected(&mut self, now: Micros, role: &ConnectionRole) {
        let Some(session) = role.client_session() else {
            return;
        };
        for request_key in session.request_keys() {
            self.request_table.client_disconnected(now, request_key);
        }
    }
}
