//! The bounds of machines of different sizes.

use edge_proxy::limits::Limits;

#[test]
fn bounds_fit_the_smallest_and_the_largest_machine_and_one_client_leaves_room_for_others() {
    for (descriptors, memory_mb) in [(256, 32), (1024, 192)] {
        let limits = Limits::for_machine(descriptors, memory_mb);
        // Cache servers, with parents, the origin and some that leave, and the event bus.
        assert!(
            limits.connections - limits.client_connections >= 64
                && limits.connections < descriptors
        );
        assert!(
            limits.client_connections >= descriptors / 3,
            "what web servers in front may hold"
        );
        assert!(limits.total_body_bytes + limits.unsent_answer_bytes <= memory_mb << 19);
        let whole = limits.requests_per_client;
        assert!(
            limits.allows_open_requests(whole, false)
                && !limits.allows_open_requests(whole + 1, false)
        );
        assert!(limits.allows_open_requests(1, true) && !limits.allows_open_requests(whole, true));
    }
}
