//! Replication: how many cache servers hold copies of an object, which of them receives a request,
//! and which source fills a miss.

use super::Router;
use crate::settings::{Idempotency, Micros, PeerFill};
use crate::state::{RankedServers, RequestState, ServerState, Target};

/// Lower bound of the total decayed request count when the share of an object in it is computed.
/// Without this bound, the first objects that are requested would count as hot.
const MIN_TOTAL_REQUEST_COUNT: f64 = 50.0;
/// Weighted number of failed fills from which on a request is served from cached copies only. A
/// failure of unknown cause counts as two failed fills.
const MAX_FAILED_FILLS: u32 = 2;
/// The second parent is used while fills from the first take this many times as long for their size
/// as fills from the second.
const SLOWER_PARENT_FACTOR: f64 = 2.0;

/// Selects a server and a fill source for a request.
pub(super) struct Selection<'a> {
    pub(super) router: &'a Router,
    pub(super) now: Micros,
    pub(super) request: &'a RequestState,
    /// The ready servers in rendezvous order for the requested part.
    ranked: RankedServers<'a>,
}

impl<'a> Selection<'a> {
    /// Ranks the servers for the requested part.
    pub(super) fn new(router: &'a Router, now: Micros, request: &'a RequestState) -> Self {
        let weighted = router.settings.weights_are_capacities;
        Selection {
            router,
            now,
            request,
            ranked: router.servers.ranked(request.part_hash, weighted),
        }
    }

    /// Returns where to send the request next, or None if no server may receive it.
    pub(super) fn pick_target(&self) -> Option<Target> {
        if self.router.class(self.request).is_write {
            return self.pick_for_write();
        }
        self.pick_cache().or_else(|| self.pick_last_resort())
    }

    /// Returns how many cache servers should hold a copy of the object. The object's share of the
    /// cache servers equals its share of all recent requests. The number is rounded up and is at
    /// least one.
    fn copy_count(&self) -> usize {
        let total_requests = self.router.popularity.total_requests(self.now);
        let share = self.request.object_request_count / total_requests.max(MIN_TOTAL_REQUEST_COUNT);
        let copy_count = share * self.ranked.caches.len() as f64;
        copy_count.ceil().max(1.0) as usize
    }

    /// Picks a cache server uniformly at random among the usable ones that should hold a copy. If
    /// there is none, picks the next usable cache server in the rendezvous order. A cache server is
    /// usable if it has not failed the request, recognizes a repetition of it, is available, may
    /// receive the request by the rules and is expected to answer in time. Returns None if no cache
    /// server is usable, or if the request needs a fill and there is no fill source.
    fn pick_cache(&self) -> Option<Target> {
        let usable = |cache: &&ServerState| {
            !self.has_failed(cache) && self.may_repeat_at(cache) && self.can_serve(cache)
        };
        let (caches, copy_count) = (self.ranked.caches.iter().copied(), self.copy_count());
        let usable_holders: Vec<_> = caches.clone().take(copy_count).filter(usable).collect();
        let cache = if usable_holders.is_empty() {
            caches.skip(copy_count).find(usable)?
        } else {
            usable_holders[self.router.random.index(usable_holders.len())]
        };
        let peer = self.pick_peer(cache);
        self.read_target(cache, peer.or_else(|| self.pick_source()))
    }

    /// Returns the target for a read. Returns None if an earlier attempt without a fill source has
    /// found no copy and there is still no source, because a cache server without a copy is then of
    /// no use.
    fn read_target(&self, cache: &ServerState, source: Option<&ServerState>) -> Option<Target> {
        let is_useful = source.is_some() || !self.request.missed_without_source;
        is_useful.then(|| Target::new(cache, source))
    }

    /// Picks another cache server as the fill source, which saves transfers on the location's link.
    /// The source is the first other cache server in the rendezvous order, which most likely holds
    /// a copy. It is used only if `cache` itself may lack a copy, because it is not the first in
    /// the rendezvous order or is warming up. Returns None if peer fills are switched off, if there
    /// is no other cache server, if `cache` most likely holds a copy, or if the source has failed a
    /// fill for the request, is warming up or cannot serve the fill.
    fn pick_peer(&self, cache: &ServerState) -> Option<&'a ServerState> {
        let mut caches = self.ranked.caches.iter().copied();
        let first = self.ranked.caches.first()?;
        let peer = caches.find(|peer| peer.id != cache.id)?;
        let may_lack_copy = first.id != cache.id || cache.is_warming_up(self.now);
        let enabled = self.router.settings.peer_fill != PeerFill::Off;
        let wanted = enabled && may_lack_copy && !self.request.has_failed_fill_source(peer.id);
        let usable = wanted && !peer.is_warming_up(self.now) && self.can_serve(peer);
        usable.then_some(peer)
    }

    /// Picks a parent or the origin as the fill source.
    ///
    /// The source is the first available parent in the rendezvous order, or the second while the
    /// first is clearly slower. If no parent is available, it is the first ejected one. The origin
    /// is used only if every parent is unreachable or there is none: when the origin is slow or
    /// down, the fills of all parents fail, and trying one source after another would keep the
    /// origin down.
    ///
    /// Returns None if too many fills of the request have failed, if the location's link is full,
    /// or if there is no source that has not failed a fill for the request and may receive the
    /// fill by the rules.
    fn pick_source(&self) -> Option<&'a ServerState> {
        if self.request.failed_fills >= MAX_FAILED_FILLS || self.link_is_full() {
            return None;
        }
        let mut sources = self.ranked.parents.clone();
        sources.retain(|source| !source.unreachable);
        if sources.is_empty() {
            sources.extend(self.ranked.origin);
        }
        sources.retain(|source| {
            !self.request.has_failed_fill_source(source.id) && self.rules_allow(source)
        });
        let is_available = |source: &&ServerState| source.is_available(self.now);
        let mut available = sources.iter().copied().filter(is_available);
        let (first, second) = (available.next(), available.next());
        let slowdown = |source: &ServerState| Some(source.fill_pace.summary(self.now)?.slowdown);
        let slowdowns = first.and_then(slowdown).zip(second.and_then(slowdown));
        let slower = slowdowns.is_some_and(|(first, second)| first > SLOWER_PARENT_FACTOR * second);
        let preferred = first.filter(|_| !slower).or(second);
        preferred.or(sources.first().copied())
    }

    /// Returns whether a server has failed the request.
    fn has_failed(&self, server: &ServerState) -> bool {
        self.request.failed_servers.contains(&server.id)
    }

    /// Returns whether an attempt at a server cannot execute the request a second time. If an
    /// earlier attempt may have been executed and the class carries an idempotency key, only the
    /// servers within the dedup scope of that attempt recognize the repetition. Whether a further
    /// attempt is allowed at all is decided in [`Router::may_attempt`].
    fn may_repeat_at(&self, server: &ServerState) -> bool {
        let class = self.router.class(self.request);
        if class.idempotency != Idempotency::IdempotencyKey {
            return true;
        }
        self.request
            .first_possible_execution
            .is_none_or(|execution| {
                let location = server.dedup_location();
                execution.location.shares_scope(location, class.dedup_scope)
            })
    }

    /// Picks the target of a write, which is executed at the origin. The write is sent to the
    /// origin directly where that is allowed, otherwise through a cache server. Returns None if no
    /// server may receive it.
    fn pick_for_write(&self) -> Option<Target> {
        // A write can be executed only at the origin, so it is sent there even while the origin is
        // ejected.
        let origin = self.ranked.origin?;
        if self.router.settings.direct_requests && self.may_repeat_at(origin) {
            return Some(Target::new(origin, None));
        }
        let mut caches = self.ranked.caches.iter().copied();
        let usable = |cache: &ServerState| cache.is_available(self.now) && self.rules_allow(cache);
        let cache = caches.find(|cache| self.may_repeat_at(cache) && usable(cache))?;
        Some(Target::new(cache, Some(origin)))
    }

    /// Picks a target for a read for which [`Self::pick_cache`] has found none. Returns None if
    /// there is no target.
    ///
    /// The target is the first available parent if no cache server is available at all, direct
    /// requests are allowed, the origin has not failed a fill for the request, and the location's
    /// link is not full. Otherwise it is the first reachable cache server that would serve the
    /// request in time, ejected or not: when ejections leave no cache server available, they
    /// indicate overload rather than faults of single servers. Servers that have failed the
    /// request, do not recognize a repetition of it or may not receive it by the rules are left
    /// out.
    fn pick_last_resort(&self) -> Option<Target> {
        let (caches, origin) = (&self.ranked.caches, self.ranked.origin);
        let may_receive = |server: &&&ServerState| {
            !self.has_failed(server) && self.may_repeat_at(server) && self.rules_allow(server)
        };
        let origin_failed =
            origin.is_some_and(|origin| self.request.has_failed_fill_source(origin.id));
        let cache_available = caches.iter().any(|cache| cache.is_available(self.now));
        let direct = self.router.settings.direct_requests && !cache_available && !origin_failed;
        if direct && !self.link_is_full() {
            let mut parents = self.ranked.parents.iter().filter(may_receive);
            if let Some(parent) = parents.find(|parent| parent.is_available(self.now)) {
                return Some(Target::new(parent, origin));
            }
        }
        let candidates = caches.iter().filter(may_receive);
        let mut reachable = candidates.filter(|cache| !cache.unreachable);
        let cache = reachable.find(|cache| self.serves_in_time(cache))?;
        self.read_target(cache, self.pick_source())
    }
}
