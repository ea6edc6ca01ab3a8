//! The fill source of a cache miss: a parent, the origin, or a peer of the same location.

mod support;
use edge_routing::*;
use support::*;

/// Guards against several parents that fetch the same object from the origin, and against misses
/// that are not filled in a deployment without parents.
#[test]
fn fills_come_from_one_parent_per_object_and_from_the_origin_without_parents() {
    let mut harness = Harness::with_defaults();
    let first = harness.forward(VIDEO, "/o/a");
    let second = harness.forward(VIDEO, "/o/a");
    assert_eq!(first.fill.source, second.fill.source);
    assert!(PARENTS.contains(&first.fill.source));

    let mut endpoints_without_parents = fleet();
    endpoints_without_parents.retain(|endpoint| endpoint.kind != "parent");
    let settings = Settings {
        parent_kind: None,
        ..settings()
    };
    let mut harness = Harness::new(settings, endpoints_without_parents);
    assert_eq!(harness.forward(VIDEO, "/o/a").fill.source, ORIGIN);
}

/// Requests six objects in turn, and returns how many of the requests after
/// `REQUESTS_BEFORE_MEASUREMENT` are filled from the parent that fills the first request. Fills
/// from this parent take `first_parent_fill_time_us`, and fills from the other parent take
/// `SECOND_PARENT_FILL_TIME_US`.
fn measured_fills_from_first_parent(
    settings: Settings,
    first_parent_fill_time_us: Micros,
) -> usize {
    const SECOND_PARENT_FILL_TIME_US: Micros = 150 * MILLISECOND_US;
    const REQUESTS: usize = 60;
    const REQUESTS_BEFORE_MEASUREMENT: usize = 40;
    const OBJECTS: usize = 6;
    let mut harness = Harness::new(settings, fleet());
    let first_parent = harness.forward(VIDEO, "/o/0").fill.source;
    let mut measured_fills = 0;
    for index in 0..REQUESTS {
        let attempt = harness.forward(VIDEO, &format!("/o/{}", index % OBJECTS));
        let from_first_parent = attempt.fill.source == first_parent;
        harness.advance(20 * MILLISECOND_US);
        harness.report(AttemptReport {
            took_us: if from_first_parent {
                first_parent_fill_time_us
            } else {
                SECOND_PARENT_FILL_TIME_US
            },
            ..attempt.report(Outcome::Ok, FillResult::Filled)
        });
        if index >= REQUESTS_BEFORE_MEASUREMENT && from_first_parent {
            measured_fills += 1;
        }
    }
    measured_fills
}

/// Guards against fills that continue to come from a slow parent. Also guards against a change of
/// the parent because of small differences, which would make both parents fetch the same objects.
#[test]
fn the_second_parent_fills_while_the_first_is_much_slower_for_the_object_size() {
    let much_slower = 900 * MILLISECOND_US;
    let slightly_slower = 200 * MILLISECOND_US;
    let without_transfer_rate = Settings {
        transfer_kb_per_s: 0.0,
        ..settings()
    };
    assert_eq!(
        measured_fills_from_first_parent(settings(), much_slower),
        0,
        "the first parent is six times as slow, so the second parent fills"
    );
    assert!(
        measured_fills_from_first_parent(settings(), slightly_slower) > 0,
        "the first parent is only slightly slower, so it fills"
    );
    assert!(
        measured_fills_from_first_parent(without_transfer_rate, much_slower) > 0,
        "the transfer times are unknown, so the first parent fills"
    );
}

/// Guards against retries that meet the same rejection until no attempt is left.
#[test]
fn a_fill_source_that_rejects_is_not_used_again_for_the_same_request() {
    let mut harness = Harness::with_defaults();
    let first = harness.forward(VIDEO, "/o/a");
    let retry = harness
        .retry_with(&first, Outcome::Rejected, FillResult::SourceRejected)
        .expect("the attempt is retried");
    assert_eq!(
        retry.server, first.server,
        "the cache server is not at fault"
    );
    assert_ne!(retry.fill.source, first.fill.source);
}

/// Guards against congestion of the location's link by a cache server that started empty while its
/// peers have the copies.
#[test]
fn a_peer_fills_a_cache_server_that_is_warming_up() {
    let warming_up = CACHE_SERVERS[0];
    let peers = &CACHE_SERVERS[1..];
    let settings = Settings {
        peer_fill: PeerFill::SameLocation,
        ..settings()
    };
    let endpoints = fleet_with_started(warming_up, START_TIME_US - 5 * SECOND_US);
    let mut harness = Harness::new(settings, endpoints);
    let attempt = (0..40)
        .map(|index| harness.forward(VIDEO, &format!("/o/{index}")))
        .find(|attempt| attempt.server == warming_up)
        .expect("a request goes to the server that is warming up");
    let source = attempt.fill.source;
    assert!(
        peers.contains(&source),
        "fill source {source} is not a peer"
    );
}
