//! Reasons for closing a connection.

use std::fmt;

/// Reason for closing a connection. It is logged, and it decides whether a client connection may be
/// closed with unanswered requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The peer has closed its half of the connection.
    PeerClosed,
    /// The connection is broken.
    Broken,
    /// The peer has violated the protocol.
    ProtocolError,
    /// An outgoing connection could not be established.
    ConnectFailed,
    /// An outgoing connection could not be established because this machine lacked a resource.
    LocalFailure,
    /// An outgoing connection was not established within the connect timeout.
    ConnectTimeout,
    /// All requests on the connection are answered, and the connection is not kept alive.
    Finished,
    /// All requests on the connection are answered, and the proxy is shutting down.
    ShuttingDown,
    /// A client has not sent a complete request for too long.
    Idle,
    /// A client does not read its answers, or has not closed its half during a lingering close.
    ClientStalled,
    /// A client connection is evicted to accept another client.
    Evicted,
    /// A client connection holds the most bytes of partially received requests, of which all
    /// client connections together hold too many.
    PartialRequestLimit,
    /// A connection to a cache server is broken, stalled, or ended in the middle of an answer.
    UpstreamUnusable,
    /// A cache server is draining or no longer in the endpoint list. Either it is the server of
    /// this connection and no answer is pending on the connection, or the output buffer contains
    /// an unwritten attempt for it that can't be removed.
    ServerDrained,
    /// A connection to a cache server is unresponsive and is replaced by another one.
    UpstreamUnresponsive,
    /// A connection to a cache server keeps the most ended streams, of which all connections
    /// together keep too many.
    EndedStreamLimit,
    /// The configured address of the event bus has changed.
    EventBusAddressChanged,
    /// The event bus has sent nothing for too long.
    EventBusSilent,
    /// The event bus responded on another connection first.
    EventBusSuperseded,
    /// The response for which the connection was opened has not arrived in time.
    ResponseTimeout,
}

impl CloseReason {
    /// Returns whether the peer has closed the connection or made it unusable. Such a peer need not
    /// get answers to its unanswered requests.
    pub(super) fn is_caused_by_peer(self) -> bool {
        matches!(
            self,
            CloseReason::PeerClosed
                | CloseReason::Broken
                | CloseReason::ProtocolError
                | CloseReason::ClientStalled
        )
    }
}

impl fmt::Display for CloseReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            CloseReason::PeerClosed => "the peer closed its half of the connection",
            CloseReason::Broken => "the connection is broken",
            CloseReason::ProtocolError => "the peer violated the protocol",
            CloseReason::ConnectFailed => "the connection could not be established",
            CloseReason::LocalFailure => "this machine lacked a resource for the connection",
            CloseReason::ConnectTimeout => "connect timeout",
            CloseReason::Finished => "all requests are answered and keep-alive is off",
            CloseReason::ShuttingDown => "all requests are answered and the proxy is shutting down",
            CloseReason::Idle => "the client sent no complete request in time",
            CloseReason::ClientStalled => "the client did not read its answers in time",
            CloseReason::Evicted => "evicted to accept another client",
            CloseReason::PartialRequestLimit => "partially received requests exceed their limit",
            CloseReason::UpstreamUnusable => "the cache server connection is broken or stalled",
            CloseReason::ServerDrained => "a cache server is draining or was removed",
            CloseReason::UpstreamUnresponsive => "the cache server is unresponsive",
            CloseReason::EndedStreamLimit => "too many ended streams are kept",
            CloseReason::EventBusAddressChanged => "the address of the event bus has changed",
            CloseReason::EventBusSilent => "the event bus has sent nothing for too long",
            CloseReason::EventBusSuperseded => {
                "the event bus responded on another connection first"
            }
            CloseReason::ResponseTimeout => "response timeout",
        })
    }
}
