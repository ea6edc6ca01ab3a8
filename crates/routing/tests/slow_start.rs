//! Just-started servers get no more than their slow-start budget.

mod support;
use edge_routing::*;
use support::*;

fn accepted(settings: Settings, fleet: Vec<Endpoint>, id: ServerId) -> usize {
    let mut rig = Rig::new(settings, fleet);
    (0..200)
        .filter(|n| {
            let (_, actions) = rig.ask("video", &format!("/o/{n}"), 5 * S);
            sent(&actions).is_some_and(|s| s.server == id || s.fill.source == id)
        })
        .count()
}

#[test]
fn a_cold_cache_gets_no_more_than_its_budget_in_a_window() {
    let cold = |routers| {
        let mut s = Settings {
            direct_requests: false,
            ..settings()
        };
        s.zones[1].edge_proxies = routers;
        let mut servers = alone(1);
        servers[0].started = Some(T0);
        accepted(s, servers, 1)
    };
    // 0.1 s of work each; the rule allows 3 x 0.2 x 8 transfers for one second: 48 requests.
    assert!((1..=48).contains(&cold(1)), "{}", cold(1));
    assert!(
        (1..=24).contains(&cold(2)),
        "two routers share the budget: {}",
        cold(2)
    );
}

#[test]
fn a_cold_parent_gets_no_more_fills_than_its_budget() {
    let mut servers = alone(1);
    servers[1].started = Some(T0);
    servers[0].weight = 1000.0;
    let s = Settings {
        direct_requests: false,
        ..settings()
    };
    let mut rig = Rig::new(s, servers);
    let fills = (0..300)
        .filter(|n| {
            let (_, actions) = rig.ask("page", &format!("/o/{n}"), 5 * S);
            sent(&actions).is_some_and(|s| s.fill.source == 11)
        })
        .count();
    // 2 x 0.1 x 30 transfers for one second, of which half is for the other location's router: 30 requests.
    assert!((1..=30).contains(&fills), "{fills}");
}

/// Fills that `edge_proxies` edge_proxies of a location point at one cold server while each has `each` requests at once.
fn sum_of_work(edge_proxies: u32, each: usize, cold: ServerId) -> f64 {
    let mut settings = Settings {
        direct_requests: false,
        ..settings()
    };
    settings.zones[1].edge_proxies = edge_proxies;
    settings.zones[2].edge_proxies = 0;
    settings.zones[1].link_kb_per_s = 1e9;
    let mut servers = fleet();
    let place = servers
        .iter()
        .position(|s| s.id == cold)
        .expect("in the fleet");
    servers[place].started = Some(T0 - S);
    let mut sum = 0.0;
    for seed in 0..u64::from(edge_proxies) {
        let mut router =
            Router::new(settings.clone(), seed.wrapping_mul(0x9e37_79b9)).expect("usable");
        let mut actions = Vec::new();
        router.handle(
            T0,
            Event::EndpointList {
                mode: EndpointListMode::Snapshot,
                endpoints: servers.clone(),
            },
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
            Action::StartAttempt {
                server,
                fill: Some(fill),
                ..
            } => *server == cold || fill.source == cold,
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
        assert!(
            sum < limit,
            "{edge_proxies} edge_proxies send {sum} of {limit}"
        );
    }
}

#[test]
fn a_cold_parent_is_used_within_its_budget_by_one_router_and_by_hundreds() {
    let limit = 0.1 * 30.0 * 2.0;
    for edge_proxies in [1, 8, 200] {
        let sum = sum_of_work(edge_proxies, 60, 11);
        assert!(sum > 0.0, "{edge_proxies} edge_proxies leave it idle");
        assert!(
            sum < limit,
            "{edge_proxies} edge_proxies send {sum} of {limit}"
        );
    }
}

/// What reaches one cold cache in its first windows, in requests of mean work, of what the settings allow, where
/// `edge_proxies` edge_proxies see a request each every `every` and some of them start anew half-way through.
fn cold_calls(edge_proxies: u32, every: Micros, restarted: u32, windows: u64) -> Vec<(f64, f64)> {
    let mut settings = Settings {
        direct_requests: false,
        ..settings()
    };
    settings.zones[1].edge_proxies = edge_proxies;
    settings.zones[2].edge_proxies = 0;
    settings.zones[1].link_kb_per_s = 1e9;
    let mut servers = fleet();
    servers[0].started = Some(T0);
    let new = |seed: u32, now: Micros| {
        let mut router = Router::new(settings.clone(), u64::from(seed).wrapping_mul(0x9e37_79b9))
            .expect("usable");
        let mut actions = Vec::new();
        router.handle(
            now,
            Event::EndpointList {
                mode: EndpointListMode::Snapshot,
                endpoints: servers.clone(),
            },
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
                let Action::StartAttempt { server, .. } = a else {
                    continue;
                };
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
    let counted = |from: Micros| {
        calls
            .iter()
            .filter(|at| (from..from + S).contains(*at))
            .count() as f64
    };
    (0..(windows - 1) * 10)
        .map(|n| T0 + n * S / 10)
        .map(|from| (counted(from), allowed(from)))
        .collect()
}

#[test]
fn what_all_routers_send_to_a_cold_cache_stays_within_its_ramp_however_many_ask() {
    for (edge_proxies, every, restarted) in [
        (30, 20 * MS, 0),
        (30, 20 * MS, 10),
        (100, 20 * MS, 30),
        (300, 50 * MS, 0),
    ] {
        let windows = cold_calls(edge_proxies, every, restarted, 6);
        let most = windows
            .iter()
            .map(|(calls, n)| calls / (n + 2.0 * n.sqrt() + 2.0))
            .fold(0.0, f64::max);
        assert!(
            most <= 1.0,
            "{edge_proxies} edge_proxies, one request each {every} us: {most} of what a cold cache bears"
        );
        assert!(
            windows.iter().any(|(calls, _)| *calls > 0.0),
            "it is used at all"
        );
    }
}

#[test]
fn sizes_that_could_never_be_sent_teach_nothing() {
    let mut rig = Rig::new(settings(), fleet());
    for n in 0..200 {
        rig.now += MS;
        rig.ask_sized(&format!("/o/huge-{n}"), 1e9);
    }
    // A cache that has just started takes what its budget fits, judged by what is usual.
    let started = Endpoint {
        started: Some(rig.now - 2 * S),
        ..server(2, "town", "cache")
    };
    rig.handle(Event::EndpointList {
        mode: EndpointListMode::Delta,
        endpoints: vec![started],
    });
    let all = used(&mut rig, 60);
    assert!(all.contains(&2), "{all:?}");
}
