//! Requests, attempts and outcomes. Drives the decision module and sees to it that every request gets exactly
//! one final answer. Knows no wire: fronts and upstreams translate.

use crate::limits::Limits;
use crate::net::{Slab, SlabKey};
pub mod trace;

use self::trace::{RequestTrace, TraceEvent};
use edge_routing::{
    Action, AttemptReport, Endpoint, EndpointListMode, EndpointState, Event, Fill, FillResult,
    Idempotency, LoadReport, Micros, Outcome, Request, Router, ServerId, Settings, SettingsError,
};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;

/// A request in the table.
pub type RequestKey = SlabKey;

/// Where a request's answer goes: a connection of some front, and the front's own number for the request there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseTarget {
    /// The connection.
    pub connection: SlabKey,
    /// The request's number on it.
    pub stream: u32,
}

/// A request as any front gives it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientRequest {
    /// The client's id of it, passed on unchanged.
    pub id: String,
    /// Name of its class.
    pub class: String,
    /// The object.
    pub object: String,
    /// Part of the object.
    pub part: u64,
    /// Group of the object.
    pub group: u64,
    /// Size of the part in KB; 0: not told.
    pub size_kb: f64,
    /// How long the client still waits.
    pub remaining_us: Micros,
    /// The client's idempotency key.
    pub once: Option<String>,
    /// Tag of the copy that the client holds.
    pub have: Option<String>,
    /// What a write brings.
    pub body: Vec<u8>,
}

/// What a box gave for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// The bytes of the part, and the tag of the copy.
    Object {
        /// The bytes.
        bytes: Vec<u8>,
        /// The tag, if it was told.
        tag: Option<String>,
    },
    /// The client's copy is the one that would be served.
    Unchanged,
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Served.
    Served(Content),
    /// Refused: trying again is harmless, best after this time.
    Rejected {
        /// When to come back.
        retry_after_us: Option<Micros>,
    },
    /// Failed.
    Failed,
}

/// An attempt, by its request and its place among that request's attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request.
    pub request_key: RequestKey,
    /// Which one, from 0.
    pub number: u32,
}

/// What an upstream needs to know to send an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptSpec {
    /// The box.
    pub server: ServerId,
    /// How a miss is filled; none: what the box holds only.
    pub fill: Option<Fill>,
    /// The oldest copy that will do: the module's bound, or that of a purge told since, while nothing is written.
    pub max_age_us: Option<Micros>,
    /// When it is given up at the latest.
    pub until: Micros,
    /// It must not begin behind this.
    pub send_by: Option<Micros>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// Its outcome.
    pub outcome: Outcome,
    /// How the answer was made.
    pub fill_result: FillResult,
    /// The fill's wait for its first byte.
    pub fill_ttfb_us: Micros,
    /// The box's report of its load.
    pub load: Option<LoadReport>,
    /// What an answer `Ok` brought.
    pub content: Option<Content>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult {
            outcome,
            fill_result: FillResult::Unknown,
            fill_ttfb_us: 0,
            load: None,
            content: None,
        }
    }
}

/// What the request_table wants to be woken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestTimer {
    /// The client of a request gives up.
    Deadline(RequestKey),
    /// The time of an attempt is over.
    AttemptTimeout(AttemptId),
    /// The module's timer with this tag.
    Router(u64),
}

/// What the request_table wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send an attempt; `spec` tells how.
    SendAttempt(AttemptId),
    /// Give an attempt up and report it ended once its box can no longer take it for one that is out.
    CancelAttempt(AttemptId, ServerId),
    /// Take back an attempt of which nothing is written yet; one that is under way stays.
    DequeueAttempt(AttemptId, ServerId),
    /// Give a client its final answer.
    Respond(ResponseTarget, Answer),
    /// RequestTimer the request_table.
    SetTimer(Micros, RequestTimer),
    /// Ask a box for its load.
    Probe(ServerId),
    /// A box drains or is gone: what is not written for it, or for a fill from it, must not be any more.
    DrainServer(ServerId),
}

/// An entry of the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// What the module is told.
    pub endpoint: Endpoint,
    /// The box's id on the wire.
    pub uid: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A number for a box's id, the same at every proxy: the module's order of servers is hashed from it.
pub fn server_id(uid: &str) -> ServerId {
    uid.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    })
}

struct InFlightAttempt {
    number: u32,
    sent: Micros,
    spec: AttemptSpec,
    /// Given up, and the outcome to report once that is done.
    given_up: Option<Outcome>,
}

struct PendingRequest {
    client: ResponseTarget,
    asked: ClientRequest,
    deadline: Micros,
    attempts: u32,
    out: Option<InFlightAttempt>,
    /// The final answer is given, or none is owed any more.
    answered: bool,
    trace: RequestTrace,
}

/// RequestCounters for the operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounters {
    /// Requests taken.
    pub taken: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Left by their clients.
    pub left: u64,
}

/// The request table and the module.
pub struct RequestTable {
    router: Router,
    requests: Slab<PendingRequest>,
    /// Ids of what is open: no two may be out under one.
    ids: HashSet<String>,
    /// Classes that carry a key.
    keyed: Vec<String>,
    servers: BTreeMap<ServerId, (String, SocketAddr, EndpointState)>,
    answer_ahead_us: Micros,
    look_us: Micros,
    /// Purges that hold for good.
    lasting: BTreeSet<(Option<String>, u64)>,
    most_lasting: usize,
    /// Bytes of the bodies of all open requests.
    bodies: usize,
    most_bodies: usize,
    log: trace::LogRateLimiter,
    actions: Vec<Action>,
    commands: Vec<Command>,
    /// What was done so far.
    pub counters: RequestCounters,
}

impl RequestTable {
    /// A request_table without servers.
    pub fn new(settings: Settings, seed: u64, limits: &Limits) -> Result<Self, SettingsError> {
        let keyed = settings
            .classes
            .iter()
            .filter(|c| c.idempotency == Idempotency::IdempotencyKey)
            .map(|c| c.name.clone());
        Ok(RequestTable {
            ids: HashSet::new(),
            keyed: keyed.collect(),
            router: Router::new(settings, seed)?,
            requests: Slab::new(limits.open_requests),
            servers: BTreeMap::new(),
            answer_ahead_us: limits.answer_lead_us,
            look_us: limits.deadline_sweep_us,
            lasting: BTreeSet::new(),
            most_lasting: limits.permanent_purges,
            bodies: 0,
            most_bodies: limits.total_body_bytes,
            log: trace::LogRateLimiter::new(limits.log_lines_per_s),
            actions: Vec::new(),
            commands: Vec::new(),
            counters: RequestCounters::default(),
        })
    }

    /// What is to be done, in order.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Whether any request is open.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether there are servers to send to.
    pub fn is_ready(&self) -> bool {
        self.servers.values().any(|b| b.2 == EndpointState::Ready)
    }

    /// A request's text and how its attempt is to be sent, while that attempt is out.
    pub fn attempt_spec(&self, attempt: AttemptId) -> Option<(&ClientRequest, &AttemptSpec)> {
        let open = self.requests.get(attempt.request_key)?;
        let out = open
            .out
            .as_ref()
            .filter(|out| out.number == attempt.number)?;
        Some((&open.asked, &out.spec))
    }

    /// Whether half of the table is taken.
    pub fn is_half_full(&self) -> bool {
        self.requests.is_half_full()
    }

    /// Whether a box takes new work, as far as the list tells.
    pub fn accepts_work(&self, id: ServerId) -> bool {
        self.servers
            .get(&id)
            .is_some_and(|b| b.2 == EndpointState::Ready)
    }

    /// Id on the wire and address of a box.
    pub fn address_of(&self, id: ServerId) -> Option<(&str, SocketAddr)> {
        self.servers
            .get(&id)
            .map(|(uid, endpoint, _)| (uid.as_str(), *endpoint))
    }

    /// The list of servers, or changes to it.
    pub fn update_endpoints(
        &mut self,
        now: Micros,
        mode: EndpointListMode,
        entries: Vec<ListedServer>,
    ) {
        if mode == EndpointListMode::Snapshot {
            let named = |id: &ServerId| entries.iter().any(|e| e.endpoint.id == *id);
            let missing: Vec<ServerId> = self
                .servers
                .keys()
                .filter(|id| !named(id))
                .copied()
                .collect();
            missing
                .into_iter()
                .for_each(|id| self.set_state(id, EndpointState::Gone));
        }
        let mut servers = Vec::new();
        for e in entries {
            let id = e.endpoint.id;
            log::info!("box {} at {} is {:?}", e.uid, e.address, e.endpoint.state);
            let known = self
                .servers
                .entry(id)
                .or_insert((e.uid, e.address, EndpointState::Ready));
            known.1 = e.address;
            self.set_state(id, e.endpoint.state);
            servers.push(e.endpoint);
        }
        // New servers come under new ids all day long.
        self.servers
            .retain(|_, known| known.2 != EndpointState::Gone);
        self.feed(
            now,
            Event::EndpointList {
                mode,
                endpoints: servers,
            },
        );
    }

    fn set_state(&mut self, id: ServerId, state: EndpointState) {
        let Some(known) = self.servers.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut known.2, state) == EndpointState::Ready
            && state != EndpointState::Ready
        {
            self.commands.push(Command::DrainServer(id));
        }
    }

    /// A purge of an object, or with none of a whole group. The servers hear of it by themselves.
    pub fn purged(&mut self, now: Micros, object: Option<String>, group: u64, at: Micros) {
        match &object {
            Some(object) => log::debug!("object {object} was purged"),
            None => log::info!("group {group} was purged"),
        }
        self.bound(now, object.as_deref(), group, at);
        self.feed(
            now,
            Event::Purged {
                object,
                group,
                age_us: now.saturating_sub(at),
                permanent: false,
            },
        );
    }

    /// As `purged`, but told to this proxy and its peers alone: it has to hold for good. False: too many do.
    pub fn purge_permanently(
        &mut self,
        now: Micros,
        object: Option<String>,
        group: u64,
        at: Micros,
    ) -> bool {
        let what = (object.clone(), group);
        if self.permanent_purge_capacity() == 0 && !self.lasting.contains(&what) {
            return false;
        }
        self.lasting.insert(what);
        self.bound(now, object.as_deref(), group, at);
        self.feed(
            now,
            Event::Purged {
                object,
                group,
                age_us: now.saturating_sub(at),
                permanent: true,
            },
        );
        true
    }

    /// What waits for its connection was decided on before a purge, and may begin later than its grace.
    fn bound(&mut self, now: Micros, object: Option<&str>, group: u64, at: Micros) {
        let age = now.saturating_sub(at).max(1);
        for request_key in self.requests.keys() {
            let Some(open) = self.requests.get_mut(request_key) else {
                continue;
            };
            let concerned = object.map_or(open.asked.group == group, |object| {
                open.asked.object == object
            });
            if let Some(out) = open.out.as_mut().filter(|_| concerned) {
                let spec = &mut out.spec;
                spec.max_age_us = Some(spec.max_age_us.map_or(age, |bound| bound.min(age)));
            }
        }
    }

    /// How many purges more can hold for good.
    pub fn permanent_purge_capacity(&self) -> usize {
        self.most_lasting.saturating_sub(self.lasting.len())
    }

    /// Takes a request. None where the front has to refuse it: the table is full, it has the id of one that is open,
    /// by which a box would take the two for one, or its class carries a key and it has none.
    pub fn admit(
        &mut self,
        now: Micros,
        client: ResponseTarget,
        mut asked: ClientRequest,
    ) -> Option<RequestKey> {
        let body = asked.body.len();
        let keyless = asked.once.is_none() && self.keyed.contains(&asked.class);
        if self.bodies + body > self.most_bodies || keyless || self.ids.contains(&asked.id) {
            return None;
        }
        let remaining_us = asked.remaining_us.saturating_sub(self.answer_ahead_us);
        let request = Request {
            id: 0,
            class: asked.class.clone(),
            tenant: None,
            object: asked.object.clone(),
            part: asked.part,
            group: asked.group,
            size_kb: asked.size_kb,
            remaining_us,
            is_retry: false,
        };
        asked.remaining_us = remaining_us;
        let deadline = now + remaining_us;
        let trace = RequestTrace::new(now);
        let open = PendingRequest {
            client,
            asked,
            deadline,
            attempts: 0,
            out: None,
            answered: false,
            trace,
        };
        let id = open.asked.id.clone();
        let request_key = self.requests.insert(open).ok()?;
        self.ids.insert(id);
        self.counters.taken += 1;
        self.bodies += body;
        self.look_again(now, request_key);
        self.feed(
            now,
            Event::Request(Request {
                id: request_key.to_u64(),
                ..request
            }),
        );
        Some(request_key)
    }

    /// The client no longer waits: no answer is owed.
    pub fn client_disconnected(&mut self, now: Micros, request_key: RequestKey) {
        let Some(open) = self
            .requests
            .get_mut(request_key)
            .filter(|open| !open.answered)
        else {
            return;
        };
        open.answered = true;
        open.trace.end(now, "left");
        self.counters.left += 1;
        self.feed(
            now,
            Event::ClientDisconnected {
                request: request_key.to_u64(),
            },
        );
        // The module calls off what is out where the settings allow it. What is not written yet must not begin
        // in any case.
        let out = self
            .requests
            .get(request_key)
            .and_then(|open| open.out.as_ref());
        if let Some(out) = out.filter(|out| out.given_up.is_none()) {
            let attempt = AttemptId {
                request_key,
                number: out.number,
            };
            self.commands
                .push(Command::DequeueAttempt(attempt, out.spec.server));
        }
        self.tidy(now, request_key);
    }

    /// An attempt ended. One that is not out any more is passed over: late answers change nothing.
    pub fn attempt_ended(&mut self, now: Micros, attempt: AttemptId, ended: AttemptResult) {
        let Some(open) = self.requests.get_mut(attempt.request_key) else {
            return;
        };
        let Some(out) = open.out.take_if(|out| out.number == attempt.number) else {
            return;
        };
        let AttemptResult {
            outcome,
            fill_result,
            fill_ttfb_us,
            load,
            content,
        } = ended;
        // What was in transit when it was given up is how it ended, all the same.
        let outcome = if outcome == Outcome::Cancelled {
            out.given_up.unwrap_or(outcome)
        } else {
            outcome
        };
        let (server, source) = (out.spec.server, out.spec.fill.map(|f| f.source));
        open.trace.step(TraceEvent {
            server,
            source,
            sent: out.sent,
            ended: now,
            outcome,
            fill_result,
            fill_ttfb_us,
        });
        if let Some(content) = content.filter(|_| outcome == Outcome::Ok && !open.answered) {
            self.finish(now, attempt.request_key, Answer::Served(content));
        }
        let settled = self
            .requests
            .get(attempt.request_key)
            .is_none_or(|open| open.answered);
        let event = Event::AttemptEnded(AttemptReport {
            request: attempt.request_key.to_u64(),
            attempt: attempt.number,
            server: out.spec.server,
            outcome,
            took_us: now.saturating_sub(out.sent),
            settled,
            fill_result,
            fill_ttfb_us,
            load,
        });
        self.feed(now, event);
        self.tidy(now, attempt.request_key);
    }

    /// A probe ended.
    pub fn probe_ended(
        &mut self,
        now: Micros,
        server: ServerId,
        outcome: Outcome,
        took_us: Micros,
        load: Option<LoadReport>,
    ) {
        self.feed(
            now,
            Event::ProbeEnded {
                server,
                outcome,
                took_us,
                load,
            },
        );
    }

    /// A wake-up has come due.
    pub fn timer_fired(&mut self, now: Micros, wake: RequestTimer) {
        match wake {
            RequestTimer::Router(tag) => self.feed(now, Event::Timer { tag }),
            RequestTimer::AttemptTimeout(attempt) => self.give_up(attempt, Outcome::Timeout),
            RequestTimer::Deadline(request_key) => self.expire(now, request_key),
        }
    }

    /// Has itself woken at a request's deadline, by steps.
    fn look_again(&mut self, now: Micros, request_key: RequestKey) {
        if let Some(open) = self.requests.get(request_key) {
            let at = open.deadline.min(now + self.look_us);
            self.commands
                .push(Command::SetTimer(at, RequestTimer::Deadline(request_key)));
        }
    }

    /// The client gives up: what is out has timed out, and the module has the last word, which can't be a
    /// further attempt. So has what a client left behind where nothing may be called off: its answer may never come.
    fn expire(&mut self, now: Micros, request_key: RequestKey) {
        let Some(open) = self.requests.get(request_key) else {
            return;
        };
        if now < open.deadline {
            return self.look_again(now, request_key);
        }
        if let Some(out) = &open.out {
            let attempt = AttemptId {
                request_key,
                number: out.number,
            };
            if out.given_up.is_none() {
                self.commands
                    .push(Command::CancelAttempt(attempt, out.spec.server));
            }
            self.attempt_ended(now, attempt, Outcome::Timeout.into());
        }
        if self
            .requests
            .get(request_key)
            .is_some_and(|open| !open.answered)
        {
            // Guards the promise of one answer against a module that holds a request past its end.
            log::warn!("a request was still unanswered at its deadline");
            self.fail(now, request_key);
        }
    }

    /// The process may be killed at any moment: whatever is still owed an answer gets it now, and one that claims
    /// nothing.
    pub fn fail_all_pending(&mut self, now: Micros) {
        for request_key in self.requests.keys() {
            self.fail(now, request_key);
        }
    }

    /// Answers a request that the module still holds.
    fn fail(&mut self, now: Micros, request_key: RequestKey) {
        if self
            .requests
            .get(request_key)
            .is_some_and(|open| !open.answered)
        {
            self.finish(now, request_key, Answer::Failed);
            self.feed(
                now,
                Event::ClientDisconnected {
                    request: request_key.to_u64(),
                },
            );
            self.tidy(now, request_key);
        }
    }

    fn give_up(&mut self, attempt: AttemptId, outcome: Outcome) {
        let Some(open) = self.requests.get_mut(attempt.request_key) else {
            return;
        };
        let Some(out) = open.out.as_mut().filter(|out| out.number == attempt.number) else {
            return;
        };
        if out.given_up.is_none() {
            out.given_up = Some(outcome);
            self.commands
                .push(Command::CancelAttempt(attempt, out.spec.server));
        }
    }

    /// The one place where answers are given: a request that has its answer gets no second one.
    fn finish(&mut self, now: Micros, request_key: RequestKey, answer: Answer) {
        let Some(open) = self
            .requests
            .get_mut(request_key)
            .filter(|open| !open.answered)
        else {
            return;
        };
        open.answered = true;
        let (count, how) = match answer {
            Answer::Served(_) => (&mut self.counters.served, "served"),
            Answer::Rejected { .. } => (&mut self.counters.refused, "refused"),
            Answer::Failed => (&mut self.counters.failed, "failed"),
        };
        *count += 1;
        open.trace.end(now, how);
        self.commands.push(Command::Respond(open.client, answer));
    }

    /// Frees the slot of a request that is answered and has nothing out.
    fn tidy(&mut self, now: Micros, request_key: RequestKey) {
        if self
            .requests
            .get(request_key)
            .is_some_and(|open| open.answered && open.out.is_none())
        {
            if let Some(open) = self.requests.remove(request_key) {
                self.ids.remove(&open.asked.id);
                self.bodies -= open.asked.body.len();
                self.report(now, &open);
            }
        }
    }

    /// Writes down how a request went that did not go smoothly: what on-call follows by its id.
    fn report(&mut self, now: Micros, open: &PendingRequest) {
        if open.trace.is_smooth(open.deadline) || !log::log_enabled!(log::Level::Info) {
            return;
        }
        if let Some(passed_over) = self.log.take(now) {
            let uid = |id| self.address_of(id).map(|(uid, _)| uid);
            let (asked, budget_ms) = (&open.asked, open.asked.remaining_us / 1000);
            let line = open.trace.line(uid);
            log::info!(
                "request {} {}/{} {} KB, {budget_ms} ms: {line}{passed_over}",
                asked.id,
                asked.object,
                asked.part,
                asked.size_kb
            );
        }
    }

    fn feed(&mut self, now: Micros, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.router.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(now, action);
        }
        self.actions = actions;
    }

    fn act(&mut self, now: Micros, action: Action) {
        match action {
            Action::StartAttempt {
                request,
                server,
                timeout_us,
                fill,
                send_by,
            } => {
                let request_key = SlabKey::from_u64(request);
                let Some(open) = self
                    .requests
                    .get_mut(request_key)
                    .filter(|o| !o.answered && o.out.is_none())
                else {
                    // Two attempts of one request must never be out at once.
                    log::error!("the module sent an attempt for a request that can't have one");
                    return;
                };
                let until = timeout_us.map_or(open.deadline, |t| (now + t).min(open.deadline));
                let number = open.attempts;
                open.attempts += 1;
                let max_age_us = fill.and_then(|f| f.max_age_us);
                let spec = AttemptSpec {
                    server,
                    fill,
                    max_age_us,
                    until,
                    send_by,
                };
                open.out = Some(InFlightAttempt {
                    number,
                    sent: now,
                    spec,
                    given_up: None,
                });
                let attempt = AttemptId {
                    request_key,
                    number,
                };
                self.counters.attempts += 1;
                self.commands.push(Command::SendAttempt(attempt));
                if until < open.deadline {
                    self.commands.push(Command::SetTimer(
                        until,
                        RequestTimer::AttemptTimeout(attempt),
                    ));
                }
            }
            Action::CancelAttempt { request, attempt } => {
                let attempt = AttemptId {
                    request_key: SlabKey::from_u64(request),
                    number: attempt,
                };
                self.give_up(attempt, Outcome::Cancelled);
            }
            Action::Reject {
                request,
                retry_after_us,
            } => {
                self.finish(
                    now,
                    SlabKey::from_u64(request),
                    Answer::Rejected { retry_after_us },
                );
                self.tidy(now, SlabKey::from_u64(request));
            }
            Action::Fail { request } => {
                self.finish(now, SlabKey::from_u64(request), Answer::Failed);
                self.tidy(now, SlabKey::from_u64(request));
            }
            Action::SetTimer { at, tag } => self
                .commands
                .push(Command::SetTimer(at, RequestTimer::Router(tag))),
            Action::Probe { server } => self.commands.push(Command::Probe(server)),
            // The list is pushed by whatever source the configuration names.
            Action::WatchEndpoints => {}
            Action::Log { line } => log::info!("{line}"),
        }
    }
}
