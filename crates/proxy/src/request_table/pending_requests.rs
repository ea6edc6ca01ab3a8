//! The pending requests, bounded in number and in the bytes of their bodies.

use super::admission::AdmissionError;
use super::purges::Purge;
use super::request::{PendingRequest, RequestKey};
use crate::net::Slab;
use edge_routing::Micros;
use std::collections::HashSet;

/// The pending requests by their keys.
///
/// Invariants: `ids` holds the id of every request in the slab, no two of which are the same;
/// `body_bytes` is the sum of the lengths of their bodies.
pub(super) struct PendingRequests {
    slab: Slab<PendingRequest>,
    ids: HashSet<String>,
    body_bytes: usize,
    body_bytes_limit: usize,
}

impl PendingRequests {
    pub(super) fn new(capacity: usize, body_bytes_limit: usize) -> Self {
        PendingRequests {
            slab: Slab::new(capacity),
            ids: HashSet::new(),
            body_bytes: 0,
            body_bytes_limit,
        }
    }

    /// Adds a request, unless a limit or the id of another one forbids it.
    pub(super) fn insert(&mut self, pending: PendingRequest) -> Result<RequestKey, AdmissionError> {
        let body_bytes = self.body_bytes + pending.request.body.len();
        if body_bytes > self.body_bytes_limit {
            return Err(AdmissionError::BodyBytesExhausted);
        }
        if self.ids.contains(&pending.request.id) {
            return Err(AdmissionError::DuplicateId);
        }
        let id = pending.request.id.clone();
        let request_key = self
            .slab
            .insert(pending)
            .map_err(|_| AdmissionError::TableFull)?;
        self.ids.insert(id);
        self.body_bytes = body_bytes;
        Ok(request_key)
    }

    /// Takes out a request that is settled and has no attempt in flight. None: it is not there, or
    /// not complete.
    pub(super) fn remove_if_complete(&mut self, request_key: RequestKey) -> Option<PendingRequest> {
        if !self.get(request_key)?.is_complete() {
            return None;
        }
        let pending = self.slab.remove(request_key)?;
        self.ids.remove(&pending.request.id);
        self.body_bytes -= pending.request.body.len();
        Some(pending)
    }

    pub(super) fn get(&self, request_key: RequestKey) -> Option<&PendingRequest> {
        self.slab.get(request_key)
    }

    pub(super) fn get_mut(&mut self, request_key: RequestKey) -> Option<&mut PendingRequest> {
        self.slab.get_mut(request_key)
    }

    /// Whether a request is still owed its final answer.
    pub(super) fn is_unsettled(&self, request_key: RequestKey) -> bool {
        self.get(request_key)
            .is_some_and(|pending| !pending.is_settled())
    }

    /// Makes the attempts in flight accept no copy from before a purge. One that waits for its
    /// connection was decided on before the purge, and may begin after the grace that the router
    /// allows for.
    pub(super) fn tighten_max_age(&mut self, now: Micros, purge: &Purge) {
        let max_age_us = purge.max_age_us(now);
        for request_key in self.slab.keys() {
            let Some(pending) = self.slab.get_mut(request_key) else {
                continue;
            };
            if !purge.target.concerns(&pending.request) {
                continue;
            }
            if let Some(in_flight) = &mut pending.in_flight {
                in_flight.tighten_max_age(max_age_us);
            }
        }
    }

    /// The ids of the requests that are still owed an answer.
    pub(super) fn unsettled_ids(&self) -> impl Iterator<Item = &str> {
        let pending = self.slab.values().filter(|pending| !pending.is_settled());
        pending.map(|pending| pending.request.id.as_str())
    }

    /// The keys of all requests, in the order of their slots.
    pub(super) fn keys(&self) -> Vec<RequestKey> {
        self.slab.keys()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.slab.is_empty()
    }

    pub(super) fn is_half_full(&self) -> bool {
        self.slab.is_half_full()
    }
}
