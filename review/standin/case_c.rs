//! The event bus breaks off in the middle of an event, behind one that it has told whole.

#[path = "common.rs"]
mod common;
use common::*;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CACHES: usize = 9;
const CLIENTS: usize = 6;
const OBJECT: &str = "7f3a9c21e0b4d655";
const PARTS: u64 = 12;
/// A request that is sent this long after the proxy was told of a purge gets no older copy.
const PURGE_SLACK_MS: u64 = 1_000 + 50;
/// After this long no older copy is left anywhere.
const PURGE_TAKES_MS: u64 = 6_000;
/// What a bus that broke off would have told counts as told no later than this after the break.
const TOLD_AFTER_BREAK_MS: u64 = 2_000;

struct Bus {
    /// The events from number 2 on; the list of servers is number 1 and is known at the start.
    events: Mutex<Vec<String>>,
    breaks: AtomicBool,
    /// When the proxy asked again after the break, and the number that it named, in Unix ms.
    asked_again: Mutex<Option<(u64, u64)>>,
    broke_at: AtomicU64,
}

/// Whether the response is sent in chunks and ends with the last chunk. `FRAMING=close` sends it
/// without chunks, so that only the end of the connection ends it.
fn in_chunks() -> bool {
    std::env::var("FRAMING").map_or(true, |value| value != "close")
}

fn chunk(data: &str) -> String {
    if in_chunks() {
        format!("{:x}\r\n{data}\r\n", data.len())
    } else {
        data.to_owned()
    }
}

fn event(number: u64, data: &str) -> String {
    format!("id: {number}\ndata: {data}\n\n")
}

fn serve_bus(bus: &Bus, mut socket: TcpStream, record: &Record) -> std::io::Result<()> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if socket.read(&mut byte)? == 0 {
            return Ok(());
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let last = head.lines().find_map(|line| line.strip_prefix("last-event-id:"));
    let mut sent: u64 = last.and_then(|value| value.trim().parse().ok()).unwrap_or(0);
    record.line(format!("bus: the proxy asks for the events after number {sent}"));
    if bus.broke_at.load(Ordering::SeqCst) > 0 {
        bus.asked_again.lock().unwrap().get_or_insert((unix_ms(), sent));
    }
    socket.set_nodelay(true)?;
    let coding = if in_chunks() { "Transfer-Encoding: chunked\r\n" } else { "" };
    let head = format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{coding}\r\n");
    socket.write_all(head.as_bytes())?;
    let mut quiet_ms = 1_000;
    loop {
        let events: Vec<String> = bus.events.lock().unwrap().iter().skip(sent as usize - 1).cloned().collect();
        if !events.is_empty() {
            let mut text = String::new();
            if bus.breaks.swap(false, Ordering::SeqCst) {
                // All but the last event are told whole. The last one breaks off in the middle, and
                // the response ends.
                for data in &events[..events.len() - 1] {
                    sent += 1;
                    text += &event(sent, data);
                }
                let half = event(sent + 1, events.last().unwrap());
                text += &half[..half.len() / 2];
                bus.broke_at.store(unix_ms(), Ordering::SeqCst);
                record.line(format!("bus: tells up to number {sent}, breaks off in the middle of number {}", sent + 1));
                let last_chunk = if in_chunks() { "0\r\n\r\n" } else { "" };
                return socket.write_all((chunk(&text) + last_chunk).as_bytes());
            }
            for data in &events {
                sent += 1;
                text += &event(sent, data);
                record.line(format!("bus: tells number {sent}"));
            }
            socket.write_all(chunk(&text).as_bytes())?;
        }
        sleep_ms(5);
        quiet_ms += 5;
        if quiet_ms >= 1_000 {
            quiet_ms = 0;
            socket.write_all(chunk(":\n\n").as_bytes())?;
        }
    }
}

#[derive(Default)]
struct World {
    /// When the origin gave out the copy that a server keeps, in Unix ms, by server, object and part.
    copies: HashMap<(usize, String, String), u64>,
    /// When the object was purged, in Unix ms.
    purged_at: Option<u64>,
}

/// A request that arrived at a server, and the copy that answered it.
#[derive(Clone)]
struct Answered {
    at: u64,
    id: String,
    server: usize,
    made: u64,
    max_age: u64,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (run, record) = (&arguments[1], Record::create(&arguments[2]));
    let trouble = trouble();
    limit_time(90);
    record.line(format!("trouble: {trouble}; run: {run}"));
    let world: Arc<Mutex<World>> = Arc::default();
    let answered: Arc<Mutex<Vec<Answered>>> = Arc::default();
    let (handler_world, handler_answered, handler_record) = (world.clone(), answered.clone(), record.clone());
    // A server gives its own copy if that is young enough for the request; otherwise it fetches a
    // copy that the origin gives out at this moment. It drops a purged copy 5.9 s after the purge.
    let handler: Handler = Arc::new(move |server, fetch| {
        let now = unix_ms();
        let place = (server, fetch.field("key").to_owned(), fetch.field("part").to_owned());
        let mut world = handler_world.lock().unwrap();
        let max_age = fetch.number("maxage");
        let drop_now = world.purged_at.is_some_and(|at| now >= at + PURGE_TAKES_MS - 100);
        let purged_at = world.purged_at.unwrap_or(0);
        let held = world.copies.get(&place).copied()
            .filter(|made| max_age == 0 || now - made <= max_age)
            .filter(|made| !(drop_now && *made < purged_at));
        let (made, how, delay) = match held {
            Some(made) => (made, "local", 40),
            None => (now, "pulled_far", 90),
        };
        world.copies.insert(place, made);
        drop(world);
        handler_answered.lock().unwrap().push(Answered { at: now, id: fetch.id.clone(), server, made, max_age });
        handler_record.line(format!(
            "server s{server}: {} key {} part {} maxage {} -> {how}, made {made}",
            fetch.id, fetch.field("key"), fetch.field("part"), fetch.field("maxage")
        ));
        let body = format!("{}/{}/{made}", fetch.field("key"), fetch.field("part"));
        let fields = format!("etag={made:016x},made={made},how={how}");
        vec![(delay, resp_array(&[fetch.id.as_bytes(), b"200", fields.as_bytes(), body.as_bytes()]))]
    });
    let servers: Vec<Server> = (0..CACHES + 3).map(|index| Server::start(index, handler.clone())).collect();
    let place = |index: usize| match index {
        9 => ("north", "parent"),
        10 => ("south", "parent"),
        11 => ("north", "origin"),
        _ => ("edge-1", "small"),
    };
    let entry = |index: usize, state: &'static str| Entry {
        uid: format!("s-{index:08x}"), address: servers[index].address, zone: place(index).0, kind: place(index).1,
        cell: index as u64 % 3, state,
    };
    let entries: Vec<Entry> = (0..servers.len()).map(|index| entry(index, "ready")).collect();
    let bus = Arc::new(Bus {
        events: Mutex::default(), breaks: AtomicBool::new(false), asked_again: Mutex::default(),
        broke_at: AtomicU64::new(0),
    });
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let bus_address = listener.local_addr().unwrap();
    let (accept_bus, accept_record) = (bus.clone(), record.clone());
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let (bus, record) = (accept_bus.clone(), accept_record.clone());
            thread::spawn(move || {
                let _ = serve_bus(&bus, socket, &record);
                record.line("bus: a connection has ended");
            });
        }
    });
    let folder = temporary_folder("review-c");
    let listen = free_address();
    let text = config(listen, Some(bus_address), 1, &[list_event(1, &entries)], &settings("\"repeat\":\"pure\""));
    let mut proxy = Proxy::start(run, &folder, listen, &text);
    if !proxy.wait_until_ready() {
        record.say("the proxy did not become ready");
        proxy.end(&record, &["ERROR"]);
        std::process::exit(COULD_NOT_RUN);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, record, served) = (stop.clone(), record.clone(), served.clone());
            thread::spawn(move || {
                let mut client = None;
                let mut piece = number as u64;
                while !stop.load(Ordering::SeqCst) {
                    if client.is_none() {
                        client = Client::connect(listen);
                    }
                    let Some(connection) = client.as_mut() else {
                        sleep_ms(20);
                        continue;
                    };
                    let id = new_request_id();
                    piece = (piece + 1) % PARTS;
                    let part = piece.to_string();
                    let params = [
                        ("SCRIPT_NAME", "/invoke/media-parts"), ("HTTP_REQUEST_ID", id.as_str()),
                        ("HTTP_BUDGET_MS", "3000"), ("HTTP_RESOURCE_KEY", OBJECT), ("HTTP_X_PIECE", part.as_str()),
                        ("HTTP_X_LOT", "3"), ("HTTP_FOOTPRINT_KB", "160"),
                    ];
                    let answer = connection.send_params(&params, 0, 3_500);
                    let text = match &answer {
                        Answer::Complete { body, .. } => String::from_utf8_lossy(body).into_owned(),
                        _ => String::new(),
                    };
                    record.line(format!("client {number}: {id} part {part}: {} {text}", answer.describe()));
                    if answer.is_served() {
                        served.fetch_add(1, Ordering::SeqCst);
                    } else if !matches!(answer, Answer::Complete { .. }) {
                        client = None;
                    }
                    sleep_ms(60);
                }
            })
        })
        .collect();
    sleep_ms(3_000);
    // The object is purged, and a cache server begins to drain; both events are published together.
    let purged_at = unix_ms();
    world.lock().unwrap().purged_at = Some(purged_at);
    sleep_ms(120);
    bus.breaks.store(trouble, Ordering::SeqCst);
    let told_at = unix_ms();
    {
        let mut events = bus.events.lock().unwrap();
        events.push(format!("{{\"offset\":2,\"ban\":{{\"url\":\"{OBJECT}\",\"ts\":{purged_at}}}}}"));
        let drains = entry(CACHES - 1, "draining").json();
        events.push(format!("{{\"offset\":3,\"topology\":{{\"rev\":2,\"all\":false,\"targets\":[{drains}]}}}}"));
    }
    record.line(format!("the object is purged, ts {purged_at}; the bus is given events 2 and 3"));
    thread::sleep(Duration::from_millis(PURGE_TAKES_MS + 500));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    proxy.end(&record, &["event bus", "purge", "ERROR", "invariant"]);
    // Without the disruption the proxy is told when the bus has the events; with it, when the proxy
    // asks again and the latest 2 s after the break.
    let broke_at = bus.broke_at.load(Ordering::SeqCst);
    let asked_again = *bus.asked_again.lock().unwrap();
    let told = if trouble {
        if broke_at == 0 {
            record.say("the bus did not break off");
            std::process::exit(COULD_NOT_RUN);
        }
        asked_again.map_or(broke_at + TOLD_AFTER_BREAK_MS, |(at, _)| at.min(broke_at + TOLD_AFTER_BREAK_MS))
    } else {
        told_at
    };
    let answered = answered.lock().unwrap();
    let judged: Vec<&Answered> = answered.iter().filter(|attempt| attempt.at > told + PURGE_SLACK_MS).collect();
    let old: Vec<&&Answered> = judged.iter().filter(|attempt| attempt.made < purged_at).collect();
    for attempt in &old {
        record.line(format!(
            "BROKEN: {} arrived at s{} {} ms after the proxy was told, with maxage {}, and got a copy made {} ms before the purge",
            attempt.id, attempt.server, attempt.at - told, attempt.max_age, purged_at - attempt.made
        ));
    }
    record.say(format!(
        "{} served; told {} ms after the purge, asked again for the events after number {:?}; \
         {} requests sent later than told + {PURGE_SLACK_MS} ms, of them answered from a copy older than the purge: {}",
        served.load(Ordering::SeqCst), told - purged_at, asked_again.map(|(_, number)| number), judged.len(), old.len()
    ));
    if judged.len() < 50 {
        record.say("too few requests were served for a verdict");
        std::process::exit(COULD_NOT_RUN);
    }
    std::process::exit(if old.is_empty() { HELD } else { BROKEN });
}
