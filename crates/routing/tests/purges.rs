//! Purges: no copy from before a purge is served, whatever the servers have dropped by themselves.

mod support;
use edge_routing::*;
use support::*;

/// The event that the whole of [`GROUP`] was purged just now, without notice to the servers.
fn permanent_group_purge() -> Event {
    Event::Purged {
        object: None,
        group: GROUP,
        age_us: 0,
        permanent: true,
    }
}

#[test]
fn no_copy_from_before_a_purge_is_served_however_long_ago_the_purge_was() {
    const PURGE_AGE: Micros = 200 * MILLISECOND;
    // Servers have dropped purged copies by then, but a fill may have brought one back meanwhile.
    const COMPLETED: Micros = PURGE_COMPLETION - PURGE_AGE;
    let mut harness = Harness::with_defaults();
    for (purge, object) in [
        (object_purge("/o/a", PURGE_AGE), "/o/a"),
        (group_purge(GROUP, PURGE_AGE), "/o/b"),
    ] {
        harness.handle(purge);
        let start = harness.now;
        for elapsed in [
            0,
            500 * MILLISECOND,
            COMPLETED,
            COMPLETED + MILLISECOND,
            600 * SECOND,
        ] {
            harness.now = start + elapsed;
            harness.sweep();
            let attempt = harness.serve_hit(VIDEO, object);
            assert_eq!(
                attempt.fill.max_age_us,
                Some(PURGE_AGE + elapsed),
                "back to the purge of {object} and no further"
            );
        }
    }
}

#[test]
fn the_age_limit_is_never_zero_and_never_past_the_freshness_lifetime() {
    let mut harness = Harness::with_defaults();
    harness.handle(object_purge("/o/a", 0));
    assert_eq!(
        harness.forward(PAGE, "/o/a").fill.max_age_us,
        Some(1),
        "0 would mean the default"
    );

    let mut settings = settings();
    settings.rules.purge_completion_us = 60 * SECOND;
    let mut harness = Harness::new(settings, fleet());
    harness.handle(object_purge("/o/a", 30 * SECOND));
    assert_eq!(
        harness.forward(PAGE, "/o/a").fill.max_age_us,
        Some(PAGE_FRESHNESS_LIFETIME)
    );
}

#[test]
fn a_permanent_purge_is_never_forgotten() {
    /// Purges that a router remembers.
    const TABLE_CAPACITY: usize = 40_000;
    /// The permanent purge and the one of the requested object.
    const EARLIER_PURGES: usize = 2;
    let age_limit = |harness: &mut Harness| harness.forward(VIDEO, "/o/a").fill.max_age_us;
    let mut harness = Harness::with_defaults();
    harness.handle(permanent_group_purge());
    harness.advance(60 * SECOND);
    harness.sweep();
    assert_eq!(age_limit(&mut harness), Some(60 * SECOND));

    // A later purge that the servers carry out by themselves is stricter while it is remembered.
    harness.handle(object_purge("/o/a", 0));
    harness.advance(SECOND);
    assert_eq!(age_limit(&mut harness), Some(SECOND));
    harness.advance(9 * SECOND);
    assert_eq!(age_limit(&mut harness), Some(10 * SECOND));

    for index in 0..TABLE_CAPACITY - EARLIER_PURGES {
        harness.handle(object_purge(&format!("/o/other/{index}"), 0));
    }
    assert_eq!(
        age_limit(&mut harness),
        Some(10 * SECOND),
        "the table is full"
    );
    harness.handle(object_purge("/o/one more", 0));
    assert_eq!(
        age_limit(&mut harness),
        Some(70 * SECOND),
        "the oldest purge that is not permanent is forgotten"
    );
}

#[test]
fn the_age_limit_follows_a_purge_that_turns_out_to_lie_further_back() {
    let mut harness = Harness::with_defaults();
    harness.handle(object_purge("/o/a", 0));
    harness.handle(Event::TimestampsMovedEarlier { by_us: 2 * SECOND });
    assert_eq!(
        harness.forward(VIDEO, "/o/a").fill.max_age_us,
        Some(2 * SECOND)
    );
}

#[test]
fn the_time_of_a_permanent_purge_is_this_routers_own() {
    let mut harness = Harness::with_defaults();
    harness.handle(permanent_group_purge());
    harness.handle(Event::TimestampsMovedEarlier { by_us: 2 * SECOND });
    assert_eq!(harness.forward(VIDEO, "/o/a").fill.max_age_us, Some(1));
}
