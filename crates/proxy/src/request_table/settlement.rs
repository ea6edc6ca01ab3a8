//! The end of requests and attempts: final answers, deadlines, cancellation, and the release of
//! request slots.

use super::attempt::AttemptId;
use super::command::{Command, RequestTimer};
use super::request::{Answer, RequestKey};
use super::trace::RequestEnding;
use super::RequestTable;
use edge_routing::{Event, Micros, Outcome};

impl RequestTable {
    /// Gives a request its final answer. All answers are given here. A request that is already
    /// settled gets no further answer.
    pub(super) fn give_answer(&mut self, now: Micros, request_key: RequestKey, answer: Answer) {
        let Some(pending) = self.requests.get(request_key) else {
            return;
        };
        if pending.is_settled() {
            return;
        }
        let answer = self.permitted_answer(now, pending, answer);
        let Some(pending) = self.requests.get_mut(request_key) else {
            return;
        };
        let Some(target) = pending.settle(now, RequestEnding::from(&answer)) else {
            return;
        };
        log::debug!(
            "request {}: final answer: {}",
            pending.request.id,
            RequestEnding::from(&answer)
        );
        self.counters.count_answer(&answer);
        self.requests.release_body(request_key);
        self.commands.push(Command::SendAnswer(target, answer));
    }

    /// Frees the slot of a request if it is settled and has no attempt in flight, and logs its
    /// trace.
    pub(super) fn release_if_complete(&mut self, now: Micros, request_key: RequestKey) {
        if let Some(pending) = self.requests.remove_if_complete(request_key) {
            self.trace_log.write(now, &pending, &self.servers);
        }
    }

    /// Requests the cancellation of an attempt, unless it was already cancelled. The attempt stays
    /// in flight until the upstream connection reports that it has ended. A report of `Cancelled`
    /// is then replaced by `outcome`.
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

    /// Requests the removal of an attempt that the router left in flight when its client
    /// disconnected. The upstream connection removes the attempt only if no byte of it is written
    /// yet. An attempt that is being sent may continue where the settings don't allow cancellation,
    /// but an unsent one must never be sent.
    pub(super) fn dequeue_unsent_attempt(&mut self, request_key: RequestKey) {
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

    /// Sets a timer for the request's deadline, or for an earlier check if the deadline is far
    /// away. No command cancels the timer of a request that ends early. With long deadlines, the
    /// timers of a flood of short requests would accumulate. The earlier check bounds how long the
    /// timer of an ended request remains.
    pub(super) fn set_deadline_timer(&mut self, now: Micros, request_key: RequestKey) {
        if let Some(pending) = self.requests.get(request_key) {
            let at = pending
                .deadline
                .min(now + self.deadline_timing.check_interval_us);
            self.commands
                .push(Command::SetTimer(at, RequestTimer::Deadline(request_key)));
        }
    }

    /// Checks whether the deadline of a request has passed. If it has not, sets the next timer.
    /// Otherwise ends the request. Its attempt in flight is cancelled and counts as timed out at
    /// once, without waiting for the upstream connection to confirm the cancellation. The router
    /// then gives the final answer, because no time is left for a retry. An attempt may still be in
    /// flight although its client has disconnected, where the settings don't allow cancellation. It
    /// is ended here as well, because its answer may never arrive.
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
            // Guarantees a final answer even if the router holds a request past its deadline.
            log::warn!(
                "request {}: the router gave no answer by the deadline; failing the request",
                self.request_id(request_key).unwrap_or_default()
            );
            self.fail_if_unsettled(now, request_key);
        }
    }

    /// Fails a request that still needs its answer, and reports to the router that the request
    /// needs no further attempt.
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
