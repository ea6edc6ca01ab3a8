//! Plays every memory load against the proxy program at several machine sizes, and prints a table
//! with the peak of its memory.

use clap::Parser;
use edge_testkit::memory_load::{play, LoadReport, Machine, MIXES};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

const KIB_PER_MB: u64 = 1024;

/// Plays loads that are made to exhaust the memory of a proxy, and prints the peak of each.
#[derive(Parser)]
struct Arguments {
    /// Path of the proxy program.
    #[arg(long, default_value = "target/release/edge-proxy")]
    program: PathBuf,
    /// Seconds for which each load is played.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// Memory of the machine in MB. May be given several times.
    #[arg(long, default_values_t = [32, 48, 192])]
    memory_mb: Vec<u64>,
    /// File descriptors of the machine.
    #[arg(long, default_value_t = 1_024)]
    sockets: u64,
    /// Plays only the loads whose name contains this text.
    #[arg(long, default_value = "")]
    only: String,
}

fn main() -> ExitCode {
    env_logger::init();
    let arguments = Arguments::parse();
    println!("| load | memory | peak | connections | ordinary clients: served, rejected, failed, unanswered |");
    println!("| --- | --- | --- | --- | --- |");
    let mut all_within_limit = true;
    for mix in MIXES
        .iter()
        .filter(|mix| mix.name.contains(&arguments.only))
    {
        for memory_mb in arguments.memory_mb.iter().copied() {
            let machine = Machine {
                memory_mb,
                sockets: arguments.sockets,
            };
            let duration = Duration::from_secs(arguments.seconds);
            match play(&arguments.program, mix, machine, duration) {
                Ok(report) => {
                    all_within_limit &= report.peak_kib <= memory_mb * KIB_PER_MB;
                    print_row(mix.name, memory_mb, &report);
                }
                Err(error) => {
                    all_within_limit = false;
                    println!("| {} | {memory_mb} MB | {error} | | |", mix.name);
                }
            }
        }
    }
    if all_within_limit {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn print_row(name: &str, memory_mb: u64, report: &LoadReport) {
    let peak_mb = report.peak_kib as f64 / KIB_PER_MB as f64;
    let ordinary = report.ordinary;
    println!(
        "| {name} | {memory_mb} MB | {peak_mb:.1} MB | {} | {}, {}, {}, {} |",
        report.connections,
        ordinary.served,
        ordinary.rejected,
        ordinary.failed,
        ordinary.unanswered
    );
}
