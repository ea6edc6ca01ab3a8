//! All sizes, counts and times that bound the proxy, in one type that is filled in at startup.
//!
//! The name of a field ends with its unit: `_us` for microseconds, `_bytes` for bytes, `_kb` for
//! KB. A field without a unit is a count.

use crate::memory::{self, ByteQueue};
use edge_routing::Micros;

/// Limits on the resources that the proxy uses and on the times that it waits. Counts and sizes are
/// maximums, unless their comments say otherwise.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    // ---- File descriptors and connections ----
    /// File descriptors that the process may open.
    pub file_descriptors: usize,
    /// Connections from clients. The other descriptors are left for cache servers, the event bus
    /// and the process itself.
    pub client_connections: usize,
    /// Connections in total: to clients, cache servers, the event bus, Consul and peer CDNs.
    pub connections: usize,
    /// Slots of the connection table that are reserved for the first connection to each cache
    /// server. Further connections to a server must leave this many slots free.
    pub spare_connections: usize,
    /// How long the proxy waits before it accepts connections again, after the connection table was
    /// full or accepting failed, for example for lack of a file descriptor.
    pub accept_retry_interval_us: Micros,
    /// How long the proxy waits before it retries a step that failed because no file descriptor,
    /// memory, port or route was available. An example of such a step is watching a socket.
    pub local_error_retry_interval_us: Micros,
    /// An attempt is abandoned if a full connection table or lack of file descriptors, memory,
    /// ports or routes has kept it from getting a connection for this long.
    pub local_error_timeout_us: Micros,

    // ---- Timeouts of client connections ----
    /// How often a client connection is checked for the timeouts below.
    pub client_check_interval_us: Micros,
    /// A client connection on which no complete request has arrived is closed after this long.
    pub client_request_timeout_us: Micros,
    /// A client connection whose requests are all answered is closed after this long. Ordinary
    /// clients close an idle connection earlier.
    pub client_idle_timeout_us: Micros,
    /// A client connection is closed if the client accepts no bytes of its answers for this long.
    pub client_write_timeout_us: Micros,
    /// After the writing half of a client connection is shut down, input is read and dropped for
    /// this long. Input that arrives after a close would make the kernel reset the connection,
    /// which loses answers that the client has not received yet.
    pub lingering_close_us: Micros,
    /// Input that is dropped during a lingering close before the connection is closed.
    pub lingering_close_bytes: usize,
    /// A client connection is not closed to make room for another until this long after its last
    /// change, because the client may be about to use it.
    pub eviction_grace_us: Micros,

    // ---- Requests of clients ----
    /// Pending requests in total, which are all requests in the request table.
    pub pending_requests: usize,
    /// Unanswered requests on one client connection.
    pub requests_per_client: usize,
    /// Unanswered requests on one client connection while the request table is at least half full,
    /// so that one client leaves room for the others.
    pub requests_per_client_when_half_full: usize,
    /// Size of the parameters of one request.
    pub params_bytes: usize,
    /// Size of the body of one request.
    pub body_bytes: usize,
    /// Size of a FastCGI record that is kept until it is complete, because it can only be handled as
    /// a whole. The content of all other records is handled as it arrives.
    pub collected_record_bytes: usize,
    /// If a request waited unread for longer than this, the wait is subtracted from its time limit,
    /// and the client's further input, which may contain a cancellation, is read before the request
    /// is admitted.
    pub unread_tolerance_us: Micros,
    /// Reads of the further input of a client whose request waited unread, before its requests are
    /// admitted.
    pub max_late_reads: usize,
    /// The longest time that a client may state as its time limit for an answer.
    pub max_client_timeout_us: Micros,
    /// The highest part number that a client may request.
    pub max_part_number: u64,
    /// The largest part size that a client may state.
    pub max_part_size_kb: f64,

    // ---- Answers to clients ----
    /// Answers of any kind that are queued for one client.
    pub unsent_answers_per_client: usize,
    /// A final answer is sent this long before the client's time limit, because it takes time to
    /// arrive.
    pub answer_lead_us: Micros,
    /// How often a pending request is checked before its deadline. With a check only at the
    /// deadline, requests that ended long before would stay in memory until then.
    pub deadline_check_interval_us: Micros,
    /// The Retry-After for a request that is rejected because the request table is full.
    pub retry_after_us: Micros,

    // ---- Memory ----
    /// Bytes of everything that the memory budget accounts for.
    pub memory_budget_bytes: usize,
    /// While a connection waits for memory, the proxy checks at least this often whether some is free.
    pub memory_retry_interval_us: Micros,
    /// While memory has run out, a client that has accepted no byte for this long loses the answers
    /// that it does not read.
    pub stalled_reader_us: Micros,

    // ---- Buffers ----
    /// Size of the input buffer of a connection.
    pub input_buffer_bytes: usize,
    /// Size of the output buffer of a connection.
    pub output_buffer_bytes: usize,
    /// Size of a line of text, a header section, or the message head of a peer CDN.
    pub line_bytes: usize,

    // ---- Connections to cache servers ----
    /// Connections to one cache server.
    pub connections_per_server: usize,
    /// A further connection to a cache server is opened once its least used connection has this
    /// many outstanding attempts, which are queued or in flight.
    pub attempts_before_new_connection: usize,
    /// Outstanding attempts on one connection.
    pub attempts_per_connection: usize,
    /// An outgoing connection of any kind must be established within this time. Only a connection
    /// to the event bus stays open for longer, in parallel with a new one.
    pub connect_timeout_us: Micros,
    /// A connection to a cache server counts as unresponsive if nothing arrives on it for this long
    /// although an answer is expected. The machine may be down or unreachable.
    pub unresponsive_after_us: Micros,
    /// A connection is closed if the cache server accepts no bytes of the output for this long.
    pub server_write_timeout_us: Micros,
    /// Reads of the remaining input from a cache server after its connection broke.
    pub max_reads_after_close: usize,

    // ---- Answers of cache servers ----
    /// Reads in a row to find out what follows an answer, before other connections get their turn.
    pub max_reads_behind_answer: usize,
    /// Size of the body of an answer.
    pub answer_body_bytes: usize,
    /// A partially received answer counts as incomplete if nothing more arrives for this long.
    pub partial_answer_timeout_us: Micros,
    /// An answer that no request waits for may take this long. It delays the answers behind it on
    /// the connection.
    pub unawaited_answer_timeout_us: Micros,
    /// A cancelled attempt counts as ended this long after the cancellation was written, because
    /// the cancellation takes time to arrive.
    pub cancellation_report_delay_us: Micros,
    /// The id of a cancelled or answered attempt is remembered on its connection for this long, to
    /// recognise a late answer.
    pub stream_retention_us: Micros,
    /// Ids of cancelled or answered attempts that are remembered on all connections together.
    pub ended_streams: usize,

    // ---- Discovery by event bus, Consul and purge gossip ----
    /// Size of a whole endpoint list, in a response from Consul or an event from the event bus.
    pub endpoint_list_bytes: usize,
    /// An event bus connection on which nothing arrives for this long is replaced.
    pub event_bus_idle_timeout_us: Micros,
    /// The delay before the proxy reconnects to the event bus or queries Consul again after a first
    /// failure. Jitter shortens a delay by up to half. The delay doubles with each further failure.
    pub reconnect_delay_us: Micros,
    /// The maximum delay before the proxy reconnects to the event bus or queries Consul again. It
    /// is shorter than the grace period in which requests may still be sent to a draining server,
    /// so that updates are received in time if they are published as soon as a source recovers.
    pub max_reconnect_delay_us: Micros,
    /// A connection to the event bus that is slow to be established or to respond is kept open for
    /// this long, in parallel with a new connection.
    pub event_bus_response_timeout_us: Micros,
    /// Consul must respond to a query within this time, which includes its wait for a change.
    pub consul_timeout_us: Micros,
    /// The delay before a gossip datagram is repeated, because any datagram may be lost. Also the
    /// base of the backoff between attempts to deliver a notification to a peer CDN.
    pub gossip_repeat_delay_us: Micros,
    /// Purges that are enforced for as long as the proxy runs, because cache servers are not
    /// notified of them.
    pub permanent_purges: usize,
    /// The delay before the proxy retries writing to the purge log after a failure.
    pub purge_log_retry_interval_us: Micros,

    // ---- Interconnect with peer CDNs ----
    /// Number of trigger status resources.
    pub triggers: usize,
    /// Notifications to peer CDNs in flight.
    pub notifications: usize,
    /// Attempts to deliver one notification.
    pub notification_attempts: u32,
    /// A peer CDN must accept a notification within this time.
    pub notification_timeout_us: Micros,

    // ---- Configuration ----
    /// The delay before a configuration that could not be read is read again.
    pub reload_retry_interval_us: Micros,
    /// A reload is abandoned if the configuration can't be read for this long after SIGHUP.
    pub reload_timeout_us: Micros,

    // ---- Shutdown: times since SIGTERM ----
    /// New connections and requests are accepted for this long. A later request would have too
    /// little time left before SIGKILL.
    pub shutdown_grace_us: Micros,
    /// Requests that are still unsettled at this time are answered as failed at once, because the
    /// process may be killed right after.
    pub shutdown_deadline_us: Micros,

    // ---- Log ----
    /// Log lines per second about the outcomes of requests. The limit keeps a flood of requests
    /// from filling the log.
    pub log_lines_per_s: u32,
}

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;
const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// A restart waits for the deadlines of unsettled requests up to this length.
const MAX_RESTART_DEADLINE_US: Micros = 3 * SECOND;
/// SIGKILL follows SIGTERM after the longest request deadline and this time.
const RESTART_GRACE_US: Micros = 700 * MILLISECOND;
/// The last answers are sent this long before SIGKILL.
const KILL_LEAD_US: Micros = 50 * MILLISECOND;

/// File descriptors outside the connection table, for listeners, signals and files, with a reserve.
const RESERVED_FILE_DESCRIPTORS: usize = 24;
/// Number of connections other than to clients that even the smallest machine allows.
const MIN_OTHER_CONNECTIONS: usize = 16;
/// Limits are derived from at least this much memory, even on a machine that has less.
const MIN_MEMORY_MB: usize = 16;
/// Limit of pending requests on a machine with enough memory.
const MAX_PENDING_REQUESTS: usize = 8192;
/// The machine must have this much memory for each pending request.
const MEMORY_PER_PENDING_REQUEST_BYTES: usize = 16 * KIB;

/// The limits of a machine with 1,024 file descriptors and 192 MB of memory.
/// [`Limits::for_machine`] replaces those that depend on the machine.
const DEFAULT_LIMITS: Limits = Limits {
    file_descriptors: 1024,
    client_connections: 614,
    connections: 1000,
    spare_connections: 16,
    accept_retry_interval_us: 20 * MILLISECOND,
    local_error_retry_interval_us: 10 * MILLISECOND,
    local_error_timeout_us: 500 * MILLISECOND,

    client_check_interval_us: 500 * MILLISECOND,
    client_request_timeout_us: 2 * SECOND,
    client_idle_timeout_us: 5 * SECOND,
    client_write_timeout_us: 10 * SECOND,
    lingering_close_us: 500 * MILLISECOND,
    lingering_close_bytes: 256 * KIB,
    eviction_grace_us: 150 * MILLISECOND,

    pending_requests: MAX_PENDING_REQUESTS,
    requests_per_client: 32,
    requests_per_client_when_half_full: 4,
    params_bytes: 16 * KIB,
    body_bytes: 48_000,
    collected_record_bytes: KIB,
    unread_tolerance_us: 20 * MILLISECOND,
    max_late_reads: 16,
    max_client_timeout_us: 120 * SECOND,
    max_part_number: 65_535,
    max_part_size_kb: 1e6,

    unsent_answers_per_client: 256,
    answer_lead_us: 10 * MILLISECOND,
    deadline_check_interval_us: SECOND,
    retry_after_us: 200 * MILLISECOND,

    memory_budget_bytes: 160 * MIB,
    memory_retry_interval_us: 10 * MILLISECOND,
    stalled_reader_us: memory::STALLED_READER_US,

    input_buffer_bytes: ByteQueue::usable_bytes(16 * KIB),
    output_buffer_bytes: 64 * KIB,
    line_bytes: 64 * KIB,

    connections_per_server: 8,
    attempts_before_new_connection: 2,
    attempts_per_connection: 100,
    connect_timeout_us: 400 * MILLISECOND,
    unresponsive_after_us: SECOND,
    server_write_timeout_us: 500 * MILLISECOND,
    max_reads_after_close: 64,

    max_reads_behind_answer: 4,
    answer_body_bytes: 512 * KIB,
    partial_answer_timeout_us: 150 * MILLISECOND,
    unawaited_answer_timeout_us: SECOND,
    cancellation_report_delay_us: 5 * MILLISECOND,
    stream_retention_us: 5 * SECOND,
    ended_streams: 24 * MIB / memory::ENDED_STREAM_BYTES,

    endpoint_list_bytes: MIB,
    event_bus_idle_timeout_us: 2 * SECOND,
    reconnect_delay_us: 100 * MILLISECOND,
    max_reconnect_delay_us: 240 * MILLISECOND,
    event_bus_response_timeout_us: 20 * SECOND,
    consul_timeout_us: 20 * SECOND,
    gossip_repeat_delay_us: 40 * MILLISECOND,
    permanent_purges: 20_000,
    purge_log_retry_interval_us: 200 * MILLISECOND,

    triggers: 1024,
    notifications: 64,
    notification_attempts: 3,
    notification_timeout_us: SECOND,

    reload_retry_interval_us: 50 * MILLISECOND,
    reload_timeout_us: 10 * SECOND,

    shutdown_grace_us: 700 * MILLISECOND,
    shutdown_deadline_us: MAX_RESTART_DEADLINE_US + RESTART_GRACE_US - KILL_LEAD_US,

    log_lines_per_s: 100,
};

impl Limits {
    /// Returns the limits of a machine with this many file descriptors and MB of memory.
    pub fn for_machine(file_descriptors: usize, memory_mb: usize) -> Self {
        let client_connections = (file_descriptors.saturating_mul(3) / 5).max(1);
        let memory_bytes = memory_mb.max(MIN_MEMORY_MB).saturating_mul(MIB);
        Limits {
            file_descriptors,
            client_connections,
            connections: file_descriptors
                .saturating_sub(RESERVED_FILE_DESCRIPTORS)
                .max(client_connections + MIN_OTHER_CONNECTIONS),
            pending_requests: MAX_PENDING_REQUESTS
                .min(memory_bytes / MEMORY_PER_PENDING_REQUEST_BYTES),
            memory_budget_bytes: memory::budget_for_machine(memory_bytes),
            ended_streams: memory_bytes / 8 / memory::ENDED_STREAM_BYTES,
            ..DEFAULT_LIMITS
        }
    }

    /// Returns how long after SIGTERM the requests that are still unsettled are answered, given the
    /// longest deadline of all classes.
    pub fn shutdown_deadline_us(longest_deadline_us: Micros) -> Micros {
        longest_deadline_us.min(MAX_RESTART_DEADLINE_US) + RESTART_GRACE_US - KILL_LEAD_US
    }

    /// Returns whether a client connection may have `unanswered` requests without an answer.
    /// `is_table_half_full` says whether at least half of the request table is in use.
    pub fn allows_unanswered_requests(&self, unanswered: usize, is_table_half_full: bool) -> bool {
        let limit = if is_table_half_full {
            self.requests_per_client_when_half_full
        } else {
            self.requests_per_client
        };
        unanswered <= limit
    }
}
