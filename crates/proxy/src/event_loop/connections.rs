//! The connection table: what each connection is for, and how connections are opened and closed.

use super::clients::ClientActivity;
use super::close_reason::CloseReason;
use super::notifications::NotificationDelivery;
use super::timer::TimerEvent;
use super::EventLoop;
use crate::discovery::consul::ConsulQuery;
use crate::discovery::event_bus::EventStreamClient;
use crate::frontend::{fastcgi, interconnect, ClientSession};
use crate::invariants::Invariant;
use crate::net::{connect, BufferedSocket, Slab, SlabKey};
use crate::sys::errors;
use crate::upstream::UpstreamConnection;
use edge_routing::Micros;
use std::io;
use std::net::SocketAddr;

/// What a connection is for, with the state of its protocol.
pub(super) enum ConnectionRole {
    /// A web server that sends requests by FastCGI.
    FastCgiClient(fastcgi::Session),
    /// A peer CDN, or a client that one redirected here.
    InterconnectClient(Box<interconnect::Session>),
    /// A client connection whose writing side is shut down. It is read until the client ends it
    /// too.
    Lingering {
        /// Bytes read and thrown away so far.
        discarded_bytes: usize,
    },
    /// To a cache server.
    Upstream(UpstreamConnection),
    /// To the event bus.
    EventBus(EventStreamClient),
    /// To Consul, for one query.
    Consul(ConsulQuery),
    /// To a peer CDN, for one notification.
    Notification(Box<NotificationDelivery>),
}

impl ConnectionRole {
    /// Whether the connection was accepted from a client.
    pub(super) fn is_client(&self) -> bool {
        let is_lingering = matches!(self, ConnectionRole::Lingering { .. });
        is_lingering || self.client_session().is_some()
    }

    /// What the connection is called in the log.
    fn name(&self) -> &'static str {
        match self {
            ConnectionRole::FastCgiClient(_) => "client connection",
            ConnectionRole::InterconnectClient(_) => "interconnect connection",
            ConnectionRole::Lingering { .. } => "lingering connection",
            ConnectionRole::Upstream(_) => "cache server connection",
            ConnectionRole::EventBus(_) => "event bus connection",
            ConnectionRole::Consul(_) => "Consul connection",
            ConnectionRole::Notification(_) => "notification connection",
        }
    }

    /// The session of a client that may still be sent something.
    pub(super) fn client_session(&self) -> Option<&dyn ClientSession> {
        match self {
            ConnectionRole::FastCgiClient(session) => Some(session),
            ConnectionRole::InterconnectClient(session) => Some(session.as_ref()),
            _ => None,
        }
    }
}

/// Why a connection could not be opened.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    /// The connection table is full.
    #[error("the connection table is full")]
    TableFull,
    /// The server has as many connections as it may.
    #[error("the server has as many connections as it may")]
    ServerFull,
    /// The server is not in the endpoint list any more.
    #[error("the server is gone")]
    ServerGone,
    /// This machine has no descriptor, memory, port or route for it now. It tells nothing of the
    /// peer.
    #[error("failed on this machine: {0}")]
    Local(io::Error),
    /// The peer can't be reached.
    #[error(transparent)]
    Peer(io::Error),
}

impl From<io::Error> for ConnectError {
    fn from(error: io::Error) -> Self {
        if errors::is_local(&error) {
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
    /// Of a client connection: since when it does what it does, and what it holds.
    pub(super) activity: ClientActivity,
    /// It could not be read, or the poller not be told what to watch it for; both will be tried
    /// again.
    retry_scheduled: bool,
    /// There may be input since then that could not be read: the connection was not accepted or not
    /// watched, or reading failed for the moment.
    pub(super) unread_since: Option<Micros>,
}

impl Slab<Connection> {
    /// The transport and the protocol state of a connection to a cache server.
    pub(super) fn upstream(&self, key: SlabKey) -> Option<(&BufferedSocket, &UpstreamConnection)> {
        let connection = self.get(key)?;
        match &connection.role {
            ConnectionRole::Upstream(upstream) => Some((&connection.transport, upstream)),
            _ => None,
        }
    }

    /// As `upstream`, to change them.
    pub(super) fn upstream_mut(
        &mut self,
        key: SlabKey,
    ) -> Option<(&mut BufferedSocket, &mut UpstreamConnection)> {
        let connection = self.get_mut(key)?;
        match &mut connection.role {
            ConnectionRole::Upstream(upstream) => Some((&mut connection.transport, upstream)),
            _ => None,
        }
    }

    /// The transport and the session of a FastCGI client.
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

    /// The transport and the session of an interconnect client.
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
    /// Adds a connection to the table and has the poller watch it.
    pub(super) fn open_connection(
        &mut self,
        now: Micros,
        transport: BufferedSocket,
        role: ConnectionRole,
    ) -> Result<SlabKey, ConnectError> {
        let connection = Connection {
            transport,
            role,
            activity: ClientActivity::since(now),
            retry_scheduled: false,
            unread_since: None,
        };
        let key = self.connections.insert(connection);
        let key = key.map_err(|_| ConnectError::TableFull)?;
        self.update_poll_interest(now, key);
        Ok(key)
    }

    /// Whether the table has a free slot besides the one kept for the event bus, whose connection
    /// may be down just then: without it the proxy would hear of no drain and no purge.
    pub(super) fn has_free_connection_slot(&self) -> bool {
        let event_bus_is_down =
            self.reload.config.event_bus.is_some() && self.event_bus.connection.is_none();
        let reserved = usize::from(event_bus_is_down);
        self.connections.free_slots() > reserved
    }

    /// Begins an outgoing connection. It must be established before its timer comes due.
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
            log::warn!("no connection to {address}: {e}");
            ConnectError::from(e)
        })?;
        let key = self.open_connection(now, transport, role)?;
        self.timers.set(
            now + self.limits.connect_timeout_us,
            TimerEvent::ConnectTimeout(key),
        );
        Ok(key)
    }

    /// Closes an outgoing connection that was not established in time.
    pub(super) fn close_unless_connected(&mut self, now: Micros, key: SlabKey) {
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        if connection.transport.connected {
            return;
        }
        match connection.role {
            ConnectionRole::EventBus(_) => self.event_bus_connects_late(now, key),
            // It may well be established: nobody could see it.
            _ if connection.retry_scheduled => self.close(now, key, CloseReason::LocalFailure),
            _ => self.close(now, key, CloseReason::ConnectTimeout),
        }
    }

    /// Closes a connection to Consul or to a peer CDN whose response has not come in time.
    pub(super) fn close_unanswered(&mut self, now: Micros, key: SlabKey) {
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

    /// Updates what the poller watches a connection for. Where that fails, it is tried again in a
    /// moment: a connection that nobody watches would never be read or written again.
    pub(super) fn update_poll_interest(&mut self, now: Micros, key: SlabKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Err(e) = connection.transport.watch(&self.poller, key.to_u64()) else {
            return;
        };
        log::debug!("a connection can't be watched yet: {e}");
        self.retry_connection_later(now, key);
    }

    /// A connection could not be read or watched just now. There may be input that nobody knows of,
    /// so that it is not taken for idle until it could be.
    pub(super) fn retry_connection_later(&mut self, now: Micros, key: SlabKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.unread_since.get_or_insert(now);
        if !std::mem::replace(&mut connection.retry_scheduled, true) {
            let at = now + self.limits.local_retry_us;
            self.timers.set(at, TimerEvent::RetryConnection(key));
        }
    }

    /// Tells the poller once more what to watch a connection for, and reads what came meanwhile:
    /// nothing is reported where nothing did, and a shutdown would wait for the connection.
    pub(super) fn retry_connection(&mut self, now: Micros, key: SlabKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.retry_scheduled = false;
        self.update_poll_interest(now, key);
        self.read_pending_input(now, key);
    }

    /// Ends a connection from this side. A client connection lingers: closing it over bytes that
    /// are unread, or that cross the close, would reset it, and output that was written before
    /// would be lost on its way.
    pub(super) fn close_gracefully(&mut self, now: Micros, key: SlabKey, reason: CloseReason) {
        // Answers that are ready are still owed; a client that does not take them is not waited
        // for.
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
        self.clients.release(&mut connection.activity);
        connection.activity.since = now;
        let lingering = ConnectionRole::Lingering { discarded_bytes: 0 };
        let role = std::mem::replace(&mut connection.role, lingering);
        self.log_close(key, &role, reason);
        self.abandon_requests(now, &role);
        self.timers.set(
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
            mut activity,
            ..
        }) = self.connections.remove(key)
        else {
            return;
        };
        self.log_close(key, &role, reason);
        match role {
            ConnectionRole::FastCgiClient(_)
            | ConnectionRole::InterconnectClient(_)
            | ConnectionRole::Lingering { .. } => {
                self.clients.connections -= 1;
                self.clients.release(&mut activity);
                self.abandon_requests(now, &role);
            }
            ConnectionRole::Upstream(upstream) => {
                self.upstream_closed(now, key, &transport, upstream, reason)
            }
            ConnectionRole::Notification(delivery) => self.notification_attempted(now, delivery),
            ConnectionRole::Consul(_) => self.handle_consul_response(now, None),
            ConnectionRole::EventBus(_) => self.event_bus_closed(now, key),
        }
    }

    /// Logs why a connection is closed, and checks that no answer is owed on it unless its own
    /// client has ended it.
    fn log_close(&self, key: SlabKey, role: &ConnectionRole, reason: CloseReason) {
        log::debug!("{} {:x} is closed: {reason}", role.name(), key.to_u64());
        let Some(session) = role.client_session() else {
            return;
        };
        let is_answered = session.unanswered() == 0 || reason.is_of_peers_making();
        self.request_table.invariants.check(
            Invariant::CloseOnlyIfAnswered,
            is_answered,
            format_args!("{}: {reason}", self.request_ids(session)),
        );
    }

    /// The ids of the requests that a client waits for.
    fn request_ids(&self, session: &dyn ClientSession) -> String {
        let keys = session.request_keys();
        let ids = keys
            .iter()
            .filter_map(|key| self.request_table.request_id(*key));
        ids.collect::<Vec<_>>().join(", ")
    }

    /// Tells the request table that the client of a connection waits for no answer any more.
    fn abandon_requests(&mut self, now: Micros, role: &ConnectionRole) {
        let Some(session) = role.client_session() else {
            return;
        };
        for request_key in session.request_keys() {
            self.request_table.client_disconnected(now, request_key);
        }
    }
}
