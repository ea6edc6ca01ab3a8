//! Requests that the proxy reads late, because a connection could not be accepted, watched or read
//! for a while. Their clients may have disconnected meanwhile, and their time budget has shrunk.
#![cfg(feature = "fault-injection")]

use edge_proxy::sys::fault::errno::{ENFILE, ENOBUFS, ENOMEM};
use edge_proxy::sys::fault::{Effect, Fault, FaultInjector, FaultPlan};
use edge_proxy::sys::SystemCall;
use edge_testkit::fastcgi_client::FastCgiClient;
use edge_testkit::proxy_fixture::{
    fetch_object, health_status, is_closed, next_response, next_status, ProxyFixture,
    LONG_BUDGET_MS, LONG_TIMEOUT_US,
};
use edge_testkit::sample_deployment::{object_key, READ_CLASS, WRITE_CLASS};
use edge_testkit::scripted_server::ScriptedServer;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// System calls whose failure delays the read of a request on a new connection, with the errors.
const READ_DELAYING_FAULTS: [(SystemCall, i32); 3] = [
    (SystemCall::Accept, ENFILE),
    (SystemCall::EpollAdd, ENOMEM),
    (SystemCall::Read, ENOBUFS),
];

/// Returns a proxy, a client that has been served, and the fault injector of the proxy.
fn start_proxy() -> (ProxyFixture, FastCgiClient, FaultInjector) {
    let injector = FaultInjector::new(FaultPlan::default());
    let proxy = ProxyFixture::builder().faults(&injector).start();
    proxy.event_bus.wait_for_subscription(0);
    let mut client = proxy.connect();
    assert_eq!(health_status(&mut client), 200);
    (proxy, client, injector)
}

/// Makes a system call fail until its faults are cleared.
fn make_call_fail(injector: &FaultInjector, call: SystemCall, errno: i32) {
    injector.add(Fault::for_next_calls(u32::MAX, call, Effect::Error(errno)));
}

/// Waits until the fault has affected what was sent before. A ready socket is read in every turn of
/// the event loop, together with other sockets, so `Read` has to fail in several turns.
fn wait_until_call_has_failed(injector: &FaultInjector, call: SystemCall) {
    const MIN_TURNS: u64 = 20;
    let failure_count = || injector.injected_counts().get(&call).copied().unwrap_or(0);
    let count_before = failure_count();
    let expected_count = match call {
        SystemCall::Read => count_before + MIN_TURNS,
        _ => count_before.max(1),
    };
    while failure_count() < expected_count {
        thread::sleep(Duration::from_millis(1));
    }
}

/// When a request is read late, its cancellation may already be waiting behind it. Admitting the
/// request before that is read would load a server although no client waits for the answer.
#[test]
fn a_request_whose_client_disconnected_before_it_was_read_is_not_forwarded() {
    for (call, errno) in READ_DELAYING_FAULTS {
        let (proxy, mut other_client, injector) = start_proxy();
        make_call_fail(&injector, call, errno);

        let mut closing_client = proxy.connect();
        closing_client
            .request_object(1, READ_CLASS, &object_key(1), LONG_BUDGET_MS)
            .unwrap();
        wait_until_call_has_failed(&injector, call);
        drop(closing_client);
        let mut aborting_client = proxy.connect();
        aborting_client
            .request_object(1, READ_CLASS, &object_key(2), LONG_BUDGET_MS)
            .unwrap();
        aborting_client.abort(1).unwrap();
        injector.remove_faults(call);

        assert_eq!(aborting_client.next_response().unwrap(), (1, None));
        let response = fetch_object(&mut other_client, READ_CLASS, &object_key(3));
        assert_eq!(response.status, 200);
        let fetched: Vec<_> = proxy.caches[0]
            .received()
            .iter()
            .filter_map(|command| command.object_key().map(str::to_owned))
            .collect();
        assert_eq!(
            fetched,
            [object_key(3)],
            "a request without a client was forwarded, {call:?} had failed"
        );
        proxy.shut_down();
    }
}

/// A client's budget runs from when it sends its request. Counted from when the proxy reads it, the
/// request would be forwarded after the client has stopped waiting.
#[test]
fn the_time_for_which_a_request_waits_unread_counts_against_its_budget() {
    const BUDGET_MS: u64 = 200;
    for (call, errno) in READ_DELAYING_FAULTS {
        let (proxy, mut other_client, injector) = start_proxy();
        make_call_fail(&injector, call, errno);

        let mut client = proxy.connect();
        client
            .request_object(1, READ_CLASS, &object_key(1), BUDGET_MS)
            .unwrap();
        wait_until_call_has_failed(&injector, call);
        let failed_at = Instant::now();
        while failed_at.elapsed() < Duration::from_millis(BUDGET_MS) {
            thread::sleep(Duration::from_millis(1));
        }
        injector.remove_faults(call);

        assert_eq!(
            next_status(&mut client),
            (1, 503),
            "a request read after its time was not rejected, {call:?} had failed"
        );
        let response = fetch_object(&mut other_client, READ_CLASS, &object_key(3));
        assert_eq!(response.status, 200);
        assert_eq!(
            proxy.caches[0].received().len(),
            1,
            "a request read after its time was forwarded, {call:?} had failed"
        );
        proxy.shut_down();
    }
}

/// A request may arrive within the grace period and be read only after its end, because a system
/// call failed. It must still get an answer rather than a closed connection.
#[test]
fn requests_that_could_not_be_read_before_the_grace_period_ends_are_answered() {
    for (call, errno) in READ_DELAYING_FAULTS {
        let injector = FaultInjector::new(FaultPlan::default());
        let mut proxy = ProxyFixture::builder()
            .faults(&injector)
            .limits(|limits| {
                limits.shutdown_grace_us = 0;
                limits.client_request_timeout_us = LONG_TIMEOUT_US;
            })
            .start();
        proxy.event_bus.wait_for_subscription(0);
        let mut idle_client = proxy.connect();
        assert_eq!(health_status(&mut idle_client), 200);

        // The requests arrive at the moment at which the grace period ends.
        let paused = proxy.pause();
        injector.add(Fault::for_next_calls(4, call, Effect::Error(errno)));
        let mut new_client = proxy.connect();
        for client in [&mut idle_client, &mut new_client] {
            client
                .request_object(2, READ_CLASS, &object_key(1), LONG_BUDGET_MS)
                .unwrap();
        }
        proxy.control.stop().unwrap();
        paused.resume();

        for client in [&mut idle_client, &mut new_client] {
            let (request_id, response) = next_response(client);
            assert_eq!(request_id, 2);
            assert!(
                [200, 503].contains(&response.status),
                "status {}, {call:?} had failed",
                response.status
            );
        }
        drop((idle_client, new_client));
        proxy.wait_for_exit();
    }
}

/// A connection that could not be read or watched may have unread input, so it does not count as
/// idle. Unless it is read again, a shutdown would wait for it until its deadline.
#[test]
fn an_idle_connection_that_could_not_be_read_or_watched_does_not_delay_a_shutdown() {
    for (call, errno) in [(SystemCall::EpollAdd, ENOMEM), (SystemCall::Read, ENOBUFS)] {
        let injector = FaultInjector::new(FaultPlan::default());
        let mut proxy = ProxyFixture::builder()
            .faults(&injector)
            .limits(|limits| {
                limits.shutdown_grace_us = 0;
                limits.client_request_timeout_us = LONG_TIMEOUT_US;
                limits.client_idle_timeout_us = LONG_TIMEOUT_US;
            })
            .start();
        proxy.event_bus.wait_for_subscription(0);
        let mut served_client = proxy.connect();
        assert_eq!(health_status(&mut served_client), 200);
        make_call_fail(&injector, call, errno);
        let mut new_client = proxy.connect();
        proxy.control.stop().unwrap();
        // After the grace period no connection is accepted.
        while FastCgiClient::connect(proxy.fastcgi_address).is_ok() {}
        injector.remove_faults(call);

        assert!(
            is_closed(&mut served_client),
            "the served client was not disconnected, {call:?} had failed"
        );
        assert!(
            is_closed(&mut new_client),
            "the new client was not disconnected, {call:?} had failed"
        );
        drop((served_client, new_client));
        proxy.wait_for_exit();
    }
}

/// A connection that waits at a listener keeps it readable. If the listener were watched again
/// after a pause although nothing is accepted any more, the event loop would spin.
#[test]
fn a_pause_of_accepting_that_outlasts_the_grace_period_does_not_make_the_event_loop_spin() {
    /// Upper bound on the waits of the event loop that a few timers cause.
    const MAX_WAITS: u64 = 300;
    const OBSERVATION_TIME: Duration = Duration::from_millis(200);
    let server = ScriptedServer::start().unwrap();
    let injector = FaultInjector::new(FaultPlan::default());
    let mut proxy = ProxyFixture::builder()
        .faults(&injector)
        .scripted_server(&server)
        .limits(|limits| limits.shutdown_grace_us = 0)
        .start();
    let mut waiting_client = proxy.connect();
    waiting_client
        .request_object(1, WRITE_CLASS, &object_key(1), LONG_BUDGET_MS)
        .unwrap();
    let mut connection = server.accept().unwrap();
    let fetch = connection.next_fetch().unwrap();

    // A peer CDN connects at the moment at which the grace period ends, and cannot be accepted.
    let paused = proxy.pause();
    injector.add(Fault::for_next_calls(
        2,
        SystemCall::Accept,
        Effect::Error(ENFILE),
    ));
    let peer_cdn = TcpStream::connect(proxy.interconnect_address).unwrap();
    proxy.control.stop().unwrap();
    paused.resume();
    wait_until_call_has_failed(&injector, SystemCall::Accept);
    // This counts the calls without changing their effect.
    count_waits(&injector);
    thread::sleep(OBSERVATION_TIME);
    let waits = injector
        .injected_counts()
        .get(&SystemCall::EpollWait)
        .copied();

    assert!(
        waits.unwrap_or(0) < MAX_WAITS,
        "the event loop spins: {waits:?} waits in {OBSERVATION_TIME:?}"
    );
    connection.answer_ok(&fetch.request_id).unwrap();
    assert_eq!(next_status(&mut waiting_client), (1, 200));
    drop((waiting_client, peer_cdn));
    proxy.wait_for_exit();
}

/// Makes the injector count the waits of the event loop.
fn count_waits(injector: &FaultInjector) {
    injector.add(Fault::for_next_calls(
        u32::MAX,
        SystemCall::EpollWait,
        Effect::Short(1),
    ));
}
