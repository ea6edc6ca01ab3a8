//! Checks that every attempt, retry and answer passes, whichever code path it comes from. They
//! check the [invariants](crate::invariants) and prevent what would violate one.

use super::attempt::{AttemptId, AttemptSpec};
use super::request::{Answer, ClientRequest, PendingRequest};
use super::servers::DedupLocation;
use super::RequestTable;
use crate::invariants::Invariant;
use edge_routing::{Class, Idempotency, Micros, Settings};
use std::collections::HashMap;

/// How long after the deadline a final answer still counts as given in time. A later answer is lost
/// to the client, and means that the event loop was held up or a timer was missed.
const MAX_ANSWER_LATENESS_US: Micros = 500_000;

/// The request classes of the settings, by name. A class that the settings don't name counts as
/// idempotent, because its requests are never executed.
pub(super) struct ClassRules {
    by_name: HashMap<String, Class>,
}

impl ClassRules {
    pub(super) fn from_settings(settings: &Settings) -> Self {
        let classes = settings.classes.iter();
        ClassRules {
            by_name: classes
                .map(|class| (class.name.clone(), class.clone()))
                .collect(),
        }
    }

    fn class_of(&self, request: &ClientRequest) -> Option<&Class> {
        self.by_name.get(&request.class)
    }

    /// Returns whether the request lacks the idempotency key under which its class is retried.
    pub(super) fn lacks_required_key(&self, request: &ClientRequest) -> bool {
        let class = self.class_of(request);
        request.idempotency_key.is_none()
            && class.is_some_and(|class| class.idempotency == Idempotency::IdempotencyKey)
    }

    /// Returns whether servers keep copies of the content with which the request is answered.
    pub(super) fn leaves_copies(&self, request: &ClientRequest) -> bool {
        self.class_of(request).is_none_or(|class| !class.is_write)
    }

    /// Returns whether a request may be sent again, considering its class and earlier attempts.
    fn allows_retry(&self, pending: &PendingRequest) -> bool {
        let class = self.class_of(&pending.request);
        !pending.may_have_executed()
            || class.is_none_or(|class| class.idempotency != Idempotency::NonIdempotent)
    }

    /// Returns whether an attempt at `location` can't execute a request with an idempotency key a
    /// second time. `location` is `None` if the server is gone.
    fn recognizes_repetition(
        &self,
        now: Micros,
        pending: &PendingRequest,
        location: Option<DedupLocation>,
    ) -> bool {
        let Some(execution) = pending.first_possible_execution() else {
            return true;
        };
        let Some(class) = self
            .class_of(&pending.request)
            .filter(|class| class.idempotency == Idempotency::IdempotencyKey)
        else {
            return true;
        };
        let shares_scope = match (execution.location, location) {
            (Some(first), Some(next)) => first.shares_scope(next, class.dedup_scope),
            _ => class.dedup_scope.covers(false, false),
        };
        shares_scope && now < execution.started_at + class.dedup_window_us
    }

    /// Returns whether the client may be told that a retry does no harm. Its retry may reach any
    /// server.
    fn allows_rejection(&self, pending: &PendingRequest) -> bool {
        let class = self.class_of(&pending.request);
        !pending.may_have_executed() || class.is_none_or(Class::is_repeatable_anywhere)
    }
}

impl RequestTable {
    /// Returns the request and the parameters of an attempt if the attempt may be sent now. Every
    /// attempt passes this check before its first byte is written. Returns `None` if the attempt
    /// has ended, it is too late to send it, or sending it would violate an invariant.
    pub fn sendable_attempt(
        &self,
        now: Micros,
        attempt: AttemptId,
    ) -> Option<(&ClientRequest, &AttemptSpec)> {
        let pending = self.requests.get(attempt.request_key)?;
        let spec = &pending.attempt(attempt.number)?.spec;
        let is_too_late =
            now >= spec.deadline || spec.send_by.is_some_and(|send_by| now >= send_by);
        if is_too_late {
            return None;
        }
        let id = &pending.request.id;
        let check = |invariant, holds| self.invariants.check(invariant, holds, id);
        let source = spec.fill.map_or(spec.server, |fill| fill.source);
        let may_be_sent = check(
            Invariant::SendToReadyServer,
            self.servers.is_ready(spec.server),
        ) & check(
            Invariant::FillFromReadySource,
            self.servers.is_ready(source),
        ) & check(Invariant::SendForWaitingClient, !pending.is_settled())
            & check(
                Invariant::SendWithinClientTime,
                spec.deadline <= pending.deadline,
            )
            & check(
                Invariant::RepeatWithinDedupScope,
                self.class_rules.recognizes_repetition(
                    now,
                    pending,
                    self.servers.dedup_location(spec.server),
                ),
            );
        may_be_sent.then_some((&pending.request, spec))
    }

    /// Returns whether another attempt of a request may be started.
    pub(super) fn may_start_attempt(&self, pending: &PendingRequest) -> bool {
        let id = &pending.request.id;
        let none_in_flight = pending.in_flight.is_none();
        let is_safe = self.class_rules.allows_retry(pending);
        self.invariants
            .check(Invariant::OneAttemptInFlight, none_in_flight, id)
            & self
                .invariants
                .check(Invariant::RepeatOnlyIfSafe, is_safe, id)
            & self
                .invariants
                .check(Invariant::SendForWaitingClient, !pending.is_settled(), id)
    }

    /// Returns the answer to give to a request: `answer` if it is permitted, and `Answer::Failed`
    /// otherwise. A rejection promises that a retry does no harm, so it is permitted only if that
    /// is true.
    pub(super) fn permitted_answer(
        &self,
        now: Micros,
        pending: &PendingRequest,
        answer: Answer,
    ) -> Answer {
        let id = &pending.request.id;
        let in_time = now <= pending.deadline + MAX_ANSWER_LATENESS_US;
        self.invariants.check(Invariant::AnswerInTime, in_time, id);
        let is_rejected = matches!(answer, Answer::Rejected { .. });
        let is_safe = !is_rejected || self.class_rules.allows_rejection(pending);
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
