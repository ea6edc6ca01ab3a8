//! The configuration of a proxy: the files and environment variables that it is read from, its
//! defaults, and its validation. An error that concerns a single key names the key.

mod document;
mod error;

pub use error::ConfigError;

use crate::discovery::event_bus::{read_event, EventBusMessage};
use crate::frontend::interconnect::footprint::Ipv4Network;
use crate::frontend::interconnect::{Identity, PeerCdn, ServedClass};
use crate::limits::Limits;
use crate::sys;
use document::{
    ConfigDocument, DeploymentDocument, InterconnectFields, InterconnectListen, MachineLimits,
    PeerCdnFields, StartupEventsDocument,
};
use edge_routing::{Class, Settings};
use edge_settings::json::{read, Object, WholeNumber};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A function that reads the configuration, which the proxy calls on SIGHUP.
pub type ConfigSource = Box<dyn Fn() -> Result<Config, ConfigError>>;

/// The configuration of a proxy.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the proxy, the same after a restart.
    pub name: String,
    /// The address on which the proxy listens for clients.
    pub listen: SocketAddr,
    /// Seed for random numbers.
    pub seed: u64,
    /// The limits that follow from the size of the machine and the settings.
    pub limits: Limits,
    /// Address of the event bus, the source of purges and, without Consul, of the endpoint list.
    /// None if there is no event bus.
    pub event_bus: Option<SocketAddr>,
    /// The events that are replayed at startup.
    pub startup_events: StartupEvents,
    /// The settings of the routing module.
    pub settings: Settings,
    /// Purge gossip between the proxies of a deployment. None if it is disabled.
    pub purge_gossip: Option<PurgeGossipConfig>,
    /// The interconnect with peer CDNs. None if it is disabled.
    pub interconnect: Option<InterconnectConfig>,
    /// Consul as the source of the endpoint list. None if the list comes from the event bus.
    pub consul: Option<ConsulConfig>,
}

/// The events that the event bus published before the start of the proxy. The proxy replays them at
/// startup and requests the events after them from the event bus.
#[derive(Clone, Debug, Default)]
pub struct StartupEvents {
    /// Number of the last event published before the start.
    pub last_offset: u64,
    /// The events, in the order of their numbers.
    pub events: Vec<EventBusMessage>,
}

/// The configuration of purge gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PurgeGossipConfig {
    /// The address on which gossip datagrams are received.
    pub listen: SocketAddr,
    /// The addresses of all proxies of the deployment. This proxy may be among them.
    pub peers: Vec<SocketAddr>,
}

/// The configuration of Consul as the source of the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsulConfig {
    /// The address of Consul's HTTP API.
    pub address: SocketAddr,
    /// Name of the service whose instances are the cache servers.
    pub service: String,
}

/// The configuration of the interconnect with peer CDNs.
#[derive(Clone, Debug, PartialEq)]
pub struct InterconnectConfig {
    /// The address on which the proxy listens for peer CDNs and redirected clients.
    pub listen: SocketAddr,
    /// The identity that this network presents to peer CDNs.
    pub identity: Identity,
    /// Path of the purge log. If it is None, the purges that only the proxies are notified of are
    /// forgotten at a restart.
    pub purge_log: Option<PathBuf>,
}

const CONFIG_PATH_VARIABLE: &str = "ROUTER_CONFIG";
const DEPLOYMENT_PATH_VARIABLE: &str = "EDGE_PROXY_INTERCONNECT";
const DEFAULT_DEPLOYMENT_PATH: &str = "deploy/interconnect.json";
/// Keys of the configuration, each with the environment variable that is used if the file lacks the
/// key.
const FALLBACK_VARIABLES: [(&str, &str); 2] =
    [("name", "ROUTER_NAME"), ("listen", "ROUTER_LISTEN")];

const DEFAULT_NAME: &str = "edge-proxy";
const DEFAULT_SEED: &str = "0";
const DEFAULT_FILE_DESCRIPTORS: u64 = 1024;
const DEFAULT_MEMORY_MB: u64 = 192;
const DEFAULT_CONSUL_SERVICE: &str = "pop-cache";
const DEFAULT_TRIGGERS_PATH: &str = "/cdni/triggers";

/// Added to the purge completion time of the settings, in microseconds, because cache servers
/// complete a purge later over real sockets. For this time after the purge of a whole group, the
/// router attributes late attempts for the group to slow fills and not to their servers. It limits
/// the age of copies for longer than that, for as long as it remembers the purge.
const PURGE_COMPLETION_SLACK_US: u64 = 50_000;
/// Upper bound of the Retry-After that is sent if the request table is full, in microseconds.
const MAX_RETRY_AFTER_US: u64 = 200_000;

impl Config {
    /// Reads the file that `ROUTER_CONFIG` names. If it lacks the keys `name` or `listen`, uses the
    /// environment variables `ROUTER_NAME` and `ROUTER_LISTEN`. The interconnect and Consul are
    /// configured in the deployment file: the one that `EDGE_PROXY_INTERCONNECT` names, or
    /// otherwise `deploy/interconnect.json` if it exists.
    pub fn from_env() -> Result<Self, ConfigError> {
        let path = std::env::var(CONFIG_PATH_VARIABLE).map_err(|_| ConfigError::PathNotSet)?;
        let mut document = read_file(&path)?;
        apply_fallback_variables(&mut document);
        let mut config = Self::from_json(&document).map_err(in_file(&path))?;
        let path_from_env = std::env::var(DEPLOYMENT_PATH_VARIABLE).ok();
        let path = path_from_env.as_deref().unwrap_or(DEFAULT_DEPLOYMENT_PATH);
        if path_from_env.is_some() || Path::new(path).exists() {
            config
                .apply_deployment(&read_file(path)?)
                .map_err(in_file(path))?;
        }
        Ok(config)
    }

    /// Reads a configuration from its JSON form.
    pub fn from_json(value: &Value) -> Result<Self, ConfigError> {
        let Object(document): Object<ConfigDocument> = read(value)?;
        let settings = read_settings(&value["settings"])?;
        let Object(machine) = document.limits.unwrap_or_default();
        let Object(startup_events) = document.known.unwrap_or_default();
        let peers = document.peers.unwrap_or_default();
        Ok(Config {
            name: document.name.unwrap_or_else(|| DEFAULT_NAME.to_owned()),
            listen: document.listen,
            seed: read_seed(document.seed.as_deref().unwrap_or(DEFAULT_SEED))?,
            limits: read_limits(&machine, &settings)?,
            event_bus: document.bus,
            startup_events: read_startup_events(&startup_events, &value["known"]["batch"])?,
            settings,
            purge_gossip: document
                .peer_listen
                .map(|listen| PurgeGossipConfig { listen, peers }),
            interconnect: None,
            consul: None,
        })
    }

    /// Adds the configuration of the interconnect and of Consul from the JSON form of the
    /// deployment file. Each is disabled unless the file gives an address for it.
    pub fn apply_deployment(&mut self, value: &Value) -> Result<(), ConfigError> {
        let Object(document): Object<DeploymentDocument> = read(value)?;
        if let Some(fields) = document.cdni {
            self.interconnect = read_interconnect(&fields, &self.settings.classes)?;
        }
        if let Some(Object(consul)) = document.consul {
            let service = consul.service;
            let service = service.unwrap_or_else(|| DEFAULT_CONSUL_SERVICE.to_owned());
            self.consul = consul
                .address
                .map(|address| ConsulConfig { address, service });
        }
        Ok(())
    }

    /// Returns the changed keys of a new configuration that take effect only after a restart,
    /// because sockets, tables and the routing module are built from them at startup. The other
    /// keys are never returned. `bus` and `peers` take effect at once. `seed` and `known` are
    /// ignored, because they differ at every start and do not affect a running proxy.
    pub fn changes_requiring_restart(&self, new: &Config) -> Vec<&'static str> {
        let peer_listen = |config: &Config| Some(config.purge_gossip.as_ref()?.listen);
        let changes = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("limits", self.limits != new.limits),
            ("settings", self.settings != new.settings),
            ("peer_listen", peer_listen(self) != peer_listen(new)),
            ("cdni", self.interconnect != new.interconnect),
            ("consul", self.consul != new.consul),
        ];
        changes
            .into_iter()
            .filter(|(_, changed)| *changed)
            .map(|(key, _)| key)
            .collect()
    }
}

fn read_file(path: &str) -> Result<Value, ConfigError> {
    let bytes = sys::read_file(Path::new(path)).map_err(|source| ConfigError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    serde_json::from_slice(&bytes).map_err(|source| ConfigError::NotJson {
        path: path.to_owned(),
        source,
    })
}

/// Returns a function that adds the path of the file to an error.
fn in_file(path: &str) -> impl FnOnce(ConfigError) -> ConfigError + '_ {
    move |source| ConfigError::InFile {
        path: path.to_owned(),
        source: Box::new(source),
    }
}

/// Sets keys that are absent or null to the values of their environment variables.
fn apply_fallback_variables(document: &mut Value) {
    let Value::Object(fields) = document else {
        return;
    };
    for (key, variable) in FALLBACK_VARIABLES {
        let is_absent = fields.get(key).is_none_or(Value::is_null);
        if let (true, Ok(value)) = (is_absent, std::env::var(variable)) {
            fields.insert(key.to_owned(), value.into());
        }
    }
}

/// Reads the settings of the routing module and adds [`PURGE_COMPLETION_SLACK_US`] to the
/// completion time of purges.
fn read_settings(value: &Value) -> Result<Settings, ConfigError> {
    let mut settings = edge_settings::from_json(value)?;
    let completion_us = &mut settings.rules.purge_completion_us;
    *completion_us = completion_us.saturating_add(PURGE_COMPLETION_SLACK_US);
    settings.validate()?;
    Ok(settings)
}

fn read_seed(text: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(text, 16).map_err(|_| ConfigError::Invalid {
        key: "seed".to_owned(),
        expected: "a hexadecimal 64-bit number",
    })
}

/// Derives the limits of the proxy from the size of the machine and from the settings.
fn read_limits(machine: &MachineLimits, settings: &Settings) -> Result<Limits, ConfigError> {
    let sockets = read_machine_limit("sockets", machine.sockets, DEFAULT_FILE_DESCRIPTORS)?;
    let memory_mb = read_machine_limit("memory_mb", machine.memory_mb, DEFAULT_MEMORY_MB)?;
    let deadlines = settings.classes.iter().map(|class| class.deadline_us);
    Ok(Limits {
        retry_after_us: settings.max_retry_after_us.min(MAX_RETRY_AFTER_US),
        shutdown_deadline_us: Limits::shutdown_deadline_us(deadlines.max().unwrap_or(0)),
        ..Limits::for_machine(sockets, memory_mb)
    })
}

/// Returns the value of a key of `limits`, or `default` if the key is absent.
fn read_machine_limit(
    key: &str,
    value: Option<WholeNumber>,
    default: u64,
) -> Result<usize, ConfigError> {
    usize::try_from(WholeNumber::value_or(value, default))
        .ok()
        .filter(|value| *value > 0)
        .ok_or_else(|| ConfigError::Invalid {
            key: format!("limits.{key}"),
            expected: "a positive whole number",
        })
}

fn read_startup_events(
    document: &StartupEventsDocument,
    batch: &Value,
) -> Result<StartupEvents, ConfigError> {
    let events = batch
        .as_array()
        .into_iter()
        .flatten()
        .enumerate()
        .map(|(index, event)| {
            read_event(event).map_err(|source| ConfigError::StartupEvent { index, source })
        })
        .collect::<Result<_, _>>()?;
    Ok(StartupEvents {
        last_offset: WholeNumber::value_or(document.offset, 0),
        events,
    })
}

/// Reads `cdni`. Returns None, without checking the other keys, if it has no address to listen on.
fn read_interconnect(
    value: &Value,
    classes: &[Class],
) -> Result<Option<InterconnectConfig>, ConfigError> {
    let Object(InterconnectListen { listen }) = read(value).map_err(ConfigError::Interconnect)?;
    let Some(listen) = listen else {
        return Ok(None);
    };
    let Object(fields): Object<InterconnectFields> =
        read(value).map_err(ConfigError::Interconnect)?;
    let peers = fields.peers.unwrap_or_default();
    let read_classes = classes.iter().filter(|class| !class.is_write);
    let identity = Identity {
        provider: fields.provider,
        base_url: fields.base,
        footprint: read_footprint(&fields.footprint.unwrap_or_default())?,
        peers: peers
            .into_iter()
            .map(|Object(peer)| read_peer_cdn(peer))
            .collect(),
        classes: read_classes
            .map(|class| ServedClass {
                name: class.name.clone(),
                client_timeout_us: class.deadline_us,
            })
            .collect(),
    };
    Ok(Some(InterconnectConfig {
        listen,
        identity,
        purge_log: fields.purge_log,
    }))
}

fn read_footprint(networks: &[String]) -> Result<Vec<Ipv4Network>, ConfigError> {
    networks
        .iter()
        .enumerate()
        .map(|(index, text)| {
            Ipv4Network::parse(text).ok_or_else(|| ConfigError::Invalid {
                key: format!("cdni.footprint[{index}]"),
                expected: "an IPv4 network, such as 127.0.0.0/8",
            })
        })
        .collect()
}

fn read_peer_cdn(fields: PeerCdnFields) -> PeerCdn {
    PeerCdn {
        provider: fields.provider,
        address: fields.address,
        trigger_path: fields
            .triggers
            .unwrap_or_else(|| DEFAULT_TRIGGERS_PATH.to_owned()),
        advertisement_path: fields.notices,
        content_base_url: fields.content,
    }
}
