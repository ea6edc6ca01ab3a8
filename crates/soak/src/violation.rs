//! What may be found to be wrong.

use serde::Serialize;

/// A rule that a run can break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Rule {
    /// A request that was taken has no final answer, or its connection was closed without one.
    FinalAnswer,
    /// A request has two final answers.
    OneAnswer,
    /// An answer is not what a cache server made for the request.
    TrueAnswer,
    /// An answer comes from a copy from before a purge that the proxy had been told of.
    NoPurgedCopy,
    /// The same for a purge that the proxy had taken on by itself and has to keep.
    KeptPurge,
    /// An attempt begins at a server that drains or is gone, or is filled from one.
    Drain,
    /// An attempt begins though its client has left.
    ClientLeft,
    /// A server is given more time than the client has left.
    ClientTime,
    /// A request that must not run twice runs twice.
    RunOnce,
    /// A request that may have run is answered as one that has not.
    HonestRejection,
    /// A server that has just started is sent more than it can take.
    SlowStart,
    /// A process ends by itself, or with an error, or panics.
    Crash,
    /// A process that was told to end does not end in time.
    Shutdown,
    /// A process that was started is not ready in time.
    Start,
    /// A request is turned away though nothing is wrong but what has passed.
    Recovery,
    /// A purge or a change of the list that was told does not arrive while discovery works.
    Discovery,
    /// An invariant that the proxy checks itself is violated.
    Invariant,
}

impl Rule {
    /// Whether the verdict depends on times that a busy machine stretches.
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

/// A broken rule.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When, in milliseconds from the start of the run.
    pub at_ms: u64,
    /// The proxy, where it concerns one.
    pub proxy: Option<usize>,
    /// The request, where it concerns one.
    pub request: Option<String>,
    /// What was seen.
    pub detail: String,
}
