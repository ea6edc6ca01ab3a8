//! Load shedding before the origin: while it is late or fails, few requests may reach it, and the
//! others get only what the parents have cached.

mod support;
use edge_routing::*;
use support::*;

/// Requests of a batch, each for an object of its own.
const BATCH: usize = 100;
/// A time to first byte within the latency objective.
const IN_TIME: Micros = 100 * MILLISECOND;
/// A time to first byte past the latency objective.
const LATE: Micros = 900 * MILLISECOND;

/// Forwards the batch of this number and serves it by fills of this kind; returns how many of its
/// requests might reach the origin.
fn requests_that_may_reach_origin(
    harness: &mut Harness,
    batch_number: usize,
    fill_ttfb_us: Micros,
    fill_result: FillResult,
) -> usize {
    let mut may_reach_origin = 0;
    for index in 1..=BATCH {
        let object = format!("/o/{}", batch_number * BATCH + index);
        let attempt = harness.forward(VIDEO, &object);
        harness.advance(10 * MILLISECOND);
        harness.report(AttemptReport {
            took_us: fill_ttfb_us + 100 * MILLISECOND,
            fill_ttfb_us,
            ..attempt.report(Outcome::Ok, fill_result)
        });
        if harness.now % SWEEP_INTERVAL == 0 {
            harness.sweep();
        }
        assert!(attempt.fills_a_miss());
        if !attempt.fill.only_if_cached {
            may_reach_origin += 1;
        }
    }
    may_reach_origin
}

#[test]
fn few_requests_may_reach_the_origin_while_it_is_late() {
    use FillResult::{Filled, FilledFromOrigin};
    const FEW: usize = BATCH / 5;
    let mut harness = Harness::with_defaults();
    assert_eq!(
        requests_that_may_reach_origin(&mut harness, 0, IN_TIME, FilledFromOrigin),
        BATCH
    );

    requests_that_may_reach_origin(&mut harness, 1, LATE, FilledFromOrigin);
    let while_late = requests_that_may_reach_origin(&mut harness, 2, LATE, FilledFromOrigin);
    assert!(
        (1..FEW).contains(&while_late),
        "a few find out whether it has recovered: {while_late}"
    );
    let served_by_parents =
        requests_that_may_reach_origin(&mut harness, 3, 10 * MILLISECOND, Filled);
    assert!(
        served_by_parents < FEW,
        "the parents' own copies say nothing of the origin: {served_by_parents}"
    );

    requests_that_may_reach_origin(&mut harness, 4, IN_TIME, FilledFromOrigin);
    assert_eq!(
        requests_that_may_reach_origin(&mut harness, 5, IN_TIME, FilledFromOrigin),
        BATCH,
        "it has recovered"
    );

    let slightly_late = requests_that_may_reach_origin(
        &mut Harness::with_defaults(),
        6,
        600 * MILLISECOND,
        FilledFromOrigin,
    );
    let very_late = requests_that_may_reach_origin(
        &mut Harness::with_defaults(),
        7,
        2 * SECOND,
        FilledFromOrigin,
    );
    assert!(
        very_late < slightly_late,
        "the later, the fewer: {very_late}, {slightly_late}"
    );
}

#[test]
fn an_unreachable_parent_is_not_taken_for_a_late_origin() {
    const RETRIES: usize = 5;
    let unreachable = PARENTS[0];
    let mut harness = Harness::with_defaults();
    for index in 0..60 {
        harness.advance(2 * MILLISECOND);
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
        "the other parent requests what it lacks from the origin"
    );
}

/// How many of 40 requests that are served as cache hits must not reach the origin.
fn hits_that_must_not_reach_origin(harness: &mut Harness) -> usize {
    (0..40)
        .map(|index| harness.serve_hit(VIDEO, &format!("/o/{index}")))
        .filter(|attempt| attempt.fill.only_if_cached)
        .count()
}

#[test]
fn a_router_with_few_fills_ends_load_shedding_once_failures_have_stopped() {
    const SWEEPS_IN_TEN_SECONDS: usize = 200;
    let mut harness = Harness::with_defaults();
    for index in 0..30 {
        let attempt = harness.forward(VIDEO, &format!("/x/{index}"));
        harness.finish_with(&attempt, Outcome::Rejected, FillResult::OriginFailed);
        harness.disconnect(attempt.request);
    }
    assert!(
        hits_that_must_not_reach_origin(&mut harness) > 30,
        "all of its fills have failed at the origin"
    );
    for _ in 0..SWEEPS_IN_TEN_SECONDS {
        harness.advance(SWEEP_INTERVAL);
        harness.sweep();
    }
    assert_eq!(
        hits_that_must_not_reach_origin(&mut harness),
        0,
        "nothing has failed for ten seconds, though nothing was filled either"
    );
}

/// How many of 40 requests must not reach the origin, after a group was purged and 20 requests for
/// objects of [`GROUP`] have timed out.
fn requests_kept_from_origin_after_timeouts(purged_group: u64) -> usize {
    let mut harness = Harness::with_defaults();
    harness.handle(group_purge(purged_group, 100 * MILLISECOND));
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

#[test]
fn time_outs_of_purged_objects_start_load_shedding() {
    assert!(
        requests_kept_from_origin_after_timeouts(GROUP) > 20,
        "only the origin could have given these"
    );
    assert_eq!(
        requests_kept_from_origin_after_timeouts(OTHER_GROUP),
        0,
        "a time-out of what may be cached anywhere says nothing of the origin"
    );
}
