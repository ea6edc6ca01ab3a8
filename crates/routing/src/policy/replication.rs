//! The design: copies of an object, the cache that takes a request, and the source of its fill.

use super::Router;
use crate::settings::{DedupScope, Micros, PeerFill};
use crate::state::{RankedServers, RequestState, ServerState, Target};

const PRIOR_REQUESTS: f64 = 50.0; // Taken as counted, so that first objects do not pass for hot.
const MAX_FAILED_FILLS: u32 = 2; // Failed fills of a request until it only looks into the caches.
/// The second parent fills while fills from the first take this many times as long for their size.
const CLEARLY_SLOWER: f64 = 2.0;

/// The choice of a server for a request.
pub(super) struct Selection<'a> {
    pub(super) router: &'a Router,
    pub(super) now: Micros,
    pub(super) request: &'a RequestState,
    ranked: RankedServers<'a>,
}

impl<'a> Selection<'a> {
    pub(super) fn new(router: &'a Router, now: Micros, request: &'a RequestState) -> Self {
        let weighted = router.settings.weights_known;
        Selection {
            router,
            now,
            request,
            ranked: router.servers.ranked(request.part_hash, weighted),
        }
    }

    /// Where the request goes next; none: nowhere.
    pub(super) fn pick_target(&self) -> Option<Target> {
        if self.router.class(self.request).is_write {
            return self.pick_for_write();
        }
        self.pick_cache().or_else(|| self.pick_last_resort())
    }

    /// Copies of the object: its share of the requests is its share of the caches, one at least.
    fn copies(&self) -> usize {
        let requests = self.router.popularity.total_requests(self.now);
        let share = self.request.object_request_count / requests.max(PRIOR_REQUESTS);
        let copies = share * self.ranked.caches.len() as f64;
        copies.ceil().max(1.0) as usize
    }

    /// A uniform pick among the caches that hold copies and are not full, else the next in the
    /// order.
    fn pick_cache(&self) -> Option<Target> {
        let tried = &self.request.failed_servers;
        let usable = |cache: &&ServerState| !tried.contains(&cache.id) && self.can_serve(cache);
        let (caches, copies) = (self.ranked.caches.iter().copied(), self.copies());
        let holders: Vec<_> = caches.clone().take(copies).filter(usable).collect();
        let cache = if holders.is_empty() {
            caches.skip(copies).find(usable)?
        } else {
            holders[self.router.random.index(holders.len())]
        };
        let peer = self.pick_peer(cache);
        self.read_from(cache, peer.or_else(|| self.pick_source()))
    }

    /// A cache that was found to have no copy is of no use without a source.
    fn read_from(&self, cache: &ServerState, source: Option<&ServerState>) -> Option<Target> {
        let useful = source.is_some() || !self.request.needs_fill;
        useful.then(|| Target::new(cache, source))
    }

    /// Peer fill spares the location's link: a cache that is not the first in the order, or that
    /// warms up, is filled from the cache that most likely holds a copy.
    fn pick_peer(&self, cache: &ServerState) -> Option<&'a ServerState> {
        let mut caches = self.ranked.caches.iter().copied();
        let first = self.ranked.caches.first()?;
        let peer = caches.find(|peer| peer.id != cache.id)?;
        let lacks_copy = first.id != cache.id || cache.is_warming_up(self.now);
        let enabled = self.router.settings.peer_fill != PeerFill::Off;
        let wanted = enabled && lacks_copy && !self.request.has_failed_source(peer.id);
        let usable = wanted && !peer.is_warming_up(self.now) && self.can_serve(peer);
        usable.then_some(peer)
    }

    /// Fills come from the first parent in the order that is available, from the second while the
    /// first is clearly slower, and from the origin only while no parent can be reached: when the
    /// origin is slow or down, the fills of all parents fail, and trying one source after another
    /// would keep it down.
    fn pick_source(&self) -> Option<&'a ServerState> {
        if self.request.failed_fills >= MAX_FAILED_FILLS || self.link_is_full() {
            return None;
        }
        let mut sources = self.ranked.parents.clone();
        sources.retain(|source| !source.unreachable);
        if sources.is_empty() {
            sources.extend(self.ranked.origin);
        }
        sources.retain(|source| !self.request.has_failed_source(source.id) && self.accepts(source));
        let is_available = |source: &&ServerState| source.is_available(self.now);
        let mut available = sources.iter().copied().filter(is_available);
        let (first, second) = (available.next(), available.next());
        let stretch = |source: &ServerState| Some(source.fill_pace.summary(self.now)?.slowdown);
        let stretches = first.and_then(stretch).zip(second.and_then(stretch));
        let slower = stretches.is_some_and(|(first, second)| first > CLEARLY_SLOWER * second);
        let preferred = first.filter(|_| !slower).or(second);
        preferred.or(sources.first().copied())
    }

    /// A write runs at the origin: sent there where that is allowed, else by way of a cache.
    fn pick_for_write(&self) -> Option<Target> {
        let scope = self.router.class(self.request).dedup_scope;
        let drops_repeats = |server: &ServerState| {
            self.request
                .first_possible_execution
                .is_none_or(|run| match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => server.zone_index == run.zone_index,
                    DedupScope::Cell => server.cell == run.cell,
                })
        };
        // There is no way around an ejected origin, so it is asked all the same.
        let origin = self.ranked.origin?;
        if self.router.settings.direct_requests && drops_repeats(origin) {
            return Some(Target::new(origin, None));
        }
        let mut caches = self.ranked.caches.iter().copied();
        let usable = |cache: &ServerState| cache.is_available(self.now) && self.accepts(cache);
        let cache = caches.find(|cache| drops_repeats(cache) && usable(cache))?;
        Some(Target::new(cache, Some(origin)))
    }

    /// For when no available cache meets the objective. With none available, the first parent where
    /// that is allowed; else the first cache that meets the objective, ejected or not: when
    /// ejections leave none, they are a sign of overload rather than of single servers at fault.
    fn pick_last_resort(&self) -> Option<Target> {
        let (caches, origin) = (&self.ranked.caches, self.ranked.origin);
        let tried = &self.request.failed_servers;
        let untried = |server: &&&ServerState| !tried.contains(&server.id) && self.accepts(server);
        let origin_failed = origin.is_some_and(|origin| self.request.has_failed_source(origin.id));
        let cache_available = caches.iter().any(|cache| cache.is_available(self.now));
        let direct = self.router.settings.direct_requests && !cache_available && !origin_failed;
        if direct && !self.link_is_full() {
            let mut parents = self.ranked.parents.iter().filter(untried);
            if let Some(parent) = parents.find(|parent| parent.is_available(self.now)) {
                return Some(Target::new(parent, origin));
            }
        }
        let untried = caches.iter().filter(untried);
        let mut reachable = untried.filter(|cache| !cache.unreachable);
        let cache = reachable.find(|cache| self.meets_objective(cache))?;
        self.read_from(cache, self.pick_source())
    }
}
