//! The wall clock of the machine, which may be wrong and may be stepped.

use std::time::{SystemTime, UNIX_EPOCH};

/// Unix time in microseconds as the machine has it; 0 for a time before 1970.
pub fn unix_time_us() -> u64 {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    apply_steps(unix.as_micros() as u64)
}

#[cfg(feature = "fault-injection")]
fn apply_steps(unix_us: u64) -> u64 {
    unix_us.saturating_add_signed(super::fault::clock_offset_us())
}

#[cfg(not(feature = "fault-injection"))]
fn apply_steps(unix_us: u64) -> u64 {
    unix_us
}
