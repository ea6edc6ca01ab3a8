//! Encodes the commands to cache servers: `fetch`, `abort` and `stats`.

use crate::memory::ByteQueue;
use crate::net::SocketBuffer;
use crate::protocol::resp;
use crate::request_table::{AttemptSpec, ClientRequest, RequestTable};
use edge_routing::{Fill, Micros};

/// The names used in the protocol.
mod wire {
    pub(super) const FETCH: &[u8] = b"fetch";
    pub(super) const ABORT: &[u8] = b"abort";
    pub(super) const STATS: &[u8] = b"stats";

    // The fields of `fetch`, in the order in which they are written.
    pub(super) const CLASS: &str = "class";
    pub(super) const OBJECT: &str = "key";
    pub(super) const PART: &str = "part";
    pub(super) const WAIT_MS: &str = "wait";
    pub(super) const IDEMPOTENCY_KEY: &str = "once";
    pub(super) const FILL_SOURCE: &str = "src";
    pub(super) const RETENTION_RANK: &str = "keep";
    pub(super) const MAX_AGE_MS: &str = "maxage";
    pub(super) const FLAGS: &str = "flags";
    pub(super) const CLIENT_TAG: &str = "have";

    // The words of the field `flags`, in the order in which they are written.
    pub(super) const COALESCE: &str = "wait-for";
    pub(super) const ONLY_IF_CACHED: &str = "no-fetch";
    pub(super) const PARENT_NO_STORE: &str = "no-keep";
    pub(super) const BACKGROUND_REFRESH: &str = "background";
}

/// Initial capacity for the fields of a command. It is their usual length, so that one allocation
/// is usually enough.
const INITIAL_FIELDS_CAPACITY_BYTES: usize = 128;
/// Space reserved in a command for the encoding overhead of each string, so that one allocation is
/// enough.
const STRING_OVERHEAD_BYTES: usize = 16;

/// A list of fields in the form `name=value,name=value`.
struct Fields {
    text: String,
}

impl Fields {
    fn new() -> Self {
        Fields {
            text: String::with_capacity(INITIAL_FIELDS_CAPACITY_BYTES),
        }
    }

    fn add(&mut self, name: &str, value: &str) {
        if !self.text.is_empty() {
            self.text.push(',');
        }
        self.text.extend([name, "=", value]);
    }
}

/// Number of strings in the command that starts an attempt.
const FETCH_STRINGS: usize = 4;

/// The encoded command that starts an attempt. The body of the request is not copied before it is
/// written.
pub(super) struct FetchCommand<'a> {
    /// Everything before the bytes of the body.
    head: Vec<u8>,
    body: &'a ByteQueue,
}

impl FetchCommand<'_> {
    /// Returns the length of the command in bytes.
    pub(super) fn len(&self) -> usize {
        self.head.len() + self.body.len() + resp::LINE_END.len()
    }

    /// Writes the command to an output buffer that has room for it.
    pub(super) fn write_to(&self, output: &mut SocketBuffer) {
        output.push(&self.head);
        for slice in self.body.slices() {
            output.push(slice);
        }
        output.push(resp::LINE_END);
    }
}

/// Encodes the command that starts an attempt. Returns `None` if the fill source is no longer on
/// the endpoint list.
pub(super) fn encode_fetch<'a>(
    now: Micros,
    request: &'a ClientRequest,
    spec: &AttemptSpec,
    request_table: &RequestTable,
) -> Option<FetchCommand<'a>> {
    let mut fields = Fields::new();
    fields.add(wire::CLASS, &request.class);
    fields.add(wire::OBJECT, &request.object);
    fields.add(wire::PART, &request.part.to_string());
    fields.add(wire::WAIT_MS, &answer_timeout_ms(now, spec).to_string());
    if let Some(idempotency_key) = &request.idempotency_key {
        fields.add(wire::IDEMPOTENCY_KEY, idempotency_key);
    }
    if let Some(fill) = &spec.fill {
        if fill.source != spec.server {
            let source = request_table.server_address(fill.source)?.wire_id;
            fields.add(wire::FILL_SOURCE, source);
        }
        add_fill(&mut fields, fill, spec.max_age_us);
    }
    if let Some(tag) = &request.client_copy_tag {
        fields.add(wire::CLIENT_TAG, tag);
    }
    let items = [wire::FETCH, request.id.as_bytes(), fields.text.as_bytes()];
    let mut head = Vec::with_capacity(encoded_bytes(&items));
    resp::write_array_length(&mut head, FETCH_STRINGS);
    for item in items {
        resp::write_string(&mut head, item);
    }
    resp::write_string_length(&mut head, request.body.len());
    Some(FetchCommand {
        head,
        body: &request.body,
    })
}

/// Encodes the command that cancels the request with this id. The server does not answer it.
pub(super) fn encode_abort(id: &str) -> Vec<u8> {
    encode(&[wire::ABORT, id.as_bytes()])
}

/// Encodes the command that probes a server. The server answers it under the same id.
pub(super) fn encode_stats(id: &str) -> Vec<u8> {
    encode(&[wire::STATS, id.as_bytes()])
}

/// Returns how long the proxy waits for the answer, in milliseconds. The result is at least 1.
fn answer_timeout_ms(now: Micros, spec: &AttemptSpec) -> u64 {
    let wait_us = spec.deadline.saturating_sub(now);
    (wait_us / 1000).max(1)
}

fn add_fill(fields: &mut Fields, fill: &Fill, max_age_us: Option<Micros>) {
    if fill.retention_rank > 0 {
        fields.add(wire::RETENTION_RANK, &fill.retention_rank.to_string());
    }
    if let Some(max_age_us) = max_age_us {
        // Rounded down, so that no copy from before a purge is accepted. 0 would select the
        // freshness lifetime of the class.
        let max_age_ms = (max_age_us / 1000).max(1);
        fields.add(wire::MAX_AGE_MS, &max_age_ms.to_string());
    }
    let flags = flags(fill);
    if !flags.is_empty() {
        fields.add(wire::FLAGS, &flags.join("+"));
    }
}

fn flags(fill: &Fill) -> Vec<&'static str> {
    let flags = [
        (fill.coalesce, wire::COALESCE),
        (fill.only_if_cached, wire::ONLY_IF_CACHED),
        (fill.parent_no_store, wire::PARENT_NO_STORE),
        (fill.background_refresh, wire::BACKGROUND_REFRESH),
    ];
    let set = flags.into_iter().filter(|(is_set, _)| *is_set);
    set.map(|(_, word)| word).collect()
}

/// Returns the length, at most, of an array with these strings and the beginning of another one.
fn encoded_bytes(items: &[&[u8]]) -> usize {
    let content_bytes: usize = items.iter().map(|item| item.len()).sum();
    content_bytes + (items.len() + 2) * STRING_OVERHEAD_BYTES
}

fn encode(items: &[&[u8]]) -> Vec<u8> {
    let mut command = Vec::with_capacity(encoded_bytes(items));
    resp::write_array(&mut command, items);
    command
}
