//! Cancellation of attempts in flight: attempts at an unresponsive server, stalled attempts, and
//! attempts of clients that have disconnected.

mod support;
use edge_routing::*;
use support::*;

/// A time after which an attempt is late for its class. Only an attempt that certainly waits for a
/// fill may take longer.
const PAST_EXPECTED_LATENCY_US: Micros = SECOND_US;

/// Returns the cancellations when six requests for one object are late after this purge.
fn cancellations_after_purge(purge: Event) -> Vec<Action> {
    let mut harness = Harness::with_defaults();
    harness.handle(purge);
    for _ in 0..6 {
        harness.forward(VIDEO, "/o/1");
    }
    harness.cancellations_after(PAST_EXPECTED_LATENCY_US)
}

/// Guards against the ejection of working cache servers after the purge of a group: all attempts
/// wait for the origin, and retries would only add fills.
#[test]
fn slow_fills_after_a_group_purge_do_not_count_as_an_unresponsive_server() {
    const PURGE_AGE_US: Micros = 100 * MILLISECOND_US;
    assert_eq!(
        cancellations_after_purge(group_purge(PURGE_GROUP, PURGE_AGE_US)),
        [],
        "every copy was purged, so the attempts wait for the origin"
    );
    assert!(
        !cancellations_after_purge(group_purge(OTHER_PURGE_GROUP, PURGE_AGE_US)).is_empty(),
        "the copies of this group were not purged, so late attempts are suspicious"
    );
    assert!(
        !cancellations_after_purge(object_purge("/o/1", PURGE_AGE_US)).is_empty(),
        "the first request for a single purged object fills it again at once"
    );
}

/// Returns the cancellations when requests for six objects are late and all cache servers started
/// at this time.
fn cancellations_with_cache_servers_started(started: Micros) -> Vec<Action> {
    let mut endpoints = fleet();
    for endpoint in &mut endpoints {
        if endpoint.kind == "cache" {
            endpoint.started_at = Some(started);
        }
    }
    let mut harness = Harness::new(settings(), endpoints);
    for index in 0..6 {
        harness.submit(VIDEO, &format!("/o/{index}"));
    }
    harness.cancellations_after(PAST_EXPECTED_LATENCY_US)
}

/// Guards against the ejection of cache servers that have just started: they have no copies, so
/// every attempt waits for a fill.
#[test]
fn slow_fills_of_cache_servers_that_started_empty_do_not_count_as_unresponsive_servers() {
    let warming_up = START_TIME_US - 3 * SECOND_US;
    let warm = START_TIME_US - 30 * SECOND_US;
    assert_eq!(
        cancellations_with_cache_servers_started(warming_up),
        [],
        "the cache servers have no copies yet"
    );
    assert!(!cancellations_with_cache_servers_started(warm).is_empty());
}

/// Guards against attempts that wait at a server that hangs until their clients stop waiting: a
/// hanging server reports no failure.
#[test]
fn attempts_at_an_unresponsive_server_are_cancelled_and_retried_elsewhere() {
    let unresponsive = CACHE_SERVERS[1];
    let mut harness = Harness::with_defaults();
    let mut unanswered = Vec::new();
    for index in 0..40 {
        let attempt = harness.forward(VIDEO, &format!("/o/{index}"));
        if attempt.server == unresponsive {
            unanswered.push(attempt);
        } else {
            harness.finish_as_hit(&attempt);
        }
    }
    assert!(unanswered.len() >= 2);

    let cancelled = harness.cancellations_after(PAST_EXPECTED_LATENCY_US);
    let expected: Vec<Action> = unanswered.iter().map(Attempt::cancellation).collect();
    assert_eq!(cancelled, expected);

    for attempt in &unanswered {
        let retry = harness
            .retry(attempt, Outcome::Cancelled)
            .expect("the attempt is retried");
        assert_ne!(retry.server, unresponsive);
    }
    assert!(!harness.servers_of_objects(40).contains(&unresponsive));
}

/// Guards against a fill at a second cache server when only one answer was lost, and against
/// retries of a large object that stall again before it can be transferred.
#[test]
fn a_stalled_attempt_is_retried_at_the_same_server_while_it_answers_others() {
    const STEP_US: Micros = 100 * MILLISECOND_US;
    let mut harness = Harness::with_defaults();
    let stalled = harness.forward(VIDEO, "/o/a");
    let mut cancelled = Vec::new();
    for index in 0..40 {
        harness.advance(STEP_US);
        // The same cache server continues to answer other requests.
        harness.serve_hit(PAGE, &format!("/o/{index}"));
        cancelled.extend(cancellations(harness.sweep()));
    }
    assert_eq!(cancelled, [stalled.cancellation()]);
    let retry = harness
        .retry(&stalled, Outcome::Cancelled)
        .expect("the attempt is retried");
    assert_eq!(
        retry.server, stalled.server,
        "the server executed the request, so it has a copy"
    );

    // The time until the second attempt stalls is longer.
    const MAX_STEPS: usize = 200;
    const STEPS_OF_FIRST_ATTEMPT: usize = 20;
    let mut cancelled = Vec::new();
    let mut steps = 0;
    while cancelled.is_empty() && steps < MAX_STEPS {
        cancelled = harness.cancellations_after(STEP_US);
        steps += 1;
    }
    assert_eq!(cancelled, [retry.cancellation()]);
    assert!(
        steps > STEPS_OF_FIRST_ATTEMPT,
        "the second attempt stalled after {steps} steps, not later than the first one"
    );
}

/// Guards against a slow origin whose fills are all cancelled and restarted: if only answers
/// counted, cancelling the slow attempts would lower the latency that counts as slow.
#[test]
fn a_cancelled_slow_attempt_raises_the_expected_latency_of_later_attempts() {
    const LONG_CLIENT_TIMEOUT_US: Micros = 60 * SECOND_US;
    const ROUNDS: usize = 4;
    let mut harness = Harness::with_defaults();
    let mut times_to_cancellation_us = Vec::new();
    for round in 0..ROUNDS {
        let object = format!("/o/{round}");
        let request = Request {
            remaining_us: LONG_CLIENT_TIMEOUT_US,
            ..harness.next_request(VIDEO, &object)
        };
        let submission = harness.submit_request(request);
        let slow = submission.attempt().expect("the request is forwarded");
        let start = harness.now;

        // The server answers another request meanwhile, so it is not unresponsive.
        harness.advance(100 * MILLISECOND_US);
        let other = harness.serve_hit(VIDEO, &object);
        assert_eq!(other.server, slow.server);

        while !harness.sweep().contains(&slow.cancellation()) {
            harness.advance(50 * MILLISECOND_US);
        }
        times_to_cancellation_us.push(harness.now - start);
        let retry = harness
            .retry(&slow, Outcome::Cancelled)
            .expect("the attempt is retried");
        harness.finish_as_hit(&retry);
    }
    assert!(
        times_to_cancellation_us.is_sorted(),
        "the times to cancellation are not ascending: {times_to_cancellation_us:?}"
    );
    assert!(
        times_to_cancellation_us[ROUNDS - 1] > times_to_cancellation_us[0] * 4 / 3,
        "the times to cancellation do not grow by a third: {times_to_cancellation_us:?}"
    );
}

/// Returns a router that was notified ten seconds ago of the purge of another group.
fn harness_after_group_purge() -> Harness {
    let mut harness = Harness::with_defaults();
    harness.handle(group_purge(OTHER_PURGE_GROUP, 100 * MILLISECOND_US));
    harness.advance(10 * SECOND_US);
    harness
}

/// Returns the cancellations when requests for six objects have waited for a time that is not slow
/// for their class.
///
/// The router assumes until the first answer that an answer is slow from about 0.9 s.
fn cancellations_before_slow_latency(mut harness: Harness) -> Vec<Action> {
    for index in 0..6 {
        harness.forward(VIDEO, &format!("/o/{index}"));
    }
    harness.cancellations_after(700 * MILLISECOND_US)
}

/// Guards against cancellations while the parts of a purged group are filled again: requests for
/// other groups wait for the origin as well then.
#[test]
fn after_a_group_purge_attempts_that_are_not_slow_for_their_class_are_not_cancelled() {
    assert_eq!(
        cancellations_before_slow_latency(harness_after_group_purge()),
        []
    );
    assert!(!cancellations_before_slow_latency(Harness::with_defaults()).is_empty());
}

/// Guards against transfers that occupy a link although no client waits for them.
#[test]
fn the_attempt_of_a_client_that_disconnects_is_cancelled() {
    let mut harness = Harness::with_defaults();
    let attempt = harness.forward(VIDEO, "/o/a");
    assert_eq!(
        harness.disconnect(attempt.request),
        [attempt.cancellation()]
    );
    assert_eq!(
        harness.finish(&attempt, Outcome::Cancelled),
        [],
        "a client that has disconnected gets no final answer"
    );
}

/// Guards against the interruption of a stream whose client already receives it: a stream may take
/// longer than any answer.
#[test]
fn a_started_stream_is_not_cancelled() {
    let mut harness = Harness::with_defaults();
    let attempt = harness.forward(STREAM, "/o/a");
    harness.handle(Event::StreamStarted {
        request: attempt.request,
        attempt: attempt.number,
    });
    assert_eq!(harness.cancellations_after(20 * SECOND_US), []);
}
