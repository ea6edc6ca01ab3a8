//! The event bus: numbered events as server-sent events, a comment each second.

use crate::record::Record;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

#[derive(Default)]
struct State {
    /// The events after the first, which every proxy knows from its configuration.
    events: Vec<(u64, String)>,
}

#[derive(Clone)]
pub struct Bus {
    pub address: String,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Bus {
    /// Starts a bus whose lines end with `line_end`.
    pub fn start(line_end: &'static str, record: Record) -> Bus {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the bus");
        let bus = Bus {
            address: listener.local_addr().unwrap().to_string(),
            state: Arc::default(),
        };
        let state = bus.state.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (state, record) = (state.clone(), record.clone());
                std::thread::spawn(move || serve(socket, &state, line_end, &record));
            }
        });
        bus
    }

    /// The number of the next event.
    pub fn next(&self) -> u64 {
        self.state
            .0
            .lock()
            .unwrap()
            .events
            .last()
            .map_or(2, |(number, _)| number + 1)
    }

    /// Adds an event; `make` gets its number.
    pub fn tell(&self, make: impl FnOnce(u64) -> String) {
        let mut state = self.state.0.lock().unwrap();
        let number = state.events.last().map_or(2, |(number, _)| number + 1);
        state.events.push((number, make(number)));
        self.state.1.notify_all();
    }
}

fn serve(socket: TcpStream, state: &(Mutex<State>, Condvar), end: &str, record: &Record) {
    let _ = socket.set_nodelay(true);
    let Ok(clone) = socket.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(clone);
    let mut last = 0u64;
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        let line = line.trim();
        if let Some(id) = line.strip_prefix("Last-Event-ID:") {
            last = id.trim().parse().unwrap_or(0);
        }
        if line.is_empty() {
            break;
        }
    }
    record.line(format!(
        "bus: a subscription that asks for the events after {last}"
    ));
    let mut socket = socket;
    let head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\r\n";
    if socket.write_all(head.as_bytes()).is_err() {
        return;
    }
    loop {
        let mut text = String::new();
        {
            let guard = state.0.lock().unwrap();
            let waiting =
                |state: &mut State| !state.events.iter().any(|(number, _)| *number > last);
            let (guard, _) = state
                .1
                .wait_timeout_while(guard, Duration::from_secs(1), waiting)
                .unwrap();
            for (number, event) in guard.events.iter().filter(|(number, _)| *number > last) {
                text += &format!("id: {number}{end}data: {event}{end}{end}");
            }
            last = guard
                .events
                .last()
                .map_or(last, |(number, _)| last.max(*number));
        }
        if text.is_empty() {
            text = format!(": still here{end}{end}");
        }
        if socket.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}
