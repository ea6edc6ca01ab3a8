//! Reload of the configuration file on SIGHUP.

use edge_testkit::fake_cache::Behavior;
use edge_testkit::fake_event_bus::FakeEventBus;
use edge_testkit::proxy_fixture::{fetch_object, next_response, ProxyFixture, REQUEST_BUDGET_MS};
use edge_testkit::sample_deployment::{object_key, READ_CLASS};
use serde_json::{json, Value};

/// Long enough to reload the configuration while a request is pending.
const RESPONSE_DELAY_MS: u64 = 300;

/// A reload must not close client connections or lose events between the old and the new event bus.
/// An invalid file must change nothing.
#[test]
fn reload_moves_the_subscription_and_keeps_pending_requests_and_connections() {
    let mut proxy = ProxyFixture::start();
    proxy.event_bus.publish_tag_purge(1, 1);
    assert_eq!(proxy.event_bus.wait_for_subscription(0), Some(0));
    let new_event_bus = FakeEventBus::start().unwrap();
    new_event_bus.publish_tag_purge(1, 1);
    proxy.caches[0].set_behavior(Behavior::delayed(RESPONSE_DELAY_MS));
    let mut client = proxy.connect();
    client
        .request_object(1, READ_CLASS, &object_key(1), REQUEST_BUDGET_MS)
        .unwrap();
    let fetch = proxy.caches[0].wait_for_request_of(&object_key(1)).unwrap();
    let copy_created_at_ms = fetch.received_at_ms;

    // An invalid file changes nothing: the proxy stays subscribed to the old event bus.
    proxy.config_file.lock().unwrap()["bus"] = json!("nowhere");
    proxy.control.reload().unwrap();
    proxy.event_bus.publish_tag_purge(2, 1);
    assert_eq!(next_response(&mut client).1.status, 200);
    proxy.caches[0].set_behavior(Behavior::default());
    proxy
        .event_bus
        .publish_object_purge(&object_key(1), copy_created_at_ms + 1);
    while fetch_object(&mut client, READ_CLASS, &object_key(1)).copy_created_at_ms()
        == Some(copy_created_at_ms)
    {}

    // A valid file moves the subscription, which resumes behind the last event.
    for tag in 0..2 {
        new_event_bus.publish_tag_purge(tag, 1);
    }
    proxy.config_file.lock().unwrap()["bus"] = json!(new_event_bus.address.to_string());
    proxy.control.reload().unwrap();
    assert_eq!(new_event_bus.wait_for_subscription(0), Some(3));

    let response = fetch_object(&mut client, READ_CLASS, &object_key(3));
    assert_eq!(
        response.status, 200,
        "the client's connection did not survive the reload"
    );
    proxy.shut_down();
}

/// SIGHUP may arrive while the file is partially written. Without another attempt, the proxy would
/// keep its previous configuration until the next signal.
#[test]
fn a_configuration_that_could_not_be_read_is_read_again() {
    let mut proxy = ProxyFixture::start();
    assert_eq!(proxy.event_bus.wait_for_subscription(0), Some(0));
    let new_event_bus = FakeEventBus::start().unwrap();
    let mut complete_config = proxy.config_file.lock().unwrap().clone();
    complete_config["bus"] = json!(new_event_bus.address.to_string());

    // The signal arrives while the file is partially written. The complete file follows without
    // another signal.
    *proxy.config_file.lock().unwrap() = Value::Null;
    proxy.control.reload().unwrap();
    let mut client = proxy.connect();
    let response = fetch_object(&mut client, READ_CLASS, &object_key(1));
    assert_eq!(
        response.status, 200,
        "the proxy did not keep serving with its previous configuration"
    );
    *proxy.config_file.lock().unwrap() = complete_config;

    assert_eq!(new_event_bus.wait_for_subscription(0), Some(0));
    drop(client);
    proxy.shut_down();
}
