//! Tests that a plan depends on its seed alone, and that the plans of many seeds together cover
//! every kind of fault.

use edge_soak::plan::Plan;
use edge_soak::SeedRange;
use std::collections::BTreeSet;

/// Every kind of fault that a plan can draw besides faults of system calls.
const FAULT_KINDS: [&str; 19] = [
    "all-servers-hang",
    "bus-down",
    "bus-silent",
    "bus-slow",
    "cache-crash",
    "cache-hang",
    "cache-malformed-answers",
    "cache-overloaded",
    "cache-replaced",
    "clients-cancel",
    "clock-step",
    "kill",
    "link-fragmented",
    "link-resets",
    "link-stalled",
    "misbehaving-clients",
    "reload",
    "reload-truncated",
    "restart",
];

#[test]
fn a_seed_always_gives_the_same_plan_and_the_next_seed_gives_other_faults() {
    for seed in 0..50 {
        assert_eq!(
            Plan::from_seed(seed),
            Plan::from_seed(seed),
            "two plans of seed {seed} differ"
        );
        assert_ne!(
            Plan::from_seed(seed).faults,
            Plan::from_seed(seed + 1).faults,
            "seed {seed} and the next one give the same faults"
        );
    }
}

#[test]
fn the_plans_of_500_seeds_have_faults_of_every_kind_and_many_overlaps() {
    let plans: Vec<Plan> = (1..=500).map(Plan::from_seed).collect();
    let kinds: BTreeSet<&str> = plans
        .iter()
        .flat_map(|plan| &plan.faults)
        .map(|fault| fault.kind.name())
        .collect();
    for kind in FAULT_KINDS {
        assert!(kinds.contains(kind), "no plan has a fault of kind {kind}");
    }
    let overlapping: usize = plans
        .iter()
        .map(|plan| plan.overlapping_pairs().len())
        .sum();
    // On average more than one pair for each plan.
    assert!(
        overlapping > 500,
        "only {overlapping} pairs of faults overlap in the plans of 500 seeds"
    );
    let all_plans_are_valid = plans
        .iter()
        .all(|plan| (10..=40).contains(&plan.proxy_count) && !plan.faults.is_empty());
    assert!(
        all_plans_are_valid,
        "a plan has no faults, or not from 10 to 40 proxies"
    );
}

#[test]
fn a_single_seed_and_an_ascending_range_are_parsed_and_other_texts_are_rejected() {
    assert_eq!("7".parse(), Ok(SeedRange(7..=7)));
    assert_eq!("3..9".parse(), Ok(SeedRange(3..=9)));
    assert!("9..3".parse::<SeedRange>().is_err());
    assert!("all".parse::<SeedRange>().is_err());
}
