//! The event bus: numbered events as server-sent events, a comment each second.

use crate::record::Record;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    /// The events after the first, which every proxy knows from its configuration.
    events: Vec<(u64, String)>,
    /// The event in whose middle the bus is to break off, once.
    break_in: Option<u64>,
    /// When the bus broke off, and when it was asked again after that.
    broke_off: Option<Instant>,
    asked_again: Option<Instant>,
}

/// How the bus writes its response.
#[derive(Clone, Copy)]
pub struct Form {
    /// The end of each line.
    pub line_end: &'static str,
    /// Whether the response is sent in chunks, as HTTP/1.1 servers send one of unknown length.
    pub chunked: bool,
}

impl Form {
    pub const PLAIN: Form = Form {
        line_end: "\n",
        chunked: false,
    };

    fn frame(self, text: &str) -> Vec<u8> {
        if self.chunked {
            format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
        } else {
            text.as_bytes().to_vec()
        }
    }
}

#[derive(Clone)]
pub struct Bus {
    pub address: String,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Bus {
    /// Starts a bus that writes in this form.
    pub fn start(form: Form, record: Record) -> Bus {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the bus");
        let bus = Bus {
            address: listener.local_addr().unwrap().to_string(),
            state: Arc::default(),
        };
        let state = bus.state.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (state, record) = (state.clone(), record.clone());
                std::thread::spawn(move || serve(socket, &state, form, &record));
            }
        });
        bus
    }

    /// Adds two events at once. If `breaks`, the bus writes the first whole and half of the second,
    /// and breaks off: it ends its response and closes. It takes the next connection at once.
    pub fn tell_two(
        &self,
        first: impl FnOnce(u64) -> String,
        second: impl FnOnce(u64) -> String,
        breaks: bool,
    ) {
        let mut state = self.state.0.lock().unwrap();
        let number = state.events.last().map_or(2, |(number, _)| number + 1);
        state.events.push((number, first(number)));
        state.events.push((number + 1, second(number + 1)));
        state.break_in = breaks.then_some(number + 1);
        self.state.1.notify_all();
    }

    /// How long ago the bus broke off, and how long ago it was asked again after that.
    pub fn since_break(&self) -> (Option<Duration>, Option<Duration>) {
        let state = self.state.0.lock().unwrap();
        (
            state.broke_off.map(|at| at.elapsed()),
            state.asked_again.map(|at| at.elapsed()),
        )
    }

    /// Adds an event; `make` gets its number.
    pub fn tell(&self, make: impl FnOnce(u64) -> String) {
        let mut state = self.state.0.lock().unwrap();
        let number = state.events.last().map_or(2, |(number, _)| number + 1);
        state.events.push((number, make(number)));
        self.state.1.notify_all();
    }
}

fn serve(socket: TcpStream, state: &(Mutex<State>, Condvar), form: Form, record: &Record) {
    let end = form.line_end;
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
    {
        let mut state = state.0.lock().unwrap();
        if state.broke_off.is_some() {
            state.asked_again.get_or_insert_with(Instant::now);
        }
    }
    let mut socket = socket;
    let coding = if form.chunked {
        "Transfer-Encoding: chunked\r\n"
    } else {
        ""
    };
    let head =
        format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n{coding}\r\n"
    );
    if socket.write_all(head.as_bytes()).is_err() {
        return;
    }
    loop {
        let mut text = String::new();
        let mut breaks = false;
        {
            let guard = state.0.lock().unwrap();
            let waiting =
                |state: &mut State| !state.events.iter().any(|(number, _)| *number > last);
            let (mut guard, _) = state
                .1
                .wait_timeout_while(guard, Duration::from_secs(1), waiting)
                .unwrap();
            for (number, event) in guard.events.iter().filter(|(number, _)| *number > last) {
                let lines = format!("id: {number}{end}data: {event}{end}{end}");
                breaks = guard.break_in == Some(*number);
                if breaks {
                    text += &lines[..lines.len() / 2];
                    break;
                }
                text += &lines;
            }
            last = guard
                .events
                .last()
                .map_or(last, |(number, _)| last.max(*number));
            if breaks {
                guard.break_in = None;
                guard.broke_off = Some(Instant::now());
            }
        }
        if text.is_empty() {
            text = format!(": still here{end}{end}");
        }
        let mut bytes = form.frame(&text);
        if breaks && form.chunked {
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
        if socket.write_all(&bytes).is_err() {
            return;
        }
        if breaks {
            record.line("bus: broke off in the middle of an event");
            return;
        }
    }
}
