//! Admission: a request is rejected, or served only from cached copies, if the time left, the link
//! of the location or the capacity of a cache server does not allow more.

mod support;
use edge_routing::*;
use support::*;

/// Guards against work for a client that stops waiting before an answer can arrive.
#[test]
fn a_request_without_time_left_is_rejected_at_once() {
    let mut harness = Harness::with_defaults();
    let request = Request {
        remaining_us: 0,
        ..harness.next_request(VIDEO, "/o/a")
    };
    let submission = harness.submit_request(request);
    assert_eq!(
        submission.actions,
        [Action::Reject {
            request: submission.request,
            retry_after_us: Some(RETRY_AFTER_US),
        }]
    );
}

/// Guards against clients that retry at once and add to the overload because they got no
/// Retry-After.
#[test]
fn a_rejection_carries_retry_after_even_if_clients_are_not_known_to_follow_it() {
    const SHORT_MAX_RETRY_AFTER_US: Micros = 150 * MILLISECOND_US;
    let settings = Settings {
        retry_after: false,
        max_retry_after_us: SHORT_MAX_RETRY_AFTER_US,
        ..settings()
    };
    let mut harness = Harness::new(settings, vec![]);
    let request = Request {
        remaining_us: SECOND_US,
        ..harness.next_request(VIDEO, "/o/a")
    };
    let submission = harness.submit_request(request);
    assert_eq!(
        submission.actions,
        [Action::Reject {
            request: submission.request,
            retry_after_us: Some(SHORT_MAX_RETRY_AFTER_US),
        }]
    );
}

/// Guards against congestion of the location's link: fills share its rate, so one fill too many
/// makes the others late as well.
#[test]
fn no_fill_starts_that_the_link_cannot_finish_in_time() {
    const SLOW_LINK_KB_PER_S: f64 = 10_000.0;
    let mut settings = settings();
    settings.zones[LOCAL_ZONE_INDEX].link_kb_per_s = SLOW_LINK_KB_PER_S;
    let mut harness = Harness::new(settings, fleet_with_unlimited_capacity());
    let first = harness.forward(VIDEO, "/o/0");
    assert!(PARENTS.contains(&first.fill.source));

    let last = (1..400)
        .map(|index| harness.forward(VIDEO, &format!("/o/{index}")))
        .last()
        .expect("the requests are forwarded");
    assert!(!last.fills_a_miss(), "only cached copies are served");
    assert!(
        last.fill.coalesce,
        "the request may wait for a fill that is in progress"
    );
    assert_eq!(
        harness.finish(&last, Outcome::Miss),
        [Action::Reject {
            request: last.request,
            retry_after_us: Some(RETRY_AFTER_US),
        }]
    );
}

/// Whether a request may start a fill over a link whose rate is unknown.
#[derive(Debug, PartialEq)]
struct FillsAllowed {
    /// Just after 40 fills have ended at the same time.
    under_load: bool,
    /// Four seconds after that.
    once_idle: bool,
}

/// Returns whether fills are allowed after 40 fills that were in flight at the same time have each
/// ended with this outcome, fill result and duration.
fn fills_allowed_after(outcome: Outcome, fill_result: FillResult, took_us: Micros) -> FillsAllowed {
    let settings = settings_with_unknown_link();
    let mut harness = Harness::new(settings, fleet_with_unlimited_capacity());
    let fills: Vec<Attempt> = (0..40)
        .map(|index| harness.forward(VIDEO, &format!("/o/{index}")))
        .collect();

    harness.advance(200 * MILLISECOND_US);
    harness.servers_of_objects(8); // The cache servers answer other requests meanwhile.
    harness.sweep();
    harness.advance(600 * MILLISECOND_US);
    for fill in &fills {
        harness.report(AttemptReport {
            took_us,
            fill_ttfb_us: 20 * MILLISECOND_US,
            ..fill.report(outcome, fill_result)
        });
    }

    let under_load = harness.forward(VIDEO, "/o/next");
    for _ in 0..2 {
        harness.advance(2 * SECOND_US);
        harness.sweep();
    }
    let once_idle = harness.forward(VIDEO, "/o/last");
    FillsAllowed {
        under_load: under_load.fills_a_miss(),
        once_idle: once_idle.fills_a_miss(),
    }
}

/// Guards against a link that stays congested: without a limit, fills that come too late are
/// started again. Also guards against a limit that is learned from waits for the origin.
#[test]
fn the_capacity_of_a_link_of_unknown_rate_is_learned_from_its_fills() {
    assert_eq!(
        fills_allowed_after(Outcome::Ok, FillResult::Filled, 800 * MILLISECOND_US),
        FillsAllowed {
            under_load: false,
            once_idle: true,
        },
        "slow fills show a saturated link until the link is idle"
    );
    assert_eq!(
        fills_allowed_after(Outcome::Timeout, FillResult::Unknown, 800 * MILLISECOND_US),
        FillsAllowed {
            under_load: true,
            once_idle: true,
        },
        "a timeout shows nothing about the link: the attempt may have waited for the origin"
    );
    assert_eq!(
        fills_allowed_after(Outcome::Ok, FillResult::Filled, 130 * MILLISECOND_US),
        FillsAllowed {
            under_load: true,
            once_idle: true,
        },
        "quick fills set no limit"
    );
}

/// Guards against a link that counts as saturated forever: without new fills nothing would show
/// that it is idle.
#[test]
fn a_link_on_which_no_fill_has_ended_recently_does_not_count_as_saturated() {
    let mut harness = Harness::new(settings_with_unknown_link(), fleet());
    let fills: Vec<Attempt> = (0..6)
        .map(|index| harness.forward(VIDEO, &format!("/x/{index}")))
        .collect();
    for fill in &fills {
        harness.report(AttemptReport {
            took_us: 4 * SECOND_US,
            fill_ttfb_us: 20 * MILLISECOND_US,
            ..fill.report(Outcome::Ok, FillResult::Filled)
        });
    }
    let just_after = harness.forward(VIDEO, "/o/1");
    assert!(
        !just_after.fills_a_miss(),
        "slow fills show a saturated link"
    );

    harness.sweep();
    harness.advance(2 * SECOND_US);
    harness.sweep();
    let later = harness.forward(VIDEO, "/o/2");
    assert!(
        later.fills_a_miss(),
        "a new fill must show the current capacity of the link"
    );
}

/// Guards against an overestimated load: each of hundreds of routers would assume that all others
/// have as many transfers in flight as itself at this moment.
#[test]
fn a_few_transfers_of_one_router_among_hundreds_do_not_saturate_a_cache_server() {
    let mut settings = settings();
    settings.zones[LOCAL_ZONE_INDEX].edge_proxy_count = 200;
    let mut harness = Harness::new(settings, fleet());
    let first = harness.forward(VIDEO, "/o/same");
    for _ in 0..2 {
        let next = harness.forward(VIDEO, "/o/same");
        assert_eq!(
            next.server, first.server,
            "the object's cache server has capacity left"
        );
    }
}
