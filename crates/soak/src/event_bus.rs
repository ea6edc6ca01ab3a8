//! Simulates the event bus of one proxy. The bus has two addresses, of which one is in use.

use crate::deployment;
use crate::world::SharedRunState;
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
    /// The bus sends every event as soon as it is published.
    #[default]
    Working,
    /// The bus refuses connections and has closed those that were open.
    Down,
    /// The bus sends nothing on any connection. Connections that were open stay silent for the rest
    /// of the run.
    Silent,
    /// The first byte on a new connection is delayed by this many milliseconds.
    SlowFirstByte(u64),
}

/// How long connections stay open after their address is no longer in use.
const RETIRED_ADDRESS_OPEN_TIME: Duration = Duration::from_millis(1_500);
/// The interval between two keep-alive comments on an idle subscription.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The size of the fragments in which a message is written, so that events arrive in fragments.
const FRAGMENT_BYTES: usize = 61;

/// Sets the behavior of the bus for all proxies.
pub type BusModeSender = Rc<watch::Sender<BusMode>>;

/// The event bus of one proxy.
#[derive(Clone)]
pub struct EventBus {
    run_state: SharedRunState,
    mode: BusModeSender,
    /// Whether the second address is the one in use.
    second_in_use: Rc<watch::Sender<bool>>,
    proxy: usize,
}

impl EventBus {
    /// Starts a bus that listens on both of its addresses.
    pub async fn start(
        run_state: &SharedRunState,
        proxy: usize,
        mode: BusModeSender,
    ) -> io::Result<EventBus> {
        let bus = EventBus {
            run_state: run_state.clone(),
            mode,
            second_in_use: Rc::new(watch::Sender::new(false)),
            proxy,
        };
        let slot = run_state.borrow().slot;
        for is_second in [false, true] {
            let address = deployment::bus_address(slot, proxy, is_second);
            let listener = crate::listen(address).await?;
            let bus = bus.clone();
            tokio::task::spawn_local(async move {
                while let Ok((socket, _)) = listener.accept().await {
                    let bus = bus.clone();
                    tokio::task::spawn_local(async move {
                        // Errors are ignored: a subscription ends with its connection.
                        let _ = bus.serve(socket, is_second).await;
                    });
                }
            });
        }
        Ok(bus)
    }

    /// Switches to the other address. Returns whether the second address is in use from now on.
    pub fn switch_address(&self) -> bool {
        let is_second = !*self.second_in_use.borrow();
        self.second_in_use.send_replace(is_second);
        is_second
    }

    /// Returns whether the second address is in use.
    pub fn is_second_in_use(&self) -> bool {
        *self.second_in_use.borrow()
    }

    async fn serve(&self, socket: TcpStream, is_second: bool) -> io::Result<()> {
        let mut mode = self.mode.subscribe();
        let mut in_use = self.second_in_use.subscribe();
        if *mode.borrow_and_update() == BusMode::Down || *in_use.borrow_and_update() != is_second {
            return socket.set_zero_linger();
        }
        let subscription = self.serve_subscription(socket);
        tokio::pin!(subscription);
        loop {
            tokio::select! {
                result = &mut subscription => return result,
                changed = in_use.changed() => {
                    if changed.is_err() || *in_use.borrow_and_update() == is_second {
                        continue;
                    }
                    // The connection gets no more events and is closed after a while.
                    tokio::time::sleep(RETIRED_ADDRESS_OPEN_TIME).await;
                    return Ok(());
                }
                changed = mode.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    let new_mode = *mode.borrow_and_update();
                    match new_mode {
                        BusMode::Down => return Ok(()),
                        // The connection stays open without any data until the run ends.
                        BusMode::Silent => std::future::pending::<()>().await,
                        BusMode::Working | BusMode::SlowFirstByte(_) => {}
                    }
                }
            }
        }
    }

    async fn serve_subscription(&self, socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let (reader, mut writer) = socket.into_split();
        let mut mode = self.mode.subscribe();
        let mut lines = BufReader::new(reader).lines();
        let mut last_sent = 0;
        while let Some(line) = lines.next_line().await?.filter(|line| !line.is_empty()) {
            let line = line.to_ascii_lowercase();
            if let Some(id) = line.strip_prefix("last-event-id:") {
                last_sent = id.trim().parse().unwrap_or(0);
            }
        }
        let first_byte_ms = match *mode.borrow() {
            BusMode::SlowFirstByte(first_byte_ms) => first_byte_ms,
            _ => 0,
        };
        tokio::time::sleep(Duration::from_millis(first_byte_ms)).await;
        let is_sending = |mode: &BusMode| *mode != BusMode::Silent;
        let _ = mode.wait_for(is_sending).await;
        writer
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n")
            .await?;
        let mut event_count = self.run_state.borrow().event_count.subscribe();
        loop {
            let _ = mode.wait_for(is_sending).await;
            let message = self.message_after(last_sent);
            for fragment in message.as_bytes().chunks(FRAGMENT_BYTES) {
                writer.write_all(fragment).await?;
            }
            last_sent = last_sent.max(self.run_state.borrow().events.len());
            self.run_state
                .borrow_mut()
                .record_delivery(self.proxy, last_sent);
            let _ = timeout(
                KEEP_ALIVE_INTERVAL,
                event_count.wait_for(|event_count| *event_count > last_sent),
            )
            .await;
        }
    }

    /// Returns a comment followed by all events with a number above `last_sent`.
    fn message_after(&self, last_sent: usize) -> String {
        let run_state = self.run_state.borrow();
        let mut message = ":\n\n".to_owned();
        for (index, published) in run_state.events.iter().enumerate().skip(last_sent) {
            let mut event = published.event.clone();
            event["offset"] = (index + 1).into();
            message += &format!("id: {}\ndata: {event}\n\n", index + 1);
        }
        message
    }
}
