//! A peer CDN purges an object. After the purge's grace period, neither interface serves an older
//! copy.

use super::deployment::Deployment;
use super::{Rule, ScenarioError, ScenarioReport, MEASUREMENT_TOLERANCE_MS};
use crate::fastcgi_client::FastCgiClient;
use crate::sample_deployment::{interconnect_path, purge_trigger, READ_CLASS};
use crate::{unix_ms, Response};
use serde_json::Value;
use std::io;
use std::thread;
use std::time::Duration;

/// The purged object.
const OBJECT_KEY: &str = "00000000000000a1";
/// Time from the acceptance of a purge until no older copy may be served.
const PURGE_GRACE_MS: u64 = 300 + MEASUREMENT_TOLERANCE_MS;
/// How long after the grace period responses are watched.
const WATCH_AFTER_GRACE_MS: u64 = 600;
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
const REQUEST_BUDGET_MS: u64 = 2500;
/// More than the step of the clock: by this the purge lies behind the copy.
const CLOCK_STEP: Duration = Duration::from_millis(5);

/// When a purge was sent and accepted, in Unix milliseconds.
struct PurgeTimes {
    /// Copies created before this are purged.
    purged_at_ms: u64,
    /// The grace period begins here.
    accepted_at_ms: u64,
}

pub(super) fn run(
    deployment: &Deployment,
    report: &mut ScenarioReport,
) -> Result<(), ScenarioError> {
    let first = deployment.fetch_content(OBJECT_KEY)?;
    report.check(Rule::SingleResponse, first.status == 200, || {
        format!("the first fetch was answered with {}", first.status)
    });
    thread::sleep(CLOCK_STEP);
    let purge = trigger_purge(deployment, report)?;
    let requests_per_interface = watch_responses(deployment, &purge, report)?;
    report.complete_case(format!(
        "purge by a peer CDN: {requests_per_interface} requests on each interface, {} commands at the caches",
        deployment.commands_at_caches()
    ));
    Ok(())
}

fn trigger_purge(
    deployment: &Deployment,
    report: &mut ScenarioReport,
) -> Result<PurgeTimes, ScenarioError> {
    let purged_at_ms = unix_ms();
    let trigger = purge_trigger(OBJECT_KEY).to_string();
    let created = deployment.interconnect_request("POST", "/cdni/triggers", &trigger)?;
    let accepted_at_ms = unix_ms();
    report.check(Rule::PurgeAccepted, created.status == 201, || {
        format!("the purge was answered with {}", created.status)
    });
    let status_path = created
        .header("location")
        .and_then(interconnect_path)
        .unwrap_or("/");
    let status = deployment.interconnect_request("GET", status_path, "")?;
    let is_complete = serde_json::from_slice::<Value>(&status.body)
        .is_ok_and(|status| status["status"] == "complete");
    report.check(Rule::PurgeAccepted, is_complete, || {
        format!("the status resource {status_path} does not say that the purge is complete")
    });
    Ok(PurgeTimes {
        purged_at_ms,
        accepted_at_ms,
    })
}

/// Fetches the object by both interfaces until some time after the grace period. Returns how often.
fn watch_responses(
    deployment: &Deployment,
    purge: &PurgeTimes,
    report: &mut ScenarioReport,
) -> io::Result<u16> {
    let mut client = FastCgiClient::connect(deployment.proxy.fastcgi_address)?;
    let mut request_id = 0;
    while unix_ms() < purge.accepted_at_ms + PURGE_GRACE_MS + WATCH_AFTER_GRACE_MS {
        let sent_at_ms = unix_ms();
        request_id += 1;
        client.request_object(request_id, READ_CLASS, OBJECT_KEY, REQUEST_BUDGET_MS)?;
        if let (_, Some(response)) = client.next_response()? {
            check_response("FastCGI", &response, sent_at_ms, purge, report);
        }
        let response = deployment.fetch_content(OBJECT_KEY)?;
        check_response("interconnect", &response, sent_at_ms, purge, report);
        thread::sleep(REQUEST_INTERVAL);
    }
    Ok(request_id)
}

fn check_response(
    interface: &str,
    response: &Response,
    sent_at_ms: u64,
    purge: &PurgeTimes,
    report: &mut ScenarioReport,
) {
    let is_purged_copy = response
        .copy_created_at_ms()
        .is_some_and(|created_at_ms| created_at_ms < purge.purged_at_ms);
    let is_after_grace = sent_at_ms > purge.accepted_at_ms + PURGE_GRACE_MS;
    let is_stale = is_after_grace && is_purged_copy;
    report.check(Rule::PurgeTakesEffect, !is_stale, || {
        format!(
            "the {interface} interface served a purged copy {} ms after the purge",
            sent_at_ms - purge.accepted_at_ms
        )
    });
    report.check(Rule::SingleResponse, !response.has_surplus_bytes, || {
        format!("bytes followed a response of the {interface} interface")
    });
}
