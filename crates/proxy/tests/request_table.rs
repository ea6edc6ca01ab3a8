//! The request table alone: requests, attempts and final answers, without connections or protocols.

use edge_proxy::invariants::Invariant;
use edge_proxy::limits::Limits;
use edge_proxy::memory::MemoryBudget;
use edge_proxy::net::SlabKey;
use edge_proxy::request_table::{
    server_id, AdmissionError, Answer, AnswerTarget, AttemptId, AttemptResult, ClientRequest,
    Command, Content, ListedServer, PurgeTarget, RequestCounters, RequestKey, RequestTable,
    RequestTimer,
};
use edge_routing::{Endpoint, EndpointListMode, EndpointState, Outcome};
use edge_testkit::sample_settings;
use serde_json::Value;
use std::sync::atomic::{AtomicU64, Ordering};

/// Time at which each test starts, in microseconds.
const NOW_US: u64 = 1_000_000_000;
/// How long the client of a test request waits for its answer, unless a test sets another time.
const CLIENT_TIME_LIMIT_US: u64 = 1_000_000;

/// Returns an entry of the endpoint list.
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

/// Returns an endpoint list entry of a cache server in the proxy's own zone.
fn cache_server(uid: &str, state: EndpointState) -> ListedServer {
    listed_server(uid, "here", "cache", state)
}

/// Returns a table with the cache servers `a` and `b` and the origin `o`, all ready.
fn new_table(limits: &Limits) -> RequestTable {
    new_table_with_settings(&sample_settings(), limits)
}

/// Returns the same table as `new_table`, with other settings.
fn new_table_with_settings(settings: &Value, limits: &Limits) -> RequestTable {
    let settings = edge_settings::from_json(settings).unwrap();
    let mut request_table = RequestTable::new(settings, 1, limits).unwrap();
    let servers = vec![
        cache_server("a", EndpointState::Ready),
        cache_server("b", EndpointState::Ready),
        listed_server("o", "hub", "origin", EndpointState::Ready),
    ];
    request_table.update_endpoints(NOW_US, EndpointListMode::Snapshot, servers);
    request_table.take_commands();
    request_table
}

/// Returns the limits of a machine with 1024 file descriptors and 192 MB of memory.
fn limits() -> Limits {
    Limits::for_machine(1024, 192)
}

fn answer_target(stream: u32) -> AnswerTarget {
    AnswerTarget {
        connection: SlabKey::from_u64(1),
        stream,
    }
}

/// Returns a request with a unique id and a body of `body_bytes` bytes.
fn request_with_body(body_bytes: usize) -> ClientRequest {
    static NEXT_ID: AtomicU64 = AtomicU64::new(1);
    ClientRequest {
        id: format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed)),
        class: "photo".into(),
        object: "00000000000000a1".into(),
        size_kb: 40.0,
        remaining_us: CLIENT_TIME_LIMIT_US,
        body: vec![0; body_bytes].into(),
        ..ClientRequest::default()
    }
}

/// Returns a request with a unique id and no body.
fn read_request() -> ClientRequest {
    request_with_body(0)
}

/// Admits a request at `NOW_US`, whose answer goes to the given stream.
fn admit(
    request_table: &mut RequestTable,
    stream: u32,
    request: ClientRequest,
) -> Result<RequestKey, AdmissionError> {
    request_table.admit(NOW_US, answer_target(stream), request)
}

/// Admits a request and returns its key and its first attempt.
fn admit_and_start(request_table: &mut RequestTable) -> (RequestKey, AttemptId) {
    let request_key = admit(request_table, 1, read_request()).unwrap();
    let attempt = started_attempt(&request_table.take_commands()).unwrap();
    (request_key, attempt)
}

/// Admits a request and returns its first attempt, the time of its deadline timer in microseconds,
/// and the timer.
fn admit_with_deadline_timer(request_table: &mut RequestTable) -> (AttemptId, u64, RequestTimer) {
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

/// Notifies the table, 20 us after `NOW_US`, of a purge of an object at the time `at`.
fn purge_object(request_table: &mut RequestTable, object: &str, at: u64) {
    // A purge of another object that arrives at its own timestamp shows that the local clock is not
    // ahead of the timestamps of purges.
    let other = PurgeTarget::Object("other".to_owned());
    request_table.handle_purge_event(NOW_US + 20, other, NOW_US + 20);
    let target = PurgeTarget::Object(object.to_owned());
    request_table.handle_purge_event(NOW_US + 20, target, at);
}

/// Returns the first attempt that the commands send, if there is one.
fn started_attempt(commands: &[Command]) -> Option<AttemptId> {
    commands.iter().find_map(|command| match command {
        Command::SendAttempt(attempt) => Some(*attempt),
        _ => None,
    })
}

/// Returns whether the commands cancel an attempt.
fn is_cancelled(commands: &[Command], attempt: AttemptId) -> bool {
    commands
        .iter()
        .any(|command| matches!(command, Command::CancelAttempt(id, _) if *id == attempt))
}

/// Returns the latest time for which the commands set a timer, in microseconds.
fn latest_timer(commands: &[Command]) -> Option<u64> {
    let times = commands.iter().filter_map(|command| match command {
        Command::SetTimer(at, _) => Some(*at),
        _ => None,
    });
    times.max()
}

/// Returns the final answers among the commands.
fn answers(commands: &[Command]) -> Vec<Answer> {
    let answers = commands.iter().filter_map(|command| match command {
        Command::SendAnswer(_, answer) => Some(answer.clone()),
        _ => None,
    });
    answers.collect()
}

/// Returns the result of an attempt that was answered with an object.
fn served_result() -> AttemptResult {
    AttemptResult {
        content: Some(Content::Object {
            bytes: b"x".to_vec().into(),
            tag: None,
        }),
        ..Outcome::Ok.into()
    }
}

/// The result of an attempt may be reported twice, and a deadline timer may fire after the final
/// answer. Neither may cause a second answer.
#[test]
fn no_event_after_the_final_answer_causes_a_second_one() {
    let mut request_table = new_table(&limits());
    let (request_key, attempt) = admit_and_start(&mut request_table);
    assert_eq!(attempt.request_key, request_key);
    request_table.attempt_ended(NOW_US + 10, attempt, served_result());
    assert_eq!(answers(&request_table.take_commands()).len(), 1);

    request_table.attempt_ended(NOW_US + 11, attempt, served_result());
    request_table.timer_fired(NOW_US + 2_000_000, RequestTimer::Deadline(request_key));
    assert_eq!(request_table.take_commands(), []);
    assert!(request_table.is_idle());
}

/// An answer needs time to reach the client. An answer sent exactly at the client's time limit
/// would arrive too late.
#[test]
fn the_deadline_precedes_the_end_of_the_clients_wait_by_the_answer_lead() {
    let mut request_table = new_table(&limits());
    let (_, at, _) = admit_with_deadline_timer(&mut request_table);
    assert_eq!(at, NOW_US + CLIENT_TIME_LIMIT_US - limits().answer_lead_us);
}

/// At the deadline the client must get an answer with retry advice, and the attempt must not go on
/// using its server.
#[test]
fn at_the_deadline_the_attempt_is_cancelled_and_the_request_rejected() {
    let mut request_table = new_table(&limits());
    let (attempt, at, timer) = admit_with_deadline_timer(&mut request_table);

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

/// The cancellation of an attempt may cross its answer. After the rejection at the deadline, that
/// answer must not be sent as a second one.
#[test]
fn a_result_after_the_deadline_gives_no_answer() {
    let mut request_table = new_table(&limits());
    let (attempt, at, timer) = admit_with_deadline_timer(&mut request_table);
    request_table.timer_fired(at, timer);
    assert_eq!(answers(&request_table.take_commands()).len(), 1);

    request_table.attempt_ended(at + 1, attempt, served_result());
    assert_eq!(answers(&request_table.take_commands()), []);
}

/// A cancelled attempt is in flight until its end is reported. A retry started before would make
/// two servers work on one request at the same time.
#[test]
fn a_retry_starts_only_after_the_attempt_before_has_ended() {
    let mut request_table = new_table(&limits());
    let (_, first) = admit_and_start(&mut request_table);
    // The router's periodic timer, which has tag 0, fires until the router considers the attempt
    // stalled and cancels it.
    let mut now = NOW_US;
    let mut cancelled = false;
    while !cancelled && now < NOW_US + 900_000 {
        now += 50_000;
        request_table.timer_fired(now, RequestTimer::Router(0));
        let commands = request_table.take_commands();
        assert_eq!(
            started_attempt(&commands),
            None,
            "a retry was started while the first attempt was in flight"
        );
        cancelled = is_cancelled(&commands, first);
    }
    assert!(cancelled, "the router never cancelled the stalled attempt");

    request_table.attempt_ended(now, first, Outcome::Cancelled.into());
    let commands = request_table.take_commands();
    let second = started_attempt(&commands)
        .expect("no retry was started after the cancelled attempt had ended");
    assert_eq!(answers(&commands), []);
    assert_eq!(second.number, 1);

    request_table.attempt_ended(now, second, served_result());
    assert_eq!(answers(&request_table.take_commands()).len(), 1);
}

/// A server may answer before the cancellation reaches it. The answer is valid and must not be
/// discarded for a retry.
#[test]
fn an_answer_that_crosses_its_cancellation_is_still_served() {
    let mut request_table = new_table(&limits());
    let (_, attempt) = admit_and_start(&mut request_table);
    // The router's periodic timer, which has tag 0, fires for 850 ms. Within this time the router
    // considers the attempt stalled and cancels it.
    for tick in 1..18 {
        request_table.timer_fired(NOW_US + 50_000 * tick, RequestTimer::Router(0));
    }
    assert!(is_cancelled(&request_table.take_commands(), attempt));

    request_table.attempt_ended(NOW_US + 900_000, attempt, served_result());
    assert!(matches!(
        answers(&request_table.take_commands())[..],
        [Answer::Served(_)]
    ));
    assert!(request_table.is_idle());
}

/// Without the cancellation, a server would go on working for a client that has disconnected.
#[test]
fn the_attempt_of_a_disconnected_client_is_cancelled() {
    let mut request_table = new_table(&limits());
    let (request_key, attempt) = admit_and_start(&mut request_table);
    request_table.client_disconnected(NOW_US, request_key);
    assert!(is_cancelled(&request_table.take_commands(), attempt));
}

/// The slot of a disconnected client's request must stay taken while the attempt is in flight, and
/// must be freed afterwards.
#[test]
fn a_disconnected_client_gets_no_answer_and_its_slot_is_free_after_its_attempt() {
    let mut request_table = new_table(&limits());
    let (request_key, attempt) = admit_and_start(&mut request_table);
    request_table.client_disconnected(NOW_US, request_key);
    assert!(!request_table.is_idle());

    request_table.attempt_ended(NOW_US, attempt, Outcome::Cancelled.into());
    assert_eq!(answers(&request_table.take_commands()), []);
    assert!(request_table.is_idle());
}

/// Without cancellation, an attempt that is already written continues when its client disconnects.
/// Only an attempt of which no byte is written can be removed. The table does not know which of
/// them applies, so it must keep the attempt until its end is reported.
#[test]
fn without_cancellation_an_abandoned_attempt_is_dequeued_but_stays_in_flight() {
    let mut settings = sample_settings();
    settings["limits"]["cancel"] = false.into();
    let mut request_table = new_table_with_settings(&settings, &limits());
    let (request_key, attempt) = admit_and_start(&mut request_table);
    let (_, spec) = request_table.attempt_spec(attempt).unwrap();
    let server = spec.server;
    request_table.client_disconnected(NOW_US, request_key);
    assert_eq!(
        request_table.take_commands(),
        [Command::DequeueAttempt(attempt, server)]
    );
    assert!(request_table.attempt_spec(attempt).is_some());
}

/// The bodies of all pending requests are held in memory. Without a limit on their sum, many large
/// requests would exhaust it. The room must be freed when a request ends.
#[test]
fn bodies_beyond_the_limit_are_not_admitted_until_there_is_room() {
    const BODY_BYTES: usize = 10_000;
    const BUDGET_BYTES: usize = 30_000;
    let mut request_table = new_table(&limits());
    let mut memory = MemoryBudget::new(BUDGET_BYTES);
    let request = || request_with_body(BODY_BYTES);
    let body_bytes = request().body.allocated_bytes();
    assert!(memory.admits_request(body_bytes));
    let first = admit(&mut request_table, 1, request()).unwrap();
    memory.set_requests(
        request_table.pending_requests(),
        request_table.held_body_bytes(),
    );
    assert!(!memory.admits_request(body_bytes));

    let attempt = started_attempt(&request_table.take_commands()).unwrap();
    assert_eq!(attempt.request_key, first);
    request_table.attempt_ended(NOW_US, attempt, served_result());
    memory.set_requests(
        request_table.pending_requests(),
        request_table.held_body_bytes(),
    );
    assert_eq!(memory.held_bytes(), 0);
    assert!(memory.admits_request(body_bytes));
}

/// Guards against memory that nobody needs: a request whose client has left is not sent again, so
/// its body must be freed although its attempt is still in flight.
#[test]
fn the_body_of_a_request_is_freed_when_its_client_leaves() {
    let mut request_table = new_table(&limits());
    let request_key = admit(&mut request_table, 1, request_with_body(10_000)).unwrap();
    assert!(started_attempt(&request_table.take_commands()).is_some());
    assert!(request_table.held_body_bytes() > 0);

    request_table.client_disconnected(NOW_US, request_key);
    assert_eq!(request_table.held_body_bytes(), 0);
    assert_eq!(request_table.pending_requests(), 1);
}

/// The table is bounded. A request beyond the limit must be refused, and a slot must become free
/// when a request ends.
#[test]
fn a_full_table_admits_no_request_until_there_is_room() {
    let mut request_table = new_table(&Limits {
        pending_requests: 2,
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
    request_table.attempt_ended(NOW_US, attempt, served_result());
    assert!(admit(&mut request_table, 3, read_request()).is_ok());
}

/// Two clients may use one request id. Cache servers and the proxy tell requests apart by the id
/// alone.
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
        "an id was admitted twice, but a cache server would treat both requests as one"
    );

    request_table.attempt_ended(NOW_US, attempt, served_result());
    assert!(admit(&mut request_table, 2, same_id).is_ok());
}

/// Without its idempotency key, a retried write could be executed twice at the origin.
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

/// Attempts queued for a draining server must be removed before any other command can send them.
#[test]
fn draining_a_server_is_the_first_command() {
    let mut request_table = new_table(&limits());
    let draining = vec![cache_server("a", EndpointState::Draining)];
    request_table.update_endpoints(NOW_US, EndpointListMode::Delta, draining);
    assert_eq!(
        request_table.take_commands().first(),
        Some(&Command::DrainServer(server_id("a")))
    );
}

/// A snapshot lists all servers. Servers that are missing from it must be forgotten, or the table
/// would grow with every new server id.
#[test]
fn a_server_missing_from_a_snapshot_is_drained_and_forgotten() {
    let mut request_table = new_table(&limits());
    let without_b = vec![cache_server("a", EndpointState::Draining)];
    request_table.update_endpoints(NOW_US, EndpointListMode::Snapshot, without_b);
    assert!(request_table
        .take_commands()
        .contains(&Command::DrainServer(server_id("b"))));
    assert_eq!(
        request_table.server_address(server_id("b")),
        None,
        "a server that is missing from the snapshot is still stored"
    );
}

/// A draining server still finishes the attempts that it has, for which its address is needed, but
/// it must not get new ones.
#[test]
fn a_draining_server_takes_no_new_work_and_keeps_its_address() {
    let mut request_table = new_table(&limits());
    let only_draining = vec![cache_server("a", EndpointState::Draining)];
    for mode in [EndpointListMode::Delta, EndpointListMode::Snapshot] {
        request_table.update_endpoints(NOW_US, mode, only_draining.clone());
    }
    assert!(!request_table.has_ready_server());
    assert!(!request_table.is_server_ready(server_id("a")));
    assert!(
        request_table.server_address(server_id("a")).is_some(),
        "the address of a draining server, which still has to finish its attempts, was forgotten"
    );
}

/// A request that is rejected at once must not leave a timer until its distant deadline. In a flood
/// of such requests these timers would fill the memory.
#[test]
fn a_request_rejected_at_once_leaves_no_timer_beyond_the_deadline_check_interval() {
    let mut request_table = new_table(&limits());
    let unknown_class = ClientRequest {
        class: "no-such-class".into(),
        remaining_us: 120_000_000,
        ..read_request()
    };
    admit(&mut request_table, 1, unknown_class).unwrap();
    let commands = request_table.take_commands();
    assert_eq!(
        answers(&commands).len(),
        1,
        "the request of an unknown class was not answered at once"
    );
    assert!(request_table.is_idle());
    assert!(
        latest_timer(&commands).is_none_or(|at| at <= NOW_US + limits().deadline_check_interval_us),
        "timers of rejected requests would accumulate in a flood of requests"
    );
}

/// The deadline timer fires at short intervals, so that ended requests do not stay in memory until
/// their deadline. A pending request must be kept, and must be rejected only at its deadline.
#[test]
fn a_pending_request_is_checked_until_its_deadline() {
    let mut request_table = new_table(&limits());
    let two_minutes = ClientRequest {
        remaining_us: 120_000_000,
        ..read_request()
    };
    let request_key = admit(&mut request_table, 1, two_minutes).unwrap();
    let mut now = NOW_US;
    let mut check_count = 0;
    while answers(&request_table.take_commands()).is_empty() {
        now += limits().deadline_check_interval_us;
        request_table.timer_fired(now, RequestTimer::Deadline(request_key));
        check_count += 1;
    }
    assert_eq!(
        check_count, 120,
        "the request was not answered at its deadline of 120 s, with a check each second"
    );
}

/// A purge may arrive while an attempt is in flight. The copy in its answer must be younger than
/// the purge.
#[test]
fn a_purge_bounds_the_age_of_copies_for_attempts_in_flight() {
    let mut request_table = new_table(&limits());
    let (_, attempt) = admit_and_start(&mut request_table);
    purge_object(&mut request_table, "00000000000000a1", NOW_US + 13);
    let (_, spec) = request_table.attempt_spec(attempt).unwrap();
    assert_eq!(spec.max_age_us, Some(7));
}

/// The local clock may be wrong when the process starts. If it is ahead, a purge seems older than
/// it is, and copies from before the purge would be accepted. Until the timestamp of another event
/// rules this out, a purge must count from its arrival, which gives the lowest age limit of 1 us.
#[test]
fn until_a_timestamp_confirms_the_clock_a_purge_counts_from_its_arrival() {
    let mut request_table = new_table(&limits());
    let (_, attempt) = admit_and_start(&mut request_table);
    request_table.handle_purge_event(
        NOW_US + 20,
        PurgeTarget::Object("00000000000000a1".to_owned()),
        NOW_US + 13,
    );
    let (_, spec) = request_table.attempt_spec(attempt).unwrap();
    assert_eq!(
        spec.max_age_us,
        Some(1),
        "the age limit relies on a timestamp although the clock may be ahead of it"
    );
}

/// Purges may arrive out of order. An older purge that arrives last must not relax the age limit of
/// a newer one.
#[test]
fn the_newest_of_several_purges_counts_in_any_order_of_arrival() {
    for purged_at in [[NOW_US + 5, NOW_US + 13], [NOW_US + 13, NOW_US + 5]] {
        let mut request_table = new_table(&limits());
        let (_, attempt) = admit_and_start(&mut request_table);
        for at in purged_at {
            purge_object(&mut request_table, "00000000000000a1", at);
        }
        let (_, spec) = request_table.attempt_spec(attempt).unwrap();
        assert_eq!(spec.max_age_us, Some(7));
    }
}

/// A purge must not limit the age of copies of objects that it does not name, which would cause
/// needless fills.
#[test]
fn a_purge_of_another_object_leaves_attempts_as_they_are() {
    let mut request_table = new_table(&limits());
    let (_, attempt) = admit_and_start(&mut request_table);
    let before = *request_table.attempt_spec(attempt).unwrap().1;
    purge_object(&mut request_table, "00000000000000b2", NOW_US + 13);
    assert_eq!(*request_table.attempt_spec(attempt).unwrap().1, before);
}

/// The counters must add up: every admitted request is counted as served, rejected, failed or
/// disconnected, and under one of these only.
#[test]
fn every_admitted_request_is_counted_under_one_ending() {
    let mut request_table = new_table(&limits());
    let (_, attempt) = admit_and_start(&mut request_table);
    request_table.attempt_ended(NOW_US, attempt, served_result());
    let (request_key, _) = admit_and_start(&mut request_table);
    request_table.client_disconnected(NOW_US, request_key);
    admit_and_start(&mut request_table);
    request_table.fail_all_unsettled(NOW_US);
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

/// Returns the sample settings with reads that carry an idempotency key, which only the servers of
/// one cell recognize.
fn settings_with_reads_keyed_by_cell() -> Value {
    let mut settings = sample_settings();
    let reads = &mut settings["categories"][0];
    reads["repeat"] = "token".into();
    reads["dedup-scope"] = "cell".into();
    reads["window-us"] = 3_000_000.into();
    settings
}

/// Guards against a request that is executed twice: while its retry waits to be sent, discovery
/// lists the server of the retry in another cell, which has not seen the idempotency key.
#[test]
fn a_retry_is_not_sent_to_a_server_that_has_moved_to_another_cell() {
    let settings = settings_with_reads_keyed_by_cell();
    let mut request_table = new_table_with_settings(&settings, &limits());
    let request = ClientRequest {
        idempotency_key: Some("1".into()),
        ..read_request()
    };
    admit(&mut request_table, 1, request).unwrap();
    let first = started_attempt(&request_table.take_commands()).unwrap();
    request_table.attempt_ended(NOW_US, first, Outcome::Reset.into());
    let retry = started_attempt(&request_table.take_commands()).unwrap();
    let (_, spec) = request_table.sendable_attempt(NOW_US, retry).unwrap();
    let server = ["a", "b"]
        .into_iter()
        .find(|wire_id| server_id(wire_id) == spec.server);

    let mut moved = cache_server(server.unwrap(), EndpointState::Ready);
    moved.endpoint.cell = 7;
    request_table.update_endpoints(NOW_US, EndpointListMode::Delta, vec![moved]);

    assert!(request_table.sendable_attempt(NOW_US, retry).is_none());
    let violation = Invariant::RepeatWithinDedupScope;
    assert_eq!(request_table.invariants.violations_of(violation), 1);
}
