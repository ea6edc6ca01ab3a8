//! Decodes the answers of cache servers.

use crate::protocol::{resp, ProtocolError};
use crate::request_table::{AttemptResult, ClientRequest, Content};
use edge_routing::{FillResult, LoadReport, Micros, Outcome};

/// The names of the protocol.
mod wire {
    use super::FillResult;

    pub(super) const SERVED: &[u8] = b"200";
    pub(super) const NOT_MODIFIED: &[u8] = b"304";
    pub(super) const MISS: &[u8] = b"404";
    pub(super) const FULL: &[u8] = b"503";
    pub(super) const EXPIRED: &[u8] = b"504";

    /// The status words of a probe's answer from a server that is well.
    pub(super) const ALIVE: [&[u8]; 3] = [b"alive", b"status", b"200"];

    // The fields of an answer.
    pub(super) const TAG: &str = "etag";
    pub(super) const MADE_MS: &str = "made";
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

/// A whole answer. Only its form is checked; unknown words and fields are read as absent.
pub(super) struct ServerAnswer {
    id: Vec<u8>,
    status: Vec<u8>,
    fields: Vec<u8>,
    body: Vec<u8>,
}

impl ServerAnswer {
    /// Splits an array into the parts of an answer. Fields and body may be missing, id and status
    /// may not.
    pub(super) fn from_array(array: Vec<Vec<u8>>) -> Result<Self, ProtocolError> {
        let mut items = array.into_iter();
        let (Some(id), Some(status)) = (items.next(), items.next()) else {
            return Err(ProtocolError::Malformed("a cache server's answer"));
        };
        Ok(ServerAnswer {
            id,
            status,
            fields: items.next().unwrap_or_default(),
            body: items.next().unwrap_or_default(),
        })
    }

    /// Takes out the id of the stream that it answers; none: no id that this proxy could have given.
    pub(super) fn take_id(&mut self) -> Option<String> {
        String::from_utf8(std::mem::take(&mut self.id)).ok()
    }

    /// When the origin gave out the copy, in Unix microseconds: the end of the millisecond that the
    /// answer names, so that no copy is taken for older than it is.
    pub(super) fn made_us(&self) -> Option<u64> {
        let made_ms: u64 = self.field(wire::MADE_MS)?.parse().ok()?;
        Some(made_ms.saturating_add(1).saturating_mul(1_000))
    }

    /// The report of the server's load, if the answer carries one.
    pub(super) fn load_report(&self) -> Option<LoadReport> {
        let stats = self.field(wire::LOAD)?;
        Some(LoadReport {
            cpu_utilization: statistic(stats, wire::CPU_UTILIZATION),
            in_flight: statistic(stats, wire::IN_FLIGHT),
            hit_ratio: statistic(stats, wire::HIT_RATIO),
            link_utilization: statistic(stats, wire::LINK_UTILIZATION),
        })
    }

    /// How a probe with this answer ended.
    pub(super) fn probe_outcome(&self) -> Outcome {
        if wire::ALIVE.contains(&self.status.as_slice()) {
            Outcome::Ok
        } else {
            Outcome::Error
        }
    }

    /// How an attempt with this answer ended. Without its request, which may be over, no answer can
    /// confirm the client's copy.
    pub(super) fn into_attempt_result(self, request: Option<&ClientRequest>) -> AttemptResult {
        let fill_result = self.fill_result();
        let fill_ttfb_us = self.fill_ttfb_us();
        let load = self.load_report();
        // The beginning of that millisecond, which is surely past.
        let copy_made_us = self.made_us().map(|made_us| made_us.saturating_sub(1_000));
        let failure = self.failure();
        let content = self.into_content(request);
        AttemptResult {
            outcome: if content.is_some() {
                Outcome::Ok
            } else {
                failure
            },
            fill_result,
            fill_ttfb_us,
            load,
            content,
            copy_made_us,
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

    /// The outcome of an answer without content.
    fn failure(&self) -> Outcome {
        match self.status.as_slice() {
            wire::MISS => Outcome::Miss,
            wire::FULL => Outcome::Rejected,
            wire::EXPIRED => Outcome::NotSent,
            // A status that the protocol does not name included: the request may have run.
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
            wire::NOT_MODIFIED if request.is_some_and(|request| self.confirms_copy(request)) => {
                Some(Content::Unchanged)
            }
            _ => None,
        }
    }

    /// Whether the answer names the very copy that the client holds: only then is that copy
    /// current.
    fn confirms_copy(&self, request: &ClientRequest) -> bool {
        request.client_copy_tag.is_some()
            && request.client_copy_tag.as_deref() == self.field(wire::TAG)
    }
}

/// The value of a name in a list `name:value;name:value`.
fn statistic(stats: &str, name: &str) -> Option<f64> {
    stats.split(';').find_map(|pair| {
        let (pair_name, value) = pair.split_once(':')?;
        if pair_name == name {
            value.parse().ok()
        } else {
            None
        }
    })
}
