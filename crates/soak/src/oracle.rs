//! Checks the record of a run against the rules of the protocol.
//!
//! Verdicts on the arrival of a single attempt, and on the copy that it returned, ignore attempts
//! that passed a disturbed link or came from a proxy whose writes failed. They also ignore attempts
//! that arrived around a time at which this test program was not scheduled in time.

use crate::deployment::{
    class, CACHE_CAPACITY_TRANSFERS, DRAIN_GRACE_MS, INITIAL_CAPACITY_SHARE, OBJECT_SIZE_KB,
    OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_MS, PURGE_GRACE_MS, TRANSFER_KB_PER_S, WARM_UP_MS,
};
use crate::plan::{FaultKind, PlannedFault};
use crate::violation::{Rule, Violation};
use crate::world::{AttemptRecord, RequestRecord, RunState};
use edge_proxy::sys::SystemCall;
use std::collections::HashMap;

/// The delay that sockets and the scheduler of a shared machine may add to every measured time.
const MEASUREMENT_SLACK_MS: u64 = 50 + 150;
/// How long after a cancellation an attempt of the request may still be sent.
const CANCELLED_REQUEST_GRACE_MS: u64 = 100;
/// By how much the time that a server is given may exceed the time that the client has left.
const DEADLINE_SLACK_MS: u64 = 150;
/// A proxy is assumed to know of an event this long after its publication, even if the event was
/// not delivered.
const ASSUMED_DELIVERY_MS: u64 = 4_000;
/// How long after a fault bytes may still arrive that a link or a proxy held back during the fault.
const DELAYED_BYTES_MS: u64 = 1_500;
/// By how much the recorded exit of a process and the end of its connections may differ, in either
/// order.
const EXIT_DETECTION_MS: u64 = 150;
/// Tolerance for comparing the clocks of the run and of the proxies, which are both read in whole
/// milliseconds.
const CLOCK_ROUNDING_MS: u64 = 5;
/// How long after its acknowledgement a purge through the interconnect has to be in effect.
const INTERCONNECT_PURGE_GRACE_MS: u64 = 100;
/// The number of unexplained refusals by one proxy that counts as a violation. Fewer may have a
/// reason of their own.
const MIN_UNEXPLAINED_REFUSALS: usize = 3;

/// The state of a run with its attempts grouped by request.
struct RunIndex<'a> {
    run_state: &'a RunState,
    attempts_by_request: HashMap<&'a str, Vec<&'a AttemptRecord>>,
}

/// Checks a finished run and returns the violations in the order of their times.
pub fn judge(run_state: &RunState) -> Vec<Violation> {
    let mut attempts_by_request: HashMap<&str, Vec<&AttemptRecord>> = HashMap::new();
    for attempt in &run_state.attempts {
        attempts_by_request
            .entry(&attempt.request_id)
            .or_default()
            .push(attempt);
    }
    let index = RunIndex {
        run_state,
        attempts_by_request,
    };
    let mut violations = Vec::new();
    for (id, request) in &run_state.requests {
        index.judge_request(id, request, &mut violations);
    }
    index.judge_slow_start(&mut violations);
    index.judge_recovery(&mut violations);
    violations.sort_by_key(|violation| violation.at_ms);
    violations
}

impl RunIndex<'_> {
    fn judge_request(&self, id: &str, request: &RequestRecord, violations: &mut Vec<Violation>) {
        let no_attempts = Vec::new();
        let attempts = self.attempts_by_request.get(id).unwrap_or(&no_attempts);
        let mut report = |rule, at_ms, detail: String| {
            violations.push(Violation {
                rule,
                at_ms,
                proxy: Some(request.proxy),
                request: Some(id.to_owned()),
                detail,
            });
        };
        if let Some(detail) = self.missing_answer(request) {
            report(Rule::FinalAnswer, request.sent_ms, detail);
        }
        let executions = attempts
            .iter()
            .filter(|attempt| attempt.was_started)
            .count();
        if request.class == class::NON_IDEMPOTENT {
            if executions > 1 {
                report(
                    Rule::RunOnce,
                    request.sent_ms,
                    format!(
                        "a request that must not be executed twice was executed {executions} times"
                    ),
                );
            }
            let is_rejected = matches!(request.answer, Some((429 | 503, _)));
            if is_rejected && executions > 0 {
                let detail =
                    "the request was rejected although it may have been executed".to_owned();
                report(Rule::HonestRejection, request.sent_ms, detail);
            }
        }
        for attempt in attempts {
            if self.may_be_delayed(request.proxy, attempt) {
                continue;
            }
            self.judge_attempt(request, attempt, &mut report);
        }
        let last_attempt = attempts
            .last()
            .filter(|last| !self.may_be_delayed(request.proxy, last));
        if let (Some(created_unix_ms), Some(last_attempt)) =
            (request.copy_created_unix_ms, last_attempt)
        {
            self.judge_copy(request, created_unix_ms, last_attempt, &mut report);
        }
    }

    /// Describes how a request was left without an answer. Returns `None` if it was not, or if the
    /// exit of its proxy's process explains it.
    fn missing_answer(&self, request: &RequestRecord) -> Option<String> {
        let until_ms = match request.connection_closed_ms {
            Some(connection_closed_ms) => connection_closed_ms + EXIT_DETECTION_MS,
            None if request.timed_out => u64::MAX,
            None => return None,
        };
        let explains_missing_answer = |(proxy, at_ms): &(usize, u64)| {
            *proxy == request.proxy
                && (request.sent_ms.saturating_sub(EXIT_DETECTION_MS)..=until_ms).contains(at_ms)
        };
        if self
            .run_state
            .abrupt_exits
            .iter()
            .any(explains_missing_answer)
        {
            return None;
        }
        Some(match request.connection_closed_ms {
            Some(connection_closed_ms) => format!(
                "request of class {}: the connection was closed without an answer {} ms after \
                 the request was sent",
                request.class,
                connection_closed_ms - request.sent_ms
            ),
            None => format!(
                "request of class {}: no answer before the client stopped waiting",
                request.class
            ),
        })
    }

    fn judge_attempt(
        &self,
        request: &RequestRecord,
        attempt: &AttemptRecord,
        report: &mut impl FnMut(Rule, u64, String),
    ) {
        let at_ms = attempt.arrived_ms;
        if let Some(cancelled_ms) = request.cancelled_ms {
            if at_ms > cancelled_ms + CANCELLED_REQUEST_GRACE_MS + MEASUREMENT_SLACK_MS {
                let detail = format!(
                    "an attempt arrived {} ms after the client had cancelled the request",
                    at_ms - cancelled_ms
                );
                report(Rule::ClientLeft, at_ms, detail);
            }
        }
        let time_left_ms = (request.sent_ms + request.budget_ms).saturating_sub(at_ms);
        if attempt.wait_ms > time_left_ms + DEADLINE_SLACK_MS + MEASUREMENT_SLACK_MS {
            let detail = format!(
                "an attempt carries wait={}, but its client has {time_left_ms} ms left",
                attempt.wait_ms
            );
            report(Rule::ClientTime, at_ms, detail);
        }
        for (index, server) in self.run_state.servers.iter().enumerate() {
            let Some((drained_ms, event_number)) = server.drained else {
                continue;
            };
            let is_fill_source = attempt.fill_source.as_deref() == Some(server.uid.as_str());
            if attempt.server_index != index && !is_fill_source {
                continue;
            }
            let delivery_ms = self.delivery_ms(request.proxy, event_number, drained_ms);
            if at_ms > delivery_ms + DRAIN_GRACE_MS + MEASUREMENT_SLACK_MS {
                let detail = format!(
                    "an attempt used server {} {} ms after the proxy had learned that the \
                     server drains",
                    server.uid,
                    at_ms - delivery_ms
                );
                report(Rule::Drain, at_ms, detail);
            }
        }
    }

    fn judge_copy(
        &self,
        request: &RequestRecord,
        created_unix_ms: u64,
        last_attempt: &AttemptRecord,
        report: &mut impl FnMut(Rule, u64, String),
    ) {
        for purge in &self.run_state.purges {
            let is_purge_target = match purge.object {
                Some(object) => object == request.object,
                None => purge.purge_group == request.purge_group,
            };
            let delivery_ms =
                self.delivery_ms(request.proxy, purge.event_number, purge.published_ms);
            let is_grace_over =
                last_attempt.arrived_ms > delivery_ms + PURGE_GRACE_MS + MEASUREMENT_SLACK_MS;
            if is_purge_target
                && created_unix_ms + CLOCK_ROUNDING_MS < purge.purged_unix_ms
                && is_grace_over
            {
                let detail = format!(
                    "the answer comes from a copy created {} ms before a purge; its attempt \
                     arrived {} ms after the purge had reached the proxy",
                    purge.purged_unix_ms - created_unix_ms,
                    last_attempt.arrived_ms - delivery_ms
                );
                report(Rule::NoPurgedCopy, last_attempt.arrived_ms, detail);
            }
        }
        for purge in &self.run_state.interconnect_purges {
            let is_in_effect =
                last_attempt.arrived_ms > purge.acknowledged_ms + INTERCONNECT_PURGE_GRACE_MS;
            let is_purge_target = purge.proxy == request.proxy && purge.object == request.object;
            if is_purge_target
                && is_in_effect
                && created_unix_ms + CLOCK_ROUNDING_MS < purge.sent_unix_ms
            {
                let detail = format!(
                    "the answer comes from a copy created {} ms before a purge that the proxy \
                     had accepted",
                    purge.sent_unix_ms - created_unix_ms
                );
                report(Rule::KeptPurge, last_attempt.arrived_ms, detail);
            }
        }
    }

    /// Returns from when on a proxy is considered to know of an event, in milliseconds of the run.
    /// This is when the bus wrote the event to the proxy or the proxy read it from its
    /// configuration, but no later than [`ASSUMED_DELIVERY_MS`] after publication.
    fn delivery_ms(&self, proxy: usize, event_number: usize, published_ms: u64) -> u64 {
        let latest_ms = published_ms + ASSUMED_DELIVERY_MS;
        let delivery_ms = self.run_state.delivery_ms(proxy, event_number);
        delivery_ms.map_or(latest_ms, |delivery_ms| delivery_ms.min(latest_ms))
    }

    /// Returns whether an attempt may have been held back between the proxy and the server.
    fn may_be_delayed(&self, proxy: usize, attempt: &AttemptRecord) -> bool {
        let address_index = self.run_state.servers[attempt.server_index].address_index;
        let is_active_at_arrival = |fault: &PlannedFault| {
            fault.from_ms <= attempt.arrived_ms
                && attempt.arrived_ms <= fault.until_ms + DELAYED_BYTES_MS
        };
        let delays_attempt = |fault: &PlannedFault| match fault.kind {
            FaultKind::LinkStalled { cache }
            | FaultKind::LinkFragmented { cache }
            | FaultKind::LinkResets { cache }
            | FaultKind::CacheCrash { cache } => cache + 1 == address_index,
            FaultKind::SystemCallFault {
                proxy: faulty_proxy,
                call,
                ..
            } => faulty_proxy == proxy && call == SystemCall::Write,
            _ => false,
        };
        let mut faults = self.run_state.plan.faults.iter();
        self.run_state
            .was_harness_stalled(attempt.arrived_ms, attempt.arrived_ms)
            || faults.any(|fault| is_active_at_arrival(fault) && delays_attempt(fault))
    }

    /// Checks that no server that has just started gets more requests than it can process in a
    /// window. Only overload that comes for the most part from proxies that knew of the start
    /// counts.
    fn judge_slow_start(&self, violations: &mut Vec<Violation>) {
        for (index, server) in self.run_state.servers.iter().enumerate() {
            let Some((started_ms, event_number)) = server.started else {
                continue;
            };
            let server_calls: Vec<ServerCall> = self
                .run_state
                .attempts
                .iter()
                .filter(|attempt| attempt.server_index == index && attempt.arrived_ms >= started_ms)
                .map(|attempt| ServerCall {
                    arrived_ms: attempt.arrived_ms,
                    proxy_knew_start: self.knew_of_start(attempt, event_number, started_ms),
                })
                .collect();
            if let Some((at_ms, detail)) = find_overload(&server_calls, started_ms) {
                violations.push(Violation {
                    rule: Rule::SlowStart,
                    at_ms,
                    proxy: None,
                    request: None,
                    detail: format!("server {}: {detail}", server.uid),
                });
            }
        }
    }

    fn knew_of_start(&self, attempt: &AttemptRecord, event_number: usize, started_ms: u64) -> bool {
        let request = self.run_state.requests.get(&attempt.request_id);
        request.is_some_and(|request| {
            self.delivery_ms(request.proxy, event_number, started_ms) <= attempt.arrived_ms
        })
    }

    /// Checks that proxies refuse no requests once the faults that could explain it have passed.
    fn judge_recovery(&self, violations: &mut Vec<Violation>) {
        let mut unexplained: HashMap<usize, Vec<(&String, &RequestRecord)>> = HashMap::new();
        for (id, request) in &self.run_state.requests {
            let is_refused = request.answer.is_some_and(|(status, _)| status != 200);
            let has_ample_budget = request.budget_ms >= 800 && request.class == class::READ;
            if is_refused && has_ample_budget && !self.is_refusal_explained(request) {
                unexplained
                    .entry(request.proxy)
                    .or_default()
                    .push((id, request));
            }
        }
        for (proxy, mut requests) in unexplained {
            if requests.len() < MIN_UNEXPLAINED_REFUSALS {
                continue;
            }
            requests.sort_by_key(|(_, request)| request.sent_ms);
            let (id, first_request) = requests[0];
            violations.push(Violation {
                rule: Rule::Recovery,
                at_ms: first_request.sent_ms,
                proxy: Some(proxy),
                request: Some(id.clone()),
                detail: format!(
                    "{} requests were not served although no fault explains it",
                    requests.len()
                ),
            });
        }
    }

    /// Returns whether a fault explains that a request was not served: a fault of its proxy at that
    /// time, or a fault of the servers, which the proxies remember for seconds.
    fn is_refusal_explained(&self, request: &RequestRecord) -> bool {
        let until_ms = request.sent_ms + request.budget_ms;
        let explains_refusal = |fault: &PlannedFault| {
            let aftermath_ms = match fault.kind {
                // A wrong clock does not justify refusing requests.
                FaultKind::ClockStep { .. } => return false,
                FaultKind::SystemCallFault { .. } => 300,
                FaultKind::Reload { .. }
                | FaultKind::MisbehavingClients { .. }
                | FaultKind::ClientsCancel { .. } => 500,
                FaultKind::Restart { .. } | FaultKind::Kill { .. } => 800,
                FaultKind::BusDown | FaultKind::BusSilent | FaultKind::BusSlow { .. } => 0,
                _ => 60_000,
            };
            let is_on_this_proxy = fault
                .kind
                .proxy()
                .is_none_or(|proxy| proxy == request.proxy);
            is_on_this_proxy
                && fault.from_ms <= until_ms
                && request.sent_ms <= fault.until_ms + aftermath_ms
        };
        self.run_state
            .was_harness_stalled(request.sent_ms, until_ms)
            || self.run_state.plan.faults.iter().any(explains_refusal)
    }
}

/// A request that arrived at a server that had just started.
struct ServerCall {
    arrived_ms: u64,
    /// Whether the proxy that sent the request knew of the start.
    proxy_knew_start: bool,
}

/// Returns the beginning and a description of the first window in which a server that started at
/// `started_ms` got too many requests. More than two thirds of them have to come from proxies that
/// knew of the start.
fn find_overload(server_calls: &[ServerCall], started_ms: u64) -> Option<(u64, String)> {
    let transfer_s = OBJECT_SIZE_KB / TRANSFER_KB_PER_S;
    let window_s = OVERLOAD_WINDOW_MS as f64 / 1e3;
    server_calls.iter().enumerate().find_map(|(first, call)| {
        let from_ms = call.arrived_ms;
        let warm_up_progress = (from_ms - started_ms) as f64 / WARM_UP_MS as f64;
        let share =
            (INITIAL_CAPACITY_SHARE + (1.0 - INITIAL_CAPACITY_SHARE) * warm_up_progress).min(1.0);
        let allowed = OVERLOAD_MULTIPLE * share * CACHE_CAPACITY_TRANSFERS * window_s / transfer_s;
        let tolerance = if allowed < 30.0 { 3.0 } else { 2.0 };
        let limit = allowed + tolerance * allowed.sqrt() + tolerance;
        let in_window = server_calls[first..]
            .iter()
            .take_while(|call| call.arrived_ms < from_ms + OVERLOAD_WINDOW_MS);
        let (count, informed) = in_window.fold((0, 0), |(count, informed), call| {
            (count + 1, informed + u64::from(call.proxy_knew_start))
        });
        let is_caused_by_informed_proxies = informed * 3 > count * 2;
        let is_overloaded = count as f64 > limit && is_caused_by_informed_proxies;
        let detail = format!(
            "{count} requests within {OVERLOAD_WINDOW_MS} ms, {informed} of \
             them by proxies that knew of the start; the limit is {limit:.0}"
        );
        is_overloaded.then_some((from_ms, detail))
    })
}
