//! What caches, the location's link and the origin carry in time, and the load shedding beyond.

use super::{replication::Selection, retry::OVERHEAD_S, Router};
use crate::action::Action;
use crate::event::{EndpointState, FillResult, RequestId};
use crate::settings::{DedupScope, Idempotency, Micros};
use crate::state::{RequestState, Role, ServerState};

/// Part of the time left that a transfer from a cache may be expected to take: the load is a guess,
/// all routers act on the same one, and more transfers come while this one runs.
const CACHE_MARGIN: f64 = 0.75;
/// Part of the time left that a fill may need on the location's link: late fills cost all requests.
const LINK_MARGIN: f64 = 0.4;
/// The same where sizes are unknown: a class is refused as a whole, so a little later.
const UNSIZED_MARGIN: f64 = 0.5;
const STRETCHED: f64 = 1.3; // Stretch of transfers from which they overload the link they share.
const LINK_PACE_LIFETIME_US: Micros = 1_500_000; // Microseconds for which fills tell of the link.
const MIN_SHOWN_CAPACITY: f64 = 0.2; // Least capacity that hits may show, in transfers.
const MIN_LINK_CAPACITY: f64 = 1e-3; // Least capacity of the location's link, in transfers.
const FILL_AFTER: f64 = 1.5; // Transfer times after which an attempt is taken to wait for a fill.
const LATE_FACTOR: f64 = 0.85; // On the share that may have the origin asked, if it is late.
const MAX_LATE_FACTORS: f64 = 3.0; // How often it applies at most: a long queue is slow to show.
const IN_TIME_STEP: f64 = 0.04; // Added to that share with each answer of the origin in time.
/// Added to it with each sweep: a router with few fills would not see for long that all is well.
pub(super) const SWEEP_STEP: f64 = 0.005;
pub(super) const MIN_ADMITTED: f64 = 0.05; // Least such share: it finds out whether all is well.
const RETRY_AFTER_US: Micros = 200_000; // Microseconds: short, so that a retry can be in time.

impl Selection<'_> {
    /// Whether a server is available, may be sent the request, and would serve it in time.
    pub(super) fn can_serve(&self, server: &ServerState) -> bool {
        server.is_available(self.now) && self.accepts(server) && self.meets_objective(server)
    }

    /// Whether the rules let a server be given the request, itself or as a fill.
    pub(super) fn accepts(&self, server: &ServerState) -> bool {
        server.lifecycle == EndpointState::Ready
            && self.slow_start_allows(server, self.router.charge_s(self.request))
    }

    /// Whether a cache is expected to have served the request while it is wanted; else it is full
    /// in the sense of the design. Judged by the transfers in flight and the capacity that its
    /// answers showed.
    pub(super) fn meets_objective(&self, server: &ServerState) -> bool {
        let warm = server.warm_up_capacity_share(self.now);
        let capacity = self.shown_capacity(server) * warm;
        let sharing = (server.transfers_in_flight.total() + 1.0) / capacity;
        let expected_us = (self.request.transfer_s * sharing.max(1.0) * 1e6) as Micros;
        expected_us as f64 <= CACHE_MARGIN * self.request.time_left_us(self.now) as f64
    }

    /// Capacity of a server in transfers, as recent hits showed it: where each took longer than its
    /// size explains, more transfers shared the link than it carries at full rate.
    fn shown_capacity(&self, server: &ServerState) -> f64 {
        let nominal = self.router.nominal_capacity(server);
        let Some(hits) = server.hit_pace.summary(self.now) else {
            return nominal;
        };
        if hits.slowdown >= STRETCHED {
            return (hits.in_flight / hits.slowdown).max(MIN_SHOWN_CAPACITY);
        }
        nominal.max(hits.in_flight)
    }

    /// Whether a fill would not be in time on the location's link: all fills share its rate, so it
    /// would make the others late too.
    pub(super) fn link_is_full(&self) -> bool {
        let in_flight = self.router.link.fills_in_flight.total() + 1.0;
        let sized = self.request.size_known;
        let margin = if sized { LINK_MARGIN } else { UNSIZED_MARGIN };
        let allowed_us = margin * self.request.time_left_us(self.now) as f64;
        self.link_capacity().is_some_and(|capacity| {
            let capacity = capacity.max(MIN_LINK_CAPACITY);
            let expected_s = self.request.transfer_s * in_flight / capacity;
            expected_s * 1e6 > allowed_us
        })
    }

    /// Capacity of the location's link in transfers. If its rate is unknown, recent fills show it:
    /// without a bound, fills that come too late are restarted and keep the link congested.
    fn link_capacity(&self) -> Option<f64> {
        let (settings, pace) = (&self.router.settings, &self.router.link.fill_pace);
        let rate_kb_per_s = settings.own_zone().link_kb_per_s;
        if rate_kb_per_s > 0.0 {
            return Some(settings.transfers(rate_kb_per_s));
        }
        let fills = pace.summary(self.now)?;
        let recent = self.now <= pace.last_sample_at() + LINK_PACE_LIFETIME_US;
        let congested = recent && fills.slowdown >= STRETCHED;
        congested.then(|| fills.in_flight / fills.slowdown)
    }
}

impl Router {
    /// What a server is charged for a request, in seconds: clients may claim too small a size.
    pub(super) fn charge_s(&self, request: &RequestState) -> f64 {
        let usual_s = self.latency[request.class_index].typical_transfer_s();
        request.transfer_s.max(usual_s)
    }

    /// Transfers that a server's link carries at full rate. If weights do not tell, it is guessed
    /// from the location links, which carry the misses only: a cache has more than its part of one,
    /// and a parent is built for more than one location.
    pub(super) fn nominal_capacity(&self, server: &ServerState) -> f64 {
        if self.settings.weights_known {
            return server.weight;
        }
        let link = self.settings.transfers(self.settings.mean_link_kb_per_s());
        let servers = match server.role {
            Role::Cache => self.servers.cache_count().max(1),
            Role::Parent | Role::Origin => 1,
        };
        (link / servers as f64).max(1.0)
    }

    /// How many attempts in flight seem to wait for fills; a stalled one is lost rather than
    /// filled.
    pub(super) fn count_fills(&self, now: Micros) -> usize {
        let in_flight = self
            .requests
            .attempts_in_flight()
            .filter(|(request, attempt)| {
                let waited_s = now.saturating_sub(attempt.sent_at) as f64 / 1e6;
                waited_s > FILL_AFTER * request.transfer_s + OVERHEAD_S
                    && now <= attempt.stalls_at
                    && self.servers.is_available(attempt.server, now)
            });
        in_flight.count()
    }

    /// Answers a request that no server is tried for, at once: rejected if a retry is known to be
    /// safe.
    pub(super) fn give_up(&mut self, id: RequestId) -> Option<Action> {
        let request = self.requests.remove(id)?;
        let class = self.class(&request);
        let never_ran = request.first_possible_execution.is_none();
        let retry_is_safe = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey => never_ran || class.dedup_scope == DedupScope::All,
            Idempotency::NonIdempotent => never_ran,
        };
        // Given also where clients are not said to follow the advice: it does them no harm.
        let longest_us = self.settings.max_retry_after_us;
        let retry_after_us = (longest_us > 0).then_some(RETRY_AFTER_US.min(longest_us));
        let rejected = Action::reject(id, retry_after_us);
        let failed = Action::Fail { request: id };
        Some(if retry_is_safe { rejected } else { failed })
    }

    /// Learns from a fill, given the wait for it over the latency objective of its class. More
    /// fills than the origin can give in time queue up there, and it works off even those that
    /// nobody waits for any more: all would be late, long after its trouble is over. So the later
    /// its answers, the fewer requests may have it asked; parents give what they hold to all.
    pub(super) fn learn_from_origin(&mut self, fill_result: FillResult, lateness: f64) {
        let failures = [FillResult::OriginFailed, FillResult::SourceUnreachable];
        let filled = fill_result == FillResult::FilledFromOrigin;
        if filled && lateness <= 1.0 {
            self.origin_share.raise(IN_TIME_STEP);
        } else if filled || failures.contains(&fill_result) {
            let factors = lateness.clamp(1.0, MAX_LATE_FACTORS);
            self.origin_share.lower(LATE_FACTOR.powf(factors));
        }
    }
}
