//! Some good answers of cache servers announce fewer strings than they hold.

#[path = "common.rs"]
mod common;
use common::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const CACHES: usize = 9;
const CLIENTS: usize = 12;
const BODY_BYTES: usize = 20_000;
/// One good answer of this many is spoilt.
const SPOILT_SHARE: u64 = 50;

fn body_of(key: &str, part: &str) -> Vec<u8> {
    let mut body = format!("{key}/{part}:").into_bytes();
    let mut random = Random(part.parse::<u64>().unwrap_or(0) ^ u64::from_str_radix(key, 16).unwrap_or(0) << 8);
    while body.len() < BODY_BYTES {
        body.extend_from_slice(&random.next().to_le_bytes());
    }
    body
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (run, record) = (&arguments[1], Record::create(&arguments[2]));
    let trouble = trouble();
    limit_time(90);
    record.line(format!("trouble: {trouble}; run: {run}"));
    let count = Arc::new(AtomicU64::new(0));
    let spoilt: Arc<Mutex<HashMap<String, String>>> = Arc::default();
    let (handler_count, handler_spoilt, handler_record) = (count.clone(), spoilt.clone(), record.clone());
    let handler: Handler = Arc::new(move |server, fetch| {
        let number = handler_count.fetch_add(1, Ordering::SeqCst) + 1;
        let body = body_of(fetch.field("key"), fetch.field("part"));
        let fields = format!("etag=00000000000000aa,made={},how=local", unix_ms() - 5_000);
        let items: [&[u8]; 4] = [fetch.id.as_bytes(), b"200", fields.as_bytes(), &body];
        let is_spoilt = trouble && number % SPOILT_SHARE == 0;
        let announced = match (is_spoilt, number / SPOILT_SHARE % 2) {
            (false, _) => 4,
            (true, 0) => 2,
            (true, _) => 3,
        };
        if is_spoilt {
            handler_spoilt.lock().unwrap().insert(fetch.id.clone(), format!("*{announced}"));
            handler_record.line(format!(
                "server s{server}: spoils its answer to {}: *{announced} in place of *4, the four strings follow", fetch.id
            ));
        }
        vec![(60, resp_array_with_count(announced, &items))]
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
    let folder = temporary_folder("review-b");
    let listen = free_address();
    let text = config(listen, None, 1, &[list_event(1, &entries)], &settings("\"repeat\":\"pure\""));
    let mut proxy = Proxy::start(run, &folder, listen, &text);
    if !proxy.wait_until_ready() {
        record.say("the proxy did not become ready");
        proxy.end(&record, &["ERROR"]);
        std::process::exit(COULD_NOT_RUN);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let wrong = Arc::new(AtomicU64::new(0));
    let served = Arc::new(AtomicU64::new(0));
    let not_served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, record, wrong, served, not_served) =
                (stop.clone(), record.clone(), wrong.clone(), served.clone(), not_served.clone());
            thread::spawn(move || {
                let mut random = Random(number as u64 + 1);
                sleep_ms(random.below(100));
                let mut client = None;
                while !stop.load(Ordering::SeqCst) {
                    if client.is_none() {
                        client = Client::connect(listen);
                    }
                    let Some(connection) = client.as_mut() else {
                        sleep_ms(20);
                        continue;
                    };
                    let id = new_request_id();
                    let key = format!("{:016x}", random.below(40) + 1);
                    let piece = random.below(12).to_string();
                    let params = [
                        ("SCRIPT_NAME", "/invoke/media-parts"), ("HTTP_REQUEST_ID", id.as_str()),
                        ("HTTP_BUDGET_MS", "3000"), ("HTTP_RESOURCE_KEY", key.as_str()),
                        ("HTTP_X_PIECE", piece.as_str()), ("HTTP_X_LOT", "3"), ("HTTP_FOOTPRINT_KB", "240"),
                    ];
                    let answer = connection.send_params(&params, 0, 3_500);
                    record.line(format!("client {number}: {id} key {key} part {piece}: {}", answer.describe()));
                    match &answer {
                        Answer::Complete { body, .. } if answer.is_served() => {
                            served.fetch_add(1, Ordering::SeqCst);
                            if *body != body_of(&key, &piece) {
                                wrong.fetch_add(1, Ordering::SeqCst);
                                record.line(format!(
                                    "BROKEN: {id} is answered 'served' with {} bytes; every pop cache made {} bytes for it",
                                    body.len(), body_of(&key, &piece).len()
                                ));
                            }
                        }
                        Answer::Complete { .. } => {
                            not_served.fetch_add(1, Ordering::SeqCst);
                        }
                        _ => client = None,
                    }
                    sleep_ms(40);
                }
            })
        })
        .collect();
    sleep_ms(10_000);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    proxy.end(&record, &["ERROR", "invariant", "protocol error"]);
    let load = |number: &AtomicU64| number.load(Ordering::SeqCst);
    record.say(format!(
        "{} answers of servers, {} spoilt; clients: {} served, {} not served; served with bytes that no pop cache made: {}",
        load(&count), spoilt.lock().unwrap().len(), load(&served), load(&not_served), load(&wrong)
    ));
    if load(&served) < 200 {
        record.say("too few requests were served for a verdict");
        std::process::exit(COULD_NOT_RUN);
    }
    std::process::exit(if load(&wrong) > 0 { BROKEN } else { HELD });
}
