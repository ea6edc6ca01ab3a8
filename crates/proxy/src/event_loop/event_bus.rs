//! The subscription to the event bus, which streams purges and endpoint list updates.

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

/// State of the subscription. The address of the event bus is part of the configuration, which can
/// change on SIGHUP.
///
/// An overloaded event bus may take seconds to accept a connection or to respond on it, and a
/// vanished one never does. The proxy cannot distinguish the two cases. So it keeps a slow
/// connection open for a while and tries another one at the same time. It uses the connection on
/// which the event bus responds first.
pub(super) struct EventBusSubscription {
    /// The connection in use, or the one that was opened last. `None` if there is no connection.
    pub(super) connection: Option<SlabKey>,
    /// A connection that was opened earlier than `connection` and has not received any data yet.
    silent_connection: Option<SlabKey>,
    /// Timer of the next check. At most one is set.
    check_timer: Option<TimerKey>,
    /// Number of the last event that is applied. A new connection requests the events after it.
    pub(super) last_event_id: u64,
    backoff: Backoff,
}

impl EventBusSubscription {
    pub(super) fn new(last_event_id: u64, limits: &Limits, seed: u64) -> Self {
        EventBusSubscription {
            connection: None,
            silent_connection: None,
            check_timer: None,
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
    /// Connects to the event bus, if one is configured.
    pub(super) fn connect_event_bus(&mut self, now: Micros) {
        let Some(address) = self.reload.config.event_bus else {
            return;
        };
        let stream = EventStreamClient::new(&self.limits, now);
        let connected = self.connect_to(now, address, ConnectionRole::EventBus(stream));
        self.event_bus.connection = connected.ok();
        if self.event_bus.connection.is_some() {
            self.schedule_event_bus_check(now + self.limits.event_bus_idle_timeout_us);
        } else {
            self.schedule_event_bus_reconnect(now);
        }
    }

    /// Reconnects at once after the address of the event bus has changed, and requests the events
    /// after the last received one at the new address.
    pub(super) fn reconnect_at_new_event_bus_address(&mut self, now: Micros) {
        let silent = self.event_bus.silent_connection.take();
        let connection = self.event_bus.connection.take();
        for old in [silent, connection].into_iter().flatten() {
            self.close(now, old, CloseReason::EventBusAddressChanged);
        }
        self.event_bus.backoff.reset();
        self.connect_event_bus(now);
    }

    fn schedule_event_bus_reconnect(&mut self, now: Micros) {
        let wait_us = self.event_bus.backoff.next_delay_us();
        self.schedule_event_bus_check(now + wait_us);
    }

    fn schedule_event_bus_check(&mut self, at: Micros) {
        let timer = self.timers.schedule(at, TimerEvent::CheckEventBus);
        if let Some(earlier) = self.event_bus.check_timer.replace(timer) {
            self.timers.cancel(earlier);
        }
    }

    /// Reconnects if there is no connection, or if the event bus has been silent for too long. It
    /// may have vanished without closing its connection, which otherwise looks the same as an event
    /// bus without new events.
    pub(super) fn check_event_bus(&mut self, now: Micros) {
        let Some(key) = self.event_bus.connection else {
            return self.connect_event_bus(now);
        };
        let Some(stream) = self.event_stream(key) else {
            return self.connect_event_bus(now);
        };
        let idle_timeout_at = stream.last_read_at() + self.limits.event_bus_idle_timeout_us;
        if now < idle_timeout_at {
            return self.schedule_event_bus_check(idle_timeout_at);
        }
        let has_received_data = stream.has_received_data();
        log::warn!(
            "event bus connection {:x} received nothing for {} ms, opening another one",
            key.to_u64(),
            self.limits.event_bus_idle_timeout_us / 1_000
        );
        self.event_bus.connection = None;
        if has_received_data {
            self.close(now, key, CloseReason::EventBusSilent);
        } else {
            self.keep_silent_connection(now, key);
        }
        self.connect_event_bus(now);
    }

    /// Handles the connect timeout of a connection to the event bus. The connection is kept open in
    /// addition to a new one, unless an earlier connection is kept on which the event bus may still
    /// respond in time.
    pub(super) fn handle_event_bus_connect_timeout(&mut self, now: Micros, key: SlabKey) {
        if self.event_bus.connection == Some(key) {
            self.event_bus.connection = None;
            self.keep_silent_connection(now, key);
            self.schedule_event_bus_reconnect(now);
        }
    }

    /// Keeps a connection that has not received any data open in addition to the connection in use.
    /// If an earlier such connection is already kept, closes the earlier one if it has been open
    /// for `Limits::event_bus_response_timeout_us`, and otherwise closes the new one.
    fn keep_silent_connection(&mut self, now: Micros, key: SlabKey) {
        let Some(earlier) = self.event_bus.silent_connection else {
            self.event_bus.silent_connection = Some(key);
            return;
        };
        let opened_at = self
            .event_stream(earlier)
            .map(EventStreamClient::last_read_at);
        let is_overdue =
            opened_at.is_none_or(|at| now >= at + self.limits.event_bus_response_timeout_us);
        let to_close = if is_overdue {
            self.event_bus.silent_connection = Some(key);
            earlier
        } else {
            key
        };
        self.close(now, to_close, CloseReason::EventBusSilent);
    }

    /// Handles that input has arrived on a connection to the event bus. From then on it is the
    /// connection in use, and another one that is being tried is closed.
    fn select_event_bus_connection(&mut self, now: Micros, key: SlabKey) {
        self.event_bus.backoff.reset();
        if self.event_bus.silent_connection != Some(key) {
            return;
        }
        self.event_bus.silent_connection = None;
        if let Some(other) = self.event_bus.connection.replace(key) {
            self.close(now, other, CloseReason::EventBusSuperseded);
        }
        self.schedule_event_bus_check(now + self.limits.event_bus_idle_timeout_us);
    }

    fn event_stream(&self, key: SlabKey) -> Option<&EventStreamClient> {
        match &self.connections.get(key)?.role {
            ConnectionRole::EventBus(stream) => Some(stream),
            _ => None,
        }
    }

    /// Handles that a connection to the event bus is closed. Schedules a reconnect if it was the
    /// connection in use. A connection that was already replaced, after an address change or
    /// silence, needs no further replacement.
    pub(super) fn handle_event_bus_closed(&mut self, now: Micros, key: SlabKey) {
        self.event_bus
            .silent_connection
            .take_if(|silent| *silent == key);
        if self.event_bus.connection == Some(key) {
            self.event_bus.connection = None;
            self.schedule_event_bus_reconnect(now);
        }
    }

    /// Handles the buffered input from the event bus. Applies the events in it, also those before
    /// an error.
    ///
    /// # Errors
    ///
    /// Returns an error if the input violates the protocol or the response has ended.
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
            result = stream.read(now, input, self.event_bus.last_event_id, &mut messages);
            transport.input.consume(input_bytes);
        }
        if has_input && result.is_ok() {
            self.select_event_bus_connection(now, key);
        }
        for message in messages {
            self.handle_event_bus_message(now, message);
        }
        result
    }

    /// Handles a live event. Peer CDNs are notified of purges as well. The event counts as received
    /// only after it is applied, because it is not requested again after that.
    fn handle_event_bus_message(&mut self, now: Micros, message: EventBusMessage) {
        for content in &message.contents {
            if let DiscoveryEvent::Purge { target, .. } = content {
                self.forward_purge(now, target);
            }
        }
        let offset = message.offset;
        self.apply_event_bus_message(now, message);
        self.event_bus.last_event_id = offset;
    }

    /// Applies an event that is either live or replayed at startup.
    pub(super) fn apply_event_bus_message(&mut self, now: Micros, message: EventBusMessage) {
        if message.contents.is_empty() {
            log::debug!(
                "ignoring event {} of the event bus, which has an unknown type",
                message.offset
            );
        }
        for content in message.contents {
            self.apply_discovery_event(now, content);
        }
    }

    fn apply_discovery_event(&mut self, now: Micros, event: DiscoveryEvent) {
        match event {
            // The endpoint list must have a single source. With two sources, each list would remove
            // the servers of the other.
            DiscoveryEvent::EndpointList(..) if self.consul.is_some() => {}
            DiscoveryEvent::EndpointList(mode, servers) => {
                self.request_table.update_endpoints(now, mode, servers);
            }
            DiscoveryEvent::Purge { target, at } => {
                self.request_table.handle_purge_event(now, target, at);
            }
        }
    }
}
