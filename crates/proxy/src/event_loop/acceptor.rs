//! Where client connections are accepted, of FastCGI clients and of peer CDNs, and when accepting
//! pauses.

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

/// The two listeners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListenerKind {
    /// For the platform's web servers.
    FastCgi,
    /// For peer CDNs and the clients that they redirect.
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

/// A listening socket.
pub(super) struct Acceptor {
    listener: TcpListener,
    token: u64,
    /// False while accepting pauses.
    watched: bool,
    /// Accepting has failed since then, and connections may have waited all the time.
    failing_since: Option<Micros>,
}

impl Acceptor {
    /// Listens on an address and has the poller watch it.
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
            watched: true,
            failing_since: None,
        })
    }

    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.listener.local_addr().ok()
    }

    /// Stops watching the listener: unaccepted connections would keep it readable and the loop
    /// spinning. Where that fails it stays watched.
    fn pause(&mut self, poller: &Poller) {
        if self.watched {
            let paused = poller.change(&self.listener, self.token, Interest::NONE);
            self.watched = paused.is_err();
        }
    }

    /// Watches the listener again.
    fn resume(&mut self, poller: &Poller) -> io::Result<()> {
        if !self.watched {
            poller.change(&self.listener, self.token, Interest::READ)?;
            self.watched = true;
        }
        Ok(())
    }
}

/// Both listeners, and whether a retry of accepting is due.
pub(super) struct Acceptors {
    /// None once the grace period of a shutdown is over.
    pub(super) fastcgi: Option<Acceptor>,
    /// None where no interconnect is configured.
    pub(super) interconnect: Option<Acceptor>,
    /// Both listeners may pause; were each to set a timer of its own, each of those timers would
    /// set two more while the connection table stays full.
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

    /// Ends accepting for a shutdown. The FastCGI listener stays until the connections that wait
    /// there are accepted, if that has failed just now; the interconnect's stays bound but unwatched.
    pub(super) fn close(&mut self, poller: &Poller) {
        self.fastcgi
            .take_if(|acceptor| acceptor.failing_since.is_none());
        if let Some(interconnect) = &mut self.interconnect {
            interconnect.pause(poller);
        }
    }
}

/// Whether the next connection in the kernel's queue may be accepted at once, although this one
/// failed.
fn concerns_one_connection(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted
    )
}

impl EventLoop {
    /// Accepts all connections that wait at a listener, as far as there is room for them.
    pub(super) fn accept_clients(&mut self, now: Micros, kind: ListenerKind) {
        while self.is_accepting(kind) {
            // With no room left, connections wait in the kernel's queue and are accepted once
            // others have ended.
            let room = self.make_room_for_client(now);
            let Some(acceptor) = self.acceptors.get(kind) else {
                return;
            };
            let accepted = room.and_then(|evicted| Ok((sys::accept(&acceptor.listener)?, evicted)));
            match accepted {
                Ok((socket, evicted)) => self.add_client(now, kind, socket, evicted),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if concerns_one_connection(&e) => {}
                Err(e) => return self.pause_accepting(now, kind, &e),
            }
        }
        self.all_accepted(now, kind);
    }

    /// No connection waits at a listener: it is watched again, or closed if it was only kept for
    /// those.
    fn all_accepted(&mut self, now: Micros, kind: ListenerKind) {
        if !self.is_accepting(kind) {
            return;
        }
        let Some(acceptor) = self.acceptors.get_mut(kind) else {
            return;
        };
        acceptor.failing_since = None;
        if self.shutdown.is_grace_over() {
            return self.acceptors.close(&self.poller);
        }
        if let Err(e) = acceptor.resume(&self.poller) {
            self.pause_accepting(now, kind, &e);
        }
    }

    /// Whether connections are accepted at a listener. After the grace period of a shutdown these
    /// are only those that wait for it since before.
    fn is_accepting(&self, kind: ListenerKind) -> bool {
        match self.acceptors.get(kind) {
            Some(_) if !self.shutdown.is_grace_over() => true,
            Some(acceptor) => acceptor.failing_since.is_some(),
            None => false,
        }
    }

    /// No room or no file descriptor is left: accepting goes on in a moment.
    fn pause_accepting(&mut self, now: Micros, kind: ListenerKind, reason: &io::Error) {
        log::debug!("accepting on the {kind:?} listener pauses: {reason}");
        let is_full = reason.kind() == io::ErrorKind::OutOfMemory;
        if let Some(acceptor) = self.acceptors.get_mut(kind) {
            acceptor.pause(&self.poller);
            if !is_full {
                acceptor.failing_since.get_or_insert(now);
            }
        }
        if !std::mem::replace(&mut self.acceptors.retry_scheduled, true) {
            self.timers
                .set(now + self.limits.accept_retry_us, TimerEvent::RetryAccept);
        }
    }

    /// Accepts again after a pause.
    pub(super) fn retry_accept(&mut self, now: Micros) {
        self.acceptors.retry_scheduled = false;
        self.accept_clients(now, ListenerKind::FastCgi);
        self.accept_clients(now, ListenerKind::Interconnect);
    }

    /// Adds an accepted connection to the table, in place of the one that is evicted for it.
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
            self.close(now, evicted, CloseReason::MakesRoom);
        }
        let role = self.client_role(kind);
        let Ok(key) = self.open_connection(now, transport, role) else {
            return;
        };
        self.clients.connections += 1;
        self.timers.set(
            now + self.limits.client_request_timeout_us,
            TimerEvent::CheckClient(key),
        );
        let failing_since = self.acceptors.get(kind).and_then(|it| it.failing_since);
        if let (Some(since), Some(connection)) = (failing_since, self.connections.get_mut(key)) {
            connection.unread_since = Some(since);
            // After the grace period it is read here, and ends with its answer or without a request.
            self.read_pending_input(now, key);
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
