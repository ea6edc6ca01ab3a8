//! Retries: which requests are retried, how often, and at which server. A request that is not
//! retried gets exactly one final answer.

mod support;
use edge_routing::*;
use support::*;

/// Guards against a retry that cannot be in time, and against a second final answer when the end of
/// the attempt is reported twice.
#[test]
fn a_time_out_at_the_client_deadline_gets_exactly_one_final_answer() {
    let mut harness = Harness::with_defaults();
    let attempt = harness.forward(VIDEO, "/o/a");
    harness.advance(CLIENT_TIMEOUT_US);
    let actions = harness.finish(&attempt, Outcome::Timeout);
    assert_eq!(count_final_answers(&actions), 1);
    assert_eq!(attempt.retry_in(&actions), None);
    assert_eq!(
        harness.finish(&attempt, Outcome::Timeout),
        [],
        "the request already has its final answer"
    );
}

/// Guards against retries that multiply the load while servers fail.
#[test]
fn retries_stop_at_the_maximum_number_of_attempts() {
    let settings = Settings {
        max_attempts: 2,
        ..settings()
    };
    let mut harness = Harness::new(settings, fleet());
    let first = harness.forward(VIDEO, "/o/a");
    let retry = harness
        .retry(&first, Outcome::Error)
        .expect("the attempt is retried");
    let actions = harness.finish(&retry, Outcome::Error);
    assert_eq!(count_final_answers(&actions), 1);
}

/// Guards against a write that takes effect twice: a rejection would invite the client to retry.
#[test]
fn a_non_idempotent_request_that_may_have_been_executed_fails_and_is_not_retried() {
    let mut harness = Harness::with_defaults();
    let attempt = harness.forward(CHARGE, "/o/a");
    assert_eq!(
        harness.finish(&attempt, Outcome::Reset),
        [Action::Fail {
            request: attempt.request
        }]
    );
}

/// Guards against needless failures of writes that a server rejected without executing them.
#[test]
fn a_non_idempotent_request_that_was_not_executed_is_retried() {
    let mut harness = Harness::new(settings_without_direct_requests(), fleet());
    let first = harness.forward(CHARGE, "/o/a");
    let retry = harness
        .retry(&first, Outcome::Rejected)
        .expect("the attempt is retried");
    assert_eq!(
        harness.finish(&retry, Outcome::Error),
        [Action::Fail {
            request: first.request
        }],
        "the retry may have been executed"
    );
}

/// Returns whether a write with an idempotency key is retried when it fails after `duration_us`
/// microseconds.
fn order_is_retried_after(duration_us: Micros) -> bool {
    let mut harness = Harness::with_defaults();
    let attempt = harness.forward(ORDER, "/o/a");
    assert_eq!(
        attempt.server, ORIGIN,
        "a write goes directly to the origin"
    );
    harness.advance(duration_us);
    harness.retry(&attempt, Outcome::Error).is_some()
}

/// Guards against a write that takes effect twice because the servers have forgotten its key.
#[test]
fn a_request_with_an_idempotency_key_is_retried_only_within_its_deduplication_window() {
    assert!(order_is_retried_after(
        DEDUP_WINDOW_US - 100 * MILLISECOND_US
    ));
    assert!(!order_is_retried_after(DEDUP_WINDOW_US));
}

/// Guards against a write that takes effect twice because another cell has not seen its key.
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
    let retry = harness
        .retry(&first, Outcome::Error)
        .expect("the attempt is retried");
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
        "a rejection would not be safe, because the client's retry may reach another cell"
    );
}

/// Guards against attempts that are wasted at a parent that has just answered with a miss.
#[test]
fn a_parent_that_lacks_the_object_of_a_direct_request_does_not_get_the_request_again() {
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
        "every cache server is ejected, so the request goes directly to a parent"
    );
    assert_eq!(direct.fill.source, ORIGIN);

    let retry = harness.retry_with(&direct, Outcome::Miss, FillResult::SourceMiss);
    assert!(
        retry.is_none_or(|retry| CACHE_SERVERS.contains(&retry.server)),
        "the retry goes to a parent again: {retry:?}"
    );
}
