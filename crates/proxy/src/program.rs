//! The edge proxy as a program: reads the configuration, runs the event loop, turns errors into a log
//! line and an exit code.

use crate::config::{Config, ConfigError};
use crate::event_loop::{EventLoop, StartError};
use std::io;
use std::process::ExitCode;

/// Runs the proxy with the configuration that the environment names, until it is shut down.
pub fn run() -> ExitCode {
    let log_level = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(log_level).init();
    match run_event_loop() {
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

fn run_event_loop() -> Result<(), ProgramError> {
    let config = Config::from_env()?;
    let mut event_loop = EventLoop::start(config, Box::new(Config::from_env))?;
    Ok(event_loop.run()?)
}
