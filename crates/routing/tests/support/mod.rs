//! What the tests of the decision module share: settings, a fleet of servers, and a [`Harness`]
//! that feeds one router with events and reads the actions that come back.

// Every test file compiles this module for itself and uses a part of it.
#![allow(dead_code)]

use edge_routing::*;

/// One millisecond on the router's clock.
pub const MILLISECOND: Micros = 1_000;
/// One second on the router's clock.
pub const SECOND: Micros = 1_000_000;
/// The time at which every test begins: long after the start of every server.
pub const START_TIME: Micros = 100 * SECOND;
/// The time that clients give a request, unless a test says otherwise.
pub const CLIENT_DEADLINE: Micros = 5 * SECOND;

/// Tag of the router's recurring sweep timer.
pub const SWEEP_TIMER_TAG: u64 = 0;
/// How often the router asks for its sweep timer.
pub const SWEEP_INTERVAL: Micros = 50 * MILLISECOND;

/// An idempotent read whose copies are fresh until they are purged.
pub const VIDEO: &str = "video";
/// An idempotent read whose copies are fresh for [`PAGE_FRESHNESS_LIFETIME`].
pub const PAGE: &str = "page";
/// A write that carries an idempotency key.
pub const ORDER: &str = "order";
/// A write that is not idempotent.
pub const CHARGE: &str = "charge";
/// An idempotent read that is answered as a stream.
pub const STREAM: &str = "stream";

/// How long a copy of class [`PAGE`] is fresh.
pub const PAGE_FRESHNESS_LIFETIME: Micros = 10 * SECOND;
/// How long repeats of an idempotency key are dropped.
pub const DEDUP_WINDOW: Micros = 2 * SECOND;
/// The longest Retry-After that clients follow.
pub const MAX_RETRY_AFTER: Micros = SECOND;
/// After this long, servers have dropped purged copies by themselves.
pub const PURGE_COMPLETION: Micros = 6 * SECOND;

/// The Retry-After of a rejection where the settings allow it.
pub const RETRY_AFTER: Micros = 200 * MILLISECOND;

/// Size of a requested part, in KB.
pub const PART_SIZE_KB: f64 = 500.0;
/// Rate of one transfer, in KB per second.
pub const TRANSFER_KB_PER_S: f64 = 5_000.0;
/// What the link of a location carries, in KB per second.
pub const LINK_KB_PER_S: f64 = 100_000.0;
/// What a link carries that never limits anything, in KB per second.
pub const UNLIMITED_LINK_KB_PER_S: f64 = 1e9;
/// Capacity of a cache server or of the origin, in transfers at full rate.
pub const CACHE_CAPACITY: f64 = 8.0;
/// Capacity of a parent, in transfers at full rate.
pub const PARENT_CAPACITY: f64 = 30.0;
/// Capacity of a server that never limits anything, in transfers at full rate.
pub const UNLIMITED_CAPACITY: f64 = 1_000.0;

/// Names of the zones, by index.
pub const ZONE_NAMES: [&str; 3] = ["hub", "town", "shore"];
/// Index of the zone of the parents and the origin.
pub const HUB_ZONE: usize = 0;
/// Index of the router's own zone.
pub const LOCAL_ZONE: usize = 1;
/// Index of another location's zone.
pub const REMOTE_ZONE: usize = 2;

/// The cache servers of the router's own zone in [`fleet`].
pub const CACHE_SERVERS: [ServerId; 4] = [1, 2, 3, 4];
/// The cache server of another location in [`fleet`].
pub const REMOTE_CACHE_SERVER: ServerId = 5;
/// The parents in [`fleet`].
pub const PARENTS: [ServerId; 2] = [11, 12];
/// The origin in [`fleet`].
pub const ORIGIN: ServerId = 21;

/// The group of every requested object, as purges may name it.
pub const GROUP: u64 = 3;
/// A group that no requested object belongs to.
pub const OTHER_GROUP: u64 = 4;

/// An idempotent read with a latency objective of half a second.
pub fn class(name: &str) -> Class {
    Class {
        name: name.into(),
        latency_objective_us: 500 * MILLISECOND,
        objective_per_transfer_time: 1.5,
        deadline_us: CLIENT_DEADLINE,
        priority_weight: 1.0,
        late_weight: 0.1,
        idempotency: Idempotency::Idempotent,
        dedup_scope: DedupScope::All,
        dedup_window_us: DEDUP_WINDOW,
        streaming: false,
        multipart: true,
        is_write: false,
        freshness_lifetime_us: 0,
        stale_grace_us: 0,
        stale_weight: 0.5,
    }
}

/// The five classes of requests; see their names, such as [`VIDEO`].
pub fn classes() -> Vec<Class> {
    vec![
        class(VIDEO),
        Class {
            freshness_lifetime_us: PAGE_FRESHNESS_LIFETIME,
            ..class(PAGE)
        },
        Class {
            idempotency: Idempotency::IdempotencyKey,
            is_write: true,
            ..class(ORDER)
        },
        Class {
            idempotency: Idempotency::NonIdempotent,
            is_write: true,
            ..class(CHARGE)
        },
        Class {
            streaming: true,
            ..class(STREAM)
        },
    ]
}

/// The hub and two locations, each with one edge proxy.
pub fn zones() -> Vec<Zone> {
    let zone = |index: usize, edge_proxies, link_kb_per_s| Zone {
        name: ZONE_NAMES[index].into(),
        edge_proxies,
        hub: HUB_ZONE,
        link_kb_per_s,
    };
    vec![
        zone(HUB_ZONE, 0, 0.0),
        zone(LOCAL_ZONE, 1, LINK_KB_PER_S),
        zone(REMOTE_ZONE, 1, LINK_KB_PER_S),
    ]
}

/// The limits that a router must keep.
pub fn rules() -> Rules {
    Rules {
        drain_grace_us: SECOND,
        warm_up_initial_share: 0.2,
        warm_up_us: 10 * SECOND,
        overload_multiple: 3.0,
        overload_window_us: SECOND,
        parent_warm_up_initial_share: 0.1,
        parent_warm_up_us: 20 * SECOND,
        parent_overload_multiple: 2.0,
        purge_grace_us: 500 * MILLISECOND,
        purge_completion_us: PURGE_COMPLETION,
        max_poll_interval_us: 0,
    }
}

/// The settings of a router in [`LOCAL_ZONE`]; tests change what they are about.
pub fn settings() -> Settings {
    Settings {
        classes: classes(),
        tenants: vec![],
        zones: zones(),
        own_zone_index: LOCAL_ZONE,
        parent_kind: Some("parent".into()),
        origin_kind: "origin".into(),
        poll_endpoint_list: false,
        direct_requests: true,
        coalescing: true,
        peer_fill: PeerFill::Off,
        provenance: Provenance::Full,
        load_reports: LoadReportSource::Off,
        weights_are_capacities: true,
        transfer_kb_per_s: TRANSFER_KB_PER_S,
        max_attempts: 6,
        hedging: false,
        cancellation: true,
        probing: false,
        retry_after: true,
        max_retry_after_us: MAX_RETRY_AFTER,
        origin_overload_multiple: 2.5,
        rules: rules(),
    }
}

/// Settings where every request goes by way of a cache server.
pub fn settings_without_direct_requests() -> Settings {
    Settings {
        direct_requests: false,
        ..settings()
    }
}

/// Settings where what the link of the router's zone carries is unknown.
pub fn settings_with_unknown_link() -> Settings {
    let mut settings = settings();
    settings.zones[LOCAL_ZONE].link_kb_per_s = 0.0;
    settings
}

/// A ready server that started long ago, in a cell of its own.
pub fn endpoint(id: ServerId, zone: &str, kind: &str) -> Endpoint {
    Endpoint {
        id,
        zone: zone.into(),
        cell: id,
        kind: kind.into(),
        weight: if kind == "parent" {
            PARENT_CAPACITY
        } else {
            CACHE_CAPACITY
        },
        state: EndpointState::Ready,
        started_at: None,
    }
}

/// A cache server of the router's own zone.
pub fn cache_server(id: ServerId) -> Endpoint {
    endpoint(id, ZONE_NAMES[LOCAL_ZONE], "cache")
}

/// A cache server of another location.
pub fn remote_cache_server(id: ServerId) -> Endpoint {
    endpoint(id, ZONE_NAMES[REMOTE_ZONE], "cache")
}

/// A parent.
pub fn parent(id: ServerId) -> Endpoint {
    endpoint(id, ZONE_NAMES[HUB_ZONE], "parent")
}

/// An origin.
pub fn origin(id: ServerId) -> Endpoint {
    endpoint(id, ZONE_NAMES[HUB_ZONE], "origin")
}

/// The four cache servers of the router's zone, one of another location, two parents and the
/// origin.
pub fn fleet() -> Vec<Endpoint> {
    let mut endpoints: Vec<Endpoint> = CACHE_SERVERS.map(cache_server).into();
    endpoints.push(remote_cache_server(REMOTE_CACHE_SERVER));
    endpoints.extend(PARENTS.map(parent));
    endpoints.push(origin(ORIGIN));
    endpoints
}

/// The fleet with one server that started at this time.
pub fn fleet_with_started(server: ServerId, started: Micros) -> Vec<Endpoint> {
    let mut endpoints = fleet();
    for endpoint in &mut endpoints {
        if endpoint.id == server {
            endpoint.started_at = Some(started);
        }
    }
    endpoints
}

/// The fleet with servers whose capacity never limits anything.
pub fn fleet_with_unlimited_capacity() -> Vec<Endpoint> {
    let mut endpoints = fleet();
    for endpoint in &mut endpoints {
        endpoint.weight = UNLIMITED_CAPACITY;
    }
    endpoints
}

/// One cache server of the router's zone, one parent and the origin.
pub fn fleet_with_one_cache_server(id: ServerId) -> Vec<Endpoint> {
    vec![cache_server(id), parent(PARENTS[0]), origin(ORIGIN)]
}

/// The event that the endpoint list is this, as a whole.
pub fn endpoint_snapshot(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointList {
        mode: EndpointListMode::Snapshot,
        endpoints,
    }
}

/// The event that these entries of the endpoint list have changed.
pub fn endpoint_delta(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointList {
        mode: EndpointListMode::Delta,
        endpoints,
    }
}

/// The event that an object was purged.
pub fn object_purge(object: &str, age_us: Micros) -> Event {
    Event::Purged {
        object: Some(object.into()),
        group: GROUP,
        age_us,
        permanent: false,
    }
}

/// The event that a whole group was purged.
pub fn group_purge(group: u64, age_us: Micros) -> Event {
    Event::Purged {
        object: None,
        group,
        age_us,
        permanent: false,
    }
}

/// A client's request for the first part of an object.
pub fn request(id: RequestId, class: &str, object: &str) -> Request {
    Request {
        id,
        class: class.into(),
        tenant: None,
        object: object.into(),
        part: 0,
        group: GROUP,
        size_kb: PART_SIZE_KB,
        remaining_us: CLIENT_DEADLINE,
        is_retry: false,
    }
}

/// An attempt that a router has started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// Which attempt of the request, counted from 0.
    pub number: u32,
    /// The server that the request is forwarded to.
    pub server: ServerId,
    /// How a miss is filled.
    pub fill: Fill,
    /// The attempt's own time-out.
    pub timeout_us: Option<Micros>,
}

impl Attempt {
    /// The first attempt of a request among these actions.
    pub fn first_in(actions: &[Action]) -> Option<Attempt> {
        actions.iter().find_map(|action| match action {
            Action::StartAttempt {
                request,
                server,
                timeout_us,
                fill: Some(fill),
                ..
            } => Some(Attempt {
                request: *request,
                number: 0,
                server: *server,
                fill: *fill,
                timeout_us: *timeout_us,
            }),
            _ => None,
        })
    }

    /// The retry of this attempt among these actions.
    pub fn retry_in(&self, actions: &[Action]) -> Option<Attempt> {
        Attempt::first_in(actions).map(|retry| Attempt {
            number: self.number + 1,
            ..retry
        })
    }

    /// Whether a miss is filled; otherwise the server serves only what it has cached.
    pub fn fills_a_miss(&self) -> bool {
        self.fill.source != self.server
    }

    /// The action that cancels this attempt.
    pub fn cancellation(&self) -> Action {
        Action::CancelAttempt {
            request: self.request,
            attempt: self.number,
        }
    }

    /// A report that this attempt ended after 100 ms; see [`attempt_report`].
    pub fn report(&self, outcome: Outcome, fill_result: FillResult) -> AttemptReport {
        attempt_report(self.request, self.number, self.server, outcome, fill_result)
    }
}

/// A report that an attempt ended after 100 ms; the request is settled if it was served.
pub fn attempt_report(
    request: RequestId,
    attempt: u32,
    server: ServerId,
    outcome: Outcome,
    fill_result: FillResult,
) -> AttemptReport {
    AttemptReport {
        request,
        attempt,
        server,
        outcome,
        took_us: 100 * MILLISECOND,
        settled: outcome == Outcome::Ok,
        fill_result,
        fill_ttfb_us: 0,
        load: None,
    }
}

/// How many requests get their final answer from the router itself.
pub fn count_final_answers(actions: &[Action]) -> usize {
    let is_final = |action: &&Action| matches!(action, Action::Reject { .. } | Action::Fail { .. });
    actions.iter().filter(is_final).count()
}

/// The cancellations among these actions.
pub fn cancellations(actions: Vec<Action>) -> Vec<Action> {
    let is_cancellation = |action: &Action| matches!(action, Action::CancelAttempt { .. });
    actions.into_iter().filter(is_cancellation).collect()
}

/// A request that was handed to the router, and the actions that came back.
#[derive(Debug)]
pub struct Submission {
    /// The request.
    pub request: RequestId,
    /// What the router wants done.
    pub actions: Vec<Action>,
}

impl Submission {
    /// The attempt that was started for the request, if any.
    pub fn attempt(&self) -> Option<Attempt> {
        Attempt::first_in(&self.actions)
    }
}

/// A router that has been given this endpoint list at this time.
pub fn router_with_endpoints(
    settings: Settings,
    seed: u64,
    now: Micros,
    endpoints: Vec<Endpoint>,
) -> Router {
    let mut router = Router::new(settings, seed).expect("valid settings");
    router.handle(now, endpoint_snapshot(endpoints), &mut Vec::new());
    router
}

/// A router with a clock that the test moves, and a counter for request ids.
pub struct Harness {
    /// The router under test.
    pub router: Router,
    /// The time at which the next event is handled.
    pub now: Micros,
    next_request_id: RequestId,
}

impl Harness {
    /// Seed of the router's randomness.
    const SEED: u64 = 7;

    /// A router that has been given this endpoint list.
    pub fn new(settings: Settings, endpoints: Vec<Endpoint>) -> Harness {
        Harness {
            router: router_with_endpoints(settings, Harness::SEED, START_TIME, endpoints),
            now: START_TIME,
            next_request_id: 1,
        }
    }

    /// A router with the settings and the fleet of this module.
    pub fn with_defaults() -> Harness {
        Harness::new(settings(), fleet())
    }

    /// Moves the clock forward; no timer fires by itself.
    pub fn advance(&mut self, duration: Micros) {
        self.now += duration;
    }

    /// Hands the router an event and returns what it wants done.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions
    }

    /// Lets the router's recurring sweep timer fire.
    pub fn sweep(&mut self) -> Vec<Action> {
        self.handle(Event::Timer {
            tag: SWEEP_TIMER_TAG,
        })
    }

    /// Moves the clock forward, lets the sweep timer fire, and returns the cancellations.
    pub fn cancellations_after(&mut self, duration: Micros) -> Vec<Action> {
        self.advance(duration);
        cancellations(self.sweep())
    }

    /// A request under the next id, not yet submitted.
    pub fn next_request(&mut self, class: &str, object: &str) -> Request {
        let id = self.next_request_id;
        self.next_request_id += 1;
        request(id, class, object)
    }

    /// Submits a request that a test has adapted.
    pub fn submit_request(&mut self, request: Request) -> Submission {
        Submission {
            request: request.id,
            actions: self.handle(Event::Request(request)),
        }
    }

    /// Submits a request of this class for an object.
    pub fn submit(&mut self, class: &str, object: &str) -> Submission {
        let request = self.next_request(class, object);
        self.submit_request(request)
    }

    /// Submits a request and expects that it is forwarded.
    pub fn forward(&mut self, class: &str, object: &str) -> Attempt {
        let submission = self.submit(class, object);
        submission
            .attempt()
            .unwrap_or_else(|| panic!("no attempt in {submission:?}"))
    }

    /// Reports how an attempt ended.
    pub fn report(&mut self, report: AttemptReport) -> Vec<Action> {
        self.handle(Event::AttemptEnded(report))
    }

    /// Ends an attempt, with provenance.
    pub fn finish_with(
        &mut self,
        attempt: &Attempt,
        outcome: Outcome,
        fill_result: FillResult,
    ) -> Vec<Action> {
        self.report(attempt.report(outcome, fill_result))
    }

    /// Ends an attempt, without provenance.
    pub fn finish(&mut self, attempt: &Attempt, outcome: Outcome) -> Vec<Action> {
        self.finish_with(attempt, outcome, FillResult::Unknown)
    }

    /// Ends an attempt as a cache hit.
    pub fn finish_as_hit(&mut self, attempt: &Attempt) {
        self.finish_with(attempt, Outcome::Ok, FillResult::Hit);
    }

    /// Ends an attempt, with provenance, and returns its retry, if there is one.
    pub fn retry_with(
        &mut self,
        attempt: &Attempt,
        outcome: Outcome,
        fill_result: FillResult,
    ) -> Option<Attempt> {
        let actions = self.finish_with(attempt, outcome, fill_result);
        attempt.retry_in(&actions)
    }

    /// Ends an attempt, without provenance, and returns its retry, if there is one.
    pub fn retry(&mut self, attempt: &Attempt, outcome: Outcome) -> Option<Attempt> {
        self.retry_with(attempt, outcome, FillResult::Unknown)
    }

    /// The client of this request disconnects.
    pub fn disconnect(&mut self, request: RequestId) -> Vec<Action> {
        self.handle(Event::ClientDisconnected { request })
    }

    /// Submits a request and expects that it is forwarded and served as a cache hit.
    pub fn serve_hit(&mut self, class: &str, object: &str) -> Attempt {
        let attempt = self.forward(class, object);
        self.finish_as_hit(&attempt);
        attempt
    }

    /// Submits a request for each of `count` objects and serves what is forwarded as a cache hit;
    /// returns the servers that were chosen.
    pub fn servers_of_objects(&mut self, count: usize) -> Vec<ServerId> {
        let mut servers = Vec::new();
        for index in 0..count {
            let submission = self.submit(VIDEO, &format!("/o/{index}"));
            if let Some(attempt) = submission.attempt() {
                self.finish_as_hit(&attempt);
                servers.push(attempt.server);
            }
        }
        servers
    }
}
