//! The requests that have no final answer yet, and the attempt that each has in flight.

use super::Target;
use crate::action::Action;
use crate::estimate::hash;
use crate::event::{Request, RequestId, ServerId};
use crate::settings::{Class, Micros};
use std::collections::{btree_map, BTreeMap};

/// The first attempt of a request that may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FirstRun {
    /// When it was sent.
    pub(crate) sent_at: Micros,
    /// Its server's zone, as an index into the settings' zones; none: not one of them.
    pub(crate) zone: Option<usize>,
    /// Its server's cell.
    pub(crate) cell: u64,
}

/// An attempt that was sent and has not ended.
#[derive(Debug)]
pub(crate) struct InFlightAttempt {
    /// Counted from 0 for each request.
    pub(crate) number: u32,
    /// The server that it was sent to.
    pub(crate) server: ServerId,
    /// Where a miss is filled from; none: nowhere.
    pub(crate) source: Option<ServerId>,
    /// When it was sent.
    pub(crate) sent_at: Micros,
    /// When it is past its expected latency.
    pub(crate) expected_by: Micros,
    /// When it counts as stalled: no sharing of links explains that it is still in flight.
    pub(crate) stalls_at: Micros,
    /// Transfers in flight at the server when it was sent, this one included; an estimate.
    pub(crate) server_in_flight: f64,
    /// Fills by the location's link when it was sent, this one included; an estimate.
    pub(crate) link_in_flight: f64,
    /// Its group was purged shortly before, so that it waits for a fill.
    pub(crate) group_purged: bool,
    /// It was cancelled.
    pub(crate) cancelled: bool,
    /// It was cancelled because it stalled.
    pub(crate) stalled: bool,
}

impl InFlightAttempt {
    /// An attempt with this number that is sent now, with no expectations yet.
    pub(crate) fn new(now: Micros, number: u32, target: Target) -> Self {
        InFlightAttempt {
            number,
            server: target.server,
            source: target.source,
            sent_at: now,
            expected_by: Micros::MAX,
            stalls_at: Micros::MAX,
            server_in_flight: 0.0,
            link_in_flight: 0.0,
            group_purged: false,
            cancelled: false,
            stalled: false,
        }
    }

    /// Marks it as cancelled, and gives the action to do so.
    pub(crate) fn cancel(&mut self, request: RequestId) -> Action {
        self.cancelled = true;
        Action::CancelAttempt {
            request,
            attempt: self.number,
        }
    }

    /// The server and, if there is one, the source of its fill.
    pub(crate) fn servers(&self) -> impl Iterator<Item = ServerId> {
        [Some(self.server), self.source].into_iter().flatten()
    }
}

/// A server's attempts that are past their expected latency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LateAttempts {
    /// The chance that an innocent cause explains all of them.
    pub(crate) chance: f64,
    /// When the first of them was sent.
    pub(crate) first_sent_at: Micros,
}

/// A request that has no final answer yet.
#[derive(Debug, Default)]
pub(crate) struct RequestState {
    /// Index of its class in the settings.
    pub(crate) class: usize,
    /// Hash of the object.
    pub(crate) object: u64,
    /// Hash of the part of the object.
    pub(crate) part: u64,
    /// The object's group.
    pub(crate) group: u64,
    /// Time in seconds that its transfer takes alone.
    pub(crate) transfer_s: f64,
    /// That time comes from its size; else it is its class's usual one.
    pub(crate) size_known: bool,
    /// Decayed request count of the object.
    pub(crate) object_count: f64,
    /// Decayed request count of the part.
    pub(crate) part_count: f64,
    /// An answer until then meets its latency objective.
    pub(crate) objective_at: Micros,
    /// When the client gives up.
    pub(crate) deadline: Micros,
    /// Attempts that were sent.
    pub(crate) attempts: u32,
    /// The attempt in flight.
    pub(crate) in_flight: Option<InFlightAttempt>,
    /// A streamed answer has begun.
    pub(crate) stream_started: bool,
    /// The client disconnected.
    pub(crate) client_disconnected: bool,
    /// Attempts that failed by their source, or may have; see the policy for their weights.
    pub(crate) failed_fills: u32,
    /// Attempts that were cancelled because they stalled.
    pub(crate) stalls: u32,
    /// Attempts that servers failed without a reason.
    pub(crate) server_errors: u32,
    /// The server of the first of these.
    pub(crate) first_error_server: Option<ServerId>,
    /// A cache that was asked without a source of a fill has no copy.
    pub(crate) needs_fill: bool,
    /// Servers that failed it.
    pub(crate) tried: Vec<ServerId>,
    /// Sources that failed its fill.
    pub(crate) failed_sources: Vec<ServerId>,
    /// The first attempt that may have taken effect.
    pub(crate) first_run: Option<FirstRun>,
}

impl RequestState {
    /// A request that arrived, of the class with this index. Its transfer time alone is given in
    /// seconds.
    pub(crate) fn new(
        now: Micros,
        request: &Request,
        class_index: usize,
        class: &Class,
        transfer_s: f64,
    ) -> Self {
        let for_size_us = (class.objective_per_transfer_time * transfer_s * 1e6) as Micros;
        let object = hash::text(&request.object);
        RequestState {
            class: class_index,
            object,
            part: hash::part(object, request.part),
            group: request.group,
            transfer_s,
            objective_at: now + class.latency_objective_us + for_size_us,
            deadline: now + request.remaining_us,
            ..RequestState::default()
        }
    }

    /// The attempt in flight, if it may be cancelled: it was not before, and no streamed answer has
    /// begun.
    pub(crate) fn cancellable(&mut self) -> Option<&mut InFlightAttempt> {
        let stream_started = self.stream_started;
        let in_flight = self.in_flight.as_mut();
        in_flight.filter(|attempt| !attempt.cancelled && !stream_started)
    }

    /// Whether a source failed its fill.
    pub(crate) fn source_failed(&self, source: ServerId) -> bool {
        self.failed_sources.contains(&source)
    }

    /// Records that a server failed it without a reason.
    pub(crate) fn add_server_error(&mut self, server: ServerId) {
        self.server_errors += 1;
        self.first_error_server.get_or_insert(server);
    }

    /// Time until its latency objective or, once that is past, until the client gives up.
    pub(crate) fn time_left_us(&self, now: Micros) -> Micros {
        let met_until = self.objective_at.min(self.deadline);
        let wanted_until = if now < self.objective_at {
            met_until
        } else {
            self.deadline
        };
        wanted_until.saturating_sub(now)
    }
}

/// An attempt that has ended, with its request.
pub(crate) struct EndedAttempt {
    /// Its request, which is no longer in the table.
    pub(crate) request: RequestState,
    /// The attempt.
    pub(crate) attempt: InFlightAttempt,
}

/// The requests that have no final answer yet, in the order of their ids.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, RequestState>,
}

impl RequestTable {
    /// Adds a request; `false`, and no change, if there is one of that id.
    pub(crate) fn insert(&mut self, id: RequestId, request: RequestState) -> bool {
        let entry = self.requests.entry(id);
        let vacant = matches!(entry, btree_map::Entry::Vacant(_));
        entry.or_insert(request);
        vacant
    }

    /// The request of this id.
    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.requests.get(&id)
    }

    /// The request of this id.
    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestState> {
        self.requests.get_mut(&id)
    }

    /// Takes out a request together with the attempt of this number, which has ended, and counts it
    /// if it stalled; none, and no change, if that attempt is not in flight.
    pub(crate) fn take_ended(&mut self, id: RequestId, attempt: u32) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&id)?;
        let in_flight = &mut request.in_flight;
        let attempt = in_flight.take_if(|in_flight| in_flight.number == attempt)?;
        request.stalls += u32::from(attempt.stalled);
        let request = self.requests.remove(&id)?;
        Some(EndedAttempt { request, attempt })
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<RequestState> {
        self.requests.remove(&id)
    }

    /// All requests.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (RequestId, &mut RequestState)> {
        self.requests.iter_mut().map(|(id, request)| (*id, request))
    }

    /// All attempts in flight, each with its request.
    pub(crate) fn in_flight(&self) -> impl Iterator<Item = (&RequestState, &InFlightAttempt)> {
        let requests = self.requests.values();
        requests.filter_map(|request| Some((request, request.in_flight.as_ref()?)))
    }

    /// The attempts past their expected latency, by each one's server and source. `chance` gives
    /// the chance that an innocent cause explains one attempt.
    pub(crate) fn late_by_server(
        &self,
        now: Micros,
        chance: impl Fn(&InFlightAttempt) -> f64,
    ) -> BTreeMap<ServerId, LateAttempts> {
        let mut late = BTreeMap::new();
        let in_flight = self.in_flight().map(|(_, attempt)| attempt);
        for attempt in in_flight.filter(|attempt| attempt.expected_by < now) {
            let chance = chance(attempt);
            for server in attempt.servers() {
                let entry = late.entry(server).or_insert(LateAttempts {
                    chance: 1.0,
                    first_sent_at: attempt.sent_at,
                });
                entry.chance *= chance;
                entry.first_sent_at = entry.first_sent_at.min(attempt.sent_at);
            }
        }
        late
    }

    /// Records that an attempt of a request was sent.
    pub(crate) fn attempt_sent(&mut self, id: RequestId, attempt: InFlightAttempt) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts += 1;
            request.in_flight = Some(attempt);
        }
    }

    /// Records that the streamed answer of an attempt has begun, if that attempt is in flight.
    pub(crate) fn stream_started(&mut self, id: RequestId, attempt: u32) {
        if let Some(request) = self.requests.get_mut(&id) {
            let in_flight = request.in_flight.as_ref();
            request.stream_started |= in_flight.is_some_and(|found| found.number == attempt);
        }
    }
}
