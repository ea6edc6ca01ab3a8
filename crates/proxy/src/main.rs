//! Starts the daemon: reads the configuration, runs the loop, turns errors into an exit code.

use edge_proxy::{config::Config, event_loop::EventLoop};
use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let started = Config::from_env()
        .map_err(|e| e.to_string())
        .and_then(|config| {
            EventLoop::start(config, Box::new(Config::from_env))
                .map_err(|e| format!("could not start: {e}"))
        });
    match started.and_then(|mut daemon| {
        daemon
            .run()
            .map_err(|e| format!("the event loop failed: {e}"))
    }) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            log::error!("{message}");
            ExitCode::FAILURE
        }
    }
}
