use super::eviction::{idle_deadline, EvictionClass};
use crate::limits::Limits;

#[test]
fn an_idle_connection_has_a_deadline_and_one_that_is_owed_an_answer_has_none() {
    let limits = Limits::for_machine(256, 32);
    let at = |class, unanswered| idle_deadline(class, unanswered, 7, &limits);
    assert_eq!(at(EvictionClass::Busy, 1), None);
    assert_eq!(
        at(EvictionClass::Busy, 0),
        Some(7 + limits.client_write_timeout_us),
        "it takes no answer"
    );
    // A request is due within three seconds of connecting, and ordinary clients end an idle
    // connection themselves after four.
    assert!([EvictionClass::NoRequest, EvictionClass::PartialRequest]
        .iter()
        .all(|class| at(*class, 0) < Some(7 + 3_000_000)));
    assert!(at(EvictionClass::Idle, 0) > Some(7 + 4_000_000));
    assert!(
        EvictionClass::NoRequest < EvictionClass::PartialRequest
            && EvictionClass::PartialRequest < EvictionClass::Idle
    );
}
