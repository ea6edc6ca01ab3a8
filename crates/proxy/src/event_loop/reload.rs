//! SIGHUP: the configuration is read again, and what a running proxy can follow takes effect at
//! once.

use super::timer::TimerEvent;
use super::EventLoop;
use crate::config::{Config, ConfigError, Source};
use crate::net::TimerKey;
use edge_routing::Micros;

/// The configuration in force, and where a new one is read from.
pub(super) struct Reload {
    pub(super) config: Config,
    pub(super) source: Source,
    /// When a configuration that could not be read is read again: the last SIGHUP counts.
    retry: Option<TimerKey>,
}

impl Reload {
    pub(super) fn new(config: Config, source: Source) -> Self {
        Reload {
            config,
            source,
            retry: None,
        }
    }
}

impl EventLoop {
    /// Reads the configuration again. No connection is dropped for it, and a faulty file changes
    /// nothing: a proxy that stopped over it would take all its clients with it.
    pub(super) fn reload(&mut self, now: Micros) {
        self.signals.hangup.drain();
        if let Some(retry) = self.reload.retry.take() {
            self.timers.cancel(retry);
        }
        let new = (self.reload.source)();
        if let Err(error) = &new {
            log::error!("SIGHUP: the configuration stays as it was, and is read again: {error}");
        }
        let give_up_at = now + self.limits.reload_patience_us;
        self.take_over(now, new, give_up_at);
    }

    /// Reads a configuration once more that could not be read: it may have been half written, or
    /// the file could not be opened for a moment.
    pub(super) fn read_configuration(&mut self, now: Micros, give_up_at: Micros) {
        self.reload.retry = None;
        let new = (self.reload.source)();
        self.take_over(now, new, give_up_at);
    }

    fn take_over(&mut self, now: Micros, new: Result<Config, ConfigError>, give_up_at: Micros) {
        let new = match new {
            Ok(new) => new,
            Err(_) if now < give_up_at => {
                let at = now + self.limits.reload_retry_us;
                let retry = self.timers.set(at, TimerEvent::RetryReload { give_up_at });
                self.reload.retry = Some(retry);
                return;
            }
            Err(error) => {
                return log::error!("SIGHUP: the configuration is given up: {error}");
            }
        };
        for key in self.reload.config.fixed_changes(&new) {
            log::warn!("SIGHUP: '{key}' has changed, which takes effect with the next start only");
        }
        self.apply_configuration(now, new);
    }

    /// Takes over the addresses of the event bus and of the peer proxies; everything else is fixed
    /// at the start.
    fn apply_configuration(&mut self, now: Micros, mut new: Config) {
        if let (Some(gossip), Some(config)) = (&mut self.purge_gossip, &new.purge_gossip) {
            gossip.peers.clone_from(&config.peers);
        }
        let current = &mut self.reload.config;
        let event_bus_moved = current.event_bus != new.event_bus;
        current.event_bus = new.event_bus;
        current.purge_gossip = new.purge_gossip.take().or(current.purge_gossip.take());
        let also = if event_bus_moved {
            "; the event bus has moved"
        } else {
            ""
        };
        log::info!("SIGHUP: the configuration is read again{also}");
        if event_bus_moved {
            self.follow_moved_event_bus(now);
        }
    }
}
