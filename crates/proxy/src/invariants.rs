//! Invariants that are checked while the proxy runs, and the counts of checks and violations.
//!
//! Each invariant guards one kind of step: an attempt that is sent, a request that is retried, a
//! client connection that is closed, work that is started. A violation is counted and logged with
//! the request that it concerns, and the program continues. The counts are logged on SIGTERM and at
//! the end of the process.

use std::cell::Cell;
use std::fmt;

/// A condition that must hold whenever a step of its kind is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// Sending: the cache server is ready according to the endpoint list.
    SendToReadyServer,
    /// Sending: the server that a miss is filled from is ready according to the endpoint list.
    FillFromReadySource,
    /// Sending: the client still waits for the answer.
    SendForWaitingClient,
    /// Sending: the server is given no more time than the client has left.
    SendWithinClientTime,
    /// Retrying: no earlier attempt may have been executed, unless the request class allows a
    /// repetition.
    RepeatOnlyIfSafe,
    /// Retrying: a request with an idempotency key that may have been executed is sent only to a
    /// server that recognizes the repetition, and only while that server remembers the key.
    RepeatWithinDedupScope,
    /// Retrying: a request has at most one attempt in flight.
    OneAttemptInFlight,
    /// Retrying: a rejection, which promises the client that a retry does no harm, is true.
    RejectOnlyIfSafe,
    /// Closing: the proxy does not close a client connection on which a final answer is still due.
    CloseOnlyIfAnswered,
    /// Closing: the process ends with no request pending.
    EndOnlyIfAnswered,
    /// Closing: a final answer is given before the deadline of the request, with a tolerance for a
    /// delayed turn of the event loop.
    AnswerInTime,
    /// Starting: no request is admitted after the grace period of a shutdown.
    AdmitOnlyBeforeGraceEnds,
}

impl Invariant {
    /// All invariants, in the order of their declaration.
    pub const ALL: [Invariant; 12] = [
        Invariant::SendToReadyServer,
        Invariant::FillFromReadySource,
        Invariant::SendForWaitingClient,
        Invariant::SendWithinClientTime,
        Invariant::RepeatOnlyIfSafe,
        Invariant::RepeatWithinDedupScope,
        Invariant::OneAttemptInFlight,
        Invariant::RejectOnlyIfSafe,
        Invariant::CloseOnlyIfAnswered,
        Invariant::EndOnlyIfAnswered,
        Invariant::AnswerInTime,
        Invariant::AdmitOnlyBeforeGraceEnds,
    ];
}

/// The prefix of a log line that reports a violation.
pub const VIOLATION_LOG_PREFIX: &str = "invariant violated: ";
/// The prefix of the log line that reports the counts.
pub const SUMMARY_LOG_PREFIX: &str = "invariants: ";
/// The number of violations of one invariant that are logged. Further violations are only counted.
const MAX_LOGGED_VIOLATIONS: u64 = 20;

/// Counts the checks and violations of all invariants. All code that takes guarded steps shares it.
#[derive(Default)]
pub struct InvariantMonitor {
    checks: Cell<u64>,
    violations: [Cell<u64>; Invariant::ALL.len()],
}

impl InvariantMonitor {
    /// Counts a check, and also a violation if `holds` is false. `subject` is what the check
    /// concerns, such as the id of a request. Returns `holds`.
    pub fn check(&self, invariant: Invariant, holds: bool, subject: impl fmt::Display) -> bool {
        self.checks.set(self.checks.get() + 1);
        if !holds {
            self.count_violation(invariant, &subject);
        }
        holds
    }

    fn count_violation(&self, invariant: Invariant, subject: &dyn fmt::Display) {
        let count = &self.violations[invariant as usize];
        count.set(count.get() + 1);
        if count.get() <= MAX_LOGGED_VIOLATIONS {
            log::error!("{VIOLATION_LOG_PREFIX}{invariant:?}: {subject}");
        }
    }

    /// Returns the number of checks so far.
    pub fn checks(&self) -> u64 {
        self.checks.get()
    }

    /// Returns the number of violations of one invariant so far.
    pub fn violations_of(&self, invariant: Invariant) -> u64 {
        self.violations[invariant as usize].get()
    }

    /// Returns the number of violations of all invariants so far.
    pub fn violations(&self) -> u64 {
        self.violations.iter().map(Cell::get).sum()
    }
}

impl fmt::Display for InvariantMonitor {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (checks, violations) = (self.checks(), self.violations());
        write!(
            formatter,
            "{SUMMARY_LOG_PREFIX}{checks} checks, {violations} violations"
        )?;
        let violated = Invariant::ALL
            .into_iter()
            .filter(|invariant| self.violations_of(*invariant) > 0);
        for invariant in violated {
            write!(
                formatter,
                ", {invariant:?} {}",
                self.violations_of(invariant)
            )?;
        }
        Ok(())
    }
}
