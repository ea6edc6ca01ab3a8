//! Unit tests of the statistics and hash functions.

use super::*;

const SECOND_US: u64 = 1_000_000;

/// Returns `length` pseudo-random numbers from 0 to 1. Equal seeds give equal numbers.
fn samples(seed: u64, length: u64) -> impl Iterator<Item = f64> {
    (0..length).map(move |index| hash::uniform_fraction(seed, index))
}

/// Guards against counts that do not decay, so that objects stay popular forever.
#[test]
fn a_count_halves_after_each_half_life() {
    let mut table = DecayedCounterTable::new(10.0, 8, 0.25);
    assert_eq!(table.add(1, 0), 1.0);
    assert_eq!(table.add(1, 10 * SECOND_US), 1.5);
    assert_eq!(table.total(20 * SECOND_US), 0.75);
}

/// Guards against a popular key that is evicted by many keys that each occur once.
#[test]
fn a_full_table_evicts_the_lowest_counts_and_keeps_the_total() {
    let mut table = DecayedCounterTable::new(10.0, 8, 0.25);
    for _ in 0..4 {
        table.add(0, 0);
    }
    for key in 1..=8 {
        table.add(key, 0);
    }
    assert_eq!(table.total(0), 12.0);
    assert_eq!(
        table.add(0, 0),
        5.0,
        "the key with the highest count is kept"
    );
    assert_eq!(table.add(1, 0), 1.0, "a key with a count of 1 was evicted");
}

/// Guards against an average that depends on its initial value forever.
#[test]
fn a_moving_average_converges_to_a_constant_sample() {
    let mut average = MovingAverage::new(0.0, 0.1);
    (0..100).for_each(|_| average.add(5.0));
    assert!((average.value() - 5.0).abs() < 0.001);
}

/// Guards against a wrong initial value that distorts the mean until many samples have arrived.
#[test]
fn a_learned_mean_replaces_its_initial_value_and_averages_its_first_samples() {
    let mut mean = LearnedMean::new(100.0, 0.01);
    assert_eq!(mean.value(), 100.0);
    mean.add(2.0);
    mean.add(4.0);
    assert_eq!(mean.value(), 3.0);
}

/// Guards against steps that are out of balance, so that the estimate settles elsewhere.
#[test]
fn a_quantile_estimate_settles_at_the_wanted_quantile() {
    let mut quantile = QuantileEstimate::new(4.0, 0.02, 0.1);
    let mut above = Vec::new();
    for sample in samples(7, 20_000) {
        above.push(sample > quantile.value());
        quantile.add(sample > quantile.value());
    }
    let settled = &above[10_000..];
    let share = settled.iter().filter(|above| **above).count() as f64 / settled.len() as f64;
    assert!((share - 0.1).abs() < 0.01, "{share}");
}

/// Guards against a capacity that is inferred from a single transfer or from old ones.
#[test]
fn a_pace_has_no_summary_without_enough_recent_samples() {
    let mut pace = TransferPace::new(10.0, 2.0);
    pace.add(0, 3.0, 1.0, 4.0);
    assert_eq!(pace.summary(0), None);
    pace.add(0, 3.0, 1.0, 8.0);
    let summary = pace.summary(0).expect("two samples are enough");
    assert_eq!((summary.slowdown, summary.in_flight), (3.0, 6.0));
    assert_eq!(pace.summary(SECOND_US), None, "the samples have decayed");
    assert_eq!(pace.last_sample_at(), 0);
}

/// Guards against objects that lose their cache server because another server leaves.
#[test]
fn a_rendezvous_order_follows_the_weights_and_keeps_the_other_servers_when_one_leaves() {
    let servers = [(1, 1.0), (2, 1.0), (3, 2.0)];
    let (mut keys_at_heaviest, keys) = (0, 4_000);
    for key in 0..keys {
        let key = hash::finalize(key);
        let order = rendezvous::rank(key, servers.into_iter(), |server| *server);
        keys_at_heaviest += u64::from(order[0].0 == 3);
        let others = servers.into_iter().filter(|server| server.0 != 2);
        let without = rendezvous::rank(key, others, |server| *server);
        let kept: Vec<_> = order.into_iter().filter(|server| server.0 != 2).collect();
        assert_eq!(kept, without);
    }
    assert!((keys_at_heaviest as f64 / keys as f64 - 0.5).abs() < 0.03);
}

/// Guards against decisions that differ between runs with equal events, and against servers that
/// are never picked.
#[test]
fn equal_seeds_give_equal_random_streams_and_indices_cover_their_range() {
    let (mut first, mut second) = (RandomStream::new(42), RandomStream::new(42));
    let mut seen = [0; 4];
    for _ in 0..400 {
        first.advance();
        second.advance();
        assert_eq!(first.index(1_000), second.index(1_000));
        seen[first.index(4)] += 1;
    }
    assert!(seen.into_iter().all(|count| count > 60), "{seen:?}");
}

/// Guards against a biased hash, which would admit more or fewer requests than the given share.
#[test]
fn uniform_fractions_are_distributed_evenly_from_zero_to_one() {
    let mean = samples(1, 4_000).sum::<f64>() / 4_000.0;
    assert!((mean - 0.5).abs() < 0.02);
    assert!(samples(1, 4_000).all(|sample| (0.0..=1.0).contains(&sample)));
}

/// Guards against objects or parts that share their request counts and purges.
#[test]
fn different_texts_and_parts_have_different_hashes() {
    let object = hash::of_text("/o/film");
    assert_ne!(object, hash::of_text("/o/films"));
    assert_ne!(hash::of_part(object, 0), hash::of_part(object, 1));
}

/// Guards against an underestimated load: this sender sees only the part that it sends itself.
#[test]
fn the_total_load_includes_the_average_for_each_other_sender() {
    let mut load = SharedLoadEstimate::new(3.0, 0.5);
    load.add_to_own(2.0);
    load.sample();
    assert_eq!(load.total(), 2.0 + 3.0 * 1.0);
    load.add_to_own(-5.0);
    assert_eq!(load.own(), 0.0);
    assert_eq!(load.total(), 3.0);
}

/// Guards against a share of 0, which would admit no request that could show a recovery.
#[test]
fn an_adaptive_share_stays_between_its_minimum_and_one() {
    let mut share = AdaptiveShare::new(0.1);
    assert!(share.admits(0.99));
    share.raise(0.5);
    assert!(!share.admits(1.0));
    share.lower(0.5);
    assert!(share.admits(0.49) && !share.admits(0.5));
    (0..10).for_each(|_| share.lower(0.5));
    assert!(share.admits(0.09) && !share.admits(0.1));
}

/// Guards against a threshold of slow answers that ignores overhead and the sharing of links.
#[test]
fn a_latency_estimate_follows_typical_transfers_and_slow_answers() {
    let typical_transfer_s = LearnedMean::new(1.0, 0.01);
    let slow_ratio = QuantileEstimate::new(4.0, 0.2, 0.5);
    let mut latency = LatencyEstimate::new(typical_transfer_s, slow_ratio, 0.5, 0.001);
    assert_eq!(latency.slow_threshold_s(0.5), 4.0 * (0.5 + 1.0 + 0.5));
    latency.record_shared_transfer(4.5, 2.0);
    assert_eq!(
        latency.typical_transfer_s(),
        2.0,
        "4.5 s less 0.5 s of overhead, for 2 transfers that share the link"
    );
    latency.record_slow(true);
    assert_eq!(latency.slow_threshold_s(0.5), 4.0 * 1.1 * (0.5 + 2.0 + 0.5));
}
