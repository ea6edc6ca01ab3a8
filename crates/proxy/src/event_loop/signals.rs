//! Delivers SIGTERM and SIGHUP to the event loop through sockets. A control handle triggers the
//! same actions from another thread.

use super::startup::retry_startup_step;
use super::tokens;
use crate::net::{Interest, Poller};
use crate::sys;
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;

/// Byte that the control handle writes. The event loop ignores its value.
const WAKE_BYTE: &[u8] = b"s";
/// Maximum number of bytes that one read takes from a signal pipe. Each signal is one byte.
const DRAIN_BUFFER_BYTES: usize = 16;

/// Triggers from another thread what SIGTERM and SIGHUP trigger in an event loop.
pub struct ControlHandle {
    terminate: UnixStream,
    hangup: UnixStream,
}

impl ControlHandle {
    /// Begins a graceful shutdown, as SIGTERM does. The event loop ends once all admitted requests
    /// are answered and all client connections are closed. Requests that are pending at the
    /// shutdown deadline are answered as failed.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket to the event loop cannot be written.
    pub fn stop(&mut self) -> io::Result<()> {
        self.terminate.write_all(WAKE_BYTE)
    }

    /// Makes the event loop read the configuration again, as SIGHUP does.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket to the event loop cannot be written.
    pub fn reload(&mut self) -> io::Result<()> {
        self.hangup.write_all(WAKE_BYTE)
    }
}

/// A socket pair that makes a signal readable (the self-pipe technique). The signal handler writes
/// to one end and the poller watches the other end. The event loop therefore handles a signal in
/// the same way as input of any other socket.
pub(super) struct SignalPipe {
    receiver: UnixStream,
    /// Cloned for the signal handler and for each control handle.
    sender: UnixStream,
}

impl SignalPipe {
    fn register(signal: i32) -> io::Result<Self> {
        let (receiver, sender) = retry_startup_step(sys::socket_pair)?;
        receiver.set_nonblocking(true)?;
        signal_hook::low_level::pipe::register(signal, sender.try_clone()?)?;
        Ok(SignalPipe { receiver, sender })
    }

    /// Discards all received bytes. Signals that arrive close together count as one.
    pub(super) fn drain(&mut self) {
        let mut bytes = [0; DRAIN_BUFFER_BYTES];
        while self.receiver.read(&mut bytes).is_ok_and(|n| n > 0) {}
    }
}

/// The signals that the event loop handles.
pub struct Signals {
    /// SIGTERM, which begins a graceful shutdown.
    pub(super) terminate: SignalPipe,
    /// SIGHUP, which makes the event loop read the configuration again.
    pub(super) hangup: SignalPipe,
}

impl Signals {
    /// Installs the signal handlers. A signal that arrives afterwards stays in its socket until the
    /// event loop handles it. A signal that arrives before would end the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the sockets or the signal handlers cannot be set up.
    pub fn register() -> io::Result<Self> {
        Ok(Signals {
            terminate: SignalPipe::register(signal_hook::consts::SIGTERM)?,
            hangup: SignalPipe::register(signal_hook::consts::SIGHUP)?,
        })
    }

    /// Registers the signal pipes with the poller under their tokens.
    pub(super) fn watch(&self, poller: &Poller) -> io::Result<()> {
        for (pipe, token) in [
            (&self.terminate, tokens::SIGTERM),
            (&self.hangup, tokens::SIGHUP),
        ] {
            retry_startup_step(|| poller.add(&pipe.receiver, token, Interest::READ))?;
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
