//! A client's request, its final answer, and the state kept while the request is pending.

use super::attempt::{InFlightAttempt, PossibleExecution, RoutingDecision};
use super::servers::DedupLocation;
use super::trace::{RequestEnding, RequestTrace};
use crate::memory::ByteQueue;
use crate::net::SlabKey;
use edge_routing::{Micros, Outcome, Request};

/// Identifies a pending request. A later request in the same slot gets a different key, so events
/// that arrive late for the earlier request don't reach the later one.
pub type RequestKey = SlabKey;

/// The destination of a final answer: a client connection of a frontend, and the request's number
/// on that connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTarget {
    /// Key of the client connection.
    pub connection: SlabKey,
    /// Number that the frontend gave the request on that connection.
    pub stream: u32,
}

/// A request parsed by a frontend, independent of the frontend's protocol.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientRequest {
    /// The client's id of the request. It is passed on unchanged to the cache servers.
    pub id: String,
    /// Name of the request class, one of the classes in the settings.
    pub class: String,
    /// Name of the requested object.
    pub object: String,
    /// Number of the part within the object.
    pub part: u64,
    /// The object's purge group, which can be purged as a whole.
    pub purge_group: u64,
    /// Size of the part in KB. 0 means that the size is unknown.
    pub size_kb: f64,
    /// How much longer the client waits, in microseconds. On admission, the table subtracts the
    /// time that an answer needs to arrive.
    pub remaining_us: Micros,
    /// The client's idempotency key, for classes whose requests are retried under one.
    pub idempotency_key: Option<String>,
    /// Tag of the copy that the client holds, if any. With a tag, the server may answer
    /// `Content::NotModified`.
    pub client_copy_tag: Option<String>,
    /// Payload of a write. It is empty for a read.
    pub body: ByteQueue,
}

impl ClientRequest {
    /// Returns the request in the router's form, with `request_key` as its id.
    pub(super) fn to_routing_request(&self, request_key: RequestKey) -> Request {
        Request {
            id: request_key.to_u64(),
            class: self.class.clone(),
            tenant: None,
            object: self.object.clone(),
            part: self.part,
            purge_group: self.purge_group,
            size_kb: self.size_kb,
            remaining_us: self.remaining_us,
            is_retry: false,
        }
    }
}

/// The content that a cache server, a parent or the origin served for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// The bytes of the part, and the tag of the copy.
    Object {
        /// The bytes of the part.
        bytes: ByteQueue,
        /// The tag of the copy, if the server gave one.
        tag: Option<String>,
    },
    /// The client's copy is the same as the one that would be served.
    NotModified,
}

/// The final answer to a request. The frontends translate it to their protocols.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A cache server, a parent or the origin served the request.
    Served(Content),
    /// The request was rejected before anything was executed, so a retry by the client does no
    /// harm.
    Rejected {
        /// How long to wait before a retry, in microseconds. `None` gives no advice.
        retry_after_us: Option<Micros>,
    },
    /// The request failed. A write may have been executed.
    Failed,
}

impl Answer {
    /// Returns the number of bytes of content.
    pub fn content_bytes(&self) -> usize {
        match self {
            Answer::Served(Content::Object { bytes, .. }) => bytes.len(),
            Answer::Served(Content::NotModified) | Answer::Rejected { .. } | Answer::Failed => 0,
        }
    }
}

/// A request in the table, with its attempt in flight.
///
/// A request is *unsettled* until its final answer is given or its client has disconnected, and
/// *settled* from then on. It is *pending* from its admission until it is settled and has no
/// attempt in flight. A client connection counts its *unanswered* requests, which have no final
/// answer yet.
///
/// Invariants:
/// - Exactly one final answer: the answer target is held from the admission on and is released only
///   by `settle`, once. No answer can be given without it, so no later event can cause a second
///   answer.
/// - At most one attempt is in flight.
pub(super) struct PendingRequest {
    /// Where the final answer goes. `None` once the request is settled.
    answer_target: Option<AnswerTarget>,
    pub(super) request: ClientRequest,
    /// When the client stops waiting, less the time that an answer needs to arrive.
    pub(super) deadline: Micros,
    /// Number of attempts started so far, which is the number of the next attempt.
    attempts_started: u32,
    /// The first attempt that ended in a way that does not rule out that the request was executed.
    first_possible_execution: Option<PossibleExecution>,
    pub(super) in_flight: Option<InFlightAttempt>,
    pub(super) trace: RequestTrace,
}

impl PendingRequest {
    pub(super) fn new(now: Micros, answer_target: AnswerTarget, request: ClientRequest) -> Self {
        PendingRequest {
            answer_target: Some(answer_target),
            deadline: now + request.remaining_us,
            request,
            attempts_started: 0,
            first_possible_execution: None,
            in_flight: None,
            trace: RequestTrace::new(now),
        }
    }

    /// Returns whether the final answer is given, or no answer is needed because the client
    /// disconnected.
    pub(super) fn is_settled(&self) -> bool {
        self.answer_target.is_none()
    }

    /// Returns whether the request is settled and has no attempt in flight, so that it can be
    /// removed from the table.
    pub(super) fn is_complete(&self) -> bool {
        self.is_settled() && self.in_flight.is_none()
    }

    /// Settles the request and returns where its answer goes. Returns `None` if the request was
    /// already settled.
    pub(super) fn settle(&mut self, now: Micros, ending: RequestEnding) -> Option<AnswerTarget> {
        let target = self.answer_target.take()?;
        self.trace.end(now, ending);
        Some(target)
    }

    /// Records how an attempt ended, which decides whether and where the request may be retried.
    pub(super) fn record_outcome(&mut self, ended: &InFlightAttempt, outcome: Outcome) {
        if !outcome.rules_out_execution() {
            self.first_possible_execution
                .get_or_insert(ended.possible_execution());
        }
    }

    /// Returns whether the request may have taken effect, or may still do so.
    pub(super) fn may_have_executed(&self) -> bool {
        self.first_possible_execution.is_some() || self.in_flight.is_some()
    }

    /// Returns the first attempt that has ended and may have executed the request.
    pub(super) fn first_possible_execution(&self) -> Option<PossibleExecution> {
        self.first_possible_execution
    }

    /// Starts the next attempt and records it as in flight. The deadline of the attempt is never
    /// later than that of the request. `location` is that of the server.
    pub(super) fn start_attempt(
        &mut self,
        now: Micros,
        decision: RoutingDecision,
        location: Option<DedupLocation>,
    ) -> InFlightAttempt {
        let number = self.attempts_started;
        self.attempts_started += 1;
        let deadline = decision
            .timeout_us
            .map_or(self.deadline, |timeout_us| now + timeout_us)
            .min(self.deadline);
        let attempt = InFlightAttempt::new(now, number, decision.to_spec(deadline), location);
        self.in_flight = Some(attempt);
        attempt
    }

    /// Returns the attempt in flight if it has this number.
    pub(super) fn attempt(&self, number: u32) -> Option<&InFlightAttempt> {
        self.in_flight
            .as_ref()
            .filter(|attempt| attempt.number == number)
    }

    /// Returns the attempt in flight for modification if it has this number.
    pub(super) fn attempt_mut(&mut self, number: u32) -> Option<&mut InFlightAttempt> {
        self.in_flight
            .as_mut()
            .filter(|attempt| attempt.number == number)
    }

    /// Removes and returns the attempt in flight if it has this number.
    pub(super) fn end_attempt(&mut self, number: u32) -> Option<InFlightAttempt> {
        self.in_flight.take_if(|attempt| attempt.number == number)
    }
}
