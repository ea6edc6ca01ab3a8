//! Unknown ids, unknown classes and absurd figures do no harm.

mod support;
use edge_routing::*;
use std::collections::BTreeSet;
use support::*;

#[test]
fn what_is_not_known_is_ignored() {
    let mut rig = Rig::new(settings(), fleet());
    assert!(rig.end(999, 0, 1, Outcome::Error).is_empty());
    assert!(rig.end(999, 3, 777, Outcome::Ok).is_empty());
    assert!(rig.handle(Event::Timer { tag: 12_345 }).is_empty());
    assert!(rig
        .handle(Event::ClientDisconnected { request: 999 })
        .is_empty());
    assert!(rig
        .handle(Event::StreamStarted {
            request: 999,
            attempt: 0
        })
        .is_empty());
    let outcome = Outcome::Ok;
    assert!(rig
        .handle(Event::ProbeEnded {
            server: 777,
            outcome,
            took_us: 1,
            load: None
        })
        .is_empty());
    let gone = Endpoint {
        state: EndpointState::Gone,
        ..server(777, "nowhere", "thing")
    };
    assert!(rig
        .handle(Event::EndpointList {
            mode: EndpointListMode::Delta,
            endpoints: vec![gone]
        })
        .is_empty());
    let s = rig.send("video", "/o/a");
    assert!(
        rig.end(s.request, 5, s.server, Outcome::Error).is_empty(),
        "no such attempt"
    );
    let (id, actions) = rig.ask("no such class", "/o/a", 5 * S);
    assert_eq!(
        actions,
        vec![Action::Reject {
            request: id,
            retry_after_us: None
        }]
    );
}

#[test]
fn unknown_classes_and_changes_for_unknown_servers_are_taken_in() {
    let mut rig = Rig::new(settings(), fleet());
    let (id, actions) = rig.ask("no-such-class", "/o/a", 5 * S);
    assert_eq!(
        actions,
        vec![Action::Reject {
            request: id,
            retry_after_us: None
        }]
    );
    let gone = Endpoint {
        state: EndpointState::Gone,
        ..server(77, "town", "cache")
    };
    rig.handle(Event::EndpointList {
        mode: EndpointListMode::Delta,
        endpoints: vec![gone],
    });
    let new = server(78, "town", "cache");
    rig.handle(Event::EndpointList {
        mode: EndpointListMode::Delta,
        endpoints: vec![new],
    });
    let servers: BTreeSet<ServerId> = (0..60)
        .map(|n| rig.send("page", &format!("/o/{n}")).server)
        .collect();
    assert!(!servers.contains(&77), "it is gone");
    assert!(servers.contains(&78), "it is ready");
    assert!(!servers.contains(&5), "a cache of another location");
}

#[test]
fn absurd_load_reports_do_no_harm() {
    let run = |load: Option<LoadReport>| {
        let mut rig = Rig::new(settings(), fleet());
        (0..50)
            .map(|n| {
                let s = rig.send("video", &format!("/o/{n}"));
                rig.now += 10 * MS;
                rig.handle(Event::AttemptEnded(AttemptReport {
                    request: s.request,
                    attempt: 0,
                    server: s.server,
                    outcome: Outcome::Ok,
                    took_us: 100 * MS,
                    settled: true,
                    fill_result: FillResult::Hit,
                    fill_ttfb_us: 0,
                    load,
                }));
                s
            })
            .collect::<Vec<_>>()
    };
    let calm = run(None);
    for value in [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e300] {
        let all = Some(value);
        assert_eq!(
            run(Some(LoadReport {
                cpu_utilization: all,
                in_flight: all,
                hit_ratio: all,
                link_utilization: all
            })),
            calm
        );
    }
}
