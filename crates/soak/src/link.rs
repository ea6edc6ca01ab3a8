//! The link to a server: a TCP proxy that passes bytes on, or resets connections, keeps bytes back,
//! or passes them in small pieces.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// What a link does with what comes to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Everything passes.
    Open,
    /// Nothing passes, and new connections are not served.
    Silent,
    /// Bytes pass in small pieces with pauses.
    Pieces,
    /// New connections are reset at once.
    Refusing,
}

const PIECE_BYTES: usize = 7;
const PIECE_PAUSE: Duration = Duration::from_millis(1);
const CHUNK_BYTES: usize = 16 * 1024;

/// A link.
#[derive(Clone)]
pub struct Link {
    mode: Rc<watch::Sender<LinkMode>>,
    /// Changed to have every open connection reset.
    resets: Rc<watch::Sender<u64>>,
    failures: Rc<RefCell<u64>>,
}

impl Link {
    /// Listens at an address, and connects to the server for each connection.
    pub async fn start(listen: SocketAddr, server: SocketAddr) -> io::Result<Self> {
        let listener = crate::listen(listen).await?;
        let link = Link {
            mode: Rc::new(watch::Sender::new(LinkMode::Open)),
            resets: Rc::new(watch::Sender::new(0)),
            failures: Rc::default(),
        };
        let serving = link.clone();
        tokio::task::spawn_local(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let link = serving.clone();
                tokio::task::spawn_local(async move {
                    if link.pass(socket, server).await.is_err() {
                        *link.failures.borrow_mut() += 1;
                    }
                });
            }
        });
        Ok(link)
    }

    /// Changes what the link does, for connections that are open as well.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }

    /// Resets every connection that is open.
    pub fn reset_connections(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    async fn pass(&self, client: TcpStream, server: SocketAddr) -> io::Result<()> {
        let mut mode = self.mode.subscribe();
        if *mode.borrow() == LinkMode::Refusing {
            return client.set_zero_linger();
        }
        let until_open = |mode: &LinkMode| *mode != LinkMode::Silent;
        let mut resets = self.resets.subscribe();
        resets.mark_unchanged();
        if mode.wait_for(until_open).await.is_err() {
            return Ok(());
        }
        client.set_nodelay(true)?;
        let server = TcpStream::connect(server).await?;
        server.set_nodelay(true)?;
        let (client_reader, client_writer) = client.into_split();
        let (server_reader, server_writer) = server.into_split();
        let requests = pump(client_reader, server_writer, self.mode.subscribe());
        let answers = pump(server_reader, client_writer, self.mode.subscribe());
        tokio::select! {
            _ = async { tokio::join!(requests, answers) } => Ok(()),
            _ = resets.changed() => Ok(()),
        }
    }
}

/// Passes one direction on until its end. Dropping the other half's socket before that, with unread
/// input, resets the connection.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<LinkMode>,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut chunk).await?;
        if length == 0 {
            return to.shutdown().await;
        }
        let passes = |mode: &LinkMode| *mode != LinkMode::Silent;
        let Ok(now) = mode.wait_for(passes).await.map(|mode| *mode) else {
            return Ok(());
        };
        if now != LinkMode::Pieces {
            to.write_all(&chunk[..length]).await?;
            continue;
        }
        for piece in chunk[..length].chunks(PIECE_BYTES) {
            to.write_all(piece).await?;
            tokio::time::sleep(PIECE_PAUSE).await;
        }
    }
}
