//! The guards that every attempt, repeat and answer passes, whichever path it came by. They check
//! the [invariants](crate::invariants) and hold back what would break one.

use super::attempt::{AttemptId, AttemptSpec};
use super::request::{Answer, ClientRequest, PendingRequest};
use super::RequestTable;
use crate::invariants::Invariant;
use edge_routing::{Idempotency, Micros, Settings};
use std::collections::HashMap;

/// A final answer that is later than this after the client's time is lost to it: the loop has been
/// held up, or a timer was missed.
const LATEST_ANSWER_US: Micros = 500_000;

/// How each class may be repeated, by its name.
pub(super) struct ClassRules {
    idempotency: HashMap<String, Idempotency>,
}

impl ClassRules {
    pub(super) fn from_settings(settings: &Settings) -> Self {
        let classes = settings.classes.iter();
        ClassRules {
            idempotency: classes
                .map(|class| (class.name.clone(), class.idempotency))
                .collect(),
        }
    }

    /// How a request may be repeated; a class that the settings do not name runs nowhere.
    fn idempotency_of(&self, request: &ClientRequest) -> Idempotency {
        let known = self.idempotency.get(&request.class);
        known.copied().unwrap_or(Idempotency::Idempotent)
    }

    /// Whether the request's class is repeated under an idempotency key, and it has none.
    pub(super) fn lacks_key(&self, request: &ClientRequest) -> bool {
        request.idempotency_key.is_none()
            && self.idempotency_of(request) == Idempotency::IdempotencyKey
    }

    /// Whether a request may be sent once more, so far as its class tells.
    fn allows_repeat(&self, pending: &PendingRequest) -> bool {
        !pending.may_have_run()
            || self.idempotency_of(&pending.request) != Idempotency::NonIdempotent
    }
}

impl RequestTable {
    /// The one place that an attempt passes before its first byte is written. None: it must not
    /// begin, or no longer.
    pub fn clear_to_send(
        &self,
        now: Micros,
        attempt: AttemptId,
    ) -> Option<(&ClientRequest, &AttemptSpec)> {
        let pending = self.requests.get(attempt.request_key)?;
        let spec = &pending.attempt(attempt.number)?.spec;
        let is_over = now >= spec.deadline || spec.send_by.is_some_and(|send_by| now >= send_by);
        if is_over {
            return None;
        }
        let id = &pending.request.id;
        let check = |invariant, holds| self.invariants.check(invariant, holds, id);
        let source = spec.fill.map_or(spec.server, |fill| fill.source);
        let is_clear = check(
            Invariant::SendToReadyServer,
            self.servers.is_ready(spec.server),
        ) & check(
            Invariant::FillFromReadySource,
            self.servers.is_ready(source),
        ) & check(Invariant::SendForWaitingClient, !pending.is_settled())
            & check(
                Invariant::SendWithinClientTime,
                spec.deadline <= pending.deadline,
            );
        is_clear.then_some((&pending.request, spec))
    }

    /// Whether one more attempt of a request may be started.
    pub(super) fn may_start_attempt(&self, pending: &PendingRequest) -> bool {
        let id = &pending.request.id;
        let is_alone = pending.in_flight.is_none();
        let is_safe = self.class_rules.allows_repeat(pending);
        self.invariants
            .check(Invariant::OneAttemptInFlight, is_alone, id)
            & self
                .invariants
                .check(Invariant::RepeatOnlyIfSafe, is_safe, id)
            & self
                .invariants
                .check(Invariant::SendForWaitingClient, !pending.is_settled(), id)
    }

    /// The answer that may be given to a request in place of `answer`: a rejection promises that a
    /// retry does no harm, which must be so.
    pub(super) fn honest_answer(
        &self,
        now: Micros,
        pending: &PendingRequest,
        answer: Answer,
    ) -> Answer {
        let id = &pending.request.id;
        let in_time = now <= pending.deadline + LATEST_ANSWER_US;
        self.invariants.check(Invariant::AnswerInTime, in_time, id);
        let is_rejected = matches!(answer, Answer::Rejected { .. });
        let is_safe = !is_rejected || self.class_rules.allows_repeat(pending);
        if self
            .invariants
            .check(Invariant::RejectOnlyIfSafe, is_safe, id)
        {
            answer
        } else {
            Answer::Failed
        }
    }
}
