//! Reading: takes answers from the input buffer and ends the streams that they belong to.

use super::answer::ServerAnswer;
use super::stream::{SentAttempt, Stream};
use super::{UpstreamConnection, UpstreamEvent};
use crate::net::BufferedSocket;
use crate::protocol::{Parser, ProtocolError};
use crate::request_table::{AttemptId, RequestTable};
use edge_routing::{Micros, Outcome};

impl UpstreamConnection {
    /// Reads all that is in the input buffer and reports what ended.
    ///
    /// # Errors
    ///
    /// Input that is not in the form of the protocol. What comes after it can't be read, so the
    /// connection must be closed. Events from the answers before it are reported nevertheless.
    pub fn read(
        &mut self,
        now: Micros,
        conn: &mut BufferedSocket,
        request_table: &RequestTable,
        events: &mut Vec<UpstreamEvent>,
    ) -> Result<(), ProtocolError> {
        while !conn.input.is_empty() {
            match self.read_answer(now, conn) {
                Ok(None) => {}
                Ok(Some(answer)) => self.handle_answer(now, answer, request_table, events),
                Err(error) => {
                    self.liveness.received_garbled();
                    return Err(error);
                }
            }
        }
        Ok(())
    }

    /// Takes bytes of one answer at most; none: it is not whole yet.
    fn read_answer(
        &mut self,
        now: Micros,
        conn: &mut BufferedSocket,
    ) -> Result<Option<ServerAnswer>, ProtocolError> {
        let (taken, array) = self.answers.parse(conn.input.readable())?;
        conn.input.consume(taken);
        let partial_answer = self.answers.has_partial_input();
        self.liveness.received(now, array.is_some(), partial_answer);
        array.map(ServerAnswer::from_array).transpose()
    }

    fn handle_answer(
        &mut self,
        now: Micros,
        mut answer: ServerAnswer,
        request_table: &RequestTable,
        events: &mut Vec<UpstreamEvent>,
    ) {
        let Some(id) = answer.take_id() else {
            return;
        };
        match self.streams.remove(&id) {
            Some(Stream::Attempt(sent)) if is_too_old(&answer, &sent, request_table) => {
                self.reject_old_copy(id, sent, events);
            }
            Some(Stream::Attempt(sent)) => {
                let event = self.end_attempt(now, id, sent.attempt, answer, request_table);
                events.push(event);
            }
            // The answer came before the cancellation was over, so this is how the attempt ended.
            Some(Stream::Cancelled {
                unreported: Some(cancellation),
                ..
            }) => {
                let attempt = cancellation.attempt();
                let event = self.end_attempt(now, id, attempt, answer, request_table);
                events.push(event);
            }
            Some(Stream::Probe { sent_at }) => events.push(UpstreamEvent::ProbeEnded(
                answer.probe_outcome(),
                now.saturating_sub(sent_at),
                answer.load_report(),
            )),
            Some(Stream::Answered { at }) => {
                self.streams.insert(id, Stream::Answered { at });
                log::debug!("a cache server answered a request a second time");
            }
            Some(Stream::Cancelled {
                unreported: None, ..
            })
            | None => log::debug!("a cache server answered a request that is not open"),
        }
    }

    /// Handles an answer with a copy that is older than the attempt accepts.
    fn reject_old_copy(&mut self, id: String, sent: SentAttempt, events: &mut Vec<UpstreamEvent>) {
        if sent.follows_cancelled {
            // The answer to the cancelled attempt may have crossed the `abort`: that one is over,
            // and this one is still open. It happens once, as there is one such answer at the most.
            log::info!("ignored an answer to an attempt that was cancelled");
            let sent = SentAttempt {
                follows_cancelled: false,
                ..sent
            };
            self.streams.insert(id, Stream::Attempt(sent));
            return;
        }
        log::warn!("a cache server answered with a copy that is older than the request accepts");
        events.push(UpstreamEvent::ended(sent.attempt, Outcome::Error));
    }

    /// The end of an attempt by its answer. Unless that was served, the id stays occupied, for a
    /// further attempt of the request may follow.
    fn end_attempt(
        &mut self,
        now: Micros,
        id: String,
        attempt: AttemptId,
        answer: ServerAnswer,
        request_table: &RequestTable,
    ) -> UpstreamEvent {
        let request = request_table
            .attempt_spec(attempt)
            .map(|(request, _)| request);
        let result = answer.into_attempt_result(request);
        if result.outcome != Outcome::Ok {
            self.streams.insert(id, Stream::Answered { at: now });
        }
        UpstreamEvent::AttemptEnded(attempt, result)
    }
}

/// Whether an answer brings a copy that is older than the attempt accepts, for instance one from
/// before a purge. No server may give one, so it is never passed on.
fn is_too_old(answer: &ServerAnswer, sent: &SentAttempt, request_table: &RequestTable) -> bool {
    answer.made_us().is_some_and(|made_us| {
        let made_at = request_table.copy_made_at(made_us);
        sent.is_copy_too_old(made_at)
    })
}
