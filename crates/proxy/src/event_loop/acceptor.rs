//! Accepts the connections of FastCGI clients and peer CDNs, and pauses accepting when a resource
//! is exhausted.

use super::close_reason::CloseReason;
use super::connections::ConnectionRole;
use super::timer::TimerEvent;
use super::{tokens, EventLoop};
use crate::frontend::interconnect;
use crate::net::{BufferedSocket, Interest, Poller, SlabKey};
use crate::sys;
use edge_routing::Micros;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Identifies one of the two listeners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListenerKind {
    /// Listener for web servers, which send the requests of their clients as FastCGI requests.
    FastCgi,
    /// Listener for peer CDNs and the clients that they redirect.
    Interconnect,
}

impl ListenerKind {
    fn token(self) -> u64 {
        match self {
            ListenerKind::FastCgi => tokens::FASTCGI_LISTENER,
            ListenerKind::Interconnect => tokens::INTERCONNECT_LISTENER,
        }
    }
}

/// A listening socket and whether the poller watches it.
pub(super) struct Acceptor {
    listener: TcpListener,
    token: u64,
    /// Whether the poller watches the listener. False while accepting is paused.
    is_watched: bool,
    /// When accepting began to fail. A full connection table, for which the error is `OutOfMemory`,
    /// does not count as a failure. The time is kept until all waiting connections are accepted,
    /// because each of them may have waited in the kernel's queue since then. `None` if accepting
    /// is not failing.
    accept_failing_since: Option<Micros>,
}

impl Acceptor {
    /// Listens on an address and registers the listener with the poller.
    pub(super) fn bind(
        kind: ListenerKind,
        address: SocketAddr,
        poller: &Poller,
    ) -> io::Result<Self> {
        let listener = sys::listen(address)?;
        poller.add(&listener, kind.token(), Interest::READ)?;
        Ok(Acceptor {
            listener,
            token: kind.token(),
            is_watched: true,
            accept_failing_since: None,
        })
    }

    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.listener.local_addr().ok()
    }

    /// Makes the poller ignore the listener. Waiting connections would otherwise keep it readable,
    /// and the event loop would spin. If the poller returns an error, the listener stays watched.
    fn pause(&mut self, poller: &Poller) {
        if self.is_watched {
            let paused = poller.change(&self.listener, self.token, Interest::NONE);
            self.is_watched = paused.is_err();
        }
    }

    /// Makes the poller watch the listener again.
    fn resume(&mut self, poller: &Poller) -> io::Result<()> {
        if !self.is_watched {
            poller.change(&self.listener, self.token, Interest::READ)?;
            self.is_watched = true;
        }
        Ok(())
    }
}

/// Both listeners, and whether a retry of accepting is scheduled.
pub(super) struct Acceptors {
    /// `None` once the listener is closed for a shutdown. It is closed at the end of the grace
    /// period, or later if accepting is failing at that time.
    pub(super) fastcgi: Option<Acceptor>,
    /// `None` if no interconnect is configured.
    pub(super) interconnect: Option<Acceptor>,
    /// Whether the retry timer is set. One timer serves both listeners, because each retry tries
    /// both. With a timer for each listener, every retry would set two new timers while the
    /// connection table is full.
    retry_scheduled: bool,
}

impl Acceptors {
    pub(super) fn new(fastcgi: Acceptor, interconnect: Option<Acceptor>) -> Self {
        Acceptors {
            fastcgi: Some(fastcgi),
            interconnect,
            retry_scheduled: false,
        }
    }

    fn get(&self, kind: ListenerKind) -> Option<&Acceptor> {
        match kind {
            ListenerKind::FastCgi => self.fastcgi.as_ref(),
            ListenerKind::Interconnect => self.interconnect.as_ref(),
        }
    }

    fn get_mut(&mut self, kind: ListenerKind) -> Option<&mut Acceptor> {
        match kind {
            ListenerKind::FastCgi => self.fastcgi.as_mut(),
            ListenerKind::Interconnect => self.interconnect.as_mut(),
        }
    }

    /// Stops accepting for a shutdown. The FastCGI listener is closed, unless accepting its waiting
    /// connections is failing. In that case it stays open until they are accepted. The
    /// interconnect listener stays bound, but the poller no longer watches it.
    pub(super) fn close(&mut self, poller: &Poller) {
        self.fastcgi
            .take_if(|acceptor| acceptor.accept_failing_since.is_none());
        if let Some(interconnect) = &mut self.interconnect {
            interconnect.pause(poller);
        }
    }
}

/// Returns whether an error of `accept` affects a single connection, so that the next connection in
/// the kernel's queue can be accepted at once.
fn affects_single_connection(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted
    )
}

impl EventLoop {
    /// Accepts the connections that wait at a listener until none is left or accepting fails.
    /// Pauses accepting if it fails, for example because the connection table is full.
    pub(super) fn accept_clients(&mut self, now: Micros, kind: ListenerKind) {
        while self.is_accepting(kind) {
            // If no connection can be evicted from a full connection table, new connections wait in
            // the kernel's queue and are accepted after others are closed.
            let eviction = self.make_room_for_client(now);
            let Some(acceptor) = self.acceptors.get(kind) else {
                return;
            };
            let accepted =
                eviction.and_then(|evicted| Ok((sys::accept(&acceptor.listener)?, evicted)));
            match accepted {
                Ok((socket, evicted)) => self.add_client(now, kind, socket, evicted),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if affects_single_connection(&e) => {}
                Err(e) => return self.pause_accepting(now, kind, &e),
            }
        }
        self.finish_accepting(now, kind);
    }

    /// Completes accepting when no connection waits at a listener any more. Makes the poller watch
    /// the listener again, or closes the listener if a shutdown kept it only for the waiting
    /// connections.
    fn finish_accepting(&mut self, now: Micros, kind: ListenerKind) {
        if !self.is_accepting(kind) {
            return;
        }
        let Some(acceptor) = self.acceptors.get_mut(kind) else {
            return;
        };
        acceptor.accept_failing_since = None;
        if self.shutdown.is_grace_over() {
            return self.acceptors.close(&self.poller);
        }
        if let Err(e) = acceptor.resume(&self.poller) {
            self.pause_accepting(now, kind, &e);
        }
    }

    /// Returns whether connections are accepted at a listener. After the grace period of a
    /// shutdown, a listener accepts connections only if accepting was failing when the period
    /// ended, and only until its waiting connections are accepted. They would be lost otherwise.
    fn is_accepting(&self, kind: ListenerKind) -> bool {
        match self.acceptors.get(kind) {
            Some(_) if !self.shutdown.is_grace_over() => true,
            Some(acceptor) => acceptor.accept_failing_since.is_some(),
            None => false,
        }
    }

    /// Pauses accepting at a listener after an error, and schedules a retry. Typical errors are a
    /// full connection table and a lack of file descriptors.
    fn pause_accepting(&mut self, now: Micros, kind: ListenerKind, reason: &io::Error) {
        log::debug!(
            "pausing accept on the {kind:?} listener, retrying within {} ms: {reason}",
            self.limits.accept_retry_interval_us / 1_000
        );
        let is_full = reason.kind() == io::ErrorKind::OutOfMemory;
        if let Some(acceptor) = self.acceptors.get_mut(kind) {
            acceptor.pause(&self.poller);
            if !is_full {
                acceptor.accept_failing_since.get_or_insert(now);
            }
        }
        if !std::mem::replace(&mut self.acceptors.retry_scheduled, true) {
            self.timers.schedule(
                now + self.limits.accept_retry_interval_us,
                TimerEvent::RetryAccept,
            );
        }
    }

    /// Resumes accepting on both listeners after a pause.
    pub(super) fn retry_accept(&mut self, now: Micros) {
        self.acceptors.retry_scheduled = false;
        self.accept_clients(now, ListenerKind::FastCgi);
        self.accept_clients(now, ListenerKind::Interconnect);
    }

    /// Adds an accepted connection to the connection table, and closes the connection that is
    /// evicted for it.
    fn add_client(
        &mut self,
        now: Micros,
        kind: ListenerKind,
        socket: TcpStream,
        evicted: Option<SlabKey>,
    ) {
        let Ok(transport) = BufferedSocket::new(
            socket,
            true,
            self.limits.input_buffer_bytes,
            self.limits.output_buffer_bytes,
        ) else {
            return;
        };
        if let Some(evicted) = evicted {
            self.close(now, evicted, CloseReason::Evicted);
        }
        let role = self.client_role(kind);
        let Ok(key) = self.open_connection(now, transport, role) else {
            return;
        };
        self.client_connections += 1;
        self.timers.schedule(
            now + self.limits.client_request_timeout_us,
            TimerEvent::CheckClient(key),
        );
        let accept_failing_since = self
            .acceptors
            .get(kind)
            .and_then(|acceptor| acceptor.accept_failing_since);
        if let (Some(since), Some(connection)) =
            (accept_failing_since, self.connections.get_mut(key))
        {
            connection.unread_since = Some(since);
            // A request may have waited in the kernel's queue, so the connection is read at once.
            // After the grace period, this call closes a connection without a request. Other
            // connections are closed once their requests are answered.
            self.read_available_input(now, key);
        }
    }

    fn client_role(&self, kind: ListenerKind) -> ConnectionRole {
        match kind {
            ListenerKind::FastCgi => ConnectionRole::FastCgiClient(Default::default()),
            ListenerKind::Interconnect => {
                let session =
                    interconnect::Session::new(self.limits.line_bytes, self.limits.body_bytes);
                ConnectionRole::InterconnectClient(Box::new(session))
            }
        }
    }
}
