//! The edge proxy's program.

use std::process::ExitCode;

fn main() -> ExitCode {
    edge_proxy::program::run()
}
