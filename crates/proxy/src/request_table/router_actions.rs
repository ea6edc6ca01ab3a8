//! Drives the router: each event goes in, and the actions that come out become changes of the table
//! and commands.

use super::attempt::{AttemptId, AttemptOrder};
use super::command::{Command, RequestTimer};
use super::request::{Answer, RequestKey};
use super::RequestTable;
use crate::net::SlabKey;
use edge_routing::{Action, Event, Micros, Outcome};

impl RequestTable {
    /// Tells the router of an event, and carries out its actions in order. No action leads to a
    /// further event at once, so this never calls itself.
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
                let order = AttemptOrder {
                    server,
                    timeout_us,
                    fill,
                    send_by,
                };
                self.start_attempt(now, SlabKey::from_u64(request), order);
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
            // Discovery pushes the list, from whichever source the configuration names.
            Action::WatchEndpoints => {}
            Action::Log { line } => log::info!("{line}"),
        }
    }

    fn start_attempt(&mut self, now: Micros, request_key: RequestKey, order: AttemptOrder) {
        let Some(pending) = self.requests.get(request_key) else {
            return;
        };
        if !self.may_start_attempt(pending) {
            return self.fail_if_unsettled(now, request_key);
        }
        let Some(pending) = self.requests.get_mut(request_key) else {
            return;
        };
        let in_flight = pending.start_attempt(now, order);
        let request_deadline = pending.deadline;
        log::debug!(
            "request {}: attempt {} at #{:016x}",
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
        // At the request's deadline its own timer ends the attempt.
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
