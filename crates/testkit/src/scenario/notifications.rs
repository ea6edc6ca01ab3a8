//! Checks that the proxy notifies its peer CDN of its footprint and of a purge from the event bus.

use super::deployment::Deployment;
use super::{Rule, ScenarioError, ScenarioReport};
use crate::sample_deployment::{PEER_NOTIFICATIONS_PATH, PEER_TRIGGERS_PATH, PROXY_PROVIDER};
use crate::unix_ms;
use serde_json::Value;

const PURGED_OBJECT_KEY: &str = "00000000000000ff";

pub(super) fn run(
    deployment: &Deployment,
    report: &mut ScenarioReport,
) -> Result<(), ScenarioError> {
    deployment
        .event_bus
        .publish_object_purge(PURGED_OBJECT_KEY, unix_ms());
    let (mut footprint_received, mut purge_received) = (false, false);
    while !(footprint_received && purge_received) {
        let Some(notification) = deployment.peer_cdn.next_notification() else {
            break;
        };
        let body: Value = serde_json::from_str(&notification.body)?;
        match notification.target.as_str() {
            PEER_NOTIFICATIONS_PATH => footprint_received |= is_footprint(&body),
            PEER_TRIGGERS_PATH => purge_received |= is_purge(&body),
            _ => {}
        }
    }
    report.check(Rule::PeerNotified, footprint_received, || {
        "the footprint did not reach the peer CDN".to_owned()
    });
    report.check(Rule::PeerNotified, purge_received, || {
        "a purge from the event bus did not reach the peer CDN".to_owned()
    });
    report.complete_case("notifications to the peer CDN: footprint and purge");
    Ok(())
}

fn is_footprint(body: &Value) -> bool {
    let capabilities = body["capabilities"].as_array();
    capabilities.is_some_and(|capabilities| !capabilities.is_empty())
}

fn is_purge(body: &Value) -> bool {
    let urls = body["trigger"]["content.urls"].to_string();
    urls.contains(PURGED_OBJECT_KEY) && body["cdn-path"][0] == PROXY_PROVIDER
}
