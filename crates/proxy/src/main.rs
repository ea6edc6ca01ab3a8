//! The `edge-proxy` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    edge_proxy::program::run()
}
