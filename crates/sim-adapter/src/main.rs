//! Hosts many router instances and connects them to the simulator by its line protocol. The program
//! reads batches of events from standard input and writes batches of actions to standard output.
//! Each line is a JSON object. All decisions are made by `edge-routing`.

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

/// Answers batches until the end of the input. Writes and flushes the reply to each batch in full.
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
