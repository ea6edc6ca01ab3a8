//! The oracle finds each kind of broken rule in what was seen of a run, and nothing in a sound run.

use edge_soak::deployment::class;
use edge_soak::oracle::judge;
use edge_soak::plan::Plan;
use edge_soak::violation::Rule;
use edge_soak::world::{FetchRecord, KeptPurge, Purge, RequestRecord, World};

const PROXY: usize = 0;
const REQUEST: &str = "0000000100000001";
const SENT_MS: u64 = 10_000;
const BUDGET_MS: u64 = 1_000;
const OBJECT: u64 = 7;
const GROUP: u64 = 3;
/// The first cache server.
const SERVER: usize = 1;

/// A run without troubles in which one request was served by one attempt.
struct Run {
    world: World,
}

impl Run {
    fn new() -> Self {
        Run::with_class(class::READ)
    }

    fn with_class(class: &'static str) -> Self {
        let plan = Plan {
            troubles: Vec::new(),
            ..Plan::of_seed(1)
        };
        let mut world = World::new(plan, 1);
        let request = RequestRecord {
            proxy: PROXY,
            class,
            object: OBJECT,
            group: GROUP,
            sent_ms: SENT_MS,
            budget_ms: BUDGET_MS,
            left_ms: None,
            answer: Some((200, SENT_MS + 30)),
            copy_made_unix_ms: Some(1_000_000),
            closed_ms: None,
            gave_up: false,
        };
        world.requests.insert(REQUEST.to_owned(), request);
        let mut run = Run { world };
        run.fetch(SENT_MS + 5);
        run
    }

    /// An attempt that reached the server at a time.
    fn fetch(&mut self, at_ms: u64) -> &mut FetchRecord {
        self.world.fetches.push(FetchRecord {
            request: REQUEST.to_owned(),
            server: SERVER,
            source: None,
            at_ms,
            wait_ms: (SENT_MS + BUDGET_MS).saturating_sub(at_ms),
            ran: true,
        });
        self.world.fetches.last_mut().unwrap()
    }

    fn request(&mut self) -> &mut RequestRecord {
        self.world.requests.get_mut(REQUEST).unwrap()
    }

    fn rules(&self) -> Vec<Rule> {
        let violations = judge(&self.world);
        violations.iter().map(|violation| violation.rule).collect()
    }
}

#[test]
fn a_sound_run_breaks_nothing() {
    for class in [class::READ, class::KEYED, class::ONCE] {
        assert_eq!(Run::with_class(class).rules(), []);
    }
}

#[test]
fn a_connection_that_ends_without_the_answer_loses_the_request_unless_its_proxy_dies() {
    let mut run = Run::new();
    run.request().answer = None;
    run.request().closed_ms = Some(SENT_MS + 10);
    assert_eq!(run.rules(), [Rule::FinalAnswer]);
    run.world.deaths.push((PROXY, SENT_MS + 10));
    assert_eq!(run.rules(), []);
    run.world.deaths[0] = (PROXY + 1, SENT_MS + 10);
    assert_eq!(run.rules(), [Rule::FinalAnswer]);
}

#[test]
fn a_request_that_is_never_answered_is_lost() {
    let mut run = Run::new();
    run.request().answer = None;
    run.request().gave_up = true;
    assert_eq!(run.rules(), [Rule::FinalAnswer]);
}

#[test]
fn a_request_that_must_not_repeat_runs_once_and_is_not_rejected_after_that() {
    let mut run = Run::with_class(class::ONCE);
    run.fetch(SENT_MS + 200);
    assert_eq!(run.rules(), [Rule::RunOnce]);
    let mut run = Run::with_class(class::ONCE);
    run.request().answer = Some((503, SENT_MS + 30));
    assert_eq!(run.rules(), [Rule::HonestRejection]);
    run.world.fetches[0].ran = false;
    assert_eq!(run.rules(), [], "it never ran");
}

#[test]
fn an_attempt_after_its_client_left_is_found() {
    let mut run = Run::new();
    run.request().left_ms = Some(SENT_MS + 10);
    run.fetch(SENT_MS + 250);
    assert_eq!(run.rules(), [], "within the grace and the slack");
    run.fetch(SENT_MS + 400);
    assert_eq!(run.rules(), [Rule::ClientLeft]);
}

#[test]
fn more_time_than_the_client_has_left_is_found() {
    let mut run = Run::new();
    run.world.fetches[0].wait_ms = BUDGET_MS + 340;
    assert_eq!(run.rules(), []);
    run.world.fetches[0].wait_ms = BUDGET_MS + 360;
    assert_eq!(run.rules(), [Rule::ClientTime]);
}

#[test]
fn an_attempt_at_a_draining_server_or_filled_from_one_is_found() {
    const EVENT: usize = 1;
    let mut run = Run::new();
    run.world.servers[SERVER].withdrawn = Some((SENT_MS - 1_000, EVENT));
    assert_eq!(run.rules(), [], "it counts as told 4 s later");
    run.world.told[PROXY].push((EVENT, SENT_MS - 900));
    assert_eq!(run.rules(), [Rule::Drain]);
    run.world.told[PROXY][0].1 = SENT_MS - 100;
    assert_eq!(run.rules(), [], "within the grace");

    let mut run = Run::new();
    let source = run.world.servers[2].wire_id.clone();
    run.world.servers[2].withdrawn = Some((SENT_MS - 1_000, EVENT));
    run.world.told[PROXY].push((EVENT, SENT_MS - 900));
    run.world.fetches[0].source = Some(source);
    assert_eq!(run.rules(), [Rule::Drain]);
}

#[test]
fn a_copy_from_before_a_purge_is_found() {
    let mut run = Run::new();
    let purge = Purge {
        object: None,
        group: GROUP,
        at_unix_ms: 1_000_100,
        event: 1,
        published_ms: SENT_MS - 1_000,
    };
    run.world.purges.push(purge);
    run.world.told[PROXY].push((1, SENT_MS - 900));
    assert_eq!(run.rules(), [Rule::NoPurgedCopy]);
    run.world.purges[0].group = GROUP + 1;
    assert_eq!(run.rules(), [], "another group");

    let mut run = Run::new();
    run.world.kept_purges.push(KeptPurge {
        proxy: PROXY,
        object: OBJECT,
        sent_unix_ms: 1_000_100,
        acknowledged_ms: SENT_MS - 1_000,
    });
    assert_eq!(run.rules(), [Rule::KeptPurge]);
}

#[test]
fn a_server_that_has_just_started_is_found_overloaded() {
    const EVENT: usize = 1;
    let mut run = Run::new();
    run.world.servers[SERVER].started = Some((SENT_MS, EVENT));
    for number in 0..80 {
        run.fetch(SENT_MS + 10 + number);
    }
    assert_eq!(run.rules(), [], "no proxy knew of the start");
    run.world.told[PROXY].push((EVENT, SENT_MS + 2));
    assert_eq!(run.rules(), [Rule::SlowStart]);
    run.world.fetches.truncate(50);
    assert_eq!(run.rules(), [], "within the budget and its slack");
}

#[test]
fn refusals_with_nothing_wrong_are_found() {
    let mut run = Run::new();
    run.request().answer = Some((503, SENT_MS + 1));
    assert_eq!(run.rules(), [], "a single one may have a reason");
    for number in 2..6 {
        let request = run.request().clone();
        run.world.requests.insert(format!("{number:016x}"), request);
    }
    assert_eq!(run.rules(), [Rule::Recovery]);
}
