//! Determinism: equal events give equal actions. Other routers in the process and the order of the
//! endpoint list make no difference.

mod support;
use edge_routing::*;
use support::*;

/// The number of steps of the script in [`run_step`].
const STEP_COUNT: u64 = 500;
/// The seeds of two routers, which also select their scripts.
const SEEDS: [u64; 2] = [1, 2];

/// Creates a router with the shared settings and fleet.
fn new_router(seed: u64) -> Router {
    router_with_endpoints(settings(), seed, START_TIME_US, fleet())
}

/// Runs a step of a script that depends on the seed, and returns all actions. Each step has a
/// request. Three of four steps also end its attempt, and every tenth step has a sweep.
fn run_step(router: &mut Router, seed: u64, step: u64) -> Vec<Action> {
    const STEP_INTERVAL_US: Micros = 7 * MILLISECOND_US;
    const OBJECTS: u64 = 17;
    const PARTS: u64 = 5;
    let now = START_TIME_US + step * STEP_INTERVAL_US;
    let class = if step % 3 == 0 { PAGE } else { VIDEO };
    let object = format!("/o/{}", (step * step + seed) % OBJECTS);
    let request = Request {
        part: step % PARTS,
        purge_group: 1,
        size_kb: 300.0,
        remaining_us: 3 * SECOND_US,
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
            took_us: 50 * MILLISECOND_US,
            ..attempt.report(outcome, FillResult::Hit)
        };
        router.handle(
            now + MILLISECOND_US,
            Event::AttemptEnded(report),
            &mut actions,
        );
    }
    if step % 10 == 0 {
        let sweep = Event::Timer {
            tag: SWEEP_TIMER_TAG,
        };
        router.handle(now + MILLISECOND_US, sweep, &mut actions);
    }
    actions
}

/// Runs the script with a new router and returns the actions of each step.
fn run_alone(seed: u64) -> Vec<Vec<Action>> {
    let mut router = new_router(seed);
    (0..STEP_COUNT)
        .map(|step| run_step(&mut router, seed, step))
        .collect()
}

/// Guards against state that routers share or that depends on the process: events of one router
/// would then change the actions of another.
#[test]
fn equal_events_give_equal_actions_and_routers_share_no_state() {
    let expected = SEEDS.map(run_alone);
    let mut routers = SEEDS.map(new_router);
    for step in 0..STEP_COUNT {
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

/// Returns the actions of a router with this endpoint list for each of 200 requests.
fn actions_with_endpoints(endpoints: Vec<Endpoint>) -> Vec<Vec<Action>> {
    const REQUESTS: usize = 200;
    const OBJECTS: usize = 50;
    let mut harness = Harness::new(settings(), endpoints);
    (0..REQUESTS)
        .map(|index| format!("/o/{}", index % OBJECTS))
        .map(|object| harness.submit(VIDEO, &object).actions)
        .collect()
}

/// Guards against routers that choose different cache servers for the same object because they have
/// received the endpoint list in a different order.
#[test]
fn the_order_of_a_list_of_hundreds_of_servers_does_not_change_the_actions() {
    const CACHE_SERVER_COUNT: ServerId = 300;
    const CACHE_SERVERS_PER_LOCAL_SERVER: ServerId = 20;
    let mut endpoints: Vec<Endpoint> = (1..=CACHE_SERVER_COUNT)
        .map(|id| {
            if id % CACHE_SERVERS_PER_LOCAL_SERVER == 0 {
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
