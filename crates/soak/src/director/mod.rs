//! Executes the plan of a run: starts the proxies and the services that they connect to, applies
//! each fault at its time, and shuts the proxies down.

use crate::bad_client;
use crate::cache_server::{Behavior, CacheServer};
use crate::client::{ClientControl, Clients, ProxyPhase};
use crate::deployment;
use crate::event_bus::{BusMode, BusModeSender, EventBus};
use crate::link::{Link, LinkMode};
use crate::plan::{FaultKind, Plan, PlannedFault};
use crate::proxy_process::ProxyProcess;
use crate::violation::Rule;
use crate::world::{object_key, InterconnectPurge, RunState, SharedRunState};
use edge_proxy::sys::fault::Effect;
use edge_proxy::sys::SystemCall;
use edge_testkit::sample_deployment::purge_trigger;
use rustix::process::Signal;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{watch, Mutex};
use tokio::time::{sleep, timeout};

/// How long a process may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum number of times that a process that exits before it is ready is started again.
const MAX_RESTARTS_BEFORE_READY: u32 = 10;
/// The delay before a process that exited before it was ready is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// How long clients go on opening connections after SIGTERM.
const NEW_CONNECTIONS_PERIOD: Duration = Duration::from_millis(300);
/// How long clients go on sending requests on open connections after [`NEW_CONNECTIONS_PERIOD`].
const OPEN_CONNECTIONS_ONLY_PERIOD: Duration = Duration::from_millis(200);
/// The interval between two purges on the event bus.
const BUS_PURGE_INTERVAL: Duration = Duration::from_millis(350);
/// The interval between two purges that are sent through interconnects.
const INTERCONNECT_PURGE_INTERVAL: Duration = Duration::from_millis(120);
/// The interval at which the run checks whether its processes are running and whether this test
/// program was scheduled in time.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);
/// A check that is late by more than this means that this test program was not scheduled in time.
const STALL_THRESHOLD: Duration = Duration::from_millis(80);
/// The time between the reset of a server's connections and its draining.
const DRAIN_DELAY_AFTER_RESET: Duration = Duration::from_millis(250);
/// How long a proxy may take to accept a purge through its interconnect.
const PURGE_TRIGGER_TIMEOUT: Duration = Duration::from_secs(2);

/// A proxy with its process, clients and event bus.
struct Proxy {
    index: usize,
    process: Mutex<ProxyProcess>,
    control: Rc<ClientControl>,
    clients: Rc<Clients>,
    bus: EventBus,
    /// When the proxy last started or got a new bus address, in milliseconds since the start of the
    /// run.
    subscribed_since_ms: RefCell<u64>,
}

/// The proxies of a run and the simulated services that they connect to.
#[derive(Clone)]
struct Cluster {
    run_state: SharedRunState,
    proxies: Rc<Vec<Rc<Proxy>>>,
    /// The links by address index: 0 for the origin, then the cache servers.
    links: Rc<Vec<Link>>,
    /// The servers by address index.
    servers: Rc<Vec<CacheServer>>,
    bus_mode: BusModeSender,
}

/// Runs a plan and returns the final state of the run. The run uses the addresses of `slot`, so
/// that runs in different slots can take place in parallel. The files of the run are written to
/// `folder`. Returns an error if an address can't be bound or a process can't be started.
pub async fn run_plan(plan: Plan, slot: u8, folder: &Path) -> io::Result<RunState> {
    let cluster = Cluster::start(plan, slot, folder).await?;
    cluster.start_proxies().await?;
    let plan = cluster.run_state.borrow().plan.clone();
    for fault in plan.faults {
        let cluster = cluster.clone();
        tokio::task::spawn_local(async move { cluster.apply(fault).await });
    }
    tokio::task::spawn_local(cluster.clone().publish_purges());
    tokio::task::spawn_local(cluster.clone().send_interconnect_purges());
    let watch_task = tokio::task::spawn_local(cluster.clone().watch());
    sleep_until(&cluster.run_state, plan.duration_ms).await;
    cluster.check_discovery();
    watch_task.abort();
    cluster.shut_down_proxies().await;
    Ok(take_run_state(&cluster.run_state))
}

/// Takes the state out of its shared cell. Tasks that are still running see an empty state from
/// then on.
fn take_run_state(run_state: &SharedRunState) -> RunState {
    let empty = RunState::new(Plan::from_seed(0), 0);
    run_state.replace(empty)
}

async fn sleep_until(run_state: &SharedRunState, at_ms: u64) {
    let now_ms = run_state.borrow().now_ms();
    sleep(Duration::from_millis(at_ms.saturating_sub(now_ms))).await;
}

impl Cluster {
    async fn start(plan: Plan, slot: u8, folder: &Path) -> io::Result<Self> {
        // The origin has an address too.
        let (proxies, address_count) = (plan.proxy_count, plan.cache_count + 1);
        let run_state: SharedRunState = Rc::new(RefCell::new(RunState::new(plan, slot)));
        let bus_mode: BusModeSender = Rc::new(watch::Sender::new(BusMode::Working));
        let (mut links, mut servers) = (Vec::new(), Vec::new());
        for address_index in 0..address_count {
            servers.push(CacheServer::start(&run_state, address_index).await?);
            let address = deployment::link_address(slot, address_index);
            links
                .push(Link::start(address, deployment::server_address(slot, address_index)).await?);
        }
        let mut cluster_proxies = Vec::new();
        for index in 0..proxies {
            let control: Rc<ClientControl> = Rc::default();
            cluster_proxies.push(Rc::new(Proxy {
                index,
                process: Mutex::new(ProxyProcess::new(&run_state, index, folder)),
                clients: Clients::new(&run_state, index, control.clone()),
                control,
                bus: EventBus::start(&run_state, index, bus_mode.clone()).await?,
                subscribed_since_ms: RefCell::new(0),
            }));
        }
        Ok(Cluster {
            run_state,
            proxies: Rc::new(cluster_proxies),
            links: Rc::new(links),
            servers: Rc::new(servers),
            bus_mode,
        })
    }

    async fn start_proxies(&self) -> io::Result<()> {
        for proxy in self.proxies.iter() {
            // The event bus starts on its first address.
            proxy.process.lock().await.start(false)?;
        }
        for proxy in self.proxies.iter() {
            let mut process = proxy.process.lock().await;
            self.wait_until_ready(proxy, &mut process).await;
            tokio::task::spawn_local(proxy.clients.clone().run());
        }
        Ok(())
    }

    /// Waits until a proxy is ready and lets its clients send requests. A process that exits before
    /// it is ready is started again, up to [`MAX_RESTARTS_BEFORE_READY`] times. Reports a violation
    /// if the proxy is not ready within [`READY_TIMEOUT`].
    async fn wait_until_ready(&self, proxy: &Proxy, process: &mut ProxyProcess) {
        let started_at = Instant::now();
        let mut restarts_left = MAX_RESTARTS_BEFORE_READY;
        while started_at.elapsed() < READY_TIMEOUT {
            if matches!(proxy.clients.health().await, Ok(200)) {
                return proxy.control.phase.set(ProxyPhase::Serving);
            }
            sleep(WATCH_INTERVAL).await;
            if !process.check_running(self.is_abort_planned(proxy.index)) && restarts_left > 0 {
                restarts_left -= 1;
                sleep(RESTART_DELAY).await;
                // A process that can't be started never becomes ready, which is reported below.
                let _ = process.start(proxy.bus.is_second_in_use());
            }
        }
        let detail = format!(
            "the proxy did not become ready within {} s",
            READY_TIMEOUT.as_secs()
        );
        let mut run_state = self.run_state.borrow_mut();
        run_state.report(Rule::Start, Some(proxy.index), detail);
    }

    async fn apply(self, fault: PlannedFault) {
        sleep_until(&self.run_state, fault.from_ms).await;
        let until_fault_ends = || sleep_until(&self.run_state, fault.until_ms);
        match fault.kind {
            FaultKind::Restart { proxy } => self.restart(proxy).await,
            FaultKind::Kill { proxy } => self.kill(proxy).await,
            FaultKind::Reload {
                proxy,
                truncated_for_ms,
            } => self.reload(proxy, truncated_for_ms).await,
            // The fault injector of the process applies these faults.
            FaultKind::SystemCallFault { .. } | FaultKind::ClockStep { .. } => {}
            FaultKind::CacheHang { cache } => {
                self.apply_server_behavior(cache, Behavior::Hangs, &fault)
                    .await;
            }
            FaultKind::AllServersHang => {
                for server in self.servers.iter() {
                    server.set_behavior(Behavior::Hangs);
                }
                until_fault_ends().await;
                for server in self.servers.iter() {
                    server.set_behavior(Behavior::Normal);
                }
            }
            FaultKind::CacheOverloaded { cache } => {
                self.apply_server_behavior(cache, Behavior::Overloaded, &fault)
                    .await;
            }
            FaultKind::CacheMalformedAnswers { cache } => {
                self.apply_server_behavior(cache, Behavior::MalformedAnswers, &fault)
                    .await;
            }
            FaultKind::CacheReplaced { cache } => self.replace_cache(cache, &fault).await,
            FaultKind::CacheCrash { cache } => self.crash_cache(cache, &fault).await,
            FaultKind::LinkResets { cache } => {
                while self.run_state.borrow().now_ms() < fault.until_ms {
                    self.links[cache + 1].reset_connections();
                    sleep(Duration::from_millis(120)).await;
                }
            }
            FaultKind::LinkStalled { cache } => {
                self.links[cache + 1].set_mode(LinkMode::Stalled);
                until_fault_ends().await;
                self.links[cache + 1].set_mode(LinkMode::Open);
            }
            FaultKind::LinkFragmented { cache } => {
                self.links[cache + 1].set_mode(LinkMode::Fragmented);
                until_fault_ends().await;
                self.links[cache + 1].set_mode(LinkMode::Open);
            }
            FaultKind::BusDown => self.apply_bus_mode(BusMode::Down, &fault).await,
            FaultKind::BusSilent => self.apply_bus_mode(BusMode::Silent, &fault).await,
            FaultKind::BusSlow { first_byte_ms } => {
                let slow = BusMode::SlowFirstByte(first_byte_ms);
                self.apply_bus_mode(slow, &fault).await;
            }
            FaultKind::MisbehavingClients { proxy } => {
                let (run_state, slot) = (self.run_state.clone(), self.run_state.borrow().slot);
                let seed = self.run_state.borrow().plan.seed ^ fault.from_ms;
                let address = deployment::proxy_address(slot, proxy);
                let is_active = move || run_state.borrow().now_ms() < fault.until_ms;
                bad_client::run_clients(address, fastrand::Rng::with_seed(seed), is_active).await;
            }
            FaultKind::ClientsCancel { proxy } => {
                self.proxies[proxy].control.cancels_most_requests.set(true);
                until_fault_ends().await;
                self.proxies[proxy].control.cancels_most_requests.set(false);
            }
        }
    }

    async fn apply_server_behavior(&self, cache: usize, behavior: Behavior, fault: &PlannedFault) {
        self.servers[cache + 1].set_behavior(behavior);
        sleep_until(&self.run_state, fault.until_ms).await;
        self.servers[cache + 1].set_behavior(Behavior::Normal);
    }

    async fn apply_bus_mode(&self, mode: BusMode, fault: &PlannedFault) {
        self.bus_mode.send_replace(mode);
        sleep_until(&self.run_state, fault.until_ms).await;
        self.bus_mode.send_replace(BusMode::Working);
    }

    /// Replaces a cache server: its connections are reset, it drains, leaves the endpoint list, and
    /// a new server with another id takes over its address.
    async fn replace_cache(&self, cache: usize, fault: &PlannedFault) {
        let address_index = cache + 1;
        self.links[address_index].reset_connections();
        sleep(DRAIN_DELAY_AFTER_RESET).await;
        let old = {
            let mut run_state = self.run_state.borrow_mut();
            let old = run_state.server_at_address(address_index);
            let now_ms = run_state.now_ms();
            run_state.servers[old].state = "draining";
            run_state.servers[old].drained = Some((now_ms, run_state.events.len() + 1));
            run_state.publish_endpoint_entries(&[old]);
            old
        };
        sleep_until(&self.run_state, fault.until_ms).await;
        let mut run_state = self.run_state.borrow_mut();
        run_state.servers[old].state = "gone";
        let now_ms = run_state.now_ms();
        let event_number = run_state.events.len() + 1;
        let new = run_state.add_server(address_index, Some((now_ms, event_number)));
        self.servers[address_index].restart();
        run_state.publish_endpoint_entries(&[old, new]);
    }

    /// Crashes the process of a cache server and starts it again with the same id and an empty
    /// cache.
    async fn crash_cache(&self, cache: usize, fault: &PlannedFault) {
        let address_index = cache + 1;
        self.links[address_index].set_mode(LinkMode::Refusing);
        self.links[address_index].reset_connections();
        sleep_until(&self.run_state, fault.until_ms).await;
        self.links[address_index].set_mode(LinkMode::Open);
        self.servers[address_index].restart();
        let mut run_state = self.run_state.borrow_mut();
        let server = run_state.server_at_address(address_index);
        if run_state.servers[server].state == "ready" {
            let now_ms = run_state.now_ms();
            let event_number = run_state.events.len() + 1;
            run_state.servers[server].started = Some((now_ms, event_number));
            run_state.publish_endpoint_entries(&[server]);
        }
    }

    async fn restart(&self, proxy: usize) {
        let proxy = self.proxies[proxy].clone();
        let mut process = proxy.process.lock().await;
        proxy
            .shut_down_process(&mut process, self.is_abort_planned(proxy.index))
            .await;
        self.start_next_process(&proxy, &mut process).await;
    }

    async fn kill(&self, proxy: usize) {
        let proxy = self.proxies[proxy].clone();
        let mut process = proxy.process.lock().await;
        proxy.control.phase.set(ProxyPhase::Down);
        process.kill().await;
        self.start_next_process(&proxy, &mut process).await;
    }

    /// Starts a process for a proxy whose previous process has ended, unless the run is over.
    async fn start_next_process(&self, proxy: &Proxy, process: &mut ProxyProcess) {
        if proxy.control.run_is_over.get() {
            return;
        }
        if let Err(error) = process.start(proxy.bus.is_second_in_use()) {
            let mut run_state = self.run_state.borrow_mut();
            run_state.report(
                Rule::Start,
                Some(proxy.index),
                format!("the process could not be started: {error}"),
            );
            return;
        }
        self.wait_until_ready(proxy, process).await;
        self.record_subscription_start(proxy);
    }

    fn record_subscription_start(&self, proxy: &Proxy) {
        *proxy.subscribed_since_ms.borrow_mut() = self.run_state.borrow().now_ms();
    }

    /// Moves the event bus of a proxy to its other address and sends the proxy SIGHUP. The
    /// configuration file may be truncated at that moment.
    async fn reload(&self, proxy: usize, truncated_for_ms: Option<u64>) {
        let proxy = self.proxies[proxy].clone();
        let process = proxy.process.lock().await;
        if proxy.control.phase.get() != ProxyPhase::Serving {
            return;
        }
        let uses_second_bus = proxy.bus.switch_address();
        let text = process.config(uses_second_bus).to_string();
        let path = process.config_path();
        let written_bytes = truncated_for_ms.map_or(text.len(), |_| text.len() / 2);
        // Errors are ignored because none is expected: only this run uses the file, and `start` has
        // written it before.
        let _ = std::fs::write(&path, &text[..written_bytes]);
        process.signal(Signal::HUP);
        if let Some(truncated_for_ms) = truncated_for_ms {
            sleep(Duration::from_millis(truncated_for_ms)).await;
            let _ = std::fs::write(&path, &text);
        }
        self.record_subscription_start(&proxy);
    }

    async fn publish_purges(self) {
        let seed = self.run_state.borrow().plan.seed;
        let mut random = fastrand::Rng::with_seed(seed.wrapping_mul(7));
        loop {
            sleep(BUS_PURGE_INTERVAL).await;
            // On average, one of six purges is of a whole purge group.
            let object = (random.u32(0..6) > 0).then(|| random.u64(1..=24));
            let purge_group = random.u64(0..4);
            self.run_state
                .borrow_mut()
                .publish_purge(object, purge_group);
        }
    }

    async fn send_interconnect_purges(self) {
        let seed = self.run_state.borrow().plan.seed;
        let mut random = fastrand::Rng::with_seed(seed.wrapping_mul(11));
        loop {
            sleep(INTERCONNECT_PURGE_INTERVAL).await;
            let object = random.u64(1..=24);
            // A proxy with disk faults is sent at least half of the purges on average.
            let proxy = match self.proxy_with_disk_faults() {
                Some(proxy) if random.bool() => proxy,
                _ => random.usize(..self.proxies.len()),
            };
            let (slot, sent_unix_ms) = {
                let run_state = self.run_state.borrow();
                (run_state.slot, run_state.now_unix_ms())
            };
            let address = deployment::interconnect_address(slot, proxy);
            let status = timeout(PURGE_TRIGGER_TIMEOUT, post_purge_trigger(address, object)).await;
            if matches!(status, Ok(Ok(201))) {
                let mut run_state = self.run_state.borrow_mut();
                let acknowledged_ms = run_state.now_ms();
                run_state.interconnect_purges.push(InterconnectPurge {
                    proxy,
                    object,
                    sent_unix_ms,
                    acknowledged_ms,
                });
            }
        }
    }

    /// Returns the index of the first proxy for which the plan injects faults into the writing or
    /// syncing of files, or None if there is no such proxy.
    fn proxy_with_disk_faults(&self) -> Option<usize> {
        let run_state = self.run_state.borrow();
        let mut faults = run_state.plan.faults.iter();
        faults.find_map(|fault| match fault.kind {
            FaultKind::SystemCallFault {
                proxy,
                call: SystemCall::FileWrite | SystemCall::FileSync,
                ..
            } => Some(proxy),
            _ => None,
        })
    }

    /// Restarts processes that have exited by themselves, and records when this test program was
    /// not scheduled in time.
    async fn watch(self) {
        loop {
            let sleep_started_at = Instant::now();
            sleep(WATCH_INTERVAL).await;
            if sleep_started_at.elapsed() > WATCH_INTERVAL + STALL_THRESHOLD {
                let mut run_state = self.run_state.borrow_mut();
                let now_ms = run_state.now_ms();
                run_state.harness_stalls_ms.push(now_ms);
                run_state.counts.harness_stalls += 1;
            }
            for proxy in self.proxies.iter() {
                let Ok(mut process) = proxy.process.try_lock() else {
                    continue;
                };
                if process.check_running(self.is_abort_planned(proxy.index)) {
                    continue;
                }
                proxy.control.phase.set(ProxyPhase::Down);
                drop(process);
                let (cluster, proxy) = (self.clone(), proxy.clone());
                tokio::task::spawn_local(async move {
                    let mut process = proxy.process.lock().await;
                    cluster.start_next_process(&proxy, &mut process).await;
                });
            }
        }
    }

    /// Returns whether the plan makes the process of a proxy abort in the middle of a write.
    fn is_abort_planned(&self, proxy: usize) -> bool {
        let run_state = self.run_state.borrow();
        run_state.plan.faults.iter().any(|fault| {
            matches!(
                fault.kind,
                FaultKind::SystemCallFault {
                    proxy: faulty_proxy,
                    effect: Effect::ShortThenAbort(_),
                    ..
                } if faulty_proxy == proxy
            )
        })
    }

    /// Reports a violation for each proxy that had enough time to receive the published events but
    /// did not receive them.
    fn check_discovery(&self) {
        /// The maximum time from when a proxy is ready or a fault of the bus ends until delivery.
        const RECOVERY_DELIVERY_MS: u64 = 1_000;
        /// The maximum time from when the bus stops sending until the proxy has connected again.
        const SILENCE_DETECTION_MS: u64 = 3_000;
        /// The maximum time from publication until delivery on an open subscription.
        const SUBSCRIBED_DELIVERY_MS: u64 = 700;
        let mut run_state = self.run_state.borrow_mut();
        let now_ms = run_state.now_ms();
        let mut bus_recovered_ms = 0;
        let mut first_byte_delay_ms = 0;
        for fault in &run_state.plan.faults {
            match fault.kind {
                FaultKind::BusDown => bus_recovered_ms = bus_recovered_ms.max(fault.until_ms),
                FaultKind::BusSilent => {
                    let detected_ms = fault.from_ms + SILENCE_DETECTION_MS;
                    bus_recovered_ms = bus_recovered_ms.max(fault.until_ms).max(detected_ms);
                }
                FaultKind::BusSlow { first_byte_ms } => {
                    first_byte_delay_ms = first_byte_delay_ms.max(first_byte_ms)
                }
                _ => {}
            }
        }
        let due_events = run_state
            .events
            .iter()
            .filter(|event| event.published_ms + SUBSCRIBED_DELIVERY_MS < now_ms)
            .count();
        for proxy in self.proxies.iter() {
            let is_serving = proxy.control.phase.get() == ProxyPhase::Serving;
            let can_receive_since_ms = bus_recovered_ms.max(*proxy.subscribed_since_ms.borrow());
            let had_time =
                can_receive_since_ms + first_byte_delay_ms + RECOVERY_DELIVERY_MS < now_ms;
            let has_own_fault = run_state.plan.faults.iter().any(|fault| {
                fault.kind.proxy() == Some(proxy.index)
                    && fault.until_ms + RECOVERY_DELIVERY_MS + first_byte_delay_ms > now_ms
            });
            let delivered = run_state.deliveries[proxy.index]
                .last()
                .map_or(0, |(event_count, _)| *event_count);
            if is_serving
                && had_time
                && !has_own_fault
                && delivered < due_events
                && run_state.harness_stalls_ms.is_empty()
            {
                let detail = format!(
                    "only {delivered} events were delivered to the proxy, \
                     although {due_events} were due"
                );
                run_state.report(Rule::Discovery, Some(proxy.index), detail);
            }
        }
    }

    /// Shuts down all processes as in a planned restart, with requests pending.
    async fn shut_down_proxies(&self) {
        let mut shutdowns = Vec::new();
        for proxy in self.proxies.iter().cloned() {
            let is_abort_planned = self.is_abort_planned(proxy.index);
            shutdowns.push(tokio::task::spawn_local(async move {
                proxy.control.run_is_over.set(true);
                let mut process = proxy.process.lock().await;
                proxy
                    .shut_down_process(&mut process, is_abort_planned)
                    .await;
            }));
        }
        for task in shutdowns {
            // The result is ignored: tasks of the run do not panic, and no one aborts them.
            let _ = task.await;
        }
        // Gives clients time to notice that their connections have ended.
        sleep(Duration::from_millis(100)).await;
    }
}

impl Proxy {
    /// Sends SIGTERM and waits for the exit. Requests continue to arrive for a while after the
    /// signal.
    async fn shut_down_process(&self, process: &mut ProxyProcess, is_abort_planned: bool) {
        self.control.phase.set(ProxyPhase::ShuttingDown);
        process.signal(Signal::TERM);
        process
            .watch_for_abort(NEW_CONNECTIONS_PERIOD, is_abort_planned)
            .await;
        self.control.phase.set(ProxyPhase::OpenConnectionsOnly);
        process
            .watch_for_abort(OPEN_CONNECTIONS_ONLY_PERIOD, is_abort_planned)
            .await;
        self.control.phase.set(ProxyPhase::NoNewRequests);
        process.wait_for_exit(is_abort_planned).await;
        self.control.phase.set(ProxyPhase::Down);
    }
}

/// Sends a request to purge an object to the interconnect of a proxy. Returns the status of the
/// response, or an error if the connection fails or the response has no status.
async fn post_purge_trigger(address: SocketAddr, object: u64) -> io::Result<u16> {
    let body = purge_trigger(&object_key(object)).to_string();
    let mut socket = TcpStream::connect(address).await?;
    let request = format!(
        "POST /cdni/triggers HTTP/1.1\r\nHost: cdn.example\r\n\
         Content-Type: application/cdni; ptype=ci-trigger-command\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    socket.write_all(request.as_bytes()).await?;
    let mut response = Vec::new();
    socket.read_to_end(&mut response).await?;
    let text = String::from_utf8_lossy(&response);
    let status = text.split(' ').nth(1).and_then(|word| word.parse().ok());
    status.ok_or_else(|| io::ErrorKind::InvalidData.into())
}
