//! The settings as they stand in JSON: one struct for each object, with its key names. A field
//! means what the field of [`edge_routing::Settings`] means that `convert` fills from it; comments
//! here name units and words only.
//!
//! Every key may be absent or null unless its type is not an `Option`. Keys that are not listed are
//! ignored.

use crate::json::{Object, Tolerant, WholeNumber};
use serde::Deserialize;

/// A list with one value for each class or zone. Values past the last class or zone are not
/// checked.
pub(crate) type IndexedList<T> = Option<Vec<Tolerant<T>>>;

/// The whole document.
#[derive(Deserialize)]
pub(crate) struct SettingsDocument {
    pub categories: Option<Vec<Object<Category>>>,
    pub customers: Option<Vec<Object<Customer>>>,
    /// Names of the zones.
    pub localities: Option<Vec<String>>,
    /// Names of the kinds of server; `mid-kind` and `source-kind` are indices into it.
    pub kinds: IndexedList<String>,
    pub zone: String,
    /// `ask` or `push`.
    pub discovery: Option<String>,
    /// `nominal`, `rough`, `live` or `off`.
    pub weights: Option<String>,
    pub telemetry: Option<Object<Telemetry>>,
    #[serde(rename = "family-info")]
    pub family: Option<Object<FamilyInfo>>,
    pub limits: Option<Object<Limits>>,
    pub rules: Option<Object<Rules>>,
}

/// An entry of `categories`: a class of requests. Times in microseconds.
#[derive(Deserialize)]
pub(crate) struct Category {
    pub name: String,
    #[serde(rename = "aim-us")]
    pub latency_objective_us: WholeNumber,
    #[serde(rename = "aim-stretch")]
    pub objective_per_transfer_time: Option<f64>,
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

/// An entry of `customers`: a tenant.
#[derive(Deserialize)]
pub(crate) struct Customer {
    pub name: String,
    /// Requests per second.
    #[serde(rename = "quota-rps")]
    pub quota_rps: Option<f64>,
}

/// `telemetry`: the load reports.
#[derive(Default, Deserialize)]
pub(crate) struct Telemetry {
    /// `inline`, `on_probe` or `off`.
    pub source: Option<String>,
}

/// `family-info`: facts about this kind of service. Times in microseconds, rates in KB per second.
#[derive(Default, Deserialize)]
pub(crate) struct FamilyInfo {
    // By class.
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

    // By zone.
    #[serde(rename = "seats-by-zone")]
    pub edge_proxies: IndexedList<WholeNumber>,
    #[serde(rename = "attached-to")]
    pub hub: IndexedList<WholeNumber>,
    #[serde(rename = "zone-link-kb-per-s")]
    pub link_kb_per_s: IndexedList<f64>,

    // Of the whole service.
    /// Index into `kinds`; negative: there is none.
    #[serde(rename = "mid-kind")]
    pub parent_kind: Option<f64>,
    /// Index into `kinds`; negative: there is none.
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

/// `limits`: what the deployment permits. Times in microseconds.
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

/// `rules`: figures of the rules on draining and cold starts. Times in microseconds.
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
    pub poll_within_us: Option<WholeNumber>,
}
