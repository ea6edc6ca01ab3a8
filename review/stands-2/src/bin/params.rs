//! One of the requests that share a connection has a parameter with a byte above 127.

use review_stands_2::bus::{Bus, Form};
use review_stands_2::fcgi::{Answer, Client, Random, Request};
use review_stands_2::json::{Config, Server};
use review_stands_2::proxy::{free_address, Proxy};
use review_stands_2::record::Record;
use review_stands_2::resp::RespServer;
use review_stands_2::site::Site;
use review_stands_2::*;
use std::io::Write;
use std::time::Duration;

/// The place of the request with the special parameter. Only the requests before it are judged.
const SPECIAL: u64 = 4;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::open();
    let cache = || {
        RespServer::start(|fetch, reply| {
            sleep_ms(300);
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
    let mut random = Random(unix_us());
    let Ok(mut client) = Client::connect(&address) else {
        return COULD_NOT_RUN;
    };
    let mut open = Vec::new();
    for index in 0..8 {
        let request = Request {
            id: random.id(),
            class: "media-parts".into(),
            object: random.id(),
            part: index,
            group: 3,
            budget_ms: 3000,
            size_kb: 400.0,
        };
        let number = client.number();
        let special = index == SPECIAL;
        let referer: &[u8] = match (special, trouble()) {
            (true, true) => b"http://varuosad.example/p\xf5hi/k\xe4igukast",
            (true, false) => b"http://varuosad.example/pohi/kaigukast",
            _ => b"",
        };
        let written = client
            .socket
            .write_all(&request.encode_with(number, referer));
        record.line(format!(
            "request {} ({number}) sent, special {special}: {written:?}",
            request.id
        ));
        open.push((number, request.id, written.is_ok(), index < SPECIAL));
        sleep_ms(20);
    }
    let mut lost = 0;
    for (number, id, written, before) in open {
        let answer = client.wait(number, Duration::from_millis(3600));
        record.line(format!("request {id}: written {written}, {answer:?}"));
        if written && before && matches!(answer, Answer::None(_)) {
            lost += 1;
        }
    }
    record.say(format!(
        "lost requests of those that were sent before the special one: {lost}"
    ));
    if lost > 0 {
        BROKEN
    } else {
        HELD
    }
}
