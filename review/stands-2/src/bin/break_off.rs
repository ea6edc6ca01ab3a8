//! The event bus tells that a pop cache drains, and breaks off in the middle of the next event. With
//! `TROUBLE=0` it tells both events.

use review_stands_2::bus::{Bus, Form};
use review_stands_2::fcgi::{Client, Random, Request};
use review_stands_2::json::{list_event, purge_event, Config, Server};
use review_stands_2::proxy::{free_address, Proxy};
use review_stands_2::record::Record;
use review_stands_2::resp::RespServer;
use review_stands_2::site::Site;
use review_stands_2::*;
use std::sync::{Arc, Mutex};

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::open();
    let form = Form {
        chunked: std::env::var("FRAMING").as_deref() != Ok("close"),
        ..Form::PLAIN
    };
    // (server, when, what names it) for each fetch that goes to a server or names it as a source.
    let uses: Arc<Mutex<Vec<(String, f64, String)>>> = Arc::default();
    let cache = |uid: &'static str| {
        let (uses, record) = (uses.clone(), record.clone());
        RespServer::start(move |fetch, reply| {
            let now = record.now_ms();
            uses.lock()
                .unwrap()
                .push((uid.into(), now, format!("fetch {}", fetch.id)));
            if !fetch.field("src").is_empty() {
                let source = fetch.field("src").to_owned();
                uses.lock()
                    .unwrap()
                    .push((source, now, format!("source of {}", fetch.id)));
            }
            sleep_ms(20);
            let fields = format!("etag=4be0c1927d55a6f3,made={},how=local", unix_ms() - 500);
            reply.answer(
                "200",
                &fields,
                format!("part of {}", fetch.field("key")).as_bytes(),
            );
        })
    };
    let names = ["s-00000001", "s-00000002", "s-00000003"];
    let caches = names.map(cache);
    let origin = cache("s-0000000f");
    let mut servers: Vec<Server> = names
        .iter()
        .zip(&caches)
        .map(|(uid, c)| Server::ready(uid, &c.address, "edge-1", "small", 5.0))
        .collect();
    servers.push(Server::ready(
        "s-0000000f",
        &origin.address,
        "north",
        "origin",
        20.0,
    ));
    let bus = Bus::start(form, record.clone());
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
    let mut told_at = 0.0;
    for index in 0..200 {
        if index == 60 {
            told_at = record.now_ms();
            let drain = |number| list_event(number, false, &[servers[0].with_state("draining")]);
            let purge = |number| purge_event(number, "00000000000000aa", unix_ms());
            bus.tell_two(drain, purge, trouble());
            record.line(format!("told: {} drains", servers[0].uid));
        }
        let request = Request {
            id: random.id(),
            class: "media-parts".into(),
            object: random.id(),
            part: index,
            group: 3,
            budget_ms: 3000,
            size_kb: 400.0,
        };
        let answer = client.ask(&request);
        record.line(format!("request {}: {answer:?}", request.id));
        sleep_ms(20);
    }
    // What the bus would have told counts as told 2 s after the break, or as soon as it is asked again.
    if trouble() {
        let now = record.now_ms();
        let ms = |since: std::time::Duration| now - since.as_secs_f64() * 1000.0;
        let (Some(broke_off), asked_again) = bus.since_break() else {
            record.say("could not run: the bus did not break off");
            return COULD_NOT_RUN;
        };
        told_at = asked_again.map_or(f64::MAX, ms).min(ms(broke_off) + 2000.0);
        record.line(format!(
            "broke off at {:.0} ms; counts as told at {told_at:.0} ms",
            ms(broke_off)
        ));
    }
    let limit = told_at + 250.0 + 50.0;
    let late: Vec<String> = uses
        .lock()
        .unwrap()
        .iter()
        .filter(|(server, at, _)| *server == servers[0].uid && *at > limit)
        .map(|(server, at, what)| {
            format!("{server}: {what} {:.0} ms after it was told", at - told_at)
        })
        .collect();
    for line in &late {
        record.line(line);
    }
    record.say(format!(
        "uses of the draining pop cache after 300 ms: {}",
        late.len()
    ));
    if late.is_empty() {
        HELD
    } else {
        BROKEN
    }
}
