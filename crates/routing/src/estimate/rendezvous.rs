//! Weighted rendezvous hashing: an order of servers for each key that all routers agree on, and
//! that changes little when servers come and go.

use super::hash;

/// Least weight of a server, so that none scores infinite.
const MIN_WEIGHT: f64 = 1e-6;

/// The rendezvous score of a server for a key: the lowest comes first. A server comes first for a
/// share of the keys in proportion to its weight.
pub(crate) fn score(key: u64, server: u64, weight: f64) -> f64 {
    let hash = hash::finalize(key ^ hash::integer(server));
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -uniform.ln() / weight.max(MIN_WEIGHT)
}

/// Servers in their order for a key, given the id and the weight of each.
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
