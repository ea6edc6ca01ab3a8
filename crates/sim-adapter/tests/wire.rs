//! Tests of the adapter as a process: batches with every event, which cause most kinds of action,
//! and invalid input.

use serde_json::{json, Value};
use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter with this standard input until it exits.
fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_edge-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("failed to start the adapter");
    // A write error is ignored because the adapter exits at an invalid line without reading the
    // rest.
    child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(input.as_bytes())
        .unwrap_or(());
    child
        .wait_with_output()
        .expect("failed to wait for the adapter to exit")
}

/// Settings for the `setup` key of a `Born` message.
const SETTINGS: &str = r#"{"categories":[{"name":"film","aim-us":400000,"deadline-us":4000000,"repeat":"pure","extra":1},
 {"name":"post","aim-us":400000,"deadline-us":4000000,"repeat":"side_effect"}],
 "family-info":{"in-pieces":[true,false],"never-kept":[false,true],"good-for-us":[0,0],"may-pass-by":true,
 "can-join":true,"mid-kind":1,"source-kind":2,"seats-by-zone":[0,1],"attached-to":[0,0],
 "one-flow-kb-per-s":5000,"zone-link-kb-per-s":[0,90000],"purge-takes-us":6000000,"note-level":"all",
 "parent-cold-from":0.1,"upper-cold-us":9000000,"upper-fall-multiple":2,"new-key":[1,2]},
 "kinds":["cache","mid","root"],"localities":["hub","here"],"zone":"here","customers":null,"weights":"nominal",
 "limits":{"try-limit":3,"cancel":true,"retry-after":true,"max-retry-after-us":900000},
 "rules":{"cold-share":0.2,"ramp-time-us":9000000,"fall-multiple":2,"tip-after-us":1000000},
 "telemetry":{"source":"inline","fields":["cpu_share"]}}"#;

/// A `PeersKnown` message with a cache server, a parent and the origin.
const ENDPOINT_LIST: &str = r#"{"event_type":"PeersKnown","i":0,"mode":1,"seq-no":1,"items":[
 {"store":4,"campus":"here","shape":"cache","group":0,"weight":9,"state":1,"born-us":null},
 {"store":5,"campus":"hub","shape":"mid","group":1,"weight":30,"state":1},
 {"store":6,"campus":"hub","shape":"root","group":2,"weight":1,"state":1,"note":"unknown fields are skipped"}]}"#;

fn parse(text: &str) -> Value {
    serde_json::from_str(text).expect("sample message is valid JSON")
}

/// Returns a batch in the form in which the simulator sends it. `at_us` is its time.
fn batch(at_us: u64, round: u64, events: &[Value]) -> String {
    let clock = json!({"event_type": "Clock", "at-time-us": at_us, "round": round});
    let end = json!({"event_type": "End"});
    [&clock]
        .into_iter()
        .chain(events)
        .chain([&end])
        .map(|message| format!("{message}\n"))
        .collect()
}

fn born(setup: Value) -> Value {
    json!({"event_type": "Born", "i": 0, "nonce64": 12, "setup": setup})
}

fn order(id: u64, class: &str, remaining_us: u64) -> Value {
    json!({
        "event_type": "Order", "i": 0, "request-id": id, "grade": class, "owner": 0,
        "content-id": format!("/o/{id}"), "remaining-us": remaining_us, "length-kb": 400,
        "purge-group": 1, "segment": 0,
    })
}

fn resolved(id: u64, store: u64, how: &str, settled: bool) -> Value {
    json!({
        "event_type": "Resolved", "i": 0, "request-id": id, "store": store, "how": how,
        "took-us": 9000, "go": 0, "settled": settled, "note": 1,
        "usage": {"cpu_share": 0.5, "odd": []},
    })
}

fn reply_lines(out: &Output) -> Vec<String> {
    String::from_utf8_lossy(&out.stdout)
        .lines()
        .map(str::to_owned)
        .collect()
}

/// Returns whether any line contains all of these substrings.
fn any_line_contains(lines: &[String], parts: &[&str]) -> bool {
    lines
        .iter()
        .any(|line| parts.iter().all(|part| line.contains(part)))
}

/// Returns 7 batches that together contain every event and one event of an unknown type.
fn batches_with_every_event() -> String {
    let requests = [
        order(7, "film", 4_000_000),
        order(8, "post", 4_000_000),
        order(9, "film", 0),
    ];
    let outcomes = [resolved(7, 4, "ok", true), resolved(8, 6, "reset", false)];
    let others = [
        json!({"event_type": "Elapsed", "i": 0, "ctx": 0}),
        json!({"event_type": "Accepted", "i": 0, "request-id": 10, "store": 4, "took-us": 1, "go": 0}),
        json!({"event_type": "CheckResult", "i": 0, "took-us": 1, "how": "ok", "store": 4}),
        json!({"event_type": "Peer", "i": 0, "by": 2, "octets": "hi"}),
        json!({"event_type": "Invalidated", "i": 0, "content-id": "/o/11", "batch-id": 1, "how-old-us": 5000}),
        order(11, "film", 4_000_000),
        json!({"event_type": "SomethingNew", "i": 0}),
    ];
    let client_left = json!({"event_type": "ClientLeft", "i": 0, "request-id": 10});
    let stop = json!({"event_type": "Stop", "i": 0});
    [
        batch(1_000_000, 1, &[born(parse(SETTINGS)), parse(ENDPOINT_LIST)]),
        batch(1_002_000, 2, &requests),
        batch(1_004_000, 3, &outcomes),
        batch(1_006_000, 4, &[order(10, "film", 4_000_000)]),
        batch(1_008_000, 5, &[client_left]),
        batch(1_060_000, 6, &others),
        batch(1_070_000, 7, &[stop]),
    ]
    .concat()
}

#[test]
fn batches_with_every_event_are_answered_with_the_expected_actions() {
    let out = run_adapter(&batches_with_every_event());
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let lines = reply_lines(&out);
    assert_eq!(
        lines.iter().filter(|line| line.contains("\"Ack\"")).count(),
        7,
        "each batch is acknowledged once"
    );
    assert!(any_line_contains(
        &lines,
        &[
            "ReadThrough",
            "\"request-id\":7",
            "\"store\":4",
            "\"feeder\":5",
            "\"tier-rank\":1"
        ]
    ));
    assert!(
        any_line_contains(&lines, &["ReadThrough", "\"request-id\":8", "\"store\":6"]),
        "a write is sent to the origin"
    );
    assert!(any_line_contains(
        &lines,
        &["PushBack", "\"request-id\":9", "\"retry-after-us\":200000"]
    ));
    assert!(any_line_contains(&lines, &["Abort", "\"request-id\":8"]));
    assert!(any_line_contains(
        &lines,
        &["Retract", "\"request-id\":10", "\"go\":0"]
    ));
    assert!(any_line_contains(
        &lines,
        &["After", "\"at-us\":1110000", "\"ctx\":0"]
    ));
    assert!(any_line_contains(
        &lines,
        &["ReadThrough", "\"request-id\":11", "\"how-old-us\":5000"]
    ));
}

#[test]
fn a_line_that_is_not_json_stops_the_adapter_and_the_error_has_its_line_number() {
    let out = run_adapter("{\"event_type\":\"Clock\",\"at-time-us\":1,\"round\":1}\nnot json\n");
    assert!(!out.status.success());
    let message = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(
        message.contains("line 2") && message.contains("not JSON"),
        "{message}"
    );
}

#[test]
fn the_error_for_a_missing_field_names_the_field_and_the_line() {
    let input = batch(
        1,
        1,
        &[
            born(parse(SETTINGS)),
            json!({"event_type": "Order", "i": 0, "request-id": 3}),
        ],
    );
    let out = run_adapter(&input);
    assert!(!out.status.success());
    let message = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(
        message.contains("line 3") && message.contains("`grade`"),
        "{message}"
    );
    let out = run_adapter("{\"event_type\":\"Clock\",\"at-time-us\":1}\n");
    assert!(String::from_utf8_lossy(&out.stderr).contains("`round`"));
}

#[test]
fn an_incomplete_batch_gets_no_reply_and_the_end_of_input_is_no_error() {
    let out = run_adapter("{\"event_type\":\"Clock\",\"at-time-us\":1,\"round\":1}\n");
    assert!(out.status.success());
    assert!(out.stdout.is_empty());
    assert!(run_adapter("").status.success());
}

#[test]
fn invalid_settings_stop_the_adapter_with_an_error() {
    let mut setup = parse(SETTINGS);
    setup["rules"]["tip-after-us"] = json!(0);
    let out = run_adapter(&batch(1, 1, &[born(setup)]));
    assert!(!out.status.success());
    assert!(String::from_utf8_lossy(&out.stderr).contains("overload window"));
}
