//! The fleet's time against this process's clock.
//!
//! Purges and the starts of servers are stamped with Unix time by the event bus, copies by the
//! origin. The wall clock of this machine may have been wrong when the process started, by seconds
//! or an hour, and nobody says so. What is certain is an order: a stamp that has arrived is not in
//! the future. So the fleet's time is at least as far ahead of the clock as any stamp has been.
//!
//! That bound is used in place of the wall clock. It is the safe side for both uses: a purge is never
//! taken for older than it is, which would let a copy from before it pass, and neither is the start
//! of a server, which would end its slow start early. It is exact to some milliseconds as soon as a
//! fresh copy has come. Before any stamp, the wall clock is all there is.

use edge_routing::Micros;

/// The bound is moved in steps of at least this, each of which costs a look at all servers.
const STEP_US: i64 = 10_000;
/// A copy may be stamped wrongly. One that says that the clock is late counts once another copy is
/// within this of it.
const AGREEMENT_US: i64 = 1_000_000;
/// A copy that is this far ahead of all that is known is stamped wrongly.
const MAX_COPY_LEAD_US: i64 = 24 * 3_600 * 1_000_000;

/// What is known of the offset between the fleet's time and the clock.
#[derive(Debug, Default)]
pub struct ReferenceTime {
    /// The fleet's time is ahead of the clock by at least this; none: no stamp has come.
    lead_us: Option<i64>,
    /// What a copy has said that nothing else confirms yet.
    unconfirmed_us: Option<i64>,
}

impl ReferenceTime {
    /// A stamp, in microseconds, on the scale of the clock.
    pub fn to_local(&self, stamp_us: u64) -> Micros {
        stamp_us.saturating_add_signed(self.lead_us.unwrap_or(0).saturating_neg())
    }

    /// The event bus has told of something that happened at `stamp_us`. Returns by how much the
    /// bound has moved: earlier results of [`to_local`](Self::to_local) are too high by that.
    pub fn event_arrived(&mut self, now: Micros, stamp_us: u64) -> Micros {
        self.raise(lead(now, stamp_us))
    }

    /// A copy that was made at `made_us` has arrived. Returns the same.
    pub fn copy_arrived(&mut self, now: Micros, made_us: u64) -> Micros {
        let lead_us = lead(now, made_us);
        if lead_us > self.lead_us.unwrap_or(0).saturating_add(MAX_COPY_LEAD_US) {
            return 0;
        }
        if lead_us <= 0 || self.lead_us.is_some_and(|known_us| lead_us <= known_us) {
            return self.raise(lead_us);
        }
        let confirmed_us = self
            .unconfirmed_us
            .replace(lead_us)
            .filter(|other_us| lead_us.abs_diff(*other_us) <= AGREEMENT_US as u64)
            .map(|other_us| other_us.min(lead_us));
        confirmed_us.map_or(0, |lead_us| self.raise(lead_us))
    }

    fn raise(&mut self, lead_us: i64) -> Micros {
        let Some(known_us) = self.lead_us else {
            self.lead_us = Some(lead_us);
            return 0;
        };
        let moved_us = lead_us.saturating_sub(known_us);
        if moved_us < STEP_US {
            return 0;
        }
        self.lead_us = Some(lead_us);
        moved_us.unsigned_abs()
    }
}

/// By how much a stamp is ahead of the clock.
fn lead(now: Micros, stamp_us: u64) -> i64 {
    let stamp = i64::try_from(stamp_us).unwrap_or(i64::MAX);
    stamp.saturating_sub(i64::try_from(now).unwrap_or(i64::MAX))
}
