//! Admission: requests are rejected, or served from copies alone, where the time left, the link of
//! the location or the capacity of a cache server does not allow more.

mod support;
use edge_routing::*;
use support::*;

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
            retry_after_us: Some(RETRY_AFTER),
        }]
    );
}

#[test]
fn a_rejection_carries_retry_after_even_where_clients_are_not_known_to_follow_it() {
    const LONGEST_RETRY_AFTER: Micros = 150 * MILLISECOND;
    let settings = Settings {
        retry_after: false,
        max_retry_after_us: LONGEST_RETRY_AFTER,
        ..settings()
    };
    let mut harness = Harness::new(settings, vec![]);
    let request = Request {
        remaining_us: SECOND,
        ..harness.next_request(VIDEO, "/o/a")
    };
    let submission = harness.submit_request(request);
    assert_eq!(
        submission.actions,
        [Action::Reject {
            request: submission.request,
            retry_after_us: Some(LONGEST_RETRY_AFTER),
        }]
    );
}

#[test]
fn no_fill_starts_that_the_link_cannot_finish_in_time() {
    const SLOW_LINK_KB_PER_S: f64 = 10_000.0;
    let mut settings = settings();
    settings.zones[LOCAL_ZONE].link_kb_per_s = SLOW_LINK_KB_PER_S;
    let mut harness = Harness::new(settings, fleet_with_unlimited_capacity());
    let first = harness.forward(VIDEO, "/o/0");
    assert!(PARENTS.contains(&first.fill.source));

    let last = (1..400)
        .map(|index| harness.forward(VIDEO, &format!("/o/{index}")))
        .last()
        .expect("an attempt");
    assert!(!last.fills_a_miss(), "only cached copies are served");
    assert!(last.fill.coalesce, "a fill in progress is waited for");
    assert_eq!(
        harness.finish(&last, Outcome::Miss),
        [Action::Reject {
            request: last.request,
            retry_after_us: Some(RETRY_AFTER),
        }]
    );
}

/// Whether a request may start a fill over a link of unknown capacity.
#[derive(Debug, PartialEq)]
struct FillsAllowed {
    /// Just after 40 fills have ended together.
    under_load: bool,
    /// Four seconds later.
    once_idle: bool,
}

/// Whether fills are allowed once 40 that were in flight together have each ended like this.
fn fills_allowed_after(outcome: Outcome, fill_result: FillResult, took_us: Micros) -> FillsAllowed {
    let settings = settings_with_unknown_link();
    let mut harness = Harness::new(settings, fleet_with_unlimited_capacity());
    let fills: Vec<Attempt> = (0..40)
        .map(|index| harness.forward(VIDEO, &format!("/o/{index}")))
        .collect();

    harness.advance(200 * MILLISECOND);
    harness.servers_of_objects(8); // The cache servers answer others meanwhile.
    harness.sweep();
    harness.advance(600 * MILLISECOND);
    for fill in &fills {
        harness.report(AttemptReport {
            took_us,
            fill_ttfb_us: 20 * MILLISECOND,
            ..fill.report(outcome, fill_result)
        });
    }

    let under_load = harness.forward(VIDEO, "/o/next");
    for _ in 0..2 {
        harness.advance(2 * SECOND);
        harness.sweep();
    }
    let once_idle = harness.forward(VIDEO, "/o/last");
    FillsAllowed {
        under_load: under_load.fills_a_miss(),
        once_idle: once_idle.fills_a_miss(),
    }
}

#[test]
fn the_capacity_of_a_link_is_learned_from_its_fills_where_it_is_unknown() {
    assert_eq!(
        fills_allowed_after(Outcome::Ok, FillResult::Filled, 800 * MILLISECOND),
        FillsAllowed {
            under_load: false,
            once_idle: true,
        },
        "slow fills show a saturated link, until it is idle"
    );
    assert_eq!(
        fills_allowed_after(Outcome::Timeout, FillResult::Unknown, 800 * MILLISECOND),
        FillsAllowed {
            under_load: true,
            once_idle: true,
        },
        "a time-out says nothing of the link: it may have waited for the origin"
    );
    assert_eq!(
        fills_allowed_after(Outcome::Ok, FillResult::Filled, 130 * MILLISECOND),
        FillsAllowed {
            under_load: true,
            once_idle: true,
        },
        "quick fills set no limit"
    );
}

#[test]
fn a_link_on_which_no_fill_has_ended_recently_is_not_saturated() {
    let mut harness = Harness::new(settings_with_unknown_link(), fleet());
    let fills: Vec<Attempt> = (0..6)
        .map(|index| harness.forward(VIDEO, &format!("/x/{index}")))
        .collect();
    for fill in &fills {
        harness.report(AttemptReport {
            took_us: 4 * SECOND,
            fill_ttfb_us: 20 * MILLISECOND,
            ..fill.report(Outcome::Ok, FillResult::Filled)
        });
    }
    let just_after = harness.forward(VIDEO, "/o/1");
    assert!(
        !just_after.fills_a_miss(),
        "slow fills show a saturated link"
    );

    harness.sweep();
    harness.advance(2 * SECOND);
    harness.sweep();
    let later = harness.forward(VIDEO, "/o/2");
    assert!(
        later.fills_a_miss(),
        "a fill has to show what the link carries now"
    );
}

#[test]
fn a_few_transfers_of_one_router_among_hundreds_do_not_saturate_a_cache_server() {
    let mut settings = settings();
    settings.zones[LOCAL_ZONE].edge_proxies = 200;
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
