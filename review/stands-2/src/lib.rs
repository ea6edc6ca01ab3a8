//! Small stand-ins for the parties of an edge proxy (clients, pop caches, the event bus), a proxy
//! process, and the record of a run. Everything is on loopback addresses.

pub mod bus;
pub mod fcgi;
pub mod json;
pub mod proxy;
pub mod record;
pub mod resp;
pub mod site;

use std::time::{SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    unix_us() / 1000
}

/// Unix time in microseconds.
pub fn unix_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_micros() as u64)
}

/// Sleeps for a number of milliseconds.
pub fn sleep_ms(ms: u64) {
    std::thread::sleep(std::time::Duration::from_millis(ms));
}

/// Whether the run has its disruption (`TROUBLE` is not `0`).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;
