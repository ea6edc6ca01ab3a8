//! The edge proxy's program: reads the configuration, runs the event loop, turns errors into a log
//! line and an exit code.

use edge_proxy::config::{Config, ConfigError};
use edge_proxy::event_loop::{EventLoop, StartError};
use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let log_level = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(log_level).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Why the program ends with a failure.
#[derive(Debug, thiserror::Error)]
enum ProgramError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("could not start: {0}")]
    Start(#[from] StartError),
    #[error("the event loop failed: {0}")]
    EventLoop(#[from] io::Error),
}

/// Runs the proxy until it is shut down.
fn run() -> Result<(), ProgramError> {
    let config = Config::from_env()?;
    let mut event_loop = EventLoop::start(config, Box::new(Config::from_env))?;
    Ok(event_loop.run()?)
}
