//! The subscription to the event bus: the stream of purges and endpoint list updates.

use super::close_reason::CloseReason;
use super::connections::{Connection, ConnectionRole};
use super::timer::TimerEvent;
use super::EventLoop;
use crate::discovery::backoff::Backoff;
use crate::discovery::event_bus::{DiscoveryEvent, EventBusMessage, EventStreamClient};
use crate::limits::Limits;
use crate::net::{SlabKey, TimerKey};
use crate::protocol::ProtocolError;
use edge_routing::Micros;

/// The state of the subscription. The bus's address is part of the configuration, which SIGHUP may
/// change.
///
/// A bus that is crowded may take seconds to accept a connection or to answer on it, and one that
/// has vanished never does; nobody can tell which. So a connection that is late stays open for a
/// while, and another one is tried beside it: whichever is answered first is used.
pub(super) struct EventBusSubscription {
    /// The connection in use, or the one that was opened last; none while there is none.
    pub(super) connection: Option<SlabKey>,
    /// A connection that was opened before it, and is not answered yet.
    late_connection: Option<SlabKey>,
    /// When the next check is due: there is one at a time.
    timer: Option<TimerKey>,
    /// The last event taken in: the stream goes on after it when it is connected again.
    pub(super) last_event_id: u64,
    backoff: Backoff,
}

impl EventBusSubscription {
    pub(super) fn new(last_event_id: u64, limits: &Limits, seed: u64) -> Self {
        EventBusSubscription {
            connection: None,
            late_connection: None,
            timer: None,
            last_event_id,
            backoff: Backoff::new(
                limits.reconnect_delay_us,
                limits.max_reconnect_delay_us,
                seed,
            ),
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
        if self.event_bus.connection.is_some() {
            self.schedule_event_bus_check(now + self.limits.event_bus_silence_us);
        } else {
            self.reconnect_event_bus_later(now);
        }
    }

    /// The bus has moved to another address: events after the last one are requested there at
    /// once.
    pub(super) fn follow_moved_event_bus(&mut self, now: Micros) {
        let late = self.event_bus.late_connection.take();
        let connection = self.event_bus.connection.take();
        for old in [late, connection].into_iter().flatten() {
            self.close(now, old, CloseReason::Moved);
        }
        self.event_bus.backoff.succeeded();
        self.connect_event_bus(now);
    }

    fn reconnect_event_bus_later(&mut self, now: Micros) {
        let wait_us = self.event_bus.backoff.next_us();
        self.schedule_event_bus_check(now + wait_us);
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
        let Some(key) = self.event_bus.connection else {
            return self.connect_event_bus(now);
        };
        let Some(stream) = self.event_stream(key) else {
            return self.connect_event_bus(now);
        };
        let silent_at = stream.last_read() + self.limits.event_bus_silence_us;
        if now < silent_at {
            return self.schedule_event_bus_check(silent_at);
        }
        let has_answered = stream.has_answered();
        log::warn!("the event bus is silent and connected to again");
        self.event_bus.connection = None;
        if has_answered {
            self.close(now, key, CloseReason::Silent);
        } else {
            self.keep_late_connection(now, key);
        }
        self.connect_event_bus(now);
    }

    /// A connection to the bus has not come up in time. It stays open if no other one does so.
    pub(super) fn event_bus_connects_late(&mut self, now: Micros, key: SlabKey) {
        if self.event_bus.connection == Some(key) {
            self.event_bus.connection = None;
            self.keep_late_connection(now, key);
            self.reconnect_event_bus_later(now);
        }
    }

    /// Keeps a connection that is not answered yet, unless an earlier one still has the time to be.
    fn keep_late_connection(&mut self, now: Micros, key: SlabKey) {
        let Some(earlier) = self.event_bus.late_connection else {
            self.event_bus.late_connection = Some(key);
            return;
        };
        let opened_at = self.event_stream(earlier).map(EventStreamClient::last_read);
        let is_overdue = opened_at.is_none_or(|at| now >= at + self.limits.event_bus_patience_us);
        let given_up = if is_overdue {
            self.event_bus.late_connection = Some(key);
            earlier
        } else {
            key
        };
        self.close(now, given_up, CloseReason::Silent);
    }

    /// Something has come on a connection to the bus: from here on it is the one in use.
    fn use_event_bus_connection(&mut self, now: Micros, key: SlabKey) {
        self.event_bus.backoff.succeeded();
        if self.event_bus.late_connection != Some(key) {
            return;
        }
        self.event_bus.late_connection = None;
        if let Some(other) = self.event_bus.connection.replace(key) {
            self.close(now, other, CloseReason::Superseded);
        }
        self.schedule_event_bus_check(now + self.limits.event_bus_silence_us);
    }

    fn event_stream(&self, key: SlabKey) -> Option<&EventStreamClient> {
        match &self.connections.get(key)?.role {
            ConnectionRole::EventBus(stream) => Some(stream),
            _ => None,
        }
    }

    /// A connection to the bus is gone. One that was given up for another, at a new address or
    /// after silence, is not replaced.
    pub(super) fn event_bus_closed(&mut self, now: Micros, key: SlabKey) {
        self.event_bus.late_connection.take_if(|late| *late == key);
        if self.event_bus.connection == Some(key) {
            self.event_bus.connection = None;
            self.reconnect_event_bus_later(now);
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
        let has_input = !transport.input.is_empty();
        while !transport.input.is_empty() && result.is_ok() {
            let input = transport.input.readable();
            let input_bytes = input.len();
            result = stream
                .read(now, input, &mut self.event_bus.last_event_id)
                .map(|more| messages.extend(more));
            transport.input.consume(input_bytes);
        }
        if has_input && result.is_ok() {
            self.use_event_bus_connection(now, key);
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
                self.request_table
                    .handle_purge_event(now, object, group, at);
            }
            None => log::debug!(
                "event {} of the event bus is of an unknown kind",
                message.offset
            ),
        }
    }
}
