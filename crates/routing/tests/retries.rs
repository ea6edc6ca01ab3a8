//! Which requests are retried, how often and where; a request that is not retried gets exactly one
//! final answer.

mod support;
use edge_routing::*;
use support::*;

#[test]
fn a_time_out_at_the_deadline_gets_exactly_one_final_answer() {
    let mut harness = Harness::with_defaults();
    let attempt = harness.forward(VIDEO, "/o/a");
    harness.advance(CLIENT_DEADLINE);
    let actions = harness.finish(&attempt, Outcome::Timeout);
    assert_eq!(count_final_answers(&actions), 1);
    assert_eq!(attempt.retry_in(&actions), None);
    assert_eq!(
        harness.finish(&attempt, Outcome::Timeout),
        [],
        "nothing follows the final answer"
    );
}

#[test]
fn retries_stop_at_the_maximum_number_of_attempts() {
    let settings = Settings {
        max_attempts: 2,
        ..settings()
    };
    let mut harness = Harness::new(settings, fleet());
    let first = harness.forward(VIDEO, "/o/a");
    let retry = harness.retry(&first, Outcome::Error).expect("a retry");
    let actions = harness.finish(&retry, Outcome::Error);
    assert_eq!(count_final_answers(&actions), 1);
}

#[test]
fn a_non_idempotent_request_that_may_have_run_fails_and_is_not_retried() {
    let mut harness = Harness::with_defaults();
    let attempt = harness.forward(CHARGE, "/o/a");
    assert_eq!(
        harness.finish(&attempt, Outcome::Reset),
        [Action::Fail {
            request: attempt.request
        }]
    );
}

#[test]
fn a_non_idempotent_request_that_never_ran_is_retried() {
    let mut harness = Harness::new(settings_without_direct_requests(), fleet());
    let first = harness.forward(CHARGE, "/o/a");
    let retry = harness.retry(&first, Outcome::Rejected).expect("a retry");
    assert_eq!(
        harness.finish(&retry, Outcome::Error),
        [Action::Fail {
            request: first.request
        }],
        "the retry may have run"
    );
}

/// Whether a write with an idempotency key is retried when it fails after this long.
fn order_is_retried_after(duration: Micros) -> bool {
    let mut harness = Harness::with_defaults();
    let attempt = harness.forward(ORDER, "/o/a");
    assert_eq!(
        attempt.server, ORIGIN,
        "a write goes directly to the origin"
    );
    harness.advance(duration);
    harness.retry(&attempt, Outcome::Error).is_some()
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_only_within_its_deduplication_window() {
    assert!(order_is_retried_after(DEDUP_WINDOW - 100 * MILLISECOND));
    assert!(!order_is_retried_after(DEDUP_WINDOW));
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_only_in_its_deduplication_scope() {
    let mut settings = settings_without_direct_requests();
    for class in &mut settings.classes {
        if class.name == ORDER {
            class.dedup_scope = DedupScope::Cell;
        }
    }
    let mut harness = Harness::new(settings, fleet());
    let first = harness.forward(ORDER, "/o/a");
    let retry = harness.retry(&first, Outcome::Error).expect("a retry");
    assert_eq!(
        retry.server, first.server,
        "each cache server is a cell of its own"
    );

    harness.handle(endpoint_delta(vec![Endpoint {
        state: EndpointState::Gone,
        ..cache_server(first.server)
    }]));
    assert_eq!(
        harness.finish(&retry, Outcome::Error),
        [Action::Fail {
            request: first.request
        }],
        "it must not be rejected either: the client's retry may reach another cell"
    );
}

#[test]
fn a_parent_that_lacks_the_object_of_a_direct_request_does_not_get_it_again() {
    let mut harness = Harness::with_defaults();
    for index in 0..40 {
        let attempt = harness.forward(VIDEO, &format!("/x/{index}"));
        if !CACHE_SERVERS.contains(&attempt.server) {
            break;
        }
        harness.finish(&attempt, Outcome::ConnectFailed);
        harness.disconnect(attempt.request);
    }
    let direct = harness.forward(VIDEO, "/o/1");
    assert!(
        PARENTS.contains(&direct.server),
        "every cache server is ejected: directly to a parent"
    );
    assert_eq!(direct.fill.source, ORIGIN);

    let retry = harness.retry_with(&direct, Outcome::Miss, FillResult::SourceMiss);
    assert!(
        retry.is_none_or(|retry| CACHE_SERVERS.contains(&retry.server)),
        "{retry:?}"
    );
}
