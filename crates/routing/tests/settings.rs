//! Invalid settings: a router is not created and the error names the invalid setting.

mod support;
use edge_routing::*;
use support::*;

/// Returns the error of a router with changed settings, or `None` if the settings are valid.
fn error_after(change: impl FnOnce(&mut Settings)) -> Option<SettingsError> {
    let mut settings = settings();
    change(&mut settings);
    Router::new(settings, 1).err()
}

/// Guards against a router that starts with unusable settings and panics or misbehaves at a
/// request.
#[test]
fn invalid_settings_give_an_error_that_names_the_invalid_setting() {
    let invalid_value = |name| Some(SettingsError::InvalidValue(name));
    assert_eq!(
        error_after(|settings| settings.classes.clear()),
        Some(SettingsError::NoClasses)
    );
    assert_eq!(
        error_after(|settings| settings.own_zone_index = 3),
        Some(SettingsError::UnknownZone)
    );
    assert_eq!(
        error_after(|settings| settings.zones[LOCAL_ZONE_INDEX].hub_zone_index = 9),
        Some(SettingsError::UnknownZone)
    );
    assert_eq!(
        error_after(|settings| settings.rules.overload_window_us = 0),
        invalid_value("overload window")
    );
    assert_eq!(
        error_after(|settings| settings.max_attempts = 0),
        invalid_value("attempts")
    );
    assert_eq!(
        error_after(|settings| settings.transfer_kb_per_s = f64::NAN),
        invalid_value("transfer rate")
    );
    assert_eq!(
        error_after(|settings| settings.rules.warm_up_initial_share = -1.0),
        invalid_value("warm-up share")
    );
    assert_eq!(
        error_after(|_| ()),
        None,
        "the unchanged settings are valid"
    );
}
