//! Plays a plan: starts the fleet, applies each trouble at its time, and ends everything.

use crate::bad_client;
use crate::cache_server::{Behavior, CacheServer};
use crate::client::{ClientControl, Clients, ProxyPhase};
use crate::deployment;
use crate::event_bus::{BusMode, BusModeSender, EventBus};
use crate::link::{Link, LinkMode};
use crate::plan::{Plan, Trouble, TroubleKind};
use crate::proxy_process::ProxyProcess;
use crate::violation::Rule;
use crate::world::{object_key, KeptPurge, SharedWorld, World};
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

/// A process has so long to be ready.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// A process that ends before it is ready is started again so often.
const MAX_STARTS: u32 = 10;
const START_AGAIN_AFTER: Duration = Duration::from_millis(300);
/// After SIGTERM, new connections come for so long, and requests on open ones a little longer.
const NEW_CONNECTIONS_FOR: Duration = Duration::from_millis(300);
const REQUESTS_FOR: Duration = Duration::from_millis(200);
/// Between two purges of the event bus, and two that a proxy takes on by itself.
const PURGE_EVERY: Duration = Duration::from_millis(350);
const KEPT_PURGE_EVERY: Duration = Duration::from_millis(120);
/// The run looks at itself and at its processes this often.
const WATCH_EVERY: Duration = Duration::from_millis(20);
/// A look that is later than this means that the machine held the run up.
const HELD_UP: Duration = Duration::from_millis(80);
/// Between the end of a server's connections and its draining.
const DRAINS_AFTER_RESET: Duration = Duration::from_millis(250);
/// How long a purge may take to be taken on.
const TRIGGER_TIMEOUT: Duration = Duration::from_secs(2);

/// A proxy with everything around it.
struct Proxy {
    index: usize,
    process: Mutex<ProxyProcess>,
    control: Rc<ClientControl>,
    clients: Rc<Clients>,
    bus: EventBus,
    /// When its list of events last began anew or moved, in milliseconds of the run.
    subscribed_since_ms: RefCell<u64>,
}

/// Everything that plays in a run.
#[derive(Clone)]
struct Fleet {
    world: SharedWorld,
    proxies: Rc<Vec<Rc<Proxy>>>,
    links: Rc<Vec<Link>>,
    servers: Rc<Vec<CacheServer>>,
    bus_mode: BusModeSender,
}

/// Plays a plan in a slot of the campaign, with the files of the run in `folder`. What was seen is
/// in the world that it returns.
pub async fn play(plan: Plan, slot: u8, folder: &Path) -> io::Result<World> {
    let fleet = Fleet::start(plan, slot, folder).await?;
    fleet.start_proxies().await?;
    let plan = fleet.world.borrow().plan.clone();
    for trouble in plan.troubles {
        let fleet = fleet.clone();
        tokio::task::spawn_local(async move { fleet.apply(trouble).await });
    }
    tokio::task::spawn_local(fleet.clone().publish_purges());
    tokio::task::spawn_local(fleet.clone().trigger_kept_purges());
    let watching = tokio::task::spawn_local(fleet.clone().watch());
    sleep_until(&fleet.world, plan.duration_ms).await;
    fleet.judge_discovery();
    watching.abort();
    fleet.end().await;
    Ok(take_world(&fleet.world))
}

/// Takes the world out of its shared place; what is left of the run sees an empty one.
fn take_world(world: &SharedWorld) -> World {
    let empty = World::new(Plan::of_seed(0), 0);
    world.replace(empty)
}

async fn sleep_until(world: &SharedWorld, at_ms: u64) {
    let now_ms = world.borrow().now_ms();
    sleep(Duration::from_millis(at_ms.saturating_sub(now_ms))).await;
}

impl Fleet {
    async fn start(plan: Plan, slot: u8, folder: &Path) -> io::Result<Self> {
        let (proxies, places) = (plan.proxies, plan.caches + 1);
        let world: SharedWorld = Rc::new(RefCell::new(World::new(plan, slot)));
        let bus_mode: BusModeSender = Rc::new(watch::Sender::new(BusMode::Working));
        let (mut links, mut servers) = (Vec::new(), Vec::new());
        for place in 0..places {
            servers.push(CacheServer::start(&world, place).await?);
            let address = deployment::link_address(slot, place);
            links.push(Link::start(address, deployment::server_address(slot, place)).await?);
        }
        let mut fleet = Vec::new();
        for index in 0..proxies {
            let control: Rc<ClientControl> = Rc::default();
            fleet.push(Rc::new(Proxy {
                index,
                process: Mutex::new(ProxyProcess::new(&world, index, folder)),
                clients: Clients::new(&world, index, control.clone()),
                control,
                bus: EventBus::start(&world, index, bus_mode.clone()).await?,
                subscribed_since_ms: RefCell::new(0),
            }));
        }
        Ok(Fleet {
            world,
            proxies: Rc::new(fleet),
            links: Rc::new(links),
            servers: Rc::new(servers),
            bus_mode,
        })
    }

    async fn start_proxies(&self) -> io::Result<()> {
        for proxy in self.proxies.iter() {
            proxy.process.lock().await.start(false)?;
        }
        for proxy in self.proxies.iter() {
            let mut process = proxy.process.lock().await;
            self.wait_until_ready(proxy, &mut process).await;
            tokio::task::spawn_local(proxy.clients.clone().run());
        }
        Ok(())
    }

    /// Lets requests go to a proxy once it is ready. A process that ends before that is started
    /// again, a few times.
    async fn wait_until_ready(&self, proxy: &Proxy, process: &mut ProxyProcess) {
        let started_at = Instant::now();
        let mut starts_left = MAX_STARTS;
        while started_at.elapsed() < READY_WITHIN {
            if matches!(proxy.clients.health().await, Ok(200)) {
                return proxy.control.phase.set(ProxyPhase::Up);
            }
            sleep(WATCH_EVERY).await;
            if !process.check_runs(self.may_abort(proxy.index)) && starts_left > 0 {
                starts_left -= 1;
                sleep(START_AGAIN_AFTER).await;
                // A process that can't be started is never ready, which is reported.
                let _ = process.start(proxy.bus.is_second_in_use());
            }
        }
        let detail = format!("not ready within {} s", READY_WITHIN.as_secs());
        let mut world = self.world.borrow_mut();
        world.report(Rule::Start, Some(proxy.index), detail);
    }

    async fn apply(self, trouble: Trouble) {
        sleep_until(&self.world, trouble.from_ms).await;
        let until_end = || sleep_until(&self.world, trouble.until_ms);
        match trouble.kind {
            TroubleKind::Restart { proxy } => self.restart(proxy).await,
            TroubleKind::Kill { proxy } => self.kill(proxy).await,
            TroubleKind::Reload { proxy, torn_for_ms } => self.reload(proxy, torn_for_ms).await,
            // These are in the process's own plan.
            TroubleKind::SystemCalls { .. } | TroubleKind::ClockStep { .. } => {}
            TroubleKind::CacheHang { cache } => {
                self.misbehave(cache, Behavior::Hangs, &trouble).await;
            }
            TroubleKind::AllHang => {
                for server in self.servers.iter() {
                    server.set_behavior(Behavior::Hangs);
                }
                until_end().await;
                for server in self.servers.iter() {
                    server.set_behavior(Behavior::Sound);
                }
            }
            TroubleKind::CacheFull { cache } => {
                self.misbehave(cache, Behavior::Full, &trouble).await;
            }
            TroubleKind::CacheSpoils { cache } => {
                self.misbehave(cache, Behavior::Spoils, &trouble).await;
            }
            TroubleKind::CacheReplaced { cache } => self.replace_cache(cache, &trouble).await,
            TroubleKind::CacheCrash { cache } => self.crash_cache(cache, &trouble).await,
            TroubleKind::LinkResets { cache } => {
                while self.world.borrow().now_ms() < trouble.until_ms {
                    self.links[cache + 1].reset_connections();
                    sleep(Duration::from_millis(120)).await;
                }
            }
            TroubleKind::LinkSilent { cache } => {
                self.links[cache + 1].set_mode(LinkMode::Silent);
                until_end().await;
                self.links[cache + 1].set_mode(LinkMode::Open);
            }
            TroubleKind::LinkInPieces { cache } => {
                self.links[cache + 1].set_mode(LinkMode::Pieces);
                until_end().await;
                self.links[cache + 1].set_mode(LinkMode::Open);
            }
            TroubleKind::BusDown => self.disturb_bus(BusMode::Down, &trouble).await,
            TroubleKind::BusSilent => self.disturb_bus(BusMode::Silent, &trouble).await,
            TroubleKind::BusSlow { first_byte_ms } => {
                let slow = BusMode::SlowFirstByte(first_byte_ms);
                self.disturb_bus(slow, &trouble).await;
            }
            TroubleKind::BadClients { proxy } => {
                let (world, slot) = (self.world.clone(), self.world.borrow().slot);
                let seed = self.world.borrow().plan.seed ^ trouble.from_ms;
                let address = deployment::proxy_address(slot, proxy);
                let goes_on = move || world.borrow().now_ms() < trouble.until_ms;
                bad_client::play(address, fastrand::Rng::with_seed(seed), goes_on).await;
            }
            TroubleKind::ClientsLeave { proxy } => {
                self.proxies[proxy].control.leaving.set(true);
                until_end().await;
                self.proxies[proxy].control.leaving.set(false);
            }
        }
    }

    async fn misbehave(&self, cache: usize, behavior: Behavior, trouble: &Trouble) {
        self.servers[cache + 1].set_behavior(behavior);
        sleep_until(&self.world, trouble.until_ms).await;
        self.servers[cache + 1].set_behavior(Behavior::Sound);
    }

    async fn disturb_bus(&self, mode: BusMode, trouble: &Trouble) {
        self.bus_mode.send_replace(mode);
        sleep_until(&self.world, trouble.until_ms).await;
        self.bus_mode.send_replace(BusMode::Working);
    }

    /// A server loses its connections, drains, is gone, and a new one with another id takes its
    /// address.
    async fn replace_cache(&self, cache: usize, trouble: &Trouble) {
        let place = cache + 1;
        self.links[place].reset_connections();
        sleep(DRAINS_AFTER_RESET).await;
        let old = {
            let mut world = self.world.borrow_mut();
            let old = world.server_at(place);
            let now_ms = world.now_ms();
            world.servers[old].state = "draining";
            world.servers[old].withdrawn = Some((now_ms, world.events.len() + 1));
            world.publish_servers(&[old]);
            old
        };
        sleep_until(&self.world, trouble.until_ms).await;
        let mut world = self.world.borrow_mut();
        world.servers[old].state = "gone";
        let now_ms = world.now_ms();
        let event = world.events.len() + 1;
        let new = world.add_server(place, Some((now_ms, event)));
        self.servers[place].restart();
        world.publish_servers(&[old, new]);
    }

    /// A server's process dies and starts again under its id, empty.
    async fn crash_cache(&self, cache: usize, trouble: &Trouble) {
        let place = cache + 1;
        self.links[place].set_mode(LinkMode::Refusing);
        self.links[place].reset_connections();
        sleep_until(&self.world, trouble.until_ms).await;
        self.links[place].set_mode(LinkMode::Open);
        self.servers[place].restart();
        let mut world = self.world.borrow_mut();
        let server = world.server_at(place);
        if world.servers[server].state == "ready" {
            let now_ms = world.now_ms();
            let event = world.events.len() + 1;
            world.servers[server].started = Some((now_ms, event));
            world.publish_servers(&[server]);
        }
    }

    async fn restart(&self, proxy: usize) {
        let proxy = self.proxies[proxy].clone();
        let mut process = proxy.process.lock().await;
        proxy
            .end_process(&mut process, self.may_abort(proxy.index))
            .await;
        self.start_again(&proxy, &mut process).await;
    }

    async fn kill(&self, proxy: usize) {
        let proxy = self.proxies[proxy].clone();
        let mut process = proxy.process.lock().await;
        proxy.control.phase.set(ProxyPhase::Down);
        process.kill().await;
        self.start_again(&proxy, &mut process).await;
    }

    async fn start_again(&self, proxy: &Proxy, process: &mut ProxyProcess) {
        if proxy.control.stopped.get() {
            return;
        }
        if let Err(error) = process.start(proxy.bus.is_second_in_use()) {
            let mut world = self.world.borrow_mut();
            world.report(Rule::Start, Some(proxy.index), error.to_string());
            return;
        }
        self.wait_until_ready(proxy, process).await;
        self.note_subscription(proxy);
    }

    fn note_subscription(&self, proxy: &Proxy) {
        *proxy.subscribed_since_ms.borrow_mut() = self.world.borrow().now_ms();
    }

    /// The bus of a proxy moves, and the proxy is told by SIGHUP. The file may be half written at
    /// that moment.
    async fn reload(&self, proxy: usize, torn_for_ms: Option<u64>) {
        let proxy = self.proxies[proxy].clone();
        let process = proxy.process.lock().await;
        if proxy.control.phase.get() != ProxyPhase::Up {
            return;
        }
        let second = proxy.bus.move_address();
        let text = process.config(second).to_string();
        let path = process.config_path();
        let torn = torn_for_ms.map_or(text.len(), |_| text.len() / 2);
        // The file is the run's own.
        let _ = std::fs::write(&path, &text[..torn]);
        process.signal(Signal::HUP);
        if let Some(torn_for_ms) = torn_for_ms {
            sleep(Duration::from_millis(torn_for_ms)).await;
            let _ = std::fs::write(&path, &text);
        }
        self.note_subscription(&proxy);
    }

    async fn publish_purges(self) {
        let seed = self.world.borrow().plan.seed;
        let mut random = fastrand::Rng::with_seed(seed.wrapping_mul(7));
        loop {
            sleep(PURGE_EVERY).await;
            let object = (random.u32(0..6) > 0).then(|| random.u64(1..=24));
            let group = random.u64(0..4);
            self.world.borrow_mut().publish_purge(object, group);
        }
    }

    async fn trigger_kept_purges(self) {
        let seed = self.world.borrow().plan.seed;
        let mut random = fastrand::Rng::with_seed(seed.wrapping_mul(11));
        loop {
            sleep(KEPT_PURGE_EVERY).await;
            let object = random.u64(1..=24);
            let proxy = match self.proxy_with_disk_trouble() {
                Some(proxy) if random.bool() => proxy,
                _ => random.usize(..self.proxies.len()),
            };
            let (slot, sent_unix_ms) = {
                let world = self.world.borrow();
                (world.slot, world.now_unix_ms())
            };
            let address = deployment::interconnect_address(slot, proxy);
            let taken = timeout(TRIGGER_TIMEOUT, trigger_purge(address, object)).await;
            if matches!(taken, Ok(Ok(201))) {
                let mut world = self.world.borrow_mut();
                let acknowledged_ms = world.now_ms();
                world.kept_purges.push(KeptPurge {
                    proxy,
                    object,
                    sent_unix_ms,
                    acknowledged_ms,
                });
            }
        }
    }

    /// A proxy whose plan has writes to its disk fail.
    fn proxy_with_disk_trouble(&self) -> Option<usize> {
        let world = self.world.borrow();
        let mut troubles = world.plan.troubles.iter();
        troubles.find_map(|trouble| match trouble.kind {
            TroubleKind::SystemCalls {
                proxy,
                call: SystemCall::FileWrite | SystemCall::FileSync,
                ..
            } => Some(proxy),
            _ => None,
        })
    }

    /// Finds processes that have ended by themselves, and times at which the run was held up.
    async fn watch(self) {
        loop {
            let slept_at = Instant::now();
            sleep(WATCH_EVERY).await;
            if slept_at.elapsed() > WATCH_EVERY + HELD_UP {
                let mut world = self.world.borrow_mut();
                let now_ms = world.now_ms();
                world.held_up_ms.push(now_ms);
                world.counts.held_up += 1;
            }
            for proxy in self.proxies.iter() {
                let Ok(mut process) = proxy.process.try_lock() else {
                    continue;
                };
                if process.check_runs(self.may_abort(proxy.index)) {
                    continue;
                }
                proxy.control.phase.set(ProxyPhase::Down);
                drop(process);
                let (fleet, proxy) = (self.clone(), proxy.clone());
                tokio::task::spawn_local(async move {
                    let mut process = proxy.process.lock().await;
                    fleet.start_again(&proxy, &mut process).await;
                });
            }
        }
    }

    /// Whether a proxy's plan has its process end in the middle of a write.
    fn may_abort(&self, proxy: usize) -> bool {
        let world = self.world.borrow();
        world.plan.troubles.iter().any(|trouble| {
            matches!(trouble.kind, TroubleKind::SystemCalls { proxy: of, effect: Effect::ShortThenAbort(_), .. } if of == proxy)
        })
    }

    /// Every proxy that had the time to has been told of all that was published a moment ago.
    fn judge_discovery(&self) {
        /// From being ready, or the end of trouble at the bus, to being told.
        const TOLD_WITHIN_MS: u64 = 1_000;
        /// From falling silent to being connected to again.
        const SILENCE_NOTICED_MS: u64 = 3_000;
        /// From being published to being told, with a subscription.
        const DELIVERY_MS: u64 = 700;
        let mut world = self.world.borrow_mut();
        let now_ms = world.now_ms();
        let mut settled_ms = 0;
        let mut slow_ms = 0;
        for trouble in &world.plan.troubles {
            match trouble.kind {
                TroubleKind::BusDown => settled_ms = settled_ms.max(trouble.until_ms),
                TroubleKind::BusSilent => {
                    let noticed_ms = trouble.from_ms + SILENCE_NOTICED_MS;
                    settled_ms = settled_ms.max(trouble.until_ms).max(noticed_ms);
                }
                TroubleKind::BusSlow { first_byte_ms } => slow_ms = slow_ms.max(first_byte_ms),
                _ => {}
            }
        }
        let due = world
            .events
            .iter()
            .filter(|event| event.at_ms + DELIVERY_MS < now_ms)
            .count();
        for proxy in self.proxies.iter() {
            let is_up = proxy.control.phase.get() == ProxyPhase::Up;
            let since_ms = settled_ms.max(*proxy.subscribed_since_ms.borrow());
            let had_time = since_ms + slow_ms + TOLD_WITHIN_MS < now_ms;
            let disturbed = world.plan.troubles.iter().any(|trouble| {
                trouble.kind.proxy() == Some(proxy.index)
                    && trouble.until_ms + TOLD_WITHIN_MS + slow_ms > now_ms
            });
            let told = world.told[proxy.index]
                .last()
                .map_or(0, |(events, _)| *events);
            if is_up && had_time && !disturbed && told < due && world.held_up_ms.is_empty() {
                let detail = format!("told of {told} events, {due} are due");
                world.report(Rule::Discovery, Some(proxy.index), detail);
            }
        }
    }

    /// Ends all processes as at a planned restart, with requests open.
    async fn end(&self) {
        let mut ending = Vec::new();
        for proxy in self.proxies.iter().cloned() {
            let may_abort = self.may_abort(proxy.index);
            ending.push(tokio::task::spawn_local(async move {
                proxy.control.stopped.set(true);
                let mut process = proxy.process.lock().await;
                proxy.end_process(&mut process, may_abort).await;
            }));
        }
        for task in ending {
            // A task of the run does not panic, and nobody aborts it.
            let _ = task.await;
        }
        // Clients whose connections have ended notice that.
        sleep(Duration::from_millis(100)).await;
    }
}

impl Proxy {
    /// SIGTERM, with requests that go on coming for a while.
    async fn end_process(&self, process: &mut ProxyProcess, may_abort: bool) {
        self.control.phase.set(ProxyPhase::Ending);
        process.signal(Signal::TERM);
        process.sleep(NEW_CONNECTIONS_FOR, may_abort).await;
        self.control.phase.set(ProxyPhase::EndingKept);
        process.sleep(REQUESTS_FOR, may_abort).await;
        self.control.phase.set(ProxyPhase::Quiet);
        process.wait_for_end(may_abort).await;
        self.control.phase.set(ProxyPhase::Down);
    }
}

/// Has a proxy purge an object by its interconnect. Returns the status of its response.
async fn trigger_purge(address: SocketAddr, object: u64) -> io::Result<u16> {
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
