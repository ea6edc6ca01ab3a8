//! Which cache servers hold an object: rendezvous order, with as many copies as the object's share
//! of the requests calls for.

mod support;
use edge_routing::*;
use std::collections::BTreeSet;
use support::*;

const OBJECTS: usize = 300;
const HOT_OBJECT: &str = "/o/hot";

#[test]
fn objects_spread_over_all_cache_servers_in_an_order_that_every_router_shares() {
    let mut early = Harness::with_defaults();
    let mut late = Harness::with_defaults();
    late.advance(60 * SECOND);
    let servers = early.servers_of_objects(OBJECTS);
    assert_eq!(servers.len(), OBJECTS, "every request is forwarded");
    assert_eq!(
        servers,
        late.servers_of_objects(OBJECTS),
        "the order is shared"
    );
    assert_eq!(BTreeSet::from_iter(servers), BTreeSet::from(CACHE_SERVERS));
}

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

/// How many cache servers get the requests for one object, once its share of all requests is known,
/// while `other_objects` requests for other objects follow each of its own.
fn copies_of_hot_object(other_objects: usize) -> usize {
    const ROUNDS: usize = 600;
    const ROUNDS_TO_LEARN: usize = 300;
    let mut harness = Harness::with_defaults();
    let mut servers = BTreeSet::new();
    for round in 0..ROUNDS {
        let attempt = harness.serve_hit(VIDEO, HOT_OBJECT);
        if round > ROUNDS_TO_LEARN {
            servers.insert(attempt.server);
        }
        for other in 0..other_objects {
            harness.serve_hit(VIDEO, &format!("/o/{round}-{other}"));
        }
    }
    servers.len()
}

#[test]
fn copies_grow_with_the_share_of_requests() {
    assert_eq!(
        copies_of_hot_object(2),
        2,
        "a third of the requests, four cache servers"
    );
    assert_eq!(
        copies_of_hot_object(0),
        CACHE_SERVERS.len(),
        "all of the requests"
    );
}

#[test]
fn request_counts_decay() {
    const ROUNDS: usize = 200;
    const ROUNDS_PER_HOT_REQUEST: usize = 20;
    let mut harness = Harness::with_defaults();
    for _ in 0..ROUNDS {
        harness.serve_hit(VIDEO, HOT_OBJECT);
    }
    harness.advance(300 * SECOND);
    let mut servers = BTreeSet::new();
    for round in 0..ROUNDS {
        harness.serve_hit(VIDEO, &format!("/o/{round}"));
        harness.serve_hit(VIDEO, &format!("/o/b{round}"));
        if round % ROUNDS_PER_HOT_REQUEST == 0 {
            servers.insert(harness.serve_hit(VIDEO, HOT_OBJECT).server);
        }
    }
    assert_eq!(
        servers.len(),
        1,
        "an object that was hot long ago has one copy"
    );
}
