//! A non-blocking TCP socket with a buffer for each direction.

use super::poll::{Interest, Poller};
use super::ring_buffer::RingBuffer;
use crate::sys::{self, errors};
use std::io;
use std::net::{SocketAddr, TcpStream};

/// A non-blocking socket with what was received and what is still to be sent.
pub struct BufferedSocket {
    socket: TcpStream,
    /// Received and not consumed yet.
    pub input: RingBuffer,
    /// To be sent.
    pub output: RingBuffer,
    /// Bytes written to the socket so far.
    pub bytes_written: u64,
    /// False while a connection that was opened from here is still being established.
    pub connected: bool,
    /// What the poller watches it for; none: it is not registered.
    watched: Option<Interest>,
}

/// What a read or write achieved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IoProgress {
    /// Some bytes were moved.
    Advanced,
    /// Nothing can be moved for now.
    WouldBlock,
    /// The system could not move anything for now, though the socket may be ready.
    Postponed,
    /// The peer has ended its half of the connection.
    PeerClosed,
    /// The connection is broken.
    Broken,
}

/// Classifies the result of a system call; `on_zero` is what 0 bytes mean for it.
fn classify(result: io::Result<usize>, on_zero: IoProgress) -> IoProgress {
    match result {
        Ok(0) => on_zero,
        Ok(_) => IoProgress::Advanced,
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => IoProgress::WouldBlock,
        // The kernel may have no memory for the moment: the socket is sound, and reported again.
        Err(e) if errors::is_momentary_on_socket(&e) => IoProgress::Postponed,
        Err(_) => IoProgress::Broken,
    }
}

/// Opens a connection without waiting until it is established.
///
/// # Errors
///
/// Any error of the system calls; [`BufferedSocket::finish_connect`] tells how the connection came
/// out.
pub fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let socket = sys::new_tcp_socket(to)?;
    sys::connect(&socket, to)?;
    Ok(socket)
}

impl BufferedSocket {
    /// Takes over a socket. One that [`connect`] opened is not `connected` yet. `input` and
    /// `output` bound the buffers, in bytes.
    pub fn new(
        socket: TcpStream,
        connected: bool,
        input: usize,
        output: usize,
    ) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        // Small answers must not wait for the acknowledgement of earlier ones. Without this they are
        // late, not lost.
        if let Err(e) = socket.set_nodelay(true) {
            log::debug!("a connection keeps small writes back: {e}");
        }
        let (input, output) = (RingBuffer::new(input), RingBuffer::new(output));
        Ok(BufferedSocket {
            socket,
            input,
            output,
            bytes_written: 0,
            connected,
            watched: None,
        })
    }

    /// How opening a connection came out, once the socket is writable.
    pub fn finish_connect(&mut self) -> io::Result<()> {
        sys::socket_error(&self.socket)?;
        self.connected = true;
        Ok(())
    }

    /// Reads once. A full buffer reads nothing, so that the peer has to wait. `broken`: epoll has
    /// reported the connection as broken.
    pub fn read(&mut self, broken: bool) -> IoProgress {
        if self.input.free_space() == 0 {
            // epoll goes on reporting a broken connection whatever the interest: the loop would
            // spin for as long as the buffer stays full, and there is no peer left to answer.
            return if broken {
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

    /// Writes until nothing is left or the socket takes no more.
    pub fn write(&mut self) -> IoProgress {
        let mut progress = IoProgress::WouldBlock;
        while self.connected && !self.output.is_empty() {
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

    /// Closes the writing half: the peer sees the end after all that was written. Unsent bytes are
    /// dropped.
    pub fn shut_down_writes(&mut self) -> io::Result<()> {
        self.output.clear();
        sys::shut_down_writes(&self.socket)
    }

    /// Has a poller watch the socket for what the connection needs now: reading while there is room
    /// for input, writing while there is output, and until a connection that was opened from here is
    /// established.
    ///
    /// # Errors
    ///
    /// The poller could not be told. It goes on as before; the next call tries again.
    pub fn watch(&mut self, poller: &Poller, token: u64) -> io::Result<()> {
        let wanted = Interest {
            readable: self.input.free_space() > 0,
            writable: !self.connected || !self.output.is_empty(),
        };
        match self.watched {
            Some(watched) if watched == wanted => return Ok(()),
            Some(_) => poller.change(&self.socket, token, wanted)?,
            None => poller.add(&self.socket, token, wanted)?,
        }
        self.watched = Some(wanted);
        Ok(())
    }
}
