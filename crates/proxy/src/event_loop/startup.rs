//! Startup: sockets are bound, kept purges and known events replayed, and the sources of the
//! endpoint list contacted.

use super::acceptor::{Acceptor, Acceptors, ListenerKind};
use super::clients::ClientAccounting;
use super::consul::ConsulPoller;
use super::event_bus::EventBusSubscription;
use super::interconnect::Interconnect;
use super::purge_gossip::PurgeGossip;
use super::reload::Reload;
use super::shutdown::Shutdown;
use super::signals::Signals;
use super::upstreams::UpstreamConnections;
use super::EventLoop;
use crate::config::{Config, ConsulConfig, InterconnectConfig, Source};
use crate::discovery::event_bus::EventBusMessage;
use crate::discovery::purge_log::PurgeLog;
use crate::frontend::interconnect::InterconnectFrontend;
use crate::net::{Clock, Poller, Slab, TimerQueue};
use crate::request_table::RequestTable;
use crate::sys::errors;
use edge_routing::{Micros, SettingsError};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

/// Readiness events taken from the kernel at a time.
const POLL_BATCH: usize = 256;

/// Why the event loop could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A configured address can't be listened on.
    #[error("{key}: {address}: {source}")]
    Listen {
        /// The key of the configuration that names the address.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The file of kept purges can't be used.
    #[error("cdni.purges: {}: {source}", path.display())]
    PurgeLog {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The decision module can't work with its settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The poller or a signal handler could not be set up.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// How long the start waits for an error to pass.
const START_PATIENCE: Duration = Duration::from_secs(5);
/// How long it waits before it tries again.
const START_RETRY: Duration = Duration::from_millis(20);

/// Makes a step of the start, and again for a while if it fails for a reason that may pass: a
/// process that ended at once would be missing for much longer than that reason lasts. Nothing is
/// served yet, so that waiting holds nothing up.
pub(crate) fn retry_at_start<T>(mut step: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let give_up_at = Instant::now() + START_PATIENCE;
    loop {
        match step() {
            Err(error) if errors::may_pass_at_start(&error) && Instant::now() < give_up_at => {
                log::warn!("the start waits: {error}");
                thread::sleep(START_RETRY);
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
    /// Binds the sockets and replays the known events. On SIGHUP a new configuration is read from
    /// `source`.
    ///
    /// # Errors
    ///
    /// What will not pass by itself, at once; what may, such as a moment without descriptors, once
    /// it has lasted for some seconds.
    pub fn start(config: Config, source: Source) -> Result<Self, StartError> {
        let signals = Signals::register()?;
        Self::start_with_signals(config, source, signals)
    }

    /// As [`start`](Self::start), for a program that has registered its signals before.
    pub fn start_with_signals(
        mut config: Config,
        source: Source,
        signals: Signals,
    ) -> Result<Self, StartError> {
        let poller = retry_at_start(|| Poller::new(POLL_BATCH))?;
        let fastcgi =
            retry_at_start(|| Acceptor::bind(ListenerKind::FastCgi, config.listen, &poller))
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
        let known = std::mem::take(&mut config.known_events);
        let clock = Clock::start();
        let mut event_loop = EventLoop {
            ready_since: clock.now(),
            clock,
            request_table,
            poller,
            timers: TimerQueue::default(),
            connections: Slab::new(limits.connections),
            signals,
            shutdown: Shutdown::default(),
            acceptors: Acceptors::new(fastcgi, acceptor),
            clients: ClientAccounting::default(),
            upstream_connections: UpstreamConnections::default(),
            event_bus: EventBusSubscription::new(known.last_offset, &limits, config.seed),
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
        event_loop.replay(now, known.events);
        event_loop.connect_event_bus(now);
        event_loop.query_consul(now);
        event_loop.execute_commands(now);
        event_loop.log_addresses();
        Ok(event_loop)
    }

    /// Applies the purges that an earlier process kept, then the events up to the start.
    fn replay(&mut self, now: Micros, known_events: Vec<EventBusMessage>) {
        let purge_log = self
            .interconnect
            .as_ref()
            .and_then(|interconnect| interconnect.purge_log.as_ref());
        let kept_purges = purge_log.map(PurgeLog::purges).unwrap_or_default();
        for purge in kept_purges {
            // No copy from before this start passes: the stamp is of a clock that may have been wrong.
            self.request_table
                .purge_permanently(now, purge.object, purge.group, now);
        }
        for event in known_events {
            self.apply_event_bus_message(now, event);
        }
    }

    fn is_purge_log_flushed(&self) -> bool {
        let interconnect = self.interconnect.as_ref();
        let purge_log = interconnect.and_then(|interconnect| interconnect.purge_log.as_ref());
        purge_log.is_none_or(PurgeLog::is_flushed)
    }

    fn log_addresses(&self) {
        if let Some(address) = self.address() {
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
        retry_at_start(|| Acceptor::bind(ListenerKind::Interconnect, listen, poller)).map_err(
            StartError::listen("cdni.listen", interconnect_config.listen),
        )?;
    let frontend = InterconnectFrontend::new(
        interconnect_config.identity.clone(),
        config.seed,
        config.limits.triggers,
    );
    let purge_log = interconnect_config
        .purges
        .as_deref()
        .map(open_purge_log)
        .transpose()?;
    Ok((acceptor, Interconnect::new(frontend, purge_log)))
}

fn open_purge_log(path: &Path) -> Result<PurgeLog, StartError> {
    retry_at_start(|| PurgeLog::open(path)).map_err(|source| StartError::PurgeLog {
        path: path.to_owned(),
        source,
    })
}

/// Peer proxies are sent only the purges that come by the interconnect, so that there is no gossip
/// without one.
fn start_purge_gossip(config: &Config, poller: &Poller) -> Result<Option<PurgeGossip>, StartError> {
    let (Some(_), Some(gossip)) = (&config.interconnect, &config.purge_gossip) else {
        return Ok(None);
    };
    let bind = || PurgeGossip::bind(gossip.listen, gossip.peers.clone(), poller);
    let socket = retry_at_start(bind).map_err(StartError::listen("peer_listen", gossip.listen))?;
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
