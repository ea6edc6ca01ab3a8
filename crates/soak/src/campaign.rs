//! Plays the plans of many seeds, some side by side, and adds up what was found.

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

/// What a campaign is asked for.
pub struct CampaignOptions {
    /// The seeds.
    pub seeds: SeedRange,
    /// Plans that are played side by side.
    pub jobs: usize,
    /// Whether rules count that are judged by time.
    pub judge_timing: bool,
    /// Where all logs are kept; none: those of failed seeds in the temporary folder.
    pub logs: Option<PathBuf>,
}

/// What came of one seed.
struct SeedResult {
    plan: Plan,
    counts: Counts,
    injected: BTreeMap<String, u64>,
    violations: Vec<Violation>,
    request_lines: Vec<String>,
    took: Duration,
}

/// What came of all seeds.
#[derive(Default)]
struct Totals {
    seeds: u64,
    failed: Vec<u64>,
    counts: Counts,
    troubles: BTreeMap<&'static str, u64>,
    pairs: BTreeMap<(&'static str, &'static str), u64>,
    injected: BTreeMap<String, u64>,
    rules: BTreeMap<Rule, u64>,
}

/// Pairs of overlapping troubles that the report names.
const REPORTED_PAIRS: usize = 12;
/// Violations of one seed that are printed.
const PRINTED_VIOLATIONS: usize = 8;

/// Plays a campaign and prints its report.
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
                let Some(slot) = Slot::claim() else {
                    println!("no addresses are left on loopback");
                    return;
                };
                while let Some(seed) = next_seed(seeds) {
                    let result = run_seed(seed, slot.number, options);
                    let mut totals = totals.lock().unwrap_or_else(PoisonError::into_inner);
                    totals.add(seed, result, options);
                }
            });
        }
    });
    let totals = totals.into_inner().unwrap_or_else(PoisonError::into_inner);
    totals.print(started_at.elapsed());
    let all_played = totals.seeds == seed_count;
    if totals.failed.is_empty() && all_played {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Addresses on loopback that no other run uses, in this campaign or in another.
struct Slot {
    number: u8,
    /// Held for as long as the slot is in use.
    _claim: TcpListener,
}

impl Slot {
    fn claim() -> Option<Self> {
        (1..=u8::MAX).find_map(|number| {
            let claim = TcpListener::bind(deployment::claim_address(number)).ok()?;
            Some(Slot {
                number,
                _claim: claim,
            })
        })
    }
}

fn next_seed(seeds: &Mutex<std::ops::RangeInclusive<u64>>) -> Option<u64> {
    seeds.lock().unwrap_or_else(PoisonError::into_inner).next()
}

fn run_seed(seed: u64, slot: u8, options: &CampaignOptions) -> io::Result<SeedResult> {
    let started_at = Instant::now();
    let base = options.logs.clone().unwrap_or_else(std::env::temp_dir);
    let folder = base.join(format!("edge-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let result = play(seed, slot, &folder, started_at);
    let is_sound = result
        .as_ref()
        .is_ok_and(|result| result.violations.is_empty());
    if is_sound && options.logs.is_none() {
        std::fs::remove_dir_all(&folder)?;
    }
    result
}

fn play(seed: u64, slot: u8, folder: &Path, started_at: Instant) -> io::Result<SeedResult> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let tasks = tokio::task::LocalSet::new();
    let plan = Plan::of_seed(seed);
    let mut world = tasks.block_on(&runtime, director::play(plan, slot, folder))?;
    drop(tasks);
    runtime.shutdown_timeout(Duration::from_secs(1));
    let found = log_scan::scan(folder)?;
    let mut violations = std::mem::take(&mut world.violations);
    violations.extend(oracle::judge(&world));
    violations.extend(found.violations);
    let first_request = violations
        .iter()
        .find_map(|violation| violation.request.clone());
    let request_lines = match first_request {
        Some(request) => log_scan::lines_of(folder, &request)?,
        None => Vec::new(),
    };
    let mut counts = world.counts.clone();
    counts.invariant_checks = found.invariant_checks;
    counts.purges = world.purges.len() as u64;
    counts.kept_purges = world.kept_purges.len() as u64;
    for request in world.requests.values() {
        counts.requests += 1;
        match request.answer {
            Some((200, _)) => counts.served += 1,
            Some((429 | 503, _)) => counts.rejected += 1,
            Some(_) => counts.failed += 1,
            None => counts.left += u64::from(request.left_ms.is_some()),
        }
    }
    Ok(SeedResult {
        plan: world.plan.clone(),
        counts,
        injected: found.injected,
        violations,
        request_lines,
        took: started_at.elapsed(),
    })
}

impl Totals {
    fn add(&mut self, seed: u64, result: io::Result<SeedResult>, options: &CampaignOptions) {
        self.seeds += 1;
        let mut result = match result {
            Ok(result) => result,
            Err(error) => {
                println!("seed {seed}: the run itself failed: {error}");
                return self.failed.push(seed);
            }
        };
        result
            .violations
            .retain(|violation| options.judge_timing || !violation.rule.is_timing());
        self.add_counts(&result);
        if result.violations.is_empty() {
            return;
        }
        self.failed.push(seed);
        print_failure(seed, &result);
    }

    fn add_counts(&mut self, result: &SeedResult) {
        let (sum, counts) = (&mut self.counts, &result.counts);
        sum.requests += counts.requests;
        sum.served += counts.served;
        sum.rejected += counts.rejected;
        sum.failed += counts.failed;
        sum.left += counts.left;
        sum.fetches += counts.fetches;
        sum.invariant_checks += counts.invariant_checks;
        sum.processes += counts.processes;
        sum.purges += counts.purges;
        sum.kept_purges += counts.kept_purges;
        sum.held_up += counts.held_up;
        for trouble in &result.plan.troubles {
            *self.troubles.entry(trouble.kind.name()).or_default() += 1;
        }
        for pair in result.plan.overlapping_pairs() {
            *self.pairs.entry(pair).or_default() += 1;
        }
        for (call, count) in &result.injected {
            *self.injected.entry(call.clone()).or_default() += count;
        }
        for violation in &result.violations {
            *self.rules.entry(violation.rule).or_default() += 1;
        }
    }

    fn print(&self, took: Duration) {
        let counts = &self.counts;
        println!("seeds: {}, in {} s", self.seeds, took.as_secs());
        println!(
            "requests: {}, {} served, {} rejected, {} failed, {} clients left; {} attempts at servers",
            counts.requests, counts.served, counts.rejected, counts.failed, counts.left, counts.fetches
        );
        println!(
            "processes: {}, purges: {} by the event bus and {} by peers; times that the run was held up: {}",
            counts.processes, counts.purges, counts.kept_purges, counts.held_up
        );
        println!("troubles: {}", list(&self.troubles));
        println!("system calls that were disturbed: {}", list(&self.injected));
        let mut pairs: Vec<_> = self.pairs.iter().collect();
        pairs.sort_by_key(|(pair, count)| (std::cmp::Reverse(**count), **pair));
        let overlaps: u64 = self.pairs.values().sum();
        println!(
            "overlapping pairs: {overlaps} of {} kinds, most of all:",
            pairs.len()
        );
        for ((a, b), count) in pairs.into_iter().take(REPORTED_PAIRS) {
            println!("  {a} and {b}: {count}");
        }
        println!("invariant checks: {}", counts.invariant_checks);
        let violations: u64 = self.rules.values().sum();
        println!("violations: {violations} in {} seeds", self.failed.len());
        for (rule, count) in &self.rules {
            println!("  {rule:?}: {count}");
        }
        if !self.failed.is_empty() {
            println!("failed seeds: {:?}", self.failed);
        }
    }
}

fn list<K: AsRef<str>>(counts: &BTreeMap<K, u64>) -> String {
    let entries = counts
        .iter()
        .map(|(name, count)| format!("{} {count}", name.as_ref()));
    entries.collect::<Vec<_>>().join(", ")
}

fn print_failure(seed: u64, result: &SeedResult) {
    println!(
        "seed {seed}: {} violations, in {:.1} s",
        result.violations.len(),
        result.took.as_secs_f64()
    );
    for violation in result.violations.iter().take(PRINTED_VIOLATIONS) {
        let proxy = violation
            .proxy
            .map_or_else(String::new, |proxy| format!(" n{proxy}"));
        let request = violation.request.as_deref().unwrap_or("");
        println!(
            "  {:?} at {} ms{proxy} {request}: {}",
            violation.rule, violation.at_ms, violation.detail
        );
    }
    for trouble in &result.plan.troubles {
        println!(
            "  plan: {} to {} ms: {:?}",
            trouble.from_ms, trouble.until_ms, trouble.kind
        );
    }
    for line in &result.request_lines {
        println!("  {line}");
    }
}
