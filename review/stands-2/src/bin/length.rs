//! Some good answers of pop caches arrive spoilt: the length of the body doesn't fit.

use review_stands_2::bus::{Bus, Form};
use review_stands_2::fcgi::{Answer, Client, Random, Request};
use review_stands_2::json::{Config, Server};
use review_stands_2::proxy::{free_address, Proxy};
use review_stands_2::record::Record;
use review_stands_2::resp::RespServer;
use review_stands_2::site::Site;
use review_stands_2::*;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// One good answer of this many is spoilt.
const SPOILT_ONE_IN: u64 = 50;
/// Clients, each with a connection on which it asks for one part after another.
const CLIENTS: u64 = 20;
const REQUESTS_PER_CLIENT: u64 = 200;

/// The bytes of a part of a spec sheet: a table with one figure a line.
fn part_bytes(object: &str, part: u64) -> Vec<u8> {
    let mut random = Random(u64::from_str_radix(object, 16).unwrap_or(0) ^ part);
    let mut text = String::new();
    for _ in 0..200 + random.below(400) {
        text += &format!("{:.1}\r\n", random.unit() * 1000.0);
    }
    text.into_bytes()
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::open();
    let spoilt = Arc::new(AtomicU64::new(0));
    let random = Arc::new(Mutex::new(Random(unix_us())));
    let cache = || {
        let (record, spoilt, random) = (record.clone(), spoilt.clone(), random.clone());
        RespServer::start(move |fetch, reply| {
            sleep_ms(10);
            let body = part_bytes(fetch.field("key"), fetch.number("part").unwrap_or(0));
            let fields = format!("etag=4be0c1927d55a6f3,made={},how=local", unix_ms() - 500);
            let (dice, length) = {
                let mut random = random.lock().unwrap();
                (
                    random.below(SPOILT_ONE_IN),
                    random.below(body.len() as u64) as usize,
                )
            };
            if trouble() && dice == 0 {
                spoilt.fetch_add(1, Ordering::SeqCst);
                record.line(format!(
                    "spoilt: the answer to {} announces {length} bytes, {} follow",
                    fetch.id,
                    body.len()
                ));
                reply.answer_spoilt("200", &fields, &body, length);
            } else {
                reply.answer("200", &fields, &body);
            }
        })
    };
    let caches = [cache(), cache(), cache()];
    let origin = cache();
    let mut servers: Vec<Server> = caches
        .iter()
        .enumerate()
        .map(|(i, c)| Server::ready(&format!("s-0000000{i}"), &c.address, "edge-1", "small", 6.0))
        .collect();
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
        memory_mb: 48,
        sockets: 384,
        bus: Some(bus.address.clone()),
        servers: &servers,
        settings: Site::varuosa(1).settings(),
    };
    let _proxy = match Proxy::start(&config) {
        Ok(proxy) => proxy,
        Err(error) => {
            record.say(format!("could not run: {error}"));
            return COULD_NOT_RUN;
        }
    };
    let counts: Arc<[AtomicU64; 3]> = Arc::default();
    let threads: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (address, record, counts) = (address.clone(), record.clone(), counts.clone());
            std::thread::spawn(move || {
                let mut random = Random(unix_us() + index * 7919);
                let mut client = None;
                for part in 0..REQUESTS_PER_CLIENT {
                    let request = Request {
                        id: random.id(),
                        class: "media-parts".into(),
                        object: format!("{:016x}", random.below(300) + 1),
                        part,
                        group: 3,
                        budget_ms: 3000,
                        size_kb: 60.0,
                    };
                    if client.is_none() {
                        client = Client::connect(&address).ok();
                    }
                    let Some(open) = &mut client else { continue };
                    let answer = open.ask(&request);
                    match &answer {
                        Answer::Served(body) => {
                            let made = part_bytes(&request.object, request.part);
                            counts[0].fetch_add(1, Ordering::SeqCst);
                            if *body != made {
                                counts[1].fetch_add(1, Ordering::SeqCst);
                                record.line(format!(
                                    "request {}: served {} bytes, every pop cache made {}",
                                    request.id,
                                    body.len(),
                                    made.len()
                                ));
                            }
                        }
                        Answer::None(why) => {
                            counts[2].fetch_add(1, Ordering::SeqCst);
                            record.line(format!("request {}: {why}", request.id));
                            client = None;
                        }
                        answer => record.line(format!("request {}: {answer:?}", request.id)),
                    }
                    sleep_ms(90 + random.below(70));
                }
            })
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
    let count = |index: usize| counts[index].load(Ordering::SeqCst);
    record.say(format!(
        "{} served, {} good answers spoilt; served with other bytes than a pop cache made: {}; no answer: {}",
        count(0),
        spoilt.load(Ordering::SeqCst),
        count(1),
        count(2)
    ));
    if count(1) > 0 {
        BROKEN
    } else {
        HELD
    }
}
