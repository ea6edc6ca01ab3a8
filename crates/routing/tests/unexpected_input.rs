//! Unexpected input: unknown ids, unknown names and absurd numbers in events do no harm.

mod support;
use edge_routing::*;
use std::collections::BTreeSet;
use support::*;

const UNKNOWN_REQUEST: RequestId = 999;
const UNKNOWN_SERVER: ServerId = 777;

/// Returns the rejection of a request of an unknown class. It has no Retry-After because the
/// settings of the class are unknown.
fn rejection_without_retry_after(request: RequestId) -> Action {
    Action::Reject {
        request,
        retry_after_us: None,
    }
}

/// Guards against panics and wrong actions from late or duplicate events: their request has its
/// final answer already, or their server has left.
#[test]
fn events_about_unknown_requests_servers_and_timers_are_ignored() {
    let mut harness = Harness::with_defaults();
    let unknown_attempts = [
        attempt_report(
            UNKNOWN_REQUEST,
            0,
            CACHE_SERVERS[0],
            Outcome::Error,
            FillResult::Unknown,
        ),
        attempt_report(
            UNKNOWN_REQUEST,
            3,
            UNKNOWN_SERVER,
            Outcome::Ok,
            FillResult::Unknown,
        ),
    ];
    for report in unknown_attempts {
        assert_eq!(harness.report(report), []);
    }
    assert_eq!(harness.handle(Event::Timer { tag: 12_345 }), []);
    assert_eq!(harness.disconnect(UNKNOWN_REQUEST), []);
    assert_eq!(
        harness.handle(Event::StreamStarted {
            request: UNKNOWN_REQUEST,
            attempt: 0,
        }),
        []
    );
    assert_eq!(
        harness.handle(Event::ProbeEnded {
            server: UNKNOWN_SERVER,
            outcome: Outcome::Ok,
            took_us: 1,
            load: None,
        }),
        []
    );
    assert_eq!(
        harness.handle(endpoint_delta(vec![Endpoint {
            state: EndpointState::Gone,
            ..endpoint(UNKNOWN_SERVER, "nowhere", "thing")
        }])),
        []
    );

    let attempt = harness.forward(VIDEO, "/o/a");
    let unknown_attempt = Attempt {
        number: 5,
        ..attempt
    };
    assert_eq!(harness.finish(&unknown_attempt, Outcome::Error), []);

    let submission = harness.submit("no such class", "/o/a");
    assert_eq!(
        submission.actions,
        [rejection_without_retry_after(submission.request)]
    );
}

/// Guards against a request without a final answer after the proxy and the router received
/// different settings, and against a delta that is ignored because the router does not know its
/// server yet.
#[test]
fn requests_of_unknown_classes_are_rejected_and_changes_of_unknown_servers_are_applied() {
    const GONE: ServerId = 77;
    const NEW: ServerId = 78;
    let mut harness = Harness::with_defaults();
    let submission = harness.submit("no-such-class", "/o/a");
    assert_eq!(
        submission.actions,
        [rejection_without_retry_after(submission.request)]
    );

    harness.handle(endpoint_delta(vec![Endpoint {
        state: EndpointState::Gone,
        ..cache_server(GONE)
    }]));
    harness.handle(endpoint_delta(vec![cache_server(NEW)]));
    let servers: BTreeSet<ServerId> = (0..60)
        .map(|index| harness.forward(PAGE, &format!("/o/{index}")).server)
        .collect();
    assert!(
        !servers.contains(&GONE),
        "the endpoint list says that the server is gone"
    );
    assert!(
        servers.contains(&NEW),
        "the endpoint list says that the server is ready"
    );
    assert!(
        !servers.contains(&REMOTE_CACHE_SERVER),
        "a cache server of another location takes no requests"
    );
}

/// Returns the attempts of 50 requests that are each served as a cache hit with this load report.
fn attempts_with_load_report(load: Option<LoadReport>) -> Vec<Attempt> {
    let mut harness = Harness::with_defaults();
    let mut attempts = Vec::new();
    for index in 0..50 {
        let attempt = harness.forward(VIDEO, &format!("/o/{index}"));
        harness.advance(10 * MILLISECOND_US);
        harness.report(AttemptReport {
            load,
            ..attempt.report(Outcome::Ok, FillResult::Hit)
        });
        attempts.push(attempt);
    }
    attempts
}

/// Guards against NaN, infinite or negative values from a faulty server that distort the choice of
/// a server.
#[test]
fn absurd_load_reports_do_not_change_the_attempts() {
    let without_reports = attempts_with_load_report(None);
    for value in [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e300] {
        let report = LoadReport {
            cpu_utilization: Some(value),
            in_flight: Some(value),
            hit_ratio: Some(value),
            link_utilization: Some(value),
        };
        assert_eq!(
            attempts_with_load_report(Some(report)),
            without_reports,
            "a load report of {value} changed the attempts"
        );
    }
}
