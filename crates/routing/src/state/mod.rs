//! What the router knows: servers, requests and purges. Plain facts and queries, no choice and no
//! threshold.

mod link;
mod popularity;
mod purges;
mod requests;
mod servers;

pub(crate) use link::LinkState;
pub(crate) use popularity::Popularity;
pub(crate) use purges::PurgeTable;
pub(crate) use requests::{EndedAttempt, FirstRun, InFlightAttempt, RequestState, RequestTable};
pub(crate) use servers::{RankedServers, Role, ServerState, ServerTable, Target};

#[cfg(test)]
mod tests;
