//! The retention rank of copies, which depends on how often their part was requested.

mod support;
use support::*;

/// The retention rank of a part that was not requested before.
const FIRST_REQUEST_RANK: u8 = 1;
/// The retention rank of a part that is requested again while the earlier request still counts.
const REPEATED_REQUEST_RANK: u8 = 2;

/// Guards against a scan of objects that are requested once, which would evict popular copies of
/// the same rank.
#[test]
fn a_repeated_request_raises_the_retention_rank() {
    let mut harness = Harness::with_defaults();
    let first = harness.forward(VIDEO, "/o/a");
    let second = harness.forward(VIDEO, "/o/a");
    assert_eq!(first.fill.retention_rank, FIRST_REQUEST_RANK);
    assert_eq!(second.fill.retention_rank, REPEATED_REQUEST_RANK);
}

/// Guards against a full table of request counts that evicts frequent objects together with rare
/// ones.
#[test]
fn a_frequent_object_keeps_its_count_when_the_table_of_counts_is_full() {
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
        harness.advance(MILLISECOND_US / 10);
    }
    assert_eq!(
        last_rank,
        Some(REPEATED_REQUEST_RANK),
        "the earlier requests for the frequent object still count"
    );
}
