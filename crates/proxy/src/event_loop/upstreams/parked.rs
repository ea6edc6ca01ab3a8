//! Attempts that wait because no connection could be opened for a reason of this machine's own: no
//! descriptor, memory, port or route was left for the moment. That says nothing of the server.

use crate::event_loop::timer::TimerEvent;
use crate::event_loop::EventLoop;
use crate::request_table::AttemptId;
use edge_routing::{Micros, Outcome, ServerId};

/// An attempt without a connection.
#[derive(Clone, Copy, Debug)]
struct ParkedAttempt {
    attempt: AttemptId,
    server: ServerId,
    /// When it was first tried.
    since: Micros,
}

/// The attempts that wait, oldest first. There are no more than requests.
#[derive(Default)]
pub(super) struct ParkedAttempts {
    attempts: Vec<ParkedAttempt>,
    retry_scheduled: bool,
}

impl ParkedAttempts {
    /// Takes an attempt out, if it is among these.
    fn remove(&mut self, attempt: AttemptId) -> bool {
        let before = self.attempts.len();
        self.attempts.retain(|parked| parked.attempt != attempt);
        self.attempts.len() < before
    }
}

impl EventLoop {
    /// Has an attempt wait for a connection. It began to wait at `since`.
    pub(super) fn park_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        server: ServerId,
        since: Micros,
    ) {
        let parked = &mut self.upstream_connections.parked;
        parked.attempts.push(ParkedAttempt {
            attempt,
            server,
            since,
        });
        if !std::mem::replace(&mut parked.retry_scheduled, true) {
            self.timers.set(
                now + self.limits.local_retry_us,
                TimerEvent::RetryParkedAttempts,
            );
        }
    }

    /// Tries the attempts that wait once more. One that has waited for too long ends as never sent.
    pub(in crate::event_loop) fn retry_parked_attempts(&mut self, now: Micros) {
        self.upstream_connections.parked.retry_scheduled = false;
        for parked in std::mem::take(&mut self.upstream_connections.parked.attempts) {
            if now < parked.since + self.limits.local_failure_patience_us {
                self.send_attempt_since(now, parked.attempt, parked.since);
            } else {
                self.request_table
                    .attempt_ended(now, parked.attempt, Outcome::NotSent.into());
            }
        }
    }

    /// Takes back an attempt that waits. False: it is not among these.
    pub(super) fn cancel_parked_attempt(&mut self, now: Micros, attempt: AttemptId) -> bool {
        let is_parked = self.upstream_connections.parked.remove(attempt);
        if is_parked {
            self.request_table
                .attempt_ended(now, attempt, Outcome::Cancelled.into());
        }
        is_parked
    }

    /// Takes back the attempts that wait for a server that drains or is gone, or for a fill from it.
    pub(super) fn drain_parked_attempts(&mut self, now: Micros, server: ServerId) {
        let is_filled_from = |attempt: AttemptId| {
            let fill = self
                .request_table
                .attempt_spec(attempt)
                .and_then(|(_, spec)| spec.fill);
            fill.is_some_and(|fill| fill.source == server)
        };
        let concerned: Vec<AttemptId> = self
            .upstream_connections
            .parked
            .attempts
            .iter()
            .filter(|parked| parked.server == server || is_filled_from(parked.attempt))
            .map(|parked| parked.attempt)
            .collect();
        for attempt in concerned {
            self.upstream_connections.parked.remove(attempt);
            self.request_table
                .attempt_ended(now, attempt, Outcome::NotSent.into());
        }
    }
}
