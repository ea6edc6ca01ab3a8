//! Checks a drain of a cache server while redirected requests wait for its answers. Each of these
//! requests must get exactly one response, and the server must receive no new request after the
//! drain's grace period.

use super::deployment::Deployment;
use super::{InjectedFault, Rule, ScenarioError, ScenarioReport, MEASUREMENT_TOLERANCE_MS};
use crate::fake_cache::{Behavior, FakeCacheServer};
use crate::fake_event_bus::{cache_entry, endpoint_state};
use crate::sample_deployment::{content_url, interconnect_path, object_key, redirection_request};
use crate::{http_client, unix_ms, ReceivedCommand, Response, TEST_TIMEOUT};
use serde_json::Value;
use std::io;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time after the publication of a drain from which the server must receive no new request. It is
/// the `drain-grace-us` of [`sample_settings`](crate::sample_settings) plus the tolerance of the
/// measurement.
const DRAIN_GRACE_WITH_TOLERANCE_MS: u64 = 1000 + MEASUREMENT_TOLERANCE_MS;
/// Additional wait after the grace period, so that the next requests are clearly sent after its
/// end.
const GRACE_MARGIN_MS: u64 = 10;
const REDIRECTED_REQUEST_COUNT: u64 = 12;
const REQUEST_COUNT_AFTER_DRAIN: u64 = 2 * REDIRECTED_REQUEST_COUNT;
/// Number of the first object that redirected requests fetch. The number determines the key.
const FIRST_REDIRECTED_OBJECT: u64 = 0xb000;
/// Number of the first object that is requested after the drain.
const FIRST_OBJECT_AFTER_DRAIN: u64 = 0xc000;
/// Delay of the cache servers' answers, which is long enough to publish the drain while requests
/// wait.
const ANSWER_DELAY_MS: u64 = 150;
/// Address of the client in the redirection requests.
const CLIENT_IP: &str = "127.0.0.9";
/// Interval at which the cache servers are checked for a redirected request.
const ARRIVAL_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Interval at which the end of the grace period is checked.
const GRACE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The thread of a client that follows a redirection. It returns the number of the request and the
/// result.
type RedirectedClient = JoinHandle<(u64, io::Result<Response>)>;

/// Runs the scenario's drain check and records the results in the report. Returns an error if the
/// check cannot be completed.
pub(super) fn run(
    deployment: &Deployment,
    fault: Option<InjectedFault>,
    report: &mut ScenarioReport,
) -> Result<(), ScenarioError> {
    deployment.set_cache_behavior(Behavior::delayed(ANSWER_DELAY_MS));
    let clients = start_redirected_clients(deployment, report)?;
    let draining_cache = wait_for_redirected_request(deployment)?;
    // The injected fault lets the proxy send requests after the drain, which the check must detect.
    if fault != Some(InjectedFault::UnannouncedDrain) {
        let entry = cache_entry(draining_cache, endpoint_state::DRAINING);
        deployment.event_bus.publish_endpoint_changes(vec![entry]);
    }
    let drain_published_at_ms = unix_ms();
    for client in clients {
        let (number, response) = client.join().map_err(|_| ScenarioError::ClientPanicked)?;
        check_redirected_response(number, response, report);
    }
    deployment.set_cache_behavior(Behavior::default());
    while unix_ms() < drain_published_at_ms + DRAIN_GRACE_WITH_TOLERANCE_MS + GRACE_MARGIN_MS {
        thread::sleep(GRACE_POLL_INTERVAL);
    }
    send_requests_after_drain(deployment, report)?;
    check_no_fetch_after_grace(draining_cache, drain_published_at_ms, report);
    report.complete_case(format!(
        "drain: {REDIRECTED_REQUEST_COUNT} redirected requests during the drain, {REQUEST_COUNT_AFTER_DRAIN} requests after it"
    ));
    Ok(())
}

/// Requests redirections, and starts a thread for each that follows it.
fn start_redirected_clients(
    deployment: &Deployment,
    report: &mut ScenarioReport,
) -> Result<Vec<RedirectedClient>, ScenarioError> {
    let mut clients = Vec::new();
    for number in 0..REDIRECTED_REQUEST_COUNT {
        let url = content_url(&object_key(FIRST_REDIRECTED_OBJECT + number));
        let request = redirection_request(CLIENT_IP, &format!("{url}/0?kb=40"));
        let response =
            deployment.interconnect_request("POST", "/cdni/redirect", &request.to_string())?;
        let redirection: Value = serde_json::from_slice(&response.body)?;
        let location = redirection["http"]["sc-(location)"]
            .as_str()
            .and_then(interconnect_path);
        let Some(target) = location.map(str::to_owned) else {
            report.check(Rule::Redirected, false, || {
                format!(
                    "redirection request {number} was answered without a location on the interconnect: {redirection}"
                )
            });
            continue;
        };
        let proxy = deployment.interconnect_address;
        clients.push(thread::spawn(move || {
            (number, http_client::request(proxy, "GET", &target, ""))
        }));
    }
    Ok(clients)
}

/// Waits until a redirected request has reached a cache server, and returns that server. Returns an
/// error if none does within [`TEST_TIMEOUT`].
fn wait_for_redirected_request(deployment: &Deployment) -> Result<&FakeCacheServer, ScenarioError> {
    let redirected_keys: Vec<_> = (0..REDIRECTED_REQUEST_COUNT)
        .map(|number| object_key(FIRST_REDIRECTED_OBJECT + number))
        .collect();
    let is_redirected = |command: &ReceivedCommand| {
        let key = command.object_key();
        key.is_some_and(|key| redirected_keys.iter().any(|redirected| redirected == key))
    };
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Some(cache) = deployment.cache_that_received(is_redirected) {
            return Ok(cache);
        }
        if Instant::now() > deadline {
            return Err(ScenarioError::NoRedirectedRequest);
        }
        thread::sleep(ARRIVAL_POLL_INTERVAL);
    }
}

fn check_redirected_response(
    number: u64,
    response: io::Result<Response>,
    report: &mut ScenarioReport,
) {
    match response {
        Err(error) => report.check(Rule::SingleResponse, false, || {
            format!("redirected request {number} got no response: {error}")
        }),
        Ok(response) => {
            let is_final = matches!(response.status, 200 | 502 | 503 | 504);
            let is_single_response = is_final && !response.has_surplus_bytes;
            report.check(Rule::SingleResponse, is_single_response, || {
                format!(
                    "redirected request {number} got status {}; surplus bytes after the response: {}",
                    response.status, response.has_surplus_bytes
                )
            });
        }
    }
}

fn send_requests_after_drain(
    deployment: &Deployment,
    report: &mut ScenarioReport,
) -> io::Result<()> {
    for number in 0..REQUEST_COUNT_AFTER_DRAIN {
        let response = deployment.fetch_content(&object_key(FIRST_OBJECT_AFTER_DRAIN + number))?;
        report.check(Rule::SingleResponse, !response.has_surplus_bytes, || {
            format!("bytes followed the response to request {number} after the drain")
        });
    }
    Ok(())
}

fn check_no_fetch_after_grace(
    draining_cache: &FakeCacheServer,
    drain_published_at_ms: u64,
    report: &mut ScenarioReport,
) {
    for command in draining_cache.received() {
        let is_late =
            command.received_at_ms > drain_published_at_ms + DRAIN_GRACE_WITH_TOLERANCE_MS;
        report.check(
            Rule::DrainTakesEffect,
            !(command.is_fetch() && is_late),
            || {
                format!(
                    "request {} reached draining server {} {} ms after the drain, the limit is {DRAIN_GRACE_WITH_TOLERANCE_MS} ms",
                    command.request_id,
                    draining_cache.id,
                    command.received_at_ms - drain_published_at_ms
                )
            },
        );
    }
}
