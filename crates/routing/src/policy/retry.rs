//! Attempts of a request: whether a further one is allowed, how it is sent, and when it is
//! cancelled.

use super::Router;
use crate::action::{Action, Fill};
use crate::estimate::{hash, LatencyEstimate, LearnedMean, QuantileEstimate};
use crate::event::RequestId;
use crate::settings::{Class, Idempotency, Micros};
use crate::state::{InFlightAttempt, RequestState, Role, Target};

/// Shortest time in which an attempt can be answered.
const MIN_ATTEMPT_US: Micros = 5_000;
/// Number of attempts of a request that may fail with an error without a reason. After that many,
/// the request itself is assumed to cause the errors and is not attempted again.
const MAX_SERVER_ERRORS: u32 = 2;
/// Decayed request count at which a part counts as requested repeatedly. Its copies get a higher
/// retention rank, so that a scan of objects that are requested once does not evict them.
const REPEATED_REQUEST_COUNT: f64 = 1.3;
/// Time that an answer takes besides its transfer.
pub(super) const ANSWER_OVERHEAD_S: f64 = 0.02;
/// Initial estimate of the typical transfer time of a class, as a share of its latency objective.
const INITIAL_TRANSFER_TIME_SHARE: f64 = 0.5;
/// Lower bound of the weight of one request in the typical transfer time of its class.
const MIN_TRANSFER_TIME_SAMPLE_WEIGHT: f64 = 0.01;
/// Lower bound of the measured transfer time of an answer of unknown size.
const MIN_MEASURED_TRANSFER_S: f64 = 0.001;
/// Share of the answers of a class that count as slow.
const SLOW_ANSWER_SHARE: f64 = 0.02;
/// The slow ratio of a class is the time after which an answer counts as slow, divided by a
/// baseline that includes the typical transfer time of the class. This constant is the largest
/// relative change of the slow ratio by one answer.
const SLOW_RATIO_STEP: f64 = 0.2;
/// Slow ratio before any answer was received.
const INITIAL_SLOW_RATIO: f64 = 4.0;
/// An attempt counts as stalled after this many times the duration of a slow answer. Each earlier
/// stall of the request doubles the time.
const STALL_SLOW_FACTOR: f64 = 2.2;
/// How often the time until an attempt counts as stalled is doubled at most.
const MAX_STALL_DOUBLINGS: u32 = 4;
/// Time besides transfers after which an attempt is late, unless a group was purged recently.
const EXPECTED_OVERHEAD_S: f64 = 0.25;
/// Number of transfer times that are added to [`EXPECTED_OVERHEAD_S`]. The transfer time is that of
/// a transfer that does not share its link.
const EXPECTED_TRANSFER_TIMES: f64 = 2.0;
/// Time after the router was notified of the purge of a group during which attempts of all
/// requests may wait long for fills. The parts of the group are filled again one by one, as they
/// are requested, and their fills share the link and the origin with all other fills.
const GROUP_REFILL_US: Micros = 20_000_000;

/// Returns the latency estimate of a class before any answer was received.
pub(super) fn initial_latency(class: &Class) -> LatencyEstimate {
    let initial_s = class.latency_objective_us as f64 / 1e6 * INITIAL_TRANSFER_TIME_SHARE;
    let typical_transfer_s = LearnedMean::new(initial_s, MIN_TRANSFER_TIME_SAMPLE_WEIGHT);
    let slow_ratio = QuantileEstimate::new(INITIAL_SLOW_RATIO, SLOW_RATIO_STEP, SLOW_ANSWER_SHARE);
    LatencyEstimate::new(
        typical_transfer_s,
        slow_ratio,
        ANSWER_OVERHEAD_S,
        MIN_MEASURED_TRANSFER_S,
    )
}

impl Router {
    /// Returns whether a further attempt of a request is allowed. Time and attempts must be left,
    /// and fewer than [`MAX_SERVER_ERRORS`] attempts may have failed without a reason. If an
    /// earlier attempt may have taken effect, the request must be safe to repeat.
    pub(super) fn may_attempt(&self, now: Micros, request: &RequestState) -> bool {
        let class = self.class(request);
        let repeatable = request.first_possible_execution.is_none_or(|execution| {
            let elapsed_at_answer_us = now.saturating_sub(execution.sent_at) + MIN_ATTEMPT_US;
            match class.idempotency {
                Idempotency::Idempotent => true,
                Idempotency::IdempotencyKey => elapsed_at_answer_us < class.dedup_window_us,
                Idempotency::NonIdempotent => false,
            }
        });
        repeatable
            && request.client_deadline.saturating_sub(now) >= MIN_ATTEMPT_US
            && request.attempts_sent < self.settings.max_attempts
            && request.server_errors < MAX_SERVER_ERRORS
    }

    /// Records a new attempt of a request at a target and returns the action that starts the
    /// attempt. Returns None if there is no such request.
    pub(super) fn start_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        target: Target,
    ) -> Option<Action> {
        let request = self.requests.get(id)?;
        let (class, charge_s) = (self.class(request), self.slow_start_charge_s(request));
        let attempt = self.new_attempt(now, request, target);
        let keyed = class.idempotency == Idempotency::IdempotencyKey;
        let first_execution = request.first_possible_execution.filter(|_| keyed);
        let action = Action::StartAttempt {
            request: id,
            server: target.server,
            timeout_us: None,
            fill: Some(self.new_fill(now, id, request, target)),
            send_by: first_execution.map(|execution| execution.sent_at + class.dedup_window_us),
        };
        self.servers.record_attempt_sent(id, &attempt, charge_s);
        self.link.record_attempt_sent();
        self.requests.record_attempt_sent(id, attempt);
        Some(action)
    }

    fn new_attempt(&self, now: Micros, request: &RequestState, target: Target) -> InFlightAttempt {
        let server = self.servers.get(target.server);
        let in_flight = server.map_or(0.0, |server| server.transfers_in_flight.total());
        let slow_s =
            self.latency[request.class_index].slow_threshold_s(request.unshared_transfer_s);
        let completion_us = self.settings.rules.purge_completion_us;
        InFlightAttempt {
            location: self.servers.dedup_location(target.server),
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

    /// Returns when an attempt that is sent now becomes late. For a while after the purge of any
    /// group, all attempts may wait for the origin. An attempt is then late only if it is also
    /// slow.
    fn expected_by(&self, now: Micros, request: &RequestState, slow_s: f64) -> Micros {
        let mut expected_s =
            EXPECTED_OVERHEAD_S + EXPECTED_TRANSFER_TIMES * request.unshared_transfer_s;
        if self
            .purges
            .any_group_purge_notified_within(now, GROUP_REFILL_US)
        {
            expected_s = expected_s.max(slow_s);
        }
        now + (expected_s * 1e6) as Micros
    }

    /// Returns the fill instruction for an attempt, which includes the fill source, the maximum
    /// age of a copy and the retention rank.
    fn new_fill(&self, now: Micros, id: RequestId, request: &RequestState, target: Target) -> Fill {
        let class = self.class(request);
        let server = self.servers.get(target.server);
        let cached = !class.is_write && server.is_none_or(|server| server.role == Role::Cache);
        let repeated = request.part_request_count >= REPEATED_REQUEST_COUNT;
        // A purge limits the age of copies however long ago it was: a fill in flight at that time
        // may have stored an older copy after the servers had dropped theirs.
        let since_purge_us =
            self.purges
                .time_since_purge_us(now, request.object_hash, request.purge_group);
        let lifetime_us = class.lifetime_us();
        // The draw is the same for all attempts of a request, so retries get no additional chance
        // of a fill from the origin.
        let admitted = self
            .origin_admission
            .admits(hash::uniform_fraction(self.seed, id));
        Fill {
            source: target.fill_source.unwrap_or(target.server),
            retention_rank: u8::from(cached) + u8::from(cached && repeated),
            max_age_us: since_purge_us.map(|age_us| age_us.min(lifetime_us.unwrap_or(age_us))),
            coalesce: self.settings.coalescing && cached,
            only_if_cached: !class.is_write && target.fill_source.is_some() && !admitted,
            parent_no_store: false,
            background_refresh: lifetime_us.is_some() && repeated && cached,
        }
    }

    /// Cancels stuck attempts, so that their requests can be sent elsewhere. An attempt is stuck if
    /// it has stalled, or if it is late and its server or fill source is ejected and has had no
    /// success since the attempt was sent. Only attempts of idempotent classes whose answer is not
    /// being streamed are cancelled, and only where cancellation is allowed.
    pub(super) fn cancel_stuck_attempts(&mut self, now: Micros, actions: &mut Vec<Action>) {
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
            let server_unresponsive = late
                && servers.any(|server| {
                    now < server.ejected_until && server.last_success_at < attempt.sent_at
                });
            if server_unresponsive || now > attempt.stalls_at {
                attempt.stalled = !server_unresponsive;
                actions.push(attempt.cancel(id));
            }
        }
    }

    /// Handles the disconnect of a client. Its attempt is cancelled, so that no link carries an
    /// answer that no client receives. Returns None if there is nothing to cancel or cancellation
    /// is not allowed.
    pub(super) fn handle_disconnect(&mut self, id: RequestId) -> Option<Action> {
        let request = self.requests.get_mut(id)?;
        request.client_disconnected = true;
        let attempt = request.cancellable_attempt()?;
        self.settings.cancellation.then(|| attempt.cancel(id))
    }
}

/// Returns when an attempt that is sent now counts as stalled. A longer duration cannot be
/// explained by other transfers that share the link.
fn stalls_at(now: Micros, request: &RequestState, slow_s: f64) -> Micros {
    let doublings = request.stalled_attempts.min(MAX_STALL_DOUBLINGS);
    let stall_time_s = STALL_SLOW_FACTOR * slow_s * f64::from(1 << doublings);
    now + (stall_time_s * 1e6) as Micros
}
