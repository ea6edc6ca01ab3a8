//! Validation of a router's settings.

use super::Settings;

/// The reason why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// There is no request class.
    #[error("settings contain no request class")]
    NoClasses,
    /// The router's own zone or the hub of a zone is not in the list of zones.
    #[error("settings refer to a zone that is not in the list of zones")]
    UnknownZone,
    /// The value with this name is negative, not finite, or zero where it must be positive.
    #[error("settings contain an invalid value: {0}")]
    InvalidValue(&'static str),
}

impl Settings {
    /// Checks the settings and returns the first error.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        let zones = self.zones.len();
        if self.own_zone_index >= zones
            || self.zones.iter().any(|zone| zone.hub_zone_index >= zones)
        {
            return Err(SettingsError::UnknownZone);
        }
        let non_negative_values = self.non_negative_values();
        let positive_values = self.positive_values();
        let invalid = non_negative_values
            .iter()
            .find(|(_, value)| !value.is_finite() || *value < 0.0)
            .or_else(|| {
                positive_values
                    .iter()
                    .find(|(_, value)| !value.is_finite() || *value <= 0.0)
            });
        match invalid {
            Some((name, _)) => Err(SettingsError::InvalidValue(name)),
            None => Ok(()),
        }
    }

    /// Returns the values that may be zero but not negative, with their names.
    fn non_negative_values(&self) -> Vec<(&'static str, f64)> {
        let mut values = vec![
            ("transfer rate", self.transfer_kb_per_s),
            ("origin overload multiple", self.origin_overload_multiple),
            ("warm-up share", self.rules.warm_up_initial_share),
            (
                "parent warm-up share",
                self.rules.parent_warm_up_initial_share,
            ),
        ];
        for class in &self.classes {
            values.push((
                "objective per transfer time",
                class.objective_extension_per_transfer_time,
            ));
            values.push(("priority weight", class.priority_weight));
            values.push(("late weight", class.late_weight));
            values.push(("stale weight", class.stale_weight));
        }
        values.extend(
            self.zones
                .iter()
                .map(|zone| ("zone link", zone.link_kb_per_s)),
        );
        values
    }

    /// Returns the values that must be positive, with their names.
    fn positive_values(&self) -> Vec<(&'static str, f64)> {
        let mut values = vec![
            ("attempts", f64::from(self.max_attempts)),
            ("overload multiple", self.rules.overload_multiple),
            ("overload window", self.rules.overload_window_us as f64),
            (
                "parent overload multiple",
                self.rules.parent_overload_multiple,
            ),
        ];
        values.extend(
            self.classes
                .iter()
                .map(|class| ("deadline", class.deadline_us as f64)),
        );
        values
    }
}
