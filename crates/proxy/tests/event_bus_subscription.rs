//! The subscription to the event bus, and the endpoint lists that arrive on it.

use edge_testkit::fake_cache::FakeCacheServer;
use edge_testkit::fake_event_bus::{cache_entry, endpoint_state, origin_entry};
use edge_testkit::fastcgi_client::FastCgiClient;
use edge_testkit::proxy_fixture::{
    fetch_object, health_status, next_response, ProxyFixture, LONG_BUDGET_MS,
};
use edge_testkit::sample_deployment::{object_key, READ_CLASS, WRITE_CLASS};
use edge_testkit::scripted_server::ScriptedServer;
use edge_testkit::unix_ms;
use serde_json::{json, Value};

/// After a disconnect, the proxy must resume behind the last event that it has handled, or it
/// misses purges and drains. A purge must take effect although the cache still has a copy.
#[test]
fn subscription_resumes_behind_the_last_event_and_purges_limit_the_age_of_copies() {
    let proxy = ProxyFixture::start();
    let mut client = proxy.connect();
    assert_eq!(proxy.event_bus.wait_for_subscription(0), Some(0));
    let mut copy_created_at_ms =
        || fetch_object(&mut client, READ_CLASS, &object_key(1)).copy_created_at_ms();
    let first_copy_ms = copy_created_at_ms().unwrap();
    // Ages are in milliseconds. Within one millisecond, a copy from before the purge has the same
    // age as one from after it.
    while unix_ms() <= first_copy_ms + 1 {}

    proxy
        .event_bus
        .publish_object_purge(&object_key(1), first_copy_ms + 1);
    while copy_created_at_ms() == Some(first_copy_ms) {}

    proxy.event_bus.disconnect_subscribers();
    assert_eq!(proxy.event_bus.wait_for_subscription(1), Some(1));
    proxy.shut_down();
}

/// The endpoint list of a large fleet arrives in many reads. If the proxy reconnected while the
/// event is still arriving, it would never get the whole list.
#[test]
fn endpoint_list_of_a_large_fleet_is_read_by_one_subscription() {
    const SERVER_COUNT: usize = 2000;
    let proxy = ProxyFixture::builder()
        .caches(&[])
        .config(|config| config["known"] = Value::Null)
        .start();
    let origin = origin_entry(&proxy.origin, endpoint_state::READY);
    let mut endpoint_list = vec![origin.clone()];
    for number in 0..SERVER_COUNT {
        let mut server = origin.clone();
        server["uid"] = format!("s-{number:08x}").into();
        server["az"] = "far".into();
        endpoint_list.push(server);
    }

    proxy.event_bus.publish_endpoint_list(endpoint_list);

    let mut client = proxy.connect();
    while health_status(&mut client) != 200 {
        assert!(
            proxy.event_bus.subscription_count() <= 1,
            "the proxy replaced its first subscription while the event was still arriving"
        );
    }
    proxy.shut_down();
}

/// While the event bus is disconnected, other connections could take its slot in a full connection
/// table. Without the event bus, the proxy would learn of no drain and no purge.
#[test]
fn event_bus_is_reconnected_although_other_connections_fill_the_table() {
    // Connection table with room for the event bus, a client and a cache server.
    const MAX_CONNECTIONS: usize = 3;
    let mut proxy = ProxyFixture::builder()
        .limits(|limits| limits.connections = MAX_CONNECTIONS)
        .start();
    let mut client = proxy.connect();
    let response = fetch_object(&mut client, READ_CLASS, &object_key(1));
    assert_eq!(response.status, 200);
    assert_eq!(proxy.event_bus.wait_for_subscription(0), Some(0));

    // The proxy notices the end of the subscription and a request for the origin in the same turn.
    let paused = proxy.pause();
    proxy.event_bus.disconnect_subscribers_and_wait();
    client
        .request_object(2, WRITE_CLASS, &object_key(2), LONG_BUDGET_MS)
        .unwrap();
    paused.resume();

    assert_eq!(
        next_response(&mut client).1.status,
        503,
        "a connection to the origin took the slot reserved for the event bus"
    );
    assert_eq!(proxy.event_bus.wait_for_subscription(1), Some(0));
    proxy.shut_down();
}

/// An entry with an unknown state must not cause the whole event to be discarded, because drains of
/// other servers in it would be lost.
#[test]
fn unreadable_server_entry_does_not_invalidate_the_others() {
    const FETCHES_AFTER_DRAIN: u64 = 20;
    let proxy = ProxyFixture::builder().caches(&["s-0a", "s-0b"]).start();
    let draining = &proxy.caches[0];
    let mut client = proxy.connect();
    let mut unreadable_entry = cache_entry(&proxy.caches[1], "melting");
    unreadable_entry["uid"] = "s-0c".into();

    proxy.event_bus.publish_endpoint_changes(vec![
        unreadable_entry,
        cache_entry(draining, endpoint_state::DRAINING),
    ]);
    proxy
        .event_bus
        .publish_object_purge(&object_key(1), unix_ms());

    // Once a request has an age limit, the proxy has received the purge, and thus the endpoint list
    // before it.
    let got_age_limit = |cache: &FakeCacheServer| {
        let mut commands = cache.received().into_iter();
        commands.any(|command| command.field("maxage").is_some())
    };
    while !proxy.caches.iter().any(got_age_limit) {
        let response = fetch_object(&mut client, READ_CLASS, &object_key(1));
        assert_eq!(response.status, 200);
    }

    assert_gets_no_command(draining, &mut client, 0..FETCHES_AFTER_DRAIN);
    proxy.shut_down();
}

/// If the event bus needs longer to respond than the idle timeout, closing each connection at that
/// timeout would mean that no response is ever read.
#[test]
fn a_late_response_of_the_event_bus_is_read_from_the_earlier_connection() {
    const IDLE_TIMEOUT_US: u64 = 50_000;
    let event_bus = ScriptedServer::start().unwrap();
    let proxy = ProxyFixture::builder()
        .config(|config| {
            config["known"] = Value::Null;
            config["bus"] = event_bus.address.to_string().into();
        })
        .limits(|limits| limits.event_bus_idle_timeout_us = IDLE_TIMEOUT_US)
        .start();

    // The event bus does not respond in time, and the proxy connects again. Then the response
    // arrives on the first connection.
    let mut slow_connection = event_bus.accept().unwrap();
    let _second_connection = event_bus.accept().unwrap();
    let list = json!({"offset": 1, "topology": {"rev": 1, "all": true, "targets": [
        cache_entry(&proxy.caches[0], endpoint_state::READY),
        origin_entry(&proxy.origin, endpoint_state::READY),
    ]}});
    let response = format!("HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: {list}\n\n");
    slow_connection.send(response.as_bytes()).unwrap();

    let mut client = proxy.connect();
    let mut status = health_status(&mut client);
    for _ in 0..1_000 {
        if status == 200 {
            break;
        }
        std::thread::sleep(std::time::Duration::from_millis(1));
        status = health_status(&mut client);
    }
    assert_eq!(
        status, 200,
        "the response on the first connection was discarded"
    );
    proxy.shut_down();
}

/// Fetches the objects with these numbers. Asserts that they are served and that a draining cache
/// server gets no command meanwhile.
fn assert_gets_no_command(
    draining: &FakeCacheServer,
    client: &mut FastCgiClient,
    objects: impl IntoIterator<Item = u64>,
) {
    let commands_before = draining.received().len();
    for number in objects {
        let response = fetch_object(client, READ_CLASS, &object_key(number));
        assert_eq!(response.status, 200);
    }
    assert_eq!(
        draining.received().len(),
        commands_before,
        "the draining cache server was sent a new command"
    );
}

/// Connects a proxy to an event bus that tells it of two events at once, which are the drain of its
/// first cache server and a purge, and then breaks off in the middle of a third event. Asserts that
/// the proxy has applied the first two when it requests the events behind them.
fn assert_events_before_a_break_are_applied(tell: impl Fn(&Value, &Value) -> Vec<Value>) {
    const FETCHES_AFTER_DRAIN: usize = 20;
    let event_bus = ScriptedServer::start().unwrap();
    let proxy = ProxyFixture::builder()
        .caches(&["s-0a", "s-0b"])
        .config(|config| config["bus"] = event_bus.address.to_string().into())
        .start();
    let mut client = proxy.connect();
    let mut subscription = event_bus.accept().unwrap();
    subscription.next_http_head().unwrap();
    let draining = &proxy.caches[0];
    let entry = cache_entry(draining, endpoint_state::DRAINING);
    let drain = json!({"all": false, "targets": [entry]});
    let purge = json!({"url": object_key(1), "ts": unix_ms()});
    let events = tell(&drain, &purge);

    let mut text = String::new();
    let mut offset = 0;
    for mut event in events {
        offset += 1;
        event["offset"] = offset.into();
        text += &format!("id: {offset}\ndata: {event}\n\n");
    }
    text += "id: 99\ndata: {\"offs";
    let response = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{text}\r\n0\r\n\r\n",
        text.len()
    );
    subscription.send(response.as_bytes()).unwrap();
    let request = event_bus.accept().unwrap().next_http_head().unwrap();
    assert!(
        request.contains(&format!("Last-Event-ID: {offset}\r\n")),
        "{request}"
    );

    assert_gets_no_command(draining, &mut client, [1; FETCHES_AFTER_DRAIN]);
    let commands = proxy.caches[1].received();
    assert!(!commands.is_empty());
    assert!(
        commands
            .iter()
            .all(|command| command.field("maxage").is_some()),
        "a request for the purged object had no age limit"
    );
    proxy.shut_down();
}

/// Guards against a drain and a purge that are never applied because the event bus ends its response
/// right behind them.
#[test]
fn a_drain_and_a_purge_are_applied_although_the_event_bus_breaks_off_behind_them() {
    assert_events_before_a_break_are_applied(|drain, purge| {
        vec![json!({"topology": drain}), json!({"ban": purge})]
    });
}

/// Guards against a purge that is never applied because its event contains an endpoint list too.
#[test]
fn a_drain_and_a_purge_in_one_event_are_both_applied() {
    assert_events_before_a_break_are_applied(|drain, purge| {
        vec![json!({"topology": drain, "ban": purge})]
    });
}
