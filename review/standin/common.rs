//! Stand-ins that the cases share: clients, cache servers, the event bus, the platform that starts
//! the proxy, and the record. Only the standard library is used.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption takes place. `TROUBLE=0` switches it off.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---- The record ----

/// Writes `record.txt`. Each line has the time in ms since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).unwrap_or_else(|error| {
            eprintln!("cannot write {path}: {error}");
            std::process::exit(COULD_NOT_RUN)
        });
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} {}\n", self.now_ms(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

// ---- Random numbers with a seed ----

pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
}

// ---- The platform: starts, signals and ends the proxy ----

pub struct Proxy {
    pub address: SocketAddr,
    child: Child,
    folder: PathBuf,
}

pub fn temporary_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("{name}-{}-{}", std::process::id(), unix_ms()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

impl Proxy {
    /// Starts the proxy with the `run` command of the deploy file, from the root of the repository.
    pub fn start(run: &str, folder: &Path, address: SocketAddr, config: &str) -> Proxy {
        let config_path = folder.join("config.json");
        std::fs::write(&config_path, config).unwrap();
        let tmp = folder.join("tmp");
        std::fs::create_dir_all(&tmp).unwrap();
        let log = File::create(folder.join("proxy.log")).unwrap();
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run)
            .env("ROUTER_NAME", "n0")
            .env("ROUTER_LISTEN", address.to_string())
            .env("ROUTER_CONFIG", &config_path)
            .env("TMPDIR", &tmp)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| {
                eprintln!("cannot start the proxy: {error}");
                std::process::exit(COULD_NOT_RUN)
            });
        Proxy { address, child, folder: folder.to_owned() }
    }

    /// Waits until the health check is answered with status 200.
    pub fn wait_until_ready(&mut self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            if let Some(mut client) = Client::connect(self.address) {
                let answer = client.send_params(&[("SCRIPT_NAME", "/_health")], 1, 1_000);
                if matches!(&answer, Answer::Complete { status: 200, .. }) {
                    return true;
                }
            }
            if self.has_ended() {
                return false;
            }
            sleep_ms(50);
        }
        false
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// The process that `run` started. `exec` in the command makes it the proxy itself.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process and appends what it logged about the case to the record.
    pub fn end(&mut self, record: &Record, words: &[&str]) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let log = std::fs::read(self.folder.join("proxy.log")).unwrap_or_default();
        let log = String::from_utf8_lossy(&log).into_owned();
        for line in log.lines().filter(|line| words.iter().any(|word| line.contains(word))).take(40) {
            record.line(format!("proxy log: {line}"));
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {pid}")).status();
}

/// Ends the process also where the case itself fails.
impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Ends the case as one that couldn't run if it takes longer than this. `run.sh` then ends the proxy.
pub fn limit_time(seconds: u64) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        eprintln!("the case took longer than {seconds} s");
        std::process::exit(COULD_NOT_RUN);
    });
}

// ---- Clients: web servers that speak FastCGI ----

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A whole answer: a CGI response and END_REQUEST.
    Complete { status: u16, unchanged: bool, body: Vec<u8>, protocol_status: u8 },
    /// The connection ended before the answer was whole.
    Ended,
    /// No whole answer within the time.
    TimedOut,
    /// The answer can't be read.
    Unreadable,
}

impl Answer {
    pub fn is_served(&self) -> bool {
        matches!(self, Answer::Complete { status: 200, protocol_status: 0, .. })
    }

    pub fn describe(&self) -> String {
        match self {
            Answer::Complete { status, body, protocol_status, .. } => format!(
                "status {status}, {} bytes, protocol status {protocol_status}", body.len()),
            other => format!("{other:?}"),
        }
    }
}

/// One connection, on which one request is open at a time.
pub struct Client {
    socket: TcpStream,
    buffer: Vec<u8>,
    next_id: u16,
}

fn record(out: &mut Vec<u8>, kind: u8, id: u16, content: &[u8]) {
    let length = content.len() as u16;
    out.extend_from_slice(&[1, kind]);
    out.extend_from_slice(&id.to_be_bytes());
    out.extend_from_slice(&length.to_be_bytes());
    out.extend_from_slice(&[0, 0]);
    out.extend_from_slice(content);
}

fn pair(out: &mut Vec<u8>, name: &str, value: &str) {
    for length in [name.len(), value.len()] {
        if length < 128 {
            out.push(length as u8);
        } else {
            out.extend_from_slice(&(length as u32 | 0x8000_0000).to_be_bytes());
        }
    }
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(value.as_bytes());
}

/// A whole request as records: BEGIN_REQUEST, PARAMS and an empty body.
pub fn request_records(params: &[(&str, &str)], id: u16) -> Vec<u8> {
    let mut out = Vec::new();
    record(&mut out, 1, id, &[0, 1, 1, 0, 0, 0, 0, 0]);
    let mut content = Vec::new();
    for (name, value) in params {
        pair(&mut content, name, value);
    }
    record(&mut out, 4, id, &content);
    record(&mut out, 4, id, &[]);
    record(&mut out, 5, id, &[]);
    out
}

impl Client {
    pub fn connect(address: SocketAddr) -> Option<Client> {
        let socket = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        socket.set_nodelay(true).ok()?;
        Some(Client { socket, buffer: Vec::new(), next_id: 1 })
    }

    /// Sends a request and waits for its whole answer, `wait_ms` at most.
    pub fn send_params(&mut self, params: &[(&str, &str)], _id: u16, wait_ms: u64) -> Answer {
        let id = self.next_id;
        self.next_id = if id == 30_000 { 1 } else { id + 1 };
        if self.socket.write_all(&request_records(params, id)).is_err() {
            return Answer::Ended;
        }
        self.read_answer(id, wait_ms)
    }

    fn read_answer(&mut self, id: u16, wait_ms: u64) -> Answer {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut response = Vec::new();
        loop {
            while self.buffer.len() >= 8 {
                let length = u16::from_be_bytes([self.buffer[4], self.buffer[5]]) as usize;
                let whole = 8 + length + self.buffer[6] as usize;
                if self.buffer.len() < whole {
                    break;
                }
                let found = u16::from_be_bytes([self.buffer[2], self.buffer[3]]);
                let kind = self.buffer[1];
                let content = self.buffer[8..8 + length].to_vec();
                self.buffer.drain(..whole);
                match kind {
                    6 if found == id => response.extend_from_slice(&content),
                    3 if found == id => {
                        return parse_response(&response, content.get(4).copied().unwrap_or(255));
                    }
                    _ => return Answer::Unreadable,
                }
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Answer::TimedOut;
            }
            let _ = self.socket.set_read_timeout(Some(left));
            let mut chunk = [0; 65536];
            match self.socket.read(&mut chunk) {
                Ok(0) => return Answer::Ended,
                Ok(count) => self.buffer.extend_from_slice(&chunk[..count]),
                Err(error) if matches!(error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => return Answer::TimedOut,
                Err(_) => return Answer::Ended,
            }
        }
    }
}

fn parse_response(response: &[u8], protocol_status: u8) -> Answer {
    if response.is_empty() {
        return Answer::Complete { status: 0, unchanged: false, body: Vec::new(), protocol_status };
    }
    let Some(end) = response.windows(4).position(|window| window == b"\r\n\r\n") else {
        return Answer::Unreadable;
    };
    let head = String::from_utf8_lossy(&response[..end]).into_owned();
    let header = |name: &str| {
        head.lines().find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
        })
    };
    let status = header("Status").and_then(|text| text.split(' ').next()?.parse().ok());
    let Some(status) = status else {
        return Answer::Unreadable;
    };
    let body = response[end + 4..].to_vec();
    let length = header("Content-Length").and_then(|text| text.parse::<usize>().ok());
    if length.is_some_and(|length| length != body.len()) {
        return Answer::Unreadable;
    }
    let unchanged = header("X-Unchanged").as_deref() == Some("1");
    Answer::Complete { status, unchanged, body, protocol_status }
}

// ---- Pop caches, parents and the origin ----

/// A fetch command as it arrived whole.
#[derive(Clone, Debug)]
pub struct Fetch {
    pub id: String,
    pub fields: HashMap<String, String>,
    pub raw_fields: String,
}

impl Fetch {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    pub fn number(&self, name: &str) -> u64 {
        self.field(name).parse().unwrap_or(0)
    }
}

/// What a server writes for a fetch: after each delay in ms, some bytes.
pub type Reply = Vec<(u64, Vec<u8>)>;
pub type Handler = Arc<dyn Fn(usize, &Fetch) -> Reply + Send + Sync>;

/// A server that speaks RESP. `kill` ends it as the death of its process would: the listener and
/// all connections are closed.
pub struct Server {
    pub address: SocketAddr,
    dead: Arc<AtomicBool>,
    sockets: Arc<Mutex<Vec<TcpStream>>>,
}

pub fn resp_array(items: &[&[u8]]) -> Vec<u8> {
    resp_array_with_count(items.len(), items)
}

/// Encodes an array whose announced count may differ from the number of its items.
pub fn resp_array_with_count(count: usize, items: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{count}\r\n").into_bytes();
    for item in items {
        out.extend_from_slice(format!("${}\r\n", item.len()).as_bytes());
        out.extend_from_slice(item);
        out.extend_from_slice(b"\r\n");
    }
    out
}

impl Server {
    pub fn start(index: usize, handler: Handler) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let dead = Arc::new(AtomicBool::new(false));
        let sockets: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (accept_dead, accept_sockets) = (dead.clone(), sockets.clone());
        listener.set_nonblocking(true).unwrap();
        thread::spawn(move || {
            while !accept_dead.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((socket, _)) => {
                        let _ = socket.set_nonblocking(false);
                        let _ = socket.set_nodelay(true);
                        accept_sockets.lock().unwrap().push(socket.try_clone().unwrap());
                        let (handler, dead) = (handler.clone(), accept_dead.clone());
                        thread::spawn(move || serve(index, socket, handler, dead));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Server { address, dead, sockets }
    }

    pub fn kill(&self) {
        self.dead.store(true, Ordering::SeqCst);
        sleep_ms(3);
        for socket in self.sockets.lock().unwrap().drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }
}

fn serve(index: usize, mut socket: TcpStream, handler: Handler, dead: Arc<AtomicBool>) {
    let writer = Arc::new(Mutex::new(socket.try_clone().unwrap()));
    let aborted: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let mut buffer = Vec::new();
    let mut chunk = [0; 65536];
    loop {
        match socket.read(&mut chunk) {
            Ok(0) | Err(_) => return,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
        while let Some((used, items)) = parse_array(&buffer) {
            buffer.drain(..used);
            if dead.load(Ordering::SeqCst) {
                return;
            }
            let text = |at: usize| {
                items.get(at).map_or(String::new(), |item| String::from_utf8_lossy(item).into_owned())
            };
            let (word, id) = (text(0), text(1));
            match word.as_str() {
                "fetch" => {
                    let raw_fields = text(2);
                    let fields = raw_fields
                        .split(',')
                        .filter_map(|field| field.split_once('='))
                        .map(|(name, value)| (name.to_owned(), value.to_owned()))
                        .collect();
                    let fetch = Fetch { id: id.clone(), fields, raw_fields };
                    let reply = handler(index, &fetch);
                    let (writer, dead, aborted) = (writer.clone(), dead.clone(), aborted.clone());
                    let aborts = *aborted.lock().unwrap().get(&id).unwrap_or(&0);
                    thread::spawn(move || {
                        for (delay, bytes) in reply {
                            sleep_ms(delay);
                            let aborts_now = *aborted.lock().unwrap().get(&id).unwrap_or(&0);
                            if dead.load(Ordering::SeqCst) || aborts_now != aborts {
                                return;
                            }
                            let _ = writer.lock().unwrap().write_all(&bytes);
                        }
                    });
                }
                "abort" => *aborted.lock().unwrap().entry(id).or_insert(0) += 1,
                "alive" => {
                    let bytes = resp_array(&[id.as_bytes(), b"alive", b"-", b""]);
                    let _ = writer.lock().unwrap().write_all(&bytes);
                }
                "stats" => {
                    let bytes = resp_array(&[id.as_bytes(), b"status", b"stats=inflight:1;x0:0.5", b""]);
                    let _ = writer.lock().unwrap().write_all(&bytes);
                }
                _ => return,
            }
        }
    }
}

fn parse_array(buffer: &[u8]) -> Option<(usize, Vec<Vec<u8>>)> {
    let line = |from: usize| {
        let length = buffer[from..].windows(2).position(|window| window == b"\r\n")?;
        let text = std::str::from_utf8(&buffer[from + 1..from + length]).ok()?;
        Some((text.parse::<usize>().ok()?, from + length + 2))
    };
    if buffer.is_empty() {
        return None;
    }
    let (count, mut at) = line(0)?;
    let mut items = Vec::new();
    for _ in 0..count {
        if at >= buffer.len() {
            return None;
        }
        let (length, content) = line(at)?;
        if buffer.len() < content + length + 2 {
            return None;
        }
        items.push(buffer[content..content + length].to_vec());
        at = content + length + 2;
    }
    Some((at, items))
}

// ---- The list of servers and the settings of a small deployment ----

pub struct Entry {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub kind: &'static str,
    pub cell: u64,
    pub state: &'static str,
}

impl Entry {
    pub fn json(&self) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"{}\",\"pod_group\":{},\
             \"state\":\"{}\",\"capacity_hint\":6,\"boot_ms\":0}}",
            self.uid, self.address, self.zone, self.kind, self.cell, self.state
        )
    }
}

pub fn list_event(offset: u64, entries: &[Entry]) -> String {
    let targets: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(
        "{{\"offset\":{offset},\"topology\":{{\"rev\":1,\"all\":true,\"targets\":[{}]}}}}",
        targets.join(",")
    )
}

/// The settings: those of the example on the page of the wire, with the figures of varuosa-cache.
/// `effect` holds the keys of the class that say what may be repeated.
pub fn settings(effect: &str) -> String {
    format!(
        r#"{{"categories":[{{"aim-stretch":1.6,"aim-us":600000,"deadline-us":6000000,"late-worth":0.15,"name":"media-parts",{effect},"streaming":false,"worth":1.0}}],
"clients":{{"marks-retry":false}},"customers":[],"discovery":"push","family":"edge",
"family-info":{{"attached-to":[0,1,0,1],"can-join":true,"good-for-us":[0],"in-pieces":[true],"may-pass-by":true,"mid-kind":1,"neighbours":"location","never-kept":[false],"note-level":"all","old-copy-worth":[0.7],"one-flow-kb-per-s":4000.0,"origin-fall-multiple":0.0,"parent-cold-from":0.07,"purge-slack-us":1000000,"purge-takes-us":6000000,"root-fall-us":3000000,"seats-by-zone":[0,0,2,1],"source-kind":2,"transit-price":0.06,"upper-cold-us":18000000,"upper-fall-multiple":2.0,"usable-after-us":[0],"zone-link-kb-per-s":[0.0,0.0,0.0,0.0]}},
"fees":{{"connection":0.0,"cross-zone":0.01,"discovery":0.0,"handshake":0.0,"late-fail":0.08,"moves":0.0,"origin":0.08,"peer":0.0,"probe":0.01,"waste":0.08}},
"goal":{{"whole":0.7,"worst-class":0.0,"worst-tenant":0.0,"worst-window":0.3}},
"group-size":3,"kinds":["small","parent","origin"],
"limits":{{"cancel":true,"conn-idle-us":15000000,"connect-timeout-us":400000,"cpu-us-per-request":0.0,"cpu-us-per-s":536655,"max-open":21466,"max-retry-after-us":2000000,"peers":false,"probing":true,"retry-after":false,"second-copies":true,"streams-per-conn":32,"try-limit":8}},
"localities":["north","south","edge-1","edge-2"],"over-share-worth":0.1,"period-us":2000,"rank":0,
"rules":{{"ask-within-us":10000000,"cold-share":0.28,"drain-grace-us":250000,"fall-multiple":2.5,"grace-to-answer-us":8000,"ramp-time-us":17000000,"tip-after-us":2000000}},
"telemetry":{{"fields":["busy_reqs","x0"],"source":"on_probe"}},"tier":0,"tiers":["branch-caches"],"weights":"nominal","worth-by":"request","zone":"edge-1"}}"#
    )
}

pub fn config(listen: SocketAddr, bus: Option<SocketAddr>, known_offset: u64, known: &[String], settings: &str) -> String {
    let bus = bus.map_or(String::new(), |bus| format!("\"bus\":\"{bus}\","));
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"seed\":\"{:x}\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},{bus}\
         \"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,\
         \"known\":{{\"offset\":{known_offset},\"batch\":[{}]}},\"settings\":{settings}}}",
        unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
        known.join(",")
    )
}

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// A request id that no other request of this run has.
pub fn new_request_id() -> String {
    let number = NEXT_REQUEST.fetch_add(1, Ordering::SeqCst);
    let mut random = Random(unix_ms() ^ (u64::from(std::process::id()) << 32));
    format!("{:08x}{:08x}", random.next() as u32, number as u32)
}
