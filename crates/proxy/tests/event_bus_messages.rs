//! Messages of the event bus: events in JSON, and the event stream that carries them.

use edge_proxy::discovery::event_bus::{
    read_event, request, DiscoveryEvent, EventBusMessage, EventStreamClient,
};
use edge_proxy::limits::Limits;
use edge_proxy::request_table::PurgeTarget;
use edge_routing::{EndpointListMode, EndpointState};
use serde_json::{json, Value};

/// Returns a complete endpoint list entry.
fn entry(uid: &str) -> Value {
    json!({"uid": uid, "endpoint": "10.1.0.9:6565", "az": "east", "model": "std", "pod_group": 2,
        "state": "ready", "capacity_hint": 4, "boot_ms": 0})
}

/// Reads an event with changes to the endpoint list.
fn endpoint_list(entries: &[Value]) -> EventBusMessage {
    read_event(&json!({"offset": 41, "topology": {"rev": 7, "all": false, "targets": entries}}))
        .unwrap()
}

/// If one unreadable entry invalidated its whole event, drains of other servers in that event would
/// be lost.
#[test]
fn an_entry_that_cannot_be_read_is_skipped_and_the_others_are_kept() {
    let mut draining = entry("s-2");
    draining["state"] = json!("draining");
    let mut without_address = entry("s-3");
    without_address["endpoint"] = json!("nowhere");
    let mut unknown_state = entry("s-4");
    unknown_state["state"] = json!("asleep");
    let message = endpoint_list(&[
        entry("s-1"),
        without_address,
        json!(7),
        unknown_state,
        draining,
    ]);
    let [DiscoveryEvent::EndpointList(EndpointListMode::Delta, servers)] = &message.contents[..]
    else {
        panic!("not a list: {message:?}");
    };
    let read: Vec<_> = servers
        .iter()
        .map(|server| (server.wire_id.as_str(), server.endpoint.state))
        .collect();
    assert_eq!(
        read,
        [
            ("s-1", EndpointState::Ready),
            ("s-2", EndpointState::Draining)
        ]
    );
}

/// Entries may leave out optional fields, which then have defaults. A start time is in milliseconds
/// in the message and must be converted to microseconds. A start time of 0 means that it is
/// unknown.
#[test]
fn the_fields_of_an_entry_have_defaults_and_units() {
    let without_optional_fields =
        json!({"uid": "s-1", "endpoint": "10.1.0.9:6565", "state": "ready", "boot_ms": 12.0});
    let message = endpoint_list(&[entry("s-0"), without_optional_fields]);
    let [DiscoveryEvent::EndpointList(_, servers)] = &message.contents[..] else {
        panic!("not a list: {message:?}");
    };
    let (complete_endpoint, minimal_endpoint) = (&servers[0].endpoint, &servers[1].endpoint);
    assert_eq!(
        (
            complete_endpoint.zone.as_str(),
            complete_endpoint.kind.as_str()
        ),
        ("east", "std")
    );
    assert_eq!(
        (
            complete_endpoint.cell,
            complete_endpoint.weight,
            complete_endpoint.started_at
        ),
        (2, 4.0, None)
    );
    assert_eq!(
        (
            minimal_endpoint.zone.as_str(),
            minimal_endpoint.kind.as_str()
        ),
        ("", "")
    );
    assert_eq!(
        (
            minimal_endpoint.cell,
            minimal_endpoint.weight,
            minimal_endpoint.started_at
        ),
        (0, 1.0, Some(12_000))
    );
}

/// A purge that names neither an object nor a group must be an error that names the faulty key,
/// rather than be ignored without a trace.
#[test]
fn purges_name_an_object_or_a_group() {
    let purge = |ban: Value| read_event(&json!({"offset": 42, "ban": ban}));
    let object = purge(json!({"url": "7f3a", "tag": "unused", "ts": 5})).unwrap();
    assert_eq!(
        object.contents,
        [DiscoveryEvent::Purge {
            target: PurgeTarget::Object("7f3a".into()),
            at: 5_000
        }]
    );
    let group = purge(json!({"url": null, "tag": 17, "ts": 5})).unwrap();
    assert_eq!(
        group.contents,
        [DiscoveryEvent::Purge {
            target: PurgeTarget::Group(17),
            at: 5_000
        }]
    );
    for (ban, key) in [
        (json!({"ts": 5}), "tag"),
        (json!({"tag": "x", "ts": 5}), "tag"),
        (json!({"url": "7f3a"}), "ts"),
        (json!({"url": 3, "ts": 5}), "url"),
        (json!([]), "ban"),
    ] {
        let message = purge(ban).unwrap_err().to_string();
        assert!(message.contains(key), "{message}");
    }
}

/// An event of a kind that this version does not know must not end the stream. Its offset must be
/// read, or the proxy would request the event again after each reconnect.
#[test]
fn an_event_of_an_unknown_kind_is_read_as_its_offset_alone() {
    let message = read_event(&json!({"offset": 43, "later": {}})).unwrap();
    assert_eq!((message.offset, message.contents), (43, vec![]));
    assert!(read_event(&json!({"later": {}}))
        .unwrap_err()
        .to_string()
        .contains("offset"));
}

/// After a reconnect, the stream may repeat events. Each event must be handled once, and comments
/// and events without an offset must be skipped.
#[test]
fn a_stream_yields_each_event_once_and_skips_all_else() {
    let request_text = String::from_utf8(request("bus:8500", 41)).unwrap();
    assert!(request_text.contains("\r\nLast-Event-ID: 41\r\n"));
    assert!(request_text.contains("\r\nCache-Control: no-cache\r\n"));

    // The connection opens at 3 us and is read at 9 us.
    let mut client = EventStreamClient::new(&Limits::for_machine(1024, 192), 3);
    let mut messages = Vec::new();
    let stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: comment\n\n\
        data: {\"offset\":41}\n\ndata: {\"offset\":42}\n\ndata: {\"ban\":{}}\n\ndata: {\"offset\":44}\n\n";
    client
        .read(9, stream.as_bytes(), 41, &mut messages)
        .unwrap();
    assert_eq!(offsets(&messages), [42, 44]);
    assert_eq!(client.last_read_at(), 9);
    let repeated = b"data: {\"offset\":44}\n\n";
    client.read(9, repeated, 41, &mut messages).unwrap();
    assert_eq!(offsets(&messages), [42, 44]);
    assert!(client
        .read(9, b"data: no JSON\n\n", 44, &mut messages)
        .is_err());
}

/// Returns the numbers of events.
fn offsets(messages: &[EventBusMessage]) -> Vec<u64> {
    messages.iter().map(|message| message.offset).collect()
}

/// Guards against purges and drains that are lost with an error behind them in the same read: the
/// end of the response, in the middle of an event or not, or input that is malformed.
#[test]
fn events_before_an_error_are_read() {
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let event = |offset: u64| format!("id: {offset}\ndata: {{\"offset\":{offset}}}\n\n");
    let half_an_event = "id: 44\ndata: {\"off";
    let endings = [
        "0\r\n\r\n".to_owned(),
        chunk(half_an_event) + "0\r\n\r\n",
        chunk("data: no JSON\n\n"),
        "not a size\r\n".to_owned(),
    ];
    for ending in endings {
        let mut client = EventStreamClient::new(&Limits::for_machine(1024, 192), 0);
        let stream = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}{ending}",
            chunk(&(event(42) + &event(43)))
        );
        let mut messages = Vec::new();
        let result = client.read(0, stream.as_bytes(), 41, &mut messages);
        assert!(result.is_err(), "{ending:?}");
        assert_eq!(offsets(&messages), [42, 43], "{ending:?}");
    }
}

/// Guards against a purge that is lost because its event contains an endpoint list too, and against
/// a drain that is lost because the purge beside it cannot be read.
#[test]
fn each_content_of_an_event_is_read_on_its_own() {
    let list = json!({"all": false, "targets": [entry("s-1")]});
    let purge = json!({"url": "7f3a", "ts": 5});
    let contents = |list: &Value, purge: &Value| {
        let message = read_event(&json!({"offset": 44, "topology": list, "ban": purge})).unwrap();
        let name = |content: &DiscoveryEvent| match content {
            DiscoveryEvent::EndpointList(..) => "list",
            DiscoveryEvent::Purge { .. } => "purge",
        };
        message.contents.iter().map(name).collect::<Vec<_>>()
    };
    assert_eq!(contents(&list, &purge), ["list", "purge"]);
    assert_eq!(contents(&list, &json!({"url": "7f3a"})), ["list"]);
    assert_eq!(contents(&json!([]), &purge), ["purge"]);
    assert_eq!(contents(&json!({"targets": 7}), &purge), ["purge"]);
    assert_eq!(contents(&Value::Null, &purge), ["purge"]);
    assert!(read_event(&json!({"offset": 44, "topology": [], "ban": []})).is_err());
}
