//! Consul as the source of the endpoint list: what its responses give.

use edge_proxy::discovery::consul::Consul;
use edge_proxy::protocol::http::{Head, Message};
use edge_routing::EndpointState;
use serde_json::{json, Value};

fn health(checks: &[(&str, &str)]) -> Value {
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

fn catalogue(ids: &[&str]) -> Value {
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

fn answer(consul: &mut Consul, index: u64, body: &Value) -> Option<Vec<(String, EndpointState)>> {
    let headers = vec![("x-consul-index".to_owned(), index.to_string())];
    let head = Head {
        start_line: "HTTP/1.1 200 OK".to_owned(),
        headers,
    };
    let entries = consul
        .response(&message(&head, body.to_string().as_bytes()))
        .unwrap()?;
    Some(
        entries
            .into_iter()
            .map(|e| (e.wire_id, e.endpoint.state))
            .collect(),
    )
}

fn target(consul: &Consul) -> String {
    let request = String::from_utf8(consul.request("c:8500")).unwrap();
    request.split(' ').nth(1).unwrap().to_owned()
}

#[test]
fn checks_and_catalogue_give_ready_draining_and_gone() {
    let mut consul = Consul::new("pop-cache".into(), 10);
    assert_eq!(target(&consul), "/v1/health/service/pop-cache");
    assert_eq!(
        answer(
            &mut consul,
            5,
            &health(&[("a", "passing"), ("b", "critical"), ("c", "warning")])
        ),
        None
    );
    assert_eq!(target(&consul), "/v1/catalog/service/pop-cache");
    let list = answer(&mut consul, 5, &catalogue(&["a", "b", "c"])).unwrap();
    let state = |id: &str, state| (id.to_owned(), state);
    assert_eq!(
        list,
        [
            state("a", EndpointState::Ready),
            state("b", EndpointState::Draining),
            state("c", EndpointState::Ready)
        ]
    );
    assert_eq!(
        target(&consul),
        "/v1/health/service/pop-cache?index=5&wait=10s"
    );
    // One instance is no longer registered, one no longer in the health response.
    assert_eq!(
        answer(
            &mut consul,
            6,
            &health(&[("b", "passing"), ("c", "passing")])
        ),
        None
    );
    let list = answer(&mut consul, 6, &catalogue(&["a", "b"])).unwrap();
    assert_eq!(
        list,
        [
            state("a", EndpointState::Draining),
            state("b", EndpointState::Ready)
        ],
        "c is gone"
    );
    // No list is given where nothing has changed.
    answer(&mut consul, 7, &health(&[("b", "passing")]));
    assert_eq!(answer(&mut consul, 7, &catalogue(&["a", "b"])), None);
}

#[test]
fn a_lower_index_or_a_failed_query_makes_the_next_query_ask_for_everything() {
    let mut consul = Consul::new("s".into(), 10);
    for (index, next) in [
        (9, "?index=9&wait=10s"),
        (3, ""),
        (4, "?index=4&wait=10s"),
        (0, ""),
    ] {
        answer(&mut consul, index, &health(&[]));
        answer(&mut consul, 1, &catalogue(&[]));
        assert_eq!(
            target(&consul),
            format!("/v1/health/service/s{next}"),
            "after index {index}"
        );
    }
    answer(&mut consul, 8, &health(&[]));
    consul.failed();
    assert_eq!(target(&consul), "/v1/health/service/s");
    let head = Head {
        start_line: "HTTP/1.1 500 Internal Server Error".to_owned(),
        headers: vec![],
    };
    assert!(consul
        .response(&message(&head, b"rpc error"))
        .unwrap_err()
        .to_string()
        .contains("500"));
    let head = Head {
        start_line: "HTTP/1.1 200 OK".to_owned(),
        headers: vec![],
    };
    let text = |consul: &mut Consul, body: Value| {
        consul
            .response(&message(&head, body.to_string().as_bytes()))
            .unwrap_err()
            .to_string()
    };
    assert!(text(&mut consul, json!([{"Node": {}, "Service": {"ID": "a"}}])).contains("Address"));
    assert!(text(&mut consul, json!({})).contains("not a list"));
}
