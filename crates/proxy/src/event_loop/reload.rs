//! Reload of the configuration on SIGHUP. Keys that can change at run time take effect at once.

use super::timer::TimerEvent;
use super::EventLoop;
use crate::config::{Config, ConfigError, ConfigSource};
use crate::net::TimerKey;
use edge_routing::Micros;

/// The current configuration, and the source from which a new one is read.
pub(super) struct Reload {
    pub(super) config: Config,
    pub(super) source: ConfigSource,
    /// Timer of the next retry after the configuration could not be read. A further SIGHUP replaces
    /// it.
    retry_timer: Option<TimerKey>,
}

impl Reload {
    pub(super) fn new(config: Config, source: ConfigSource) -> Self {
        Reload {
            config,
            source,
            retry_timer: None,
        }
    }
}

impl EventLoop {
    /// Handles SIGHUP by reading the configuration again. Client connections stay open. If the file
    /// is invalid, the proxy continues with the current configuration, because stopping would
    /// disconnect all its clients.
    pub(super) fn reload(&mut self, now: Micros) {
        self.signals.hangup.drain();
        if let Some(timer) = self.reload.retry_timer.take() {
            self.timers.cancel(timer);
        }
        let new = (self.reload.source)();
        if let Err(error) = &new {
            log::error!(
                "SIGHUP: cannot read the configuration, keeping the current one and retrying for \
                 {} ms: {error}",
                self.limits.reload_timeout_us / 1_000
            );
        }
        let retry_deadline = now + self.limits.reload_timeout_us;
        self.apply_or_retry(now, new, retry_deadline);
    }

    /// Reads the configuration again after a failure. The file may have been only partially
    /// written, or opening it may have failed temporarily.
    pub(super) fn retry_reload(&mut self, now: Micros, retry_deadline: Micros) {
        self.reload.retry_timer = None;
        let new = (self.reload.source)();
        self.apply_or_retry(now, new, retry_deadline);
    }

    fn apply_or_retry(
        &mut self,
        now: Micros,
        new: Result<Config, ConfigError>,
        retry_deadline: Micros,
    ) {
        let new = match new {
            Ok(new) => new,
            Err(_) if now < retry_deadline => {
                let at = now + self.limits.reload_retry_interval_us;
                let timer = self
                    .timers
                    .schedule(at, TimerEvent::RetryReload { retry_deadline });
                self.reload.retry_timer = Some(timer);
                return;
            }
            Err(error) => {
                return log::error!(
                    "SIGHUP: cannot read the configuration after retrying for {} ms, keeping the \
                     current one: {error}",
                    self.limits.reload_timeout_us / 1_000
                );
            }
        };
        for key in self.reload.config.changes_requiring_restart(&new) {
            log::warn!("SIGHUP: the change of '{key}' takes effect only after a restart");
        }
        self.apply_configuration(now, new);
    }

    /// Applies the addresses of the event bus and of the peer proxies. All other keys are used only
    /// at startup. `peer_listen` is stored with the peers although the socket keeps its address, so
    /// a change of it is compared with the last reload and not with the socket. If the new
    /// configuration disables purge gossip, the current gossip configuration is kept.
    fn apply_configuration(&mut self, now: Micros, mut new: Config) {
        if let (Some(gossip), Some(config)) = (&mut self.purge_gossip, &new.purge_gossip) {
            gossip.peers.clone_from(&config.peers);
        }
        let current = &mut self.reload.config;
        let event_bus_address_changed = current.event_bus != new.event_bus;
        current.event_bus = new.event_bus;
        current.purge_gossip = new.purge_gossip.take().or(current.purge_gossip.take());
        let suffix = if event_bus_address_changed {
            "; event bus address changed, closing connections to the previous address"
        } else {
            ""
        };
        log::info!("SIGHUP: configuration reloaded{suffix}");
        if event_bus_address_changed {
            self.reconnect_at_new_event_bus_address(now);
        }
    }
}
