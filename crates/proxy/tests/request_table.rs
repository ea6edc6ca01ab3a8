//! The request table alone: requests, attempts and outcomes without any wire.

use edge_proxy::limits::Limits;
use edge_proxy::net::SlabKey;
use edge_proxy::request_table::{
    server_id, AdmissionError, Answer, AttemptId, AttemptResult, ClientRequest, Command, Content,
    ListedServer, RequestTable, RequestTimer, ResponseTarget,
};
use edge_routing::{Endpoint, EndpointListMode, EndpointState, Outcome};
use edge_testkit::sample_settings;
use std::sync::atomic::{AtomicU64, Ordering};

const NOW: u64 = 1_000_000_000;

fn entry(uid: &str, zone: &str, kind: &str, state: EndpointState) -> ListedServer {
    let (zone, kind) = (zone.to_owned(), kind.to_owned());
    let server = Endpoint {
        id: server_id(uid),
        zone,
        cell: 0,
        kind,
        weight: 8.0,
        state,
        started: None,
    };
    ListedServer {
        endpoint: server,
        uid: uid.to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
    }
}

fn new_table(limits: &Limits) -> RequestTable {
    let settings = edge_settings::from_json(&sample_settings()).unwrap();
    let mut request_table = RequestTable::new(settings, 1, limits).unwrap();
    let list = [
        ("a", "here", "box"),
        ("b", "here", "box"),
        ("o", "hub", "origin"),
    ];
    let list = list.map(|(uid, zone, kind)| entry(uid, zone, kind, EndpointState::Ready));
    request_table.update_endpoints(NOW, EndpointListMode::Snapshot, list.to_vec());
    request_table.take_commands();
    request_table
}

fn limits() -> Limits {
    Limits::for_machine(1024, 192)
}

fn client(stream: u32) -> ResponseTarget {
    ResponseTarget {
        connection: SlabKey::from_u64(1),
        stream,
    }
}

fn asked(body: usize) -> ClientRequest {
    let (class, object) = ("photo".to_owned(), "00000000000000a1".to_owned());
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed));
    ClientRequest {
        id,
        class,
        object,
        size_kb: 40.0,
        remaining_us: 1_000_000,
        body: vec![0; body],
        ..ClientRequest::default()
    }
}

fn sent(commands: &[Command]) -> Option<AttemptId> {
    commands.iter().find_map(|c| {
        if let Command::SendAttempt(attempt) = c {
            Some(*attempt)
        } else {
            None
        }
    })
}

fn answers(commands: &[Command]) -> Vec<Answer> {
    let answer = |c: &Command| {
        if let Command::Respond(_, answer) = c {
            Some(answer.clone())
        } else {
            None
        }
    };
    commands.iter().filter_map(answer).collect()
}

fn served() -> AttemptResult {
    let content = Content::Object {
        bytes: b"x".to_vec(),
        tag: None,
    };
    AttemptResult {
        content: Some(content),
        ..Outcome::Ok.into()
    }
}

#[test]
fn a_second_outcome_of_an_attempt_gives_no_second_answer() {
    let mut request_table = new_table(&limits());
    request_table.admit(NOW, client(1), asked(0)).unwrap();
    let attempt = sent(&request_table.take_commands()).unwrap();
    request_table.attempt_ended(NOW + 10, attempt, served());
    assert_eq!(answers(&request_table.take_commands()).len(), 1);
    request_table.attempt_ended(NOW + 11, attempt, served());
    request_table.timer_fired(NOW + 2_000_000, RequestTimer::Deadline(attempt.request_key));
    assert_eq!(
        (request_table.take_commands(), request_table.is_idle()),
        (vec![], true)
    );
}

#[test]
fn at_the_deadline_what_is_out_is_given_up_and_a_late_answer_changes_nothing() {
    let mut request_table = new_table(&limits());
    request_table.admit(NOW, client(1), asked(0)).unwrap();
    let commands = request_table.take_commands();
    let attempt = sent(&commands).unwrap();
    let due = commands.iter().find_map(|c| match c {
        Command::SetTimer(at, wake @ RequestTimer::Deadline(_)) => Some((*at, *wake)),
        _ => None,
    });
    let (at, wake) = due.unwrap();
    assert_eq!(
        at,
        NOW + 1_000_000 - limits().answer_lead_us,
        "the answer has a way to go"
    );
    request_table.timer_fired(at, wake);
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
    request_table.attempt_ended(at + 1, attempt, served());
    assert_eq!(answers(&request_table.take_commands()), []);
}

#[test]
fn a_further_attempt_waits_until_the_one_before_is_over() {
    let mut request_table = new_table(&limits());
    request_table.admit(NOW, client(1), asked(0)).unwrap();
    let first = sent(&request_table.take_commands()).unwrap();
    // Ticks until the module takes the attempt for stuck and calls it off.
    let (mut now, mut given_up) = (NOW, false);
    while !given_up && now < NOW + 900_000 {
        now += 50_000;
        request_table.timer_fired(now, RequestTimer::Router(0));
        let commands = request_table.take_commands();
        assert_eq!(sent(&commands), None, "two attempts would be out at once");
        given_up = commands
            .iter()
            .any(|c| matches!(c, Command::CancelAttempt(a, _) if *a == first));
    }
    assert!(given_up);
    request_table.attempt_ended(now, first, Outcome::Cancelled.into());
    let commands = request_table.take_commands();
    let second = sent(&commands).expect("a further attempt");
    assert_eq!((answers(&commands), second.number), (vec![], 1));
    request_table.attempt_ended(now, second, served());
    assert_eq!(answers(&request_table.take_commands()).len(), 1);
}

#[test]
fn an_answer_that_crosses_the_word_that_it_is_given_up_still_serves() {
    let mut request_table = new_table(&limits());
    request_table.admit(NOW, client(1), asked(0)).unwrap();
    let first = sent(&request_table.take_commands()).unwrap();
    let ticks = (1..18).map(|tick| NOW + 50_000 * tick);
    ticks.for_each(|now| request_table.timer_fired(now, RequestTimer::Router(0)));
    assert!(request_table
        .take_commands()
        .iter()
        .any(|c| matches!(c, Command::CancelAttempt(a, _) if *a == first)));
    request_table.attempt_ended(NOW + 900_000, first, served());
    assert!(matches!(
        answers(&request_table.take_commands())[..],
        [Answer::Served(_)]
    ));
    assert!(request_table.is_idle());
}

#[test]
fn a_client_that_left_is_owed_nothing_and_its_slot_is_free_once_nothing_is_out() {
    let mut request_table = new_table(&limits());
    let request_key = request_table.admit(NOW, client(1), asked(0)).unwrap();
    let attempt = sent(&request_table.take_commands()).unwrap();
    request_table.client_disconnected(NOW, request_key);
    assert!(request_table
        .take_commands()
        .iter()
        .any(|c| matches!(c, Command::CancelAttempt(a, _) if *a == attempt)));
    assert!(!request_table.is_idle());
    request_table.attempt_ended(NOW, attempt, Outcome::Cancelled.into());
    assert_eq!(
        (
            answers(&request_table.take_commands()),
            request_table.is_idle()
        ),
        (vec![], true)
    );
}

#[test]
fn full_tables_turn_requests_away_until_there_is_room() {
    let mut request_table = new_table(&Limits {
        open_requests: 2,
        total_body_bytes: 100,
        ..limits()
    });
    let first = request_table.admit(NOW, client(1), asked(60)).unwrap();
    assert_eq!(
        request_table.admit(NOW, client(2), asked(60)),
        Err(AdmissionError::BodyBytesExhausted),
        "their bodies are too many bytes"
    );
    request_table.admit(NOW, client(2), asked(0)).unwrap();
    assert_eq!(
        request_table.admit(NOW, client(3), asked(0)),
        Err(AdmissionError::TableFull)
    );
    let attempt = sent(&request_table.take_commands()).unwrap();
    assert_eq!(attempt.request_key, first);
    request_table.attempt_ended(NOW, attempt, served());
    assert!(request_table.admit(NOW, client(3), asked(60)).is_ok());
}

#[test]
fn word_of_a_drain_takes_back_what_is_not_written_yet() {
    let mut request_table = new_table(&limits());
    request_table.update_endpoints(
        NOW,
        EndpointListMode::Delta,
        vec![entry("a", "here", "box", EndpointState::Draining)],
    );
    assert_eq!(
        request_table.take_commands().first(),
        Some(&Command::DrainServer(server_id("a")))
    );
    // What a full list does not name any more is gone.
    request_table.update_endpoints(
        NOW,
        EndpointListMode::Snapshot,
        vec![entry("a", "here", "box", EndpointState::Draining)],
    );
    let withdrawn = request_table.take_commands();
    assert!(withdrawn.contains(&Command::DrainServer(server_id("b"))) && !request_table.is_ready());
    assert!(
        request_table.address_of(server_id("a")).is_some(),
        "it finishes what it has"
    );
    assert_eq!(
        request_table.address_of(server_id("b")),
        None,
        "new servers come under new ids all day long"
    );
}

#[test]
fn the_id_of_an_open_request_and_a_keyed_class_without_a_key_are_not_taken() {
    let mut request_table = new_table(&limits());
    let first = asked(0);
    let other = ClientRequest {
        object: "00000000000000b2".into(),
        ..first.clone()
    };
    request_table.admit(NOW, client(1), first).unwrap();
    let attempt = sent(&request_table.take_commands()).unwrap();
    assert_eq!(
        request_table.admit(NOW, client(2), other.clone()),
        Err(AdmissionError::DuplicateId),
        "a box would take the two for one"
    );
    request_table.attempt_ended(NOW, attempt, served());
    assert!(request_table.admit(NOW, client(2), other).is_ok());
    let post = ClientRequest {
        class: "post".into(),
        ..asked(0)
    };
    assert_eq!(
        request_table.admit(NOW, client(3), post.clone()),
        Err(AdmissionError::MissingIdempotencyKey)
    );
    assert!(request_table
        .admit(
            NOW,
            client(3),
            ClientRequest {
                idempotency_key: Some("5c".into()),
                ..post
            }
        )
        .is_ok());
}

#[test]
fn requests_that_are_over_leave_nothing_behind_for_as_long_as_their_clients_would_have_waited() {
    let mut request_table = new_table(&limits());
    let two_minutes = ClientRequest {
        class: "no-such-class".into(),
        remaining_us: 120_000_000,
        ..asked(0)
    };
    let last = |commands: &[Command]| {
        commands
            .iter()
            .filter_map(|c| {
                if let Command::SetTimer(at, _) = c {
                    Some(*at)
                } else {
                    None
                }
            })
            .max()
    };
    request_table
        .admit(NOW, client(1), two_minutes.clone())
        .unwrap();
    let commands = request_table.take_commands();
    assert_eq!(
        (answers(&commands).len(), request_table.is_idle()),
        (1, true),
        "refused at once"
    );
    assert!(
        last(&commands).is_none_or(|at| at <= NOW + limits().deadline_sweep_us),
        "a flood of them would add up"
    );
    // One that goes on is looked at until its time is up.
    let request_key = request_table
        .admit(
            NOW,
            client(1),
            ClientRequest {
                id: "0b".into(),
                class: "photo".into(),
                ..two_minutes
            },
        )
        .unwrap();
    let (mut now, mut looks) = (NOW, 0);
    while answers(&request_table.take_commands()).is_empty() {
        now += limits().deadline_sweep_us;
        request_table.timer_fired(now, RequestTimer::Deadline(request_key));
        looks += 1;
    }
    assert_eq!(looks, 120, "its deadline");
}
