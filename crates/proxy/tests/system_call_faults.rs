//! System calls that fail temporarily, with the errors that Linux documents for them.
#![cfg(feature = "fault-injection")]

use edge_proxy::sys::fault::errno::{
    EADDRNOTAVAIL, EINTR, EMFILE, ENETUNREACH, ENFILE, ENOBUFS, ENOMEM,
};
use edge_proxy::sys::fault::{ClockStep, Effect, Fault, FaultInjector, FaultPlan};
use edge_proxy::sys::SystemCall;
use edge_testkit::fake_cache::Behavior;
use edge_testkit::proxy_fixture::{
    fetch_object, health_status, next_status, ProxyFixture, LONG_BUDGET_MS, LONG_TIMEOUT_US,
};
use edge_testkit::sample_deployment::{object_key, READ_CLASS, WRITE_CLASS};
use edge_testkit::unix_ms;
use serde_json::json;

/// Returns an injector that injects no fault yet.
fn no_faults() -> FaultInjector {
    FaultInjector::new(FaultPlan::default())
}

/// Returns an injector that fails the next calls, given as their number, kind and error number.
fn faults(faults: impl IntoIterator<Item = (u32, SystemCall, i32)>) -> FaultInjector {
    let injector = no_faults();
    for (limit, call, errno) in faults {
        injector.add(Fault::for_next_calls(limit, call, Effect::Error(errno)));
    }
    injector
}

/// Opening a connection may fail because this machine lacks a descriptor, memory, a port or a
/// route. Counting that as a failure of the server would eject healthy servers.
#[test]
fn a_local_connection_failure_does_not_count_against_the_server() {
    let errors = [
        (SystemCall::Socket, ENFILE),
        (SystemCall::Socket, EMFILE),
        (SystemCall::Socket, ENOBUFS),
        (SystemCall::Connect, EADDRNOTAVAIL),
        (SystemCall::Connect, ENETUNREACH),
        (SystemCall::Connect, EINTR),
        (SystemCall::ConnectResult, ENETUNREACH),
        (SystemCall::EpollAdd, ENOMEM),
    ];
    for (call, errno) in errors {
        let injector = no_faults();
        let proxy = ProxyFixture::builder()
            .caches(&["s-0a", "s-0b"])
            .faults(&injector)
            .start();
        proxy.event_bus.wait_for_subscription(0);
        let mut client = proxy.connect();
        assert_eq!(health_status(&mut client), 200);
        // The servers of several requests in sequence cannot be reached.
        injector.add(Fault::for_next_calls(4, call, Effect::Error(errno)));

        for key in 1..=6 {
            let response = fetch_object(&mut client, READ_CLASS, &object_key(key));
            assert_eq!(
                response.status, 200,
                "request {key}, {call:?} failed with error {errno}"
            );
        }

        assert!(
            injector.injected_counts()[&call] > 0,
            "no fault was injected into {call:?}"
        );
        proxy.shut_down();
    }
}

/// A system call may fail temporarily while the proxy starts, for want of descriptors, memory or
/// buffers. The proxy must try again instead of giving up its start.
#[test]
fn the_proxy_starts_despite_temporary_system_call_failures() {
    let calls = [
        (SystemCall::EpollCreate, ENFILE),
        (SystemCall::EpollAdd, ENOMEM),
        (SystemCall::SocketPair, ENOBUFS),
        (SystemCall::ListenerSocket, ENFILE),
        (SystemCall::Bind, ENOBUFS),
    ];
    for (call, errno) in calls {
        let injector = faults([(2, call, errno)]);
        let proxy = ProxyFixture::builder().faults(&injector).start();
        let response = fetch_object(&mut proxy.connect(), READ_CLASS, &object_key(1));
        assert_eq!(
            response.status, 200,
            "{call:?} failed with error {errno} at the start"
        );
        proxy.shut_down();
    }
}

/// After an answer, the proxy reads once more to find out what follows it. If that read fails, the
/// answer must not wait until the next one arrives.
#[test]
fn an_answer_is_passed_on_although_the_read_behind_it_fails() {
    const READS_PER_REQUEST: u32 = 6;
    let injector = no_faults();
    let proxy = ProxyFixture::builder().faults(&injector).start();
    proxy.event_bus.wait_for_subscription(0);
    let mut client = proxy.connect();
    // The requests are writes, because no policy cancels a slow write. The number of reads before
    // the failure descends, because the retry after an earlier failure also reads the connection.
    for skip in (0..READS_PER_REQUEST).rev() {
        injector.add(Fault {
            skip,
            ..Fault::for_next_calls(1, SystemCall::Read, Effect::Error(ENOMEM))
        });
        let response = fetch_object(&mut client, WRITE_CLASS, &object_key(u64::from(skip)));
        assert_eq!(response.status, 200, "read {skip} failed");
        injector.remove_faults(SystemCall::Read);
    }
    assert!(injector.injected_counts()[&SystemCall::Read] > 0);
    let commands = proxy.caches[0].received().len() + proxy.origin.received().len();
    assert_eq!(
        commands, READS_PER_REQUEST as usize,
        "an answer waited until its attempt was cancelled or repeated"
    );
    proxy.shut_down();
}

/// A read or write that fails for want of memory, or because of a signal, says nothing about the
/// connection. Closing it would end all attempts and requests on it.
#[test]
fn a_connection_survives_temporary_read_and_write_failures() {
    for call in [SystemCall::Read, SystemCall::Write] {
        for errno in [ENOBUFS, ENOMEM, EINTR] {
            let injector = no_faults();
            let proxy = ProxyFixture::builder().faults(&injector).start();
            proxy.event_bus.wait_for_subscription(0);
            let mut client = proxy.connect();
            assert_eq!(health_status(&mut client), 200);
            injector.add(Fault::for_next_calls(5, call, Effect::Error(errno)));

            for key in 1..=2 {
                let response = fetch_object(&mut client, READ_CLASS, &object_key(key));
                assert_eq!(response.status, 200, "{call:?} failed with error {errno}");
            }

            assert_eq!(
                injector.injected_counts()[&call],
                5,
                "not all faults were injected into {call:?}"
            );
            assert_eq!(
                proxy.caches[0].accepted_connections(),
                1,
                "the connection was replaced after {call:?} failed with error {errno}"
            );
            proxy.shut_down();
        }
    }
}

/// An update of what the poller watches may fail for want of memory. Without a retry, the
/// connection would never be read or written again.
#[test]
fn a_connection_that_temporarily_cannot_be_watched_is_not_lost() {
    // More than the socket buffers hold, so that the proxy has to wait until it can write.
    const BODY_BYTES: usize = 480_000;
    const REQUESTS: u16 = 8;
    for call in [SystemCall::EpollAdd, SystemCall::EpollModify] {
        let injector = no_faults();
        let proxy = ProxyFixture::builder()
            .faults(&injector)
            .limits(|limits| limits.client_write_timeout_us = LONG_TIMEOUT_US)
            .start();
        proxy.event_bus.wait_for_subscription(0);
        proxy.origin.set_behavior(Behavior::padded(BODY_BYTES));
        injector.add(Fault::for_next_calls(3, call, Effect::Error(ENOMEM)));

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
        let mut statuses: Vec<_> = (0..REQUESTS).map(|_| next_status(&mut client)).collect();

        statuses.sort_unstable();
        let all_served: Vec<_> = (1..=REQUESTS).map(|id| (id, 200)).collect();
        assert_eq!(
            statuses, all_served,
            "not all requests were served after {call:?} failed"
        );
        assert_eq!(
            injector.injected_counts()[&call],
            3,
            "not all faults were injected into {call:?}"
        );
        drop(client);
        proxy.shut_down();
    }
}

/// After a pause, watching the listener again may fail. Without a retry, the proxy would never
/// accept another client.
#[test]
fn accepting_resumes_although_watching_the_listener_again_failed_once() {
    let injector = no_faults();
    let proxy = ProxyFixture::builder().faults(&injector).start();
    proxy.event_bus.wait_for_subscription(0);
    // Accepting pauses, for which the poller is called once to stop watching the listener. The
    // second call, which ends the pause, fails.
    injector.add(Fault::for_next_calls(
        1,
        SystemCall::Accept,
        Effect::Error(ENFILE),
    ));
    injector.add(Fault {
        skip: 1,
        ..Fault::for_next_calls(1, SystemCall::EpollModify, Effect::Error(ENOMEM))
    });

    for key in 1..=2 {
        let response = fetch_object(&mut proxy.connect(), READ_CLASS, &object_key(key));
        assert_eq!(response.status, 200, "client {key}");
    }

    assert_eq!(injector.injected_counts()[&SystemCall::EpollModify], 1);
    proxy.shut_down();
}

/// With a wrong wall clock, a purge could count as older than it is. The age limit sent to cache
/// servers would then admit copies from before the purge.
#[test]
fn a_clock_that_is_wrong_at_the_start_admits_no_purged_copy() {
    const ONE_HOUR_MS: i64 = 3_600_000;
    const PURGE_AGE_MS: u64 = 2_000;
    for by_ms in [ONE_HOUR_MS, -ONE_HOUR_MS, 5_000, -5_000, 0] {
        let injector = FaultInjector::new(FaultPlan {
            clock_steps: vec![ClockStep { at_ms: 0, by_ms }],
            ..FaultPlan::default()
        });
        let purged_at_ms = unix_ms() - PURGE_AGE_MS;
        let proxy = ProxyFixture::builder()
            .faults(&injector)
            .config(|config| {
                let batch = config["known"]["batch"].as_array_mut().unwrap();
                batch.push(json!({"offset": 0, "ban": {"url": object_key(1), "ts": purged_at_ms}}));
            })
            .start();
        let mut client = proxy.connect();

        for key in [1, 2, 1] {
            let response = fetch_object(&mut client, READ_CLASS, &object_key(key));
            assert_eq!(response.status, 200, "the clock is off by {by_ms} ms");
        }

        for command in proxy.caches[0].received() {
            let Some(max_age_ms) = command.field("maxage") else {
                assert_ne!(command.object_key(), Some(object_key(1).as_str()));
                continue;
            };
            let max_age_ms: u64 = max_age_ms.parse().unwrap();
            let since_purge_ms = command.received_at_ms - purged_at_ms;
            assert!(
                max_age_ms <= since_purge_ms,
                "clock off by {by_ms} ms: maxage {max_age_ms}, {since_purge_ms} ms after the purge"
            );
        }
        proxy.shut_down();
    }
}

/// A connection that this machine cannot watch misses its connect timeout even if the server has
/// accepted it. This must not count as a failure of the server.
#[test]
fn a_connection_that_cannot_be_watched_in_time_does_not_count_against_the_server() {
    const CONNECT_TIMEOUT_US: u64 = 15_000;
    let injector = no_faults();
    let proxy = ProxyFixture::builder()
        .faults(&injector)
        .limits(|limits| limits.connect_timeout_us = CONNECT_TIMEOUT_US)
        .start();
    proxy.event_bus.wait_for_subscription(0);
    let mut client = proxy.connect();
    assert_eq!(health_status(&mut client), 200);
    // The connection to the cache server cannot be watched until its connect timeout has expired.
    injector.add(Fault::for_next_calls(
        4,
        SystemCall::EpollAdd,
        Effect::Error(ENOMEM),
    ));

    let response = fetch_object(&mut client, READ_CLASS, &object_key(1));

    assert_eq!(response.status, 200);
    proxy.shut_down();
}
