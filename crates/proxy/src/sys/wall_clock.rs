//! The wall clock of the machine. It may be wrong, and it may step forwards or backwards.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the machine's Unix time in microseconds, or 0 if its clock is set to a time before 1970.
pub fn unix_time_us() -> u64 {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    apply_injected_steps(unix.as_micros() as u64)
}

#[cfg(feature = "fault-injection")]
fn apply_injected_steps(unix_us: u64) -> u64 {
    unix_us.saturating_add_signed(super::fault::clock_offset_us())
}

#[cfg(not(feature = "fault-injection"))]
fn apply_injected_steps(unix_us: u64) -> u64 {
    unix_us
}
