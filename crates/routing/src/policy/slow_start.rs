//! Slow start: a server that has just started is sent no more than its present capacity carries.

use super::replication::Selection;
use crate::estimate::hash;
use crate::state::{Role, ServerState};

/// Part of a slow-start budget that is used; the rest is slack for sizes and chance.
const BUDGET_USE: f64 = 0.4;

impl Selection<'_> {
    /// Whether this router's part of a server's slow-start budget has room for a transfer. Retries
    /// and fills are charged like everything else.
    pub(super) fn slow_start_allows(&self, server: &ServerState, transfer_s: f64) -> bool {
        let window_us = self.router.settings.rules.overload_window_us;
        let window_start = self.now.saturating_sub(window_us);
        let fraction = server.warm_up_capacity_share(window_start);
        if fraction >= 1.0 || server.role == Role::Origin {
            return true;
        }
        let multiple = server.warm_up.overload_multiple;
        let capacity = self.router.nominal_capacity(server);
        let all_s = BUDGET_USE * multiple * fraction * capacity * (window_us as f64 / 1e6);
        let budget_s = all_s / f64::from(server.warm_up.routers.max(1));
        let spent_s = server.charged_transfer_s(window_start);
        // A part smaller than one request is spent by turns: each router sends one with the chance
        // that keeps the sum of all. Drawn once a server and window, so that retries are no further
        // chances.
        let key = (self.now / window_us.max(1)) ^ hash::finalize(server.id);
        let draw = hash::uniform_fraction(self.router.seed, key);
        spent_s + transfer_s <= budget_s || spent_s == 0.0 && draw * transfer_s < budget_s
    }
}
