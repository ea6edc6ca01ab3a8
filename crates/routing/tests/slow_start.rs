//! One router against hundreds: what a router may do alone, summed over all of them.

mod support;
use support::*;
use edge_routing::*;
use std::collections::BTreeSet;

/// Fills that `edge_proxies` edge_proxies of a location point at one cold server while each has `each` requests at once.
fn sum_of_work(edge_proxies: u32, each: usize, cold: ServerId) -> f64 {
    let mut settings = Settings { direct_requests: false, ..settings() };
    settings.zones[1].edge_proxies = edge_proxies;
    settings.zones[2].edge_proxies = 0;
    settings.zones[1].link_kb_per_s = 1e9;
    let mut servers = fleet();
    let place = servers.iter().position(|s| s.id == cold).expect("in the fleet");
    servers[place].started = Some(T0 - S);
    let mut sum = 0.0;
    for seed in 0..u64::from(edge_proxies) {
        let mut router = Router::new(settings.clone(), seed.wrapping_mul(0x9e37_79b9)).expect("usable");
        let mut actions = Vec::new();
        router.handle(
            T0,
            Event::EndpointList { mode: EndpointListMode::Snapshot, endpoints: servers.clone() },
            &mut actions,
        );
        for n in 0..each {
            let request = Request {
                id: n as u64 + 1,
                class: "video".into(),
                tenant: None,
                object: format!("/o/{n}"),
                part: 0,
                group: 1,
                size_kb: 500.0,
                remaining_us: 5 * S,
                is_retry: false,
            };
            router.handle(T0, Event::Request(request), &mut actions);
        }
        let to_it = |a: &&Action| match a {
            Action::StartAttempt { server, fill: Some(fill), .. } => *server == cold || fill.source == cold,
            _ => false,
        };
        sum += 0.1 * actions.iter().filter(to_it).count() as f64;
    }
    sum
}

#[test]
fn a_cold_cache_is_used_within_its_budget_by_one_router_and_by_hundreds() {
    // Share 0.2 to 1 in 10 s, 8 transfers, 3 times that in 1 s: 0.2 x 8 x 3 x 1 s at its start.
    let limit = 0.2 * 8.0 * 3.0;
    for edge_proxies in [1, 8, 200] {
        let sum = sum_of_work(edge_proxies, 60, 1);
        assert!(sum > 0.0, "{edge_proxies} edge_proxies leave it idle");
        assert!(sum < limit, "{edge_proxies} edge_proxies send {sum} of {limit}");
    }
}

#[test]
fn a_cold_parent_is_used_within_its_budget_by_one_router_and_by_hundreds() {
    let limit = 0.1 * 30.0 * 2.0;
    for edge_proxies in [1, 8, 200] {
        let sum = sum_of_work(edge_proxies, 60, 11);
        assert!(sum > 0.0, "{edge_proxies} edge_proxies leave it idle");
        assert!(sum < limit, "{edge_proxies} edge_proxies send {sum} of {limit}");
    }
}

#[test]
fn one_own_transfer_among_hundreds_of_routers_does_not_make_a_cache_full() {
    let mut settings = settings();
    settings.zones[1].edge_proxies = 200;
    let mut rig = Rig::new(settings, fleet());
    let servers: BTreeSet<ServerId> = (0..3).map(|_| rig.send("video", "/o/same").server).collect();
    assert_eq!(servers.len(), 1, "the object's cache is not full by this router's few transfers");
}

#[test]
fn the_second_parent_fills_while_the_first_is_clearly_slower_for_the_size() {
    let parent_of = |rig: &mut Rig, n: usize| rig.send("video", &format!("/o/{n}"));
    let run = |slow_ms: u64, size_told: bool| {
        let flow = if size_told { 5_000.0 } else { 0.0 };
        let mut rig = Rig::new(Settings { transfer_kb_per_s: flow, ..settings() }, fleet());
        let first = parent_of(&mut rig, 0).fill.source;
        let mut later = 0;
        for n in 0..60 {
            let s = parent_of(&mut rig, n % 6);
            let took_us = if s.fill.source == first { slow_ms * MS } else { 150 * MS };
            rig.now += 20 * MS;
            rig.handle(Event::AttemptEnded(AttemptReport {
                request: s.request,
                attempt: 0,
                server: s.server,
                outcome: Outcome::Ok,
                took_us,
                settled: true,
                fill_result: FillResult::Filled,
                fill_ttfb_us: 0,
                load: None,
            }));
            later += usize::from(n >= 40 && s.fill.source == first);
        }
        later
    };
    assert_eq!(run(900, true), 0, "six times as slow: the second");
    assert!(run(200, true) > 0, "a little slower: the first");
    assert!(run(900, false) > 0, "sizes not told: the first");
}

#[test]
fn hundreds_of_servers_in_any_order_give_the_same_actions() {
    let list: Vec<Endpoint> = (1..=300)
        .map(|id| server(id, if id % 20 == 0 { "town" } else { "shore" }, "cache"))
        .chain([server(1011, "hub", "parent"), server(1012, "hub", "parent"), server(1021, "hub", "origin")])
        .collect();
    let mut turned = list.clone();
    turned.reverse();
    let run = |servers: Vec<Endpoint>| {
        let mut rig = Rig::new(settings(), servers);
        (0..200).map(|n| rig.ask("video", &format!("/o/{}", n % 50), 5 * S).1).collect::<Vec<_>>()
    };
    assert_eq!(run(list), run(turned));
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

#[test]
fn what_is_asked_for_often_stays_counted_when_the_table_is_full() {
    let mut rig = Rig::new(settings(), fleet());
    let mut last = None;
    for n in 0..30_000u64 {
        let often = n % 3 == 0;
        let object = if often { "/o/often".to_string() } else { format!("/o/{n}") };
        let (id, actions) = rig.ask("page", &object, 5 * S);
        if let Some(s) = sent(&actions) {
            rig.end_with(id, 0, s.server, Outcome::Ok, FillResult::Hit);
            last = last.filter(|_| !often).or(often.then_some(s.fill.retention_rank));
        }
        rig.now += MS / 10;
    }
    assert_eq!(last, Some(2), "asked for again while counted");
}

#[test]
fn unknown_classes_and_changes_for_unknown_servers_are_taken_in() {
    let mut rig = Rig::new(settings(), fleet());
    let (id, actions) = rig.ask("no-such-class", "/o/a", 5 * S);
    assert_eq!(actions, vec![Action::Reject { request: id, retry_after_us: None }]);
    let gone = Endpoint { state: EndpointState::Gone, ..server(77, "town", "cache") };
    rig.handle(Event::EndpointList { mode: EndpointListMode::Delta, endpoints: vec![gone] });
    let new = server(78, "town", "cache");
    rig.handle(Event::EndpointList { mode: EndpointListMode::Delta, endpoints: vec![new] });
    let servers: BTreeSet<ServerId> = (0..60).map(|n| rig.send("page", &format!("/o/{n}")).server).collect();
    assert!(!servers.contains(&77), "it is gone");
    assert!(servers.contains(&78), "it is ready");
    assert!(!servers.contains(&5), "a cache of another location");
}

/// What reaches one cold cache in its first windows, in requests of mean work, of what the settings allow, where
/// `edge_proxies` edge_proxies see a request each every `every` and some of them start anew half-way through.
fn cold_calls(edge_proxies: u32, every: Micros, restarted: u32, windows: u64) -> Vec<(f64, f64)> {
    let mut settings = Settings { direct_requests: false, ..settings() };
    settings.zones[1].edge_proxies = edge_proxies;
    settings.zones[2].edge_proxies = 0;
    settings.zones[1].link_kb_per_s = 1e9;
    let mut servers = fleet();
    servers[0].started = Some(T0);
    let new = |seed: u32, now: Micros| {
        let mut router =
            Router::new(settings.clone(), u64::from(seed).wrapping_mul(0x9e37_79b9)).expect("usable");
        let mut actions = Vec::new();
        router.handle(
            now,
            Event::EndpointList { mode: EndpointListMode::Snapshot, endpoints: servers.clone() },
            &mut actions,
        );
        router
    };
    let mut fleet: Vec<Router> = (0..edge_proxies).map(|seed| new(seed, T0)).collect();
    let (mut id, mut calls) = (0, Vec::new());
    let end = T0 + windows * S;
    let mut now = T0;
    while now < end {
        if now == T0 + windows * S / 2 {
            (0..restarted).for_each(|seed| fleet[seed as usize] = new(edge_proxies + seed, now));
        }
        for router in &mut fleet {
            id += 1;
            let object = format!("/o/{}", id % 997);
            let request = Request {
                id,
                class: "video".into(),
                tenant: None,
                object,
                part: 0,
                group: 1,
                size_kb: 500.0,
                remaining_us: 5 * S,
                is_retry: false,
            };
            let mut actions = Vec::new();
            router.handle(now, Event::Request(request), &mut actions);
            for a in &actions {
                let Action::StartAttempt { server, .. } = a else { continue };
                calls.extend((*server == 1).then_some(now));
                let outcome = Event::AttemptEnded(AttemptReport {
                    request: id,
                    attempt: 0,
                    server: *server,
                    outcome: Outcome::Ok,
                    took_us: 100 * MS,
                    settled: true,
                    fill_result: FillResult::Hit,
                    fill_ttfb_us: 0,
                    load: None,
                });
                router.handle(now, outcome, &mut Vec::new());
            }
        }
        now += every;
    }
    // Any window of 1 s: share 0.2 to 1 in 10 s, of 8 transfers of 0.1 s, three times that.
    let allowed = |from: Micros| (0.2 + 0.8 * (from - T0) as f64 / 10e6).min(1.0) * 8.0 * 3.0 / 0.1;
    let counted = |from: Micros| calls.iter().filter(|at| (from..from + S).contains(*at)).count() as f64;
    (0..(windows - 1) * 10).map(|n| T0 + n * S / 10).map(|from| (counted(from), allowed(from))).collect()
}

#[test]
fn what_all_routers_send_to_a_cold_cache_stays_within_its_ramp_however_many_ask() {
    for (edge_proxies, every, restarted) in
        [(30, 20 * MS, 0), (30, 20 * MS, 10), (100, 20 * MS, 30), (300, 50 * MS, 0)]
    {
        let windows = cold_calls(edge_proxies, every, restarted, 6);
        let most = windows.iter().map(|(calls, n)| calls / (n + 2.0 * n.sqrt() + 2.0)).fold(0.0, f64::max);
        assert!(
            most <= 1.0,
            "{edge_proxies} edge_proxies, one request each {every} us: {most} of what a cold cache bears"
        );
        assert!(windows.iter().any(|(calls, _)| *calls > 0.0), "it is used at all");
    }
}
