//! The memory of answers: which bodies are dropped as they arrive, and which wait for memory.

use crate::fixture::{AttemptEnd, Fixture};
use edge_proxy::memory::{MemoryBudget, MemoryKind, MemoryShare};
use edge_proxy::protocol::resp;
use edge_proxy::request_table::{Answer, Command, Content};
use edge_proxy::upstream::UpstreamEvent;
use edge_routing::Outcome;

const BODY_BYTES: usize = 100_000;
const BUDGET_BYTES: usize = 1_000_000;

/// Returns an answer with a body of [`BODY_BYTES`].
fn large_answer(id: &str) -> Vec<u8> {
    let body: Vec<u8> = (0..BODY_BYTES).map(|index| (index % 251) as u8).collect();
    let fields = b"how=local,made=1,etag=t1";
    let mut answer = Vec::new();
    resp::write_array(&mut answer, &[id.as_bytes(), b"200", fields, &body]);
    answer
}

/// Has the fixture receive bytes in pieces that fit into the buffers of its sockets.
fn receive_in_pieces(fixture: &mut Fixture, bytes: &[u8]) {
    const PIECE_BYTES: usize = 1_000;
    for piece in bytes.chunks(PIECE_BYTES) {
        fixture.receive(piece);
    }
}

/// Guards against a process that is killed for its memory: the answers to clients that have left used
/// to be collected whole. The answers behind them must still be served.
#[test]
fn the_body_of_an_answer_is_dropped_once_its_client_has_left() {
    let mut fixture = Fixture::connected();
    let abandoned = fixture.send("01");
    let awaited = fixture.send("02");
    let answer = large_answer("01");
    let (first_half, second_half) = answer.split_at(BODY_BYTES / 2);
    receive_in_pieces(&mut fixture, first_half);
    assert!(
        fixture.memory.held_bytes() >= BODY_BYTES,
        "the announced length counts"
    );

    fixture
        .request_table
        .client_disconnected(fixture.now, abandoned.request_key);
    fixture.flush();
    assert!(
        fixture.memory.held_bytes() < 4 * 1_024,
        "the first half is dropped at once"
    );
    receive_in_pieces(&mut fixture, second_half);
    assert!(
        fixture.memory.held_bytes() < 4 * 1_024,
        "the rest is dropped as it arrives"
    );

    fixture.take_attempt_ends();
    receive_in_pieces(&mut fixture, &large_answer("02"));
    let ends = fixture.take_attempt_ends();
    assert_eq!(ends, [AttemptEnd::new(awaited, Outcome::Ok)]);
    assert_eq!(fixture.memory.held_bytes(), 0);
}

/// Guards against a client without an answer: the routing module may cancel an attempt and start
/// another one of the same request, while the answer to the first is arriving. The server may then
/// not answer again.
#[test]
fn the_answer_to_a_cancelled_attempt_serves_the_next_attempt_of_its_request() {
    let mut fixture = Fixture::connected();
    let attempt = fixture.send("01");
    let answer = large_answer("01");
    let (first_half, second_half) = answer.split_at(BODY_BYTES / 2);
    receive_in_pieces(&mut fixture, first_half);
    fixture.cancel_and_settle(attempt);
    let ends = fixture.take_attempt_ends();
    assert_eq!(ends, [AttemptEnd::new(attempt, Outcome::Cancelled)]);
    // The request is still pending, and is sent again on the same connection.
    fixture.connection.enqueue(attempt);
    assert!(fixture.flush());

    receive_in_pieces(&mut fixture, second_half);
    let events = std::mem::take(&mut fixture.events);
    let [UpstreamEvent::AttemptEnded(ended, result)] = &events[..] else {
        panic!("expected the end of the retry, got {events:?}");
    };
    assert_eq!(*ended, attempt);
    let Some(Content::Object { bytes, .. }) = &result.content else {
        panic!("the retry got no content: {result:?}");
    };
    assert_eq!(bytes.len(), BODY_BYTES);
}

/// Guards against an empty part: a body that was dropped because its client had left must not be
/// taken for the answer to a later request with the same id.
#[test]
fn a_dropped_body_is_not_the_answer_to_a_later_request_with_its_id() {
    let mut fixture = Fixture::connected();
    let abandoned = fixture.send("01");
    let answer = large_answer("01");
    let (first_half, second_half) = answer.split_at(BODY_BYTES / 2);
    receive_in_pieces(&mut fixture, first_half);
    fixture
        .request_table
        .client_disconnected(fixture.now, abandoned.request_key);
    fixture.cancel_and_settle(abandoned);
    fixture.take_attempt_ends();
    let later = fixture.send("01");

    receive_in_pieces(&mut fixture, second_half);
    assert_eq!(
        fixture.take_attempt_ends(),
        [],
        "the dropped body ends no attempt"
    );
    receive_in_pieces(&mut fixture, &answer);
    let ends = fixture.take_attempt_ends();
    assert_eq!(ends, [AttemptEnd::new(later, Outcome::Ok)]);
}

/// Guards against requests that fail although memory would soon have served them: an answer that
/// does not fit waits, however long, and is then complete. The wait is no fault of its server.
#[test]
fn an_answer_that_does_not_fit_into_memory_waits_and_is_then_served() {
    let mut fixture = Fixture::connected();
    let mut other_share = MemoryShare::default();
    fixture.memory = MemoryBudget::new(BUDGET_BYTES);
    let attempt = fixture.send("01");
    let held_by_others = BUDGET_BYTES - BODY_BYTES;
    fixture
        .memory
        .set(&mut other_share, MemoryKind::UnsentAnswers, held_by_others);
    let answer = large_answer("01");
    let (beginning, rest) = answer.split_at(500);
    fixture.receive(beginning);
    assert!(fixture.connection.waits_for_memory());
    assert!(fixture.memory.held_bytes() < held_by_others + 4 * 1_024);

    fixture.now += 2 * fixture.limits.unawaited_answer_timeout_us;
    assert!(
        fixture.flush(),
        "the connection is closed although its server is not at fault"
    );
    fixture.memory.release(&mut other_share);
    receive_in_pieces(&mut fixture, rest);
    assert!(!fixture.connection.waits_for_memory());
    let ends = fixture.take_attempt_ends();
    assert_eq!(ends, [AttemptEnd::new(attempt, Outcome::Ok)]);
}

/// Guards against memory beyond the budget: a command with a body is copied for the socket, so it
/// waits in the queue while there is no room for the copy.
#[test]
fn a_command_that_does_not_fit_into_memory_waits_in_the_queue() {
    let mut fixture = Fixture::connected();
    let mut other_share = MemoryShare::default();
    fixture.memory = MemoryBudget::new(BUDGET_BYTES);
    fixture
        .memory
        .set(&mut other_share, MemoryKind::UnsentAnswers, BUDGET_BYTES);
    let attempt = fixture.send_with_body("01", vec![b'b'; 40_000]);
    assert!(fixture.connection.waits_for_memory());
    assert_eq!(fixture.socket.bytes_written, 0);
    assert_eq!(fixture.take_attempt_ends(), []);

    fixture.memory.release(&mut other_share);
    assert!(fixture.flush());
    assert!(!fixture.connection.waits_for_memory());
    assert!(fixture.socket.bytes_written > 0);
    fixture
        .request_table
        .attempt_ended(fixture.now, attempt, Outcome::Rejected.into());
    let commands = fixture.request_table.take_commands();
    let is_served =
        |command: &Command| matches!(command, Command::SendAnswer(_, Answer::Served(_)));
    assert!(!commands.iter().any(is_served));
}
