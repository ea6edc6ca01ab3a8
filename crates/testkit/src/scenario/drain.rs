//! A cache server drains while redirected requests wait for it. Each of them gets exactly one
//! response, and after the drain's grace period the server gets no new request.

use super::deployment::Deployment;
use super::{InjectedFault, Rule, ScenarioError, ScenarioReport, MEASUREMENT_TOLERANCE_MS};
use crate::fake_cache::{Behavior, FakeCacheServer};
use crate::fake_event_bus::{cache_entry, server_state};
use crate::sample_deployment::{content_url, interconnect_path, object_key, redirection_request};
use crate::{http_client, unix_ms, ReceivedCommand, Response, TEST_TIMEOUT};
use serde_json::Value;
use std::io;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time from the publication of a drain until the server may get no new request.
const DRAIN_GRACE_MS: u64 = 1000 + MEASUREMENT_TOLERANCE_MS;
/// By this, requests sent after the grace period lie behind it.
const AFTER_GRACE_MS: u64 = 10;
const REDIRECTED_REQUESTS: u64 = 12;
const REQUESTS_AFTER_DRAIN: u64 = 2 * REDIRECTED_REQUESTS;
/// Number of the first redirected object.
const REDIRECTED_OBJECTS: u64 = 0xb000;
/// Number of the first object requested after the drain.
const OBJECTS_AFTER_DRAIN: u64 = 0xc000;
/// Long enough for the drain to come while requests wait.
const RESPONSE_DELAY_MS: u64 = 150;
const CLIENT_IP: &str = "127.0.0.9";
const POLL_INTERVAL: Duration = Duration::from_millis(2);
const GRACE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A client that follows a redirection, by the number of its request.
type RedirectedClient = JoinHandle<(u64, io::Result<Response>)>;

pub(super) fn run(
    deployment: &Deployment,
    fault: Option<InjectedFault>,
    report: &mut ScenarioReport,
) -> Result<(), ScenarioError> {
    deployment.set_cache_behavior(Behavior::delayed(RESPONSE_DELAY_MS));
    let clients = start_redirected_clients(deployment, report)?;
    let draining = wait_for_redirected_request(deployment)?;
    if fault != Some(InjectedFault::UnannouncedDrain) {
        let entry = cache_entry(draining, server_state::DRAINING);
        deployment.event_bus.publish_server_changes(vec![entry]);
    }
    let drained_at_ms = unix_ms();
    for client in clients {
        let (number, response) = client.join().map_err(|_| ScenarioError::ClientPanicked)?;
        check_redirected_response(number, response, report);
    }
    deployment.set_cache_behavior(Behavior::default());
    while unix_ms() < drained_at_ms + DRAIN_GRACE_MS + AFTER_GRACE_MS {
        thread::sleep(GRACE_POLL_INTERVAL);
    }
    request_after_drain(deployment, report)?;
    check_no_fetch_after_grace(draining, drained_at_ms, report);
    report.complete_case(format!(
        "drain: {REDIRECTED_REQUESTS} redirected requests during it, {REQUESTS_AFTER_DRAIN} requests after it"
    ));
    Ok(())
}

/// Asks for redirections, and has a client follow each of them on a thread of its own.
fn start_redirected_clients(
    deployment: &Deployment,
    report: &mut ScenarioReport,
) -> Result<Vec<RedirectedClient>, ScenarioError> {
    let mut clients = Vec::new();
    for number in 0..REDIRECTED_REQUESTS {
        let url = content_url(&object_key(REDIRECTED_OBJECTS + number));
        let request = redirection_request(CLIENT_IP, &format!("{url}/0?kb=40"));
        let response =
            deployment.interconnect_request("POST", "/cdni/redirect", &request.to_string())?;
        let redirection: Value = serde_json::from_slice(&response.body)?;
        let location = redirection["http"]["sc-(location)"]
            .as_str()
            .and_then(interconnect_path);
        let Some(target) = location.map(str::to_owned) else {
            report.check(Rule::Redirected, false, || {
                format!("expected a redirection, got {redirection}")
            });
            continue;
        };
        let proxy = deployment.proxy.interconnect_address;
        clients.push(thread::spawn(move || {
            (number, http_client::request(proxy, "GET", &target, ""))
        }));
    }
    Ok(clients)
}

/// Waits until a redirected request has reached a cache server, and returns the server.
fn wait_for_redirected_request(deployment: &Deployment) -> Result<&FakeCacheServer, ScenarioError> {
    let redirected_keys: Vec<_> = (0..REDIRECTED_REQUESTS)
        .map(|number| object_key(REDIRECTED_OBJECTS + number))
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
        thread::sleep(POLL_INTERVAL);
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
            let kept = is_final && !response.has_surplus_bytes;
            report.check(Rule::SingleResponse, kept, || {
                format!(
                    "redirected request {number} got {}, with bytes behind it: {}",
                    response.status, response.has_surplus_bytes
                )
            });
        }
    }
}

fn request_after_drain(deployment: &Deployment, report: &mut ScenarioReport) -> io::Result<()> {
    for number in 0..REQUESTS_AFTER_DRAIN {
        let response = deployment.fetch_content(&object_key(OBJECTS_AFTER_DRAIN + number))?;
        report.check(Rule::SingleResponse, !response.has_surplus_bytes, || {
            format!("bytes followed the response to request {number} after the drain")
        });
    }
    Ok(())
}

fn check_no_fetch_after_grace(
    draining: &FakeCacheServer,
    drained_at_ms: u64,
    report: &mut ScenarioReport,
) {
    for command in draining.received() {
        let is_late = command.received_at_ms > drained_at_ms + DRAIN_GRACE_MS;
        report.check(
            Rule::DrainTakesEffect,
            !(command.is_fetch() && is_late),
            || {
                format!(
                    "request {} reached {} {} ms after the drain",
                    command.request_id,
                    draining.id,
                    command.received_at_ms - drained_at_ms
                )
            },
        );
    }
}
