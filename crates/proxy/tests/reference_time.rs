//! What stamps tell of the fleet's time, whatever the wall clock said at the start.

use edge_proxy::discovery::reference_time::ReferenceTime;
use proptest::prelude::*;

const HOUR_US: u64 = 3_600_000_000;
/// The fleet's time at the start of each test.
const FLEET_US: u64 = 1_764_576_000_000_000;

#[test]
fn without_a_stamp_the_clock_counts() {
    assert_eq!(ReferenceTime::default().to_local(FLEET_US), FLEET_US);
}

#[test]
fn the_newest_stamp_of_the_start_is_taken_for_the_present() {
    for clock_us in [FLEET_US - HOUR_US, FLEET_US, FLEET_US + HOUR_US] {
        let mut time = ReferenceTime::default();
        for age_us in [9_000_000, 2_000_000, 5_000_000] {
            time.observe_event(clock_us, FLEET_US - age_us);
        }
        assert_eq!(time.to_local(FLEET_US - 2_000_000), clock_us);
        assert_eq!(time.to_local(FLEET_US - 5_000_000), clock_us - 3_000_000);
    }
}

#[test]
fn a_fresh_copy_tells_the_time_and_by_how_much_earlier_times_move() {
    let mut time = ReferenceTime::default();
    let clock_us = FLEET_US + HOUR_US;
    assert_eq!(time.observe_event(clock_us, FLEET_US - 2_000_000), 0);
    assert_eq!(time.to_local(FLEET_US - 2_000_000), clock_us);

    let moved_us = time.observe_copy(clock_us, FLEET_US - 15_000);

    assert_eq!(moved_us, 1_985_000);
    assert_eq!(time.to_local(FLEET_US - 2_000_000), clock_us - moved_us);
    assert_eq!(
        time.observe_copy(clock_us, FLEET_US - HOUR_US),
        0,
        "an old copy"
    );
}

#[test]
fn a_copy_that_says_that_the_clock_is_late_has_to_be_confirmed() {
    let mut time = ReferenceTime::default();
    let clock_us = FLEET_US - HOUR_US;
    time.observe_event(clock_us, clock_us);
    assert_eq!(time.observe_copy(clock_us, FLEET_US), 0);
    assert_eq!(
        time.observe_copy(clock_us, FLEET_US - 100_000),
        HOUR_US - 100_000
    );
    for _ in 0..3 {
        assert_eq!(time.observe_copy(clock_us, u64::MAX), 0, "an absurd stamp");
        assert_eq!(time.observe_copy(clock_us, FLEET_US + 48 * HOUR_US), 0);
    }
}

proptest! {
    /// Whatever the clock says: no stamp that has arrived lies in the future, and none is taken for
    /// older than it is.
    #[test]
    fn nothing_is_taken_for_older_than_it_is(
        clock_us in FLEET_US - HOUR_US..FLEET_US + HOUR_US,
        steps in prop::collection::vec((0..2_000_000_u64, 0..5_000_000_u64, any::<bool>()), 1..40),
    ) {
        let mut time = ReferenceTime::default();
        let mut elapsed_us = 0;
        for (later_us, age_us, is_event) in steps {
            elapsed_us += later_us;
            let (now, fleet_us) = (clock_us + elapsed_us, FLEET_US + elapsed_us);
            let stamp_us = fleet_us - age_us;
            if is_event {
                time.observe_event(now, stamp_us);
            } else {
                time.observe_copy(now, stamp_us);
            }
            // Before the first stamp nothing is known.
            if time.to_local(stamp_us) != stamp_us || clock_us <= FLEET_US {
                prop_assert!(now.saturating_sub(time.to_local(stamp_us)) <= age_us + 10_000);
            }
        }
    }
}
