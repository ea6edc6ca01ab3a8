//! A randomized fault soak for the edge proxy.
//!
//! A [`plan`] is drawn from a seed: a small fleet, and faults of processes, system calls, clocks,
//! disks, connections, cache servers, discovery and clients whose times overlap. The [`director`]
//! plays it against real processes: [`proxy_process`] starts this program as an edge proxy whose
//! system calls fail by the plan ([`child`]), [`cache_server`] and [`event_bus`] stand in for what
//! surrounds it, [`link`] is a proxy between them that disturbs connections, [`client`] and
//! [`bad_client`] send the requests. All of them write down what they see in the [`world`], and the
//! [`oracle`] judges that afterwards by the rules of the protocol, together with the invariants that
//! the proxies count themselves ([`log_scan`]).
//!
//! Everything runs on loopback, in bounded time, and ends its own processes only.

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

/// The seeds of a campaign.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedRange(pub RangeInclusive<u64>);

/// A text that names no seeds.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("expected a seed, or the first and the last one as in 1..100")]
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

/// How often binding an address is tried.
const BIND_TRIES: u32 = 100;

/// Listens at an address of the run. A process that another run is just starting may hold the
/// listener of an earlier run for a moment, until it executes its program.
pub(crate) async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let mut tries = 1;
    loop {
        match TcpListener::bind(address).await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && tries < BIND_TRIES => {
                tries += 1;
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            result => return result,
        }
    }
}
