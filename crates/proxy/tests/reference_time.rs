//! Estimation of the reference time from the timestamps of events and copies, with a wall clock
//! that may have been wrong at the start.

use edge_proxy::discovery::reference_time::ReferenceTime;
use proptest::prelude::*;

const ONE_HOUR_US: u64 = 3_600_000_000;
/// The reference time at the start of each test, in microseconds of Unix time.
const REFERENCE_START_US: u64 = 1_764_576_000_000_000;

/// Before the first timestamp there is no other source of time than the wall clock.
#[test]
fn without_a_timestamp_the_wall_clock_is_used() {
    assert_eq!(
        ReferenceTime::default().to_local(REFERENCE_START_US),
        REFERENCE_START_US
    );
}

/// The wall clock may be wrong by an hour at the start. The newest timestamp is then the best known
/// lower bound of the reference time, and older ones must keep their distance to it.
#[test]
fn the_newest_timestamp_of_the_start_counts_as_the_present() {
    for clock_us in [
        REFERENCE_START_US - ONE_HOUR_US,
        REFERENCE_START_US,
        REFERENCE_START_US + ONE_HOUR_US,
    ] {
        let mut time = ReferenceTime::default();
        for age_us in [9_000_000, 2_000_000, 5_000_000] {
            time.observe_event(clock_us, REFERENCE_START_US - age_us);
        }
        assert_eq!(time.to_local(REFERENCE_START_US - 2_000_000), clock_us);
        assert_eq!(
            time.to_local(REFERENCE_START_US - 5_000_000),
            clock_us - 3_000_000
        );
    }
}

/// Times that were converted before a fresher timestamp arrived are too high. The reported
/// difference corrects them, and an old copy must not move the estimate back.
#[test]
fn a_fresh_copy_moves_the_estimate_and_reports_by_how_much() {
    let mut time = ReferenceTime::default();
    let clock_us = REFERENCE_START_US + ONE_HOUR_US;
    assert_eq!(
        time.observe_event(clock_us, REFERENCE_START_US - 2_000_000),
        0
    );
    assert_eq!(time.to_local(REFERENCE_START_US - 2_000_000), clock_us);

    let moved_us = time.observe_copy(clock_us, REFERENCE_START_US - 15_000);

    assert_eq!(moved_us, 1_985_000);
    assert_eq!(
        time.to_local(REFERENCE_START_US - 2_000_000),
        clock_us - moved_us
    );
    assert_eq!(
        time.observe_copy(clock_us, REFERENCE_START_US - ONE_HOUR_US),
        0,
        "an old copy moved the estimate of the reference time"
    );
}

/// A copy may carry a wrong timestamp from the future. The estimate moves only when a second copy
/// agrees, and timestamps that are implausibly far ahead never count.
#[test]
fn a_copy_from_ahead_of_the_clock_counts_only_if_another_copy_confirms_it() {
    let mut time = ReferenceTime::default();
    let clock_us = REFERENCE_START_US - ONE_HOUR_US;
    time.observe_event(clock_us, clock_us);
    assert_eq!(time.observe_copy(clock_us, REFERENCE_START_US), 0);
    assert_eq!(
        time.observe_copy(clock_us, REFERENCE_START_US - 100_000),
        ONE_HOUR_US - 100_000
    );
    for _ in 0..3 {
        assert_eq!(
            time.observe_copy(clock_us, u64::MAX),
            0,
            "an implausible timestamp moved the estimate of the reference time"
        );
        assert_eq!(
            time.observe_copy(clock_us, REFERENCE_START_US + 48 * ONE_HOUR_US),
            0
        );
    }
}

proptest! {
    /// A purge that counts as older than it is would let a copy from before it pass. With any error
    /// of the clock, a timestamp that has arrived counts neither as in the future nor as older than
    /// it is by more than 10 ms.
    #[test]
    fn no_timestamp_counts_as_older_than_it_is(
        clock_us in REFERENCE_START_US - ONE_HOUR_US..REFERENCE_START_US + ONE_HOUR_US,
        steps in prop::collection::vec((0..2_000_000_u64, 0..5_000_000_u64, any::<bool>()), 1..40),
    ) {
        let mut time = ReferenceTime::default();
        let mut elapsed_us = 0;
        for (step_us, age_us, is_event) in steps {
            elapsed_us += step_us;
            let (now_us, reference_us) = (clock_us + elapsed_us, REFERENCE_START_US + elapsed_us);
            let timestamp_us = reference_us - age_us;
            if is_event {
                time.observe_event(now_us, timestamp_us);
            } else {
                time.observe_copy(now_us, timestamp_us);
            }
            // Until a timestamp is accepted, the reference time is unknown.
            if time.to_local(timestamp_us) != timestamp_us || clock_us <= REFERENCE_START_US {
                prop_assert!(now_us.saturating_sub(time.to_local(timestamp_us)) <= age_us + 10_000);
            }
        }
    }
}
