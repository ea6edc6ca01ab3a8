//! Waits between attempts to reach a source of discovery.

use edge_proxy::discovery::backoff::Backoff;
use std::collections::BTreeSet;

const SHORTEST_US: u64 = 100_000;
const LONGEST_US: u64 = 240_000;

#[test]
fn waits_grow_to_the_longest_with_jitter_and_begin_anew_after_success() {
    for seed in 0..100 {
        let mut backoff = Backoff::new(SHORTEST_US, LONGEST_US, seed);
        for longest in [
            SHORTEST_US,
            2 * SHORTEST_US,
            LONGEST_US,
            LONGEST_US,
            LONGEST_US,
        ] {
            let wait_us = backoff.next_delay_us();
            assert!((longest / 2..=longest).contains(&wait_us), "{wait_us}");
        }
        backoff.reset();
        assert!(backoff.next_delay_us() <= SHORTEST_US);
    }
}

#[test]
fn proxies_that_lose_a_source_together_do_not_come_back_together() {
    let first_waits: BTreeSet<u64> = (0..900)
        .map(|seed| Backoff::new(SHORTEST_US, LONGEST_US, seed).next_delay_us())
        .collect();
    assert!(first_waits.len() > 800, "{}", first_waits.len());
}
