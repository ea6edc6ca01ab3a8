//! The loopback scenario: the proxy's program, with fakes around it, goes through a purge, a drain
//! and a shutdown. Every violation of the rules is reported, not only the first.

mod attempt_limit;
mod deployment;
mod drain;
mod notifications;
mod proxy_process;
mod purge;
mod report;
mod shutdown;

pub use report::{Rule, RuleViolation, ScenarioReport};

use crate::fake_cache::Behavior;
use deployment::Deployment;
use std::io;
use std::path::Path;

/// What sockets and threads of this program add to a time limit of the proxy.
const MEASUREMENT_TOLERANCE_MS: u64 = 50;

/// A fault that the fakes are made to show, to see that the scenario reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// The cache servers serve copies of any age, also after a purge, and claim that they are new.
    StaleCopies,
    /// The event bus does not publish the drain.
    UnannouncedDrain,
}

/// Why the scenario could not be run to its end. What the proxy does wrong is in the
/// [`ScenarioReport`].
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// A fake or the proxy's process failed, or the proxy did not answer.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// What the proxy sent is not the expected JSON.
    #[error("the proxy sent invalid JSON: {0}")]
    InvalidJson(#[from] serde_json::Error),
    /// The process was started without its standard error.
    #[error("the proxy's log can't be read")]
    NoLog,
    /// The log did not name the addresses in time.
    #[error("the proxy did not start to listen")]
    NotListening,
    /// The health check did not succeed in time.
    #[error("the proxy did not become ready")]
    NotReady,
    /// No cache server received any of the redirected requests in time.
    #[error("no redirected request reached a cache server")]
    NoRedirectedRequest,
    /// A client thread panicked.
    #[error("a client panicked")]
    ClientPanicked,
}

/// Runs the scenario against the proxy's program, with a fault if one is given.
pub fn run_scenario(
    proxy_program: &Path,
    fault: Option<InjectedFault>,
) -> Result<ScenarioReport, ScenarioError> {
    let mut report = ScenarioReport::default();
    let mut deployment = Deployment::start(proxy_program)?;
    deployment.wait_until_ready()?;
    if fault == Some(InjectedFault::StaleCopies) {
        deployment.set_cache_behavior(Behavior::ignoring_max_age());
    }
    purge::run(&deployment, &mut report)?;
    notifications::run(&deployment, &mut report)?;
    deployment.set_cache_behavior(Behavior::default());
    drain::run(&deployment, fault, &mut report)?;
    attempt_limit::check(&deployment, &mut report);
    shutdown::run(&mut deployment, &mut report)?;
    Ok(report)
}
