//! The daemon on loopback, with the stand-ins of the rehearsal kit around it.

mod support;

use edge_testkit::fake_cache::Behavior;
use edge_testkit::fake_consul::{ConsulInstance, FakeConsul};
use edge_testkit::fake_event_bus::{cache_entry, origin_entry, FakeEventBus};
use edge_testkit::fastcgi_client::FastCgiClient;
use edge_testkit::http_client::{exchange, request};
use edge_testkit::unix_ms;
use serde_json::{json, Value};
use std::io::ErrorKind;
use std::net::{TcpListener, UdpSocket};
use support::fixture::{object, one, Rig, READY};

#[test]
fn requests_of_one_connection_are_served_in_any_order_and_unchanged() {
    let rig = Rig::start();
    let mut web = rig.web();
    // Records of two requests in turn, the second whole before the first.
    let first = FastCgiClient::encode_request(
        7,
        "/invoke/photo",
        &[
            ("HTTP_REQUEST_ID", &object(10)),
            ("HTTP_RESOURCE_KEY", &object(11)),
            ("HTTP_BUDGET_MS", "2000"),
        ],
        b"",
    );
    web.send(&first[..20]).unwrap();
    web.send(&first[20..first.len() - 8]).unwrap();
    web.request_object(8, "photo", &object(2), 2500).unwrap();
    let (id, answer) = web.next_response().unwrap();
    assert_eq!((id, answer.unwrap().status), (8, 200));
    web.send(&first[first.len() - 8..]).unwrap();
    let (id, answer) = web.next_response().unwrap();
    let answer = answer.unwrap();
    assert_eq!((id, answer.status), (7, 200));
    assert!(
        answer.body.starts_with(b"000000000000000b/0@"),
        "the bytes that the box gave"
    );
    // Many answers after each other: sums over what waits to be written must come back to nothing.
    for n in 0..50 {
        assert_eq!(one(&mut web, "photo", &object(n)).status, 200);
    }
    rig.stop();
}

#[test]
fn a_write_goes_to_the_origin_with_its_body_and_key() {
    let rig = Rig::start();
    assert_eq!(one(&mut rig.web(), "post", &object(1)).status, 200);
    let arrival = rig.origin.wait_for_command(|a| a.is_fetch()).unwrap();
    assert_eq!(arrival.body, b"a comment");
    assert_eq!(
        arrival.field("once"),
        Some("5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
    );
    assert_eq!(
        (arrival.field("src"), rig.boxes[0].received().len()),
        (None, 0)
    );
    rig.stop();
}

#[test]
fn with_no_box_to_reach_a_request_is_refused_and_told_when_to_come_back() {
    let rig = Rig::with(&["s-0a"], |config| {
        // An address at which nothing listens any more: refused connections prove that nothing ran.
        let free = TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        for target in config["known"]["batch"][0]["topology"]["targets"]
            .as_array_mut()
            .unwrap()
        {
            target["endpoint"] = free.to_string().into();
        }
    });
    for class in ["photo", "post"] {
        let answer = one(&mut rig.web(), class, &object(1));
        assert_eq!(
            (answer.status, answer.header("back-off-ms")),
            (503, Some("200")),
            "{class}"
        );
    }
    rig.stop();
}

#[test]
fn a_silent_box_costs_one_answer_and_an_aborted_request_is_given_up_there() {
    let rig = Rig::start();
    rig.boxes[0].set_behavior(Behavior {
        unresponsive: true,
        ..Behavior::default()
    });
    let mut web = rig.web();
    web.request_object(1, "photo", &object(1), 300).unwrap();
    let (id, answer) = web.next_response().unwrap();
    assert_eq!(
        (id, answer.unwrap().status),
        (1, 503),
        "safe to repeat, so refused"
    );
    web.request_object(2, "photo", &object(2), 60_000).unwrap();
    let sent = rig.boxes[0]
        .wait_for_command(|a| a.field("key") == Some(&object(2)))
        .unwrap();
    web.abort(2).unwrap();
    assert_eq!(web.next_response().unwrap(), (2, None));
    assert!(rig.boxes[0]
        .wait_for_command(|a| a.name == "abort" && a.request_id == sent.request_id)
        .is_some());
    rig.stop();
}

#[test]
fn what_is_not_understood_ends_a_request_or_its_connection_and_nothing_else() {
    let rig = Rig::start();
    let (mut web, mut other) = (rig.web(), rig.web());
    let (id, key) = (object(1), object(2));
    let good = [
        ("HTTP_REQUEST_ID", id.as_str()),
        ("HTTP_RESOURCE_KEY", &key),
        ("HTTP_BUDGET_MS", "2000"),
    ];
    for (name, value) in [
        ("HTTP_REQUEST_ID", "a,b"),
        ("HTTP_REQUEST_ID", ""),
        ("HTTP_RESOURCE_KEY", "no such object!!"),
        ("HTTP_BUDGET_MS", "-5"),
        ("HTTP_BUDGET_MS", "0"),
        ("HTTP_BUDGET_MS", "99999999999999999999"),
        ("HTTP_X_PIECE", "x"),
        ("HTTP_X_PIECE", "4294967296"),
        ("HTTP_X_LOT", "256"),
        ("HTTP_FOOTPRINT_KB", "NaN"),
        ("HTTP_FOOTPRINT_KB", "-1"),
        ("HTTP_FOOTPRINT_KB", "1e300"),
        ("HTTP_ONCE_KEY", "a=b"),
        ("HTTP_X_VER", "%00"),
        ("CONTENT_LENGTH", "7"),
        ("SCRIPT_NAME", "/invoke/a,b"),
    ] {
        let mut fields: Vec<_> = good.into_iter().filter(|(n, _)| *n != name).collect();
        fields.push((name, value));
        let path = if name == "SCRIPT_NAME" {
            value
        } else {
            "/invoke/photo"
        };
        web.send(&FastCgiClient::encode_request(1, path, &fields, b""))
            .unwrap();
        assert_eq!(
            web.next_response().unwrap().1.unwrap().status,
            400,
            "{name}: {value}"
        );
    }
    assert_eq!(rig.boxes[0].received(), [], "nothing of it was passed on");
    web.send(&FastCgiClient::encode_request(2, "/elsewhere", &[], b""))
        .unwrap();
    assert_eq!(web.next_response().unwrap().1.unwrap().status, 404);
    web.send(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    assert!(web.next_response().is_err(), "the connection is ended");
    assert_eq!(one(&mut other, "photo", &object(1)).status, 200);
    rig.stop();
}

#[test]
fn health_is_good_once_there_are_boxes() {
    let rig = Rig::with(&[], |config| config["known"] = Value::Null);
    let mut web = rig.web();
    let mut health = || {
        web.send(&FastCgiClient::encode_request(1, "/_health", &[], b""))
            .unwrap();
        web.next_response().unwrap().1.unwrap().status
    };
    assert_eq!(health(), 503);
    rig.bus
        .publish_server_list(vec![origin_entry(&rig.origin, READY)]);
    // ClientRequest until the event has come: bounded by the patience of the test's runner alone.
    while health() != 200 {}
    rig.stop();
}

#[test]
fn the_bus_is_called_again_behind_the_last_event_and_its_purges_bound_the_age() {
    let rig = Rig::start();
    let mut web = rig.web();
    assert_eq!(rig.bus.wait_for_subscription(0), Some(0));
    let made = one(&mut web, "photo", &object(1))
        .copy_created_at_ms()
        .unwrap();
    // In the same millisecond no age tells the copy from one behind the purge.
    while unix_ms() <= made + 1 {}
    rig.bus.publish_object_purge(&object(1), made + 1);
    while one(&mut web, "photo", &object(1)).copy_created_at_ms() == Some(made) {}
    rig.bus.disconnect_subscribers();
    assert_eq!(rig.bus.wait_for_subscription(1), Some(1));
    rig.stop();
}

#[test]
fn an_address_taken_over_by_another_box_gets_connections_of_its_own() {
    let rig = Rig::start();
    let mut web = rig.web();
    assert_eq!(one(&mut web, "photo", &object(1)).status, 200);
    let heir = rig.boxes[0].successor_at_same_address("s-0b");
    rig.bus.publish_server_changes(vec![
        cache_entry(&rig.boxes[0], "gone"),
        cache_entry(&heir, READY),
    ]);
    while rig.boxes[0].accepted_connections() < 2 {
        assert_eq!(one(&mut web, "photo", &object(2)).status, 200);
    }
    rig.stop();
}

#[test]
fn what_is_open_at_the_end_is_answered() {
    let rig = Rig::start();
    rig.boxes[0].set_behavior(Behavior {
        response_delay_ms: 150,
        ..Behavior::default()
    });
    let mut web = rig.web();
    web.request_object(1, "photo", &object(1), 2500).unwrap();
    rig.boxes[0].wait_for_command(|a| a.is_fetch()).unwrap();
    let Rig {
        mut control, run, ..
    } = rig;
    control.stop().unwrap();
    assert_eq!(web.next_response().unwrap().1.unwrap().status, 200);
    run.join().unwrap().unwrap();
}

#[test]
fn neighbours_get_the_specifications_errors() {
    let rig = Rig::start();
    let post =
        |path: &str, body: Value| request(rig.cdni, "POST", path, &body.to_string()).unwrap();
    let url = format!("http://cdn.example/content/photo/{}", object(1));
    let trigger = |kind: &str, selector: &str, value: &str| json!({"trigger": {"type": kind, selector: [value]}, "cdn-path": ["AS64501:0"]});
    assert_eq!(exchange(rig.cdni, b"what?\r\n\r\n").unwrap().status, 400);
    assert_eq!(
        request(rig.cdni, "PUT", "/cdni/triggers", "")
            .unwrap()
            .status,
        405
    );
    assert_eq!(
        post("/cdni/triggers", json!({"trigger": {"type": "purge"}})).status,
        400
    );
    let own =
        json!({"trigger": {"type": "purge", "content.urls": [url]}, "cdn-path": ["AS64500:0"]});
    assert_eq!(post("/cdni/triggers", own).status, 403, "a loop");
    for (command, status, error) in [
        (trigger("purge", "content.urls", &url), "complete", None),
        (
            trigger("invalidate", "content.ccid", "17"),
            "complete",
            None,
        ),
        (
            trigger("purge", "content.urls", "http://elsewhere.example/x"),
            "failed",
            Some("ereject"),
        ),
        (
            trigger("purge", "content.patterns", "*"),
            "failed",
            Some("ereject"),
        ),
        (
            trigger("preposition", "content.urls", &url),
            "failed",
            Some("ereject"),
        ),
    ] {
        let answer = post("/cdni/triggers", command);
        let value: Value = serde_json::from_slice(&answer.body).unwrap();
        assert_eq!(
            (answer.status, value["status"].as_str()),
            (201, Some(status))
        );
        assert_eq!(value["errors"][0]["error"].as_str(), error);
        let place = answer
            .header("location")
            .unwrap()
            .strip_prefix("http://cdn.example")
            .unwrap();
        assert_eq!(
            request(rig.cdni, "GET", place, "").unwrap().body,
            answer.body
        );
        assert_eq!(request(rig.cdni, "DELETE", place, "").unwrap().status, 204);
        assert_eq!(request(rig.cdni, "GET", place, "").unwrap().status, 404);
    }
    let redirect = |http: Value, path: &str| {
        let answer = post("/cdni/redirect", json!({"http": http, "cdn-path": [path]}));
        serde_json::from_slice::<Value>(&answer.body).unwrap()
    };
    let asked = |client: &str| json!({"c-ip": client, "cs-uri": url, "cs-method": "GET"});
    let good = redirect(asked("127.0.0.1"), "AS64501:0");
    assert_eq!(good["http"]["sc-(location)"], format!("{url}/0"));
    assert_eq!(
        redirect(asked("10.0.0.1"), "AS64501:0")["error"]["error-code"],
        504
    );
    assert_eq!(
        redirect(asked("127.0.0.1"), "AS64500:0")["error"]["error-code"],
        502
    );
    assert_eq!(redirect(json!({}), "AS64501:0")["error"]["error-code"], 400);
    let footprint = request(rig.cdni, "GET", "/cdni/footprint", "").unwrap();
    assert!(String::from_utf8(footprint.body)
        .unwrap()
        .contains("127.0.0.0/8"));
    assert_eq!(
        request(rig.cdni, "GET", "/content/photo/nothing", "")
            .unwrap()
            .status,
        404
    );
    rig.stop();
}

#[test]
fn content_asked_for_by_cdni_goes_through_the_same_decisions() {
    let rig = Rig::start();
    let get = |headers: &str| {
        let message = format!(
            "GET /content/photo/{}/3?kb=40 HTTP/1.1\r\n{headers}Connection: close\r\n\r\n",
            object(1)
        );
        exchange(rig.cdni, message.as_bytes()).unwrap()
    };
    let answer = get("");
    assert_eq!((answer.status, answer.has_surplus_bytes), (200, false));
    let arrival = rig.boxes[0].wait_for_command(|a| a.is_fetch()).unwrap();
    assert_eq!(
        (
            arrival.field("class"),
            arrival.field("part"),
            arrival.request_id.len()
        ),
        (Some("photo"), Some("3"), 16)
    );
    let tag = answer.header("etag").unwrap().to_owned();
    get(&format!("If-None-Match: {tag}\r\n"));
    assert!(rig.boxes[0]
        .wait_for_command(|a| a.field("have") == Some(tag.trim_matches('"')))
        .is_some());
    rig.stop();
}

#[test]
fn consul_can_be_the_source_of_the_list() {
    let agent = FakeConsul::start().unwrap();
    let rig = Rig::with(&["s-0a", "s-0b"], |config| {
        config["known"] = Value::Null;
        config["consul"] = json!({"address": agent.address.to_string(), "service": "pop-cache"});
    });
    let instance = |at: usize, status| ConsulInstance::for_cache(&rig.boxes[at], status);
    agent.register(&[instance(0, "passing"), instance(1, "critical")]);
    let mut web = rig.web();
    while one(&mut web, "photo", &object(1)).status != 200 {}
    for n in 0..10 {
        assert_eq!(one(&mut web, "photo", &object(n)).status, 200);
    }
    assert_eq!(rig.boxes[1].received(), [], "its check is critical");
    // The other way round: the list follows the checks.
    agent.register(&[instance(1, "passing")]);
    while rig.boxes[1].received().is_empty() {
        one(&mut web, "photo", &object(1));
    }
    let before = rig.boxes[0].received().len();
    for n in 0..10 {
        assert_eq!(one(&mut web, "photo", &object(n)).status, 200);
    }
    assert_eq!(rig.boxes[0].received().len(), before, "it is gone");
    rig.stop();
}

#[test]
fn in_a_full_table_an_idle_client_makes_room_and_one_that_waits_for_its_answer_does_not() {
    // Room for one client.
    let rig = Rig::with(&["s-0a"], |config| config["limits"]["sockets"] = json!(3));
    let mut first = rig.web();
    assert_eq!(one(&mut first, "photo", &object(1)).status, 200);
    rig.boxes[0].set_behavior(Behavior {
        response_delay_ms: 280,
        ..Behavior::default()
    });
    let mut second = rig.web();
    second.request_object(1, "photo", &object(2), 2500).unwrap();
    rig.boxes[0]
        .wait_for_command(|a| a.field("key") == Some(&object(2)))
        .unwrap();
    assert!(
        first.next_response().is_err(),
        "it asked once, kept its connection and had to leave"
    );
    let mut third = rig.web();
    third.request_object(1, "photo", &object(3), 2500).unwrap();
    assert_eq!(
        second.next_response().unwrap().1.unwrap().status,
        200,
        "the third waited in the queue meanwhile"
    );
    drop(second);
    assert_eq!(third.next_response().unwrap().1.unwrap().status, 200);
    rig.stop();
}

#[test]
fn clients_that_say_nothing_or_half_a_request_are_ended_and_shut_nobody_out() {
    let rig = Rig::with(&["s-0a"], |config| config["limits"]["sockets"] = json!(20));
    // Twice as many as there is room for, and longer than they are waited for.
    let request =
        FastCgiClient::encode_request(1, "/invoke/photo", &[("HTTP_REQUEST_ID", "0a")], b"");
    let mut crowd: Vec<_> = (0..24).map(|_| rig.web()).collect();
    crowd
        .iter_mut()
        .skip(12)
        .for_each(|half| half.send(&request[..30]).unwrap_or(()));
    assert_eq!(one(&mut rig.web(), "photo", &object(1)).status, 200);
    for client in &mut crowd {
        let gone = client.next_response().unwrap_err().kind();
        assert!(
            matches!(gone, ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset),
            "{gone}"
        );
    }
    rig.stop();
}

#[test]
fn on_sighup_the_bus_is_read_on_where_the_new_configuration_says_and_nothing_open_is_dropped() {
    let mut rig = Rig::start();
    rig.bus.publish_tag_purge(1, 1);
    assert_eq!(rig.bus.wait_for_subscription(0), Some(0));
    let moved = FakeEventBus::start().unwrap();
    moved.publish_tag_purge(1, 1);
    rig.boxes[0].set_behavior(Behavior {
        response_delay_ms: 300,
        ..Behavior::default()
    });
    let mut web = rig.web();
    web.request_object(1, "photo", &object(1), 2500).unwrap();
    let made = rig.boxes[0]
        .wait_for_command(|a| a.field("key") == Some(&object(1)))
        .unwrap()
        .received_at_ms;
    rig.file.lock().unwrap()["bus"] = json!("nowhere");
    rig.control.reload().unwrap();
    // A faulty file changes nothing: the bus that was is read on.
    rig.bus.publish_tag_purge(2, 1);
    assert_eq!(web.next_response().unwrap().1.unwrap().status, 200);
    rig.boxes[0].set_behavior(Behavior::default());
    rig.bus.publish_object_purge(&object(1), made + 1);
    while one(&mut web, "photo", &object(1)).copy_created_at_ms() == Some(made) {}
    (0..2).for_each(|tag| moved.publish_tag_purge(tag, 1));
    rig.file.lock().unwrap()["bus"] = json!(moved.address.to_string());
    rig.control.reload().unwrap();
    assert_eq!(
        moved.wait_for_subscription(0),
        Some(3),
        "behind the last event"
    );
    assert_eq!(
        one(&mut web, "photo", &object(3)).status,
        200,
        "on the same connection"
    );
    rig.stop();
}

#[test]
fn a_purge_told_at_one_proxy_reaches_its_peers_and_none_is_taken_from_strangers() {
    let (peer, stranger) = (
        UdpSocket::bind("127.0.0.1:0").unwrap(),
        UdpSocket::bind("127.0.0.1:0").unwrap(),
    );
    let rig = Rig::with(&["s-0a"], |config| {
        config["peer_listen"] = json!("127.0.0.1:0");
        config["peers"] = json!([peer.local_addr().unwrap().to_string()]);
    });
    let mut web = rig.web();
    let made: Vec<_> = [1, 3]
        .iter()
        .map(|n| one(&mut web, "photo", &object(*n)).copy_created_at_ms())
        .collect();
    while unix_ms() <= made[1].unwrap() + 1 {}
    let url = format!("http://cdn.example/content/photo/{}", object(2));
    let command =
        json!({"trigger": {"type": "purge", "content.urls": [url]}, "cdn-path": ["AS64501:0"]});
    assert_eq!(
        request(rig.cdni, "POST", "/cdni/triggers", &command.to_string())
            .unwrap()
            .status,
        201
    );
    let mut bytes = [0; 512];
    let (length, from) = peer.recv_from(&mut bytes).unwrap();
    let text = std::str::from_utf8(&bytes[..length]).unwrap();
    assert!(
        text.starts_with(&format!("purge object {} ", object(2))),
        "{text}"
    );
    let now = unix_ms() * 1000;
    stranger
        .send_to(format!("purge object {} {now}", object(3)).as_bytes(), from)
        .unwrap();
    peer.send_to(format!("purge object {} {now}", object(1)).as_bytes(), from)
        .unwrap();
    while one(&mut web, "photo", &object(1)).copy_created_at_ms() == made[0] {}
    assert_eq!(
        one(&mut web, "photo", &object(3)).copy_created_at_ms(),
        made[1]
    );
    rig.stop();
}

#[test]
fn a_purge_told_by_cdni_holds_for_a_daemon_that_starts_again() {
    let path = std::env::temp_dir().join(format!("edge_routing-purges-{}", std::process::id()));
    let kept = |config: &mut Value| config["purges"] = json!(path);
    let rig = Rig::with(&["s-0a"], kept);
    let url = format!("http://cdn.example/content/photo/{}", object(1));
    let command =
        json!({"trigger": {"type": "purge", "content.urls": [url]}, "cdn-path": ["AS64501:0"]});
    assert_eq!(
        request(rig.cdni, "POST", "/cdni/triggers", &command.to_string())
            .unwrap()
            .status,
        201
    );
    rig.stop();
    let rig = Rig::with(&["s-0a"], kept);
    let mut web = rig.web();
    for (n, bounded) in [(1, true), (2, false)] {
        assert_eq!(one(&mut web, "photo", &object(n)).status, 200);
        let asked = rig.boxes[0]
            .wait_for_command(|a| a.field("key") == Some(&object(n)))
            .unwrap();
        assert_eq!(asked.field("maxage").is_some(), bounded, "{}", asked.fields);
    }
    rig.stop();
    std::fs::remove_file(path).unwrap();
}

#[test]
fn a_slow_reader_gets_its_answers_whole_and_holds_nobody_up() {
    let rig = Rig::start();
    rig.boxes[0].set_behavior(Behavior {
        padding_bytes: 240_000,
        ..Behavior::default()
    });
    let (mut slow, mut other) = (rig.web(), rig.web());
    // Far more than the sockets and rings between take.
    for id in 1..=32 {
        slow.request_object(id, "photo", &object(u64::from(id)), 60_000)
            .unwrap();
    }
    // Of another name than any of them.
    other
        .request_object(99, "photo", &object(99), 2500)
        .unwrap();
    assert_eq!(
        other.next_response().unwrap().1.unwrap().body.len() / 1000,
        240
    );
    for _ in 1..=32 {
        let (id, answer) = slow.next_response().unwrap();
        let answer = answer.unwrap();
        assert!(
            answer.status == 503 || answer.body.len() / 1000 == 240,
            "{id}: {}",
            answer.status
        );
    }
    rig.stop();
}

#[test]
fn the_connections_of_a_box_that_is_gone_end_once_nothing_is_open_on_them() {
    let rig = Rig::with(&["s-0a", "s-0b"], |_| {});
    let mut web = rig.web();
    rig.boxes.iter().for_each(|b| {
        b.set_behavior(Behavior {
            response_delay_ms: 250,
            ..Behavior::default()
        })
    });
    (1..=6).for_each(|n| {
        web.request_object(n, "photo", &object(u64::from(n)), 2500)
            .unwrap()
    });
    rig.boxes[0].wait_for_command(|a| a.is_fetch()).unwrap();
    rig.bus
        .publish_server_changes(vec![cache_entry(&rig.boxes[0], "gone")]);
    for _ in 1..=6 {
        assert_eq!(
            web.next_response().unwrap().1.unwrap().status,
            200,
            "what was out there is answered"
        );
    }
    while rig.boxes[0].open_connections() > 0 {}
    rig.stop();
}

#[test]
fn many_attempts_at_one_box_are_spread_over_connections() {
    let rig = Rig::start();
    rig.boxes[0].set_behavior(Behavior {
        response_delay_ms: 100,
        ..Behavior::default()
    });
    let mut web = rig.web();
    for round in 0..3 {
        (1..=8).for_each(|n| {
            web.request_object(n, "photo", &object(round * 8 + u64::from(n)), 2500)
                .unwrap()
        });
        for _ in 1..=8 {
            assert_eq!(web.next_response().unwrap().1.unwrap().status, 200);
        }
    }
    // One that breaks takes two or three with it, not all.
    assert!(
        (3..=8).contains(&rig.boxes[0].accepted_connections()),
        "{}",
        rig.boxes[0].accepted_connections()
    );
    rig.stop();
}
