//! Attempts: whether one more is allowed, how it is sent, and when it is cancelled.

use super::Router;
use crate::action::{Action, Fill};
use crate::estimate::{hash, LatencyEstimate, LearnedMean, QuantileEstimate};
use crate::event::RequestId;
use crate::settings::{Class, Idempotency, Micros};
use crate::state::{InFlightAttempt, RequestState, Role, Target};

const MIN_ATTEMPT_US: Micros = 5_000; // Least microseconds in which an attempt can be answered.
const MAX_SERVER_ERRORS: u32 = 2; // Servers that fail a request before it counts as at fault.
/// Decayed request count from which a part is requested repeatedly. It is kept at the higher rank,
/// so that a scan of objects that are requested once does not evict it.
const REPEATED_COUNT: f64 = 1.3;
pub(super) const OVERHEAD_S: f64 = 0.02; // Seconds that an answer takes besides its transfer.
const INITIAL_TRANSFER_PART: f64 = 0.5; // Usual transfer time over the objective, to begin with.
const TRANSFER_STEP: f64 = 0.01; // Least weight of one request in its class's usual transfer time.
const MIN_TRANSFER_S: f64 = 0.001; // Least seconds that a transfer of unknown size is taken for.
const SLOW_SHARE: f64 = 0.02; // Share of a class's answers that are slow.
const SLOW_STEP: f64 = 0.2; // Weight of one answer in the estimate of what is slow.
const INITIAL_SLOW_RATIO: f64 = 4.0; // What is slow over the baseline, before any answer was seen.
/// An attempt stalls after this many times what is slow; each stall of its request doubles it.
const STALL_MULTIPLE: f64 = 2.2;
const MAX_STALL_DOUBLINGS: u32 = 4; // How often that is doubled at most.
const EXPECTED_S: f64 = 0.25; // Seconds that an attempt may be expected to take besides transfers.
const EXPECTED_TRANSFERS: f64 = 2.0; // Transfer times that it may be expected to take.
/// How long after the purge of a group all requests may wait for fills, in microseconds: the parts
/// of the group are filled again one by one, as they are requested.
const REFILL_US: Micros = 20_000_000;

/// How long answers of a class take, before any was seen.
pub(super) fn initial_latency(class: &Class) -> LatencyEstimate {
    let initial_s = class.latency_objective_us as f64 / 1e6 * INITIAL_TRANSFER_PART;
    let transfer_s = LearnedMean::new(initial_s, TRANSFER_STEP);
    let slow_ratio = QuantileEstimate::new(INITIAL_SLOW_RATIO, SLOW_STEP, SLOW_SHARE);
    LatencyEstimate::new(transfer_s, slow_ratio, OVERHEAD_S, MIN_TRANSFER_S)
}

impl Router {
    /// Whether a request may be sent once more: there is time and an attempt left, and an attempt
    /// that may have taken effect is no obstacle.
    pub(super) fn may_attempt(&self, now: Micros, request: &RequestState) -> bool {
        let class = self.class(request);
        let repeatable = request.first_possible_execution.is_none_or(|run| {
            let answered_after_us = now.saturating_sub(run.sent_at) + MIN_ATTEMPT_US;
            match class.idempotency {
                Idempotency::Idempotent => true,
                Idempotency::IdempotencyKey => answered_after_us < class.dedup_window_us,
                Idempotency::NonIdempotent => false,
            }
        });
        repeatable
            && request.client_deadline.saturating_sub(now) >= MIN_ATTEMPT_US
            && request.attempts_sent < self.settings.max_attempts
            && request.server_errors < MAX_SERVER_ERRORS
    }

    /// Sends a request to a server.
    pub(super) fn send(&mut self, now: Micros, id: RequestId, target: Target) -> Option<Action> {
        let request = self.requests.get(id)?;
        let (class, transfer_s) = (self.class(request), self.charge_s(request));
        let attempt = self.new_attempt(now, request, target);
        let keyed = class.idempotency == Idempotency::IdempotencyKey;
        let first_run = request.first_possible_execution.filter(|_| keyed);
        let action = Action::StartAttempt {
            request: id,
            server: target.server,
            timeout_us: None,
            fill: Some(self.fill(now, id, request, target)),
            send_by: first_run.map(|run| run.sent_at + class.dedup_window_us),
        };
        self.servers.record_attempt_sent(id, &attempt, transfer_s);
        self.link.record_attempt_sent();
        self.requests.record_attempt_sent(id, attempt);
        Some(action)
    }

    fn new_attempt(&self, now: Micros, request: &RequestState, target: Target) -> InFlightAttempt {
        let server = self.servers.get(target.server);
        let in_flight = server.map_or(0.0, |server| server.transfers_in_flight.total());
        let slow_s = self.latency[request.class_index].slow_threshold_s(request.transfer_s);
        let completion_us = self.settings.rules.purge_completion_us;
        InFlightAttempt {
            expected_by: self.expected_by(now, request, slow_s),
            stalls_at: stalls_at(now, request, slow_s),
            transfers_at_server: in_flight + 1.0,
            fills_on_link: self.link.fills_in_flight.total() + 1.0,
            group_recently_purged: self.purges.group_purged_within(
                request.purge_group,
                now,
                completion_us,
            ),
            ..InFlightAttempt::new(now, request.attempts_sent, target)
        }
    }

    /// When an attempt that is sent now is past its expected latency. After the purge of a group
    /// all wait for the origin: then only what is slow is past it.
    fn expected_by(&self, now: Micros, request: &RequestState, slow_s: f64) -> Micros {
        let mut expected_s = EXPECTED_S + EXPECTED_TRANSFERS * request.transfer_s;
        if self.purges.any_group_purged_within(now, REFILL_US) {
            expected_s = expected_s.max(slow_s);
        }
        now + (expected_s * 1e6) as Micros
    }

    /// How a miss is filled, and what is kept.
    fn fill(&self, now: Micros, id: RequestId, request: &RequestState, target: Target) -> Fill {
        let class = self.class(request);
        let server = self.servers.get(target.server);
        let cached = !class.is_write && server.is_none_or(|server| server.role == Role::Cache);
        let repeated = request.part_request_count >= REPEATED_COUNT;
        // However long ago the purge: a fill that was in flight may have brought an older copy
        // after the servers had dropped theirs.
        let since_purge_us =
            self.purges
                .time_since_purge_us(now, request.object_hash, request.purge_group);
        let lifetime_us = class.lifetime_us();
        // Drawn once for a request, so that retries are no further chances.
        let admitted = self
            .origin_share
            .admits(hash::uniform_fraction(self.seed, id));
        Fill {
            source: target.fill_source.unwrap_or(target.server),
            retention_rank: u8::from(cached) + u8::from(cached && repeated),
            max_age_us: since_purge_us.map(|age_us| age_us.min(lifetime_us.unwrap_or(age_us))),
            coalesce: self.settings.coalescing && cached,
            only_if_cached: !class.is_write && target.fill_source.is_some() && !admitted,
            bypass_parent: false,
            background_refresh: lifetime_us.is_some() && repeated && cached,
        }
    }

    /// Cancels attempts that stalled or whose server or source is ejected as unresponsive, so that
    /// they can be sent elsewhere.
    pub(super) fn cancel_hopeless(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let classes = &self.settings.classes;
        for (id, request) in self.requests.iter_mut() {
            let idempotent = classes[request.class_index].idempotency == Idempotency::Idempotent;
            let allowed = self.settings.cancellation && idempotent;
            let Some(attempt) = request.cancellable_attempt().filter(|_| allowed) else {
                continue;
            };
            let late = attempt.expected_by < now;
            let mut servers = attempt
                .server_and_fill_source()
                .filter_map(|id| self.servers.get(id));
            let hangs = late
                && servers.any(|server| {
                    now < server.ejected_until && server.last_success_at < attempt.sent_at
                });
            if hangs || now > attempt.stalls_at {
                attempt.stalled = !hangs;
                actions.push(attempt.cancel(id));
            }
        }
    }

    /// The client disconnected: its attempt is cancelled, so that no link carries it in vain.
    pub(super) fn disconnected(&mut self, id: RequestId) -> Option<Action> {
        let request = self.requests.get_mut(id)?;
        request.client_disconnected = true;
        let attempt = request.cancellable_attempt()?;
        self.settings.cancellation.then(|| attempt.cancel(id))
    }
}

/// When an attempt that is sent now stalls: sharing does not explain that it takes longer.
fn stalls_at(now: Micros, request: &RequestState, slow_s: f64) -> Micros {
    let doublings = request.stalled_attempts.min(MAX_STALL_DOUBLINGS);
    let stalled_s = STALL_MULTIPLE * slow_s * f64::from(1 << doublings);
    now + (stalled_s * 1e6) as Micros
}
