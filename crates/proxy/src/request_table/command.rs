//! The commands that the request table gives to the event loop.

use super::attempt::AttemptId;
use super::request::{Answer, AnswerTarget, RequestKey};
use edge_routing::{Micros, ServerId};

/// A timer of the request table. The event loop passes it back unchanged when it fires. No
/// command cancels a timer, so its request or attempt may have ended by the time it fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestTimer {
    /// Fires at the deadline of a request, or at an earlier check of it.
    Deadline(RequestKey),
    /// Fires at the timeout of an attempt.
    AttemptTimeout(AttemptId),
    /// A timer of the router, identified by its tag.
    Router(u64),
}

/// A command to the event loop. Commands must be carried out in the order in which they are queued.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Sends an attempt. `RequestTable::attempt_spec` returns the parameters.
    SendAttempt(AttemptId),
    /// Cancels an attempt. The attempt must be reported as ended once the server can no longer
    /// mistake it for an attempt in flight.
    CancelAttempt(AttemptId, ServerId),
    /// Removes an attempt of which no byte is written yet. An attempt that is partly or completely
    /// written continues.
    DequeueAttempt(AttemptId, ServerId),
    /// Sends the final answer to a client.
    SendAnswer(AnswerTarget, Answer),
    /// Sets a timer: `RequestTable::timer_fired` must be called with it at this time, in
    /// microseconds of the loop's clock.
    SetTimer(Micros, RequestTimer),
    /// Requests a load report from a server. `RequestTable::probe_ended` receives the result.
    Probe(ServerId),
    /// Handles a server that is draining or gone: removes the attempts of which no byte is written
    /// yet and which would be sent to this server or filled from it.
    DrainServer(ServerId),
}
