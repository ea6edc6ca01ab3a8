//! Settings that a router can't work with.

mod support;
use edge_routing::*;
use support::*;

#[test]
fn unusable_settings_give_an_error() {
    let error = |change: &dyn Fn(&mut Settings)| {
        let mut s = settings();
        change(&mut s);
        Router::new(s, 1).err()
    };
    assert_eq!(
        error(&|s| s.classes.clear()),
        Some(SettingsError::NoClasses)
    );
    assert_eq!(error(&|s| s.zone = 3), Some(SettingsError::UnknownZone));
    assert_eq!(
        error(&|s| s.zones[1].hub = 9),
        Some(SettingsError::UnknownZone)
    );
    assert_eq!(
        error(&|s| s.rules.overload_window_us = 0),
        Some(SettingsError::InvalidValue("overload window"))
    );
    assert_eq!(
        error(&|s| s.max_attempts = 0),
        Some(SettingsError::InvalidValue("attempts"))
    );
    assert_eq!(
        error(&|s| s.transfer_kb_per_s = f64::NAN),
        Some(SettingsError::InvalidValue("transfer rate"))
    );
    assert_eq!(
        error(&|s| s.rules.warm_up_initial_share = -1.0),
        Some(SettingsError::InvalidValue("warm-up share"))
    );
    assert_eq!(error(&|_| ()), None);
}
