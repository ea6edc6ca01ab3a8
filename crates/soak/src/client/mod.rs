//! The clients of one proxy that follow the protocol. Like web servers, they keep a few connections
//! open, send requests on them, and sometimes cancel requests.

mod connection;

use crate::cache_server::copy_body;
use crate::deployment::{self, class, MAX_RESTART_DEADLINE_MS};
use crate::violation::Rule;
use crate::world::{RequestRecord, SharedRunState};
use connection::{Connection, RequestOutcome};
use edge_testkit::fastcgi_client::FastCgiClient;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// The maximum number of connections that the clients of one proxy keep open.
const MAX_PERSISTENT_CONNECTIONS: usize = 3;
/// How long a connection may be idle before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// The mean time between two requests.
const MEAN_REQUEST_INTERVAL_MS: f64 = 60.0;
/// How long a client still accepts an answer after its budget is used up.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(1_500);
/// A request whose used connection ends within this time may have been sent just as the proxy
/// closed the idle connection. It is sent again, once.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(50);
/// How long connecting to a proxy that accepts connections may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The number of distinct objects that are requested.
const OBJECT_COUNT: u64 = 24;
/// The number of purge groups that the objects belong to.
const PURGE_GROUP_COUNT: u64 = 4;

/// The phase of the proxy's process, as far as its clients know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyPhase {
    /// The process is not running or not ready yet. Clients send no requests.
    Down,
    /// The process serves requests.
    Serving,
    /// The process got SIGTERM. Clients still open connections and send requests for a while.
    ShuttingDown,
    /// The process got SIGTERM a while ago. Clients send requests only on connections that are
    /// open.
    OpenConnectionsOnly,
    /// The process got SIGTERM, and clients send nothing more.
    NoNewRequests,
}

/// The state that the clients of a proxy share with the `director` module.
pub struct ClientControl {
    /// The phase of the proxy's process.
    pub phase: Cell<ProxyPhase>,
    /// Whether most requests are cancelled before the answer.
    pub cancels_most_requests: Cell<bool>,
    /// Whether the run is over.
    pub run_is_over: Cell<bool>,
}

impl Default for ClientControl {
    fn default() -> Self {
        ClientControl {
            phase: Cell::new(ProxyPhase::Down),
            cancels_most_requests: Cell::new(false),
            run_is_over: Cell::new(false),
        }
    }
}

/// The clients of one proxy.
pub struct Clients {
    proxy: usize,
    address: SocketAddr,
    run_state: SharedRunState,
    control: Rc<ClientControl>,
    connections: RefCell<Vec<Rc<Connection>>>,
    random: RefCell<fastrand::Rng>,
    next_id: Cell<u64>,
    has_long_deadlines: bool,
}

/// A request that has been drawn but not sent.
struct PlannedRequest {
    id: String,
    class: &'static str,
    object: u64,
    purge_group: u64,
    budget_ms: u64,
    /// After which time the client cancels the request, and whether it does so by closing the
    /// connection instead of an abort record. `None` if it waits for the answer.
    cancel_after: Option<(Duration, bool)>,
    on_new_connection: bool,
}

impl Clients {
    /// Creates the clients of a proxy. They send no requests before `control` shows that the proxy
    /// is serving.
    pub fn new(run_state: &SharedRunState, proxy: usize, control: Rc<ClientControl>) -> Rc<Self> {
        let (slot, seed, longest_deadline_ms) = {
            let run_state = run_state.borrow();
            let plan = &run_state.plan;
            (run_state.slot, plan.seed, plan.longest_deadline_ms)
        };
        Rc::new(Clients {
            proxy,
            address: deployment::proxy_address(slot, proxy),
            run_state: run_state.clone(),
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
        while !self.control.run_is_over.get() {
            let interval_ms =
                -MEAN_REQUEST_INTERVAL_MS * (1.0 - self.random.borrow_mut().f64()).ln();
            sleep(Duration::from_millis(interval_ms as u64)).await;
            let phase = self.control.phase.get();
            if matches!(
                phase,
                ProxyPhase::Serving | ProxyPhase::ShuttingDown | ProxyPhase::OpenConnectionsOnly
            ) {
                let mut planned_request = self.draw_request();
                if phase == ProxyPhase::OpenConnectionsOnly {
                    planned_request.on_new_connection = false;
                    planned_request.cancel_after = None;
                }
                let clients = self.clone();
                tokio::task::spawn_local(
                    async move { clients.send_request(planned_request).await },
                );
            }
            self.close_idle_connections();
        }
    }

    /// Returns the status of the proxy's health check, or an error if there is no answer within 500
    /// ms.
    pub async fn health(&self) -> io::Result<u16> {
        let socket = TcpStream::connect(self.address).await?;
        let connection = Connection::start(socket, &self.run_state, self.proxy);
        let request = FastCgiClient::encode_request(1, "/_health", &[], b"");
        let answer = connection.send(1, &request).await?;
        match timeout(Duration::from_millis(500), answer).await {
            Ok(Ok(RequestOutcome::Answered(answer))) => Ok(answer.status),
            _ => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    fn draw_request(&self) -> PlannedRequest {
        let mut random = self.random.borrow_mut();
        let number = self.next_id.replace(self.next_id.get() + 1);
        let object = random.u64(1..=OBJECT_COUNT);
        let class = match random.u32(0..10) {
            0 => class::WITH_IDEMPOTENCY_KEY,
            1 => class::NON_IDEMPOTENT,
            _ => class::READ,
        };
        let cancel_chance_in_ten = if self.control.cancels_most_requests.get() {
            8
        } else {
            1
        };
        let cancel_after = (random.u32(0..10) < cancel_chance_in_ten)
            .then(|| (Duration::from_millis(random.u64(0..150)), random.bool()));
        let budget_ms = match random.u32(0..10) {
            0 => random.u64(20..150),
            1..=3 => random.u64(300..800),
            4..=5 if self.has_long_deadlines && class == class::READ => random.u64(3_000..4_800),
            _ if self.has_long_deadlines && class == class::WITH_IDEMPOTENCY_KEY => {
                random.u64(3_000..4_800)
            }
            _ => random.u64(800..1_500),
        };
        let on_new_connection =
            random.u32(0..5) == 0 || cancel_after.is_some_and(|(_, by_closing)| by_closing);
        PlannedRequest {
            id: format!("{:08x}{number:08x}", self.proxy + 1),
            class,
            object,
            purge_group: object % PURGE_GROUP_COUNT,
            budget_ms,
            cancel_after,
            on_new_connection,
        }
    }

    async fn send_request(self: Rc<Self>, planned_request: PlannedRequest) {
        for attempt in 0..2 {
            let Ok(connection) = self
                .pick_connection(planned_request.on_new_connection || attempt > 0)
                .await
            else {
                return;
            };
            if self.control.phase.get() == ProxyPhase::NoNewRequests {
                return;
            }
            let (stream, bytes) = connection.encode(&planned_request);
            let was_used_before = connection.answered_count.get() > 0;
            self.record_sent_request(&planned_request);
            let sent = connection.send(stream, &bytes).await;
            let sent_at = Instant::now();
            let Ok(answer) = sent else {
                self.run_state
                    .borrow_mut()
                    .requests
                    .remove(&planned_request.id);
                continue;
            };
            {
                // The client's time counts from the last byte of the request. Writing it may have
                // had to wait for other requests.
                let mut run_state = self.run_state.borrow_mut();
                let now_ms = run_state.now_ms();
                if let Some(request) = run_state.requests.get_mut(&planned_request.id) {
                    request.sent_ms = now_ms;
                }
            }
            let outcome = self
                .wait_for_outcome(&planned_request, &connection, stream, answer)
                .await;
            let may_have_raced_close = was_used_before && sent_at.elapsed() < CLOSE_RACE_WINDOW;
            match outcome {
                // After a kill it is unknown whether the request was executed, so it is not sent
                // again.
                Some(RequestOutcome::ConnectionClosed)
                    if may_have_raced_close
                        && attempt == 0
                        && self.control.phase.get() != ProxyPhase::Down =>
                {
                    self.run_state
                        .borrow_mut()
                        .requests
                        .remove(&planned_request.id);
                }
                outcome => return self.record_outcome(&planned_request, outcome),
            }
        }
    }

    /// Returns an open connection with fewer than 4 requests, or a new connection. Returns an error
    /// if connecting fails or takes longer than [`CONNECT_TIMEOUT`].
    async fn pick_connection(&self, is_new_required: bool) -> io::Result<Rc<Connection>> {
        self.connections
            .borrow_mut()
            .retain(|connection| !connection.closed.get());
        let least_loaded = {
            let connections = self.connections.borrow();
            let free = connections
                .iter()
                .filter(|connection| connection.pending_requests.borrow().len() < 4);
            free.min_by_key(|connection| connection.pending_requests.borrow().len())
                .cloned()
        };
        if let Some(connection) = least_loaded.filter(|_| !is_new_required) {
            return Ok(connection);
        }
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let connection = Connection::start(connect.await??, &self.run_state, self.proxy);
        if !is_new_required && self.connections.borrow().len() < MAX_PERSISTENT_CONNECTIONS {
            self.connections.borrow_mut().push(connection.clone());
        }
        Ok(connection)
    }

    fn record_sent_request(&self, planned_request: &PlannedRequest) {
        let mut run_state = self.run_state.borrow_mut();
        let record = RequestRecord {
            proxy: self.proxy,
            class: planned_request.class,
            object: planned_request.object,
            purge_group: planned_request.purge_group,
            sent_ms: run_state.now_ms(),
            budget_ms: planned_request.budget_ms,
            cancelled_ms: None,
            answer: None,
            copy_created_unix_ms: None,
            connection_closed_ms: None,
            timed_out: false,
        };
        run_state
            .requests
            .insert(planned_request.id.clone(), record);
    }

    /// Waits for the answer or cancels the request. Returns `None` if the client cancelled or
    /// stopped waiting.
    async fn wait_for_outcome(
        &self,
        planned_request: &PlannedRequest,
        connection: &Connection,
        stream: u16,
        answer: oneshot::Receiver<RequestOutcome>,
    ) -> Option<RequestOutcome> {
        let answer_timeout = Duration::from_millis(planned_request.budget_ms) + LATE_ANSWER_WAIT;
        let (cancel_delay, by_closing) = planned_request
            .cancel_after
            .unwrap_or((answer_timeout, false));
        match timeout(cancel_delay.min(answer_timeout), answer).await {
            Ok(outcome) => return Some(outcome.unwrap_or(RequestOutcome::ConnectionClosed)),
            Err(_) if planned_request.cancel_after.is_none() => return None,
            Err(_) => {}
        }
        if by_closing {
            connection.close().await;
        } else {
            let preceding_records = planned_request.object as usize % 3 * 20;
            connection.abort(stream, preceding_records).await;
        }
        let mut run_state = self.run_state.borrow_mut();
        let now_ms = run_state.now_ms();
        if let Some(request) = run_state.requests.get_mut(&planned_request.id) {
            request.cancelled_ms = Some(now_ms);
        }
        None
    }

    fn record_outcome(&self, planned_request: &PlannedRequest, outcome: Option<RequestOutcome>) {
        let mut run_state = self.run_state.borrow_mut();
        let now_ms = run_state.now_ms();
        let Some(request) = run_state.requests.get_mut(&planned_request.id) else {
            return;
        };
        match outcome {
            Some(RequestOutcome::Answered(answer)) => {
                request.answer = Some((answer.status, now_ms));
                if answer.status != 200 {
                    return;
                }
                match copy_creation_unix_ms(planned_request.object, &answer.body) {
                    Some(created_unix_ms) => request.copy_created_unix_ms = Some(created_unix_ms),
                    None => {
                        let detail = format!(
                            "request {}: the body of the answer ({} bytes) is \
                             not a copy of the requested object",
                            planned_request.id,
                            answer.body.len()
                        );
                        run_state.report(Rule::TrueAnswer, Some(self.proxy), detail);
                    }
                }
            }
            Some(RequestOutcome::ConnectionClosed) => request.connection_closed_ms = Some(now_ms),
            None => request.timed_out = request.cancelled_ms.is_none(),
        }
    }

    fn close_idle_connections(&self) {
        let is_idle = |connection: &Rc<Connection>| {
            connection.pending_requests.borrow().is_empty()
                && connection.last_used.get().elapsed() > IDLE_TIMEOUT
        };
        self.connections
            .borrow_mut()
            .retain(|connection| !is_idle(connection));
    }
}

/// Returns when the copy in an answer was created, in Unix milliseconds, or `None` if the body is
/// not one that a cache server created for this object.
fn copy_creation_unix_ms(object: u64, body: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?;
    let (_, rest) = text.split_once('@')?;
    let created_unix_ms = rest.trim_end_matches('.').parse().ok()?;
    (copy_body(object, created_unix_ms) == text).then_some(created_unix_ms)
}
