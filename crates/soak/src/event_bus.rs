//! A stand-in for the event bus, as one proxy sees it: two addresses, of which one is in use.

use crate::deployment;
use crate::world::SharedWorld;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

/// How the bus behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BusMode {
    /// It tells everything at once.
    #[default]
    Working,
    /// It refuses connections, and has ended those that were open.
    Down,
    /// It says nothing on any connection, and never again on those that were open.
    Silent,
    /// A new connection waits so many milliseconds for its first byte.
    SlowFirstByte(u64),
}

/// How long an address that is no more in use keeps its connections open.
const RETIRED_KEEPS_OPEN: Duration = Duration::from_millis(1_500);
const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Bytes after which a message is cut, so that events arrive in pieces.
const PIECE_BYTES: usize = 61;

/// The mode of the bus, for all proxies.
pub type BusModeSender = Rc<watch::Sender<BusMode>>;

/// The bus of one proxy.
#[derive(Clone)]
pub struct EventBus {
    world: SharedWorld,
    mode: BusModeSender,
    /// Whether the second address is the one in use.
    second_in_use: Rc<watch::Sender<bool>>,
    proxy: usize,
}

impl EventBus {
    /// Listens at both addresses of a proxy's bus.
    pub async fn start(
        world: &SharedWorld,
        proxy: usize,
        mode: BusModeSender,
    ) -> io::Result<EventBus> {
        let bus = EventBus {
            world: world.clone(),
            mode,
            second_in_use: Rc::new(watch::Sender::new(false)),
            proxy,
        };
        let slot = world.borrow().slot;
        for second in [false, true] {
            let address = deployment::bus_address(slot, proxy, second);
            let listener = crate::listen(address).await?;
            let bus = bus.clone();
            tokio::task::spawn_local(async move {
                while let Ok((socket, _)) = listener.accept().await {
                    let bus = bus.clone();
                    tokio::task::spawn_local(async move {
                        // A subscription ends with its connection.
                        let _ = bus.serve(socket, second).await;
                    });
                }
            });
        }
        Ok(bus)
    }

    /// Puts the other address in use. Returns whether that is the second one.
    pub fn move_address(&self) -> bool {
        let second = !*self.second_in_use.borrow();
        self.second_in_use.send_replace(second);
        second
    }

    /// Whether the second address is in use.
    pub fn is_second_in_use(&self) -> bool {
        *self.second_in_use.borrow()
    }

    async fn serve(&self, socket: TcpStream, second: bool) -> io::Result<()> {
        let mut mode = self.mode.subscribe();
        let mut in_use = self.second_in_use.subscribe();
        if *mode.borrow_and_update() == BusMode::Down || *in_use.borrow_and_update() != second {
            return socket.set_zero_linger();
        }
        let subscription = self.subscription(socket);
        tokio::pin!(subscription);
        loop {
            tokio::select! {
                ended = &mut subscription => return ended,
                changed = in_use.changed() => {
                    if changed.is_err() || *in_use.borrow_and_update() == second {
                        continue;
                    }
                    // It tells nothing more, and ends after a while.
                    tokio::time::sleep(RETIRED_KEEPS_OPEN).await;
                    return Ok(());
                }
                changed = mode.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    let now = *mode.borrow_and_update();
                    match now {
                        BusMode::Down => return Ok(()),
                        // The connection stays open and mute until the run ends.
                        BusMode::Silent => std::future::pending::<()>().await,
                        BusMode::Working | BusMode::SlowFirstByte(_) => {}
                    }
                }
            }
        }
    }

    async fn subscription(&self, socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let (reader, mut writer) = socket.into_split();
        let mut mode = self.mode.subscribe();
        let mut lines = BufReader::new(reader).lines();
        let mut told = 0;
        while let Some(line) = lines.next_line().await?.filter(|line| !line.is_empty()) {
            let line = line.to_ascii_lowercase();
            if let Some(id) = line.strip_prefix("last-event-id:") {
                told = id.trim().parse().unwrap_or(0);
            }
        }
        let first_byte_ms = match *mode.borrow() {
            BusMode::SlowFirstByte(first_byte_ms) => first_byte_ms,
            _ => 0,
        };
        tokio::time::sleep(Duration::from_millis(first_byte_ms)).await;
        let speaks = |mode: &BusMode| *mode != BusMode::Silent;
        let _ = mode.wait_for(speaks).await;
        writer
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n")
            .await?;
        let mut count = self.world.borrow().event_count.subscribe();
        loop {
            let _ = mode.wait_for(speaks).await;
            let message = self.message_after(told);
            for piece in message.as_bytes().chunks(PIECE_BYTES) {
                writer.write_all(piece).await?;
            }
            told = told.max(self.world.borrow().events.len());
            self.world.borrow_mut().note_told(self.proxy, told);
            let _ = timeout(KEEP_ALIVE, count.wait_for(|count| *count > told)).await;
        }
    }

    /// A comment and the events after the one of this number.
    fn message_after(&self, told: usize) -> String {
        let world = self.world.borrow();
        let mut message = ":\n\n".to_owned();
        for (index, published) in world.events.iter().enumerate().skip(told) {
            let mut event = published.event.clone();
            event["offset"] = (index + 1).into();
            message += &format!("id: {}\ndata: {event}\n\n", index + 1);
        }
        message
    }
}
