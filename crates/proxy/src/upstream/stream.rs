//! The states of a stream and the transitions between them. A stream is what a connection keeps
//! under one id: an attempt or a probe.

use super::UpstreamEvent;
use crate::request_table::AttemptId;
use edge_routing::{Micros, Outcome};
use std::ops::Range;

/// The state of an attempt or a probe on a connection.
pub(super) enum Stream {
    /// An attempt whose command is written or is in the output buffer.
    Attempt(SentAttempt),
    /// A cancelled attempt. A further attempt of the request at this server must use the same
    /// connection, so that its command follows the `abort`. On another connection the server might
    /// read the new command first and have two requests with one id at once.
    Cancelled {
        /// When the attempt was cancelled.
        at: Micros,
        /// Present until the cancellation is reported.
        unreported: Option<UnreportedCancellation>,
    },
    /// An attempt that got an answer, but was not served. A further attempt of the request may
    /// follow. It uses another connection, because on this one a repeated answer would be mistaken
    /// for the answer to the further attempt.
    Answered {
        /// When the answer arrived.
        at: Micros,
    },
    /// A probe that has not been answered.
    Probe {
        /// When the probe was sent.
        sent_at: Micros,
    },
}

/// An attempt whose command was put into the output buffer.
pub(super) struct SentAttempt {
    pub(super) attempt: AttemptId,
    /// When the command was put into the output buffer.
    pub(super) sent_at: Micros,
    /// Position of the command among all bytes written on the connection.
    pub(super) command_byte_range: Range<u64>,
    /// Maximum age of an acceptable copy, in microseconds. With `None`, the age is not checked.
    pub(super) max_age_us: Option<Micros>,
    /// Whether an attempt of the same request was cancelled on this connection before.
    pub(super) follows_cancellation: bool,
}

/// A cancelled attempt that has not been reported as ended yet.
pub(super) struct UnreportedCancellation {
    attempt: AttemptId,
    /// Offset of the end of the `abort` command among all bytes written on the connection.
    abort_end_offset: u64,
    /// When the `abort` was first found to be written.
    abort_written_at: Option<Micros>,
}

impl Stream {
    /// Creates the stream of a cancelled attempt. `abort_end_offset` is the offset of the end of
    /// the `abort` command among all bytes written on the connection.
    pub(super) fn cancelled(now: Micros, attempt: AttemptId, abort_end_offset: u64) -> Self {
        let unreported = UnreportedCancellation {
            attempt,
            abort_end_offset,
            abort_written_at: None,
        };
        Stream::Cancelled {
            at: now,
            unreported: Some(unreported),
        }
    }

    /// Returns whether the stream is this attempt, neither answered nor cancelled.
    pub(super) fn is_attempt(&self, attempt: AttemptId) -> bool {
        matches!(self, Stream::Attempt(sent) if sent.attempt == attempt)
    }

    /// Returns whether the stream is an attempt or probe whose answer is still awaited.
    pub(super) fn is_awaited(&self) -> bool {
        matches!(self, Stream::Attempt(_) | Stream::Probe { .. })
    }

    /// Returns the attempt whose end has not been reported, cancelled or not. Returns `None` for any
    /// other stream.
    pub(super) fn unreported_attempt(&self) -> Option<AttemptId> {
        match self {
            Stream::Attempt(sent) => Some(sent.attempt),
            Stream::Cancelled { unreported, .. } => {
                unreported.as_ref().map(UnreportedCancellation::attempt)
            }
            Stream::Answered { .. } | Stream::Probe { .. } => None,
        }
    }

    /// Returns whether the end of the stream has been reported.
    pub(super) fn is_reported(&self) -> bool {
        match self {
            Stream::Cancelled { unreported, .. } => unreported.is_none(),
            Stream::Answered { .. } => true,
            Stream::Attempt(_) | Stream::Probe { .. } => false,
        }
    }

    /// Returns whether a further attempt with the same id may use this connection.
    pub(super) fn allows_further_attempt(&self) -> bool {
        match self {
            Stream::Cancelled { unreported, .. } => unreported.is_none(),
            Stream::Attempt(_) | Stream::Answered { .. } | Stream::Probe { .. } => false,
        }
    }

    /// Returns from when on the stream can be removed, which is after its retention period. Returns
    /// `None` if the end of the stream has not been reported.
    pub(super) fn expires_at(&self, retention_us: Micros) -> Option<Micros> {
        match self {
            Stream::Cancelled { at, .. } | Stream::Answered { at } => {
                self.is_reported().then_some(at + retention_us + 1)
            }
            Stream::Attempt(_) | Stream::Probe { .. } => None,
        }
    }

    /// Returns whether the stream can be removed, because its end was reported and its retention
    /// period is over.
    pub(super) fn is_expired(&self, now: Micros, retention_us: Micros) -> bool {
        self.expires_at(retention_us)
            .is_some_and(|expires_at| expires_at <= now)
    }

    /// Returns when the `abort` of an unreported cancellation was written. Returns `None` for any
    /// other stream, and while the `abort` is not written yet.
    pub(super) fn abort_written_at(&self) -> Option<Micros> {
        match self {
            Stream::Cancelled { unreported, .. } => unreported.as_ref()?.abort_written_at,
            Stream::Attempt(_) | Stream::Answered { .. } | Stream::Probe { .. } => None,
        }
    }

    /// Returns the attempt of an unreported cancellation whose report is due, and marks it as
    /// reported. Returns `None` for any other stream.
    pub(super) fn take_due_cancellation(
        &mut self,
        now: Micros,
        bytes_written: u64,
        cancellation_report_delay_us: Micros,
    ) -> Option<AttemptId> {
        let Stream::Cancelled { unreported, .. } = self else {
            return None;
        };
        let cancellation = unreported.as_mut()?;
        cancellation.record_output_progress(now, bytes_written);
        let due = unreported
            .take_if(|cancellation| cancellation.is_due(now, cancellation_report_delay_us))?;
        Some(due.attempt)
    }

    /// Returns the event to report when the connection closes after `bytes_written`. An attempt
    /// that was not written completely can't have been executed and ends with `unsent_outcome`. An
    /// attempt that was written completely may have been executed. Returns `None` if the end of the
    /// stream was already reported.
    pub(super) fn event_on_close(
        self,
        bytes_written: u64,
        unsent_outcome: Outcome,
    ) -> Option<UpstreamEvent> {
        match self {
            Stream::Attempt(sent) if sent.command_byte_range.end > bytes_written => {
                Some(UpstreamEvent::attempt_ended(sent.attempt, unsent_outcome))
            }
            Stream::Attempt(sent) => {
                Some(UpstreamEvent::attempt_ended(sent.attempt, Outcome::Reset))
            }
            Stream::Cancelled { unreported, .. } => {
                let cancellation = unreported?;
                Some(UpstreamEvent::attempt_ended(
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
    /// Returns whether a copy created at `created_at`, on the scale of the loop's clock, is older
    /// than the attempt accepts.
    pub(super) fn is_copy_outdated(&self, created_at: Micros) -> bool {
        self.max_age_us
            .is_some_and(|max_age_us| created_at.saturating_add(max_age_us) < self.sent_at)
    }
}

impl UnreportedCancellation {
    /// Returns the id of the cancelled attempt.
    pub(super) fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Records `now` as the time at which the `abort` was written, if it is written and no earlier
    /// time is recorded.
    fn record_output_progress(&mut self, now: Micros, bytes_written: u64) {
        if self.abort_end_offset <= bytes_written {
            self.abort_written_at.get_or_insert(now);
        }
    }

    /// Returns whether the `abort` was written at least `cancellation_report_delay_us` ago, so that
    /// it has had time to arrive.
    fn is_due(&self, now: Micros, cancellation_report_delay_us: Micros) -> bool {
        self.abort_written_at
            .is_some_and(|abort_written_at| abort_written_at + cancellation_report_delay_us <= now)
    }
}
