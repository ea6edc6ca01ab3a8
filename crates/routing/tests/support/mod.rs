//! Shared support for the integration tests: settings, an endpoint list, and a [`Harness`] that
//! sends events to one router and returns its actions.

// Each test file compiles this module separately and uses only a part of it.
#![allow(dead_code)]

use edge_routing::*;

/// One millisecond, in microseconds.
pub const MILLISECOND_US: Micros = 1_000;
/// One second, in microseconds.
pub const SECOND_US: Micros = 1_000_000;
/// The time at which every test begins. Every server has started long before, unless a test says
/// otherwise.
pub const START_TIME_US: Micros = 100 * SECOND_US;
/// The time after which clients stop waiting for an answer, unless a test says otherwise.
pub const CLIENT_TIMEOUT_US: Micros = 5 * SECOND_US;

/// The tag of the router's recurring sweep timer.
pub const SWEEP_TIMER_TAG: u64 = 0;
/// The interval at which the router sets its sweep timer.
pub const SWEEP_INTERVAL_US: Micros = 50 * MILLISECOND_US;

/// The class of idempotent reads whose copies are fresh until they are purged.
pub const VIDEO: &str = "video";
/// The class of idempotent reads whose copies are fresh for [`PAGE_FRESHNESS_LIFETIME_US`].
pub const PAGE: &str = "page";
/// The class of writes that carry an idempotency key.
pub const ORDER: &str = "order";
/// The class of writes that are not idempotent.
pub const CHARGE: &str = "charge";
/// The class of idempotent reads that are answered as a stream.
pub const STREAM: &str = "stream";

/// How long a copy of class [`PAGE`] is fresh.
pub const PAGE_FRESHNESS_LIFETIME_US: Micros = 10 * SECOND_US;
/// How long servers drop repeats of an idempotency key.
pub const DEDUP_WINDOW_US: Micros = 2 * SECOND_US;
/// The longest Retry-After that clients follow.
pub const MAX_RETRY_AFTER_US: Micros = SECOND_US;
/// The time after a purge by which servers have dropped the purged copies themselves.
pub const PURGE_COMPLETION_US: Micros = 6 * SECOND_US;

/// The Retry-After of a rejection if the settings allow one this long.
pub const RETRY_AFTER_US: Micros = 200 * MILLISECOND_US;

/// The size of a requested part, in KB.
pub const PART_SIZE_KB: f64 = 500.0;
/// The rate of one transfer that does not share its link, in KB per second.
pub const TRANSFER_KB_PER_S: f64 = 5_000.0;
/// The rate of the link of a location, in KB per second.
pub const LINK_KB_PER_S: f64 = 100_000.0;
/// The rate of a link that is never a bottleneck, in KB per second.
pub const UNLIMITED_LINK_KB_PER_S: f64 = 1e9;
/// The capacity of a cache server or of the origin, in transfers at full rate.
pub const CACHE_CAPACITY_TRANSFERS: f64 = 8.0;
/// The capacity of a parent, in transfers at full rate.
pub const PARENT_CAPACITY_TRANSFERS: f64 = 30.0;
/// The capacity of a server that is never a bottleneck, in transfers at full rate.
pub const UNLIMITED_CAPACITY_TRANSFERS: f64 = 1_000.0;

/// The names of the zones, by index.
pub const ZONE_NAMES: [&str; 3] = ["hub", "town", "shore"];
/// The index of the zone of the parents and the origin.
pub const HUB_ZONE_INDEX: usize = 0;
/// The index of the router's own zone.
pub const LOCAL_ZONE_INDEX: usize = 1;
/// The index of the zone of another location.
pub const REMOTE_ZONE_INDEX: usize = 2;

/// The cache servers of the router's own zone in [`fleet`].
pub const CACHE_SERVERS: [ServerId; 4] = [1, 2, 3, 4];
/// The cache server of another location in [`fleet`].
pub const REMOTE_CACHE_SERVER: ServerId = 5;
/// The parents in [`fleet`].
pub const PARENTS: [ServerId; 2] = [11, 12];
/// The origin in [`fleet`].
pub const ORIGIN: ServerId = 21;

/// The purge group of every requested object.
pub const PURGE_GROUP: u64 = 3;
/// A purge group that no requested object belongs to.
pub const OTHER_PURGE_GROUP: u64 = 4;

/// Returns a class of idempotent reads with a latency objective of half a second.
pub fn class(name: &str) -> Class {
    Class {
        name: name.into(),
        latency_objective_us: 500 * MILLISECOND_US,
        objective_extension_per_transfer_time: 1.5,
        deadline_us: CLIENT_TIMEOUT_US,
        priority_weight: 1.0,
        late_weight: 0.1,
        idempotency: Idempotency::Idempotent,
        dedup_scope: DedupScope::All,
        dedup_window_us: DEDUP_WINDOW_US,
        streaming: false,
        multipart: true,
        is_write: false,
        freshness_lifetime_us: 0,
        stale_grace_us: 0,
        stale_weight: 0.5,
    }
}

/// Returns the five classes of requests. Their names, such as [`VIDEO`], describe them.
pub fn classes() -> Vec<Class> {
    vec![
        class(VIDEO),
        Class {
            freshness_lifetime_us: PAGE_FRESHNESS_LIFETIME_US,
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

/// Returns the hub and two locations with one edge proxy each.
pub fn zones() -> Vec<Zone> {
    let zone = |index: usize, edge_proxy_count, link_kb_per_s| Zone {
        name: ZONE_NAMES[index].into(),
        edge_proxy_count,
        hub_zone_index: HUB_ZONE_INDEX,
        link_kb_per_s,
    };
    vec![
        zone(HUB_ZONE_INDEX, 0, 0.0),
        zone(LOCAL_ZONE_INDEX, 1, LINK_KB_PER_S),
        zone(REMOTE_ZONE_INDEX, 1, LINK_KB_PER_S),
    ]
}

/// Returns the limits that a router must keep.
pub fn rules() -> Rules {
    Rules {
        drain_grace_us: SECOND_US,
        warm_up_initial_share: 0.2,
        warm_up_us: 10 * SECOND_US,
        overload_multiple: 3.0,
        overload_window_us: SECOND_US,
        parent_warm_up_initial_share: 0.1,
        parent_warm_up_us: 20 * SECOND_US,
        parent_overload_multiple: 2.0,
        purge_grace_us: 500 * MILLISECOND_US,
        purge_completion_us: PURGE_COMPLETION_US,
        max_poll_interval_us: 0,
    }
}

/// Returns the settings of a router in [`LOCAL_ZONE_INDEX`]. Tests change the settings that they
/// examine.
pub fn settings() -> Settings {
    Settings {
        classes: classes(),
        tenants: vec![],
        zones: zones(),
        own_zone_index: LOCAL_ZONE_INDEX,
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
        max_retry_after_us: MAX_RETRY_AFTER_US,
        origin_overload_multiple: 2.5,
        rules: rules(),
    }
}

/// Returns settings where every request goes through a cache server.
pub fn settings_without_direct_requests() -> Settings {
    Settings {
        direct_requests: false,
        ..settings()
    }
}

/// Changes the class with this name. Panics if the settings have no such class.
pub fn change_class(settings: &mut Settings, name: &str, change: impl FnOnce(&mut Class)) {
    let class = settings.classes.iter_mut().find(|class| class.name == name);
    change(class.expect("the settings have the class"));
}

/// Returns settings where the rate of the link of the router's zone is unknown.
pub fn settings_with_unknown_link() -> Settings {
    let mut settings = settings();
    settings.zones[LOCAL_ZONE_INDEX].link_kb_per_s = 0.0;
    settings
}

/// Returns a ready server that started long ago and has a cell of its own.
pub fn endpoint(id: ServerId, zone: &str, kind: &str) -> Endpoint {
    Endpoint {
        id,
        zone: zone.into(),
        cell: id,
        kind: kind.into(),
        weight: if kind == "parent" {
            PARENT_CAPACITY_TRANSFERS
        } else {
            CACHE_CAPACITY_TRANSFERS
        },
        state: EndpointState::Ready,
        started_at: None,
    }
}

/// Returns a cache server of the router's own zone.
pub fn cache_server(id: ServerId) -> Endpoint {
    endpoint(id, ZONE_NAMES[LOCAL_ZONE_INDEX], "cache")
}

/// Returns a cache server of another location.
pub fn remote_cache_server(id: ServerId) -> Endpoint {
    endpoint(id, ZONE_NAMES[REMOTE_ZONE_INDEX], "cache")
}

/// Returns a parent.
pub fn parent(id: ServerId) -> Endpoint {
    endpoint(id, ZONE_NAMES[HUB_ZONE_INDEX], "parent")
}

/// Returns an origin.
pub fn origin(id: ServerId) -> Endpoint {
    endpoint(id, ZONE_NAMES[HUB_ZONE_INDEX], "origin")
}

/// Returns the four cache servers of the router's zone, one of another location, two parents and
/// the origin.
pub fn fleet() -> Vec<Endpoint> {
    let mut endpoints: Vec<Endpoint> = CACHE_SERVERS.map(cache_server).into();
    endpoints.push(remote_cache_server(REMOTE_CACHE_SERVER));
    endpoints.extend(PARENTS.map(parent));
    endpoints.push(origin(ORIGIN));
    endpoints
}

/// Returns the fleet with one server that started at this time.
pub fn fleet_with_started(server: ServerId, started: Micros) -> Vec<Endpoint> {
    let mut endpoints = fleet();
    for endpoint in &mut endpoints {
        if endpoint.id == server {
            endpoint.started_at = Some(started);
        }
    }
    endpoints
}

/// Returns the fleet with servers whose capacity is never a bottleneck.
pub fn fleet_with_unlimited_capacity() -> Vec<Endpoint> {
    let mut endpoints = fleet();
    for endpoint in &mut endpoints {
        endpoint.weight = UNLIMITED_CAPACITY_TRANSFERS;
    }
    endpoints
}

/// Returns one cache server of the router's zone, one parent and the origin.
pub fn fleet_with_one_cache_server(id: ServerId) -> Vec<Endpoint> {
    vec![cache_server(id), parent(PARENTS[0]), origin(ORIGIN)]
}

/// Returns the event that carries the whole endpoint list.
pub fn endpoint_snapshot(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointList {
        mode: EndpointListMode::Snapshot,
        endpoints,
    }
}

/// Returns the event that carries changed entries of the endpoint list.
pub fn endpoint_delta(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointList {
        mode: EndpointListMode::Delta,
        endpoints,
    }
}

/// Returns the event that an object was purged `age_us` microseconds ago.
pub fn object_purge(object: &str, age_us: Micros) -> Event {
    Event::Purged {
        object: Some(object.into()),
        purge_group: PURGE_GROUP,
        age_us,
        permanent: false,
    }
}

/// Returns the event that a whole purge group was purged `age_us` microseconds ago.
pub fn group_purge(purge_group: u64, age_us: Micros) -> Event {
    Event::Purged {
        object: None,
        purge_group,
        age_us,
        permanent: false,
    }
}

/// Returns a client's request for the first part of an object.
pub fn request(id: RequestId, class: &str, object: &str) -> Request {
    Request {
        id,
        class: class.into(),
        tenant: None,
        object: object.into(),
        part: 0,
        purge_group: PURGE_GROUP,
        size_kb: PART_SIZE_KB,
        remaining_us: CLIENT_TIMEOUT_US,
        is_retry: false,
    }
}

/// An attempt that a router has started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt, counted from 0 for each request.
    pub number: u32,
    /// The server that the request is forwarded to.
    pub server: ServerId,
    /// How a miss is filled.
    pub fill: Fill,
    /// The timeout of the attempt. `None` if it ends only when the client stops waiting.
    pub timeout_us: Option<Micros>,
}

impl Attempt {
    /// Returns the first attempt of a request among these actions, or `None` if there is none.
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

    /// Returns the retry of this attempt among these actions, or `None` if there is none.
    pub fn retry_in(&self, actions: &[Action]) -> Option<Attempt> {
        Attempt::first_in(actions).map(|retry| Attempt {
            number: self.number + 1,
            ..retry
        })
    }

    /// Returns whether a miss is filled. Otherwise the server serves only what it has cached.
    pub fn fills_a_miss(&self) -> bool {
        self.fill.source != self.server
    }

    /// Returns the action that cancels this attempt.
    pub fn cancellation(&self) -> Action {
        Action::CancelAttempt {
            request: self.request,
            attempt: self.number,
        }
    }

    /// Returns a report that this attempt ended after 100 ms. See [`attempt_report`].
    pub fn report(&self, outcome: Outcome, fill_result: FillResult) -> AttemptReport {
        attempt_report(self.request, self.number, self.server, outcome, fill_result)
    }
}

/// Returns a report that an attempt ended after 100 ms. The request has its final answer if it was
/// served.
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
        took_us: 100 * MILLISECOND_US,
        settled: outcome == Outcome::Ok,
        fill_result,
        fill_ttfb_us: 0,
        load: None,
    }
}

/// Returns the number of final answers that the router gives itself.
pub fn count_final_answers(actions: &[Action]) -> usize {
    let is_final = |action: &&Action| matches!(action, Action::Reject { .. } | Action::Fail { .. });
    actions.iter().filter(is_final).count()
}

/// Returns the cancellations among these actions.
pub fn cancellations(actions: Vec<Action>) -> Vec<Action> {
    let is_cancellation = |action: &Action| matches!(action, Action::CancelAttempt { .. });
    actions.into_iter().filter(is_cancellation).collect()
}

/// A request that was submitted to the router, with the actions that the router returned.
#[derive(Debug)]
pub struct Submission {
    /// The request.
    pub request: RequestId,
    /// The actions that the router returned.
    pub actions: Vec<Action>,
}

impl Submission {
    /// Returns the attempt that was started for the request, or `None` if there is none.
    pub fn attempt(&self) -> Option<Attempt> {
        Attempt::first_in(&self.actions)
    }
}

/// Creates a router that has received this endpoint list at this time.
pub fn router_with_endpoints(
    settings: Settings,
    seed: u64,
    now: Micros,
    endpoints: Vec<Endpoint>,
) -> Router {
    let mut router = Router::new(settings, seed).expect("the settings are valid");
    router.handle(now, endpoint_snapshot(endpoints), &mut Vec::new());
    router
}

/// A router with a clock that the test advances, and a counter for request ids.
pub struct Harness {
    /// The router under test.
    pub router: Router,
    /// The time at which the next event is handled.
    pub now: Micros,
    next_request_id: RequestId,
}

impl Harness {
    /// The seed of the router's pseudo-random numbers.
    const SEED: u64 = 7;

    /// Creates a router that has received this endpoint list.
    pub fn new(settings: Settings, endpoints: Vec<Endpoint>) -> Harness {
        Harness {
            router: router_with_endpoints(settings, Harness::SEED, START_TIME_US, endpoints),
            now: START_TIME_US,
            next_request_id: 1,
        }
    }

    /// Creates a router with [`settings`] and [`fleet`].
    pub fn with_defaults() -> Harness {
        Harness::new(settings(), fleet())
    }

    /// Advances the clock. No timer fires by itself.
    pub fn advance(&mut self, duration_us: Micros) {
        self.now += duration_us;
    }

    /// Sends an event to the router and returns its actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions
    }

    /// Fires the router's recurring sweep timer and returns the actions.
    pub fn sweep(&mut self) -> Vec<Action> {
        self.handle(Event::Timer {
            tag: SWEEP_TIMER_TAG,
        })
    }

    /// Advances the clock, fires the sweep timer and returns the cancellations.
    pub fn cancellations_after(&mut self, duration_us: Micros) -> Vec<Action> {
        self.advance(duration_us);
        cancellations(self.sweep())
    }

    /// Returns a request with the next id, without submitting it.
    pub fn next_request(&mut self, class: &str, object: &str) -> Request {
        let id = self.next_request_id;
        self.next_request_id += 1;
        request(id, class, object)
    }

    /// Submits a request that the test has created or changed.
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

    /// Submits a request and returns its attempt. Panics if the request is not forwarded.
    pub fn forward(&mut self, class: &str, object: &str) -> Attempt {
        let submission = self.submit(class, object);
        submission
            .attempt()
            .unwrap_or_else(|| panic!("the request was not forwarded: {submission:?}"))
    }

    /// Reports how an attempt ended.
    pub fn report(&mut self, report: AttemptReport) -> Vec<Action> {
        self.handle(Event::AttemptEnded(report))
    }

    /// Ends an attempt with this fill result.
    pub fn finish_with(
        &mut self,
        attempt: &Attempt,
        outcome: Outcome,
        fill_result: FillResult,
    ) -> Vec<Action> {
        self.report(attempt.report(outcome, fill_result))
    }

    /// Ends an attempt without reporting a fill result.
    pub fn finish(&mut self, attempt: &Attempt, outcome: Outcome) -> Vec<Action> {
        self.finish_with(attempt, outcome, FillResult::Unknown)
    }

    /// Ends an attempt as a cache hit.
    pub fn finish_as_hit(&mut self, attempt: &Attempt) {
        self.finish_with(attempt, Outcome::Ok, FillResult::Hit);
    }

    /// Ends an attempt with this fill result. Returns its retry, or `None` if there is none.
    pub fn retry_with(
        &mut self,
        attempt: &Attempt,
        outcome: Outcome,
        fill_result: FillResult,
    ) -> Option<Attempt> {
        let actions = self.finish_with(attempt, outcome, fill_result);
        attempt.retry_in(&actions)
    }

    /// Ends an attempt without reporting a fill result. Returns its retry, or `None` if there is
    /// none.
    pub fn retry(&mut self, attempt: &Attempt, outcome: Outcome) -> Option<Attempt> {
        self.retry_with(attempt, outcome, FillResult::Unknown)
    }

    /// Reports that the client of a request has disconnected.
    pub fn disconnect(&mut self, request: RequestId) -> Vec<Action> {
        self.handle(Event::ClientDisconnected { request })
    }

    /// Submits a request, serves it as a cache hit and returns the attempt. Panics if the request
    /// is not forwarded.
    pub fn serve_hit(&mut self, class: &str, object: &str) -> Attempt {
        let attempt = self.forward(class, object);
        self.finish_as_hit(&attempt);
        attempt
    }

    /// Submits a request for each of `count` objects and serves the forwarded requests as cache
    /// hits. Returns the servers that the requests were forwarded to.
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
