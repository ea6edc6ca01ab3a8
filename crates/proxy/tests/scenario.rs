//! The rehearsal kit against the real daemon: it finds nothing wrong, and finds what was planted.

use edge_testkit::{run_scenario, InjectedFault, Rule};
use std::path::Path;

fn daemon() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_edge-proxy"))
}

#[test]
fn the_daemon_keeps_the_rules_in_both_cases() {
    let report = run_scenario(daemon(), None).expect("the rehearsal is played");
    assert_eq!(report.violations, [], "{report}");
    assert_eq!(report.completed_cases.len(), 4, "{report}");
}

#[test]
fn planted_violations_are_reported() {
    for (plant, rule) in [
        (InjectedFault::StaleCopies, Rule::PurgeTakesEffect),
        (InjectedFault::UnannouncedDrain, Rule::DrainTakesEffect),
    ] {
        let report = run_scenario(daemon(), Some(plant)).expect("the rehearsal is played");
        assert!(
            report.violations.len() > 1,
            "each one is reported, not only the first: {report}"
        );
        assert!(
            report.violations.iter().all(|b| b.rule == rule),
            "{plant:?}: {report}"
        );
    }
}
