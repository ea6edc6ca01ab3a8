//! What the endpoint list says holds at once for new attempts and fills.

mod support;
use edge_routing::*;
use support::*;

#[test]
fn draining_and_gone_servers_get_no_new_attempts_or_fills() {
    let cache_server_leaving = CACHE_SERVERS[0];
    let parent_leaving = PARENTS[0];
    for state in [EndpointState::Draining, EndpointState::Gone] {
        let mut harness = Harness::with_defaults();
        harness.handle(endpoint_delta(vec![
            Endpoint {
                state,
                ..cache_server(cache_server_leaving)
            },
            Endpoint {
                state,
                ..parent(parent_leaving)
            },
        ]));
        for index in 0..60 {
            let attempt = harness.serve_hit(VIDEO, &format!("/o/{index}"));
            assert_ne!(attempt.server, cache_server_leaving, "{state:?}");
            assert_ne!(attempt.fill.source, parent_leaving, "{state:?}");
        }
    }
}

#[test]
fn a_server_missing_from_a_snapshot_gets_no_new_attempts() {
    let remaining = CACHE_SERVERS[2];
    let mut harness = Harness::with_defaults();
    harness.handle(endpoint_snapshot(fleet_with_one_cache_server(remaining)));
    for index in 0..30 {
        let attempt = harness.serve_hit(VIDEO, &format!("/o/{index}"));
        assert_eq!(attempt.server, remaining);
    }
}

#[test]
fn without_servers_every_request_gets_its_final_answer_at_once() {
    let mut harness = Harness::new(settings(), vec![]);
    for class in [VIDEO, PAGE, ORDER, CHARGE] {
        let submission = harness.submit(class, "/o/a");
        assert_eq!(count_final_answers(&submission.actions), 1, "{class}");
    }
}
