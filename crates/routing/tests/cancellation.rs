//! Which attempts in flight are cancelled: at unresponsive servers, stalled ones, those of disconnected clients.

mod support;
use edge_routing::*;
use support::*;

/// Which attempts are called off once all that was sent has been out for so long.
fn called_off(rig: &mut Rig, after: Micros) -> Vec<RequestId> {
    rig.now += after;
    let cancel = |a: &Action| {
        if let Action::CancelAttempt { request, .. } = a {
            Some(*request)
        } else {
            None
        }
    };
    rig.tick().iter().filter_map(cancel).collect()
}

#[test]
fn fills_that_are_slow_after_a_purge_are_no_sign_of_silence() {
    let purged = |object: Option<&str>, group| {
        let mut rig = Rig::new(settings(), fleet());
        let object = object.map(str::to_owned);
        rig.handle(Event::Purged {
            object,
            group,
            age_us: 100 * MS,
            permanent: false,
        });
        for _ in 0..6 {
            rig.send("video", "/o/1");
        }
        called_off(&mut rig, S)
    };
    assert_eq!(
        purged(None, 3),
        [],
        "the copies asked for are void: what is out waits for the origin"
    );
    assert!(
        !purged(None, 4).is_empty(),
        "copies of another group should have been found"
    );
    assert!(
        !purged(Some("/o/1"), 3).is_empty(),
        "one object is filled again at once, by whoever asks first"
    );
}

#[test]
fn fills_that_are_slow_in_a_cache_that_started_empty_are_no_sign_of_silence() {
    let start = |at: Option<Micros>| {
        let mut servers = fleet();
        servers
            .iter_mut()
            .filter(|s| s.kind == "cache")
            .for_each(|s| s.started = at);
        let mut rig = Rig::new(settings(), servers);
        for n in 0..6 {
            rig.ask("video", &format!("/o/{n}"), 5 * S);
        }
        called_off(&mut rig, S)
    };
    assert_eq!(start(Some(T0 - 3 * S)), [], "they hold nothing yet");
    assert!(!start(Some(T0 - 30 * S)).is_empty());
}

#[test]
fn a_cache_that_answers_nothing_is_left_and_its_requests_go_elsewhere() {
    let mut rig = Rig::new(settings(), fleet());
    let mut stuck = Vec::new();
    for n in 0..40 {
        let s = rig.send("video", &format!("/o/{n}"));
        if s.server == 2 {
            stuck.push(s);
        } else {
            rig.end_with(s.request, 0, s.server, Outcome::Ok, FillResult::Hit);
        }
    }
    assert!(stuck.len() >= 2);
    rig.now += S;
    let cancelled: Vec<RequestId> = rig
        .tick()
        .iter()
        .filter_map(|a| match a {
            Action::CancelAttempt {
                request,
                attempt: 0,
            } => Some(*request),
            _ => None,
        })
        .collect();
    assert_eq!(
        cancelled,
        stuck.iter().map(|s| s.request).collect::<Vec<_>>()
    );
    for s in &stuck {
        let again = rig.end(s.request, 0, 2, Outcome::Cancelled);
        assert_ne!(sent(&again).expect("another attempt").server, 2);
    }
    assert!(!used(&mut rig, 40).contains(&2));
}

#[test]
fn an_answer_that_is_lost_is_asked_for_again_where_its_server_answers_others() {
    let mut rig = Rig::new(settings(), fleet());
    let stuck = rig.send("video", "/o/a");
    let mut cancelled = Vec::new();
    for n in 0..40 {
        rig.now += 100 * MS;
        // The same cache goes on answering others.
        let (id, actions) = rig.ask("page", &format!("/o/{n}"), 5 * S);
        let s = sent(&actions).expect("an attempt");
        rig.end_with(id, 0, s.server, Outcome::Ok, FillResult::Hit);
        cancelled.extend(
            rig.tick()
                .into_iter()
                .filter(|a| matches!(a, Action::CancelAttempt { .. })),
        );
    }
    assert_eq!(
        cancelled,
        vec![Action::CancelAttempt {
            request: stuck.request,
            attempt: 0
        }]
    );
    let again = sent(&rig.end(stuck.request, 0, stuck.server, Outcome::Cancelled))
        .expect("another attempt");
    assert_eq!(
        again.server, stuck.server,
        "the work ran: the copy is there"
    );
    // Lost a second time, it is given more time, then asked for elsewhere.
    let mut actions = Vec::new();
    let mut waited = 0;
    while actions.is_empty() && waited < 200 {
        rig.now += 100 * MS;
        waited += 1;
        actions.extend(
            rig.tick()
                .into_iter()
                .filter(|a| matches!(a, Action::CancelAttempt { .. })),
        );
    }
    assert_eq!(
        actions,
        vec![Action::CancelAttempt {
            request: stuck.request,
            attempt: 1
        }]
    );
    assert!(waited > 20, "longer than the first: {waited}");
}

#[test]
fn what_is_called_off_as_slow_raises_the_bound_on_what_comes_after_it() {
    let mut rig = Rig::new(settings(), fleet());
    let mut waits = Vec::new();
    for round in 0..4 {
        let object = format!("/o/{round}");
        let slow = sent(&rig.ask("video", &object, 60 * S).1).expect("an attempt");
        let start = rig.now;
        // Its server answers others meanwhile, so it is the work that is slow.
        rig.now += 100 * MS;
        let other = rig.send("video", &object);
        assert_eq!(other.server, slow.server);
        rig.end_with(other.request, 0, other.server, Outcome::Ok, FillResult::Hit);
        while !rig.tick().contains(&Action::CancelAttempt {
            request: slow.request,
            attempt: 0,
        }) {
            rig.now += 50 * MS;
        }
        waits.push(rig.now - start);
        let again = sent(&rig.end(slow.request, 0, slow.server, Outcome::Cancelled))
            .expect("another attempt");
        rig.end_with(again.request, 1, again.server, Outcome::Ok, FillResult::Hit);
    }
    assert!(
        waits.is_sorted() && waits[3] > waits[0] * 4 / 3,
        "{waits:?}"
    );
}

#[test]
fn after_a_purge_of_groups_what_takes_no_longer_than_others_is_not_overdue() {
    let run = |purge: bool| {
        let mut rig = Rig::new(settings(), fleet());
        if purge {
            rig.handle(Event::Purged {
                object: None,
                group: 4,
                age_us: 100 * MS,
                permanent: false,
            });
            rig.now += 10 * S;
        }
        // Nothing has answered yet, and until some have, answers are taken to need 0.9 seconds.
        for n in 0..6 {
            rig.send("video", &format!("/o/{n}"));
        }
        called_off(&mut rig, 700 * MS)
    };
    assert_eq!(run(true), []);
    assert!(!run(false).is_empty());
}

#[test]
fn what_is_out_for_a_client_that_left_is_called_off() {
    let mut rig = Rig::new(settings(), fleet());
    let s = rig.send("video", "/o/a");
    assert_eq!(
        rig.handle(Event::ClientDisconnected { request: s.request }),
        vec![Action::CancelAttempt {
            request: s.request,
            attempt: 0
        }]
    );
    assert!(
        rig.end(s.request, 0, s.server, Outcome::Cancelled)
            .is_empty(),
        "no answer is owed any more"
    );
}

#[test]
fn a_begun_stream_is_left_alone() {
    let mut rig = Rig::new(settings(), fleet());
    let s = rig.send("stream", "/o/a");
    rig.handle(Event::StreamStarted {
        request: s.request,
        attempt: 0,
    });
    rig.now += 20 * S;
    assert!(!rig
        .tick()
        .iter()
        .any(|a| matches!(a, Action::CancelAttempt { .. })));
}
