//! How requests and attempts come to their end: the final answer, deadlines, cancellation, and the
//! release of the slot.

use super::attempt::AttemptId;
use super::command::{Command, RequestTimer};
use super::request::{Answer, RequestKey};
use super::trace::RequestEnding;
use super::RequestTable;
use edge_routing::{Event, Micros, Outcome};

impl RequestTable {
    /// Gives a request its final answer. The one place where answers are given; a settled request
    /// gets none.
    pub(super) fn give_answer(&mut self, now: Micros, request_key: RequestKey, answer: Answer) {
        let Some(pending) = self.requests.get(request_key) else {
            return;
        };
        if pending.is_settled() {
            return;
        }
        let answer = self.honest_answer(now, pending, answer);
        let Some(pending) = self.requests.get_mut(request_key) else {
            return;
        };
        let Some(target) = pending.settle(now, RequestEnding::from(&answer)) else {
            return;
        };
        log::debug!(
            "request {}: {}",
            pending.request.id,
            RequestEnding::from(&answer)
        );
        self.counters.count_answer(&answer);
        self.commands.push(Command::Respond(target, answer));
    }

    /// Frees the slot of a request that is settled and has no attempt in flight.
    pub(super) fn release_if_complete(&mut self, now: Micros, request_key: RequestKey) {
        if let Some(pending) = self.requests.remove_if_complete(request_key) {
            self.trace_log.write(now, &pending, &self.servers);
        }
    }

    /// Asks for an attempt to be cancelled, unless it was cancelled before. It stays in flight
    /// until the upstream connection reports it ended; a report of `Cancelled` then counts as
    /// `outcome`.
    pub(super) fn cancel_attempt(&mut self, attempt: AttemptId, outcome: Outcome) {
        let Some(pending) = self.requests.get_mut(attempt.request_key) else {
            return;
        };
        let Some(in_flight) = pending.attempt_mut(attempt.number) else {
            return;
        };
        if in_flight.cancel(outcome) {
            let server = in_flight.spec.server;
            self.commands.push(Command::CancelAttempt(attempt, server));
        }
    }

    /// Takes back an attempt that the router left in flight when its client disconnected. It may go
    /// on where the settings don't allow cancellation, but what is not written yet must not begin
    /// in any case.
    pub(super) fn dequeue_abandoned_attempt(&mut self, request_key: RequestKey) {
        let Some(pending) = self.requests.get(request_key) else {
            return;
        };
        let Some(in_flight) = &pending.in_flight else {
            return;
        };
        if in_flight.is_cancelled() {
            return;
        }
        let attempt = AttemptId {
            request_key,
            number: in_flight.number,
        };
        let server = in_flight.spec.server;
        self.commands.push(Command::DequeueAttempt(attempt, server));
    }

    /// Sets the timer for a request's deadline, or for the next sweep on the way there: timers
    /// can't be stopped, and those of a flood of short requests with long deadlines would add up.
    pub(super) fn set_deadline_timer(&mut self, now: Micros, request_key: RequestKey) {
        if let Some(pending) = self.requests.get(request_key) {
            let at = pending.deadline.min(now + self.deadlines.sweep_interval_us);
            self.commands
                .push(Command::SetTimer(at, RequestTimer::Deadline(request_key)));
        }
    }

    /// Ends a request at its deadline; before it, sets the next timer. The attempt in flight has
    /// timed out, and the router has the last word, which can't be a retry. The same holds for an
    /// attempt that a disconnected client left behind where the settings don't allow cancellation:
    /// its answer may never come.
    pub(super) fn check_deadline(&mut self, now: Micros, request_key: RequestKey) {
        let Some(pending) = self.requests.get(request_key) else {
            return;
        };
        if now < pending.deadline {
            return self.set_deadline_timer(now, request_key);
        }
        if let Some(in_flight) = &pending.in_flight {
            let attempt = AttemptId {
                request_key,
                number: in_flight.number,
            };
            self.cancel_attempt(attempt, Outcome::Timeout);
            self.attempt_ended(now, attempt, Outcome::Timeout.into());
        }
        if self.requests.is_unsettled(request_key) {
            // Keeps the promise of one answer against a router that holds a request past its
            // deadline.
            log::warn!("a request was still unanswered at its deadline");
            self.fail_if_unsettled(now, request_key);
        }
    }

    /// Fails a request that is still owed its answer, and takes it away from the router.
    pub(super) fn fail_if_unsettled(&mut self, now: Micros, request_key: RequestKey) {
        if !self.requests.is_unsettled(request_key) {
            return;
        }
        self.give_answer(now, request_key, Answer::Failed);
        self.handle_event(
            now,
            Event::ClientDisconnected {
                request: request_key.to_u64(),
            },
        );
        self.release_if_complete(now, request_key);
    }
}
