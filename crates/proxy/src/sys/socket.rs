//! System calls on sockets.

use super::{intercept, retry_interrupted, SystemCall};
use rustix::io::Errno;
use rustix::net::{self, sockopt, AddressFamily, SocketFlags, SocketType};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::net::UnixStream;

/// Creates a non-blocking TCP socket of the address family of `address`, for [`connect`].
pub fn new_tcp_socket(address: SocketAddr) -> io::Result<TcpStream> {
    intercept(SystemCall::Socket)?;
    let family = if address.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = net::socket_with(family, SocketType::STREAM, flags, None)?;
    Ok(TcpStream::from(socket))
}

/// Starts to connect a socket and does not wait for the outcome. If a signal interrupts the call,
/// the kernel continues the connection attempt, see connect(2), and a second call would fail.
pub fn connect(socket: &TcpStream, address: SocketAddr) -> io::Result<()> {
    let result = intercept(SystemCall::Connect).and_then(|_| start_connect(socket, address));
    match result {
        Err(error) if error.kind() == io::ErrorKind::Interrupted => {
            handle_interrupted_connect(socket, address)
        }
        result => result,
    }
}

fn start_connect(socket: &TcpStream, address: SocketAddr) -> io::Result<()> {
    match net::connect(socket, &address) {
        Ok(()) | Err(Errno::INPROGRESS) => Ok(()),
        Err(error) => Err(error.into()),
    }
}

#[cfg(not(feature = "fault-injection"))]
fn handle_interrupted_connect(_socket: &TcpStream, _address: SocketAddr) -> io::Result<()> {
    Ok(())
}

/// Starts the connection attempt, which an injected interruption has prevented.
#[cfg(feature = "fault-injection")]
fn handle_interrupted_connect(socket: &TcpStream, address: SocketAddr) -> io::Result<()> {
    start_connect(socket, address)
}

/// Returns the outcome of an attempt to connect a socket. Called once the socket is writable.
pub fn socket_error(socket: &TcpStream) -> io::Result<()> {
    intercept(SystemCall::ConnectResult)?;
    Ok(sockopt::socket_error(socket)??)
}

/// Creates a non-blocking TCP listener.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    intercept(SystemCall::ListenerSocket)?;
    intercept(SystemCall::Bind)?;
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Creates a non-blocking UDP socket.
pub fn bind_udp(address: SocketAddr) -> io::Result<UdpSocket> {
    intercept(SystemCall::ListenerSocket)?;
    intercept(SystemCall::Bind)?;
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Accepts the next pending connection of a listener.
pub fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
    intercept(SystemCall::Accept)?;
    let (socket, _) = listener.accept()?;
    Ok(socket)
}

/// Creates a pair of connected Unix sockets.
pub fn socket_pair() -> io::Result<(UnixStream, UnixStream)> {
    intercept(SystemCall::SocketPair)?;
    UnixStream::pair()
}

/// Closes the writing half of a connection.
pub fn shut_down_writes(socket: &TcpStream) -> io::Result<()> {
    socket.shutdown(Shutdown::Write)
}

/// Reads from and writes to a TCP connection. A call that a signal interrupts is repeated.
pub struct Stream<'a>(pub &'a TcpStream);

impl Read for Stream<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        retry_interrupted(|| {
            let max_bytes = intercept(SystemCall::Read)?.unwrap_or(buffer.len());
            let length = buffer.len().min(max_bytes);
            let mut socket = self.0;
            socket.read(&mut buffer[..length])
        })
    }
}

impl Write for Stream<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        retry_interrupted(|| {
            let max_bytes = intercept(SystemCall::Write)?.unwrap_or(bytes.len());
            let length = bytes.len().min(max_bytes);
            let mut socket = self.0;
            socket.write(&bytes[..length])
        })
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
