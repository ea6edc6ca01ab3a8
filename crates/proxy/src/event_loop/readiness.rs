//! Handles readiness of a connection: completes connecting, reads and writes, depending on the role
//! of the connection.

use super::close_reason::CloseReason;
use super::connections::ConnectionRole;
use super::EventLoop;
use crate::discovery::event_bus;
use crate::frontend::ClientSession;
use crate::net::{IoProgress, Readiness, SlabKey};
use crate::protocol::ProtocolError;
use crate::sys::errors;
use edge_routing::Micros;

impl EventLoop {
    /// Handles a readiness event of a connection.
    pub(super) fn handle_readiness(&mut self, now: Micros, key: SlabKey, readiness: Readiness) {
        // The key of a connection that was closed earlier in the same turn finds no entry, because
        // the generation in the key differs. Its event is ignored.
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        if readiness.is_writable && !connection.transport.is_connected {
            if let Err(reason) = self.finish_connect(key) {
                return self.close(now, key, reason);
            }
        }
        if readiness.peer_closed && self.closes_on_half_close(key) {
            // The client no longer waits for its requests, including those that are not read yet.
            return self.close(now, key, CloseReason::PeerClosed);
        }
        let mut input_result = Ok(());
        if readiness.is_readable {
            let (progress, result) = self.read_socket(now, key, readiness.is_broken);
            if let Err(e) = result {
                self.log_protocol_error(key, &e);
                input_result = Err(CloseReason::ProtocolError);
            }
            match progress {
                IoProgress::PeerClosed => return self.close(now, key, CloseReason::PeerClosed),
                IoProgress::Broken => return self.close(now, key, CloseReason::Broken),
                IoProgress::Advanced | IoProgress::WouldBlock | IoProgress::Postponed => {}
            }
        }
        if let Err(reason) = input_result.and_then(|()| self.write(now, key)) {
            return self.close_gracefully(now, key, reason);
        }
        self.update_client_activity(now, key);
        self.enforce_partial_request_limit(now);
    }

    /// Returns whether a connection is closed when its client closes its half. This holds for
    /// FastCGI clients. A peer CDN still gets the responses to the requests it has sent, unless it
    /// closes its half while it waits for content.
    fn closes_on_half_close(&self, key: SlabKey) -> bool {
        let role = self.connections.get(key).map(|connection| &connection.role);
        match role {
            Some(ConnectionRole::FastCgiClient(_)) => true,
            Some(ConnectionRole::InterconnectClient(session)) => session.unanswered_requests() > 0,
            _ => false,
        }
    }

    /// Reads and handles what a connection has received so far, even if the poller has not yet
    /// reported it.
    pub(super) fn read_available_input(&mut self, now: Micros, key: SlabKey) {
        self.handle_readiness(now, key, Readiness::readable(key.to_u64()));
        self.execute_commands(now);
    }

    /// Completes an outgoing connection, and queues its first request if the role determines one.
    ///
    /// # Errors
    ///
    /// Returns the reason for closing the connection if it could not be established.
    fn finish_connect(&mut self, key: SlabKey) -> Result<(), CloseReason> {
        let Some(connection) = self.connections.get_mut(key) else {
            return Ok(());
        };
        connection.transport.finish_connect().map_err(|e| {
            log::debug!(
                "connection {:x} could not be established: {e}",
                key.to_u64()
            );
            if errors::is_local_resource_error(&e) {
                CloseReason::LocalFailure
            } else {
                CloseReason::ConnectFailed
            }
        })?;
        let request = match &connection.role {
            ConnectionRole::EventBus(_) => self.reload.config.event_bus.map(|address| {
                event_bus::request(&address.to_string(), self.event_bus.last_event_id)
            }),
            ConnectionRole::Consul(_) => self
                .consul
                .as_ref()
                .map(|poller| poller.consul.next_request(&poller.address.to_string())),
            ConnectionRole::Notification(delivery) => Some(delivery.request()),
            _ => None,
        };
        if let Some(request) = request {
            connection.transport.output.push(&request);
        }
        Ok(())
    }

    /// Reads from the socket once and handles the input. The caller must use both results, because
    /// the last bytes before the end of a connection are handled too.
    fn read_socket(
        &mut self,
        now: Micros,
        key: SlabKey,
        broken: bool,
    ) -> (IoProgress, Result<(), ProtocolError>) {
        match self.connections.get_mut(key) {
            Some(connection) if connection.transport.is_connected => {
                let progress = connection.transport.read(broken);
                if progress == IoProgress::Postponed {
                    self.schedule_connection_retry(now, key);
                    return (progress, Ok(()));
                }
                let result = self.handle_input(now, key);
                if let Some(connection) = self.connections.get_mut(key) {
                    connection.unread_since = None;
                }
                (progress, result)
            }
            _ => (IoProgress::WouldBlock, Ok(())),
        }
    }

    fn log_protocol_error(&self, key: SlabKey, error: &ProtocolError) {
        // A client that sends invalid input must not be able to fill the log.
        let level = if self.is_client(key) {
            log::Level::Debug
        } else {
            log::Level::Warn
        };
        log::log!(
            level,
            "closing connection {:x} after a protocol error: {error}",
            key.to_u64()
        );
    }

    /// Handles the input in the buffer of a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the input violates the protocol.
    pub(super) fn handle_input(&mut self, now: Micros, key: SlabKey) -> Result<(), ProtocolError> {
        let Some(connection) = self.connections.get_mut(key) else {
            return Ok(());
        };
        match &mut connection.role {
            ConnectionRole::FastCgiClient(_) => self.read_fastcgi_client(now, key),
            ConnectionRole::InterconnectClient(_) => self.read_interconnect_client(now, key),
            ConnectionRole::Lingering { discarded_bytes } => {
                *discarded_bytes += connection.transport.input.len();
                connection.transport.input.clear();
                if *discarded_bytes > self.limits.lingering_close_bytes {
                    return Err(ProtocolError::TooLong("input during a lingering close"));
                }
                Ok(())
            }
            ConnectionRole::Upstream(_) => self.read_upstream(now, key),
            ConnectionRole::EventBus(_) => self.read_event_bus(now, key),
            ConnectionRole::Consul(_) => self.read_consul(now, key),
            ConnectionRole::Notification(delivery) => {
                let input = connection.transport.input.readable();
                let input_bytes = input.len();
                let result = delivery.read(input);
                connection.transport.input.consume(input_bytes);
                result
            }
        }
    }

    /// Writes the buffered output of a connection, and updates what depends on its buffers.
    ///
    /// # Errors
    ///
    /// Returns the reason for closing the connection if it is finished or broken.
    pub(super) fn write(&mut self, now: Micros, key: SlabKey) -> Result<(), CloseReason> {
        let Some(connection) = self.connections.get_mut(key) else {
            return Ok(());
        };
        let error_if_broken = |is_broken: bool| match is_broken {
            true => Err(CloseReason::Broken),
            false => Ok(()),
        };
        let written = match &connection.role {
            ConnectionRole::FastCgiClient(_) => {
                self.write_fastcgi_client(key);
                self.check_client_is_unfinished(key)
            }
            ConnectionRole::InterconnectClient(_) => {
                let is_broken = !self.write_interconnect_client(key);
                error_if_broken(is_broken).and_then(|()| self.check_client_is_unfinished(key))
            }
            ConnectionRole::Lingering { .. } => Ok(()),
            ConnectionRole::Upstream(_) => self.flush_upstream(now, key),
            ConnectionRole::Notification(delivery) if delivery.has_response() => {
                Err(CloseReason::Finished)
            }
            ConnectionRole::EventBus(_)
            | ConnectionRole::Consul(_)
            | ConnectionRole::Notification(_) => {
                error_if_broken(connection.transport.write() == IoProgress::Broken)
            }
        };
        self.update_connection_memory(now, key);
        self.update_poll_interest(now, key);
        written
    }

    /// Checks whether anything may still be sent on a client connection.
    ///
    /// # Errors
    ///
    /// Returns the reason for closing the connection if nothing more will be sent on it. Either the
    /// client has asked for it to be closed, or the grace period of a shutdown is over and no
    /// request is unanswered or partially received.
    fn check_client_is_unfinished(&self, key: SlabKey) -> Result<(), CloseReason> {
        let Some(connection) = self.connections.get(key) else {
            return Ok(());
        };
        let Some(session) = connection.role.client_session() else {
            return Ok(());
        };
        if !connection.transport.output.is_empty() || connection.unread_since.is_some() {
            return Ok(());
        }
        if session.is_finished() {
            return Err(CloseReason::Finished);
        }
        let has_no_request = session.is_idle() && !session.has_partial_input();
        if self.shutdown.is_grace_over() && has_no_request {
            return Err(CloseReason::ShuttingDown);
        }
        Ok(())
    }
}
