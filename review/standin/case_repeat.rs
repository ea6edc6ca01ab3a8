//! A cache server dies under requests of a class whose repeats only servers of one cell recognise.

#[path = "common.rs"]
mod common;
use common::*;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const CACHES: usize = 9;
const CELLS: u64 = 3;
const WINDOW_MS: u64 = 5_000;
const SLACK_MS: u64 = 50;
const CLIENTS: usize = 24;

#[derive(Clone)]
struct Attempt {
    at_ms: u64,
    server: usize,
    once: String,
    ended_ms: Option<u64>,
}

#[derive(Default)]
struct World {
    /// The attempts that arrived whole, by request id, in the order of their arrival.
    attempts: BTreeMap<String, Vec<Attempt>>,
    /// The cells in which a key was run.
    runs: HashMap<String, Vec<u64>>,
    /// Keys that a cell has seen.
    seen: HashSet<(u64, String)>,
    out: [usize; CACHES],
}

fn cell_of(server: usize) -> u64 {
    server as u64 % CELLS
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (run, record) = (&arguments[1], Record::create(&arguments[2]));
    let trouble = trouble();
    limit_time(90);
    record.line(format!("trouble: {trouble}; run: {run}"));
    let world: Arc<Mutex<World>> = Arc::default();
    let handler_world = world.clone();
    let handler_record = record.clone();
    let handler: Handler = Arc::new(move |server, fetch| {
        let (cell, now) = (cell_of(server), handler_record.now_ms());
        let once = fetch.field("once").to_owned();
        let mut world = handler_world.lock().unwrap();
        world.attempts.entry(fetch.id.clone()).or_default().push(Attempt {
            at_ms: now, server, once: once.clone(), ended_ms: None,
        });
        world.out[server] += 1;
        // A cell drops repeats of a key that it has seen.
        let is_new = world.seen.insert((cell, once.clone()));
        if is_new {
            world.runs.entry(once.clone()).or_default().push(cell);
        }
        handler_record.line(format!(
            "server s{server} (cell {cell}): {} {} [{}]",
            if is_new { "runs" } else { "drops the repeat" }, fetch.id, fetch.raw_fields
        ));
        drop(world);
        let body = format!("{}/{}", fetch.field("key"), fetch.field("part")).into_bytes();
        let fields = format!("etag=00000000000000aa,made={},how=local", unix_ms() - 5_000);
        let bytes = resp_array(&[fetch.id.as_bytes(), b"200", fields.as_bytes(), &body]);
        let (world, record, id) = (handler_world.clone(), handler_record.clone(), fetch.id.clone());
        // The part is sent for 400 ms.
        thread::spawn(move || {
            sleep_ms(400);
            let now = record.now_ms();
            let mut world = world.lock().unwrap();
            world.out[server] = world.out[server].saturating_sub(1);
            if let Some(attempts) = world.attempts.get_mut(&id) {
                for attempt in attempts.iter_mut().filter(|attempt| attempt.server == server) {
                    attempt.ended_ms.get_or_insert(now);
                }
            }
        });
        vec![(400, bytes)]
    });
    let servers: Vec<Server> = (0..CACHES).map(|index| Server::start(index, handler.clone())).collect();
    let refuse: Handler = Arc::new(|_, fetch: &Fetch| {
        vec![(5, resp_array(&[fetch.id.as_bytes(), b"404", b"how=not_there", b""]))]
    });
    let others: Vec<Server> = (0..3).map(|index| Server::start(100 + index, refuse.clone())).collect();
    let mut entries: Vec<Entry> = servers
        .iter()
        .enumerate()
        .map(|(index, server)| Entry {
            uid: format!("s-{index:08x}"), address: server.address, zone: "edge-1", kind: "small",
            cell: cell_of(index), state: "ready",
        })
        .collect();
    for (index, (zone, kind)) in [("north", "parent"), ("south", "parent"), ("north", "origin")].into_iter().enumerate() {
        entries.push(Entry {
            uid: format!("s-000001{index:02x}"), address: others[index].address, zone, kind, cell: 50 + index as u64,
            state: "ready",
        });
    }
    let effect = format!("\"repeat\":\"token\",\"dedup-scope\":\"cell\",\"window-us\":{}", WINDOW_MS * 1000);
    let folder = temporary_folder("review-a");
    let listen = free_address();
    let text = config(listen, None, 1, &[list_event(1, &entries)], &settings(&effect));
    let mut proxy = Proxy::start(run, &folder, listen, &text);
    if !proxy.wait_until_ready() {
        record.say("the proxy did not become ready");
        proxy.end(&record, &["ERROR"]);
        std::process::exit(COULD_NOT_RUN);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<BTreeMap<String, String>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, record, answers) = (stop.clone(), record.clone(), answers.clone());
            thread::spawn(move || {
                let mut random = Random(number as u64 + 1);
                sleep_ms(random.below(480));
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
                    let once = format!("{:016x}{:016x}", random.next(), random.next());
                    let params = [
                        ("SCRIPT_NAME", "/invoke/media-parts"), ("HTTP_REQUEST_ID", id.as_str()),
                        ("HTTP_BUDGET_MS", "6000"), ("HTTP_RESOURCE_KEY", key.as_str()),
                        ("HTTP_X_PIECE", piece.as_str()), ("HTTP_X_LOT", "3"),
                        ("HTTP_FOOTPRINT_KB", "1600"), ("HTTP_ONCE_KEY", once.as_str()),
                    ];
                    record.line(format!("client {number}: sends {id}, key {key} part {piece}, once {once}"));
                    let answer = connection.send_params(&params, 0, 6_500);
                    record.line(format!("client {number}: answer to {id}: {}", answer.describe()));
                    answers.lock().unwrap().insert(id, answer.describe());
                    if !matches!(answer, Answer::Complete { .. }) {
                        client = None;
                    }
                    sleep_ms(80);
                }
            })
        })
        .collect();
    sleep_ms(3_000);
    let mut died = None;
    if trouble {
        // One cache server of nine dies while requests are out at it.
        for _ in 0..3_000 {
            let out = world.lock().unwrap().out;
            if let Some(victim) = (0..CACHES).find(|index| out[*index] >= 3) {
                servers[victim].kill();
                record.line(format!("server s{victim} (cell {}) dies, {} requests are out", cell_of(victim), out[victim]));
                died = Some(victim);
                break;
            }
            sleep_ms(1);
        }
        if died.is_none() {
            record.say("no server had three requests out");
            proxy.end(&record, &[]);
            std::process::exit(COULD_NOT_RUN);
        }
    }
    sleep_ms(3_000);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    proxy.end(&record, &["ERROR", "WARN", "invariant"]);
    let world = world.lock().unwrap();
    let mut broken = 0;
    for (id, attempts) in &world.attempts {
        for (index, later) in attempts.iter().enumerate() {
            for earlier in &attempts[..index] {
                let may_have_run = Some(earlier.server) == died || earlier.ended_ms.is_none_or(|at| at > later.at_ms);
                let other_cell = cell_of(earlier.server) != cell_of(later.server);
                let too_late = later.at_ms > earlier.at_ms + WINDOW_MS + SLACK_MS;
                if may_have_run && (other_cell || too_late) {
                    broken += 1;
                    record.line(format!(
                        "BROKEN: request {id} (once {}) may have run at s{} (cell {}), was sent again to s{} (cell {})",
                        later.once, earlier.server, cell_of(earlier.server), later.server, cell_of(later.server)
                    ));
                }
            }
        }
    }
    let twice = world.runs.values().filter(|cells| cells.len() > 1).count();
    let served = answers.lock().unwrap().values().filter(|answer| answer.starts_with("status 200")).count();
    record.say(format!(
        "{} requests, {served} served; sent again outside the cell or the window: {broken}; keys run in two cells: {twice}",
        world.attempts.len()
    ));
    if served < 50 {
        record.say("too few requests were served for a verdict");
        std::process::exit(COULD_NOT_RUN);
    }
    std::process::exit(if broken > 0 || twice > 0 { BROKEN } else { HELD });
}
