//! Estimates how far the reference time is ahead of the local clock. The reference time is the Unix
//! time of the event bus and the origin. The local clock is the clock of the event loop. It reads
//! the wall clock once, when the process starts, and is monotonic from then on.
//!
//! The event bus timestamps purges and server starts, and the origin timestamps copies. The wall
//! clock of this machine may have been wrong by seconds or by an hour when the process started, and
//! nothing reports this. However, a timestamp that has arrived can't lie in the future. If a
//! timestamp is ahead of the local clock by some amount on arrival, the reference time is ahead by
//! at least this amount. This amount is called the lead of the timestamp. It is negative if the
//! timestamp is behind the local clock.
//!
//! The highest lead that was counted is a lower bound of how far the reference time is ahead. It is
//! subtracted from timestamps to convert them to the local clock. A lower bound is the safe choice,
//! because the converted times are never too early. If a purge seemed older than it is, a copy from
//! before the purge could be served. If the start of a server seemed older than it is, its slow
//! start would end early. The bound is too low by at most the age that a counted timestamp had on
//! arrival plus `MIN_STEP_US`. The age of a fresh copy is a few milliseconds. Before any timestamp
//! has counted, timestamps are used without conversion.

use edge_routing::Micros;

/// The bound is raised in steps of at least this size, because each step requires a pass over all
/// servers and purges to correct their times.
const MIN_STEP_US: i64 = 10_000;
/// The timestamp of a copy may be wrong. It needs confirmation by another copy if its lead is
/// positive, which means that the local clock is late, and would set or raise the bound. It is
/// confirmed if its lead differs by at most this much from the lead of the previous timestamp that
/// needed confirmation. Other timestamps count without confirmation.
const MAX_CONFIRMATION_DIFFERENCE_US: i64 = 1_000_000;
/// A timestamp of a copy whose lead exceeds the bound by more than this (24 hours) is wrong and is
/// ignored. A bound that is not known yet counts as 0.
const MAX_COPY_LEAD_US: i64 = 24 * 3_600 * 1_000_000;

/// A lower bound of how far the reference time is ahead of the local clock.
#[derive(Debug, Default)]
pub struct ReferenceTime {
    /// The reference time is ahead of the local clock by at least this much. None before any
    /// timestamp has counted.
    min_lead_us: Option<i64>,
    /// The lead of the last timestamp that needed confirmation; see
    /// [`MAX_CONFIRMATION_DIFFERENCE_US`].
    unconfirmed_lead_us: Option<i64>,
}

impl ReferenceTime {
    /// Converts a timestamp of the event bus or the origin, in microseconds, to the local clock.
    pub fn to_local(&self, timestamp_us: u64) -> Micros {
        timestamp_us.saturating_add_signed(self.min_lead_us.unwrap_or(0).saturating_neg())
    }

    /// Records the timestamp of an event from the event bus. Returns by how much the bound has
    /// risen, in microseconds, or 0 if this sets the first bound. Earlier results of
    /// [`to_local`](Self::to_local) are too high by the returned amount.
    pub fn observe_event(&mut self, now: Micros, timestamp_us: u64) -> Micros {
        self.raise_bound(lead(now, timestamp_us))
    }

    /// Records that a copy created at `created_us` has arrived. Returns by how much the bound has
    /// risen, as [`observe_event`](Self::observe_event) does.
    pub fn observe_copy(&mut self, now: Micros, created_us: u64) -> Micros {
        let lead_us = lead(now, created_us);
        if lead_us
            > self
                .min_lead_us
                .unwrap_or(0)
                .saturating_add(MAX_COPY_LEAD_US)
        {
            return 0;
        }
        if lead_us <= 0 || self.min_lead_us.is_some_and(|bound_us| lead_us <= bound_us) {
            return self.raise_bound(lead_us);
        }
        let confirmed_us = self
            .unconfirmed_lead_us
            .replace(lead_us)
            .filter(|previous_us| {
                lead_us.abs_diff(*previous_us) <= MAX_CONFIRMATION_DIFFERENCE_US as u64
            })
            .map(|previous_us| previous_us.min(lead_us));
        confirmed_us.map_or(0, |lead_us| self.raise_bound(lead_us))
    }

    /// Raises the bound to `lead_us` if this is a step of at least [`MIN_STEP_US`]. Returns the
    /// size of the step in microseconds, or 0 if this sets the first bound or leaves the bound
    /// unchanged.
    fn raise_bound(&mut self, lead_us: i64) -> Micros {
        let Some(bound_us) = self.min_lead_us else {
            self.min_lead_us = Some(lead_us);
            return 0;
        };
        let step_us = lead_us.saturating_sub(bound_us);
        if step_us < MIN_STEP_US {
            return 0;
        }
        self.min_lead_us = Some(lead_us);
        step_us.unsigned_abs()
    }
}

/// Returns by how many microseconds a timestamp is ahead of the local clock.
fn lead(now: Micros, timestamp_us: u64) -> i64 {
    let timestamp_us = i64::try_from(timestamp_us).unwrap_or(i64::MAX);
    timestamp_us.saturating_sub(i64::try_from(now).unwrap_or(i64::MAX))
}
