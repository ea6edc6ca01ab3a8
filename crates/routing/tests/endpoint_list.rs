//! Changes of the endpoint list take effect at once for new attempts and fills.

mod support;
use edge_routing::*;
use support::*;

/// Guards against requests to servers that are shutting down and would not finish them.
#[test]
fn draining_and_gone_servers_get_no_new_attempts_or_fills() {
    let leaving_cache_server = CACHE_SERVERS[0];
    let leaving_parent = PARENTS[0];
    for state in [EndpointState::Draining, EndpointState::Gone] {
        let mut harness = Harness::with_defaults();
        harness.handle(endpoint_delta(vec![
            Endpoint {
                state,
                ..cache_server(leaving_cache_server)
            },
            Endpoint {
                state,
                ..parent(leaving_parent)
            },
        ]));
        for index in 0..60 {
            let attempt = harness.serve_hit(VIDEO, &format!("/o/{index}"));
            assert_ne!(attempt.server, leaving_cache_server, "{state:?}");
            assert_ne!(attempt.fill.source, leaving_parent, "{state:?}");
        }
    }
}

/// Guards against requests to a server that has left: a snapshot shows that only by its absence.
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

/// Guards against requests that never get a final answer because there is no server to try.
#[test]
fn without_servers_every_request_gets_its_final_answer_at_once() {
    let mut harness = Harness::new(settings(), vec![]);
    for class in [VIDEO, PAGE, ORDER, CHARGE] {
        let submission = harness.submit(class, "/o/a");
        assert_eq!(count_final_answers(&submission.actions), 1, "{class}");
    }
}
