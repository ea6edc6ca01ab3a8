//! Weighted rendezvous hashing. For each key it gives an order of servers that is the same in all
//! routers and changes little when servers are added or removed.

use super::hash;

/// The lowest weight of a server. It keeps all scores finite.
const MIN_WEIGHT: f64 = 1e-6;

/// Returns the rendezvous score of a server for a key. The server with the lowest score is first in
/// the order. A server is first for a share of the keys that is proportional to its weight.
pub(crate) fn score(key: u64, server: u64, weight: f64) -> f64 {
    let hash = hash::finalize(key ^ hash::of_integer(server));
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -uniform.ln() / weight.max(MIN_WEIGHT)
}

/// Returns the servers in the order of their scores for a key. `id_and_weight` returns the id and
/// the weight of a server.
pub(crate) fn rank<T>(
    key: u64,
    servers: impl Iterator<Item = T>,
    id_and_weight: impl Fn(&T) -> (u64, f64),
) -> Vec<T> {
    let scored = servers.map(|server| {
        let (id, weight) = id_and_weight(&server);
        (score(key, id, weight), id, server)
    });
    let mut order: Vec<(f64, u64, T)> = scored.collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    order.into_iter().map(|(_, _, server)| server).collect()
}
