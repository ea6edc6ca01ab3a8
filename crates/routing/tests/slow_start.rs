//! Slow start: however many routers there are and however many requests they see, a server that is
//! warming up gets no more work than its slow-start budget.

mod support;
use edge_routing::*;
use support::*;

/// How long one transfer of a part takes at full rate, in seconds.
const TRANSFER_S: f64 = PART_SIZE_KB / TRANSFER_KB_PER_S;
/// The share of its capacity that a cache server has when it has just started.
const INITIAL_SHARE: f64 = 0.2;
/// How long the share of a cache server takes to grow to one, in microseconds.
const WARM_UP_US: f64 = 10e6;
/// A cache server collapses when it is sent this multiple of its present capacity for a second.
const OVERLOAD_MULTIPLE: f64 = 3.0;
/// The share of its capacity that a parent has when it has just started.
const PARENT_INITIAL_SHARE: f64 = 0.1;
/// As [`OVERLOAD_MULTIPLE`], for parents.
const PARENT_OVERLOAD_MULTIPLE: f64 = 2.0;
/// The group of the requests that the tests with many routers make.
const REQUEST_GROUP: u64 = 1;

/// How many of 200 requests one of `edge_proxies` routers forwards at once to a cache server that
/// has just started and has no peers.
fn attempts_at_just_started_cache_server(edge_proxies: u32) -> usize {
    let mut settings = settings_without_direct_requests();
    settings.zones[LOCAL_ZONE].edge_proxies = edge_proxies;
    let mut endpoints = fleet_with_one_cache_server(CACHE_SERVERS[0]);
    endpoints[0].started_at = Some(START_TIME);
    let mut harness = Harness::new(settings, endpoints);
    (0..200)
        .filter_map(|index| harness.submit(VIDEO, &format!("/o/{index}")).attempt())
        .filter(|attempt| [attempt.server, attempt.fill.source].contains(&CACHE_SERVERS[0]))
        .count()
}

#[test]
fn a_just_started_cache_server_gets_no_more_attempts_than_its_budget() {
    // 0.1 s of work each; the rule allows 3 x 0.2 x 8 transfers for one second.
    const BUDGET: usize = 48;
    let alone = attempts_at_just_started_cache_server(1);
    assert!((1..=BUDGET).contains(&alone), "{alone}");
    let one_of_two = attempts_at_just_started_cache_server(2);
    assert!(
        (1..=BUDGET / 2).contains(&one_of_two),
        "two routers share the budget: {one_of_two}"
    );
}

#[test]
fn a_just_started_parent_gets_no_more_fills_than_its_budget() {
    // 2 x 0.1 x 30 transfers for one second, of which half is for the other location's router.
    const BUDGET: usize = 30;
    let mut endpoints = fleet_with_one_cache_server(CACHE_SERVERS[0]);
    endpoints[0].weight = UNLIMITED_CAPACITY;
    endpoints[1].started_at = Some(START_TIME);
    let mut harness = Harness::new(settings_without_direct_requests(), endpoints);
    let fills = (0..300)
        .filter_map(|index| harness.submit(PAGE, &format!("/o/{index}")).attempt())
        .filter(|attempt| attempt.fill.source == PARENTS[0])
        .count();
    assert!((1..=BUDGET).contains(&fills), "{fills}");
}

/// Settings where all `edge_proxies` routers are in one location whose link never limits anything.
fn settings_with_edge_proxies(edge_proxies: u32) -> Settings {
    let mut settings = settings_without_direct_requests();
    settings.zones[LOCAL_ZONE].edge_proxies = edge_proxies;
    settings.zones[REMOTE_ZONE].edge_proxies = 0;
    settings.zones[LOCAL_ZONE].link_kb_per_s = UNLIMITED_LINK_KB_PER_S;
    settings
}

/// A seed of its own for each of many routers.
fn router_seed(index: u32) -> u64 {
    u64::from(index).wrapping_mul(0x9e37_79b9)
}

/// Whether the action gives this server work: an attempt, or the fill of one.
fn gives_work_to(action: &Action, id: ServerId) -> bool {
    match action {
        Action::StartAttempt {
            server,
            fill: Some(fill),
            ..
        } => *server == id || fill.source == id,
        _ => false,
    }
}

/// Work, in seconds, that `edge_proxies` routers together give at once to a server that started a
/// second ago, while each has 60 requests.
fn work_given_at_once(edge_proxies: u32, warming_up: ServerId) -> f64 {
    const REQUESTS_PER_ROUTER: u64 = 60;
    let settings = settings_with_edge_proxies(edge_proxies);
    let endpoints = fleet_with_started(warming_up, START_TIME - SECOND);
    let mut work_s = 0.0;
    for index in 0..edge_proxies {
        let seed = router_seed(index);
        let mut router =
            router_with_endpoints(settings.clone(), seed, START_TIME, endpoints.clone());
        let mut actions = Vec::new();
        for number in 0..REQUESTS_PER_ROUTER {
            let request = Request {
                group: REQUEST_GROUP,
                ..request(number + 1, VIDEO, &format!("/o/{number}"))
            };
            router.handle(START_TIME, Event::Request(request), &mut actions);
        }
        let transfers = actions
            .iter()
            .filter(|action| gives_work_to(action, warming_up))
            .count();
        work_s += TRANSFER_S * transfers as f64;
    }
    work_s
}

/// Asserts that one, eight and 200 routers use a server that is warming up, within its budget.
fn assert_used_within_budget(warming_up: ServerId, budget_s: f64) {
    for edge_proxies in [1, 8, 200] {
        let work_s = work_given_at_once(edge_proxies, warming_up);
        assert!(work_s > 0.0, "{edge_proxies} edge proxies leave it idle");
        assert!(
            work_s < budget_s,
            "{edge_proxies} edge proxies give it {work_s} s of work of {budget_s} s"
        );
    }
}

#[test]
fn one_router_and_hundreds_use_a_warming_cache_server_within_its_budget() {
    let budget_s = INITIAL_SHARE * CACHE_CAPACITY * OVERLOAD_MULTIPLE;
    assert_used_within_budget(CACHE_SERVERS[0], budget_s);
}

#[test]
fn one_router_and_hundreds_use_a_warming_parent_within_its_budget() {
    let budget_s = PARENT_INITIAL_SHARE * PARENT_CAPACITY * PARENT_OVERLOAD_MULTIPLE;
    assert_used_within_budget(PARENTS[0], budget_s);
}

/// Routers that see requests at a steady rate while a cache server warms up.
struct WarmUpScenario {
    /// How many routers there are.
    edge_proxies: u32,
    /// Each router gets a request this often.
    request_interval: Micros,
    /// How many of the routers lose their state, each time.
    restarted: u32,
    /// When they do, after the start of the cache server.
    restarts_after: &'static [Micros],
}

/// A window of one second while a cache server warms up.
struct Window {
    /// Attempts that the cache server got from all routers.
    attempts: f64,
    /// Attempts that the rule allows.
    allowed: f64,
}

impl Window {
    /// Attempts over those allowed, with slack for chance: two standard deviations and two more.
    fn utilization(&self) -> f64 {
        self.attempts / (self.allowed + 2.0 * self.allowed.sqrt() + 2.0)
    }
}

impl WarmUpScenario {
    /// How long the scenario runs, in windows of one second.
    const WINDOWS: u64 = 6;
    /// The cache server that has just started.
    const JUST_STARTED: ServerId = CACHE_SERVERS[0];

    /// A router that has just been given the endpoint list.
    fn new_router(&self, seed_index: u32, now: Micros) -> Router {
        router_with_endpoints(
            settings_with_edge_proxies(self.edge_proxies),
            router_seed(seed_index),
            now,
            fleet_with_started(WarmUpScenario::JUST_STARTED, START_TIME),
        )
    }

    /// Runs the scenario; returns the times of the attempts at the cache server that warms up.
    fn attempt_times(&self) -> Vec<Micros> {
        let end = START_TIME + WarmUpScenario::WINDOWS * SECOND;
        let mut routers: Vec<Router> = (0..self.edge_proxies)
            .map(|index| self.new_router(index, START_TIME))
            .collect();
        let mut times = Vec::new();
        let mut last_request_id = 0;
        let mut restarts = 0;
        let mut now = START_TIME;
        while now < end {
            if self.restarts_after.contains(&(now - START_TIME)) {
                restarts += 1;
                for index in 0..self.restarted {
                    let seed_index = self.edge_proxies * restarts + index;
                    routers[index as usize] = self.new_router(seed_index, now);
                }
            }
            for router in &mut routers {
                last_request_id += 1;
                for server in forward_and_serve(router, now, last_request_id) {
                    if server == WarmUpScenario::JUST_STARTED {
                        times.push(now);
                    }
                }
            }
            now += self.request_interval;
        }
        times
    }

    /// Runs the scenario; returns the windows that begin every tenth of a second.
    fn run(&self) -> Vec<Window> {
        let times = self.attempt_times();
        let starts = (0..(WarmUpScenario::WINDOWS - 1) * 10).map(|n| START_TIME + n * SECOND / 10);
        starts
            .map(|start| Window {
                attempts: times
                    .iter()
                    .filter(|time| (start..start + SECOND).contains(*time))
                    .count() as f64,
                allowed: allowed_attempts(start),
            })
            .collect()
    }
}

/// Attempts that a cache server may get in the window of one second from this time on, if it
/// started at [`START_TIME`]: its share grows in a line from the initial one to one.
fn allowed_attempts(window_start: Micros) -> f64 {
    let age_us = (window_start - START_TIME) as f64;
    let share = (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * age_us / WARM_UP_US).min(1.0);
    share * CACHE_CAPACITY * OVERLOAD_MULTIPLE / TRANSFER_S
}

/// Hands the router a request and serves it as a cache hit at once; returns the servers that were
/// given an attempt.
fn forward_and_serve(router: &mut Router, now: Micros, id: RequestId) -> Vec<ServerId> {
    const OBJECTS: u64 = 997;
    let request = Request {
        group: REQUEST_GROUP,
        ..request(id, VIDEO, &format!("/o/{}", id % OBJECTS))
    };
    let mut actions = Vec::new();
    router.handle(now, Event::Request(request), &mut actions);
    let mut servers = Vec::new();
    for action in &actions {
        let Action::StartAttempt { server, .. } = action else {
            continue;
        };
        servers.push(*server);
        let report = attempt_report(id, 0, *server, Outcome::Ok, FillResult::Hit);
        router.handle(now, Event::AttemptEnded(report), &mut Vec::new());
    }
    servers
}

#[test]
fn the_attempts_of_all_routers_follow_the_ramp_of_a_warming_cache_server() {
    const HALF_WAY: &[Micros] = &[3 * SECOND];
    // Within one window of the budget, and once more before the next has begun.
    const IN_A_ROW: &[Micros] = &[500 * MILLISECOND, 900 * MILLISECOND];
    let scenario = |edge_proxies, request_interval, restarted, restarts_after| WarmUpScenario {
        edge_proxies,
        request_interval,
        restarted,
        restarts_after,
    };
    for scenario in [
        scenario(30, 20 * MILLISECOND, 0, HALF_WAY),
        scenario(30, 20 * MILLISECOND, 10, HALF_WAY),
        scenario(100, 20 * MILLISECOND, 30, HALF_WAY),
        scenario(300, 50 * MILLISECOND, 0, HALF_WAY),
        scenario(1, 2 * MILLISECOND, 1, IN_A_ROW),
        scenario(3, 4 * MILLISECOND, 2, IN_A_ROW),
        scenario(10, 10 * MILLISECOND, 7, IN_A_ROW),
        scenario(30, 20 * MILLISECOND, 21, IN_A_ROW),
        scenario(100, 20 * MILLISECOND, 70, IN_A_ROW),
        scenario(300, 50 * MILLISECOND, 210, IN_A_ROW),
        scenario(900, 100 * MILLISECOND, 630, IN_A_ROW),
    ] {
        let windows = scenario.run();
        let highest = windows.iter().map(Window::utilization).fold(0.0, f64::max);
        assert!(
            highest <= 1.0,
            "{} edge proxies, one request each {} us, {} restarted after {:?} us: {highest} of what it \
             can take",
            scenario.edge_proxies,
            scenario.request_interval,
            scenario.restarted,
            scenario.restarts_after
        );
        assert!(
            windows.iter().any(|window| window.attempts > 0.0),
            "it is used at all"
        );
    }
}

#[test]
fn sizes_too_large_to_transfer_do_not_change_the_typical_transfer_time() {
    const HUGE_SIZE_KB: f64 = 1e9;
    let warming_up = CACHE_SERVERS[1];
    let mut harness = Harness::with_defaults();
    for index in 0..200 {
        harness.advance(MILLISECOND);
        let request = Request {
            size_kb: HUGE_SIZE_KB,
            ..harness.next_request(VIDEO, &format!("/o/huge-{index}"))
        };
        harness.submit_request(request);
    }
    // A server that is warming up gets what fits its budget, by the typical transfer time.
    harness.handle(endpoint_delta(vec![Endpoint {
        started_at: Some(harness.now - 2 * SECOND),
        ..cache_server(warming_up)
    }]));
    let servers = harness.servers_of_objects(60);
    assert!(servers.contains(&warming_up), "{servers:?}");
}

#[test]
fn a_start_that_turns_out_to_lie_further_back_ends_the_slow_start_sooner() {
    let attempts_after = |moved_back: Micros| {
        let mut settings = settings_without_direct_requests();
        settings.zones[LOCAL_ZONE].edge_proxies = 1;
        let mut endpoints = fleet_with_one_cache_server(CACHE_SERVERS[0]);
        endpoints[0].started_at = Some(START_TIME);
        let mut harness = Harness::new(settings, endpoints);
        harness.handle(Event::TimestampsMovedEarlier { by_us: moved_back });
        (0..200)
            .filter_map(|index| harness.submit(VIDEO, &format!("/o/{index}")).attempt())
            .count()
    };
    let (cold, warmer) = (attempts_after(0), attempts_after(5 * SECOND));
    assert!(warmer > cold, "{cold} and then {warmer}");
}
