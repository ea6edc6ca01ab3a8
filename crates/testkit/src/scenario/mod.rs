//! The loopback scenario, which runs the proxy program and fakes around it through a purge, a drain
//! and a shutdown. It reports every violation of a rule, not only the first.

mod attempt_limit;
mod deployment;
mod drain;
mod notifications;
mod purge;
mod report;
mod shutdown;

pub use report::{Rule, RuleViolation, ScenarioReport};

use crate::fake_cache::Behavior;
use crate::proxy_process::ProxyProcessError;
use crate::TEST_TIMEOUT;
use deployment::Deployment;
use std::io;
use std::path::Path;

/// Tolerance added to the proxy's grace periods, because sockets and threads of this program delay
/// what it observes.
const MEASUREMENT_TOLERANCE_MS: u64 = 50;

/// A fault that the fakes cause in order to check that the scenario reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// The cache servers serve copies of any age, even after a purge, and report them as new.
    StaleCopies,
    /// The event bus does not publish the drain.
    UnannouncedDrain,
}

/// The reason why the scenario could not be completed. Violations by the proxy are in the
/// [`ScenarioReport`] instead.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// A fake or the proxy's process failed, or the proxy did not answer in time.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The proxy sent a body that is not valid JSON.
    #[error("the proxy sent invalid JSON: {0}")]
    InvalidJson(#[from] serde_json::Error),
    /// The proxy's process could not be started.
    #[error(transparent)]
    Process(#[from] ProxyProcessError),
    /// The proxy does not accept peer CDNs.
    #[error("the proxy has no interconnect")]
    NoInterconnect,
    /// The proxy's health check did not succeed in time.
    #[error("the proxy did not become ready within {TEST_TIMEOUT:?}")]
    NotReady,
    /// No cache server received any of the redirected requests in time.
    #[error("no redirected request reached a cache server within {TEST_TIMEOUT:?}")]
    NoRedirectedRequest,
    /// The thread of a client panicked.
    #[error("the thread of a client panicked")]
    ClientPanicked,
}

/// Runs the scenario against a proxy program, with an injected fault if one is given.
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
