//! The end of an attempt: what it shows about its server, its fill source, the origin and the
//! request.

use super::{outlier::FAILURE_RATE_SAMPLE_WEIGHT, retry::ANSWER_OVERHEAD_S, Router};
use crate::action::Action;
use crate::event::{AttemptReport, FillResult, Outcome, ServerId};
use crate::settings::{Micros, Provenance};
use crate::state::{EndedAttempt, InFlightAttempt, RequestState};

/// Failure weight of a failed connection. It is high enough to eject the server at once, because
/// its process is down.
const CONNECT_FAILURE_WEIGHT: f64 = 2.0;
/// Failure weight of a connection reset. It is low, because the next connection attempt shows
/// whether the process is down.
const RESET_FAILURE_WEIGHT: f64 = 0.5;
/// Failure weight of a stall. It is low, because a large object or a slow source may be the cause.
const STALL_FAILURE_WEIGHT: f64 = 0.25;
/// Added to the failure rates of server and source before a failure is divided between them, so
/// that neither rate is 0.
const PRIOR_FAILURE_RATE: f64 = FAILURE_RATE_SAMPLE_WEIGHT / 4.0;
/// Smallest share of a failure at which the source counts as being at fault.
const MIN_SOURCE_FAULT_SHARE: f64 = 0.5;
/// Lower bound of the capacity that is used to explain the duration of a hit, in transfers at full
/// rate.
const MIN_HIT_CAPACITY_TRANSFERS: f64 = 0.1;
/// Number of failed fills that a failure of unknown cause counts as. The origin behind the source
/// may be the cause, and then another fill would only add to its load.
const FAILED_FILLS_PER_UNKNOWN_CAUSE: u32 = 2;

/// An ended attempt with its interpretation, which is derived before any statistics change.
struct AttemptEnd {
    request: RequestState,
    attempt: InFlightAttempt,
    report: AttemptReport,
    /// The attempt took longer than almost all answers of its class.
    slow: bool,
    /// The attempt stalled although its server served other requests meanwhile.
    answer_lost: bool,
    /// The source of the attempt, if the attempt stalled and the source filled nothing meanwhile.
    unresponsive_source: Option<ServerId>,
    /// The cause of the failure is unknown, so it counts against both server and source.
    fault_shared: bool,
    /// The part of the failure that counts against the source, from 0 to 1.
    source_fault_share: f64,
}

impl AttemptEnd {
    /// Returns whether the same server may receive the next attempt. This is allowed once, if only
    /// the answer was lost: the copy is in the cache by now.
    fn may_retry_same_server(&self) -> bool {
        self.answer_lost && self.request.stalled_attempts == 1
    }

    /// Returns how long the answer takes if its transfer shares no link, in seconds.
    fn unshared_s(&self) -> f64 {
        self.request.unshared_transfer_s + ANSWER_OVERHEAD_S
    }
}

impl Router {
    /// Updates the statistics with an ended attempt. If the request still needs a final answer,
    /// starts its next attempt or gives that answer. Returns None if the attempt is not in flight
    /// or its request needs no answer.
    pub(super) fn handle_attempt_end(
        &mut self,
        now: Micros,
        report: AttemptReport,
    ) -> Option<Action> {
        let id = report.request;
        let ended = self.requests.take_ended_attempt(id, report.attempt)?;
        let end = self.interpret(ended, report);
        self.learn_from_fill(now, &end);
        if end.report.is_hit() {
            self.learn_from_hit(now, &end);
        }
        self.servers.record_attempt_ended(&end.attempt);
        match end.report.outcome {
            Outcome::Ok => self.record_answer(now, &end),
            _ => self.record_failure(now, &end),
        }
        if end.report.settled || end.request.client_disconnected {
            return None;
        }
        let request = self.request_after_failure(now, end);
        self.requests.insert(id, request);
        self.route(now, id)
    }

    /// Interprets an ended attempt by the statistics as they are before its report changes them.
    fn interpret(&self, ended: EndedAttempt, report: AttemptReport) -> AttemptEnd {
        let EndedAttempt { request, attempt } = ended;
        let slow_s =
            self.latency[request.class_index].slow_threshold_s(request.unshared_transfer_s);
        let served = |id: ServerId| self.servers.succeeded_since(id, attempt.sent_at);
        let cause_unknown = self.settings.provenance != Provenance::Full
            && matches!(report.outcome, Outcome::Rejected | Outcome::Error);
        // A healthy server or source has a low failure rate due to its other answers, so most of
        // the failure counts against the faulty one.
        let smoothed_failure_rate = |id: ServerId| {
            let server = self.servers.get(id);
            server.map_or(0.0, |server| server.failure_rate) + PRIOR_FAILURE_RATE
        };
        let suspected_source = attempt.fill_source.filter(|_| cause_unknown);
        let source_fault_share = match suspected_source.map(smoothed_failure_rate) {
            Some(source) => source / (source + smoothed_failure_rate(attempt.server)),
            None => f64::from(u8::from(report.fill_result.source_failed())),
        };
        AttemptEnd {
            slow: report.took_s() > slow_s,
            answer_lost: attempt.stalled && served(attempt.server),
            unresponsive_source: attempt
                .fill_source
                .filter(|id| attempt.stalled && !served(*id)),
            fault_shared: suspected_source.is_some(),
            source_fault_share,
            request,
            attempt,
            report,
        }
    }

    /// Updates the pace of the location's link, and adapts to whether the origin answers in time.
    fn learn_from_fill(&mut self, now: Micros, end: &AttemptEnd) {
        let (attempt, report) = (&end.attempt, &end.report);
        // An attempt whose answer was lost used the link for its whole duration. An attempt that
        // timed out may have waited for the origin instead, which shows nothing about the link.
        let used_link = report.is_filled() || end.answer_lost;
        if end.request.size_known && attempt.fill_source.is_some() && used_link {
            let link_time_s = report.took_us.saturating_sub(report.fill_ttfb_us) as f64 / 1e6;
            let in_flight = (attempt.fills_on_link + self.link.fills_in_flight.total()) / 2.0;
            let pace = &mut self.link.fill_pace;
            pace.add(now, link_time_s, end.unshared_s(), in_flight);
        }
        // If an attempt after the purge of its group got no answer, the fill that it started or
        // joined was late at the origin.
        let unanswered = matches!(report.outcome, Outcome::Timeout | Outcome::Cancelled);
        let (fill_result, waited_us) = if attempt.group_recently_purged && unanswered {
            (FillResult::OriginFailed, report.took_us)
        } else {
            (report.fill_result, report.fill_ttfb_us)
        };
        // An unreachable parent shows nothing about the origin, and requests to other parents must
        // continue.
        let unreachable = report.fill_result == FillResult::SourceUnreachable;
        let served_others = |id: ServerId| self.servers.succeeded_since(id, attempt.sent_at);
        let source = attempt.fill_source;
        let shows_origin_state = source.is_some_and(|id| !unreachable || served_others(id));
        if shows_origin_state || attempt.group_recently_purged && unanswered {
            let objective_us = self.class(&end.request).latency_objective_us.max(1);
            let lateness = waited_us as f64 / objective_us as f64;
            self.learn_from_origin(fill_result, lateness);
        }
    }

    /// Updates the server's pace and the typical transfer time of the class with a hit.
    fn learn_from_hit(&mut self, now: Micros, end: &AttemptEnd) {
        let (attempt, took_s) = (&end.attempt, end.report.took_s());
        if !end.request.size_known {
            let server = self.servers.get(attempt.server);
            let capacity = server.map_or(0.0, |server| self.nominal_capacity(server));
            let sharing = attempt.transfers_at_server / capacity.max(MIN_HIT_CAPACITY_TRANSFERS);
            self.latency[end.request.class_index].record_shared_transfer(took_s, sharing.max(1.0));
        }
        self.servers.modify(attempt.server, |server| {
            let in_flight =
                (attempt.transfers_at_server + server.transfers_in_flight.total()) / 2.0;
            server
                .hit_pace
                .add(now, took_s, end.unshared_s(), in_flight);
        });
    }

    /// Records a success of the server, and of the source if it provided the fill.
    fn record_answer(&mut self, now: Micros, end: &AttemptEnd) {
        let (server, hit) = (end.attempt.server, end.report.is_hit());
        // The answer shows that the request can be served. So if a different server failed it
        // earlier without a reason, that server was at fault.
        let first_error_server = end.request.first_error_server;
        if let Some(id) = first_error_server.filter(|id| *id != server) {
            self.record_server_failure(now, id, 1.0);
        }
        self.record_server_success(now, server);
        self.latency[end.request.class_index].record_slow(end.slow);
        self.link.miss_share.add(f64::from(u8::from(!hit)));
        let Some(source) = end.attempt.fill_source else {
            return;
        };
        let unknown = [FillResult::Unknown, FillResult::Coalesced];
        if hit {
            // No fill was requested from the source, so its charge is removed.
            self.servers.cancel_charge(source, end.report.request);
        } else if !unknown.contains(&end.report.fill_result) {
            self.record_server_success(now, source);
            if end.request.size_known {
                let (took_s, unshared_s) = (end.report.took_s(), end.unshared_s());
                self.servers.modify(source, |server| {
                    server.fill_pace.add(now, took_s, unshared_s, 0.0);
                });
            }
        }
    }

    /// Records a failure of the server, of the source, or of both.
    fn record_failure(&mut self, now: Micros, end: &AttemptEnd) {
        if end.report.outcome == Outcome::Cancelled && end.answer_lost {
            // A lost answer counts as slow. If only received answers counted, cancelling slow
            // attempts would lower the threshold for slow answers further, and all work of a slow
            // origin would be cancelled and restarted.
            self.latency[end.request.class_index].record_slow(true);
        }
        let (server_weight, source_weight) = self.failure_weights(now, end);
        if server_weight > 0.0 {
            self.record_server_failure(now, end.attempt.server, server_weight);
        }
        if let Some(source) = end.attempt.fill_source.filter(|_| source_weight > 0.0) {
            self.record_server_failure(now, source, source_weight);
        }
    }

    /// Returns the weights with which a failure counts against the server and against the source.
    fn failure_weights(&mut self, now: Micros, end: &AttemptEnd) -> (f64, f64) {
        let fill_result = end.report.fill_result;
        let fill_unavailable =
            [FillResult::NoFillSlot, FillResult::SourceMiss].contains(&fill_result);
        match end.report.outcome {
            Outcome::Cancelled if end.attempt.stalled => {
                let weight = |at_fault: bool| if at_fault { STALL_FAILURE_WEIGHT } else { 0.0 };
                let source_unresponsive = end.unresponsive_source.is_some();
                (
                    weight(!end.may_retry_same_server()),
                    weight(source_unresponsive),
                )
            }
            Outcome::Ok | Outcome::Miss | Outcome::NotSent | Outcome::Cancelled => (0.0, 0.0),
            _ if fill_result.source_failed() => (0.0, 1.0),
            Outcome::Rejected if fill_unavailable => (0.0, 0.0),
            _ if end.fault_shared => (1.0 - end.source_fault_share, end.source_fault_share),
            Outcome::Timeout if now < end.attempt.expected_by => (0.0, 0.0),
            Outcome::ConnectFailed => {
                self.servers.record_connection_failure(end.attempt.server);
                (CONNECT_FAILURE_WEIGHT, 0.0)
            }
            Outcome::Reset => {
                // A reset ends all attempts on its connection at once but counts as one failure.
                let first = self
                    .servers
                    .record_connection_reset(end.attempt.server, now);
                (if first { RESET_FAILURE_WEIGHT } else { 0.0 }, 0.0)
            }
            // The attempt at the next server shows whether the server or the request is at fault.
            Outcome::Error => (0.0, 0.0),
            Outcome::Rejected | Outcome::Timeout => (1.0, 0.0),
        }
    }

    /// Returns the request with the cause of the failure recorded for its next attempt.
    fn request_after_failure(&self, now: Micros, end: AttemptEnd) -> RequestState {
        let may_retry_same_server = end.may_retry_same_server();
        let (mut request, attempt, report) = (end.request, end.attempt, end.report);
        let (server, source) = (attempt.server, attempt.fill_source);
        let source_ejected = report.outcome == Outcome::Cancelled
            && source.is_some_and(|id| !self.servers.is_available(id, now))
            && self.servers.is_available(server, now);
        let source_at_fault = end.source_fault_share >= MIN_SOURCE_FAULT_SHARE || source_ejected;
        let unresponsive = end.unresponsive_source;
        if !report.outcome.rules_out_execution() {
            request
                .first_possible_execution
                .get_or_insert(attempt.possible_execution());
        }
        request.failed_fill_sources.extend(unresponsive);
        let source_reported = report.fill_result.source_failed();
        if report.outcome == Outcome::Error && !source_reported && !end.fault_shared {
            request.add_server_error(server);
        }
        request.failed_fills += if end.fault_shared {
            FAILED_FILLS_PER_UNKNOWN_CAUSE
        } else {
            u32::from(source_at_fault || unresponsive.is_some())
        };
        let missed = report.outcome == Outcome::Miss;
        if missed && source.is_none() {
            request.missed_without_source = true;
        } else if source_at_fault || missed || report.fill_result == FillResult::SourceMiss {
            request.failed_fill_sources.extend(source);
        } else if !self.class(&request).is_write && !may_retry_same_server {
            request.failed_servers.push(server);
        }
        request
    }
}
