//! Checks that no request of the whole scenario had more attempts than the limit.

use super::deployment::Deployment;
use super::{Rule, ScenarioReport};
use crate::fake_cache::FakeCacheServer;
use std::collections::BTreeMap;

/// The `try-limit` of [`sample_settings`](crate::sample_settings).
const MAX_ATTEMPTS: u32 = 6;

pub(super) fn check(deployment: &Deployment, report: &mut ScenarioReport) {
    let mut attempt_counts: BTreeMap<String, u32> = BTreeMap::new();
    let servers = deployment.caches.iter().chain([&deployment.origin]);
    for command in servers.flat_map(FakeCacheServer::received) {
        if command.is_fetch() {
            *attempt_counts.entry(command.request_id).or_default() += 1;
        }
    }
    for (request_id, count) in attempt_counts {
        report.check(Rule::AttemptsBounded, count <= MAX_ATTEMPTS, || {
            format!("request {request_id} had {count} attempts, the limit is {MAX_ATTEMPTS}")
        });
    }
}
