//! Whether a router can work with its settings.

use super::Settings;

/// Why settings can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// There is no class of requests.
    #[error("settings name no class of requests")]
    NoClasses,
    /// The router's zone, or a zone's hub, is not among the zones.
    #[error("settings name a zone that is not among the zones")]
    UnknownZone,
    /// A figure is zero, negative or not a number where that can't be.
    #[error("settings hold an unusable figure: {0}")]
    InvalidValue(&'static str),
}

impl Settings {
    /// Checks that a router can work with these settings.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        let zones = self.zones.len();
        if self.zone >= zones || self.zones.iter().any(|zone| zone.hub >= zones) {
            return Err(SettingsError::UnknownZone);
        }
        let not_negative = self.not_negative();
        let positive = self.positive();
        let invalid = not_negative
            .iter()
            .find(|(_, value)| !value.is_finite() || *value < 0.0)
            .or_else(|| {
                positive
                    .iter()
                    .find(|(_, value)| !value.is_finite() || *value <= 0.0)
            });
        match invalid {
            Some((name, _)) => Err(SettingsError::InvalidValue(name)),
            None => Ok(()),
        }
    }

    /// Figures that may be zero but not negative, with their names.
    fn not_negative(&self) -> Vec<(&'static str, f64)> {
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
                class.objective_per_transfer_time,
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

    /// Figures that must be above zero, with their names.
    fn positive(&self) -> Vec<(&'static str, f64)> {
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
