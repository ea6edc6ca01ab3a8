//! Startup: binds the sockets, replays the stored purges and the events that were published before
//! the start, and contacts the sources of the endpoint list.

use super::acceptor::{Acceptor, Acceptors, ListenerKind};
use super::consul::ConsulPoller;
use super::event_bus::EventBusSubscription;
use super::interconnect::Interconnect;
use super::purge_gossip::PurgeGossip;
use super::reload::Reload;
use super::shutdown::Shutdown;
use super::signals::Signals;
use super::upstreams::UpstreamConnections;
use super::EventLoop;
use crate::config::{Config, ConfigSource, ConsulConfig, InterconnectConfig};
use crate::discovery::event_bus::EventBusMessage;
use crate::discovery::purge_log::PurgeLog;
use crate::frontend::interconnect::InterconnectFrontend;
use crate::memory::MemoryBudget;
use crate::net::{Clock, Poller, Slab, TimerQueue};
use crate::request_table::RequestTable;
use crate::sys::errors;
use edge_routing::{Micros, SettingsError};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of readiness events that one poller wait returns.
const MAX_EVENTS_PER_WAIT: usize = 256;

/// Error that prevents the event loop from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Binding a socket to a configured address failed.
    #[error("cannot listen on {address}, configured under '{key}': {source}")]
    Listen {
        /// Configuration key of the address.
        key: &'static str,
        /// The configured address.
        address: SocketAddr,
        /// Error returned by the operating system.
        source: io::Error,
    },
    /// The purge log cannot be opened.
    #[error(
        "cannot open the purge log {}, configured under 'cdni.purges': {source}",
        path.display()
    )]
    PurgeLog {
        /// Path of the purge log.
        path: PathBuf,
        /// Error returned by the operating system.
        source: io::Error,
    },
    /// The routing module rejects its settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The poller or a signal handler could not be set up.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// How long a startup step that fails with a transient error is retried.
const STARTUP_RETRY_TIMEOUT: Duration = Duration::from_secs(5);
/// Wait between two attempts of a startup step.
const STARTUP_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a startup step, and retries it for a limited time while it fails with a transient error.
///
/// Exiting at once would take the proxy out of service for much longer than a transient error
/// lasts. Blocking the thread is harmless because no requests are served yet.
///
/// # Errors
///
/// Returns a permanent error at once, and a transient error once the retries have taken
/// `STARTUP_RETRY_TIMEOUT`.
pub(crate) fn retry_startup_step<T>(mut step: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let retry_deadline = Instant::now() + STARTUP_RETRY_TIMEOUT;
    loop {
        match step() {
            Err(error)
                if errors::is_transient_at_startup(&error) && Instant::now() < retry_deadline =>
            {
                log::warn!(
                    "startup step failed, retrying in {} ms: {error}",
                    STARTUP_RETRY_INTERVAL.as_millis()
                );
                thread::sleep(STARTUP_RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

impl StartError {
    fn listen(key: &'static str, address: SocketAddr) -> impl FnOnce(io::Error) -> Self {
        move |source| StartError::Listen {
            key,
            address,
            source,
        }
    }
}

impl EventLoop {
    /// Binds the sockets, replays the stored purges and the events that were published before the
    /// start, and contacts the sources of the endpoint list. On SIGHUP the event loop reads a new
    /// configuration from `source`.
    ///
    /// # Errors
    ///
    /// Returns a permanent error at once. Returns a transient error, such as a lack of file
    /// descriptors, once it has lasted for 5 s.
    pub fn start(config: Config, source: ConfigSource) -> Result<Self, StartError> {
        let signals = Signals::register()?;
        Self::start_with_signals(config, source, signals)
    }

    /// Starts the event loop like [`start`](Self::start), with signals that the program has already
    /// registered.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`start`](Self::start).
    pub fn start_with_signals(
        mut config: Config,
        source: ConfigSource,
        signals: Signals,
    ) -> Result<Self, StartError> {
        let poller = retry_startup_step(|| Poller::new(MAX_EVENTS_PER_WAIT))?;
        let fastcgi =
            retry_startup_step(|| Acceptor::bind(ListenerKind::FastCgi, config.listen, &poller))
                .map_err(StartError::listen("listen", config.listen))?;
        signals.watch(&poller)?;
        let (acceptor, interconnect) = match &config.interconnect {
            Some(interconnect_config) => {
                let (acceptor, interconnect) =
                    start_interconnect(interconnect_config, &config, &poller)?;
                (Some(acceptor), Some(interconnect))
            }
            None => (None, None),
        };
        let purge_gossip = start_purge_gossip(&config, &poller)?;
        let limits = config.limits.clone();
        let request_table = RequestTable::new(config.settings.clone(), config.seed, &limits)?;
        let startup_events = std::mem::take(&mut config.startup_events);
        let clock = Clock::start();
        let mut event_loop = EventLoop {
            earliest_ready_at: clock.now(),
            clock,
            request_table,
            poller,
            timers: TimerQueue::default(),
            connections: Slab::new(limits.connections),
            signals,
            shutdown: Shutdown::default(),
            acceptors: Acceptors::new(fastcgi, acceptor),
            memory: MemoryBudget::new(limits.memory_budget_bytes),
            router_memory: Default::default(),
            client_connections: 0,
            upstream_connections: UpstreamConnections::default(),
            event_bus: EventBusSubscription::new(startup_events.last_offset, &limits, config.seed),
            consul: start_consul(&config),
            purge_gossip,
            interconnect,
            limits,
            reload: Reload::new(config, source),
        };
        let now = event_loop.clock.now();
        if !event_loop.is_purge_log_flushed() {
            event_loop.schedule_purge_log_retry(now);
        }
        event_loop.replay_purges_and_events(now, startup_events.events);
        event_loop.connect_event_bus(now);
        event_loop.query_consul(now);
        event_loop.execute_commands(now);
        event_loop.log_addresses();
        Ok(event_loop)
    }

    /// Applies the purges from the purge log, then the events that were published before the start.
    fn replay_purges_and_events(&mut self, now: Micros, events: Vec<EventBusMessage>) {
        let purge_log = self
            .interconnect
            .as_ref()
            .and_then(|interconnect| interconnect.purge_log.as_ref());
        let stored_purges = purge_log.map(PurgeLog::purges).unwrap_or_default();
        for purge in stored_purges {
            // The purge is dated `now`, so that it covers every copy created before this start. The
            // stored time comes from a clock that may have been wrong.
            self.request_table.purge_permanently(now, purge.target, now);
        }
        for event in events {
            self.apply_event_bus_message(now, event);
        }
    }

    fn is_purge_log_flushed(&self) -> bool {
        let interconnect = self.interconnect.as_ref();
        let purge_log = interconnect.and_then(|interconnect| interconnect.purge_log.as_ref());
        purge_log.is_none_or(PurgeLog::is_flushed)
    }

    fn log_addresses(&self) {
        if let Some(address) = self.fastcgi_address() {
            log::info!("{} listens on {address}", self.reload.config.name);
        }
        if let Some(address) = self.interconnect_address() {
            log::info!("peer CDNs connect to {address}");
        }
    }
}

fn start_interconnect(
    interconnect_config: &InterconnectConfig,
    config: &Config,
    poller: &Poller,
) -> Result<(Acceptor, Interconnect), StartError> {
    let listen = interconnect_config.listen;
    let acceptor =
        retry_startup_step(|| Acceptor::bind(ListenerKind::Interconnect, listen, poller)).map_err(
            StartError::listen("cdni.listen", interconnect_config.listen),
        )?;
    let frontend = InterconnectFrontend::new(
        interconnect_config.identity.clone(),
        config.seed,
        config.limits.triggers,
    );
    let purge_log = interconnect_config
        .purge_log
        .as_deref()
        .map(open_purge_log)
        .transpose()?;
    Ok((acceptor, Interconnect::new(frontend, purge_log)))
}

fn open_purge_log(path: &Path) -> Result<PurgeLog, StartError> {
    retry_startup_step(|| PurgeLog::open(path)).map_err(|source| StartError::PurgeLog {
        path: path.to_owned(),
        source,
    })
}

/// Binds the socket for purge gossip. Returns `None` if either gossip or the interconnect is not
/// configured: only purges from the interconnect are sent to peer proxies.
fn start_purge_gossip(config: &Config, poller: &Poller) -> Result<Option<PurgeGossip>, StartError> {
    let (Some(_), Some(gossip)) = (&config.interconnect, &config.purge_gossip) else {
        return Ok(None);
    };
    let bind = || PurgeGossip::bind(gossip.listen, gossip.peers.clone(), poller);
    let socket =
        retry_startup_step(bind).map_err(StartError::listen("peer_listen", gossip.listen))?;
    Ok(Some(socket))
}

fn start_consul(config: &Config) -> Option<ConsulPoller> {
    let ConsulConfig { address, service } = config.consul.clone()?;
    Some(ConsulPoller::new(
        address,
        service,
        &config.limits,
        config.seed,
    ))
}
