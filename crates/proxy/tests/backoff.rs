//! Backoff between attempts to reach a discovery source.

use edge_proxy::discovery::backoff::Backoff;
use std::collections::BTreeSet;

const SHORTEST_WAIT_US: u64 = 100_000;
const LONGEST_WAIT_US: u64 = 240_000;

/// Without growing waits, proxies would burden a source that is down. Without an upper bound and a
/// restart after success, a proxy would learn of drains and purges too late.
#[test]
fn waits_grow_up_to_the_longest_with_jitter_and_start_over_after_success() {
    for seed in 0..100 {
        let mut backoff = Backoff::new(SHORTEST_WAIT_US, LONGEST_WAIT_US, seed);
        for longest_us in [
            SHORTEST_WAIT_US,
            2 * SHORTEST_WAIT_US,
            LONGEST_WAIT_US,
            LONGEST_WAIT_US,
            LONGEST_WAIT_US,
        ] {
            let wait_us = backoff.next_delay_us();
            assert!(
                (longest_us / 2..=longest_us).contains(&wait_us),
                "wait of {wait_us} us, expected {} to {longest_us} us",
                longest_us / 2
            );
        }
        backoff.reset();
        assert!(backoff.next_delay_us() <= SHORTEST_WAIT_US);
    }
}

/// All proxies lose a source at the same moment. With equal waits they would all reconnect in the
/// same moment and overload it.
#[test]
fn proxies_that_lose_a_source_together_do_not_reconnect_together() {
    let first_waits: BTreeSet<u64> = (0..900)
        .map(|seed| Backoff::new(SHORTEST_WAIT_US, LONGEST_WAIT_US, seed).next_delay_us())
        .collect();
    assert!(
        first_waits.len() > 800,
        "only {} different first waits among 900 proxies",
        first_waits.len()
    );
}
