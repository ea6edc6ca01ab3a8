//! The pending requests, bounded by their number, and the memory of their bodies.

use super::admission::AdmissionError;
use super::purges::Purge;
use super::request::{PendingRequest, RequestKey};
use crate::net::Slab;
use edge_routing::Micros;
use std::collections::HashMap;

/// Stores the pending requests by their keys.
///
/// Invariants: `ids` holds the id of every request in the slab with its key, and no two requests have
/// the same id. `body_bytes` is the memory of the bodies of all requests.
pub(super) struct PendingRequests {
    slab: Slab<PendingRequest>,
    ids: HashMap<String, RequestKey>,
    body_bytes: usize,
}

impl PendingRequests {
    pub(super) fn new(capacity: usize) -> Self {
        PendingRequests {
            slab: Slab::new(capacity),
            ids: HashMap::new(),
            body_bytes: 0,
        }
    }

    /// Adds a request. Returns an error if a limit would be exceeded or another pending request has
    /// the same id.
    pub(super) fn insert(&mut self, pending: PendingRequest) -> Result<RequestKey, AdmissionError> {
        let body_bytes = pending.request.body.allocated_bytes();
        if self.ids.contains_key(&pending.request.id) {
            return Err(AdmissionError::DuplicateId);
        }
        let id = pending.request.id.clone();
        let request_key = self
            .slab
            .insert(pending)
            .map_err(|_| AdmissionError::TableFull)?;
        self.ids.insert(id, request_key);
        self.body_bytes += body_bytes;
        Ok(request_key)
    }

    /// Removes and returns a request that is settled and has no attempt in flight. Returns `None`
    /// if the request is not present or not complete.
    pub(super) fn remove_if_complete(&mut self, request_key: RequestKey) -> Option<PendingRequest> {
        if !self.get(request_key)?.is_complete() {
            return None;
        }
        let pending = self.slab.remove(request_key)?;
        self.ids.remove(&pending.request.id);
        self.body_bytes -= pending.request.body.allocated_bytes();
        Some(pending)
    }

    /// Frees the body of a request that is settled. It is not sent any more, even if an attempt is
    /// still in flight.
    pub(super) fn release_body(&mut self, request_key: RequestKey) {
        let Some(pending) = self.slab.get_mut(request_key) else {
            return;
        };
        if pending.is_settled() {
            self.body_bytes -= pending.request.body.allocated_bytes();
            pending.request.body.clear();
        }
    }

    /// Returns the memory of the bodies of all requests.
    pub(super) fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Returns the number of requests.
    pub(super) fn len(&self) -> usize {
        self.slab.len()
    }

    pub(super) fn get(&self, request_key: RequestKey) -> Option<&PendingRequest> {
        self.slab.get(request_key)
    }

    pub(super) fn get_mut(&mut self, request_key: RequestKey) -> Option<&mut PendingRequest> {
        self.slab.get_mut(request_key)
    }

    /// Returns whether a request is present and still needs its final answer.
    pub(super) fn is_unsettled(&self, request_key: RequestKey) -> bool {
        self.get(request_key)
            .is_some_and(|pending| !pending.is_settled())
    }

    /// Returns whether a request with this id is present and still needs its final answer.
    pub(super) fn is_id_unsettled(&self, id: &str) -> bool {
        self.ids.get(id).is_some_and(|key| self.is_unsettled(*key))
    }

    /// Makes the attempts in flight accept no copy created before a purge. This matters for an
    /// attempt that still waits for its connection: the router decided on it before the purge, and
    /// it may be sent after the grace period that the router allows for purges.
    pub(super) fn lower_max_age(&mut self, now: Micros, purge: &Purge) {
        let max_age_us = purge.max_age_us(now);
        for request_key in self.slab.keys() {
            let Some(pending) = self.slab.get_mut(request_key) else {
                continue;
            };
            if !purge.target.applies_to(&pending.request) {
                continue;
            }
            if let Some(in_flight) = &mut pending.in_flight {
                in_flight.lower_max_age(max_age_us);
            }
        }
    }

    /// Returns the ids of the requests that still need a final answer.
    pub(super) fn unsettled_request_ids(&self) -> impl Iterator<Item = &str> {
        let pending = self.slab.values().filter(|pending| !pending.is_settled());
        pending.map(|pending| pending.request.id.as_str())
    }

    /// Returns the keys of all requests, in the order of their slots.
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
