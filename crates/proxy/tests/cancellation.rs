//! Requests whose clients have aborted them, disconnected or run out of time.

use edge_proxy::protocol::fastcgi::{self, record_type};
use edge_testkit::fake_cache::Behavior;
use edge_testkit::proxy_fixture::{
    next_response, next_status, ProxyFixture, LONG_BUDGET_MS, SHORT_BUDGET_MS,
};
use edge_testkit::sample_deployment::{object_key, READ_CLASS, WRITE_CLASS};
use edge_testkit::scripted_server::ScriptedServer;
use edge_testkit::TEST_TIMEOUT;
use std::time::Instant;

/// A server that never answers must not leave its client without an answer. A request that the
/// client aborts must be aborted at the server too, or it goes on using resources.
#[test]
fn unresponsive_server_yields_503_and_an_aborted_request_is_cancelled_at_the_server() {
    let proxy = ProxyFixture::start();
    let cache = &proxy.caches[0];
    cache.set_behavior(Behavior::unresponsive());
    let mut client = proxy.connect();

    client
        .request_object(1, READ_CLASS, &object_key(1), SHORT_BUDGET_MS)
        .unwrap();
    assert_eq!(
        next_status(&mut client),
        (1, 503),
        "a request out of time was not answered with 503, after which the client may repeat it"
    );

    client
        .request_object(2, READ_CLASS, &object_key(2), LONG_BUDGET_MS)
        .unwrap();
    let fetch = cache.wait_for_request_of(&object_key(2)).unwrap();
    client.abort(2).unwrap();
    assert_eq!(client.next_response().unwrap(), (2, None));
    let abort = cache.wait_for_command(|command| {
        command.name == "abort" && command.request_id == fetch.request_id
    });
    assert!(abort.is_some());
    proxy.shut_down();
}

/// A client may abort or disconnect before its request is sent to a server. The request must then
/// be dropped from the queue, whether or not cancellation is allowed.
#[test]
fn requests_of_disconnected_clients_are_not_started() {
    for cancel_allowed in [true, false] {
        let server = ScriptedServer::start().unwrap();
        let mut proxy = ProxyFixture::builder()
            .scripted_server(&server)
            .config(|config| config["settings"]["limits"]["cancel"] = cancel_allowed.into())
            .start();

        // All of this arrives before the connection to the server is established.
        let paused = proxy.pause();
        let mut aborting_client = proxy.connect();
        let mut closing_client = proxy.connect();
        let mut waiting_client = proxy.connect();
        aborting_client
            .request_object(1, READ_CLASS, &object_key(1), LONG_BUDGET_MS)
            .unwrap();
        aborting_client.abort(1).unwrap();
        closing_client
            .request_object(1, READ_CLASS, &object_key(2), LONG_BUDGET_MS)
            .unwrap();
        drop(closing_client);
        waiting_client
            .request_object(1, READ_CLASS, &object_key(3), LONG_BUDGET_MS)
            .unwrap();
        paused.resume();

        let mut connection = server.accept().unwrap();
        let fetch = connection.next_command().unwrap();
        assert_eq!(
            fetch.object_key(),
            Some(object_key(3).as_str()),
            "cancel allowed: {cancel_allowed}"
        );
        connection.answer_ok(&fetch.request_id).unwrap();
        assert_eq!(next_response(&mut waiting_client).1.status, 200);
        proxy.shut_down();
    }
}

/// Without cancellation, an abandoned request waits for the answer of its server. If that never
/// arrives, the request must not keep its slot in the request table for ever.
#[test]
fn abandoned_request_is_freed_at_its_deadline_although_no_answer_arrives() {
    let server = ScriptedServer::start().unwrap();
    let proxy = ProxyFixture::builder()
        .scripted_server(&server)
        .config(|config| config["settings"]["limits"]["cancel"] = false.into())
        .limits(|limits| limits.pending_requests = 1)
        .start();
    let mut client = proxy.connect();
    client
        .request_object(1, WRITE_CLASS, &object_key(1), SHORT_BUDGET_MS)
        .unwrap();
    let mut connection = server.accept().unwrap();
    connection.next_command().unwrap();
    client.abort(1).unwrap();
    assert_eq!(client.next_response().unwrap(), (1, None));

    // The table has room for one request. Until the deadline of the first one, further requests are
    // refused. If the second request is admitted, the response to the health check arrives first.
    let deadline = Instant::now() + TEST_TIMEOUT;
    let fetch = loop {
        client
            .request_object(2, WRITE_CLASS, &object_key(2), LONG_BUDGET_MS)
            .unwrap();
        client.request_health_check(3).unwrap();
        match client.next_response().unwrap() {
            (3, _) => break connection.next_fetch().unwrap(),
            (_, refusal) => assert_eq!(refusal.unwrap().status, 503),
        }
        assert_eq!(client.next_response().unwrap().0, 3);
        assert!(
            Instant::now() < deadline,
            "the abandoned request was not freed at its deadline"
        );
    };

    assert_eq!(fetch.object_key(), Some(object_key(2).as_str()));
    connection.answer_ok(&fetch.request_id).unwrap();
    assert_eq!(next_response(&mut client).1.status, 200);
    proxy.shut_down();
}

/// A client may send an abort behind so much other input that it does not fit into the input buffer
/// at once. The abort must still be read.
#[test]
fn an_abort_behind_other_input_reaches_the_server() {
    const OTHER_RECORDS: usize = 100;
    const RECORD_BYTES: usize = 2_000;
    let server = ScriptedServer::start().unwrap();
    let proxy = ProxyFixture::builder().scripted_server(&server).start();
    let mut client = proxy.connect();
    client
        .request_object(1, READ_CLASS, &object_key(1), LONG_BUDGET_MS)
        .unwrap();
    let mut connection = server.accept().unwrap();
    let fetch = connection.next_fetch().unwrap();

    let mut other_input = Vec::new();
    for _ in 0..OTHER_RECORDS {
        fastcgi::write_record(&mut other_input, record_type::DATA, 1, &[0; RECORD_BYTES]);
    }
    client.send(&other_input).unwrap();
    client.abort(1).unwrap();

    let abort = connection.next_command().unwrap();
    assert_eq!(
        (abort.name.as_str(), abort.request_id),
        ("abort", fetch.request_id)
    );
    proxy.shut_down();
}
