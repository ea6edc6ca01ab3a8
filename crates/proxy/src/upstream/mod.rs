//! Connections to cache servers, parents and the origin.
//!
//! Many attempts share one connection, and their answers arrive in any order. An
//! [`UpstreamConnection`] handles the protocol's commands, answers and ids. The event loop owns the
//! socket, its buffers, the clock and the request table, and passes them in. Each attempt or probe
//! that ends is reported as an [`UpstreamEvent`].
//!
//! # The lifecycle of a stream
//!
//! An attempt waits in the queue until the connection is established and its output buffer is
//! empty. A stream is then open under the id of the attempt's request:
//!
//! ```text
//!              flush               served
//! queue ---------------> Attempt -----------------------------------------> closed
//!   |                    |   |      any other answer
//!   | dequeue, cancel,   |   +----------------------> Answered -----------> expired
//!   | drain_server       | cancel (sends `abort`)
//!   v                    v
//! closed               Cancelled, unreported --------> Cancelled, reported -> expired
//!                               `abort` written, report delay over
//! ```
//!
//! - An attempt in the output buffer of which no byte is written can still be removed, like an
//!   attempt in the queue.
//! - An answer that arrives before the cancellation is reported ends the attempt in the usual way.
//! - An answer with a body counts once the next answer has begun behind it or nothing more has
//!   arrived. If malformed input follows it, its length may be wrong, and its stream ends with the
//!   connection.
//! - `Cancelled` and `Answered` streams are kept for `Limits::stream_retention_us`. Without them, a
//!   late or repeated answer under their id could be mistaken for the answer to a further attempt
//!   of the same request.
//! - An answer with a copy older than the attempt accepts ends the attempt with an error. The first
//!   such answer after a cancellation is ignored, because it may belong to the cancelled attempt.
//! - A probe is a stream under an id that the proxy generates. Any answer closes it.
//! - When the connection closes, every stream that has not been reported yet is reported.
//!
//! # Modules
//!
//! - `connection`: the connection type, its queue and its open streams.
//! - `stream`: the states of a stream and the transitions between them.
//! - `command`, `answer`: the two directions of the protocol. Names of the protocol appear only in
//!   these modules.
//! - `read`, `write`, `cancel`: the operations that the event loop performs on a connection.
//! - `timeouts`: partial answers, unresponsive servers and stalled writes.

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
pub use read::ReadContext;
pub use write::WriteContext;
