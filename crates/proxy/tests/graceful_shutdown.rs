//! Graceful shutdown on SIGTERM: pending requests are answered, and after the grace period no
//! further ones are admitted.

use edge_proxy::config::Config;
use edge_testkit::fake_cache::Behavior;
use edge_testkit::fastcgi_client::FastCgiClient;
use edge_testkit::proxy_fixture::{
    health_status, is_closed, next_response, next_status, ProxyFixture, LONG_BUDGET_MS,
    LONG_TIMEOUT_US, REQUEST_BUDGET_MS,
};
use edge_testkit::sample_deployment::{object_key, sample_settings, READ_CLASS, WRITE_CLASS};
use edge_testkit::scripted_server::ScriptedServer;
use serde_json::json;

/// SIGTERM must not cut off a request that a cache server is still working on.
#[test]
fn pending_request_is_answered_after_sigterm() {
    const RESPONSE_DELAY_MS: u64 = 150;
    let mut proxy = ProxyFixture::start();
    proxy.caches[0].set_behavior(Behavior::delayed(RESPONSE_DELAY_MS));
    let mut client = proxy.connect();
    client
        .request_object(1, READ_CLASS, &object_key(1), REQUEST_BUDGET_MS)
        .unwrap();
    proxy.caches[0].wait_for_fetch().unwrap();

    proxy.control.stop().unwrap();

    assert_eq!(next_response(&mut client).1.status, 200);
    proxy.wait_for_exit();
}

/// A request admitted after the grace period could still be open when the process is killed.
/// Earlier requests must be answered before their connections are closed.
#[test]
fn after_the_grace_period_pending_requests_are_answered_and_new_ones_refused() {
    let server = ScriptedServer::start().unwrap();
    let mut proxy = ProxyFixture::builder()
        .scripted_server(&server)
        .limits(|limits| limits.lingering_close_us = LONG_TIMEOUT_US)
        .start();
    let mut waiting_client = proxy.connect();
    let mut idle_client = proxy.connect();
    health_status(&mut idle_client);
    waiting_client
        .request_object(1, WRITE_CLASS, &object_key(1), LONG_BUDGET_MS)
        .unwrap();
    let mut connection = server.accept().unwrap();
    let open_fetch = connection.next_command().unwrap();

    proxy.shut_down_past_grace_period();

    // The idle client's connection is closed. A request that crosses the close is not read.
    assert!(is_closed(&mut idle_client));
    idle_client
        .request_object(2, WRITE_CLASS, &object_key(2), LONG_BUDGET_MS)
        .unwrap();

    // The waiting client gets a response to every request. A new one is refused, because it could
    // still be open when the process is killed.
    waiting_client
        .request_object(2, WRITE_CLASS, &object_key(3), LONG_BUDGET_MS)
        .unwrap();
    assert_eq!(next_status(&mut waiting_client), (2, 503));
    connection.answer_ok(&open_fetch.request_id).unwrap();
    assert_eq!(next_status(&mut waiting_client), (1, 200));
    assert!(
        is_closed(&mut waiting_client),
        "the connection was not closed although all its requests are answered"
    );

    drop((waiting_client, idle_client));
    proxy.wait_for_exit();
    assert!(
        connection.next_command().is_err(),
        "a request that arrived after the grace period was forwarded"
    );
}

/// Closing a socket with unread input makes the kernel reset the connection, and responses that the
/// client has not yet received are lost. The lingering close prevents this.
#[test]
fn input_that_crosses_the_shutdown_does_not_reset_responses() {
    // More than the socket buffers hold, so that bytes are still in transit when the proxy has
    // written everything.
    const BODY_BYTES: usize = 480_000;
    const REQUESTS: u16 = 8;
    let mut proxy = ProxyFixture::builder()
        .limits(|limits| limits.lingering_close_us = LONG_TIMEOUT_US)
        .start();
    proxy.origin.set_behavior(Behavior::padded(BODY_BYTES));
    let mut client = proxy.connect();
    for request_id in 1..=REQUESTS {
        let key = object_key(u64::from(request_id));
        client
            .request_object(request_id, WRITE_CLASS, &key, LONG_BUDGET_MS)
            .unwrap();
    }
    for request_id in 1..=REQUESTS {
        let key = object_key(u64::from(request_id));
        proxy.origin.wait_for_request_of(&key).unwrap();
    }

    proxy.shut_down_past_grace_period();

    // While it reads, the client sends the first bytes of a request that it never completes.
    let params = [("HTTP_REQUEST_ID", "0a")];
    let request = FastCgiClient::encode_request(100, "/invoke/photo", &params, b"");
    for byte in request.chunks(1).take(usize::from(REQUESTS)) {
        client.send(byte).unwrap();
        let (request_id, response) = next_response(&mut client);
        assert_eq!(
            response.status, 200,
            "request {request_id} was not answered completely"
        );
    }
    drop(client);
    proxy.wait_for_exit();
}

/// SIGKILL may follow the shutdown deadline. Requests that are unsettled by then must be answered
/// as failed, even where attempts must not be cancelled.
#[test]
fn pending_request_is_answered_at_the_shutdown_deadline() {
    for cancel_allowed in [true, false] {
        let server = ScriptedServer::start().unwrap();
        // The shutdown deadline coincides with SIGTERM.
        let mut proxy = ProxyFixture::builder()
            .scripted_server(&server)
            .config(|config| config["settings"]["limits"]["cancel"] = cancel_allowed.into())
            .limits(|limits| limits.shutdown_deadline_us = 0)
            .start();
        let mut client = proxy.connect();
        client
            .request_object(1, WRITE_CLASS, &object_key(1), LONG_BUDGET_MS)
            .unwrap();
        let mut connection = server.accept().unwrap();
        connection.next_command().unwrap();

        proxy.control.stop().unwrap();

        assert_eq!(
            next_response(&mut client).1.status,
            502,
            "a write that may have been executed was not answered as failed, cancel allowed: \
             {cancel_allowed}"
        );
        assert!(
            is_closed(&mut client),
            "the connection was not closed after its last response"
        );
        drop(client);
        proxy.wait_for_exit();
    }
}

/// SIGKILL follows SIGTERM after the longest request deadline plus a fixed time, up to a maximum. A
/// later shutdown deadline would leave pending requests without an answer.
#[test]
fn shutdown_deadline_precedes_the_earliest_kill() {
    for (request_deadline_us, shutdown_deadline_us) in [
        (1_500_000, 2_150_000),
        (3_000_000, 3_650_000),
        (9_000_000, 3_650_000),
    ] {
        let mut settings = sample_settings();
        for class in settings["categories"].as_array_mut().unwrap() {
            class["deadline-us"] = request_deadline_us.into();
        }
        let config = json!({"listen": "127.0.0.1:0", "settings": settings});

        let limits = Config::from_json(&config).unwrap().limits;

        assert_eq!(
            limits.shutdown_deadline_us, shutdown_deadline_us,
            "longest deadline of a request: {request_deadline_us} us"
        );
    }
}
