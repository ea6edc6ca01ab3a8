//! The request table alone: requests, attempts and final answers without any wire.

use edge_proxy::limits::Limits;
use edge_proxy::net::SlabKey;
use edge_proxy::request_table::{
    server_id, AdmissionError, Answer, AttemptId, AttemptResult, ClientRequest, Command, Content,
    ListedServer, RequestCounters, RequestKey, RequestTable, RequestTimer, ResponseTarget,
};
use edge_routing::{Endpoint, EndpointListMode, EndpointState, Outcome};
use edge_testkit::sample_settings;
use serde_json::Value;
use std::sync::atomic::{AtomicU64, Ordering};

const NOW: u64 = 1_000_000_000;
/// How long a client waits that `read_request` speaks for.
const CLIENT_BUDGET_US: u64 = 1_000_000;

fn listed_server(uid: &str, zone: &str, kind: &str, state: EndpointState) -> ListedServer {
    ListedServer {
        endpoint: Endpoint {
            id: server_id(uid),
            zone: zone.to_owned(),
            cell: 0,
            kind: kind.to_owned(),
            weight: 8.0,
            state,
            started_at: None,
        },
        wire_id: uid.to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
    }
}

fn cache_server(uid: &str, state: EndpointState) -> ListedServer {
    listed_server(uid, "here", "cache", state)
}

/// A table with the cache servers `a` and `b` and the origin `o`, all ready.
fn new_table(limits: &Limits) -> RequestTable {
    new_table_with_settings(&sample_settings(), limits)
}

fn new_table_with_settings(settings: &Value, limits: &Limits) -> RequestTable {
    let settings = edge_settings::from_json(settings).unwrap();
    let mut request_table = RequestTable::new(settings, 1, limits).unwrap();
    let servers = vec![
        cache_server("a", EndpointState::Ready),
        cache_server("b", EndpointState::Ready),
        listed_server("o", "hub", "origin", EndpointState::Ready),
    ];
    request_table.update_endpoints(NOW, EndpointListMode::Snapshot, servers);
    request_table.take_commands();
    request_table
}

fn limits() -> Limits {
    Limits::for_machine(1024, 192)
}

fn response_target(stream: u32) -> ResponseTarget {
    ResponseTarget {
        connection: SlabKey::from_u64(1),
        stream,
    }
}

/// A request under an id of its own, with a body of so many bytes.
fn request_with_body(body_bytes: usize) -> ClientRequest {
    static NEXT_ID: AtomicU64 = AtomicU64::new(1);
    ClientRequest {
        id: format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed)),
        class: "photo".into(),
        object: "00000000000000a1".into(),
        size_kb: 40.0,
        remaining_us: CLIENT_BUDGET_US,
        body: vec![0; body_bytes],
        ..ClientRequest::default()
    }
}

fn read_request() -> ClientRequest {
    request_with_body(0)
}

/// Admits a request for the client of this stream, now.
fn admit(
    request_table: &mut RequestTable,
    stream: u32,
    request: ClientRequest,
) -> Result<RequestKey, AdmissionError> {
    request_table.admit(NOW, response_target(stream), request)
}

/// Admits a request and returns its key and its first attempt.
fn admit_and_start(request_table: &mut RequestTable) -> (RequestKey, AttemptId) {
    let request_key = admit(request_table, 1, read_request()).unwrap();
    let attempt = started_attempt(&request_table.take_commands()).unwrap();
    (request_key, attempt)
}

/// Admits a request and returns its first attempt, and its deadline timer with the time for which
/// it is set.
fn admit_until_deadline(request_table: &mut RequestTable) -> (AttemptId, u64, RequestTimer) {
    admit(request_table, 1, read_request()).unwrap();
    let commands = request_table.take_commands();
    let attempt = started_attempt(&commands).unwrap();
    let timer = commands.iter().find_map(|command| match command {
        Command::SetTimer(at, timer @ RequestTimer::Deadline(_)) => Some((*at, *timer)),
        _ => None,
    });
    let (at, timer) = timer.unwrap();
    (attempt, at, timer)
}

/// An object was purged at a time; the table hears of it 20 us after `NOW`.
fn purge_object(request_table: &mut RequestTable, object: &str, at: u64) {
    // A purge of another object that is heard of as it is made: the clock is not behind the stamps.
    request_table.handle_purge_event(NOW + 20, Some("other".to_owned()), 0, NOW + 20);
    request_table.handle_purge_event(NOW + 20, Some(object.to_owned()), 0, at);
}

fn started_attempt(commands: &[Command]) -> Option<AttemptId> {
    commands.iter().find_map(|command| match command {
        Command::SendAttempt(attempt) => Some(*attempt),
        _ => None,
    })
}

fn is_cancelled(commands: &[Command], attempt: AttemptId) -> bool {
    commands
        .iter()
        .any(|command| matches!(command, Command::CancelAttempt(id, _) if *id == attempt))
}

fn latest_timer(commands: &[Command]) -> Option<u64> {
    let times = commands.iter().filter_map(|command| match command {
        Command::SetTimer(at, _) => Some(*at),
        _ => None,
    });
    times.max()
}

fn answers(commands: &[Command]) -> Vec<Answer> {
    let answers = commands.iter().filter_map(|command| match command {
        Command::Respond(_, answer) => Some(answer.clone()),
        _ => None,
    });
    answers.collect()
}

fn served() -> AttemptResult {
    AttemptResult {
        content: Some(Content::Object {
            bytes: b"x".to_vec(),
            tag: None,
        }),
        ..Outcome::Ok.into()
    }
}

#[test]
fn nothing_after_the_final_answer_gives_a_second_one() {
    let mut request_table = new_table(&limits());
    let (request_key, attempt) = admit_and_start(&mut request_table);
    assert_eq!(attempt.request_key, request_key);
    request_table.attempt_ended(NOW + 10, attempt, served());
    assert_eq!(answers(&request_table.take_commands()).len(), 1);

    request_table.attempt_ended(NOW + 11, attempt, served());
    request_table.timer_fired(NOW + 2_000_000, RequestTimer::Deadline(request_key));
    assert_eq!(request_table.take_commands(), []);
    assert!(request_table.is_idle());
}

#[test]
fn the_deadline_leaves_the_answer_its_lead() {
    let mut request_table = new_table(&limits());
    let (_, at, _) = admit_until_deadline(&mut request_table);
    assert_eq!(at, NOW + CLIENT_BUDGET_US - limits().answer_lead_us);
}

#[test]
fn at_the_deadline_the_attempt_is_cancelled_and_the_request_rejected() {
    let mut request_table = new_table(&limits());
    let (attempt, at, timer) = admit_until_deadline(&mut request_table);

    request_table.timer_fired(at, timer);
    let commands = request_table.take_commands();
    assert!(
        commands.contains(&Command::CancelAttempt(attempt, server_id("a")))
            || commands.contains(&Command::CancelAttempt(attempt, server_id("b")))
    );
    assert!(matches!(
        answers(&commands)[..],
        [Answer::Rejected {
            retry_after_us: Some(_)
        }]
    ));
}

#[test]
fn a_result_after_the_deadline_gives_no_answer() {
    let mut request_table = new_table(&limits());
    let (attempt, at, timer) = admit_until_deadline(&mut request_table);
    request_table.timer_fired(at, timer);
    assert_eq!(answers(&request_table.take_commands()).len(), 1);

    request_table.attempt_ended(at + 1, attempt, served());
    assert_eq!(answers(&request_table.take_commands()), []);
}

#[test]
fn a_retry_starts_only_after_the_attempt_before_has_ended() {
    let mut request_table = new_table(&limits());
    let (_, first) = admit_and_start(&mut request_table);
    // The router's timer fires until it takes the attempt for stalled and cancels it.
    let mut now = NOW;
    let mut cancelled = false;
    while !cancelled && now < NOW + 900_000 {
        now += 50_000;
        request_table.timer_fired(now, RequestTimer::Router(0));
        let commands = request_table.take_commands();
        assert_eq!(
            started_attempt(&commands),
            None,
            "two attempts would be in flight at once"
        );
        cancelled = is_cancelled(&commands, first);
    }
    assert!(cancelled);

    request_table.attempt_ended(now, first, Outcome::Cancelled.into());
    let commands = request_table.take_commands();
    let second = started_attempt(&commands).expect("a retry");
    assert_eq!(answers(&commands), []);
    assert_eq!(second.number, 1);

    request_table.attempt_ended(now, second, served());
    assert_eq!(answers(&request_table.take_commands()).len(), 1);
}

#[test]
fn an_answer_that_crosses_its_cancellation_is_still_served() {
    let mut request_table = new_table(&limits());
    let (_, attempt) = admit_and_start(&mut request_table);
    for tick in 1..18 {
        request_table.timer_fired(NOW + 50_000 * tick, RequestTimer::Router(0));
    }
    assert!(is_cancelled(&request_table.take_commands(), attempt));

    request_table.attempt_ended(NOW + 900_000, attempt, served());
    assert!(matches!(
        answers(&request_table.take_commands())[..],
        [Answer::Served(_)]
    ));
    assert!(request_table.is_idle());
}

#[test]
fn the_attempt_of_a_disconnected_client_is_cancelled() {
    let mut request_table = new_table(&limits());
    let (request_key, attempt) = admit_and_start(&mut request_table);
    request_table.client_disconnected(NOW, request_key);
    assert!(is_cancelled(&request_table.take_commands(), attempt));
}

#[test]
fn a_disconnected_client_gets_no_answer_and_its_slot_is_free_after_its_attempt() {
    let mut request_table = new_table(&limits());
    let (request_key, attempt) = admit_and_start(&mut request_table);
    request_table.client_disconnected(NOW, request_key);
    assert!(!request_table.is_idle());

    request_table.attempt_ended(NOW, attempt, Outcome::Cancelled.into());
    assert_eq!(answers(&request_table.take_commands()), []);
    assert!(request_table.is_idle());
}

#[test]
fn without_cancellation_an_abandoned_attempt_is_dequeued_but_stays_in_flight() {
    let mut settings = sample_settings();
    settings["limits"]["cancel"] = false.into();
    let mut request_table = new_table_with_settings(&settings, &limits());
    let (request_key, attempt) = admit_and_start(&mut request_table);
    let (_, spec) = request_table.attempt_spec(attempt).unwrap();
    let server = spec.server;
    request_table.client_disconnected(NOW, request_key);
    assert_eq!(
        request_table.take_commands(),
        [Command::DequeueAttempt(attempt, server)]
    );
    assert!(request_table.attempt_spec(attempt).is_some());
}

#[test]
fn bodies_beyond_the_limit_are_not_admitted_until_there_is_room() {
    let mut request_table = new_table(&Limits {
        total_body_bytes: 100,
        ..limits()
    });
    let first = admit(&mut request_table, 1, request_with_body(60)).unwrap();
    assert_eq!(
        admit(&mut request_table, 2, request_with_body(60)),
        Err(AdmissionError::BodyBytesExhausted)
    );

    let attempt = started_attempt(&request_table.take_commands()).unwrap();
    assert_eq!(attempt.request_key, first);
    request_table.attempt_ended(NOW, attempt, served());
    assert!(admit(&mut request_table, 2, request_with_body(60)).is_ok());
}

#[test]
fn a_full_table_admits_no_request_until_there_is_room() {
    let mut request_table = new_table(&Limits {
        open_requests: 2,
        ..limits()
    });
    let first = admit(&mut request_table, 1, read_request()).unwrap();
    admit(&mut request_table, 2, read_request()).unwrap();
    assert_eq!(
        admit(&mut request_table, 3, read_request()),
        Err(AdmissionError::TableFull)
    );

    let attempt = started_attempt(&request_table.take_commands()).unwrap();
    assert_eq!(attempt.request_key, first);
    request_table.attempt_ended(NOW, attempt, served());
    assert!(admit(&mut request_table, 3, read_request()).is_ok());
}

#[test]
fn an_id_is_not_admitted_twice_while_its_request_is_pending() {
    let mut request_table = new_table(&limits());
    let first = read_request();
    let same_id = ClientRequest {
        object: "00000000000000b2".into(),
        ..first.clone()
    };
    admit(&mut request_table, 1, first).unwrap();
    let attempt = started_attempt(&request_table.take_commands()).unwrap();
    assert_eq!(
        admit(&mut request_table, 2, same_id.clone()),
        Err(AdmissionError::DuplicateId),
        "a cache server would take the two for one"
    );

    request_table.attempt_ended(NOW, attempt, served());
    assert!(admit(&mut request_table, 2, same_id).is_ok());
}

#[test]
fn a_class_with_idempotency_keys_admits_no_request_without_one() {
    let mut request_table = new_table(&limits());
    let without_key = ClientRequest {
        class: "post".into(),
        ..read_request()
    };
    assert_eq!(
        admit(&mut request_table, 1, without_key.clone()),
        Err(AdmissionError::MissingIdempotencyKey)
    );
    let with_key = ClientRequest {
        idempotency_key: Some("5c".into()),
        ..without_key
    };
    assert!(admit(&mut request_table, 1, with_key).is_ok());
}

#[test]
fn a_draining_server_is_withdrawn_before_anything_else() {
    let mut request_table = new_table(&limits());
    let draining = vec![cache_server("a", EndpointState::Draining)];
    request_table.update_endpoints(NOW, EndpointListMode::Delta, draining);
    assert_eq!(
        request_table.take_commands().first(),
        Some(&Command::DrainServer(server_id("a")))
    );
}

#[test]
fn a_server_missing_from_a_snapshot_is_withdrawn_and_forgotten() {
    let mut request_table = new_table(&limits());
    let without_b = vec![cache_server("a", EndpointState::Draining)];
    request_table.update_endpoints(NOW, EndpointListMode::Snapshot, without_b);
    assert!(request_table
        .take_commands()
        .contains(&Command::DrainServer(server_id("b"))));
    assert_eq!(
        request_table.server_address(server_id("b")),
        None,
        "new servers come under new ids all day long"
    );
}

#[test]
fn a_draining_server_takes_no_new_work_and_keeps_its_address() {
    let mut request_table = new_table(&limits());
    let only_draining = vec![cache_server("a", EndpointState::Draining)];
    for mode in [EndpointListMode::Delta, EndpointListMode::Snapshot] {
        request_table.update_endpoints(NOW, mode, only_draining.clone());
    }
    assert!(!request_table.has_ready_server());
    assert!(!request_table.is_server_ready(server_id("a")));
    assert!(
        request_table.server_address(server_id("a")).is_some(),
        "it finishes what it has"
    );
}

#[test]
fn a_request_rejected_at_once_leaves_no_timer_beyond_the_sweep_interval() {
    let mut request_table = new_table(&limits());
    let unknown_class = ClientRequest {
        class: "no-such-class".into(),
        remaining_us: 120_000_000,
        ..read_request()
    };
    admit(&mut request_table, 1, unknown_class).unwrap();
    let commands = request_table.take_commands();
    assert_eq!(answers(&commands).len(), 1, "rejected at once");
    assert!(request_table.is_idle());
    assert!(
        latest_timer(&commands).is_none_or(|at| at <= NOW + limits().deadline_sweep_us),
        "those of a flood of requests would add up"
    );
}

#[test]
fn a_pending_request_is_swept_until_its_deadline() {
    let mut request_table = new_table(&limits());
    let two_minutes = ClientRequest {
        remaining_us: 120_000_000,
        ..read_request()
    };
    let request_key = admit(&mut request_table, 1, two_minutes).unwrap();
    let mut now = NOW;
    let mut sweeps = 0;
    while answers(&request_table.take_commands()).is_empty() {
        now += limits().deadline_sweep_us;
        request_table.timer_fired(now, RequestTimer::Deadline(request_key));
        sweeps += 1;
    }
    assert_eq!(sweeps, 120, "its deadline");
}

#[test]
fn a_purge_bounds_the_age_of_copies_for_attempts_in_flight() {
    let mut request_table = new_table(&limits());
    let (_, attempt) = admit_and_start(&mut request_table);
    purge_object(&mut request_table, "00000000000000a1", NOW + 13);
    let (_, spec) = request_table.attempt_spec(attempt).unwrap();
    assert_eq!(spec.max_age_us, Some(7));
}

#[test]
fn before_anything_tells_of_the_time_a_purge_counts_from_when_it_is_heard_of() {
    let mut request_table = new_table(&limits());
    let (_, attempt) = admit_and_start(&mut request_table);
    request_table.handle_purge_event(NOW + 20, Some("00000000000000a1".to_owned()), 0, NOW + 13);
    let (_, spec) = request_table.attempt_spec(attempt).unwrap();
    assert_eq!(
        spec.max_age_us,
        Some(1),
        "the clock may be ahead of the stamp"
    );
}

#[test]
fn the_newest_of_several_purges_counts_in_whatever_order_they_come() {
    for purged_at in [[NOW + 5, NOW + 13], [NOW + 13, NOW + 5]] {
        let mut request_table = new_table(&limits());
        let (_, attempt) = admit_and_start(&mut request_table);
        for at in purged_at {
            purge_object(&mut request_table, "00000000000000a1", at);
        }
        let (_, spec) = request_table.attempt_spec(attempt).unwrap();
        assert_eq!(spec.max_age_us, Some(7));
    }
}

#[test]
fn a_purge_of_another_object_leaves_attempts_as_they_are() {
    let mut request_table = new_table(&limits());
    let (_, attempt) = admit_and_start(&mut request_table);
    let before = *request_table.attempt_spec(attempt).unwrap().1;
    purge_object(&mut request_table, "00000000000000b2", NOW + 13);
    assert_eq!(*request_table.attempt_spec(attempt).unwrap().1, before);
}

#[test]
fn every_admitted_request_is_counted_under_one_ending() {
    let mut request_table = new_table(&limits());
    let (_, attempt) = admit_and_start(&mut request_table);
    request_table.attempt_ended(NOW, attempt, served());
    let (request_key, _) = admit_and_start(&mut request_table);
    request_table.client_disconnected(NOW, request_key);
    admit_and_start(&mut request_table);
    request_table.fail_all_pending(NOW);
    let unknown_class = ClientRequest {
        class: "no-such-class".into(),
        ..read_request()
    };
    admit(&mut request_table, 1, unknown_class).unwrap();

    let expected = RequestCounters {
        admitted: 4,
        attempts: 3,
        served: 1,
        rejected: 1,
        failed: 1,
        disconnected: 1,
    };
    assert_eq!(request_table.counters, expected);
}
