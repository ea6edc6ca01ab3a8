//! Interconnect clients: requests of peer CDNs and of the clients that they redirect, and what
//! follows from them.

use super::close_reason::CloseReason;
use super::timer::TimerEvent;
use super::{purge_gossip, EventLoop};
use crate::discovery::purge_gossip::{self as gossip, Purge};
use crate::discovery::purge_log::PurgeLog;
use crate::frontend::interconnect::{
    self as frontend, Effect, InterconnectFrontend, InterconnectReply, Response,
};
use crate::net::{IoProgress, SlabKey};
use crate::protocol::http::Message;
use crate::protocol::ProtocolError;
use crate::request_table::{Answer, ClientRequest, ResponseTarget};
use edge_routing::Micros;

/// The stream number of interconnect requests: a connection has one open at a time.
const ONLY_STREAM: u32 = 0;

/// The interconnection with peer CDNs.
pub(super) struct Interconnect {
    pub(super) frontend: InterconnectFrontend,
    /// Where purges are kept for the next start; none: they last as long as the process.
    pub(super) purge_log: Option<PurgeLog>,
    /// Purges that could not be written are written again.
    pub(super) purge_log_retry_scheduled: bool,
    /// Notifications being delivered or waiting for a retry.
    pub(super) notifications_in_flight: usize,
    /// The readiness that peer CDNs were last notified of.
    pub(super) announced_ready: bool,
}

impl Interconnect {
    pub(super) fn new(frontend: InterconnectFrontend, purge_log: Option<PurgeLog>) -> Self {
        Interconnect {
            frontend,
            purge_log,
            purge_log_retry_scheduled: false,
            notifications_in_flight: 0,
            announced_ready: false,
        }
    }
}

impl EventLoop {
    /// Handles the requests that an interconnect connection has received, as far as their turn has
    /// come.
    pub(super) fn read_interconnect_client(
        &mut self,
        now: Micros,
        key: SlabKey,
    ) -> Result<(), ProtocolError> {
        loop {
            let Some((transport, session)) = self.connections.interconnect_client_mut(key) else {
                return Ok(());
            };
            let message = match session.read(&mut transport.input) {
                Ok(Some(message)) => message,
                Ok(None) => return Ok(()),
                Err(e) => {
                    // Answered by a status before the connection ends, so that the sender learns
                    // what it did.
                    log::warn!("a peer CDN sent what can't be read: {e}");
                    session.reject_input();
                    return Ok(());
                }
            };
            self.handle_interconnect_request(now, key, &message);
            self.execute_commands(now);
            if !self.write_interconnect_client(key) {
                return Ok(());
            }
        }
    }

    /// Answers a request, or hands it to the request table.
    fn handle_interconnect_request(&mut self, now: Micros, key: SlabKey, message: &Message) {
        let is_ready = self.is_ready();
        let Some(interconnect) = &mut self.interconnect else {
            return;
        };
        let purge_capacity = self.request_table.permanent_purge_capacity();
        let handled = interconnect
            .frontend
            .handle(now, is_ready, purge_capacity, message);
        // What a peer CDN is told to be taken on has to last: the effects come before the reply.
        let mut all_kept = true;
        for effect in handled.effects {
            all_kept &= self.apply_effect(now, effect);
        }
        match handled.reply {
            InterconnectReply::Now(response) => {
                let response = if all_kept {
                    response
                } else {
                    Response::bare(503)
                };
                if let Some((_, session)) = self.connections.interconnect_client_mut(key) {
                    session.respond(&response);
                }
            }
            InterconnectReply::Admit(request) => self.admit_interconnect_request(now, key, request),
        }
    }

    fn admit_interconnect_request(&mut self, now: Micros, key: SlabKey, request: ClientRequest) {
        let Some((_, session)) = self.connections.interconnect_client_mut(key) else {
            return;
        };
        session.deadline = now + request.remaining_us;
        let target = ResponseTarget {
            connection: key,
            stream: ONLY_STREAM,
        };
        let request_key = if self.shutdown.is_grace_over() {
            None
        } else {
            self.admit(now, target, request)
        };
        let Some((_, session)) = self.connections.interconnect_client_mut(key) else {
            return;
        };
        if request_key.is_some() {
            session.pending_request = request_key;
        } else {
            let rejected = Answer::Rejected {
                retry_after_us: Some(self.limits.retry_after_us),
            };
            session.respond(&frontend::response(rejected, false));
        }
    }

    /// Carries out what a request asks for besides its response. False: it would not outlast the
    /// process yet.
    fn apply_effect(&mut self, now: Micros, effect: Effect) -> bool {
        match effect {
            Effect::Purge(object, group) => {
                let purge = Purge {
                    object,
                    group,
                    purged_at: now,
                };
                if let Some(datagram) = gossip::encode(&purge) {
                    self.gossip_purge(now, datagram, purge_gossip::REPEATS);
                }
                self.purge_permanently(now, purge)
            }
            Effect::Notify(notification) => {
                self.queue_notification(now, notification);
                true
            }
        }
    }

    /// Gives an interconnect client the final answer to its request.
    pub(super) fn respond_to_interconnect_client(
        &mut self,
        now: Micros,
        key: SlabKey,
        answer: Answer,
    ) {
        let Some((_, session)) = self.connections.interconnect_client_mut(key) else {
            return;
        };
        let is_late = now + self.limits.answer_lead_us >= session.deadline;
        session.respond(&frontend::response(answer, is_late));
        // The next request may have arrived meanwhile. It is read from the loop, not from here, so
        // that a peer CDN that sends many at once can't nest them.
        self.timers
            .set(now, TimerEvent::ResumeInterconnectClient(key));
    }

    /// Reads the next request after an answer.
    pub(super) fn resume_interconnect_client(&mut self, now: Micros, key: SlabKey) {
        let result = self.read_interconnect_client(now, key);
        let written = match result {
            Ok(()) => self.write(now, key),
            Err(_) => Err(CloseReason::ProtocolError),
        };
        if let Err(reason) = written {
            self.close_gracefully(now, key, reason);
        }
    }

    /// Writes as much of an interconnect connection's answer as its client takes. False where the
    /// connection is broken.
    pub(super) fn write_interconnect_client(&mut self, key: SlabKey) -> bool {
        let Some((transport, session)) = self.connections.interconnect_client_mut(key) else {
            return true;
        };
        loop {
            session.write(&mut transport.output);
            match transport.write() {
                IoProgress::Advanced => {}
                progress => return progress != IoProgress::Broken,
            }
        }
    }
}
