//! Runs the loopback scenario against a proxy program. The first argument is the path of that
//! program; the default is `edge-proxy` in the directory of this program. The exit status is 0 if
//! no rule was violated, 1 if a rule was violated, and 2 if the scenario could not be run.

use std::path::PathBuf;
use std::process::ExitCode;

const EXIT_VIOLATIONS_FOUND: u8 = 1;
const EXIT_SCENARIO_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let proxy_program = std::env::args()
        .nth(1)
        .map_or_else(default_proxy_program, PathBuf::from);
    match edge_testkit::run_scenario(&proxy_program, None) {
        Err(error) => {
            let proxy_program = proxy_program.display();
            eprintln!("failed to run the scenario with the proxy program {proxy_program}: {error}");
            ExitCode::from(EXIT_SCENARIO_NOT_RUN)
        }
        Ok(report) => {
            print!("{report}");
            if report.violations.is_empty() {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(EXIT_VIOLATIONS_FOUND)
            }
        }
    }
}

/// Returns the path of `edge-proxy` in the directory of this program, or an empty path if that
/// directory is unknown.
fn default_proxy_program() -> PathBuf {
    std::env::current_exe()
        .map(|own_program| own_program.with_file_name("edge-proxy"))
        .unwrap_or_default()
}
