//! Outlier ejection: which failures eject a server, which server a failure is attributed to, and
//! how an ejected server returns.

mod support;
use edge_routing::*;
use support::*;

/// Submits requests until one is forwarded to this server, and reports that its connection failed.
/// Serves the other requests.
fn fail_connection_to(harness: &mut Harness, server: ServerId) {
    for index in 0..100 {
        let attempt = harness.forward(VIDEO, &format!("/o/{index}"));
        if attempt.server == server {
            harness.finish(&attempt, Outcome::ConnectFailed);
            return;
        }
        harness.finish(&attempt, Outcome::Ok);
    }
    panic!("no request was forwarded to cache server {server}");
}

/// Guards against the overload of a server that returns after a failed connection: its process may
/// have restarted with an empty cache although the endpoint list reports no restart.
#[test]
fn an_unreachable_cache_server_returns_in_slow_start() {
    const OBJECTS: usize = 40;
    const MAX_FIRST_EJECTION_US: Micros = 2 * SECOND_US;
    // In the window of 1 s, the server may be sent the overload multiple (3) times its present
    // capacity. After 2 s of the 10 s of slow start this is 0.2 + 0.8 x 2 / 10 = 0.2 + 0.16 of its
    // full capacity of 8 transfers. 3 x (0.2 + 0.16) x 8 = 8.64 s of transfers, each of 0.1 s.
    const SLOW_START_BUDGET_ATTEMPTS: usize = 86;
    let mut harness = Harness::new(settings_without_direct_requests(), fleet());
    let first = harness.forward(VIDEO, "/o/a");
    let unreachable = first.server;
    harness.finish(&first, Outcome::ConnectFailed);
    assert!(
        !harness.servers_of_objects(OBJECTS).contains(&unreachable),
        "the cache server is ejected at once"
    );

    harness.advance(MAX_FIRST_EJECTION_US);
    assert!(
        harness.servers_of_objects(OBJECTS).contains(&unreachable),
        "the cache server is tried again after its ejection"
    );

    harness.advance(2 * SECOND_US);
    // All requests arrive at the same time and are not answered.
    let attempts = (0..400)
        .filter_map(|index| harness.submit(VIDEO, &format!("/o/x{index}")).attempt())
        .filter(|attempt| attempt.server == unreachable)
        .count();
    assert!(
        (1..=SLOW_START_BUDGET_ATTEMPTS).contains(&attempts),
        "{attempts} attempts at a cache server that may have restarted with an empty cache"
    );
}

/// Guards against a location without service: when every cache server fails, the cause is overload
/// rather than the servers.
#[test]
fn ejections_that_would_leave_no_cache_server_are_ignored() {
    const ATTEMPTS_PER_REQUEST: usize = 4;
    let mut harness = Harness::new(settings_without_direct_requests(), fleet());
    for index in 0..60 {
        let submission = harness.submit(VIDEO, &format!("/o/{index}"));
        let Some(first) = submission.attempt() else {
            break;
        };
        harness.advance(2 * MILLISECOND_US);
        let mut in_flight = Some(first);
        for _ in 0..ATTEMPTS_PER_REQUEST {
            let Some(attempt) = in_flight else { break };
            in_flight = harness.retry(&attempt, Outcome::Error);
        }
    }
    assert!(harness.submit(VIDEO, "/o/last").attempt().is_some());
}

/// Guards against requests that fail although the parents could serve them, and against parents
/// that get requests while a cache server is available.
#[test]
fn requests_go_directly_to_a_parent_only_while_every_cache_server_is_ejected() {
    let mut harness = Harness::with_defaults();
    for server in CACHE_SERVERS {
        // Requests still go to cache servers, because this one is not ejected yet.
        fail_connection_to(&mut harness, server);
    }
    let direct = harness.forward(VIDEO, "/o/z");
    assert!(
        PARENTS.contains(&direct.server),
        "the request did not go to a parent: {direct:?}"
    );
    assert_eq!(
        direct.fill.source, ORIGIN,
        "the parent fills a miss from the origin"
    );
    assert_eq!(
        direct.fill.retention_rank, 0,
        "no cache server retains a copy"
    );
    assert!(!direct.fill.coalesce);
}

/// Guards against the ejection of cache servers for the failures of a parent: if answers report
/// only whether they were cache hits, they do not say which of the two failed.
#[test]
fn a_parent_that_fails_without_a_reported_reason_is_ejected_and_the_cache_servers_are_not() {
    let settings = Settings {
        provenance: Provenance::HitOnly,
        ..settings()
    };
    let mut harness = Harness::new(settings, fleet());
    let mut first_fill_source = None;
    for index in 0..30 {
        let attempt = harness.forward(VIDEO, &format!("/o/{index}"));
        let failing_parent = *first_fill_source.get_or_insert(attempt.fill.source);
        if attempt.fill.source != failing_parent {
            harness.finish_with(&attempt, Outcome::Ok, FillResult::Filled);
            continue;
        }
        let retry = harness
            .retry(&attempt, Outcome::Error)
            .expect("the attempt is retried");
        assert_ne!(
            retry.fill.source, failing_parent,
            "the retry avoids the failing parent"
        );
        harness.finish_with(&retry, Outcome::Ok, FillResult::Filled);
    }
    let later: Vec<Attempt> = (0..40)
        .map(|index| harness.forward(PAGE, &format!("/p/{index}")))
        .collect();
    for server in CACHE_SERVERS {
        assert!(
            later.iter().any(|attempt| attempt.server == server),
            "cache server {server} is not ejected"
        );
    }
    let fills_from_failing_parent = later
        .iter()
        .filter(|attempt| Some(attempt.fill.source) == first_fill_source)
        .count();
    assert!(
        fills_from_failing_parent <= 1,
        "the parent gets {fills_from_failing_parent} fills, more than one half-open probe"
    );
}

/// Guards against a server that stays ejected forever because its half-open probe never ends: some
/// outcomes say nothing about the server.
#[test]
fn a_half_open_probe_that_shows_neither_success_nor_failure_is_followed_by_another() {
    const MAX_EJECTION_US: Micros = 10 * SECOND_US;
    for (probe_outcome, probe_fill_result) in [
        (Outcome::Miss, FillResult::SourceMiss),
        (Outcome::Rejected, FillResult::NoFillSlot),
    ] {
        let mut harness = Harness::new(settings_without_direct_requests(), fleet());
        let first = harness.forward(VIDEO, "/o/a");
        harness.finish(&first, Outcome::ConnectFailed);
        for _ in 0..3 {
            harness.advance(MAX_EJECTION_US);
            let mut was_probed = false;
            for index in 0..40 {
                let attempt = harness.forward(VIDEO, &format!("/o/{index}"));
                let is_probe = attempt.server == first.server;
                was_probed |= is_probe;
                let (outcome, fill_result) = if is_probe {
                    (probe_outcome, probe_fill_result)
                } else {
                    (Outcome::Ok, FillResult::Hit)
                };
                let mut in_flight = Some(attempt);
                while let Some(attempt) = in_flight {
                    in_flight = harness.retry_with(&attempt, outcome, fill_result);
                }
            }
            assert!(
                was_probed,
                "no half-open probe was sent after one that ended with {probe_outcome:?}"
            );
        }
    }
}

/// Guards against the ejection of working servers by requests that are themselves at fault.
#[test]
fn a_request_that_fails_at_every_server_is_rejected_and_ejects_no_server() {
    let mut harness = Harness::with_defaults();
    for index in 0..20 {
        let first = harness.forward(VIDEO, &format!("/o/unknown-{index}"));
        let retry = harness
            .retry(&first, Outcome::Error)
            .expect("the attempt is retried");
        let actions = harness.finish(&retry, Outcome::Error);
        assert!(
            matches!(actions[..], [Action::Reject { .. }]),
            "the request was not rejected: {actions:?}"
        );
    }
    let servers = harness.servers_of_objects(60);
    for server in CACHE_SERVERS {
        assert!(
            servers.contains(&server),
            "cache server {server} is not among {servers:?}"
        );
    }
}

/// Guards against ejection after a single reset: all attempts on a connection fail at the same
/// time.
#[test]
fn a_broken_connection_counts_as_one_failure_however_many_attempts_it_carried() {
    let server = CACHE_SERVERS[1];
    let mut harness = Harness::with_defaults();
    let attempts: Vec<Attempt> = (0..40)
        .map(|index| harness.forward(VIDEO, &format!("/o/{index}")))
        .filter(|attempt| attempt.server == server)
        .collect();
    assert!(
        attempts.len() >= 4,
        "only {} attempts were forwarded to the cache server",
        attempts.len()
    );
    for attempt in &attempts {
        harness.finish(attempt, Outcome::Reset);
    }
    assert!(
        harness.servers_of_objects(60).contains(&server),
        "one reset does not show that the process of the cache server has ended"
    );
}
