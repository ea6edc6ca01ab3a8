//! Connections of FastCGI clients: malformed input, slow clients and connections without keep-alive
//! affect no other request.

use edge_testkit::fake_cache::Behavior;
use edge_testkit::fastcgi_client::{FastCgiClient, HEALTH_CHECK_PATH};
use edge_testkit::proxy_fixture::{
    fetch_object, is_closed, next_response, next_status, ProxyFixture, LONG_BUDGET_MS,
    LONG_TIMEOUT_US, REQUEST_BUDGET_MS,
};
use edge_testkit::sample_deployment::{object_key, READ_CLASS};
use edge_testkit::scripted_server::ScriptedServer;

/// Bytes that are not a FastCGI record.
const MALFORMED_RECORD: &[u8] = b"GET / HTTP/1.1\r\n\r\n";

/// Parameters each of which makes a valid request malformed. `SCRIPT_NAME` is the path of the
/// request.
const MALFORMED_PARAMS: [(&str, &str); 16] = [
    ("HTTP_REQUEST_ID", "a,b"),
    ("HTTP_REQUEST_ID", ""),
    ("HTTP_RESOURCE_KEY", "no such object!!"),
    ("HTTP_BUDGET_MS", "-5"),
    ("HTTP_BUDGET_MS", "0"),
    ("HTTP_BUDGET_MS", "99999999999999999999"),
    ("HTTP_X_PIECE", "x"),
    ("HTTP_X_PIECE", "4294967296"),
    ("HTTP_X_LOT", "256"),
    ("HTTP_FOOTPRINT_KB", "NaN"),
    ("HTTP_FOOTPRINT_KB", "-1"),
    ("HTTP_FOOTPRINT_KB", "1e300"),
    ("HTTP_ONCE_KEY", "a=b"),
    ("HTTP_X_VER", "%00"),
    ("CONTENT_LENGTH", "7"),
    ("SCRIPT_NAME", "/invoke/a,b"),
];

/// Values from clients go into commands to cache servers, where a comma, an equals sign or a huge
/// number could be misread. Malformed input must not affect other connections.
#[test]
fn malformed_requests_get_400_and_malformed_records_close_only_their_connection() {
    let proxy = ProxyFixture::start();
    let mut client = proxy.connect();
    let mut other_client = proxy.connect();
    let (trace_id, key) = (object_key(1), object_key(2));
    let valid_params = [
        ("HTTP_REQUEST_ID", trace_id.as_str()),
        ("HTTP_RESOURCE_KEY", &key),
        ("HTTP_BUDGET_MS", "2000"),
    ];

    for (name, value) in MALFORMED_PARAMS {
        let mut params = valid_params.to_vec();
        params.retain(|(valid_name, _)| *valid_name != name);
        params.push((name, value));
        let path = if name == "SCRIPT_NAME" {
            value
        } else {
            "/invoke/photo"
        };
        client
            .send(&FastCgiClient::encode_request(1, path, &params, b""))
            .unwrap();
        assert_eq!(next_response(&mut client).1.status, 400, "{name}: {value}");
    }
    assert_eq!(
        proxy.caches[0].received(),
        [],
        "a malformed request was forwarded"
    );

    client
        .send(&FastCgiClient::encode_request(2, "/elsewhere", &[], b""))
        .unwrap();
    assert_eq!(
        next_response(&mut client).1.status,
        404,
        "an unknown path was not answered with 404"
    );

    client.send(MALFORMED_RECORD).unwrap();
    assert!(
        client.next_response().is_err(),
        "the connection was not closed after a malformed record"
    );

    let response = fetch_object(&mut other_client, READ_CLASS, &object_key(1));
    assert_eq!(
        response.status, 200,
        "a malformed record on one connection affected another one"
    );
    proxy.shut_down();
}

/// A client that reads slowly makes responses wait in the proxy. They must not be truncated, and
/// must not delay the responses to other clients.
#[test]
fn slow_reader_gets_complete_responses_and_delays_no_other_client() {
    const BODY_BYTES: usize = 240_000;
    // With bodies of this size, far more than the sockets and buffers hold.
    const SLOW_REQUESTS: u16 = 32;
    let is_complete = |body: &[u8]| body.len() / 1000 == BODY_BYTES / 1000;
    let proxy = ProxyFixture::start();
    proxy.caches[0].set_behavior(Behavior::padded(BODY_BYTES));
    let mut slow_client = proxy.connect();
    let mut other_client = proxy.connect();

    for request_id in 1..=SLOW_REQUESTS {
        let key = object_key(u64::from(request_id));
        slow_client
            .request_object(request_id, READ_CLASS, &key, LONG_BUDGET_MS)
            .unwrap();
    }

    // This object is not requested by the slow client.
    other_client
        .request_object(99, READ_CLASS, &object_key(99), REQUEST_BUDGET_MS)
        .unwrap();
    let (_, response) = next_response(&mut other_client);
    assert!(
        is_complete(&response.body),
        "the body was truncated to {} bytes",
        response.body.len()
    );

    for _ in 1..=SLOW_REQUESTS {
        let (request_id, response) = next_response(&mut slow_client);
        assert!(
            response.status == 503 || is_complete(&response.body),
            "request {request_id}: truncated body with status {}",
            response.status
        );
    }
    proxy.shut_down();
}

/// A client that does not ask for keep-alive waits for the close of the connection. Without it, the
/// client would wait until the idle timeout.
#[test]
fn connection_without_keep_alive_is_closed_after_its_response() {
    // The flags of the request do not include the one that keeps the connection open.
    const NO_FLAGS: u8 = 0;
    let server = ScriptedServer::start().unwrap();
    let proxy = ProxyFixture::builder()
        .scripted_server(&server)
        .limits(|limits| limits.client_idle_timeout_us = LONG_TIMEOUT_US)
        .start();
    let mut client = proxy.connect();
    let trace_id = object_key(0x77);
    let idempotency_key = trace_id.repeat(2);
    let params = [
        ("HTTP_REQUEST_ID", trace_id.as_str()),
        ("HTTP_RESOURCE_KEY", &trace_id),
        ("HTTP_BUDGET_MS", "60000"),
        ("HTTP_ONCE_KEY", &idempotency_key),
    ];
    let request =
        FastCgiClient::encode_request_with_flags(1, NO_FLAGS, "/invoke/post", &params, b"");

    client.send(&request).unwrap();
    let mut connection = server.accept().unwrap();
    connection.answer_next_fetch().unwrap();

    assert_eq!(next_response(&mut client).1.status, 200);
    assert!(
        is_closed(&mut client),
        "the connection was not closed right after its response"
    );
    proxy.shut_down();
}

/// A connection is closed after a malformed record. The responses to valid requests before that
/// record must still be written.
#[test]
fn responses_to_requests_before_a_malformed_record_are_still_sent() {
    let proxy = ProxyFixture::start();
    let mut client = proxy.connect();
    let invalid_id = [("HTTP_REQUEST_ID", "not hexadecimal!")];
    let invalid_request = FastCgiClient::encode_request(1, "/invoke/photo", &invalid_id, b"");
    let health_check = FastCgiClient::encode_request(2, HEALTH_CHECK_PATH, &[], b"");

    client
        .send(&[&invalid_request, &health_check, MALFORMED_RECORD].concat())
        .unwrap();

    assert_eq!(next_status(&mut client), (1, 400));
    assert_eq!(next_status(&mut client), (2, 200));
    assert!(is_closed(&mut client));
    proxy.shut_down();
}
