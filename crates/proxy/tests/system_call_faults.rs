//! System calls that fail for a moment, in the ways that Linux documents.
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

fn no_faults() -> FaultInjector {
    FaultInjector::new(FaultPlan::default())
}

fn faults(faults: impl IntoIterator<Item = (u32, SystemCall, i32)>) -> FaultInjector {
    let injector = no_faults();
    for (limit, call, errno) in faults {
        injector.add(Fault::next(limit, call, Effect::Error(errno)));
    }
    injector
}

#[test]
fn a_connection_that_fails_on_this_machine_blames_no_server() {
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
        // The servers of one request after the other can't be reached.
        injector.add(Fault::next(4, call, Effect::Error(errno)));

        for key in 1..=6 {
            let response = fetch_object(&mut client, READ_CLASS, &object_key(key));
            assert_eq!(response.status, 200, "request {key}, {call:?}: {errno}");
        }

        assert!(injector.injected()[&call] > 0, "{call:?} was not disturbed");
        proxy.shut_down();
    }
}

#[test]
fn a_start_survives_what_may_pass() {
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
        assert_eq!(response.status, 200, "{call:?}");
        proxy.shut_down();
    }
}

#[test]
fn a_connection_outlives_a_moment_without_memory() {
    for call in [SystemCall::Read, SystemCall::Write] {
        for errno in [ENOBUFS, ENOMEM, EINTR] {
            let injector = no_faults();
            let proxy = ProxyFixture::builder().faults(&injector).start();
            proxy.event_bus.wait_for_subscription(0);
            let mut client = proxy.connect();
            assert_eq!(health_status(&mut client), 200);
            injector.add(Fault::next(5, call, Effect::Error(errno)));

            for key in 1..=2 {
                let response = fetch_object(&mut client, READ_CLASS, &object_key(key));
                assert_eq!(response.status, 200, "{call:?}: {errno}");
            }

            assert_eq!(injector.injected()[&call], 5, "{call:?} was not disturbed");
            assert_eq!(proxy.caches[0].accepted_connections(), 1, "{call:?}");
            proxy.shut_down();
        }
    }
}

#[test]
fn a_connection_that_can_not_be_watched_for_a_moment_is_not_lost() {
    // More than the sockets hold at once, so that the proxy has to wait until it can write.
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
        injector.add(Fault::next(3, call, Effect::Error(ENOMEM)));

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
        assert_eq!(statuses, all_served, "{call:?}");
        assert_eq!(injector.injected()[&call], 3, "{call:?} was not disturbed");
        drop(client);
        proxy.shut_down();
    }
}

#[test]
fn accepting_goes_on_although_the_listener_could_not_be_watched_again() {
    let injector = no_faults();
    let proxy = ProxyFixture::builder().faults(&injector).start();
    proxy.event_bus.wait_for_subscription(0);
    // Accepting pauses, which takes one change of what is watched; the one that ends the pause
    // fails.
    injector.add(Fault::next(1, SystemCall::Accept, Effect::Error(ENFILE)));
    injector.add(Fault {
        skip: 1,
        ..Fault::next(1, SystemCall::EpollModify, Effect::Error(ENOMEM))
    });

    for key in 1..=2 {
        let response = fetch_object(&mut proxy.connect(), READ_CLASS, &object_key(key));
        assert_eq!(response.status, 200, "client {key}");
    }

    assert_eq!(injector.injected()[&SystemCall::EpollModify], 1);
    proxy.shut_down();
}

#[test]
fn a_clock_that_is_wrong_at_the_start_lets_no_purged_copy_pass() {
    const HOUR_MS: i64 = 3_600_000;
    const PURGED_BEFORE_MS: u64 = 2_000;
    for by_ms in [HOUR_MS, -HOUR_MS, 5_000, -5_000, 0] {
        let injector = FaultInjector::new(FaultPlan {
            clock_steps: vec![ClockStep { at_ms: 0, by_ms }],
            ..FaultPlan::default()
        });
        let purged_at_ms = unix_ms() - PURGED_BEFORE_MS;
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
            assert_eq!(response.status, 200, "off by {by_ms} ms");
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
                "off by {by_ms} ms: maxage {max_age_ms}, {since_purge_ms} ms after the purge"
            );
        }
        proxy.shut_down();
    }
}

#[test]
fn a_connection_that_can_not_be_watched_in_time_blames_no_server() {
    const CONNECT_TIMEOUT_US: u64 = 15_000;
    let injector = no_faults();
    let proxy = ProxyFixture::builder()
        .faults(&injector)
        .limits(|limits| limits.connect_timeout_us = CONNECT_TIMEOUT_US)
        .start();
    proxy.event_bus.wait_for_subscription(0);
    let mut client = proxy.connect();
    assert_eq!(health_status(&mut client), 200);
    // The connection to the cache server can't be watched until its time is over.
    injector.add(Fault::next(4, SystemCall::EpollAdd, Effect::Error(ENOMEM)));

    let response = fetch_object(&mut client, READ_CLASS, &object_key(1));

    assert_eq!(response.status, 200);
    proxy.shut_down();
}
