//! Tests of reading the settings object: defaults, number formats, and errors that name the key.

use edge_routing::{DedupScope, Idempotency, LoadReportSource, PeerFill, Provenance};
use edge_settings::from_json;
use serde_json::{json, Value};

/// Returns a document with only the required keys, for one class and one zone.
fn minimal_document() -> Value {
    json!({
        "categories": [{"name": "photo", "aim-us": 300000, "deadline-us": 2500000}],
        "localities": ["here"],
        "zone": "here",
    })
}

#[test]
fn absent_keys_have_defaults() {
    let settings = from_json(&minimal_document()).unwrap();
    let class = &settings.classes[0];
    assert_eq!(class.idempotency, Idempotency::NonIdempotent);
    assert_eq!(class.dedup_scope, DedupScope::Cell);
    assert_eq!((class.priority_weight, class.late_weight), (1.0, 0.0));
    assert_eq!((class.multipart, class.is_write), (false, false));
    assert_eq!(settings.zones[0].edge_proxy_count, 1);
    assert_eq!(settings.own_zone_index, 0);
    assert_eq!(settings.max_attempts, 1);
    assert_eq!(
        (settings.parent_kind, settings.origin_kind),
        (None, String::new())
    );
    assert_eq!(settings.peer_fill, PeerFill::Off);
    assert_eq!(settings.provenance, Provenance::Off);
    assert_eq!(settings.load_reports, LoadReportSource::Off);
    assert_eq!(settings.rules.warm_up_initial_share, 1.0);
    assert_eq!(settings.rules.overload_window_us, 1);
}

#[test]
fn null_is_read_as_absent() {
    let mut document = minimal_document();
    for key in [
        "customers",
        "kinds",
        "discovery",
        "weights",
        "telemetry",
        "family-info",
        "limits",
        "rules",
    ] {
        document[key] = Value::Null;
    }
    document["categories"][0]["repeat"] = Value::Null;
    document["categories"][0]["window-us"] = Value::Null;
    assert_eq!(
        from_json(&document).unwrap(),
        from_json(&minimal_document()).unwrap()
    );
}

#[test]
fn whole_numbers_may_be_written_as_floating_point_numbers() {
    let mut document = minimal_document();
    document["categories"][0]["aim-us"] = json!(300000.0);
    document["limits"] = json!({"try-limit": 4.0});
    document["family-info"] = json!({"seats-by-zone": [2.0], "mid-kind": 1.0});
    document["kinds"] = json!(["cache", "parent"]);
    let settings = from_json(&document).unwrap();
    assert_eq!(settings.classes[0].latency_objective_us, 300_000);
    assert_eq!(settings.max_attempts, 4);
    assert_eq!(settings.zones[0].edge_proxy_count, 2);
    assert_eq!(settings.parent_kind.as_deref(), Some("parent"));
}

#[test]
fn unknown_keys_and_keywords_read_as_defaults() {
    let mut document = minimal_document();
    document["new-key"] = json!([1, 2]);
    document["categories"][0]["repeat"] = json!("a later word");
    assert_eq!(
        from_json(&document).unwrap(),
        from_json(&minimal_document()).unwrap()
    );
}

#[test]
fn entries_past_the_last_class_are_not_checked() {
    let mut document = minimal_document();
    document["family-info"] = json!({"in-pieces": [true, "x", null]});
    assert!(from_json(&document).unwrap().classes[0].multipart);
}

/// Returns JSON pointers, the invalid value to set at each, and an expected part of the error
/// message.
fn invalid_values() -> Vec<(&'static str, Value, &'static str)> {
    vec![
        ("/zone", json!(3), "field 'zone'"),
        ("/zone", Value::Null, "field 'zone'"),
        ("/limits", json!([]), "field 'limits'"),
        (
            "/limits",
            json!({"try-limit": -1}),
            "field 'limits.try-limit'",
        ),
        (
            "/rules",
            json!({"cold-share": "much"}),
            "field 'rules.cold-share'",
        ),
        (
            "/telemetry",
            json!({"source": 1}),
            "field 'telemetry.source'",
        ),
        (
            "/family-info",
            json!({"in-pieces": [7]}),
            "field 'family-info.in-pieces[0]'",
        ),
        (
            "/family-info",
            json!({"in-pieces": 7}),
            "field 'family-info.in-pieces'",
        ),
        (
            "/family-info",
            json!({"attached-to": [null]}),
            "field 'family-info.attached-to[0]'",
        ),
        (
            "/categories/0/aim-us",
            json!("soon"),
            "field 'categories[0].aim-us'",
        ),
        (
            "/categories/0",
            json!({"name": "photo"}),
            "missing field `aim-us`",
        ),
        ("/categories", json!([[]]), "field 'categories[0]'"),
        ("", json!({"localities": ["here"]}), "missing field `zone`"),
        ("", json!([]), "expected an object"),
    ]
}

#[test]
fn errors_name_the_invalid_or_missing_key() {
    for (pointer, value, expected) in invalid_values() {
        let mut document = minimal_document();
        if pointer.is_empty() || document.pointer(pointer).is_some() {
            *document.pointer_mut(pointer).unwrap() = value.clone();
        } else {
            document[&pointer[1..]] = value.clone();
        }
        let message = from_json(&document).unwrap_err().to_string();
        assert!(message.contains(expected), "{pointer} = {value}: {message}");
    }
}
