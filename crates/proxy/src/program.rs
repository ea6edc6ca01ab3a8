//! The main program of the edge proxy. It reads the configuration, runs the event loop, and reports
//! an error as a log line and an exit code.

use crate::config::{Config, ConfigError};
use crate::event_loop::{EventLoop, Signals, StartError};
use std::io;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

/// How long startup retries reading a configuration that is temporarily unreadable.
const CONFIGURATION_RETRY_TIMEOUT: Duration = Duration::from_secs(3);
/// How long startup waits before it reads the configuration again.
const CONFIGURATION_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the proxy until it is shut down, with the configuration that the environment names. Returns
/// the exit code of the process.
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

/// Why the program exits with a failure.
#[derive(Debug, thiserror::Error)]
enum ProgramError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("cannot start the proxy: {0}")]
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

/// Reads the configuration. Retries for up to [`CONFIGURATION_RETRY_TIMEOUT`] if the error may be
/// temporary, for example because a file is being written.
fn read_configuration() -> Result<Config, ConfigError> {
    let retry_deadline = Instant::now() + CONFIGURATION_RETRY_TIMEOUT;
    loop {
        match Config::from_env() {
            Err(error) if error.is_transient() && Instant::now() < retry_deadline => {
                log::warn!(
                    "cannot read the configuration, retrying in {} ms: {error}",
                    CONFIGURATION_RETRY_INTERVAL.as_millis()
                );
                thread::sleep(CONFIGURATION_RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}
