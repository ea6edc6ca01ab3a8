//! Interconnect clients: requests of peer CDNs and of the clients that they redirect, and the
//! purges and notifications that result from them.

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
use crate::request_table::{Answer, AnswerTarget, ClientRequest};
use edge_routing::Micros;

/// Stream number of every interconnect request. One number is enough because each connection has at
/// most one unanswered request.
const SINGLE_STREAM: u32 = 0;

/// State of the interconnection with peer CDNs.
pub(super) struct Interconnect {
    pub(super) frontend: InterconnectFrontend,
    /// File that stores purges across restarts. `None` if purges are forgotten at a restart.
    pub(super) purge_log: Option<PurgeLog>,
    /// Whether a retry of writing the purge log is scheduled.
    pub(super) purge_log_retry_scheduled: bool,
    /// Number of notifications that are being delivered or wait for a retry.
    pub(super) notifications_in_flight: usize,
    /// Readiness of which peer CDNs were last notified.
    pub(super) advertised_ready: bool,
}

impl Interconnect {
    pub(super) fn new(frontend: InterconnectFrontend, purge_log: Option<PurgeLog>) -> Self {
        Interconnect {
            frontend,
            purge_log,
            purge_log_retry_scheduled: false,
            notifications_in_flight: 0,
            advertised_ready: false,
        }
    }
}

impl EventLoop {
    /// Handles the requests in the input buffer of an interconnect connection. Stops at a request
    /// that has to wait for the answer to the previous one.
    ///
    /// Input that violates the protocol is rejected with a response and is not returned as an
    /// error.
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
                    // The client gets a status before the connection is closed, so that it learns
                    // of its mistake.
                    log::warn!(
                        "rejecting invalid input on interconnect connection {:x}: {e}",
                        key.to_u64()
                    );
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

    /// Answers a request, or passes it to the request table.
    fn handle_interconnect_request(&mut self, now: Micros, key: SlabKey, message: &Message) {
        let is_ready = self.is_ready();
        let Some(interconnect) = &mut self.interconnect else {
            return;
        };
        let purge_capacity = self.request_table.permanent_purge_capacity();
        let handled = interconnect
            .frontend
            .handle(now, is_ready, purge_capacity, message);
        // The effects are applied before the reply, because the proxy may accept a purge from a
        // peer CDN only if the purge will survive a restart.
        let mut all_durable = true;
        for effect in handled.effects {
            all_durable &= self.apply_effect(now, effect);
        }
        match handled.reply {
            InterconnectReply::Respond(response) => {
                let response = if all_durable {
                    response
                } else {
                    Response::without_body(503)
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
        session.client_deadline = now + request.remaining_us;
        let target = AnswerTarget {
            connection: key,
            stream: SINGLE_STREAM,
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
            session.pending_request_key = request_key;
        } else {
            let rejected = Answer::Rejected {
                retry_after_us: Some(self.limits.retry_after_us),
            };
            session.respond(&frontend::response_to_answer(rejected, false));
        }
    }

    /// Applies an effect that a request has besides its response. Returns false if the effect is a
    /// purge that is in force but could not be written to the purge log.
    fn apply_effect(&mut self, now: Micros, effect: Effect) -> bool {
        match effect {
            Effect::Purge(target) => {
                let purge = Purge {
                    target,
                    purged_at: now,
                };
                if let Some(datagram) = gossip::encode(&purge) {
                    self.send_purge_gossip(now, datagram, purge_gossip::GOSSIP_REPEATS);
                }
                self.purge_permanently(now, purge)
            }
            Effect::Notify(notification) => {
                self.queue_notification(now, notification);
                true
            }
        }
    }

    /// Sends an interconnect client the final answer to its request.
    pub(super) fn answer_interconnect_client(&mut self, now: Micros, key: SlabKey, answer: Answer) {
        let Some((_, session)) = self.connections.interconnect_client_mut(key) else {
            return;
        };
        let is_late = now + self.limits.answer_lead_us >= session.client_deadline;
        session.respond(&frontend::response_to_answer(answer, is_late));
        // The next request may already have arrived. A timer resumes reading, rather than a call
        // from here, so that many requests sent at once cannot cause deep recursion.
        self.timers
            .schedule(now, TimerEvent::ResumeInterconnectClient(key));
    }

    /// Handles the next request on a connection after an answer.
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

    /// Writes the answer on an interconnect connection until all is written or the socket accepts
    /// no more. Returns false if the connection is broken.
    pub(super) fn write_interconnect_client(&mut self, key: SlabKey) -> bool {
        let Some((transport, session)) = self.connections.interconnect_client_mut(key) else {
            return true;
        };
        let progress = loop {
            session.write(&mut transport.output);
            match transport.write() {
                IoProgress::Advanced => {}
                progress => break progress,
            }
        };
        progress != IoProgress::Broken
    }
}
