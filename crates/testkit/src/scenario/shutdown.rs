//! Checks that the proxy answers a pending request after SIGTERM, and then exits successfully.

use super::deployment::Deployment;
use super::{Rule, ScenarioError, ScenarioReport};
use crate::fake_cache::Behavior;
use crate::fastcgi_client::FastCgiClient;
use crate::sample_deployment::READ_CLASS;
use crate::{ReceivedCommand, TEST_TIMEOUT};
use std::thread;
use std::time::{Duration, Instant};

const OBJECT_KEY: &str = "00000000000000e1";
const REQUEST_BUDGET_MS: u64 = 2500;
/// Delay of the cache servers' answers, which is long enough to send SIGTERM while the request is
/// pending.
const ANSWER_DELAY_MS: u64 = 150;
const POLL_INTERVAL: Duration = Duration::from_millis(2);

pub(super) fn run(
    deployment: &mut Deployment,
    report: &mut ScenarioReport,
) -> Result<(), ScenarioError> {
    let mut client = start_request(deployment, report)?;
    deployment.proxy.terminate()?;
    let (_, response) = client.next_response()?;
    report.check(Rule::GracefulShutdown, response.is_some(), || {
        "the pending request was not answered after SIGTERM".to_owned()
    });
    let status = deployment.proxy.wait()?;
    report.check(Rule::GracefulShutdown, status.success(), || {
        format!("the proxy exited with {status} after SIGTERM")
    });
    report.complete_case("graceful shutdown with a pending request");
    Ok(())
}

/// Sends a request and waits until it has reached a cache server, for at most [`TEST_TIMEOUT`].
fn start_request(
    deployment: &Deployment,
    report: &mut ScenarioReport,
) -> Result<FastCgiClient, ScenarioError> {
    let command_count_before = deployment.cache_command_count();
    deployment.set_cache_behavior(Behavior::delayed(ANSWER_DELAY_MS));
    let mut client = FastCgiClient::connect(deployment.proxy.fastcgi_address)?;
    client.request_object(1, READ_CLASS, OBJECT_KEY, REQUEST_BUDGET_MS)?;
    let deadline = Instant::now() + TEST_TIMEOUT;
    while deployment.cache_command_count() == command_count_before && Instant::now() < deadline {
        thread::sleep(POLL_INTERVAL);
    }
    let is_pending_request = |command: &ReceivedCommand| command.object_key() == Some(OBJECT_KEY);
    let has_arrived = deployment.cache_that_received(is_pending_request).is_some();
    report.check(Rule::SingleResponse, has_arrived, || {
        "the request before the shutdown did not reach a cache server".to_owned()
    });
    Ok(client)
}
