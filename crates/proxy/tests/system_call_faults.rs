//! System calls that fail for a moment, in the ways that Linux documents.
#![cfg(feature = "fault-injection")]

use edge_proxy::sys::fault::{Effect, Fault, FaultInjector, FaultPlan};
use edge_proxy::sys::SystemCall;
use edge_testkit::proxy_fixture::{fetch_object, ProxyFixture};
use edge_testkit::sample_deployment::{object_key, READ_CLASS};

const EINTR: i32 = 4;
const ENOMEM: i32 = 12;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const EADDRNOTAVAIL: i32 = 99;
const ENETUNREACH: i32 = 101;
const ENOBUFS: i32 = 105;

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
        assert_eq!(edge_testkit::proxy_fixture::health_status(&mut client), 200);
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
