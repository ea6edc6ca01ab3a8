//! The oracle has to detect each kind of violation in the record of a run, and must not report any
//! for a correct run.

use edge_soak::deployment::class;
use edge_soak::oracle::judge;
use edge_soak::plan::Plan;
use edge_soak::violation::Rule;
use edge_soak::world::{AttemptRecord, InterconnectPurge, Purge, RequestRecord, RunState};

const PROXY_INDEX: usize = 0;
const REQUEST_ID: &str = "0000000100000001";
const SENT_MS: u64 = 10_000;
const BUDGET_MS: u64 = 1_000;
const OBJECT: u64 = 7;
const PURGE_GROUP: u64 = 3;
/// The index of the first cache server.
const CACHE_SERVER_INDEX: usize = 1;

/// The record of a run without faults, in which one request was served by one attempt.
struct RecordedRun {
    run_state: RunState,
}

impl RecordedRun {
    fn new() -> Self {
        RecordedRun::with_class(class::READ)
    }

    fn with_class(class: &'static str) -> Self {
        let plan = Plan {
            faults: Vec::new(),
            ..Plan::from_seed(1)
        };
        let mut run_state = RunState::new(plan, 1);
        let request = RequestRecord {
            proxy: PROXY_INDEX,
            class,
            object: OBJECT,
            purge_group: PURGE_GROUP,
            sent_ms: SENT_MS,
            budget_ms: BUDGET_MS,
            cancelled_ms: None,
            answer: Some((200, SENT_MS + 30)),
            copy_created_unix_ms: Some(1_000_000),
            connection_closed_ms: None,
            timed_out: false,
        };
        run_state.requests.insert(REQUEST_ID.to_owned(), request);
        let mut run = RecordedRun { run_state };
        run.add_attempt(SENT_MS + 5);
        run
    }

    /// Adds an attempt that reached the cache server at a time.
    fn add_attempt(&mut self, arrived_ms: u64) -> &mut AttemptRecord {
        self.run_state.attempts.push(AttemptRecord {
            request_id: REQUEST_ID.to_owned(),
            server_index: CACHE_SERVER_INDEX,
            fill_source: None,
            arrived_ms,
            wait_ms: (SENT_MS + BUDGET_MS).saturating_sub(arrived_ms),
            was_started: true,
        });
        self.run_state.attempts.last_mut().unwrap()
    }

    fn request(&mut self) -> &mut RequestRecord {
        self.run_state.requests.get_mut(REQUEST_ID).unwrap()
    }

    fn rules(&self) -> Vec<Rule> {
        let violations = judge(&self.run_state);
        violations.iter().map(|violation| violation.rule).collect()
    }
}

#[test]
fn a_correct_run_has_no_violations() {
    for class in [
        class::READ,
        class::WITH_IDEMPOTENCY_KEY,
        class::NON_IDEMPOTENT,
    ] {
        assert_eq!(RecordedRun::with_class(class).rules(), []);
    }
}

// A request is lost if its connection ends without an answer. A process that was killed can't
// answer, so the exit of the request's own proxy explains the loss.
#[test]
fn a_connection_closed_without_an_answer_is_a_violation_unless_the_proxy_process_ended() {
    let mut run = RecordedRun::new();
    run.request().answer = None;
    run.request().connection_closed_ms = Some(SENT_MS + 10);
    assert_eq!(run.rules(), [Rule::FinalAnswer]);
    run.run_state.abrupt_exits.push((PROXY_INDEX, SENT_MS + 10));
    assert_eq!(run.rules(), []);
    run.run_state.abrupt_exits[0] = (PROXY_INDEX + 1, SENT_MS + 10);
    assert_eq!(run.rules(), [Rule::FinalAnswer]);
}

#[test]
fn a_request_that_is_never_answered_is_a_violation() {
    let mut run = RecordedRun::new();
    run.request().answer = None;
    run.request().timed_out = true;
    assert_eq!(run.rules(), [Rule::FinalAnswer]);
}

// A retry after the server has started to process the request can run a payment twice. A rejection
// states that the request was not executed, so the client may repeat it.
#[test]
fn a_non_idempotent_request_may_not_run_twice_or_be_rejected_after_it_ran() {
    let mut run = RecordedRun::with_class(class::NON_IDEMPOTENT);
    run.add_attempt(SENT_MS + 200);
    assert_eq!(run.rules(), [Rule::RunOnce]);
    let mut run = RecordedRun::with_class(class::NON_IDEMPOTENT);
    run.request().answer = Some((503, SENT_MS + 30));
    assert_eq!(run.rules(), [Rule::HonestRejection]);
    run.run_state.attempts[0].was_started = false;
    assert_eq!(run.rules(), [], "the request was never executed");
}

// An attempt for a client that is gone wastes the capacity of a server. Arrivals shortly after the
// cancellation are due to messages that were already on their way.
#[test]
fn an_attempt_after_the_client_cancelled_is_a_violation() {
    let mut run = RecordedRun::new();
    run.request().cancelled_ms = Some(SENT_MS + 10);
    run.add_attempt(SENT_MS + 250);
    assert_eq!(
        run.rules(),
        [],
        "within the grace period and the measurement slack"
    );
    run.add_attempt(SENT_MS + 400);
    assert_eq!(run.rules(), [Rule::ClientLeft]);
}

#[test]
fn a_server_given_more_time_than_the_client_has_left_is_a_violation() {
    let mut run = RecordedRun::new();
    run.run_state.attempts[0].wait_ms = BUDGET_MS + 340;
    assert_eq!(run.rules(), []);
    run.run_state.attempts[0].wait_ms = BUDGET_MS + 360;
    assert_eq!(run.rules(), [Rule::ClientTime]);
}

// A proxy that knows of the draining may not use the server, neither for attempts nor as a fill
// source.
#[test]
fn an_attempt_at_a_draining_server_or_with_a_draining_fill_source_is_a_violation() {
    const EVENT_NUMBER: usize = 1;
    let mut run = RecordedRun::new();
    run.run_state.servers[CACHE_SERVER_INDEX].drained = Some((SENT_MS - 1_000, EVENT_NUMBER));
    assert_eq!(
        run.rules(),
        [],
        "the proxy is assumed to know only 4 s after publication"
    );
    run.run_state.deliveries[PROXY_INDEX].push((EVENT_NUMBER, SENT_MS - 900));
    assert_eq!(run.rules(), [Rule::Drain]);
    run.run_state.deliveries[PROXY_INDEX][0].1 = SENT_MS - 100;
    assert_eq!(run.rules(), [], "within the grace period");

    let mut run = RecordedRun::new();
    let fill_source = run.run_state.servers[2].uid.clone();
    run.run_state.servers[2].drained = Some((SENT_MS - 1_000, EVENT_NUMBER));
    run.run_state.deliveries[PROXY_INDEX].push((EVENT_NUMBER, SENT_MS - 900));
    run.run_state.attempts[0].fill_source = Some(fill_source);
    assert_eq!(run.rules(), [Rule::Drain]);
}

#[test]
fn an_answer_from_a_copy_created_before_a_purge_is_a_violation() {
    let mut run = RecordedRun::new();
    let purge = Purge {
        object: None,
        purge_group: PURGE_GROUP,
        purged_unix_ms: 1_000_100,
        event_number: 1,
        published_ms: SENT_MS - 1_000,
    };
    run.run_state.purges.push(purge);
    run.run_state.deliveries[PROXY_INDEX].push((1, SENT_MS - 900));
    assert_eq!(run.rules(), [Rule::NoPurgedCopy]);
    run.run_state.purges[0].purge_group = PURGE_GROUP + 1;
    assert_eq!(run.rules(), [], "the purge is for another group");

    let mut run = RecordedRun::new();
    run.run_state.interconnect_purges.push(InterconnectPurge {
        proxy: PROXY_INDEX,
        object: OBJECT,
        sent_unix_ms: 1_000_100,
        acknowledged_ms: SENT_MS - 1_000,
    });
    assert_eq!(run.rules(), [Rule::KeptPurge]);
}

// A server that is warming up can process only a share of its capacity. The proxies can keep to
// that only if they know of the start.
#[test]
fn overload_of_a_server_that_has_just_started_is_a_violation() {
    const EVENT_NUMBER: usize = 1;
    let mut run = RecordedRun::new();
    run.run_state.servers[CACHE_SERVER_INDEX].started = Some((SENT_MS, EVENT_NUMBER));
    for number in 0..80 {
        run.add_attempt(SENT_MS + 10 + number);
    }
    assert_eq!(run.rules(), [], "no proxy knew of the start");
    run.run_state.deliveries[PROXY_INDEX].push((EVENT_NUMBER, SENT_MS + 2));
    assert_eq!(run.rules(), [Rule::SlowStart]);
    run.run_state.attempts.truncate(50);
    assert_eq!(run.rules(), [], "within the limit and its tolerance");
}

// A proxy that goes on refusing requests after all faults have passed has not recovered.
#[test]
fn refusals_that_no_fault_explains_are_a_violation() {
    let mut run = RecordedRun::new();
    run.request().answer = Some((503, SENT_MS + 1));
    assert_eq!(
        run.rules(),
        [],
        "a single refusal may have a reason of its own"
    );
    for number in 2..6 {
        let request = run.request().clone();
        run.run_state
            .requests
            .insert(format!("{number:016x}"), request);
    }
    assert_eq!(run.rules(), [Rule::Recovery]);
}
