//! While the origin is late or fails, few requests may reach it.

mod support;
use edge_routing::*;
use support::*;

#[test]
fn while_the_origin_is_late_few_requests_may_have_it_asked() {
    let mut rig = Rig::new(settings(), fleet());
    let mut next = 0;
    let mut asking = |rig: &mut Rig, fill_ttfb_us: Micros, fill_result: FillResult| {
        let count = (0..100).filter(|_| {
            next += 1;
            let s = rig.send("video", &format!("/o/{next}"));
            rig.now += 10 * MS;
            rig.handle(Event::AttemptEnded(AttemptReport {
                request: s.request,
                attempt: 0,
                server: s.server,
                outcome: Outcome::Ok,
                took_us: fill_ttfb_us + 100 * MS,
                settled: true,
                fill_result,
                fill_ttfb_us,
                load: None,
            }));
            if rig.now.is_multiple_of(50 * MS) {
                rig.tick();
            }
            assert_ne!(s.fill.source, s.server);
            !s.fill.only_if_cached
        });
        count.count()
    };
    assert_eq!(
        asking(&mut rig, 100 * MS, FillResult::FilledFromOrigin),
        100
    );
    asking(&mut rig, 900 * MS, FillResult::FilledFromOrigin);
    let late = asking(&mut rig, 900 * MS, FillResult::FilledFromOrigin);
    assert!(
        (1..20).contains(&late),
        "{late}: a few find out whether it is well again"
    );
    assert!(
        asking(&mut rig, 10 * MS, FillResult::Filled) < 20,
        "a parent's own copies tell nothing of the origin"
    );
    asking(&mut rig, 100 * MS, FillResult::FilledFromOrigin);
    assert_eq!(
        asking(&mut rig, 100 * MS, FillResult::FilledFromOrigin),
        100
    );
    let [little, much] = [600 * MS, 2 * S].map(|fill_ttfb_us| {
        let mut rig = Rig::new(settings(), fleet());
        asking(&mut rig, fill_ttfb_us, FillResult::FilledFromOrigin)
    });
    assert!(
        much < little,
        "{much}, {little}: the later, the further it falls"
    );
}

#[test]
fn a_router_with_few_fills_asks_the_origin_again_once_its_trouble_is_past() {
    let mut rig = Rig::new(settings(), fleet());
    let held_back = |rig: &mut Rig| {
        let mut held_back = 0;
        for n in 0..40 {
            let s = rig.send("video", &format!("/o/{n}"));
            held_back += u32::from(s.fill.only_if_cached);
            rig.end_with(s.request, 0, s.server, Outcome::Ok, FillResult::Hit);
        }
        held_back
    };
    for n in 0..30 {
        let s = rig.send("video", &format!("/x/{n}"));
        rig.end_with(
            s.request,
            0,
            s.server,
            Outcome::Rejected,
            FillResult::OriginFailed,
        );
        rig.handle(Event::ClientDisconnected { request: s.request });
    }
    assert!(
        held_back(&mut rig) > 30,
        "all of its fills have failed at the origin"
    );
    for _ in 0..10 * 20 {
        rig.now += 50 * MS;
        rig.tick();
    }
    assert_eq!(
        held_back(&mut rig),
        0,
        "nothing has failed for ten seconds, though nothing was filled either"
    );
}

#[test]
fn a_renewal_that_never_came_shuts_the_gate_before_the_origin() {
    let held_back = |group| {
        let mut rig = Rig::new(settings(), fleet());
        rig.handle(Event::Purged {
            object: None,
            group,
            age_us: 100 * MS,
            permanent: false,
        });
        for n in 0..20 {
            let s = rig.send("video", &format!("/x/{n}"));
            rig.end_with(
                s.request,
                0,
                s.server,
                Outcome::Timeout,
                FillResult::Unknown,
            );
            rig.handle(Event::ClientDisconnected { request: s.request });
        }
        (0..40)
            .filter(|n| rig.send("video", &format!("/o/{n}")).fill.only_if_cached)
            .count()
    };
    assert!(held_back(3) > 20, "the origin alone could have given these");
    assert_eq!(
        held_back(4),
        0,
        "a time-out of what may be held anywhere says nothing of the origin"
    );
}

#[test]
fn a_parent_that_is_lost_is_not_taken_for_an_origin_that_is_late() {
    let mut rig = Rig::new(settings(), fleet());
    for n in 0..60 {
        rig.now += 2 * MS;
        let s = rig.send("video", &format!("/o/{n}"));
        let fill_result = if s.fill.source == 11 {
            FillResult::SourceUnreachable
        } else {
            FillResult::Filled
        };
        let outcome = if s.fill.source == 11 {
            Outcome::Rejected
        } else {
            Outcome::Ok
        };
        let mut again = sent(&rig.end_with(s.request, 0, s.server, outcome, fill_result));
        for attempt in 1..6 {
            let Some(s) = again else { break };
            again = sent(&rig.end_with(
                s.request,
                attempt,
                s.server,
                Outcome::Ok,
                FillResult::Filled,
            ));
        }
    }
    let held = (0..40)
        .filter(|n| rig.send("video", &format!("/p/{n}")).fill.only_if_cached)
        .count();
    assert_eq!(
        held, 0,
        "the parent that is left asks the origin for what it lacks"
    );
}
