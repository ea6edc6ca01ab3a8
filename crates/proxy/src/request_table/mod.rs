//! Requests, their attempts, and exactly one final answer for each request.
//!
//! The table does no I/O. The event loop tells it what frontends, upstream connections, discovery
//! and timers bring, through the methods of [`RequestTable`]; it drives the router and leaves
//! [`Command`]s, which the event loop carries out. Upstream connections look up the requests that
//! they send. The table knows no wire: frontends and upstream connections translate.
//!
//! All times are microseconds of the event loop's clock, passed in as `now`.

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
pub use self::request::{Answer, ClientRequest, Content, RequestKey, ResponseTarget};
pub use self::servers::{server_id, ListedServer, ServerAddress};
pub use self::trace::{RequestEnding, RequestTrace, TraceEvent};

use self::guard::ClassRules;
use self::pending_requests::PendingRequests;
use self::purges::{PermanentPurges, Purge, PurgeTarget};
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

/// The pending requests, the servers that take their attempts, and the router that decides about
/// both.
///
/// Invariants:
/// - Exactly one final answer: an admitted request gets one [`Command::Respond`], at its deadline
///   at the latest, unless its client disconnects before; then it gets none.
/// - At most one attempt of a request is in flight.
/// - Reports on attempts, timers and requests that are over change nothing.
pub struct RequestTable {
    router: Router,
    /// Empty between events; kept for its allocation.
    action_buffer: Vec<Action>,
    requests: PendingRequests,
    class_rules: ClassRules,
    deadlines: DeadlineLimits,
    servers: ServerDirectory,
    permanent_purges: PermanentPurges,
    reference_time: ReferenceTime,
    trace_log: TraceLog,
    commands: Vec<Command>,
    /// Totals since the start.
    pub counters: RequestCounters,
    /// What must hold at every step, and how often it did not.
    pub invariants: InvariantMonitor,
}

struct DeadlineLimits {
    /// How long before the client stops waiting an answer has to be given.
    answer_lead_us: Micros,
    /// The longest time for which a deadline timer is set.
    sweep_interval_us: Micros,
}

impl RequestTable {
    /// A table without servers. Fails if the router does not accept the settings.
    pub fn new(settings: Settings, seed: u64, limits: &Limits) -> Result<Self, SettingsError> {
        Ok(RequestTable {
            class_rules: ClassRules::from_settings(&settings),
            router: Router::new(settings, seed)?,
            action_buffer: Vec::new(),
            requests: PendingRequests::new(limits.open_requests, limits.total_body_bytes),
            deadlines: DeadlineLimits {
                answer_lead_us: limits.answer_lead_us,
                sweep_interval_us: limits.deadline_check_interval_us,
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

    /// The commands since the last call, in the order in which they are to be carried out. The
    /// event loop calls this after each other call, until nothing comes.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Whether no request is pending.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// The ids of the requests that are still owed an answer.
    pub fn unsettled_ids(&self) -> impl Iterator<Item = &str> {
        self.requests.unsettled_ids()
    }

    /// Whether at least one server is ready.
    pub fn is_ready(&self) -> bool {
        self.servers.has_ready_server()
    }

    /// Whether half of the places for requests are taken.
    pub fn is_half_full(&self) -> bool {
        self.requests.is_half_full()
    }

    /// The request of an attempt and how to send it. None: the attempt is no longer in flight.
    pub fn attempt_spec(&self, attempt: AttemptId) -> Option<(&ClientRequest, &AttemptSpec)> {
        let pending = self.requests.get(attempt.request_key)?;
        let in_flight = pending.attempt(attempt.number)?;
        Some((&pending.request, &in_flight.spec))
    }

    /// The id of a request that is pending.
    pub fn request_id(&self, request_key: RequestKey) -> Option<&str> {
        Some(self.requests.get(request_key)?.request.id.as_str())
    }

    /// Whether a server is ready, so far as the endpoint list tells.
    pub fn accepts_work(&self, id: ServerId) -> bool {
        self.servers.is_ready(id)
    }

    /// Id on the wire and address of a server that is ready or draining.
    pub fn address_of(&self, id: ServerId) -> Option<ServerAddress<'_>> {
        self.servers.address_of(id)
    }

    /// Discovery has a snapshot of the endpoint list, or a change to it.
    pub fn update_endpoints(
        &mut self,
        now: Micros,
        mode: EndpointListMode,
        mut entries: Vec<ListedServer>,
    ) {
        self.convert_starts(now, &mut entries);
        let withdrawn = self.servers.update(mode, &entries);
        self.commands
            .extend(withdrawn.into_iter().map(Command::DrainServer));
        let endpoints = entries.into_iter().map(|entry| entry.endpoint).collect();
        self.handle_event(now, Event::EndpointList { mode, endpoints });
    }

    /// An object was purged at `at`, a stamp of the event bus, or with none a whole group. The cache
    /// servers hear of it by themselves.
    pub fn purged(&mut self, now: Micros, object: Option<String>, group: u64, at: Micros) {
        match &object {
            Some(object) => log::debug!("object {object} was purged"),
            None => log::info!("group {group} was purged"),
        }
        let moved_us = self.reference_time.observe_event(now, at);
        self.move_times_back(now, moved_us);
        let purge = Purge {
            target: PurgeTarget { object, group },
            purged_at: self.reference_time.to_local(at),
            permanent: false,
        };
        self.apply_purge(now, purge);
    }

    /// As `purged`, but only this proxy and its peers are told, so the purge is enforced for as
    /// long as the proxy runs. False: there is no room for it, and it is not in force.
    pub fn purge_permanently(
        &mut self,
        now: Micros,
        object: Option<String>,
        group: u64,
        at: Micros,
    ) -> bool {
        let target = PurgeTarget { object, group };
        if !self.permanent_purges.insert(target.clone()) {
            return false;
        }
        let purge = Purge {
            target,
            purged_at: at,
            permanent: true,
        };
        self.apply_purge(now, purge);
        true
    }

    /// How many further targets can be purged permanently.
    pub fn permanent_purge_capacity(&self) -> usize {
        self.permanent_purges.remaining_capacity()
    }

    /// Puts the starts of listed servers on the scale of the loop's clock.
    fn convert_starts(&mut self, now: Micros, entries: &mut [ListedServer]) {
        let mut moved_us = 0;
        for started in entries.iter().filter_map(|entry| entry.endpoint.started_at) {
            moved_us += self.reference_time.observe_event(now, started);
        }
        self.move_times_back(now, moved_us);
        for entry in entries {
            let started = entry.endpoint.started_at;
            entry.endpoint.started_at = started.map(|at| self.reference_time.to_local(at));
        }
    }

    /// Stamps that were converted before turn out to lie further back.
    fn move_times_back(&mut self, now: Micros, by_us: Micros) {
        if by_us > 0 {
            log::debug!("the fleet's time is {by_us} us further ahead than it was known to be");
            self.handle_event(now, Event::TimestampsMovedEarlier { by_us });
        }
    }

    /// When a copy with this stamp was made, on the scale of the loop's clock.
    pub fn copy_made_at(&self, made_us: u64) -> Micros {
        self.reference_time.to_local(made_us)
    }

    fn apply_purge(&mut self, now: Micros, purge: Purge) {
        self.requests.tighten_max_age(now, &purge);
        self.handle_event(now, purge.into_event(now));
    }

    /// A frontend has a request. On an error nothing is kept of it, and the frontend has to reject
    /// it.
    pub fn admit(
        &mut self,
        now: Micros,
        response_target: ResponseTarget,
        request: ClientRequest,
    ) -> Result<RequestKey, AdmissionError> {
        let id = log::log_enabled!(log::Level::Debug).then(|| request.id.clone());
        let admitted = self.admit_unlogged(now, response_target, request);
        if let (Err(reason), Some(id)) = (&admitted, id) {
            log::debug!("request {id}: not admitted: {reason}");
        }
        admitted
    }

    fn admit_unlogged(
        &mut self,
        now: Micros,
        response_target: ResponseTarget,
        mut request: ClientRequest,
    ) -> Result<RequestKey, AdmissionError> {
        if self.class_rules.lacks_key(&request) {
            return Err(AdmissionError::MissingIdempotencyKey);
        }
        request.remaining_us = request
            .remaining_us
            .saturating_sub(self.deadlines.answer_lead_us);
        let pending = PendingRequest::new(now, response_target, request);
        let request_key = self.requests.insert(pending)?;
        self.counters.admitted += 1;
        self.set_deadline_timer(now, request_key);
        if let Some(pending) = self.requests.get(request_key) {
            let routing_request = pending.request.to_routing_request(request_key);
            self.handle_event(now, Event::Request(routing_request));
        }
        Ok(request_key)
    }

    /// The client of a request no longer waits: no answer is owed.
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
        log::debug!("request {}: its client left", pending.request.id);
        self.counters.disconnected += 1;
        self.handle_event(
            now,
            Event::ClientDisconnected {
                request: request_key.to_u64(),
            },
        );
        self.dequeue_abandoned_attempt(request_key);
        self.release_if_complete(now, request_key);
    }

    /// An upstream connection reports how an attempt ended. One that is no longer in flight is
    /// ignored: late answers change nothing.
    pub fn attempt_ended(&mut self, now: Micros, attempt: AttemptId, mut result: AttemptResult) {
        let request_key = attempt.request_key;
        let Some(pending) = self.requests.get_mut(request_key) else {
            return;
        };
        let Some(ended) = pending.end_attempt(attempt.number) else {
            return;
        };
        result.outcome = ended.effective_outcome(result.outcome);
        pending.note_outcome(result.outcome);
        log::debug!(
            "request {}: attempt {} ended: {:?}",
            pending.request.id,
            attempt.number,
            result.outcome
        );
        pending.trace.attempt_ended(ended.trace_event(now, &result));
        if let Some(made_us) = result
            .copy_made_us
            .filter(|_| result.outcome == Outcome::Ok)
        {
            let moved_us = self.reference_time.observe_copy(now, made_us);
            self.move_times_back(now, moved_us);
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

    /// An upstream connection reports how a probe of a server ended, and how long it took in
    /// microseconds.
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

    /// A timer of the table has fired.
    pub fn timer_fired(&mut self, now: Micros, timer: RequestTimer) {
        match timer {
            RequestTimer::Router(tag) => self.handle_event(now, Event::Timer { tag }),
            RequestTimer::AttemptTimeout(attempt) => self.cancel_attempt(attempt, Outcome::Timeout),
            RequestTimer::Deadline(request_key) => self.check_deadline(now, request_key),
        }
    }

    /// Fails every request that is still owed an answer. For a shutdown, when the process may be
    /// killed at any moment: `Failed` is the answer that claims nothing about what ran.
    pub fn fail_all_pending(&mut self, now: Micros) {
        for request_key in self.requests.keys() {
            self.fail_if_unsettled(now, request_key);
        }
    }
}
