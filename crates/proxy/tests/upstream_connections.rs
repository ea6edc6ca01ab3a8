//! The instants in which something ends while something is still owed. Each test forces the bad order: the loop
//! is held, or a puppet waits, until all that is to cross has happened.

mod support;

use edge_proxy::config::Config;
use edge_proxy::protocol::fastcgi::{self, kind};
use edge_testkit::fake_cache::{Behavior, FakeCacheServer};
use edge_testkit::fake_event_bus::{cache_entry, origin_entry};
use edge_testkit::fastcgi_client::FastCgiClient;
use edge_testkit::scripted_server::{ScriptedConnection, ScriptedServer};
use edge_testkit::TEST_TIMEOUT;
use edge_testkit::{sample_settings, unix_ms};
use serde_json::{json, Value};
use std::io::ErrorKind;
use std::time::Instant;
use support::fixture::{object, one, Rig, READY};

/// What is asked of a puppet is a write: no module calls one off because it takes long.
const WRITE: &str = "post";
const MINUTE_US: u64 = 60_000_000;

/// Whether a client's connection was ended by a close, not by a reset.
fn is_closed(web: &mut FastCgiClient) -> bool {
    web.next_response()
        .is_err_and(|e| e.kind() == ErrorKind::UnexpectedEof)
}

#[test]
fn once_the_grace_is_over_nothing_that_is_read_is_sent_on_and_what_is_open_is_answered() {
    let puppet = ScriptedServer::start().unwrap();
    let mut rig = Rig::puppet(
        &puppet,
        |_| {},
        |limits| limits.lingering_close_us = MINUTE_US,
    );
    let (mut busy, mut resting) = (rig.web(), rig.web());
    resting
        .send(&FastCgiClient::encode_request(1, "/_health", &[], b""))
        .unwrap();
    resting.next_response().unwrap();
    busy.request_object(1, WRITE, &object(1), 60_000).unwrap();
    let mut line = puppet.accept().unwrap();
    let open = line.next_frame().unwrap();
    rig.end_grace();
    // One that rests is ended, and what crosses that end is read by nobody.
    assert!(is_closed(&mut resting));
    resting
        .request_object(2, WRITE, &object(2), 60_000)
        .unwrap();
    // One that still waits is owed an answer to all that it asks; a new request would outlive the process.
    busy.request_object(2, WRITE, &object(3), 60_000).unwrap();
    let (id, answer) = busy.next_response().unwrap();
    assert_eq!((id, answer.unwrap().status), (2, 503));
    line.answer(
        &open.request_id,
        "200",
        "how=local,made=1,etag=t1",
        "all of it",
    )
    .unwrap();
    let (id, answer) = busy.next_response().unwrap();
    assert_eq!((id, answer.unwrap().status), (1, 200));
    assert!(is_closed(&mut busy), "nothing is open on it any more");
    drop((busy, resting));
    rig.run.join().unwrap().unwrap();
    assert!(line.next_frame().is_err(), "nothing else was sent on");
}

#[test]
fn bytes_that_cross_the_end_reset_no_answer_away() {
    let mut rig = Rig::bounded(
        &["s-0a"],
        |_| {},
        |limits| limits.lingering_close_us = MINUTE_US,
    );
    // More than the sockets between take at once: the rest is still on its way when all is written.
    rig.origin.set_behavior(Behavior {
        padding_bytes: 480_000,
        ..Behavior::default()
    });
    let mut web = rig.web();
    for id in 1..=8 {
        web.request_object(id, WRITE, &object(u64::from(id)), 60_000)
            .unwrap();
    }
    (1..=8).for_each(|n| {
        rig.origin
            .wait_for_command(|a| a.field("key") == Some(&object(n)))
            .unwrap();
    });
    rig.end_grace();
    for n in 1..=8 {
        // It sends on while it reads: the first bytes of a request that never becomes whole.
        let request =
            FastCgiClient::encode_request(100, "/invoke/photo", &[("HTTP_REQUEST_ID", "0a")], b"");
        web.send(&request[n - 1..n]).unwrap();
        assert_eq!(
            web.next_response().unwrap().1.unwrap().status,
            200,
            "answer {n} came whole"
        );
    }
    drop(web);
    rig.run.join().unwrap().unwrap();
}

#[test]
fn a_client_that_does_not_keep_its_connection_gets_its_answer_and_then_the_end() {
    let puppet = ScriptedServer::start().unwrap();
    let rig = Rig::puppet(
        &puppet,
        |_| {},
        |limits| limits.client_idle_timeout_us = MINUTE_US,
    );
    let mut web = rig.web();
    let id = object(0x77);
    let once = id.repeat(2);
    let fields = [
        ("HTTP_REQUEST_ID", id.as_str()),
        ("HTTP_RESOURCE_KEY", &id),
        ("HTTP_BUDGET_MS", "60000"),
        ("HTTP_ONCE_KEY", &once),
    ];
    let mut request = FastCgiClient::encode_request(1, "/invoke/post", &fields, b"");
    let mut begin = Vec::new();
    fastcgi::write_record(&mut begin, kind::BEGIN, 1, &[0, 1, 0, 0, 0, 0, 0, 0]);
    request.splice(..begin.len(), begin);
    web.send(&request).unwrap();
    let mut line = puppet.accept().unwrap();
    let open = line.next_frame().unwrap();
    line.answer(
        &open.request_id,
        "200",
        "how=local,made=1,etag=t1",
        "all of it",
    )
    .unwrap();
    assert_eq!(web.next_response().unwrap().1.unwrap().status, 200);
    assert!(is_closed(&mut web), "it waits for nothing but the end");
    rig.stop();
}

#[test]
fn a_request_that_has_come_keeps_its_connection_from_making_room_for_another() {
    // Room for one client, which may have to leave at once.
    let mut rig = Rig::bounded(
        &["s-0a"],
        |config| config["limits"]["sockets"] = 3.into(),
        |limits| limits.eviction_immunity_us = 0,
    );
    let mut first = rig.web();
    assert_eq!(one(&mut first, "photo", &object(1)).status, 200);
    let held = rig.hold();
    let mut second = rig.web();
    first
        .request_object(2, "photo", &object(2), 60_000)
        .unwrap();
    drop(held);
    assert_eq!(
        first.next_response().unwrap().1.unwrap().status,
        200,
        "its request was there when room was looked for"
    );
    second
        .request_object(1, "photo", &object(3), 60_000)
        .unwrap();
    assert_eq!(second.next_response().unwrap().1.unwrap().status, 200);
    rig.stop();
}

#[test]
fn an_answer_that_has_come_counts_also_where_its_connection_breaks_under_the_next_request() {
    let puppet = ScriptedServer::start().unwrap();
    let mut rig = Rig::puppet(&puppet, |_| {}, |_| {});
    let (mut first, mut second) = (rig.web(), rig.web());
    first.request_object(1, WRITE, &object(1), 60_000).unwrap();
    let mut line = puppet.accept().unwrap();
    let open = line.next_frame().unwrap();
    let held = rig.hold();
    second.request_object(1, WRITE, &object(2), 60_000).unwrap();
    line.answer(
        &open.request_id,
        "200",
        "how=local,made=1,etag=t1",
        "all of it",
    )
    .unwrap();
    line.reset().unwrap();
    drop(held);
    // The next request has to be sent elsewhere; the first one was answered.
    let mut line = puppet.accept().unwrap();
    let again = line.next_frame().unwrap();
    assert_eq!(again.object_key(), Some(object(2).as_str()));
    assert_eq!(first.next_response().unwrap().1.unwrap().status, 200);
    line.answer(
        &again.request_id,
        "200",
        "how=local,made=1,etag=t1",
        "all of it",
    )
    .unwrap();
    assert_eq!(second.next_response().unwrap().1.unwrap().status, 200);
    rig.stop();
}

#[test]
fn a_connection_that_has_ended_is_not_used_again_for_what_may_not_be_repeated() {
    let puppet = ScriptedServer::start().unwrap();
    let once =
        |config: &mut Value| config["settings"]["categories"][1]["repeat"] = json!("side_effect");
    let mut rig = Rig::puppet(&puppet, once, |_| {});
    let mut web = rig.web();
    let served = |web: &mut FastCgiClient, line: &mut ScriptedConnection| {
        let open = line.next_frame().unwrap();
        line.answer(
            &open.request_id,
            "200",
            "how=local,made=1,etag=t1",
            "all of it",
        )
        .unwrap();
        web.next_response().unwrap().1.unwrap().status
    };
    web.request_object(1, WRITE, &object(1), 60_000).unwrap();
    let mut line = puppet.accept().unwrap();
    assert_eq!(served(&mut web, &mut line), 200);
    let held = rig.hold();
    web.request_object(2, WRITE, &object(2), 60_000).unwrap();
    line.close().unwrap();
    drop(held);
    assert_eq!(
        served(&mut web, &mut puppet.accept().unwrap()),
        200,
        "nothing of it was sent on the one that ended"
    );
    rig.stop();
}

#[test]
fn connections_that_have_gone_silent_do_not_bar_the_way_to_their_box() {
    let puppet = ScriptedServer::start().unwrap();
    // One connection, and any silence makes it one that may lead nowhere.
    let rig = Rig::puppet(
        &puppet,
        |_| {},
        |limits| (limits.connections_per_server, limits.unresponsive_after_us) = (1, 0),
    );
    let mut web = rig.web();
    web.request_object(1, WRITE, &object(1), 300).unwrap();
    let mut silent = puppet.accept().unwrap();
    silent.next_frame().unwrap();
    assert_eq!(
        web.next_response().unwrap().1.unwrap().status,
        503,
        "its time was up"
    );
    assert_eq!(silent.next_frame().unwrap().command, "abort");
    web.request_object(2, WRITE, &object(2), 60_000).unwrap();
    let mut line = puppet.accept().unwrap();
    let open = line.next_frame().unwrap();
    line.answer(
        &open.request_id,
        "200",
        "how=local,made=1,etag=t1",
        "all of it",
    )
    .unwrap();
    assert_eq!(web.next_response().unwrap().1.unwrap().status, 200);
    assert!(silent.next_frame().is_err(), "the silent one made room");
    rig.stop();
}

#[test]
fn a_second_copy_of_an_answer_is_not_taken_for_that_of_a_further_attempt() {
    let puppet = ScriptedServer::start().unwrap();
    let rig = Rig::puppet(&puppet, |_| {}, |_| {});
    let mut web = rig.web();
    web.request_object(1, WRITE, &object(1), 60_000).unwrap();
    let mut line = puppet.accept().unwrap();
    let open = line.next_frame().unwrap();
    line.answer(&open.request_id, "503", "-", "").unwrap();
    // It never ran, so it is asked again, and nothing tells that answer's copy from its own on one connection.
    let mut other = puppet.accept().unwrap();
    let again = other.next_frame().unwrap();
    assert_eq!(
        (again.command.as_str(), &again.request_id),
        ("fetch", &open.request_id)
    );
    line.answer(&open.request_id, "503", "-", "").unwrap();
    // An answer behind the copy on its connection shows that the copy was read.
    web.request_object(2, WRITE, &object(2), 60_000).unwrap();
    let next = line.next_frame().unwrap();
    line.answer(
        &next.request_id,
        "200",
        "how=local,made=1,etag=t2",
        "the second",
    )
    .unwrap();
    let (id, answer) = web.next_response().unwrap();
    assert_eq!((id, answer.unwrap().status), (2, 200));
    other
        .answer(
            &again.request_id,
            "200",
            "how=local,made=1,etag=t1",
            "all of it",
        )
        .unwrap();
    let (id, answer) = web.next_response().unwrap();
    assert_eq!((id, answer.unwrap().status), (1, 200));
    rig.stop();
}

#[test]
fn nothing_begins_for_a_client_that_has_gone_also_where_attempts_cannot_be_called_off() {
    for cancel in [true, false] {
        let puppet = ScriptedServer::start().unwrap();
        let mut rig = Rig::puppet(
            &puppet,
            |config| config["settings"]["limits"]["cancel"] = cancel.into(),
            |_| {},
        );
        let held = rig.hold();
        let (mut leaves, mut closes, mut stays) = (rig.web(), rig.web(), rig.web());
        // All of it comes before the connection to the box is up.
        leaves
            .request_object(1, "photo", &object(1), 60_000)
            .unwrap();
        leaves.abort(1).unwrap();
        closes
            .request_object(1, "photo", &object(2), 60_000)
            .unwrap();
        drop(closes);
        stays
            .request_object(1, "photo", &object(3), 60_000)
            .unwrap();
        drop(held);
        let mut line = puppet.accept().unwrap();
        let open = line.next_frame().unwrap();
        assert_eq!(
            open.object_key(),
            Some(object(3).as_str()),
            "calling off allowed: {cancel}"
        );
        line.answer(
            &open.request_id,
            "200",
            "how=local,made=1,etag=t1",
            "all of it",
        )
        .unwrap();
        assert_eq!(stays.next_response().unwrap().1.unwrap().status, 200);
        rig.stop();
    }
}

#[test]
fn an_answer_that_never_ends_costs_what_waits_for_it_and_no_later_request() {
    let puppet = ScriptedServer::start().unwrap();
    // It never pauses for long enough to be taken for one that stopped short.
    let rig = Rig::puppet(
        &puppet,
        |_| {},
        |limits| {
            (
                limits.partial_answer_timeout_us,
                limits.unawaited_answer_timeout_us,
            ) = (MINUTE_US, 0)
        },
    );
    let mut web = rig.web();
    web.request_object(1, WRITE, &object(1), 300).unwrap();
    let mut endless = puppet.accept().unwrap();
    let open = endless.next_frame().unwrap();
    endless
        .send(
            format!(
                "*4\r\n$16\r\n{}\r\n$3\r\n200\r\n$1\r\n-\r\n$9000\r\n...",
                open.request_id
            )
            .as_bytes(),
        )
        .unwrap();
    assert_eq!(
        web.next_response().unwrap().1.unwrap().status,
        503,
        "its time was up"
    );
    endless
        .wait_until_closed()
        .expect("nobody waits for the rest of it");
    web.request_object(2, WRITE, &object(2), 60_000).unwrap();
    let mut line = puppet.accept().unwrap();
    let open = line.next_frame().unwrap();
    line.answer(
        &open.request_id,
        "200",
        "how=local,made=1,etag=t1",
        "all of it",
    )
    .unwrap();
    assert_eq!(web.next_response().unwrap().1.unwrap().status, 200);
    // An answer under an id that nobody asked for is not waited for either.
    line.send(b"*4\r\n$16\r\nffffffffffffffff\r\n$3\r\n200\r\n")
        .unwrap();
    line.wait_until_closed().expect("it holds up all behind it");
    rig.stop();
}

#[test]
fn a_whole_list_of_a_large_fleet_is_taken_in() {
    let rig = Rig::with(&[], |config| config["known"] = Value::Null);
    let mut list = vec![origin_entry(&rig.origin, READY)];
    for n in 0..2000 {
        let mut other = list[0].clone();
        other["uid"] = format!("s-{n:08x}").into();
        other["az"] = "far".into();
        list.push(other);
    }
    rig.bus.publish_server_list(list);
    let mut web = rig.web();
    let mut health = || {
        web.send(&FastCgiClient::encode_request(1, "/_health", &[], b""))
            .unwrap();
        web.next_response().unwrap().1.unwrap().status
    };
    // ClientRequest until the event has come; a further call would mean that it was given up in the middle.
    while health() != 200 {
        assert!(
            rig.bus.subscription_count() <= 1,
            "it is read by the first call"
        );
    }
    rig.stop();
}

#[test]
fn a_clients_copy_is_called_current_only_where_the_box_names_that_copy() {
    let held = "00000000000000c0";
    for (fields, status) in [
        (format!("how=local,made=1,etag={held}"), 200),
        ("how=local,made=1,etag=00000000000000c1".to_owned(), 503),
        ("-".to_owned(), 503),
    ] {
        let puppet = ScriptedServer::start().unwrap();
        let once = |config: &mut Value| config["settings"]["limits"]["try-limit"] = 1.into();
        let rig = Rig::puppet(&puppet, once, |_| {});
        let mut web = rig.web();
        let (id, key) = (object(0x70), object(1));
        let asked = [
            ("HTTP_REQUEST_ID", id.as_str()),
            ("HTTP_RESOURCE_KEY", &key),
            ("HTTP_BUDGET_MS", "60000"),
            ("HTTP_X_VER", held),
        ];
        web.send(&FastCgiClient::encode_request(
            1,
            "/invoke/photo",
            &asked,
            b"",
        ))
        .unwrap();
        let mut line = puppet.accept().unwrap();
        let open = line.next_frame().unwrap();
        line.answer(&open.request_id, "304", &fields, "").unwrap();
        let answer = web.next_response().unwrap().1.unwrap();
        assert_eq!(
            (answer.status, answer.header("x-unchanged").is_some()),
            (status, status == 200),
            "{fields}"
        );
        rig.stop();
    }
}

#[test]
fn a_purge_bounds_the_age_also_behind_the_time_in_which_the_boxes_drop_their_copies() {
    let soon =
        |config: &mut Value| config["settings"]["family-info"]["purge-takes-us"] = 200_000.into();
    let rig = Rig::with(&["s-0a"], soon);
    let mut web = rig.web();
    rig.bus.publish_object_purge(&object(1), unix_ms());
    // ClientRequest for until the purge is known, and once more when every box says that it holds no older copy.
    let bounded = || {
        rig.boxes[0]
            .received()
            .last()
            .is_some_and(|a| a.field("maxage").is_some())
    };
    while !bounded() {
        assert_eq!(one(&mut web, "photo", &object(1)).status, 200);
    }
    let known = unix_ms();
    while unix_ms() <= known + 260 {}
    assert_eq!(one(&mut web, "photo", &object(1)).status, 200);
    assert!(
        bounded(),
        "a fill that was under way may have brought an older one"
    );
    rig.stop();
}

#[test]
fn what_a_client_left_behind_is_freed_when_its_time_is_up_also_if_no_answer_ever_comes() {
    let puppet = ScriptedServer::start().unwrap();
    let never = |config: &mut Value| config["settings"]["limits"]["cancel"] = false.into();
    let rig = Rig::puppet(&puppet, never, |limits| limits.open_requests = 1);
    let mut web = rig.web();
    web.request_object(1, WRITE, &object(1), 300).unwrap();
    let mut line = puppet.accept().unwrap();
    line.next_frame().unwrap();
    web.abort(1).unwrap();
    assert_eq!(web.next_response().unwrap(), (1, None));
    // The table has room for one request: until the first one's time is up, others are turned away.
    let until = Instant::now() + TEST_TIMEOUT;
    let open = loop {
        web.request_object(2, WRITE, &object(2), 60_000).unwrap();
        web.send(&FastCgiClient::encode_request(3, "/_health", &[], b""))
            .unwrap();
        match web.next_response().unwrap() {
            (3, _) => break line.next_fetch().unwrap(),
            (_, answer) => assert_eq!(answer.unwrap().status, 503),
        }
        assert_eq!(web.next_response().unwrap().0, 3);
        assert!(Instant::now() < until, "its place is never freed");
    };
    assert_eq!(open.object_key(), Some(object(2).as_str()));
    line.answer(
        &open.request_id,
        "200",
        "how=local,made=1,etag=t1",
        "all of it",
    )
    .unwrap();
    assert_eq!(web.next_response().unwrap().1.unwrap().status, 200);
    rig.stop();
}

#[test]
fn the_bus_finds_a_place_when_it_is_back_though_connections_fill_the_table() {
    // Room for the bus, a client and one box.
    let mut rig = Rig::bounded(&["s-0a"], |_| {}, |limits| limits.connections = 3);
    let mut web = rig.web();
    assert_eq!(one(&mut web, "photo", &object(1)).status, 200);
    assert_eq!(rig.bus.wait_for_subscription(0), Some(0));
    let held = rig.hold();
    rig.bus.disconnect_subscribers_and_wait();
    web.request_object(2, WRITE, &object(2), 60_000).unwrap();
    drop(held);
    assert_eq!(
        web.next_response().unwrap().1.unwrap().status,
        503,
        "the origin's connection would take the place of the bus"
    );
    assert_eq!(rig.bus.wait_for_subscription(1), Some(0));
    rig.stop();
}

#[test]
fn one_entry_that_cannot_be_read_costs_itself_and_not_the_list() {
    let rig = Rig::with(&["s-0a", "s-0b"], |_| {});
    let mut web = rig.web();
    let mut odd = cache_entry(&rig.boxes[1], "melting");
    odd["uid"] = "s-0c".into();
    rig.bus
        .publish_server_changes(vec![odd, cache_entry(&rig.boxes[0], "draining")]);
    rig.bus.publish_object_purge(&object(1), unix_ms());
    // The purge behind the list is known once an age is asked for.
    let bounded = |b: &FakeCacheServer| b.received().iter().any(|a| a.field("maxage").is_some());
    while !rig.boxes.iter().any(bounded) {
        assert_eq!(one(&mut web, "photo", &object(1)).status, 200);
    }
    let before = rig.boxes[0].received().len();
    for n in 0..20 {
        assert_eq!(one(&mut web, "photo", &object(n)).status, 200);
    }
    assert_eq!(rig.boxes[0].received().len(), before, "it drains");
    rig.stop();
}

#[test]
fn what_is_still_open_when_the_process_may_be_killed_is_answered_before() {
    for cancel in [true, false] {
        let puppet = ScriptedServer::start().unwrap();
        let calls_off = |config: &mut Value| config["settings"]["limits"]["cancel"] = cancel.into();
        // The deadline of the shutdown comes with SIGTERM itself.
        let mut rig = Rig::puppet(&puppet, calls_off, |limits| limits.shutdown_deadline_us = 0);
        let mut web = rig.web();
        web.request_object(1, WRITE, &object(1), 60_000).unwrap();
        let mut line = puppet.accept().unwrap();
        line.next_frame().unwrap();
        rig.control.stop().unwrap();
        assert_eq!(
            web.next_response().unwrap().1.unwrap().status,
            502,
            "it may have run"
        );
        assert!(is_closed(&mut web), "and nothing else is owed");
        drop(web);
        rig.run.join().unwrap().unwrap();
    }
}

#[test]
fn the_shutdown_deadline_lies_before_the_earliest_time_at_which_the_process_may_be_killed() {
    for (deadline_us, shutdown_deadline_us) in [
        (1_500_000, 2_150_000),
        (3_000_000, 3_650_000),
        (9_000_000, 3_650_000),
    ] {
        let mut settings = sample_settings();
        for class in settings["categories"].as_array_mut().unwrap() {
            class["deadline-us"] = deadline_us.into();
        }
        let config = json!({"listen": "127.0.0.1:0", "settings": settings});
        let limits = Config::from_json(&config).unwrap().limits;
        assert_eq!(
            limits.shutdown_deadline_us, shutdown_deadline_us,
            "{deadline_us}"
        );
    }
}

#[test]
fn requests_that_never_become_whole_cannot_fill_the_memory() {
    // As much as three clients may have under way, of which each holds more than its part.
    let rig = Rig::bounded(
        &["s-0a"],
        |_| {},
        |limits| {
            (
                limits.partial_request_bytes,
                limits.client_request_timeout_us,
            ) = (100_000, MINUTE_US)
        },
    );
    let half = |web: &mut FastCgiClient, stream: u16, bytes: usize| {
        let request = FastCgiClient::encode_request(
            stream,
            "/invoke/post",
            &[("HTTP_REQUEST_ID", "0a")],
            &vec![b'.'; bytes],
        );
        web.send(&request[..request.len() - 8]).unwrap();
        // Read by now: what comes behind it is answered.
        web.send(&FastCgiClient::encode_request(100, "/_health", &[], b""))
            .unwrap();
        web.next_response()
    };
    let (mut large, mut small, mut usual) = (rig.web(), rig.web(), rig.web());
    assert!(half(&mut small, 1, 20_000).is_ok());
    assert!(half(&mut large, 1, 40_000).is_ok());
    assert!(half(&mut large, 2, 30_000).is_ok());
    // The one that holds most of it makes room, whoever was the last straw.
    assert!(half(&mut small, 2, 15_000).is_ok());
    assert!(is_closed(&mut large));
    assert_eq!(one(&mut usual, "photo", &object(1)).status, 200);
    drop((large, small, usual));
    rig.stop();
}

#[test]
fn a_client_that_takes_no_answers_cannot_ask_for_ever() {
    let rig = Rig::start();
    let mut web = rig.web();
    let health = FastCgiClient::encode_request(1, "/_health", &[], b"");
    // Far more than rings and sockets hold, of which none is read.
    let ended = (0..500_000).any(|_| web.send(&health).is_err());
    assert!(ended, "all of their answers are held for it");
    assert_eq!(one(&mut rig.web(), "photo", &object(1)).status, 200);
    rig.stop();
}

#[test]
fn what_comes_behind_a_request_and_cannot_be_read_does_not_cost_its_answer() {
    let rig = Rig::start();
    let mut web = rig.web();
    let mut bytes = FastCgiClient::encode_request(
        1,
        "/invoke/photo",
        &[("HTTP_REQUEST_ID", "not hexadecimal!")],
        b"",
    );
    bytes.extend(FastCgiClient::encode_request(2, "/_health", &[], b""));
    bytes.extend(b"GET / HTTP/1.1\r\n\r\n");
    web.send(&bytes).unwrap();
    for (stream, status) in [(1, 400), (2, 200)] {
        let (id, answer) = web.next_response().unwrap();
        assert_eq!((id, answer.unwrap().status), (stream, status));
    }
    assert!(is_closed(&mut web));
    rig.stop();
}
