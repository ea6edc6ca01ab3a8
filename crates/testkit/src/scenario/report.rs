//! The report of a run of the scenario.

use std::fmt;

/// A rule that the proxy must not violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Each request gets exactly one response.
    SingleResponse,
    /// A purge by a peer CDN is accepted and reported as complete.
    PurgeAccepted,
    /// No older copy is served after the grace period of a purge.
    PurgeTakesEffect,
    /// The peer CDN is notified of the footprint and of purges.
    PeerNotified,
    /// A redirection request is answered with a redirection.
    Redirected,
    /// The draining server receives no new request after the grace period of a drain.
    DrainTakesEffect,
    /// A request has no more attempts than the limit.
    AttemptsBounded,
    /// On shutdown, pending requests are answered and the process exits successfully.
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
    /// The violated rule.
    pub rule: Rule,
    /// How the rule was violated.
    pub description: String,
}

/// The completed cases and violations of a run of the scenario. `Display` writes one line for each,
/// and the number of violations.
#[derive(Clone, Debug, Default)]
pub struct ScenarioReport {
    /// Descriptions of the completed cases, with numbers of requests.
    pub completed_cases: Vec<String>,
    /// All violations in the order of their detection.
    pub violations: Vec<RuleViolation>,
}

impl ScenarioReport {
    /// Records a violation of a rule unless `kept` is true.
    pub(super) fn check(&mut self, rule: Rule, kept: bool, describe: impl FnOnce() -> String) {
        if !kept {
            self.violations.push(RuleViolation {
                rule,
                description: describe(),
            });
        }
    }

    /// Records that a case was completed.
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
