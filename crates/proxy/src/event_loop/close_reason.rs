//! Why a connection is closed.

use std::fmt;

/// Why a connection is closed, for the log, and for the check that no answer is owed on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The peer ended its half of the connection.
    PeerClosed,
    /// The connection broke.
    Broken,
    /// The peer sent what can't be read.
    ProtocolError,
    /// A connection that was opened from here could not be established.
    ConnectFailed,
    /// It could not be established for want of something on this machine.
    LocalFailure,
    /// It was not established in time.
    ConnectTimeout,
    /// Everything is answered, and the client asked for the connection to end then.
    Finished,
    /// Everything is answered, and the proxy is shutting down.
    ShuttingDown,
    /// A client's connection has been without a complete request for too long.
    Idle,
    /// A client does not take its answers, or not the end of the connection.
    NotRead,
    /// Another client needs the place.
    MakesRoom,
    /// It holds the most of too many partially received requests.
    PartialRequests,
    /// A cache server's connection is of no further use: broken, stalled, or ended in the middle of
    /// an answer.
    UpstreamUnusable,
    /// A cache server drains or is gone, and owes nothing on this connection.
    ServerDrained,
    /// A cache server's connection went unresponsive, and another one takes its place.
    Unresponsive,
    /// The event bus has moved to another address.
    Moved,
    /// The event bus is silent.
    Silent,
    /// Another connection to the event bus was answered first.
    Superseded,
    /// The response that the connection was opened for has not come in time.
    ResponseTimeout,
}

impl CloseReason {
    /// Whether the peer of the connection has ended it or made it useless by itself: then nothing
    /// is owed to it any more.
    pub(super) fn is_of_peers_making(self) -> bool {
        matches!(
            self,
            CloseReason::PeerClosed
                | CloseReason::Broken
                | CloseReason::ProtocolError
                | CloseReason::NotRead
        )
    }
}

impl fmt::Display for CloseReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            CloseReason::PeerClosed => "the peer has closed it",
            CloseReason::Broken => "it is broken",
            CloseReason::ProtocolError => "the peer sent what can't be read",
            CloseReason::ConnectFailed => "it could not be established",
            CloseReason::LocalFailure => "it failed on this machine",
            CloseReason::ConnectTimeout => "it was not established in time",
            CloseReason::Finished => "all is answered and the client wants it closed",
            CloseReason::ShuttingDown => "all is answered and the proxy is shutting down",
            CloseReason::Idle => "it was idle for too long",
            CloseReason::NotRead => "its client does not read",
            CloseReason::MakesRoom => "it makes room for another client",
            CloseReason::PartialRequests => "it holds most of too many partial requests",
            CloseReason::UpstreamUnusable => "it is of no further use",
            CloseReason::ServerDrained => "its server drains or is gone",
            CloseReason::Unresponsive => "it is unresponsive",
            CloseReason::Moved => "the event bus has moved",
            CloseReason::Silent => "the event bus is silent",
            CloseReason::Superseded => "another connection was answered first",
            CloseReason::ResponseTimeout => "no response came in time",
        })
    }
}
