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
    change_class(&mut settings, ORDER, |class| {
        class.dedup_scope = DedupScope::Cell;
    });
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

/// The outcomes after which a request may have been executed.
const POSSIBLE_EXECUTIONS: [Outcome; 4] = [
    Outcome::Reset,
    Outcome::Timeout,
    Outcome::Error,
    Outcome::Cancelled,
];

/// Returns settings where the reads of [`VIDEO`] carry an idempotency key that is recognized within
/// this scope.
fn settings_with_keyed_reads(scope: DedupScope) -> Settings {
    let mut settings = settings();
    change_class(&mut settings, VIDEO, |class| {
        class.idempotency = Idempotency::IdempotencyKey;
        class.dedup_scope = scope;
    });
    settings
}

/// Returns the cell of a cache server in [`fleet_with_two_cells`].
fn cell_of(server: ServerId) -> u64 {
    server % 2
}

/// Returns the fleet with two cells of two cache servers each.
fn fleet_with_two_cells() -> Vec<Endpoint> {
    let mut endpoints = fleet();
    for endpoint in &mut endpoints {
        if CACHE_SERVERS.contains(&endpoint.id) {
            endpoint.cell = cell_of(endpoint.id);
        }
    }
    endpoints
}

/// Guards against a read with an idempotency key that is executed twice because another cell has not
/// seen its key. Its copies are kept by cache servers, so it is routed like any other read.
#[test]
fn a_read_with_an_idempotency_key_is_retried_only_in_its_cell() {
    for outcome in POSSIBLE_EXECUTIONS {
        for index in 0..40 {
            let settings = settings_with_keyed_reads(DedupScope::Cell);
            let mut harness = Harness::new(settings, fleet_with_two_cells());
            let first = harness.forward(VIDEO, &format!("/o/{index}"));
            let retry = harness.retry(&first, outcome).expect("the read is retried");
            assert_ne!(retry.server, first.server, "{outcome:?}");
            assert_eq!(cell_of(retry.server), cell_of(first.server), "{outcome:?}");
            assert_eq!(
                harness.finish(&retry, Outcome::Reset),
                [Action::Fail {
                    request: first.request
                }],
                "{outcome:?}: no server of the cell is left, and a rejection would not be safe"
            );
        }
    }
}

/// Guards against needless failures of reads that no server has executed.
#[test]
fn a_read_with_an_idempotency_key_that_was_not_executed_is_retried_in_any_cell() {
    let settings = settings_with_keyed_reads(DedupScope::Cell);
    let mut harness = Harness::new(settings, fleet());
    let first = harness.forward(VIDEO, "/o/a");
    let retry = harness
        .retry(&first, Outcome::Rejected)
        .expect("the read is retried");
    assert_ne!(
        retry.server, first.server,
        "each cache server is a cell of its own"
    );
}

/// Guards against a read with an idempotency key that is executed twice because its server has left
/// the endpoint list, or is listed in another cell, before the attempt at it ends.
#[test]
fn a_read_is_retried_in_the_cell_that_its_server_had_when_it_was_sent() {
    for index in 0..40 {
        let settings = settings_with_keyed_reads(DedupScope::Cell);
        let mut harness = Harness::new(settings, fleet_with_two_cells());
        let first = harness.forward(VIDEO, &format!("/o/{index}"));
        let moved = Endpoint {
            cell: cell_of(first.server + 1),
            ..cache_server(first.server)
        };
        let gone = Endpoint {
            state: EndpointState::Gone,
            ..cache_server(first.server)
        };
        harness.handle(endpoint_delta(vec![if index % 2 == 0 {
            moved
        } else {
            gone
        }]));
        let retry = harness
            .retry(&first, Outcome::Reset)
            .expect("the read is retried");
        assert_ne!(retry.server, first.server);
        assert_eq!(cell_of(retry.server), cell_of(first.server));
    }
}

/// Guards against a read with an idempotency key that is executed twice because a server of another
/// zone has not seen its key.
#[test]
fn a_read_with_an_idempotency_key_does_not_go_directly_to_a_parent_of_another_zone() {
    for (scope, is_retried) in [(DedupScope::All, true), (DedupScope::Zone, false)] {
        let settings = settings_with_keyed_reads(scope);
        let mut harness = Harness::new(settings, fleet_with_one_cache_server(1));
        let first = harness.forward(VIDEO, "/o/a");
        let other = harness.forward(VIDEO, "/o/b");
        harness.finish(&other, Outcome::ConnectFailed);
        let actions = harness.finish(&first, Outcome::Reset);
        let retry = first.retry_in(&actions);
        assert_eq!(
            retry.is_some_and(|retry| PARENTS.contains(&retry.server)),
            is_retried,
            "no cache server is available, and a parent is in another zone than the cache server"
        );
        let failed = Action::Fail {
            request: first.request,
        };
        assert_eq!(actions.contains(&failed), !is_retried);
    }
}

/// Guards against needless failures of writes that may be repeated anywhere: only a class with an
/// idempotency key has a scope in which repetitions are recognized.
#[test]
fn an_idempotent_write_is_retried_in_any_cell() {
    let mut settings = settings_without_direct_requests();
    change_class(&mut settings, ORDER, |class| {
        class.idempotency = Idempotency::Idempotent;
        class.dedup_scope = DedupScope::Cell;
    });
    let mut harness = Harness::new(settings, fleet());
    let first = harness.forward(ORDER, "/o/a");
    harness.handle(endpoint_delta(vec![Endpoint {
        state: EndpointState::Gone,
        ..cache_server(first.server)
    }]));
    let retry = harness.retry(&first, Outcome::Reset);
    assert!(retry.is_some_and(|retry| retry.server != first.server));
}
