//! Many bad clients send much at once and go. The platform kills a proxy that goes over its memory.

use review_stands_2::bus::{Bus, Form};
use review_stands_2::fcgi::{Answer, Client, Random, Request};
use review_stands_2::json::{Config, Server};
use review_stands_2::proxy::{free_address, Proxy};
use review_stands_2::record::Record;
use review_stands_2::resp::RespServer;
use review_stands_2::site::Site;
use review_stands_2::*;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1024;
const CACHES: u64 = 12;
/// The bytes of a part, and the rate of one transfer.
const PART_BYTES: usize = 240_000;
const FLOW_BYTES_PER_S: usize = 310_000;
const ORDINARY_CLIENTS: u64 = 8;
const BAD_CLIENTS: u64 = 300;
/// What a bad client sends at once before it goes: requests, each with a body.
const BAD_REQUESTS: u16 = 8;
const BAD_BODY_BYTES: usize = 47_000;
const BAD_STAY_MS: u64 = 300;
const RUN_MS: f64 = 15_000.0;

fn request(random: &mut Random, part: u64) -> Request {
    Request {
        id: random.id(),
        class: "media-parts".into(),
        object: random.id(),
        part,
        group: 1,
        budget_ms: 6000,
        size_kb: 1600.0,
    }
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::open();
    let part: Arc<Vec<u8>> = Arc::new((0..PART_BYTES).map(|i| (i % 251) as u8).collect());
    let cache = || {
        let part = part.clone();
        RespServer::start(move |_, reply| {
            let fields = format!("etag=4be0c1927d55a6f3,made={},how=local", unix_ms() - 500);
            reply.answer_paced("200", &fields, &part, FLOW_BYTES_PER_S);
        })
    };
    let caches: Vec<RespServer> = (0..CACHES).map(|_| cache()).collect();
    let (hubs, origin) = ([cache(), cache()], cache());
    let mut servers: Vec<Server> = caches
        .iter()
        .enumerate()
        .map(|(i, c)| {
            Server::ready(
                &format!("s-000000{i:02}"),
                &c.address,
                "edge-1",
                "small",
                7.0,
            )
        })
        .collect();
    for (i, hub) in hubs.iter().enumerate() {
        let zone = ["north", "south"][i];
        servers.push(Server::ready(
            &format!("s-000000a{i}"),
            &hub.address,
            zone,
            "parent",
            20.0,
        ));
    }
    servers.push(Server::ready(
        "s-0000000f",
        &origin.address,
        "north",
        "origin",
        20.0,
    ));
    let bus = Bus::start(Form::PLAIN, record.clone());
    let address = free_address();
    let config = Config {
        name: "n1",
        listen: &address,
        seed: unix_us(),
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        bus: Some(bus.address.clone()),
        servers: &servers,
        settings: Site::varuosa(1).settings(),
    };
    let mut proxy = match Proxy::start(&config) {
        Ok(proxy) => proxy,
        Err(error) => {
            record.say(format!("could not run: {error}"));
            return COULD_NOT_RUN;
        }
    };
    let stop = Arc::new(AtomicBool::new(false));
    // Requests of ordinary clients: answered, without an answer.
    let ordinary: Arc<[AtomicU64; 2]> = Arc::default();
    let mut threads = Vec::new();
    for index in 0..ORDINARY_CLIENTS {
        let (address, stop, record) = (address.clone(), stop.clone(), record.clone());
        let ordinary = ordinary.clone();
        threads.push(std::thread::spawn(move || {
            let mut random = Random(unix_us() + index * 7919);
            while !stop.load(Ordering::SeqCst) {
                let Ok(mut client) = Client::connect(&address) else {
                    sleep_ms(50);
                    continue;
                };
                for part in 0..12 {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    if client.is_ended() {
                        break;
                    }
                    let request = request(&mut random, part);
                    match client.ask(&request) {
                        Answer::None(why) => {
                            ordinary[1].fetch_add(1, Ordering::SeqCst);
                            record.line(format!("ordinary request {}: {why}", request.id));
                            break;
                        }
                        _ => ordinary[0].fetch_add(1, Ordering::SeqCst),
                    };
                    sleep_ms(300 + random.below(600));
                }
            }
        }));
    }
    sleep_ms(2000);
    record.line(format!(
        "before the bad clients: {} KB",
        proxy.memory_kb("RssAnon")
    ));
    let bad_connections = Arc::new(AtomicU64::new(0));
    for index in 0..if trouble() { BAD_CLIENTS } else { 0 } {
        let (address, stop, count) = (address.clone(), stop.clone(), bad_connections.clone());
        threads.push(std::thread::spawn(move || {
            let mut random = Random(unix_us() + index * 31_337);
            let body = vec![7; BAD_BODY_BYTES];
            while !stop.load(Ordering::SeqCst) {
                let Ok(mut client) = Client::connect(&address) else {
                    sleep_ms(50);
                    continue;
                };
                count.fetch_add(1, Ordering::SeqCst);
                let mut bytes = Vec::new();
                for number in 1..=BAD_REQUESTS {
                    let request = request(&mut random, u64::from(number));
                    bytes.extend(request.encode_with_body(number, &body));
                }
                let _ = client.socket.write_all(&bytes);
                // It reads what comes, and goes.
                let _ = client.wait(u16::MAX, Duration::from_millis(BAD_STAY_MS));
            }
        }));
    }
    let limit_kb = MEMORY_MB * 1024;
    let (mut peak, mut next_line, mut killed) = (0, 0.0, false);
    while record.now_ms() < RUN_MS {
        let used = proxy.memory_kb("RssAnon");
        peak = peak.max(used);
        if record.now_ms() > next_line {
            next_line = record.now_ms() + 250.0;
            let bad = bad_connections.load(Ordering::SeqCst);
            record.line(format!(
                "memory {used} KB; {bad} connections of bad clients so far"
            ));
        }
        if used > limit_kb {
            killed = true;
            record.line(format!(
                "memory {used} KB, over {limit_kb} KB: the platform kills the proxy"
            ));
            proxy.signal("KILL");
            break;
        }
        if let Some(status) = proxy.ended() {
            record.say(format!("the proxy ended by itself: {status}"));
            killed = true;
            break;
        }
        sleep_ms(20);
    }
    sleep_ms(200);
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    record.say(format!(
        "peak {peak} KB of {limit_kb} KB; killed: {killed}; ordinary requests: {} answered, {} without an answer",
        ordinary[0].load(Ordering::SeqCst),
        ordinary[1].load(Ordering::SeqCst)
    ));
    if killed {
        BROKEN
    } else {
        HELD
    }
}
