//! Checks that every attempt, retry and answer passes, whichever code path it comes from. They
//! check the [invariants](crate::invariants) and prevent what would violate one.

use super::attempt::{AttemptId, AttemptSpec};
use super::request::{Answer, ClientRequest, PendingRequest};
use super::servers::DedupLocation;
use super::RequestTable;
use crate::invariants::Invariant;
use edge_routing::{Class, DedupScope, Idempotency, Micros, Settings};
use std::collections::HashMap;

/// How long after the deadline a final answer still counts as given in time. A later answer is lost
/// to the client, and means that the event loop was held up or a timer was missed.
const MAX_ANSWER_LATENESS_US: Micros = 500_000;

/// The properties of a request class that checks depend on.
#[derive(Clone, Copy)]
struct ClassRule {
    idempotency: Idempotency,
    dedup_scope: DedupScope,
    dedup_window_us: Micros,
    is_write: bool,
}

/// A class that the settings don't name counts as idempotent, because its requests are never
/// executed.
const UNKNOWN_CLASS: ClassRule = ClassRule {
    idempotency: Idempotency::Idempotent,
    dedup_scope: DedupScope::All,
    dedup_window_us: 0,
    is_write: false,
};

/// The rules of each request class, by the name of the class.
pub(super) struct ClassRules {
    by_class: HashMap<String, ClassRule>,
}

impl ClassRules {
    pub(super) fn from_settings(settings: &Settings) -> Self {
        let rule = |class: &Class| ClassRule {
            idempotency: class.idempotency,
            dedup_scope: class.dedup_scope,
            dedup_window_us: class.dedup_window_us,
            is_write: class.is_write,
        };
        let classes = settings.classes.iter();
        ClassRules {
            by_class: classes
                .map(|class| (class.name.clone(), rule(class)))
                .collect(),
        }
    }

    fn rule_of(&self, request: &ClientRequest) -> ClassRule {
        let known = self.by_class.get(&request.class);
        known.copied().unwrap_or(UNKNOWN_CLASS)
    }

    /// Returns whether the request lacks the idempotency key under which its class is retried.
    pub(super) fn lacks_required_key(&self, request: &ClientRequest) -> bool {
        request.idempotency_key.is_none()
            && self.rule_of(request).idempotency == Idempotency::IdempotencyKey
    }

    /// Returns whether servers keep copies of the content with which the request is answered.
    pub(super) fn leaves_copies(&self, request: &ClientRequest) -> bool {
        !self.rule_of(request).is_write
    }

    /// Returns whether a request may be sent again, considering its class and earlier attempts.
    fn allows_retry(&self, pending: &PendingRequest) -> bool {
        !pending.may_have_executed()
            || self.rule_of(&pending.request).idempotency != Idempotency::NonIdempotent
    }

    /// Returns whether an attempt at `location` can't execute a request with an idempotency key a
    /// second time. `location` is `None` if the server is gone.
    fn recognizes_repetition(
        &self,
        now: Micros,
        pending: &PendingRequest,
        location: Option<DedupLocation>,
    ) -> bool {
        let rule = self.rule_of(&pending.request);
        let Some(execution) = pending.first_possible_execution() else {
            return true;
        };
        if rule.idempotency != Idempotency::IdempotencyKey {
            return true;
        }
        let shares_scope = match (execution.location, location) {
            (Some(first), Some(next)) => first.shares_scope(next, rule.dedup_scope),
            _ => rule.dedup_scope == DedupScope::All,
        };
        shares_scope && now < execution.started_at + rule.dedup_window_us
    }

    /// Returns whether the client may be told that a retry does no harm. Its retry may reach any
    /// server.
    fn allows_rejection(&self, pending: &PendingRequest) -> bool {
        let rule = self.rule_of(&pending.request);
        let recognized_everywhere =
            rule.idempotency == Idempotency::IdempotencyKey && rule.dedup_scope == DedupScope::All;
        !pending.may_have_executed()
            || rule.idempotency == Idempotency::Idempotent
            || recognized_everywhere
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
