//! SIGHUP: the configuration is read again, and what a running proxy can follow takes effect at
//! once.

use super::EventLoop;
use crate::config::{Config, Source};
use edge_routing::Micros;

/// The configuration in force, and where a new one is read from.
pub(super) struct Reload {
    pub(super) config: Config,
    pub(super) source: Source,
}

impl EventLoop {
    /// Reads the configuration again. No connection is dropped for it, and a faulty file changes
    /// nothing: a proxy that stopped over it would take all its clients with it.
    pub(super) fn reload(&mut self, now: Micros) {
        self.signals.hangup.drain();
        let new = match (self.reload.source)() {
            Ok(new) => new,
            Err(e) => return log::error!("SIGHUP: the configuration stays as it was: {e}"),
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
