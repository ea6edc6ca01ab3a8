//! Connections to cache servers: how attempts share them, and how attempts end when a connection
//! closes.

use edge_testkit::fake_cache::Behavior;
use edge_testkit::fake_event_bus::{cache_entry, endpoint_state};
use edge_testkit::fastcgi_client::FastCgiClient;
use edge_testkit::proxy_fixture::{
    fetch_object, next_response, next_status, ProxyFixture, LONG_BUDGET_MS, LONG_TIMEOUT_US,
    REQUEST_BUDGET_MS, SHORT_BUDGET_MS,
};
use edge_testkit::sample_deployment::{object_key, READ_CLASS, WRITE_CLASS};
use edge_testkit::scripted_server::{ScriptedConnection, ScriptedServer};
use serde_json::json;

// Tests with a scripted server send writes, because no policy cancels a slow write.

/// Capacity of the input buffers in tests of spoilt answers.
const INPUT_BUFFER_BYTES: usize = 1024;

/// A new server may take over the address of one that is gone. Connections to the old server must
/// not carry attempts for the new one.
#[test]
fn server_that_takes_over_an_address_gets_connections_of_its_own() {
    let proxy = ProxyFixture::start();
    let mut client = proxy.connect();
    let response = fetch_object(&mut client, READ_CLASS, &object_key(1));
    assert_eq!(response.status, 200);

    let successor = proxy.caches[0].successor_at_same_address("s-0b");
    proxy.event_bus.publish_endpoint_changes(vec![
        cache_entry(&proxy.caches[0], endpoint_state::GONE),
        cache_entry(&successor, endpoint_state::READY),
    ]);

    while proxy.caches[0].accepted_connections() < 2 {
        let response = fetch_object(&mut client, READ_CLASS, &object_key(2));
        assert_eq!(response.status, 200);
    }
    proxy.shut_down();
}

/// Closing the connections to a removed server at once would lose the attempts in flight on them.
/// Keeping them open afterwards would waste slots.
#[test]
fn connections_to_a_removed_server_close_once_nothing_is_open_on_them() {
    const RESPONSE_DELAY_MS: u64 = 250;
    const REQUESTS: u16 = 6;
    let proxy = ProxyFixture::builder().caches(&["s-0a", "s-0b"]).start();
    let removed = &proxy.caches[0];
    let mut client = proxy.connect();
    for cache in &proxy.caches {
        cache.set_behavior(Behavior::delayed(RESPONSE_DELAY_MS));
    }
    for request_id in 1..=REQUESTS {
        let key = object_key(u64::from(request_id));
        client
            .request_object(request_id, READ_CLASS, &key, REQUEST_BUDGET_MS)
            .unwrap();
    }
    removed.wait_for_fetch().unwrap();

    let entry = cache_entry(removed, endpoint_state::GONE);
    proxy.event_bus.publish_endpoint_changes(vec![entry]);

    for _ in 1..=REQUESTS {
        assert_eq!(
            next_response(&mut client).1.status,
            200,
            "a request in flight was not answered after its server had been removed"
        );
    }
    while removed.open_connections() > 0 {}
    proxy.shut_down();
}

/// An answer that cannot be parsed ends all attempts in flight on its connection. With few attempts
/// on each connection, few are lost at once.
#[test]
fn concurrent_attempts_are_spread_over_connections() {
    const RESPONSE_DELAY_MS: u64 = 100;
    const ROUNDS: u64 = 3;
    const CONCURRENT_REQUESTS: u16 = 8;
    let proxy = ProxyFixture::start();
    let cache = &proxy.caches[0];
    cache.set_behavior(Behavior::delayed(RESPONSE_DELAY_MS));
    let mut client = proxy.connect();

    for round in 0..ROUNDS {
        for request_id in 1..=CONCURRENT_REQUESTS {
            let number = round * u64::from(CONCURRENT_REQUESTS) + u64::from(request_id);
            client
                .request_object(
                    request_id,
                    READ_CLASS,
                    &object_key(number),
                    REQUEST_BUDGET_MS,
                )
                .unwrap();
        }
        for _ in 1..=CONCURRENT_REQUESTS {
            assert_eq!(next_response(&mut client).1.status, 200);
        }
    }

    let connections = cache.accepted_connections();
    assert!(
        (3..=8).contains(&connections),
        "{connections} connections: one that breaks must fail two or three attempts, not all"
    );
    proxy.shut_down();
}

/// An answer and the reset of its connection may arrive together. The answer must be read first, or
/// a write that has succeeded would be sent again.
#[test]
fn answer_counts_although_its_connection_is_reset_when_the_next_request_arrives() {
    let server = ScriptedServer::start().unwrap();
    let mut proxy = ProxyFixture::builder().scripted_server(&server).start();
    let mut first_client = proxy.connect();
    let mut second_client = proxy.connect();
    first_client
        .request_object(1, WRITE_CLASS, &object_key(1), LONG_BUDGET_MS)
        .unwrap();
    let mut connection = server.accept().unwrap();
    let first_fetch = connection.next_command().unwrap();

    // The proxy notices the second request, the answer and the reset in the same turn.
    let paused = proxy.pause();
    second_client
        .request_object(1, WRITE_CLASS, &object_key(2), LONG_BUDGET_MS)
        .unwrap();
    connection.answer_ok(&first_fetch.request_id).unwrap();
    connection.reset().unwrap();
    paused.resume();

    let mut connection = server.accept().unwrap();
    let second_fetch = connection.next_command().unwrap();
    assert_eq!(
        second_fetch.object_key(),
        Some(object_key(2).as_str()),
        "the first request was sent again although its answer had arrived"
    );
    assert_eq!(next_response(&mut first_client).1.status, 200);
    connection.answer_ok(&second_fetch.request_id).unwrap();
    assert_eq!(next_response(&mut second_client).1.status, 200);
    proxy.shut_down();
}

/// The server may have closed an idle connection without the proxy having noticed. A request with
/// side effects that is sent on it is lost, because it may not be repeated.
#[test]
fn closed_connection_is_not_reused_for_a_request_that_must_not_be_repeated() {
    let server = ScriptedServer::start().unwrap();
    let mut proxy = ProxyFixture::builder()
        .scripted_server(&server)
        .config(|config| config["settings"]["categories"][1]["repeat"] = json!("side_effect"))
        .start();
    let mut client = proxy.connect();
    let serve_one = |client: &mut FastCgiClient, connection: &mut ScriptedConnection| {
        connection.answer_next_fetch().unwrap();
        next_response(client).1.status
    };
    client
        .request_object(1, WRITE_CLASS, &object_key(1), LONG_BUDGET_MS)
        .unwrap();
    let mut connection = server.accept().unwrap();
    assert_eq!(serve_one(&mut client, &mut connection), 200);

    // The proxy notices the second request and the end of the connection in the same turn.
    let paused = proxy.pause();
    client
        .request_object(2, WRITE_CLASS, &object_key(2), LONG_BUDGET_MS)
        .unwrap();
    connection.close().unwrap();
    paused.resume();

    let mut connection = server.accept().unwrap();
    assert_eq!(
        serve_one(&mut client, &mut connection),
        200,
        "the request was sent on the closed connection, so that it could not be repeated"
    );
    proxy.shut_down();
}

/// A connection may stay unresponsive for ever without being reported as broken. At the connection
/// limit of its server it must be replaced, or the server could not be used.
#[test]
fn unresponsive_connections_do_not_block_their_server() {
    let server = ScriptedServer::start().unwrap();
    // The server may have one connection, which counts as unresponsive after any silence.
    let proxy = ProxyFixture::builder()
        .scripted_server(&server)
        .limits(|limits| {
            limits.connections_per_server = 1;
            limits.unresponsive_after_us = 0;
        })
        .start();
    let mut client = proxy.connect();
    client
        .request_object(1, WRITE_CLASS, &object_key(1), SHORT_BUDGET_MS)
        .unwrap();
    let mut unresponsive_connection = server.accept().unwrap();
    unresponsive_connection.next_command().unwrap();
    assert_eq!(
        next_response(&mut client).1.status,
        503,
        "its budget is spent"
    );
    assert_eq!(
        unresponsive_connection.next_command().unwrap().name,
        "abort"
    );

    client
        .request_object(2, WRITE_CLASS, &object_key(2), LONG_BUDGET_MS)
        .unwrap();
    let mut connection = server.accept().unwrap();
    connection.answer_next_fetch().unwrap();

    assert_eq!(next_response(&mut client).1.status, 200);
    assert!(
        unresponsive_connection.next_command().is_err(),
        "the unresponsive connection was not closed to make room"
    );
    proxy.shut_down();
}

/// A server may answer a request twice. The second answer must not count as the answer to a retry,
/// which has the same request id.
#[test]
fn duplicate_answer_does_not_count_as_that_of_a_retry() {
    let server = ScriptedServer::start().unwrap();
    let proxy = ProxyFixture::builder().scripted_server(&server).start();
    let mut client = proxy.connect();
    client
        .request_object(1, WRITE_CLASS, &object_key(1), LONG_BUDGET_MS)
        .unwrap();
    let mut connection = server.accept().unwrap();
    let fetch = connection.next_command().unwrap();
    connection
        .answer(&fetch.request_id, "503", "-", "")
        .unwrap();

    // The attempt was never executed, so there is a retry. On the same connection, a duplicate of
    // the first answer could not be distinguished from the answer to the retry.
    let mut retry_connection = server.accept().unwrap();
    let retry = retry_connection.next_command().unwrap();
    assert_eq!(retry.name, "fetch");
    assert_eq!(retry.request_id, fetch.request_id);
    connection
        .answer(&fetch.request_id, "503", "-", "")
        .unwrap();

    // The next answer on this connection shows that the duplicate before it was read.
    client
        .request_object(2, WRITE_CLASS, &object_key(2), LONG_BUDGET_MS)
        .unwrap();
    let next_fetch = connection.next_command().unwrap();
    let fields = "how=local,made=1,etag=t2";
    connection
        .answer(&next_fetch.request_id, "200", fields, "the second")
        .unwrap();
    assert_eq!(next_status(&mut client), (2, 200));

    retry_connection.answer_ok(&retry.request_id).unwrap();
    assert_eq!(next_status(&mut client), (1, 200));
    proxy.shut_down();
}

/// Answers on a connection arrive one after the other. One that never ends would block the answers
/// to all later requests on its connection.
#[test]
fn endless_answer_fails_its_own_request_and_no_later_one() {
    let server = ScriptedServer::start().unwrap();
    // The answer never pauses for long enough to count as incomplete.
    let proxy = ProxyFixture::builder()
        .scripted_server(&server)
        .limits(|limits| {
            limits.partial_answer_timeout_us = LONG_TIMEOUT_US;
            limits.unawaited_answer_timeout_us = 0;
        })
        .start();
    let mut client = proxy.connect();
    client
        .request_object(1, WRITE_CLASS, &object_key(1), SHORT_BUDGET_MS)
        .unwrap();
    let mut endless_connection = server.accept().unwrap();
    let fetch = endless_connection.next_command().unwrap();
    let start_of_answer = format!(
        "*4\r\n$16\r\n{}\r\n$3\r\n200\r\n$1\r\n-\r\n$9000\r\n...",
        fetch.request_id
    );
    endless_connection.send(start_of_answer.as_bytes()).unwrap();
    assert_eq!(
        next_response(&mut client).1.status,
        503,
        "its budget is spent"
    );
    endless_connection
        .wait_until_closed()
        .expect("the connection was not closed although its endless answer has no waiting request");

    client
        .request_object(2, WRITE_CLASS, &object_key(2), LONG_BUDGET_MS)
        .unwrap();
    let mut connection = server.accept().unwrap();
    connection.answer_next_fetch().unwrap();
    assert_eq!(next_response(&mut client).1.status, 200);

    // The proxy does not wait for the rest of an answer to a request that was never sent either.
    let answer_to_nothing = b"*4\r\n$16\r\nffffffffffffffff\r\n$3\r\n200\r\n";
    connection.send(answer_to_nothing).unwrap();
    connection
        .wait_until_closed()
        .expect("the connection was not closed although its partial answer blocks all later ones");
    proxy.shut_down();
}

/// Has a cache server answer a read with spoilt bytes, which `answer` makes from the request id.
/// Asserts that the proxy closes the connection and serves the read by another attempt.
fn assert_served_by_a_retry(answer: impl Fn(&str) -> String) {
    let server = ScriptedServer::start().unwrap();
    let proxy = ProxyFixture::builder()
        .caches(&["s-0a", "s-0b"])
        .scripted_server(&server)
        .limits(|limits| limits.input_buffer_bytes = INPUT_BUFFER_BYTES)
        .start();
    let mut client = proxy.connect();
    client
        .request_object(1, READ_CLASS, &object_key(1), LONG_BUDGET_MS)
        .unwrap();

    let mut spoiling = server.accept().unwrap();
    let fetch = spoiling.next_fetch().unwrap();
    let spoilt = answer(&fetch.request_id);
    spoiling.send(spoilt.as_bytes()).unwrap();
    spoiling.wait_until_closed().unwrap();
    server.accept().unwrap().answer_next_fetch().unwrap();

    let (_, response) = next_response(&mut client);
    assert_eq!(
        (response.status, response.body.as_slice()),
        (200, &b"all of it"[..])
    );
    drop(client);
    proxy.shut_down();
}

/// Guards against a client that receives an empty part as served, because an answer announces fewer
/// strings than it has. The read is safe to repeat and must be served by another attempt.
#[test]
fn read_whose_answer_announces_too_few_strings_is_served_by_a_retry() {
    assert_served_by_a_retry(|id| {
        format!(
            "*2\r\n${}\r\n{id}\r\n$3\r\n200\r\n$16\r\nmade=1,etag=abcd\r\n$5\r\nbytes\r\n",
            id.len()
        )
    });
}

/// Guards against a client that receives a part cut at a line end, because the length before its
/// body is too short. The announced end is also the end of what one read returns. The read is safe
/// to repeat and must be served by another attempt.
#[test]
fn read_whose_body_is_longer_than_announced_is_served_by_a_retry() {
    let answer_until_announced_end = |id: &str, announced_bytes: usize| {
        format!(
            "*4\r\n${}\r\n{id}\r\n$3\r\n200\r\n$16\r\nmade=1,etag=abcd\r\n${announced_bytes}\r\n{}\r\n",
            id.len(),
            "x".repeat(announced_bytes)
        )
    };
    assert_served_by_a_retry(|id| {
        // The length has as many digits as any from 100 to 999.
        let bytes_around_body = answer_until_announced_end(id, 100).len() - 100;
        let announced_bytes = INPUT_BUFFER_BYTES - bytes_around_body;
        let cut = answer_until_announced_end(id, announced_bytes);
        assert_eq!(cut.len(), INPUT_BUFFER_BYTES);
        cut + "the rest of the part\r\n"
    });
}

/// Guards against memory that grows while clients take back their requests: the ids of cancelled
/// attempts are remembered for a while. When there are too many, their connection is replaced.
#[test]
fn a_connection_that_remembers_too_many_cancelled_attempts_is_replaced() {
    const MAX_ENDED_STREAMS: u64 = 3;
    let server = ScriptedServer::start().unwrap();
    let proxy = ProxyFixture::builder()
        .scripted_server(&server)
        .limits(|limits| limits.ended_streams = MAX_ENDED_STREAMS as usize)
        .start();
    let mut client = proxy.connect();
    let request = |client: &mut FastCgiClient, number: u64| {
        client
            .request_object(1, READ_CLASS, &object_key(number), LONG_BUDGET_MS)
            .unwrap();
    };
    request(&mut client, 0);
    let mut connection = server.accept().unwrap();
    connection.next_fetch().unwrap();
    client.abort(1).unwrap();
    assert!(client.next_response().unwrap().1.is_none());
    for number in 1..=MAX_ENDED_STREAMS {
        request(&mut client, number);
        connection.next_fetch().unwrap();
        client.abort(1).unwrap();
        assert!(client.next_response().unwrap().1.is_none());
    }
    connection.wait_until_closed().unwrap();

    request(&mut client, 9);
    server.accept().unwrap().answer_next_fetch().unwrap();
    assert_eq!(next_response(&mut client).1.status, 200);
    drop(client);
    proxy.shut_down();
}
