//! What an error of a system call says: which side failed, and whether it may pass.

use rustix::io::Errno;
use std::io;

/// Errors of this machine alone, that may pass: no descriptor, memory, port or route is left.
const LOCAL_AND_TRANSIENT: [Errno; 9] = [
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

/// Errors by which a socket that is sound says that the kernel has no memory for the moment.
const NO_MEMORY: [Errno; 2] = [Errno::NOBUFS, Errno::NOMEM];

fn is_one_of(error: &io::Error, errnos: &[Errno]) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw_os_error);
    errno.is_some_and(|errno| errnos.contains(&errno))
}

/// Whether an error of opening a connection tells of this machine, not of the peer: the peer was
/// not reached, and may be well.
pub fn is_local(error: &io::Error) -> bool {
    is_one_of(error, &LOCAL_AND_TRANSIENT)
}

/// Whether a read or a write can be tried again on the same socket.
pub fn is_momentary_on_socket(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
    ) || is_one_of(error, &NO_MEMORY)
}

/// Whether what failed at the start of the process may succeed a moment later. An address in use
/// is one of these: the process that this one replaces may be about to end.
pub fn may_pass_at_start(error: &io::Error) -> bool {
    is_one_of(error, &[Errno::ADDRINUSE, Errno::IO, Errno::NOSPC])
        || is_local(error) && !is_one_of(error, &[Errno::ADDRNOTAVAIL])
}
