//! System calls of epoll. `intercept` returns an error if a fault plan makes the call fail.

use super::{intercept, SystemCall};
use rustix::event::{epoll, Timespec};
use rustix::fd::{AsFd, OwnedFd};
use std::io;

/// Creates an epoll instance.
pub fn epoll_create() -> io::Result<OwnedFd> {
    intercept(SystemCall::EpollCreate)?;
    Ok(epoll::create(epoll::CreateFlags::CLOEXEC)?)
}

/// Registers a socket for the events in `flags`. Reported events of the socket carry `token`.
pub fn epoll_add(
    epoll_fd: &OwnedFd,
    socket: impl AsFd,
    token: u64,
    flags: epoll::EventFlags,
) -> io::Result<()> {
    intercept(SystemCall::EpollAdd)?;
    let data = epoll::EventData::new_u64(token);
    Ok(epoll::add(epoll_fd, socket, data, flags)?)
}

/// Changes the events that are reported for a registered socket.
pub fn epoll_modify(
    epoll_fd: &OwnedFd,
    socket: impl AsFd,
    token: u64,
    flags: epoll::EventFlags,
) -> io::Result<()> {
    intercept(SystemCall::EpollModify)?;
    let data = epoll::EventData::new_u64(token);
    Ok(epoll::modify(epoll_fd, socket, data, flags)?)
}

/// Waits until an event arrives or the timeout expires, and appends the events to `events`, up to
/// its spare capacity. If a signal interrupts the wait, returns without events.
pub fn epoll_wait(
    epoll_fd: &OwnedFd,
    events: &mut Vec<epoll::Event>,
    timeout: &Timespec,
) -> io::Result<()> {
    if let Err(error) = intercept(SystemCall::EpollWait) {
        return ignore_interruption(error);
    }
    let spare = rustix::buffer::spare_capacity(events);
    match epoll::wait(epoll_fd, spare, Some(timeout)) {
        Ok(_) => Ok(()),
        Err(error) => ignore_interruption(error.into()),
    }
}

fn ignore_interruption(error: io::Error) -> io::Result<()> {
    match error.kind() {
        io::ErrorKind::Interrupted => Ok(()),
        _ => Err(error),
    }
}
