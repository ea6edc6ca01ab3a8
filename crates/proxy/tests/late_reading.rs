//! Requests that the proxy comes to read late: accepting rested, or a socket could not be read or
//! watched for a while. Their clients may have left, and their time has gone on.
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

/// What keeps a request from being read, on a connection that is new.
const HINDRANCES: [(SystemCall, i32); 3] = [
    (SystemCall::Accept, ENFILE),
    (SystemCall::EpollAdd, ENOMEM),
    (SystemCall::Read, ENOBUFS),
];

/// A proxy, a client of it that is served, and the faults of the proxy's system calls.
fn start() -> (ProxyFixture, FastCgiClient, FaultInjector) {
    let injector = FaultInjector::new(FaultPlan::default());
    let proxy = ProxyFixture::builder().faults(&injector).start();
    proxy.event_bus.wait_for_subscription(0);
    let mut client = proxy.connect();
    assert_eq!(health_status(&mut client), 200);
    (proxy, client, injector)
}

/// Has a call fail until it is cleared.
fn hinder(injector: &FaultInjector, call: SystemCall, errno: i32) {
    injector.add(Fault::next(u32::MAX, call, Effect::Error(errno)));
}

/// Waits until what was sent before has met the hindrance. Reads of a socket that is ready are tried
/// in every turn of the event loop, together with those of other sockets; some turns make sure.
fn wait_until_hindered(injector: &FaultInjector, call: SystemCall) {
    const SOME_TURNS: u64 = 20;
    let failures = || injector.injected().get(&call).copied().unwrap_or(0);
    let before = failures();
    let wanted = match call {
        SystemCall::Read => before + SOME_TURNS,
        _ => before.max(1),
    };
    while failures() < wanted {
        thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn a_request_whose_client_left_before_it_was_read_is_not_forwarded() {
    for (call, errno) in HINDRANCES {
        let (proxy, mut other_client, injector) = start();
        hinder(&injector, call, errno);

        let mut closing_client = proxy.connect();
        closing_client
            .request_object(1, READ_CLASS, &object_key(1), LONG_BUDGET_MS)
            .unwrap();
        wait_until_hindered(&injector, call);
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
        assert_eq!(fetched, [object_key(3)], "{call:?}");
        proxy.shut_down();
    }
}

#[test]
fn the_time_that_a_request_waits_unread_is_its_clients() {
    const BUDGET_MS: u64 = 200;
    for (call, errno) in HINDRANCES {
        let (proxy, mut other_client, injector) = start();
        hinder(&injector, call, errno);

        let mut client = proxy.connect();
        client
            .request_object(1, READ_CLASS, &object_key(1), BUDGET_MS)
            .unwrap();
        wait_until_hindered(&injector, call);
        let hindered_at = Instant::now();
        while hindered_at.elapsed() < Duration::from_millis(BUDGET_MS) {
            thread::sleep(Duration::from_millis(1));
        }
        injector.remove_faults(call);

        assert_eq!(next_status(&mut client), (1, 503), "{call:?}");
        let response = fetch_object(&mut other_client, READ_CLASS, &object_key(3));
        assert_eq!(response.status, 200);
        assert_eq!(proxy.caches[0].received().len(), 1, "{call:?}");
        proxy.shut_down();
    }
}

#[test]
fn requests_that_could_not_be_read_before_the_grace_period_ends_are_answered() {
    for (call, errno) in HINDRANCES {
        let injector = FaultInjector::new(FaultPlan::default());
        let mut proxy = ProxyFixture::builder()
            .faults(&injector)
            .limits(|limits| {
                limits.shutdown_grace_us = 0;
                limits.client_request_timeout_us = LONG_TIMEOUT_US;
            })
            .start();
        proxy.event_bus.wait_for_subscription(0);
        let mut resting_client = proxy.connect();
        assert_eq!(health_status(&mut resting_client), 200);

        // The requests come in the moment in which the grace period ends.
        let paused = proxy.pause();
        injector.add(Fault::next(4, call, Effect::Error(errno)));
        let mut new_client = proxy.connect();
        for client in [&mut resting_client, &mut new_client] {
            client
                .request_object(2, READ_CLASS, &object_key(1), LONG_BUDGET_MS)
                .unwrap();
        }
        proxy.control.stop().unwrap();
        paused.resume();

        for client in [&mut resting_client, &mut new_client] {
            let (request_id, response) = next_response(client);
            assert_eq!(request_id, 2);
            assert!([200, 503].contains(&response.status), "{call:?}");
        }
        drop((resting_client, new_client));
        proxy.wait_for_exit();
    }
}

#[test]
fn an_idle_connection_that_could_not_be_read_or_watched_does_not_hold_up_a_shutdown() {
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
        hinder(&injector, call, errno);
        let mut new_client = proxy.connect();
        proxy.control.stop().unwrap();
        // Once the grace period is over nobody is accepted.
        while FastCgiClient::connect(proxy.fastcgi_address).is_ok() {}
        injector.remove_faults(call);

        assert!(is_closed(&mut served_client), "{call:?}");
        assert!(is_closed(&mut new_client), "{call:?}");
        drop((served_client, new_client));
        proxy.wait_for_exit();
    }
}

#[test]
fn a_pause_of_accepting_that_outlasts_the_grace_period_does_not_keep_the_loop_busy() {
    /// Waits of the event loop that a few timers explain.
    const MAX_WAITS: u64 = 300;
    const OBSERVED: Duration = Duration::from_millis(200);
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

    // A peer CDN connects in the moment in which the grace period ends, and can't be accepted.
    let paused = proxy.pause();
    injector.add(Fault::next(2, SystemCall::Accept, Effect::Error(ENFILE)));
    let peer_cdn = TcpStream::connect(proxy.interconnect_address).unwrap();
    proxy.control.stop().unwrap();
    paused.resume();
    wait_until_hindered(&injector, SystemCall::Accept);
    // Nothing is disturbed by this: the calls are counted.
    count_waits(&injector);
    thread::sleep(OBSERVED);
    let waits = injector.injected().get(&SystemCall::EpollWait).copied();

    assert!(waits.unwrap_or(0) < MAX_WAITS, "{waits:?} waits");
    connection.answer_ok(&fetch.request_id).unwrap();
    assert_eq!(next_status(&mut waiting_client), (1, 200));
    drop((waiting_client, peer_cdn));
    proxy.wait_for_exit();
}

/// Has the waits of the event loop counted.
fn count_waits(injector: &FaultInjector) {
    injector.add(Fault::next(
        u32::MAX,
        SystemCall::EpollWait,
        Effect::Short(1),
    ));
}
