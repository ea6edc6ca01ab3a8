//! The requests that have no final answer yet, each with its attempt in flight.

use super::Target;
use crate::action::Action;
use crate::estimate::hash;
use crate::event::{Request, RequestId, ServerId};
use crate::settings::{Class, DedupScope, Micros};
use std::collections::{btree_map, BTreeMap};

/// The zone and the cell of a server, which determine the servers that recognize the repetitions
/// of a request that the server has executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DedupLocation {
    /// The zone of the server, as an index into the zones of the settings. `None` if it is unknown.
    pub(crate) zone_index: Option<usize>,
    /// The cell of the server. `None` if it is unknown.
    pub(crate) cell: Option<u64>,
}

impl DedupLocation {
    /// The location of a server that is not in the table.
    pub(crate) const UNKNOWN: DedupLocation = DedupLocation {
        zone_index: None,
        cell: None,
    };

    /// Returns whether two servers recognize each other's requests. Within a zone or a cell, a
    /// server of unknown location recognizes no requests of others.
    pub(crate) fn shares_scope(self, other: DedupLocation, scope: DedupScope) -> bool {
        let same_zone = self.zone_index.is_some() && self.zone_index == other.zone_index;
        let same_cell = self.cell.is_some() && self.cell == other.cell;
        scope.covers(same_zone, same_cell)
    }
}

/// The first attempt of a request that a server may have executed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FirstPossibleExecution {
    /// When the attempt was sent.
    pub(crate) sent_at: Micros,
    /// Where the server was when the attempt was sent. The endpoint list may have changed since.
    pub(crate) location: DedupLocation,
}

/// An attempt that was sent and has not ended.
#[derive(Debug)]
pub(crate) struct InFlightAttempt {
    /// The number of the attempt, counted from 0 for each request.
    pub(crate) number: u32,
    /// The server that the attempt was sent to.
    pub(crate) server: ServerId,
    /// The server that a miss is filled from. `None` if a miss is not filled.
    pub(crate) fill_source: Option<ServerId>,
    /// When the attempt was sent.
    pub(crate) sent_at: Micros,
    /// Where the server was when the attempt was sent.
    pub(crate) location: DedupLocation,
    /// The time until which the answer is expected. The attempt is late from then on.
    pub(crate) expected_by: Micros,
    /// The time from which the attempt counts as stalled. Sharing of links does not explain that it
    /// is still in flight then.
    pub(crate) stalls_at: Micros,
    /// The estimated number of transfers in flight at the server when the attempt was sent,
    /// including this one.
    pub(crate) transfers_at_server: f64,
    /// The estimated number of fills on the location's link when the attempt was sent, including
    /// this one.
    pub(crate) fills_on_link: f64,
    /// The purge group of the object was purged shortly before the attempt was sent, so the attempt
    /// waits for a fill.
    pub(crate) group_recently_purged: bool,
    /// The attempt was cancelled.
    pub(crate) cancelled: bool,
    /// The attempt was cancelled because it stalled.
    pub(crate) stalled: bool,
}

impl InFlightAttempt {
    /// Creates an attempt with this number that is sent now. It is never late or stalled until
    /// `expected_by` and `stalls_at` are set, and the location of its server is unknown until
    /// `location` is set.
    pub(crate) fn new(now: Micros, number: u32, target: Target) -> Self {
        InFlightAttempt {
            number,
            server: target.server,
            fill_source: target.fill_source,
            sent_at: now,
            location: DedupLocation::UNKNOWN,
            expected_by: Micros::MAX,
            stalls_at: Micros::MAX,
            transfers_at_server: 0.0,
            fills_on_link: 0.0,
            group_recently_purged: false,
            cancelled: false,
            stalled: false,
        }
    }

    /// Returns the attempt as a possible execution of its request.
    pub(crate) fn possible_execution(&self) -> FirstPossibleExecution {
        FirstPossibleExecution {
            sent_at: self.sent_at,
            location: self.location,
        }
    }

    /// Marks the attempt as cancelled and returns the action that cancels it.
    pub(crate) fn cancel(&mut self, request: RequestId) -> Action {
        self.cancelled = true;
        Action::CancelAttempt {
            request,
            attempt: self.number,
        }
    }

    /// Returns the server and, if a miss is filled, the fill source.
    pub(crate) fn server_and_fill_source(&self) -> impl Iterator<Item = ServerId> {
        [Some(self.server), self.fill_source].into_iter().flatten()
    }
}

/// The late attempts at one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LateAttempts {
    /// The chance, from 0 to 1, that all of the attempts are late because they wait for fills, and
    /// not because the server failed.
    pub(crate) fill_wait_chance: f64,
    /// When the first of the attempts was sent.
    pub(crate) first_sent_at: Micros,
}

/// A request that has no final answer yet.
#[derive(Debug, Default)]
pub(crate) struct RequestState {
    /// The index of the request's class in the settings.
    pub(crate) class_index: usize,
    /// The hash of the object.
    pub(crate) object_hash: u64,
    /// The hash of the part of the object.
    pub(crate) part_hash: u64,
    /// The purge group of the object.
    pub(crate) purge_group: u64,
    /// The time in seconds that the transfer takes if it does not share its link.
    pub(crate) unshared_transfer_s: f64,
    /// `unshared_transfer_s` was computed from the size of the part. Otherwise it is the typical
    /// transfer time of the class.
    pub(crate) size_known: bool,
    /// The decayed request count of the object.
    pub(crate) object_request_count: f64,
    /// The decayed request count of the part.
    pub(crate) part_request_count: f64,
    /// The time until which an answer meets the latency objective.
    pub(crate) objective_deadline: Micros,
    /// When the client stops waiting.
    pub(crate) client_deadline: Micros,
    /// The number of attempts that were sent.
    pub(crate) attempts_sent: u32,
    /// The attempt in flight.
    pub(crate) attempt_in_flight: Option<InFlightAttempt>,
    /// A streamed answer has begun.
    pub(crate) stream_started: bool,
    /// The client disconnected.
    pub(crate) client_disconnected: bool,
    /// The weighted number of attempts whose fill failed or may have failed. The policy defines the
    /// weights.
    pub(crate) failed_fills: u32,
    /// The number of attempts that were cancelled because they stalled.
    pub(crate) stalled_attempts: u32,
    /// The number of attempts that servers failed without a reason.
    pub(crate) server_errors: u32,
    /// The first server that failed an attempt without a reason.
    pub(crate) first_error_server: Option<ServerId>,
    /// An attempt without a fill source missed, so the request can only be served by a fill.
    pub(crate) missed_without_source: bool,
    /// The servers that failed the request.
    pub(crate) failed_servers: Vec<ServerId>,
    /// The fill sources that failed a fill for the request.
    pub(crate) failed_fill_sources: Vec<ServerId>,
    /// The first attempt that a server may have executed.
    pub(crate) first_possible_execution: Option<FirstPossibleExecution>,
}

impl RequestState {
    /// Creates the state of a request that arrives now. `class_index` is the index of its class.
    /// The transfer takes `unshared_transfer_s` seconds if it does not share its link.
    pub(crate) fn new(
        now: Micros,
        request: &Request,
        class_index: usize,
        class: &Class,
        unshared_transfer_s: f64,
    ) -> Self {
        let size_allowance_us =
            (class.objective_extension_per_transfer_time * unshared_transfer_s * 1e6) as Micros;
        let object_hash = hash::of_text(&request.object);
        RequestState {
            class_index,
            object_hash,
            part_hash: hash::of_part(object_hash, request.part),
            purge_group: request.purge_group,
            unshared_transfer_s,
            objective_deadline: now + class.latency_objective_us + size_allowance_us,
            client_deadline: now + request.remaining_us,
            ..RequestState::default()
        }
    }

    /// Returns the attempt in flight if it may be cancelled. Returns `None` if there is none, if it
    /// was cancelled before, or if a streamed answer has begun.
    pub(crate) fn cancellable_attempt(&mut self) -> Option<&mut InFlightAttempt> {
        let stream_started = self.stream_started;
        let attempt = self.attempt_in_flight.as_mut();
        attempt.filter(|attempt| !attempt.cancelled && !stream_started)
    }

    /// Returns whether this fill source failed a fill for the request.
    pub(crate) fn has_failed_fill_source(&self, source: ServerId) -> bool {
        self.failed_fill_sources.contains(&source)
    }

    /// Records that a server failed the request without a reason.
    pub(crate) fn add_server_error(&mut self, server: ServerId) {
        self.server_errors += 1;
        self.first_error_server.get_or_insert(server);
    }

    /// Returns the time until the latency objective. Once that is past, returns the time until the
    /// client stops waiting.
    pub(crate) fn time_left_us(&self, now: Micros) -> Micros {
        let in_time_until = self.objective_deadline.min(self.client_deadline);
        let useful_until = if now < self.objective_deadline {
            in_time_until
        } else {
            self.client_deadline
        };
        useful_until.saturating_sub(now)
    }
}

/// An attempt that has ended, with its request.
pub(crate) struct EndedAttempt {
    /// The request, which is no longer in the table.
    pub(crate) request: RequestState,
    /// The attempt.
    pub(crate) attempt: InFlightAttempt,
}

/// The requests that have no final answer yet, ordered by id.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, RequestState>,
}

impl RequestTable {
    /// Adds a request. If the table has a request with that id, returns `false` and changes
    /// nothing.
    pub(crate) fn insert(&mut self, id: RequestId, request: RequestState) -> bool {
        let entry = self.requests.entry(id);
        let vacant = matches!(entry, btree_map::Entry::Vacant(_));
        entry.or_insert(request);
        vacant
    }

    /// Returns the request with this id, or `None` if it is not in the table.
    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.requests.get(&id)
    }

    /// Returns the request with this id, or `None` if it is not in the table.
    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestState> {
        self.requests.get_mut(&id)
    }

    /// Removes a request whose attempt with this number has ended, and returns both. Counts the
    /// attempt if it stalled. Returns `None` and changes nothing if the attempt is not in flight.
    pub(crate) fn take_ended_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
    ) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&id)?;
        let in_flight = &mut request.attempt_in_flight;
        let attempt = in_flight.take_if(|in_flight| in_flight.number == attempt)?;
        request.stalled_attempts += u32::from(attempt.stalled);
        let request = self.requests.remove(&id)?;
        Some(EndedAttempt { request, attempt })
    }

    /// Removes and returns a request. Returns `None` if it is not in the table.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<RequestState> {
        self.requests.remove(&id)
    }

    /// Iterates over all requests with their ids.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (RequestId, &mut RequestState)> {
        self.requests.iter_mut().map(|(id, request)| (*id, request))
    }

    /// Iterates over all attempts in flight, each with its request.
    pub(crate) fn attempts_in_flight(
        &self,
    ) -> impl Iterator<Item = (&RequestState, &InFlightAttempt)> {
        let requests = self.requests.values();
        requests.filter_map(|request| Some((request, request.attempt_in_flight.as_ref()?)))
    }

    /// Returns the late attempts by server. An attempt counts for its server and for its fill
    /// source. `fill_wait_chance` returns the chance, from 0 to 1, that one attempt is late because
    /// it waits for a fill, and not because the server failed.
    pub(crate) fn late_attempts_by_server(
        &self,
        now: Micros,
        fill_wait_chance: impl Fn(&InFlightAttempt) -> f64,
    ) -> BTreeMap<ServerId, LateAttempts> {
        let mut late = BTreeMap::new();
        let in_flight = self.attempts_in_flight().map(|(_, attempt)| attempt);
        for attempt in in_flight.filter(|attempt| attempt.expected_by < now) {
            let chance = fill_wait_chance(attempt);
            for server in attempt.server_and_fill_source() {
                let entry = late.entry(server).or_insert(LateAttempts {
                    fill_wait_chance: 1.0,
                    first_sent_at: attempt.sent_at,
                });
                entry.fill_wait_chance *= chance;
                entry.first_sent_at = entry.first_sent_at.min(attempt.sent_at);
            }
        }
        late
    }

    /// Records that an attempt of a request was sent.
    pub(crate) fn record_attempt_sent(&mut self, id: RequestId, attempt: InFlightAttempt) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts_sent += 1;
            request.attempt_in_flight = Some(attempt);
        }
    }

    /// Records that the streamed answer of an attempt has begun. Ignores attempts that are not in
    /// flight.
    pub(crate) fn record_stream_started(&mut self, id: RequestId, attempt: u32) {
        if let Some(request) = self.requests.get_mut(&id) {
            let in_flight = request.attempt_in_flight.as_ref();
            request.stream_started |= in_flight.is_some_and(|found| found.number == attempt);
        }
    }
}
