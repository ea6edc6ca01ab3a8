//! Clients that hold idle connections fill the descriptors of a proxy, while an ordinary client
//! sends a request in two pieces on a connection on which it has been answered before.

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
/// The pause between the two pieces of a request.
const PAUSE_MS: u64 = 300;

fn request(random: &mut Random) -> Request {
    Request {
        id: random.id(),
        class: "media-parts".into(),
        object: format!("{:016x}", random.below(50) + 1),
        part: 0,
        group: 3,
        budget_ms: 3000,
        size_kb: 400.0,
    }
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::open();
    let cache = || {
        RespServer::start(|fetch, reply| {
            sleep_ms(30);
            let fields = format!("etag=4be0c1927d55a6f3,made={},how=local", unix_ms() - 500);
            reply.answer(
                "200",
                &fields,
                format!("part of {}", fetch.field("key")).as_bytes(),
            );
        })
    };
    let caches = [cache(), cache(), cache()];
    let origin = cache();
    let mut servers: Vec<Server> = caches
        .iter()
        .enumerate()
        .map(|(i, c)| Server::ready(&format!("s-0000000{i}"), &c.address, "edge-1", "small", 5.0))
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
    let crowd_shut = Arc::new(AtomicU64::new(0));
    let mut threads = Vec::new();
    if trouble() {
        // Clients that ask once and then hold their connection for good. Together they open about 60
        // connections a second.
        for index in 0..8u64 {
            let (address, stop) = (proxy.address.clone(), stop.clone());
            let (answered, shut) = (crowd_answered.clone(), crowd_shut.clone());
            threads.push(std::thread::spawn(move || {
                let mut random = Random(0xc0ffee + index);
                let mut held = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    if let Ok(mut client) = Client::connect(&address) {
                        match client.ask(&request(&mut random)) {
                            answer if answer.is_final() => answered.fetch_add(1, Ordering::SeqCst),
                            _ => shut.fetch_add(1, Ordering::SeqCst),
                        };
                        held.push(client);
                        if held.len() > 60 {
                            held.remove(0);
                        }
                    }
                    sleep_ms(100);
                }
            }));
        }
        sleep_ms(4000);
    }
    let lost = Arc::new(AtomicU64::new(0));
    let ordinary: Vec<_> = (0..ORDINARY)
        .map(|index| {
            let (address, record, lost) = (proxy.address.clone(), record.clone(), lost.clone());
            std::thread::spawn(move || {
                let mut random = Random(unix_us() + index * 7919);
                for round in 0..6 {
                    one_round(&address, &record, &mut random, index, round, &lost);
                    sleep_ms(300);
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
    let lost = lost.load(Ordering::SeqCst);
    record.say(format!(
        "crowd: {} answered, {} shut; lost requests of ordinary clients: {lost}",
        crowd_answered.load(Ordering::SeqCst),
        crowd_shut.load(Ordering::SeqCst)
    ));
    if lost > 0 {
        BROKEN
    } else {
        HELD
    }
}

fn one_round(
    address: &str,
    record: &Record,
    random: &mut Random,
    index: u64,
    round: u64,
    lost: &AtomicU64,
) {
    let Ok(mut client) = Client::connect(address) else {
        record.line(format!("client {index}.{round}: no connection"));
        return;
    };
    let first = client.ask(&request(random));
    if !first.is_final() {
        record.line(format!(
            "client {index}.{round}: the first request: {first:?} (a new connection)"
        ));
        return;
    }
    sleep_ms(50);
    let second = request(random);
    let number = client.number();
    let bytes = second.encode(number);
    let half = bytes.len() / 2;
    if client.socket.write_all(&bytes[..half]).is_err() {
        record.line(format!(
            "client {index}.{round}: the first piece could not be written"
        ));
        return;
    }
    record.line(format!(
        "client {index}.{round}: {} begun, {half} of {} bytes",
        second.id,
        bytes.len()
    ));
    sleep_ms(PAUSE_MS);
    let written = client.socket.write_all(&bytes[half..]);
    if let Err(error) = &written {
        record.line(format!(
            "client {index}.{round}: the last piece could not be written: {error}"
        ));
        return;
    }
    let answer = client.wait(number, Duration::from_millis(second.budget_ms + 600));
    record.line(format!(
        "client {index}.{round}: {} written whole, then {answer:?}",
        second.id
    ));
    if let Answer::None(_) = answer {
        lost.fetch_add(1, Ordering::SeqCst);
    }
}
