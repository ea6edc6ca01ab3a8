//! The system calls that may fail for a moment, each behind one function.
//!
//! Every socket, file and clock of the proxy is used through this module, so that there is one place
//! where a call that was interrupted by a signal is made again, one where errors are classified
//! ([`errors`]), and one where a test can have calls fail: built with the feature
//! `fault-injection`, each function first asks a seeded plan (`fault`). Without it, as in a
//! deployment, that question costs nothing.

pub mod errors;
#[cfg(feature = "fault-injection")]
pub mod fault;
mod file;
mod poll;
mod socket;
mod wall_clock;

pub use file::{create_file, read_file, rename, sync_file, sync_folder, write_file};
pub use poll::{epoll_add, epoll_create, epoll_modify, epoll_wait};
pub use socket::{
    accept, bind_udp, connect, listen, new_tcp_socket, pair, shut_down_writes, socket_error, Stream,
};
pub use wall_clock::unix_time_us;

use std::io;

/// A system call, or a group of them that fails alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[cfg_attr(
    feature = "fault-injection",
    derive(serde::Serialize, serde::Deserialize),
    serde(rename_all = "kebab-case")
)]
pub enum SystemCall {
    /// `epoll_create`.
    EpollCreate,
    /// `epoll_ctl`, to add a socket.
    EpollAdd,
    /// `epoll_ctl`, to change what a socket is watched for.
    EpollModify,
    /// `epoll_wait`.
    EpollWait,
    /// `socketpair`.
    SocketPair,
    /// `socket`, of a listener or a UDP socket.
    ListenerSocket,
    /// `bind` and `listen`.
    Bind,
    /// `accept`.
    Accept,
    /// `socket`, of an outgoing connection.
    Socket,
    /// `connect`.
    Connect,
    /// How a connection attempt came out: the socket option `SO_ERROR`.
    ConnectResult,
    /// `read` and `recv` of a socket.
    Read,
    /// `write` and `send` to a socket.
    Write,
    /// `open` and `read` of a file.
    FileRead,
    /// `open` of a file that is to be written.
    FileCreate,
    /// `write` to a file.
    FileWrite,
    /// `fsync` of a file or a folder.
    FileSync,
    /// `rename`.
    FileRename,
}

/// How often a call that a signal interrupts is made again before that counts as its result.
const MAX_INTERRUPTIONS: u32 = 100;

/// Makes a call, and again where a signal interrupted it.
fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..MAX_INTERRUPTIONS {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
    Err(io::ErrorKind::Interrupted.into())
}

/// What the plan of faults has for a call: an error, or the most bytes that it may move.
#[cfg(feature = "fault-injection")]
fn intercept(call: SystemCall) -> io::Result<Option<usize>> {
    fault::intercept(call)
}

/// Without fault injection, every call is made as it is.
#[cfg(not(feature = "fault-injection"))]
#[inline(always)]
fn intercept(_call: SystemCall) -> io::Result<Option<usize>> {
    Ok(None)
}
