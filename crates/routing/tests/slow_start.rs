//! Slow start: a server that is warming up gets no more work than its slow-start budget, whatever
//! the number of routers and of their requests.

mod support;
use edge_routing::*;
use support::*;

/// The time that the transfer of a part takes at full rate, in seconds.
const TRANSFER_S: f64 = PART_SIZE_KB / TRANSFER_KB_PER_S;
/// The share of its capacity that a cache server has at its start.
const INITIAL_CAPACITY_SHARE: f64 = 0.2;
/// The time until a cache server has its full capacity, in microseconds.
const WARM_UP_US: f64 = 10e6;
/// The multiple of its current capacity at which a cache server collapses if it lasts for a second.
const OVERLOAD_MULTIPLE: f64 = 3.0;
/// The share of its capacity that a parent has at its start.
const PARENT_INITIAL_CAPACITY_SHARE: f64 = 0.1;
/// The same as [`OVERLOAD_MULTIPLE`] for parents.
const PARENT_OVERLOAD_MULTIPLE: f64 = 2.0;
/// The purge group of the requests in the tests with many routers.
const REQUEST_PURGE_GROUP: u64 = 1;

/// Returns how many of 200 simultaneous requests one of `edge_proxy_count` routers forwards to a
/// cache server that has just started and is the only one of its location.
fn attempts_at_just_started_cache_server(edge_proxy_count: u32) -> usize {
    let mut settings = settings_without_direct_requests();
    settings.zones[LOCAL_ZONE_INDEX].edge_proxy_count = edge_proxy_count;
    let mut endpoints = fleet_with_one_cache_server(CACHE_SERVERS[0]);
    endpoints[0].started_at = Some(START_TIME_US);
    let mut harness = Harness::new(settings, endpoints);
    (0..200)
        .filter_map(|index| harness.submit(VIDEO, &format!("/o/{index}")).attempt())
        .filter(|attempt| [attempt.server, attempt.fill.source].contains(&CACHE_SERVERS[0]))
        .count()
}

/// Guards against the collapse of a cache server that has only a share of its capacity at its
/// start.
#[test]
fn a_just_started_cache_server_gets_no_more_attempts_than_its_budget() {
    // The rule allows 3 x 0.2 x 8 seconds of work in one second. An attempt is 0.1 s of work.
    const BUDGET_TRANSFERS: usize = 48;
    let alone = attempts_at_just_started_cache_server(1);
    assert!(
        (1..=BUDGET_TRANSFERS).contains(&alone),
        "{alone} attempts of one router"
    );
    let one_of_two = attempts_at_just_started_cache_server(2);
    assert!(
        (1..=BUDGET_TRANSFERS / 2).contains(&one_of_two),
        "two routers share the budget, but one has {one_of_two} attempts"
    );
}

/// Guards against the collapse of a parent that has just started while all locations fill from it.
#[test]
fn a_just_started_parent_gets_no_more_fills_than_its_budget() {
    // The rule allows 2 x 0.1 x 30 seconds of work in one second. A fill is 0.1 s of work, and half
    // of the budget belongs to the router of the other location.
    const BUDGET_TRANSFERS: usize = 30;
    let mut endpoints = fleet_with_one_cache_server(CACHE_SERVERS[0]);
    endpoints[0].weight = UNLIMITED_CAPACITY_TRANSFERS;
    endpoints[1].started_at = Some(START_TIME_US);
    let mut harness = Harness::new(settings_without_direct_requests(), endpoints);
    let fills = (0..300)
        .filter_map(|index| harness.submit(PAGE, &format!("/o/{index}")).attempt())
        .filter(|attempt| attempt.fill.source == PARENTS[0])
        .count();
    assert!((1..=BUDGET_TRANSFERS).contains(&fills), "{fills} fills");
}

/// Returns settings where all `edge_proxy_count` routers are in one location whose link is never a
/// bottleneck.
fn settings_with_edge_proxies(edge_proxy_count: u32) -> Settings {
    let mut settings = settings_without_direct_requests();
    settings.zones[LOCAL_ZONE_INDEX].edge_proxy_count = edge_proxy_count;
    settings.zones[REMOTE_ZONE_INDEX].edge_proxy_count = 0;
    settings.zones[LOCAL_ZONE_INDEX].link_kb_per_s = UNLIMITED_LINK_KB_PER_S;
    settings
}

/// Returns a different seed for each of many routers.
fn router_seed(index: u32) -> u64 {
    u64::from(index).wrapping_mul(0x9e37_79b9)
}

/// Returns whether the action gives work to this server: an attempt, or the fill of an attempt.
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

/// Returns the work in seconds that `edge_proxy_count` routers together give to a server that
/// started a second ago. Each router has 60 simultaneous requests.
fn simultaneous_work_s(edge_proxy_count: u32, warming_up: ServerId) -> f64 {
    const REQUESTS_PER_ROUTER: u64 = 60;
    let settings = settings_with_edge_proxies(edge_proxy_count);
    let endpoints = fleet_with_started(warming_up, START_TIME_US - SECOND_US);
    let mut work_s = 0.0;
    for index in 0..edge_proxy_count {
        let seed = router_seed(index);
        let mut router =
            router_with_endpoints(settings.clone(), seed, START_TIME_US, endpoints.clone());
        let mut actions = Vec::new();
        for number in 0..REQUESTS_PER_ROUTER {
            let request = Request {
                purge_group: REQUEST_PURGE_GROUP,
                ..request(number + 1, VIDEO, &format!("/o/{number}"))
            };
            router.handle(START_TIME_US, Event::Request(request), &mut actions);
        }
        let transfers = actions
            .iter()
            .filter(|action| gives_work_to(action, warming_up))
            .count();
        work_s += TRANSFER_S * transfers as f64;
    }
    work_s
}

/// Asserts that 1, 8 and 200 routers use a server that is warming up, but stay within its budget.
fn assert_used_within_budget(warming_up: ServerId, budget_s: f64) {
    for edge_proxy_count in [1, 8, 200] {
        let work_s = simultaneous_work_s(edge_proxy_count, warming_up);
        assert!(
            work_s > 0.0,
            "{edge_proxy_count} edge proxies leave the server idle"
        );
        assert!(
            work_s < budget_s,
            "{edge_proxy_count} edge proxies give it {work_s} s of work with a budget of \
             {budget_s} s"
        );
    }
}

/// Guards against hundreds of routers whose part of the budget is less than one request: each would
/// send none, or each would send one.
#[test]
fn any_number_of_routers_uses_a_warming_cache_server_within_its_budget() {
    let budget_s = INITIAL_CAPACITY_SHARE * CACHE_CAPACITY_TRANSFERS * OVERLOAD_MULTIPLE;
    assert_used_within_budget(CACHE_SERVERS[0], budget_s);
}

/// Guards against hundreds of routers that each send a parent no fill at all, or each send one.
#[test]
fn any_number_of_routers_uses_a_warming_parent_within_its_budget() {
    let budget_s =
        PARENT_INITIAL_CAPACITY_SHARE * PARENT_CAPACITY_TRANSFERS * PARENT_OVERLOAD_MULTIPLE;
    assert_used_within_budget(PARENTS[0], budget_s);
}

/// Routers that receive requests at a steady rate while a cache server is warming up.
struct WarmUpScenario {
    /// The number of routers.
    edge_proxy_count: u32,
    /// The interval between two requests to one router.
    request_interval_us: Micros,
    /// The number of routers that lose their state at each restart.
    restarted: u32,
    /// The times of the restarts, measured from the start of the cache server.
    restarts_after_us: &'static [Micros],
}

/// A window of one second while a cache server is warming up.
struct Window {
    /// The number of attempts that the cache server got from all routers.
    attempts: f64,
    /// The number of attempts that the rule allows.
    allowed: f64,
}

impl Window {
    /// Returns the ratio of the attempts to the allowed attempts. The allowance includes a margin
    /// for random variation: two standard deviations plus two attempts.
    fn utilization(&self) -> f64 {
        self.attempts / (self.allowed + 2.0 * self.allowed.sqrt() + 2.0)
    }
}

impl WarmUpScenario {
    /// The length of the scenario in windows of one second.
    const WINDOW_COUNT: u64 = 6;
    /// The cache server that has just started.
    const JUST_STARTED_SERVER: ServerId = CACHE_SERVERS[0];

    /// Creates a router that has just received the endpoint list.
    fn new_router(&self, seed_index: u32, now: Micros) -> Router {
        router_with_endpoints(
            settings_with_edge_proxies(self.edge_proxy_count),
            router_seed(seed_index),
            now,
            fleet_with_started(WarmUpScenario::JUST_STARTED_SERVER, START_TIME_US),
        )
    }

    /// Runs the scenario and returns the times of the attempts at the cache server that is warming
    /// up.
    fn attempt_times(&self) -> Vec<Micros> {
        let end = START_TIME_US + WarmUpScenario::WINDOW_COUNT * SECOND_US;
        let mut routers: Vec<Router> = (0..self.edge_proxy_count)
            .map(|index| self.new_router(index, START_TIME_US))
            .collect();
        let mut times = Vec::new();
        let mut last_request_id = 0;
        let mut restarts = 0;
        let mut now = START_TIME_US;
        while now < end {
            if self.restarts_after_us.contains(&(now - START_TIME_US)) {
                restarts += 1;
                for index in 0..self.restarted {
                    let seed_index = self.edge_proxy_count * restarts + index;
                    routers[index as usize] = self.new_router(seed_index, now);
                }
            }
            for router in &mut routers {
                last_request_id += 1;
                for server in forward_and_serve(router, now, last_request_id) {
                    if server == WarmUpScenario::JUST_STARTED_SERVER {
                        times.push(now);
                    }
                }
            }
            now += self.request_interval_us;
        }
        times
    }

    /// Runs the scenario and returns the windows, one beginning at every tenth of a second.
    fn run(&self) -> Vec<Window> {
        let times = self.attempt_times();
        let starts = (0..(WarmUpScenario::WINDOW_COUNT - 1) * 10)
            .map(|n| START_TIME_US + n * SECOND_US / 10);
        starts
            .map(|start| Window {
                attempts: times
                    .iter()
                    .filter(|time| (start..start + SECOND_US).contains(*time))
                    .count() as f64,
                allowed: allowed_attempts(start),
            })
            .collect()
    }
}

/// Returns the number of attempts that a cache server may get in the window of one second that
/// begins at this time. The server started at [`START_TIME_US`], and its share of the capacity
/// grows linearly from the initial share to one.
fn allowed_attempts(window_start: Micros) -> f64 {
    let age_us = (window_start - START_TIME_US) as f64;
    let share =
        (INITIAL_CAPACITY_SHARE + (1.0 - INITIAL_CAPACITY_SHARE) * age_us / WARM_UP_US).min(1.0);
    share * CACHE_CAPACITY_TRANSFERS * OVERLOAD_MULTIPLE / TRANSFER_S
}

/// Submits a request to the router and serves it as a cache hit at once. Returns the servers that
/// got an attempt.
fn forward_and_serve(router: &mut Router, now: Micros, id: RequestId) -> Vec<ServerId> {
    const OBJECTS: u64 = 997;
    let request = Request {
        purge_group: REQUEST_PURGE_GROUP,
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

/// Guards against routers that lose their state and use their part of the budget again: the
/// attempts before and after a restart add up at the server that is warming up.
#[test]
fn the_attempts_of_all_routers_follow_the_growing_capacity_of_a_warming_cache_server() {
    const MIDWAY_RESTART_US: &[Micros] = &[3 * SECOND_US];
    // Both restarts fall within the same window of the budget.
    const TWO_EARLY_RESTARTS_US: &[Micros] = &[500 * MILLISECOND_US, 900 * MILLISECOND_US];
    let scenario =
        |edge_proxy_count, request_interval_us, restarted, restarts_after_us| WarmUpScenario {
            edge_proxy_count,
            request_interval_us,
            restarted,
            restarts_after_us,
        };
    for scenario in [
        scenario(30, 20 * MILLISECOND_US, 0, MIDWAY_RESTART_US),
        scenario(30, 20 * MILLISECOND_US, 10, MIDWAY_RESTART_US),
        scenario(100, 20 * MILLISECOND_US, 30, MIDWAY_RESTART_US),
        scenario(300, 50 * MILLISECOND_US, 0, MIDWAY_RESTART_US),
        scenario(1, 2 * MILLISECOND_US, 1, TWO_EARLY_RESTARTS_US),
        scenario(3, 4 * MILLISECOND_US, 2, TWO_EARLY_RESTARTS_US),
        scenario(10, 10 * MILLISECOND_US, 7, TWO_EARLY_RESTARTS_US),
        scenario(30, 20 * MILLISECOND_US, 21, TWO_EARLY_RESTARTS_US),
        scenario(100, 20 * MILLISECOND_US, 70, TWO_EARLY_RESTARTS_US),
        scenario(300, 50 * MILLISECOND_US, 210, TWO_EARLY_RESTARTS_US),
        scenario(900, 100 * MILLISECOND_US, 630, TWO_EARLY_RESTARTS_US),
    ] {
        let windows = scenario.run();
        let highest = windows.iter().map(Window::utilization).fold(0.0, f64::max);
        assert!(
            highest <= 1.0,
            "{} edge proxies with a request every {} us, of which {} restart after {:?} us, send \
             {highest} times the allowed attempts",
            scenario.edge_proxy_count,
            scenario.request_interval_us,
            scenario.restarted,
            scenario.restarts_after_us
        );
        assert!(
            windows.iter().any(|window| window.attempts > 0.0),
            "the cache server is used"
        );
    }
}

/// Guards against a client that claims absurd sizes: the typical transfer time would grow until no
/// transfer fits the budget of a server that is warming up.
#[test]
fn sizes_too_large_to_transfer_do_not_change_the_typical_transfer_time() {
    const HUGE_SIZE_KB: f64 = 1e9;
    let warming_up = CACHE_SERVERS[1];
    let mut harness = Harness::with_defaults();
    for index in 0..200 {
        harness.advance(MILLISECOND_US);
        let request = Request {
            size_kb: HUGE_SIZE_KB,
            ..harness.next_request(VIDEO, &format!("/o/huge-{index}"))
        };
        harness.submit_request(request);
    }
    // The typical transfer time determines what fits the budget of a server that is warming up.
    harness.handle(endpoint_delta(vec![Endpoint {
        started_at: Some(harness.now - 2 * SECOND_US),
        ..cache_server(warming_up)
    }]));
    let servers = harness.servers_of_objects(60);
    assert!(
        servers.contains(&warming_up),
        "the server that is warming up is not among {servers:?}"
    );
}

/// Guards against a slow start that lasts too long after a correction of times.
#[test]
fn a_start_time_that_moves_earlier_ends_the_slow_start_sooner() {
    let attempts_after = |moved_earlier_us: Micros| {
        let mut settings = settings_without_direct_requests();
        settings.zones[LOCAL_ZONE_INDEX].edge_proxy_count = 1;
        let mut endpoints = fleet_with_one_cache_server(CACHE_SERVERS[0]);
        endpoints[0].started_at = Some(START_TIME_US);
        let mut harness = Harness::new(settings, endpoints);
        harness.handle(Event::TimestampsMovedEarlier {
            by_us: moved_earlier_us,
        });
        (0..200)
            .filter_map(|index| harness.submit(VIDEO, &format!("/o/{index}")).attempt())
            .count()
    };
    let (not_moved, moved_earlier) = (attempts_after(0), attempts_after(5 * SECOND_US));
    assert!(
        moved_earlier > not_moved,
        "{not_moved} attempts, and {moved_earlier} after the start time moved earlier"
    );
}
