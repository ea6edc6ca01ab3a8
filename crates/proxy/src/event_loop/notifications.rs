//! Delivery of notifications to peer CDNs: purges and changes of our footprint.

use super::connections::ConnectionRole;
use super::interconnect::Interconnect;
use super::timer::TimerEvent;
use super::EventLoop;
use crate::frontend::interconnect::{Notification, MEDIA};
use crate::limits::Limits;
use crate::protocol::http::{self, MessageParser, Piece};
use crate::protocol::{Parser, ProtocolError};
use edge_routing::Micros;

#[cfg(test)]
mod tests;

/// The wait before a retry doubles with each attempt up to this one.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// A notification on its way to a peer CDN.
#[derive(Clone, Debug)]
pub(super) struct NotificationDelivery {
    notification: Notification,
    attempts: u32,
    /// The status that the peer CDN answered the present attempt with.
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

    /// The request that carries the notification.
    pub(super) fn request(&self) -> Vec<u8> {
        let host = self.notification.address.to_string();
        let content_type = format!("{MEDIA}{}", self.notification.ptype);
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

    /// Takes in the response up to its status, which is all that counts.
    pub(super) fn read(&mut self, input: &[u8]) -> Result<(), ProtocolError> {
        if let (_, Some(Piece::Head(head))) = self.response.parse(input)? {
            self.status = head.status();
        }
        Ok(())
    }

    /// Whether the peer CDN has answered.
    pub(super) fn has_response(&self) -> bool {
        self.status.is_some()
    }

    fn prepare_retry(&mut self, response: MessageParser) {
        self.status = None;
        self.response = response;
    }
}

/// A parser of responses whose body is not looked at.
fn response_parser(limits: &Limits) -> MessageParser {
    MessageParser::responses(limits.line_bytes, usize::MAX)
}

impl EventLoop {
    /// Notifies peer CDNs of our footprint where our readiness has changed.
    pub(super) fn announce_readiness(&mut self, now: Micros) {
        let is_ready = self.is_ready();
        let Some(interconnect) = &mut self.interconnect else {
            return;
        };
        if std::mem::replace(&mut interconnect.announced_ready, is_ready) == is_ready {
            return;
        }
        let notifications = interconnect.frontend.footprint_advertisements(is_ready);
        for notification in notifications {
            self.queue_notification(now, notification);
        }
    }

    /// Passes a purge that came by the event bus on to peer CDNs.
    pub(super) fn forward_purge(&mut self, now: Micros, object: Option<&str>, group: u64) {
        let Some(interconnect) = &self.interconnect else {
            return;
        };
        let notifications = interconnect.frontend.purge_triggers(object, group);
        for notification in notifications {
            self.queue_notification(now, notification);
        }
    }

    /// Begins the delivery of a notification, unless too many are in flight.
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
                "a notification for {} is dropped: too many are in flight",
                notification.address
            );
            return;
        }
        *notifications_in_flight += 1;
        let delivery = NotificationDelivery::new(notification, response_parser(&self.limits));
        self.send_notification(now, Box::new(delivery));
    }

    /// Begins an attempt to deliver a notification, on a connection of its own.
    pub(super) fn send_notification(&mut self, now: Micros, delivery: Box<NotificationDelivery>) {
        let address = delivery.notification.address;
        let unsent = delivery.clone();
        match self.connect_to(now, address, ConnectionRole::Notification(delivery)) {
            Ok(key) => {
                self.timers.set(
                    now + self.limits.notification_timeout_us,
                    TimerEvent::ResponseTimeout(key),
                );
            }
            Err(_) => self.notification_attempted(now, unsent),
        }
    }

    /// An attempt is over, with a response or without one: the notification is delivered, given up
    /// or tried again.
    pub(super) fn notification_attempted(
        &mut self,
        now: Micros,
        mut delivery: Box<NotificationDelivery>,
    ) {
        delivery.attempts += 1;
        let Notification { address, path, .. } = &delivery.notification;
        match delivery.status {
            Some(200..=299) => {}
            // Refused: the same notification would be refused again.
            Some(status @ 400..=499) => log::warn!("{address}{path} answered {status}"),
            _ if delivery.attempts >= self.limits.notification_attempts => {
                log::warn!("{address}{path} takes no notification");
            }
            _ => {
                delivery.prepare_retry(response_parser(&self.limits));
                let doublings = delivery.attempts.min(MAX_BACKOFF_DOUBLINGS);
                let backoff_us = self.limits.gossip_repeat_us << doublings;
                self.timers
                    .set(now + backoff_us, TimerEvent::RetryNotification(delivery));
                return;
            }
        }
        if let Some(interconnect) = &mut self.interconnect {
            interconnect.notifications_in_flight -= 1;
        }
    }
}
