//! A pop cache, parent or origin: accepts connections, parses commands, and lets a handler answer
//! each `fetch` in a thread of its own.

use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// A `fetch` command.
#[derive(Clone, Debug)]
pub struct Fetch {
    pub id: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
    /// The number of the connection.
    pub connection: u64,
}

impl Fetch {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.parse().ok()
    }

    pub fn flag(&self, word: &str) -> bool {
        self.field("flags").split('+').any(|flag| flag == word)
    }
}

/// Writes the answer to one `fetch`.
pub struct Reply {
    id: String,
    socket: Arc<Mutex<TcpStream>>,
    aborted: Arc<Mutex<HashSet<String>>>,
}

impl Reply {
    /// Whether the request was given up meanwhile.
    pub fn is_aborted(&self) -> bool {
        self.aborted.lock().unwrap().contains(&self.id)
    }

    /// Answers, unless the request was given up. Returns whether the answer was written.
    pub fn answer(&self, status: &str, fields: &str, body: &[u8]) -> bool {
        if self.is_aborted() {
            return false;
        }
        let bytes = encode(&[
            self.id.as_bytes(),
            status.as_bytes(),
            fields.as_bytes(),
            body,
        ]);
        self.socket.lock().unwrap().write_all(&bytes).is_ok()
    }
}

impl Reply {
    /// Answers at a limited rate, in pieces every 20 ms. Answers on one connection follow each
    /// other; one that has begun is written to its end.
    pub fn answer_paced(&self, status: &str, fields: &str, body: &[u8], bytes_per_s: usize) {
        let bytes = encode(&[
            self.id.as_bytes(),
            status.as_bytes(),
            fields.as_bytes(),
            body,
        ]);
        let mut socket = self.socket.lock().unwrap();
        if self.is_aborted() {
            return;
        }
        for piece in bytes.chunks((bytes_per_s / 50).max(1)) {
            if socket.write_all(piece).is_err() {
                return;
            }
            crate::sleep_ms(20);
        }
    }

    /// Answers with a length of the body that may not fit. All bytes of the body follow. Returns
    /// whether they were written.
    pub fn answer_spoilt(
        &self,
        status: &str,
        fields: &str,
        body: &[u8],
        announced_bytes: usize,
    ) -> bool {
        if self.is_aborted() {
            return false;
        }
        let head = encode(&[self.id.as_bytes(), status.as_bytes(), fields.as_bytes()]);
        let mut bytes = b"*4".to_vec();
        bytes.extend_from_slice(&head[2..]);
        bytes.extend(format!("${announced_bytes}\r\n").as_bytes());
        bytes.extend_from_slice(body);
        bytes.extend_from_slice(b"\r\n");
        self.socket.lock().unwrap().write_all(&bytes).is_ok()
    }
}

pub fn encode(items: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", items.len()).into_bytes();
    for item in items {
        out.extend(format!("${}\r\n", item.len()).as_bytes());
        out.extend_from_slice(item);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// Reads an array of bulk strings. Returns `None` at the end of the connection.
pub fn read_array(reader: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let count = read_length(reader, '*')?;
    let mut items = Vec::new();
    for _ in 0..count {
        let length = read_length(reader, '$')?;
        let mut item = vec![0; length + 2];
        reader.read_exact(&mut item).ok()?;
        item.truncate(length);
        items.push(item);
    }
    Some(items)
}

fn read_length(reader: &mut impl BufRead, prefix: char) -> Option<usize> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    line.trim_end().strip_prefix(prefix)?.parse().ok()
}

type Handler = dyn Fn(Fetch, Reply) + Send + Sync;

/// A running server.
#[derive(Clone)]
pub struct RespServer {
    pub address: String,
    up: Arc<AtomicBool>,
    sockets: Arc<Mutex<Vec<TcpStream>>>,
    pub fetches: Arc<AtomicU64>,
}

impl RespServer {
    /// Starts a server on a free port.
    pub fn start(handler: impl Fn(Fetch, Reply) + Send + Sync + 'static) -> RespServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a pop cache");
        Self::on(listener, Arc::new(handler))
    }

    /// Starts a server on an address.
    pub fn start_at(
        address: &str,
        handler: impl Fn(Fetch, Reply) + Send + Sync + 'static,
    ) -> std::io::Result<RespServer> {
        Ok(Self::on(TcpListener::bind(address)?, Arc::new(handler)))
    }

    fn on(listener: TcpListener, handler: Arc<Handler>) -> RespServer {
        let server = RespServer {
            address: listener.local_addr().unwrap().to_string(),
            up: Arc::new(AtomicBool::new(true)),
            sockets: Arc::default(),
            fetches: Arc::default(),
        };
        let this = server.clone();
        std::thread::spawn(move || {
            let mut connection = 0;
            for socket in listener.incoming().flatten() {
                if !this.up.load(Ordering::SeqCst) {
                    return;
                }
                connection += 1;
                let _ = socket.set_nodelay(true);
                if let Ok(clone) = socket.try_clone() {
                    this.sockets.lock().unwrap().push(clone);
                }
                let (handler, fetches) = (handler.clone(), this.fetches.clone());
                std::thread::spawn(move || serve(socket, connection, &handler, &fetches));
            }
        });
        server
    }

    /// Breaks all connections that are open; new ones are accepted.
    pub fn reset(&self) {
        for socket in self.sockets.lock().unwrap().drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// Ends the server as the death of its process does: the listener and all connections close.
    pub fn die(&self) {
        self.up.store(false, Ordering::SeqCst);
        for socket in self.sockets.lock().unwrap().drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
        // Wakes the accepting thread, which then drops the listener.
        let _ = TcpStream::connect(&self.address);
    }
}

fn serve(socket: TcpStream, connection: u64, handler: &Arc<Handler>, fetches: &AtomicU64) {
    let Ok(clone) = socket.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(clone);
    let socket = Arc::new(Mutex::new(socket));
    let aborted: Arc<Mutex<HashSet<String>>> = Arc::default();
    while let Some(items) = read_array(&mut reader) {
        let text = |index: usize| {
            items
                .get(index)
                .map(|item| String::from_utf8_lossy(item).into_owned())
                .unwrap_or_default()
        };
        match text(0).as_str() {
            "fetch" => {
                fetches.fetch_add(1, Ordering::SeqCst);
                let fields = text(2)
                    .split(',')
                    .filter_map(|pair| pair.split_once('='))
                    .map(|(name, value)| (name.to_owned(), value.to_owned()))
                    .collect();
                let fetch = Fetch {
                    id: text(1),
                    fields,
                    body: items.get(3).cloned().unwrap_or_default(),
                    connection,
                };
                aborted.lock().unwrap().remove(&fetch.id);
                let reply = Reply {
                    id: fetch.id.clone(),
                    socket: socket.clone(),
                    aborted: aborted.clone(),
                };
                let handler = handler.clone();
                std::thread::spawn(move || handler(fetch, reply));
            }
            "abort" => {
                aborted.lock().unwrap().insert(text(1));
            }
            "alive" | "stats" => {
                let bytes = encode(&[text(1).as_bytes(), b"alive", b"-", b""]);
                let _ = socket.lock().unwrap().write_all(&bytes);
            }
            _ => return,
        }
    }
    for id in aborted.lock().unwrap().iter() {
        let _ = id;
    }
    let _ = socket.lock().unwrap().shutdown(Shutdown::Both);
}

/// The client side of one connection to a server: sends a `fetch` and waits for its answer.
pub struct FillConnection {
    reader: BufReader<TcpStream>,
}

impl FillConnection {
    pub fn open(address: &str) -> std::io::Result<FillConnection> {
        let socket = TcpStream::connect(address)?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(std::time::Duration::from_millis(2500)))?;
        Ok(FillConnection {
            reader: BufReader::new(socket),
        })
    }

    /// Returns the status, the fields and the body of the answer.
    pub fn fetch(&mut self, id: &str, fields: &str) -> Option<(String, String, Vec<u8>)> {
        let command = encode(&[b"fetch", id.as_bytes(), fields.as_bytes(), b""]);
        self.reader.get_mut().write_all(&command).ok()?;
        let items = read_array(&mut self.reader)?;
        let text = |index: usize| String::from_utf8_lossy(&items[index]).into_owned();
        (items.len() == 4).then(|| (text(1), text(2), items[3].clone()))
    }
}

/// Reads everything that comes until the end of a connection.
pub fn drain(mut socket: TcpStream) {
    let mut buffer = [0; 4096];
    while matches!(socket.read(&mut buffer), Ok(count) if count > 0) {}
}
