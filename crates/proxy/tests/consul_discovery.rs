//! A proxy that gets its endpoint list from Consul.

use edge_testkit::fake_consul::{ConsulInstance, FakeConsul};
use edge_testkit::proxy_fixture::{fetch_object, ProxyFixture};
use edge_testkit::sample_deployment::{object_key, READ_CLASS};
use serde_json::{json, Value};

const PASSING: &str = "passing";
const CRITICAL: &str = "critical";
const FETCHES_PER_PHASE: u64 = 10;

/// A cache server whose check is critical, or that is no longer registered in Consul, must get no
/// more commands, and one that recovers must get some again.
#[test]
fn endpoint_list_follows_the_health_checks_of_consul() {
    let consul = FakeConsul::start().unwrap();
    let proxy = ProxyFixture::builder()
        .caches(&["s-0a", "s-0b"])
        .config(|config| {
            config["known"] = Value::Null;
            config["consul"] =
                json!({"address": consul.address.to_string(), "service": "pop-cache"});
        })
        .start();
    let [first, second] = &proxy.caches[..] else {
        panic!("the fixture did not start two cache servers")
    };
    let mut client = proxy.connect();
    let mut fetch = |number: u64| fetch_object(&mut client, READ_CLASS, &object_key(number)).status;

    consul.register(&[
        ConsulInstance::for_cache(first, PASSING),
        ConsulInstance::for_cache(second, CRITICAL),
    ]);
    while fetch(1) != 200 {}
    for number in 0..FETCHES_PER_PHASE {
        assert_eq!(fetch(number), 200);
    }
    assert_eq!(
        second.received(),
        [],
        "a cache server with a critical check was sent a command"
    );

    consul.register(&[ConsulInstance::for_cache(second, PASSING)]);
    while second.received().is_empty() {
        fetch(1);
    }
    let commands_before = first.received().len();
    for number in 0..FETCHES_PER_PHASE {
        assert_eq!(fetch(number), 200);
    }
    assert_eq!(
        first.received().len(),
        commands_before,
        "a cache server that is no longer registered was sent a command"
    );
    proxy.shut_down();
}
