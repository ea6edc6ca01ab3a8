//! Consul as the source of the endpoint list. Queries are sent one after the other, each on a new
//! connection.

use super::connections::{Connection, ConnectionRole};
use super::timer::TimerEvent;
use super::EventLoop;
use crate::discovery::backoff::Backoff;
use crate::discovery::consul::{Consul, ConsulError, ConsulQuery};
use crate::limits::Limits;
use crate::net::SlabKey;
use crate::protocol::http::Message;
use crate::protocol::ProtocolError;
use edge_routing::{EndpointListMode, Micros};
use std::net::SocketAddr;

/// How long Consul may delay its response to a blocking query while nothing changes, in seconds.
const BLOCKING_QUERY_WAIT_S: u64 = 10;

/// Polls Consul with blocking queries.
pub(super) struct ConsulPoller {
    pub(super) address: SocketAddr,
    pub(super) consul: Consul,
    backoff: Backoff,
}

impl ConsulPoller {
    pub(super) fn new(address: SocketAddr, service: String, limits: &Limits, seed: u64) -> Self {
        ConsulPoller {
            address,
            consul: Consul::new(service, BLOCKING_QUERY_WAIT_S),
            backoff: Backoff::new(
                limits.reconnect_delay_us,
                limits.max_reconnect_delay_us,
                seed,
            ),
        }
    }
}

impl EventLoop {
    /// Sends the next query, if Consul is configured.
    pub(super) fn query_consul(&mut self, now: Micros) {
        let Some(poller) = &self.consul else {
            return;
        };
        let address = poller.address;
        let query = ConsulQuery::new(&self.limits);
        match self.connect_to(now, address, ConnectionRole::Consul(query)) {
            Ok(key) => {
                self.timers.schedule(
                    now + self.limits.consul_timeout_us,
                    TimerEvent::ResponseTimeout(key),
                );
            }
            Err(_) => self.handle_consul_response(now, None),
        }
    }

    /// Handles the buffered input from Consul.
    ///
    /// # Errors
    ///
    /// Returns an error if the input violates the protocol.
    pub(super) fn read_consul(&mut self, now: Micros, key: SlabKey) -> Result<(), ProtocolError> {
        let Some(Connection {
            transport,
            role: ConnectionRole::Consul(query),
            ..
        }) = self.connections.get_mut(key)
        else {
            return Ok(());
        };
        let input = transport.input.readable();
        let input_bytes = input.len();
        let response = query.read(input)?;
        transport.input.consume(input_bytes);
        if response.is_some() {
            // Each connection carries one query. The connection is removed from the table without
            // `close`, because `close` would count as a failed query.
            self.connections.remove(key);
            self.handle_consul_response(now, response);
        }
        Ok(())
    }

    /// Handles the response to the last query, which is `None` if the query failed. Schedules the
    /// next query, at once after a valid response and with a backoff after a failure.
    pub(super) fn handle_consul_response(&mut self, now: Micros, response: Option<Message>) {
        let Some(ConsulPoller {
            consul, backoff, ..
        }) = &mut self.consul
        else {
            return;
        };
        let update = response
            .ok_or(ConsulError::NoResponse)
            .and_then(|message| consul.handle_response(&message));
        let next_query = match update {
            Ok(servers) => {
                backoff.reset();
                if let Some(servers) = servers {
                    self.request_table
                        .update_endpoints(now, EndpointListMode::Snapshot, servers);
                }
                now
            }
            Err(e) => {
                log::warn!("Consul: {e}");
                consul.handle_failure();
                now + backoff.next_delay_us()
            }
        };
        self.timers.schedule(next_query, TimerEvent::QueryConsul);
    }
}
