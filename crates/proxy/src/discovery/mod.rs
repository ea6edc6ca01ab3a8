//! Sources of the endpoint list and of purges: the event bus, Consul, purge gossip between proxies,
//! and the purge log.

pub mod backoff;
pub mod consul;
mod endpoint_entry;
pub mod event_bus;
pub mod purge_gossip;
pub mod purge_log;
pub mod reference_time;
