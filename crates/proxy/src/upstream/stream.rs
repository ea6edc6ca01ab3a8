//! The states of a stream, which is what a connection holds open under one id, and their
//! transitions.

use super::UpstreamEvent;
use crate::request_table::AttemptId;
use edge_routing::{Micros, Outcome};
use std::ops::Range;

/// What is open on a connection under an id.
pub(super) enum Stream {
    /// An attempt whose command is written or lies in the output buffer.
    Attempt(SentAttempt),
    /// A cancelled attempt. A further attempt of the request at this server must follow the
    /// `abort`, so it takes this connection: on another one the server might read it first and have
    /// two of one id at once.
    Cancelled {
        /// When it was cancelled.
        at: Micros,
        /// Present until the cancellation is reported.
        unreported: Option<UnreportedCancellation>,
    },
    /// An attempt that was answered, but not served. A further attempt of the request may follow,
    /// and a second copy of the answer would be taken for the answer to that, so it takes another
    /// connection.
    Answered {
        /// When the answer came.
        at: Micros,
    },
    /// A probe.
    Probe {
        /// When it was sent.
        sent_at: Micros,
    },
}

/// An attempt whose command was handed to the output buffer.
pub(super) struct SentAttempt {
    pub(super) attempt: AttemptId,
    /// When its command was handed to the output buffer.
    pub(super) sent_at: Micros,
    /// The place of its command among all bytes that the connection writes.
    pub(super) command: Range<u64>,
    /// The oldest copy that it accepts.
    pub(super) max_age_us: Option<Micros>,
    /// Whether an attempt of the same request was cancelled on this connection before it.
    pub(super) follows_cancelled: bool,
}

/// A cancelled attempt that is not reported as ended yet.
pub(super) struct UnreportedCancellation {
    attempt: AttemptId,
    /// Once the connection has written this many bytes, the `abort` is among them.
    abort_end: u64,
    /// When the `abort` was first seen to be written.
    written_at: Option<Micros>,
}

impl Stream {
    /// A stream whose `abort` command ends at `abort_end` of the bytes that the connection writes.
    pub(super) fn cancelled(now: Micros, attempt: AttemptId, abort_end: u64) -> Self {
        let unreported = UnreportedCancellation {
            attempt,
            abort_end,
            written_at: None,
        };
        Stream::Cancelled {
            at: now,
            unreported: Some(unreported),
        }
    }

    /// Whether it is this attempt, neither answered nor cancelled.
    pub(super) fn is_attempt(&self, attempt: AttemptId) -> bool {
        matches!(self, Stream::Attempt(sent) if sent.attempt == attempt)
    }

    /// Whether somebody waits for its answer.
    pub(super) fn is_awaited(&self) -> bool {
        matches!(self, Stream::Attempt(_) | Stream::Probe { .. })
    }

    /// Whether its end has been reported, so that the connection owes nothing for it.
    pub(super) fn is_reported(&self) -> bool {
        match self {
            Stream::Cancelled { unreported, .. } => unreported.is_none(),
            Stream::Answered { .. } => true,
            Stream::Attempt(_) | Stream::Probe { .. } => false,
        }
    }

    /// Whether a further attempt under the same id may take this connection.
    pub(super) fn admits_further_attempt(&self) -> bool {
        match self {
            Stream::Cancelled { unreported, .. } => unreported.is_none(),
            Stream::Attempt(_) | Stream::Answered { .. } | Stream::Probe { .. } => false,
        }
    }

    /// Whether nothing refers to it any more: it was reported and its memory has run out.
    pub(super) fn is_forgettable(&self, now: Micros, memory_us: Micros) -> bool {
        match self {
            Stream::Cancelled { at, .. } | Stream::Answered { at } => {
                self.is_reported() && at + memory_us < now
            }
            Stream::Attempt(_) | Stream::Probe { .. } => false,
        }
    }

    /// When the `abort` of a cancellation that is still unreported was written.
    pub(super) fn abort_written_at(&self) -> Option<Micros> {
        match self {
            Stream::Cancelled { unreported, .. } => unreported.as_ref()?.written_at,
            Stream::Attempt(_) | Stream::Answered { .. } | Stream::Probe { .. } => None,
        }
    }

    /// Takes the attempt out of a cancellation that has settled, which makes it a reported one.
    pub(super) fn take_settled_cancellation(
        &mut self,
        now: Micros,
        bytes_written: u64,
        settle_us: Micros,
    ) -> Option<AttemptId> {
        let Stream::Cancelled { unreported, .. } = self else {
            return None;
        };
        let cancellation = unreported.as_mut()?;
        cancellation.note_written(now, bytes_written);
        let settled = unreported.take_if(|cancellation| cancellation.is_settled(now, settle_us))?;
        Some(settled.attempt)
    }

    /// What to report when the connection closes after `bytes_written`. An attempt that was not
    /// written whole can't have run and ends with `unsent`; one that was may have run.
    pub(super) fn event_on_close(
        self,
        bytes_written: u64,
        unsent: Outcome,
    ) -> Option<UpstreamEvent> {
        match self {
            Stream::Attempt(sent) if sent.command.end > bytes_written => {
                Some(UpstreamEvent::ended(sent.attempt, unsent))
            }
            Stream::Attempt(sent) => Some(UpstreamEvent::ended(sent.attempt, Outcome::Reset)),
            Stream::Cancelled { unreported, .. } => {
                let cancellation = unreported?;
                Some(UpstreamEvent::ended(
                    cancellation.attempt,
                    Outcome::Cancelled,
                ))
            }
            Stream::Answered { .. } => None,
            Stream::Probe { .. } => Some(UpstreamEvent::ProbeEnded(Outcome::Reset, 0, None)),
        }
    }
}

impl SentAttempt {
    /// Whether a copy that was made at a time, on the scale of the loop's clock, is older than the
    /// attempt accepts.
    pub(super) fn is_copy_too_old(&self, made_at: Micros) -> bool {
        self.max_age_us
            .is_some_and(|max_age_us| made_at.saturating_add(max_age_us) < self.sent_at)
    }
}

impl UnreportedCancellation {
    /// The cancelled attempt.
    pub(super) fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Notes the time if the `abort` is written by now.
    fn note_written(&mut self, now: Micros, bytes_written: u64) {
        if self.abort_end <= bytes_written {
            self.written_at.get_or_insert(now);
        }
    }

    /// Whether the written `abort` has had its time to arrive.
    fn is_settled(&self, now: Micros, settle_us: Micros) -> bool {
        self.written_at
            .is_some_and(|written_at| written_at + settle_us <= now)
    }
}
