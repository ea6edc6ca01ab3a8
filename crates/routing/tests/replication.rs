//! Replication: the cache servers of an object are the first ones in its rendezvous order. Their
//! number is proportional to the object's share of all requests.

mod support;
use edge_routing::*;
use std::collections::BTreeSet;
use support::*;

/// The number of objects that are requested once each.
const OBJECTS: usize = 300;
/// The object that is requested more often than others.
const HOT_OBJECT: &str = "/o/hot";

/// Guards against routers that send requests for one object to different cache servers, which would
/// store needless copies.
#[test]
fn objects_spread_over_all_cache_servers_in_an_order_that_every_router_shares() {
    let mut early = Harness::with_defaults();
    let mut late = Harness::with_defaults();
    late.advance(60 * SECOND_US);
    let servers = early.servers_of_objects(OBJECTS);
    assert_eq!(servers.len(), OBJECTS, "every request is forwarded");
    assert_eq!(
        servers,
        late.servers_of_objects(OBJECTS),
        "both routers choose the same cache servers"
    );
    assert_eq!(BTreeSet::from_iter(servers), BTreeSet::from(CACHE_SERVERS));
}

/// Guards against a wave of misses when a cache server leaves: objects of the other servers would
/// have to be filled again.
#[test]
fn removing_a_cache_server_moves_only_its_own_objects() {
    const REMOVED: ServerId = 3;
    let before = Harness::with_defaults().servers_of_objects(OBJECTS);
    let mut remaining = fleet();
    remaining.retain(|endpoint| endpoint.id != REMOVED);
    let after = Harness::new(settings(), remaining).servers_of_objects(OBJECTS);
    assert_eq!(
        [before.len(), after.len()],
        [OBJECTS; 2],
        "every request is forwarded"
    );
    for (server_before, server_after) in before.iter().zip(&after) {
        if *server_before != REMOVED {
            assert_eq!(server_after, server_before);
        }
    }
}

/// Returns how many cache servers get the requests for one object once its share of all requests is
/// known. `other_objects` requests for other objects follow each request for it.
fn copies_of_hot_object(other_objects: usize) -> usize {
    const ROUNDS: usize = 600;
    const ROUNDS_BEFORE_MEASUREMENT: usize = 300;
    let mut harness = Harness::with_defaults();
    let mut servers = BTreeSet::new();
    for round in 0..ROUNDS {
        let attempt = harness.serve_hit(VIDEO, HOT_OBJECT);
        if round > ROUNDS_BEFORE_MEASUREMENT {
            servers.insert(attempt.server);
        }
        for other in 0..other_objects {
            harness.serve_hit(VIDEO, &format!("/o/{round}-{other}"));
        }
    }
    servers.len()
}

/// Guards against a popular object that overloads its only cache server.
#[test]
fn the_number_of_copies_grows_with_the_share_of_requests() {
    assert_eq!(
        copies_of_hot_object(2),
        2,
        "a third of the requests needs two of four cache servers"
    );
    assert_eq!(
        copies_of_hot_object(0),
        CACHE_SERVERS.len(),
        "all of the requests need all cache servers"
    );
}

/// Guards against cache space that is used for copies of objects that were popular long ago.
#[test]
fn an_object_that_is_no_longer_popular_has_one_copy() {
    const ROUNDS: usize = 200;
    const ROUNDS_PER_HOT_REQUEST: usize = 20;
    let mut harness = Harness::with_defaults();
    for _ in 0..ROUNDS {
        harness.serve_hit(VIDEO, HOT_OBJECT);
    }
    harness.advance(300 * SECOND_US);
    let mut servers = BTreeSet::new();
    for round in 0..ROUNDS {
        harness.serve_hit(VIDEO, &format!("/o/{round}"));
        harness.serve_hit(VIDEO, &format!("/o/b{round}"));
        if round % ROUNDS_PER_HOT_REQUEST == 0 {
            servers.insert(harness.serve_hit(VIDEO, HOT_OBJECT).server);
        }
    }
    assert_eq!(servers.len(), 1, "the request counts have decayed");
}
