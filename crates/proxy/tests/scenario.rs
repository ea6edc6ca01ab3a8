//! The loopback scenario against the real program: it finds no violation, and finds the injected
//! ones.

use edge_testkit::{run_scenario, InjectedFault, Rule};
use std::path::Path;

/// Purge, notifications, drain and shutdown.
const CASES: usize = 4;

fn proxy_program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_edge-proxy"))
}

#[test]
fn proxy_violates_no_rule() {
    let report = run_scenario(proxy_program(), None).expect("the scenario runs");
    assert_eq!(report.violations, [], "{report}");
    assert_eq!(report.completed_cases.len(), CASES, "{report}");
}

#[test]
fn injected_faults_are_reported() {
    for (fault, rule) in [
        (InjectedFault::StaleCopies, Rule::PurgeTakesEffect),
        (InjectedFault::UnannouncedDrain, Rule::DrainTakesEffect),
    ] {
        let report = run_scenario(proxy_program(), Some(fault)).expect("the scenario runs");
        assert!(
            report.violations.len() > 1,
            "every violation is reported, not only the first: {report}"
        );
        assert!(
            report.violations.iter().all(|found| found.rule == rule),
            "{fault:?}: {report}"
        );
    }
}
