//! The memory of the proxy's process under clients that send messages which never end, and under
//! loads that are made to exhaust it.

use edge_proxy::protocol::fastcgi::{self, record_type, NULL_REQUEST_ID};
use edge_testkit::fake_cache::{Behavior, FakeCacheServer};
use edge_testkit::fake_event_bus::{cache_entry, endpoint_state, origin_entry, FakeEventBus};
use edge_testkit::fastcgi_client::FastCgiClient;
use edge_testkit::memory_load::{self, Machine, MIXES};
use edge_testkit::proxy_fixture::{fetch_object, health_status, REQUEST_BUDGET_MS};
use edge_testkit::proxy_process::ProxyProcess;
use edge_testkit::sample_deployment::{object_key, sample_settings, READ_CLASS};
use serde_json::{json, Value};
use std::path::Path;
use std::time::Duration;

/// The least memory of a machine that the platform names.
const MEMORY_MB: u64 = 32;
const KIB_PER_MB: u64 = 1024;
const SOCKETS: u64 = 1_024;
/// Clients hold no more than a third of the sockets.
const CLIENTS: usize = 340;
/// Size of the largest object.
const OBJECT_BYTES: usize = 240_000;
/// Length that an unfinished record announces: the longest that its header can hold.
const LONGEST_RECORD_BYTES: usize = fastcgi::MAX_CONTENT_BYTES;
/// Lengths of parameters and of a body that are just within the limits of one request.
const LONG_PARAMS_BYTES: usize = 16 * 1024;
const LONG_BODY_BYTES: usize = 48_000;
/// Id of the request to which unfinished records belong.
const REQUEST_ID: u16 = 2;
const UNKNOWN_RECORD_TYPE: u8 = 77;

/// The record with which a client's unfinished message ends, without its last byte.
#[derive(Clone, Copy, Debug)]
struct UnfinishedRecord {
    record_type: u8,
    request_id: u16,
    announced_bytes: usize,
    /// Whether a request with complete parameters precedes the record, so that it is its body.
    follows_parameters: bool,
}

const UNFINISHED_RECORDS: [UnfinishedRecord; 8] = [
    unfinished(record_type::PARAMS, REQUEST_ID, LONGEST_RECORD_BYTES),
    unfinished(record_type::PARAMS, REQUEST_ID, LONG_PARAMS_BYTES),
    unfinished_body(LONGEST_RECORD_BYTES),
    unfinished_body(LONG_BODY_BYTES),
    unfinished(record_type::DATA, REQUEST_ID, LONGEST_RECORD_BYTES),
    unfinished(UNKNOWN_RECORD_TYPE, REQUEST_ID, LONGEST_RECORD_BYTES),
    unfinished(
        record_type::GET_VALUES,
        NULL_REQUEST_ID,
        LONGEST_RECORD_BYTES,
    ),
    unfinished(UNKNOWN_RECORD_TYPE, NULL_REQUEST_ID, LONGEST_RECORD_BYTES),
];

const fn unfinished(record_type: u8, request_id: u16, announced_bytes: usize) -> UnfinishedRecord {
    UnfinishedRecord {
        record_type,
        request_id,
        announced_bytes,
        follows_parameters: false,
    }
}

const fn unfinished_body(announced_bytes: usize) -> UnfinishedRecord {
    UnfinishedRecord {
        follows_parameters: true,
        ..unfinished(record_type::STDIN, REQUEST_ID, announced_bytes)
    }
}

impl UnfinishedRecord {
    /// Returns the beginning of a request and the record without its last byte.
    fn encode(self) -> Vec<u8> {
        let mut message = FastCgiClient::encode_begin_request(REQUEST_ID, fastcgi::KEEP_CONN);
        if self.follows_parameters {
            fastcgi::write_record(&mut message, record_type::PARAMS, REQUEST_ID, &[]);
        }
        let content = vec![b'a'; self.announced_bytes];
        fastcgi::write_record(&mut message, self.record_type, self.request_id, &content);
        message.pop();
        message
    }
}

/// A proxy process with the least memory, and the servers around it.
struct Deployment {
    proxy: ProxyProcess,
    /// A cache server and the origin.
    servers: [FakeCacheServer; 2],
    _event_bus: FakeEventBus,
}

impl Deployment {
    fn start() -> Self {
        let cache = FakeCacheServer::start("s-0a").unwrap();
        cache.set_behavior(Behavior::padded(OBJECT_BYTES));
        let origin = FakeCacheServer::start("s-0f").unwrap();
        let event_bus = FakeEventBus::start().unwrap();
        let endpoints = [
            cache_entry(&cache, endpoint_state::READY),
            origin_entry(&origin, endpoint_state::READY),
        ];
        let config = config(&event_bus, &endpoints);
        let program = Path::new(env!("CARGO_BIN_EXE_edge-proxy"));
        Deployment {
            proxy: ProxyProcess::start(program, &config, None).unwrap(),
            servers: [cache, origin],
            _event_bus: event_bus,
        }
    }

    fn connect(&self) -> FastCgiClient {
        FastCgiClient::connect(self.proxy.fastcgi_address).unwrap()
    }

    #[track_caller]
    fn assert_within_memory_limit(&self, description: &str) {
        let memory_kib = self.proxy.own_memory_kib().unwrap();
        assert!(
            memory_kib <= MEMORY_MB * KIB_PER_MB,
            "{description}: the process holds {memory_kib} KiB, and the platform kills it above \
             {MEMORY_MB} MB"
        );
    }
}

fn config(event_bus: &FakeEventBus, endpoints: &[Value]) -> Value {
    json!({
        "listen": "127.0.0.1:0",
        "seed": "1f",
        "bus": event_bus.address.to_string(),
        "known": {"offset": 0, "batch": [
            {"offset": 0, "topology": {"rev": 1, "all": true, "targets": endpoints}},
        ]},
        "limits": {"memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "settings": sample_settings(),
    })
}

/// Guards against a process that is killed for its memory: every client receives a large object and
/// then holds its connection with a record that never ends.
#[test]
fn clients_with_records_that_never_end_do_not_exceed_the_memory_limit() {
    for record in UNFINISHED_RECORDS {
        let deployment = Deployment::start();
        let message = record.encode();
        let mut clients = Vec::new();
        for number in 0..CLIENTS {
            let mut client = deployment.connect();
            let object = object_key(number as u64 % 40);
            let response = fetch_object(&mut client, READ_CLASS, &object);
            assert_eq!(response.status, 200);
            assert!(response.body.len() > OBJECT_BYTES);
            // The proxy may refuse the message and close the connection before all of it is sent.
            let _ = client.send(&message);
            deployment.assert_within_memory_limit(&format!("{record:?}, client {number}"));
            clients.push(client);
        }
        // By the time of this answer, the proxy has read what arrived before.
        assert_eq!(health_status(&mut deployment.connect()), 200);
        deployment.assert_within_memory_limit(&format!("{record:?}, all clients"));
        let response = fetch_object(&mut deployment.connect(), READ_CLASS, &object_key(1));
        assert_eq!(response.status, 200);
        drop(clients);
    }
}

/// Guards against a process that is killed for its memory: the clients send their unfinished
/// records while large answers to their requests are on the way.
#[test]
fn records_that_never_end_behind_pending_requests_do_not_exceed_the_memory_limit() {
    for record in UNFINISHED_RECORDS {
        let deployment = Deployment::start();
        let message = record.encode();
        let mut clients: Vec<FastCgiClient> = (0..CLIENTS).map(|_| deployment.connect()).collect();
        for (number, client) in clients.iter_mut().enumerate() {
            let object = object_key(number as u64 % 40);
            client
                .request_object(1, READ_CLASS, &object, REQUEST_BUDGET_MS)
                .unwrap();
            let _ = client.send(&message);
        }
        for client in &mut clients {
            // Some requests are rejected, because their answers would take too much memory at once.
            // The connection is closed after the answer if the message was refused.
            let _ = client.next_response();
            deployment.assert_within_memory_limit(&format!("{record:?}"));
        }
    }
}

/// Guards against timers that accumulate while clients take back their requests: every cancellation
/// used to set a timer for each connection to its server, and every flush further ones.
#[test]
fn requests_that_are_taken_back_leave_no_more_than_one_timer_for_each_connection() {
    const CLIENTS: usize = 4;
    const REQUESTS_PER_CLIENT: u64 = 200;
    const TIMERS_PER_CONNECTION: usize = 2;
    let mut deployment = Deployment::start();
    let cache = &deployment.servers[0];
    cache.set_behavior(Behavior::unresponsive());
    for client_number in 0..CLIENTS as u64 {
        let mut client = deployment.connect();
        for number in 0..REQUESTS_PER_CLIENT {
            let object = object_key(client_number * REQUESTS_PER_CLIENT + number);
            client
                .request_object(1, READ_CLASS, &object, REQUEST_BUDGET_MS)
                .unwrap();
            cache.wait_for_request_of(&object).unwrap();
            client.abort(1).unwrap();
            assert!(client.next_response().unwrap().1.is_none());
        }
    }

    deployment.proxy.terminate().unwrap();
    let figures = deployment.proxy.wait_for_log_line("event loop: ").unwrap();
    let numbers: Vec<usize> = figures
        .split_whitespace()
        .filter_map(|word| word.parse().ok())
        .collect();
    let [connections, timers] = numbers[..] else {
        panic!("unexpected figures: {figures}");
    };
    // Each request also has a timer for its deadline, which is removed when it is due.
    let request_timers = CLIENTS * REQUESTS_PER_CLIENT as usize;
    let expected = request_timers + TIMERS_PER_CONNECTION * (connections + CLIENTS);
    assert!(
        timers <= expected,
        "{figures}, expected at most {expected} timers"
    );
    deployment.proxy.wait().unwrap();
}

/// Guards against a process that is killed for its memory: clients send much at once and go, stay or
/// read nothing, and everything that is held for them at the same time adds up.
#[test]
fn loads_of_many_kinds_do_not_exceed_the_memory_limit() {
    const DURATION: Duration = Duration::from_millis(1_500);
    let program = Path::new(env!("CARGO_BIN_EXE_edge-proxy"));
    let machine = Machine {
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
    };
    for mix in &MIXES {
        let report = memory_load::play(program, mix, machine, DURATION).unwrap();
        assert!(
            report.peak_kib <= MEMORY_MB * KIB_PER_MB,
            "{}: the process held {} KiB, and the platform kills it above {MEMORY_MB} MB",
            mix.name,
            report.peak_kib
        );
        assert_eq!(
            report.ordinary.unanswered, 0,
            "{}: requests of ordinary clients got no answer",
            mix.name
        );
    }
}
