//! Connections to cache servers: how attempts end when they are cancelled or removed, when an
//! answer is late, older than a purge or partial, and when the connection closes.

#[path = "../support/upstream.rs"]
mod fixture;
mod memory;

use edge_proxy::protocol::resp;
use edge_proxy::request_table::{AttemptId, ClientRequest, PurgeTarget};
use edge_proxy::upstream::UpstreamConnection;
use edge_routing::Outcome;
use fixture::{photo_request, post_request, AttemptEnd, Fixture, START_US};
use std::io::Read;

/// First part of a long answer under the id `01`.
const PARTIAL_ANSWER: &[u8] = b"*4\r\n$2\r\n01\r\n$3\r\n200\r\n$0\r\n\r\n$9000\r\nbut no mo";

/// A body of several lines, some of which begin like the lengths in an answer. With a length before
/// it that is too short, it may seem to end at the end of each line.
const LINES: &[u8] = b"12.5\r\n\r\n*4\r\n$2\r\n* item\r\n$ 7.50\r\n-\r\n";

/// Returns an answer with a copy that announces a body of `announced_bytes`, whatever its length.
fn answer_announcing(id: &str, announced_bytes: usize, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "*4\r\n${}\r\n{id}\r\n$3\r\n200\r\n$24\r\nhow=local,made=1,etag=t1\r\n${announced_bytes}\r\n",
        id.len()
    );
    [head.as_bytes(), body, b"\r\n"].concat()
}

/// Returns an answer whose length covers the first line of its body only, in two pieces: what looks
/// like a complete answer, and the rest of the body.
fn answer_cut_behind_its_first_line() -> (Vec<u8>, Vec<u8>) {
    let announced_bytes = b"12.5\r\n".len();
    let mut answer = answer_announcing("01", announced_bytes, LINES);
    let rest = answer.split_off(answer.len() - LINES.len() + announced_bytes);
    (answer, rest)
}

/// Sends bytes as the answer to an attempt. Asserts that they end no attempt, that the connection
/// cannot be used any more, and that closing it leaves the attempt to be retried.
#[track_caller]
fn assert_answer_is_malformed(answer: &[u8], description: &str) {
    let mut fixture = Fixture::connected();
    let attempt = fixture.send("01");
    assert!(fixture.try_receive(answer).is_err(), "{description}");
    assert_eq!(fixture.take_attempt_ends(), [], "{description}");
    assert!(!fixture
        .connection
        .can_parse_further_input(fixture.now, &fixture.limits));
    let reset = AttemptEnd::new(attempt, Outcome::Reset);
    assert_eq!(fixture.close(true), [reset], "{description}");
}

/// Guards against serving an empty part: an answer that announces fewer strings than it has would
/// seem to lack its body. The client could not tell such a part from the right one.
#[test]
fn an_answer_that_does_not_announce_four_strings_is_malformed() {
    let strings: [&[u8]; 4] = [b"01", b"200", b"how=local,made=1,etag=t1", b"bytes"];
    let mut answer = Vec::new();
    resp::write_array(&mut answer, &strings);
    for announced in ["*0", "*1", "*2", "*3", "*5", "*8"] {
        let spoilt = [announced.as_bytes(), &answer["*4".len()..]].concat();
        assert_answer_is_malformed(&spoilt, announced);
    }
    let mut whole = Fixture::connected();
    let attempt = whole.send("01");
    whole.receive(&answer);
    let served = AttemptEnd::new(attempt, Outcome::Ok);
    assert_eq!(whole.take_attempt_ends(), [served]);
}

/// Guards against serving a part that is cut at the end of one of its lines, because the length
/// before its body is too short. The client could not tell such a part from the right one.
#[test]
fn an_answer_whose_body_is_longer_than_announced_is_malformed() {
    for announced_bytes in 0..LINES.len() {
        let spoilt = answer_announcing("01", announced_bytes, LINES);
        assert_answer_is_malformed(&spoilt, &format!("{announced_bytes} bytes announced"));
    }
    let mut whole = Fixture::connected();
    let attempt = whole.send("01");
    whole.receive(&answer_announcing("01", LINES.len(), LINES));
    let served = AttemptEnd::new(attempt, Outcome::Ok);
    assert_eq!(whole.take_attempt_ends(), [served]);
}

/// Guards against serving a part together with the beginning of the next answer, because the length
/// before its body is too long and falls on a line end of that answer.
#[test]
fn an_answer_whose_body_is_shorter_than_announced_is_not_served() {
    let next_answer = answer_announcing("02", LINES.len(), LINES);
    for excess_bytes in 1..next_answer.len() {
        let mut fixture = Fixture::connected();
        fixture.send("01");
        fixture.send("02");
        let spoilt = answer_announcing("01", LINES.len() + excess_bytes, LINES);
        let _ = fixture.try_receive(&[spoilt, next_answer.clone()].concat());
        assert_eq!(
            fixture.take_attempt_ends(),
            [],
            "{excess_bytes} bytes too many"
        );
    }
}

/// Guards against serving a cut part whose rest is read separately: the announced end may be the end
/// of what one read returns.
#[test]
fn an_answer_is_not_used_if_the_rest_of_its_body_is_read_later() {
    let (complete, rest) = answer_cut_behind_its_first_line();
    let mut fixture = Fixture::connected();
    let attempt = fixture.send("01");
    fixture.receive_unconfirmed(&complete).unwrap();
    assert!(fixture.connection.has_unconfirmed_answer());
    assert!(fixture.try_receive(&rest).is_err());
    assert!(!fixture.connection.has_unconfirmed_answer());
    assert_eq!(fixture.take_attempt_ends(), []);
    let reset = AttemptEnd::new(attempt, Outcome::Reset);
    assert_eq!(fixture.close(true), [reset]);
}

/// Guards against serving a cut part because its rest has only begun to arrive: the first byte shows
/// that it does not begin another answer.
#[test]
fn the_rest_of_a_body_is_recognized_by_its_first_byte() {
    let (complete, _) = answer_cut_behind_its_first_line();
    for first_byte in [b'\r', b'\n', b' ', b'$', b'9', 0xff] {
        let input = [complete.as_slice(), &[first_byte]].concat();
        assert_answer_is_malformed(&input, &format!("then byte {first_byte}"));
    }
}

/// A good answer must not wait until the whole next answer has arrived, which may take long.
#[test]
fn an_answer_with_a_body_counts_once_the_next_answer_has_begun() {
    let mut fixture = Fixture::connected();
    let attempt = fixture.send("01");
    let answer = answer_announcing("01", LINES.len(), LINES);
    let beginning_of_next = &b"*4\r\n$2\r\n0"[..];
    fixture
        .receive_unconfirmed(&[answer.as_slice(), beginning_of_next].concat())
        .unwrap();
    assert_eq!(fixture.take_attempt_ends(), []);
    fixture.receive_unconfirmed(b"2\r\n").unwrap();
    let served = AttemptEnd::new(attempt, Outcome::Ok);
    assert_eq!(fixture.take_attempt_ends(), [served]);
}

/// An answer without content means the same whatever its body is. A miss that was taken for a reset
/// could not be retried for a request that must not be executed twice.
#[test]
fn an_answer_without_content_counts_although_malformed_input_follows_it() {
    let mut fixture = Fixture::connected();
    let attempt = fixture.send("01");
    let miss = b"*4\r\n$2\r\n01\r\n$3\r\n404\r\n$1\r\n-\r\n$0\r\n\r\nno answer";
    assert!(fixture.try_receive(miss).is_err());
    let missed = AttemptEnd::new(attempt, Outcome::Miss);
    assert_eq!(fixture.take_attempt_ends(), [missed]);
}

/// Guards against serving a copy from before a purge: without its creation time, its age could not
/// be checked.
#[test]
fn content_without_the_tag_and_the_creation_time_of_its_copy_is_malformed() {
    let fields: [&[u8]; 9] = [
        b"",
        b"-",
        b"how=local",
        b"made=1",
        b"etag=t1",
        b"made=,etag=t1",
        b"made=1,etag=",
        b"made=-1,etag=t1",
        b"made=1,etag=t1,how=\xff",
    ];
    for status in ["200", "304"] {
        for fields in fields {
            let mut answer = Vec::new();
            resp::write_array(&mut answer, &[b"01", status.as_bytes(), fields, b""]);
            let description = format!("{status} {}", String::from_utf8_lossy(fields));
            assert_answer_is_malformed(&answer, &description);
        }
    }
    let mut answer = Vec::new();
    resp::write_array(&mut answer, &[b"01", b"304", b"made=1,etag=t1", b"bytes"]);
    assert_answer_is_malformed(&answer, "304 with a body");
}

/// Guards against writes that are never answered: a write is executed by the origin and leaves no
/// copy, so its answer names neither a tag nor a creation time.
#[test]
fn the_answer_to_a_write_needs_no_tag_and_no_creation_time() {
    let mut fixture = Fixture::new("hub", "origin", true);
    let attempt = fixture.send_request(post_request("01"));
    let mut answer = Vec::new();
    let fields = b"how=pulled_far,ttfb=163.1";
    resp::write_array(&mut answer, &[b"01", b"200", fields, b"done"]);
    fixture.receive(&answer);
    let served = AttemptEnd::new(attempt, Outcome::Ok);
    assert_eq!(fixture.take_attempt_ends(), [served]);
}

/// A written attempt may have been executed at the server, a queued one cannot have. The router
/// decides from this difference whether the request may be retried.
#[test]
fn closing_reports_written_attempts_as_reset_and_queued_ones_as_never_sent() {
    let mut fixture = Fixture::connected();
    let written = fixture.send("01");
    let cancelled = fixture.send("02");
    fixture.cancel_and_settle(cancelled);
    assert_eq!(
        fixture.take_attempt_ends(),
        [AttemptEnd::new(cancelled, Outcome::Cancelled)]
    );
    fixture.socket.is_connected = false;
    let queued = fixture.send("03");
    let expected = [
        AttemptEnd::new(queued, Outcome::ConnectFailed),
        AttemptEnd::new(written, Outcome::Reset),
    ];
    assert_eq!(fixture.close(false), expected);
}

/// The server cannot run a command that it received only in part. Reporting it as reset would rule
/// out the retry of a request that must not be executed twice.
#[test]
fn closing_reports_an_attempt_written_in_part_as_never_sent() {
    let mut fixture = Fixture::connected();
    // The server reads nothing, so the socket soon accepts only a part of an attempt.
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

/// Only a connection that was never established shows that its server is unreachable. Without the
/// distinction, a server that closes a new connection early would count as down.
#[test]
fn a_connection_that_came_up_and_closed_does_not_report_its_server_as_unreachable() {
    let mut fixture = Fixture::connecting();
    let queued = fixture.send("01");
    let expected = [AttemptEnd::new(queued, Outcome::NotSent)];
    assert_eq!(fixture.close(true), expected);
}

/// A cancelled attempt that stays in the queue would be sent as soon as the connection is
/// established.
#[test]
fn an_attempt_cancelled_before_the_connection_is_up_is_never_written() {
    let mut fixture = Fixture::connecting();
    let cancelled = fixture.send("01");
    fixture.send("02");
    fixture.send("03");
    fixture.cancel_and_settle(cancelled);
    assert_eq!(
        fixture.take_attempt_ends(),
        [AttemptEnd::new(cancelled, Outcome::Cancelled)]
    );
    fixture.socket.is_connected = true;
    fixture.flush();
    let text = fixture.received_by_server("fetch", 2);
    assert!(!text.contains("01-object"));
    assert!(text.contains("02-object"));
    assert!(text.contains("03-object"));
}

/// A draining server must get no new work, but finishes attempts that it has already received.
#[test]
fn draining_a_server_returns_its_queued_attempts_unsent_and_leaves_the_written_ones() {
    let mut fixture = Fixture::connected();
    let written = [fixture.send("02"), fixture.send("03")];
    fixture.socket.is_connected = false;
    let queued = fixture.send("04");
    assert!(fixture.drain_server());
    assert_eq!(
        fixture.take_attempt_ends(),
        [AttemptEnd::new(queued, Outcome::NotSent)]
    );
    assert!(!written.contains(&queued));
    assert!(!fixture.connection.is_idle());
}

/// The router may start a further attempt as soon as a cancellation is reported. If that attempt
/// reached another server before the abort arrived, both attempts would be executed at once.
#[test]
fn a_cancellation_is_reported_once_the_abort_has_had_time_to_arrive() {
    let mut fixture = Fixture::connected();
    let attempt = fixture.send("01");
    assert!(fixture.cancel(attempt));
    fixture.flush();
    // The abort is written, but a further attempt at another server could overtake it.
    assert_eq!(fixture.take_attempt_ends(), []);
    let report_at = START_US + fixture.limits.cancellation_report_delay_us;
    assert_eq!(
        fixture
            .connection
            .next_cancellation_report_at(&fixture.limits),
        Some(report_at)
    );
    assert_eq!(fixture.outstanding_count_if_available("01"), None);
    fixture.now = report_at;
    fixture.flush();
    assert_eq!(
        fixture.take_attempt_ends(),
        [AttemptEnd::new(attempt, Outcome::Cancelled)]
    );
}

/// An abort names only the request id. A further attempt on another connection could arrive before
/// it and be aborted, so the connection remembers the id and is preferred for a limited time.
#[test]
fn a_reported_cancellation_is_remembered_so_that_a_further_attempt_follows_its_abort() {
    let mut fixture = Fixture::connected();
    let attempt = fixture.send("01");
    fixture.cancel_and_settle(attempt);
    assert!(fixture.connection.has_recent_cancellation("01"));
    assert!(fixture.outstanding_count_if_available("01").is_some());
    let forgotten_at = START_US + fixture.limits.stream_retention_us + 1;
    fixture
        .connection
        .remove_expired_streams(forgotten_at, &fixture.limits);
    assert!(!fixture.connection.has_recent_cancellation("01"));
}

/// A cache server that has not yet processed a purge may answer with the purged copy. The proxy
/// must not serve that copy.
#[test]
fn a_copy_from_before_a_purge_ends_the_attempt_with_an_error() {
    for (created_at_ms, outcome) in [
        (START_US / 1000 - 100, Outcome::Error),
        (START_US / 1000, Outcome::Ok),
    ] {
        let mut fixture = Fixture::connected();
        fixture.purge_object("01-object", START_US - 2_000);
        let attempt = fixture.send("01");
        assert_eq!(
            fixture.receive_copy("01", created_at_ms),
            [AttemptEnd::new(attempt, outcome)]
        );
    }
}

/// The creation time of a copy comes from the server and may be any number. Arithmetic on it must
/// not overflow.
#[test]
fn an_implausible_creation_time_of_a_copy_is_accepted_without_overflow() {
    for created_at_ms in [u64::MAX, u64::MAX / 1000, 0] {
        let mut fixture = Fixture::connected();
        fixture.purge_object("01-object", START_US - 2_000);
        let attempt = fixture.send("01");
        let outcome = if created_at_ms == 0 {
            Outcome::Error
        } else {
            Outcome::Ok
        };
        assert_eq!(
            fixture.receive_copy("01", created_at_ms),
            [AttemptEnd::new(attempt, outcome)],
            "copy created at {created_at_ms} ms"
        );
    }
}

/// The id of an answered attempt stays remembered on the connection. This must not block the answer
/// to a further attempt under the same id.
#[test]
fn after_an_old_copy_a_further_attempt_on_the_connection_can_be_served() {
    let mut fixture = Fixture::connected();
    fixture.purge_object("01-object", START_US - 2_000);
    fixture.send("01");
    fixture.receive_copy("01", START_US / 1000 - 100);
    let attempt = fixture.send("01");
    assert_eq!(
        fixture.receive_copy("01", START_US / 1000),
        [AttemptEnd::new(attempt, Outcome::Ok)]
    );
}

/// The first outdated copy after a cancellation may be the answer to the cancelled attempt. It must
/// not end the further attempt, whose own answer may still follow.
#[test]
fn an_old_copy_after_a_cancellation_leaves_the_further_attempt_open() {
    let mut fixture = Fixture::connected();
    fixture.purge_object("01-object", START_US - 2_000);
    let cancelled = fixture.send("01");
    fixture.cancel_and_settle(cancelled);
    fixture.take_attempt_ends();
    let attempt = fixture.send("01");
    // The old copy may be the answer to the cancelled attempt.
    assert_eq!(fixture.receive_copy("01", START_US / 1000 - 100), []);
    assert_eq!(
        fixture.receive_copy("01", START_US / 1000),
        [AttemptEnd::new(attempt, Outcome::Ok)]
    );
}

/// The other end may have vanished without closing the connection. Further attempts on such a
/// connection would time out one after the other.
#[test]
fn an_unresponsive_connection_takes_no_further_attempts() {
    let mut fixture = Fixture::connected();
    let attempt = fixture.send("01");
    assert_eq!(fixture.outstanding_count_if_available("02"), Some(1));
    // Nothing has arrived from the server since before the attempt. A short silence is a pause. A
    // long one may mean that the server no longer reaches the proxy.
    let longest_pause_us = fixture.limits.unresponsive_after_us;
    for (silence_us, outstanding_count) in
        [(longest_pause_us, Some(0)), (longest_pause_us + 1, None)]
    {
        let begun_at = START_US - silence_us;
        fixture.connection = UpstreamConnection::new(fixture.server, &fixture.limits, begun_at);
        fixture.connection.enqueue(attempt);
        fixture.flush();
        fixture.cancel_and_settle(attempt);
        assert_eq!(
            fixture.outstanding_count_if_available("02"),
            outstanding_count
        );
    }
}

/// Answers are matched to attempts by request id alone. Two attempts with the same id on one
/// connection, even while both are queued, could get each other's answers.
#[test]
fn requests_with_one_id_never_share_a_connection() {
    for mut fixture in [Fixture::connected(), Fixture::connecting()] {
        fixture.send("01");
        let is_connected = fixture.socket.is_connected;
        assert_eq!(
            fixture.outstanding_count_if_available("01"),
            None,
            "a second request with the same id was accepted, connected: {is_connected}"
        );
        assert_eq!(
            fixture.outstanding_count_if_available("02"),
            Some(1),
            "connected: {is_connected}"
        );
    }
}

/// After an answer stops half-way, the connection cannot be written to any longer: the bytes of the
/// next answer would count as the rest of the unfinished one.
#[test]
fn a_connection_is_not_written_after_an_answer_stopped_half_way() {
    let mut fixture = Fixture::connected();
    fixture.send("01");
    fixture.send("02");
    fixture.receive(PARTIAL_ANSWER);
    let deadline = START_US + fixture.limits.partial_answer_timeout_us;
    assert_eq!(
        fixture.connection.partial_answer_deadline(&fixture.limits),
        Some(deadline)
    );
    fixture.now = deadline - 1;
    assert!(
        fixture.flush(),
        "the connection was closed before the timeout of the partial answer"
    );
    fixture.now = deadline;
    assert!(
        !fixture.flush(),
        "the next input would count as the rest of the partial answer"
    );
}

/// After an answer stops half-way, input must not be read any longer: it would count as the rest of
/// the unfinished answer.
#[test]
fn a_connection_is_not_read_after_an_answer_stopped_half_way() {
    let mut fixture = Fixture::connected();
    fixture.send("01");
    fixture.receive(PARTIAL_ANSWER);
    let deadline = START_US + fixture.limits.partial_answer_timeout_us;
    let connection = &fixture.connection;
    assert!(connection.can_parse_further_input(deadline - 1, &fixture.limits));
    assert!(!connection.can_parse_further_input(deadline, &fixture.limits));
}

/// All commands before a partial answer were written, so none of their attempts may be reported as
/// never sent when the connection closes.
#[test]
fn attempts_on_a_connection_with_a_partial_answer_may_have_run() {
    let mut fixture = Fixture::connected();
    let first = fixture.send("01");
    let second = fixture.send("02");
    fixture.receive(PARTIAL_ANSWER);
    fixture.now += fixture.limits.partial_answer_timeout_us;
    assert!(!fixture.flush());
    let expected = [
        AttemptEnd::new(first, Outcome::Reset),
        AttemptEnd::new(second, Outcome::Reset),
    ];
    assert_eq!(fixture.close(true), expected);
}

/// When a server drains, attempts may wait in the queue or in the output buffer. Those of which no
/// byte is written must not reach the server any more, and no attempt may be lost.
#[test]
fn a_drain_stops_every_attempt_of_which_no_byte_is_written() {
    let mut fixture = Fixture::connected();
    // The server reads nothing, so only attempts that fit into the socket buffers are written.
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
    let stopped = fixture.take_attempt_ends().len();

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
    assert_eq!(
        count_commands(&received) + stopped,
        sent,
        "an attempt was neither received by the server nor stopped, or both"
    );
    assert_eq!(
        count_commands(&received[written_before_drain..]),
        0,
        "an attempt was started after the drain"
    );
}

/// A retried write is safe only within the deduplication window of the settings. A retry that was
/// queued in time may become writable too late, when its connection is established at last.
#[test]
fn a_retry_that_waited_for_its_connection_does_not_begin_after_its_window() {
    // The deduplication window of the settings is 3 s, and the client waits for longer than that.
    for (waited_us, is_sent) in [(2_900_000, true), (3_000_000, false)] {
        let mut fixture = Fixture::new("hub", "origin", true);
        let first = fixture.send_request(post_request("01"));
        fixture
            .request_table
            .attempt_ended(START_US, first, Outcome::Reset.into());
        fixture.connection = UpstreamConnection::new(fixture.server, &fixture.limits, START_US);
        fixture.socket.is_connected = false;
        let retry = fixture.enqueue_next();
        fixture.now += waited_us;
        fixture.socket.is_connected = true;
        fixture.flush();
        let not_sent = AttemptEnd::new(retry, Outcome::NotSent);
        let expected = if is_sent { vec![] } else { vec![not_sent] };
        assert_eq!(
            fixture.take_attempt_ends(),
            expected,
            "retry waited {waited_us} us"
        );
    }
}

/// A purge may arrive while an attempt waits in the queue. The command must carry the age limit as
/// of when it is written, or the server may answer with a purged copy.
#[test]
fn a_purge_bounds_the_accepted_age_of_a_queued_attempt_that_it_concerns() {
    let object = |key: &str| PurgeTarget::Object(key.to_owned());
    for (target, has_age_limit) in [
        (object("01-object"), true),
        (PurgeTarget::Group(7), true),
        (object("02-object"), false),
        (PurgeTarget::Group(8), false),
    ] {
        let mut fixture = Fixture::connecting();
        fixture.send_request(ClientRequest {
            purge_group: 7,
            ..photo_request("01")
        });
        fixture.now += 400_000;
        let purged_at = fixture.now - 30_000;
        // A purge of another object that arrives at its own time shows that the clock is not
        // behind the timestamps of purges.
        let now = fixture.now;
        let request_table = &mut fixture.request_table;
        request_table.handle_purge_event(now, object("other"), now);
        request_table.handle_purge_event(now, target.clone(), purged_at);
        fixture.socket.is_connected = true;
        fixture.flush();
        let text = fixture.received_by_server("fetch", 1);
        assert_eq!(
            text.contains("maxage=30"),
            has_age_limit,
            "purge of {target}: {text}"
        );
    }
}

/// An attempt in the output buffer of which no byte is written can still be removed. Otherwise the
/// cancelled command would be sent after all, followed by its abort.
#[test]
fn an_attempt_of_which_no_byte_is_written_is_cancelled_at_once() {
    let mut fixture = Fixture::connected();
    let unwritten = send_until_unwritten(&mut fixture);
    assert!(fixture.cancel(unwritten));
    assert_eq!(
        fixture.take_attempt_ends(),
        [AttemptEnd::new(unwritten, Outcome::Cancelled)]
    );
    assert!(fixture.socket.output.is_empty());
}

/// Sends attempts to a server that reads slowly, until one is in the output buffer with no byte
/// written, and returns it.
fn send_until_unwritten(fixture: &mut Fixture) -> AttemptId {
    for number in 0.. {
        let written_before = fixture.socket.bytes_written;
        let attempt = fixture.send_with_body(&format!("{number:04}"), vec![b'.'; 3000]);
        let is_unwritten = fixture.socket.bytes_written == written_before;
        if is_unwritten && !fixture.socket.output.is_empty() {
            return attempt;
        }
        // A partially written attempt has to be written completely before the next one can be
        // buffered.
        while !fixture.socket.output.is_empty() {
            let length = fixture.server_socket.read(&mut [0; 64]).unwrap();
            assert!(length > 0, "the connection was closed");
            assert!(fixture.flush());
        }
    }
    unreachable!("the socket buffers are bounded, so an attempt must stay unwritten")
}
