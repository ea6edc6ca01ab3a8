//! Unit tests of the tables of servers, requests and purges.

use super::*;
use crate::estimate::{hash, FleetLoad, TransferPace};
use crate::event::{Endpoint, EndpointListMode, EndpointState, Request};
use crate::settings::*;

const SECOND_US: Micros = 1_000_000;

fn class() -> Class {
    Class {
        name: "video".into(),
        latency_objective_us: SECOND_US,
        objective_per_transfer_time: 2.0,
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
    let zone = |name: &str, edge_proxies| Zone {
        name: name.into(),
        edge_proxies,
        hub: 0,
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

fn cache(id: u64) -> Endpoint {
    endpoint(id, "town", "cache")
}

/// Caches 1 and 2 of the own zone, cache 3 of another, parent 5 and origin 9.
fn servers() -> ServerTable {
    let mut servers = ServerTable::new(TransferPace::new(10.0, 2.0), FleetLoad::new(1.0, 0.5));
    let list = vec![
        cache(1),
        cache(2),
        endpoint(3, "shore", "cache"),
        endpoint(5, "hub", "parent"),
        endpoint(9, "hub", "origin"),
    ];
    servers.update(EndpointListMode::Snapshot, list, &settings());
    servers
}

fn attempt(now: Micros, server: u64, source: Option<u64>) -> InFlightAttempt {
    InFlightAttempt::new(now, 0, Target { server, source })
}

fn request(now: Micros) -> RequestState {
    let request = Request {
        id: 7,
        class: "video".into(),
        tenant: None,
        object: "/o/film".into(),
        part: 3,
        group: 4,
        size_kb: 4_000.0,
        remaining_us: 8 * SECOND_US,
        is_retry: false,
    };
    RequestState::new(now, &request, 0, &class(), 1.0)
}

#[test]
fn servers_have_roles_and_caches_of_other_zones_are_ignored() {
    let servers = servers();
    let ranked = servers.ranked(0, true);
    let mut caches: Vec<u64> = ranked.caches.iter().map(|cache| cache.id).collect();
    caches.sort_unstable();
    assert_eq!(caches, [1, 2]);
    assert_eq!(ranked.parents.len(), 1);
    assert_eq!(ranked.origin.map(|origin| origin.id), Some(9));
    assert!(servers.get(3).is_none());
    assert_eq!(servers.caches(), 2);
}

#[test]
fn a_snapshot_removes_what_it_does_not_name_once_nothing_is_in_flight_there() {
    let mut servers = servers();
    let in_flight = attempt(0, 1, None);
    servers.attempt_sent(7, &in_flight, 1.0);
    servers.update(EndpointListMode::Snapshot, vec![cache(2)], &settings());
    assert_eq!(
        servers.get(1).map(|server| server.lifecycle),
        Some(EndpointState::Gone)
    );
    assert!(servers.get(9).is_none());
    assert_eq!(servers.ranked(0, true).caches.len(), 1);
    servers.attempt_ended(&in_flight);
    servers.update(EndpointListMode::Delta, vec![], &settings());
    assert!(servers.get(1).is_none());
}

#[test]
fn a_restart_forgets_failures_but_not_what_is_in_flight_or_charged() {
    let mut servers = servers();
    servers.attempt_sent(7, &attempt(0, 1, None), 1.5);
    servers.connection_failed(1);
    servers.change(1, |server| server.failure_rate = 0.4);
    let restarted = Endpoint {
        started_at: Some(SECOND_US),
        ..cache(1)
    };
    servers.update(EndpointListMode::Delta, vec![restarted], &settings());
    let server = servers.get(1).expect("listed");
    assert_eq!(server.failure_rate, 0.0);
    assert!(!server.unreachable);
    assert_eq!(server.in_flight.own(), 1.0);
    assert_eq!(server.charged_s(0), 1.5);
}

#[test]
fn an_unusable_weight_counts_as_one() {
    let mut servers = servers();
    for weight in [f64::NAN, f64::INFINITY, 0.0, -1.0] {
        let listed = Endpoint { weight, ..cache(1) };
        servers.update(EndpointListMode::Delta, vec![listed], &settings());
        assert_eq!(servers.get(1).map(|server| server.weight), Some(1.0));
    }
}

#[test]
fn capacity_grows_in_a_line_from_the_start_to_the_end_of_the_warm_up() {
    let mut servers = servers();
    let restarted = Endpoint {
        started_at: Some(20 * SECOND_US),
        ..cache(1)
    };
    servers.update(EndpointListMode::Delta, vec![restarted], &settings());
    let server = servers.get(1).expect("listed");
    let fraction = |after_s: u64| server.warm_up_fraction((20 + after_s) * SECOND_US);
    assert_eq!((fraction(0), fraction(5), fraction(10)), (0.25, 0.625, 1.0));
    assert!(server.is_warming_up(29 * SECOND_US));
    assert!(!server.is_warming_up(31 * SECOND_US));
    assert!(servers
        .get(2)
        .is_some_and(|server| !server.is_warming_up(0)));
}

#[test]
fn after_an_ejection_one_probe_at_a_time_is_available() {
    let mut servers = servers();
    servers.change(1, |server| {
        server.consecutive_ejections = 1;
        server.ejected_until = 5;
    });
    assert!(!servers.is_available(1, 4));
    assert!(servers.is_available(1, 5));
    let probe = attempt(5, 2, Some(1));
    servers.attempt_sent(7, &probe, 1.0);
    assert!(!servers.is_available(1, 6), "a probe is in flight");
    servers.attempt_ended(&probe);
    assert!(servers.is_available(1, 6));
    assert!(!servers.is_available(77, 6), "not in the table");
}

#[test]
fn charges_count_from_a_time_on_and_are_forgotten() {
    let mut servers = servers();
    for (at, request) in [(1, 7), (2, 8), (3, 9)] {
        servers.attempt_sent(request, &attempt(at, 1, Some(5)), 2.0);
    }
    let charged_s = |servers: &ServerTable, id| servers.get(id).map(|server| server.charged_s(2));
    assert_eq!(charged_s(&servers, 1), Some(4.0));
    servers.uncharge(5, 8);
    assert_eq!(charged_s(&servers, 5), Some(2.0));
    servers.sweep(3);
    assert_eq!(charged_s(&servers, 1), Some(2.0));
    let load = servers.get(1).map(|server| server.in_flight.total());
    assert_eq!(load, Some(4.5), "its own 3 and the other router's average");
}

#[test]
fn resets_at_one_time_are_one() {
    let mut servers = servers();
    assert!(servers.connection_reset(1, 10));
    assert!(!servers.connection_reset(1, 10));
    assert!(servers.connection_reset(1, 11));
}

#[test]
fn the_time_left_runs_to_the_objective_and_then_to_the_deadline() {
    let request = request(0);
    assert_eq!(
        request.objective_at,
        3 * SECOND_US,
        "1 s and twice the transfer time"
    );
    assert_eq!(request.time_left_us(SECOND_US), 2 * SECOND_US);
    assert_eq!(request.time_left_us(3 * SECOND_US), 5 * SECOND_US);
    assert_eq!(request.time_left_us(9 * SECOND_US), 0);
}

#[test]
fn only_the_attempt_in_flight_ends() {
    let mut requests = RequestTable::default();
    assert!(requests.insert(7, request(0)));
    assert!(!requests.insert(7, request(0)), "the id is taken");
    let stalled = InFlightAttempt {
        stalled: true,
        ..attempt(0, 1, None)
    };
    requests.attempt_sent(7, stalled);
    assert!(requests.take_ended(7, 1).is_none());
    assert!(requests.take_ended(8, 0).is_none());
    let ended = requests.take_ended(7, 0).expect("it is in flight");
    assert_eq!((ended.request.attempts, ended.request.stalls), (1, 1));
    assert!(requests.get(7).is_none());
}

#[test]
fn an_attempt_is_cancellable_once_and_before_its_stream_starts() {
    let mut requests = RequestTable::default();
    requests.insert(7, request(0));
    requests.attempt_sent(7, attempt(0, 1, None));
    let cancellable = |requests: &mut RequestTable| {
        let request = requests.get_mut(7);
        request.is_some_and(|request| request.cancellable().is_some())
    };
    assert!(cancellable(&mut requests));
    requests.stream_started(7, 5);
    assert!(cancellable(&mut requests), "another attempt's stream");
    requests.stream_started(7, 0);
    assert!(!cancellable(&mut requests));

    let mut request = request(0);
    request.in_flight = Some(attempt(0, 1, None));
    request.cancellable().expect("in flight").cancel(7);
    assert!(request.cancellable().is_none());
}

#[test]
fn late_attempts_count_at_their_server_and_their_source() {
    let mut requests = RequestTable::default();
    for (id, sent_at, server) in [(1, 10, 1), (2, 20, 2), (3, 30, 2)] {
        requests.insert(id, request(0));
        let late = InFlightAttempt {
            expected_by: 40 + id,
            ..attempt(sent_at, server, Some(5))
        };
        requests.attempt_sent(id, late);
    }
    let late = requests.late_by_server(43, |_| 0.5);
    let of = |id: u64| late.get(&id).map(|late| (late.chance, late.first_sent_at));
    assert_eq!(of(1), Some((0.5, 10)));
    assert_eq!(of(2), Some((0.5, 20)), "the third is not late yet");
    assert_eq!(of(5), Some((0.25, 10)));
}

#[test]
fn a_purge_of_an_object_or_its_group_is_remembered() {
    let mut purges = PurgeTable::new(8);
    let object = hash::text("/o/film");
    assert_eq!(purges.since_purge_us(50, object, 4), None);
    purges.record(50, Some("/o/film"), 4, 20, false);
    purges.record(50, Some("/o/film"), 4, 10, false);
    assert_eq!(
        purges.since_purge_us(50, object, 4),
        Some(30),
        "the latest counts"
    );
    assert!(!purges.any_group_purged(50, 100));
    purges.record(60, None, 4, 50, false);
    assert_eq!(purges.since_purge_us(50, object, 4), Some(1), "never 0");
    assert!(purges.group_purged(4, 60, 10) && !purges.group_purged(4, 61, 10));
    assert!(!purges.group_purged(5, 60, 10));
    assert!(purges.any_group_purged(70, 10) && !purges.any_group_purged(71, 10));
}

#[test]
fn a_full_purge_table_drops_the_oldest_purges_that_are_not_permanent() {
    let mut purges = PurgeTable::new(2);
    let known = |purges: &PurgeTable, object: &str| {
        purges.since_purge_us(100, hash::text(object), 0).is_some()
    };
    purges.record(1, Some("/o/kept"), 0, 1, true);
    purges.record(2, Some("/o/old"), 0, 2, false);
    purges.record(3, Some("/o/new"), 0, 3, false);
    assert!(known(&purges, "/o/kept") && known(&purges, "/o/new"));
    assert!(!known(&purges, "/o/old"));
}

#[test]
fn popularity_counts_objects_and_parts() {
    let mut popularity = Popularity::new(10.0, 100, 0.25);
    let (mut first, mut second) = (request(0), request(0));
    second.part += 1;
    popularity.count(0, &mut first);
    popularity.count(0, &mut second);
    assert_eq!((second.object_count, second.part_count), (2.0, 1.0));
    assert_eq!(popularity.total(0), 2.0);
}
