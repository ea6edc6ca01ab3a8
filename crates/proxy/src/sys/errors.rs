//! Classification of system call errors: whether this machine or the peer failed, and whether the
//! error is temporary.

use rustix::io::Errno;
use std::io;

/// Temporary errors that concern only this machine: it has no free file descriptor, memory, port or
/// route.
const LOCAL_RESOURCE_ERRNOS: [Errno; 9] = [
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::ADDRNOTAVAIL,
    Errno::AGAIN,
    Errno::NETUNREACH,
    Errno::NETDOWN,
    Errno::INTR,
];

/// Errors that a sound socket returns while the kernel has no memory.
const OUT_OF_MEMORY_ERRNOS: [Errno; 2] = [Errno::NOBUFS, Errno::NOMEM];

fn is_one_of(error: &io::Error, errnos: &[Errno]) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw_os_error);
    errno.is_some_and(|errno| errnos.contains(&errno))
}

/// Returns whether opening a connection failed because of this machine. The peer was not reached
/// and may be healthy.
pub fn is_local_resource_error(error: &io::Error) -> bool {
    is_one_of(error, &LOCAL_RESOURCE_ERRNOS)
}

/// Returns whether a read or a write that failed can be retried on the same socket.
pub fn is_transient_on_socket(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
    ) || is_one_of(error, &OUT_OF_MEMORY_ERRNOS)
}

/// Returns whether a startup step that failed with this error may succeed shortly after. An address
/// in use is such an error, because the process that this one replaces may be about to exit.
pub fn is_transient_at_startup(error: &io::Error) -> bool {
    is_one_of(error, &[Errno::ADDRINUSE, Errno::IO, Errno::NOSPC])
        || is_local_resource_error(error) && !is_one_of(error, &[Errno::ADDRNOTAVAIL])
}
