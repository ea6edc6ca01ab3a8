//! A request of a client, its final answer, and what the table keeps while the request is pending.

use super::attempt::{AttemptOrder, InFlightAttempt};
use super::trace::{RequestEnding, RequestTrace};
use crate::net::SlabKey;
use edge_routing::{Micros, Outcome, Request};

/// The key of a pending request. A later request in the same slot has another key, so what comes
/// late for the one does not reach the other.
pub type RequestKey = SlabKey;

/// Where the final answer of a request goes: a client connection of some frontend, and the
/// request's number on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseTarget {
    /// The client connection.
    pub connection: SlabKey,
    /// The frontend's number for the request on that connection.
    pub stream: u32,
}

/// A request as a frontend has parsed it, independent of the frontend's wire.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientRequest {
    /// The client's id of the request, passed on unchanged to the cache servers.
    pub id: String,
    /// Name of the request class, one of the settings' classes.
    pub class: String,
    /// The object.
    pub object: String,
    /// Number of the part within the object.
    pub part: u64,
    /// The object's group, which can be purged as a whole.
    pub group: u64,
    /// Size of the part in KB; 0: unknown.
    pub size_kb: f64,
    /// How much longer the client waits, in microseconds. The table subtracts the lead that an
    /// answer needs.
    pub remaining_us: Micros,
    /// The client's idempotency key, for classes that are retried under one.
    pub idempotency_key: Option<String>,
    /// Tag of the copy that the client holds, if any: the server may then answer
    /// `Content::Unchanged`.
    pub client_copy_tag: Option<String>,
    /// Payload of a write; empty for a read.
    pub body: Vec<u8>,
}

impl ClientRequest {
    /// The request as the router gets it, under this key.
    pub(super) fn to_routing_request(&self, request_key: RequestKey) -> Request {
        Request {
            id: request_key.to_u64(),
            class: self.class.clone(),
            tenant: None,
            object: self.object.clone(),
            part: self.part,
            group: self.group,
            size_kb: self.size_kb,
            remaining_us: self.remaining_us,
            is_retry: false,
        }
    }
}

/// What a cache server served for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// The bytes of the part, and the tag of the copy.
    Object {
        /// The bytes.
        bytes: Vec<u8>,
        /// The tag, if the server gave one.
        tag: Option<String>,
    },
    /// The client's copy is the one that would be served.
    Unchanged,
}

/// The final answer to a request; the frontends translate it to their wire.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A cache server served it.
    Served(Content),
    /// Rejected before anything ran: a retry by the client does no harm.
    Rejected {
        /// After how many microseconds a retry is advised.
        retry_after_us: Option<Micros>,
    },
    /// Failed; a write may have run.
    Failed,
}

/// A request from its admission until it is settled and has no attempt in flight.
///
/// Invariants:
/// - Exactly one final answer: the response target is held from the admission on and given out by
///   `settle` alone, once. Without it no answer can be given, so nothing that comes later can cause
///   a second one.
/// - At most one attempt is in flight.
pub(super) struct PendingRequest {
    /// Where the final answer goes; none once the request is settled.
    response_target: Option<ResponseTarget>,
    pub(super) request: ClientRequest,
    /// When the client stops waiting, less the lead that an answer needs.
    pub(super) deadline: Micros,
    /// How many attempts were started so far: the number of the next one.
    attempts_started: u32,
    /// An attempt ended in a way that does not prove that it never ran.
    may_have_run: bool,
    pub(super) in_flight: Option<InFlightAttempt>,
    pub(super) trace: RequestTrace,
}

impl PendingRequest {
    pub(super) fn new(
        now: Micros,
        response_target: ResponseTarget,
        request: ClientRequest,
    ) -> Self {
        PendingRequest {
            response_target: Some(response_target),
            deadline: now + request.remaining_us,
            request,
            attempts_started: 0,
            may_have_run: false,
            in_flight: None,
            trace: RequestTrace::new(now),
        }
    }

    /// Whether the final answer is given, or none is owed because the client disconnected.
    pub(super) fn is_settled(&self) -> bool {
        self.response_target.is_none()
    }

    /// Whether nothing keeps the request in the table any more.
    pub(super) fn is_complete(&self) -> bool {
        self.is_settled() && self.in_flight.is_none()
    }

    /// Settles the request and gives out where its answer goes. None: it was settled before.
    pub(super) fn settle(&mut self, now: Micros, ending: RequestEnding) -> Option<ResponseTarget> {
        let target = self.response_target.take()?;
        self.trace.end(now, ending);
        Some(target)
    }

    /// Records how an attempt ended, for whether the request may be repeated.
    pub(super) fn note_outcome(&mut self, outcome: Outcome) {
        self.may_have_run |= !outcome.never_ran();
    }

    /// Whether the request may have taken effect, or may do so yet.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run || self.in_flight.is_some()
    }

    /// Takes the next attempt as in flight. Its deadline is never behind the request's.
    pub(super) fn start_attempt(&mut self, now: Micros, order: AttemptOrder) -> InFlightAttempt {
        let number = self.attempts_started;
        self.attempts_started += 1;
        let deadline = order
            .timeout_us
            .map_or(self.deadline, |timeout_us| now + timeout_us)
            .min(self.deadline);
        let attempt = InFlightAttempt::new(now, number, deadline, order);
        self.in_flight = Some(attempt);
        attempt
    }

    /// The attempt in flight, if it is the one of this number.
    pub(super) fn attempt(&self, number: u32) -> Option<&InFlightAttempt> {
        self.in_flight
            .as_ref()
            .filter(|attempt| attempt.number == number)
    }

    /// As `attempt`, to change it.
    pub(super) fn attempt_mut(&mut self, number: u32) -> Option<&mut InFlightAttempt> {
        self.in_flight
            .as_mut()
            .filter(|attempt| attempt.number == number)
    }

    /// Takes the attempt of this number as ended, if it is the one in flight.
    pub(super) fn end_attempt(&mut self, number: u32) -> Option<InFlightAttempt> {
        self.in_flight.take_if(|attempt| attempt.number == number)
    }
}
