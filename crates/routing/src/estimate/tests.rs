//! Unit tests of the statistics and hashes.

use super::*;

const SECOND_US: u64 = 1_000_000;

/// `length` numbers from 0 to 1, the same for the same seed.
fn samples(seed: u64, length: u64) -> impl Iterator<Item = f64> {
    (0..length).map(move |index| hash::fraction(seed, index))
}

#[test]
fn a_count_halves_in_its_half_life() {
    let mut table = DecayedCounterTable::new(10.0, 8, 0.25);
    assert_eq!(table.add(1, 0), 1.0);
    assert_eq!(table.add(1, 10 * SECOND_US), 1.5);
    assert_eq!(table.total(20 * SECOND_US), 0.75);
}

#[test]
fn a_full_table_drops_the_lowest_counts_and_keeps_the_total() {
    let mut table = DecayedCounterTable::new(10.0, 8, 0.25);
    for _ in 0..4 {
        table.add(0, 0);
    }
    for key in 1..=8 {
        table.add(key, 0);
    }
    assert_eq!(table.total(0), 12.0);
    assert_eq!(table.add(0, 0), 5.0, "the most counted key stays");
    assert_eq!(table.add(1, 0), 1.0, "a key counted once was dropped");
}

#[test]
fn a_moving_average_approaches_a_constant() {
    let mut average = MovingAverage::new(0.0, 0.1);
    (0..100).for_each(|_| average.add(5.0));
    assert!((average.value() - 5.0).abs() < 0.001);
}

#[test]
fn a_learned_mean_forgets_its_initial_value_and_averages_its_first_samples() {
    let mut mean = LearnedMean::new(100.0, 0.01);
    assert_eq!(mean.value(), 100.0);
    mean.add(2.0);
    mean.add(4.0);
    assert_eq!(mean.value(), 3.0);
}

#[test]
fn a_quantile_estimate_settles_at_its_quantile() {
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

#[test]
fn a_pace_is_unknown_without_enough_recent_samples() {
    let mut pace = TransferPace::new(10.0, 2.0);
    pace.add(0, 3.0, 1.0, 4.0);
    assert_eq!(pace.summary(0), None);
    pace.add(0, 3.0, 1.0, 8.0);
    let summary = pace.summary(0).expect("two samples are enough");
    assert_eq!((summary.stretch, summary.in_flight), (3.0, 6.0));
    assert_eq!(pace.summary(SECOND_US), None, "they decay");
    assert_eq!(pace.last_at(), 0);
}

#[test]
fn rendezvous_ranks_by_weight_and_moves_few_keys_when_a_server_leaves() {
    let servers = [(1, 1.0), (2, 1.0), (3, 2.0)];
    let (mut heaviest, keys) = (0, 4_000);
    for key in 0..keys {
        let key = hash::finalize(key);
        let order = rendezvous::rank(key, servers.into_iter(), |server| *server);
        heaviest += u64::from(order[0].0 == 3);
        let others = servers.into_iter().filter(|server| server.0 != 2);
        let without = rendezvous::rank(key, others, |server| *server);
        let kept: Vec<_> = order.into_iter().filter(|server| server.0 != 2).collect();
        assert_eq!(kept, without);
    }
    assert!((heaviest as f64 / keys as f64 - 0.5).abs() < 0.03);
}

#[test]
fn equal_seeds_give_equal_random_streams_and_indices_cover_their_range() {
    let (mut left, mut right) = (RandomStream::new(42), RandomStream::new(42));
    let mut seen = [0; 4];
    for _ in 0..400 {
        left.advance();
        right.advance();
        assert_eq!(left.index(1_000), right.index(1_000));
        seen[left.index(4)] += 1;
    }
    assert!(seen.into_iter().all(|count| count > 60), "{seen:?}");
}

#[test]
fn fractions_are_spread_evenly() {
    let mean = samples(1, 4_000).sum::<f64>() / 4_000.0;
    assert!((mean - 0.5).abs() < 0.02);
    assert!(samples(1, 4_000).all(|sample| (0.0..=1.0).contains(&sample)));
}

#[test]
fn hashes_tell_texts_and_parts_apart() {
    let object = hash::text("/o/film");
    assert_ne!(object, hash::text("/o/films"));
    assert_ne!(hash::part(object, 0), hash::part(object, 1));
}

#[test]
fn a_fleet_load_adds_the_average_for_each_of_the_others() {
    let mut load = FleetLoad::new(3.0, 0.5);
    load.add(2.0);
    load.sample();
    assert_eq!(load.total(), 2.0 + 3.0 * 1.0);
    load.add(-5.0);
    assert_eq!(load.own(), 0.0);
    assert_eq!(load.total(), 3.0);
}

#[test]
fn an_adaptive_share_stays_between_its_least_value_and_one() {
    let mut share = AdaptiveShare::new(0.1);
    assert!(share.admits(0.99));
    share.raise(0.5);
    assert!(!share.admits(1.0));
    share.lower(0.5);
    assert!(share.admits(0.49) && !share.admits(0.5));
    (0..10).for_each(|_| share.lower(0.5));
    assert!(share.admits(0.09) && !share.admits(0.1));
}

#[test]
fn a_latency_estimate_learns_what_is_usual_and_what_is_slow() {
    let usual = LearnedMean::new(1.0, 0.01);
    let slow = QuantileEstimate::new(4.0, 0.2, 0.5);
    let mut latency = LatencyEstimate::new(usual, slow, 0.5, 0.001);
    assert_eq!(latency.slow_s(0.5), 4.0 * (0.5 + 1.0 + 0.5));
    latency.learn_shared(4.5, 2.0);
    assert_eq!(
        latency.transfer_s(),
        2.0,
        "of 4.5 s, 0.5 are overhead and half is shared"
    );
    latency.learn_slow(true);
    assert_eq!(latency.slow_s(0.5), 4.0 * 1.1 * (0.5 + 2.0 + 0.5));
}
