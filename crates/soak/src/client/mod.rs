//! Ordinary clients of one proxy: web servers that keep a few connections, send requests on them,
//! and sometimes leave.

mod connection;

use crate::cache_server::copy_body;
use crate::deployment::{self, class, MAX_RESTART_DEADLINE_MS};
use crate::violation::Rule;
use crate::world::{RequestRecord, SharedWorld};
use connection::{Connection, Ending};
use edge_testkit::fastcgi_client::FastCgiClient;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// Connections that the clients of one proxy keep.
const KEPT_CONNECTIONS: usize = 3;
/// A connection is closed after it has rested so long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// The time between two requests, in the mean.
const MEAN_GAP_MS: f64 = 60.0;
/// After its time is over, a client still takes an answer for so long.
const LATE_ANSWER: Duration = Duration::from_millis(1_500);
/// A request that crosses the end of a resting connection within this is sent again, once.
const CROSSING: Duration = Duration::from_millis(50);
/// How long a connection may take to come up at a proxy that accepts.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Objects that are asked for, and their groups.
const OBJECTS: u64 = 24;
const GROUPS: u64 = 4;

/// What the proxy's process is doing, as far as its clients know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyPhase {
    /// It is not up, or not ready yet: no requests.
    Down,
    /// It serves.
    Up,
    /// It got SIGTERM: connections and requests go on for a while.
    Ending,
    /// A little later: requests go on where a connection is free.
    EndingKept,
    /// It got SIGTERM, and nothing more is sent.
    Quiet,
}

/// The state that the clients of a proxy share with the director.
pub struct ClientControl {
    /// What the process is doing.
    pub phase: Cell<ProxyPhase>,
    /// Most clients leave early.
    pub leaving: Cell<bool>,
    /// The run is over.
    pub stopped: Cell<bool>,
}

impl Default for ClientControl {
    fn default() -> Self {
        ClientControl {
            phase: Cell::new(ProxyPhase::Down),
            leaving: Cell::new(false),
            stopped: Cell::new(false),
        }
    }
}

/// The clients of one proxy.
pub struct Clients {
    proxy: usize,
    address: SocketAddr,
    world: SharedWorld,
    control: Rc<ClientControl>,
    connections: RefCell<Vec<Rc<Connection>>>,
    random: RefCell<fastrand::Rng>,
    next_id: Cell<u64>,
    has_long_deadlines: bool,
}

/// A request that is to be sent.
struct Order {
    id: String,
    class: &'static str,
    object: u64,
    group: u64,
    budget_ms: u64,
    /// The client leaves after so long, by a cancellation or by closing its connection.
    leaves: Option<(Duration, bool)>,
    on_new_connection: bool,
}

impl Clients {
    /// The clients of a proxy. They send nothing before they are told that it is up.
    pub fn new(world: &SharedWorld, proxy: usize, control: Rc<ClientControl>) -> Rc<Self> {
        let (slot, seed, longest_deadline_ms) = {
            let world = world.borrow();
            let plan = &world.plan;
            (world.slot, plan.seed, plan.longest_deadline_ms)
        };
        Rc::new(Clients {
            proxy,
            address: deployment::proxy_address(slot, proxy),
            world: world.clone(),
            control,
            connections: RefCell::default(),
            random: RefCell::new(fastrand::Rng::with_seed(
                seed.wrapping_mul(31).wrapping_add(proxy as u64),
            )),
            next_id: Cell::new(1),
            has_long_deadlines: longest_deadline_ms > MAX_RESTART_DEADLINE_MS,
        })
    }

    /// Sends requests until the run is over.
    pub async fn run(self: Rc<Self>) {
        while !self.control.stopped.get() {
            let gap_ms = -MEAN_GAP_MS * (1.0 - self.random.borrow_mut().f64()).ln();
            sleep(Duration::from_millis(gap_ms as u64)).await;
            let phase = self.control.phase.get();
            if matches!(
                phase,
                ProxyPhase::Up | ProxyPhase::Ending | ProxyPhase::EndingKept
            ) {
                let mut order = self.draw_order();
                if phase == ProxyPhase::EndingKept {
                    order.on_new_connection = false;
                    order.leaves = None;
                }
                let clients = self.clone();
                tokio::task::spawn_local(async move { clients.request(order).await });
            }
            self.close_idle();
        }
    }

    /// The status of the proxy's health check.
    pub async fn health(&self) -> io::Result<u16> {
        let socket = TcpStream::connect(self.address).await?;
        let connection = Connection::start(socket, &self.world, self.proxy);
        let request = FastCgiClient::encode_request(1, "/_health", &[], b"");
        let answer = connection.send(1, &request).await?;
        match timeout(Duration::from_millis(500), answer).await {
            Ok(Ok(Ending::Answered(response))) => Ok(response.status),
            _ => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    fn draw_order(&self) -> Order {
        let mut random = self.random.borrow_mut();
        let number = self.next_id.replace(self.next_id.get() + 1);
        let object = random.u64(1..=OBJECTS);
        let class = match random.u32(0..10) {
            0 => class::KEYED,
            1 => class::ONCE,
            _ => class::READ,
        };
        let leave_chance = if self.control.leaving.get() { 8 } else { 1 };
        let leaves = (random.u32(0..10) < leave_chance)
            .then(|| (Duration::from_millis(random.u64(0..150)), random.bool()));
        let budget_ms = match random.u32(0..10) {
            0 => random.u64(20..150),
            1..=3 => random.u64(300..800),
            4..=5 if self.has_long_deadlines && class == class::READ => random.u64(3_000..4_800),
            _ if self.has_long_deadlines && class == class::KEYED => random.u64(3_000..4_800),
            _ => random.u64(800..1_500),
        };
        let on_new_connection =
            random.u32(0..5) == 0 || leaves.is_some_and(|(_, by_closing)| by_closing);
        Order {
            id: format!("{:08x}{number:08x}", self.proxy + 1),
            class,
            object,
            group: object % GROUPS,
            budget_ms,
            leaves,
            on_new_connection,
        }
    }

    async fn request(self: Rc<Self>, order: Order) {
        for attempt in 0..2 {
            let Ok(connection) = self
                .connection(order.on_new_connection || attempt > 0)
                .await
            else {
                return;
            };
            if self.control.phase.get() == ProxyPhase::Quiet {
                return;
            }
            let (stream, bytes) = connection.encode(&order);
            let was_resting = connection.answered.get() > 0;
            self.record(&order);
            let sent = connection.send(stream, &bytes).await;
            let sent_at = Instant::now();
            let Ok(answer) = sent else {
                self.world.borrow_mut().requests.remove(&order.id);
                continue;
            };
            {
                // Its time counts from its last byte, which may have had to wait for others.
                let mut world = self.world.borrow_mut();
                let now_ms = world.now_ms();
                if let Some(request) = world.requests.get_mut(&order.id) {
                    request.sent_ms = now_ms;
                }
            }
            let ending = self.wait(&order, &connection, stream, answer).await;
            let crossed = was_resting && sent_at.elapsed() < CROSSING;
            match ending {
                // After a kill nobody can tell whether it ran.
                Some(Ending::Closed)
                    if crossed && attempt == 0 && self.control.phase.get() != ProxyPhase::Down =>
                {
                    self.world.borrow_mut().requests.remove(&order.id);
                }
                ending => return self.settle(&order, ending),
            }
        }
    }

    /// A kept connection that has room, or a new one.
    async fn connection(&self, new: bool) -> io::Result<Rc<Connection>> {
        self.connections
            .borrow_mut()
            .retain(|connection| !connection.closed.get());
        let kept = {
            let connections = self.connections.borrow();
            let free = connections
                .iter()
                .filter(|connection| connection.open.borrow().len() < 4);
            free.min_by_key(|connection| connection.open.borrow().len())
                .cloned()
        };
        if let Some(connection) = kept.filter(|_| !new) {
            return Ok(connection);
        }
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let connection = Connection::start(connect.await??, &self.world, self.proxy);
        if !new && self.connections.borrow().len() < KEPT_CONNECTIONS {
            self.connections.borrow_mut().push(connection.clone());
        }
        Ok(connection)
    }

    fn record(&self, order: &Order) {
        let mut world = self.world.borrow_mut();
        let record = RequestRecord {
            proxy: self.proxy,
            class: order.class,
            object: order.object,
            group: order.group,
            sent_ms: world.now_ms(),
            budget_ms: order.budget_ms,
            left_ms: None,
            answer: None,
            copy_made_unix_ms: None,
            closed_ms: None,
            gave_up: false,
        };
        world.requests.insert(order.id.clone(), record);
    }

    /// Waits for the answer, or leaves. None: the client has left, or waits no longer.
    async fn wait(
        &self,
        order: &Order,
        connection: &Connection,
        stream: u16,
        answer: oneshot::Receiver<Ending>,
    ) -> Option<Ending> {
        let patience = Duration::from_millis(order.budget_ms) + LATE_ANSWER;
        let (leave_after, by_closing) = order.leaves.unwrap_or((patience, false));
        match timeout(leave_after.min(patience), answer).await {
            Ok(ending) => return Some(ending.unwrap_or(Ending::Closed)),
            Err(_) if order.leaves.is_none() => return None,
            Err(_) => {}
        }
        if by_closing {
            connection.close().await;
        } else {
            let junk_records = order.object as usize % 3 * 20;
            connection.abort(stream, junk_records).await;
        }
        let mut world = self.world.borrow_mut();
        let now_ms = world.now_ms();
        if let Some(request) = world.requests.get_mut(&order.id) {
            request.left_ms = Some(now_ms);
        }
        None
    }

    fn settle(&self, order: &Order, ending: Option<Ending>) {
        let mut world = self.world.borrow_mut();
        let now_ms = world.now_ms();
        let Some(request) = world.requests.get_mut(&order.id) else {
            return;
        };
        match ending {
            Some(Ending::Answered(response)) => {
                request.answer = Some((response.status, now_ms));
                if response.status != 200 {
                    return;
                }
                match made_by_a_server(order.object, &response.body) {
                    Some(made_unix_ms) => request.copy_made_unix_ms = Some(made_unix_ms),
                    None => {
                        let detail = format!("{}: {} bytes", order.id, response.body.len());
                        world.report(Rule::TrueAnswer, Some(self.proxy), detail);
                    }
                }
            }
            Some(Ending::Closed) => request.closed_ms = Some(now_ms),
            None => request.gave_up = request.left_ms.is_none(),
        }
    }

    fn close_idle(&self) {
        let is_idle = |connection: &Rc<Connection>| {
            connection.open.borrow().is_empty()
                && connection.last_used.get().elapsed() > IDLE_TIMEOUT
        };
        self.connections
            .borrow_mut()
            .retain(|connection| !is_idle(connection));
    }
}

/// When the copy in an answer was made, if a cache server made it for this object.
fn made_by_a_server(object: u64, body: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?;
    let (_, rest) = text.split_once('@')?;
    let made_unix_ms = rest.trim_end_matches('.').parse().ok()?;
    (copy_body(object, made_unix_ms) == text).then_some(made_unix_ms)
}
