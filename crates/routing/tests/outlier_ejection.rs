//! Outlier ejection: which failures eject a server, which server they are attributed to, and how an
//! ejected server comes back.

mod support;
use edge_routing::*;
use support::*;

/// Submits requests until one goes to this server, whose connection then fails; serves the others.
fn fail_connection_to(harness: &mut Harness, server: ServerId) {
    for index in 0..100 {
        let attempt = harness.forward(VIDEO, &format!("/o/{index}"));
        if attempt.server == server {
            harness.finish(&attempt, Outcome::ConnectFailed);
            return;
        }
        harness.finish(&attempt, Outcome::Ok);
    }
    panic!("cache server {server} was never chosen");
}

#[test]
fn an_unreachable_cache_server_returns_in_slow_start() {
    const OBJECTS: usize = 40;
    const LONGEST_FIRST_EJECTION: Micros = 2 * SECOND;
    // 3 x (0.2 + 0.16) x 8 transfers of 0.1 s for a second is what the rule allows.
    const SLOW_START_BUDGET: usize = 86;
    let mut harness = Harness::new(settings_without_direct_requests(), fleet());
    let first = harness.forward(VIDEO, "/o/a");
    let unreachable = first.server;
    harness.finish(&first, Outcome::ConnectFailed);
    assert!(
        !harness.servers_of_objects(OBJECTS).contains(&unreachable),
        "ejected at once"
    );

    harness.advance(LONGEST_FIRST_EJECTION);
    assert!(
        harness.servers_of_objects(OBJECTS).contains(&unreachable),
        "tried again once its ejection has ended"
    );

    harness.advance(2 * SECOND);
    // All at once and unanswered.
    let attempts = (0..400)
        .filter_map(|index| harness.submit(VIDEO, &format!("/o/x{index}")).attempt())
        .filter(|attempt| attempt.server == unreachable)
        .count();
    assert!(
        (1..=SLOW_START_BUDGET).contains(&attempts),
        "{attempts} attempts at a cache server that may have started empty"
    );
}

#[test]
fn ejections_that_would_leave_no_cache_server_are_ignored() {
    const ATTEMPTS_PER_REQUEST: usize = 4;
    let mut harness = Harness::new(settings_without_direct_requests(), fleet());
    for index in 0..60 {
        let submission = harness.submit(VIDEO, &format!("/o/{index}"));
        let Some(first) = submission.attempt() else {
            break;
        };
        harness.advance(2 * MILLISECOND);
        let mut in_flight = Some(first);
        for _ in 0..ATTEMPTS_PER_REQUEST {
            let Some(attempt) = in_flight else { break };
            in_flight = harness.retry(&attempt, Outcome::Error);
        }
    }
    assert!(harness.submit(VIDEO, "/o/last").attempt().is_some());
}

#[test]
fn requests_go_directly_to_a_parent_only_while_every_cache_server_is_ejected() {
    let mut harness = Harness::with_defaults();
    for server in CACHE_SERVERS {
        // While this one is not ejected, requests go to cache servers.
        fail_connection_to(&mut harness, server);
    }
    let direct = harness.forward(VIDEO, "/o/z");
    assert!(PARENTS.contains(&direct.server), "{direct:?}");
    assert_eq!(
        direct.fill.source, ORIGIN,
        "the parent fetches what it lacks"
    );
    assert_eq!(
        direct.fill.retention_rank, 0,
        "no cache server retains a copy"
    );
    assert!(!direct.fill.coalesce);
}

#[test]
fn without_reasons_a_failing_parent_is_ejected_and_its_cache_servers_are_not() {
    let settings = Settings {
        provenance: Provenance::HitOnly,
        ..settings()
    };
    let mut harness = Harness::new(settings, fleet());
    let mut failing_parent = None;
    for index in 0..30 {
        let attempt = harness.forward(VIDEO, &format!("/o/{index}"));
        let failing_parent = *failing_parent.get_or_insert(attempt.fill.source);
        if attempt.fill.source != failing_parent {
            harness.finish_with(&attempt, Outcome::Ok, FillResult::Filled);
            continue;
        }
        let retry = harness.retry(&attempt, Outcome::Error).expect("a retry");
        assert_ne!(
            retry.fill.source, failing_parent,
            "the retry avoids the parent"
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
        .filter(|attempt| Some(attempt.fill.source) == failing_parent)
        .count();
    assert!(
        fills_from_failing_parent <= 1,
        "the parent is ejected but for one probe"
    );
}

#[test]
fn a_half_open_probe_without_a_verdict_is_followed_by_another() {
    const LONGEST_EJECTION: Micros = 10 * SECOND;
    for (probe_outcome, probe_fill_result) in [
        (Outcome::Miss, FillResult::SourceMiss),
        (Outcome::Rejected, FillResult::NoFillSlot),
    ] {
        let mut harness = Harness::new(settings_without_direct_requests(), fleet());
        let first = harness.forward(VIDEO, "/o/a");
        harness.finish(&first, Outcome::ConnectFailed);
        for _ in 0..3 {
            harness.advance(LONGEST_EJECTION);
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
            assert!(was_probed, "{probe_outcome:?}: tried again later");
        }
    }
}

#[test]
fn a_request_that_every_server_fails_is_rejected_and_ejects_none() {
    let mut harness = Harness::with_defaults();
    for index in 0..20 {
        let first = harness.forward(VIDEO, &format!("/o/unknown-{index}"));
        let retry = harness.retry(&first, Outcome::Error).expect("a retry");
        let actions = harness.finish(&retry, Outcome::Error);
        assert!(
            matches!(actions[..], [Action::Reject { .. }]),
            "{actions:?}"
        );
    }
    let servers = harness.servers_of_objects(60);
    for server in CACHE_SERVERS {
        assert!(
            servers.contains(&server),
            "{server} is not among {servers:?}"
        );
    }
}

#[test]
fn a_broken_connection_counts_as_one_failure_however_many_attempts_it_carried() {
    let server = CACHE_SERVERS[1];
    let mut harness = Harness::with_defaults();
    let attempts: Vec<Attempt> = (0..40)
        .map(|index| harness.forward(VIDEO, &format!("/o/{index}")))
        .filter(|attempt| attempt.server == server)
        .collect();
    assert!(attempts.len() >= 4);
    for attempt in &attempts {
        harness.finish(attempt, Outcome::Reset);
    }
    assert!(
        harness.servers_of_objects(60).contains(&server),
        "one broken connection does not show that the process has ended"
    );
}
