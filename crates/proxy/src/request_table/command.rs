//! What the request table asks of the event loop.

use super::attempt::AttemptId;
use super::request::{Answer, RequestKey, ResponseTarget};
use edge_routing::{Micros, ServerId};

/// A timer of the request table. The event loop hands it back unchanged when it fires; there is no
/// way to stop one, so what a timer is for may be over by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestTimer {
    /// The deadline of a request, or a sweep on the way to it.
    Deadline(RequestKey),
    /// The time-out of an attempt.
    AttemptTimeout(AttemptId),
    /// The router's timer with this tag.
    Router(u64),
}

/// A step for the event loop to take. Commands are carried out in the order in which they come.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send an attempt; `RequestTable::attempt_spec` tells how.
    SendAttempt(AttemptId),
    /// Cancel an attempt, and report it ended once the server can no longer mistake it for one in
    /// flight.
    CancelAttempt(AttemptId, ServerId),
    /// Take back an attempt of which nothing is written yet; one that is under way goes on.
    DequeueAttempt(AttemptId, ServerId),
    /// Give a client its final answer.
    Respond(ResponseTarget, Answer),
    /// Call `RequestTable::timer_fired` with this timer at this time, in microseconds of the loop's
    /// clock.
    SetTimer(Micros, RequestTimer),
    /// Ask a server for its load, and report by `RequestTable::probe_ended`.
    Probe(ServerId),
    /// A server is draining or gone: take back what is not written yet to it, or would be filled
    /// from it.
    DrainServer(ServerId),
}
