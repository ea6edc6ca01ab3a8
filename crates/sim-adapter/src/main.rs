//! Hosts many routing instances on the simulator's line protocol: batches of events on standard
//! input, batches of actions on standard output, one JSON object a line. All decisions are those of
//! `edge-routing`.

mod action_message;
mod error;
mod event_message;
mod host;

use error::AdapterError;
use host::Host;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("edge-sim-adapter: {error}");
            ExitCode::from(2)
        }
    }
}

/// Answers batches until the input ends. Each reply is written whole and flushed.
fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut line = String::new();
    for number in 1.. {
        line.clear();
        let length = input
            .read_line(&mut line)
            .map_err(|source| AdapterError::Input { number, source })?;
        if length == 0 {
            break;
        }
        if line.trim().is_empty() {
            continue;
        }
        let reply = host
            .handle_line(&line)
            .map_err(|source| AdapterError::Line { number, source })?;
        if let Some(reply) = reply {
            output.write_all(&reply).map_err(AdapterError::Output)?;
            output.flush().map_err(AdapterError::Output)?;
        }
    }
    Ok(())
}
