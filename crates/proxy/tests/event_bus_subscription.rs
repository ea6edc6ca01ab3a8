//! The subscription to the event bus, and the server lists that come by it.

use edge_testkit::fake_cache::FakeCacheServer;
use edge_testkit::fake_event_bus::{cache_entry, origin_entry, server_state};
use edge_testkit::proxy_fixture::{
    fetch_object, health_status, next_response, ProxyFixture, LONG_BUDGET_MS,
};
use edge_testkit::sample_deployment::{object_key, READ_CLASS, WRITE_CLASS};
use edge_testkit::scripted_server::ScriptedServer;
use edge_testkit::unix_ms;
use serde_json::Value;

#[test]
fn subscription_resumes_behind_the_last_event_and_its_purges_bound_the_age() {
    let proxy = ProxyFixture::start();
    let mut client = proxy.connect();
    assert_eq!(proxy.event_bus.wait_for_subscription(0), Some(0));
    let mut copy_created_at_ms =
        || fetch_object(&mut client, READ_CLASS, &object_key(1)).copy_created_at_ms();
    let first_copy_ms = copy_created_at_ms().unwrap();
    // Within one millisecond no age tells the copy from one behind the purge.
    while unix_ms() <= first_copy_ms + 1 {}

    proxy
        .event_bus
        .publish_object_purge(&object_key(1), first_copy_ms + 1);
    while copy_created_at_ms() == Some(first_copy_ms) {}

    proxy.event_bus.disconnect_subscribers();
    assert_eq!(proxy.event_bus.wait_for_subscription(1), Some(1));
    proxy.shut_down();
}

#[test]
fn server_list_of_a_large_fleet_is_read_by_one_subscription() {
    const SERVERS: usize = 2000;
    let proxy = ProxyFixture::builder()
        .caches(&[])
        .config(|config| config["known"] = Value::Null)
        .start();
    let origin = origin_entry(&proxy.origin, server_state::READY);
    let mut server_list = vec![origin.clone()];
    for number in 0..SERVERS {
        let mut server = origin.clone();
        server["uid"] = format!("s-{number:08x}").into();
        server["az"] = "far".into();
        server_list.push(server);
    }

    proxy.event_bus.publish_endpoint_list(server_list);

    let mut client = proxy.connect();
    while health_status(&mut client) != 200 {
        assert!(
            proxy.event_bus.subscription_count() <= 1,
            "the first subscription was given up while the event was read"
        );
    }
    proxy.shut_down();
}

#[test]
fn event_bus_is_connected_again_although_other_connections_fill_the_table() {
    // Room for the event bus, a client and a cache server.
    const CONNECTIONS: usize = 3;
    let mut proxy = ProxyFixture::builder()
        .limits(|limits| limits.connections = CONNECTIONS)
        .start();
    let mut client = proxy.connect();
    let response = fetch_object(&mut client, READ_CLASS, &object_key(1));
    assert_eq!(response.status, 200);
    assert_eq!(proxy.event_bus.wait_for_subscription(0), Some(0));

    // The proxy sees the end of the subscription and a request for the origin at once.
    let paused = proxy.pause();
    proxy.event_bus.disconnect_subscribers_and_wait();
    client
        .request_object(2, WRITE_CLASS, &object_key(2), LONG_BUDGET_MS)
        .unwrap();
    paused.resume();

    assert_eq!(
        next_response(&mut client).1.status,
        503,
        "a connection to the origin would take the place of the event bus"
    );
    assert_eq!(proxy.event_bus.wait_for_subscription(1), Some(0));
    proxy.shut_down();
}

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
        cache_entry(draining, server_state::DRAINING),
    ]);
    proxy
        .event_bus
        .publish_object_purge(&object_key(1), unix_ms());

    // Once a request has an age limit, the purge is known, and so is the list before it.
    let got_age_limit = |cache: &FakeCacheServer| {
        let mut commands = cache.received().into_iter();
        commands.any(|command| command.field("maxage").is_some())
    };
    while !proxy.caches.iter().any(got_age_limit) {
        let response = fetch_object(&mut client, READ_CLASS, &object_key(1));
        assert_eq!(response.status, 200);
    }

    let commands_before = draining.received().len();
    for number in 0..FETCHES_AFTER_DRAIN {
        let response = fetch_object(&mut client, READ_CLASS, &object_key(number));
        assert_eq!(response.status, 200);
    }
    assert_eq!(draining.received().len(), commands_before, "it drains");
    proxy.shut_down();
}

#[test]
fn an_event_bus_that_is_slow_to_answer_is_heard() {
    const SILENCE_US: u64 = 50_000;
    let event_bus = ScriptedServer::start().unwrap();
    let proxy = ProxyFixture::builder()
        .config(|config| {
            config["known"] = Value::Null;
            config["bus"] = event_bus.address.to_string().into();
        })
        .limits(|limits| limits.event_bus_silence_us = SILENCE_US)
        .start();

    // The bus does not answer in time; the proxy asks again, and the first answer comes after that.
    let mut slow_connection = event_bus.accept().unwrap();
    let _second_connection = event_bus.accept().unwrap();
    let list = serde_json::json!({"offset": 1, "topology": {"rev": 1, "all": true, "targets": [
        cache_entry(&proxy.caches[0], server_state::READY),
        origin_entry(&proxy.origin, server_state::READY),
    ]}});
    let answer = format!("HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: {list}\n\n");
    slow_connection.send(answer.as_bytes()).unwrap();

    let mut client = proxy.connect();
    let mut status = health_status(&mut client);
    for _ in 0..1_000 {
        if status == 200 {
            break;
        }
        std::thread::sleep(std::time::Duration::from_millis(1));
        status = health_status(&mut client);
    }
    assert_eq!(status, 200, "the list has arrived");
    proxy.shut_down();
}
