//! A non-blocking TCP socket with a buffer for each direction of the connection.

use super::poll::{Interest, Poller};
use super::socket_buffer::SocketBuffer;
use crate::sys::{self, errors};
use std::io;
use std::net::{SocketAddr, TcpStream};

/// A non-blocking socket with the received bytes that are not consumed and the bytes to be sent.
pub struct BufferedSocket {
    socket: TcpStream,
    /// Bytes that are received and not consumed yet.
    pub input: SocketBuffer,
    /// Bytes to be sent.
    pub output: SocketBuffer,
    /// Number of bytes written to the socket so far.
    pub bytes_written: u64,
    /// Whether the connection was accepted, and not opened by this proxy.
    is_incoming: bool,
    /// Whether the connection is established. False while an outgoing connection is being opened.
    pub is_connected: bool,
    /// The readiness that the poller reports. None if the socket is not registered.
    watched_interest: Option<Interest>,
}

/// The outcome of a read or a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IoProgress {
    /// Some bytes were transferred.
    Advanced,
    /// No bytes were transferred. For a read, no data has arrived or the input buffer is full. For
    /// a write, the socket accepts no bytes, there is no output, the connection is still being
    /// opened, or the call failed temporarily.
    WouldBlock,
    /// A read failed temporarily, for example for lack of kernel memory. The socket is sound and
    /// data may be waiting.
    Postponed,
    /// The peer has closed its half of the connection.
    PeerClosed,
    /// The connection is broken.
    Broken,
}

/// Classifies the result of a system call. `on_zero` is the outcome if it transferred 0 bytes.
fn classify(result: io::Result<usize>, on_zero: IoProgress) -> IoProgress {
    match result {
        Ok(0) => on_zero,
        Ok(_) => IoProgress::Advanced,
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => IoProgress::WouldBlock,
        // The kernel may temporarily have no memory. The socket is sound, and epoll reports it
        // again.
        Err(e) if errors::is_transient_on_socket(&e) => IoProgress::Postponed,
        Err(_) => IoProgress::Broken,
    }
}

/// Starts to open a connection, without waiting until it is established.
/// [`BufferedSocket::finish_connect`] returns the outcome.
///
/// # Errors
///
/// Returns an error if a system call fails.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = sys::new_tcp_socket(address)?;
    sys::connect(&socket, address)?;
    Ok(socket)
}

impl BufferedSocket {
    /// Takes over a socket and makes it non-blocking. `is_connected` must be false for a socket
    /// from [`connect`]. `input_bytes` and `output_bytes` are the capacities of the buffers.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket can't be made non-blocking.
    pub fn new(
        socket: TcpStream,
        is_connected: bool,
        input_bytes: usize,
        output_bytes: usize,
    ) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        // Without TCP_NODELAY, a small answer waits until the peer acknowledges earlier ones. This
        // delays answers but loses none, so the connection is usable if the option can't be set.
        if let Err(e) = socket.set_nodelay(true) {
            log::debug!(
                "cannot set TCP_NODELAY, small writes on the connection may be delayed: {e}"
            );
        }
        let (input, output) = (
            SocketBuffer::new(input_bytes),
            SocketBuffer::new(output_bytes),
        );
        Ok(BufferedSocket {
            socket,
            input,
            output,
            bytes_written: 0,
            is_incoming: is_connected,
            is_connected,
            watched_interest: None,
        })
    }

    /// Finishes opening a connection. Called once the socket is writable.
    ///
    /// # Errors
    ///
    /// Returns the error with which the connection attempt failed.
    pub fn finish_connect(&mut self) -> io::Result<()> {
        sys::socket_error(&self.socket)?;
        self.is_connected = true;
        Ok(())
    }

    /// Reads once. If the input buffer is full, reads nothing, so that the peer has to wait.
    /// `is_broken` says whether epoll has reported the connection as broken.
    pub fn read(&mut self, is_broken: bool) -> IoProgress {
        if self.input.free_space() == 0 {
            // epoll keeps reporting a broken connection, whatever the interest. The event loop
            // would spin for as long as the buffer stays full, and no peer is left to answer.
            return if is_broken {
                IoProgress::Broken
            } else {
                IoProgress::WouldBlock
            };
        }
        classify(
            self.input.read_from(&mut sys::Stream(&self.socket)),
            IoProgress::PeerClosed,
        )
    }

    /// Writes until the output buffer is empty or the socket accepts no more bytes.
    pub fn write(&mut self) -> IoProgress {
        let mut progress = IoProgress::WouldBlock;
        while self.is_connected && !self.output.is_empty() {
            let result = self.output.write_to(&mut sys::Stream(&self.socket));
            self.bytes_written += *result.as_ref().unwrap_or(&0) as u64;
            match classify(result, IoProgress::WouldBlock) {
                IoProgress::Advanced => progress = IoProgress::Advanced,
                IoProgress::Broken => return IoProgress::Broken,
                _ => break,
            }
        }
        progress
    }

    /// Closes the writing half of the connection and drops the output buffer. The peer sees the end
    /// of the stream after the bytes that were already written to the socket.
    pub fn shut_down_writes(&mut self) -> io::Result<()> {
        self.output.clear();
        sys::shut_down_writes(&self.socket)
    }

    /// Registers the socket with a poller, or updates its registration, for the readiness that the
    /// connection needs now. It needs readability while the input buffer has free space, and
    /// writability while there is output or an outgoing connection is being opened.
    ///
    /// While the input buffer is full, only a client's half-close is reported: the client no longer
    /// waits. What a server has sent before its half-close is still to be read, and until then the
    /// poller would report the half-close again and again.
    ///
    /// # Errors
    ///
    /// Returns an error if the registration can't be changed. The earlier registration stays in
    /// force, and the next call tries again.
    pub fn watch(&mut self, poller: &Poller, token: u64) -> io::Result<()> {
        let interest = Interest {
            readable: self.input.free_space() > 0,
            writable: !self.is_connected || !self.output.is_empty(),
            peer_closed: self.is_incoming || self.input.free_space() > 0,
        };
        match self.watched_interest {
            Some(watched) if watched == interest => return Ok(()),
            Some(_) => poller.change(&self.socket, token, interest)?,
            None => poller.add(&self.socket, token, interest)?,
        }
        self.watched_interest = Some(interest);
        Ok(())
    }
}
