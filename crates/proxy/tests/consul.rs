//! Consul as the source of the endpoint list: how its responses are read and which query follows.

use edge_proxy::discovery::consul::Consul;
use edge_proxy::protocol::http::{Head, Message};
use edge_routing::EndpointState;
use serde_json::{json, Value};

/// Returns the body of a health response, with an instance for each id and check status.
fn health_response(checks: &[(&str, &str)]) -> Value {
    let instance = |(id, status): &(&str, &str)| {
        json!({
            "Node": {"Node": "n1", "Address": "127.0.0.1"},
            "Service": {"ID": id, "Service": "pop-cache", "Address": "", "Port": 7001,
                "Meta": {"az": "here", "model": "cache", "capacity_hint": "8", "pod_group": "2"}},
            "Checks": [{"Status": "passing"}, {"Status": status}],
        })
    };
    checks.iter().map(instance).collect()
}

/// Returns the body of a catalogue response with an instance for each id.
fn catalogue_response(ids: &[&str]) -> Value {
    ids.iter()
        .map(|id| json!({"ServiceID": id, "ServiceName": "pop-cache"}))
        .collect()
}

fn message(head: &Head, body: &[u8]) -> Message {
    Message {
        head: head.clone(),
        body: body.to_vec(),
    }
}

/// Handles a response with an index. Returns the ids and states of the endpoint list, or `None` if
/// the response yields no new list.
fn handle_response(
    consul: &mut Consul,
    index: u64,
    body: &Value,
) -> Option<Vec<(String, EndpointState)>> {
    let headers = vec![("x-consul-index".to_owned(), index.to_string())];
    let head = Head {
        start_line: "HTTP/1.1 200 OK".to_owned(),
        headers,
    };
    let entries = consul
        .handle_response(&message(&head, body.to_string().as_bytes()))
        .unwrap()?;
    Some(
        entries
            .into_iter()
            .map(|entry| (entry.wire_id, entry.endpoint.state))
            .collect(),
    )
}

/// Returns the path and query string of the next request.
fn next_request_target(consul: &Consul) -> String {
    let request = String::from_utf8(consul.next_request("c:8500")).unwrap();
    request.split(' ').nth(1).unwrap().to_owned()
}

/// An instance with a critical check must drain, but must stay listed while it is registered,
/// because it still finishes its attempts. Only the catalogue shows that it is gone.
#[test]
fn checks_and_catalogue_decide_between_ready_draining_and_gone() {
    let mut consul = Consul::new("pop-cache".into(), 10);
    assert_eq!(next_request_target(&consul), "/v1/health/service/pop-cache");
    assert_eq!(
        handle_response(
            &mut consul,
            5,
            &health_response(&[("a", "passing"), ("b", "critical"), ("c", "warning")])
        ),
        None
    );
    assert_eq!(
        next_request_target(&consul),
        "/v1/catalog/service/pop-cache"
    );
    let endpoint_list =
        handle_response(&mut consul, 5, &catalogue_response(&["a", "b", "c"])).unwrap();
    let state = |id: &str, state| (id.to_owned(), state);
    assert_eq!(
        endpoint_list,
        [
            state("a", EndpointState::Ready),
            state("b", EndpointState::Draining),
            state("c", EndpointState::Ready)
        ]
    );
    assert_eq!(
        next_request_target(&consul),
        "/v1/health/service/pop-cache?index=5&wait=10s"
    );
    // `c` is no longer registered, and `a` is no longer in the health response.
    assert_eq!(
        handle_response(
            &mut consul,
            6,
            &health_response(&[("b", "passing"), ("c", "passing")])
        ),
        None
    );
    let endpoint_list = handle_response(&mut consul, 6, &catalogue_response(&["a", "b"])).unwrap();
    assert_eq!(
        endpoint_list,
        [
            state("a", EndpointState::Draining),
            state("b", EndpointState::Ready)
        ],
        "c, which is no longer registered, is still listed"
    );
    // A response without a change yields no list.
    handle_response(&mut consul, 7, &health_response(&[("b", "passing")]));
    assert_eq!(
        handle_response(&mut consul, 7, &catalogue_response(&["a", "b"])),
        None
    );
}

/// Consul's index may go back. A query that waited for a change after the old index would miss
/// changes. The same holds after a failed query.
#[test]
fn after_a_lower_index_or_a_failed_query_the_next_query_asks_for_the_whole_list() {
    let mut consul = Consul::new("s".into(), 10);
    for (index, expected_query) in [
        (9, "?index=9&wait=10s"),
        (3, ""),
        (4, "?index=4&wait=10s"),
        (0, ""),
    ] {
        handle_response(&mut consul, index, &health_response(&[]));
        handle_response(&mut consul, 1, &catalogue_response(&[]));
        assert_eq!(
            next_request_target(&consul),
            format!("/v1/health/service/s{expected_query}"),
            "after index {index}"
        );
    }
    handle_response(&mut consul, 8, &health_response(&[]));
    consul.handle_failure();
    assert_eq!(next_request_target(&consul), "/v1/health/service/s");
    let head = Head {
        start_line: "HTTP/1.1 500 Internal Server Error".to_owned(),
        headers: vec![],
    };
    assert!(consul
        .handle_response(&message(&head, b"rpc error"))
        .unwrap_err()
        .to_string()
        .contains("500"));
    let head = Head {
        start_line: "HTTP/1.1 200 OK".to_owned(),
        headers: vec![],
    };
    let error_text = |consul: &mut Consul, body: Value| {
        consul
            .handle_response(&message(&head, body.to_string().as_bytes()))
            .unwrap_err()
            .to_string()
    };
    assert!(
        error_text(&mut consul, json!([{"Node": {}, "Service": {"ID": "a"}}])).contains("Address")
    );
    assert!(error_text(&mut consul, json!({})).contains("not a list"));
}
