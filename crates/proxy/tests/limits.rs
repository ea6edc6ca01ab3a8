//! Limits derived from the size of the machine.

use edge_proxy::limits::Limits;

/// On a small machine, limits that do not add up would exhaust file descriptors or memory. A single
/// client must not take the whole request table from the others.
#[test]
fn limits_fit_the_smallest_and_the_largest_machine_and_one_client_leaves_room_for_others() {
    for (descriptors, memory_mb) in [(256, 32), (1024, 192)] {
        let limits = Limits::for_machine(descriptors, memory_mb);
        // Room for cache servers, parents, the origin, some servers that are leaving, and the event
        // bus.
        assert!(
            limits.connections - limits.client_connections >= 64
                && limits.connections < descriptors
        );
        assert!(
            limits.client_connections >= descriptors / 3,
            "too few client connections for the web servers in front of the proxy"
        );
        // The program itself and gaps in the heap need memory too, but most of it serves requests.
        let memory_bytes = memory_mb << 20;
        assert!(limits.memory_budget_bytes <= memory_bytes / 16 * 15);
        assert!(limits.memory_budget_bytes >= memory_bytes / 2);
        let max_unanswered = limits.requests_per_client;
        assert!(
            limits.allows_unanswered_requests(max_unanswered, false)
                && !limits.allows_unanswered_requests(max_unanswered + 1, false)
        );
        assert!(
            limits.allows_unanswered_requests(1, true)
                && !limits.allows_unanswered_requests(max_unanswered, true)
        );
    }
}
