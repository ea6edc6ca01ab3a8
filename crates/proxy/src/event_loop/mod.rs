//! The loop: sockets and timers on one side, the request_table on the other.

use crate::config::{Config, Source};
use crate::discovery::consul::{Consul, ConsulQuery};
use crate::discovery::event_bus::{self as bus, EventStreamClient};
use crate::discovery::purge_log::PurgeLog;
use crate::frontend::fastcgi::Session;
use crate::frontend::interconnect::{self as cdni, InterconnectFrontend};
use crate::limits::Limits;
use crate::net::{
    connect, BufferedSocket, Clock, IoProgress, Poller, Readiness, Slab, SlabKey, TimerKey,
    TimerQueue,
};
use crate::protocol::ProtocolError;
use crate::request_table::{Command, RequestTable, RequestTimer};
use crate::upstream::{UpstreamConnection, UpstreamEvent};
use edge_routing::{Micros, ServerId};
use std::collections::{btree_map::Entry, BTreeMap};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::net::UnixStream;

mod clients;
mod discovery;
mod interconnect;
mod upstreams;

use interconnect::NotificationDelivery;

const LISTENER: u64 = u64::MAX;
const SIGNAL: u64 = u64::MAX - 1;
const PEERS: u64 = u64::MAX - 2;
const CDNI: u64 = u64::MAX - 3;
const RELOAD: u64 = u64::MAX - 4;
/// The longest wait of the loop where no deadline is near.
const IDLE_US: Micros = 1_000_000;

enum Kind {
    Client(Session),
    Box(UpstreamConnection),
    Bus(EventStreamClient),
    Consul(ConsulQuery),
    Cdni(Box<cdni::Session>),
    /// A client's whose writing side is shut: it is read until its client ends it too, and so many bytes were
    /// passed over.
    Lingering(usize),
    Notification(Box<NotificationDelivery>),
}

impl Kind {
    fn is_client(&self) -> bool {
        matches!(self, Kind::Client(_) | Kind::Cdni(_) | Kind::Lingering(_))
    }
}

struct Connection {
    conn: BufferedSocket,
    kind: Kind,
    /// A client's: when it was last waited for here, or what it is now at began.
    since: Micros,
    /// A client's: a request had come in part when that was last looked at.
    half: bool,
    /// Bytes of waiting answers that the daemon's sum holds for it.
    waiting: usize,
    /// The same of requests that have come in part.
    half_bytes: usize,
}

/// What has a deadline.
#[derive(Clone, Debug)]
enum Timer {
    Request(RequestTimer),
    /// A connection begun from here must be up.
    Connect(SlabKey),
    /// A link is looked at again: barred ids, stalled writing.
    UpstreamConnection(SlabKey),
    /// The bus is called, or found silent.
    Bus,
    /// Consul is asked.
    Consul,
    /// The answer on a connection must have come.
    Answered(SlabKey),
    /// A payload is sent to a neighbour once more.
    RetryNotification(Box<NotificationDelivery>),
    /// A connection's next request, which waited for the answer to the one before.
    Serve(SlabKey),
    /// A purge is told to the peers once more, and so many times again.
    RepeatPurgeGossip(String, u8),
    /// A client's connection is looked at: it may hold its place for nothing.
    Client(SlabKey),
    /// Accepting goes on.
    Accept,
    /// The grace after SIGTERM is over.
    Term,
    /// The process may be killed right after this.
    ShutdownDeadline,
}

/// Does to a daemon what the signals do.
pub struct ControlHandle {
    term: UnixStream,
    hup: UnixStream,
}

impl ControlHandle {
    /// Ends it as SIGTERM does, once all that it has taken is answered.
    pub fn stop(&mut self) -> io::Result<()> {
        io::Write::write_all(&mut self.term, b"t")
    }

    /// Has it read its configuration again, as SIGHUP does.
    pub fn reload(&mut self) -> io::Result<()> {
        io::Write::write_all(&mut self.hup, b"h")
    }
}

/// The two ends of what a signal is heard by: the one that is read, and the one that the signal writes to.
struct Signal {
    heard: UnixStream,
    raised: UnixStream,
}

impl Signal {
    fn register(signal: i32) -> io::Result<Self> {
        let (heard, raised) = UnixStream::pair()?;
        heard.set_nonblocking(true)?;
        signal_hook::low_level::pipe::register(signal, raised.try_clone()?)?;
        Ok(Signal { heard, raised })
    }

    /// Takes in what was raised: signals that come close together count as one.
    fn clear(&mut self) {
        let mut bytes = [0; 16];
        while io::Read::read(&mut self.heard, &mut bytes).is_ok_and(|n| n > 0) {}
    }
}

/// The daemon.
pub struct EventLoop {
    clock: Clock,
    limits: Limits,
    request_table: RequestTable,
    poll: Poller,
    listener: Option<TcpListener>,
    accepting: bool,
    accepts_later: bool,
    term: Signal,
    hup: Signal,
    /// The configuration that is in force, and where a new one is read from.
    config: Config,
    source: Source,
    connections: Slab<Connection>,
    clients: usize,
    links: BTreeMap<ServerId, Vec<SlabKey>>,
    timers: TimerQueue<Timer>,
    feed: Option<SlabKey>,
    bus_timer: Option<TimerKey>,
    last_event: u64,
    consul: Option<(SocketAddr, Consul)>,
    peers: Option<(UdpSocket, Vec<SocketAddr>)>,
    interconnect: Option<(TcpListener, InterconnectFrontend)>,
    purge_log: Option<PurgeLog>,
    /// Payloads to neighbours that are on their way or wait to be tried again.
    posts: usize,
    /// What neighbours were last told of our being able to serve.
    told_ready: bool,
    waiting_answers: usize,
    half_bytes: usize,
    stopping: bool,
    grace_over: bool,
}

impl EventLoop {
    /// Binds the sockets and replays the known events. On SIGHUP a new configuration is read from `source`.
    pub fn start(mut config: Config, source: Source) -> Result<Self, String> {
        let text = |e: io::Error| e.to_string();
        let limits = config.limits.clone();
        let listener = TcpListener::bind(config.listen)
            .map_err(|e| format!("listen: {}: {e}", config.listen))?;
        listener.set_nonblocking(true).map_err(text)?;
        let term = Signal::register(signal_hook::consts::SIGTERM).map_err(text)?;
        let hup = Signal::register(signal_hook::consts::SIGHUP).map_err(text)?;
        let poll = Poller::new(256).map_err(text)?;
        poll.add(&listener, LISTENER, true, false).map_err(text)?;
        poll.add(&term.heard, SIGNAL, true, false).map_err(text)?;
        poll.add(&hup.heard, RELOAD, true, false).map_err(text)?;
        let (mut interconnect, mut peers, mut purge_log) = (None, None, None);
        if let Some(cdni) = config.cdni.clone() {
            let listener = TcpListener::bind(cdni.listen)
                .map_err(|e| format!("cdni.listen: {}: {e}", cdni.listen))?;
            listener.set_nonblocking(true).map_err(text)?;
            poll.add(&listener, CDNI, true, false).map_err(text)?;
            interconnect = Some((
                listener,
                InterconnectFrontend::new(cdni.identity, config.seed, limits.triggers),
            ));
            if let Some(path) = cdni.purges {
                let open = PurgeLog::open(&path);
                purge_log =
                    Some(open.map_err(|e| format!("cdni.purges: {}: {e}", path.display()))?);
            }
            // Peers are only told what the second front is told.
            if let Some((own, known)) = config.peers.clone() {
                let socket =
                    UdpSocket::bind(own).map_err(|e| format!("peer_listen: {own}: {e}"))?;
                socket.set_nonblocking(true).map_err(text)?;
                poll.add(&socket, PEERS, true, false).map_err(text)?;
                peers = Some((socket, known));
            }
        }
        let request_table = RequestTable::new(config.settings.clone(), config.seed, &limits)
            .map_err(|e| e.to_string())?;
        let (last_event, known) = std::mem::take(&mut config.known);
        let mut daemon = EventLoop {
            clock: Clock::start(),
            request_table,
            poll,
            listener: Some(listener),
            accepting: true,
            accepts_later: false,
            term,
            hup,
            connections: Slab::new(limits.connections),
            clients: 0,
            links: BTreeMap::new(),
            timers: TimerQueue::default(),
            feed: None,
            bus_timer: None,
            last_event,
            consul: config
                .consul
                .clone()
                .map(|(to, service)| (to, Consul::new(service, 10))),
            peers,
            interconnect,
            purge_log,
            posts: 0,
            told_ready: false,
            waiting_answers: 0,
            half_bytes: 0,
            stopping: false,
            grace_over: false,
            limits,
            config,
            source,
        };
        let now = daemon.clock.now();
        let kept = daemon
            .purge_log
            .as_ref()
            .map(PurgeLog::purges)
            .unwrap_or_default();
        for purge in kept {
            daemon
                .request_table
                .purge_permanently(now, purge.object, purge.group, purge.purged_at);
        }
        known.into_iter().for_each(|event| daemon.news(now, event));
        daemon.call_bus(now);
        daemon.call_consul(now);
        daemon.settle(now);
        if let Some(address) = daemon.address() {
            log::info!("{} listens on {address}", daemon.config.name);
        }
        if let Some(address) = daemon.cdni_address() {
            log::info!("peer CDNs connect to {address}");
        }
        Ok(daemon)
    }

    /// Where clients connect.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.local_addr().ok()
    }

    /// What does to it from another thread what signals do.
    pub fn control(&self) -> io::Result<ControlHandle> {
        Ok(ControlHandle {
            term: self.term.raised.try_clone()?,
            hup: self.hup.raised.try_clone()?,
        })
    }

    /// Serves until SIGTERM, and then until all is answered.
    pub fn run(&mut self) -> io::Result<()> {
        let mut ready = Vec::new();
        while !self.is_done() {
            let now = self.clock.now();
            let wait = self
                .timers
                .next_due()
                .map_or(IDLE_US, |at| at.saturating_sub(now))
                .min(IDLE_US);
            self.poll.wait(wait, &mut ready)?;
            for event in ready.drain(..) {
                self.event(event);
            }
            let now = self.clock.now();
            while let Some(timer) = self.timers.pop_due(now) {
                self.timer(now, timer);
                self.settle(now);
            }
        }
        let c = self.request_table.counters;
        log::info!(
            "ended: {} taken, {} served, {} refused, {} failed, {} left, {} attempts",
            c.admitted,
            c.served,
            c.rejected,
            c.failed,
            c.disconnected,
            c.attempts
        );
        Ok(())
    }

    fn is_done(&self) -> bool {
        // A client's connection that is left has something owed to it, or lingers. What is out for nobody is
        // given up with its connection.
        self.grace_over && self.clients == 0
    }

    fn event(&mut self, event: Readiness) {
        let now = self.clock.now();
        match event.token {
            LISTENER => self.accept(now),
            SIGNAL => self.term(now),
            RELOAD => self.reload(now),
            PEERS => self.hear_peers(now),
            CDNI => self.accept_cdni(now),
            token => self.serve(now, SlabKey::from_u64(token), event),
        }
        self.settle(now);
        self.notify(now);
    }

    fn timer(&mut self, now: Micros, timer: Timer) {
        match timer {
            Timer::Request(wake) => self.request_table.timer_fired(now, wake),
            Timer::Connect(key) => {
                if self.connections.get(key).is_some_and(|c| !c.conn.connected) {
                    self.close(now, key);
                }
            }
            Timer::UpstreamConnection(key) => self.look_at_link(now, key),
            Timer::Client(key) => self.look_at_client(now, key),
            Timer::Bus => self.check_bus(now),
            Timer::Consul => self.call_consul(now),
            Timer::Answered(key) => self.answer_timed_out(now, key),
            Timer::Serve(key) => self.serve_cdni(now, key),
            Timer::RetryNotification(delivery) => self.post(now, delivery),
            Timer::RepeatPurgeGossip(text, left) => self.tell_peers(now, text, left),
            Timer::Accept => {
                self.accepts_later = false;
                self.accept(now);
                self.accept_cdni(now);
            }
            Timer::Term => self.end_grace(now),
            Timer::ShutdownDeadline => self.request_table.fail_all_pending(now),
        }
    }

    // ---- Signals ----

    fn term(&mut self, now: Micros) {
        self.term.clear();
        if !std::mem::replace(&mut self.stopping, true) {
            log::info!("SIGTERM: answering what is open");
            self.timers
                .set(now + self.limits.shutdown_grace_us, Timer::Term);
            self.timers.set(
                now + self.limits.shutdown_deadline_us,
                Timer::ShutdownDeadline,
            );
        }
    }

    /// From here on no request is taken: what came now might still be open when the process is killed. What was
    /// asked before is answered, and each client's connection is ended once nothing is owed on it.
    fn end_grace(&mut self, now: Micros) {
        self.accept(now);
        self.accept_cdni(now);
        let clients: Vec<SlabKey> = self
            .connections
            .keys()
            .into_iter()
            .filter(|key| self.is_client(*key))
            .collect();
        // What has come by now was taken within the grace.
        clients
            .iter()
            .for_each(|key| self.look_for_input(now, *key));
        self.grace_over = true;
        self.listener = None;
        if let Some((listener, _)) = &self.interconnect {
            let _ = self.poll.change(listener, CDNI, false, false);
        }
        for key in clients {
            if !self.write(now, key) {
                self.end(now, key);
            }
        }
    }

    fn is_client(&self, key: SlabKey) -> bool {
        self.connections
            .get(key)
            .is_some_and(|c| c.kind.is_client())
    }

    /// Takes in what a client has sent by now, also where the loop has not been told of it yet.
    fn look_for_input(&mut self, now: Micros, key: SlabKey) {
        self.serve(now, key, Readiness::readable(key.to_u64()));
        self.settle(now);
    }

    /// Reads the configuration again. Nothing that is open is dropped for it, and a faulty file changes
    /// nothing: a daemon that ended over it would take all its clients with it.
    fn reload(&mut self, now: Micros) {
        self.hup.clear();
        let mut new = match (self.source)() {
            Ok(new) => new,
            Err(e) => return log::error!("SIGHUP: the configuration stays as it was: {e}"),
        };
        for key in self.config.fixed_changes(&new) {
            log::warn!("SIGHUP: '{key}' has changed, which takes effect with the next start only");
        }
        if let (Some((_, known)), Some((_, peers))) = (&mut self.peers, &new.peers) {
            known.clone_from(peers);
        }
        let moved = self.config.bus != new.bus;
        self.config.bus = new.bus;
        self.config.peers = new.peers.take().or(self.config.peers.take());
        log::info!(
            "SIGHUP: the configuration is read again{}",
            if moved {
                "; the event bus has moved"
            } else {
                ""
            }
        );
        if moved {
            self.move_bus(now);
        }
    }

    // ---- Connections ----

    fn open(&mut self, now: Micros, conn: BufferedSocket, kind: Kind) -> Option<SlabKey> {
        let up = conn.connected;
        let key = self
            .connections
            .insert(Connection {
                conn,
                kind,
                since: now,
                half: false,
                waiting: 0,
                half_bytes: 0,
            })
            .ok()?;
        let c = self.connections.get(key)?;
        if let Err(e) = self.poll.add(c.conn.socket(), key.to_u64(), true, !up) {
            log::warn!("a connection can't be watched: {e}");
            self.connections.remove(key);
            return None;
        }
        Some(key)
    }

    /// Whether there is a place for one more connection besides that of the event bus, which may not be up just
    /// then: without it nobody would hear of drains and purges.
    fn has_place(&self) -> bool {
        let kept = usize::from(self.config.bus.is_some() && self.feed.is_none());
        self.connections.free_slots() > kept
    }

    fn call(&mut self, now: Micros, to: SocketAddr, kind: Kind) -> Option<SlabKey> {
        let socket = connect(to)
            .map_err(|e| log::warn!("no connection to {to}: {e}"))
            .ok()?;
        let conn = BufferedSocket::new(
            socket,
            false,
            self.limits.input_buffer_bytes,
            self.limits.output_buffer_bytes,
        )
        .ok()?;
        let key = self.open(now, conn, kind)?;
        self.timers
            .set(now + self.limits.connect_timeout_us, Timer::Connect(key));
        Some(key)
    }

    fn serve(&mut self, now: Micros, key: SlabKey, ready: Readiness) {
        // A stale event, of a connection that ended earlier in the same round, misses by its generation.
        let Some(c) = self.connections.get_mut(key) else {
            return;
        };
        if ready.write && !c.conn.connected {
            if c.conn.finish_connect().is_err() {
                return self.close(now, key);
            }
            match (&c.kind, self.config.bus, &self.consul) {
                (Kind::Bus(_), Some(bus), _) => {
                    c.conn
                        .output
                        .push(&bus::request(&bus.to_string(), self.last_event));
                }
                (Kind::Consul(_), _, Some((to, consul))) => {
                    c.conn.output.push(&consul.request(&to.to_string()));
                }
                (Kind::Notification(delivery), ..) => {
                    c.conn.output.push(&delivery.request());
                }
                _ => {}
            }
        }
        let mut over = false;
        if ready.read && c.conn.connected {
            let got = c.conn.read(ready.broken);
            let ended = matches!(got, IoProgress::PeerClosed | IoProgress::Broken);
            if let Err(e) = self.read(now, key) {
                // Whoever sends garbage must not fill the log with it.
                let client = self
                    .connections
                    .get(key)
                    .is_some_and(|c| c.kind.is_client());
                log::log!(
                    if client {
                        log::Level::Debug
                    } else {
                        log::Level::Warn
                    },
                    "a connection is ended: {e}"
                );
                over = true;
            }
            if ended {
                return self.close(now, key);
            }
        }
        if over || !self.write(now, key) {
            return self.end(now, key);
        }
        self.note_client(now, key);
        self.bound_half(now, key);
    }

    fn read(&mut self, now: Micros, key: SlabKey) -> Result<(), ProtocolError> {
        let Some(c) = self.connections.get_mut(key) else {
            return Ok(());
        };
        match &mut c.kind {
            Kind::Client(_) => self.read_client(now, key),
            Kind::Cdni(_) => self.read_cdni(now, key),
            Kind::Lingering(passed_over) => {
                *passed_over += c.conn.input.len();
                c.conn.input.clear();
                if *passed_over > self.limits.lingering_close_bytes {
                    return Err(ProtocolError::TooLong("what comes behind the end"));
                }
                Ok(())
            }
            Kind::Notification(delivery) => {
                let front = c.conn.input.readable();
                let taken = front.len();
                let result = delivery.read(front);
                c.conn.input.consume(taken);
                result
            }
            Kind::Consul(call) => {
                let front = c.conn.input.readable();
                let taken = front.len();
                let response = call.read(front)?;
                c.conn.input.consume(taken);
                if response.is_some() {
                    // One query a connection: the next begins anew.
                    self.connections.remove(key);
                    self.consul_told(now, response);
                }
                Ok(())
            }
            Kind::Box(link) => {
                let mut told = Vec::new();
                let result = link.read(now, &mut c.conn, &self.request_table, &mut told);
                let server = link.server;
                if told.iter().any(UpstreamEvent::is_not_final) {
                    // What is remembered of it goes then.
                    self.timers.set(
                        now + self.limits.stream_memory_us + 1,
                        Timer::UpstreamConnection(key),
                    );
                }
                self.tell(now, server, told);
                result
            }
            Kind::Bus(feed) => {
                let mut events = Vec::new();
                let mut result = Ok(());
                while !c.conn.input.is_empty() && result.is_ok() {
                    let front = c.conn.input.readable();
                    let taken = front.len();
                    result = feed
                        .read(now, front, &mut self.last_event)
                        .map(|e| events.extend(e));
                    c.conn.input.consume(taken);
                }
                events.into_iter().for_each(|event| self.heard(now, event));
                result
            }
        }
    }

    /// Writes what is waiting; false where the connection is over.
    fn write(&mut self, now: Micros, key: SlabKey) -> bool {
        let Some(c) = self.connections.get_mut(key) else {
            return true;
        };
        let sound = match &mut c.kind {
            Kind::Client(_) => {
                self.write_client(key);
                self.connections.get(key).is_none_or(|c| match &c.kind {
                    Kind::Client(s) => {
                        let last = s.is_finished()
                            || self.grace_over && s.is_idle() && !s.has_partial_input();
                        !(last && c.conn.output.is_empty())
                    }
                    _ => true,
                })
            }
            Kind::Lingering(_) => true,
            Kind::Box(_) => self.pump(now, key),
            Kind::Cdni(_) => {
                self.write_cdni(key)
                    && self.connections.get(key).is_none_or(|c| match &c.kind {
                        Kind::Cdni(s) => {
                            let last = self.grace_over && s.is_idle() && !s.has_partial_input();
                            !(last && c.conn.output.is_empty())
                        }
                        _ => true,
                    })
            }
            Kind::Notification(delivery) => {
                !delivery.is_done() && c.conn.write() != IoProgress::Broken
            }
            Kind::Bus(_) | Kind::Consul(_) => c.conn.write() != IoProgress::Broken,
        };
        self.watch(key);
        sound
    }

    fn watch(&mut self, key: SlabKey) {
        let Some(c) = self.connections.get_mut(key) else {
            return;
        };
        if let Some((read, write)) = c.conn.take_interest_change() {
            if let Err(e) = self.poll.change(c.conn.socket(), key.to_u64(), read, write) {
                log::warn!("a connection can't be watched: {e}");
            }
        }
    }

    /// Ends a connection from here. A client's lingers: a close over bytes that are not read, or that cross it,
    /// would reset it, and what was written before would be lost on its way.
    fn end(&mut self, now: Micros, key: SlabKey) {
        // What is answered is still owed; a client that takes none of it is not waited for.
        self.write_client(key);
        let Some(c) = self.connections.get_mut(key) else {
            return;
        };
        c.conn.write();
        if !matches!(c.kind, Kind::Client(_) | Kind::Cdni(_)) || c.conn.shut_down_writes().is_err()
        {
            return self.close(now, key);
        }
        c.conn.input.clear();
        c.since = now;
        let kind = std::mem::replace(&mut c.kind, Kind::Lingering(0));
        self.waiting_answers -= std::mem::take(&mut c.waiting);
        self.half_bytes -= std::mem::take(&mut c.half_bytes);
        self.left_by(now, kind);
        self.timers
            .set(now + self.limits.lingering_close_us, Timer::Client(key));
        self.watch(key);
    }

    /// No answer is owed any more for what a client's connection has open.
    fn left_by(&mut self, now: Micros, kind: Kind) {
        let request_keys = match kind {
            Kind::Client(session) => session.request_keys(),
            Kind::Cdni(session) => session.waiting.into_iter().collect(),
            _ => return,
        };
        request_keys
            .into_iter()
            .for_each(|request_key| self.request_table.client_disconnected(now, request_key));
    }

    fn close(&mut self, now: Micros, key: SlabKey) {
        self.read_rest(now, key);
        let Some(c) = self.connections.remove(key) else {
            return;
        };
        match c.kind {
            kind @ (Kind::Client(_) | Kind::Cdni(_) | Kind::Lingering(_)) => {
                self.clients -= 1;
                self.waiting_answers -= c.waiting;
                self.half_bytes -= c.half_bytes;
                self.left_by(now, kind);
            }
            Kind::Box(link) => {
                let server = link.server;
                if let Entry::Occupied(mut links) = self.links.entry(server) {
                    links.get_mut().retain(|k| *k != key);
                    if links.get().is_empty() {
                        links.remove();
                    }
                }
                let mut told = Vec::new();
                link.close(c.conn.connected, c.conn.bytes_written, &mut told);
                self.tell(now, server, told);
            }
            Kind::Notification(delivery) => self.posted(now, delivery),
            Kind::Consul(_) => self.consul_told(now, None),
            Kind::Bus(_) if self.feed == Some(key) => {
                self.feed = None;
                self.wake_bus(now + self.limits.reconnect_delay_us);
            }
            Kind::Bus(_) => {} // The one before the bus has moved.
        }
    }

    /// Carries out what the request_table wants done, and what follows from that.
    fn settle(&mut self, now: Micros) {
        loop {
            let commands = self.request_table.take_commands();
            if commands.is_empty() {
                return;
            }
            for command in commands {
                match command {
                    Command::SendAttempt(attempt) => self.send(now, attempt),
                    Command::CancelAttempt(attempt, server) => self.give_up(now, attempt, server),
                    Command::DequeueAttempt(attempt, server) => self.unqueue(now, attempt, server),
                    Command::Respond(client, answer) => {
                        self.answer(now, client, answer);
                        if !self.write(now, client.connection) {
                            self.end(now, client.connection);
                        }
                        self.note_client(now, client.connection);
                    }
                    Command::SetTimer(at, wake) => {
                        self.timers.set(at, Timer::Request(wake));
                    }
                    Command::Probe(server) => self.probe(now, server),
                    Command::DrainServer(server) => self.withdraw(now, server),
                }
            }
        }
    }
}
