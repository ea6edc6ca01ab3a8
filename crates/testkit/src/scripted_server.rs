//! A box that does nothing by itself: a test says what it takes, answers, holds back and breaks off, and in which
//! order.

use crate::clients::PATIENCE;
use crate::listen;
use edge_proxy::protocol::{resp, Parser};
use rustix::net::sockopt;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{mpsc, Mutex};
use std::time::Duration;

/// A box whose every step is told to it.
pub struct Puppet {
    /// Where it listens.
    pub address: SocketAddr,
    taken: Mutex<mpsc::Receiver<TcpStream>>,
}

/// A connection to it.
pub struct Line {
    socket: TcpStream,
    arrays: resp::Arrays,
    input: Vec<u8>,
}

/// A frame that came: its word, its id and its fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// `fetch`, `abort` or a probe's word.
    pub word: String,
    /// The request.
    pub id: String,
    /// The fields.
    pub fields: String,
}

impl Frame {
    /// The object that is asked for.
    pub fn key(&self) -> Option<&str> {
        resp::field(self.fields.as_bytes(), "key")
    }
}

fn late<T>(_: T) -> io::Error {
    io::ErrorKind::TimedOut.into()
}

impl Puppet {
    /// Starts one on a port of its own.
    pub fn start() -> io::Result<Self> {
        let (take, taken) = mpsc::channel();
        let address = listen("127.0.0.1:0", move |socket| take.send(socket))?;
        Ok(Puppet {
            address,
            taken: Mutex::new(taken),
        })
    }

    /// The next connection that is made to it.
    pub fn line(&self) -> io::Result<Line> {
        let taken = self.taken.lock().map_err(late)?;
        let socket = taken.recv_timeout(PATIENCE).map_err(late)?;
        socket.set_read_timeout(Some(PATIENCE))?;
        Ok(Line {
            socket,
            arrays: resp::Arrays::new(1 << 20),
            input: Vec::new(),
        })
    }
}

impl Line {
    /// The next frame.
    pub fn frame(&mut self) -> io::Result<Frame> {
        loop {
            let (taken, array) = self.arrays.parse(&self.input).map_err(io::Error::other)?;
            self.input.drain(..taken);
            if let Some(array) = array {
                let text = |at: usize| {
                    array
                        .get(at)
                        .map(|b| String::from_utf8_lossy(b).into_owned())
                        .unwrap_or_default()
                };
                return Ok(Frame {
                    word: text(0),
                    id: text(1),
                    fields: text(2),
                });
            }
            let mut bytes = [0; 4096];
            match self.socket.read(&mut bytes)? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                got => self.input.extend_from_slice(&bytes[..got]),
            }
        }
    }

    /// The next request, whatever is given up before it.
    pub fn fetch(&mut self) -> io::Result<Frame> {
        loop {
            let frame = self.frame()?;
            if frame.word == "fetch" {
                return Ok(frame);
            }
        }
    }

    /// Answers under an id.
    pub fn answer(&mut self, id: &str, word: &str, fields: &str, body: &str) -> io::Result<()> {
        let mut out = Vec::new();
        resp::write_array(
            &mut out,
            &[
                id.as_bytes(),
                word.as_bytes(),
                fields.as_bytes(),
                body.as_bytes(),
            ],
        );
        self.send(&out)
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes)
    }

    /// Takes what comes until the other side ends the connection.
    pub fn ends(&mut self) -> io::Result<bool> {
        loop {
            match self.socket.read(&mut [0; 4096]) {
                Ok(0) => return Ok(true),
                Err(e) if e.kind() == io::ErrorKind::ConnectionReset => return Ok(true),
                Ok(_) => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Ends the connection.
    pub fn close(self) -> io::Result<()> {
        self.socket.shutdown(Shutdown::Both)
    }

    /// Breaks the connection off with a reset.
    pub fn reset(self) -> io::Result<()> {
        Ok(sockopt::set_socket_linger(
            &self.socket,
            Some(Duration::ZERO),
        )?)
    }
}
