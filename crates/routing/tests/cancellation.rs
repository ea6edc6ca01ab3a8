//! Which attempts in flight are cancelled: those at an unresponsive server, stalled ones, and those
//! of clients that have disconnected.

mod support;
use edge_routing::*;
use support::*;

/// Longer than an attempt may take that is neither a fill for certain nor slow for its class.
const PAST_THE_EXPECTED_LATENCY: Micros = SECOND;

/// The cancellations once six requests for one object have waited too long after this purge.
fn cancellations_after_purge(purge: Event) -> Vec<Action> {
    let mut harness = Harness::with_defaults();
    harness.handle(purge);
    for _ in 0..6 {
        harness.forward(VIDEO, "/o/1");
    }
    harness.cancellations_after(PAST_THE_EXPECTED_LATENCY)
}

#[test]
fn slow_fills_after_a_group_purge_are_no_sign_of_an_unresponsive_server() {
    const PURGE_AGE: Micros = 100 * MILLISECOND;
    assert_eq!(
        cancellations_after_purge(group_purge(GROUP, PURGE_AGE)),
        [],
        "every copy was purged: the attempts wait for the origin"
    );
    assert!(
        !cancellations_after_purge(group_purge(OTHER_GROUP, PURGE_AGE)).is_empty(),
        "copies of this group should have been found"
    );
    assert!(
        !cancellations_after_purge(object_purge("/o/1", PURGE_AGE)).is_empty(),
        "one object is filled again at once, by the first request for it"
    );
}

/// The cancellations once requests for six objects have waited too long, where all cache servers
/// have started at this time.
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
    harness.cancellations_after(PAST_THE_EXPECTED_LATENCY)
}

#[test]
fn slow_fills_of_cache_servers_that_started_empty_are_no_sign_of_unresponsive_servers() {
    let warming_up = START_TIME - 3 * SECOND;
    let warm = START_TIME - 30 * SECOND;
    assert_eq!(
        cancellations_with_cache_servers_started(warming_up),
        [],
        "they have no copies yet"
    );
    assert!(!cancellations_with_cache_servers_started(warm).is_empty());
}

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

    let cancelled = harness.cancellations_after(PAST_THE_EXPECTED_LATENCY);
    let expected: Vec<Action> = unanswered.iter().map(Attempt::cancellation).collect();
    assert_eq!(cancelled, expected);

    for attempt in &unanswered {
        let retry = harness.retry(attempt, Outcome::Cancelled).expect("a retry");
        assert_ne!(retry.server, unresponsive);
    }
    assert!(!harness.servers_of_objects(40).contains(&unresponsive));
}

#[test]
fn a_stalled_attempt_is_retried_at_the_same_server_while_it_answers_others() {
    const STEP: Micros = 100 * MILLISECOND;
    let mut harness = Harness::with_defaults();
    let stalled = harness.forward(VIDEO, "/o/a");
    let mut cancelled = Vec::new();
    for index in 0..40 {
        harness.advance(STEP);
        // The same cache server goes on answering others.
        harness.serve_hit(PAGE, &format!("/o/{index}"));
        cancelled.extend(cancellations(harness.sweep()));
    }
    assert_eq!(cancelled, [stalled.cancellation()]);
    let retry = harness
        .retry(&stalled, Outcome::Cancelled)
        .expect("a retry");
    assert_eq!(
        retry.server, stalled.server,
        "the request ran there, so the copy is there"
    );

    // Stalled a second time, it is given more time.
    const MOST_STEPS: usize = 200;
    const STEPS_OF_FIRST_ATTEMPT: usize = 20;
    let mut cancelled = Vec::new();
    let mut steps = 0;
    while cancelled.is_empty() && steps < MOST_STEPS {
        cancelled = harness.cancellations_after(STEP);
        steps += 1;
    }
    assert_eq!(cancelled, [retry.cancellation()]);
    assert!(
        steps > STEPS_OF_FIRST_ATTEMPT,
        "longer than the first attempt: {steps} steps"
    );
}

#[test]
fn a_cancelled_slow_attempt_raises_the_expected_latency_of_later_ones() {
    const LONG_DEADLINE: Micros = 60 * SECOND;
    const ROUNDS: usize = 4;
    let mut harness = Harness::with_defaults();
    let mut times_to_cancellation = Vec::new();
    for round in 0..ROUNDS {
        let object = format!("/o/{round}");
        let request = Request {
            remaining_us: LONG_DEADLINE,
            ..harness.next_request(VIDEO, &object)
        };
        let submission = harness.submit_request(request);
        let slow = submission.attempt().expect("an attempt");
        let start = harness.now;

        // Its server answers others meanwhile, so the server is not unresponsive.
        harness.advance(100 * MILLISECOND);
        let other = harness.serve_hit(VIDEO, &object);
        assert_eq!(other.server, slow.server);

        while !harness.sweep().contains(&slow.cancellation()) {
            harness.advance(50 * MILLISECOND);
        }
        times_to_cancellation.push(harness.now - start);
        let retry = harness.retry(&slow, Outcome::Cancelled).expect("a retry");
        harness.finish_as_hit(&retry);
    }
    assert!(
        times_to_cancellation.is_sorted(),
        "{times_to_cancellation:?}"
    );
    assert!(
        times_to_cancellation[ROUNDS - 1] > times_to_cancellation[0] * 4 / 3,
        "{times_to_cancellation:?}"
    );
}

/// A router that was notified ten seconds ago that another group was purged.
fn harness_after_group_purge() -> Harness {
    let mut harness = Harness::with_defaults();
    harness.handle(group_purge(OTHER_GROUP, 100 * MILLISECOND));
    harness.advance(10 * SECOND);
    harness
}

/// The cancellations once requests for six objects have waited for a time within the usual latency.
///
/// Nothing has been answered yet, and until something has, the usual latency is taken to be 0.9 s.
fn cancellations_within_usual_latency(mut harness: Harness) -> Vec<Action> {
    for index in 0..6 {
        harness.forward(VIDEO, &format!("/o/{index}"));
    }
    harness.cancellations_after(700 * MILLISECOND)
}

#[test]
fn after_a_group_purge_attempts_within_the_usual_latency_are_not_cancelled() {
    assert_eq!(
        cancellations_within_usual_latency(harness_after_group_purge()),
        []
    );
    assert!(!cancellations_within_usual_latency(Harness::with_defaults()).is_empty());
}

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
        "no final answer is owed any more"
    );
}

#[test]
fn a_started_stream_is_not_cancelled() {
    let mut harness = Harness::with_defaults();
    let attempt = harness.forward(STREAM, "/o/a");
    harness.handle(Event::StreamStarted {
        request: attempt.request,
        attempt: attempt.number,
    });
    assert_eq!(harness.cancellations_after(20 * SECOND), []);
}
