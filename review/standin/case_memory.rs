//! Clients that ask one time and then send a message that never ends, and a platform that kills
//! a proxy over its memory limit.

#[path = "common.rs"]
mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 48;
const SOCKETS: usize = 1_024;
const CACHES: usize = 9;
/// The size of the largest object that the pages allow.
const LARGE_BYTES: usize = 240_000;
const USUAL_BYTES: usize = 20_000;
/// All clients together stay under a third of the descriptors, which is 341.
const HOLDERS: usize = 320;
const USUAL_CLIENTS: usize = 12;
const LARGE_OBJECTS: u64 = 40;
/// A part of 240,000 bytes counts as 412.5 KB, and one of 20,000 bytes in proportion.
const LARGE_KB: &str = "412.5";
const USUAL_KB: &str = "34.4";

/// What the platform counts: the memory of its own that the process holds. Files and the kernel's
/// buffers for its sockets would come on top.
fn own_memory_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// A client that asks one time, reads the whole answer and holds its connection. With the
/// disruption, it also sends the beginning of a message that never ends: a PARAMS record that is
/// said to have 65,535 bytes, without its last byte.
fn hold(address: SocketAddr, number: usize, unfinished: bool, asked: &AtomicU64) -> Option<TcpStream> {
    let socket = TcpStream::connect_timeout(&address, Duration::from_secs(3)).ok()?;
    let _ = socket.set_nodelay(true);
    let id = new_request_id();
    let key = format!("{:016x}", 1_000 + number as u64 % LARGE_OBJECTS);
    let params = [
        ("SCRIPT_NAME", "/invoke/media-parts"), ("HTTP_REQUEST_ID", id.as_str()), ("HTTP_BUDGET_MS", "6000"),
        ("HTTP_RESOURCE_KEY", key.as_str()), ("HTTP_X_PIECE", "1"), ("HTTP_X_LOT", "3"),
        ("HTTP_FOOTPRINT_KB", LARGE_KB),
    ];
    let mut out = request_records(&params, 1);
    if unfinished {
        out.extend_from_slice(&[1, 1, 0, 2, 0, 8, 0, 0, 0, 1, 1, 0, 0, 0, 0, 0]);
        out.extend_from_slice(&[1, 4, 0, 2, 0xff, 0xff, 0, 0]);
        out.resize(out.len() + 65_534, b'a');
    }
    let _ = socket.set_read_timeout(Some(Duration::from_secs(7)));
    // It writes while it reads, through one descriptor.
    let read = thread::scope(|scope| {
        scope.spawn(|| (&socket).write_all(&out));
        let (mut read, mut chunk) = (0, vec![0; 65_536]);
        while read < LARGE_BYTES {
            match (&socket).read(&mut chunk) {
                Ok(0) | Err(_) => break,
                Ok(count) => read += count,
            }
        }
        read
    });
    if read >= LARGE_BYTES {
        asked.fetch_add(1, Ordering::SeqCst);
    }
    Some(socket)
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (run, record) = (&arguments[1], Record::create(&arguments[2]));
    let trouble = trouble();
    limit_time(90);
    record.line(format!("trouble: {trouble}; run: {run}"));
    let handler: Handler = Arc::new(move |_, fetch| {
        let key = u64::from_str_radix(fetch.field("key"), 16).unwrap_or(0);
        let body = vec![b'x'; if key >= 1_000 { LARGE_BYTES } else { USUAL_BYTES }];
        let fields = format!("etag=00000000000000aa,made={},how=local", unix_ms() - 5_000);
        vec![(100, resp_array(&[fetch.id.as_bytes(), b"200", fields.as_bytes(), &body]))]
    });
    let servers: Vec<Server> = (0..CACHES + 3).map(|index| Server::start(index, handler.clone())).collect();
    let place = |index: usize| match index {
        9 => ("north", "parent"),
        10 => ("south", "parent"),
        11 => ("north", "origin"),
        _ => ("edge-1", "small"),
    };
    let entries: Vec<Entry> = servers
        .iter()
        .enumerate()
        .map(|(index, server)| Entry {
            uid: format!("s-{index:08x}"), address: server.address, zone: place(index).0, kind: place(index).1,
            cell: index as u64 % 3, state: "ready",
        })
        .collect();
    let folder = temporary_folder("review-memory");
    let listen = free_address();
    let text = config(listen, None, 1, &[list_event(1, &entries)], &settings("\"repeat\":\"pure\""));
    let text = text.replace(
        "\"memory_mb\":192,\"sockets\":1024",
        &format!("\"memory_mb\":{MEMORY_MB},\"sockets\":{SOCKETS}"),
    );
    let mut proxy = Proxy::start(run, &folder, listen, &text);
    if !proxy.wait_until_ready() {
        record.say("the proxy did not become ready");
        proxy.end(&record, &["ERROR"]);
        std::process::exit(COULD_NOT_RUN);
    }
    // The platform: "Over memory_mb the edge proxy is killed."
    let pid = proxy.pid();
    let stop = Arc::new(AtomicBool::new(false));
    let killed = Arc::new(AtomicBool::new(false));
    let peak_kb = Arc::new(AtomicU64::new(0));
    let platform = {
        let (stop, killed, peak_kb, record) = (stop.clone(), killed.clone(), peak_kb.clone(), record.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let Some(kb) = own_memory_kb(pid) else { break };
                peak_kb.fetch_max(kb, Ordering::SeqCst);
                if kb > MEMORY_MB * 1024 {
                    record.line(format!("BROKEN: the edge proxy holds {kb} kB of its own, over {MEMORY_MB} MB; it is killed"));
                    killed.store(true, Ordering::SeqCst);
                    signal(pid, "KILL");
                    break;
                }
                sleep_ms(20);
            }
        })
    };
    let (served, lost) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let (stop, record, served, lost) = (stop.clone(), record.clone(), served.clone(), lost.clone());
            thread::spawn(move || {
                let mut random = Random(number as u64 + 1);
                let mut client = None;
                while !stop.load(Ordering::SeqCst) {
                    if client.is_none() {
                        client = Client::connect(listen);
                    }
                    let Some(connection) = client.as_mut() else {
                        sleep_ms(50);
                        continue;
                    };
                    let id = new_request_id();
                    let key = format!("{:016x}", random.below(40) + 1);
                    let piece = random.below(12).to_string();
                    let params = [
                        ("SCRIPT_NAME", "/invoke/media-parts"), ("HTTP_REQUEST_ID", id.as_str()),
                        ("HTTP_BUDGET_MS", "3000"), ("HTTP_RESOURCE_KEY", key.as_str()),
                        ("HTTP_X_PIECE", piece.as_str()), ("HTTP_X_LOT", "3"), ("HTTP_FOOTPRINT_KB", USUAL_KB),
                    ];
                    let answer = connection.send_params(&params, 0, 3_500);
                    record.line(format!("client {number}: {id}: {}", answer.describe()));
                    match answer {
                        Answer::Complete { .. } if answer.is_served() => served.fetch_add(1, Ordering::SeqCst),
                        Answer::Complete { .. } => 0,
                        _ => {
                            client = None;
                            lost.fetch_add(1, Ordering::SeqCst)
                        }
                    };
                    sleep_ms(40);
                }
            })
        })
        .collect();
    sleep_ms(1_500);
    record.line(format!("{HOLDERS} clients ask one time each{}", if trouble { "; behind it comes a message that never ends" } else { "" }));
    let asked = Arc::new(AtomicU64::new(0));
    let held: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let began = Instant::now();
    let holders: Vec<_> = (0..HOLDERS)
        .map(|number| {
            let (asked, held) = (asked.clone(), held.clone());
            thread::spawn(move || {
                // They come within a second.
                sleep_ms(number as u64 * 3);
                let socket = hold(listen, number, trouble, &asked);
                held.lock().unwrap().extend(socket);
            })
        })
        .collect();
    for holder in holders {
        let _ = holder.join();
    }
    record.line(format!("{} of them were answered within {} ms", asked.load(Ordering::SeqCst), began.elapsed().as_millis()));
    sleep_ms(4_000);
    let ended = proxy.has_ended();
    stop.store(true, Ordering::SeqCst);
    let _ = platform.join();
    for client in clients {
        let _ = client.join();
    }
    proxy.end(&record, &["ERROR", "WARN", "invariant"]);
    let load = |number: &AtomicU64| number.load(Ordering::SeqCst);
    let killed = killed.load(Ordering::SeqCst);
    record.say(format!(
        "{} clients held a connection; memory at most {} kB of {} kB; killed for memory: {killed}; usual clients: {} served, {} left without an answer",
        HOLDERS, load(&peak_kb), MEMORY_MB * 1024, load(&served), load(&lost)
    ));
    if load(&served) < 50 || (ended && !killed) {
        record.say("too few requests were served for a verdict, or the proxy ended for another reason");
        std::process::exit(COULD_NOT_RUN);
    }
    std::process::exit(if killed { BROKEN } else { HELD });
}
