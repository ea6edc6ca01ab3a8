//! The reference time, which corrects the local clock by timestamps from the event bus and the
//! origin. The local clock is the clock of the event loop.
//!
//! The event bus timestamps purges and server starts with Unix time, and the origin timestamps
//! copies. The wall clock of this machine may have been wrong by seconds or by an hour when the
//! process started, and nothing reports this. However, a timestamp that has arrived can't lie in
//! the future. The reference time is therefore ahead of the local clock by at least as much as any
//! timestamp was on arrival.
//!
//! This lower bound of the lead is used to convert timestamps to the local clock. It is the safe
//! choice for both uses. A purge never seems older than it is, which would let a copy from before
//! the purge be served. A server's start never seems older than it is either, which would end its
//! slow start early. The bound is exact to a few milliseconds once a fresh copy has arrived. Before
//! any timestamp has arrived, the local clock is used unchanged.

use edge_routing::Micros;

/// The bound is raised in steps of at least this size, because each step requires a pass over all
/// servers.
const MIN_STEP_US: i64 = 10_000;
/// The timestamp of a copy may be wrong. If it says that the local clock is late (a positive lead)
/// and would raise the bound, it counts only if the previous such timestamp implies a lead that
/// differs by at most this much.
const MAX_CONFIRMATION_DIFFERENCE_US: i64 = 1_000_000;
/// A timestamp of a copy that exceeds the known bound by more than this (24 hours) is wrong and is
/// ignored.
const MAX_COPY_LEAD_US: i64 = 24 * 3_600 * 1_000_000;

/// A lower bound of how far the reference time is ahead of the local clock.
#[derive(Debug, Default)]
pub struct ReferenceTime {
    /// The reference time is ahead of the local clock by at least this much. None before any
    /// timestamp has arrived.
    min_lead_us: Option<i64>,
    /// The lead that follows from the last timestamp of a copy that needed confirmation by another
    /// copy, because its lead is positive and would have raised the bound.
    unconfirmed_lead_us: Option<i64>,
}

impl ReferenceTime {
    /// Converts a timestamp of the event bus or the origin, in microseconds, to the local clock.
    pub fn to_local(&self, timestamp_us: u64) -> Micros {
        timestamp_us.saturating_add_signed(self.min_lead_us.unwrap_or(0).saturating_neg())
    }

    /// Records the timestamp of an event from the event bus. Returns by how much the bound has
    /// risen, in microseconds. Earlier results of [`to_local`](Self::to_local) are too high by this
    /// much.
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
        if lead_us <= 0 || self.min_lead_us.is_some_and(|known_us| lead_us <= known_us) {
            return self.raise_bound(lead_us);
        }
        let confirmed_us = self
            .unconfirmed_lead_us
            .replace(lead_us)
            .filter(|other_us| lead_us.abs_diff(*other_us) <= MAX_CONFIRMATION_DIFFERENCE_US as u64)
            .map(|other_us| other_us.min(lead_us));
        confirmed_us.map_or(0, |lead_us| self.raise_bound(lead_us))
    }

    /// Raises the bound to `lead_us` if this is a step of at least [`MIN_STEP_US`]. Returns the
    /// size of the step in microseconds, or 0 if this sets the first bound or leaves the bound
    /// unchanged.
    fn raise_bound(&mut self, lead_us: i64) -> Micros {
        let Some(known_us) = self.min_lead_us else {
            self.min_lead_us = Some(lead_us);
            return 0;
        };
        let moved_us = lead_us.saturating_sub(known_us);
        if moved_us < MIN_STEP_US {
            return 0;
        }
        self.min_lead_us = Some(lead_us);
        moved_us.unsigned_abs()
    }
}

/// Returns by how many microseconds a timestamp is ahead of the local clock.
fn lead(now: Micros, timestamp_us: u64) -> i64 {
    let timestamp_us = i64::try_from(timestamp_us).unwrap_or(i64::MAX);
    timestamp_us.saturating_sub(i64::try_from(now).unwrap_or(i64::MAX))
}
