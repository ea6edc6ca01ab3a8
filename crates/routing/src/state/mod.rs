//! The facts that the router decides by: its servers, requests, purges and link. The module stores
//! and queries them. Decisions and thresholds are in the `policy` module.

mod link;
mod popularity;
mod purges;
mod requests;
mod servers;

pub(crate) use link::LinkState;
pub(crate) use popularity::Popularity;
pub(crate) use purges::PurgeTable;
pub(crate) use requests::{
    DedupLocation, EndedAttempt, InFlightAttempt, RequestState, RequestTable,
};
pub(crate) use servers::{RankedServers, Role, ServerState, ServerTable, Target};

#[cfg(test)]
mod tests;
