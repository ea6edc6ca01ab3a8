//! Purges: no copy from before a purge is served, whether or not the servers have dropped it.

mod support;
use edge_routing::*;
use support::*;

/// Returns the event that the whole of [`PURGE_GROUP`] was purged just now, and that the servers
/// were not notified of it.
fn permanent_group_purge() -> Event {
    Event::Purged {
        object: None,
        purge_group: PURGE_GROUP,
        age_us: 0,
        permanent: true,
    }
}

/// Guards against purged copies that return: a fill that was in flight may bring one after the
/// servers have dropped theirs.
#[test]
fn no_copy_from_before_a_purge_is_served_however_long_ago_the_purge_was() {
    const PURGE_AGE_US: Micros = 200 * MILLISECOND_US;
    // By then servers have dropped the purged copies, but a fill may have brought one back.
    const TIME_TO_COMPLETION_US: Micros = PURGE_COMPLETION_US - PURGE_AGE_US;
    let mut harness = Harness::with_defaults();
    for (purge, object) in [
        (object_purge("/o/a", PURGE_AGE_US), "/o/a"),
        (group_purge(PURGE_GROUP, PURGE_AGE_US), "/o/b"),
    ] {
        harness.handle(purge);
        let start = harness.now;
        for elapsed in [
            0,
            500 * MILLISECOND_US,
            TIME_TO_COMPLETION_US,
            TIME_TO_COMPLETION_US + MILLISECOND_US,
            600 * SECOND_US,
        ] {
            harness.now = start + elapsed;
            harness.sweep();
            let attempt = harness.serve_hit(VIDEO, object);
            assert_eq!(
                attempt.fill.max_age_us,
                Some(PURGE_AGE_US + elapsed),
                "the age limit of {object} is the time since its purge"
            );
        }
    }
}

/// Guards against an age limit of 0, which would mean the default limit, and against a purge that
/// extends the freshness lifetime.
#[test]
fn the_age_limit_is_never_zero_and_never_past_the_freshness_lifetime() {
    let mut harness = Harness::with_defaults();
    harness.handle(object_purge("/o/a", 0));
    assert_eq!(
        harness.forward(PAGE, "/o/a").fill.max_age_us,
        Some(1),
        "an age limit of 0 would mean the default"
    );

    let mut settings = settings();
    settings.rules.purge_completion_us = 60 * SECOND_US;
    let mut harness = Harness::new(settings, fleet());
    harness.handle(object_purge("/o/a", 30 * SECOND_US));
    assert_eq!(
        harness.forward(PAGE, "/o/a").fill.max_age_us,
        Some(PAGE_FRESHNESS_LIFETIME_US)
    );
}

/// Guards against purged copies that are served after many other purges: only the router enforces a
/// permanent purge, because the servers are not notified of it.
#[test]
fn a_permanent_purge_is_never_evicted() {
    /// The number of purges that a router remembers.
    const TABLE_CAPACITY: usize = 40_000;
    /// The permanent purge and the purge of the requested object.
    const EARLIER_PURGES: usize = 2;
    let age_limit = |harness: &mut Harness| harness.forward(VIDEO, "/o/a").fill.max_age_us;
    let mut harness = Harness::with_defaults();
    harness.handle(permanent_group_purge());
    harness.advance(60 * SECOND_US);
    harness.sweep();
    assert_eq!(age_limit(&mut harness), Some(60 * SECOND_US));

    // A later purge that the servers carry out sets the stricter age limit while it is remembered.
    harness.handle(object_purge("/o/a", 0));
    harness.advance(SECOND_US);
    assert_eq!(age_limit(&mut harness), Some(SECOND_US));
    harness.advance(9 * SECOND_US);
    assert_eq!(age_limit(&mut harness), Some(10 * SECOND_US));

    for index in 0..TABLE_CAPACITY - EARLIER_PURGES {
        harness.handle(object_purge(&format!("/o/other/{index}"), 0));
    }
    assert_eq!(
        age_limit(&mut harness),
        Some(10 * SECOND_US),
        "the table is full but has evicted nothing"
    );
    harness.handle(object_purge("/o/one more", 0));
    assert_eq!(
        age_limit(&mut harness),
        Some(70 * SECOND_US),
        "the oldest purge that is not permanent is evicted"
    );
}

/// Guards against an age limit that is too short after a correction of times: fresh copies would be
/// filled again.
#[test]
fn the_age_limit_grows_when_the_time_of_a_purge_is_moved_back() {
    let mut harness = Harness::with_defaults();
    harness.handle(object_purge("/o/a", 0));
    harness.handle(Event::TimestampsMovedEarlier {
        by_us: 2 * SECOND_US,
    });
    assert_eq!(
        harness.forward(VIDEO, "/o/a").fill.max_age_us,
        Some(2 * SECOND_US)
    );
}

/// Guards against purged copies that are served after a correction of times: the time of a
/// permanent purge is from this router's own clock and needs no correction.
#[test]
fn the_time_of_a_permanent_purge_is_not_moved_back() {
    let mut harness = Harness::with_defaults();
    harness.handle(permanent_group_purge());
    harness.handle(Event::TimestampsMovedEarlier {
        by_us: 2 * SECOND_US,
    });
    assert_eq!(harness.forward(VIDEO, "/o/a").fill.max_age_us, Some(1));
}
