//! Runs the loopback scenario against the proxy: the program given as the first argument, or
//! `edge-proxy` beside this program. Exits with 0 if every rule was kept, with 1 if one was
//! violated, and with 2 if the scenario could not be run.

use std::path::PathBuf;
use std::process::ExitCode;

const VIOLATIONS_FOUND: u8 = 1;
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let proxy_program = std::env::args().nth(1).map_or_else(sibling, PathBuf::from);
    match edge_testkit::run_scenario(&proxy_program, None) {
        Err(error) => {
            let proxy_program = proxy_program.display();
            eprintln!("the scenario could not be run with {proxy_program}: {error}");
            ExitCode::from(NOT_RUN)
        }
        Ok(report) => {
            print!("{report}");
            if report.violations.is_empty() {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(VIOLATIONS_FOUND)
            }
        }
    }
}

/// The proxy's program in the folder of this one.
fn sibling() -> PathBuf {
    std::env::current_exe()
        .map(|own| own.with_file_name("edge-proxy"))
        .unwrap_or_default()
}
