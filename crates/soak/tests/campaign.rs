//! Runs a few seeds against real processes. Rules that depend on timing are ignored, so that the
//! result is the same on a busy machine.

use std::process::Command;

/// Seeds whose plans have overlapping restarts, kills, reloads and failing system calls.
const SEEDS: [&str; 2] = ["5..7", "9..11"];

#[test]
fn fixed_seeds_violate_no_rule() {
    for seeds in SEEDS {
        let output = Command::new(env!("CARGO_BIN_EXE_edge-soak"))
            .args([
                "run",
                "--seeds",
                seeds,
                "--jobs",
                "3",
                "--no-timing-verdicts",
            ])
            .output()
            .unwrap();
        let report = String::from_utf8_lossy(&output.stdout);
        assert!(output.status.success(), "{report}");
        assert!(report.contains("violations: 0 in 0 seeds"), "{report}");
        assert!(!report.contains("invariant checks: 0\n"), "{report}");
    }
}
