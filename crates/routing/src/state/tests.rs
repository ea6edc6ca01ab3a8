//! Unit tests of the state of servers, requests, purges and popularity.

use super::*;
use crate::estimate::{hash, SharedLoadEstimate, TransferPace};
use crate::event::{Endpoint, EndpointListMode, EndpointState, Request};
use crate::settings::*;

const SECOND_US: Micros = 1_000_000;

fn class() -> Class {
    Class {
        name: "video".into(),
        latency_objective_us: SECOND_US,
        objective_extension_per_transfer_time: 2.0,
        deadline_us: 8 * SECOND_US,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        dedup_scope: DedupScope::All,
        dedup_window_us: 0,
        streaming: false,
        multipart: false,
        is_write: false,
        freshness_lifetime_us: 0,
        stale_grace_us: 0,
        stale_weight: 0.0,
    }
}

fn settings() -> Settings {
    let zone = |name: &str, edge_proxy_count| Zone {
        name: name.into(),
        edge_proxy_count,
        hub_zone_index: 0,
        link_kb_per_s: 0.0,
    };
    Settings {
        classes: vec![class()],
        tenants: vec![],
        zones: vec![zone("hub", 0), zone("town", 2), zone("shore", 3)],
        own_zone_index: 1,
        parent_kind: Some("parent".into()),
        origin_kind: "origin".into(),
        poll_endpoint_list: false,
        direct_requests: false,
        coalescing: true,
        peer_fill: PeerFill::Off,
        provenance: Provenance::Full,
        load_reports: LoadReportSource::Off,
        weights_are_capacities: true,
        transfer_kb_per_s: 4_000.0,
        max_attempts: 4,
        hedging: false,
        cancellation: true,
        probing: false,
        retry_after: true,
        max_retry_after_us: SECOND_US,
        origin_overload_multiple: 0.0,
        rules: Rules {
            drain_grace_us: SECOND_US,
            warm_up_initial_share: 0.25,
            warm_up_us: 10 * SECOND_US,
            overload_multiple: 3.0,
            overload_window_us: SECOND_US,
            parent_warm_up_initial_share: 0.5,
            parent_warm_up_us: 10 * SECOND_US,
            parent_overload_multiple: 2.0,
            purge_grace_us: 0,
            purge_completion_us: 5 * SECOND_US,
            max_poll_interval_us: 0,
        },
    }
}

fn endpoint(id: u64, zone: &str, kind: &str) -> Endpoint {
    Endpoint {
        id,
        zone: zone.into(),
        cell: id,
        kind: kind.into(),
        weight: 4.0,
        state: EndpointState::Ready,
        started_at: None,
    }
}

fn cache_server(id: u64) -> Endpoint {
    endpoint(id, "town", "cache")
}

/// Creates a table with cache servers 1 and 2 of the router's own zone, parent 5 and origin 9. The
/// endpoint list also has cache server 3 of another zone.
fn server_table() -> ServerTable {
    let mut servers = ServerTable::new(
        TransferPace::new(10.0, 2.0),
        SharedLoadEstimate::new(1.0, 0.5),
    );
    let list = vec![
        cache_server(1),
        cache_server(2),
        endpoint(3, "shore", "cache"),
        endpoint(5, "hub", "parent"),
        endpoint(9, "hub", "origin"),
    ];
    servers.update(EndpointListMode::Snapshot, list, &settings());
    servers
}

fn attempt(now: Micros, server: u64, fill_source: Option<u64>) -> InFlightAttempt {
    InFlightAttempt::new(
        now,
        0,
        Target {
            server,
            fill_source,
        },
    )
}

fn request(now: Micros) -> RequestState {
    let request = Request {
        id: 7,
        class: "video".into(),
        tenant: None,
        object: "/o/film".into(),
        part: 3,
        purge_group: 4,
        size_kb: 4_000.0,
        remaining_us: 8 * SECOND_US,
        is_retry: false,
    };
    RequestState::new(now, &request, 0, &class(), 1.0)
}

/// Guards against requests that go to another location: the endpoint list names the cache servers
/// of all zones.
#[test]
fn servers_get_their_roles_and_cache_servers_of_other_zones_are_ignored() {
    let servers = server_table();
    let ranked = servers.ranked(0, true);
    let mut caches: Vec<u64> = ranked.caches.iter().map(|cache| cache.id).collect();
    caches.sort_unstable();
    assert_eq!(caches, [1, 2]);
    assert_eq!(ranked.parents.len(), 1);
    assert_eq!(ranked.origin.map(|origin| origin.id), Some(9));
    assert!(servers.get(3).is_none());
    assert_eq!(servers.cache_count(), 2);
}

/// Guards against the loss of a server's state while its attempts are still in flight, and against
/// a table that keeps departed servers forever.
#[test]
fn a_server_missing_from_a_snapshot_is_removed_once_it_has_no_attempts_in_flight() {
    let mut servers = server_table();
    let in_flight = attempt(0, 1, None);
    servers.record_attempt_sent(7, &in_flight, 1.0);
    servers.update(
        EndpointListMode::Snapshot,
        vec![cache_server(2)],
        &settings(),
    );
    assert_eq!(
        servers.get(1).map(|server| server.lifecycle),
        Some(EndpointState::Gone)
    );
    assert!(servers.get(9).is_none());
    assert_eq!(servers.ranked(0, true).caches.len(), 1);
    servers.record_attempt_ended(&in_flight);
    servers.update(EndpointListMode::Delta, vec![], &settings());
    assert!(servers.get(1).is_none());
}

/// Guards against failures of the old process that count against the new one, and against a restart
/// that frees slow-start budget which is already spent.
#[test]
fn a_restart_clears_failures_but_keeps_attempts_in_flight_and_charges() {
    let mut servers = server_table();
    servers.record_attempt_sent(7, &attempt(0, 1, None), 1.5);
    servers.record_connection_failure(1);
    servers.modify(1, |server| server.failure_rate = 0.4);
    let restarted = Endpoint {
        started_at: Some(SECOND_US),
        ..cache_server(1)
    };
    servers.update(EndpointListMode::Delta, vec![restarted], &settings());
    let server = servers.get(1).expect("server 1 is in the endpoint list");
    assert_eq!(server.failure_rate, 0.0);
    assert!(!server.unreachable);
    assert_eq!(server.transfers_in_flight.own(), 1.0);
    assert_eq!(server.charged_transfer_s(0), 1.5);
}

/// Guards against unusable weights from the endpoint list, which would distort the order of the
/// servers and their capacities.
#[test]
fn a_weight_that_is_not_positive_and_finite_counts_as_one() {
    let mut servers = server_table();
    for weight in [f64::NAN, f64::INFINITY, 0.0, -1.0] {
        let listed = Endpoint {
            weight,
            ..cache_server(1)
        };
        servers.update(EndpointListMode::Delta, vec![listed], &settings());
        assert_eq!(servers.get(1).map(|server| server.weight), Some(1.0));
    }
}

/// Guards against overload of a server that is warming up and has only a share of its capacity.
#[test]
fn capacity_grows_linearly_from_the_start_to_the_end_of_the_warm_up() {
    let mut servers = server_table();
    let restarted = Endpoint {
        started_at: Some(20 * SECOND_US),
        ..cache_server(1)
    };
    servers.update(EndpointListMode::Delta, vec![restarted], &settings());
    let server = servers.get(1).expect("server 1 is in the endpoint list");
    let capacity_share = |after_s: u64| server.warm_up_capacity_share((20 + after_s) * SECOND_US);
    assert_eq!(
        (capacity_share(0), capacity_share(5), capacity_share(10)),
        (0.25, 0.625, 1.0)
    );
    assert!(server.is_warming_up(29 * SECOND_US));
    assert!(!server.is_warming_up(31 * SECOND_US));
    assert!(servers
        .get(2)
        .is_some_and(|server| !server.is_warming_up(0)));
}

/// Guards against many requests at a server that may still fail when its ejection has ended.
#[test]
fn an_ejected_server_is_available_for_one_half_open_probe_at_a_time() {
    let mut servers = server_table();
    servers.modify(1, |server| {
        server.consecutive_ejections = 1;
        server.ejected_until = 5;
    });
    assert!(!servers.is_available(1, 4));
    assert!(servers.is_available(1, 5));
    let probe = attempt(5, 2, Some(1));
    servers.record_attempt_sent(7, &probe, 1.0);
    assert!(
        !servers.is_available(1, 6),
        "a half-open probe is in flight"
    );
    servers.record_attempt_ended(&probe);
    assert!(servers.is_available(1, 6));
    assert!(
        !servers.is_available(77, 6),
        "server 77 is not in the table"
    );
}

/// Guards against a slow-start budget that is used up by old transfers, or by fills that never
/// happened.
#[test]
fn charges_count_from_a_given_time_and_can_be_cancelled_and_removed() {
    let mut servers = server_table();
    for (at, request) in [(1, 7), (2, 8), (3, 9)] {
        servers.record_attempt_sent(request, &attempt(at, 1, Some(5)), 2.0);
    }
    let charged_transfer_s =
        |servers: &ServerTable, id| servers.get(id).map(|server| server.charged_transfer_s(2));
    assert_eq!(charged_transfer_s(&servers, 1), Some(4.0));
    servers.cancel_charge(5, 8);
    assert_eq!(charged_transfer_s(&servers, 5), Some(2.0));
    servers.sample_load_and_drop_charges(3);
    assert_eq!(charged_transfer_s(&servers, 1), Some(2.0));
    let load = servers
        .get(1)
        .map(|server| server.transfers_in_flight.total());
    assert_eq!(
        load,
        Some(4.5),
        "the router's own 3 transfers and the average of the other router"
    );
}

/// Guards against ejection after a single broken connection: all attempts on it end at the same
/// time.
#[test]
fn connection_resets_at_the_same_time_count_once() {
    let mut servers = server_table();
    assert!(servers.record_connection_reset(1, 10));
    assert!(!servers.record_connection_reset(1, 10));
    assert!(servers.record_connection_reset(1, 11));
}

/// Guards against late requests that are abandoned although their clients still wait.
#[test]
fn the_time_left_ends_at_the_latency_objective_and_after_that_at_the_client_deadline() {
    let request = request(0);
    assert_eq!(
        request.objective_deadline,
        3 * SECOND_US,
        "the objective is 1 s plus twice the transfer time"
    );
    assert_eq!(request.time_left_us(SECOND_US), 2 * SECOND_US);
    assert_eq!(request.time_left_us(3 * SECOND_US), 5 * SECOND_US);
    assert_eq!(request.time_left_us(9 * SECOND_US), 0);
}

/// Guards against reports about unknown requests or earlier attempts that end the wrong attempt.
#[test]
fn only_the_attempt_in_flight_can_end() {
    let mut requests = RequestTable::default();
    assert!(requests.insert(7, request(0)));
    assert!(
        !requests.insert(7, request(0)),
        "a request with this id is in the table"
    );
    let stalled = InFlightAttempt {
        stalled: true,
        ..attempt(0, 1, None)
    };
    requests.record_attempt_sent(7, stalled);
    assert!(requests.take_ended_attempt(7, 1).is_none());
    assert!(requests.take_ended_attempt(8, 0).is_none());
    let ended = requests
        .take_ended_attempt(7, 0)
        .expect("attempt 0 is in flight");
    assert_eq!(
        (ended.request.attempts_sent, ended.request.stalled_attempts),
        (1, 1)
    );
    assert!(requests.get(7).is_none());
}

/// Guards against the cancellation of a streamed answer that has already begun at the client.
#[test]
fn an_attempt_is_cancellable_once_and_only_before_its_stream_starts() {
    let mut requests = RequestTable::default();
    requests.insert(7, request(0));
    requests.record_attempt_sent(7, attempt(0, 1, None));
    let is_cancellable = |requests: &mut RequestTable| {
        let request = requests.get_mut(7);
        request.is_some_and(|request| request.cancellable_attempt().is_some())
    };
    assert!(is_cancellable(&mut requests));
    requests.record_stream_started(7, 5);
    assert!(
        is_cancellable(&mut requests),
        "the stream of an attempt that is not in flight"
    );
    requests.record_stream_started(7, 0);
    assert!(!is_cancellable(&mut requests));

    let mut request = request(0);
    request.attempt_in_flight = Some(attempt(0, 1, None));
    request
        .cancellable_attempt()
        .expect("the attempt is in flight")
        .cancel(7);
    assert!(request.cancellable_attempt().is_none());
}

/// Guards against an unresponsive parent that is never ejected because only cache servers are
/// blamed.
#[test]
fn late_attempts_count_for_their_server_and_their_fill_source() {
    let mut requests = RequestTable::default();
    for (id, sent_at, server) in [(1, 10, 1), (2, 20, 2), (3, 30, 2)] {
        requests.insert(id, request(0));
        let late = InFlightAttempt {
            expected_by: 40 + id,
            ..attempt(sent_at, server, Some(5))
        };
        requests.record_attempt_sent(id, late);
    }
    let late = requests.late_attempts_by_server(43, |_| 0.5);
    let late_at = |id: u64| {
        late.get(&id)
            .map(|late| (late.fill_wait_chance, late.first_sent_at))
    };
    assert_eq!(late_at(1), Some((0.5, 10)));
    assert_eq!(
        late_at(2),
        Some((0.5, 20)),
        "the third attempt is not late yet"
    );
    assert_eq!(late_at(5), Some((0.25, 10)));
}

/// Guards against purged copies that are served because an older or unrelated purge is found, or
/// because an age of 0 is read as no limit.
#[test]
fn the_latest_purge_of_an_object_or_its_group_is_found() {
    let mut purges = PurgeTable::new(8);
    let object = hash::of_text("/o/film");
    assert_eq!(purges.time_since_purge_us(50, object, 4), None);
    purges.record(50, Some("/o/film"), 4, 20, false);
    purges.record(50, Some("/o/film"), 4, 10, false);
    assert_eq!(
        purges.time_since_purge_us(50, object, 4),
        Some(30),
        "the latest purge counts"
    );
    assert!(!purges.any_group_purge_notified_within(50, 100));
    purges.record(60, None, 4, 50, false);
    assert_eq!(
        purges.time_since_purge_us(50, object, 4),
        Some(1),
        "an age is at least 1"
    );
    assert!(purges.group_purged_within(4, 60, 10) && !purges.group_purged_within(4, 61, 10));
    assert!(!purges.group_purged_within(5, 60, 10));
    assert!(
        purges.any_group_purge_notified_within(70, 10)
            && !purges.any_group_purge_notified_within(71, 10)
    );
}

/// Guards against the loss of a permanent purge, which only the router enforces.
#[test]
fn a_full_purge_table_evicts_the_oldest_purges_that_are_not_permanent() {
    let mut purges = PurgeTable::new(2);
    let is_recorded = |purges: &PurgeTable, object: &str| {
        purges
            .time_since_purge_us(100, hash::of_text(object), 0)
            .is_some()
    };
    purges.record(1, Some("/o/kept"), 0, 1, true);
    purges.record(2, Some("/o/old"), 0, 2, false);
    purges.record(3, Some("/o/new"), 0, 3, false);
    assert!(is_recorded(&purges, "/o/kept") && is_recorded(&purges, "/o/new"));
    assert!(!is_recorded(&purges, "/o/old"));
}

/// Guards against parts of one object that share a count.
#[test]
fn popularity_counts_objects_and_their_parts() {
    let mut popularity = Popularity::new(10.0, 100, 0.25);
    let (mut first, mut second) = (request(0), request(0));
    second.part_hash += 1;
    popularity.count_request(0, &mut first);
    popularity.count_request(0, &mut second);
    assert_eq!(
        (second.object_request_count, second.part_request_count),
        (2.0, 1.0)
    );
    assert_eq!(popularity.total_requests(0), 2.0);
}
