//! A fake peer CDN, which accepts and records the requests that the proxy sends to it.

use crate::http_client::{read_message, ReadUntil, MAX_HEAD_BYTES};
use crate::{ANY_LOOPBACK_PORT, MAX_MESSAGE_BYTES, TEST_TIMEOUT};
use edge_proxy::protocol::http::MessageParser;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;

/// A peer CDN that answers every request with status 201 and records it for the test.
pub struct FakePeerCdn {
    /// Address on which the peer CDN listens.
    pub address: SocketAddr,
    notifications: mpsc::Receiver<PeerNotification>,
}

/// A request that the peer CDN received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerNotification {
    /// Request target.
    pub target: String,
    /// Request body.
    pub body: String,
}

impl FakePeerCdn {
    /// Starts a peer CDN on a free port.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind(ANY_LOOPBACK_PORT)?;
        let address = listener.local_addr()?;
        let (sender, notifications) = mpsc::channel();
        thread::spawn(move || {
            for mut socket in listener.incoming().flatten() {
                let Ok(notification) = receive_notification(&mut socket) else {
                    continue;
                };
                if sender.send(notification).is_err() {
                    return;
                }
            }
        });
        Ok(FakePeerCdn {
            address,
            notifications,
        })
    }

    /// Waits for the next notification. Returns None if none arrives within [`TEST_TIMEOUT`].
    pub fn next_notification(&self) -> Option<PeerNotification> {
        self.notifications.recv_timeout(TEST_TIMEOUT).ok()
    }
}

/// Reads the request of a connection and answers it.
fn receive_notification(socket: &mut TcpStream) -> io::Result<PeerNotification> {
    let mut parser = MessageParser::requests(MAX_HEAD_BYTES, MAX_MESSAGE_BYTES);
    let message = read_message(socket, &mut parser, ReadUntil::MessageEnds)?;
    // The notification counts even if the proxy has closed the connection before this response.
    let _ = socket.write_all(b"HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n");
    let target = message
        .head
        .method_and_target()
        .map(|(_, target)| target.to_owned());
    Ok(PeerNotification {
        target: target.unwrap_or_default(),
        body: String::from_utf8_lossy(&message.body).into_owned(),
    })
}
