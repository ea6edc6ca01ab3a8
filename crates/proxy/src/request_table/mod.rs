//! Pending requests, their attempts, and the single final answer that each request gets.
//!
//! The table performs no I/O. The event loop calls the methods of [`RequestTable`] to report events
//! from frontends, upstream connections, discovery and timers. The table passes these events to the
//! router and queues [`Command`]s, which the event loop carries out. Upstream connections look up
//! the requests that they send. The table knows no wire format: frontends and upstream connections
//! translate between their protocols and the types of this module.
//!
//! All points in time are in microseconds of the event loop's clock. Methods receive the current
//! time as `now`.

mod admission;
mod attempt;
mod command;
mod counters;
mod guard;
mod log_rate;
mod pending_requests;
mod purges;
mod request;
mod router_actions;
mod servers;
mod settlement;
#[cfg(test)]
mod tests;
mod trace;

pub use self::admission::AdmissionError;
pub use self::attempt::{AttemptId, AttemptResult, AttemptSpec};
pub use self::command::{Command, RequestTimer};
pub use self::counters::RequestCounters;
pub use self::log_rate::{LogRateLimiter, SuppressedLines};
pub use self::purges::PurgeTarget;
pub use self::request::{Answer, AnswerTarget, ClientRequest, Content, RequestKey};
pub use self::servers::{server_id, ListedServer, ServerAddress};
pub use self::trace::{AttemptTrace, RequestEnding, RequestTrace};

use self::guard::ClassRules;
use self::pending_requests::PendingRequests;
use self::purges::{PermanentPurges, Purge};
use self::request::PendingRequest;
use self::servers::ServerDirectory;
use self::trace::TraceLog;
use crate::discovery::reference_time::ReferenceTime;
use crate::invariants::InvariantMonitor;
use crate::limits::Limits;
use edge_routing::{
    Action, EndpointListMode, Event, LoadReport, Micros, Outcome, Router, ServerId, Settings,
    SettingsError,
};

/// Holds the pending requests, the servers that their attempts are sent to, and the router that
/// makes the decisions about both.
///
/// Invariants:
/// - An admitted request gets exactly one final answer, as one [`Command::SendAnswer`], at its
///   deadline at the latest. If its client disconnects before that, the request gets no answer.
/// - A request has at most one attempt in flight.
/// - Reports about attempts, timers and requests that have already ended change nothing.
pub struct RequestTable {
    router: Router,
    /// Reused for every event to avoid allocations. The buffer is empty between events.
    action_buffer: Vec<Action>,
    requests: PendingRequests,
    class_rules: ClassRules,
    deadline_timing: DeadlineTiming,
    servers: ServerDirectory,
    permanent_purges: PermanentPurges,
    reference_time: ReferenceTime,
    trace_log: TraceLog,
    commands: Vec<Command>,
    /// Counts of requests and attempts since the start of the process.
    pub counters: RequestCounters,
    /// Counts checks and violations of the invariants that must hold at every step.
    pub invariants: InvariantMonitor,
}

struct DeadlineTiming {
    /// How long before the client stops waiting the final answer is due.
    answer_lead_us: Micros,
    /// The longest delay for which a deadline timer is set.
    check_interval_us: Micros,
}

impl RequestTable {
    /// Creates a table without servers. Returns an error if the router does not accept the
    /// settings.
    pub fn new(settings: Settings, seed: u64, limits: &Limits) -> Result<Self, SettingsError> {
        Ok(RequestTable {
            class_rules: ClassRules::from_settings(&settings),
            router: Router::new(settings, seed)?,
            action_buffer: Vec::new(),
            requests: PendingRequests::new(limits.pending_requests),
            deadline_timing: DeadlineTiming {
                answer_lead_us: limits.answer_lead_us,
                check_interval_us: limits.deadline_check_interval_us,
            },
            servers: ServerDirectory::default(),
            permanent_purges: PermanentPurges::new(limits.permanent_purges),
            reference_time: ReferenceTime::default(),
            trace_log: TraceLog::new(limits.log_lines_per_s),
            commands: Vec::new(),
            counters: RequestCounters::default(),
            invariants: InvariantMonitor::default(),
        })
    }

    /// Returns the commands queued since the last call, in the order in which they must be carried
    /// out. The event loop calls this method after each call of another method, and repeats it
    /// until it returns no commands.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Returns whether no request is pending.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the ids of the requests that still need a final answer.
    pub fn unsettled_request_ids(&self) -> impl Iterator<Item = &str> {
        self.requests.unsettled_request_ids()
    }

    /// Returns whether at least one server is ready.
    pub fn has_ready_server(&self) -> bool {
        self.servers.has_ready_server()
    }

    /// Returns whether at least half of the request slots are in use.
    pub fn is_half_full(&self) -> bool {
        self.requests.is_half_full()
    }

    /// Returns the request of an attempt and the parameters for sending the attempt. Returns `None`
    /// if the attempt is no longer in flight.
    pub fn attempt_spec(&self, attempt: AttemptId) -> Option<(&ClientRequest, &AttemptSpec)> {
        let pending = self.requests.get(attempt.request_key)?;
        let in_flight = pending.attempt(attempt.number)?;
        Some((&pending.request, &in_flight.spec))
    }

    /// Returns whether the content of an answer to an attempt is a copy, which has a tag and a
    /// creation time. Requests of some classes leave no copies. Returns `false` if the attempt is no
    /// longer in flight.
    pub fn expects_copy(&self, attempt: AttemptId) -> bool {
        self.attempt_spec(attempt)
            .is_some_and(|(request, _)| self.class_rules.leaves_copies(request))
    }

    /// Returns whether a client waits for the answer to the request with this id.
    pub fn is_request_awaited(&self, id: &str) -> bool {
        self.requests.is_id_unsettled(id)
    }

    /// Returns the number of pending requests.
    pub fn pending_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the approximate memory of the router's tables. Goes over all servers.
    pub fn router_held_bytes(&self) -> usize {
        self.router.held_bytes()
    }

    /// Returns the memory of the bodies of all pending requests.
    pub fn held_body_bytes(&self) -> usize {
        self.requests.body_bytes()
    }

    /// Returns the client's id of a request. Returns `None` if the request is no longer pending.
    pub fn request_id(&self, request_key: RequestKey) -> Option<&str> {
        Some(self.requests.get(request_key)?.request.id.as_str())
    }

    /// Returns whether a server is ready according to the endpoint list.
    pub fn is_server_ready(&self, id: ServerId) -> bool {
        self.servers.is_ready(id)
    }

    /// Returns the wire id and address of a server that is ready or draining, and `None` for any
    /// other server.
    pub fn server_address(&self, id: ServerId) -> Option<ServerAddress<'_>> {
        self.servers.server_address(id)
    }

    /// Applies a snapshot of the endpoint list, or a change to it, that discovery received.
    pub fn update_endpoints(
        &mut self,
        now: Micros,
        mode: EndpointListMode,
        mut entries: Vec<ListedServer>,
    ) {
        self.convert_start_times(now, &mut entries);
        let no_longer_ready = self.servers.update(mode, &entries);
        self.commands
            .extend(no_longer_ready.into_iter().map(Command::DrainServer));
        let endpoints = entries.into_iter().map(|entry| entry.endpoint).collect();
        self.handle_event(now, Event::EndpointList { mode, endpoints });
    }

    /// Applies a purge that the event bus announced. The purge took place at `event_time_us`, in
    /// Unix microseconds of the fleet. The cache servers receive the purge independently of this
    /// proxy.
    pub fn handle_purge_event(&mut self, now: Micros, target: PurgeTarget, event_time_us: Micros) {
        let level = match target {
            PurgeTarget::Object(_) => log::Level::Debug,
            PurgeTarget::Group(_) => log::Level::Info,
        };
        log::log!(level, "purge of {target} received from the event bus");
        let shift_us = self.reference_time.observe_event(now, event_time_us);
        self.report_time_shift(now, shift_us);
        let purge = Purge {
            target,
            purged_at: self.reference_time.to_local(event_time_us),
            permanent: false,
        };
        self.apply_purge(now, purge);
    }

    /// Applies a purge that only this proxy and its peers are notified of. Because the cache
    /// servers are not notified, the purge is enforced for as long as the proxy runs. Returns
    /// `false` if the limit on permanent purges is reached; the purge is then not in force.
    pub fn purge_permanently(
        &mut self,
        now: Micros,
        target: PurgeTarget,
        purged_at: Micros,
    ) -> bool {
        if !self.permanent_purges.insert(target.clone()) {
            return false;
        }
        let purge = Purge {
            target,
            purged_at,
            permanent: true,
        };
        self.apply_purge(now, purge);
        true
    }

    /// Returns how many further targets can be purged permanently.
    pub fn permanent_purge_capacity(&self) -> usize {
        self.permanent_purges.remaining_capacity()
    }

    /// Converts the start times of listed servers from the fleet's time scale to the loop's clock.
    fn convert_start_times(&mut self, now: Micros, entries: &mut [ListedServer]) {
        let mut shift_us = 0;
        for started in entries.iter().filter_map(|entry| entry.endpoint.started_at) {
            shift_us += self.reference_time.observe_event(now, started);
        }
        self.report_time_shift(now, shift_us);
        for entry in entries {
            let started = entry.endpoint.started_at;
            entry.endpoint.started_at = started.map(|at| self.reference_time.to_local(at));
        }
    }

    /// Notifies the router that timestamps which were already converted move earlier by `by_us`.
    /// Does nothing if `by_us` is 0.
    fn report_time_shift(&mut self, now: Micros, by_us: Micros) {
        if by_us > 0 {
            log::debug!(
                "reference time is {by_us} us further ahead of the local clock than known before; \
                 moving known purge and server start times earlier by that amount"
            );
            self.handle_event(now, Event::TimestampsMovedEarlier { by_us });
        }
    }

    /// Converts the time at which a copy was created from Unix microseconds of the origin to the
    /// loop's clock.
    pub fn copy_created_at(&self, created_at_us: u64) -> Micros {
        self.reference_time.to_local(created_at_us)
    }

    fn apply_purge(&mut self, now: Micros, purge: Purge) {
        self.requests.lower_max_age(now, &purge);
        self.handle_event(now, purge.into_event(now));
    }

    /// Admits a request that a frontend received. On an error, the table keeps nothing of the
    /// request and the frontend has to reject it.
    pub fn admit(
        &mut self,
        now: Micros,
        answer_target: AnswerTarget,
        request: ClientRequest,
    ) -> Result<RequestKey, AdmissionError> {
        let id = log::log_enabled!(log::Level::Debug).then(|| request.id.clone());
        let admitted = self.admit_unlogged(now, answer_target, request);
        if let (Err(reason), Some(id)) = (&admitted, id) {
            log::debug!("request {id}: rejected without admission: {reason}");
        }
        admitted
    }

    fn admit_unlogged(
        &mut self,
        now: Micros,
        answer_target: AnswerTarget,
        mut request: ClientRequest,
    ) -> Result<RequestKey, AdmissionError> {
        if self.class_rules.lacks_required_key(&request) {
            return Err(AdmissionError::MissingIdempotencyKey);
        }
        request.remaining_us = request
            .remaining_us
            .saturating_sub(self.deadline_timing.answer_lead_us);
        let pending = PendingRequest::new(now, answer_target, request);
        let request_key = self.requests.insert(pending)?;
        self.counters.admitted += 1;
        self.set_deadline_timer(now, request_key);
        if let Some(pending) = self.requests.get(request_key) {
            let routing_request = pending.request.to_routing_request(request_key);
            self.handle_event(now, Event::Request(routing_request));
        }
        Ok(request_key)
    }

    /// Records that the client of a request no longer waits, so that the request needs no answer.
    pub fn client_disconnected(&mut self, now: Micros, request_key: RequestKey) {
        let Some(pending) = self.requests.get_mut(request_key) else {
            return;
        };
        if pending
            .settle(now, RequestEnding::ClientDisconnected)
            .is_none()
        {
            return;
        }
        log::debug!(
            "request {}: client disconnected before the answer",
            pending.request.id
        );
        self.counters.disconnected += 1;
        self.handle_event(
            now,
            Event::ClientDisconnected {
                request: request_key.to_u64(),
            },
        );
        self.dequeue_unsent_attempt(request_key);
        self.requests.release_body(request_key);
        self.release_if_complete(now, request_key);
    }

    /// Records how an attempt ended, as an upstream connection reports it. A report on an attempt
    /// that is no longer in flight is ignored, so that late answers change nothing.
    pub fn attempt_ended(&mut self, now: Micros, attempt: AttemptId, mut result: AttemptResult) {
        let request_key = attempt.request_key;
        let Some(pending) = self.requests.get_mut(request_key) else {
            return;
        };
        let Some(ended) = pending.end_attempt(attempt.number) else {
            return;
        };
        result.outcome = ended.effective_outcome(result.outcome);
        pending.record_outcome(&ended, result.outcome);
        log::debug!(
            "request {}: attempt {} at server #{:016x} ended: {:?}",
            pending.request.id,
            attempt.number,
            ended.spec.server,
            result.outcome
        );
        pending
            .trace
            .attempt_ended(ended.attempt_trace(now, &result));
        if let Some(created_at_us) = result
            .copy_created_at_us
            .filter(|_| result.outcome == Outcome::Ok)
        {
            let shift_us = self.reference_time.observe_copy(now, created_at_us);
            self.report_time_shift(now, shift_us);
        }
        let content = result.content.take();
        if let Some(content) = content.filter(|_| result.outcome == Outcome::Ok) {
            self.give_answer(now, request_key, Answer::Served(content));
        }
        let settled = !self.requests.is_unsettled(request_key);
        let report = ended.report(now, request_key, &result, settled);
        self.handle_event(now, Event::AttemptEnded(report));
        self.release_if_complete(now, request_key);
    }

    /// Records how a probe of a server ended, as an upstream connection reports it. `took_us` is
    /// the duration of the probe.
    pub fn probe_ended(
        &mut self,
        now: Micros,
        server: ServerId,
        outcome: Outcome,
        took_us: Micros,
        load: Option<LoadReport>,
    ) {
        let event = Event::ProbeEnded {
            server,
            outcome,
            took_us,
            load,
        };
        self.handle_event(now, event);
    }

    /// Handles a timer of the table that has fired.
    pub fn timer_fired(&mut self, now: Micros, timer: RequestTimer) {
        match timer {
            RequestTimer::Router(tag) => self.handle_event(now, Event::Timer { tag }),
            RequestTimer::AttemptTimeout(attempt) => self.cancel_attempt(attempt, Outcome::Timeout),
            RequestTimer::Deadline(request_key) => self.check_deadline(now, request_key),
        }
    }

    /// Fails every request that still needs a final answer. A shutdown calls this when the process
    /// may be killed at any moment: `Failed` is the answer that claims nothing about what was
    /// executed.
    pub fn fail_all_unsettled(&mut self, now: Micros) {
        for request_key in self.requests.keys() {
            self.fail_if_unsettled(now, request_key);
        }
    }
}
