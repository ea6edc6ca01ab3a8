//! Wrappers of the system calls that can fail temporarily, one function for each call.
//!
//! The proxy uses every socket, file and clock through this module. It is the one place where calls
//! that a signal interrupted are repeated, where errors are classified ([`errors`]), and where
//! tests can make calls fail. With the feature `fault-injection`, each function first consults a
//! seeded fault plan (`fault`). Without the feature, as in a deployment, this costs nothing.

pub mod errors;
#[cfg(feature = "fault-injection")]
pub mod fault;
mod file;
mod poll;
mod socket;
mod wall_clock;

pub use file::{create_file, read_file, rename, sync_directory, sync_file, write_file};
pub use poll::{epoll_add, epoll_create, epoll_modify, epoll_wait};
pub use socket::{
    accept, bind_udp, connect, listen, new_tcp_socket, shut_down_writes, socket_error, socket_pair,
    Stream,
};
pub use wall_clock::unix_time_us;

use std::io;

/// A system call, or a group of system calls that fail in the same way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[cfg_attr(
    feature = "fault-injection",
    derive(serde::Serialize, serde::Deserialize),
    serde(rename_all = "kebab-case")
)]
pub enum SystemCall {
    /// `epoll_create`.
    EpollCreate,
    /// `epoll_ctl` that adds a socket.
    EpollAdd,
    /// `epoll_ctl` that changes the events reported for a socket.
    EpollModify,
    /// `epoll_wait`.
    EpollWait,
    /// `socketpair`.
    SocketPair,
    /// `socket` for a listener or a UDP socket.
    ListenerSocket,
    /// `bind` and `listen`.
    Bind,
    /// `accept`.
    Accept,
    /// `socket` for an outgoing connection.
    Socket,
    /// `connect`.
    Connect,
    /// `getsockopt` of `SO_ERROR`, which returns the outcome of a connection attempt.
    ConnectResult,
    /// `read` and `recv` of a socket.
    Read,
    /// `write` and `send` to a socket.
    Write,
    /// `open` and `read` of a file.
    FileRead,
    /// `open` of a file for writing.
    FileCreate,
    /// `write` to a file.
    FileWrite,
    /// `fsync` of a file or a directory.
    FileSync,
    /// `rename`.
    FileRename,
}

/// The maximum number of times that a system call is made if signals keep interrupting it. After
/// that, the interruption is returned as an error.
const MAX_INTERRUPTED_CALLS: u32 = 100;

/// Makes a system call and repeats it if a signal interrupted it.
fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..MAX_INTERRUPTED_CALLS {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
    Err(io::ErrorKind::Interrupted.into())
}

/// Applies the fault plan to a call. Returns the injected error, or the maximum number of bytes
/// that the call may transfer, or None if the plan does not affect the call.
#[cfg(feature = "fault-injection")]
fn intercept(call: SystemCall) -> io::Result<Option<usize>> {
    fault::intercept(call)
}

/// Returns None, because no call is affected without fault injection.
#[cfg(not(feature = "fault-injection"))]
#[inline(always)]
fn intercept(_call: SystemCall) -> io::Result<Option<usize>> {
    Ok(None)
}
