//! Connections to cache servers: what becomes of attempts when they are cancelled or withdrawn,
//! when an answer is late, old or partial, and when the connection closes.

#[path = "support/upstream.rs"]
mod fixture;

use edge_proxy::request_table::{AttemptId, ClientRequest};
use edge_proxy::upstream::UpstreamConnection;
use edge_routing::Outcome;
use fixture::{photo_request, post_request, End, Fixture, NOW};
use std::io::Read;

/// The beginning of a long answer under the id `01`.
const PARTIAL_ANSWER: &[u8] = b"*4\r\n$2\r\n01\r\n$3\r\n200\r\n$0\r\n\r\n$9000\r\nbut no mo";

#[test]
fn closing_reports_written_attempts_as_reset_and_queued_ones_as_never_sent() {
    let mut fixture = Fixture::connected();
    let written = fixture.send("01");
    let cancelled = fixture.send("02");
    fixture.cancel_and_settle(cancelled);
    assert_eq!(
        fixture.take_ends(),
        [End::new(cancelled, Outcome::Cancelled)]
    );
    fixture.socket.connected = false;
    let queued = fixture.send("03");
    let expected = [
        End::new(queued, Outcome::ConnectFailed),
        End::new(written, Outcome::Reset),
    ];
    assert_eq!(fixture.close(false), expected);
}

#[test]
fn closing_reports_an_attempt_written_in_part_as_never_sent() {
    let mut fixture = Fixture::connected();
    // The server reads nothing, so the socket soon takes an attempt only in part.
    let mut number = 0;
    let mut last = fixture.send("first");
    while fixture.socket.output.is_empty() {
        last = fixture.send_with_body(&format!("{number:04}"), vec![b'.'; 3000]);
        number += 1;
    }
    let ends = fixture.close(true);
    assert_eq!(ends.len(), number + 1);
    for end in ends {
        let is_last = end.attempt == last;
        let expected = if is_last {
            Outcome::NotSent
        } else {
            Outcome::Reset
        };
        assert_eq!(end.outcome, expected);
    }
}

#[test]
fn a_connection_that_came_up_and_closed_does_not_report_its_server_as_unreachable() {
    let mut fixture = Fixture::connecting();
    let queued = fixture.send("01");
    let expected = [End::new(queued, Outcome::NotSent)];
    assert_eq!(fixture.close(true), expected);
}

#[test]
fn an_attempt_cancelled_before_the_connection_is_up_is_never_written() {
    let mut fixture = Fixture::connecting();
    let cancelled = fixture.send("01");
    fixture.send("02");
    fixture.send("03");
    fixture.cancel_and_settle(cancelled);
    assert_eq!(
        fixture.take_ends(),
        [End::new(cancelled, Outcome::Cancelled)]
    );
    fixture.socket.connected = true;
    fixture.flush();
    let text = fixture.received_by_server("fetch", 2);
    assert!(!text.contains("01-object"));
    assert!(text.contains("02-object"));
    assert!(text.contains("03-object"));
}

#[test]
fn draining_a_server_returns_its_queued_attempts_unsent_and_leaves_the_written_ones() {
    let mut fixture = Fixture::connected();
    let written = [fixture.send("02"), fixture.send("03")];
    fixture.socket.connected = false;
    let queued = fixture.send("04");
    assert!(fixture.drain_server());
    assert_eq!(fixture.take_ends(), [End::new(queued, Outcome::NotSent)]);
    assert!(!written.contains(&queued));
    assert!(!fixture.connection.is_idle());
}

#[test]
fn a_cancellation_is_reported_once_the_abort_has_had_time_to_arrive() {
    let mut fixture = Fixture::connected();
    let attempt = fixture.send("01");
    assert!(fixture.cancel(attempt));
    fixture.flush();
    // The abort is written, but a further attempt at another server might overtake it.
    assert_eq!(fixture.take_ends(), []);
    let report_at = NOW + fixture.limits.cancel_settle_us;
    assert_eq!(
        fixture
            .connection
            .next_cancellation_report_at(&fixture.limits),
        Some(report_at)
    );
    assert_eq!(fixture.load_if_available("01"), None);
    fixture.now = report_at;
    fixture.flush();
    assert_eq!(fixture.take_ends(), [End::new(attempt, Outcome::Cancelled)]);
}

#[test]
fn a_reported_cancellation_is_remembered_so_that_a_further_attempt_follows_its_abort() {
    let mut fixture = Fixture::connected();
    let attempt = fixture.send("01");
    fixture.cancel_and_settle(attempt);
    assert!(fixture.connection.has_recent_cancellation("01"));
    assert!(fixture.load_if_available("01").is_some());
    let forgotten_at = NOW + fixture.limits.stream_memory_us + 1;
    fixture
        .connection
        .remove_expired_streams(forgotten_at, &fixture.limits);
    assert!(!fixture.connection.has_recent_cancellation("01"));
}

#[test]
fn a_copy_from_before_a_purge_ends_the_attempt_with_an_error() {
    for (made_ms, outcome) in [
        (NOW / 1000 - 100, Outcome::Error),
        (NOW / 1000, Outcome::Ok),
    ] {
        let mut fixture = Fixture::connected();
        fixture.purge_object("01-object", NOW - 2_000);
        let attempt = fixture.send("01");
        assert_eq!(
            fixture.receive_copy("01", made_ms),
            [End::new(attempt, outcome)]
        );
    }
}

#[test]
fn an_absurd_time_of_a_copy_is_taken_for_what_it_says_and_breaks_nothing() {
    for made_ms in [u64::MAX, u64::MAX / 1000, 0] {
        let mut fixture = Fixture::connected();
        fixture.purge_object("01-object", NOW - 2_000);
        let attempt = fixture.send("01");
        let outcome = if made_ms == 0 {
            Outcome::Error
        } else {
            Outcome::Ok
        };
        assert_eq!(
            fixture.receive_copy("01", made_ms),
            [End::new(attempt, outcome)],
            "{made_ms}"
        );
    }
}

#[test]
fn after_an_old_copy_a_further_attempt_on_the_connection_can_be_served() {
    let mut fixture = Fixture::connected();
    fixture.purge_object("01-object", NOW - 2_000);
    fixture.send("01");
    fixture.receive_copy("01", NOW / 1000 - 100);
    let attempt = fixture.send("01");
    assert_eq!(
        fixture.receive_copy("01", NOW / 1000),
        [End::new(attempt, Outcome::Ok)]
    );
}

#[test]
fn an_old_copy_after_a_cancellation_leaves_the_further_attempt_open() {
    let mut fixture = Fixture::connected();
    fixture.purge_object("01-object", NOW - 2_000);
    let cancelled = fixture.send("01");
    fixture.cancel_and_settle(cancelled);
    fixture.take_ends();
    let attempt = fixture.send("01");
    // It may be the answer to the cancelled attempt.
    assert_eq!(fixture.receive_copy("01", NOW / 1000 - 100), []);
    assert_eq!(
        fixture.receive_copy("01", NOW / 1000),
        [End::new(attempt, Outcome::Ok)]
    );
}

#[test]
fn an_unresponsive_connection_takes_no_further_attempts() {
    let mut fixture = Fixture::connected();
    let attempt = fixture.send("01");
    assert_eq!(fixture.load_if_available("02"), Some(1));
    // The server was last heard before the attempt: a short silence is a pause, a long one may be
    // the end.
    let longest_pause_us = fixture.limits.unresponsive_after_us;
    for (silence_us, load) in [(longest_pause_us, Some(0)), (longest_pause_us + 1, None)] {
        let begun_at = NOW - silence_us;
        fixture.connection = UpstreamConnection::new(fixture.server, &fixture.limits, begun_at);
        fixture.connection.enqueue(attempt);
        fixture.flush();
        fixture.cancel_and_settle(attempt);
        assert_eq!(fixture.load_if_available("02"), load);
    }
}

#[test]
fn requests_with_one_id_never_share_a_connection() {
    for mut fixture in [Fixture::connected(), Fixture::connecting()] {
        fixture.send("01");
        let connected = fixture.socket.connected;
        assert_eq!(fixture.load_if_available("01"), None, "{connected}");
        assert_eq!(fixture.load_if_available("02"), Some(1), "{connected}");
    }
}

#[test]
fn a_connection_is_unusable_once_an_answer_has_stopped_part_way() {
    let mut fixture = Fixture::connected();
    fixture.send("01");
    fixture.send("02");
    fixture.receive(PARTIAL_ANSWER);
    let deadline = NOW + fixture.limits.partial_answer_timeout_us;
    assert_eq!(
        fixture.connection.partial_answer_deadline(&fixture.limits),
        Some(deadline)
    );
    fixture.now = deadline - 1;
    assert!(fixture.flush(), "the rest may still come");
    fixture.now = deadline;
    assert!(
        !fixture.flush(),
        "what comes now would be taken for the rest"
    );
}

#[test]
fn a_connection_is_unreadable_once_an_answer_has_stopped_part_way() {
    let mut fixture = Fixture::connected();
    fixture.send("01");
    fixture.receive(PARTIAL_ANSWER);
    let deadline = NOW + fixture.limits.partial_answer_timeout_us;
    let connection = &fixture.connection;
    assert!(connection.can_parse_further_input(deadline - 1, &fixture.limits));
    assert!(!connection.can_parse_further_input(deadline, &fixture.limits));
}

#[test]
fn attempts_on_a_connection_with_a_partial_answer_may_have_run() {
    let mut fixture = Fixture::connected();
    let first = fixture.send("01");
    let second = fixture.send("02");
    fixture.receive(PARTIAL_ANSWER);
    fixture.now += fixture.limits.partial_answer_timeout_us;
    assert!(!fixture.flush());
    let expected = [
        End::new(first, Outcome::Reset),
        End::new(second, Outcome::Reset),
    ];
    assert_eq!(fixture.close(true), expected);
}

#[test]
fn a_drain_stops_every_attempt_of_which_no_byte_is_written() {
    let mut fixture = Fixture::connected();
    // The server reads nothing: what the sockets between take is all that has begun.
    let body = vec![b'.'; 3000];
    let mut sent = 0;
    while fixture.socket.output.is_empty() {
        fixture.send_with_body(&format!("{sent:04}"), body.clone());
        sent += 1;
    }
    for _ in 0..20 {
        fixture.send_with_body(&format!("{sent:04}"), body.clone());
        sent += 1;
    }
    let written_before_drain = usize::try_from(fixture.socket.bytes_written).unwrap();
    assert!(fixture.drain_server());
    let stopped = fixture.take_ends().len();

    let mut received = Vec::new();
    let mut bytes = [0; 65536];
    while fixture.socket.bytes_written > received.len() as u64 || !fixture.socket.output.is_empty()
    {
        assert!(fixture.flush());
        let length = fixture.server_socket.read(&mut bytes).unwrap();
        received.extend_from_slice(&bytes[..length]);
    }
    let count_commands = |bytes: &[u8]| {
        let command = b"*4\r\n$5\r\nfetch";
        let windows = bytes.windows(command.len());
        windows.filter(|window| window == command).count()
    };
    assert_eq!(count_commands(&received) + stopped, sent);
    assert_eq!(count_commands(&received[written_before_drain..]), 0);
}

#[test]
fn a_retry_that_waited_for_its_connection_does_not_begin_after_its_window() {
    // The window of the settings is 3 s, and the client waits for longer.
    for (waited_us, begins) in [(2_900_000, true), (3_000_000, false)] {
        let mut fixture = Fixture::new("hub", "origin", true);
        let first = fixture.send_request(post_request("01"));
        fixture
            .request_table
            .attempt_ended(NOW, first, Outcome::Reset.into());
        fixture.connection = UpstreamConnection::new(fixture.server, &fixture.limits, NOW);
        fixture.socket.connected = false;
        let retry = fixture.enqueue_next();
        fixture.now += waited_us;
        fixture.socket.connected = true;
        fixture.flush();
        let not_sent = End::new(retry, Outcome::NotSent);
        let expected = if begins { vec![] } else { vec![not_sent] };
        assert_eq!(fixture.take_ends(), expected, "{waited_us}");
    }
}

#[test]
fn a_purge_bounds_the_accepted_age_of_a_queued_attempt_that_it_concerns() {
    for (object, group, bounded) in [
        (Some("01-object"), 0, true),
        (None, 7, true),
        (Some("02-object"), 0, false),
        (None, 8, false),
    ] {
        let mut fixture = Fixture::connecting();
        fixture.send_request(ClientRequest {
            group: 7,
            ..photo_request("01")
        });
        fixture.now += 400_000;
        let purged_at = fixture.now - 30_000;
        // A purge of another object that is heard of as it is made: the clock is not behind the stamps.
        fixture.request_table.handle_purge_event(
            fixture.now,
            Some("other".to_owned()),
            0,
            fixture.now,
        );
        fixture.request_table.handle_purge_event(
            fixture.now,
            object.map(str::to_owned),
            group,
            purged_at,
        );
        fixture.socket.connected = true;
        fixture.flush();
        let text = fixture.received_by_server("fetch", 1);
        assert_eq!(
            text.contains("maxage=30"),
            bounded,
            "{object:?} {group}: {text}"
        );
    }
}

#[test]
fn an_attempt_of_which_no_byte_is_written_is_cancelled_at_once() {
    let mut fixture = Fixture::connected();
    let unwritten = send_until_unwritten(&mut fixture);
    assert!(fixture.cancel(unwritten));
    assert_eq!(
        fixture.take_ends(),
        [End::new(unwritten, Outcome::Cancelled)]
    );
    assert!(fixture.socket.output.is_empty());
}

/// Sends attempts to a server that hardly reads, until one lies in the output buffer with no byte
/// written.
fn send_until_unwritten(fixture: &mut Fixture) -> AttemptId {
    for number in 0.. {
        let written_before = fixture.socket.bytes_written;
        let attempt = fixture.send_with_body(&format!("{number:04}"), vec![b'.'; 3000]);
        let is_unwritten = fixture.socket.bytes_written == written_before;
        if is_unwritten && !fixture.socket.output.is_empty() {
            return attempt;
        }
        // An attempt that has begun goes on until the output buffer is empty again.
        while !fixture.socket.output.is_empty() {
            let length = fixture.server_socket.read(&mut [0; 64]).unwrap();
            assert!(length > 0);
            assert!(fixture.flush());
        }
    }
    unreachable!("the buffers between the sockets are bounded")
}
