//! Slow start: a recently started server receives no more work than its present capacity allows.

use super::replication::Selection;
use crate::estimate::hash;
use crate::state::{Role, ServerState};

/// Share of a slow-start budget that is used. The rest is a margin for inaccurate sizes and random
/// variation.
const USED_BUDGET_SHARE: f64 = 0.4;

impl Selection<'_> {
    /// Returns whether a transfer fits into this router's part of a server's slow-start budget.
    /// Retries and fills are charged like all other work.
    pub(super) fn slow_start_allows(&self, server: &ServerState, transfer_s: f64) -> bool {
        let window_us = self.router.settings.rules.overload_window_us;
        let window_start = self.now.saturating_sub(window_us);
        let capacity_share = server.warm_up_capacity_share(window_start);
        if capacity_share >= 1.0 || server.role == Role::Origin {
            return true;
        }
        let multiple = server.warm_up.overload_multiple;
        let capacity = self.router.nominal_capacity(server);
        let all_routers_s =
            USED_BUDGET_SHARE * multiple * capacity_share * capacity * (window_us as f64 / 1e6);
        let budget_s = all_routers_s / f64::from(server.warm_up.router_count.max(1));
        let spent_s = server.charged_transfer_s(window_start);
        // If this router's part of the budget is smaller than one transfer, the router sends one
        // with a probability that keeps the expected total of all routers within the whole budget.
        // The draw is the same for a server throughout a window, so retries get no additional
        // chance.
        let key = (self.now / window_us.max(1)) ^ hash::finalize(server.id);
        let draw = hash::uniform_fraction(self.router.seed, key);
        spent_s + transfer_s <= budget_s || spent_s == 0.0 && draw * transfer_s < budget_s
    }
}
