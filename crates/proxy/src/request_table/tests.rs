//! Tests of single parts of the request table: server ids, traces, the log rate limit, and
//! permanent purges.

use super::purges::{PermanentPurges, PurgeTarget};
use super::servers::server_id;
use super::{AttemptTrace, LogRateLimiter, RequestEnding, RequestTrace, SuppressedLines};
use edge_routing::{FillResult, Outcome};

fn rejected_attempt() -> AttemptTrace {
    AttemptTrace {
        server: 1,
        source: Some(2),
        started_at: 1_000_500,
        ended_at: 1_020_000,
        outcome: Outcome::Rejected,
        fill_result: FillResult::SourceUnreachable,
        fill_ttfb_us: 7_500,
    }
}

fn rejected_after_a_retry() -> RequestTrace {
    let mut trace = RequestTrace::new(1_000_000);
    trace.attempt_ended(rejected_attempt());
    trace.attempt_ended(AttemptTrace {
        server: 3,
        source: Some(3),
        fill_result: FillResult::Unknown,
        fill_ttfb_us: 0,
        ..rejected_attempt()
    });
    trace.end(1_030_000, RequestEnding::Rejected);
    trace
}

#[test]
fn the_trace_line_shows_every_attempt() {
    let line = rejected_after_a_retry().to_log_line(|id| (id < 3).then_some("s-1"));
    let first = "attempt from 0.5 to 20.0 ms at s-1, fill source s-1: \
                 Rejected, SourceUnreachable, fill TTFB 7.5 ms";
    let second = "attempt from 0.5 to 20.0 ms at #0000000000000003: Rejected";
    assert_eq!(line, format!("rejected after 30.0 ms; {first}; {second}"));
}

#[test]
fn a_rejected_request_does_not_count_as_served_early() {
    assert!(!rejected_after_a_retry().is_served_early_by_first_attempt(2_000_000));
    let mut without_retry = RequestTrace::new(0);
    without_retry.attempt_ended(rejected_attempt());
    without_retry.end(50, RequestEnding::Rejected);
    assert!(!without_retry.is_served_early_by_first_attempt(100));
}

#[test]
fn a_request_served_by_a_retry_does_not_count_as_served_early() {
    let mut trace = RequestTrace::new(0);
    trace.attempt_ended(rejected_attempt());
    trace.attempt_ended(rejected_attempt());
    trace.end(50, RequestEnding::Served);
    assert!(!trace.is_served_early_by_first_attempt(100));
}

#[test]
fn a_request_served_by_its_first_attempt_counts_as_served_early_up_to_half_of_its_time() {
    let mut trace = RequestTrace::new(0);
    trace.attempt_ended(rejected_attempt());
    trace.end(50, RequestEnding::Served);
    assert!(trace.is_served_early_by_first_attempt(100));
    assert!(!trace.is_served_early_by_first_attempt(99));
}

#[test]
fn lines_beyond_the_rate_are_suppressed_and_counted_on_the_next_line() {
    let mut limiter = LogRateLimiter::new(2);
    let mut take = |at| limiter.try_acquire(at);
    let none_suppressed = Some(SuppressedLines(0));
    assert_eq!(
        [take(0), take(1), take(2), take(999_999)],
        [none_suppressed, none_suppressed, None, None]
    );
    assert_eq!(
        [take(1_000_000), take(1_000_001)],
        [Some(SuppressedLines(2)), none_suppressed]
    );
}

#[test]
fn the_note_on_suppressed_lines_is_empty_if_none_is_suppressed() {
    assert_eq!(SuppressedLines(0).to_string(), "");
    assert_eq!(SuppressedLines(2).to_string(), " (2 lines suppressed)");
}

#[test]
fn permanent_purges_are_bounded_and_a_repeated_purge_uses_no_capacity() {
    let group = PurgeTarget::Group;
    let mut purges = PermanentPurges::new(1);
    assert!(purges.insert(group(1)));
    assert_eq!(purges.remaining_capacity(), 0);
    assert!(purges.insert(group(1)));
    assert!(!purges.insert(group(2)));
}

#[test]
fn the_id_of_a_server_is_the_published_fnv_1a_hash_of_its_wire_id() {
    assert_eq!(server_id(""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(server_id("a"), 0xaf63_dc4c_8601_ec8c);
    assert_eq!(server_id("foobar"), 0x8594_4171_f739_67e8);
}
