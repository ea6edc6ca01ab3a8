//! Readiness of sockets, by epoll.

use crate::sys;
use rustix::event::{epoll, Timespec};
use rustix::fd::{AsFd, OwnedFd};
use std::io;

/// What a socket is watched for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// Report when it is readable.
    pub readable: bool,
    /// Report when it is writable.
    pub writable: bool,
}

impl Interest {
    /// Nothing is reported but a broken connection, and the end of the peer's half.
    pub const NONE: Interest = Interest {
        readable: false,
        writable: false,
    };
    /// Readability alone.
    pub const READ: Interest = Interest {
        readable: true,
        writable: false,
    };

    fn event_flags(self) -> epoll::EventFlags {
        // The end of the peer's half is reported in any case: behind a full buffer it would not be
        // read for as long as that stays full.
        let mut flags = epoll::EventFlags::RDHUP;
        flags.set(epoll::EventFlags::IN, self.readable);
        flags.set(epoll::EventFlags::OUT, self.writable);
        flags
    }
}

/// What epoll reports about one socket.
#[derive(Clone, Copy, Debug)]
pub struct Readiness {
    /// The token it was registered with.
    pub token: u64,
    /// It is readable, its peer has closed, or it is broken.
    pub read: bool,
    /// It is writable, a connection attempt has ended, or it is broken.
    pub write: bool,
    /// It is broken, or both sides have closed it.
    pub broken: bool,
    /// Its peer has closed it, or at least its half of it. There may be input before that.
    pub peer_closed: bool,
}

impl Readiness {
    /// A read that is attempted before epoll has reported anything.
    pub fn readable(token: u64) -> Self {
        Readiness {
            token,
            read: true,
            write: false,
            broken: false,
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
    /// An instance that reports at most `events` events per wait.
    pub fn new(events: usize) -> io::Result<Self> {
        Ok(Poller {
            fd: sys::epoll_create()?,
            events: Vec::with_capacity(events),
        })
    }

    /// Registers a socket. It stays registered until it is closed.
    pub fn add(&self, socket: impl AsFd, token: u64, interest: Interest) -> io::Result<()> {
        sys::epoll_add(&self.fd, socket, token, interest.event_flags())
    }

    /// Changes the interest in a registered socket.
    pub fn change(&self, socket: impl AsFd, token: u64, interest: Interest) -> io::Result<()> {
        sys::epoll_modify(&self.fd, socket, token, interest.event_flags())
    }

    /// Waits for events, at most `timeout_us` microseconds, and appends them to `ready`.
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
                read: has(epoll::EventFlags::IN | epoll::EventFlags::RDHUP | broken),
                write: has(epoll::EventFlags::OUT | broken),
                broken: has(broken),
                peer_closed: has(epoll::EventFlags::RDHUP | broken),
            }
        }));
        Ok(())
    }
}
