//! Configuration: what is read, the defaults, and errors that name the faulty key.

use edge_proxy::config::{Config, ConfigError};
use edge_testkit::sample_settings;
use serde_json::{json, Value};

/// Returns a minimal valid configuration.
fn minimal_config() -> Value {
    json!({"listen": "127.0.0.1:0", "settings": sample_settings()})
}

fn read_config(value: &Value) -> Result<Config, ConfigError> {
    Config::from_json(value)
}

/// A configuration with only the required keys must start a proxy without an event bus, Consul,
/// gossip or an interconnect.
#[test]
fn absent_keys_have_defaults() {
    let config = read_config(&minimal_config()).unwrap();
    assert_eq!(
        (
            config.event_bus,
            config.startup_events.last_offset,
            config.limits.file_descriptors
        ),
        (None, 0, 1024)
    );
    assert!(
        config.interconnect.is_none() && config.consul.is_none() && config.purge_gossip.is_none()
    );
    // The settings say 6 s. The proxy adds 50 ms, because cache servers complete a purge later over
    // real sockets.
    assert_eq!(config.settings.rules.purge_completion_us, 6_050_000);
}

/// Without the key in the message, an operator could not find the faulty line in a long
/// configuration file.
#[test]
fn errors_name_the_faulty_key() {
    for (key, value) in [
        ("listen", json!("nowhere")),
        ("listen", Value::Null),
        ("seed", json!("xyz")),
        ("bus", json!(7)),
        ("peers", json!(["a"])),
        ("settings", json!({"categories": 3})),
        (
            "known",
            json!({"batch": [{"offset": 1, "ban": {"url": "a"}}]}),
        ),
        ("limits", json!({"sockets": 0})),
    ] {
        let mut config = minimal_config();
        config[key] = value.clone();
        let message = read_config(&config).unwrap_err().to_string();
        let inner = value.as_object().and_then(|o| o.keys().next());
        let named = message.contains(key) || inner.is_some_and(|k| message.contains(k));
        assert!(named, "{key} = {value}: {message}");
    }
}

/// The shipped interconnect file has no address, and must not open a listener. Once one is
/// configured, an incomplete or invalid key must be reported by its name.
#[test]
fn the_interconnect_is_off_until_it_has_an_address_to_listen_on() {
    let mut config = read_config(&minimal_config()).unwrap();
    let shipped: Value =
        serde_json::from_str(include_str!("../../../deploy/interconnect.json")).unwrap();
    config.apply_deployment(&shipped).unwrap();
    assert!(config.interconnect.is_none() && config.consul.is_none());
    for (file, key) in [
        (json!({"cdni": {"listen": "x"}}), "listen"),
        (
            json!({"cdni": {"listen": "127.0.0.1:0", "base": "b"}}),
            "provider",
        ),
        (
            json!({"cdni": {"listen": "127.0.0.1:0", "base": "b", "provider": "p", "footprint": ["1.2.3.4"]}}),
            "footprint",
        ),
        (json!({"consul": {"address": "x"}}), "address"),
    ] {
        let message = config.apply_deployment(&file).unwrap_err().to_string();
        assert!(message.contains(key), "{message}");
    }
}

/// The example files are not used by any other test. They must stay valid when the format of the
/// configuration changes.
#[test]
fn the_example_files_are_valid() {
    let text = include_str!("../../../examples/config.json");
    let mut config = read_config(&serde_json::from_str(text).unwrap()).unwrap();
    let text = include_str!("../../../examples/interconnect.json");
    config
        .apply_deployment(&serde_json::from_str(text).unwrap())
        .unwrap();
    assert!(config.interconnect.is_some());
}

/// A running proxy must report changed keys that it can apply only after a restart. Keys that a
/// reload applies, or that matter only at the start, must not be reported.
#[test]
fn changes_that_need_a_restart_are_named_by_key() {
    let running = read_config(&minimal_config()).unwrap();
    let mut changed = minimal_config();
    (changed["bus"], changed["seed"], changed["known"]) =
        (json!("127.0.0.1:1"), json!("7"), json!({"offset": 3}));
    assert!(running
        .changes_requiring_restart(&read_config(&changed).unwrap())
        .is_empty());
    (changed["listen"], changed["limits"], changed["name"]) =
        (json!("127.0.0.1:9"), json!({"sockets": 99}), json!("n"));
    changed["settings"]["limits"]["try-limit"] = json!(2);
    assert_eq!(
        running.changes_requiring_restart(&read_config(&changed).unwrap()),
        ["name", "listen", "limits", "settings"]
    );
}

/// The name of a nested key alone is ambiguous, so the message must contain its whole path, with
/// the index of a list item.
#[test]
fn errors_name_the_path_of_a_nested_key() {
    for (key, value, expected) in [
        ("limits", json!({"memory_mb": 0}), "'limits.memory_mb'"),
        ("limits", json!({"sockets": "x"}), "'limits.sockets'"),
        ("limits", json!([]), "'limits'"),
        ("peers", json!(["127.0.0.1:1", 3]), "'peers[1]'"),
        ("known", json!({"offset": -1}), "'known.offset'"),
        (
            "known",
            json!({"batch": [{"offset": 1}, {}]}),
            "known: event 1",
        ),
    ] {
        let mut config = minimal_config();
        config[key] = value;
        let message = read_config(&config).unwrap_err().to_string();
        assert!(message.contains(expected), "{message}");
    }
}
