//! This program as an edge proxy: the library that the deployed program is made of, with the faults
//! of a plan in its system calls.

use edge_proxy::program;
use edge_proxy::sys::fault::{FaultInjector, FaultPlan};
use std::process::ExitCode;

/// The variable with the plan of faults, as JSON.
pub const FAULT_PLAN_VARIABLE: &str = "EDGE_PROXY_FAULT_PLAN";
/// The start of the line that tells at the end how many calls were disturbed.
pub const INJECTED_MARK: &str = "injected faults: ";

/// Runs the proxy until it is told to end.
pub fn run() -> ExitCode {
    let plan = std::env::var(FAULT_PLAN_VARIABLE).ok();
    let plan = plan.and_then(|text| serde_json::from_str::<FaultPlan>(&text).ok());
    let injector = FaultInjector::new(plan.unwrap_or_default());
    injector.install();
    let code = program::run();
    if let Ok(injected) = serde_json::to_string(&injector.injected()) {
        eprintln!("{INJECTED_MARK}{injected}");
    }
    code
}
