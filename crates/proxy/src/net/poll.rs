//! Readiness of sockets, reported by epoll.

use crate::sys;
use rustix::event::{epoll, Timespec};
use rustix::fd::{AsFd, OwnedFd};
use std::io;

/// The kinds of readiness that epoll reports for a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// Report when the socket is readable.
    pub readable: bool,
    /// Report when the socket is writable.
    pub writable: bool,
    /// Report that the peer has closed its half, even while the socket is not read.
    pub peer_closed: bool,
}

impl Interest {
    /// Reports only a broken connection and that the peer has closed its half.
    pub const NONE: Interest = Interest {
        readable: false,
        writable: false,
        peer_closed: true,
    };
    /// Reports readability, besides what [`NONE`](Self::NONE) reports.
    pub const READ: Interest = Interest {
        readable: true,
        writable: false,
        peer_closed: true,
    };

    fn event_flags(self) -> epoll::EventFlags {
        let mut flags = epoll::EventFlags::empty();
        flags.set(epoll::EventFlags::RDHUP, self.peer_closed);
        flags.set(epoll::EventFlags::IN, self.readable);
        flags.set(epoll::EventFlags::OUT, self.writable);
        flags
    }
}

/// The readiness of one socket, as reported by epoll.
#[derive(Clone, Copy, Debug)]
pub struct Readiness {
    /// The token with which the socket was registered.
    pub token: u64,
    /// Whether the socket is readable, its peer has closed its half, or the connection is broken.
    pub is_readable: bool,
    /// Whether the socket is writable, its connection attempt has ended, or the connection is
    /// broken.
    pub is_writable: bool,
    /// Whether the connection is broken or closed by both sides.
    pub is_broken: bool,
    /// Whether the peer has closed the connection or its half of it. Earlier input may still be
    /// unread.
    pub peer_closed: bool,
}

impl Readiness {
    /// Returns the readiness of a socket that is read before epoll has reported on it.
    pub fn readable(token: u64) -> Self {
        Readiness {
            token,
            is_readable: true,
            is_writable: false,
            is_broken: false,
            peer_closed: false,
        }
    }
}

/// A level-triggered epoll instance.
pub struct Poller {
    fd: OwnedFd,
    events: Vec<epoll::Event>,
}

impl Poller {
    /// Creates an instance that reports at most `max_events` events per wait.
    pub fn new(max_events: usize) -> io::Result<Self> {
        Ok(Poller {
            fd: sys::epoll_create()?,
            events: Vec::with_capacity(max_events),
        })
    }

    /// Registers a socket. The socket stays registered until it is closed.
    pub fn add(&self, socket: impl AsFd, token: u64, interest: Interest) -> io::Result<()> {
        sys::epoll_add(&self.fd, socket, token, interest.event_flags())
    }

    /// Changes the kinds of readiness that are reported for a registered socket.
    pub fn change(&self, socket: impl AsFd, token: u64, interest: Interest) -> io::Result<()> {
        sys::epoll_modify(&self.fd, socket, token, interest.event_flags())
    }

    /// Waits for events, for at most `timeout_us` microseconds, and appends them to `ready`.
    pub fn wait(&mut self, timeout_us: u64, ready: &mut Vec<Readiness>) -> io::Result<()> {
        self.events.clear();
        let timeout = Timespec {
            tv_sec: (timeout_us / 1_000_000) as i64,
            tv_nsec: (timeout_us % 1_000_000 * 1_000) as i64,
        };
        sys::epoll_wait(&self.fd, &mut self.events, &timeout)?;
        let broken = epoll::EventFlags::ERR | epoll::EventFlags::HUP;
        ready.extend(self.events.iter().map(|event| {
            let flags = event.flags;
            let has = |bits| flags.intersects(bits);
            Readiness {
                token: event.data.u64(),
                is_readable: has(epoll::EventFlags::IN | epoll::EventFlags::RDHUP | broken),
                is_writable: has(epoll::EventFlags::OUT | broken),
                is_broken: has(broken),
                peer_closed: has(epoll::EventFlags::RDHUP | broken),
            }
        }));
        Ok(())
    }
}
