//! Bounds on connections and memory: who has to leave when they are reached, and who does not.

use edge_testkit::fake_cache::Behavior;
use edge_testkit::fastcgi_client::{FastCgiClient, END_OF_INPUT_BYTES, HEALTH_CHECK_PATH};
use edge_testkit::proxy_fixture::{
    fetch_object, is_closed, next_response, ProxyFixture, LONG_BUDGET_MS, LONG_TIMEOUT_US,
    REQUEST_BUDGET_MS,
};
use edge_testkit::sample_deployment::{object_key, READ_CLASS, WRITE_CLASS};
use edge_testkit::scripted_server::ScriptedServer;
use edge_testkit::Response;
use std::io::{self, ErrorKind};

/// With so many sockets there is room for one client.
const SOCKETS_FOR_ONE_CLIENT: u64 = 3;

#[test]
fn full_connection_table_evicts_an_idle_client_but_not_a_waiting_one() {
    const RESPONSE_DELAY_MS: u64 = 280;
    let proxy = ProxyFixture::builder()
        .config(|config| config["limits"]["sockets"] = SOCKETS_FOR_ONE_CLIENT.into())
        .start();
    let mut idle_client = proxy.connect();
    let response = fetch_object(&mut idle_client, READ_CLASS, &object_key(1));
    assert_eq!(response.status, 200);
    proxy.caches[0].set_behavior(Behavior::delayed(RESPONSE_DELAY_MS));

    let mut waiting_client = proxy.connect();
    waiting_client
        .request_object(1, READ_CLASS, &object_key(2), REQUEST_BUDGET_MS)
        .unwrap();
    proxy.caches[0].wait_for_request_of(&object_key(2)).unwrap();
    assert!(
        idle_client.next_response().is_err(),
        "the idle client is evicted"
    );

    let mut queued_client = proxy.connect();
    queued_client
        .request_object(1, READ_CLASS, &object_key(3), REQUEST_BUDGET_MS)
        .unwrap();
    assert_eq!(
        next_response(&mut waiting_client).1.status,
        200,
        "the waiting client is not evicted for the queued one"
    );

    drop(waiting_client);
    assert_eq!(next_response(&mut queued_client).1.status, 200);
    proxy.shut_down();
}

#[test]
fn silent_clients_and_partial_requests_are_disconnected_and_block_nobody() {
    const SOCKETS: u64 = 20;
    // Twice as many as there is room for.
    const CLIENTS: usize = 24;
    const SILENT_CLIENTS: usize = 12;
    const PARTIAL_REQUEST_BYTES: usize = 30;
    let proxy = ProxyFixture::builder()
        .config(|config| config["limits"]["sockets"] = SOCKETS.into())
        .start();
    let params = [("HTTP_REQUEST_ID", "0a")];
    let request = FastCgiClient::encode_request(1, "/invoke/photo", &params, b"");
    let partial_request = &request[..PARTIAL_REQUEST_BYTES];

    let mut clients: Vec<_> = (0..CLIENTS).map(|_| proxy.connect()).collect();
    for client in &mut clients[SILENT_CLIENTS..] {
        // It may be disconnected already.
        let _ = client.send(partial_request);
    }

    let response = fetch_object(&mut proxy.connect(), READ_CLASS, &object_key(1));
    assert_eq!(response.status, 200);
    for client in &mut clients {
        let end = client.next_response().unwrap_err().kind();
        assert!(
            matches!(end, ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset),
            "{end}"
        );
    }
    proxy.shut_down();
}

#[test]
fn client_with_an_unread_request_is_not_evicted() {
    let mut proxy = ProxyFixture::builder()
        .config(|config| config["limits"]["sockets"] = SOCKETS_FOR_ONE_CLIENT.into())
        .limits(|limits| limits.eviction_grace_us = 0)
        .start();
    let mut first_client = proxy.connect();
    let response = fetch_object(&mut first_client, READ_CLASS, &object_key(1));
    assert_eq!(response.status, 200);

    // The second client connects before the proxy has read the first one's request.
    let paused = proxy.pause();
    let mut second_client = proxy.connect();
    first_client
        .request_object(2, READ_CLASS, &object_key(2), LONG_BUDGET_MS)
        .unwrap();
    paused.resume();

    assert_eq!(
        next_response(&mut first_client).1.status,
        200,
        "its request had come when the second client needed room"
    );
    second_client
        .request_object(1, READ_CLASS, &object_key(3), LONG_BUDGET_MS)
        .unwrap();
    assert_eq!(next_response(&mut second_client).1.status, 200);
    proxy.shut_down();
}

/// Sends a request without its end and, so that it is read for certain, a health check behind it.
fn send_partial_request(
    client: &mut FastCgiClient,
    request_id: u16,
    body_bytes: usize,
) -> io::Result<(u16, Option<Response>)> {
    let request = FastCgiClient::encode_request(
        request_id,
        "/invoke/post",
        &[("HTTP_REQUEST_ID", "0a")],
        &vec![b'.'; body_bytes],
    );
    client
        .send(&request[..request.len() - END_OF_INPUT_BYTES])
        .unwrap();
    client.request_health_check(100).unwrap();
    client.next_response()
}

#[test]
fn partial_requests_are_bounded_in_memory_at_the_cost_of_the_largest_client() {
    // Below the sum of what both clients send.
    const PARTIAL_REQUESTS_BYTES: usize = 100_000;
    let proxy = ProxyFixture::builder()
        .limits(|limits| {
            limits.partial_request_bytes = PARTIAL_REQUESTS_BYTES;
            limits.client_request_timeout_us = LONG_TIMEOUT_US;
        })
        .start();
    let mut large_client = proxy.connect();
    let mut small_client = proxy.connect();
    let mut other_client = proxy.connect();

    assert!(send_partial_request(&mut small_client, 1, 20_000).is_ok());
    assert!(send_partial_request(&mut large_client, 1, 40_000).is_ok());
    assert!(send_partial_request(&mut large_client, 2, 30_000).is_ok());
    assert!(
        send_partial_request(&mut small_client, 2, 15_000).is_ok(),
        "the client that exceeds the bound is not the one that holds most"
    );

    assert!(is_closed(&mut large_client));
    let response = fetch_object(&mut other_client, READ_CLASS, &object_key(1));
    assert_eq!(response.status, 200);
    drop((large_client, small_client, other_client));
    proxy.shut_down();
}

#[test]
fn client_that_reads_no_responses_is_disconnected() {
    // The responses to them are far more than buffers and sockets hold.
    const REQUESTS: u32 = 500_000;
    let proxy = ProxyFixture::start();
    let mut client = proxy.connect();
    let health_check = FastCgiClient::encode_request(1, HEALTH_CHECK_PATH, &[], b"");

    let is_disconnected = (0..REQUESTS).any(|_| client.send(&health_check).is_err());

    assert!(is_disconnected, "its responses fill the memory");
    let response = fetch_object(&mut proxy.connect(), READ_CLASS, &object_key(1));
    assert_eq!(response.status, 200);
    proxy.shut_down();
}

#[test]
fn a_client_that_holds_too_much_of_partial_requests_still_gets_the_answers_that_it_is_owed() {
    const PARTIAL_REQUESTS_BYTES: usize = 100_000;
    let server = ScriptedServer::start().unwrap();
    let proxy = ProxyFixture::builder()
        .scripted_server(&server)
        .limits(|limits| {
            limits.partial_request_bytes = PARTIAL_REQUESTS_BYTES;
            limits.client_request_timeout_us = LONG_TIMEOUT_US;
        })
        .start();
    let mut large_client = proxy.connect();
    let mut small_client = proxy.connect();
    large_client
        .request_object(3, WRITE_CLASS, &object_key(1), LONG_BUDGET_MS)
        .unwrap();
    let mut connection = server.accept().unwrap();
    let fetch = connection.next_fetch().unwrap();
    assert!(send_partial_request(&mut large_client, 1, 40_000).is_ok());
    assert!(send_partial_request(&mut large_client, 2, 30_000).is_ok());

    // The other client takes the sum past the bound.
    assert!(send_partial_request(&mut small_client, 1, 35_000).is_ok());

    connection.answer_ok(&fetch.request_id).unwrap();
    let mut ended = [
        large_client.next_response().unwrap(),
        large_client.next_response().unwrap(),
        large_client.next_response().unwrap(),
    ];
    ended.sort_by_key(|(request_id, _)| *request_id);
    let statuses: Vec<_> = ended
        .iter()
        .map(|(request_id, response)| (*request_id, response.as_ref().map(|it| it.status)))
        .collect();
    assert_eq!(
        statuses,
        [(1, None), (2, None), (3, Some(200))],
        "the partial requests are refused, the open one is answered"
    );
    drop((large_client, small_client));
    proxy.shut_down();
}
