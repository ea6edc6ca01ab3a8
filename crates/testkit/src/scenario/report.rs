//! What a run of the scenario found.

use std::fmt;

/// A rule that the proxy must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Each request gets exactly one response.
    SingleResponse,
    /// A peer's purge is accepted, and its status is complete.
    PurgeAccepted,
    /// After the grace period of a purge, no older copy is served.
    PurgeTakesEffect,
    /// The peer CDN gets the footprint and the purges.
    PeerNotified,
    /// A redirection request gets a redirection.
    Redirected,
    /// After the grace period of a drain, the server gets no new request.
    DrainTakesEffect,
    /// A request has a bounded number of attempts.
    AttemptsBounded,
    /// On shutdown, open requests are answered and the process succeeds.
    GracefulShutdown,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::SingleResponse => "single response",
            Rule::PurgeAccepted => "purge accepted",
            Rule::PurgeTakesEffect => "purge takes effect",
            Rule::PeerNotified => "peer notified",
            Rule::Redirected => "redirected",
            Rule::DrainTakesEffect => "drain takes effect",
            Rule::AttemptsBounded => "attempts bounded",
            Rule::GracefulShutdown => "graceful shutdown",
        })
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleViolation {
    /// The rule.
    pub rule: Rule,
    /// What violated it.
    pub description: String,
}

/// What the scenario did and found. Its `Display` is a line each.
#[derive(Clone, Debug, Default)]
pub struct ScenarioReport {
    /// The cases that were run, with their counts.
    pub completed_cases: Vec<String>,
    /// All violations, in the order in which they were found.
    pub violations: Vec<RuleViolation>,
}

impl ScenarioReport {
    /// Records a violation unless the rule was kept.
    pub(super) fn check(&mut self, rule: Rule, kept: bool, describe: impl FnOnce() -> String) {
        if !kept {
            self.violations.push(RuleViolation {
                rule,
                description: describe(),
            });
        }
    }

    /// Records that a case was run to its end.
    pub(super) fn complete_case(&mut self, description: impl Into<String>) {
        self.completed_cases.push(description.into());
    }
}

impl fmt::Display for ScenarioReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for case in &self.completed_cases {
            writeln!(f, "completed  {case}")?;
        }
        for violation in &self.violations {
            writeln!(
                f,
                "VIOLATION  {}: {}",
                violation.rule, violation.description
            )?;
        }
        writeln!(f, "{} violations", self.violations.len())
    }
}
