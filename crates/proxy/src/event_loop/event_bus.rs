//! The subscription to the event bus: the stream of purges and endpoint list updates.

use super::close_reason::CloseReason;
use super::connections::{Connection, ConnectionRole};
use super::timer::TimerEvent;
use super::EventLoop;
use crate::discovery::event_bus::{DiscoveryEvent, EventBusMessage, EventStreamClient};
use crate::net::{SlabKey, TimerKey};
use crate::protocol::ProtocolError;
use edge_routing::Micros;

/// The state of the subscription. The bus's address is part of the configuration, which SIGHUP may
/// change.
pub(super) struct EventBusSubscription {
    /// The connection in use; none while there is no connection.
    pub(super) connection: Option<SlabKey>,
    /// When the next check is due: there is one at a time.
    timer: Option<TimerKey>,
    /// The last event taken in: the stream goes on after it when it is connected again.
    pub(super) last_event_id: u64,
}

impl EventBusSubscription {
    pub(super) fn new(last_event_id: u64) -> Self {
        EventBusSubscription {
            connection: None,
            timer: None,
            last_event_id,
        }
    }
}

impl EventLoop {
    /// Connects to the event bus, if there is one.
    pub(super) fn connect_event_bus(&mut self, now: Micros) {
        let Some(address) = self.reload.config.event_bus else {
            return;
        };
        let stream = EventStreamClient::new(&self.limits, now);
        let connected = self.connect_to(now, address, ConnectionRole::EventBus(stream));
        self.event_bus.connection = connected.ok();
        let next_check_us = if self.event_bus.connection.is_some() {
            self.limits.event_bus_silence_us
        } else {
            self.limits.reconnect_delay_us
        };
        self.schedule_event_bus_check(now + next_check_us);
    }

    /// The bus has moved to another address: events after the last one are requested there at
    /// once.
    pub(super) fn follow_moved_event_bus(&mut self, now: Micros) {
        if let Some(old) = self.event_bus.connection.take() {
            self.close(now, old, CloseReason::Moved);
        }
        self.connect_event_bus(now);
    }

    fn schedule_event_bus_check(&mut self, at: Micros) {
        let timer = self.timers.set(at, TimerEvent::CheckEventBus);
        if let Some(earlier) = self.event_bus.timer.replace(timer) {
            self.timers.cancel(earlier);
        }
    }

    /// Reconnects where there is no connection, or where the bus has been silent for too long: it
    /// may have vanished without closing its connection, and would be taken for one that has
    /// nothing to say.
    pub(super) fn check_event_bus(&mut self, now: Micros) {
        let Some((key, last_read)) = self.event_bus_last_read() else {
            return self.connect_event_bus(now);
        };
        let silent_at = last_read + self.limits.event_bus_silence_us;
        if now < silent_at {
            return self.schedule_event_bus_check(silent_at);
        }
        log::warn!("the event bus is silent and connected to again");
        self.event_bus.connection = None;
        self.close(now, key, CloseReason::Silent);
        self.connect_event_bus(now);
    }

    /// The connection in use, and when something last came on it.
    fn event_bus_last_read(&self) -> Option<(SlabKey, Micros)> {
        let key = self.event_bus.connection?;
        match &self.connections.get(key)?.role {
            ConnectionRole::EventBus(stream) => Some((key, stream.last_read())),
            _ => None,
        }
    }

    /// A connection to the bus is gone. One that was given up for another, at a new address or
    /// after silence, is not replaced.
    pub(super) fn event_bus_closed(&mut self, now: Micros, key: SlabKey) {
        if self.event_bus.connection == Some(key) {
            self.event_bus.connection = None;
            self.schedule_event_bus_check(now + self.limits.reconnect_delay_us);
        }
    }

    /// Handles what the event stream brought. Events that came before an error still count.
    pub(super) fn read_event_bus(
        &mut self,
        now: Micros,
        key: SlabKey,
    ) -> Result<(), ProtocolError> {
        let Some(Connection {
            transport,
            role: ConnectionRole::EventBus(stream),
            ..
        }) = self.connections.get_mut(key)
        else {
            return Ok(());
        };
        let mut messages = Vec::new();
        let mut result = Ok(());
        while !transport.input.is_empty() && result.is_ok() {
            let input = transport.input.readable();
            let input_bytes = input.len();
            result = stream
                .read(now, input, &mut self.event_bus.last_event_id)
                .map(|more| messages.extend(more));
            transport.input.consume(input_bytes);
        }
        for message in messages {
            self.handle_event_bus_message(now, message);
        }
        result
    }

    /// An event that has just happened. Peer CDNs are notified of purges too.
    fn handle_event_bus_message(&mut self, now: Micros, message: EventBusMessage) {
        if let Some(DiscoveryEvent::Purge { object, group, .. }) = &message.event {
            self.forward_purge(now, object.as_deref(), *group);
        }
        self.apply_event_bus_message(now, message);
    }

    /// Applies an event, live or replayed at the start.
    pub(super) fn apply_event_bus_message(&mut self, now: Micros, message: EventBusMessage) {
        match message.event {
            // The endpoint list has one source: two would each take the other's servers for gone.
            Some(DiscoveryEvent::List(..)) if self.consul.is_some() => {}
            Some(DiscoveryEvent::List(mode, servers)) => {
                self.request_table.update_endpoints(now, mode, servers);
            }
            Some(DiscoveryEvent::Purge { object, group, at }) => {
                self.request_table.purged(now, object, group, at);
            }
            None => log::debug!(
                "event {} of the event bus is of an unknown kind",
                message.offset
            ),
        }
    }
}
