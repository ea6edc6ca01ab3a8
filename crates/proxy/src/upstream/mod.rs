//! Connections to cache servers, parents and the origin.
//!
//! Many attempts share one connection and their answers come in any order. An
//! [`UpstreamConnection`] knows the protocol's commands, answers and ids; the socket, its buffers,
//! the clock and the request table belong to the event loop, which passes them in. Whatever ends is
//! reported as an [`UpstreamEvent`].
//!
//! # The life of a stream
//!
//! An attempt waits in the queue until the connection is up and its output buffer is empty. From
//! then on a stream is open under the request's id:
//!
//! ```text
//!              flush               served
//! queue ---------------> Attempt -----------------------------------------> closed
//!   |                    |   |      any other answer
//!   | dequeue, cancel,   |   +----------------------> Answered -----------> forgotten
//!   | drain_server       | cancel (sends `abort`)
//!   v                    v
//! closed               Cancelled, unreported --------> Cancelled, reported -> forgotten
//!                               `abort` written, settle time over
//! ```
//!
//! - An attempt in the output buffer of which no byte is written can still be taken back, as if it
//!   were in the queue.
//! - An answer that arrives before a cancellation is reported ends the attempt in the usual way.
//! - `Cancelled` and `Answered` streams are remembered for `Limits::stream_retention_us`, because a
//!   late or repeated answer under their id must not be taken for the answer to a further attempt
//!   of the same request.
//! - An answer with a copy that is older than the attempt accepts ends it with an error. The first
//!   one after a cancellation is ignored, for it may be the answer to the cancelled attempt.
//! - A probe is a stream under an id of the proxy's own; any answer closes it.
//! - When the connection closes, every stream that is not reported yet is reported.
//!
//! # Modules
//!
//! - `connection`: the type, its queue and its open streams.
//! - `stream`: the states of a stream and their transitions.
//! - `command`, `answer`: the two directions of the protocol; wire names stand there and nowhere
//!   else.
//! - `read`, `write`, `cancel`: what the event loop does with a connection.
//! - `timeouts`: partial answers, unresponsive servers, stalled writes.

mod answer;
mod cancel;
mod command;
mod connection;
mod event;
mod read;
mod stream;
mod timeouts;
mod write;

pub use connection::UpstreamConnection;
pub use event::UpstreamEvent;
