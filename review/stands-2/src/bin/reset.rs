//! Clients that hold idle connections fill the descriptors of a proxy, while an ordinary client still
//! receives an answer at the pace of its link and asks for the next part on the same connection.

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

const SOCKETS: u64 = 256;
/// Ordinary clients; they hold far less than a third of the descriptors.
const ORDINARY: u64 = 8;
const ROUNDS: u64 = 5;
/// Clients of the crowd, each of which opens 6 to 8 connections a second.
const CROWD: u64 = 80;
/// The bytes of a part, and what the link of an ordinary client carries.
const PART_BYTES: usize = 240_000;
const LINK_BYTES_PER_S: usize = 310_000;
/// When an ordinary client asks for the next part, counted from its request for the one before.
const NEXT_PART_AFTER_MS: u64 = 350;

/// A request for a part. Parts from 1 on are large.
fn request(random: &mut Random, part: u64) -> Request {
    Request {
        id: random.id(),
        class: "media-parts".into(),
        object: format!("{:016x}", random.below(50) + 1),
        part,
        group: 3,
        budget_ms: 6000,
        size_kb: if part == 0 { 50.0 } else { 1600.0 },
    }
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::open();
    let large: Arc<Vec<u8>> = Arc::new((0..PART_BYTES).map(|i| (i % 251) as u8).collect());
    let cache = || {
        let large = large.clone();
        RespServer::start(move |fetch, reply| {
            sleep_ms(20);
            let fields = format!("etag=4be0c1927d55a6f3,made={},how=local", unix_ms() - 500);
            let small = b"a small part".as_slice();
            let body = if fetch.number("part") == Some(0) {
                small
            } else {
                &large
            };
            reply.answer("200", &fields, body);
        })
    };
    let caches = [cache(), cache(), cache()];
    let origin = cache();
    let mut servers: Vec<Server> = caches
        .iter()
        .enumerate()
        .map(|(i, c)| Server::ready(&format!("s-0000000{i}"), &c.address, "edge-1", "small", 7.0))
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
        sockets: SOCKETS,
        bus: Some(bus.address.clone()),
        servers: &servers,
        settings: Site::varuosa(1).settings(),
    };
    let proxy = match Proxy::start(&config) {
        Ok(proxy) => proxy,
        Err(error) => {
            record.say(format!("could not run: {error}"));
            return COULD_NOT_RUN;
        }
    };
    let stop = Arc::new(AtomicBool::new(false));
    let crowd_answered = Arc::new(AtomicU64::new(0));
    let mut threads = Vec::new();
    if trouble() {
        // Clients that ask once and then hold their connection for good. Together they open about 600
        // connections a second.
        for index in 0..CROWD {
            let (address, stop) = (proxy.address.clone(), stop.clone());
            let answered = crowd_answered.clone();
            threads.push(std::thread::spawn(move || {
                let mut random = Random(unix_us() + index);
                let mut held = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    if let Ok(mut client) = Client::connect(&address) {
                        if client.ask(&request(&mut random, 0)).is_final() {
                            answered.fetch_add(1, Ordering::SeqCst);
                        }
                        held.push(client);
                        if held.len() > 10 {
                            held.remove(0);
                        }
                    }
                    sleep_ms(100);
                }
            }));
        }
        sleep_ms(4000);
    }
    // Large parts: served whole, lost.
    let counts: Arc<[AtomicU64; 2]> = Arc::default();
    let ordinary: Vec<_> = (0..ORDINARY)
        .map(|index| {
            let (address, record, counts) = (proxy.address.clone(), record.clone(), counts.clone());
            std::thread::spawn(move || {
                let mut random = Random(unix_us() + index * 7919);
                for round in 0..ROUNDS {
                    let name = format!("client {index}.{round}");
                    one_round(&address, &record, &mut random, &name, &counts);
                    sleep_ms(200);
                }
            })
        })
        .collect();
    for thread in ordinary {
        let _ = thread.join();
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let (served, lost) = (
        counts[0].load(Ordering::SeqCst),
        counts[1].load(Ordering::SeqCst),
    );
    record.say(format!(
        "crowd: {} answered; large parts of ordinary clients: {served} served whole, {lost} lost",
        crowd_answered.load(Ordering::SeqCst)
    ));
    if lost > 0 {
        BROKEN
    } else {
        HELD
    }
}

/// A client asks for a small part, then for a large one, and while that one still arrives for the next.
/// Only the large part is judged: the request for the next one may have crossed a close.
fn one_round(
    address: &str,
    record: &Record,
    random: &mut Random,
    name: &str,
    counts: &[AtomicU64; 2],
) {
    let Ok(mut client) = Client::connect(address) else {
        return;
    };
    let first = client.ask(&request(random, 0));
    if !first.is_final() || client.is_ended() {
        record.line(format!(
            "{name}: the first request: {first:?} (a new connection)"
        ));
        return;
    }
    let (large, next) = (request(random, 1), request(random, 2));
    let (number, next_number) = (client.number(), client.number());
    if client.socket.write_all(&large.encode(number)).is_err() {
        return;
    }
    record.line(format!("{name}: {} sent, for a large part", large.id));
    let before = client.wait_at_pace(
        number,
        Duration::from_millis(NEXT_PART_AFTER_MS),
        LINK_BYTES_PER_S,
    );
    if before.is_final() {
        record.line(format!(
            "{name}: {} answered before the next was asked",
            large.id
        ));
        return;
    }
    let written = client.socket.write_all(&next.encode(next_number));
    record.line(format!(
        "{name}: {} sent, for the next part: {written:?}",
        next.id
    ));
    let time = Duration::from_millis(large.budget_ms);
    match client.wait_at_pace(number, time, LINK_BYTES_PER_S) {
        Answer::Served(body) if body.len() == PART_BYTES => {
            counts[0].fetch_add(1, Ordering::SeqCst);
        }
        Answer::Served(body) => {
            record.line(format!("{name}: {}: served {} bytes", large.id, body.len()));
            counts[1].fetch_add(1, Ordering::SeqCst);
        }
        Answer::None(why) => {
            record.line(format!("{name}: {}: no whole answer: {why}", large.id));
            counts[1].fetch_add(1, Ordering::SeqCst);
        }
        answer => record.line(format!("{name}: {}: {answer:?}", large.id)),
    }
}
