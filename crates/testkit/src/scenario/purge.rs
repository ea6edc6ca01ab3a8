//! Checks a purge by a peer CDN. After the purge's grace period, neither the FastCGI nor the
//! interconnect interface may serve a copy that was created before the purge.

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
/// Time from the acceptance of a purge until no older copy may be served. Matches the
/// `purge-slack-us` of [`sample_settings`](crate::sample_settings), plus the tolerance.
const PURGE_GRACE_MS: u64 = 300 + MEASUREMENT_TOLERANCE_MS;
/// How long responses are checked after the end of the grace period.
const CHECK_AFTER_GRACE_MS: u64 = 600;
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
const REQUEST_BUDGET_MS: u64 = 2500;
/// Pause between the creation of the copy and the purge. It is longer than the resolution of the
/// clock, so that the purge's time is later than that of the copy.
const PAUSE_BEFORE_PURGE: Duration = Duration::from_millis(5);

/// When a purge was sent and accepted, as Unix times in milliseconds.
struct PurgeTimes {
    /// Time of the purge. Copies created earlier are purged.
    purged_at_ms: u64,
    /// Start of the grace period.
    accepted_at_ms: u64,
}

pub(super) fn run(
    deployment: &Deployment,
    report: &mut ScenarioReport,
) -> Result<(), ScenarioError> {
    let first = deployment.fetch_content(OBJECT_KEY)?;
    report.check(Rule::SingleResponse, first.status == 200, || {
        format!("the first fetch was answered with status {}", first.status)
    });
    thread::sleep(PAUSE_BEFORE_PURGE);
    let purge = trigger_purge(deployment, report)?;
    let requests_per_interface = check_responses(deployment, &purge, report)?;
    report.complete_case(format!(
        "purge by a peer CDN: {requests_per_interface} requests on each interface, {} commands received by the cache servers",
        deployment.cache_command_count()
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
        format!(
            "the purge trigger was answered with status {}",
            created.status
        )
    });
    let status_path = created
        .header("location")
        .and_then(interconnect_path)
        .unwrap_or("/");
    let status = deployment.interconnect_request("GET", status_path, "")?;
    let is_complete = serde_json::from_slice::<Value>(&status.body)
        .is_ok_and(|status| status["status"] == "complete");
    report.check(Rule::PurgeAccepted, is_complete, || {
        format!("the status resource {status_path} does not report the purge as complete")
    });
    Ok(PurgeTimes {
        purged_at_ms,
        accepted_at_ms,
    })
}

/// Fetches the object repeatedly through both interfaces, until [`CHECK_AFTER_GRACE_MS`] after the
/// grace period. Returns the number of requests on each interface.
fn check_responses(
    deployment: &Deployment,
    purge: &PurgeTimes,
    report: &mut ScenarioReport,
) -> io::Result<u16> {
    let mut client = FastCgiClient::connect(deployment.proxy.fastcgi_address)?;
    let mut request_id = 0;
    while unix_ms() < purge.accepted_at_ms + PURGE_GRACE_MS + CHECK_AFTER_GRACE_MS {
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
            "the {interface} interface served a purged copy {} ms after the purge, the limit is {PURGE_GRACE_MS} ms",
            sent_at_ms - purge.accepted_at_ms
        )
    });
    report.check(Rule::SingleResponse, !response.has_surplus_bytes, || {
        format!("bytes followed a response of the {interface} interface")
    });
}
