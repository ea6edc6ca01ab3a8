//! Serving of FastCGI requests: reads, writes, health checks and unreachable servers.

use edge_testkit::fake_event_bus::{endpoint_state, origin_entry};
use edge_testkit::fastcgi_client::{
    FastCgiClient, END_OF_INPUT_BYTES, IDEMPOTENCY_KEY, WRITE_BODY,
};
use edge_testkit::proxy_fixture::{
    fetch_object, health_status, next_response, next_status, set_server_addresses, ProxyFixture,
    REQUEST_BUDGET_MS,
};
use edge_testkit::sample_deployment::{object_key, READ_CLASS, WRITE_CLASS};
use edge_testkit::scripted_server::ScriptedServer;
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};

/// Returns an address at which nothing listens any more. Connections to it are refused, which
/// proves that no attempt was executed.
fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// Requests are multiplexed on one connection. A partially received request must not delay later
/// ones, and each response must carry the FastCGI id of its request.
#[test]
fn requests_on_one_connection_complete_in_any_order() {
    let proxy = ProxyFixture::start();
    let mut client = proxy.connect();
    let first = FastCgiClient::encode_request(
        7,
        "/invoke/photo",
        &[
            ("HTTP_REQUEST_ID", &object_key(10)),
            ("HTTP_RESOURCE_KEY", &object_key(11)),
            ("HTTP_BUDGET_MS", "2000"),
        ],
        b"",
    );
    let (start_of_first, end_of_first) = first.split_at(first.len() - END_OF_INPUT_BYTES);

    // The second request is complete before the first, whose start is sent in two parts.
    client.send(&start_of_first[..20]).unwrap();
    client.send(&start_of_first[20..]).unwrap();
    client
        .request_object(8, READ_CLASS, &object_key(2), REQUEST_BUDGET_MS)
        .unwrap();
    assert_eq!(next_status(&mut client), (8, 200));

    client.send(end_of_first).unwrap();
    let (request_id, response) = next_response(&mut client);
    assert_eq!((request_id, response.status), (7, 200));
    assert!(
        response.body.starts_with(b"000000000000000b/0@"),
        "the body is not that of the requested object"
    );

    // The count of unsent answer bytes must return to zero after each of many responses. If it only
    // grew, the proxy would reject requests once the count exceeds its limit.
    for number in 0..50 {
        let response = fetch_object(&mut client, READ_CLASS, &object_key(number));
        assert_eq!(response.status, 200);
    }
    proxy.shut_down();
}

/// Only the origin can execute a write. A lost body or idempotency key would make it do the wrong
/// thing, or the same thing twice.
#[test]
fn write_is_forwarded_to_the_origin_with_body_and_idempotency_key() {
    let proxy = ProxyFixture::start();

    let response = fetch_object(&mut proxy.connect(), WRITE_CLASS, &object_key(1));
    assert_eq!(response.status, 200);

    let command = proxy.origin.wait_for_fetch().unwrap();
    assert_eq!(command.body, WRITE_BODY);
    assert_eq!(command.field("once"), Some(IDEMPOTENCY_KEY));
    assert_eq!(command.field("src"), None);
    assert_eq!(
        proxy.caches[0].received(),
        [],
        "a write was sent to a cache server"
    );
    proxy.shut_down();
}

/// When no server can be reached, the client must get a prompt answer with a delay for its retry,
/// instead of waiting until its time is over.
#[test]
fn unreachable_servers_yield_503_with_a_retry_delay() {
    let proxy = ProxyFixture::builder()
        .config(|config| set_server_addresses(config, unused_address()))
        .start();

    for class in [READ_CLASS, WRITE_CLASS] {
        let response = fetch_object(&mut proxy.connect(), class, &object_key(1));
        assert_eq!(response.status, 503, "{class}");
        assert_eq!(response.header("back-off-ms"), Some("200"), "{class}");
    }
    proxy.shut_down();
}

/// A proxy without an endpoint list cannot serve requests. A successful health check would make web
/// servers send it requests too early.
#[test]
fn health_check_fails_until_servers_are_known() {
    let proxy = ProxyFixture::builder()
        .caches(&[])
        .config(|config| config["known"] = Value::Null)
        .start();
    let mut client = proxy.connect();

    assert_eq!(health_status(&mut client), 503);

    let origin = origin_entry(&proxy.origin, endpoint_state::READY);
    proxy.event_bus.publish_endpoint_list(vec![origin]);
    // Wait until the event has arrived. Only the time limit of the test runner bounds the wait.
    while health_status(&mut client) != 200 {}
    proxy.shut_down();
}

/// A 304 for a copy other than the client's, or one that names no copy, would make the client keep
/// outdated content. Such an answer must count as an error.
#[test]
fn client_copy_is_confirmed_only_if_the_server_names_that_copy() {
    const CLIENT_ETAG: &str = "00000000000000c0";
    const OTHER_ETAG: &str = "00000000000000c1";
    for (fields, status) in [
        (format!("how=local,made=1,etag={CLIENT_ETAG}"), 200),
        (format!("how=local,made=1,etag={OTHER_ETAG}"), 503),
        ("-".to_owned(), 503),
    ] {
        let server = ScriptedServer::start().unwrap();
        let proxy = ProxyFixture::builder()
            .scripted_server(&server)
            .config(|config| config["settings"]["limits"]["try-limit"] = 1.into())
            .start();
        let mut client = proxy.connect();
        let params = [
            ("HTTP_REQUEST_ID", object_key(0x70)),
            ("HTTP_RESOURCE_KEY", object_key(1)),
            ("HTTP_BUDGET_MS", "60000".to_owned()),
            ("HTTP_X_VER", CLIENT_ETAG.to_owned()),
        ];
        let params = params
            .each_ref()
            .map(|(name, value)| (*name, value.as_str()));
        let request = FastCgiClient::encode_request(1, "/invoke/photo", &params, b"");

        client.send(&request).unwrap();
        let mut connection = server.accept().unwrap();
        let fetch = connection.next_command().unwrap();
        connection
            .answer(&fetch.request_id, "304", &fields, "")
            .unwrap();

        let (_, response) = next_response(&mut client);
        assert_eq!(response.status, status, "{fields}");
        let is_confirmed = response.header("x-unchanged").is_some();
        assert_eq!(is_confirmed, status == 200, "{fields}");
        proxy.shut_down();
    }
}
