//! `edge-soak`: runs seeded plans of overlapping faults against real edge proxies on loopback, and
//! checks what their clients, cache servers and logs recorded.

use clap::{Parser, Subcommand};
use edge_soak::campaign::{self, CampaignOptions};
use edge_soak::plan::Plan;
use edge_soak::{child, SeedRange};
use std::path::PathBuf;
use std::process::ExitCode;

/// Runs a randomized fault campaign against the edge proxy.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run the plans of a range of seeds and report rule violations. Exits with 1 if a rule was
    /// violated, a run could not be completed or not all seeds were run.
    Run {
        /// A single seed, or a range of seeds as in 1..100. The range includes both of its ends.
        #[arg(long, default_value = "1..20")]
        seeds: SeedRange,
        /// The number of plans that run in parallel. Values below 1 count as 1, and values above 20
        /// as 20.
        #[arg(long, default_value_t = 4)]
        jobs: usize,
        /// Ignore violations of rules that depend on timing. For machines that may be busy.
        #[arg(long)]
        no_timing_verdicts: bool,
        /// Keep the logs of all seeds in this folder. Without this option, logs are written to the
        /// temporary folder of the system, and those of a seed are removed if its run was completed
        /// without a violation.
        #[arg(long)]
        logs: Option<PathBuf>,
    },
    /// Print the plan of a seed as JSON.
    Plan {
        /// The seed of the plan.
        seed: u64,
    },
    /// Run as an edge proxy with the fault plan in the environment variable EDGE_PROXY_FAULT_PLAN.
    /// Started by `run`; not meant for direct use.
    #[command(hide = true)]
    Proxy,
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Run {
            seeds,
            jobs,
            no_timing_verdicts,
            logs,
        } => campaign::run(&CampaignOptions {
            seeds,
            jobs,
            judge_timing: !no_timing_verdicts,
            logs,
        }),
        Command::Plan { seed } => print_plan(seed),
        Command::Proxy => child::run(),
    }
}

fn print_plan(seed: u64) -> ExitCode {
    match serde_json::to_string_pretty(&Plan::from_seed(seed)) {
        Ok(plan) => {
            println!("{plan}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("the plan of seed {seed} could not be written as JSON: {error}");
            ExitCode::FAILURE
        }
    }
}
