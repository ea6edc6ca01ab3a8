//! Every size, count and time that bounds the proxy, in one type that is filled at the start.
//!
//! Names end in their unit: `_us` is microseconds, `_bytes` bytes, `_kb` KB. A field without a unit
//! is a count.

use edge_routing::Micros;

/// Bounds on what the proxy holds and waits for.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    // ---- File descriptors and connections ----
    /// File descriptors of the process.
    pub descriptors: usize,
    /// Connections from clients. The other descriptors are for cache servers, the event bus and the
    /// process itself.
    pub client_connections: usize,
    /// Connections of any kind: clients, cache servers, event bus, Consul, peer CDNs.
    pub connections: usize,
    /// Slots of the connection table that further connections to a cache server leave free, so that
    /// every server can get its first one.
    pub spare_connections: usize,
    /// How long to wait before accepting again after no descriptor was left.
    pub accept_retry_us: Micros,
    /// How long to wait before a step is tried again that failed for want of a descriptor, memory, a
    /// port or a route. Watching a socket is one.
    pub local_retry_us: Micros,
    /// An attempt for which no connection could be opened for such a reason is given up after this
    /// long.
    pub local_failure_patience_us: Micros,

    // ---- Client connections: how long they last ----
    /// How often a client connection is checked against the times below.
    pub client_sweep_us: Micros,
    /// A client connection that has sent no request, or none that is complete, is closed after this
    /// long.
    pub client_request_timeout_us: Micros,
    /// A client connection on which everything is answered is closed after this long: longer than
    /// usual clients keep one.
    pub client_idle_timeout_us: Micros,
    /// A client connection that takes none of its answers for this long is closed.
    pub client_write_timeout_us: Micros,
    /// After the writing side of a client connection is shut, input is read and dropped for this
    /// long: input that is under way at a close would make the kernel reset the connection and lose
    /// answers not yet received.
    pub lingering_close_us: Micros,
    /// Input that is dropped during a lingering close, at most.
    pub lingering_close_bytes: usize,
    /// A client connection is not closed to make room for another within this long of its last
    /// change: it may be about to be used.
    pub eviction_immunity_us: Micros,

    // ---- Requests of clients ----
    /// Requests open at a time.
    pub open_requests: usize,
    /// Requests open on one client connection.
    pub requests_per_client: usize,
    /// The same, once half of the request table is taken: one client must leave room for the
    /// others.
    pub requests_per_client_when_crowded: usize,
    /// Parameters of one request.
    pub params_bytes: usize,
    /// Body of one request.
    pub body_bytes: usize,
    /// Bodies of all open requests.
    pub total_body_bytes: usize,
    /// All requests that are partially received.
    pub partial_request_bytes: usize,
    /// A request that waited unread for longer than this has so much less time left, and what else
    /// its client has sent is read before it is admitted: it may be a cancellation.
    pub unread_tolerance_us: Micros,
    /// Reads of a client that was read late, at most, before its requests are admitted.
    pub late_reads: usize,
    /// The longest time that a client may say it waits for an answer.
    pub client_budget_us: Micros,
    /// The highest number of a part that a client may ask for.
    pub max_part: u64,
    /// The largest size of a part that a client may state.
    pub max_size_kb: f64,

    // ---- Answers to clients ----
    /// Answers of any kind that wait for one client to take them.
    pub unsent_answers_per_client: usize,
    /// Answers that wait for slow clients, over all connections.
    pub unsent_answer_bytes: usize,
    /// A final answer is sent this long before the client gives up, since it takes time to arrive.
    pub answer_lead_us: Micros,
    /// How often an open request is checked until its deadline. A check at the deadline alone would
    /// keep requests in memory that ended long before.
    pub deadline_sweep_us: Micros,
    /// The retry advice to a client whose request found the request table full.
    pub retry_after_us: Micros,

    // ---- Buffers ----
    /// Ring buffer of a connection for input.
    pub input_buffer_bytes: usize,
    /// Ring buffer of a connection for output.
    pub output_buffer_bytes: usize,
    /// A line of text, a header section, or the message head of a peer CDN.
    pub line_bytes: usize,

    // ---- Connections to cache servers ----
    /// Connections to one cache server.
    pub connections_per_server: usize,
    /// A further connection to a cache server is opened once the least used one has this many
    /// attempts in flight.
    pub attempts_before_new_connection: usize,
    /// Attempts in flight on one connection.
    pub attempts_per_connection: usize,
    /// A connection, of any kind that the proxy opens, must be established within this; one to the
    /// event bus stays open beside a further try.
    pub connect_timeout_us: Micros,
    /// A connection on which a cache server sends nothing for this long, while an answer is due,
    /// counts as unresponsive: the machine may be gone or cut off.
    pub unresponsive_after_us: Micros,
    /// A connection on which a cache server takes none of the output for this long is closed.
    pub server_write_timeout_us: Micros,
    /// Reads of what a cache server had sent before its connection broke, at most.
    pub reads_after_close: usize,

    // ---- Answers of cache servers ----
    /// Body of an answer.
    pub object_bytes: usize,
    /// An answer that has begun and brings nothing more for this long is incomplete.
    pub partial_answer_timeout_us: Micros,
    /// An answer that no request waits for may take this long: answers behind it on the connection
    /// have to wait.
    pub unawaited_answer_timeout_us: Micros,
    /// A cancelled attempt counts as ended this long after the cancellation was written, which
    /// takes time to arrive.
    pub cancel_settle_us: Micros,
    /// The id of a cancelled attempt is remembered on its connection for this long, to recognise a
    /// late answer.
    pub stream_memory_us: Micros,

    // ---- Discovery: event bus, Consul, purge gossip ----
    /// A whole endpoint list: a response of Consul, or an event of the event bus.
    pub endpoint_list_bytes: usize,
    /// An event bus connection on which nothing arrives for this long is replaced.
    pub event_bus_silence_us: Micros,
    /// How long to wait before connecting to the event bus or Consul again, after the first failure;
    /// at least half of that. The wait grows with further ones.
    pub reconnect_delay_us: Micros,
    /// The longest such wait. It is shorter than the grace period in which requests may still go to a
    /// server that drains: what is told in the moment in which a source is back is heard in time.
    pub max_reconnect_delay_us: Micros,
    /// A connection to the event bus that is slow to come up or to answer is kept open for this long
    /// beside the one that is tried meanwhile.
    pub event_bus_patience_us: Micros,
    /// Consul must answer a query within this, its wait for a change included.
    pub consul_timeout_us: Micros,
    /// How long to wait before a gossip datagram is repeated, since any of them may be lost.
    pub gossip_repeat_us: Micros,
    /// Purges that cache servers are not notified of and that therefore hold for good.
    pub permanent_purges: usize,
    /// How long to wait before purges are written to the purge log that could not be.
    pub purge_log_retry_us: Micros,

    // ---- Interconnect with peer CDNs ----
    /// Trigger status resources.
    pub triggers: usize,
    /// Notifications to peer CDNs in flight.
    pub notifications: usize,
    /// Attempts to deliver a notification.
    pub notification_attempts: u32,
    /// A peer CDN must have taken a notification within this.
    pub notification_timeout_us: Micros,

    // ---- Configuration ----
    /// How long to wait before a configuration that could not be read is read again.
    pub reload_retry_us: Micros,
    /// A configuration that can't be read for this long after SIGHUP is given up.
    pub reload_patience_us: Micros,

    // ---- Shutdown, counted from SIGTERM ----
    /// New connections and requests are taken for this long. A later request has too little time
    /// left before SIGKILL.
    pub shutdown_grace_us: Micros,
    /// Requests that are still open are answered at this time: the process may be killed right
    /// after.
    pub shutdown_deadline_us: Micros,

    // ---- Log ----
    /// Log lines a second on how requests went. A flood of requests must not fill the log.
    pub log_lines_per_s: u32,
}

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;
const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// A restart waits for deadlines of requests up to this.
const MAX_RESTART_DEADLINE_US: Micros = 3 * SECOND;
/// From SIGTERM to SIGKILL there is the longest deadline and this.
const RESTART_GRACE_US: Micros = 700 * MS;
/// The last answers are given this long before SIGKILL.
const KILL_LEAD_US: Micros = 50 * MS;

/// Descriptors that are neither in the connection table nor free: listeners, signals, files, and a
/// reserve.
const RESERVED_DESCRIPTORS: usize = 24;
/// Connections beyond those of clients that even the smallest machine has.
const MIN_OTHER_CONNECTIONS: usize = 16;
/// The memory that sizes are derived from on a machine that has less.
const MIN_MEMORY_MB: usize = 16;
/// Requests open at a time on a machine with enough memory.
const MAX_OPEN_REQUESTS: usize = 8192;
/// Memory of the machine for each open request.
const MEMORY_PER_OPEN_REQUEST_BYTES: usize = 16 * KIB;

/// The bounds of a machine with 1,024 descriptors and 192 MB. Those that depend on the machine are
/// replaced by [`Limits::for_machine`].
const DEFAULT_MACHINE: Limits = Limits {
    descriptors: 1024,
    client_connections: 614,
    connections: 1000,
    spare_connections: 16,
    accept_retry_us: 20 * MS,
    local_retry_us: 10 * MS,
    local_failure_patience_us: 500 * MS,

    client_sweep_us: 500 * MS,
    client_request_timeout_us: 2 * SECOND,
    client_idle_timeout_us: 5 * SECOND,
    client_write_timeout_us: 10 * SECOND,
    lingering_close_us: 500 * MS,
    lingering_close_bytes: 256 * KIB,
    eviction_immunity_us: 150 * MS,

    open_requests: MAX_OPEN_REQUESTS,
    requests_per_client: 32,
    requests_per_client_when_crowded: 4,
    params_bytes: 16 * KIB,
    body_bytes: 48_000,
    total_body_bytes: 48 * MIB,
    partial_request_bytes: 24 * MIB,
    unread_tolerance_us: 20 * MS,
    late_reads: 16,
    client_budget_us: 120 * SECOND,
    max_part: 65_535,
    max_size_kb: 1e6,

    unsent_answers_per_client: 256,
    unsent_answer_bytes: 48 * MIB,
    answer_lead_us: 10 * MS,
    deadline_sweep_us: SECOND,
    retry_after_us: 200 * MS,

    input_buffer_bytes: 16 * KIB,
    output_buffer_bytes: 64 * KIB,
    line_bytes: 64 * KIB,

    connections_per_server: 8,
    attempts_before_new_connection: 2,
    attempts_per_connection: 100,
    connect_timeout_us: 400 * MS,
    unresponsive_after_us: SECOND,
    server_write_timeout_us: 500 * MS,
    reads_after_close: 64,

    object_bytes: 512 * KIB,
    partial_answer_timeout_us: 150 * MS,
    unawaited_answer_timeout_us: SECOND,
    cancel_settle_us: 5 * MS,
    stream_memory_us: 5 * SECOND,

    endpoint_list_bytes: MIB,
    event_bus_silence_us: 2 * SECOND,
    reconnect_delay_us: 100 * MS,
    max_reconnect_delay_us: 240 * MS,
    event_bus_patience_us: 20 * SECOND,
    consul_timeout_us: 20 * SECOND,
    gossip_repeat_us: 40 * MS,
    permanent_purges: 20_000,
    purge_log_retry_us: 200 * MS,

    triggers: 1024,
    notifications: 64,
    notification_attempts: 3,
    notification_timeout_us: SECOND,

    reload_retry_us: 50 * MS,
    reload_patience_us: 10 * SECOND,

    shutdown_grace_us: 700 * MS,
    shutdown_deadline_us: MAX_RESTART_DEADLINE_US + RESTART_GRACE_US - KILL_LEAD_US,

    log_lines_per_s: 100,
};

impl Limits {
    /// The bounds that fit a machine with this many descriptors and MB of memory.
    pub fn for_machine(descriptors: usize, memory_mb: usize) -> Self {
        let client_connections = (descriptors.saturating_mul(3) / 5).max(1);
        let memory_bytes = memory_mb.max(MIN_MEMORY_MB).saturating_mul(MIB);
        Limits {
            descriptors,
            client_connections,
            connections: descriptors
                .saturating_sub(RESERVED_DESCRIPTORS)
                .max(client_connections + MIN_OTHER_CONNECTIONS),
            open_requests: MAX_OPEN_REQUESTS.min(memory_bytes / MEMORY_PER_OPEN_REQUEST_BYTES),
            total_body_bytes: memory_bytes / 4,
            partial_request_bytes: memory_bytes / 8,
            unsent_answer_bytes: memory_bytes / 4,
            ..DEFAULT_MACHINE
        }
    }

    /// When requests that are still open are answered after SIGTERM, given the longest deadline of
    /// all classes.
    pub fn shutdown_deadline_us(longest_deadline_us: Micros) -> Micros {
        longest_deadline_us.min(MAX_RESTART_DEADLINE_US) + RESTART_GRACE_US - KILL_LEAD_US
    }

    /// Whether a client connection may open one more request, where it has this many unanswered
    /// ones, the new one included. `crowded` says that half of the request table is taken.
    pub fn admits(&self, unanswered: usize, crowded: bool) -> bool {
        let most = if crowded {
            self.requests_per_client_when_crowded
        } else {
            self.requests_per_client
        };
        unanswered <= most
    }
}
