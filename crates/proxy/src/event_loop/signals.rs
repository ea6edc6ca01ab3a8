//! SIGTERM and SIGHUP as readable sockets, and the handle that raises them from another thread.

use super::startup::retry_at_start;
use super::tokens;
use crate::net::{Interest, Poller};
use crate::sys;
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;

/// What the handle writes; only the arrival of a byte counts, not its value.
const WAKE_BYTE: &[u8] = b"s";
/// Signals taken in by one read.
const DRAIN_BUFFER_BYTES: usize = 16;

/// Raises in an event loop what the signals raise, from another thread.
pub struct ControlHandle {
    terminate: UnixStream,
    hangup: UnixStream,
}

impl ControlHandle {
    /// Shuts the event loop down as SIGTERM does: once everything it has admitted is answered.
    pub fn stop(&mut self) -> io::Result<()> {
        self.terminate.write_all(WAKE_BYTE)
    }

    /// Has the configuration read again, as SIGHUP does.
    pub fn reload(&mut self) -> io::Result<()> {
        self.hangup.write_all(WAKE_BYTE)
    }
}

/// A signal turned into a readable socket (the self-pipe technique): the signal handler writes to
/// one end, and the poller watches the other, so a signal is handled between two events like any
/// other input.
pub(super) struct SignalPipe {
    receiver: UnixStream,
    sender: UnixStream,
}

impl SignalPipe {
    fn register(signal: i32) -> io::Result<Self> {
        let (receiver, sender) = retry_at_start(sys::pair)?;
        receiver.set_nonblocking(true)?;
        signal_hook::low_level::pipe::register(signal, sender.try_clone()?)?;
        Ok(SignalPipe { receiver, sender })
    }

    /// Takes in what was raised. Signals that arrive close together count as one.
    pub(super) fn drain(&mut self) {
        let mut bytes = [0; DRAIN_BUFFER_BYTES];
        while self.receiver.read(&mut bytes).is_ok_and(|n| n > 0) {}
    }
}

/// The signals that the event loop obeys.
pub struct Signals {
    /// SIGTERM: shut down.
    pub(super) terminate: SignalPipe,
    /// SIGHUP: read the configuration again.
    pub(super) hangup: SignalPipe,
}

impl Signals {
    /// Installs the signal handlers. From here on a signal waits for the event loop: before, it would
    /// end the process.
    pub fn register() -> io::Result<Self> {
        Ok(Signals {
            terminate: SignalPipe::register(signal_hook::consts::SIGTERM)?,
            hangup: SignalPipe::register(signal_hook::consts::SIGHUP)?,
        })
    }

    /// Has the poller report signals under their tokens.
    pub(super) fn watch(&self, poller: &Poller) -> io::Result<()> {
        for (pipe, token) in [
            (&self.terminate, tokens::SIGTERM),
            (&self.hangup, tokens::SIGHUP),
        ] {
            retry_at_start(|| poller.add(&pipe.receiver, token, Interest::READ))?;
        }
        Ok(())
    }

    pub(super) fn control_handle(&self) -> io::Result<ControlHandle> {
        Ok(ControlHandle {
            terminate: self.terminate.sender.try_clone()?,
            hangup: self.hangup.sender.try_clone()?,
        })
    }
}
