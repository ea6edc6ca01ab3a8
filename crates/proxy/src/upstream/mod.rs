//! Connections to boxes: many attempts share one, and answers come in any order. A link is one connection; it
//! knows frames and ids, not sockets.

use crate::limits::Limits;
use crate::net::BufferedSocket;
use crate::protocol::{resp, Parser, ProtocolError};
use crate::request_table::{AttemptId, AttemptResult, ClientRequest, Content, RequestTable};
use edge_routing::{FillResult, LoadReport, Micros, Outcome, ServerId};
use std::collections::{HashMap, VecDeque};

/// What is open on a link under an id.
enum Stream {
    Attempt(Sent),
    /// Given up at this time. A further attempt of the request at this box must come behind the word of it, so
    /// it takes this connection: on another one the box might read it first and have two at once.
    GivenUp(Micros, Option<Unreported>),
    /// Answered at this time, but not for good: a further attempt of the request may follow, and a second copy of
    /// the answer would be taken for its own, so it takes another connection.
    Answered(Micros),
    /// A probe, sent at this time.
    Probe(Micros),
}

/// An attempt on its way.
struct Sent {
    attempt: AttemptId,
    at: Micros,
    /// So many bytes are written before its first.
    first: u64,
    /// So many bytes are written once it is whole.
    whole: u64,
    /// The oldest copy that it asked for.
    max_age_us: Option<Micros>,
    /// An attempt of the same request was given up here before it.
    behind: bool,
}

impl Sent {
    /// Whether an answer brings a copy from before what the attempt asked for: no box may give one, so it is
    /// not passed on.
    fn is_too_old(&self, fields: &[u8]) -> bool {
        let made = resp::field(fields, "made").and_then(|ms| ms.parse::<u64>().ok());
        made.zip(self.max_age_us)
            .is_some_and(|(ms, age)| (ms + 1) * 1000 + age < self.at)
    }
}

/// An attempt that was given up and is not reported as ended yet.
struct Unreported {
    attempt: AttemptId,
    /// So many bytes are written once the word of it is.
    whole: u64,
    /// When that was seen.
    written: Option<Micros>,
}

/// What a link tells.
#[derive(Debug, PartialEq)]
pub enum UpstreamEvent {
    /// An attempt ended.
    AttemptEnded(AttemptId, AttemptResult),
    /// A probe ended.
    ProbeEnded(Outcome, Micros, Option<LoadReport>),
}

impl UpstreamEvent {
    /// Whether a request may go on after this.
    pub fn is_not_final(&self) -> bool {
        matches!(self, UpstreamEvent::AttemptEnded(_, ended) if ended.outcome != Outcome::Ok)
    }
}

/// A connection to a box.
pub struct UpstreamConnection {
    /// The box.
    pub server: ServerId,
    arrays: resp::Arrays,
    queue: VecDeque<AttemptId>,
    open: HashMap<String, Stream>,
    probes: u64,
    last_heard: Micros,
    /// When the answer that has come in part began.
    half_since: Option<Micros>,
    /// A connection is taken for suspect once it has been silent for so long.
    suspect_us: Micros,
    /// Nothing came back for what was given up here: the other side may be gone without a word.
    suspect: bool,
    stalled: Option<(u64, Micros)>,
    /// Something came that can't be read: where the next answer begins is not known any more.
    garbled: bool,
}

fn note(fields: &[u8]) -> FillResult {
    match resp::field(fields, "how") {
        Some("local") => FillResult::Hit,
        Some("pulled") => FillResult::Filled,
        Some("pulled_far") => FillResult::FilledFromOrigin,
        Some("rode") => FillResult::Coalesced,
        Some("expired") => FillResult::Stale,
        Some("turned_away") => FillResult::SourceRejected,
        Some("cut_off") => FillResult::SourceUnreachable,
        Some("not_there") => FillResult::SourceMiss,
        Some("no_place") => FillResult::NoFillSlot,
        Some("far_fault") => FillResult::OriginFailed,
        _ => FillResult::Unknown,
    }
}

fn load(fields: &[u8]) -> Option<LoadReport> {
    let stats = resp::field(fields, "stats")?;
    let value = |name: &str| {
        let of = |pair: &str| {
            pair.split_once(':')
                .filter(|(n, _)| *n == name)?
                .1
                .parse()
                .ok()
        };
        stats.split(';').find_map(of)
    };
    let (cpu_utilization, in_flight) = (value("util"), value("inflight"));
    Some(LoadReport {
        cpu_utilization,
        in_flight,
        hit_ratio: value("x0"),
        link_utilization: value("x1"),
    })
}

fn ended(
    word: &[u8],
    fields: &[u8],
    body: Vec<u8>,
    asked: Option<&ClientRequest>,
) -> AttemptResult {
    let tag = resp::field(fields, "etag");
    let (outcome, content) = match word {
        b"200" => (
            Outcome::Ok,
            Some(Content::Object {
                bytes: body,
                tag: tag.map(str::to_owned),
            }),
        ),
        // Only the box's own word for that very copy makes it current.
        b"304" if asked.is_some_and(|a| a.have.is_some() && a.have.as_deref() == tag) => {
            (Outcome::Ok, Some(Content::Unchanged))
        }
        b"404" => (Outcome::Miss, None),
        b"503" => (Outcome::Rejected, None),
        b"504" => (Outcome::NotSent, None),
        // Also what this page does not know: it may have run.
        _ => (Outcome::Error, None),
    };
    let waited = resp::field(fields, "ttfb")
        .and_then(|ms| ms.parse::<f64>().ok())
        .unwrap_or(0.0);
    AttemptResult {
        outcome,
        fill_result: note(fields),
        fill_ttfb_us: (waited.max(0.0) * 1e3) as Micros,
        load: load(fields),
        content,
    }
}

/// The frame of an attempt that may still begin.
fn frame(request_table: &RequestTable, now: Micros, attempt: AttemptId) -> Option<Vec<u8>> {
    let (asked, spec) = request_table.attempt_spec(attempt)?;
    if spec.send_by.is_some_and(|by| now >= by) {
        return None;
    }
    let mut fields = format!(
        "class={},key={},part={}",
        asked.class, asked.object, asked.part
    );
    let mut add = |name: &str, value: &str| {
        fields.extend([",", name, "=", value]);
    };
    add(
        "wait",
        &(spec.until.saturating_sub(now) / 1000).max(1).to_string(),
    );
    if let Some(once) = &asked.once {
        add("once", once);
    }
    if let Some(fill) = &spec.fill {
        if fill.source != spec.server {
            add("src", request_table.address_of(fill.source)?.0);
        }
        if fill.retention_rank > 0 {
            add("keep", &fill.retention_rank.to_string());
        }
        if let Some(age) = spec.max_age_us {
            // Rounded down, so that no copy from before a purge passes; 0 would mean the class's fresh time.
            add("maxage", &(age / 1000).max(1).to_string());
        }
        let words = [
            (fill.coalesce, "wait-for"),
            (fill.only_if_cached, "no-fetch"),
            (fill.bypass_parent, "no-keep"),
            (fill.background_refresh, "background"),
        ];
        let words: Vec<&str> = words.iter().filter(|w| w.0).map(|w| w.1).collect();
        if !words.is_empty() {
            add("flags", &words.join("+"));
        }
    }
    if let Some(have) = &asked.have {
        add("have", have);
    }
    let mut out = Vec::with_capacity(fields.len() + asked.body.len() + 80);
    resp::write_array(
        &mut out,
        &[
            b"fetch",
            asked.id.as_bytes(),
            fields.as_bytes(),
            &asked.body,
        ],
    );
    Some(out)
}

impl UpstreamConnection {
    /// A connection to a box, just begun.
    pub fn new(server: ServerId, limits: &Limits, now: Micros) -> Self {
        UpstreamConnection {
            server,
            arrays: resp::Arrays::new(limits.object_bytes),
            queue: VecDeque::new(),
            open: HashMap::new(),
            probes: 0,
            last_heard: now,
            half_since: None,
            suspect_us: limits.unresponsive_after_us,
            suspect: false,
            stalled: None,
            garbled: false,
        }
    }

    /// Attempts on it, if it can take one more under this id.
    pub fn load_if_available(
        &self,
        id: &str,
        request_table: &RequestTable,
        limits: &Limits,
    ) -> Option<usize> {
        let live = self
            .open
            .values()
            .filter(|s| matches!(s, Stream::Attempt(_) | Stream::Probe(_)))
            .count()
            + self.queue.len();
        // Two clients may give one id: a second attempt under it here would take the first one's answer, also
        // where both still wait for the connection.
        let queued = |a: &AttemptId| {
            request_table
                .attempt_spec(*a)
                .is_some_and(|(asked, _)| asked.id == id)
        };
        let free = self
            .open
            .get(id)
            .is_none_or(|s| matches!(s, Stream::GivenUp(_, None)))
            && !self.queue.iter().any(queued);
        (!self.suspect && !self.is_held_up(limits) && live < limits.attempts_per_connection && free)
            .then_some(live)
    }

    /// When the next attempt that was given up is reported as over.
    pub fn next_cancellation_report(&self, limits: &Limits) -> Option<Micros> {
        let written = |s: &Stream| {
            if let Stream::GivenUp(_, Some(r)) = s {
                r.written
            } else {
                None
            }
        };
        self.open
            .values()
            .filter_map(written)
            .min()
            .map(|at| at + limits.cancel_settle_us)
    }

    /// Whether what comes next can be read: nothing of it was garbled, and no answer has stopped short.
    pub fn is_readable(&self, now: Micros, limits: &Limits) -> bool {
        !self.garbled
            && self
                .partial_answer_deadline(limits)
                .is_none_or(|at| now < at)
    }

    /// When an answer that has come in part will have stopped short, or nobody will wait for its end any more.
    pub fn partial_answer_deadline(&self, limits: &Limits) -> Option<Micros> {
        let since = self.half_since?;
        let id = self
            .arrays
            .first()
            .and_then(|id| std::str::from_utf8(id).ok());
        let awaited = id.and_then(|id| self.open.get(id));
        let endless = !matches!(awaited, Some(Stream::Attempt(_) | Stream::Probe(_)));
        let stopped = self.last_heard + limits.partial_answer_timeout_us;
        Some(if endless {
            stopped.min(since + limits.unawaited_answer_timeout_us)
        } else {
            stopped
        })
    }

    /// Whether an answer has been coming for so long that nothing more should be made to wait behind it.
    fn is_held_up(&self, limits: &Limits) -> bool {
        self.half_since
            .is_some_and(|since| since + limits.unawaited_answer_timeout_us < self.last_heard)
    }

    /// Whether an attempt under this id was given up here not long ago.
    pub fn cancelled_recently(&self, id: &str) -> bool {
        matches!(self.open.get(id), Some(Stream::GivenUp(..)))
    }

    /// Whether nothing is open on it.
    pub fn is_idle(&self) -> bool {
        let over = |s: &Stream| matches!(s, Stream::GivenUp(_, None) | Stream::Answered(_));
        self.queue.is_empty() && self.open.values().all(over)
    }

    /// Whether nothing came back on it for so long that it may lead nowhere, and nobody waits for it any more.
    pub fn is_unresponsive(&self) -> bool {
        let over = self
            .open
            .values()
            .all(|s| matches!(s, Stream::GivenUp(..) | Stream::Answered(_)));
        self.suspect && over && self.queue.is_empty()
    }

    /// Queues an attempt. Nothing is written before the connection is up and takes it whole, so that what is
    /// given up or withdrawn until then never reaches the box.
    pub fn enqueue(&mut self, attempt: AttemptId) {
        self.queue.push_back(attempt);
    }

    /// Writes a probe, if the connection is up and takes it.
    pub fn probe(&mut self, now: Micros, conn: &mut BufferedSocket) -> bool {
        let id = format!("probe-{}", self.probes);
        let mut frame = Vec::new();
        resp::write_array(&mut frame, &[b"stats", id.as_bytes()]);
        if !conn.connected || conn.output.free_space() < frame.len() {
            return false;
        }
        conn.output.push(&frame);
        self.probes += 1;
        self.open.insert(id, Stream::Probe(now));
        true
    }

    /// Moves queued attempts into the connection's ring and reports what was given up once that is written.
    /// False: the connection takes nothing more and must be broken off.
    pub fn flush(
        &mut self,
        now: Micros,
        conn: &mut BufferedSocket,
        request_table: &RequestTable,
        limits: &Limits,
        told: &mut Vec<UpstreamEvent>,
    ) -> bool {
        if conn.write() == crate::net::IoProgress::Broken {
            return false;
        }
        // One at a time: what waits here can still be given up or withdrawn, what lies in the ring has begun.
        while conn.connected && conn.output.is_empty() {
            let Some(attempt) = self.queue.front().copied() else {
                break;
            };
            if let Some(frame) = frame(request_table, now, attempt) {
                if frame.len() > limits.output_buffer_bytes {
                    told.push(UpstreamEvent::AttemptEnded(
                        attempt,
                        Outcome::NotSent.into(),
                    ));
                } else if let Some((asked, spec)) = request_table.attempt_spec(attempt) {
                    let first = conn.bytes_written;
                    conn.output.push(&frame);
                    let whole = first + frame.len() as u64;
                    let behind = self.cancelled_recently(&asked.id);
                    let max_age_us = spec.max_age_us;
                    let sent = Sent {
                        attempt,
                        at: now,
                        first,
                        whole,
                        max_age_us,
                        behind,
                    };
                    self.open.insert(asked.id.clone(), Stream::Attempt(sent));
                }
            } else {
                told.push(UpstreamEvent::AttemptEnded(
                    attempt,
                    Outcome::NotSent.into(),
                ));
            }
            self.queue.pop_front();
            if conn.write() == crate::net::IoProgress::Broken {
                return false;
            }
        }
        for stream in self.open.values_mut() {
            if let Stream::GivenUp(_, report) = stream {
                // The word of it has a way to go: a further attempt at a nearer box must not overtake it.
                let over = |r: &mut Unreported| {
                    let written = r.whole <= conn.bytes_written;
                    written && *r.written.get_or_insert(now) + limits.cancel_settle_us <= now
                };
                if let Some(r) = report.take_if(over) {
                    told.push(UpstreamEvent::AttemptEnded(
                        r.attempt,
                        Outcome::Cancelled.into(),
                    ));
                }
            }
        }
        // What comes behind an answer that stopped short would be taken for its rest, and behind one that never
        // ends nothing comes: the connection serves no further use, also for all else that is open on it.
        if self
            .partial_answer_deadline(limits)
            .is_some_and(|at| at <= now)
        {
            return false;
        }
        // A side that takes no bytes would keep what is given up here from ever being over.
        let waiting = conn.connected && !conn.output.is_empty();
        self.stalled = waiting.then(|| {
            self.stalled
                .filter(|s| s.0 == conn.bytes_written)
                .unwrap_or((conn.bytes_written, now))
        });
        self.stalled
            .is_none_or(|(_, since)| now - since < limits.server_write_timeout_us)
    }

    /// Takes an attempt out of the queue, or out of the ring: nothing of it was written.
    pub fn dequeue(
        &mut self,
        attempt: AttemptId,
        conn: &mut BufferedSocket,
        told: &mut Vec<UpstreamEvent>,
    ) -> bool {
        if let Some(at) = self.queue.iter().position(|a| *a == attempt) {
            self.queue.remove(at);
        } else if self
            .lying(conn)
            .is_none_or(|(lying, alone)| lying != attempt || !alone)
        {
            return false;
        } else {
            self.take_out(attempt, conn);
        }
        told.push(UpstreamEvent::AttemptEnded(
            attempt,
            Outcome::Cancelled.into(),
        ));
        true
    }

    /// The attempt that lies in the ring with no byte written, where the box takes nothing just then, and whether
    /// nothing else lies there.
    fn lying(&self, conn: &BufferedSocket) -> Option<(AttemptId, bool)> {
        let end = conn.bytes_written + conn.output.len() as u64;
        self.open.values().find_map(|s| match s {
            Stream::Attempt(sent)
                if conn.connected
                    && sent.first == conn.bytes_written
                    && end > conn.bytes_written =>
            {
                Some((sent.attempt, sent.whole == end))
            }
            _ => None,
        })
    }

    fn take_out(&mut self, attempt: AttemptId, conn: &mut BufferedSocket) {
        conn.output.clear();
        self.open
            .retain(|_, s| !matches!(s, Stream::Attempt(sent) if sent.attempt == attempt));
    }

    /// Gives an attempt up: takes it out of the queue, or tells the box. False: the connection has no room
    /// even for that.
    pub fn cancel(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        conn: &mut BufferedSocket,
        told: &mut Vec<UpstreamEvent>,
    ) -> bool {
        if self.dequeue(attempt, conn, told) {
            return true;
        }
        let is_it = |s: &Stream| matches!(s, Stream::Attempt(sent) if sent.attempt == attempt);
        let Some((id, stream)) = self.open.iter_mut().find(|(_, s)| is_it(s)) else {
            return true;
        };
        let mut frame = Vec::new();
        resp::write_array(&mut frame, &[b"abort", id.as_bytes()]);
        if conn.output.free_space() < frame.len() {
            return false;
        }
        conn.output.push(&frame);
        if let Stream::Attempt(sent) = stream {
            let silent = self.last_heard < sent.at && self.last_heard + self.suspect_us < now;
            self.suspect |= silent;
        }
        let whole = conn.bytes_written + conn.output.len() as u64;
        *stream = Stream::GivenUp(
            now,
            Some(Unreported {
                attempt,
                whole,
                written: None,
            }),
        );
        true
    }

    /// Forgets what was given up or answered long enough ago.
    pub fn forget_old_streams(&mut self, now: Micros, limits: &Limits) {
        let old = |s: &Stream| match s {
            Stream::GivenUp(at, None) | Stream::Answered(at) => *at + limits.stream_memory_us < now,
            _ => false,
        };
        self.open.retain(|_, s| !old(s));
    }

    /// Takes back what is not written yet and would go to this box or be filled from it. False: some of it can't
    /// be kept from being written but by breaking the connection off.
    pub fn drain_server(
        &mut self,
        server: ServerId,
        conn: &mut BufferedSocket,
        request_table: &RequestTable,
        told: &mut Vec<UpstreamEvent>,
    ) -> bool {
        let to = self.server;
        let concerned = |attempt: AttemptId| {
            let source = request_table
                .attempt_spec(attempt)
                .and_then(|(_, s)| s.fill)
                .map(|f| f.source);
            to == server || source == Some(server)
        };
        self.queue.retain(|attempt| {
            let keep = !concerned(*attempt);
            if !keep {
                told.push(UpstreamEvent::AttemptEnded(
                    *attempt,
                    Outcome::NotSent.into(),
                ));
            }
            keep
        });
        let Some((attempt, alone)) = self.lying(conn).filter(|(attempt, _)| concerned(*attempt))
        else {
            return true;
        };
        if alone {
            self.take_out(attempt, conn);
            told.push(UpstreamEvent::AttemptEnded(
                attempt,
                Outcome::NotSent.into(),
            ));
        }
        alone
    }

    /// Reads what came in.
    pub fn read(
        &mut self,
        now: Micros,
        conn: &mut BufferedSocket,
        request_table: &RequestTable,
        told: &mut Vec<UpstreamEvent>,
    ) -> Result<(), ProtocolError> {
        while !conn.input.is_empty() {
            self.garbled = true;
            let (taken, array) = self.arrays.parse(conn.input.readable())?;
            conn.input.consume(taken);
            self.garbled = false;
            let since = self.half_since.filter(|_| array.is_none()).unwrap_or(now);
            self.half_since = self.arrays.has_partial_input().then_some(since);
            self.last_heard = now;
            self.suspect = false;
            let Some(array) = array else { continue };
            let mut items = array.into_iter();
            let (Some(id), Some(word)) = (items.next(), items.next()) else {
                self.garbled = true;
                return Err(ProtocolError::Malformed("a box's answer"));
            };
            let (fields, body) = (
                items.next().unwrap_or_default(),
                items.next().unwrap_or_default(),
            );
            let Ok(id) = std::str::from_utf8(&id) else {
                continue;
            };
            let old = matches!(self.open.get(id), Some(Stream::Attempt(sent)) if sent.is_too_old(&fields));
            if let Some(Stream::Attempt(sent)) = self.open.get_mut(id).filter(|_| old) {
                // The answer to the attempt before may have crossed the word that it is given up: that one is
                // over, and this one is still out.
                if std::mem::take(&mut sent.behind) {
                    log::info!(
                        "an answer from before the attempt that it would end was passed over"
                    );
                    continue;
                }
            }
            let stream = self.open.remove(id);
            match stream {
                Some(Stream::Attempt(Sent { attempt, .. })) if old => {
                    log::warn!("a box gave a copy from before what was asked for");
                    told.push(UpstreamEvent::AttemptEnded(attempt, Outcome::Error.into()));
                }
                // One that was given up: it came before the attempt was over, then this is how it ended.
                Some(
                    Stream::Attempt(Sent { attempt, .. })
                    | Stream::GivenUp(_, Some(Unreported { attempt, .. })),
                ) => {
                    let asked = request_table.attempt_spec(attempt).map(|s| s.0);
                    let ended = ended(&word, &fields, body, asked);
                    if ended.outcome != Outcome::Ok {
                        self.open.insert(id.to_owned(), Stream::Answered(now));
                    }
                    told.push(UpstreamEvent::AttemptEnded(attempt, ended));
                }
                Some(Stream::Probe(sent)) => {
                    let alive = matches!(word.as_slice(), b"alive" | b"status" | b"200");
                    let outcome = if alive { Outcome::Ok } else { Outcome::Error };
                    told.push(UpstreamEvent::ProbeEnded(
                        outcome,
                        now.saturating_sub(sent),
                        load(&fields),
                    ));
                }
                Some(Stream::Answered(at)) => {
                    self.open.insert(id.to_owned(), Stream::Answered(at));
                    log::debug!("a box answered a second time");
                }
                Some(Stream::GivenUp(_, None)) | None => {
                    log::debug!("a box answered what is not open")
                }
            }
        }
        Ok(())
    }

    /// The connection is over. What never arrived whole can't have run; the rest may have. Only one that never
    /// came up tells that its box can't be reached.
    pub fn close(self, up: bool, written: u64, told: &mut Vec<UpstreamEvent>) {
        let unsent = if up {
            Outcome::NotSent
        } else {
            Outcome::ConnectFailed
        };
        for attempt in self.queue {
            told.push(UpstreamEvent::AttemptEnded(attempt, unsent.into()));
        }
        let mut open: Vec<_> = self.open.into_iter().collect();
        open.sort_by(|a, b| a.0.cmp(&b.0));
        for (_, stream) in open {
            told.push(match stream {
                Stream::Attempt(sent) if sent.whole > written => {
                    UpstreamEvent::AttemptEnded(sent.attempt, unsent.into())
                }
                Stream::Attempt(sent) => {
                    UpstreamEvent::AttemptEnded(sent.attempt, Outcome::Reset.into())
                }
                Stream::GivenUp(_, Some(r)) => {
                    UpstreamEvent::AttemptEnded(r.attempt, Outcome::Cancelled.into())
                }
                Stream::GivenUp(_, None) | Stream::Answered(_) => continue,
                Stream::Probe(_) => UpstreamEvent::ProbeEnded(Outcome::Reset, 0, None),
            });
        }
    }
}
