//! No request of the whole scenario had more attempts than its limit.

use super::deployment::Deployment;
use super::{Rule, ScenarioReport};
use crate::fake_cache::FakeCacheServer;
use std::collections::BTreeMap;

/// The `try-limit` of [`sample_settings`](crate::sample_settings).
const MAX_ATTEMPTS: u32 = 6;

pub(super) fn check(deployment: &Deployment, report: &mut ScenarioReport) {
    let mut attempts: BTreeMap<String, u32> = BTreeMap::new();
    let servers = deployment.caches.iter().chain([&deployment.origin]);
    for command in servers.flat_map(FakeCacheServer::received) {
        if command.is_fetch() {
            *attempts.entry(command.request_id).or_default() += 1;
        }
    }
    for (request_id, count) in attempts {
        report.check(Rule::AttemptsBounded, count <= MAX_ATTEMPTS, || {
            format!("request {request_id} had {count} attempts")
        });
    }
}
