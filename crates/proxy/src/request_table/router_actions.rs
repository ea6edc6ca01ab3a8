//! Passes events to the router and carries out the router's actions, as changes of the request
//! table and as commands to the event loop.

use super::attempt::{AttemptId, RoutingDecision};
use super::command::{Command, RequestTimer};
use super::request::{Answer, RequestKey};
use super::RequestTable;
use crate::net::SlabKey;
use edge_routing::{Action, Event, Micros, Outcome};

impl RequestTable {
    /// Passes an event to the router and carries out the resulting actions in order. No action
    /// leads to another event at once, so this method is never called recursively.
    pub(super) fn handle_event(&mut self, now: Micros, event: Event) {
        let mut actions = std::mem::take(&mut self.action_buffer);
        self.router.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(now, action);
        }
        self.action_buffer = actions;
    }

    fn carry_out(&mut self, now: Micros, action: Action) {
        match action {
            Action::StartAttempt {
                request,
                server,
                timeout_us,
                fill,
                send_by,
            } => {
                let decision = RoutingDecision {
                    server,
                    timeout_us,
                    fill,
                    send_by,
                };
                self.start_attempt(now, SlabKey::from_u64(request), decision);
            }
            Action::CancelAttempt { request, attempt } => {
                let attempt = AttemptId {
                    request_key: SlabKey::from_u64(request),
                    number: attempt,
                };
                self.cancel_attempt(attempt, Outcome::Cancelled);
            }
            Action::Reject {
                request,
                retry_after_us,
            } => {
                let answer = Answer::Rejected { retry_after_us };
                self.answer_and_release(now, SlabKey::from_u64(request), answer);
            }
            Action::Fail { request } => {
                self.answer_and_release(now, SlabKey::from_u64(request), Answer::Failed);
            }
            Action::SetTimer { at, tag } => {
                self.commands
                    .push(Command::SetTimer(at, RequestTimer::Router(tag)));
            }
            Action::Probe { server } => self.commands.push(Command::Probe(server)),
            // Discovery delivers the endpoint list without a request, from the configured source.
            Action::WatchEndpoints => {}
            Action::Log { line } => log::info!("{line}"),
        }
    }

    fn start_attempt(&mut self, now: Micros, request_key: RequestKey, decision: RoutingDecision) {
        let Some(pending) = self.requests.get(request_key) else {
            return;
        };
        if !self.may_start_attempt(pending) {
            return self.fail_if_unsettled(now, request_key);
        }
        let location = self.servers.dedup_location(decision.server);
        let Some(pending) = self.requests.get_mut(request_key) else {
            return;
        };
        let in_flight = pending.start_attempt(now, decision, location);
        let request_deadline = pending.deadline;
        log::debug!(
            "request {}: starting attempt {} at server #{:016x}",
            pending.request.id,
            in_flight.number,
            in_flight.spec.server
        );
        let attempt = AttemptId {
            request_key,
            number: in_flight.number,
        };
        self.counters.attempts += 1;
        self.commands.push(Command::SendAttempt(attempt));
        // At the deadline of the request, the deadline timer ends the attempt.
        if in_flight.spec.deadline < request_deadline {
            self.commands.push(Command::SetTimer(
                in_flight.spec.deadline,
                RequestTimer::AttemptTimeout(attempt),
            ));
        }
    }

    fn answer_and_release(&mut self, now: Micros, request_key: RequestKey, answer: Answer) {
        self.give_answer(now, request_key, answer);
        self.release_if_complete(now, request_key);
    }
}
