//! The JSON form of the settings, with one struct for each JSON object and its key names.
//!
//! The `convert` module translates these structs to [`edge_routing::Settings`], which documents the
//! meaning of each field. Comments here only name units and accepted keywords.
//!
//! A key whose field is an `Option` may be absent or null. All other keys are required. Unknown
//! keys are ignored.

use crate::json::{Object, Tolerant, WholeNumber};
use serde::Deserialize;

/// A list with one value for each class, zone or server kind. A value of the wrong type is an error
/// only if it belongs to an existing class or zone.
pub(crate) type IndexedList<T> = Option<Vec<Tolerant<T>>>;

/// The settings object.
#[derive(Deserialize)]
pub(crate) struct SettingsDocument {
    pub categories: Option<Vec<Object<Category>>>,
    pub customers: Option<Vec<Object<Customer>>>,
    /// Zone names.
    pub localities: Option<Vec<String>>,
    /// Names of the server kinds. `mid-kind` and `source-kind` are indices into this list.
    pub kinds: IndexedList<String>,
    /// Name of the proxy's own zone.
    pub zone: String,
    /// `ask` if the endpoint list must be polled, or `push` if updates are sent.
    pub discovery: Option<String>,
    /// `nominal` or `rough` if weights in the endpoint list are capacities, or `live` or `off`.
    pub weights: Option<String>,
    pub telemetry: Option<Object<Telemetry>>,
    #[serde(rename = "family-info")]
    pub family_info: Option<Object<FamilyInfo>>,
    pub limits: Option<Object<Limits>>,
    pub rules: Option<Object<Rules>>,
}

/// An entry of `categories`, which defines a class of requests. Times are in microseconds.
#[derive(Deserialize)]
pub(crate) struct Category {
    pub name: String,
    #[serde(rename = "aim-us")]
    pub latency_objective_us: WholeNumber,
    #[serde(rename = "aim-stretch")]
    pub objective_extension_per_transfer_time: Option<f64>,
    #[serde(rename = "deadline-us")]
    pub deadline_us: WholeNumber,
    #[serde(rename = "worth")]
    pub priority_weight: Option<f64>,
    #[serde(rename = "late-worth")]
    pub late_weight: Option<f64>,
    /// `pure`, `token` or `side_effect`.
    #[serde(rename = "repeat")]
    pub idempotency: Option<String>,
    /// `all`, `zone` or `cell`.
    #[serde(rename = "dedup-scope")]
    pub dedup_scope: Option<String>,
    #[serde(rename = "window-us")]
    pub dedup_window_us: Option<WholeNumber>,
    pub streaming: Option<bool>,
}

/// An entry of `customers`, which defines a tenant.
#[derive(Deserialize)]
pub(crate) struct Customer {
    pub name: String,
    /// Quota in requests per second.
    #[serde(rename = "quota-rps")]
    pub quota_rps: Option<f64>,
}

/// The `telemetry` object, which describes the load reports.
#[derive(Default, Deserialize)]
pub(crate) struct Telemetry {
    /// `inline` if answers and probe results carry load reports, `on_probe` if only probe results
    /// do, or `off`.
    pub source: Option<String>,
}

/// The `family-info` object, which holds the properties of the deployed service. Times are in
/// microseconds, rates in KB per second.
#[derive(Default, Deserialize)]
pub(crate) struct FamilyInfo {
    // Lists with one value for each class.
    #[serde(rename = "in-pieces")]
    pub multipart: IndexedList<bool>,
    #[serde(rename = "never-kept")]
    pub is_write: IndexedList<bool>,
    #[serde(rename = "good-for-us")]
    pub freshness_lifetime_us: IndexedList<WholeNumber>,
    #[serde(rename = "usable-after-us")]
    pub stale_grace_us: IndexedList<WholeNumber>,
    #[serde(rename = "old-copy-worth")]
    pub stale_weight: IndexedList<f64>,

    // Lists with one value for each zone.
    #[serde(rename = "seats-by-zone")]
    pub edge_proxy_counts: IndexedList<WholeNumber>,
    #[serde(rename = "attached-to")]
    pub hub: IndexedList<WholeNumber>,
    #[serde(rename = "zone-link-kb-per-s")]
    pub link_kb_per_s: IndexedList<f64>,

    // Values for the whole service.
    /// Index into `kinds`. A negative value means that the deployment has no parents.
    #[serde(rename = "mid-kind")]
    pub parent_kind: Option<f64>,
    /// Index into `kinds`. A negative value means that no kind is configured.
    #[serde(rename = "source-kind")]
    pub origin_kind: Option<f64>,
    #[serde(rename = "may-pass-by")]
    pub direct_requests: Option<bool>,
    #[serde(rename = "can-join")]
    pub coalescing: Option<bool>,
    /// `location`, `any` or `off`.
    #[serde(rename = "neighbours")]
    pub peer_fill: Option<String>,
    /// `all`, `hit` or `off`.
    #[serde(rename = "note-level")]
    pub provenance: Option<String>,
    #[serde(rename = "one-flow-kb-per-s")]
    pub transfer_kb_per_s: Option<f64>,
    #[serde(rename = "origin-fall-multiple")]
    pub origin_overload_multiple: Option<f64>,
    #[serde(rename = "parent-cold-from")]
    pub parent_warm_up_initial_share: Option<f64>,
    #[serde(rename = "upper-cold-us")]
    pub parent_warm_up_us: Option<WholeNumber>,
    #[serde(rename = "upper-fall-multiple")]
    pub parent_overload_multiple: Option<f64>,
    #[serde(rename = "purge-slack-us")]
    pub purge_grace_us: Option<WholeNumber>,
    #[serde(rename = "purge-takes-us")]
    pub purge_completion_us: Option<WholeNumber>,
}

/// The `limits` object, which says what the deployment permits. Times are in microseconds.
#[derive(Default, Deserialize)]
pub(crate) struct Limits {
    #[serde(rename = "try-limit")]
    pub max_attempts: Option<WholeNumber>,
    #[serde(rename = "second-copies")]
    pub hedging: Option<bool>,
    #[serde(rename = "cancel")]
    pub cancellation: Option<bool>,
    pub probing: Option<bool>,
    #[serde(rename = "retry-after")]
    pub retry_after: Option<bool>,
    #[serde(rename = "max-retry-after-us")]
    pub max_retry_after_us: Option<WholeNumber>,
}

/// The `rules` object, which configures draining, warm-up, overload and polling. Times are in
/// microseconds.
#[derive(Default, Deserialize)]
pub(crate) struct Rules {
    #[serde(rename = "drain-grace-us")]
    pub drain_grace_us: Option<WholeNumber>,
    #[serde(rename = "cold-share")]
    pub warm_up_initial_share: Option<f64>,
    #[serde(rename = "ramp-time-us")]
    pub warm_up_us: Option<WholeNumber>,
    #[serde(rename = "fall-multiple")]
    pub overload_multiple: Option<f64>,
    #[serde(rename = "tip-after-us")]
    pub overload_window_us: Option<WholeNumber>,
    #[serde(rename = "ask-within-us")]
    pub max_poll_interval_us: Option<WholeNumber>,
}
