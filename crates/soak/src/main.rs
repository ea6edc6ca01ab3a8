//! `edge-soak`: plays seeded plans of overlapping faults against real edge proxies on loopback, and
//! judges what their clients, cache servers and logs show.

use clap::{Parser, Subcommand};
use edge_soak::campaign::{self, CampaignOptions};
use edge_soak::plan::Plan;
use edge_soak::{child, SeedRange};
use std::path::PathBuf;
use std::process::ExitCode;

/// A randomized fault soak of the edge proxy.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play the plans of some seeds and report their violations. Exits with 1 if there are any.
    Run {
        /// A seed, or the first and the last one as in 1..100.
        #[arg(long, default_value = "1..20")]
        seeds: SeedRange,
        /// Plans that are played side by side.
        #[arg(long, default_value_t = 4)]
        jobs: usize,
        /// Leave out what is judged by the time of a machine that may be busy.
        #[arg(long)]
        no_timing_verdicts: bool,
        /// Keep the logs of the proxies in this folder, also of seeds without a violation.
        #[arg(long)]
        logs: Option<PathBuf>,
    },
    /// Print the plan of a seed as JSON.
    Plan {
        /// The seed.
        seed: u64,
    },
    /// Run as an edge proxy, with the faults of the plan in the environment. For `run` itself.
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
    match serde_json::to_string_pretty(&Plan::of_seed(seed)) {
        Ok(plan) => {
            println!("{plan}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
