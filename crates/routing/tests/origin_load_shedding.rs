//! Load shedding for the origin: while the origin is late or fails, only few requests may reach it.
//! The other requests get only what the parents have cached.

mod support;
use edge_routing::*;
use support::*;

/// The number of requests of a batch. Each request is for a different object.
const BATCH_REQUESTS: usize = 100;
/// A time to first byte within the latency objective, in microseconds.
const IN_TIME_TTFB_US: Micros = 100 * MILLISECOND_US;
/// A time to first byte past the latency objective, in microseconds.
const LATE_TTFB_US: Micros = 900 * MILLISECOND_US;

/// Forwards the batch with this number and serves each request by a fill with this result. Returns
/// how many of the requests may reach the origin.
fn requests_that_may_reach_origin(
    harness: &mut Harness,
    batch_number: usize,
    fill_ttfb_us: Micros,
    fill_result: FillResult,
) -> usize {
    let mut may_reach_origin = 0;
    for index in 1..=BATCH_REQUESTS {
        let object = format!("/o/{}", batch_number * BATCH_REQUESTS + index);
        let attempt = harness.forward(VIDEO, &object);
        harness.advance(10 * MILLISECOND_US);
        harness.report(AttemptReport {
            took_us: fill_ttfb_us + 100 * MILLISECOND_US,
            fill_ttfb_us,
            ..attempt.report(Outcome::Ok, fill_result)
        });
        if harness.now % SWEEP_INTERVAL_US == 0 {
            harness.sweep();
        }
        assert!(attempt.fills_a_miss());
        if !attempt.fill.only_if_cached {
            may_reach_origin += 1;
        }
    }
    may_reach_origin
}

/// Guards against a queue at the origin that outlasts its cause: the origin also processes requests
/// that no client waits for any more, so that all others are late as well.
#[test]
fn few_requests_may_reach_the_origin_while_it_is_late() {
    use FillResult::{Filled, FilledFromOrigin};
    const TOO_MANY_REQUESTS: usize = BATCH_REQUESTS / 5;
    let mut harness = Harness::with_defaults();
    assert_eq!(
        requests_that_may_reach_origin(&mut harness, 0, IN_TIME_TTFB_US, FilledFromOrigin),
        BATCH_REQUESTS
    );

    requests_that_may_reach_origin(&mut harness, 1, LATE_TTFB_US, FilledFromOrigin);
    let while_late =
        requests_that_may_reach_origin(&mut harness, 2, LATE_TTFB_US, FilledFromOrigin);
    assert!(
        (1..TOO_MANY_REQUESTS).contains(&while_late),
        "{while_late} requests may reach the origin, but a few must show whether it has recovered"
    );
    let served_by_parents =
        requests_that_may_reach_origin(&mut harness, 3, 10 * MILLISECOND_US, Filled);
    assert!(
        served_by_parents < TOO_MANY_REQUESTS,
        "copies of parents show nothing about the origin, but {served_by_parents} may reach it"
    );

    requests_that_may_reach_origin(&mut harness, 4, IN_TIME_TTFB_US, FilledFromOrigin);
    assert_eq!(
        requests_that_may_reach_origin(&mut harness, 5, IN_TIME_TTFB_US, FilledFromOrigin),
        BATCH_REQUESTS,
        "the origin has recovered"
    );

    let slightly_late = requests_that_may_reach_origin(
        &mut Harness::with_defaults(),
        6,
        600 * MILLISECOND_US,
        FilledFromOrigin,
    );
    let very_late = requests_that_may_reach_origin(
        &mut Harness::with_defaults(),
        7,
        2 * SECOND_US,
        FilledFromOrigin,
    );
    assert!(
        very_late < slightly_late,
        "{very_late} requests may reach a very late origin, {slightly_late} a slightly late one"
    );
}

/// Guards against load shedding for a working origin because one parent is unreachable: its failed
/// fills would keep requests to the other parent from the origin.
#[test]
fn an_unreachable_parent_does_not_count_as_a_late_origin() {
    const RETRIES: usize = 5;
    let unreachable = PARENTS[0];
    let mut harness = Harness::with_defaults();
    for index in 0..60 {
        harness.advance(2 * MILLISECOND_US);
        let first = harness.forward(VIDEO, &format!("/o/{index}"));
        let mut retry = if first.fill.source == unreachable {
            harness.retry_with(&first, Outcome::Rejected, FillResult::SourceUnreachable)
        } else {
            harness.retry_with(&first, Outcome::Ok, FillResult::Filled)
        };
        for _ in 0..RETRIES {
            let Some(attempt) = retry else { break };
            retry = harness.retry_with(&attempt, Outcome::Ok, FillResult::Filled);
        }
    }
    let only_if_cached = (0..40)
        .map(|index| harness.forward(VIDEO, &format!("/p/{index}")))
        .filter(|attempt| attempt.fill.only_if_cached)
        .count();
    assert_eq!(
        only_if_cached, 0,
        "the other parent fills its misses from the origin"
    );
}

/// Returns how many of 40 requests that are served as cache hits must not reach the origin.
fn hits_that_must_not_reach_origin(harness: &mut Harness) -> usize {
    (0..40)
        .map(|index| harness.serve_hit(VIDEO, &format!("/o/{index}")))
        .filter(|attempt| attempt.fill.only_if_cached)
        .count()
}

/// Guards against load shedding that never ends at a router with few fills: it hardly sees an
/// answer of the origin that shows the recovery.
#[test]
fn a_router_without_fills_ends_load_shedding_once_failures_have_stopped() {
    const SWEEPS_IN_TEN_SECONDS: usize = 200;
    let mut harness = Harness::with_defaults();
    for index in 0..30 {
        let attempt = harness.forward(VIDEO, &format!("/x/{index}"));
        harness.finish_with(&attempt, Outcome::Rejected, FillResult::OriginFailed);
        harness.disconnect(attempt.request);
    }
    assert!(
        hits_that_must_not_reach_origin(&mut harness) > 30,
        "all fills of the router have failed at the origin"
    );
    for _ in 0..SWEEPS_IN_TEN_SECONDS {
        harness.advance(SWEEP_INTERVAL_US);
        harness.sweep();
    }
    assert_eq!(
        hits_that_must_not_reach_origin(&mut harness),
        0,
        "no fill has failed for ten seconds, although none has succeeded either"
    );
}

/// Returns how many of 40 requests must not reach the origin after a group was purged and 20
/// requests for objects of [`PURGE_GROUP`] have timed out.
fn requests_kept_from_origin_after_timeouts(purged_group: u64) -> usize {
    let mut harness = Harness::with_defaults();
    harness.handle(group_purge(purged_group, 100 * MILLISECOND_US));
    for index in 0..20 {
        let attempt = harness.forward(VIDEO, &format!("/x/{index}"));
        harness.finish(&attempt, Outcome::Timeout);
        harness.disconnect(attempt.request);
    }
    (0..40)
        .map(|index| harness.forward(VIDEO, &format!("/o/{index}")))
        .filter(|attempt| attempt.fill.only_if_cached)
        .count()
}

/// Guards against an overloaded origin that gets all requests because fills after the purge of a
/// group time out and never report their time to first byte.
#[test]
fn time_outs_of_purged_objects_start_load_shedding() {
    assert!(
        requests_kept_from_origin_after_timeouts(PURGE_GROUP) > 20,
        "only the origin could have served the purged objects"
    );
    assert_eq!(
        requests_kept_from_origin_after_timeouts(OTHER_PURGE_GROUP),
        0,
        "a timeout of an object that may be cached shows nothing about the origin"
    );
}
