//! Sockets.

use super::{intercept, retry_interrupted, SystemCall};
use rustix::io::Errno;
use rustix::net::{self, sockopt, AddressFamily, SocketFlags, SocketType};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::net::UnixStream;

/// A socket that is not connected yet, for [`connect`]. It does not block.
pub fn new_tcp_socket(for_address: SocketAddr) -> io::Result<TcpStream> {
    intercept(SystemCall::Socket)?;
    let family = if for_address.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = net::socket_with(family, SocketType::STREAM, flags, None)?;
    Ok(TcpStream::from(socket))
}

/// Begins to connect a socket, and does not wait for the outcome. A signal that interrupts the call
/// does not interrupt the connection attempt: connect(2) goes on by itself, and making the call
/// again would fail.
pub fn connect(socket: &TcpStream, to: SocketAddr) -> io::Result<()> {
    let begun = intercept(SystemCall::Connect).and_then(|_| begin_to_connect(socket, to));
    match begun {
        Err(error) if error.kind() == io::ErrorKind::Interrupted => {
            after_interrupted_connect(socket, to)
        }
        begun => begun,
    }
}

fn begin_to_connect(socket: &TcpStream, to: SocketAddr) -> io::Result<()> {
    match net::connect(socket, &to) {
        Ok(()) | Err(Errno::INPROGRESS) => Ok(()),
        Err(error) => Err(error.into()),
    }
}

#[cfg(not(feature = "fault-injection"))]
fn after_interrupted_connect(_socket: &TcpStream, _to: SocketAddr) -> io::Result<()> {
    Ok(())
}

/// An interruption that was injected has kept the connection attempt from beginning.
#[cfg(feature = "fault-injection")]
fn after_interrupted_connect(socket: &TcpStream, to: SocketAddr) -> io::Result<()> {
    begin_to_connect(socket, to)
}

/// How the attempt to connect a socket came out, once the socket is writable.
pub fn socket_error(socket: &TcpStream) -> io::Result<()> {
    intercept(SystemCall::ConnectResult)?;
    Ok(sockopt::socket_error(socket)??)
}

/// A listener that does not block.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    intercept(SystemCall::ListenerSocket)?;
    intercept(SystemCall::Bind)?;
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// A UDP socket that does not block.
pub fn bind_udp(address: SocketAddr) -> io::Result<UdpSocket> {
    intercept(SystemCall::ListenerSocket)?;
    intercept(SystemCall::Bind)?;
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// The next connection that waits at a listener.
pub fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
    intercept(SystemCall::Accept)?;
    let (socket, _) = listener.accept()?;
    Ok(socket)
}

/// Two connected sockets.
pub fn pair() -> io::Result<(UnixStream, UnixStream)> {
    intercept(SystemCall::SocketPair)?;
    UnixStream::pair()
}

/// Ends the writing half of a connection.
pub fn shut_down_writes(socket: &TcpStream) -> io::Result<()> {
    socket.shutdown(Shutdown::Write)
}

/// Reads and writes a connection.
pub struct Stream<'a>(pub &'a TcpStream);

impl Read for Stream<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        retry_interrupted(|| {
            let most = intercept(SystemCall::Read)?.unwrap_or(buffer.len());
            let length = buffer.len().min(most);
            let mut socket = self.0;
            socket.read(&mut buffer[..length])
        })
    }
}

impl Write for Stream<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        retry_interrupted(|| {
            let most = intercept(SystemCall::Write)?.unwrap_or(bytes.len());
            let length = bytes.len().min(most);
            let mut socket = self.0;
            socket.write(&bytes[..length])
        })
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
