//! Equal events give equal actions, whatever else a process or an endpoint list holds.

mod support;
use edge_routing::*;
use support::*;

/// Steps of the script in [`run_step`].
const STEPS: u64 = 500;
/// The seeds of two routers that are given different scripts.
const SEEDS: [u64; 2] = [1, 2];

/// A router with the settings and the fleet of the tests.
fn new_router(seed: u64) -> Router {
    router_with_endpoints(settings(), seed, START_TIME, fleet())
}

/// Runs a step of a script that varies with the seed: a request, for most of them the end of its
/// attempt, and at times a sweep. Returns all actions.
fn run_step(router: &mut Router, seed: u64, step: u64) -> Vec<Action> {
    const STEP_INTERVAL: Micros = 7 * MILLISECOND;
    const OBJECTS: u64 = 17;
    const PARTS: u64 = 5;
    let now = START_TIME + step * STEP_INTERVAL;
    let class = if step % 3 == 0 { PAGE } else { VIDEO };
    let object = format!("/o/{}", (step * step + seed) % OBJECTS);
    let request = Request {
        part: step % PARTS,
        group: 1,
        size_kb: 300.0,
        remaining_us: 3 * SECOND,
        ..request(step + 1, class, &object)
    };
    let mut actions = Vec::new();
    router.handle(now, Event::Request(request), &mut actions);
    let is_answered = step % 4 != 0;
    if let Some(attempt) = Attempt::first_in(&actions).filter(|_| is_answered) {
        let outcome = if step % 7 == 0 {
            Outcome::Error
        } else {
            Outcome::Ok
        };
        let report = AttemptReport {
            took_us: 50 * MILLISECOND,
            ..attempt.report(outcome, FillResult::Hit)
        };
        router.handle(now + MILLISECOND, Event::AttemptEnded(report), &mut actions);
    }
    if step % 10 == 0 {
        let sweep = Event::Timer {
            tag: SWEEP_TIMER_TAG,
        };
        router.handle(now + MILLISECOND, sweep, &mut actions);
    }
    actions
}

/// The actions of each step of the script, by a router of its own.
fn run_alone(seed: u64) -> Vec<Vec<Action>> {
    let mut router = new_router(seed);
    (0..STEPS)
        .map(|step| run_step(&mut router, seed, step))
        .collect()
}

#[test]
fn equal_events_give_equal_actions_and_routers_share_no_state() {
    let expected = SEEDS.map(run_alone);
    let mut routers = SEEDS.map(new_router);
    for step in 0..STEPS {
        for (index, router) in routers.iter_mut().enumerate() {
            assert_eq!(
                run_step(router, SEEDS[index], step),
                expected[index][step as usize],
                "seed {}, step {step}",
                SEEDS[index]
            );
        }
    }
}

/// The actions for 200 requests by a router with this endpoint list.
fn actions_with_endpoints(endpoints: Vec<Endpoint>) -> Vec<Vec<Action>> {
    const REQUESTS: usize = 200;
    const OBJECTS: usize = 50;
    let mut harness = Harness::new(settings(), endpoints);
    (0..REQUESTS)
        .map(|index| format!("/o/{}", index % OBJECTS))
        .map(|object| harness.submit(VIDEO, &object).actions)
        .collect()
}

#[test]
fn the_order_of_a_list_of_hundreds_of_servers_does_not_change_the_actions() {
    const CACHE_SERVER_COUNT: ServerId = 300;
    const CACHE_SERVERS_PER_LOCAL_ONE: ServerId = 20;
    let mut endpoints: Vec<Endpoint> = (1..=CACHE_SERVER_COUNT)
        .map(|id| {
            if id % CACHE_SERVERS_PER_LOCAL_ONE == 0 {
                cache_server(id)
            } else {
                remote_cache_server(id)
            }
        })
        .collect();
    endpoints.extend([parent(1011), parent(1012), origin(1021)]);
    let mut reversed = endpoints.clone();
    reversed.reverse();
    assert_eq!(
        actions_with_endpoints(endpoints),
        actions_with_endpoints(reversed)
    );
}
