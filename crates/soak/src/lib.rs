//! Randomized fault campaign for the edge proxy.
//!
//! A [`plan`] is drawn from a seed. It describes a small simulated cluster and a set of faults
//! whose times overlap: faults of processes, system calls, clocks, disks, connections, cache
//! servers, discovery and clients.
//!
//! The [`director`] module runs the plan against real processes. [`proxy_process`] starts this
//! program as an edge proxy whose system calls fail according to the plan ([`child`]).
//! [`cache_server`] and [`event_bus`] simulate the services that the proxies connect to. [`link`]
//! is a TCP proxy in front of each server that disturbs connections. [`client`] and [`bad_client`]
//! send the requests.
//!
//! All of these record what they observe in the state of the run ([`world`]). Afterwards the
//! [`oracle`] checks that record against the rules of the protocol. The invariant violations that
//! the proxies themselves detect are read from their logs ([`log_scan`]).
//!
//! A run uses only loopback addresses, ends within a bounded time and terminates only processes
//! that it started.

pub mod bad_client;
pub mod cache_server;
pub mod campaign;
pub mod child;
pub mod client;
pub mod deployment;
pub mod director;
pub mod event_bus;
pub mod link;
pub mod log_scan;
pub mod oracle;
pub mod plan;
pub mod proxy_process;
pub mod violation;
pub mod world;

use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;
use tokio::net::TcpListener;

/// The seeds of a campaign, first and last included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedRange(pub RangeInclusive<u64>);

/// The error for a text that is neither a seed nor a range of seeds.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("expected a seed, or a range with its first and last seed as in 1..100")]
pub struct InvalidSeedRange;

impl FromStr for SeedRange {
    type Err = InvalidSeedRange;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (first, last) = text.split_once("..").unwrap_or((text, text));
        let seed = |text: &str| text.trim().parse::<u64>().map_err(|_| InvalidSeedRange);
        let range = seed(first)?..=seed(last)?;
        if range.is_empty() {
            return Err(InvalidSeedRange);
        }
        Ok(SeedRange(range))
    }
}

/// The maximum number of attempts to bind a listening address.
const MAX_BIND_TRIES: u32 = 100;

/// Listens on an address of the run. Binding is repeated while the address is in use: the listener
/// of an earlier run stays open for a moment if another run forked a process that has not executed
/// its program yet. Returns the error of the last attempt.
pub(crate) async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let mut bind_tries = 1;
    loop {
        match TcpListener::bind(address).await {
            Err(error)
                if error.kind() == io::ErrorKind::AddrInUse && bind_tries < MAX_BIND_TRIES =>
            {
                bind_tries += 1;
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            result => return result,
        }
    }
}
