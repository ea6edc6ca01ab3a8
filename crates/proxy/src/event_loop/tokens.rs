//! Poller tokens of the sockets that are no connections.
//!
//! A connection's token is its `SlabKey` as a number. These lie at the upper end, where no key of a
//! bounded table reaches.

/// The listener for FastCGI clients.
pub(super) const FASTCGI_LISTENER: u64 = u64::MAX;
/// The receiving end of SIGTERM.
pub(super) const SIGTERM: u64 = u64::MAX - 1;
/// The UDP socket for purges from peer proxies.
pub(super) const PURGE_GOSSIP: u64 = u64::MAX - 2;
/// The listener for peer CDNs.
pub(super) const INTERCONNECT_LISTENER: u64 = u64::MAX - 3;
/// The receiving end of SIGHUP.
pub(super) const SIGHUP: u64 = u64::MAX - 4;
