//! A server that a test controls step by step. It reads, answers and closes only when the test
//! calls the corresponding method. It serves as a cache server or, with raw bytes, as an event bus.

use crate::http_client::read_head;
use crate::received_command::{ReceivedCommand, COMMAND_STRINGS};
use crate::{listen, ANY_LOOPBACK_PORT, MAX_MESSAGE_BYTES, READ_CHUNK_BYTES, TEST_TIMEOUT};
use edge_proxy::protocol::{resp, Parser};
use rustix::net::sockopt;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{mpsc, Mutex};
use std::time::Duration;

/// A server that passes each of its connections to the test.
pub struct ScriptedServer {
    /// Address on which the server listens.
    pub address: SocketAddr,
    connections: Mutex<mpsc::Receiver<TcpStream>>,
}

/// A connection from the proxy to a [`ScriptedServer`].
pub struct ScriptedConnection {
    socket: TcpStream,
    array_parser: resp::ArrayParser,
    input: Vec<u8>,
}

/// Replaces any error by [`io::ErrorKind::TimedOut`].
fn timed_out<T>(_: T) -> io::Error {
    io::ErrorKind::TimedOut.into()
}

impl ScriptedServer {
    /// Starts a server on a free port.
    pub fn start() -> io::Result<Self> {
        let (sender, connections) = mpsc::channel();
        let address = listen(ANY_LOOPBACK_PORT, move |socket| sender.send(socket))?;
        Ok(ScriptedServer {
            address,
            connections: Mutex::new(connections),
        })
    }

    /// Waits for the next connection from the proxy. Returns an error if none arrives within
    /// [`TEST_TIMEOUT`].
    pub fn accept(&self) -> io::Result<ScriptedConnection> {
        let connections = self.connections.lock().map_err(timed_out)?;
        let socket = connections.recv_timeout(TEST_TIMEOUT).map_err(timed_out)?;
        socket.set_read_timeout(Some(TEST_TIMEOUT))?;
        Ok(ScriptedConnection {
            socket,
            array_parser: resp::ArrayParser::new(COMMAND_STRINGS, MAX_MESSAGE_BYTES),
            input: Vec::new(),
        })
    }
}

impl ScriptedConnection {
    /// Reads the next command.
    pub fn next_command(&mut self) -> io::Result<ReceivedCommand> {
        loop {
            let (consumed, array) = self
                .array_parser
                .parse(&self.input)
                .map_err(io::Error::other)?;
            self.input.drain(..consumed);
            if let Some(array) = array {
                return Ok(ReceivedCommand::from_array(&array));
            }
            let mut chunk = [0; READ_CHUNK_BYTES];
            match self.socket.read(&mut chunk)? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                length => self.input.extend_from_slice(&chunk[..length]),
            }
        }
    }

    /// Reads the next fetch and discards all commands before it.
    pub fn next_fetch(&mut self) -> io::Result<ReceivedCommand> {
        loop {
            let command = self.next_command()?;
            if command.is_fetch() {
                return Ok(command);
            }
        }
    }

    /// Reads the head of an HTTP request, as an event bus does.
    pub fn next_http_head(&mut self) -> io::Result<String> {
        read_head(&mut self.socket)
    }

    /// Sends the answer to a request. `fields` is a list of the form `name=value,name=value`.
    pub fn answer(
        &mut self,
        request_id: &str,
        status: &str,
        fields: &str,
        body: &str,
    ) -> io::Result<()> {
        let mut out = Vec::new();
        resp::write_array(
            &mut out,
            &[
                request_id.as_bytes(),
                status.as_bytes(),
                fields.as_bytes(),
                body.as_bytes(),
            ],
        );
        self.send(&out)
    }

    /// Answers a request with 200 and a cached copy that was created 1 ms after the Unix epoch.
    pub fn answer_ok(&mut self, request_id: &str) -> io::Result<()> {
        self.answer(request_id, "200", "how=local,made=1,etag=t1", "all of it")
    }

    /// Reads the next command, which should be a fetch, and answers it with 200 and a cached copy.
    pub fn answer_next_fetch(&mut self) -> io::Result<()> {
        let command = self.next_command()?;
        self.answer_ok(&command.request_id)
    }

    /// Sends raw bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes)
    }

    /// Discards input until the proxy closes or resets the connection. Returns an error if the
    /// proxy neither sends anything nor closes the connection for [`TEST_TIMEOUT`].
    pub fn wait_until_closed(&mut self) -> io::Result<()> {
        loop {
            match self.socket.read(&mut [0; READ_CHUNK_BYTES]) {
                Ok(0) => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::ConnectionReset => return Ok(()),
                Ok(_) => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Closes the connection.
    pub fn close(self) -> io::Result<()> {
        self.socket.shutdown(Shutdown::Both)
    }

    /// Resets the connection. Sets the linger time to zero. Closing the socket, at the end of this
    /// function, then sends a reset.
    pub fn reset(self) -> io::Result<()> {
        let no_linger = Some(Duration::ZERO);
        Ok(sockopt::set_socket_linger(&self.socket, no_linger)?)
    }
}
