//! The second front's sockets: what neighbours and redirected clients ask, and what neighbours are sent.

use super::{Connection, EventLoop, Kind, Timer, CDNI};
use crate::discovery::purge_gossip::{self as peers, Purge};
use crate::frontend::interconnect::{
    self as cdni, Effect, InterconnectReply, Notification, Session, MEDIA,
};
use crate::net::{BufferedSocket, IoProgress, SlabKey};
use crate::protocol::http::{self, Messages, Piece};
use crate::protocol::{Parser, ProtocolError};
use crate::request_table::{Answer, ResponseTarget};
use edge_routing::Micros;

/// A payload on its way to a neighbour.
#[derive(Clone, Debug)]
pub(super) struct NotificationDelivery {
    post: Notification,
    tries: u32,
    status: Option<u16>,
    messages: Messages,
}

impl NotificationDelivery {
    /// The request that carries it.
    pub(super) fn request(&self) -> Vec<u8> {
        let mut out = Vec::new();
        let (host, media) = (
            self.post.address.to_string(),
            format!("{MEDIA}{}", self.post.ptype),
        );
        let headers = [
            ("Host", host.as_str()),
            ("Content-Type", media.as_str()),
            ("Connection", "close"),
        ];
        http::write_message(
            &mut out,
            &format!("POST {} HTTP/1.1", self.post.path),
            &headers,
            self.post.body.as_bytes(),
        );
        out
    }

    pub(super) fn read(&mut self, input: &[u8]) -> Result<(), ProtocolError> {
        if let (_, Some(Piece::Head(head))) = self.messages.parse(input)? {
            self.status = head.status();
        }
        Ok(())
    }

    /// Whether the neighbour has answered: its status is all that is wanted.
    pub(super) fn is_done(&self) -> bool {
        self.status.is_some()
    }
}

impl EventLoop {
    /// Where neighbours connect.
    pub fn cdni_address(&self) -> Option<std::net::SocketAddr> {
        self.interconnect.as_ref()?.0.local_addr().ok()
    }

    pub(super) fn accept_cdni(&mut self, now: Micros) {
        while self.interconnect.is_some() && !self.grace_over {
            let room = self.room_for_client(now);
            let Some((listener, _)) = &self.interconnect else {
                return;
            };
            let taken = room.and_then(|leaver| Ok((listener.accept()?.0, leaver)));
            let (socket, leaver) = match taken {
                Ok(taken) => taken,
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break,
                Err(e) => {
                    log::debug!("accepting neighbours pauses: {e}");
                    let _ = self.poll.change(listener, CDNI, false, false);
                    return self.accept_later(now);
                }
            };
            let session = Session::new(self.limits.line_bytes, self.limits.body_bytes);
            let conn = BufferedSocket::new(
                socket,
                true,
                self.limits.input_buffer_bytes,
                self.limits.output_buffer_bytes,
            );
            if let Ok(conn) = conn {
                self.take_in(now, conn, Kind::Cdni(Box::new(session)), leaver);
            }
        }
        if let Some((listener, _)) = &self.interconnect {
            let _ = self.poll.change(listener, CDNI, true, false);
        }
    }

    pub(super) fn read_cdni(&mut self, now: Micros, key: SlabKey) -> Result<(), ProtocolError> {
        loop {
            let ready = self.request_table.is_ready() && !self.stopping;
            let Some(Connection {
                conn,
                kind: Kind::Cdni(session),
                ..
            }) = self.connections.get_mut(key)
            else {
                return Ok(());
            };
            let (head, body) = match session.read(&mut conn.input) {
                Ok(Some(request)) => request,
                Ok(None) => return Ok(()),
                Err(e) => {
                    // Said by a status before the connection ends: the sender is to learn what it did.
                    log::warn!("a neighbour sent what can't be read: {e}");
                    session.refuse();
                    return Ok(());
                }
            };
            let Some((_, interconnect)) = &mut self.interconnect else {
                return Ok(());
            };
            let (reply, effects) = interconnect.handle(
                now,
                ready,
                self.request_table.permanent_purge_capacity(),
                &head,
                &body,
            );
            match reply {
                InterconnectReply::Now(response) => session.respond(&response),
                InterconnectReply::Admit(asked) => {
                    session.until = now + asked.remaining_us;
                    let client = ResponseTarget {
                        connection: key,
                        stream: 0,
                    };
                    let request_key = if self.grace_over {
                        None
                    } else {
                        self.request_table.admit(now, client, asked).ok()
                    };
                    match request_key {
                        Some(request_key) => session.waiting = Some(request_key),
                        None => {
                            let retry_after_us = Some(self.limits.retry_after_us);
                            session.respond(&cdni::response(
                                Answer::Rejected { retry_after_us },
                                false,
                            ));
                        }
                    }
                }
            }
            effects
                .into_iter()
                .for_each(|effect| self.carry_out(now, effect));
            self.settle(now);
            if !self.write_cdni(key) {
                return Ok(());
            }
        }
    }

    fn carry_out(&mut self, now: Micros, effect: Effect) {
        match effect {
            Effect::Purge(object, group) => {
                if let Some(text) = peers::encode(&Purge {
                    object: object.clone(),
                    group,
                    purged_at: now,
                }) {
                    self.tell_peers(now, text, 2);
                }
                self.purge_for_good(now, object, group, now);
            }
            Effect::Notify(post) => self.send_out(now, post),
        }
    }

    /// A purge that the boxes hear nothing of: in force from here on, also for a proxy that starts again.
    pub(super) fn purge_for_good(
        &mut self,
        now: Micros,
        object: Option<String>,
        group: u64,
        at: Micros,
    ) {
        if !self
            .request_table
            .purge_permanently(now, object.clone(), group, at)
        {
            return;
        }
        if let Some(Err(e)) = self.purge_log.as_mut().map(|purge_log| {
            purge_log.add(&Purge {
                object,
                group,
                purged_at: at,
            })
        }) {
            log::error!("a purge is in force but not kept for the next start: {e}");
        }
    }

    pub(super) fn answer_cdni(&mut self, now: Micros, key: SlabKey, answer: Answer) {
        let Some(Connection {
            kind: Kind::Cdni(session),
            ..
        }) = self.connections.get_mut(key)
        else {
            return;
        };
        let late = now + self.limits.answer_lead_us >= session.until;
        session.respond(&cdni::response(answer, late));
        // The next request may have come meanwhile; reading it is left to the loop, so that a neighbour that
        // sends many at once can't nest them here.
        self.timers.set(now, Timer::Serve(key));
    }

    /// Writes what is waiting; false where the connection is over.
    pub(super) fn write_cdni(&mut self, key: SlabKey) -> bool {
        let Some(Connection {
            conn,
            kind: Kind::Cdni(session),
            ..
        }) = self.connections.get_mut(key)
        else {
            return true;
        };
        loop {
            session.write(&mut conn.output);
            match conn.write() {
                IoProgress::Advanced => {}
                IoProgress::Broken => return false,
                _ => return !(session.is_finished() && conn.output.is_empty()),
            }
        }
    }

    // ---- To neighbours ----

    /// Tells neighbours of our footprint when our being able to serve has changed.
    pub(super) fn notify(&mut self, now: Micros) {
        let ready = self.request_table.is_ready() && !self.stopping;
        if std::mem::replace(&mut self.told_ready, ready) == ready {
            return;
        }
        let posts = self
            .interconnect
            .as_ref()
            .map(|(_, interconnect)| interconnect.footprint_advertisements(ready))
            .unwrap_or_default();
        posts.into_iter().for_each(|post| self.send_out(now, post));
    }

    /// Passes a purge that came by the event bus on to neighbours.
    pub(super) fn pass_on(&mut self, now: Micros, object: Option<&str>, group: u64) {
        let posts = self
            .interconnect
            .as_ref()
            .map(|(_, interconnect)| interconnect.purge_triggers(object, group))
            .unwrap_or_default();
        posts.into_iter().for_each(|post| self.send_out(now, post));
    }

    fn send_out(&mut self, now: Micros, post: Notification) {
        if self.posts >= self.limits.notifications {
            log::warn!(
                "a payload for {} is dropped: too many are on their way",
                post.address
            );
            return;
        }
        self.posts += 1;
        let messages = Messages::responses(self.limits.line_bytes, usize::MAX);
        self.post(
            now,
            Box::new(NotificationDelivery {
                post,
                tries: 0,
                status: None,
                messages,
            }),
        );
    }

    pub(super) fn post(&mut self, now: Micros, delivery: Box<NotificationDelivery>) {
        let again = delivery.clone();
        match self.call(now, delivery.post.address, Kind::Notification(delivery)) {
            Some(key) => {
                self.timers.set(
                    now + self.limits.notification_timeout_us,
                    Timer::Answered(key),
                );
            }
            None => self.posted(now, again),
        }
    }

    /// A try is over: by an answer, or without one.
    pub(super) fn posted(&mut self, now: Micros, mut delivery: Box<NotificationDelivery>) {
        delivery.tries += 1;
        match delivery.status {
            Some(200..=299) => self.posts -= 1,
            // Said no: the same payload would get the same answer.
            Some(status @ 400..=499) => {
                log::warn!(
                    "{}{} answered {status}",
                    delivery.post.address,
                    delivery.post.path
                );
                self.posts -= 1;
            }
            _ if delivery.tries >= self.limits.notification_attempts => {
                log::warn!(
                    "{}{} takes no payload",
                    delivery.post.address,
                    delivery.post.path
                );
                self.posts -= 1;
            }
            _ => {
                delivery.status = None;
                delivery.messages = Messages::responses(self.limits.line_bytes, usize::MAX);
                let wait = self.limits.gossip_repeat_us << delivery.tries.min(6);
                self.timers
                    .set(now + wait, Timer::RetryNotification(delivery));
            }
        }
    }

    /// Reads on behind an answer.
    pub(super) fn serve_cdni(&mut self, now: Micros, key: SlabKey) {
        let read = self.read_cdni(now, key);
        if read.is_err() || !self.write(now, key) {
            self.end(now, key);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_without_an_answer_is_no_delivery() {
        let post = Notification {
            address: ([127, 0, 0, 1], 9).into(),
            path: "/t".into(),
            ptype: "x",
            body: "{}".into(),
        };
        let mut delivery = NotificationDelivery {
            post,
            tries: 0,
            status: None,
            messages: Messages::responses(512, 512),
        };
        let text = String::from_utf8(delivery.request()).unwrap();
        assert!(
            text.starts_with("POST /t HTTP/1.1\r\n")
                && text.ends_with("Content-Length: 2\r\n\r\n{}")
        );
        delivery.read(b"HTTP/1.1 201 Cre").unwrap();
        assert!(!delivery.is_done());
        delivery.read(b"ated\r\nContent-Length: 0\r\n\r\n").unwrap();
        assert_eq!(delivery.status, Some(201));
    }
}
