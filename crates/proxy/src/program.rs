//! The edge proxy as a program: reads the configuration, runs the event loop, turns errors into a log
//! line and an exit code.

use crate::config::{Config, ConfigError};
use crate::event_loop::{EventLoop, Signals, StartError};
use std::io;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

/// How long the start waits for a configuration that may be about to become readable.
const CONFIGURATION_PATIENCE: Duration = Duration::from_secs(3);
/// How long it waits before it reads it again.
const CONFIGURATION_RETRY: Duration = Duration::from_millis(50);

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
    let signals = Signals::register()?;
    let config = read_configuration()?;
    let source = Box::new(Config::from_env);
    let mut event_loop = EventLoop::start_with_signals(config, source, signals)?;
    Ok(event_loop.run()?)
}

/// Reads the configuration, and again for a while if that fails for a reason that may pass, such as
/// a file that is being written.
fn read_configuration() -> Result<Config, ConfigError> {
    let give_up_at = Instant::now() + CONFIGURATION_PATIENCE;
    loop {
        match Config::from_env() {
            Err(error) if error.may_pass() && Instant::now() < give_up_at => {
                log::warn!("the start waits: {error}");
                thread::sleep(CONFIGURATION_RETRY);
            }
            result => return result,
        }
    }
}
