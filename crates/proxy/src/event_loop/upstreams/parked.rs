//! Parked attempts, which wait because no connection could be opened for them. The cause is on this
//! machine: the connection table is full, or the machine temporarily lacks a file descriptor,
//! memory, a port or a route. It does not indicate a fault of the server.

use crate::event_loop::timer::TimerEvent;
use crate::event_loop::EventLoop;
use crate::request_table::AttemptId;
use edge_routing::{Micros, Outcome, ServerId};

/// An attempt that waits for a connection.
#[derive(Clone, Copy, Debug)]
struct ParkedAttempt {
    attempt: AttemptId,
    server: ServerId,
    /// Time at which sending the attempt was first tried, in microseconds.
    first_tried_at: Micros,
}

/// The parked attempts, oldest first. Their number is bounded by the number of pending requests.
#[derive(Default)]
pub(super) struct ParkedAttempts {
    attempts: Vec<ParkedAttempt>,
    retry_scheduled: bool,
}

impl ParkedAttempts {
    /// Removes an attempt. Returns whether it was parked.
    fn remove(&mut self, attempt: AttemptId) -> bool {
        let before = self.attempts.len();
        self.attempts.retain(|parked| parked.attempt != attempt);
        self.attempts.len() < before
    }
}

impl EventLoop {
    /// Parks an attempt until a connection can be opened for it. `first_tried_at` is the time at
    /// which sending it was first tried.
    pub(super) fn park_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        server: ServerId,
        first_tried_at: Micros,
    ) {
        let parked = &mut self.upstream_connections.parked;
        parked.attempts.push(ParkedAttempt {
            attempt,
            server,
            first_tried_at,
        });
        if !std::mem::replace(&mut parked.retry_scheduled, true) {
            self.timers.schedule(
                now + self.limits.local_error_retry_interval_us,
                TimerEvent::RetryParkedAttempts,
            );
        }
    }

    /// Tries to send the parked attempts again. An attempt that has been parked for longer than
    /// `Limits::local_error_timeout_us` ends as not sent.
    pub(in crate::event_loop) fn retry_parked_attempts(&mut self, now: Micros) {
        self.upstream_connections.parked.retry_scheduled = false;
        for parked in std::mem::take(&mut self.upstream_connections.parked.attempts) {
            if now < parked.first_tried_at + self.limits.local_error_timeout_us {
                self.send_attempt_first_tried_at(now, parked.attempt, parked.first_tried_at);
            } else {
                self.request_table
                    .attempt_ended(now, parked.attempt, Outcome::NotSent.into());
            }
        }
    }

    /// Cancels an attempt if it is parked. Returns whether it was.
    pub(super) fn cancel_parked_attempt(&mut self, now: Micros, attempt: AttemptId) -> bool {
        let is_parked = self.upstream_connections.parked.remove(attempt);
        if is_parked {
            self.request_table
                .attempt_ended(now, attempt, Outcome::Cancelled.into());
        }
        is_parked
    }

    /// Removes the parked attempts that would be sent to a server that is draining or gone, or
    /// filled from it, and reports them as not sent.
    pub(super) fn drain_parked_attempts(&mut self, now: Micros, server: ServerId) {
        let is_filled_from = |attempt: AttemptId| {
            let fill = self
                .request_table
                .attempt_spec(attempt)
                .and_then(|(_, spec)| spec.fill);
            fill.is_some_and(|fill| fill.source == server)
        };
        let removed: Vec<AttemptId> = self
            .upstream_connections
            .parked
            .attempts
            .iter()
            .filter(|parked| parked.server == server || is_filled_from(parked.attempt))
            .map(|parked| parked.attempt)
            .collect();
        for attempt in removed {
            self.upstream_connections.parked.remove(attempt);
            self.request_table
                .attempt_ended(now, attempt, Outcome::NotSent.into());
        }
    }
}
