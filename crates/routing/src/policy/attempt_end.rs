//! What the end of an attempt tells of its server, its source, the origin and the request.

use super::{outlier::FAILURE_STEP, retry::OVERHEAD_S, Router};
use crate::action::Action;
use crate::event::{AttemptReport, FillResult, Outcome, ServerId};
use crate::settings::{Micros, Provenance};
use crate::state::{EndedAttempt, InFlightAttempt, RequestState};

const UNREACHABLE_WEIGHT: f64 = 2.0; // Of a failed connection: the process is down, so it ejects.
const RESET_WEIGHT: f64 = 0.5; // Of a reset: if the process is down, the next connection shows it.
const STALL_WEIGHT: f64 = 0.25; // Of a stall: it may be due to a large object or a slow source.
/// Added to the failure rates by which server and source share the blame, so that neither is 0.
const PRIOR_FAILURE_RATE: f64 = FAILURE_STEP / 4.0;
const MAIN_BLAME: f64 = 0.5; // Part of the blame from which the source is taken to be at fault.
const MIN_CAPACITY: f64 = 0.1; // Least capacity that explains the time of a hit, in transfers.
/// Failed fills that a failure of unknown reason counts for: if it is due to the origin behind the
/// source, another fill would only add to the load there.
const FAILED_FILLS_IF_UNKNOWN: u32 = 2;

/// The end of an attempt, with what was to be judged before anything is learned from it.
struct AttemptEnd {
    request: RequestState,
    attempt: InFlightAttempt,
    report: AttemptReport,
    slow: bool,        // It took longer than almost all answers of its class.
    answer_lost: bool, // It stalled, though its server served others meanwhile.
    unresponsive_source: Option<ServerId>, // It stalled, and its source filled nothing meanwhile.
    blame_shared: bool, // No reason is known: server and source share the blame.
    source_blame: f64, // The source's part of the blame.
}

impl AttemptEnd {
    /// Where only the answer was lost, the copy is in the cache by now: it may be asked again,
    /// once.
    fn same_server_again(&self) -> bool {
        self.answer_lost && self.request.stalled_attempts == 1
    }

    /// Time that the transfer takes without sharing, in seconds.
    fn expected_s(&self) -> f64 {
        self.request.transfer_s + OVERHEAD_S
    }
}

impl Router {
    /// Learns from the end of an attempt and, if the request has no answer yet, goes on with it.
    pub(super) fn attempt_ended(&mut self, now: Micros, report: AttemptReport) -> Option<Action> {
        let id = report.request;
        let ended = self.requests.take_ended_attempt(id, report.attempt)?;
        let end = self.interpret(ended, report);
        self.learn_from_fill(now, &end);
        if end.report.is_hit() {
            self.learn_from_hit(now, &end);
        }
        self.servers.record_attempt_ended(&end.attempt);
        match end.report.outcome {
            Outcome::Ok => self.judge_answer(now, &end),
            _ => self.judge_failure(now, &end),
        }
        if end.report.settled || end.request.client_disconnected {
            return None;
        }
        let request = self.note_failure(now, end);
        self.requests.insert(id, request);
        self.route(now, id)
    }

    fn interpret(&self, ended: EndedAttempt, report: AttemptReport) -> AttemptEnd {
        let EndedAttempt { request, attempt } = ended;
        let slow_s = self.latency[request.class_index].slow_threshold_s(request.transfer_s);
        let served = |id: ServerId| self.servers.succeeded_since(id, attempt.sent_at);
        let reason_unknown = self.settings.provenance != Provenance::Full
            && matches!(report.outcome, Outcome::Rejected | Outcome::Error);
        // The one that is sound is cleared by its other answers.
        let suspicion = |id: ServerId| {
            let server = self.servers.get(id);
            server.map_or(0.0, |server| server.failure_rate) + PRIOR_FAILURE_RATE
        };
        let suspected_source = attempt.fill_source.filter(|_| reason_unknown);
        let source_blame = match suspected_source.map(suspicion) {
            Some(source) => source / (source + suspicion(attempt.server)),
            None => f64::from(u8::from(report.fill_result.source_failed())),
        };
        AttemptEnd {
            slow: report.took_s() > slow_s,
            answer_lost: attempt.stalled && served(attempt.server),
            unresponsive_source: attempt
                .fill_source
                .filter(|id| attempt.stalled && !served(*id)),
            blame_shared: suspected_source.is_some(),
            source_blame,
            request,
            attempt,
            report,
        }
    }

    /// Learns the pace of the location's link, and whether the origin answers in time.
    fn learn_from_fill(&mut self, now: Micros, end: &AttemptEnd) {
        let (attempt, report) = (&end.attempt, &end.report);
        // A stalled attempt had its share of the link all the while. One that timed out may as well
        // have waited for the origin, which tells nothing of the link.
        let used_link = report.is_filled() || end.answer_lost;
        if end.request.size_known && attempt.fill_source.is_some() && used_link {
            let moving_s = report.took_us.saturating_sub(report.fill_ttfb_us) as f64 / 1e6;
            let in_flight = (attempt.fills_on_link + self.link.fills_in_flight.total()) / 2.0;
            let pace = &mut self.link.fill_pace;
            pace.add(now, moving_s, end.expected_s(), in_flight);
        }
        // A fill after a purge that never came, or that it joined, was late at the origin.
        let never_came = matches!(report.outcome, Outcome::Timeout | Outcome::Cancelled);
        let (fill_result, waited_us) = if attempt.group_recently_purged && never_came {
            (FillResult::OriginFailed, report.took_us)
        } else {
            (report.fill_result, report.fill_ttfb_us)
        };
        // An unreachable parent tells nothing of the origin: requests to other parents must go on.
        let unreachable = report.fill_result == FillResult::SourceUnreachable;
        let served_others = |id: ServerId| self.servers.succeeded_since(id, attempt.sent_at);
        let source = attempt.fill_source;
        let tells_of_origin = source.is_some_and(|id| !unreachable || served_others(id));
        if tells_of_origin || attempt.group_recently_purged && never_came {
            let objective_us = self.class(&end.request).latency_objective_us.max(1);
            let lateness = waited_us as f64 / objective_us as f64;
            self.learn_from_origin(fill_result, lateness);
        }
    }

    /// Learns from a hit the server's pace and how long transfers of the class take.
    fn learn_from_hit(&mut self, now: Micros, end: &AttemptEnd) {
        let (attempt, took_s) = (&end.attempt, end.report.took_s());
        if !end.request.size_known {
            let server = self.servers.get(attempt.server);
            let capacity = server.map_or(0.0, |server| self.nominal_capacity(server));
            let sharing = attempt.transfers_at_server / capacity.max(MIN_CAPACITY);
            self.latency[end.request.class_index].record_shared_transfer(took_s, sharing.max(1.0));
        }
        self.servers.change(attempt.server, |server| {
            let in_flight =
                (attempt.transfers_at_server + server.transfers_in_flight.total()) / 2.0;
            server
                .hit_pace
                .add(now, took_s, end.expected_s(), in_flight);
        });
    }

    /// Counts an answer for its server, and for its source if that gave the fill.
    fn judge_answer(&mut self, now: Micros, end: &AttemptEnd) {
        let (server, hit) = (end.attempt.server, end.report.is_hit());
        // The request can be served, so another server that failed it without a reason was at
        // fault.
        let first_error_server = end.request.first_error_server;
        if let Some(id) = first_error_server.filter(|id| *id != server) {
            self.server_failed(now, id, 1.0);
        }
        self.server_succeeded(now, server);
        self.latency[end.request.class_index].record_slow(end.slow);
        self.link.miss_share.add(f64::from(u8::from(!hit)));
        let Some(source) = end.attempt.fill_source else {
            return;
        };
        let unknown = [FillResult::Unknown, FillResult::Coalesced];
        if hit {
            // The source was never asked, so nothing is charged to it.
            self.servers.cancel_charge(source, end.report.request);
        } else if !unknown.contains(&end.report.fill_result) {
            self.server_succeeded(now, source);
            if end.request.size_known {
                let (took_s, expected_s) = (end.report.took_s(), end.expected_s());
                self.servers.change(source, |server| {
                    server.fill_pace.add(now, took_s, expected_s, 0.0);
                });
            }
        }
    }

    /// Counts a failure against its server and its source.
    fn judge_failure(&mut self, now: Micros, end: &AttemptEnd) {
        if end.report.outcome == Outcome::Cancelled && end.answer_lost {
            // It counts as slow as well: if only answers counted, cancelling the slow ones would
            // lower the bound further, and a slow origin would have all its work cancelled and
            // restarted.
            self.latency[end.request.class_index].record_slow(true);
        }
        let (server_weight, source_weight) = self.failure_weights(now, end);
        if server_weight > 0.0 {
            self.server_failed(now, end.attempt.server, server_weight);
        }
        if let Some(source) = end.attempt.fill_source.filter(|_| source_weight > 0.0) {
            self.server_failed(now, source, source_weight);
        }
    }

    /// The weights with which a failure counts against its server and its source.
    fn failure_weights(&mut self, now: Micros, end: &AttemptEnd) -> (f64, f64) {
        let fill_result = end.report.fill_result;
        let unfilled = [FillResult::NoFillSlot, FillResult::SourceMiss].contains(&fill_result);
        match end.report.outcome {
            Outcome::Cancelled if end.attempt.stalled => {
                let weight = |blamed: bool| if blamed { STALL_WEIGHT } else { 0.0 };
                let source_blamed = end.unresponsive_source.is_some();
                (weight(!end.same_server_again()), weight(source_blamed))
            }
            Outcome::Ok | Outcome::Miss | Outcome::NotSent | Outcome::Cancelled => (0.0, 0.0),
            _ if fill_result.source_failed() => (0.0, 1.0),
            Outcome::Rejected if unfilled => (0.0, 0.0),
            _ if end.blame_shared => (1.0 - end.source_blame, end.source_blame),
            Outcome::Timeout if now < end.attempt.expected_by => (0.0, 0.0),
            Outcome::ConnectFailed => {
                self.servers.record_connection_failure(end.attempt.server);
                (UNREACHABLE_WEIGHT, 0.0)
            }
            Outcome::Reset => {
                // A reset ends all attempts on the connection at once but is one failure.
                let first = self
                    .servers
                    .record_connection_reset(end.attempt.server, now);
                (if first { RESET_WEIGHT } else { 0.0 }, 0.0)
            }
            // Whether the server or the request is at fault shows with the next server.
            Outcome::Error => (0.0, 0.0),
            Outcome::Rejected | Outcome::Timeout => (1.0, 0.0),
        }
    }

    /// Records for the next attempt of the request what failed it.
    fn note_failure(&self, now: Micros, end: AttemptEnd) -> RequestState {
        let same_server_again = end.same_server_again();
        let (mut request, attempt, report) = (end.request, end.attempt, end.report);
        let (server, source) = (attempt.server, attempt.fill_source);
        let source_ejected = report.outcome == Outcome::Cancelled
            && source.is_some_and(|id| !self.servers.is_available(id, now))
            && self.servers.is_available(server, now);
        let source_at_fault = end.source_blame >= MAIN_BLAME || source_ejected;
        let unresponsive = end.unresponsive_source;
        if !report.outcome.never_ran() {
            let this_run = self.servers.first_possible_execution(&attempt);
            request.first_possible_execution.get_or_insert(this_run);
        }
        request.failed_fill_sources.extend(unresponsive);
        let source_named = report.fill_result.source_failed();
        if report.outcome == Outcome::Error && !source_named && !end.blame_shared {
            request.add_server_error(server);
        }
        request.failed_fills += if end.blame_shared {
            FAILED_FILLS_IF_UNKNOWN
        } else {
            u32::from(source_at_fault || unresponsive.is_some())
        };
        let missed = report.outcome == Outcome::Miss;
        if missed && source.is_none() {
            request.needs_fill = true;
        } else if source_at_fault || missed || report.fill_result == FillResult::SourceMiss {
            request.failed_fill_sources.extend(source);
        } else if !self.class(&request).is_write && !same_server_again {
            request.failed_servers.push(server);
        }
        request
    }
}
