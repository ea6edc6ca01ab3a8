//! Entry point of the child processes: runs this program as an edge proxy, with the same library as
//! the deployed program and with a fault injector for its system calls.

use edge_proxy::program;
use edge_proxy::sys::fault::{FaultInjector, FaultPlan};
use std::process::ExitCode;

/// The environment variable that holds the fault plan as JSON.
pub const FAULT_PLAN_VARIABLE: &str = "EDGE_PROXY_FAULT_PLAN";
/// The prefix of the log line that reports, at exit, how many system calls were affected by faults.
pub const INJECTED_FAULTS_PREFIX: &str = "injected faults: ";

/// Runs the proxy until it is asked to shut down. Without a valid fault plan in the environment no
/// faults are injected.
pub fn run() -> ExitCode {
    let plan = std::env::var(FAULT_PLAN_VARIABLE).ok();
    let plan = plan.and_then(|text| serde_json::from_str::<FaultPlan>(&text).ok());
    let injector = FaultInjector::new(plan.unwrap_or_default());
    injector.install();
    let code = program::run();
    if let Ok(injected_counts) = serde_json::to_string(&injector.injected_counts()) {
        eprintln!("{INJECTED_FAULTS_PREFIX}{injected_counts}");
    }
    code
}
