//! No copy from before a purge is served.

mod support;
use edge_routing::*;
use support::*;

#[test]
fn no_copy_from_before_a_purge_will_do_however_long_ago_it_was() {
    let mut rig = Rig::new(settings(), fleet());
    let purge = |object: Option<&str>| Event::Purged {
        object: object.map(Into::into),
        group: 3,
        age_us: 200 * MS,
        permanent: false,
    };
    for (event, object) in [(purge(Some("/o/a")), "/o/a"), (purge(None), "/o/b")] {
        rig.handle(event);
        let start = rig.now;
        // Servers say that they have dropped it after 6 s; what a fill brought meanwhile may still be there.
        for wait in [0, 500 * MS, 5_800 * MS, 5_801 * MS, 600 * S] {
            rig.now = start + wait;
            rig.tick();
            let s = rig.send("video", object);
            assert_eq!(
                s.fill.max_age_us,
                Some(200 * MS + wait),
                "to the purge and no further"
            );
            rig.end_with(s.request, 0, s.server, Outcome::Ok, FillResult::Hit);
        }
    }
}

#[test]
fn an_age_bound_is_never_zero_and_never_past_the_fresh_time() {
    let mut rig = Rig::new(settings(), fleet());
    rig.handle(Event::Purged {
        object: Some("/o/a".into()),
        group: 3,
        age_us: 0,
        permanent: false,
    });
    assert_eq!(
        rig.send("page", "/o/a").fill.max_age_us,
        Some(1),
        "0 would mean the default"
    );
    let mut s = settings();
    s.rules.purge_completion_us = 60 * S;
    let mut rig = Rig::new(s, fleet());
    rig.handle(Event::Purged {
        object: Some("/o/a".into()),
        group: 3,
        age_us: 30 * S,
        permanent: false,
    });
    assert_eq!(rig.send("page", "/o/a").fill.max_age_us, Some(10 * S));
}

#[test]
fn a_purge_that_servers_are_not_told_of_holds_for_good() {
    let mut rig = Rig::new(settings(), fleet());
    let purge = |object: Option<&str>, permanent| Event::Purged {
        object: object.map(Into::into),
        group: 3,
        age_us: 0,
        permanent,
    };
    rig.handle(purge(None, true));
    rig.now += 60 * S;
    rig.tick();
    assert_eq!(rig.send("video", "/o/a").fill.max_age_us, Some(60 * S));
    // A later one that servers carry out by themselves is stricter, and goes when too many come after it.
    rig.handle(purge(Some("/o/a"), false));
    rig.now += S;
    assert_eq!(rig.send("video", "/o/a").fill.max_age_us, Some(S));
    rig.now += 9 * S;
    assert_eq!(rig.send("video", "/o/a").fill.max_age_us, Some(10 * S));
    (0..39_998).for_each(|n| {
        rig.handle(purge(Some(&format!("/o/other/{n}")), false));
    });
    assert_eq!(
        rig.send("video", "/o/a").fill.max_age_us,
        Some(10 * S),
        "the table is full"
    );
    rig.handle(purge(Some("/o/one more"), false));
    assert_eq!(rig.send("video", "/o/a").fill.max_age_us, Some(70 * S));
}
