//! Simulates the network link to a server with a TCP proxy in front of it, which forwards bytes,
//! holds them back, forwards them in small fragments, or resets connections.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// What a link does with connections and bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// The link forwards everything.
    Open,
    /// The link forwards nothing. It accepts new connections but does not serve them.
    Stalled,
    /// The link forwards bytes in small fragments with pauses between them.
    Fragmented,
    /// The link resets new connections at once.
    Refusing,
}

const FRAGMENT_BYTES: usize = 7;
const FRAGMENT_PAUSE: Duration = Duration::from_millis(1);
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// A link to one server.
#[derive(Clone)]
pub struct Link {
    mode: Rc<watch::Sender<LinkMode>>,
    /// A counter whose change makes every open connection reset.
    reset_count: Rc<watch::Sender<u64>>,
    failed_connections: Rc<RefCell<u64>>,
}

impl Link {
    /// Starts a link that listens on an address. For each connection it connects to the server.
    pub async fn start(listen: SocketAddr, server: SocketAddr) -> io::Result<Self> {
        let listener = crate::listen(listen).await?;
        let link = Link {
            mode: Rc::new(watch::Sender::new(LinkMode::Open)),
            reset_count: Rc::new(watch::Sender::new(0)),
            failed_connections: Rc::default(),
        };
        let link_task = link.clone();
        tokio::task::spawn_local(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let link = link_task.clone();
                tokio::task::spawn_local(async move {
                    if link.forward_connection(socket, server).await.is_err() {
                        *link.failed_connections.borrow_mut() += 1;
                    }
                });
            }
        });
        Ok(link)
    }

    /// Sets the mode of the link, also for connections that are open.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }

    /// Closes every open connection. Connections with unread input are reset.
    pub fn reset_connections(&self) {
        self.reset_count
            .send_modify(|reset_count| *reset_count += 1);
    }

    async fn forward_connection(&self, client: TcpStream, server: SocketAddr) -> io::Result<()> {
        let mut mode = self.mode.subscribe();
        if *mode.borrow() == LinkMode::Refusing {
            return client.set_zero_linger();
        }
        let is_serving = |mode: &LinkMode| *mode != LinkMode::Stalled;
        let mut reset_count = self.reset_count.subscribe();
        reset_count.mark_unchanged();
        if mode.wait_for(is_serving).await.is_err() {
            return Ok(());
        }
        client.set_nodelay(true)?;
        let server = TcpStream::connect(server).await?;
        server.set_nodelay(true)?;
        let (client_reader, client_writer) = client.into_split();
        let (server_reader, server_writer) = server.into_split();
        let requests = forward_bytes(client_reader, server_writer, self.mode.subscribe());
        let answers = forward_bytes(server_reader, client_writer, self.mode.subscribe());
        tokio::select! {
            _ = async { tokio::join!(requests, answers) } => Ok(()),
            _ = reset_count.changed() => Ok(()),
        }
    }
}

/// Forwards one direction of a connection until its end. If the sockets are dropped before that
/// with unread input, the connection is reset.
async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<LinkMode>,
) -> io::Result<()> {
    let mut chunk = vec![0; READ_BUFFER_BYTES];
    loop {
        let length = from.read(&mut chunk).await?;
        if length == 0 {
            return to.shutdown().await;
        }
        let is_forwarding = |mode: &LinkMode| *mode != LinkMode::Stalled;
        let Ok(current_mode) = mode.wait_for(is_forwarding).await.map(|mode| *mode) else {
            return Ok(());
        };
        if current_mode != LinkMode::Fragmented {
            to.write_all(&chunk[..length]).await?;
            continue;
        }
        for fragment in chunk[..length].chunks(FRAGMENT_BYTES) {
            to.write_all(fragment).await?;
            tokio::time::sleep(FRAGMENT_PAUSE).await;
        }
    }
}
