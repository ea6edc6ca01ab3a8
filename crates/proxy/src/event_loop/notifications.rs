//! Delivery of notifications to peer CDNs, about purges and changes of this CDN's footprint.

use super::connections::ConnectionRole;
use super::interconnect::Interconnect;
use super::timer::TimerEvent;
use super::EventLoop;
use crate::frontend::interconnect::{Notification, CDNI_MEDIA_TYPE_PREFIX};
use crate::limits::Limits;
use crate::protocol::http::{self, MessageParser, Piece};
use crate::protocol::{Parser, ProtocolError};
use crate::request_table::PurgeTarget;
use edge_routing::Micros;

#[cfg(test)]
mod tests;

/// Maximum number of times that the wait before a retry is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// The delivery of a notification to a peer CDN, over one or more attempts.
#[derive(Clone, Debug)]
pub(super) struct NotificationDelivery {
    notification: Notification,
    attempts: u32,
    /// HTTP status of the response of the peer CDN to the current attempt, if it has responded.
    status: Option<u16>,
    response: MessageParser,
}

impl NotificationDelivery {
    fn new(notification: Notification, response: MessageParser) -> Self {
        NotificationDelivery {
            notification,
            attempts: 0,
            status: None,
            response,
        }
    }

    /// Returns the HTTP request that carries the notification.
    pub(super) fn request(&self) -> Vec<u8> {
        let host = self.notification.address.to_string();
        let content_type = format!("{CDNI_MEDIA_TYPE_PREFIX}{}", self.notification.payload_type);
        let headers = [
            ("Host", host.as_str()),
            ("Content-Type", content_type.as_str()),
            ("Connection", "close"),
        ];
        let request_line = format!("POST {} HTTP/1.1", self.notification.path);
        let mut request = Vec::new();
        http::write_message(
            &mut request,
            &request_line,
            &headers,
            self.notification.body.as_bytes(),
        );
        request
    }

    /// Parses the response up to its status and ignores the rest.
    ///
    /// # Errors
    ///
    /// Returns an error if the response violates the protocol.
    pub(super) fn read(&mut self, input: &[u8]) -> Result<(), ProtocolError> {
        if let (_, Some(Piece::Head(head))) = self.response.parse(input)? {
            self.status = head.status();
        }
        Ok(())
    }

    /// Returns whether the peer CDN has responded to the current attempt.
    pub(super) fn has_response(&self) -> bool {
        self.status.is_some()
    }

    fn prepare_retry(&mut self, response: MessageParser) {
        self.status = None;
        self.response = response;
    }
}

/// Returns a parser for responses whose body is ignored.
fn response_parser(limits: &Limits) -> MessageParser {
    MessageParser::responses(limits.line_bytes, usize::MAX)
}

impl EventLoop {
    /// Notifies peer CDNs of this CDN's footprint if the readiness of the proxy has changed.
    pub(super) fn advertise_readiness(&mut self, now: Micros) {
        let is_ready = self.is_ready();
        let Some(interconnect) = &mut self.interconnect else {
            return;
        };
        if std::mem::replace(&mut interconnect.advertised_ready, is_ready) == is_ready {
            return;
        }
        let notifications = interconnect.frontend.footprint_advertisements(is_ready);
        for notification in notifications {
            self.queue_notification(now, notification);
        }
    }

    /// Forwards a purge from the event bus to peer CDNs.
    pub(super) fn forward_purge(&mut self, now: Micros, target: &PurgeTarget) {
        let Some(interconnect) = &self.interconnect else {
            return;
        };
        let notifications = interconnect.frontend.purge_commands(target);
        for notification in notifications {
            self.queue_notification(now, notification);
        }
    }

    /// Begins the delivery of a notification, or drops it if too many are in flight.
    pub(super) fn queue_notification(&mut self, now: Micros, notification: Notification) {
        let Some(Interconnect {
            notifications_in_flight,
            ..
        }) = &mut self.interconnect
        else {
            return;
        };
        if *notifications_in_flight >= self.limits.notifications {
            log::warn!(
                "dropping the notification for peer CDN {}: the limit of {} notifications in \
                 flight is reached",
                notification.address,
                self.limits.notifications
            );
            return;
        }
        *notifications_in_flight += 1;
        let delivery = NotificationDelivery::new(notification, response_parser(&self.limits));
        self.send_notification(now, Box::new(delivery));
    }

    /// Begins an attempt to deliver a notification, on a new connection.
    pub(super) fn send_notification(&mut self, now: Micros, delivery: Box<NotificationDelivery>) {
        let address = delivery.notification.address;
        let unsent = delivery.clone();
        match self.connect_to(now, address, ConnectionRole::Notification(delivery)) {
            Ok(key) => {
                self.timers.schedule(
                    now + self.limits.notification_timeout_us,
                    TimerEvent::ResponseTimeout(key),
                );
            }
            Err(_) => self.handle_notification_attempt_end(now, unsent),
        }
    }

    /// Handles the end of a delivery attempt. Depending on the response, the notification is
    /// delivered, dropped or sent again later.
    pub(super) fn handle_notification_attempt_end(
        &mut self,
        now: Micros,
        mut delivery: Box<NotificationDelivery>,
    ) {
        delivery.attempts += 1;
        let Notification { address, path, .. } = &delivery.notification;
        match delivery.status {
            Some(200..=299) => {}
            // The peer CDN would reject the same notification again.
            Some(status @ 400..=499) => log::warn!(
                "peer CDN {address} rejected the notification for {path} with status {status}, \
                 dropping it"
            ),
            _ if delivery.attempts >= self.limits.notification_attempts => {
                log::warn!(
                    "peer CDN {address} did not accept the notification for {path} in {} attempts, \
                     dropping it",
                    delivery.attempts
                );
            }
            _ => {
                delivery.prepare_retry(response_parser(&self.limits));
                let doublings = delivery.attempts.min(MAX_BACKOFF_DOUBLINGS);
                let backoff_us = self.limits.gossip_repeat_delay_us << doublings;
                self.timers
                    .schedule(now + backoff_us, TimerEvent::RetryNotification(delivery));
                return;
            }
        }
        if let Some(interconnect) = &mut self.interconnect {
            interconnect.notifications_in_flight -= 1;
        }
    }
}
