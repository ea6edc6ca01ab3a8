//! The edge proxy's program: reads the configuration, runs the event loop, turns errors into a log
//! line and an exit code.

use edge_proxy::{config::Config, event_loop::EventLoop};
use std::process::ExitCode;

fn main() -> ExitCode {
    let log_level = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(log_level).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            log::error!("{message}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the proxy until it is shut down. The error is the line to be logged.
fn run() -> Result<(), String> {
    let config = Config::from_env().map_err(|e| e.to_string())?;
    let mut event_loop = EventLoop::start(config, Box::new(Config::from_env))
        .map_err(|e| format!("could not start: {e}"))?;
    event_loop
        .run()
        .map_err(|e| format!("the event loop failed: {e}"))
}
