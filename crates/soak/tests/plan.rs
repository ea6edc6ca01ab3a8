//! Plans are drawn from their seeds alone, and reach every kind of trouble.

use edge_soak::plan::Plan;
use edge_soak::SeedRange;
use std::collections::BTreeSet;

/// Every kind of trouble.
const KINDS: [&str; 19] = [
    "all-hang",
    "bad-clients",
    "bus-down",
    "bus-silent",
    "bus-slow",
    "cache-crash",
    "cache-full",
    "cache-hang",
    "cache-replaced",
    "cache-spoils",
    "clients-leave",
    "clock-step",
    "kill",
    "link-pieces",
    "link-resets",
    "link-silent",
    "reload",
    "reload-torn",
    "restart",
];

#[test]
fn a_seed_gives_the_same_plan_every_time() {
    for seed in 0..50 {
        assert_eq!(Plan::of_seed(seed), Plan::of_seed(seed));
        assert_ne!(
            Plan::of_seed(seed).troubles,
            Plan::of_seed(seed + 1).troubles
        );
    }
}

#[test]
fn the_plans_of_500_seeds_have_troubles_of_every_kind_that_overlap() {
    let plans: Vec<Plan> = (1..=500).map(Plan::of_seed).collect();
    let kinds: BTreeSet<&str> = plans
        .iter()
        .flat_map(|plan| &plan.troubles)
        .map(|trouble| trouble.kind.name())
        .collect();
    for kind in KINDS {
        assert!(kinds.contains(kind), "{kind} is never drawn");
    }
    let overlapping: usize = plans
        .iter()
        .map(|plan| plan.overlapping_pairs().len())
        .sum();
    assert!(overlapping > 500, "{overlapping} pairs overlap");
    let sizes_fit = plans
        .iter()
        .all(|plan| (10..=40).contains(&plan.proxies) && !plan.troubles.is_empty());
    assert!(sizes_fit);
}

#[test]
fn seeds_are_read_as_one_or_as_a_range() {
    assert_eq!("7".parse(), Ok(SeedRange(7..=7)));
    assert_eq!("3..9".parse(), Ok(SeedRange(3..=9)));
    assert!("9..3".parse::<SeedRange>().is_err());
    assert!("all".parse::<SeedRange>().is_err());
}
