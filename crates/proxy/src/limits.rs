//! Every size, count and time that bounds the daemon, in one type that is filled at the start.

/// Bounds on what the daemon holds and waits for. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// File descriptors in all.
    pub descriptors: usize,
    /// Connections from clients.
    pub client_connections: usize,
    /// Connections in all: clients, boxes, the bus and the rest.
    pub connections: usize,
    /// Connections to one box.
    pub connections_per_server: usize,
    /// A further connection to a box is begun once the least used one has so many attempts.
    pub attempts_before_new_connection: usize,
    /// Places for connections that are left free by those.
    pub spare_connections: usize,
    /// Attempts that share one connection to a box.
    pub attempts_per_connection: usize,
    /// Requests open at a time.
    pub open_requests: usize,
    /// Requests open on one client connection.
    pub requests_per_client: usize,
    /// The same once half of the table is taken.
    pub requests_per_client_when_crowded: usize,
    /// Answers, of any kind, that wait for one client to take them.
    pub unsent_answers_per_client: usize,
    /// Bytes of a request's parameters.
    pub params_bytes: usize,
    /// Bytes of the bodies of all open requests.
    pub total_body_bytes: usize,
    /// Bytes of all requests that have come in part.
    pub partial_request_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// The longest time that a client may say it waits.
    pub client_budget_us: u64,
    /// The highest part of an object.
    pub max_part: u64,
    /// The largest size of a part that a client may tell, in KB.
    pub max_size_kb: f64,
    /// Bytes of an answer's body.
    pub object_bytes: usize,
    /// Bytes of all answers that wait for slow readers.
    pub unsent_answer_bytes: usize,
    /// Bytes of a connection's ring for what comes in.
    pub input_buffer_bytes: usize,
    /// Bytes of a connection's ring for what goes out.
    pub output_buffer_bytes: usize,
    /// Reads of what a box had sent before its connection broke, at the most.
    pub reads_after_close: usize,
    /// Bytes of one line or event of text.
    pub line_bytes: usize,
    /// Bytes of a whole list of boxes: one answer of Consul, or one event of the bus.
    pub endpoint_list_bytes: usize,
    /// Purges that hold for good.
    pub permanent_purges: usize,
    /// Trigger status resources.
    pub triggers: usize,
    /// Payloads on their way to neighbours.
    pub notifications: usize,
    /// How often a payload to a neighbour is tried.
    pub notification_attempts: u32,
    /// A neighbour must have taken a payload within this.
    pub notification_timeout_us: u64,
    /// Consul must answer a query within this, its own waiting included.
    pub consul_timeout_us: u64,
    /// Wait between the datagrams that repeat a purge to the peers: any of them may be lost.
    pub gossip_repeat_us: u64,
    /// When a client comes back that a full table turned away.
    pub retry_after_us: u64,
    /// A connection must be up within this.
    pub connect_timeout_us: u64,
    /// A final answer leaves this long before the client gives up: it has a way to go.
    pub answer_lead_us: u64,
    /// An event bus that says nothing for so long is called again.
    pub event_bus_silence_us: u64,
    /// Wait before the event bus is called again.
    pub reconnect_delay_us: u64,
    /// After SIGTERM, new connections and requests are taken for so long: the protocol leaves a request that comes
    /// later no time to be answered before SIGKILL.
    pub shutdown_grace_us: u64,
    /// A request is looked at this often until its time is up: were it once only, what is long over would be
    /// remembered until then.
    pub deadline_sweep_us: u64,
    /// After SIGTERM, what is still open is answered at this time: the process may be killed right after.
    pub shutdown_deadline_us: u64,
    /// Wait before accepting again where no descriptor was left.
    pub accept_retry_us: u64,
    /// A client's connection that has asked for nothing, or for a request that does not become whole, is ended
    /// after so long.
    pub client_request_timeout_us: u64,
    /// A client's connection on which all is answered is ended after so long: longer than usual clients keep one.
    pub client_idle_timeout_us: u64,
    /// A client that takes none of its answers for so long is ended.
    pub client_write_timeout_us: u64,
    /// A client's connection whose writing side is shut is read, and what comes passed over, for so long: what
    /// crosses the end must not reset away what was written before it.
    pub lingering_close_us: u64,
    /// Bytes that are passed over there at the most.
    pub lingering_close_bytes: usize,
    /// How often a client's connection is looked at.
    pub client_sweep_us: u64,
    /// A client's connection makes no room for another in the first moments of being as it is.
    pub eviction_immunity_us: u64,
    /// An attempt that was given up is over so long after the word of it was written: it has a way to go.
    pub cancel_settle_us: u64,
    /// An answer from a box that has begun and brings nothing more for so long has stopped short.
    pub partial_answer_timeout_us: u64,
    /// An answer that nobody waits for may be under way for so long: what comes behind it has to wait.
    pub unawaited_answer_timeout_us: u64,
    /// What was given up on a connection is remembered there for so long.
    pub stream_memory_us: u64,
    /// A connection to a box that says nothing for so long, while it is asked, may lead nowhere any more.
    pub unresponsive_after_us: u64,
    /// A connection to a box that takes none of what is written for so long is broken off.
    pub server_write_timeout_us: u64,
    /// Lines a second on how requests went: a flood must not fill the log.
    pub log_lines_per_s: u32,
}

/// The longest deadline that a planned restart waits for, and how much longer it waits.
const RESTART_US: (u64, u64) = (3_000_000, 700_000);
/// An answer at the end is given so long before the process may be killed.
const KILL_AHEAD_US: u64 = 50_000;

impl Limits {
    /// The deadline of the shutdown, from SIGTERM, where this is the longest one of all classes.
    pub fn shutdown_deadline_us(longest_deadline_us: u64) -> u64 {
        longest_deadline_us.min(RESTART_US.0) + RESTART_US.1 - KILL_AHEAD_US
    }

    /// Whether a client connection that is owed so many answers, its new one with them, may ask for one more: a
    /// flood by one must leave room for the requests of the others.
    pub fn admits(&self, owed: usize, crowded: bool) -> bool {
        owed <= if crowded {
            self.requests_per_client_when_crowded
        } else {
            self.requests_per_client
        }
    }

    /// The bounds that fit a machine with so many descriptors and MB of memory.
    pub fn for_machine(descriptors: usize, memory_mb: usize) -> Self {
        // The rest is for boxes, the bus and what the process itself has open.
        let client_connections = (descriptors * 3 / 5).max(1);
        let memory = memory_mb.max(16) << 20;
        Limits {
            descriptors,
            client_connections,
            connections: descriptors.saturating_sub(24).max(client_connections + 16),
            connections_per_server: 8,
            attempts_before_new_connection: 2,
            spare_connections: 16,
            attempts_per_connection: 100,
            open_requests: 8192.min(memory / (16 << 10)),
            requests_per_client: 32,
            requests_per_client_when_crowded: 4,
            unsent_answers_per_client: 256,
            total_body_bytes: memory / 4,
            partial_request_bytes: memory / 8,
            params_bytes: 16 << 10,
            body_bytes: 48_000,
            client_budget_us: 120_000_000,
            max_part: 65_535,
            max_size_kb: 1e6,
            object_bytes: 512 << 10,
            unsent_answer_bytes: memory / 4,
            input_buffer_bytes: 16 << 10,
            output_buffer_bytes: 64 << 10,
            reads_after_close: 64,
            line_bytes: 64 << 10,
            endpoint_list_bytes: 1 << 20,
            permanent_purges: 20_000,
            triggers: 1024,
            notifications: 64,
            notification_attempts: 3,
            notification_timeout_us: 1_000_000,
            consul_timeout_us: 20_000_000,
            gossip_repeat_us: 40_000,
            retry_after_us: 200_000,
            connect_timeout_us: 400_000,
            answer_lead_us: 10_000,
            event_bus_silence_us: 2_000_000,
            reconnect_delay_us: 100_000,
            shutdown_grace_us: 700_000,
            deadline_sweep_us: 1_000_000,
            shutdown_deadline_us: 3_650_000,
            accept_retry_us: 20_000,
            client_request_timeout_us: 2_000_000,
            client_idle_timeout_us: 5_000_000,
            client_write_timeout_us: 10_000_000,
            lingering_close_us: 500_000,
            lingering_close_bytes: 256 << 10,
            client_sweep_us: 500_000,
            eviction_immunity_us: 150_000,
            cancel_settle_us: 5_000,
            partial_answer_timeout_us: 150_000,
            unawaited_answer_timeout_us: 1_000_000,
            stream_memory_us: 5_000_000,
            unresponsive_after_us: 1_000_000,
            server_write_timeout_us: 500_000,
            log_lines_per_s: 100,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bounds_fit_the_least_machine_and_the_largest_and_a_flood_leaves_room() {
        for (descriptors, memory_mb) in [(256, 32), (1024, 192)] {
            let limits = Limits::for_machine(descriptors, memory_mb);
            // Boxes, with parents, the origin and some that go, and the bus.
            assert!(
                limits.connections - limits.client_connections >= 64
                    && limits.connections < descriptors
            );
            assert!(
                limits.client_connections >= descriptors / 3,
                "what the front's web servers may hold"
            );
            assert!(limits.total_body_bytes + limits.unsent_answer_bytes <= memory_mb << 19);
            let whole = limits.requests_per_client;
            assert!(limits.admits(whole, false) && !limits.admits(whole + 1, false));
            assert!(limits.admits(1, true) && !limits.admits(whole, true));
        }
    }
}
