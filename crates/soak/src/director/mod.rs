//! Executes the plan of a run: starts the proxies and the services that they connect to, applies
//! each fault at its time, and shuts the proxies down.

mod discovery_check;
mod faults;
mod processes;
mod purges;

use crate::cache_server::CacheServer;
use crate::client::{ClientControl, Clients};
use crate::deployment;
use crate::event_bus::{BusMode, BusModeSender, EventBus};
use crate::link::Link;
use crate::plan::Plan;
use crate::proxy_process::ProxyProcess;
use crate::world::{RunState, SharedRunState};
use std::cell::RefCell;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Mutex};
use tokio::time::sleep;

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
}
