//! Runs a campaign: the plans of a range of seeds, several in parallel. Adds up their results.

use crate::plan::Plan;
use crate::violation::{Rule, Violation};
use crate::world::Counts;
use crate::{deployment, director, log_scan, oracle, SeedRange};
use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The options of a campaign.
pub struct CampaignOptions {
    /// The seeds whose plans are run.
    pub seeds: SeedRange,
    /// The number of plans that run in parallel. Limited to 1 to 20.
    pub jobs: usize,
    /// Whether violations of rules that depend on timing count.
    pub judge_timing: bool,
    /// The folder for the logs of all seeds. If it is `None`, logs are written to the temporary
    /// folder of the system, and those of a seed are removed if its run was completed without a
    /// violation.
    pub logs: Option<PathBuf>,
}

/// The result of the run of one seed's plan.
struct SeedResult {
    plan: Plan,
    counts: Counts,
    injected_faults: BTreeMap<String, u64>,
    violations: Vec<Violation>,
    request_log_lines: Vec<String>,
    duration: Duration,
}

/// The results of all seeds.
#[derive(Default)]
struct Totals {
    seeds: u64,
    failed_seeds: Vec<u64>,
    counts: Counts,
    fault_counts: BTreeMap<&'static str, u64>,
    overlapping_pairs: BTreeMap<(&'static str, &'static str), u64>,
    injected_faults: BTreeMap<String, u64>,
    violations_by_rule: BTreeMap<Rule, u64>,
}

/// The maximum number of pairs of overlapping fault kinds in the report.
const MAX_REPORTED_PAIRS: usize = 12;
/// The maximum number of violations that are printed for a seed.
const MAX_PRINTED_VIOLATIONS: usize = 8;

/// Runs a campaign and prints its report. Fails if a rule was violated, if a run could not be
/// completed or if a seed was not run.
pub fn run(options: &CampaignOptions) -> ExitCode {
    let seeds = Mutex::new(options.seeds.0.clone());
    let totals = Mutex::new(Totals::default());
    let started_at = Instant::now();
    let jobs = options.jobs.clamp(1, 20);
    let seed_count = options.seeds.0.clone().count() as u64;
    thread::scope(|scope| {
        for _ in 0..jobs {
            let (seeds, totals) = (&seeds, &totals);
            scope.spawn(move || {
                let Some(slot) = Slot::reserve() else {
                    println!("all loopback slots are in use; this worker runs no seeds");
                    return;
                };
                while let Some(seed) = take_next_seed(seeds) {
                    let result = run_seed(seed, slot.number, options);
                    let mut totals = totals.lock().unwrap_or_else(PoisonError::into_inner);
                    totals.add(seed, result, options);
                }
            });
        }
    });
    let totals = totals.into_inner().unwrap_or_else(PoisonError::into_inner);
    totals.print(started_at.elapsed());
    let all_seeds_run = totals.seeds == seed_count;
    if totals.failed_seeds.is_empty() && all_seeds_run {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// A set of loopback addresses that no other run uses, in this campaign or in another.
struct Slot {
    number: u8,
    /// Reserves the slot, because its address stays bound for as long as the slot is in use.
    _lock: TcpListener,
}

impl Slot {
    fn reserve() -> Option<Self> {
        (1..=u8::MAX).find_map(|number| {
            let lock = TcpListener::bind(deployment::slot_lock_address(number)).ok()?;
            Some(Slot {
                number,
                _lock: lock,
            })
        })
    }
}

fn take_next_seed(seeds: &Mutex<std::ops::RangeInclusive<u64>>) -> Option<u64> {
    seeds.lock().unwrap_or_else(PoisonError::into_inner).next()
}

fn run_seed(seed: u64, slot: u8, options: &CampaignOptions) -> io::Result<SeedResult> {
    let started_at = Instant::now();
    let parent_folder = options.logs.clone().unwrap_or_else(std::env::temp_dir);
    let folder = parent_folder.join(format!("edge-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let result = run_and_judge_seed(seed, slot, &folder, started_at);
    let has_no_violations = result
        .as_ref()
        .is_ok_and(|result| result.violations.is_empty());
    if has_no_violations && options.logs.is_none() {
        std::fs::remove_dir_all(&folder)?;
    }
    result
}

fn run_and_judge_seed(
    seed: u64,
    slot: u8,
    folder: &Path,
    started_at: Instant,
) -> io::Result<SeedResult> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let tasks = tokio::task::LocalSet::new();
    let plan = Plan::from_seed(seed);
    let mut run_state = tasks.block_on(&runtime, director::run_plan(plan, slot, folder))?;
    drop(tasks);
    runtime.shutdown_timeout(Duration::from_secs(1));
    let log_findings = log_scan::scan(folder)?;
    let mut violations = std::mem::take(&mut run_state.violations);
    violations.extend(oracle::judge(&run_state));
    violations.extend(log_findings.violations);
    let first_request = violations
        .iter()
        .find_map(|violation| violation.request.clone());
    let request_log_lines = match first_request {
        Some(request) => log_scan::lines_naming_request(folder, &request)?,
        None => Vec::new(),
    };
    let mut counts = run_state.counts.clone();
    counts.invariant_checks = log_findings.invariant_checks;
    counts.purges = run_state.purges.len() as u64;
    counts.interconnect_purges = run_state.interconnect_purges.len() as u64;
    for request in run_state.requests.values() {
        counts.requests += 1;
        match request.answer {
            Some((200, _)) => counts.served += 1,
            Some((429 | 503, _)) => counts.rejected += 1,
            Some(_) => counts.failed += 1,
            None => counts.cancelled += u64::from(request.cancelled_ms.is_some()),
        }
    }
    Ok(SeedResult {
        plan: run_state.plan.clone(),
        counts,
        injected_faults: log_findings.injected_faults,
        violations,
        request_log_lines,
        duration: started_at.elapsed(),
    })
}

impl Totals {
    fn add(&mut self, seed: u64, result: io::Result<SeedResult>, options: &CampaignOptions) {
        self.seeds += 1;
        let mut result = match result {
            Ok(result) => result,
            Err(error) => {
                println!("seed {seed}: the run could not be completed: {error}");
                return self.failed_seeds.push(seed);
            }
        };
        result
            .violations
            .retain(|violation| options.judge_timing || !violation.rule.is_timing());
        self.add_counts(&result);
        if result.violations.is_empty() {
            return;
        }
        self.failed_seeds.push(seed);
        print_failure(seed, &result);
    }

    fn add_counts(&mut self, result: &SeedResult) {
        let (sum, counts) = (&mut self.counts, &result.counts);
        sum.requests += counts.requests;
        sum.served += counts.served;
        sum.rejected += counts.rejected;
        sum.failed += counts.failed;
        sum.cancelled += counts.cancelled;
        sum.attempts += counts.attempts;
        sum.invariant_checks += counts.invariant_checks;
        sum.processes += counts.processes;
        sum.purges += counts.purges;
        sum.interconnect_purges += counts.interconnect_purges;
        sum.harness_stalls += counts.harness_stalls;
        for fault in &result.plan.faults {
            *self.fault_counts.entry(fault.kind.name()).or_default() += 1;
        }
        for pair in result.plan.overlapping_pairs() {
            *self.overlapping_pairs.entry(pair).or_default() += 1;
        }
        for (call, count) in &result.injected_faults {
            *self.injected_faults.entry(call.clone()).or_default() += count;
        }
        for violation in &result.violations {
            *self.violations_by_rule.entry(violation.rule).or_default() += 1;
        }
    }

    fn print(&self, duration: Duration) {
        let counts = &self.counts;
        println!("seeds: {}, in {} s", self.seeds, duration.as_secs());
        println!(
            "requests: {} ({} served, {} rejected, {} failed, {} cancelled by clients); \
             attempts that reached servers: {}",
            counts.requests,
            counts.served,
            counts.rejected,
            counts.failed,
            counts.cancelled,
            counts.attempts
        );
        println!(
            "processes started: {}; purges: {} through the event bus and {} through \
             interconnects; scheduling delays of this test program: {}",
            counts.processes, counts.purges, counts.interconnect_purges, counts.harness_stalls
        );
        println!("faults by kind: {}", format_counts(&self.fault_counts));
        println!(
            "system calls affected by faults: {}",
            format_counts(&self.injected_faults)
        );
        let mut overlapping_pairs: Vec<_> = self.overlapping_pairs.iter().collect();
        overlapping_pairs.sort_by_key(|(pair, count)| (std::cmp::Reverse(**count), **pair));
        let overlaps: u64 = self.overlapping_pairs.values().sum();
        println!(
            "overlapping pairs of faults: {overlaps}, of {} kinds; the most frequent ones:",
            overlapping_pairs.len()
        );
        for ((a, b), count) in overlapping_pairs.into_iter().take(MAX_REPORTED_PAIRS) {
            println!("  {a} and {b}: {count}");
        }
        println!("invariant checks: {}", counts.invariant_checks);
        let violations: u64 = self.violations_by_rule.values().sum();
        println!(
            "violations: {violations} in {} seeds",
            self.failed_seeds.len()
        );
        for (rule, count) in &self.violations_by_rule {
            println!("  {rule:?}: {count}");
        }
        if !self.failed_seeds.is_empty() {
            println!("failed seeds: {:?}", self.failed_seeds);
        }
    }
}

fn format_counts<K: AsRef<str>>(counts: &BTreeMap<K, u64>) -> String {
    let entries = counts
        .iter()
        .map(|(name, count)| format!("{} {count}", name.as_ref()));
    entries.collect::<Vec<_>>().join(", ")
}

fn print_failure(seed: u64, result: &SeedResult) {
    println!(
        "seed {seed}: {} violations in a run of {:.1} s",
        result.violations.len(),
        result.duration.as_secs_f64()
    );
    for violation in result.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        let proxy = violation
            .proxy
            .map_or_else(String::new, |proxy| format!(" n{proxy}"));
        let request = violation.request.as_deref().unwrap_or("");
        println!(
            "  {:?} at {} ms{proxy} {request}: {}",
            violation.rule, violation.at_ms, violation.detail
        );
    }
    for fault in &result.plan.faults {
        println!(
            "  planned fault from {} to {} ms: {:?}",
            fault.from_ms, fault.until_ms, fault.kind
        );
    }
    for line in &result.request_log_lines {
        println!("  {line}");
    }
}
