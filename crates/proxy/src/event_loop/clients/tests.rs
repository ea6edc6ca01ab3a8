use super::eviction::{inactivity_deadline, EvictionClass};
use crate::limits::Limits;

#[test]
fn an_idle_connection_has_a_deadline_and_one_that_awaits_an_answer_has_none() {
    let limits = Limits::for_machine(256, 32);
    let at = |class, unanswered| inactivity_deadline(class, unanswered, 7, &limits);
    assert_eq!(at(EvictionClass::Busy, 1), None);
    assert_eq!(
        at(EvictionClass::Busy, 0),
        Some(7 + limits.client_write_timeout_us),
        "a client that does not read its answers is closed after the write timeout"
    );
    // A connection without a complete request must be closed within 3 s. Ordinary clients close an
    // idle connection themselves after 4 s, so the proxy must close it later than that.
    assert!([EvictionClass::NoRequest, EvictionClass::PartialRequest]
        .iter()
        .all(|class| at(*class, 0) < Some(7 + 3_000_000)));
    assert!(at(EvictionClass::Idle, 0) > Some(7 + 4_000_000));
    assert!(
        EvictionClass::NoRequest < EvictionClass::PartialRequest
            && EvictionClass::PartialRequest < EvictionClass::Idle
    );
}
