//! Reading: parses answers from the input buffer and ends the streams that they belong to.

use super::answer::ServerAnswer;
use super::stream::{SentAttempt, Stream};
use super::{UpstreamConnection, UpstreamEvent};
use crate::limits::Limits;
use crate::memory::{ByteQueue, MemoryBudget};
use crate::net::{BufferedSocket, IoProgress};
use crate::protocol::{Parser, ProtocolError};
use crate::request_table::{AttemptId, RequestTable};
use edge_routing::{Micros, Outcome};

/// What a connection needs to read answers.
pub struct ReadContext<'a> {
    /// The current time.
    pub now: Micros,
    /// The requests that the answers are for.
    pub request_table: &'a RequestTable,
    /// The limits of the proxy.
    pub limits: &'a Limits,
    /// The memory budget.
    pub memory: &'a mut MemoryBudget,
    /// Whether other connections have waited for memory for longer. An answer that begins then
    /// waits behind them.
    pub others_wait_for_memory: bool,
}

impl UpstreamConnection {
    /// Parses all answers in the input buffer and reports the attempts and probes that ended.
    ///
    /// The length before a body may be too short, and the body may contain a line end just there.
    /// The answer then looks complete, but the rest of the body follows it, which does not begin
    /// another answer. So an answer whose body is passed on is handled only once the next one has
    /// begun, or once the socket has been read again and nothing more has arrived.
    ///
    /// A body that no client waits for is dropped as it arrives. Any other body is received only
    /// once its whole length fits into the memory budget, so that each body that has begun can be
    /// completed. Until then, the rest of the input waits, and so does the server.
    ///
    /// # Errors
    ///
    /// Returns an error if the input is malformed. No input after it can be parsed, so the
    /// connection must be closed. Events from the answers before it are reported nevertheless,
    /// except for an answer with a body that the malformed input follows directly.
    pub fn read(
        &mut self,
        context: &mut ReadContext,
        socket: &mut BufferedSocket,
        events: &mut Vec<UpstreamEvent>,
    ) -> Result<(), ProtocolError> {
        let result = self.read_answers(context, socket, events);
        if result.is_err() {
            self.liveness.record_malformed_input();
            self.drop_unconfirmed_answer();
        }
        self.update_answer_memory(context.memory);
        result
    }

    /// Returns whether the last answer is not handled yet because it could not be found out what
    /// follows it. The connection has to be read again soon.
    pub fn has_unconfirmed_answer(&self) -> bool {
        self.unconfirmed_answer.is_some()
    }

    /// Handles the last answer, if that is still to be done. To be called if nothing more arrives
    /// behind it.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer is malformed. The connection must be closed.
    pub fn confirm_last_answer(
        &mut self,
        now: Micros,
        request_table: &RequestTable,
        events: &mut Vec<UpstreamEvent>,
    ) -> Result<(), ProtocolError> {
        match self.unconfirmed_answer.take() {
            Some(answer) => self.handle_answer(now, answer, request_table, events),
            None => Ok(()),
        }
    }

    /// Parses the buffered input. While it ends with an unconfirmed answer, reads on to find out
    /// what follows the answer.
    fn read_answers(
        &mut self,
        context: &mut ReadContext,
        socket: &mut BufferedSocket,
        events: &mut Vec<UpstreamEvent>,
    ) -> Result<(), ProtocolError> {
        self.read_buffered_answers(context, socket, events)?;
        for _ in 0..context.limits.max_reads_behind_answer {
            if self.unconfirmed_answer.is_none() {
                break;
            }
            match socket.read(false) {
                IoProgress::Advanced => self.read_buffered_answers(context, socket, events)?,
                IoProgress::Postponed => break,
                // The poller reports the end of a connection again.
                IoProgress::WouldBlock | IoProgress::PeerClosed | IoProgress::Broken => {
                    return self.confirm_last_answer(context.now, context.request_table, events);
                }
            }
        }
        Ok(())
    }

    /// Parses the answers in the input buffer, as far as their bodies may be received. Handles an
    /// unconfirmed answer once the id of the next one has arrived, and each parsed answer that does
    /// not become unconfirmed itself.
    fn read_buffered_answers(
        &mut self,
        context: &mut ReadContext,
        socket: &mut BufferedSocket,
        events: &mut Vec<UpstreamEvent>,
    ) -> Result<(), ProtocolError> {
        while !socket.input.is_empty() {
            self.decide_on_body(context);
            if self.body_waits_for_memory {
                break;
            }
            let answer = self.read_answer(context.now, socket)?;
            let next_has_begun = answer.is_some() || self.answer_parser.first_string().is_some();
            if next_has_begun {
                self.confirm_last_answer(context.now, context.request_table, events)?;
            }
            match answer {
                Some(answer) if answer.passes_on_body() => self.unconfirmed_answer = Some(answer),
                Some(answer) => {
                    self.handle_answer(context.now, answer, context.request_table, events)?;
                }
                None => {}
            }
        }
        Ok(())
    }

    /// Decides whether the body of the answer that is being received is kept, dropped, or waits
    /// until memory is free.
    fn decide_on_body(&mut self, context: &mut ReadContext) {
        self.body_waits_for_memory = false;
        self.discard_unwanted_body(context.request_table);
        let Some(body_bytes) = self.answer_parser.held_string_bytes() else {
            return;
        };
        self.update_answer_memory(context.memory);
        let has_room = !context.others_wait_for_memory
            && context
                .memory
                .has_room_for_transfer(ByteQueue::allocation_for(body_bytes));
        if has_room {
            self.accept_body(context.now);
            self.update_answer_memory(context.memory);
        } else {
            self.body_waits_for_memory = true;
        }
    }

    /// Receives the body that waits for memory. The wait is no pause of the server.
    fn accept_body(&mut self, now: Micros) {
        self.answer_parser.accept_held_string();
        self.liveness.record_input(now, true, true);
    }

    /// Receives the body that waits for memory although there may be no room, because the connection
    /// has ended and only what has arrived of it can still be read.
    pub fn accept_body_at_end(&mut self, now: Micros) {
        self.body_waits_for_memory = false;
        if self.answer_parser.held_string_bytes().is_some() {
            self.accept_body(now);
        }
    }

    /// Drops the body that is being received, or waits for memory, if no client waits for it.
    pub(super) fn discard_unwanted_body(&mut self, request_table: &RequestTable) {
        let is_kept = self.answer_parser.held_string_bytes().is_some()
            || self.answer_parser.is_receiving_held_string();
        if is_kept && !self.is_body_wanted(request_table) {
            self.answer_parser.discard_string();
            self.body_waits_for_memory = false;
        }
    }

    /// Returns whether the connection waits for memory and would still need it if it went on.
    pub fn still_waits_for_memory(&self, request_table: &RequestTable) -> bool {
        let body_waits = self.body_waits_for_memory && self.is_body_wanted(request_table);
        body_waits || self.command_waits_for_memory
    }

    /// Returns whether a client waits for the answer that is being received.
    fn is_body_wanted(&self, request_table: &RequestTable) -> bool {
        let id = self.answer_parser.first_string();
        let id = id.and_then(|id| std::str::from_utf8(id).ok());
        let Some((id, stream)) = id.and_then(|id| Some((id, self.streams.get(id)?))) else {
            return false;
        };
        match stream {
            // Even after the attempt was cancelled, its answer serves the next attempt of the same
            // request on this connection.
            Stream::Attempt(_) | Stream::Cancelled { .. } => request_table.is_request_awaited(id),
            Stream::Probe { .. } => true,
            Stream::Answered { .. } => false,
        }
    }

    /// Drops the answer that malformed input follows. Its stream stays open and ends with the
    /// connection.
    fn drop_unconfirmed_answer(&mut self) {
        if let Some(answer) = self.unconfirmed_answer.take() {
            log::warn!(
                "request {}: cache server #{:016x} sent an answer that malformed input follows, so \
                 the length of its body may be wrong; the answer is not used",
                answer.id().unwrap_or("with an unreadable id"),
                self.server
            );
        }
    }

    /// Consumes the bytes of at most one answer. Returns `None` if the answer is not complete yet.
    fn read_answer(
        &mut self,
        now: Micros,
        socket: &mut BufferedSocket,
    ) -> Result<Option<ServerAnswer>, ProtocolError> {
        let (taken, array) = self.answer_parser.parse(socket.input.readable())?;
        socket.input.consume(taken);
        let partial_answer = self.answer_parser.has_partial_input();
        self.liveness
            .record_input(now, array.is_some(), partial_answer);
        array.map(ServerAnswer::from_array).transpose()
    }

    /// Ends the stream that an answer belongs to, if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error if the content of the answer is malformed. The stream is then still open.
    fn handle_answer(
        &mut self,
        now: Micros,
        answer: ServerAnswer,
        request_table: &RequestTable,
        events: &mut Vec<UpstreamEvent>,
    ) -> Result<(), ProtocolError> {
        let Some(id) = answer.id().map(str::to_owned) else {
            return Ok(());
        };
        let attempt = self.streams.get(&id).and_then(Stream::unreported_attempt);
        if attempt.is_some_and(|attempt| request_table.expects_copy(attempt)) {
            answer.check_copy()?;
        }
        if answer.is_body_discarded() && request_table.is_request_awaited(&id) {
            self.handle_answer_without_body(&id);
            return Ok(());
        }
        match self.streams.remove(&id) {
            Some(Stream::Attempt(sent)) if has_outdated_copy(&answer, &sent, request_table) => {
                self.handle_outdated_copy(id, sent, events);
            }
            Some(Stream::Attempt(sent)) => {
                let event = self.end_attempt(now, id, sent.attempt, answer, request_table);
                events.push(event);
            }
            // The answer arrived before the cancellation was reported, so it ends the attempt.
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
                log::debug!(
                    "cache server #{:016x} answered a request more than once; ignoring the answer",
                    self.server
                );
            }
            Some(Stream::Cancelled {
                unreported: None, ..
            })
            | None => log::debug!(
                "cache server #{:016x} answered request {id:?}, which is not in flight on the \
                 connection; ignoring the answer",
                self.server
            ),
        }
        Ok(())
    }

    /// Handles an answer whose body was dropped when no client waited for it, while a client waits for
    /// a request with the same id now. It is the answer to an attempt of an earlier request. The
    /// answer to the attempt in flight follows.
    fn handle_answer_without_body(&mut self, id: &str) {
        log::debug!(
            "request {id}: ignoring an answer from cache server #{:016x} to an earlier request with \
             this id",
            self.server
        );
        if let Some(Stream::Attempt(sent)) = self.streams.get_mut(id) {
            sent.follows_cancellation = false;
        }
    }

    /// Handles an answer with a copy that is older than the attempt accepts.
    fn handle_outdated_copy(
        &mut self,
        id: String,
        sent: SentAttempt,
        events: &mut Vec<UpstreamEvent>,
    ) {
        if sent.follows_cancellation {
            // The server may have sent the answer to the cancelled attempt before it read the
            // `abort`. In that case the cancelled attempt is over and this one is still in flight.
            // There is at most one such answer, so only one is ignored.
            log::info!(
                "request {id}: ignoring a copy from cache server #{:016x} that is older than \
                 accepted; it may answer an attempt that was cancelled",
                self.server
            );
            let sent = SentAttempt {
                follows_cancellation: false,
                ..sent
            };
            self.streams.insert(id, Stream::Attempt(sent));
            return;
        }
        log::warn!(
            "request {id}: cache server #{:016x} sent a copy older than the maximum age of {} us; \
             the attempt fails",
            self.server,
            sent.max_age_us.unwrap_or_default()
        );
        events.push(UpstreamEvent::attempt_ended(sent.attempt, Outcome::Error));
    }

    /// Ends an attempt with its answer. Unless the attempt was served, its id stays occupied on the
    /// connection, because a further attempt of the request may follow.
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

/// Returns whether an answer contains a copy that is older than the attempt accepts, for instance a
/// copy from before a purge. No server is allowed to send such a copy, so it is never passed on to
/// a client.
fn has_outdated_copy(
    answer: &ServerAnswer,
    sent: &SentAttempt,
    request_table: &RequestTable,
) -> bool {
    answer.copy_created_by_us().is_some_and(|created_by_us| {
        let created_at = request_table.copy_created_at(created_by_us);
        sent.is_copy_outdated(created_at)
    })
}
