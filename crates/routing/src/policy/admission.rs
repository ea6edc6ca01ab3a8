//! Admission: what cache servers, the location's link and the origin can serve in time, and load
//! shedding of the requests beyond that.

use super::{replication::Selection, retry::ANSWER_OVERHEAD_S, Router};
use crate::action::Action;
use crate::event::{EndpointState, FillResult, RequestId};
use crate::settings::Micros;
use crate::state::{RequestState, Role, ServerState};

/// Largest share of the remaining time that a transfer from a cache server may be expected to take.
/// The rest is a margin: the load is an estimate, all routers act on the same estimate, and more
/// transfers start while this one runs.
const MAX_CACHE_TIME_SHARE: f64 = 0.75;
/// Largest share of the remaining time that a fill may need on the location's link. Late fills
/// affect all requests, because they share the link.
const MAX_LINK_TIME_SHARE: f64 = 0.4;
/// Replaces [`MAX_LINK_TIME_SHARE`] for requests of unknown size. It is higher, because all these
/// requests of a class are refused together.
const MAX_LINK_TIME_SHARE_UNKNOWN_SIZE: f64 = 0.5;
/// Slowdown at which transfers overload the link that they share. The slowdown is the time that
/// transfers took, divided by the time that they would have taken without sharing.
const OVERLOAD_SLOWDOWN: f64 = 1.3;
/// Time after the last fill during which the pace of fills shows the link's capacity.
const LINK_PACE_MAX_AGE_US: Micros = 1_500_000;
/// Lower bound of the server capacity that is derived from hits, in transfers at full rate.
const MIN_OBSERVED_CAPACITY_TRANSFERS: f64 = 0.2;
/// Lower bound of the capacity of the location's link, in transfers at full rate.
const MIN_LINK_CAPACITY_TRANSFERS: f64 = 1e-3;
/// Number of transfer times after which an attempt counts as waiting for a fill.
const FILL_WAIT_TRANSFER_TIMES: f64 = 1.5;
/// Factor by which a late or failed fill from the origin lowers the share of admitted requests.
const ORIGIN_ADMISSION_LATE_FACTOR: f64 = 0.85;
/// How many times a single fill applies that factor at most. The later a fill is, the more often it
/// applies the factor, because a long queue at the origin takes long to become visible.
const MAX_ORIGIN_ADMISSION_LATE_FACTORS: f64 = 3.0;
/// Added to the share of admitted requests for each fill that the origin answers in time.
const ORIGIN_ADMISSION_SUCCESS_STEP: f64 = 0.04;
/// Added to the share of admitted requests on each sweep. Without it, a router with few fills would
/// take long to notice that the origin has recovered.
pub(super) const ORIGIN_ADMISSION_SWEEP_STEP: f64 = 0.005;
/// Lower bound of the share of admitted requests, whose fills show that the origin has recovered.
pub(super) const MIN_ORIGIN_ADMISSION_SHARE: f64 = 0.05;
/// Retry-After of rejected requests. It is short, so that the retry can be answered in time.
const RETRY_AFTER_US: Micros = 200_000;

impl Selection<'_> {
    /// Returns whether a server is available, the rules allow sending the request there, and the
    /// server is expected to answer in time.
    pub(super) fn can_serve(&self, server: &ServerState) -> bool {
        server.is_available(self.now) && self.rules_allow(server) && self.serves_in_time(server)
    }

    /// Returns whether the rules allow a server to receive the request or its fill.
    pub(super) fn rules_allow(&self, server: &ServerState) -> bool {
        server.lifecycle == EndpointState::Ready
            && self.slow_start_allows(server, self.router.slow_start_charge_s(self.request))
    }

    /// Returns whether a cache server is expected to answer before the request's latency objective
    /// or, once that has passed, before its deadline. Otherwise the cache server counts as full.
    /// The estimate uses the transfers in flight and the capacity that hits showed.
    pub(super) fn serves_in_time(&self, server: &ServerState) -> bool {
        let capacity_share = server.warm_up_capacity_share(self.now);
        let capacity = self.observed_capacity(server) * capacity_share;
        let sharing = (server.transfers_in_flight.total() + 1.0) / capacity;
        let expected_us = (self.request.unshared_transfer_s * sharing.max(1.0) * 1e6) as Micros;
        expected_us as f64 <= MAX_CACHE_TIME_SHARE * self.request.time_left_us(self.now) as f64
    }

    /// Returns the capacity of a server in transfers at full rate, as recent hits showed it. If
    /// hits took longer than their sizes explain, more transfers shared the link than it carries at
    /// full rate.
    fn observed_capacity(&self, server: &ServerState) -> f64 {
        let nominal = self.router.nominal_capacity(server);
        let Some(hits) = server.hit_pace.summary(self.now) else {
            return nominal;
        };
        if hits.slowdown >= OVERLOAD_SLOWDOWN {
            return (hits.in_flight / hits.slowdown).max(MIN_OBSERVED_CAPACITY_TRANSFERS);
        }
        nominal.max(hits.in_flight)
    }

    /// Returns whether a fill would be late on the location's link. All fills share the link's
    /// rate, so an additional fill would make the others late too.
    pub(super) fn link_is_full(&self) -> bool {
        let in_flight = self.router.link.fills_in_flight.total() + 1.0;
        let size_known = self.request.size_known;
        let time_share = if size_known {
            MAX_LINK_TIME_SHARE
        } else {
            MAX_LINK_TIME_SHARE_UNKNOWN_SIZE
        };
        let allowed_us = time_share * self.request.time_left_us(self.now) as f64;
        self.link_capacity().is_some_and(|capacity| {
            let capacity = capacity.max(MIN_LINK_CAPACITY_TRANSFERS);
            let expected_s = self.request.unshared_transfer_s * in_flight / capacity;
            expected_s * 1e6 > allowed_us
        })
    }

    /// Returns the capacity of the location's link in transfers at full rate, or None if nothing
    /// shows it. If the settings do not contain the link's rate, recent fills show the capacity
    /// while the link is congested. Without this bound, fills that come too late would be restarted
    /// and keep the link congested.
    fn link_capacity(&self) -> Option<f64> {
        let (settings, pace) = (&self.router.settings, &self.router.link.fill_pace);
        let rate_kb_per_s = settings.own_zone().link_kb_per_s;
        if rate_kb_per_s > 0.0 {
            return Some(settings.full_rate_transfers(rate_kb_per_s));
        }
        let fills = pace.summary(self.now)?;
        let recent = self.now <= pace.last_sample_at() + LINK_PACE_MAX_AGE_US;
        let congested = recent && fills.slowdown >= OVERLOAD_SLOWDOWN;
        congested.then(|| fills.in_flight / fills.slowdown)
    }
}

impl Router {
    /// Returns the transfer time in seconds that a request takes from a server's slow-start budget.
    /// It is at least the typical transfer time of the class, because clients may claim too small a
    /// size.
    pub(super) fn slow_start_charge_s(&self, request: &RequestState) -> f64 {
        let typical_s = self.latency[request.class_index].typical_transfer_s();
        request.unshared_transfer_s.max(typical_s)
    }

    /// Returns how many transfers a server's link carries at full rate. If the weights do not state
    /// this, it is estimated from the links of the locations. This estimate is low: those links
    /// carry only misses, so a cache server has more than its part of one, and a parent is built
    /// for more than one location.
    pub(super) fn nominal_capacity(&self, server: &ServerState) -> f64 {
        if self.settings.weights_are_capacities {
            return server.weight;
        }
        let link_capacity = self
            .settings
            .full_rate_transfers(self.settings.mean_known_link_kb_per_s());
        let sharing_servers = match server.role {
            Role::Cache => self.servers.cache_count().max(1),
            Role::Parent | Role::Origin => 1,
        };
        (link_capacity / sharing_servers as f64).max(1.0)
    }

    /// Returns how many attempts in flight seem to wait for a fill. Attempts that stalled or whose
    /// server is unavailable count as lost instead.
    pub(super) fn count_waiting_for_fill(&self, now: Micros) -> usize {
        let waiting = self
            .requests
            .attempts_in_flight()
            .filter(|(request, attempt)| {
                let waited_s = now.saturating_sub(attempt.sent_at) as f64 / 1e6;
                waited_s
                    > FILL_WAIT_TRANSFER_TIMES * request.unshared_transfer_s + ANSWER_OVERHEAD_S
                    && now <= attempt.stalls_at
                    && self.servers.is_available(attempt.server, now)
            });
        waiting.count()
    }

    /// Gives the final answer to a request for which no further attempt is made. The request is
    /// rejected if a retry is known to be safe, otherwise it fails. Returns None if there is no
    /// such request.
    pub(super) fn reject_or_fail(&mut self, id: RequestId) -> Option<Action> {
        let request = self.requests.remove(id)?;
        let class = self.class(&request);
        let never_executed = request.first_possible_execution.is_none();
        let retry_is_safe = never_executed || class.is_repeatable_anywhere();
        // Retry-After is also sent to clients that are not known to follow it: it does no harm.
        let max_retry_after_us = self.settings.max_retry_after_us;
        let retry_after_us =
            (max_retry_after_us > 0).then_some(RETRY_AFTER_US.min(max_retry_after_us));
        let rejected = Action::reject(id, retry_after_us);
        let failed = Action::Fail { request: id };
        Some(if retry_is_safe { rejected } else { failed })
    }

    /// Adapts the share of requests that may cause a fill from the origin to the result of a fill.
    /// `lateness` is the wait for the fill divided by the latency objective of the class.
    ///
    /// Fills beyond the origin's capacity queue up there. The origin processes even those that no
    /// client waits for any more, so all fills would be late until long after its overload has
    /// ended. Therefore, the later the origin answers, the fewer requests are admitted. Requests
    /// that are not admitted still get the copies that parents hold.
    pub(super) fn learn_from_origin(&mut self, fill_result: FillResult, lateness: f64) {
        let failures = [FillResult::OriginFailed, FillResult::SourceUnreachable];
        let filled = fill_result == FillResult::FilledFromOrigin;
        if filled && lateness <= 1.0 {
            self.origin_admission.raise(ORIGIN_ADMISSION_SUCCESS_STEP);
        } else if filled || failures.contains(&fill_result) {
            let factors = lateness.clamp(1.0, MAX_ORIGIN_ADMISSION_LATE_FACTORS);
            self.origin_admission
                .lower(ORIGIN_ADMISSION_LATE_FACTOR.powf(factors));
        }
    }
}
