//! The loopback scenario with the proxy's real program: it reports no violation by the proxy, and
//! reports every violation that is injected.

use edge_testkit::{run_scenario, InjectedFault, Rule};
use std::path::Path;

/// Number of cases of the scenario: purge, notifications, drain and shutdown.
const CASES: usize = 4;

fn proxy_program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_edge-proxy"))
}

/// Runs purge, notifications, drain and shutdown against a separate process of the proxy. Any
/// violation of a rule fails the test.
#[test]
fn proxy_violates_no_rule() {
    let report = run_scenario(proxy_program(), None).expect("the scenario was not completed");
    assert_eq!(report.violations, [], "{report}");
    assert_eq!(report.completed_cases.len(), CASES, "{report}");
}

/// A scenario that checked nothing would always pass. With fakes that misbehave on purpose, it must
/// report the rule that is violated, and all violations of it.
#[test]
fn injected_faults_are_reported() {
    for (fault, rule) in [
        (InjectedFault::StaleCopies, Rule::PurgeTakesEffect),
        (InjectedFault::UnannouncedDrain, Rule::DrainTakesEffect),
    ] {
        let report =
            run_scenario(proxy_program(), Some(fault)).expect("the scenario was not completed");
        assert!(
            report.violations.len() > 1,
            "only the first violation was reported, or none: {report}"
        );
        assert!(
            report.violations.iter().all(|found| found.rule == rule),
            "{fault:?}: {report}"
        );
    }
}
