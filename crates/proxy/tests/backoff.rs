//! Backoff between attempts to reach a discovery source.

use edge_proxy::discovery::backoff::Backoff;
use std::collections::BTreeSet;

const MIN_DELAY_US: u64 = 100_000;
const MAX_DELAY_US: u64 = 240_000;

/// Without growing delays, proxies would burden a source that is down. Without an upper bound and a
/// restart after success, a proxy would learn of drains and purges too late.
#[test]
fn delays_grow_up_to_the_maximum_with_jitter_and_start_over_after_success() {
    for seed in 0..100 {
        let mut backoff = Backoff::new(MIN_DELAY_US, MAX_DELAY_US, seed);
        for upper_bound_us in [
            MIN_DELAY_US,
            2 * MIN_DELAY_US,
            MAX_DELAY_US,
            MAX_DELAY_US,
            MAX_DELAY_US,
        ] {
            let delay_us = backoff.next_delay_us();
            assert!(
                (upper_bound_us / 2..=upper_bound_us).contains(&delay_us),
                "delay of {delay_us} us, expected {} to {upper_bound_us} us",
                upper_bound_us / 2
            );
        }
        backoff.reset();
        assert!(backoff.next_delay_us() <= MIN_DELAY_US);
    }
}

/// All proxies lose a source at the same moment. With equal delays they would all reconnect in the
/// same moment and overload it.
#[test]
fn proxies_that_lose_a_source_together_do_not_reconnect_together() {
    let first_delays: BTreeSet<u64> = (0..900)
        .map(|seed| Backoff::new(MIN_DELAY_US, MAX_DELAY_US, seed).next_delay_us())
        .collect();
    assert!(
        first_delays.len() > 800,
        "only {} different first delays among 900 proxies",
        first_delays.len()
    );
}
