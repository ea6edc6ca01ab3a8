//! Where the list of boxes and purges come from: the event bus, Consul and the peers.

use super::{EventLoop, Kind, Timer};
use crate::discovery::consul::{ConsulError, ConsulQuery};
use crate::discovery::event_bus::{DiscoveryEvent, EventBusMessage, EventStreamClient};
use crate::discovery::purge_gossip as peers;
use crate::net::SlabKey;
use edge_routing::{EndpointListMode, Micros};
use std::io;

impl EventLoop {
    pub(super) fn news(&mut self, now: Micros, event: EventBusMessage) {
        match event.event {
            // One source has the list: two would take each other's boxes for gone.
            Some(DiscoveryEvent::List(..)) if self.consul.is_some() => {}
            Some(DiscoveryEvent::List(mode, entries)) => {
                self.request_table.update_endpoints(now, mode, entries)
            }
            Some(DiscoveryEvent::Purge { object, group, at }) => {
                self.request_table.purged(now, object, group, at)
            }
            None => log::debug!("event {} of the bus is of an unknown kind", event.offset),
        }
    }

    /// An event that has just happened: neighbours hear of purges too.
    pub(super) fn heard(&mut self, now: Micros, event: EventBusMessage) {
        if let Some(DiscoveryEvent::Purge { object, group, .. }) = &event.event {
            self.pass_on(now, object.as_deref(), *group);
        }
        self.news(now, event);
    }

    pub(super) fn call_bus(&mut self, now: Micros) {
        let Some(bus) = self.config.bus else { return };
        self.feed = self.call(
            now,
            bus,
            Kind::Bus(EventStreamClient::new(&self.limits, now)),
        );
        let silent = if self.feed.is_some() {
            self.limits.event_bus_silence_us
        } else {
            self.limits.reconnect_delay_us
        };
        self.wake_bus(now + silent);
    }

    /// The bus is at another address: what it has to tell is asked for there at once, behind the last event.
    pub(super) fn move_bus(&mut self, now: Micros) {
        if let Some(old) = self.feed.take() {
            self.close(now, old);
        }
        self.call_bus(now);
    }

    pub(super) fn wake_bus(&mut self, at: Micros) {
        if let Some(due) = self.bus_timer.replace(self.timers.set(at, Timer::Bus)) {
            self.timers.cancel(due);
        }
    }

    /// A bus that has gone silent may have gone without a word: what it has to tell counts as told all the same.
    pub(super) fn check_bus(&mut self, now: Micros) {
        let read = self
            .feed
            .and_then(|key| match &self.connections.get(key)?.kind {
                Kind::Bus(feed) => Some((key, feed.last_read())),
                _ => None,
            });
        match read {
            None => self.call_bus(now),
            Some((key, at)) if at + self.limits.event_bus_silence_us <= now => {
                log::warn!("the event bus is silent and called again");
                self.feed = None;
                self.close(now, key);
                self.call_bus(now);
            }
            Some((_, at)) => self.wake_bus(at + self.limits.event_bus_silence_us),
        }
    }

    // ---- Consul ----

    pub(super) fn call_consul(&mut self, now: Micros) {
        let Some((to, _)) = &self.consul else { return };
        let to = *to;
        match self.call(now, to, Kind::Consul(ConsulQuery::new(&self.limits))) {
            Some(key) => {
                self.timers
                    .set(now + self.limits.consul_timeout_us, Timer::Answered(key));
            }
            None => {
                self.timers
                    .set(now + self.limits.reconnect_delay_us, Timer::Consul);
            }
        }
    }

    /// The response to the last query, or none: it failed.
    pub(super) fn consul_told(
        &mut self,
        now: Micros,
        response: Option<(crate::protocol::http::Head, Vec<u8>)>,
    ) {
        let Some((_, consul)) = &mut self.consul else {
            return;
        };
        let told = response
            .ok_or(ConsulError::NoAnswer)
            .and_then(|(head, body)| consul.response(&head, &body));
        let again = match told {
            Ok(entries) => {
                if let Some(entries) = entries {
                    self.request_table
                        .update_endpoints(now, EndpointListMode::Snapshot, entries);
                }
                now
            }
            Err(e) => {
                log::warn!("Consul: {e}");
                consul.failed();
                now + self.limits.reconnect_delay_us
            }
        };
        self.timers.set(again, Timer::Consul);
    }

    // ---- Peers ----

    pub(super) fn hear_peers(&mut self, now: Micros) {
        let mut bytes = [0; peers::MAX_DATAGRAM_BYTES + 1];
        while let Some((socket, known)) = &self.peers {
            let (length, from) = match socket.recv_from(&mut bytes) {
                Ok(received) => received,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => continue,
            };
            // What does not come from a peer is not listened to.
            let purge = peers::decode(&bytes[..length]).filter(|_| known.contains(&from));
            if let Some(purge) = purge {
                self.purge_for_good(now, purge.object, purge.group, purge.purged_at);
            }
        }
    }

    /// Sends a purge to the peers, and again: any datagram may be lost.
    pub(super) fn tell_peers(&mut self, now: Micros, text: String, left: u8) {
        let Some((socket, known)) = &self.peers else {
            return;
        };
        let own = socket.local_addr().ok();
        for peer in known.iter().filter(|peer| Some(**peer) != own) {
            let _ = socket.send_to(text.as_bytes(), peer);
        }
        if left > 0 {
            self.timers.set(
                now + self.limits.gossip_repeat_us,
                Timer::RepeatPurgeGossip(text, left - 1),
            );
        }
    }

    /// Ends a connection whose answer has not come in time.
    pub(super) fn answer_timed_out(&mut self, now: Micros, key: SlabKey) {
        if self
            .connections
            .get(key)
            .is_some_and(|c| matches!(c.kind, Kind::Consul(_) | Kind::Notification(_)))
        {
            self.close(now, key);
        }
    }
}
