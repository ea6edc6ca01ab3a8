//! Poller tokens of the sockets that are not in the connection table.
//!
//! The token of a connection is its `SlabKey` as a number. The tokens in this module lie at the
//! upper end of the number range, which the keys of a table of bounded size never reach.

/// Token of the listener for FastCGI clients.
pub(super) const FASTCGI_LISTENER: u64 = u64::MAX;
/// Token of the receiving end of the pipe for SIGTERM.
pub(super) const SIGTERM: u64 = u64::MAX - 1;
/// Token of the UDP socket that receives purges from peer proxies.
pub(super) const PURGE_GOSSIP: u64 = u64::MAX - 2;
/// Token of the listener for peer CDNs.
pub(super) const INTERCONNECT_LISTENER: u64 = u64::MAX - 3;
/// Token of the receiving end of the pipe for SIGHUP.
pub(super) const SIGHUP: u64 = u64::MAX - 4;
