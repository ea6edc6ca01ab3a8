//! The rank at which a copy is retained, by how often its object was requested.

mod support;
use support::*;

/// Rank of the copy of an object that was not requested before.
const FIRST_REQUEST_RANK: u8 = 1;
/// Rank of the copy of an object that is requested again while the earlier request is still
/// counted.
const REPEATED_REQUEST_RANK: u8 = 2;

#[test]
fn a_repeated_request_raises_the_retention_rank() {
    let mut harness = Harness::with_defaults();
    let first = harness.forward(VIDEO, "/o/a");
    let second = harness.forward(VIDEO, "/o/a");
    assert_eq!(first.fill.retention_rank, FIRST_REQUEST_RANK);
    assert_eq!(second.fill.retention_rank, REPEATED_REQUEST_RANK);
}

#[test]
fn a_frequent_object_stays_counted_when_the_table_of_counts_is_full() {
    const REQUESTS: usize = 30_000;
    const REQUESTS_PER_FREQUENT_REQUEST: usize = 3;
    let mut harness = Harness::with_defaults();
    let mut last_rank = None;
    for index in 0..REQUESTS {
        let is_frequent = index % REQUESTS_PER_FREQUENT_REQUEST == 0;
        let object = if is_frequent {
            "/o/often".to_string()
        } else {
            format!("/o/{index}")
        };
        let submission = harness.submit(PAGE, &object);
        if let Some(attempt) = submission.attempt() {
            harness.finish_as_hit(&attempt);
            if is_frequent {
                last_rank = Some(attempt.fill.retention_rank);
            }
        }
        harness.advance(MILLISECOND / 10);
    }
    assert_eq!(
        last_rank,
        Some(REPEATED_REQUEST_RANK),
        "requested again while counted"
    );
}
