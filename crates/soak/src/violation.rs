//! The rules that the fault campaign checks, and their violations.

use serde::Serialize;

/// A rule of the protocol that a run can violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Rule {
    /// A proxy accepted a request but sent no final answer, or closed the connection without one.
    FinalAnswer,
    /// A request got two final answers.
    OneAnswer,
    /// An answer is not what a cache server created for the request.
    TrueAnswer,
    /// An answer comes from a copy created before a purge that the proxy knew of.
    NoPurgedCopy,
    /// An answer comes from a copy created before a purge that the proxy had accepted through its
    /// interconnect and has to persist.
    KeptPurge,
    /// An attempt was sent to a server that drains or is gone, or named one as its fill source.
    Drain,
    /// An attempt was sent after the client had cancelled its request.
    ClientLeft,
    /// A server was given more time than the client had left.
    ClientTime,
    /// A request that must not be executed twice was executed twice.
    RunOnce,
    /// A request that may have been executed was rejected as if it had not.
    HonestRejection,
    /// A server that had just started got more requests than it can process while warming up.
    SlowStart,
    /// A process exited unexpectedly or with an error, or panicked.
    Crash,
    /// A process did not exit in time after SIGTERM.
    Shutdown,
    /// A process did not become ready in time after its start.
    Start,
    /// Requests were refused after all faults that could explain it had passed.
    Recovery,
    /// A published purge or change of the endpoint list did not reach a proxy although discovery
    /// worked.
    Discovery,
    /// A proxy detected the violation of one of its own invariants.
    Invariant,
}

impl Rule {
    /// Returns whether the verdict depends on times that become longer on a busy machine.
    pub fn is_timing(self) -> bool {
        matches!(
            self,
            Rule::Drain
                | Rule::NoPurgedCopy
                | Rule::ClientLeft
                | Rule::ClientTime
                | Rule::SlowStart
                | Rule::Shutdown
                | Rule::Start
                | Rule::Recovery
                | Rule::Discovery
        )
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// When the violation happened, in milliseconds from the start of the run. 0 for violations
    /// found in a log.
    pub at_ms: u64,
    /// The index of the proxy, if the violation concerns one.
    pub proxy: Option<usize>,
    /// The id of the request, if the violation concerns one.
    pub request: Option<String>,
    /// What was observed.
    pub detail: String,
}
