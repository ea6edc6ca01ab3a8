//! Decodes the answers of cache servers.

use crate::memory::ByteQueue;
use crate::protocol::{resp, ProtocolError};
use crate::request_table::{AttemptResult, ClientRequest, Content};
use edge_routing::{FillResult, LoadReport, Micros, Outcome};

/// Number of strings in an answer: the id, the status, the fields and the body.
pub(super) const ANSWER_STRINGS: usize = 4;
/// Index of the body among the strings of an answer.
pub(super) const BODY_INDEX: usize = 3;

/// The names used in the protocol.
mod wire {
    use super::FillResult;

    pub(super) const SERVED: &[u8] = b"200";
    pub(super) const NOT_MODIFIED: &[u8] = b"304";
    pub(super) const MISS: &[u8] = b"404";
    pub(super) const OVERLOADED: &[u8] = b"503";
    pub(super) const DEADLINE_PASSED: &[u8] = b"504";

    /// The statuses with which a healthy server answers a probe.
    pub(super) const HEALTHY_STATUSES: [&[u8]; 3] = [b"alive", b"status", b"200"];

    // The fields of an answer.
    pub(super) const TAG: &str = "etag";
    pub(super) const CREATED_MS: &str = "made";
    pub(super) const FILL_RESULT: &str = "how";
    pub(super) const FILL_TTFB_MS: &str = "ttfb";
    pub(super) const LOAD: &str = "stats";

    /// The words of the field `how`.
    pub(super) const FILL_RESULTS: [(&str, FillResult); 10] = [
        ("local", FillResult::Hit),
        ("pulled", FillResult::Filled),
        ("pulled_far", FillResult::FilledFromOrigin),
        ("rode", FillResult::Coalesced),
        ("expired", FillResult::Stale),
        ("turned_away", FillResult::SourceRejected),
        ("cut_off", FillResult::SourceUnreachable),
        ("not_there", FillResult::SourceMiss),
        ("no_place", FillResult::NoFillSlot),
        ("far_fault", FillResult::OriginFailed),
    ];

    // The names in the field `stats`.
    pub(super) const CPU_UTILIZATION: &str = "util";
    pub(super) const IN_FLIGHT: &str = "inflight";
    pub(super) const HIT_RATIO: &str = "x0";
    pub(super) const LINK_UTILIZATION: &str = "x1";
}

/// A complete answer. Unknown words and fields count as absent. The fields that describe a copy are
/// checked by [`check_copy`](Self::check_copy).
pub(super) struct ServerAnswer {
    id: Vec<u8>,
    status: Vec<u8>,
    fields: Vec<u8>,
    body: ByteQueue,
    /// Whether the body was not kept, because no client waited for it. It is then empty.
    is_body_discarded: bool,
}

impl ServerAnswer {
    /// Splits an array into the parts of an answer. An array with another number of strings than
    /// [`ANSWER_STRINGS`] is an error: in place of a part that is missing, none may be assumed.
    pub(super) fn from_array(array: resp::Array) -> Result<Self, ProtocolError> {
        let strings: [ByteQueue; ANSWER_STRINGS] = array
            .strings
            .try_into()
            .map_err(|_| ProtocolError::Malformed("a cache server's answer"))?;
        let [id, status, fields, body] = strings;
        Ok(ServerAnswer {
            id: id.to_vec(),
            status: status.to_vec(),
            fields: fields.to_vec(),
            body,
            is_body_discarded: array.has_discarded_string,
        })
    }

    /// Returns the id of the answered stream. Returns `None` if it is not valid UTF-8, because this
    /// proxy sends no such id.
    pub(super) fn id(&self) -> Option<&str> {
        std::str::from_utf8(&self.id).ok()
    }

    /// Returns whether the body was not kept, so that the answer has no content.
    pub(super) fn is_body_discarded(&self) -> bool {
        self.is_body_discarded
    }

    /// Returns the memory of the body.
    pub(super) fn body_allocated_bytes(&self) -> usize {
        self.body.allocated_bytes()
    }

    /// Returns whether the body of the answer is passed on to a client. The other answers mean the
    /// same whatever their body is.
    pub(super) fn passes_on_body(&self) -> bool {
        self.status == wire::SERVED
    }

    /// Checks the content of an answer to an attempt whose class leaves copies: it names the tag of
    /// its copy and when the copy was created, and the confirmation of a client's copy has no body.
    /// Without its creation time, a copy from before a purge could not be recognized. Answers
    /// without content are not checked.
    pub(super) fn check_copy(&self) -> Result<(), ProtocolError> {
        let confirms_copy = self.status == wire::NOT_MODIFIED;
        if self.status != wire::SERVED && !confirms_copy {
            return Ok(());
        }
        let has_tag = self.field(wire::TAG).is_some_and(|tag| !tag.is_empty());
        if !has_tag || self.copy_created_by_us().is_none() {
            return Err(ProtocolError::Malformed(
                "a cache server's answer (expected the tag and the creation time of the copy)",
            ));
        }
        if confirms_copy && (!self.body.is_empty() || self.is_body_discarded) {
            return Err(ProtocolError::Malformed(
                "a cache server's answer (expected no body with a confirmed copy)",
            ));
        }
        Ok(())
    }

    /// Returns the latest time at which the copy can have been created, which is when the origin
    /// sent it out, in Unix microseconds. This is the end of the millisecond in the answer, so that
    /// no copy is considered older than it is. Returns `None` if the answer does not name the
    /// millisecond.
    pub(super) fn copy_created_by_us(&self) -> Option<u64> {
        let created_ms: u64 = self.field(wire::CREATED_MS)?.parse().ok()?;
        Some(created_ms.saturating_add(1).saturating_mul(1_000))
    }

    /// Returns the server's load report, if the answer carries one.
    pub(super) fn load_report(&self) -> Option<LoadReport> {
        let stats = self.field(wire::LOAD)?;
        Some(LoadReport {
            cpu_utilization: load_value(stats, wire::CPU_UTILIZATION),
            in_flight: load_value(stats, wire::IN_FLIGHT),
            hit_ratio: load_value(stats, wire::HIT_RATIO),
            link_utilization: load_value(stats, wire::LINK_UTILIZATION),
        })
    }

    /// Returns the outcome of a probe that got this answer.
    pub(super) fn probe_outcome(&self) -> Outcome {
        if wire::HEALTHY_STATUSES.contains(&self.status.as_slice()) {
            Outcome::Ok
        } else {
            Outcome::Error
        }
    }

    /// Converts the answer to the result of its attempt. `request` is `None` if the attempt is no
    /// longer in flight; the answer then can't confirm the client's copy.
    pub(super) fn into_attempt_result(self, request: Option<&ClientRequest>) -> AttemptResult {
        let fill_result = self.fill_result();
        let fill_ttfb_us = self.fill_ttfb_us();
        let load = self.load_report();
        // The beginning of the millisecond in the answer, which is certainly in the past.
        let copy_created_at_us = self
            .copy_created_by_us()
            .map(|created_by_us| created_by_us.saturating_sub(1_000));
        let failure_outcome = self.failure_outcome();
        let content = self.into_content(request);
        AttemptResult {
            outcome: if content.is_some() {
                Outcome::Ok
            } else {
                failure_outcome
            },
            fill_result,
            fill_ttfb_us,
            load,
            content,
            copy_created_at_us,
        }
    }

    fn field(&self, name: &str) -> Option<&str> {
        resp::field_value(&self.fields, name)
    }

    fn fill_result(&self) -> FillResult {
        let word = self.field(wire::FILL_RESULT);
        let known = wire::FILL_RESULTS
            .into_iter()
            .find(|(name, _)| word == Some(*name));
        known.map_or(FillResult::Unknown, |(_, result)| result)
    }

    fn fill_ttfb_us(&self) -> Micros {
        let milliseconds = self
            .field(wire::FILL_TTFB_MS)
            .and_then(|text| text.parse::<f64>().ok())
            .unwrap_or(0.0);
        (milliseconds.max(0.0) * 1e3) as Micros
    }

    /// Returns the outcome of an answer without content.
    fn failure_outcome(&self) -> Outcome {
        match self.status.as_slice() {
            wire::MISS => Outcome::Miss,
            wire::OVERLOADED => Outcome::Rejected,
            wire::DEADLINE_PASSED => Outcome::NotSent,
            // Any other status, including one that the protocol does not define: the request may
            // have run.
            _ => Outcome::Error,
        }
    }

    fn into_content(self, request: Option<&ClientRequest>) -> Option<Content> {
        match self.status.as_slice() {
            wire::SERVED => {
                let tag = self.field(wire::TAG).map(str::to_owned);
                let bytes = self.body;
                Some(Content::Object { bytes, tag })
            }
            wire::NOT_MODIFIED
                if request.is_some_and(|request| self.confirms_client_copy(request)) =>
            {
                Some(Content::NotModified)
            }
            _ => None,
        }
    }

    /// Returns whether the answer names exactly the copy that the client holds. Only then is the
    /// client's copy current.
    fn confirms_client_copy(&self, request: &ClientRequest) -> bool {
        request.client_copy_tag.is_some()
            && request.client_copy_tag.as_deref() == self.field(wire::TAG)
    }
}

/// Returns the value of a name in a list of the form `name:value;name:value`.
fn load_value(stats: &str, name: &str) -> Option<f64> {
    stats.split(';').find_map(|pair| {
        let (pair_name, value) = pair.split_once(':')?;
        if pair_name == name {
            value.parse().ok()
        } else {
            None
        }
    })
}
